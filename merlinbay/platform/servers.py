"""The transport to the platform's servers: one HTTP exchange for each attempt; callbacks report the rest.

The dispatcher calls it to start and cancel attempts and to check servers' health. Each exchange runs in its
own task and posts its result to the dispatcher's inbox. An attempt that the server has not accepted ends with
the outcome of its exchange.
"""

from __future__ import annotations

import trio

from merlinbay.clock import Clock
from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.messages import AttemptControlled, AttemptRecalled, Message, ServerChecked
from merlinbay.counters import Counters
from merlinbay.decision.outcomes import Outcome
from merlinbay.http.client import Headers, Reply
from merlinbay.http.pool import ConnectionPool, OutgoingRequest
from merlinbay.http.pooled_transport import PooledServerTransport, check_may_begin
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log
from merlinbay.platform import messages, replies
from merlinbay.platform.replies import JobReply


class PlatformServers(PooledServerTransport):
    """Sends attempts to the platform's servers."""

    def __init__(
        self,
        nursery: trio.Nursery,
        pool: ConnectionPool,
        inbox: trio.MemorySendChannel[Message],
        clock: Clock,
        limits: ResourceLimits,
        counters: Counters,
        log: Log,
        reports_load: bool,
    ) -> None:
        super().__init__(nursery, pool, inbox, clock, limits, counters, log)
        self.reports_load = reports_load  # whether servers answer ``/-/load``
        self.sending: dict[ServerAttempt, trio.CancelScope] = {}  # scopes of exchanges without a reply yet

    def start(self, attempt: ServerAttempt) -> None:
        """Send an attempt to its server in a new task."""
        scope = trio.CancelScope(
            deadline=self.clock.to_trio(attempt.deadline_at_us) + self.limits.late_response_timeout_s
        )
        if self.spawn(self._send, attempt, scope):
            self.sending[attempt] = scope
        else:
            self.report_not_sent(attempt)

    def cancel(self, attempt: ServerAttempt) -> None:
        """Close the connection if no reply has arrived; otherwise delete the job at its server."""
        scope = self.sending.pop(attempt, None)
        if scope is not None:
            scope.cancel()
        else:
            self.spawn(self._cancel_accepted, attempt)

    def forget(self, attempt: ServerAttempt) -> None:
        """Do nothing: an exchange in progress continues, and its reply frees the connection."""

    def recall(self, attempt: ServerAttempt) -> None:
        """Report at once that no recall is possible: a DELETE's reply does not say if the job had started."""
        self.nursery.start_soon(self.post, AttemptRecalled(attempt.spec.name, attempt.server, False))

    def control(self, attempt: ServerAttempt, action: str) -> None:
        """Report at once that this protocol has no such operation."""
        self.nursery.start_soon(
            self.post,
            AttemptControlled(
                attempt.spec.name,
                attempt.server,
                action,
                "UnsupportedOperationException",
                "the real server has no such operation",
            ),
        )

    def check_health(self, server: str) -> None:
        """Check a server's health, and read its load report where there is one."""
        self.spawn(self._probe, server)

    async def _send(self, attempt: ServerAttempt, scope: trio.CancelScope) -> None:
        spec = attempt.spec
        headers = [("x-request-id", spec.name)]
        if spec.idempotency_key:
            headers.append(("idempotency-key", spec.idempotency_key))
        reply: Reply | Outcome | None = None
        has_begun_sending = False

        def before_send() -> Headers:
            nonlocal has_begun_sending
            check_may_begin(attempt)
            has_begun_sending = True
            return [("x-timeout-ms", str(self._remaining_ms(attempt)))]

        with scope:
            request = OutgoingRequest(
                "POST", spec.target, headers, spec.body, before_send, replies.is_conclusive
            )
            reply = await self.exchange(attempt.server, request)
        is_cancelled = self.sending.pop(attempt, None) is None
        if is_cancelled:
            if has_begun_sending and may_have_job(reply):
                # A 202 may have crossed the close; the server has then accepted the job and would run it.
                await self._delete(attempt)
        elif isinstance(reply, Outcome):
            await self.report_ended(attempt, reply)
        elif reply is not None:
            await self._handle_reply(attempt, reply)

    def _remaining_ms(self, attempt: ServerAttempt) -> int:
        """Return the time until the attempt's deadline."""
        # Computed when the request is sent, so that the time taken to connect counts.
        return max((attempt.deadline_at_us - self.clock.now_us()) // 1000, 1)

    async def _handle_reply(self, attempt: ServerAttempt, reply: Reply) -> None:
        """Report what a reply proves about its attempt."""
        kind = replies.classify(reply)
        if kind is JobReply.TAKEN:
            return
        report = messages.read_load_header(reply.headers.get("x-server-load", ""))
        if kind is JobReply.UNKNOWN:
            self.counters.add("answers_unknown")
            self.log.event("answer_unknown", level="warning", server=attempt.server, status=reply.status)
            # The job must not run on beside its retry. So the attempt ends here only if the server answers
            # the DELETE; otherwise it stays open, like one that the server has accepted.
            if not await self._delete(attempt):
                return
        await self.report_ended(attempt, replies.OUTCOMES[kind], report, unfit=kind is JobReply.REJECTED)

    async def _cancel_accepted(self, attempt: ServerAttempt) -> None:
        await self._delete(attempt)

    async def _delete(self, attempt: ServerAttempt) -> bool:
        """Delete an attempt's job at its server, and return whether the server has answered."""
        reply: Reply | Outcome | None = None
        with trio.move_on_after(self.limits.cancel_timeout_s):
            request = OutgoingRequest("DELETE", f"/jobs/{attempt.spec.name}", may_reuse_in_quarantine=True)
            reply = await self.exchange(attempt.server, request)
            self.counters.add("deletes" if isinstance(reply, Reply) else "deletes_failed")
        return isinstance(reply, Reply)

    async def _probe(self, name: str) -> None:
        began_us = self.clock.now_us()
        reply: Reply | Outcome = Outcome.TIMEOUT
        with trio.move_on_after(self.limits.health_check_timeout_s):
            request = OutgoingRequest("GET", "/-/load" if self.reports_load else "/-/healthy")
            reply = await self.exchange(name, request)
        outcome, report = reply if isinstance(reply, Outcome) else Outcome.ERROR, None
        if isinstance(reply, Reply):
            outcome = Outcome.OK if reply.status == 200 else Outcome.ERROR
            report = messages.read_load_header(reply.body.decode("latin-1"))
        await self.post(ServerChecked(name, outcome, self.clock.now_us() - began_us, report))


def may_have_job(reply: Reply | Outcome | None) -> bool:
    """Return whether the server may have the job after this reply; None: the exchange was cancelled."""
    if reply is None:
        return True
    return isinstance(reply, Reply) and replies.classify(reply) in (JobReply.TAKEN, JobReply.UNKNOWN)
