"""The platform's real servers: one exchange for each scheduling; call-backs tell the rest."""

from __future__ import annotations

import trio

from merlinbay.clock import Clock
from merlinbay.core import ports
from merlinbay.core.ports import Scheduling, ServiceEntry
from merlinbay.counters import Counters
from merlinbay.decision.api import Outcome
from merlinbay.http.client import Broken, NotSent, Reply
from merlinbay.http.pool import ConnectionPool
from merlinbay.limits import Limits
from merlinbay.platform import words


class PlatformServers:
    """Sends schedulings. All of it runs in the tasks of one nursery."""

    def __init__(self, nursery: trio.Nursery, pool: ConnectionPool,
                 inbox: trio.MemorySendChannel[ports.Message], clock: Clock, limits: Limits,
                 counters: Counters, has_load: bool) -> None:
        self.nursery, self.pool, self.inbox, self.clock = nursery, pool, inbox, clock
        self.limits, self.counters, self.has_load = limits, counters, has_load
        self.sending: dict[Scheduling, trio.CancelScope] = {}  # until their answer has come
        self.tasks = 0

    def start(self, scheduling: Scheduling) -> None:
        """Send an attempt."""
        if self.tasks >= self.limits.server_tasks:  # the owner's own task must not wait for itself
            self.nursery.start_soon(self._post, ports.SchedulingEnded(
                scheduling.spec.name, scheduling.server, Outcome.CONNECT_FAILED))
            return
        self.tasks += 1
        scope = self.sending[scheduling] = trio.CancelScope(
            deadline=self.clock.to_trio(scheduling.deadline_us) + self.limits.late_answer)
        self.nursery.start_soon(self._send, scheduling, scope)

    def give_up(self, scheduling: Scheduling) -> None:
        """Close the connection before the 202, delete the job after it."""
        scope = self.sending.pop(scheduling, None)
        if scope is not None:
            scope.cancel()
        elif self.tasks < self.limits.server_tasks:
            self.tasks += 1
            self.nursery.start_soon(self._delete, scheduling)

    def forget(self, scheduling: Scheduling) -> None:
        """Keep an exchange that is under way: its answer frees the connection."""

    def probe(self, server: str) -> None:
        """Ask a real server for its load."""
        self.tasks += 1
        self.nursery.start_soon(self._probe, server)

    def entries_changed(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Learn addresses."""
        self.pool.entries_changed(scope, entries)

    async def _send(self, scheduling: Scheduling, scope: trio.CancelScope) -> None:
        spec = scheduling.spec
        outcome: Outcome | None = None
        report = None
        wait_ms = max((scheduling.deadline_us - self.clock.now_us()) // 1000, 1)
        headers = [("x-request-id", spec.name), ("x-timeout-ms", str(wait_ms))]
        if spec.repeat_key:
            headers.append(("idempotency-key", spec.repeat_key))
        try:
            with scope:
                reply = await self.pool.exchange(scheduling.server, "POST", spec.target, headers, spec.body)
                outcome = outcome_of(reply)
                report = words.load_from(reply.headers.get("x-server-load", ""))
        except NotSent:
            outcome = Outcome.CONNECT_FAILED
        except Broken:
            outcome = Outcome.RESET
        finally:
            self.tasks -= 1
            self.sending.pop(scheduling, None)
        if outcome is not None and not scope.cancelled_caught:
            await self._post(ports.SchedulingEnded(spec.name, scheduling.server, outcome, b"", report))

    async def _delete(self, scheduling: Scheduling) -> None:
        try:
            with trio.move_on_after(self.limits.cancel_exchange):
                await self.pool.exchange(scheduling.server, "DELETE", f"/jobs/{scheduling.spec.name}", [])
                self.counters.add("deletes")
        except (NotSent, Broken):
            self.counters.add("deletes_failed")
        finally:
            self.tasks -= 1

    async def _probe(self, name: str) -> None:
        began = self.clock.now_us()
        outcome, report = Outcome.TIMEOUT, None
        try:
            with trio.move_on_after(self.limits.probe_exchange):
                target = "/-/load" if self.has_load else "/-/healthy"
                reply = await self.pool.exchange(name, "GET", target, [])
                outcome = Outcome.OK if reply.status == 200 else Outcome.ERROR
                report = words.load_from(reply.body.decode("latin-1"))
        except NotSent:
            outcome = Outcome.CONNECT_FAILED
        except Broken:
            outcome = Outcome.RESET
        finally:
            self.tasks -= 1
        await self._post(ports.ServerProbed(name, outcome, self.clock.now_us() - began, report))

    async def _post(self, message: ports.Message) -> None:
        try:
            await self.inbox.send(message)
        except trio.BrokenResourceError:  # the owner has ended, and with it every flow
            pass


def outcome_of(reply: Reply) -> Outcome | None:
    """Return what an answer says of its attempt; None: the job is taken, call-backs tell the rest."""
    if reply.status == 202:
        return None
    if reply.status in (503, 504) and reply.headers.get("x-not-processed") == "1":
        return Outcome.FULL
    return Outcome.ERROR
