"""What the client does about a call that came to nothing: it says how long to wait, or gives up. No I/O.

A call that was never sent may always be sent again. One that was sent, and whose answer was lost, may have
been carried out: it is sent again only if that is harmless (it only looks), or the caller said so because its
class allows it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any


class DrmaaRemoteError(Exception):
    """The front answered with one of the standard's exceptions."""

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        super().__init__(str(body.get("message", f"status {status}")))
        self.status = status
        self.name = str(body.get("exception", f"HTTP {status}"))
        self.missing = status == 404
        after = body.get("retryAfter")
        self.retry_after = float(after) if isinstance(after, int | float) and after >= 0 else None


class UnreachableError(OSError):
    """The front could not be reached: the call was never sent."""


class MayHaveRunError(OSError):
    """The call was sent and its answer lost: it may have been carried out, and was not sent again."""


class Fault(Enum):
    """How an exchange came to nothing."""

    NOT_SENT = "not sent"
    LOST = "sent, and no answer came"


@dataclass(frozen=True)
class Policy:
    """Seconds, and how often."""

    first: float = 0.05  # the wait before the first repeat; doubles,
    most: float = 2.0  # up to this
    tries: int = 5  # of one call that the network fails, where no time was given
    later_most: float = 60.0  # a longer retryAfter is not waited for, but raised


class Trial:
    """One call's tries. ``now`` and ``until`` are of the caller's monotonic clock."""

    def __init__(self, policy: Policy, rng: Random, harmless: bool, until: float | None) -> None:
        self.policy, self.rng, self.harmless, self.until = policy, rng, harmless, until
        self.faults = 0

    def fault(self, fault: Fault, text: str, now: float) -> float:
        """Return how long to wait before the call is sent again.

        Raises ``UnreachableError`` or ``MayHaveRunError``.
        """
        if fault is Fault.LOST and not self.harmless:
            raise MayHaveRunError(text)
        self.faults += 1
        wait: float = min(self.policy.first * 2 ** min(self.faults - 1, 20), self.policy.most)
        wait *= self.rng.uniform(0.5, 1.0)  # clients of a node that restarted must not return in step
        over = self.faults >= self.policy.tries if self.until is None else now + wait >= self.until
        if over:
            raise (UnreachableError if fault is Fault.NOT_SENT else MayHaveRunError)(text)
        return wait

    def refused(self, error: DrmaaRemoteError, now: float) -> float:
        """Return how long to wait before a refused call is sent again. Raises the error itself."""
        # Only what says that it never ran: 503 with when to come back. An earlier answer of this call that
        # was lost binds all the same, and a harmless call may be repeated anyway.
        if error.status != 503 or error.retry_after is None or self.until is None:
            raise error
        wait: float = error.retry_after + self.rng.uniform(0, self.policy.first)
        if error.retry_after > self.policy.later_most or now + wait >= self.until:
            raise error
        return wait
