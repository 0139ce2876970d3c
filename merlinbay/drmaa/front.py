"""The submission front: runJob, status, wait and terminate, each job one flow with one final state."""

from __future__ import annotations

import secrets
from collections import deque
from urllib.parse import parse_qs

import trio

from merlinbay.clock import Clock
from merlinbay.core import ports
from merlinbay.core.ports import Answer, Verdict
from merlinbay.counters import Counters
from merlinbay.decision import api
from merlinbay.drmaa import words
from merlinbay.drmaa.words import DONE, FAILED, QUEUED, RUNNING, DrmaaError, JobInfo
from merlinbay.http.server import Connection, Request, Response
from merlinbay.limits import Limits

JSON = (b"content-type", b"application/json")


class SubmittedJob:
    """The client's side of one flow: a job from runJob until it is forgotten."""

    def __init__(self, front: DrmaaFront, spec: ports.JobSpec, connection: Connection) -> None:
        self.front, self.connection = front, connection
        self.name, self.deadline_us = spec.name, spec.arrived_us + spec.budget_us
        self.info = JobInfo(spec.name, QUEUED, submissionTime=words.when(spec.arrived_us))
        self.submitted = False  # runJob has been answered with the job's id
        self.finished = trio.Event()

    def sent(self) -> None:
        """Answer runJob: a real server has been chosen."""
        if not self.submitted and not self.finished.is_set():
            self.submitted = True
            self.connection.context, self.connection.proven = None, True
            body = words.write({"jobId": self.name, "jobState": self.info.jobState})
            self.connection.respond(Response(201, body, [JSON]))

    def started(self) -> None:
        """Take a start notice. One that crosses the job's end changes nothing."""
        if not self.finished.is_set() and self.info.jobState == QUEUED:
            self.info.jobState = RUNNING
            self.info.dispatchTime = words.when(self.front.clock.now_us())

    def answer(self, answer: Answer) -> None:
        """Take the flow's answer as the job's final state."""
        if answer.verdict is Verdict.SERVED:
            self.end(DONE, output=answer.result)
        elif answer.verdict is Verdict.REFUSED:
            self.end(FAILED, "TryLaterException", "refused unsent or handed back", answer.retry_after_us)
        elif self.front.clock.now_us() >= self.deadline_us - self.front.limits.answer_margin_us:
            self.end(FAILED, "TimeoutException", "the deadline has passed; it may have run")
        else:
            self.end(FAILED, "InternalException", "failed; it may have run")

    def end(self, state: str, exception: str = "", annotation: str = "", retry_after_us: int = 0,
            output: bytes = b"") -> None:
        """Reach the final state, once: what crosses it later is counted and dropped."""
        # Guards against a terminate that crosses the answer: the first of the two decides for good.
        if self.finished.is_set():
            self.front.counters.add("drmaa_crossed")
            return
        info = self.info
        info.jobState, info.exception, info.annotation, info.output = state, exception, annotation, output
        info.retryAfter, info.exitStatus = retry_after_us / 1e6, 0 if state == DONE else None
        info.finishTime = words.when(self.front.clock.now_us())
        self.finished.set()
        self.front.counters.add(f"drmaa_jobs_{state.lower()}")
        if not self.submitted:  # runJob itself raises; there is no job to ask for
            self.connection.context = None
            del self.front.jobs[self.name]
            self.connection.respond(failure(DrmaaError(exception, annotation, retry_after_us)))
        else:
            self.front.keep(self)


