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
        """Return what changed after ``revision``; None if that was compacted or lies in the future."""

    def snapshot(self) -> StateSnapshot:
        """Return the whole state."""
