"""The interface of the state that a watch server serves."""

from __future__ import annotations

from typing import Protocol

from merlinbay.control.entries import Delta, StateSnapshot


class RevisionStore(Protocol):
    """The state of all keys by revision."""

    @property
    def revision(self) -> int:
        """Return the revision of the state."""

    def delta_after(self, revision: int) -> Delta | None:
        """Return the changes after ``revision``; None if they were compacted or it lies in the future."""

    def snapshot(self) -> StateSnapshot:
        """Return the whole state."""
