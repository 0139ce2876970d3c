"""Virtual time: a queue of calls, carried out in the order of their moments."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class TooManyStepsError(Exception):
    """More calls than allowed, as with two voters that answer each other without a pause."""


class Scheduler:
    """Runs calls at their moments. Calls for one moment run in the order of being planned."""

    def __init__(self, max_steps: int) -> None:
        """Start at time 0; ``run_until`` fails after ``max_steps`` calls."""
        self.time = 0.0
        self.max_steps = max_steps
        self.steps = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Run a call at a time, or now if that is past."""
        self._number += 1
        heapq.heappush(self._queue, (max(time, self.time), self._number, call))

    def after(self, span: float, call: Callable[[], None]) -> None:
        """Run a call after a span of time."""
        self.at(self.time + span, call)

    def run_until(self, time: float) -> None:
        """Run all calls up to a moment. Raises ``TooManyStepsError``."""
        while self._queue and self._queue[0][0] <= time:
            self.time, _, call = heapq.heappop(self._queue)
            self.steps += 1
            if self.steps > self.max_steps:
                raise TooManyStepsError(f"more than {self.max_steps} steps by {self.time:.3f}")
            call()
        self.time = time
