"""A follower's state, its generation and its age."""

from __future__ import annotations

import math

from merlinbay.control.entries import StateSnapshot
from merlinbay.control.fanout.assembly import WholeMessage
from merlinbay.control.fanout.effects import StateAdvanced
from merlinbay.control.fanout.messages import (
    NO_GENERATION,
    DeltaMessage,
    Generation,
    WireEntry,
    seconds,
)
from merlinbay.control.fanout.state import InvalidEntriesError, ReplicaState


class Replica:
    """The state by generation and revision. Within a generation the revision never goes back."""

    __slots__ = ("_current_at", "generation", "state")

    def __init__(self, generation: Generation, saved: StateSnapshot | None) -> None:
        self.generation = generation if saved else NO_GENERATION
        self.state = ReplicaState(saved)
        self._current_at = -math.inf  # when the state was known to be the latest

    def acceptable(self, theirs: Generation) -> bool:
        """Return whether state of that generation may be taken: of the same one, or after a reset."""
        return theirs == self.generation or theirs.number > self.generation.number

    def join(self, theirs: Generation) -> None:
        """Adopt a generation if there is none so far; after a reset, its snapshot comes first."""
        if self.generation == NO_GENERATION:
            self.generation = theirs

    def confirm(self, theirs: Generation, revision: int, staleness_ms: int, now: float) -> None:
        """Take it that ``revision`` was the latest ``staleness_ms`` ago."""
        if theirs == self.generation and self.state.revision >= revision:
            self._current_at = max(self._current_at, now - seconds(staleness_ms))

    def staleness(self, now: float) -> float:
        """Return how long ago the state was known to be the latest."""
        return max(0.0, now - self._current_at)

    def take(self, theirs: Generation, whole: WholeMessage, now: float) -> StateAdvanced | None:
        """Apply a delta or snapshot of a generation; return the change, None if it has nothing new."""
        message = whole.last
        if isinstance(message, DeltaMessage):
            return self._delta(theirs, message, whole.entries, now)
        return self._snapshot(theirs, message.revision, whole.entries)

    def _delta(
        self, theirs: Generation, message: DeltaMessage, entries: tuple[WireEntry, ...], now: float
    ) -> StateAdvanced | None:
        if theirs != self.generation:
            raise InvalidEntriesError("a delta of another generation")
        changed = self.state.apply(message.after_revision, message.revision, entries)
        self.confirm(theirs, message.revision, message.staleness_ms, now)
        return None if changed is None else StateAdvanced(message.revision, tuple(changed))

    def _snapshot(
        self, theirs: Generation, revision: int, entries: tuple[WireEntry, ...]
    ) -> StateAdvanced | None:
        if theirs == self.generation and revision <= self.state.revision:
            return None
        self.state.replace(revision, entries)
        if theirs != self.generation:
            self._current_at = -math.inf
            self.generation = theirs
        return StateAdvanced(revision, (), replaced=True)
