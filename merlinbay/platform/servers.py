"""The platform's real servers: one exchange for each attempt; call-backs tell the rest."""

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
    """Sends attempts to executors."""

    def __init__(
        self,
        nursery: trio.Nursery,
        pool: ConnectionPool,
        inbox: trio.MemorySendChannel[Message],
        clock: Clock,
        limits: ResourceLimits,
        counters: Counters,
        log: Log,
        has_load: bool,
    ) -> None:
        super().__init__(nursery, pool, inbox, clock, limits, counters, log)
        self.has_load = has_load
        self.sending: dict[ServerAttempt, trio.CancelScope] = {}  # until their answer has come

    def start(self, attempt: ServerAttempt) -> None:
        """Send an attempt."""
        scope = trio.CancelScope(
            deadline=self.clock.to_trio(attempt.deadline_at_us) + self.limits.late_answer
        )
        if self.spawn(self._send, attempt, scope):
            self.sending[attempt] = scope
        else:
            self.report_not_sent(attempt)

    def give_up(self, attempt: ServerAttempt) -> None:
        """Close the connection before the 202, delete the job after it."""
        scope = self.sending.pop(attempt, None)
        if scope is not None:
            scope.cancel()
        else:
            self.spawn(self._give_up_taken, attempt)

    def forget(self, attempt: ServerAttempt) -> None:
        """Keep an exchange that is under way: its answer frees the connection."""

    def recall(self, attempt: ServerAttempt) -> None:
        """Tell at once that it can't be: this wire does not say whether a deleted job had started."""
        self.nursery.start_soon(self.post, AttemptRecalled(attempt.spec.name, attempt.server, False))

    def control(self, attempt: ServerAttempt, action: str) -> None:
        """Tell at once that this wire has no word for it."""
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
        """Ask a real server for its load."""
        self.spawn(self._probe, server)

    async def _send(self, attempt: ServerAttempt, scope: trio.CancelScope) -> None:
        spec = attempt.spec
        headers = [("x-request-id", spec.name)]
        if spec.idempotency_key:
            headers.append(("idempotency-key", spec.idempotency_key))
        reply: Reply | Outcome | None = None
        begun = False

        def check_before_sending() -> Headers:
            nonlocal begun
            check_may_begin(attempt)
            begun = True
            return [("x-timeout-ms", str(self._wait_ms(attempt)))]

        with scope:
            request = OutgoingRequest(
                "POST", spec.target, headers, spec.body, check_before_sending, replies.settles
            )
            reply = await self.exchange(attempt.server, request)
        given_up = self.sending.pop(attempt, None) is None
        if given_up:
            if begun and may_be_held(reply):
                # Guards against an answer that crosses the close: the job was taken then, and would run on.
                await self._delete(attempt)
        elif isinstance(reply, Outcome):
            await self.report_ended(attempt, reply)
        elif reply is not None:
            await self._take(attempt, reply)

    def _wait_ms(self, attempt: ServerAttempt) -> int:
        """Return how long the attempt is waited for from now on."""
        # Guards against a dial that eats from the client's time and is not taken off what servers are told.
        return max((attempt.deadline_at_us - self.clock.now_us()) // 1000, 1)

    async def _take(self, attempt: ServerAttempt, reply: Reply) -> None:
        """Tell what an answer says of its attempt."""
        found = replies.classify(reply)
        if found is JobReply.TAKEN:
            return
        report = messages.load_from(reply.headers.get("x-server-load", ""))
        if found is JobReply.UNKNOWN:
            self.counters.add("answers_unknown")
            self.log.event("answer_unknown", level="warning", server=attempt.server, status=reply.status)
            # Guards against a job that runs on beside its repeat: the attempt ends once it is given up, and
            # where the server does not confirm that, it is waited for like one that was taken.
            if not await self._delete(attempt):
                return
        await self.report_ended(attempt, replies.OUTCOMES[found], report, unfit=found is JobReply.REJECTED)

    async def _give_up_taken(self, attempt: ServerAttempt) -> None:
        await self._delete(attempt)

    async def _delete(self, attempt: ServerAttempt) -> bool:
        """Give up an attempt at its server; tell whether the server has answered."""
        reply: Reply | Outcome | None = None
        with trio.move_on_after(self.limits.cancel_exchange):
            request = OutgoingRequest("DELETE", f"/jobs/{attempt.spec.name}", may_reuse_in_quarantine=True)
            reply = await self.exchange(attempt.server, request)
            self.counters.add("deletes" if isinstance(reply, Reply) else "deletes_failed")
        return isinstance(reply, Reply)

    async def _probe(self, name: str) -> None:
        began = self.clock.now_us()
        reply: Reply | Outcome = Outcome.TIMEOUT
        with trio.move_on_after(self.limits.probe_exchange):
            request = OutgoingRequest("GET", "/-/load" if self.has_load else "/-/healthy")
            reply = await self.exchange(name, request)
        outcome, report = reply if isinstance(reply, Outcome) else Outcome.ERROR, None
        if isinstance(reply, Reply):
            outcome = Outcome.OK if reply.status == 200 else Outcome.ERROR
            report = messages.load_from(reply.body.decode("latin-1"))
        await self.post(ServerChecked(name, outcome, self.clock.now_us() - began, report))


def may_be_held(reply: Reply | Outcome | None) -> bool:
    """Tell whether a server may hold a job of which this came back; None: the exchange was cancelled."""
    if reply is None:
        return True
    return isinstance(reply, Reply) and replies.classify(reply) in (JobReply.TAKEN, JobReply.UNKNOWN)
