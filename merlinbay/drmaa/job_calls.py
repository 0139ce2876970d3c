"""Calls of the DRMAA front on the jobs and arrays of one session."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

import msgspec

from merlinbay.access.grants import Scope
from merlinbay.batch.errors import DrmaaError, invalid_argument, unsupported
from merlinbay.batch.jobs import Job, JobArray, JobSession, Submission
from merlinbay.batch.states import JobState
from merlinbay.drmaa import info, schema, templates
from merlinbay.drmaa.answers import Call, ok
from merlinbay.drmaa.incoming_call import IncomingCall
from merlinbay.drmaa.shared_state import SharedState
from merlinbay.http.connection import Response

ACTIONS = ("hold", "release", "suspend", "resume", "terminate", "reap")


class JobCalls:
    """Submission, control and queries of jobs. Every method may raise ``DrmaaError``."""

    def __init__(self, front: SharedState) -> None:
        self.front, self.engine = front, front.engine
        self.counters, self.rules, self.machine = front.counters, front.rules, front.machine

    def take(self, incoming: IncomingCall, session: JobSession, parts: list[str]) -> Response | Call:
        """Answer a call, or leave it to be answered by what becomes of the job."""
        on_arrays = parts[0] == "arrays"
        answer = (self._on_arrays if on_arrays else self._on_jobs)(incoming, session, parts)
        if answer is None:
            raise unsupported(f"{incoming.request.method} {incoming.request.target[:200]}")
        return answer

    def _on_jobs(
        self, incoming: IncomingCall, session: JobSession, parts: list[str]
    ) -> Response | Call | None:
        """Answer a call on jobs; None: there is no such call."""
        match incoming.request.method, parts:
            case "POST", ["jobs"]:
                return self._run_job(incoming, session)
            case "GET", ["jobs"]:
                return self._list(incoming, session)
            case "GET", ["jobs", job_id]:
                incoming.grant.need(Scope.MONITOR)
                return self._job_answer(self._job(incoming, session, job_id))
            case "GET", ["jobs", job_id, "jobTemplate"]:
                incoming.grant.need(Scope.MONITOR)
                template = self._job(incoming, session, job_id).what.template
                return ok({"jobTemplate": msgspec.Raw(template)})
            case "GET", ["jobs", job_id, ("wait" | "waitTerminated" | "waitStarted") as verb]:
                jobs = [self._job(incoming, session, job_id)]
                return self._wait(incoming, jobs, verb == "waitStarted", incoming.timeout())
            case "POST", ["jobs", job_id, verb] if verb in ACTIONS:
                return self._act(incoming, self._job(incoming, session, job_id), verb)
            case "DELETE", ["jobs", job_id]:
                return self._act(incoming, self._job(incoming, session, job_id), "reap")
            case "POST", [("waitAnyStarted" | "waitAnyTerminated") as verb]:
                return self._wait_any(incoming, session, verb == "waitAnyStarted")
        return None

    def _on_arrays(
        self, incoming: IncomingCall, session: JobSession, parts: list[str]
    ) -> Response | Call | None:
        """Answer a call on arrays; None: there is no such call."""
        match incoming.request.method, parts:
            case "POST", ["arrays"]:
                return self._run_array(incoming, session)
            case "GET", ["arrays"]:
                incoming.grant.need(Scope.MONITOR)
                sees = incoming.grant.sees
                found = [array.id for array in session.arrays.values() if sees(array.what.account)]
                return ok({"jobArrayIds": found})
            case "GET", ["arrays", array_id]:
                incoming.grant.need(Scope.MONITOR)
                return ok(info.array_info(self._array(incoming, session, array_id)))
            case "POST", ["arrays", array_id, verb] if verb in ACTIONS:
                return self._act_on_array(incoming, self._array(incoming, session, array_id), verb)
            case "DELETE", ["arrays", array_id]:
                return self._act_on_array(incoming, self._array(incoming, session, array_id), "reap")
        return None

    def _wait_any(self, incoming: IncomingCall, session: JobSession, started: bool) -> Call:
        wanted = schema.read_wait_any(incoming.request.body)
        if wanted.timeout is not None and not wanted.timeout >= 0:
            raise invalid_argument("timeout")
        return self._wait(incoming, self._known(incoming, session, wanted.jobIds), started, wanted.timeout)

    def _run_array(self, incoming: IncomingCall, session: JobSession) -> Response:
        incoming.grant.need(Scope.SUBMIT)
        bulk = schema.read_run_bulk(incoming.request.body)
        array = self.engine.submit_array(
            session,
            self._submission(incoming, bulk.jobTemplate),
            bulk.beginIndex,
            bulk.endIndex,
            bulk.step,
            bulk.maxParallel,
            incoming.now,
        )
        self.counters.add("drmaa_arrays_taken")
        return ok(info.array_info(array), 201)

    # Jobs and arrays.

    def _job(self, incoming: IncomingCall, session: JobSession, job_id: str) -> Job:
        """Return a job that the caller may know of; another's is answered like one that is not there."""
        job = session.jobs.get(job_id)
        array = session.arrays.get(job_id.partition(".")[0]) if job is None else None
        account = job.what.account if job is not None else array.what.account if array is not None else None
        if not incoming.grant.sees(account):
            raise invalid_argument(f"no job {job_id!r}", missing=True)
        return self.engine.job(session, job_id)

    def _array(self, incoming: IncomingCall, session: JobSession, array_id: str) -> JobArray:
        array = session.arrays.get(array_id)
        if array is not None and not incoming.grant.sees(array.what.account):
            raise invalid_argument(f"no array {array_id!r}", missing=True)
        return self.engine.array(session, array_id)

    def _submission(self, incoming: IncomingCall, template: schema.JobTemplate) -> Submission:
        account = incoming.grant.account
        if account is not None and template.accountingId not in ("", account):
            raise DrmaaError("DeniedByDrmsException", f"accountingId: the token is for {account!r}")
        if account is not None:
            template.accountingId = account
        what = templates.submission(template, self.rules, incoming.now)
        if what.reservation:
            if self.front.reserving is None:
                raise DrmaaError("UnsupportedAttributeException", "reservationId: nothing is reserved here")
            start = self.front.reserving.start_us(what.reservation, incoming.grant)
            if start > max(what.start_us, incoming.now):  # it waits for the window
                what = msgspec.structs.replace(what, start_us=start)
        return what

    def _run_job(self, incoming: IncomingCall, session: JobSession) -> Response | Call:
        incoming.grant.need(Scope.SUBMIT)
        what = self._submission(incoming, schema.read_run_job(incoming.request.body))
        call = Call(incoming.connection, submitted)
        self.counters.add("drmaa_jobs_taken")
        job = self.engine.submit(session, what, incoming.now, call)
        log = self.front.log
        if log.writes_debug:
            log.event("job_taken", level="debug", job=job.id, session=session.name, account=what.account)
        return submitted(job) if session.backlog is not None else call

    def _job_answer(self, job: Job | None) -> Response:
        assert job is not None
        return ok(info.job_info(job, self.machine))

    def _wait(self, incoming: IncomingCall, jobs: list[Job], started: bool, timeout: float | None) -> Call:
        incoming.grant.need(Scope.MONITOR)
        call = self._later(incoming)
        self.counters.add("drmaa_waits")
        self.engine.wait(call, jobs, started, incoming.until_us(timeout), incoming.now)
        return call

    def _later(self, incoming: IncomingCall) -> Call:
        """Return a call that waits, as long as its token is good."""
        call = Call(incoming.connection, self._job_answer)
        call.ends_with(incoming.grant.until_us, self.front.clock)
        return call

    def _known(self, incoming: IncomingCall, session: JobSession, job_ids: Iterable[str]) -> list[Job]:
        """Return the jobs of the ids that are known: one that was reaped has ended, and was told of then."""
        found = []
        for job_id in job_ids:
            try:
                found.append(self._job(incoming, session, job_id))
            except DrmaaError:
                continue
        if not found:
            raise invalid_argument("none of the jobs is known", missing=True)
        return found

    def _act(self, incoming: IncomingCall, job: Job, verb: str) -> Response | Call:
        incoming.grant.need(Scope.CONTROL)
        call = Call(incoming.connection, self._job_answer)
        match verb:
            case "hold":
                self.engine.hold(job, incoming.now, call)
            case "release":
                self.engine.release(job, incoming.now, call)
            case "suspend" | "resume":
                self.engine.control(job, verb, incoming.now, call)
            case "terminate":
                self.engine.terminate(job, incoming.now)
                return self._job_answer(job)
            case _:
                self.engine.reap(job)
                return self._job_answer(job)
        return call

    def _act_on_array(self, incoming: IncomingCall, array: JobArray, verb: str) -> Response | Call:
        incoming.grant.need(Scope.CONTROL)
        if verb == "reap":
            self.engine.reap_array(array)
            return ok(info.array_info(array))
        call = Call(incoming.connection, lambda job: ok(info.array_info(array)))
        self.engine.on_array(array, verb, incoming.now, call)
        return call

    def _list(self, incoming: IncomingCall, session: JobSession) -> Response:
        """Answer getJobs: so many at a time, in order of submission; ``after`` is the last one's order."""
        incoming.grant.need(Scope.MONITOR)
        states = set(incoming.query.get("state", []))
        if not states <= {state.value for state in JobState}:
            raise invalid_argument("state")
        (after, limit), sees = incoming.page(), incoming.grant.sees
        found = list(
            islice(
                (
                    job
                    for job in session.jobs.values()
                    if job.order > after
                    and sees(job.what.account)
                    and (not states or job.state.value in states)
                ),
                limit + 1,
            )
        )
        jobs = [info.job_brief(job) for job in found[:limit]]
        more = {"next": found[limit - 1].order} if len(found) > limit else {}
        return ok({"jobs": jobs, **more})


def submitted(job: Job | None) -> Response:
    """Return the answer to ``runJob``."""
    assert job is not None
    return ok({"jobId": job.id, "jobState": str(job.state)}, 201)
