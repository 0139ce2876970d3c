"""The records of a voter on its disk, through ``merlinbay.store``: batches, snapshots and compaction.

One record of the store holds one batch of the voter's records, so that a batch is durable wholly or not at
all. A record that replaces all others also becomes a snapshot of the store, which drops what precedes it.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path

import msgspec
import trio

from merlinbay.control.effects import Persist
from merlinbay.log import Log
from merlinbay.store.engine import StorageEngine, StoreWriteError
from merlinbay.store.health import StoreState
from merlinbay.store.log import AppendRejectedError, StoreLog
from merlinbay.store.records import INITIAL_CHECKSUM, CorruptLogError

RECOVERY_LOOK_S = 0.05  # between looks whether the store has recovered


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One record of the voter within a batch."""

    body: bytes
    replaces_all: bool


_decode = msgspec.msgpack.Decoder(list[Entry]).decode
_encode = msgspec.msgpack.encode


class NotDurableError(Exception):
    """Records were not stored: nothing that depends on them may leave the process."""


class DurableLog:
    """The log of one voter. ``run`` has to be running for ``append`` to return."""

    def __init__(
        self, path: Path, log: Log, make_engine: Callable[[Path], StorageEngine] = StorageEngine
    ) -> None:
        """Open or create the file. Raises ``NotDurableError``, ``CorruptLogError``."""
        try:
            self._store = StoreLog(path, log, make_engine)
        except StoreWriteError as error:
            raise NotDurableError(str(error)) from None
        self._log = log

    @property
    def failure(self) -> str:
        """Return why the store takes nothing at present; empty: it does."""
        health = self._store.health
        return "" if health.state is StoreState.OPEN else f"{health.state.value}: {health.cause}"

    async def run(self) -> None:
        """Write until cancelled."""
        await self._store.run()

    def records(self) -> list[bytes]:
        """Return the voter's records in order, from the last one that replaced all before it."""
        snapshots = self._store.engine.snapshots()
        entries: list[Entry] = []
        after, checksum = 0, INITIAL_CHECKSUM
        if snapshots:
            entries = _decode(snapshots[0].body)
            after, checksum = snapshots[0].number, snapshots[0].checksum
        for record in self._store.engine.read(after, checksum):
            entries += _decode(record.body)
        return [entry.body for entry in _without_replaced(entries)]

    async def append(self, records: Sequence[Persist]) -> None:
        """Store records in their order; returns once they are on the disk. Raises ``NotDurableError``."""
        entries = [Entry(one.record, one.replaces_all) for one in records]
        try:
            await self._store.append(_encode(entries))
        except AppendRejectedError as error:
            raise NotDurableError(str(error)) from None
        if any(entry.replaces_all for entry in entries):
            await self._compact(_without_replaced(entries))

    async def _compact(self, entries: list[Entry]) -> None:
        engine = self._store.engine
        try:
            with trio.CancelScope(shield=True):
                await trio.to_thread.run_sync(partial(engine.write_snapshot, _encode(entries)))
                await trio.to_thread.run_sync(engine.compact)
        except StoreWriteError as error:
            # The records themselves are stored: compaction is tried again with the next snapshot.
            self._log.event("control_compaction_failed", level="warning", error=str(error))

    async def recovered(self) -> bool:
        """Wait until the store takes records again; False: it never will, operators have to act."""
        while self._store.health.state is not StoreState.OPEN:
            if self._store.health.state in (StoreState.CORRUPT, StoreState.CLOSED):
                return False
            await trio.sleep(RECOVERY_LOOK_S)
        return True


def _without_replaced(entries: list[Entry]) -> list[Entry]:
    last = max((index for index, entry in enumerate(entries) if entry.replaces_all), default=0)
    return entries[last:]


__all__ = ["CorruptLogError", "DurableLog", "NotDurableError"]
