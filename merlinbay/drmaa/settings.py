"""The ``[drmaa]`` section of the operator's file."""

from __future__ import annotations

import re
from typing import Annotated

import msgspec

from merlinbay.access.settings import AccessSettings
from merlinbay.batch.jobs import Backlog
from merlinbay.batch.quota import SessionLimits
from merlinbay.batch.registry import BatchLimits
from merlinbay.drmaa.schema import SessionSettings
from merlinbay.drmaa.status_polling import PollingLimits
from merlinbay.limits import ResourceLimits
from merlinbay.notify.settings import EventSettings
from merlinbay.reserve.settings import ReservationSettings

Count = Annotated[int, msgspec.Meta(ge=1)]
Number = Annotated[int, msgspec.Meta(ge=0)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1000)]
NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")
Name = Annotated[str, msgspec.Meta(pattern=rf"^{NAME.pattern}$")]


class SessionSection(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One session's settings."""

    backlog: bool = False  # what cannot be placed at once waits in the front
    share: Share = 1.0  # of the servers, against the other sessions' backlogs
    wait_most: Number = 86_400  # seconds after which a job that was not placed is given up; 0: never
    priority_step: Number = 60  # seconds of waiting that one step of a job's priority is worth
    room_only: bool = False  # its jobs take free slots, and no place in a server's queue before callers
    jobs: Count = 50_000  # unfinished ones; half of them for one account
    bytes: Count = 64 * 1024 * 1024  # of their templates
    rate: Annotated[float, msgspec.Meta(ge=0)] = 0.0  # submissions a second; 0: any
    burst: Count = 100

    def allowance(self) -> SessionLimits:
        """Return its bounds."""
        return SessionLimits(self.jobs, self.bytes, self.rate, self.burst)

    def waits(self) -> Backlog | None:
        """Return its backlog's settings, if it keeps one."""
        if not self.backlog:
            return None
        return Backlog(self.share, self.wait_most * 1_000_000, self.priority_step * 1_000_000, self.room_only)


def session_section(wish: SessionSettings, limits: SessionSection) -> SessionSection:
    """Return what a client gets: what it wishes for, within what the operator allows."""
    wait = limits.wait_most
    if wish.waitMost is not None and 0 < wish.waitMost < (wait or 1e9):
        wait = max(int(wish.waitMost), 1)
    rate = limits.rate
    if wish.rate is not None and wish.rate > 0:
        rate = min(wish.rate, rate or wish.rate)
    return msgspec.structs.replace(
        limits,
        backlog=wish.backlog,
        share=wish.share,
        wait_most=wait,
        rate=rate,
        priority_step=int(min(max(wish.priorityStep, 0), 86_400)),
        jobs=min(wish.jobs, limits.jobs) if wish.jobs and wish.jobs > 0 else limits.jobs,
    )


class NamedSession(SessionSection, forbid_unknown_fields=True, kw_only=True):
    """A session that is there from the start."""

    name: Name
    contact: str = ""


class SessionsSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What clients may create."""

    create: bool = True
    most: Count = 256
    share_most: Share = 1.0  # a client may not give itself more than this
    limits: SessionSection = msgspec.field(default_factory=lambda: SessionSection(backlog=True))


class DrmaaSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The DRMAA front, and schedulers as real servers."""

    front: bool = False  # clients may submit by POST /drmaa2/jobs
    servers: bool = False  # the real servers speak the binding too
    body_kib: Annotated[int, msgspec.Meta(ge=1, le=16 * 1024)] = 64  # the largest body of a request
    memory_unit_kib: Number = 0  # what the decision module's unit of memory is; 0: minPhysMemory is refused
    jobs: Count = 200_000  # unfinished ones, over all sessions
    array: Count = 100_000  # members of one array
    finished: Count = 2000  # records of finished jobs that are kept,
    finished_keep: Seconds = 60.0  # for so many seconds
    ask_first: Seconds = 1.0  # a scheduler that has told nothing of a job for so long is asked,
    ask_most: Seconds = 30.0  # and again within this time at the latest
    ask_gone: Seconds = 60.0  # one that has not answered for so long is taken to have lost the job
    # The session of /drmaa2/jobs.
    default: SessionSection = msgspec.field(
        default_factory=lambda: SessionSection(jobs=1_000_000, bytes=1 << 40)
    )
    sessions: SessionsSettings = msgspec.field(default_factory=SessionsSettings)
    session: list[NamedSession] = []
    access: AccessSettings = msgspec.field(default_factory=AccessSettings)
    events: EventSettings = msgspec.field(default_factory=EventSettings)
    reservations: ReservationSettings = msgspec.field(default_factory=ReservationSettings)

    def bounds(self, limits: ResourceLimits) -> BatchLimits:
        """Return what the front keeps at the most."""
        return BatchLimits(
            sessions=self.sessions.most + len(self.session) + 1,
            jobs=self.jobs,
            array=self.array,
            finished=self.finished,
            finished_keep_us=int(self.finished_keep * 1e6),
            finished_bytes=limits.finished_output_bytes,
            waits=limits.drmaa_waits,
        )

    def asking(self) -> PollingLimits:
        """Return how eagerly schedulers are asked."""
        return PollingLimits(
            first_us=int(self.ask_first * 1e6),
            most_us=int(self.ask_most * 1e6),
            gone_after_us=int(self.ask_gone * 1e6),
        )
