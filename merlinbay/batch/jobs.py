"""What is kept of sessions, jobs, arrays and waits. Times are microseconds of Unix time; 0 is none.

Members of an array are made when something needs them, so that 10,000 of them take little room.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field
from datetime import UTC, datetime
from enum import Enum

import msgspec

from merlinbay.batch.errors import invalid_argument
from merlinbay.batch.fair_share import AccountQueue, FairShareBranch
from merlinbay.batch.quota import SessionQuota
from merlinbay.batch.states import ENDED, JobState
from merlinbay.batch.timers import Timer
from merlinbay.decision.events import UnresolvedAttempt

CODES = list(JobState)  # the first, UNDETERMINED, is never final: 0 stands for a member that has not ended
CODE = {state: number for number, state in enumerate(CODES)}


class JobStage(Enum):
    """Where a job is in the front. The client sees its state; this decides what may be done with it."""

    PARKED = "parked"  # held, not yet due, or a member of an array that waits for its turn
    WAITING = "waiting"  # in its account's lane
    OFFERED = "offered"  # with the core, undecided
    PLACED = "placed"  # with a real server
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Backlog:
    """A session's opt-in: what it cannot place at once, it keeps and offers again."""

    share: float = 1.0  # of the servers, against the other sessions
    wait_most_us: int = 86_400_000_000  # a job that has been due for so long is given up
    priority_us: int = 60_000_000  # a step of priority is worth so much waiting
    room_only: bool = False  # its jobs take free slots, and no place in a server's queue


class Submission(msgspec.Struct, frozen=True):
    """What the front has read off a template."""

    template: bytes  # passes on unchanged; nothing here looks into it
    job_class: str
    slots: float = 1.0
    size: int = 0  # bytes of the template
    account: str = ""
    priority: int = 0
    held: bool = False
    start_us: int = 0  # not to be offered before
    deadline_us: int = 0  # not to run after
    fits: tuple[int | None, tuple[str, ...]] = (None, ())  # the memory that it needs, KiB; its machines
    name: str = ""  # the client's own
    reservation: str = ""  # whose slots it takes

    @property
    def shape(self) -> Hashable:
        """Return what decides where it fits."""
        return self.job_class, self.slots, self.fits, self.reservation


@dataclass(slots=True, eq=False, repr=False)
class JobSession:
    """A job session."""

    name: str
    quota: SessionQuota
    contact: str = ""
    backlog: Backlog | None = None
    branch: FairShareBranch | None = None  # its place among the sessions, with a backlog,
    lanes: dict[str, AccountQueue] = field(default_factory=dict)  # and those of its accounts below it
    jobs: dict[str, Job] = field(default_factory=dict)
    arrays: dict[str, JobArray] = field(default_factory=dict)
    owner: str | None = None  # the account whose it is; None: everybody's
    is_open: bool = True
    destroyed: bool = False

    def __repr__(self) -> str:
        return f"<Session {self.name}>"


# Guards against a text that runs through all sessions and jobs: each holds the others.
@dataclass(slots=True, eq=False, repr=False)
class Job:
    """A batch job, from its submission until its record is reaped or dropped."""

    id: str
    session: JobSession
    what: Submission
    order: int
    rank: int  # see ``shares``
    submitted_us: int
    state: JobState = JobState.QUEUED
    stage: JobStage = JobStage.PARKED
    array: JobArray | None = None
    index: int = 0  # in its array
    offer: int = 0  # how often it was offered to the core: tells apart what comes back
    machine: str = ""  # where it started last
    server: str = ""  # where it was placed last,
    servers: tuple[str, ...] = ()  # and everywhere that it was, in order
    started_us: int = 0  # the first start
    running_us: int = 0  # the last start,
    booked: float = 0.0  # and the work that was booked for it when it was offered
    finished_us: int = 0
    ran: bool = False  # a server has told of its start, in this offer or an earlier one
    may_have_run: bool = False  # an attempt of any offer has ended in a way that does not exclude it
    # Attempts of any offer that may have run, the first dispatched first; none where any repeat is harmless.
    unresolved: tuple[UnresolvedAttempt, ...] = ()
    repeat_until_us: int = 0  # servers drop a repeat of these until then
    output: bytes = b""
    exit_status: int | None = None
    signal: str = ""
    cpu_us: int = 0
    exception: str = ""
    annotation: str = ""
    retry_after_us: int = 0
    submit_call: object = None  # the runJob call that waits for its placement, without a backlog
    hold_calls: list[object] | None = None  # hold calls that wait for the placement to be settled
    control: tuple[str, object] | None = None  # suspend or resume under way, and its call
    waits: dict[PendingWait, None] | None = None  # in the order in which they came
    timer: Timer | None = None

    def __repr__(self) -> str:
        return f"<Job {self.id} {self.state} {self.stage.value}>"

    @property
    def name(self) -> str:
        """Return the client's name for it."""
        return self.what.name

    @property
    def job_class(self) -> str:
        """Return its class."""
        return self.what.job_class

    @property
    def shape(self) -> Hashable:
        """Return what decides where it fits."""
        return self.what.shape

    @property
    def ended(self) -> bool:
        """Tell whether its state is final."""
        return self.state in ENDED

    @property
    def allocated_machines(self) -> list[str]:
        """Return the server that has the job, or had it when the job ended."""
        has_server = self.server and self.stage in (JobStage.PLACED, JobStage.ENDED)
        return [self.server] if has_server else []

    @property
    def substate(self) -> str:
        """Return what the state leaves open, in words."""
        if self.stage is JobStage.ENDED:
            return ""
        if self.hold_calls:
            return "a hold is under way"
        if self.control is not None:
            return f"a {self.control[0]} is under way"
        if self.stage is JobStage.PLACED:
            return f"at {self.server}"
        if self.state in (JobState.QUEUED_HELD, JobState.REQUEUED_HELD):
            return "held in the front" + self._time_for_repeat
        if self.stage is JobStage.PARKED:
            return (
                "waits for its turn in its array" if self.array is not None else ("not before its start time")
            )
        return "offered" if self.stage is JobStage.OFFERED else "waits in the backlog"

    @property
    def _time_for_repeat(self) -> str:
        if not self.repeat_until_us:
            return ""
        until = datetime.fromtimestamp(self.repeat_until_us / 1e6, UTC)
        return f"; it may have run, and may be sent again until {until.isoformat()}"

    def may_repeat(self, now_us: int) -> bool:
        """Tell whether it may still be sent again, by what is known of all its offers."""
        return not self.repeat_until_us or now_us < self.repeat_until_us


