"""Moments at which something is due, each of which can be taken back."""

from __future__ import annotations

from collections.abc import Callable

from sortedcontainers import SortedDict

NEVER = 1 << 62
Timer = tuple[int, int]  # when, and a number of its own


class TimerQueue:
    """What is due when. Taking one back leaves nothing behind, however far off it was."""

    def __init__(self) -> None:
        self.due: SortedDict[Timer, Callable[[int], None]] = SortedDict()
        self.count = 0
        self.soonest = NEVER  # nothing is due before; maybe nothing is due then either

    def at(self, at_us: int, call: Callable[[int], None]) -> Timer:
        """Have something called with the time, at that time or after it."""
        self.count += 1
        self.due[at_us, self.count] = call
        if at_us < self.soonest:
            self.soonest = at_us
        return at_us, self.count

    def cancel(self, timer: Timer | None) -> None:
        """Take one back. One that has been called already is passed over."""
        if timer is not None:
            self.due.pop(timer, None)

    def run(self, now_us: int) -> None:
        """Call all that are due, in order. What they add for the same moment is called as well."""
        while self.due and self.due.peekitem(0)[0][0] <= now_us:
            self.due.popitem(0)[1](now_us)
        self.soonest = self.due.peekitem(0)[0][0] if self.due else NEVER
