"""What every real-server side over the connection pool has in common."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

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

UNREADABLE = 0  # the status of an answer that is no HTTP, or larger than is taken


def check_may_begin(attempt: ServerAttempt) -> Headers:
    """Look at an attempt right before its first byte, as a ``PreSendCheck``.

    Raises ``AttemptWithheldError``.
    """
    if not attempt.may_begin():
        raise AttemptWithheldError("its client has left, or its class allows it no more")
    return []


class PooledServerTransport:
    """Tasks of one nursery, so many at the most, that have exchanges and post what came of them."""

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
        self.log, self.task_count = log, 0

    def update_endpoints(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Learn addresses."""
        self.pool.update_endpoints(scope, entries)

    def spawn(self, task: Callable[..., Awaitable[None]], *args: object) -> bool:
        """Start a task, unless there are too many."""
        if self.task_count >= self.limits.server_tasks:
            self.counters.add("server_tasks_missing")
            return False
        self.task_count += 1
        self.nursery.start_soon(self._counted, task, args)
        return True

    def report_not_sent(self, attempt: ServerAttempt) -> None:
        """Tell that an attempt never went out. The owner's own task must not wait for its inbox."""
        self.nursery.start_soon(self.report_ended, attempt, Outcome.CONNECT_FAILED)

    async def exchange(self, server: str, request: OutgoingRequest) -> Reply | Outcome:
        """Have one exchange; return its answer, be it an unreadable one, or the outcome where none came."""
        try:
            return await self.pool.exchange(server, request)
        except (AttemptWithheldError, LocalResourceError):
            # Guards against servers that are left out as failing for what this machine lacks.
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
        """Tell how an attempt ended."""
        await self.post(AttemptFinished(attempt.spec.name, attempt.server, outcome, b"", report, unfit))

    async def post(self, message: Message) -> None:
        """Put a message into the owner's inbox."""
        try:
            await self.inbox.send(message)
        except trio.BrokenResourceError:  # the owner has ended, and with it every request
            pass

    async def _counted(self, task: Callable[..., Awaitable[None]], args: tuple[object, ...]) -> None:
        try:
            await task(*args)
        except Exception as error:  # Guards against a fault in one exchange ending the node.
            self.counters.add("server_tasks_faulty")
            self.log.event("exchange_failed", level="error", error=repr(error))
        finally:
            self.task_count -= 1
