"""The node's clock: Unix time at the start, continued by the monotonic clock."""

from __future__ import annotations

import time

import trio


class Clock:
    """Unix time in microseconds that never jumps. Made inside a trio run."""

    def __init__(self) -> None:
        self.unix_start_s = time.time()
        self.trio_start_s = trio.current_time()  # the same moment on trio's clock

    def now_us(self) -> int:
        """Return the time."""
        return self.from_trio(trio.current_time())

    def to_trio(self, at_us: int) -> float:
        """Return the same moment on trio's clock, in seconds."""
        return at_us / 1e6 - self.unix_start_s + self.trio_start_s

    def from_trio(self, at_s: float) -> int:
        """Return the Unix time of a moment on trio's clock."""
        return int((self.unix_start_s + at_s - self.trio_start_s) * 1e6)

    def continue_from(self, now_us: int) -> None:
        """Continue another process's clock, so that its times mean the same here."""
        self.unix_start_s, self.trio_start_s = now_us / 1e6, trio.current_time()

    def wall_offset_us(self) -> int:
        """Return by how much the machine's wall clock has been stepped since this clock was set by it."""
        return int(time.time() * 1e6) - self.now_us()
