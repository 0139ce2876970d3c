"""A follower's copy of the state. A delta or snapshot is applied whole, or raises and changes nothing."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from merlinbay.control.entries import KeyValue, StateSnapshot
from merlinbay.control.fanout.messages import WireEntry


class RevisionGapError(Exception):
    """A delta begins after the current revision, so the changes between are missing."""


class InvalidEntriesError(Exception):
    """Entries contradict the message that carries them."""


class ReplicaState:
    """All keys as of one revision."""

    __slots__ = ("_values", "revision")

    def __init__(self, saved: StateSnapshot | None = None) -> None:
        self.revision = saved.revision if saved else 0
        self._values = {entry.key: entry for entry in saved.entries} if saved else {}

    def get(self, key: str) -> KeyValue | None:
        """Return a key's value and revision, None if the key does not exist."""
        return self._values.get(key)

    def snapshot(self) -> StateSnapshot:
        """Return the whole state."""
        return StateSnapshot(self.revision, tuple(self._values.values()))

    def apply(
        self, after_revision: int, revision: int, entries: Sequence[WireEntry]
    ) -> list[KeyValue] | None:
        """Apply a delta; return the changed entries, or None if it contains no later revision.

        Of a delta that begins below the current revision, only the entries with a later revision are applied.
        They are all the changes since, as a delta holds the last state of each key.
        """
        if after_revision > self.revision:
            raise RevisionGapError(f"delta begins after {after_revision}, state is at {self.revision}")
        if any(not after_revision < entry.revision <= revision for entry in entries):
            raise InvalidEntriesError(f"delta {after_revision} to {revision} has an entry outside its range")
        if revision <= self.revision:
            return None
        changed = [
            KeyValue(entry.key, entry.value, entry.revision)
            for entry in entries
            if entry.revision > self.revision
        ]
        for entry in changed:
            if entry.value is None:
                self._values.pop(entry.key, None)
            else:
                self._values[entry.key] = entry
        self.revision = revision
        return changed

    def replace(self, revision: int, entries: Iterable[WireEntry]) -> None:
        """Replace the whole state by that of a snapshot."""
        values = {}
        for entry in entries:
            if entry.value is None or entry.revision > revision:
                raise InvalidEntriesError(
                    f"snapshot at {revision} has a deleted or later entry: {entry.key} at {entry.revision}"
                )
            values[entry.key] = KeyValue(entry.key, entry.value, entry.revision)
        self._values = values
        self.revision = revision
