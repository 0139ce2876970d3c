"""A follower's state with its generation and staleness.

Decides which deltas and snapshots are applied. Invalid ones raise an error and change nothing.
"""

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
    """The state by generation and revision. Within a generation the revision never decreases."""

    __slots__ = ("_current_at", "generation", "state")

    def __init__(self, generation: Generation, saved: StateSnapshot | None) -> None:
        self.generation = generation if saved else NO_GENERATION
        self.state = ReplicaState(saved)
        self._current_at = -math.inf  # time at which the state was known to be the latest

    def acceptable(self, generation: Generation) -> bool:
        """Return whether state of that generation is accepted: the same one, or a later one after a reset."""
        return generation == self.generation or generation.number > self.generation.number

    def join(self, generation: Generation) -> None:
        """Adopt a generation if there is none yet; one that follows a reset is adopted with its snapshot."""
        if self.generation == NO_GENERATION:
            self.generation = generation

    def confirm(self, generation: Generation, revision: int, staleness_ms: int, now: float) -> None:
        """Record that ``revision`` was the latest ``staleness_ms`` ago, if the state has reached it."""
        if generation == self.generation and self.state.revision >= revision:
            self._current_at = max(self._current_at, now - seconds(staleness_ms))

    def staleness(self, now: float) -> float:
        """Return how long ago the state was known to be the latest."""
        return max(0.0, now - self._current_at)

    def take(self, generation: Generation, whole: WholeMessage, now: float) -> StateAdvanced | None:
        """Apply a delta or snapshot of a generation; return the change, None if it contains no change."""
        message = whole.last
        if isinstance(message, DeltaMessage):
            return self._delta(generation, message, whole.entries, now)
        return self._snapshot(generation, message.revision, whole.entries)

    def _delta(
        self, generation: Generation, message: DeltaMessage, entries: tuple[WireEntry, ...], now: float
    ) -> StateAdvanced | None:
        if generation != self.generation:
            raise InvalidEntriesError(
                f"expected a delta of generation {self.generation.number}, got {generation.number}"
            )
        changed = self.state.apply(message.after_revision, message.revision, entries)
        self.confirm(generation, message.revision, message.staleness_ms, now)
        return None if changed is None else StateAdvanced(message.revision, tuple(changed))

    def _snapshot(
        self, generation: Generation, revision: int, entries: tuple[WireEntry, ...]
    ) -> StateAdvanced | None:
        if generation == self.generation and revision <= self.state.revision:
            return None
        self.state.replace(revision, entries)
        if generation != self.generation:
            self._current_at = -math.inf
            self.generation = generation
        return StateAdvanced(revision, (), replaced=True)
