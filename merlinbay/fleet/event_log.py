"""Keeps the events of the view until its caller collects them, and counts events and other occurrences."""

from __future__ import annotations

from collections import Counter

from merlinbay.fleet.effects import MembershipEvent, MembershipEventKind
from merlinbay.fleet.timers import ViewTimers


class MembershipEventLog:
    """Collects events and counts occurrences."""

    def __init__(self, timers: ViewTimers) -> None:
        self._timers = timers
        self._events: list[MembershipEvent] = []
        self.counts: Counter[str] = Counter()  # numbers of events by kind and of other occurrences by name
        self._new_occurrences: Counter[str] = Counter()

    def record(self, kind: MembershipEventKind, subject: str, text: str = "") -> None:
        """Add an event with the current time."""
        self.counts[kind] += 1
        self._events.append(MembershipEvent(self._timers.now_s, kind, subject, text))

    def count(self, name: str) -> None:
        """Count an occurrence that is not reported as an event."""
        self.counts[name] += 1
        self._new_occurrences[name] += 1

    def take_occurrences(self) -> Counter[str]:
        """Return the counts of occurrences since the previous call."""
        occurrences, self._new_occurrences = self._new_occurrences, Counter()
        return occurrences

    def take(self) -> list[MembershipEvent]:
        """Return the events since the previous call."""
        events, self._events = self._events, []
        return events
