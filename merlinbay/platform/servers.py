"""The platform's real servers: one exchange for each attempt; call-backs tell the rest."""

from __future__ import annotations

import trio

from merlinbay.clock import Clock
from merlinbay.core import ports
from merlinbay.core.ports import ServerAttempt
from merlinbay.counters import Counters
from merlinbay.decision.api import Outcome
from merlinbay.http.client import Reply
from merlinbay.http.pool import ConnectionPool
from merlinbay.http.servers import PooledServers
from merlinbay.limits import Limits
from merlinbay.log import Log
from merlinbay.platform import messages


class PlatformServers(PooledServers):
    """Sends attempts to executors."""

    def __init__(
        self,
        nursery: trio.Nursery,
        pool: ConnectionPool,
        inbox: trio.MemorySendChannel[ports.Message],
        clock: Clock,
        limits: Limits,
        counters: Counters,
        log: Log,
        has_load: bool,
    ) -> None:
        super().__init__(nursery, pool, inbox, clock, limits, counters, log)
        self.has_load = has_load
        self.sending: dict[ServerAttempt, trio.CancelScope] = {}  # until their answer has come

    def start(self, attempt: ServerAttempt) -> None:
        """Send an attempt."""
        scope = trio.CancelScope(deadline=self.clock.to_trio(attempt.deadline_us) + self.limits.late_answer)
        if self.spawn(self._send, attempt, scope):
            self.sending[attempt] = scope
        else:
            self.not_sent(attempt)

    def give_up(self, attempt: ServerAttempt) -> None:
        """Close the connection before the 202, delete the job after it."""
        scope = self.sending.pop(attempt, None)
        if scope is not None:
            scope.cancel()
        else:
            self.spawn(self._delete, attempt)

    def forget(self, attempt: ServerAttempt) -> None:
        """Keep an exchange that is under way: its answer frees the connection."""

    def recall(self, attempt: ServerAttempt) -> None:
        """Tell at once that it can't be: this wire does not say whether a deleted job had started."""
        self.nursery.start_soon(self.post, ports.AttemptRecalled(attempt.spec.name, attempt.server, False))

    def control(self, attempt: ServerAttempt, action: str) -> None:
        """Tell at once that this wire has no word for it."""
        self.nursery.start_soon(
            self.post,
            ports.AttemptControlled(
                attempt.spec.name,
                attempt.server,
                action,
                "UnsupportedOperationException",
                "the real server has no such operation",
            ),
        )

    def probe(self, server: str) -> None:
        """Ask a real server for its load."""
        self.spawn(self._probe, server)

    async def _send(self, attempt: ServerAttempt, scope: trio.CancelScope) -> None:
        spec = attempt.spec
        wait_ms = max((attempt.deadline_us - self.clock.now_us()) // 1000, 1)
        headers = [("x-request-id", spec.name), ("x-timeout-ms", str(wait_ms))]
        if spec.repeat_key:
            headers.append(("idempotency-key", spec.repeat_key))
        reply: Reply | Outcome | None = None
        begun = False

        def wanted() -> bool:
            nonlocal begun
            begun = attempt.wanted()
            return begun

        with scope:
            reply = await self.exchange(attempt.server, "POST", spec.target, headers, spec.body, wanted)
        given_up = self.sending.pop(attempt, None) is None
        if given_up and begun and reply is None:
            # Guards against a 202 that crosses the close: the job was taken then, and would run on.
            await self._delete(attempt)
        elif isinstance(reply, Outcome):
            await self.ended(attempt, reply)
        elif reply is not None and (outcome := outcome_of(reply)) is not None:
            await self.ended(
                attempt,
                outcome,
                messages.load_from(reply.headers.get("x-server-load", "")),
                unfit=400 <= reply.status < 500,
            )

    async def _delete(self, attempt: ServerAttempt) -> None:
        with trio.move_on_after(self.limits.cancel_exchange):
            reply = await self.exchange(attempt.server, "DELETE", f"/jobs/{attempt.spec.name}", [])
            self.counters.add("deletes" if isinstance(reply, Reply) else "deletes_failed")

    async def _probe(self, name: str) -> None:
        began = self.clock.now_us()
        reply: Reply | Outcome = Outcome.TIMEOUT
        with trio.move_on_after(self.limits.probe_exchange):
            reply = await self.exchange(name, "GET", "/-/load" if self.has_load else "/-/healthy", [])
        outcome, report = reply if isinstance(reply, Outcome) else Outcome.ERROR, None
        if isinstance(reply, Reply):
            outcome = Outcome.OK if reply.status == 200 else Outcome.ERROR
            report = messages.load_from(reply.body.decode("latin-1"))
        await self.post(ports.ServerProbed(name, outcome, self.clock.now_us() - began, report))


def refuses(reply: Reply) -> bool:
    """Tell whether an answer proves that its job never ran."""
    return outcome_of(reply) is Outcome.FULL


def outcome_of(reply: Reply) -> Outcome | None:
    """Return what an answer says of its attempt; None: the job is taken, call-backs tell the rest."""
    if reply.status == 202:
        return None
    if reply.status in (503, 504) and reply.headers.get("x-not-processed") == "1":
        return Outcome.FULL
    return Outcome.ERROR
