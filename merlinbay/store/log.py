"""The log as tasks use it: concurrent appends share one commit, written in a thread.

``StoreLog.append`` returns once its record is on the disk, or raises ``AppendRejectedError``. After a failed
write all records of that commit are rejected, and new ones too until the file was reopened and verified
(``health``).
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import trio

from merlinbay.log import Log
from merlinbay.store.engine import StorageEngine, StoreWriteError
from merlinbay.store.health import StoreEvent, StoreHealth, StoreState
from merlinbay.store.records import CorruptLogError

COMMIT_RECORDS = 512  # at most, in one commit


class AppendRejectedError(Exception):
    """A record was not stored; the text says why."""

    def __init__(self, cause: str, retry_after_us: int) -> None:
        super().__init__(cause)
        self.retry_after_us = retry_after_us


@dataclass(slots=True, eq=False)
class PendingAppend:
    """A record whose writer waits for the commit."""

    body: bytes
    done: trio.Event = field(default_factory=trio.Event)  # set once number or error is
    number: int = 0  # of the stored record
    error: AppendRejectedError | None = None


class StoreLog:
    """One file and the tasks that append to it. ``run`` has to be running for ``append`` to return."""

    def __init__(
        self, path: Path, log: Log, make_engine: Callable[[Path], StorageEngine] = StorageEngine
    ) -> None:
        """Open or create the file. Raises ``StoreWriteError``, ``CorruptLogError``."""
        self.path, self.log, self.make_engine = path, log, make_engine
        self.engine = make_engine(path)
        self.health = StoreHealth()
        self.commits = 0  # since the start
        self._send, self._receive = trio.open_memory_channel[PendingAppend](math.inf)

    async def append(self, body: bytes) -> int:
        """Write a record; return its number once it is on the disk. Raises ``AppendRejectedError``."""
        if self.health.state is not StoreState.OPEN:
            raise AppendRejectedError(
                f"the store is {self.health.state.value}: {self.health.cause}", self.health.retry_after_us
            )
        pending = PendingAppend(body)
        self._send.send_nowait(pending)
        await pending.done.wait()
        if pending.error is not None:
            raise pending.error
        return pending.number

    async def run(self) -> None:
        """Write until ``close`` or cancellation."""
        async for pending in self._receive:
            group = [pending]
            while len(group) < COMMIT_RECORDS:
                try:
                    group.append(self._receive.receive_nowait())
                except (trio.WouldBlock, trio.EndOfChannel):
                    break
            if self.health.state is StoreState.CORRUPT:
                self._reject(group)
                continue
            await self._commit(group)
            if self.health.state is StoreState.FAILED:
                await self._recover()

    async def _commit(self, group: list[PendingAppend]) -> None:
        first = self.engine.last_number + 1
        try:
            # Guards against a cancelled commit whose outcome its writers never learn.
            with trio.CancelScope(shield=True):
                await trio.to_thread.run_sync(self.engine.append, [pending.body for pending in group])
        except StoreWriteError as error:
            self.health.apply(StoreEvent.WRITE_FAILED, str(error))
            self.log.event("store_failed", level="error", path=self.path, error=error)
            self._reject(group)
            return
        self.commits += 1
        for number, pending in enumerate(group, first):
            pending.number = number
            pending.done.set()

    def _reject(self, group: list[PendingAppend]) -> None:
        for pending in group:
            pending.error = AppendRejectedError(
                f"not stored: {self.health.cause}", self.health.retry_after_us
            )
            pending.done.set()

    def _reject_waiting(self) -> None:
        while True:
            try:
                self._reject([self._receive.receive_nowait()])
            except (trio.WouldBlock, trio.EndOfChannel):
                return

    async def _recover(self) -> None:
        """Reopen the file until it can be written; reject what waits meanwhile."""
        acknowledged = self.engine.last_number, self.engine.last_checksum
        while self.health.state is StoreState.FAILED:
            self._reject_waiting()
            await trio.sleep(self.health.retry_after_us / 1e6)
            self.health.apply(StoreEvent.REOPEN_STARTED)
            try:
                self.engine.close()
                self.engine = await trio.to_thread.run_sync(self.make_engine, self.path)
                # Guards against a truncated or replaced file: every acknowledged record has to be in it.
                self.engine.truncate_after(*acknowledged)
                await trio.to_thread.run_sync(self.engine.probe)
            except StoreWriteError as error:
                self.health.apply(StoreEvent.REOPEN_FAILED, str(error))
            except CorruptLogError as error:
                self.health.apply(StoreEvent.CORRUPTION_FOUND, str(error))
                self.log.event("store_corrupt", level="error", path=self.path, error=error)
            else:
                self.health.apply(StoreEvent.REOPENED)
                self.log.event("store_well", path=self.path, last=self.engine.last_number)

    def close(self) -> None:
        """Accept nothing more; ``run`` writes what was sent before and returns."""
        self.health.apply(StoreEvent.CLOSED)
        self._send.close()
