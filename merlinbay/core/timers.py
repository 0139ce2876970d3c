"""Timers of the dispatcher: deadlines of requests and attempts, and those that the decision module sets."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass

from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.requests import OpenRequest


@dataclass(frozen=True, slots=True)
class ModuleTimer:
    """A timer that the decision module has set."""

    token: str  # the module's own name for it


@dataclass(frozen=True, slots=True)
class RequestDeadline:
    """The deadline of a request, or a second check shortly after it."""

    request: OpenRequest


@dataclass(frozen=True, slots=True)
class AttemptDeadline:
    """The deadline of an attempt that is to end before its request does."""

    attempt: ServerAttempt


Timer = ModuleTimer | RequestDeadline | AttemptDeadline


class Timers:
    """Timers by due time. None can be cancelled: whoever handles one checks whether it still matters."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []  # due time, order of setting, timer
        self._count = 0

    def add(self, due_at_us: int, timer: Timer) -> None:
        """Set a timer."""
        self._count += 1
        heapq.heappush(self._heap, (due_at_us, self._count, timer))

    def next_us(self) -> int | None:
        """Return when the next timer is due; None: no timer is set."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now_us: int) -> Iterator[Timer]:
        """Remove due timers one at a time, so that those set meanwhile count too."""
        while self._heap and self._heap[0][0] <= now_us:
            yield heapq.heappop(self._heap)[2]
