"""The replicated state: keys with their revisions, and the ids of recently decided changes.

The state is a pure function of the committed changes, so that voters that applied the same changes have the
same ``digest()``. The compacted revision may differ between them and has no influence on any result of
``apply``. A voter applies each committed change here. Restoring a snapshot that is not valid raises
``SnapshotError``.
"""

from __future__ import annotations

import hashlib

import msgspec

from merlinbay.control.entries import (
    Change,
    ChangeApplied,
    ChangeRejected,
    ChangeResult,
    Delta,
    KeyValue,
    StateSnapshot,
)

SNAPSHOT_VERSION = 1
DEDUPE_REVISIONS = 16_384  # number of revisions for which a change id is kept; the same at all voters
DEDUPE_IDS = 2 * DEDUPE_REVISIONS  # also bounds the ids of rejected changes, which make no revision


class SnapshotError(ValueError):
    """The bytes are not a snapshot of a keyspace, or are one of another version."""


class ChangeDecision(msgspec.Struct, frozen=True, array_like=True):
    """The result of a change, which is kept under the change's id."""

    revision: int  # that of the change if it was applied, else that of the keyspace at the time
    conflicting_revision: int = -1  # revision of the key that caused a conflict; -1 if it was applied

    def result(self) -> ChangeResult:
        """Return the result, which is the same for each repeat of the change."""
        if self.conflicting_revision < 0:
            return ChangeApplied(self.revision)
        return ChangeRejected("conflict", current_revision=self.conflicting_revision)


class KeyspaceSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The stored form of a keyspace. Both lists are in the order of their revisions."""

    version: int
    revision: int
    compacted_revision: int
    entries: list[KeyValue]
    decisions: list[tuple[str, ChangeDecision]]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(KeyspaceSnapshot)


class Keyspace:
    """Keys with their values and last revisions. Deleted keys are kept until compaction."""

    def __init__(self) -> None:
        self.revision = 0
        self.compacted_revision = 0  # the lowest revision that a delta can start from
        self._entries: dict[str, KeyValue] = {}  # in the order of revisions
        self._decisions: dict[str, ChangeDecision] = {}  # in the order of their decisions

    def apply(self, change: Change) -> ChangeResult:
        """Apply a committed change. A repeated id gets the first result, even if that was a conflict."""
        decided = self._decisions.get(change.change_id)
        if decided is not None:
            return decided.result()
        current = self.key_revision(change.key)
        if change.expected_revision is not None and change.expected_revision != current:
            decision = ChangeDecision(self.revision, current)
        else:
            self.revision += 1
            self._entries.pop(change.key, None)  # so that the new entry is the last one
            self._entries[change.key] = KeyValue(change.key, change.value, self.revision)
            decision = ChangeDecision(self.revision)
        self._decisions[change.change_id] = decision
        self._forget_decisions()
        return decision.result()

    def _forget_decisions(self) -> None:
        horizon = self.revision - DEDUPE_REVISIONS
        while self._decisions:
            oldest = next(iter(self._decisions))
            if self._decisions[oldest].revision > horizon and len(self._decisions) <= DEDUPE_IDS:
                return
            del self._decisions[oldest]

    def get(self, key: str) -> KeyValue | None:
        """Return the key's value, or None if the key does not exist."""
        entry = self._entries.get(key)
        return entry if entry is not None and entry.value is not None else None

    def key_revision(self, key: str) -> int:
        """Return the key's revision for compare-and-set; 0 if the key does not exist."""
        entry = self.get(key)
        return entry.revision if entry is not None else 0

    def delta_after(self, revision: int) -> Delta | None:
        """Return the changes after ``revision``; None if they were compacted or if it is not reached yet."""
        if not self.compacted_revision <= revision <= self.revision:
            return None
        changed: list[KeyValue] = []
        for entry in reversed(self._entries.values()):
            if entry.revision <= revision:
                break
            changed.append(entry)
        return Delta(revision, self.revision, tuple(reversed(changed)))

    def state(self) -> StateSnapshot:
        """Return all keys that exist, for a reader whose delta was compacted."""
        live = tuple(entry for entry in self._entries.values() if entry.value is not None)
        return StateSnapshot(self.revision, live)

    def compact(self, keep: int) -> None:
        """Drop deleted keys older than the last ``keep`` revisions. Deltas cannot start before these."""
        horizon = self.revision - keep
        if horizon <= self.compacted_revision:
            return
        self.compacted_revision = horizon
        self._entries = {
            key: entry
            for key, entry in self._entries.items()
            if entry.value is not None or entry.revision > horizon
        }

    def snapshot(self) -> bytes:
        """Return the whole state, encoded for ``restore``."""
        return _encoder.encode(
            KeyspaceSnapshot(
                SNAPSHOT_VERSION,
                self.revision,
                self.compacted_revision,
                list(self._entries.values()),
                list(self._decisions.items()),
            )
        )

    @classmethod
    def restore(cls, data: bytes) -> Keyspace:
        """Return the keyspace of a snapshot. Raises ``SnapshotError``."""
        try:
            snapshot = _decoder.decode(data)
        except msgspec.MsgspecError as error:
            raise SnapshotError(str(error)) from None
        if snapshot.version != SNAPSHOT_VERSION:
            raise SnapshotError(f"keyspace has version {snapshot.version}, expected {SNAPSHOT_VERSION}")
        keyspace = cls()
        keyspace.revision = snapshot.revision
        keyspace.compacted_revision = snapshot.compacted_revision
        keyspace._entries = {entry.key: entry for entry in snapshot.entries}
        keyspace._decisions = dict(snapshot.decisions)
        return keyspace

    def digest(self) -> str:
        """Return a hash of what all replicas agree on: existing keys, the revision, and decided changes."""
        live = sorted(
            (entry for entry in self._entries.values() if entry.value is not None), key=lambda item: item.key
        )
        content = _encoder.encode((self.revision, live, list(self._decisions.items())))
        return hashlib.blake2b(content, digest_size=16).hexdigest()
