"""One call as the front takes it in."""

from __future__ import annotations

from dataclasses import dataclass

from merlinbay.access.grants import Grant
from merlinbay.batch.errors import invalid_argument
from merlinbay.batch.jobs import Job
from merlinbay.batch.timers import NEVER
from merlinbay.clock import Clock
from merlinbay.drmaa.answers import Call, ok
from merlinbay.http.connection import Connection, Request, Response

PAGE, PAGE_MOST = 100, 1000


@dataclass(slots=True)
class IncomingCall:
    """One call: who makes it, on what connection, when."""

    connection: Connection
    request: Request
    grant: Grant
    query: dict[str, list[str]]
    now: int

    def page(self) -> tuple[int, int]:
        """Return ``after`` and ``limit``. Raises ``DrmaaError``."""
        try:
            return int(self.query.get("after", ["0"])[0]), self.page_limit()
        except ValueError:
            raise invalid_argument("after is a number") from None

    def page_limit(self) -> int:
        """Return ``limit``. Raises ``DrmaaError``."""
        text = self.query.get("limit", [str(PAGE)])[0]
        if not (text.isdigit() and 1 <= int(text[:9]) <= PAGE_MOST):
            raise invalid_argument(f"limit: 1 to {PAGE_MOST}")
        return int(text)

    def timeout(self) -> float | None:
        """Return a wait's timeout in seconds; None: for as long as it takes. Raises ``DrmaaError``."""
        text = self.query.get("timeout", [""])[0]
        if not text:
            return None
        try:
            timeout = float(text)
        except ValueError:
            timeout = -1.0
        if not timeout >= 0:
            raise invalid_argument("timeout")
        return timeout

    def until_us(self, timeout: float | None) -> int:
        """Return when a wait of so many seconds ends, with the token at the latest; 0: never."""
        until = NEVER if timeout is None or timeout > 1e9 else max(self.now + int(timeout * 1e6), 1)
        until = min(until, self.grant.until_us)
        return until if until < NEVER else 0

    def later(self, clock: Clock) -> Call:
        """Return a call that is answered by ``Call.done``, as long as its token is good."""
        call = Call(self.connection, nothing)
        call.ends_with(self.grant.until_us, clock)
        return call


def nothing(job: Job | None) -> Response:
    """Write the answer of a call that is over without one of its own."""
    return ok({})
