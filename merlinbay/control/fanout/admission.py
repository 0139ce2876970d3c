"""Rate limit of a watch server's new watches, with the times at which rejected ones may retry."""

from __future__ import annotations


class AdmissionBucket:
    """A token bucket. The retry times given to rejected watches are spaced at its rate."""

    def __init__(self, rate: float, burst: int, now: float) -> None:
        self.rate, self.burst = rate, burst
        self._tokens = float(burst)
        self._filled_at = now
        self._last_retry_at = now  # the latest retry time given to a rejected watch

    def take(self, now: float) -> bool:
        """Take a token; return False if there is none."""
        self._tokens = min(self.burst, self._tokens + (now - self._filled_at) * self.rate)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def retry_after(self, now: float, min_wait: float, max_wait: float) -> float:
        """Return the seconds after which the next rejected watch may retry."""
        self._last_retry_at = min(max(self._last_retry_at, now) + 1 / self.rate, now + max_wait)
        return max(min_wait, self._last_retry_at - now)
