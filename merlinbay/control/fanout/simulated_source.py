"""The store of a simulated voter: the state after the log has been applied up to some revision."""

from __future__ import annotations

from merlinbay.control.entries import Delta, KeyValue, StateSnapshot
from merlinbay.control.fanout.changes import RecentChanges


class SourceStore:
    """The state of a voter that has applied the log up to some revision."""

    def __init__(self, kept_changes: int) -> None:
        self.values: dict[str, KeyValue] = {}
        self.changes = RecentChanges(kept_changes, 64 * 1024 * 1024)

    @property
    def revision(self) -> int:
        """Return the revision of the state."""
        return self.changes.revision

    def delta_after(self, revision: int) -> Delta | None:
        """Return the changes after ``revision``; None if they were compacted or it lies in the future."""
        return self.changes.after(revision)

    def snapshot(self) -> StateSnapshot:
        """Return the whole state."""
        return StateSnapshot(self.revision, tuple(self.values.values()))

    def restore(self, other: SourceStore) -> None:
        """Replace the state by that of another store, as an operator's reset does."""
        self.values, self.changes = other.values, other.changes

    def apply(self, entry: KeyValue) -> None:
        """Apply the next entry of the log."""
        if entry.value is None:
            self.values.pop(entry.key, None)
        else:
            self.values[entry.key] = entry
        self.changes.add([entry], entry.revision)
