"""The dispatcher's timers: deadlines of requests and attempts, and timers of the decision module.

Only the dispatcher's task uses them. It waits for the next due time, and ``Deadlines`` handles due timers.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from sortedcontainers import SortedDict

from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.requests import OpenRequest
from merlinbay.core.values import TimerKey


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
    """Timers by due time. A cancelled timer leaves nothing behind, however far off it was."""

    def __init__(self) -> None:
        self._timers: SortedDict[TimerKey, Timer] = SortedDict()
        self._count = 0

    def __len__(self) -> int:
        """Return the number of timers that are set."""
        return len(self._timers)

    def add(self, due_at_us: int, timer: Timer) -> TimerKey:
        """Set a timer, and return the key that cancels it."""
        self._count += 1
        key = due_at_us, self._count
        self._timers[key] = timer
        return key

    def cancel(self, keys: list[TimerKey]) -> None:
        """Cancel timers; those that have fired are passed over."""
        for key in keys:
            self._timers.pop(key, None)

    def next_us(self) -> int | None:
        """Return when the next timer is due, or None if no timer is set."""
        return self._timers.peekitem(0)[0][0] if self._timers else None

    def pop_due(self, now_us: int) -> Iterator[Timer]:
        """Remove and yield due timers one at a time, including those set while the caller handles others."""
        while self._timers and self._timers.peekitem(0)[0][0] <= now_us:
            yield self._timers.popitem(0)[1]
