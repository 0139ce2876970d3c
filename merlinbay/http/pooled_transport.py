"""What all server transports over the connection pool have in common."""

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

UNREADABLE = 0  # the status of a response that is no HTTP, or too large


def check_may_begin(attempt: ServerAttempt) -> Headers:
    """Check an attempt right before its first byte, as a ``PreSendCheck``.

    Raises ``AttemptWithheldError``.
    """
    if not attempt.may_begin():
        raise AttemptWithheldError("its client has left, or its class allows it no more")
    return []


class PooledServerTransport:
    """Exchanges with servers in tasks, up to a limit, whose results are posted to the dispatcher's inbox."""

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
        self.task_count = 0  # exchanges in progress

    def update_endpoints(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Take addresses."""
        self.pool.update_endpoints(scope, entries)

    def spawn(self, task: Callable[..., Awaitable[None]], *args: object) -> bool:
        """Start a task, unless there are too many; tell whether it starts."""
        if self.task_count >= self.limits.server_tasks:
            self.counters.add("server_tasks_missing")
            return False
        self.task_count += 1
        self.nursery.start_soon(self._counted, task, args)
        return True

    def report_not_sent(self, attempt: ServerAttempt) -> None:
        """Report that an attempt was not sent."""
        # Guards against a deadlock: the dispatcher's task calls this, and must not wait for its own inbox.
        self.nursery.start_soon(self.report_ended, attempt, Outcome.CONNECT_FAILED)

    async def exchange(self, server: str, request: OutgoingRequest) -> Reply | Outcome:
        """Send a request; return the response, even an unreadable one, or the outcome if none came."""
        try:
            return await self.pool.exchange(server, request)
        except (AttemptWithheldError, LocalResourceError):
            # Guards against servers that are ejected as failing for what this machine lacks.
            return Outcome.MOOT
        except RequestNotSentError:
            return Outcome.CONNECT_FAILED
        except UnreadableResponseError:
            return Reply(UNREADABLE, {}, b"")
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
        with suppress(trio.BrokenResourceError):  # the dispatcher has ended, and with it every request
            await self.inbox.send(message)

    async def _counted(self, task: Callable[..., Awaitable[None]], args: tuple[object, ...]) -> None:
        try:
            await task(*args)
        except Exception as error:  # Guards against a fault in one exchange that would end the node.
            self.counters.add("server_tasks_faulty")
            self.log.event("exchange_failed", level="error", error=repr(error))
        finally:
            self.task_count -= 1
