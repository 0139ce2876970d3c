"""Rate limit of new watches, with the times at which rejected ones may retry."""

from __future__ import annotations


class AdmissionBucket:
    """A token bucket. Rejected watches get retry times that follow each other at its rate."""

    def __init__(self, rate: float, burst: int, now: float) -> None:
        self.rate, self.burst = rate, burst
        self._tokens = float(burst)
        self._filled_at = now
        self._last_retry_at = now  # the latest retry time that was given

    def take(self, now: float) -> bool:
        """Take a token, if there is one."""
        self._tokens = min(self.burst, self._tokens + (now - self._filled_at) * self.rate)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def retry_after(self, now: float, least: float, most: float) -> float:
        """Return after how many seconds the next rejected watch may retry."""
        self._last_retry_at = min(max(self._last_retry_at, now) + 1 / self.rate, now + most)
        return max(least, self._last_retry_at - now)
