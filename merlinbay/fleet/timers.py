"""The view's clock and timers. No I/O: the time is passed in."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Any


class ViewTimers:
    """One-shot timers on a clock that never goes back. Times are in seconds."""

    def __init__(self, now_s: float) -> None:
        self.now_s = now_s
        self._queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._number = 0  # number of the last timer; orders timers of the same time by their creation

    def __len__(self) -> int:
        return len(self._queue)

    def schedule(self, delay_s: float, call: Callable[..., None], *args: Any) -> None:
        """Call a function after a delay."""
        self._number += 1
        heapq.heappush(self._queue, (self.now_s + delay_s, self._number, call, args))

    def next_at_s(self) -> float:
        """Return the time of the next timer; infinity if there is none."""
        return self._queue[0][0] if self._queue else math.inf

    def advance(self, now_s: float) -> None:
        """Set the clock, unless that would move it back."""
        self.now_s = max(self.now_s, now_s)

    def run_due(self) -> None:
        """Call the functions of all timers that are due."""
        while self._queue and self._queue[0][0] <= self.now_s:
            _, _, call, args = heapq.heappop(self._queue)
            call(*args)
