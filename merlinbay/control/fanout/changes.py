"""The last change of each key in the order of revisions, bounded in number and bytes.

Voters and relays make deltas from it. Where a delta would need older changes, a watch gets a snapshot.
"""

from __future__ import annotations

from collections.abc import Iterable

from merlinbay.control.entries import Delta, KeyValue


class RecentChanges:
    """Makes deltas from any revision between ``floor`` and ``revision``; older changes are compacted."""

    def __init__(self, max_changes: int, max_bytes: int, revision: int = 0) -> None:
        self.max_changes, self.max_bytes = max_changes, max_bytes
        self.floor = self.revision = revision
        self._last: dict[str, KeyValue] = {}  # oldest first; a key that changes again moves to the end
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._last)

    def add(self, changed: Iterable[KeyValue], revision: int) -> None:
        """Add changes in the order of their revisions, none above ``revision``."""
        for entry in changed:
            self._forget(entry.key)
            self._last[entry.key] = entry
            self._bytes += _size(entry)
        self.revision = revision
        while len(self._last) > self.max_changes or self._bytes > self.max_bytes:
            oldest = next(iter(self._last.values()))
            self._forget(oldest.key)
            self.floor = oldest.revision

    def restart(self, revision: int) -> None:
        """Drop all changes and start again at a state whose history is not known."""
        self._last.clear()
        self._bytes = 0
        self.floor = self.revision = revision

    def after(self, revision: int) -> Delta | None:
        """Return the changes after ``revision``; None if they were compacted or it lies in the future."""
        if not self.floor <= revision <= self.revision:
            return None
        changed = []
        for entry in reversed(self._last.values()):
            if entry.revision <= revision:
                break
            changed.append(entry)
        return Delta(revision, self.revision, tuple(reversed(changed)))

    def _forget(self, key: str) -> None:
        entry = self._last.pop(key, None)
        if entry is not None:
            self._bytes -= _size(entry)


def _size(entry: KeyValue) -> int:
    return len(entry.key) + len(entry.value or b"")
