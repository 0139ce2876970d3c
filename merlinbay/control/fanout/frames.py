"""Deltas and snapshots encoded as frames, once for all watches that need the same ones."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from merlinbay.control.entries import Delta, KeyValue
from merlinbay.control.fanout.messages import (
    DeltaMessage,
    SnapshotMessage,
    WireEntry,
    encode,
    wire_entries,
)
from merlinbay.control.fanout.store import RevisionStore

ENTRY_OVERHEAD_BYTES = 16  # bound on the encoded bytes of an entry besides its key and value


class EncodedUpdate(msgspec.Struct, frozen=True):
    """The frames that bring a watch to ``revision``."""

    revision: int
    frames: tuple[bytes, ...]
    snapshot: bool


class FrameCache:
    """Encodes and caches updates. A cached snapshot is used as long as the store has deltas from it on."""

    def __init__(self, store: RevisionStore, chunk_bytes: int, lifetime: float) -> None:
        self.chunk_bytes = chunk_bytes
        self.lifetime = lifetime  # seconds until a delta is encoded again, because it contains the staleness
        self.deltas_encoded = self.snapshots_encoded = 0
        self._store = store
        self._deltas: dict[int, EncodedUpdate] = {}  # from revision (key) to the store's
        self._deltas_revision = 0
        self._deltas_at = 0.0
        self._snapshot: EncodedUpdate | None = None

    def clear(self) -> None:
        """Drop all cached frames, as the store's history was replaced."""
        self._deltas.clear()
        self._snapshot = None

    def delta(self, revision: int, staleness_ms: int, now: float) -> EncodedUpdate | None:
        """Return the frames from ``revision`` to the store's revision; None if the changes were compacted."""
        if self._deltas_revision != self._store.revision or now - self._deltas_at > self.lifetime:
            self._deltas.clear()
            self._deltas_revision, self._deltas_at = self._store.revision, now
        transfer = self._deltas.get(revision)
        if transfer is None:
            delta = self._store.delta_after(revision)
            if delta is None:
                return None
            transfer = self._deltas[revision] = self._encode_delta(delta, staleness_ms)
        return transfer

    def snapshot(self) -> EncodedUpdate:
        """Return the frames of the current state, or of a former state from which the store has deltas."""
        snapshot = self._snapshot
        if snapshot is None or self._store.delta_after(snapshot.revision) is None:
            snapshot = self._snapshot = self._encode_snapshot()
        return snapshot

    def _encode_delta(self, delta: Delta, staleness_ms: int) -> EncodedUpdate:
        def encode_part(entries: tuple[WireEntry, ...], index: int, count: int) -> bytes:
            return encode(
                DeltaMessage(delta.after_revision, delta.revision, staleness_ms, entries, index, count)
            )

        self.deltas_encoded += 1
        return EncodedUpdate(delta.revision, self._parts(delta.entries, encode_part), snapshot=False)

    def _encode_snapshot(self) -> EncodedUpdate:
        state = self._store.snapshot()

        def encode_part(entries: tuple[WireEntry, ...], index: int, count: int) -> bytes:
            return encode(SnapshotMessage(state.revision, entries, index, count))

        self.snapshots_encoded += 1
        return EncodedUpdate(state.revision, self._parts(state.entries, encode_part), snapshot=True)

    def _parts(
        self, entries: Iterable[KeyValue], encode_part: Callable[[tuple[WireEntry, ...], int, int], bytes]
    ) -> tuple[bytes, ...]:
        groups: list[list[WireEntry]] = [[]]
        size = 0
        for entry in wire_entries(entries):
            if size > self.chunk_bytes:
                groups.append([])
                size = 0
            groups[-1].append(entry)
            size += len(entry.key) + len(entry.value or b"") + ENTRY_OVERHEAD_BYTES
        return tuple(encode_part(tuple(group), index, len(groups)) for index, group in enumerate(groups))
