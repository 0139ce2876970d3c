"""The executor on the wire: an ordinary scheduler of the DRMAA binding."""

from __future__ import annotations

import signal
from pathlib import Path

import trio

from merlinbay.batch.errors import DrmaaError, invalid_state, unsupported
from merlinbay.batch.states import ENDED, JobState, JobTransition
from merlinbay.clock import Clock
from merlinbay.core.values import ServiceEntry
from merlinbay.counters import Counters
from merlinbay.drmaa import schema
from merlinbay.drmaa.answers import JSON, failure, ok
from merlinbay.executor.child import ChildProcess, ProcessStartError
from merlinbay.executor.slots import ExecutorJob, Slots
from merlinbay.http.client import ConnectionBrokenError, RequestNotSentError
from merlinbay.http.connection import Connection, Request, Response
from merlinbay.http.pool import ConnectionPool, OutgoingRequest
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log

NOTIFY_TRIES, NOTIFY_WAIT = 10, 0.05  # after the first failed try; doubles


class Executor:
    """Runs jobs in its slots, and notifies whoever handed them in."""

    def __init__(
        self,
        name: str,
        slots: Slots,
        folder: Path,
        limits: ResourceLimits,
        counters: Counters,
        log: Log,
        clock: Clock,
    ) -> None:
        self.name, self.slots, self.folder = name, slots, folder
        self.limits, self.counters, self.log, self.clock = limits, counters, log, clock
        self.pool = ConnectionPool(limits, counters)
        self.children: dict[ExecutorJob, ChildProcess] = {}
        self.notes: dict[ExecutorJob, list[bytes]] = {}  # notifications that are not delivered yet, in order
        self.nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Run jobs until cancelled; then none of their processes is left."""
        try:
            async with trio.open_nursery() as self.nursery:
                await trio.sleep_forever()
        finally:
            for child in self.children.values():
                child.signal(signal.SIGKILL)

    # Calls.

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Answer a call of the binding's second table."""
        parts = request.target.partition("?")[0].strip("/").split("/")[1:]
        try:
            match request.method, parts:
                case "POST", ["jobs"]:
                    response = self._run_job(request.body)
                case "GET", ["jobs", job_id]:
                    response = ok(self.slots.job(job_id).info)
                case "POST", ["jobs", job_id, verb]:
                    response = await self._act(self.slots.job(job_id), verb)
                case _:
                    raise unsupported(f"{request.method} {request.target[:100]}")
        except DrmaaError as error:
            return failure(error)
        connection.has_served_request = True
        return response

    def client_disconnected(self, connection: Connection) -> None:
        """Owe nothing to a node that hangs up."""

    def _run_job(self, body: bytes) -> Response:
        call = schema.read_scheduled(body)
        job = self.slots.add(call.jobTemplate, call.sessionName, call.notify)
        job.info.submissionTime = schema.when(self.clock.now_us())
        job.info.allocatedMachines, job.info.slots = [self.name], job.slots
        assert self.nursery is not None
        self._start_what_fits()
        return Response(201, schema.write({"jobId": job.id, "jobState": job.state.value}), [JSON])

    async def _act(self, job: ExecutorJob, verb: str) -> Response:
        child = self.children.get(job)
        match verb:
            case "terminate":
                if job.state in ENDED:
                    raise invalid_state(f"the job is {job.state.value}")
                job.ending = True
                if child is None:
                    self.slots.recall(job)
                    self._tell(job)
                else:
                    assert self.nursery is not None
                    self.nursery.start_soon(child.stop)
            case "recall":
                self.slots.recall(job)
                job.info.exception = "TryLaterException"
            case "suspend" | "resume":
                self.slots.move(job, JobTransition.SUSPEND if verb == "suspend" else JobTransition.RESUME)
                if child is not None:
                    child.signal(signal.SIGSTOP if verb == "suspend" else signal.SIGCONT)
                self._tell(job)
            case _:
                raise unsupported(verb)
        job.info.jobState = job.state.value
        return ok(job.info)

    # Jobs.

    def _start_what_fits(self) -> None:
        assert self.nursery is not None
        for job in self.slots.startable():
            self.children[job] = ChildProcess(job.template, self.folder)
            self.nursery.start_soon(self._run, job)

    async def _run(self, job: ExecutorJob) -> None:
        child, info = self.children[job], job.info
        info.dispatchTime = schema.when(self.clock.now_us())
        self._tell(job)
        self.counters.add("executor_started")
        try:
            status = await child.run()
        except ProcessStartError as error:
            info.annotation, info.exitStatus = f"not started: {error}", 127
            status = 127
        else:
            if status < 0:
                info.terminatingSignal = signal.Signals(-status).name
            else:
                info.exitStatus = status
            info.output = bytes(child.output)
            if status and child.error:
                info.annotation = bytes(child.error).decode(errors="replace")
        del self.children[job]
        if info.dispatchTime is not None:
            info.wallclockTime = self.clock.now_us() / 1e6 - info.dispatchTime.timestamp()
        info.finishTime = schema.when(self.clock.now_us())
        if job.state is JobState.SUSPENDED and status == 0:
            self.slots.move(job, JobTransition.RESUME)
        self.slots.end(job, JobTransition.FINISH if status == 0 else JobTransition.FAIL)
        self._tell(job)
        self._start_what_fits()

    # Notifications.

    def _tell(self, job: ExecutorJob) -> None:
        """Notify of a job's state: in order for each job, again until it is taken, so often at the most."""
        job.info.jobState = job.state.value
        if not job.notify:
            return
        body = schema.write(
            {
                "event": "NEW_STATE",
                "sessionName": job.session,
                "jobName": job.template.jobName,
                "jobId": job.id,
                "jobState": job.state.value,
                "jobInfo": job.info,
            }
        )
        waiting = self.notes.get(job)
        if waiting is not None:
            waiting.append(body)
            return
        self.notes[job] = [body]
        assert self.nursery is not None
        self.nursery.start_soon(self._notify, job)

    async def _notify(self, job: ExecutorJob) -> None:
        addr, _, path = job.notify.removeprefix("http://").partition("/")
        self.pool.update_endpoints("changes", [ServiceEntry(addr, addr)])
        waiting, tries = self.notes[job], 0
        while waiting:
            try:
                heads = [("content-type", "application/json")]
                reply = await self.pool.exchange(addr, OutgoingRequest("POST", f"/{path}", heads, waiting[0]))
                done = reply.status < 300 or reply.status == 400
            except (RequestNotSentError, ConnectionBrokenError):
                done = False
            if not done and (tries := tries + 1) < NOTIFY_TRIES:
                await trio.sleep(min(NOTIFY_WAIT * 2**tries, 2.0))
                continue
            self.counters.add("executor_notified" if done else "executor_notes_lost")
            waiting.pop(0)  # Guards against one that is never taken: whoever wants to know asks.
            tries = 0
        del self.notes[job]
