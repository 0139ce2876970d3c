"""Job arrays: members are made when something needs them, so that 10,000 of them take little room."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from merlinbay.batch.errors import invalid_argument
from merlinbay.batch.jobs import Job, Session, Stage, Submission
from merlinbay.batch.states import State
from merlinbay.batch.timers import Timer

CODES = list(State)  # the first, UNDETERMINED, is never final: 0 stands for a member that has not ended
CODE = {state: number for number, state in enumerate(CODES)}


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
    session: Session
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
        job = Job(f"{self.id}.{index}", self.session, self.what, order, self.rank, self.submitted_us,
                  array=self, index=index)
        if code:
            job.state, job.stage = CODES[code], Stage.ENDED
            job.annotation = self.annotation or "its record is no longer kept"
            return job
        job.state = State.QUEUED_HELD if self.held else State.QUEUED
        self.made[index] = self.session.jobs[job.id] = job
        return job

    def note_end(self, index: int, state: State) -> None:
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

