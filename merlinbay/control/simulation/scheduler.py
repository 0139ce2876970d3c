"""Virtual time: a queue of calls that run in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class TooManyStepsError(Exception):
    """Raised after more calls than allowed, as when two voters answer each other endlessly."""


class Scheduler:
    """Runs calls at their times. Calls for the same time run in the order in which they were added."""

    def __init__(self, max_steps: int) -> None:
        """Start at time 0; ``run_until`` fails after ``max_steps`` calls."""
        self.time = 0.0
        self.max_steps = max_steps
        self.steps = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Add a call for a time; if that has passed, for the current time."""
        self._number += 1
        heapq.heappush(self._queue, (max(time, self.time), self._number, call))

    def after(self, span: float, call: Callable[[], None]) -> None:
        """Add a call for the time that is ``span`` seconds from now."""
        self.at(self.time + span, call)

    def run_until(self, time: float) -> None:
        """Run all calls up to a time. Raises ``TooManyStepsError`` after more than ``max_steps`` calls."""
        while self._queue and self._queue[0][0] <= time:
            self.time, _, call = heapq.heappop(self._queue)
            self.steps += 1
            if self.steps > self.max_steps:
                raise TooManyStepsError(f"more than {self.max_steps} steps by {self.time:.3f}")
            call()
        self.time = time
