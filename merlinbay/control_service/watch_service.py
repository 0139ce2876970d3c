"""The watches that a voter serves. Inputs are queued until the voter's own records are on the disk."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from random import Random
from typing import TypeVar

import trio

from merlinbay.control.entries import Delta, StateSnapshot
from merlinbay.control.fanout.messages import Generation, Summary
from merlinbay.control.fanout.settings import WatchServerSettings
from merlinbay.control.fanout.watch_server import WatchServer
from merlinbay.control.keyspace import Keyspace
from merlinbay.control_service.watch_streams import DownstreamStreams

T = TypeVar("T")


class ServedKeyspace:
    """The keyspace that watches are served from. Its revision never decreases.

    A voter that is rebuilt from its disk may know a lower commit index than it has served. The previous
    keyspace is then served until the voter has caught up.
    """

    def __init__(self, keyspace: Keyspace) -> None:
        self.current = keyspace

    def offer(self, keyspace: Keyspace) -> None:
        """Serve this keyspace from now on, unless it is behind the current one."""
        if keyspace.revision >= self.current.revision:
            self.current = keyspace

    @property
    def revision(self) -> int:
        """Return the revision of the served state."""
        return self.current.revision

    def delta_after(self, revision: int) -> Delta | None:
        """Return the changes after ``revision``; None if it was compacted or is not reached yet."""
        return self.current.delta_after(revision)

    def snapshot(self) -> StateSnapshot:
        """Return the whole served state."""
        return self.current.state()


class WatchService:
    """A watch server with its streams; ``turn`` processes the queued inputs."""

    def __init__(
        self,
        keyspace: Keyspace,
        generation: Generation,
        settings: WatchServerSettings,
        random: Random,
        others: Iterable[str],
        wake: Callable[[], None],
    ) -> None:
        """``wake`` is called when an input is queued; the caller then has to call ``turn``."""
        self.store = ServedKeyspace(keyspace)
        now = trio.current_time()
        self.server = WatchServer(self.store, generation, settings, random, now, others)
        self.streams = DownstreamStreams(self)
        self._wake = wake
        self._inputs: deque[Callable[[float], None]] = deque()
        self._served_revision = keyspace.revision

    def turn(self, keyspace: Keyspace, staleness: float) -> None:
        """Process all inputs and carry out the effects; ``staleness`` is that of the voter's keyspace."""
        now = trio.current_time()
        self.store.offer(keyspace)
        if keyspace is self.store.current and math.isfinite(staleness):
            self.server.confirm(now, staleness)
        if self.store.revision > self._served_revision:
            self._served_revision = self.store.revision
            self.server.advanced(now)
        while self._inputs:
            self._inputs.popleft()(now)
        self.server.tick(now)
        for effect in self.server.take_effects():
            self.streams.carry_out(effect)

    async def read_local(self, read: Callable[[Keyspace], T]) -> T:
        """Read from the keyspace when everything that it holds is on the disk."""
        answers: list[T] = []
        done = trio.Event()

        def answer(now: float) -> None:
            answers.append(read(self.store.current))
            done.set()

        self._put(answer)
        await done.wait()
        return answers[0]

    def drain(self) -> None:
        """Direct all watches to other upstreams, as the process is about to end."""
        self._put(self.server.drain)

    def age(self) -> float:
        """Return how long ago the served state was known to be the latest; infinity if never."""
        return self.server.staleness(trio.current_time())

    def next_deadline(self) -> float:
        """Return the time at which ``turn`` is due."""
        return self.server.next_deadline()

    def summary(self) -> Summary:
        """Return the revisions that the followers below have applied."""
        return self.server.summary(trio.current_time())

    def _put(self, item: Callable[[float], None]) -> None:
        self._inputs.append(item)
        self._wake()

    def opened(self, connection: int) -> None:
        """Queue the event that a new stream was opened."""
        self._put(lambda now: self.server.opened(connection, now))

    def received(self, connection: int, frame: bytes) -> None:
        """Queue a received frame."""
        self._put(lambda now: self.server.received(connection, frame, now))

    def written(self, connection: int, size: int) -> None:
        """Queue the event that a frame of ``size`` bytes was written."""
        self._put(lambda now: self.server.written(connection, size, now))

    def closed(self, connection: int) -> None:
        """Queue the event that a stream has ended."""
        self._put(lambda now: self.server.closed(connection, now))
