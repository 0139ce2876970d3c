"""How many new watches a second a server takes, and when the others are to come back."""

from __future__ import annotations


class AdmissionBucket:
    """A token bucket. Those that it refuses are given times one after the other at its rate."""

    def __init__(self, rate: float, burst: int, now: float) -> None:
        self.rate, self.burst = rate, burst
        self._tokens = float(burst)
        self._filled_at = now
        self._promised_until = now  # who was refused last comes back then

    def take(self, now: float) -> bool:
        """Take a token, if there is one."""
        self._tokens = min(self.burst, self._tokens + (now - self._filled_at) * self.rate)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def retry_after(self, now: float, least: float, most: float) -> float:
        """Return in how many seconds the next refused one is to come back."""
        self._promised_until = min(max(self._promised_until, now) + 1 / self.rate, now + most)
        return max(least, self._promised_until - now)
