"""Reservation sessions (GFD.194): the calls, and the slots of the book that the module keeps free."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from datetime import datetime
from typing import Any, TypeVar

import msgspec

from merlinbay.access.grants import Grant, Scope
from merlinbay.batch.errors import DrmaaError, invalid_argument, unsupported
from merlinbay.batch.jobs import Job, JobStage
from merlinbay.batch.timers import TimerQueue
from merlinbay.core.messages import Message, ReservedSlotsChanged
from merlinbay.core.values import ServiceEntry
from merlinbay.drmaa.answers import ok
from merlinbay.drmaa.incoming_call import IncomingCall
from merlinbay.drmaa.schema import when
from merlinbay.drmaa.settings import NAME
from merlinbay.drmaa.templates import moment
from merlinbay.http.connection import Response
from merlinbay.reserve.calendar import Phase, Reservation, ReservationCalendar, ReservationSpec
from merlinbay.reserve.settings import ReservationSettings

T = TypeVar("T")
DEFAULT, SESSIONS = "default", 256


class ReservationTemplate(msgspec.Struct, forbid_unknown_fields=True):
    """The attributes of GFD.194's ReservationTemplate that are carried; the others raise by name."""

    reservationName: str = ""  # noqa: N815
    startTime: datetime | None = None  # noqa: N815
    endTime: datetime | None = None  # noqa: N815
    duration: float | None = None  # seconds
    minSlots: int = 1  # noqa: N815
    maxSlots: int | None = None  # noqa: N815
    candidateMachines: list[str] = []  # noqa: N815
    jobCategory: Any = None  # noqa: N815
    usersACL: Any = None  # noqa: N815
    minPhysMemory: Any = None  # noqa: N815
    machineOS: Any = None  # noqa: N815
    machineArch: Any = None  # noqa: N815


