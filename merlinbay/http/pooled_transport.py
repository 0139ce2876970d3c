"""The base class of the server transports that use the connection pool.

It runs each exchange in a task of its own and posts the outcome to the dispatcher's inbox. An exchange that
fails becomes an outcome; a fault in its task is counted and logged, and the node goes on.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress

import trio

from merlinbay.clock import Clock
from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.messages import AttemptFinished, Message
from merlinbay.core.values import ServiceEntry
from merlinbay.counters import Counters
from merlinbay.decision.outcomes import Outcome
from merlinbay.http.client import (
    AttemptWithheldError,
    ConnectionBrokenError,
    Headers,
    LocalResourceError,
    Reply,
    RequestNotSentError,
    UnreadableResponseError,
)
from merlinbay.http.pool import ConnectionPool, OutgoingRequest
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log

UNREADABLE_STATUS = 0  # stands for the status of a response that is not HTTP or is too large


def check_may_begin(attempt: ServerAttempt) -> Headers:
    """Check whether an attempt may still be sent; used as a ``PreSendCheck``.

    Raises ``AttemptWithheldError``.
    """
    if not attempt.may_begin():
        raise AttemptWithheldError("the client has disconnected, or the class allows no further attempt")
    return []


class PooledServerTransport:
    """Runs exchanges with servers in tasks, up to a limit, and posts the results to the inbox."""

    def __init__(
        self,
        nursery: trio.Nursery,
        pool: ConnectionPool,
        inbox: trio.MemorySendChannel[Message],
        clock: Clock,
        limits: ResourceLimits,
        counters: Counters,
        log: Log,
    ) -> None:
        self.nursery, self.pool, self.inbox = nursery, pool, inbox
        self.clock, self.limits, self.counters = clock, limits, counters
        self.log = log
        self.task_count = 0  # number of exchanges in progress

    def update_endpoints(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Update the servers' addresses."""
        self.pool.update_endpoints(scope, entries)

    def spawn(self, task: Callable[..., Awaitable[None]], *args: object) -> bool:
        """Start a task unless too many are running. Return whether it was started."""
        if self.task_count >= self.limits.server_tasks:
            self.counters.add("server_tasks_missing")
            return False
        self.task_count += 1
        self.nursery.start_soon(self._counted, task, args)
        return True

    def report_not_sent(self, attempt: ServerAttempt) -> None:
        """Report that an attempt was not sent."""
        # Posts the report from a task of its own. The dispatcher's task calls this method and must not wait
        # for its own inbox, which would be a deadlock.
        self.nursery.start_soon(self.report_ended, attempt, Outcome.CONNECT_FAILED)

    async def exchange(self, server: str, request: OutgoingRequest) -> Reply | Outcome:
        """Send a request. Return the response, even an unreadable one, or the outcome if there is none."""
        try:
            return await self.pool.exchange(server, request)
        except (AttemptWithheldError, LocalResourceError):
            # A shortage of resources on this machine is not counted against the server, which would be
            # ejected as failing.
            return Outcome.MOOT
        except RequestNotSentError:
            return Outcome.CONNECT_FAILED
        except UnreadableResponseError:
            return Reply(UNREADABLE_STATUS, {}, b"")
        except ConnectionBrokenError:
            return Outcome.RESET

    async def report_ended(
        self,
        attempt: ServerAttempt,
        outcome: Outcome,
        report: dict[str, float] | None = None,
        unfit: bool = False,
    ) -> None:
        """Report how an attempt ended."""
        await self.post(AttemptFinished(attempt.spec.name, attempt.server, outcome, b"", report, unfit))

    async def post(self, message: Message) -> None:
        """Put a message into the dispatcher's inbox."""
        with suppress(trio.BrokenResourceError):  # the dispatcher has ended, and every request with it
            await self.inbox.send(message)

    async def _counted(self, task: Callable[..., Awaitable[None]], args: tuple[object, ...]) -> None:
        try:
            await task(*args)
        except Exception as error:  # A fault in one exchange must not end the node.
            self.counters.add("server_tasks_faulty")
            self.log.event("exchange_failed", level="error", error=repr(error))
        finally:
            self.task_count -= 1
