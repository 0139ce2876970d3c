"""The platform's servers: one HTTP exchange for each attempt; call-backs report the rest."""

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
        self.reports_load = reports_load  # whether ``/-/load`` is there
        self.sending: dict[ServerAttempt, trio.CancelScope] = {}  # until the reply

    def start(self, attempt: ServerAttempt) -> None:
        """Send an attempt."""
        scope = trio.CancelScope(
            deadline=self.clock.to_trio(attempt.deadline_at_us) + self.limits.late_response_timeout_s
        )
        if self.spawn(self._send, attempt, scope):
            self.sending[attempt] = scope
        else:
            self.report_not_sent(attempt)

    def cancel(self, attempt: ServerAttempt) -> None:
        """Close the connection before the 202; delete the job after it."""
        scope = self.sending.pop(attempt, None)
        if scope is not None:
            scope.cancel()
        else:
            self.spawn(self._cancel_accepted, attempt)

    def forget(self, attempt: ServerAttempt) -> None:
        """Do nothing: an exchange under way goes on, and its reply frees the connection."""

    def recall(self, attempt: ServerAttempt) -> None:
        """Report at once that it cannot be done: this wire does not say whether a deleted job had started."""
        self.nursery.start_soon(self.post, AttemptRecalled(attempt.spec.name, attempt.server, False))

    def control(self, attempt: ServerAttempt, action: str) -> None:
        """Report at once that this wire has no such operation."""
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
        has_begun = False

        def before_send() -> Headers:
            nonlocal has_begun
            check_may_begin(attempt)
            has_begun = True
            return [("x-timeout-ms", str(self._remaining_ms(attempt)))]

        with scope:
            request = OutgoingRequest(
                "POST", spec.target, headers, spec.body, before_send, replies.is_conclusive
            )
            reply = await self.exchange(attempt.server, request)
        is_cancelled = self.sending.pop(attempt, None) is None
        if is_cancelled:
            if has_begun and may_hold_job(reply):
                # Guards against a 202 that crosses the close: the job was taken, and would run on.
                await self._delete(attempt)
        elif isinstance(reply, Outcome):
            await self.report_ended(attempt, reply)
        elif reply is not None:
            await self._handle_reply(attempt, reply)

    def _remaining_ms(self, attempt: ServerAttempt) -> int:
        """Return how long the attempt may still take."""
        # Guards against a timeout at the server that does not count the time that connecting took.
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
            # Guards against a job that runs on beside its retry: the attempt ends once the server confirms
            # the DELETE, and without that it is waited for like one that was taken.
            if not await self._delete(attempt):
                return
        await self.report_ended(attempt, replies.OUTCOMES[kind], report, unfit=kind is JobReply.REJECTED)

    async def _cancel_accepted(self, attempt: ServerAttempt) -> None:
        await self._delete(attempt)

    async def _delete(self, attempt: ServerAttempt) -> bool:
        """Delete an attempt's job at its server; return whether the server has answered."""
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


def may_hold_job(reply: Reply | Outcome | None) -> bool:
    """Return whether the server may hold a job after this reply; None: the exchange was cancelled."""
    if reply is None:
        return True
    return isinstance(reply, Reply) and replies.classify(reply) in (JobReply.TAKEN, JobReply.UNKNOWN)