@dataclass(slots=True, eq=False)
class PendingWait:
    """A call that waits until one of several jobs has started, or has ended."""

    call: object
    jobs: list[Job]
    started: bool  # a start is enough
    timer: Timer | None = None


def indices(begin: int, end: int, step: int, most: int) -> range:
    """Return an array's indices (GFD.194, 8.2.6). Raises ``DrmaaError`` where they make no sense."""
    if not 1 <= begin <= end or step < 1 or end >= 2**31:
        raise invalid_argument("beginIndex, endIndex and step: 1 <= begin <= end, step >= 1")
    found = range(begin, end + 1, step)
    if len(found) > most:
        raise invalid_argument(f"{len(found)} members; {most} at the most")
    return found


@dataclass(slots=True, eq=False, repr=False)
class JobArray:
    """An array: which members there are, how many may be out at once, and whose turn it is."""

    id: str
    session: JobSession
    what: Submission
    range: range
    max_parallel: int  # members that may be with the core or a server at once; 0: any number
    rank: int
    submitted_us: int
    held: bool = False  # the members not yet made are held
    cursor: int = 0  # of the range: members before it have had their turn
    out: int = 0  # members that are offered or placed,
    queued: int = 0  # and those that wait in the lane
    back: dict[Job, None] = field(default_factory=dict)  # released, in order: their turn comes first
    made: dict[int, Job] = field(default_factory=dict)  # by index; ended ones go when their record is dropped
    codes: bytearray = field(default_factory=bytearray)  # how members ended, by position
    left: int = 0  # members that have not ended
    annotation: str = ""  # why those ended that were never made
    timer: Timer | None = None

    def __post_init__(self) -> None:
        self.codes = bytearray(len(self.range))
        self.left = len(self.range)

    def __repr__(self) -> str:
        return f"<JobArray {self.id} {len(self.range)} members, {self.left} left>"

    def position(self, index: int) -> int:
        """Return an index's place in the range."""
        if index not in self.range:
            raise invalid_argument(f"array {self.id!r} has no member {index}", missing=True)
        return (index - self.range.start) // self.range.step

    def member(self, index: int, order: int) -> Job:
        """Return a member, made now if need be; one whose record was dropped tells its final state."""
        job = self.made.get(index)
        if job is not None:
            return job
        code = self.codes[self.position(index)]
        job = Job(
            f"{self.id}.{index}",
            self.session,
            self.what,
            order,
            self.rank,
            self.submitted_us,
            array=self,
            index=index,
        )
        if code:
            job.state, job.stage = CODES[code], JobStage.ENDED
            job.annotation = self.annotation or "its record is no longer kept"
            return job
        job.state = JobState.QUEUED_HELD if self.held else JobState.QUEUED
        self.made[index] = self.session.jobs[job.id] = job
        return job

    def note_end(self, index: int, state: JobState) -> None:
        """Keep how a member ended, beyond its record."""
        self.codes[self.position(index)] = CODE[state]
        self.left -= 1

    def unmade(self) -> Iterator[int]:
        """Yield the indices of members that have neither been made nor ended."""
        for position in range(self.cursor, len(self.range)):
            index = self.range[position]
            if index not in self.made and not self.codes[position]:
                yield index

    def room(self, window: int) -> bool:
        """Tell whether another member may enter the lane."""
        if self.queued >= window:  # Guards against 10,000 jobs in a lane where 64 do as well.
            return False
        return not self.max_parallel or self.out + self.queued < self.max_parallel

    def counts(self) -> dict[str, int]:
        """Return how many members are in which state."""
        found = Counter(job.state.value for job in self.made.values() if not job.ended)
        unmade = self.left - sum(found.values())
        found.update(CODES[code].value for code in self.codes if code)
        if unmade:
            found["QUEUED_HELD" if self.held else "QUEUED"] += unmade
        return {name: number for name, number in sorted(found.items()) if number}
