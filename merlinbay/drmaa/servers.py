"""Real servers that are batch schedulers: runJob for each attempt; notifications tell the rest."""

from __future__ import annotations

from functools import partial

import msgspec
import trio

from merlinbay.clock import Clock
from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.messages import (
    AttemptControlled,
    AttemptFinished,
    AttemptRecalled,
    AttemptStarted,
    AttemptStatusUnknown,
    AttemptSuspended,
    Message,
    ServerChecked,
)
from merlinbay.core.values import ExitDetails, ServiceEntry
from merlinbay.counters import Counters
from merlinbay.decision.outcomes import Outcome
from merlinbay.drmaa import schema, templates
from merlinbay.drmaa.status_polling import PollingLimits, StatusPolling
from merlinbay.http.client import Reply
from merlinbay.http.connection import Connection, Request, Response
from merlinbay.http.pool import ConnectionPool, OutgoingRequest
from merlinbay.http.pooled_transport import PooledServerTransport, check_may_begin
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log

UNSTARTED = {"TryLaterException", "OutOfResourceException"}
JOBS = "/drmaa2/jobs"


class DrmaaServers(PooledServerTransport):
    """Sends attempts to schedulers."""

    def __init__(
        self,
        nursery: trio.Nursery,
        pool: ConnectionPool,
        inbox: trio.MemorySendChannel[Message],
        clock: Clock,
        limits: ResourceLimits,
        counters: Counters,
        log: Log,
        notify: str,
        ask: PollingLimits,
    ) -> None:
        super().__init__(nursery, pool, inbox, clock, limits, counters, log)
        self.notify = notify
        self.sending: set[ServerAttempt] = set()  # their runJob is unanswered,
        self.given_up: set[ServerAttempt] = set()  # and of these, the ones to terminate then,
        self.recalls: set[ServerAttempt] = set()  # and to call back
        self.job_ids: dict[ServerAttempt, str] = {}  # of the taken ones, until they end,
        self.taken: dict[tuple[str, str], ServerAttempt] = {}  # and these by job name and scheduler
        self.polling = StatusPolling(ask)
        self.started_us: dict[str, int] = {}  # of the schedulers
        self.nap = trio.CancelScope()

    def start(self, attempt: ServerAttempt) -> None:
        """Send an attempt."""
        if self.spawn(self._send, attempt):
            self.sending.add(attempt)
        else:
            self.report_not_sent(attempt)

    def cancel(self, attempt: ServerAttempt) -> None:
        """Terminate the job, as soon as its id is known."""
        # Guards against a cancel that crosses runJob: closing the connection would leave a job running
        # whose id nobody has, so its answer is waited for and the job terminated then.
        if attempt in self.sending:
            self.given_up.add(attempt)
        elif job_id := self.job_ids.pop(attempt, ""):
            self.spawn(self._terminate, attempt.server, job_id)

    def forget(self, attempt: ServerAttempt) -> None:
        """Drop the job's id."""
        self.job_ids.pop(attempt, None)
        self.recalls.discard(attempt)
        if self.taken.pop((attempt.spec.name, attempt.server), None) is not None:
            self.polling.forget(attempt)

    def recall(self, attempt: ServerAttempt) -> None:
        """Take the job back if it has not started, as soon as its id is known."""
        if attempt in self.sending:
            self.recalls.add(attempt)
        elif job_id := self.job_ids.get(attempt, ""):
            self.spawn(self._recall, attempt, job_id)

    def control(self, attempt: ServerAttempt, action: str) -> None:
        """Pass ``suspend`` or ``resume`` on."""
        self.spawn(self._control, attempt, self.job_ids.get(attempt, ""), action)

    def check_health(self, server: str) -> None:
        """Tell at once that the probe failed: schedulers of this binding have none."""
        self.nursery.start_soon(self.post, ServerChecked(server, Outcome.ERROR, 0))

    def update_endpoints(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Learn addresses, and ask schedulers that have restarted or gone for the jobs they had."""
        super().update_endpoints(scope, entries)
        now, changed = self.clock.now_us(), set()
        if scope in ("all", "remembered"):
            changed = set(self.started_us) - {entry.server for entry in entries}
        for entry in entries:
            if self.started_us.get(entry.server, entry.started_at_us) != entry.started_at_us or (
                entry.state == "removed"
            ):
                changed.add(entry.server)
            self.started_us[entry.server] = entry.started_at_us
        for server in changed:
            if server not in {entry.server for entry in entries if entry.state != "removed"}:
                self.started_us.pop(server, None)
        if changed:
            for (_, server), attempt in self.taken.items():
                if server in changed:
                    self.polling.hasten(attempt, now)
            self._rouse()

    def heard(self, job_name: str, server: str) -> None:
        """Take it that a scheduler told of a job: it need not be asked soon."""
        attempt = self.taken.get((job_name, server))
        if attempt is not None:
            self.polling.heard(attempt, self.clock.now_us())

    async def run(self) -> None:
        """IncomingCall for the state of jobs that nothing was heard of, for ever."""
        while True:
            due = self.polling.next_us()
            with trio.CancelScope(
                deadline=float("inf") if due is None else self.clock.to_trio(due)
            ) as self.nap:
                await trio.sleep_forever()
            for key in self.polling.take(self.clock.now_us()):
                assert isinstance(key, ServerAttempt)
                if not self.spawn(self._ask, key, self.job_ids.get(key, "")):
                    self.polling.missed(key, self.clock.now_us())

    def _rouse(self) -> None:
        due = self.polling.next_us()
        if due is not None and self.clock.to_trio(due) < self.nap.deadline:
            self.nap.deadline = self.clock.to_trio(due)

    async def _send(self, attempt: ServerAttempt) -> None:
        call = schema.RunJob(
            templates.template_for(attempt.spec, attempt.deadline_at_us), attempt.server, self.notify
        )
        reply: Reply | Outcome = Outcome.TIMEOUT
        with trio.move_on_at(
            self.clock.to_trio(attempt.deadline_at_us) + self.limits.late_response_timeout_s
        ):
            request = OutgoingRequest(
                "POST",
                JOBS,
                [("content-type", "application/json")],
                schema.write(call),
                partial(check_may_begin, attempt),
            )
            reply = await self.exchange(attempt.server, request)
        outcome, job_id = outcome_of(reply) if isinstance(reply, Reply) else (reply, "")
        self.sending.discard(attempt)
        gave_up, recall = attempt in self.given_up, attempt in self.recalls
        self.given_up.discard(attempt)
        self.recalls.discard(attempt)
        if job_id and gave_up:
            await self._terminate(attempt.server, job_id)
        elif job_id and not attempt.has_ended:
            self.job_ids[attempt] = job_id
            self.taken[attempt.spec.name, attempt.server] = attempt
            self.polling.watch(attempt, attempt.deadline_at_us, self.clock.now_us())
            self._rouse()
            if recall:
                await self._recall(attempt, job_id)
        elif not job_id and not gave_up:
            await self.report_ended(
                attempt,
                outcome,
                unfit=(isinstance(reply, Reply) and outcome is Outcome.ERROR and reply.status == 400),
            )

    async def _terminate(self, server: str, job_id: str) -> None:
        with trio.move_on_after(self.limits.cancel_timeout_s):
            reply = await self.exchange(server, OutgoingRequest("POST", f"{JOBS}/{job_id}/terminate"))
            self.counters.add("drmaa_terminates" if isinstance(reply, Reply) else "drmaa_terminates_failed")

    async def _recall(self, attempt: ServerAttempt, job_id: str) -> None:
        done = False
        with trio.move_on_after(self.limits.cancel_timeout_s):
            reply = await self.exchange(attempt.server, OutgoingRequest("POST", f"{JOBS}/{job_id}/recall"))
            done = isinstance(reply, Reply) and reply.status == 200
        self.counters.add("drmaa_recalls" if done else "drmaa_recalls_failed")
        await self.post(AttemptRecalled(attempt.spec.name, attempt.server, done))

    async def _control(self, attempt: ServerAttempt, job_id: str, action: str) -> None:
        error, message = "DrmCommunicationException", "its scheduler did not answer"
        with trio.move_on_after(self.limits.cancel_timeout_s):
            reply = await self.exchange(attempt.server, OutgoingRequest("POST", f"{JOBS}/{job_id}/{action}"))
            if isinstance(reply, Reply):
                error, message = error_of(reply)
        self.counters.add("drmaa_controls_failed" if error else "drmaa_controls")
        await self.post(AttemptControlled(attempt.spec.name, attempt.server, action, error, message))

    async def _ask(self, attempt: ServerAttempt, job_id: str) -> None:
        """IncomingCall for one job's state, and tell what differs from what is known."""
        reply: Reply | Outcome = Outcome.TIMEOUT
        with trio.move_on_after(self.limits.cancel_timeout_s):
            reply = await self.exchange(attempt.server, OutgoingRequest("GET", f"{JOBS}/{job_id}"))
        self.counters.add("drmaa_asked")
        now, name, server = self.clock.now_us(), attempt.spec.name, attempt.server
        info: schema.JobInfo | None = None
        if isinstance(reply, Reply) and reply.status == 200:
            try:
                info = schema.read_job_info(reply.body)
            except msgspec.DecodeError:
                self.counters.add("drmaa_notifications_bad")
        if info is not None:
            was_unseen = self.polling.answered(attempt, now)
            message = message_of(schema.Notification("NEW_STATE", server, name, info.jobState, job_id, info))
            if message is not None and not isinstance(message, AttemptStatusUnknown):
                if isinstance(message, AttemptFinished):
                    self.counters.add("drmaa_found_ended")
                await self.post(message)
            elif was_unseen:
                await self.post(AttemptStatusUnknown(name, server, True))
        elif isinstance(reply, Reply) and reply.status == 404:
            # A scheduler that has restarted and knows no job: nobody can tell whether it had run.
            self.counters.add("drmaa_found_lost")
            await self.report_ended(attempt, Outcome.RESET)
        else:
            sight = self.polling.missed(attempt, now)
            if sight == "unseen":
                await self.post(AttemptStatusUnknown(name, server, False))
            elif sight == "gone":
                await self.report_ended(attempt, Outcome.RESET)
        self._rouse()


def outcome_of(reply: Reply) -> tuple[Outcome, str]:
    """Return what runJob's answer says: the job's id if it was taken, else the attempt's outcome."""
    try:
        if reply.status == 201:
            return Outcome.OK, schema.read_job_info(reply.body).jobId
        body = msgspec.json.decode(reply.body, type=dict[str, object])
    except msgspec.DecodeError:
        return Outcome.ERROR, ""
    return (Outcome.FULL if body.get("exception") in UNSTARTED else Outcome.ERROR), ""


def error_of(reply: Reply) -> tuple[str, str]:
    """Return the exception and the text of an answer; both empty if it is none."""
    if reply.status == 200:
        return "", ""
    try:
        body = msgspec.json.decode(reply.body, type=dict[str, object])
    except msgspec.DecodeError:
        body = {}
    name = str(body.get("exception", ""))
    if name not in schema.STATUSES:
        name = "UnsupportedOperationException" if reply.status in (404, 405) else "DrmCommunicationException"
    return name, str(body.get("message", f"status {reply.status}"))[:200]


class NotificationHandler:
    """Takes the schedulers' notifications at ``/drmaa2/notifications``."""

    def __init__(self, inbox: trio.MemorySendChannel[Message], counters: Counters) -> None:
        self.inbox, self.counters = inbox, counters
        self.servers: DrmaaServers | None = None

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Take one. What matches nothing, repeats, or crosses a terminate is answered all the same."""
        if request.method != "POST":
            return Response(405)
        try:
            note = schema.read_notification(request.body)
        except msgspec.DecodeError:
            self.counters.add("drmaa_notifications_bad")
            return Response(400)
        self.counters.add("drmaa_notifications")
        if self.servers is not None:
            self.servers.heard(note.jobName, note.sessionName)
        message = message_of(note)
        if message is not None:
            await self.inbox.send(message)
        return Response(200)

    def client_disconnected(self, connection: Connection) -> None:
        """Nothing is owed to a scheduler that hangs up."""


def message_of(note: schema.Notification) -> Message | None:
    """Translate a notification; states that change nothing for the core give None."""
    if note.event != "NEW_STATE":
        return None
    if note.jobState == schema.RUNNING:
        return AttemptStarted(note.jobName, note.sessionName)
    if note.jobState == schema.SUSPENDED:
        return AttemptSuspended(note.jobName, note.sessionName)
    info = note.jobInfo or schema.JobInfo(note.jobId, note.jobState)
    ending = ExitDetails(
        info.exitStatus,
        info.terminatingSignal,
        int((info.cpuTime or 0) * 1e6),
        info.annotation,
        info.output if note.jobState == schema.FAILED else b"",
    )
    if note.jobState == schema.DONE:
        return AttemptFinished(note.jobName, note.sessionName, Outcome.OK, info.output, exit_details=ending)
    if note.jobState == schema.FAILED:
        outcome = (
            Outcome.FULL
            if info.exception in UNSTARTED  # handed back unstarted, by a drain for one
            else Outcome.RESET
            if info.terminatingSignal
            else Outcome.ERROR
        )
        # Guards against a job that fails by itself and is run again and again: it has told its exit status.
        ran = outcome is Outcome.ERROR and info.exitStatus is not None and not info.exception
        return AttemptFinished(note.jobName, note.sessionName, outcome, is_unfit=ran, exit_details=ending)
    return None
