"""Real servers that are batch schedulers: runJob for each scheduling; notifications tell the rest."""

from __future__ import annotations

import msgspec
import trio

from merlinbay.clock import Clock
from merlinbay.core import ports
from merlinbay.core.ports import Scheduling
from merlinbay.counters import Counters
from merlinbay.decision.api import Outcome
from merlinbay.drmaa import words
from merlinbay.http.client import Reply
from merlinbay.http.pool import ConnectionPool
from merlinbay.http.server import Connection, Request, Response
from merlinbay.http.servers import PooledServers
from merlinbay.limits import Limits
from merlinbay.log import Log

UNSTARTED = {"TryLaterException", "OutOfResourceException"}


class DrmaaServers(PooledServers):
    """Sends schedulings to schedulers."""

    def __init__(self, nursery: trio.Nursery, pool: ConnectionPool,
                 inbox: trio.MemorySendChannel[ports.Message], clock: Clock, limits: Limits,
                 counters: Counters, log: Log, notify: str) -> None:
        super().__init__(nursery, pool, inbox, clock, limits, counters, log)
        self.notify = notify
        self.sending: set[Scheduling] = set()  # their runJob is unanswered,
        self.given_up: set[Scheduling] = set()  # and of these, the ones to terminate then
        self.job_ids: dict[Scheduling, str] = {}  # of the taken ones, until they end

    def start(self, scheduling: Scheduling) -> None:
        """Send an attempt."""
        if self.spawn(self._send, scheduling):
            self.sending.add(scheduling)
        else:
            self.not_sent(scheduling)

    def give_up(self, scheduling: Scheduling) -> None:
        """Terminate the job, as soon as its id is known."""
        # Guards against a cancel that crosses runJob: closing the connection would leave a job running
        # whose id nobody has, so its answer is waited for and the job terminated then.
        if scheduling in self.sending:
            self.given_up.add(scheduling)
        elif job_id := self.job_ids.pop(scheduling, ""):
            self.spawn(self._terminate, scheduling.server, job_id)

    def forget(self, scheduling: Scheduling) -> None:
        """Drop the job's id."""
        self.job_ids.pop(scheduling, None)

    def probe(self, server: str) -> None:
        """Tell at once that the probe failed: schedulers of this binding have none."""
        self.nursery.start_soon(self.post, ports.ServerProbed(server, Outcome.ERROR, 0))

    async def _send(self, scheduling: Scheduling) -> None:
        call = words.RunJob(words.template_for(scheduling.spec, scheduling.deadline_us),
                            scheduling.server, self.notify)
        reply: Reply | Outcome = Outcome.TIMEOUT
        with trio.move_on_at(self.clock.to_trio(scheduling.deadline_us) + self.limits.late_answer):
            reply = await self.attempt(scheduling.server, "POST", "/drmaa2/jobs",
                                       [("content-type", "application/json")], words.write(call))
        outcome, job_id = outcome_of(reply) if isinstance(reply, Reply) else (reply, "")
        self.sending.discard(scheduling)
        gave_up = scheduling in self.given_up
        self.given_up.discard(scheduling)
        if job_id and gave_up:
            await self._terminate(scheduling.server, job_id)
        elif job_id and not scheduling.ended:
            self.job_ids[scheduling] = job_id
        elif not job_id and not gave_up:
            await self.ended(scheduling, outcome, unfit=(
                isinstance(reply, Reply) and outcome is Outcome.ERROR and reply.status == 400))

    async def _terminate(self, server: str, job_id: str) -> None:
        with trio.move_on_after(self.limits.cancel_exchange):
            reply = await self.attempt(server, "POST", f"/drmaa2/jobs/{job_id}/terminate", [])
            self.counters.add("drmaa_terminates" if isinstance(reply, Reply) else "drmaa_terminates_failed")


def outcome_of(reply: Reply) -> tuple[Outcome, str]:
    """Return what runJob's answer says: the job's id if it was taken, else the attempt's outcome."""
    try:
        if reply.status == 201:
            return Outcome.OK, words.read_job_info(reply.body).jobId
        body = msgspec.json.decode(reply.body, type=dict[str, object])
    except msgspec.DecodeError:
        return Outcome.ERROR, ""
    return (Outcome.FULL if body.get("exception") in UNSTARTED else Outcome.ERROR), ""


class NotificationHandler:
    """Takes the schedulers' notifications at ``/drmaa2/notifications``."""

    def __init__(self, inbox: trio.MemorySendChannel[ports.Message], counters: Counters) -> None:
        self.inbox, self.counters = inbox, counters

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Take one. What matches nothing, repeats, or crosses a terminate is answered all the same."""
        if request.method != "POST":
            return Response(405)
        try:
            note = words.read_notification(request.body)
        except msgspec.DecodeError:
            self.counters.add("drmaa_notifications_bad")
            return Response(400)
        self.counters.add("drmaa_notifications")
        message = message_of(note)
        if message is not None:
            await self.inbox.send(message)
        return Response(200)

    def gone(self, connection: Connection) -> None:
        """Nothing is owed to a scheduler that hangs up."""


def message_of(note: words.Notification) -> ports.Message | None:
    """Translate a notification; states that change nothing for the core give None."""
    if note.event != "NEW_STATE":
        return None
    if note.jobState == words.RUNNING:
        return ports.SchedulingStarted(note.jobName, note.sessionName)
    info = note.jobInfo or words.JobInfo(note.jobId, note.jobState)
    if note.jobState == words.DONE:
        return ports.SchedulingEnded(note.jobName, note.sessionName, Outcome.OK, info.output)
    if note.jobState == words.FAILED:
        outcome = (Outcome.FULL if info.exception in UNSTARTED  # handed back unstarted, by a drain for one
                   else Outcome.RESET if info.terminatingSignal else Outcome.ERROR)
        return ports.SchedulingEnded(note.jobName, note.sessionName, outcome)
    return None
