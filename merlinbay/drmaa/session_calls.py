"""Calls of the DRMAA front by path: sessions, capabilities, and the way to the calls on jobs and events.

Each is made for the account whose token it bears.
"""

from __future__ import annotations

from merlinbay.access.grants import Scope
from merlinbay.batch.errors import DrmaaError, invalid_argument, unsupported
from merlinbay.batch.jobs import JobSession
from merlinbay.drmaa import info, schema
from merlinbay.drmaa.answers import Call, ok
from merlinbay.drmaa.incoming_call import IncomingCall
from merlinbay.drmaa.job_calls import JobCalls
from merlinbay.drmaa.listening import ListeningCalls
from merlinbay.drmaa.monitoring import MonitorCalls
from merlinbay.drmaa.settings import NAME, session_section
from merlinbay.drmaa.shared_state import SharedState
from merlinbay.http.connection import Response

DEFAULT = "default"  # the session of the paths that name none
PLAIN = (
    "jobs",
    "arrays",
    "waitAnyStarted",
    "waitAnyTerminated",
    "events",
    "listeners",
)  # in the session that need not be named


class SessionCalls:
    """Routes every call of the binding, and answers those on sessions."""

    def __init__(self, front: SharedState) -> None:
        self.front, self.engine, self.settings = front, front.engine, front.settings
        self.rules, self.machine = front.rules, front.machine
        self.jobs = JobCalls(front)
        self.listening = ListeningCalls(front)
        self.monitoring = MonitorCalls(front)

    def take(self, incoming: IncomingCall, parts: list[str]) -> Response | Call:
        """Answer a call, or leave it to be answered by what becomes of the job. Raises ``DrmaaError``."""
        match incoming.request.method, parts:
            case _, [first, *_] if first in PLAIN:
                return self._in_session(incoming, self.engine.session(DEFAULT), parts)
            case "GET", []:
                return ok(info.about(self.machine))
            case "GET", ["supports", *rest] if len(rest) < 2:
                return ok(self._supported(rest))
            case "GET", ["reflective"]:
                return ok(info.REFLECTIVE)
            case _, ["sessions", *_]:
                return self._on_sessions(incoming, parts)
            case _, [("reservations" | "reservationSessions"), *_]:
                if self.front.reserving is None:
                    raise unsupported("nothing is reserved here")
                return self.front.reserving.take(incoming, parts)
            case "GET", ["monitor", *rest]:
                incoming.grant.need(Scope.MONITOR)
                return self.monitoring.take(incoming, rest)
        raise unsupported(f"{incoming.request.method} {incoming.request.target[:200]}")

    def _on_sessions(self, incoming: IncomingCall, parts: list[str]) -> Response | Call:
        """Answer a call on sessions themselves."""
        match incoming.request.method, parts:
            case "GET", ["sessions"]:
                sees, sessions = incoming.grant.sees, self.engine.sessions.items()
                names = sorted(name for name, session in sessions if sees(session.owner))
                return ok({"sessionNames": names})
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
        raise unsupported(f"{incoming.request.method} {incoming.request.target[:200]}")

    def _supported(self, names: list[str]) -> dict[str, object]:
        """Return all capabilities, or whether one is there."""
        found = self._capabilities()
        if not names:
            return dict(found)
        name = names[0]
        if name not in found:
            raise invalid_argument(f"no capability {name!r}")
        return {"capability": name, "supported": found[name]}

    def _capabilities(self) -> dict[str, bool]:
        return info.capabilities(self.front.hub is not None, self.front.reserving is not None)

    # Sessions.

    def _session(self, incoming: IncomingCall, name: str, opened: bool = True) -> JobSession:
        """Return a session that the caller may know of."""
        session = self.engine.sessions.get(name)
        if session is not None and not incoming.grant.sees(session.owner):
            raise invalid_argument(f"no session {name!r}", missing=True)  # the words where there is none
        return self.engine.session(name, opened)

    def _own(self, incoming: IncomingCall, name: str) -> JobSession:
        """Return a session that the caller may open, close and destroy."""
        incoming.grant.need(Scope.SUBMIT)
        session = self._session(incoming, name, opened=False)
        if session.owner is None:  # everybody's: for the operator alone
            incoming.grant.need_all()
        return session

    def _about(self, incoming: IncomingCall, session: JobSession) -> Response:
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

    def _in_session(self, incoming: IncomingCall, session: JobSession, parts: list[str]) -> Response | Call:
        """Answer a call in a session: on its jobs, its arrays or its events."""
        if parts[0] in ("events", "listeners"):
            incoming.grant.need(Scope.MONITOR)
            return self.listening.take(incoming, session, parts)
        return self.jobs.take(incoming, session, parts)
