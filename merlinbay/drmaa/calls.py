"""What each call does: path and verb to the engine, for the account whose token the call bears."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

import msgspec

from merlinbay.access.grants import Scope
from merlinbay.batch.engine import Engine
from merlinbay.batch.errors import DrmaaError, invalid_argument, unsupported
from merlinbay.batch.jobs import Job, JobArray, Session, Submission
from merlinbay.batch.states import State
from merlinbay.drmaa import info, schema, templates
from merlinbay.drmaa.answers import Call, ok
from merlinbay.drmaa.incoming_call import IncomingCall
from merlinbay.drmaa.listening import ListeningCalls
from merlinbay.drmaa.monitoring import MonitorCalls
from merlinbay.drmaa.settings import NAME, session_section
from merlinbay.drmaa.shared_state import SharedState
from merlinbay.http.connection import Response

DEFAULT = "default"  # the session of the paths that name none
ACTIONS = ("hold", "release", "suspend", "resume", "terminate", "reap")
PLAIN = (
    "jobs",
    "arrays",
    "waitAnyStarted",
    "waitAnyTerminated",
    "events",
    "listeners",
)  # in the session that need not be named


class Calls:
    """The calls of the binding."""

    def __init__(self, front: SharedState) -> None:
        self.front, self.engine, self.settings = front, front.engine, front.settings
        self.counters, self.rules, self.machine = front.counters, front.rules, front.machine
        self.listening = ListeningCalls(front)
        self.monitoring = MonitorCalls(front)

    def take(self, incoming: IncomingCall, parts: list[str]) -> Response | Call:
        """Answer a call, or leave it to be answered by what becomes of the job. Raises ``DrmaaError``."""
        engine: Engine = self.engine
        match incoming.request.method, parts:
            case _, [first, *_] if first in PLAIN:
                return self._in_session(incoming, engine.session(DEFAULT), parts)
            case "GET", []:
                return ok(info.about(self.machine))
            case "GET", ["supports"]:
                return ok(self._capabilities())
            case "GET", ["supports", name]:
                found = self._capabilities()
                if name not in found:
                    raise invalid_argument(f"no capability {name!r}")
                return ok({"capability": name, "supported": found[name]})
            case "GET", ["reflective"]:
                return ok(info.REFLECTIVE)
            case "GET", ["sessions"]:
                return ok(
                    {
                        "sessionNames": sorted(
                            name
                            for name, session in engine.sessions.items()
                            if incoming.grant.sees(session.owner)
                        )
                    }
                )
            case "POST", ["sessions"]:
                return self._create(incoming)
            case "GET", ["sessions", name]:
                return self._about(incoming, self._session(incoming, name, opened=False))
            case "DELETE", ["sessions", name]:
                return self._destroy(incoming, name)
            case "POST", ["sessions", name, ("open" | "close") as verb]:
                session = self._own(incoming, name)
                session.is_open = verb == "open"
                return self._about(incoming, session)
            case _, ["sessions", name, *rest] if rest:
                return self._in_session(incoming, self._session(incoming, name), rest)
            case _, [("reservations" | "reservationSessions"), *_]:
                if self.front.reserving is None:
                    raise unsupported("nothing is reserved here")
                return self.front.reserving.take(incoming, parts)
            case "GET", ["monitor", *rest]:
                incoming.grant.need(Scope.MONITOR)
                return self.monitoring.take(incoming, rest)
        raise unsupported(f"{incoming.request.method} {incoming.request.target[:200]}")

    def _capabilities(self) -> dict[str, bool]:
        return info.capabilities(self.front.hub is not None, self.front.reserving is not None)

    # Sessions.

    def _session(self, incoming: IncomingCall, name: str, opened: bool = True) -> Session:
        """Return a session that the caller may know of."""
        session = self.engine.sessions.get(name)
        if session is not None and not incoming.grant.sees(session.owner):
            raise invalid_argument(f"no session {name!r}", missing=True)  # the words where there is none
        return self.engine.session(name, opened)

    def _own(self, incoming: IncomingCall, name: str) -> Session:
        """Return a session that the caller may open, close and destroy."""
        incoming.grant.need(Scope.SUBMIT)
        session = self._session(incoming, name, opened=False)
        if session.owner is None:  # everybody's: for the operator alone
            incoming.grant.need_all()
        return session

    def _about(self, incoming: IncomingCall, session: Session) -> Response:
        found = {**info.session_info(session), "jobCategories": list(self.rules.classes)}
        if session.owner is None and incoming.grant.account is not None:
            # Guards against counting the others' jobs in a session that accounts share.
            for name in ("jobs", "bytes", "waiting", "arrays"):
                del found[name]
        return ok(found)

    def _create(self, incoming: IncomingCall) -> Response:
        incoming.grant.need(Scope.SUBMIT)
        call, most = schema.read_create(incoming.request.body), self.settings.sessions
        if not most.create:
            raise DrmaaError("DeniedByDrmsException", "clients create no sessions here")
        wish, limits = call.settings, most.limits
        if not NAME.fullmatch(call.sessionName):
            raise invalid_argument("sessionName: letters, digits, '.', '_' and '-', 64 at the most")
        if not 0 < wish.share <= most.share_most:
            raise invalid_argument(f"share: above 0, and {most.share_most:g} at the most")
        if wish.backlog and not limits.backlog:
            raise DrmaaError("DeniedByDrmsException", "sessions of clients keep no backlog here")
        section = session_section(wish, limits)
        session = self.engine.create(
            call.sessionName, call.contact, section.allowance(), section.waits(), incoming.now
        )
        session.owner = incoming.grant.account
        self.front.log.event("session_created", session=session.name, backlog=section.backlog)
        return ok(info.session_info(session), 201)

    def _destroy(self, incoming: IncomingCall, name: str) -> Response:
        if name == DEFAULT:
            raise invalid_argument(f"session {name!r} is always there")
        session = self._own(incoming, name)
        self.engine.destroy(session, incoming.now)
        if self.front.hub is not None:
            self.front.hub.close(name)
        self.front.log.event("session_destroyed", session=name)
        return ok({"sessionName": name})

    def _in_session(self, incoming: IncomingCall, session: Session, parts: list[str]) -> Response | Call:
        body = incoming.request.body
        match incoming.request.method, parts:
            case "POST", ["jobs"]:
                return self._run_job(incoming, session)
            case "GET", ["jobs"]:
                return self._list(incoming, session)
            case "GET", ["jobs", job_id]:
                incoming.grant.need(Scope.MONITOR)
                return self._told(self._job(incoming, session, job_id))
            case "GET", ["jobs", job_id, "jobTemplate"]:
                incoming.grant.need(Scope.MONITOR)
                template = self._job(incoming, session, job_id).what.template
                return ok({"jobTemplate": msgspec.Raw(template)})
            case "GET", ["jobs", job_id, ("wait" | "waitTerminated" | "waitStarted") as verb]:
                return self._wait(
                    incoming,
                    [self._job(incoming, session, job_id)],
                    verb == "waitStarted",
                    incoming.timeout(),
                )
            case "POST", ["jobs", job_id, verb] if verb in ACTIONS:
                return self._act(incoming, self._job(incoming, session, job_id), verb)
            case "DELETE", ["jobs", job_id]:
                return self._act(incoming, self._job(incoming, session, job_id), "reap")
            case "POST", [("waitAnyStarted" | "waitAnyTerminated") as verb]:
                wanted = schema.read_wait_any(body)
                if wanted.timeout is not None and not wanted.timeout >= 0:
                    raise invalid_argument("timeout")
                return self._wait(
                    incoming,
                    self._known(incoming, session, wanted.jobIds),
                    verb == "waitAnyStarted",
                    wanted.timeout,
                )
            case "POST", ["arrays"]:
                incoming.grant.need(Scope.SUBMIT)
                bulk = schema.read_run_bulk(body)
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
            case "GET", ["arrays"]:
                incoming.grant.need(Scope.MONITOR)
                return ok(
                    {
                        "jobArrayIds": [
                            found.id
                            for found in session.arrays.values()
                            if incoming.grant.sees(found.what.account)
                        ]
                    }
                )
            case "GET", ["arrays", array_id]:
                incoming.grant.need(Scope.MONITOR)
                return ok(info.array_info(self._array(incoming, session, array_id)))
            case "POST", ["arrays", array_id, verb] if verb in ACTIONS:
                return self._act_on_array(incoming, self._array(incoming, session, array_id), verb)
            case "DELETE", ["arrays", array_id]:
                return self._act_on_array(incoming, self._array(incoming, session, array_id), "reap")
            case _, [("events" | "listeners"), *_]:
                incoming.grant.need(Scope.MONITOR)
                return self.listening.take(incoming, session, parts)
        raise unsupported(f"{incoming.request.method} {incoming.request.target[:200]}")

    # Jobs and arrays.

    def _job(self, incoming: IncomingCall, session: Session, job_id: str) -> Job:
        """Return a job that the caller may know of; another's is answered like one that is not there."""
        job = session.jobs.get(job_id)
        array = session.arrays.get(job_id.partition(".")[0]) if job is None else None
        account = job.what.account if job is not None else array.what.account if array is not None else None
        if not incoming.grant.sees(account):
            raise invalid_argument(f"no job {job_id!r}", missing=True)
        return self.engine.job(session, job_id)

    def _array(self, incoming: IncomingCall, session: Session, array_id: str) -> JobArray:
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

    def _run_job(self, incoming: IncomingCall, session: Session) -> Response | Call:
        incoming.grant.need(Scope.SUBMIT)
        what = self._submission(incoming, schema.read_run_job(incoming.request.body))
        call = Call(incoming.connection, taken)
        self.counters.add("drmaa_jobs_taken")
        job = self.engine.submit(session, what, incoming.now, call)
        log = self.front.log
        if log.writes_debug:
            log.event("job_taken", level="debug", job=job.id, session=session.name, account=what.account)
        return taken(job) if session.backlog is not None else call

    def _told(self, job: Job | None) -> Response:
        assert job is not None
        return ok(info.job_info(job, self.machine))

    def _wait(self, incoming: IncomingCall, jobs: list[Job], started: bool, timeout: float | None) -> Call:
        incoming.grant.need(Scope.MONITOR)
        call = self.later(incoming)
        self.counters.add("drmaa_waits")
        self.engine.wait(call, jobs, started, incoming.until_us(timeout), incoming.now)
        return call

    def later(self, incoming: IncomingCall) -> Call:
        """Return a call that waits, as long as its token is good."""
        call = Call(incoming.connection, self._told)
        call.ends_with(incoming.grant.until_us, self.front.clock)
        return call

    def _known(self, incoming: IncomingCall, session: Session, job_ids: Iterable[str]) -> list[Job]:
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
        call = Call(incoming.connection, self._told)
        match verb:
            case "hold":
                self.engine.hold(job, incoming.now, call)
            case "release":
                self.engine.release(job, incoming.now, call)
            case "suspend" | "resume":
                self.engine.control(job, verb, incoming.now, call)
            case "terminate":
                self.engine.terminate(job, incoming.now)
                return self._told(job)
            case _:
                self.engine.reap(job)
                return self._told(job)
        return call

    def _act_on_array(self, incoming: IncomingCall, array: JobArray, verb: str) -> Response | Call:
        incoming.grant.need(Scope.CONTROL)
        if verb == "reap":
            self.engine.reap_array(array)
            return ok(info.array_info(array))
        call = Call(incoming.connection, lambda job: ok(info.array_info(array)))
        self.engine.on_array(array, verb, incoming.now, call)
        return call

    def _list(self, incoming: IncomingCall, session: Session) -> Response:
        """Answer getJobs: so many at a time, in order of submission; ``after`` is the last one's order."""
        incoming.grant.need(Scope.MONITOR)
        states = set(incoming.query.get("state", []))
        if not states <= {state.value for state in State}:
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


def taken(job: Job | None) -> Response:
    """Return runJob's answer."""
    assert job is not None
    return ok({"jobId": job.id, "jobState": str(job.state)}, 201)
