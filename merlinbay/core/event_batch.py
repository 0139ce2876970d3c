"""The time of the dispatcher's current batch, and the events for the next call of the decision module."""

from __future__ import annotations

from merlinbay.decision.events import Event


class EventBatch:
    """Collects events while a batch handles its messages and timers, and while it executes actions."""

    def __init__(self) -> None:
        self.now_us = 0  # time of the current batch; it does not advance during the batch
        self._events: list[Event] = []

    def begin(self, now_us: int) -> None:
        """Begin a batch at time ``now_us``, with no events."""
        self.now_us, self._events = now_us, []

    def add(self, event: Event) -> None:
        """Add an event for the next call of the decision module."""
        self._events.append(event)

    def take(self) -> list[Event]:
        """Remove and return the events collected so far."""
        events, self._events = self._events, []
        return events
