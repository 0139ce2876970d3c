"""The moment of the dispatcher's current batch, and the events that the decision module gets next."""

from __future__ import annotations

from merlinbay.decision.events import Event


class EventBatch:
    """Collects events while messages and timers of one batch are handled, and while actions are executed."""

    def __init__(self) -> None:
        self.now_us = 0  # one moment for the whole batch
        self._events: list[Event] = []

    def begin(self, now_us: int) -> None:
        """Begin a batch at a moment, with no events."""
        self.now_us, self._events = now_us, []

    def add(self, event: Event) -> None:
        """Add an event for the next call of the decision module."""
        self._events.append(event)

    def take(self) -> list[Event]:
        """Remove and return the events collected so far."""
        events, self._events = self._events, []
        return events
