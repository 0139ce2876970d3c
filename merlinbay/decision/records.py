"""What ``rules.py`` remembers of endpoints, classes and jobs: plain records, no decisions.

Times are microseconds, counts are slots.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from merlinbay.decision.settings import RequestClass

NEVER = -(10**12)  # a time long ago
HISTORY_US = 1_000_000  # for so long our outstanding slots are remembered


@dataclass(slots=True, eq=False)
class Kind:
    """What is learned of a kind of machine, pooled since one scheduler sees little of each endpoint."""

    slots: float = 1.0
    pace: float = 1.0  # its run times over the fleet's
    told: bool = False  # the slots come from reports
    counts: int = 0  # of these, the ones of a half-empty endpoint
    queued: float = 0.5  # share of the count at a 'full' that is queue; a half until learned from run times
    most: float = 0.0  # our slots seen running at once on one endpoint
    part: float = 1.0  # its slots over the fleet's, where no report tells them


@dataclass(slots=True, eq=False)
class Endpoint:
    """One endpoint as this scheduler sees it."""

    name: str
    kind: Kind
    zone: str = ""
    cell: int = 0
    state: str = "up"
    listed: str = "up"  # its state as the list has it, whatever operators say
    ready_at: int = 0
    held: float = 0.0  # our outstanding slots
    running: float = 0.0  # and of these, the started ones
    kept: float = 0.0  # slots that are kept free for jobs that reserved them
    others: float = 0.0  # slots that the other schedulers held there when last observed,
    others_at: int = -1  # and when that was
    free_memory: float = math.inf  # as a report told it last,
    memory_at: int = 0  # and when that was
    pace: float = 1.0  # its smoothed run time over its kind's, by its jobs,
    paced_at: int = 0  # and when the last of these told it
    fails: int = 0
    bench_until: int = 0  # left out until then,
    fault: int = 0  # the outcome that counted as a failure last,
    fault_at: int = 0  # and when
    unheard_since: int = 0  # the first send since it was last heard
    heard_at: int = 0
    cold_next: int = 0  # our turn to send to it while it is cold; before this it gets nothing more from us
    last_report: list[object] | None = None
    held_before: deque[tuple[int, float]] = field(
        default_factory=deque
    )  # our outstanding slots, and since when
    reports: int = 0  # how often it has told what it holds,
    others_mean: float = 0.0  # and what the others held there, smoothed over these
    slot_reports: int = 0  # how often it has told its free slots,
    slots_shown: float = 0.0  # and its slots, smoothed over reports: free ones and our running ones
    probed_at: int = NEVER  # the last probe went out

    def restart(self, at: int) -> None:
        """Take it that it started anew: what was known of its health is of another process."""
        self.ready_at, self.pace = at, 1.0
        self.fails, self.bench_until, self.unheard_since, self.cold_next = 0, 0, 0, 0

    def count(self, now: int, slots: float) -> None:
        """Count slots of ours that are taken there, or less than 0 that are free again."""
        self.held += slots
        self.held_before.append((now, self.held))
        while self.held_before[0][0] < now - HISTORY_US and len(self.held_before) > 1:
            self.held_before.popleft()

    def held_at(self, at: int) -> float:
        """Return our outstanding slots as they were then, or at the earliest time remembered."""
        held = self.held_before[0][1] if self.held_before else self.held
        for since, value in self.held_before:
            if since > at:
                break
            held = value
        return held

    def observe(self, now: int, others: float) -> None:
        """Note how many slots the others hold there."""
        self.others, self.others_at = max(0.0, others), now


@dataclass(slots=True, eq=False)
class Class:
    """A class's settings and its smoothed run time."""

    spec: RequestClass
    run: float
    seen: int = 0
    over_hint: float = 1.0  # its run times over the hints of them


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request."""

    endpoint: Endpoint
    at: int
    zone: str = field(init=False)  # of its endpoint as it was sent: a later list may say another one,
    cell: int = field(init=False)  # and so may it here
    room: bool = False  # there seemed to be room
    started: int = 0
    look_at: int = 0  # once it has started: when to see whether it still runs
    paused_at: int = 0  # it stands still since then; 0: it does not
    open: bool = True
    ran: bool = False  # it has ended, and may have run

    def __post_init__(self) -> None:
        self.zone, self.cell = self.endpoint.zone, self.endpoint.cell

    @property
    def may_have_run(self) -> bool:
        """Whether it is out, or has ended in a way that does not exclude that it has run."""
        return self.open or self.ran


@dataclass(slots=True, eq=False)
class Job:
    """A request, from its arrival until its last attempt has ended."""

    id: int
    cls: Class
    slots: float
    memory: float
    key: str
    run: float  # expected run time
    worth: float
    deadline: int
    patience: float = 0.0  # how long an attempt waits unstarted before another goes out
    only: tuple[str, ...] = ()  # the endpoints that may run it; empty: any
    room_only: bool = False  # it takes free slots, and no place behind others
    reserved: bool = False  # the slots that are kept are for it
    arrived: int = 0
    hint: float = 0.0  # the run time that its request told; 0: none
    keyless: bool = False  # it carries no key by which endpoints could know a repeat
    attempts: list[Attempt] = field(default_factory=list)
    pending: int = 0
    done: bool = False

    probe_replies: list[Endpoint] = field(
        default_factory=list
    )  # endpoints that answered probes of this attempt,
    probes_pending: int = 0  # how many have not yet

    @property
    def effect(self) -> str:
        """What a repeat does, by the class; one that no endpoint can tell from a new job must not be sent."""
        spec = self.cls.spec
        return "once" if spec.effect == "by_key" and self.keyless else spec.effect

    @property
    def unresolved(self) -> Attempt | None:
        """The first attempt that may have run."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


@dataclass(slots=True, eq=False)
class Rate:
    """A rate of events a microsecond that forgets."""

    at: int
    value: float = 0.0

    def add(self, now: int, tau_us: int) -> float:
        """Count one event; return the share that is left of what was counted before."""
        left = math.exp((self.at - now) / tau_us)
        self.value, self.at = self.value * left + 1 / tau_us, now
        return left
