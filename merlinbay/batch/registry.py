"""What the front keeps: sessions, the records of jobs that have ended, and the calls that wait."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import msgspec

from merlinbay.batch.errors import DrmaaError, invalid_argument, invalid_state, try_later
from merlinbay.batch.fair_share import FairShareBranch
from merlinbay.batch.jobs import Backlog, Job, JobArray, JobSession, PendingWait
from merlinbay.batch.pacing import Pacing
from merlinbay.batch.quota import SessionLimits, SessionQuota
from merlinbay.batch.states import ENDED, STARTED, InvalidStateError, JobState, JobTransition, after
from merlinbay.batch.timers import TimerQueue

ROOM = "OutOfResourceException"
NO_BACKLOG = "keeps no backlog"


@dataclass(frozen=True, slots=True)
class BatchLimits:
    """What the front keeps at the most."""

    sessions: int = 256
    jobs: int = 200_000  # unfinished ones, of all sessions
    accounts: int = 10_000  # of one session
    array: int = 100_000  # members of one array,
    window: int = 64  # and those of them in the lane
    finished: int = 2000
    finished_keep_us: int = 60_000_000
    finished_bytes: int = 16 * 1024 * 1024
    waits: int = 100
    shapes: int = 256  # records of shapes, see ``Pacing``; more only where jobs of more shapes wait


class JobChange(Enum):
    """What changes of a job that is worth telling; the values are the standard's events."""

    STATE = "NEW_STATE"
    MACHINE = "MIGRATED"
    ATTRIBUTE = "ATTRIBUTE_CHANGE"


class JobObserver(Protocol):
    """Is told of changes as they happen, and of nothing else."""

    def changed(self, change: JobChange, job: Job) -> None:
        """Take it that a job has changed."""

    def unmade_ended(self, array: JobArray, number: int) -> None:
        """Take it that so many members of an array have ended that were never made."""


class OfferJob(msgspec.Struct, frozen=True):
    """Offer the job to the core."""

    job: Job


class WithdrawJob(msgspec.Struct, frozen=True):
    """Take the job back from the core; its answer no longer matters."""

    job: Job


class RecallJob(msgspec.Struct, frozen=True):
    """Take the job back from its server if it has not started; ``recalled`` tells."""

    job: Job


class ControlJob(msgspec.Struct, frozen=True):
    """Suspend or resume it at its server; ``controlled`` tells."""

    job: Job
    action: str


class CallReply(msgspec.Struct, frozen=True):
    """Answer a call: with the job it asked for (None: an array was meant), or with why not."""

    call: object
    job: Job | None = None
    error: DrmaaError | None = None


Effect = OfferJob | WithdrawJob | RecallJob | ControlJob | CallReply


@dataclass(slots=True, eq=False)
class ArrayCall:
    """A call on many jobs, answered once all of them have been: well, if it came to something for one."""

    call: object
    left: int = 0
    done: int = 0
    error: DrmaaError | None = None


