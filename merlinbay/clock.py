"""The node's clock, which reads Unix time at the start and follows the monotonic clock from then on."""

from __future__ import annotations

import time

import trio


class Clock:
    """Unix time in microseconds that does not jump. Must be created inside a trio run."""

    def __init__(self) -> None:
        self.unix_start_s = time.time()
        self.trio_start_s = trio.current_time()  # the same time on trio's clock

    def now_us(self) -> int:
        """Return the current Unix time in microseconds."""
        return self.from_trio(trio.current_time())

    def to_trio(self, at_us: int) -> float:
        """Return a Unix time as a time on trio's clock, in seconds."""
        return at_us / 1e6 - self.unix_start_s + self.trio_start_s

    def from_trio(self, at_s: float) -> int:
        """Return a time on trio's clock as a Unix time in microseconds."""
        return int((self.unix_start_s + at_s - self.trio_start_s) * 1e6)

    def continue_from(self, now_us: int) -> None:
        """Set the clock to the time of another process, so that its times stay valid in this process."""
        self.unix_start_s, self.trio_start_s = now_us / 1e6, trio.current_time()

    def wall_offset_us(self) -> int:
        """Return how far the wall clock is ahead of this clock; negative if it is behind."""
        return int(time.time() * 1e6) - self.now_us()
