"""The dispatcher's timers: deadlines of requests and attempts, and timers of the decision module.

Only the dispatcher's task uses them. It waits for the next due time, and ``Deadlines`` handles due timers.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass

from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.requests import OpenRequest


@dataclass(frozen=True, slots=True)
class ModuleTimer:
    """A timer that the decision module has set."""

    token: str  # chosen by the module, which gets it back in ``TimerFired``


@dataclass(frozen=True, slots=True)
class RequestDeadline:
    """The deadline of a request, or the second check shortly after it."""

    request: OpenRequest


@dataclass(frozen=True, slots=True)
class AttemptDeadline:
    """The deadline of an attempt that must end before its request does."""

    attempt: ServerAttempt


Timer = ModuleTimer | RequestDeadline | AttemptDeadline


class Timers:
    """Timers by due time. They cannot be cancelled; the handler checks whether a timer still applies."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []  # due time, sequence number, timer
        self._count = 0

    def add(self, due_at_us: int, timer: Timer) -> None:
        """Set a timer."""
        self._count += 1
        heapq.heappush(self._heap, (due_at_us, self._count, timer))

    def next_us(self) -> int | None:
        """Return when the next timer is due, or None if no timer is set."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now_us: int) -> Iterator[Timer]:
        """Remove and yield due timers one at a time, including those set while the caller handles others."""
        while self._heap and self._heap[0][0] <= now_us:
            yield heapq.heappop(self._heap)[2]