class JobRegistry:
    """Sessions, records and waits."""

    def __init__(self, bounds: BatchLimits, new_id: Callable[[], str]) -> None:
        self.bounds, self.new_id = bounds, new_id
        self.sessions: dict[str, JobSession] = {}
        self.effects: list[Effect] = []
        self.timers, self.pace, self.root = TimerQueue(), Pacing(bounds.shapes), FairShareBranch()
        self.jobs = 0  # unfinished ones
        self.waits: dict[object, PendingWait] = {}
        self.kept: dict[Job | JobArray, int] = {}  # finished ones and until when, the oldest first,
        self.kept_bytes = 0  # and the size of their outputs
        self.orders = 0
        self.watcher: JobObserver | None = None

    # Sessions.

    def create(
        self, name: str, contact: str, allowance: SessionLimits, backlog: Backlog | None, now_us: int
    ) -> JobSession:
        """Create a session, and open it."""
        if name in self.sessions:
            raise invalid_argument(f"session {name!r} exists")
        if len(self.sessions) >= self.bounds.sessions:
            raise DrmaaError(ROOM, f"{self.bounds.sessions} sessions exist")
        session = self.sessions[name] = JobSession(name, SessionQuota(allowance, now_us), contact, backlog)
        if backlog is not None:
            session.branch = FairShareBranch(self.root, backlog.share)
        return session

    def session(self, name: str, opened: bool = True) -> JobSession:
        """Return a session; a closed one only where ``opened`` is false."""
        session = self.sessions.get(name)
        if session is None:
            raise invalid_argument(f"no session {name!r}", missing=True)
        if opened and not session.is_open:
            raise DrmaaError("InvalidSessionException", f"session {name!r} is closed")
        return session

    # Calls.

    def reply(self, call: object, job: Job | None = None, error: DrmaaError | None = None) -> None:
        """Answer a call; None is nobody's."""
        if isinstance(call, ArrayCall):
            call.left -= 1
            call.done += error is None
            call.error = error or call.error
            if call.left == 0:
                self.reply(call.call, None, None if call.done else call.error)
        elif call is not None:
            self.effects.append(CallReply(call, job, error))

    def wait(self, call: object, jobs: Iterable[Job], started: bool, until_us: int, now_us: int) -> None:
        """Answer the call with the first of the jobs that has started (or ended), or with a time-out.

        ``until_us`` 0 waits for as long as it takes.
        """
        wanted = list(jobs)
        for job in wanted:
            if job.ended or (started and job.state in STARTED):
                self.reply(call, job)
                return
        if until_us and until_us <= now_us:
            self.reply(call, error=DrmaaError("TimeoutException", "not within the time given"))
            return
        # Guards against waits that hold every edge connection.
        if len(self.waits) >= self.bounds.waits:
            raise try_later("too many waits", 100_000)
        wait = self.waits[call] = PendingWait(call, wanted, started)
        for job in wanted:
            if job.waits is None:
                job.waits = {}
            job.waits[wait] = None
        if until_us:
            wait.timer = self.timers.at(
                until_us,
                lambda now: self._end_wait(
                    wait, error=DrmaaError("TimeoutException", "not within the time given")
                ),
            )

    def forget_call(self, call: object) -> None:
        """Take it that the caller has left: nothing is left of its wait."""
        wait = self.waits.get(call)
        if wait is not None:
            self._clear(wait)

    def _end_wait(self, wait: PendingWait, job: Job | None = None, error: DrmaaError | None = None) -> None:
        self._clear(wait)
        self.reply(wait.call, job, error)

    def _clear(self, wait: PendingWait) -> None:
        del self.waits[wait.call]
        self.timers.cancel(wait.timer)
        for other in wait.jobs:
            if other.waits is not None:
                other.waits.pop(wait, None)
                if not other.waits:
                    other.waits = None

    # States.

    def _allowed(self, job: Job, event: JobTransition) -> JobState:
        """Return the state that follows. Raises ``DrmaaError`` where the table has none."""
        try:
            return after(job.state, event)
        except InvalidStateError as error:
            raise invalid_state(str(error)) from None

    def _move(self, job: Job, event: JobTransition) -> None:
        job.state = after(job.state, event)
        if self.watcher is not None:
            self.watcher.changed(JobChange.STATE, job)
        if job.waits and job.state in STARTED:
            for wait in list(job.waits):
                if wait.started or job.state in ENDED:
                    self._end_wait(wait, job)

    # Records of finished jobs.

    def _keep(self, ended: Job | JobArray, now_us: int) -> None:
        self.kept[ended] = now_us + self.bounds.finished_keep_us
        self.kept_bytes += size_of(ended)
        if len(self.kept) == 1:
            self.timers.at(self.kept[ended], self._expire)
        if len(self.kept) > self.bounds.finished or self.kept_bytes > self.bounds.finished_bytes:
            self._trim(now_us)

    def _expire(self, now_us: int) -> None:
        self._trim(now_us)
        if self.kept:
            self.timers.at(next(iter(self.kept.values())), self._expire)

    def _trim(self, now_us: int) -> None:
        while self.kept:
            ended, until = next(iter(self.kept.items()))
            if (
                until > now_us
                and len(self.kept) <= self.bounds.finished
                and self.kept_bytes <= self.bounds.finished_bytes
            ):
                return
            self._drop(ended)

    def _drop(self, ended: Job | JobArray) -> None:
        """Drop the record of a job or an array that has ended."""
        if self.kept.pop(ended, None) is not None:
            self.kept_bytes -= size_of(ended)
        if isinstance(ended, JobArray):
            ended.session.arrays.pop(ended.id, None)
            return
        if ended.session.jobs.get(ended.id) is ended:
            del ended.session.jobs[ended.id]
        if ended.array is not None:
            ended.array.made.pop(ended.index, None)


def size_of(ended: Job | JobArray) -> int:
    """Return what the record of one that has ended takes, beyond a few hundred bytes."""
    return len(ended.codes) if isinstance(ended, JobArray) else len(ended.output)
