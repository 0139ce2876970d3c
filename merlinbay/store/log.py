"""Lets concurrent tasks append to a store file: their records share commits, each written in a thread.

``StoreLog.append`` returns once its record is on the disk, or raises ``AppendRejectedError``. After a failed
write all records of that commit are rejected. New records are rejected too, until the file has been reopened
and compared with the last acknowledged record (see ``health``).
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

MAX_RECORDS_PER_COMMIT = 512


class AppendRejectedError(Exception):
    """A record was not acknowledged as stored; the text says why."""

    def __init__(self, cause: str, retry_after_us: int) -> None:
        super().__init__(cause)
        self.retry_after_us = retry_after_us


@dataclass(slots=True, eq=False)
class PendingAppend:
    """A record whose writer waits for its commit."""

    body: bytes
    done: trio.Event = field(default_factory=trio.Event)  # set once the number or the error is set
    number: int = 0  # number of the stored record
    error: AppendRejectedError | None = None


class StoreLog:
    """A store file that tasks append to. ``append`` returns only while ``run`` is running."""

    def __init__(
        self, path: Path, log: Log, make_engine: Callable[[Path], StorageEngine] = StorageEngine
    ) -> None:
        """Open or create the file. Raises ``StoreWriteError``, ``CorruptLogError``."""
        self.path, self.log, self.make_engine = path, log, make_engine
        self.engine = make_engine(path)
        self.health = StoreHealth()
        self.commits = 0  # commits since the start
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
        """Write appended records until ``close`` or cancellation; after a failed write, reopen the file."""
        async for pending in self._receive:
            group = [pending]
            while len(group) < MAX_RECORDS_PER_COMMIT:
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
            # A commit is not cancelled, because its writers would never learn its outcome.
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
        """Reopen the file until it can be written or is found corrupt; meanwhile reject waiting records."""
        acknowledged = self.engine.last_number, self.engine.last_checksum
        while self.health.state is StoreState.FAILED:
            self._reject_waiting()
            await trio.sleep(self.health.retry_after_us / 1e6)
            self.health.apply(StoreEvent.REOPEN_STARTED)
            try:
                self.engine.close()
                self.engine = await trio.to_thread.run_sync(self.make_engine, self.path)
                # Raises CorruptLogError if the file was truncated or replaced, because every acknowledged
                # record must be in it.
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
        """Accept no more records; ``run`` writes those already appended, then returns."""
        self.health.apply(StoreEvent.CLOSED)
        self._send.close()