class DrmaaFront:
    """Handles the paths below ``/drmaa2/jobs``."""

    def __init__(self, inbox: trio.MemorySendChannel[ports.Message], clock: Clock, limits: Limits,
                 counters: Counters, classes: list[api.JobClass]) -> None:
        self.inbox, self.clock, self.limits = inbox, clock, limits
        self.counters, self.classes = counters, classes
        self.jobs: dict[str, SubmittedJob] = {}
        self.waits = 0
        self.kept: deque[tuple[float, str]] = deque()  # finished jobs, the oldest first,
        self.kept_bytes = 0  # and the size of their outputs

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Answer one call, or leave runJob to be answered by what the core decides."""
        path, _, query = request.target.partition("?")
        parts = path.strip("/").split("/")[2:]
        self._expire()
        try:
            match request.method, parts:
                case "POST", []:
                    await self._run_job(connection, request.body)
                    return None
                case "GET", [job_id]:
                    return self._info(self._job(job_id))
                case "GET", [job_id, "wait"]:
                    return await self._wait(self._job(job_id), query)
                case "POST", [job_id, "terminate"]:
                    return await self._terminate(self._job(job_id))
            raise DrmaaError("UnsupportedOperationException", f"{request.method} {path}")
        except DrmaaError as error:
            self.counters.add("drmaa_errors")
            return failure(error)

    def gone(self, connection: Connection) -> None:
        """Withdraw a job whose client hung up before it had learned the job's id."""
        job = connection.context
        if isinstance(job, SubmittedJob) and not job.submitted:
            job.submitted = True  # nobody is left to be told
            job.end(FAILED, "", "the client hung up")
            try:
                self.inbox.send_nowait(ports.FlowWithdrawn(job.name, job))
            except (trio.WouldBlock, trio.BrokenResourceError):  # its deadline will end the flow
                self.counters.add("withdrawals_lost")

    def keep(self, job: SubmittedJob) -> None:
        """Keep a finished job for a while, and so many at the most."""
        self.kept.append((trio.current_time() + self.limits.finished_keep, job.name))
        self.kept_bytes += len(job.info.output)
        self._expire()

    def _expire(self) -> None:
        now = trio.current_time()
        while self.kept and (self.kept[0][0] <= now or len(self.kept) > self.limits.finished_jobs
                             or self.kept_bytes > self.limits.finished_bytes):
            self.kept_bytes -= len(self.jobs.pop(self.kept.popleft()[1]).info.output)

    def _job(self, job_id: str) -> SubmittedJob:
        job = self.jobs.get(job_id)
        if job is None:
            raise DrmaaError("InvalidArgumentException", f"no job {job_id!r}", status=404)
        return job

    async def _run_job(self, connection: Connection, body: bytes) -> None:
        template = words.read_run_job(body)
        spec = words.job_spec(template, secrets.token_hex(8), self.classes, self.clock.now_us())
        job = self.jobs[spec.name] = connection.context = SubmittedJob(self, spec, connection)
        self.counters.add("drmaa_jobs_taken")
        await self.inbox.send(ports.FlowArrived(spec, job))

    def _info(self, job: SubmittedJob) -> Response:
        return Response(200, words.write(job.info), [JSON])

    async def _wait(self, job: SubmittedJob, query: str) -> Response:
        """Wait for the job's end; without a timeout, for as long as it takes, which its deadline bounds."""
        try:
            timeout = float(parse_qs(query).get("timeout", ["inf"])[0])
        except ValueError:
            timeout = -1.0
        if not timeout >= 0:
            raise DrmaaError("InvalidArgumentException", "timeout")
        # Guards against waits that hold every edge connection.
        if self.waits >= self.limits.waits and not job.finished.is_set():
            raise DrmaaError("TryLaterException", "too many waits", self.limits.retry_when_stopping_us)
        self.waits += 1
        try:
            with trio.move_on_after(timeout):
                await job.finished.wait()
        finally:
            self.waits -= 1
        if not job.finished.is_set():
            raise DrmaaError("TimeoutException", "the job has not ended")
        return self._info(job)

    async def _terminate(self, job: SubmittedJob) -> Response:
        if job.finished.is_set():
            raise DrmaaError("InvalidStateException", f"the job is {job.info.jobState}")
        job.end(FAILED, "", "terminated")
        await self.inbox.send(ports.FlowWithdrawn(job.name, job))
        return self._info(job)


def failure(error: DrmaaError) -> Response:
    """Write an exception as an answer."""
    headers = [JSON]
    if error.retry_after_us:
        headers.append((b"retry-after", f"{error.retry_after_us / 1e6:.3f}".encode()))
    return Response(error.status, words.error_body(error.name, str(error), error.retry_after_us), headers)
