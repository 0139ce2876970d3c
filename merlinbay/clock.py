"""The node's clock: Unix time at the start, carried on by the monotonic clock."""

from __future__ import annotations

import time

import trio


class Clock:
    """Microseconds of Unix time that never jump. Made inside a trio run."""

    def __init__(self) -> None:
        self.unix, self.started = time.time(), trio.current_time()

    def now_us(self) -> int:
        """Return the time."""
        return self.from_trio(trio.current_time())

    def to_trio(self, at_us: int) -> float:
        """Return the same moment on trio's clock."""
        return at_us / 1e6 - self.unix + self.started

    def from_trio(self, at: float) -> int:
        """Return the Unix time of a moment on trio's clock."""
        return int((self.unix + at - self.started) * 1e6)

    def carry_on(self, now_us: int) -> None:
        """Go on from another process's clock, so that its times mean the same here."""
        self.unix, self.started = now_us / 1e6, trio.current_time()

    def wall_offset_us(self) -> int:
        """Return by how much the machine's wall clock has been stepped since this clock was set by it."""
        return int(time.time() * 1e6) - self.now_us()
