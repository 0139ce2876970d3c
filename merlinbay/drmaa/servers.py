"""Real servers that are batch schedulers: runJob for each scheduling; notifications tell the rest."""

from __future__ import annotations

import msgspec
import trio

from merlinbay.clock import Clock
from merlinbay.core import ports
from merlinbay.core.ports import Scheduling, ServiceEntry
from merlinbay.counters import Counters
from merlinbay.decision.api import Outcome
from merlinbay.drmaa import words
from merlinbay.http.client import Broken, NotSent, Reply
from merlinbay.http.pool import ConnectionPool
from merlinbay.http.server import Connection, Request, Response
from merlinbay.limits import Limits

UNSTARTED = {"TryLaterException", "OutOfResourceException"}


class DrmaaServers:
    """Sends schedulings to schedulers. All of it runs in the tasks of one nursery."""

    def __init__(self, nursery: trio.Nursery, pool: ConnectionPool,
                 inbox: trio.MemorySendChannel[ports.Message], clock: Clock, limits: Limits,
                 counters: Counters, notify: str) -> None:
        self.nursery, self.pool, self.inbox, self.clock = nursery, pool, inbox, clock
        self.limits, self.counters, self.notify = limits, counters, notify
        self.given_up: set[Scheduling] = set()  # while their runJob is unanswered
        self.job_ids: dict[Scheduling, str] = {}  # of the taken ones, until they end
        self.sending: set[Scheduling] = set()
        self.tasks = 0

    def start(self, scheduling: Scheduling) -> None:
        """Send an attempt."""
        if self.tasks >= self.limits.server_tasks:  # the owner's own task must not wait for itself
            self.nursery.start_soon(self._ended, scheduling, Outcome.CONNECT_FAILED)
            return
        self.tasks += 1
        self.sending.add(scheduling)
        self.nursery.start_soon(self._send, scheduling)

    def give_up(self, scheduling: Scheduling) -> None:
        """Terminate the job, as soon as its id is known."""
        # Guards against a cancel that crosses runJob: closing the connection would leave a job running
        # whose id nobody has, so its answer is waited for and the job terminated then.
        if scheduling in self.sending:
            self.given_up.add(scheduling)
        else:
            job_id = self.job_ids.pop(scheduling, "")
            if job_id and self.tasks < self.limits.server_tasks:
                self.tasks += 1
                self.nursery.start_soon(self._terminate, scheduling.server, job_id)

    def forget(self, scheduling: Scheduling) -> None:
        """Drop the job's id."""
        self.job_ids.pop(scheduling, None)

    def probe(self, server: str) -> None:
        """Schedulers of this binding have no probe: it fails at once, and tells nothing."""
        self.nursery.start_soon(self._post, ports.ServerProbed(server, Outcome.ERROR, 0))

    def entries_changed(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Learn addresses."""
        self.pool.entries_changed(scope, entries)

    async def _send(self, scheduling: Scheduling) -> None:
        call = words.RunJob(words.template_for(scheduling.spec, scheduling.deadline_us),
                            scheduling.server, self.notify)
        outcome, job_id = Outcome.TIMEOUT, ""
        try:
            with trio.move_on_at(self.clock.to_trio(scheduling.deadline_us) + self.limits.late_answer):
                reply = await self.pool.exchange(scheduling.server, "POST", "/drmaa2/jobs",
                                                 [("content-type", "application/json")], words.write(call))
                outcome, job_id = outcome_of(reply)
        except NotSent:
            outcome = Outcome.CONNECT_FAILED
        except Broken:
            outcome = Outcome.RESET
        finally:
            self.tasks -= 1
            self.sending.discard(scheduling)
        gave_up = scheduling in self.given_up
        self.given_up.discard(scheduling)
        if job_id and gave_up:
            self.tasks += 1
            await self._terminate(scheduling.server, job_id)
        elif job_id and not scheduling.ended:
            self.job_ids[scheduling] = job_id
        elif not job_id and not gave_up:
            await self._ended(scheduling, outcome)

    async def _terminate(self, server: str, job_id: str) -> None:
        try:
            with trio.move_on_after(self.limits.cancel_exchange):
                await self.pool.exchange(server, "POST", f"/drmaa2/jobs/{job_id}/terminate", [])
                self.counters.add("drmaa_terminates")
        except (NotSent, Broken):
            self.counters.add("drmaa_terminates_failed")
        finally:
            self.tasks -= 1

    async def _ended(self, scheduling: Scheduling, outcome: Outcome) -> None:
        await self._post(ports.SchedulingEnded(scheduling.spec.name, scheduling.server, outcome))

    async def _post(self, message: ports.Message) -> None:
        try:
            await self.inbox.send(message)
        except trio.BrokenResourceError:  # the owner has ended, and with it every flow
            pass


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
