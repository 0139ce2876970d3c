"""What a session may have at one time, and how fast: counted exactly, refused with when to come back."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

LEAST_WAIT_US, MOST_WAIT_US = 100_000, 30_000_000


@dataclass(frozen=True, slots=True)
class SessionLimits:
    """The bounds of one session."""

    jobs: int = 1000  # unfinished ones: waiting, held and running; half of them for one account
    size: int = 4 * 1024 * 1024  # bytes of the templates of these
    rate: float = 0.0  # submissions a second in the long run; 0: any,
    burst: int = 100  # and at once; each member of an array counts as one job, the array as one submission


class TokenBucket:
    """Tokens that come back at a rate, up to a number."""

    def __init__(self, rate: float, burst: int, now_us: int) -> None:
        self.rate, self.burst = rate, burst
        self.tokens, self.at_us = float(burst), now_us

    def wait_us(self, now_us: int) -> int:
        """Take a token and return 0, or take none and return how long until there is one."""
        self.tokens = min(self.tokens + max(now_us - self.at_us, 0) / 1e6 * self.rate, float(self.burst))
        self.at_us = max(now_us, self.at_us)
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        return int((1 - self.tokens) / self.rate * 1e6) + 1


class CompletionRate:
    """How fast a session's jobs end: what tells a refused client when there may be room."""

    def __init__(self, now_us: int) -> None:
        self.at_us, self.gap_us = now_us, 1e6

    def ended(self, now_us: int) -> None:
        """Count one job that ended."""
        self.gap_us += (max(now_us - self.at_us, 0) - self.gap_us) * 0.1
        self.at_us = now_us

    def wait_us(self, number: int) -> int:
        """Return how long until so many more have ended, in reason."""
        return int(min(max(self.gap_us * number, LEAST_WAIT_US), MOST_WAIT_US))


class SessionQuota:
    """What a session has of its allowance."""

    def __init__(self, allowance: SessionLimits, now_us: int) -> None:
        self.allowance = allowance
        self.bucket = TokenBucket(allowance.rate, allowance.burst, now_us)
        self.drain = CompletionRate(now_us)
        self.jobs = self.size = 0
        self.accounts: Counter[str] = Counter()  # the jobs of each

    def refusal(self, jobs: int, size: int, account: str, now_us: int) -> tuple[str, int] | None:
        """Take so many jobs of so many bytes in all; or take nothing and return why, and when to come back.

        A wait of 0 means that it can never be taken: it is larger than the allowance.

        An account may have as many jobs as are left free: alone it gets a half, and n that want all they
        can get have 1/(n+1) each, so that there is always room for one that comes new (dynamic thresholds:
        Choudhury and Hahne, 1998). The session without accounts, the empty one, is held to the same.
        """
        most = self.allowance
        if 2 * jobs - 1 > most.jobs or size > most.size:
            return f"more than the session may have: half of {most.jobs} jobs, {most.size} bytes", 0
        # Guards against an account that floods: it would leave the others no room to wait in.
        over = self.accounts[account] + jobs - (most.jobs - self.jobs - jobs + 1)
        if over > 0:
            return (
                f"account {account!r} has {self.accounts[account]} jobs, and the session {self.jobs}"
                f" of {most.jobs}",
                self.drain.wait_us(over),
            )
        if self.size + size > most.size:
            return f"the session's templates take {self.size} bytes of {most.size}", self.drain.wait_us(1)
        if most.rate and (wait_us := self.bucket.wait_us(now_us)):
            return f"more than {most.rate:g} submissions a second", wait_us
        self.jobs, self.size = self.jobs + jobs, self.size + size
        self.accounts[account] += jobs
        return None

    def give_back(self, jobs: int, size: int, account: str, now_us: int) -> None:
        """Take it that so many jobs have ended."""
        self.jobs, self.size = self.jobs - jobs, self.size - size
        self.accounts[account] -= jobs
        if not self.accounts[account]:
            del self.accounts[account]
        self.drain.ended(now_us)
