"""The serving side of watches, for voters and relays alike."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Protocol

import msgspec

from merlinbay.control.entries import Delta, StateSnapshot
from merlinbay.control.fanout.effects import DownstreamEffect
from merlinbay.control.fanout.messages import Generation, Summary
from merlinbay.control.fanout.settings import WatchServerSettings


class RevisionStore(Protocol):
    """What is served: the state of all keys by revision."""

    @property
    def revision(self) -> int:
        """Return the revision of the state."""

    def delta_after(self, revision: int) -> Delta | None:
        """Return what changed after ``revision``; None if that was compacted or lies in the future."""

    def snapshot(self) -> StateSnapshot:
        """Return the whole state."""


class ServerCounters(msgspec.Struct):
    """What a server did, for metrics."""

    admitted: int = 0
    busy: int = 0
    cut_slow: int = 0
    cut_silent: int = 0
    malformed: int = 0
    from_the_future: int = 0
    foreign: int = 0
    deltas_encoded: int = 0
    deltas_sent: int = 0
    snapshots_encoded: int = 0
    snapshots_sent: int = 0
    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0


class WatchServer:
    """Holds the downstream watches by connection and sends them what changed."""

    def __init__(
        self,
        store: RevisionStore,
        generation: Generation,
        settings: WatchServerSettings,
        rng: Random,
        now: float,
        others: Iterable[str] = (),
    ) -> None:
        """Serve ``store``; ``others`` are the upstreams to which a watch is sent that cannot be taken."""
        self.counters = ServerCounters()
        raise NotImplementedError

    def opened(self, connection: int, now: float) -> None:
        """Take a new stream; its first message has to come soon."""
        raise NotImplementedError

    def received(self, connection: int, frame: bytes, now: float) -> None:
        """Take a frame; one that is malformed ends the watch."""
        raise NotImplementedError

    def written(self, connection: int, size: int, now: float) -> None:
        """Hear that a frame of ``size`` bytes was taken by the network."""
        raise NotImplementedError

    def closed(self, connection: int, now: float) -> None:
        """Hear that a stream has ended."""
        raise NotImplementedError

    def advanced(self, now: float) -> None:
        """Hear that the store has a new revision."""
        raise NotImplementedError

    def confirm(self, now: float, staleness: float = 0.0) -> None:
        """Hear that the store's state was the latest ``staleness`` seconds ago, as a voter knows by lease."""
        raise NotImplementedError

    def reset(self, generation: Generation, now: float) -> None:
        """Serve another generation: every watch begins anew with a snapshot."""
        raise NotImplementedError

    def drain(self, now: float) -> None:
        """Send all watches elsewhere and take no new ones: the process is going to end."""
        raise NotImplementedError

    def tick(self, now: float) -> None:
        """Do what is due."""
        raise NotImplementedError

    def next_deadline(self) -> float:
        """Return when ``tick`` is due; infinity if never."""
        raise NotImplementedError

    def take_effects(self) -> list[DownstreamEffect]:
        """Return what is to be done, once."""
        raise NotImplementedError

    def summary(self, now: float) -> Summary:
        """Return what the followers below have in force; ``status.force_status`` reads it."""
        raise NotImplementedError

    @property
    def watches(self) -> int:
        """Return how many watches are held."""
        raise NotImplementedError
