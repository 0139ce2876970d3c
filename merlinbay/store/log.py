"""The log as tasks use it: appends gathered into one commit, written off the event loop.

A caller hears of its record once it is on the disk, or by ``AppendRefusedError`` that it is not, with when
to come back.
Where writing fails, all that were in the commit are refused, and so are new ones until the file was
opened anew and ends where it should (``health``).
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import trio

from merlinbay.log import Log
from merlinbay.store.engine import Engine, StoreWriteError
from merlinbay.store.health import Event, Health, State
from merlinbay.store.records import CorruptLogError

GROUP = 512  # records in one commit


class AppendRefusedError(Exception):
    """A record was not taken: nothing of it is promised."""

    def __init__(self, why: str, retry_after_us: int) -> None:
        super().__init__(why)
        self.retry_after_us = retry_after_us


@dataclass(slots=True, eq=False)
class Waiting:
    """A record whose writer waits."""

    body: bytes
    done: trio.Event = field(default_factory=trio.Event)
    number: int = 0
    refused: AppendRefusedError | None = None


class StoreLog:
    """One file, and whoever appends to it."""

    def __init__(self, path: Path, log: Log, make: Callable[[Path], Engine] = Engine) -> None:
        """Open it. Raises ``StoreWriteError``, ``CorruptLogError``."""
        self.path, self.log, self.make = path, log, make
        self.engine = make(path)
        self.health = Health()
        self.send, self.receive = trio.open_memory_channel[Waiting](math.inf)
        self.commits = 0

    async def append(self, body: bytes) -> int:
        """Write a record; return its number once it is on the disk. Raises ``AppendRefusedError``."""
        self._need_open()
        waiting = Waiting(body)
        self.send.send_nowait(waiting)
        await waiting.done.wait()
        if waiting.refused is not None:
            raise waiting.refused
        return waiting.number

    def _need_open(self) -> None:
        if self.health.state is not State.OPEN:
            raise AppendRefusedError(
                f"the store is {self.health.state.value}: {self.health.why}", self.health.wait_us
            )

    async def run(self) -> None:
        """Write for ever. To be ended by ``close``, or by being cancelled."""
        async for waiting in self.receive:
            group = [waiting]
            while len(group) < GROUP:
                try:
                    group.append(self.receive.receive_nowait())
                except (trio.WouldBlock, trio.EndOfChannel):
                    break
            if self.health.state is State.CORRUPT:
                self._refuse(group)
                continue
            await self._commit(group)
            if self.health.state is State.FAILED:
                await self._mend()

    async def _commit(self, group: list[Waiting]) -> None:
        first = self.engine.last + 1
        try:
            # Not to be given up half way: who waits has to hear what became of it.
            with trio.CancelScope(shield=True):
                await trio.to_thread.run_sync(self.engine.append, [one.body for one in group])
        except StoreWriteError as error:
            self.health.tell(Event.UNWRITTEN, str(error))
            self.log.event("store_failed", level="error", path=self.path, error=error)
            self._refuse(group)
            return
        self.commits += 1
        for number, one in enumerate(group, first):
            one.number = number
            one.done.set()

    def _refuse(self, group: list[Waiting]) -> None:
        for one in group:
            one.refused = AppendRefusedError(f"not stored: {self.health.why}", self.health.wait_us)
            one.done.set()

    async def _mend(self) -> None:
        """Open the file anew until it can be written; what waits meanwhile is refused."""
        kept = self.engine.last, self.engine.checksum
        while self.health.state is State.FAILED:
            while True:
                try:
                    self._refuse([self.receive.receive_nowait()])
                except (trio.WouldBlock, trio.EndOfChannel):
                    break
            await trio.sleep(self.health.wait_us / 1e6)
            self.health.tell(Event.LOOK)
            try:
                self.engine.close()
                self.engine = await trio.to_thread.run_sync(self.make, self.path)
                # Guards against a file that was cut short, or replaced: what was promised has to be in it.
                self.engine.cut(*kept)
                await trio.to_thread.run_sync(self.engine.probe)
            except StoreWriteError as error:
                self.health.tell(Event.ILL, str(error))
            except CorruptLogError as error:
                self.health.tell(Event.ALTERED, str(error))
                self.log.event("store_corrupt", level="error", path=self.path, error=error)
            else:
                self.health.tell(Event.WELL)
                self.log.event("store_well", path=self.path, last=self.engine.last)

    def close(self) -> None:
        """Take nothing more; what was sent is still written by ``run``, which then ends."""
        self.health.tell(Event.CLOSE)
        self.send.close()
