"""The records of a voter on its disk, through ``merlinbay.store``: batches, snapshots and compaction.

One record of the store holds one batch of the voter's records, so that a batch is stored either whole or not
at all. A record that replaces all others also becomes a snapshot of the store; records before it are deleted.
A write that fails raises ``NotDurableError``; ``recovered`` then waits until the store accepts records again.
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

RECOVERY_POLL_S = 0.05  # interval of the checks whether the store has recovered


class BatchRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record of the voter within a batch."""

    body: bytes
    replaces_all: bool


_decode = msgspec.msgpack.Decoder(list[BatchRecord]).decode
_encode = msgspec.msgpack.encode


class NotDurableError(Exception):
    """Records were not stored, so no effect that depends on them may be carried out. The text says why."""


class DurableLog:
    """The log of one voter. ``append`` returns only while ``run`` is running."""

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
        """Return why the store accepts no records at present; empty if it accepts them."""
        health = self._store.health
        return "" if health.state is StoreState.OPEN else f"{health.state.value}: {health.cause}"

    async def run(self) -> None:
        """Write the appended batches until cancelled."""
        await self._store.run()

    def records(self) -> list[bytes]:
        """Return the voter's records in order, starting with the last one that replaced all before it."""
        snapshots = self._store.engine.snapshots()
        batch: list[BatchRecord] = []
        after, checksum = 0, INITIAL_CHECKSUM
        if snapshots:
            batch = _decode(snapshots[0].body)
            after, checksum = snapshots[0].number, snapshots[0].checksum
        for stored in self._store.engine.read(after, checksum):
            batch += _decode(stored.body)
        return [record.body for record in _without_replaced(batch)]

    async def append(self, records: Sequence[Persist]) -> None:
        """Store records in order and return once they are on the disk. Raises ``NotDurableError``."""
        batch = [BatchRecord(effect.record, effect.replaces_all) for effect in records]
        try:
            await self._store.append(_encode(batch))
        except AppendRejectedError as error:
            raise NotDurableError(str(error)) from None
        if any(record.replaces_all for record in batch):
            await self._compact(_without_replaced(batch))

    async def _compact(self, batch: list[BatchRecord]) -> None:
        engine = self._store.engine
        try:
            with trio.CancelScope(shield=True):
                await trio.to_thread.run_sync(partial(engine.write_snapshot, _encode(batch)))
                await trio.to_thread.run_sync(engine.compact)
        except StoreWriteError as error:
            # The records are stored: compaction is tried again with the next snapshot.
            self._log.event("control_compaction_failed", level="warning", error=str(error))

    async def recovered(self) -> bool:
        """Wait until the store accepts records again; return False if operators have to act first."""
        while self._store.health.state is not StoreState.OPEN:
            if self._store.health.state in (StoreState.CORRUPT, StoreState.CLOSED):
                return False
            await trio.sleep(RECOVERY_POLL_S)
        return True


def _without_replaced(batch: list[BatchRecord]) -> list[BatchRecord]:
    last = max((index for index, record in enumerate(batch) if record.replaces_all), default=0)
    return batch[last:]


__all__ = ["CorruptLogError", "DurableLog", "NotDurableError"]