class ReservationRequest(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a requestReservation call."""

    reservationTemplate: ReservationTemplate  # noqa: N815


class ExtendReservation(msgspec.Struct, forbid_unknown_fields=True):
    """The body of an extend call, of this binding alone."""

    endTime: datetime  # noqa: N815


class CreateReservationSession(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a createReservationSession call."""

    sessionName: str  # noqa: N815


_request = msgspec.json.Decoder(ReservationRequest).decode
_extend = msgspec.json.Decoder(ExtendReservation).decode
_create = msgspec.json.Decoder(CreateReservationSession).decode


class ReservationCalls:
    """The book at work: told of real servers and jobs, it says what is to be kept free."""

    def __init__(
        self,
        settings: ReservationSettings,
        timers: TimerQueue,
        post: Callable[[Message], None],
        told: Callable[[Reservation, str], None],
        now_us: Callable[[], int],
    ) -> None:
        self.settings, self.post, self.told, self.now_us = settings, post, told, now_us
        self.book = ReservationCalendar(
            settings.bounds(), timers, lambda: secrets.token_hex(8), self._changed
        )
        self.sessions: dict[str, str | None] = {DEFAULT: None}  # and whose each is
        self.kept: dict[str, int] = {}  # as the module was told
        self.sizes: dict[str, int] = {}  # slots of each real server, as the operator says
        self.of: dict[Job, Reservation] = {}  # the jobs that use one

    # What it is told.

    def update_endpoints(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Learn of real servers. What is reserved at one that drains or goes is moved, or said to be lost."""
        now = self.now_us()
        if scope in ("all", "remembered"):
            named = {entry.server for entry in entries}
            for name in [name for name in self.book.servers if name not in named]:
                self.book.server_gone(name, now)
                del self.sizes[name]
        for entry in entries:
            if entry.state == "removed":
                self.book.server_gone(entry.server, now)
                self.sizes.pop(entry.server, None)
            else:
                self.sizes[entry.server] = self.settings.slots_of(entry.kind)
                self.book.server(entry.server, self.sizes[entry.server], entry.state == "up", now)
        self.sync()

    def changed(self, job: Job) -> None:
        """Learn where a job of a reservation is."""
        found = self.of.get(job)
        if found is None:
            return
        if job.stage is JobStage.PLACED and not job.ended:
            self.book.use(found, job, job.server, int(job.what.slots), self.now_us())
        elif job.ended or job.stage in (JobStage.PARKED, JobStage.WAITING):
            del self.of[job]
            self.book.unuse(found, job, self.now_us())
        self.sync()

    def offer(self, job: Job) -> tuple[str, ...] | None:
        """Return where a job may go by its reservation; None: its slots are all in use at present.

        Raises ``DrmaaError`` where there is no such reservation any more.
        """
        found = self.book.all.get(job.what.reservation)
        if found is None or found.phase is Phase.ENDED:
            raise invalid_argument("its reservation has ended")
        undecided = sum(slots for at, slots in found.used.values() if not at)
        rooms = {name: found.free(name) for name in found.slots}
        slots = int(job.what.slots)
        if sum(max(room, 0) for room in rooms.values()) - undecided < slots:
            return None
        fits = tuple(name for name, room in rooms.items() if room >= slots)
        if fits:
            self.of[job] = found
            self.book.use(found, job, "", slots, self.now_us())
        return fits or None

    def sync(self) -> None:
        """Tell the module what has changed of the slots to keep free."""
        kept = self.book.kept()
        for server in self.kept.keys() | kept.keys():
            if kept.get(server, 0) != self.kept.get(server, 0):
                self.post(
                    ReservedSlotsChanged(server, float(kept.get(server, 0)), float(self.sizes.get(server, 0)))
                )
        self.kept = kept

    def _changed(self, found: Reservation, what: str) -> None:
        self.told(found, what)
        self.sync()

    # For templates.

    def start_us(self, reservation: str, grant: Grant) -> int:
        """Return when jobs of a reservation may start. Raises ``DrmaaError``."""
        found = self.book.all.get(reservation)
        if found is None or found.phase is Phase.ENDED or not grant.sees(found.account):
            raise invalid_argument(f"reservationId: no reservation {reservation[:60]!r}")
        return found.start_us

    # Calls.

    def take(self, incoming: IncomingCall, parts: list[str]) -> Response:
        """Answer a call below ``/drmaa2/reservations`` or ``/drmaa2/reservationSessions``."""
        if incoming.request.method != "GET":
            incoming.grant.need(Scope.SUBMIT)
        else:
            incoming.grant.need(Scope.MONITOR)
        if parts[0] == "reservations":
            return self._in_session(incoming, DEFAULT, parts[1:])
        match incoming.request.method, parts[1:]:
            case "GET", []:
                return ok(
                    {
                        "sessionNames": sorted(
                            name for name, owner in self.sessions.items() if incoming.grant.sees(owner)
                        )
                    }
                )
            case "POST", []:
                name = read(_create, incoming.request.body).sessionName
                if not NAME.fullmatch(name) or name in self.sessions:
                    raise invalid_argument("sessionName: it exists, or has other than letters, digits, '._-'")
                if len(self.sessions) >= SESSIONS:
                    raise DrmaaError("OutOfResourceException", f"{SESSIONS} sessions exist")
                self.sessions[name] = incoming.grant.account
                return ok({"sessionName": name}, 201)
            case "DELETE", [name]:
                self._owned(incoming, name)
                if name == DEFAULT:
                    raise invalid_argument(f"session {name!r} is always there")
                for found in [found for found in self.book.all.values() if found.session == name]:
                    if found.phase is not Phase.ENDED:
                        self.book.terminate(found, incoming.now)
                del self.sessions[name]
                return ok({"sessionName": name})
            case _, [name, "reservations", *rest]:
                self._owned(incoming, name)
                return self._in_session(incoming, name, rest)
        raise unsupported(f"{incoming.request.method} {incoming.request.target[:200]}")

    def _owned(self, incoming: IncomingCall, name: str) -> None:
        if name not in self.sessions or not incoming.grant.sees(self.sessions[name]):
            raise invalid_argument(f"no session {name[:80]!r}", missing=True)

    def _in_session(self, incoming: IncomingCall, session: str, parts: list[str]) -> Response:
        match incoming.request.method, parts:
            case "POST", []:
                wish = wish_of(read(_request, incoming.request.body).reservationTemplate)
                return ok(
                    info(self.book.reserve(wish, incoming.grant.account, session, incoming.now)),
                    201,
                )
            case "GET", []:
                names = [
                    found.id
                    for found in self.book.all.values()
                    if found.session == session and incoming.grant.sees(found.account)
                ]
                after, limit = incoming.query.get("after", [""])[0], incoming.page_limit()
                start = names.index(after) + 1 if after in names else 0
                more = {"next": names[start + limit - 1]} if len(names) > start + limit else {}
                return ok({"reservationIds": names[start : start + limit], **more})
            case "GET", [name]:
                return ok(info(self._found(incoming, session, name)))
            case ("POST", [name, "terminate"]) | ("DELETE", [name]):
                found = self._changeable(incoming, session, name)
                self.book.terminate(found, incoming.now)
                return ok(info(found))
            case "POST", [name, "extend"]:
                found = self._changeable(incoming, session, name)
                self.book.extend(
                    found,
                    moment("endTime", read(_extend, incoming.request.body).endTime),
                    incoming.now,
                )
                return ok(info(found))
        raise unsupported(f"{incoming.request.method} {incoming.request.target[:200]}")

    def _changeable(self, incoming: IncomingCall, session: str, name: str) -> Reservation:
        """Return a reservation that the caller may change: the operator's are everybody's to use alone."""
        found = self._found(incoming, session, name)
        if found.account is None:
            incoming.grant.need_all()
        return found

    def _found(self, incoming: IncomingCall, session: str, name: str) -> Reservation:
        found = self.book.all.get(name)
        if found is None or found.session != session or not incoming.grant.sees(found.account):
            raise invalid_argument(f"no reservation {name[:60]!r}", missing=True)
        return found


def read(decode: Callable[[bytes], T], body: bytes) -> T:
    """Read a call's body. Raises ``DrmaaError``."""
    try:
        return decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise invalid_argument(str(error)) from None


def wish_of(template: ReservationTemplate) -> ReservationSpec:
    """Read a template. Raises ``DrmaaError``."""
    for name in ("jobCategory", "usersACL", "minPhysMemory", "machineOS", "machineArch"):
        if getattr(template, name) is not None:
            raise DrmaaError("UnsupportedAttributeException", name)
    if template.duration is not None and not 0 < template.duration < 1e9:
        raise invalid_argument("duration")
    if len(template.candidateMachines) > 256 or len(template.reservationName) > 256:
        raise invalid_argument("candidateMachines and reservationName: 256 at the most")
    low = template.minSlots
    high = low if template.maxSlots is None else template.maxSlots
    if not 1 <= low <= high <= 1_000_000:
        raise invalid_argument("minSlots and maxSlots")
    start, end = template.startTime, template.endTime
    return ReservationSpec(
        low,
        high,
        0 if start is None else moment("startTime", start),
        0 if end is None else moment("endTime", end),
        int((template.duration or 0) * 1e6),
        tuple(template.candidateMachines),
        template.reservationName,
    )


def info(found: Reservation) -> dict[str, object]:
    """Return ReservationInfo, and (of this binding) its state and what became of its slots."""
    return {
        "reservationId": found.id,
        "reservationName": found.wish.name,
        "reservedStartTime": when(found.start_us),
        "reservedEndTime": when(found.end_us),
        "reservedSlots": found.total,
        "reservedMachines": [{"machineName": name, "slots": slots} for name, slots in found.slots.items()],
        "state": found.phase.value,
        "used": sum(slots for _, slots in found.used.values()),
        "movedSlots": found.moved,
        "lostSlots": found.lost,
        "annotation": found.why,
    }
