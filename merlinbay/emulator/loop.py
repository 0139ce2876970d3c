"""Virtual time: a heap of what is due. Times are integer microseconds, so nothing depends on rounding."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from enum import IntEnum
from typing import Any


class Order(IntEnum):
    """What comes first where several things are due at the same instant. Beyond that: as it was asked for."""

    TROUBLE = 0  # a crash, a slowdown, a drain
    SERVER = 1  # a job ends, a waiting one starts
    DISCOVERY = 2  # so a drain's news comes before a placement of that instant
    NETWORK = 3  # what was sent arrives: a start notice before a give-up
    GIVE_UP = 4  # so an answer that arrives at the deadline counts
    CLIENT = 5  # a request arrives
    TIMER = 6  # the module's own


class Loop:
    """Runs what is due, in order."""

    def __init__(self) -> None:
        self.now = 0
        self.count = 0
        self.heap: list[tuple[int, int, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, due_us: int, order: Order, call: Callable[..., None], *args: Any) -> None:
        """Have something called at a time; what is past is due now."""
        self.count += 1
        heapq.heappush(self.heap, (due_us if due_us > self.now else self.now, order, self.count, call, args))

    def run(self, until_us: int) -> None:
        """Run all that is due before a time."""
        heap, pop = self.heap, heapq.heappop
        while heap and heap[0][0] < until_us:
            self.now, _, _, call, args = pop(heap)
            call(*args)
        self.now = until_us
