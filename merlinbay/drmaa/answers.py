"""What calls are answered with: at once, or later by what becomes of a job."""

from __future__ import annotations

from collections.abc import Callable

from merlinbay.access.grants import denied
from merlinbay.batch.errors import DrmaaError
from merlinbay.batch.jobs import Job
from merlinbay.batch.registry import CallReply
from merlinbay.batch.timers import NEVER
from merlinbay.clock import Clock
from merlinbay.drmaa import schema
from merlinbay.http.connection import Connection, Response

JSON = (b"content-type", b"application/json")


class Call:
    """A call that may be answered later: its connection, and what an answer is made of."""

    def __init__(self, connection: Connection, write: Callable[[Job | None], Response]) -> None:
        self.connection, self.write = connection, write
        self.response: Response | None = None  # it came at once
        self.later = False
        self.until_us = NEVER
        self.clock: Clock | None = None

    def ends_with(self, until_us: int, clock: Clock) -> None:
        """Say until when the caller's token is good: from then on it is told nothing more."""
        self.until_us, self.clock = until_us, clock

    def take(self, reply: CallReply) -> None:
        """Take the one answer."""
        self.done(failure(reply.error) if reply.error is not None else self.write(reply.job))

    def done(self, response: Response) -> None:
        """Have the one answer written."""
        # Guards against a token that ends in the middle of a wait: what is known by now is not its caller's.
        if self.clock is not None and self.clock.now_us() >= self.until_us:
            response = failure(denied("the token is not valid any more"))
        if self.later:
            self.connection.context = None
            self.connection.has_served_request = self.connection.has_served_request or response.status < 300
            self.connection.respond(response)
        else:
            self.response = response


def ok(value: object, status: int = 200) -> Response:
    """Write an answer."""
    return Response(status, schema.write(value), [JSON])


def failure(error: DrmaaError) -> Response:
    """Write an exception as an answer."""
    headers = [JSON]
    if error.retry_after_us:
        headers.append((b"retry-after", f"{error.retry_after_us / 1e6:.3f}".encode()))
    if error.nobody:
        headers.append((b"www-authenticate", b"Bearer"))
    return Response(
        schema.status_of(error), schema.error_body(error.name, str(error), error.retry_after_us), headers
    )
