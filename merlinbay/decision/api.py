"""The interface of the balancer: settings, events, actions and outcomes.

Plain typed records and nothing else; every decision is in ``rules.py``. All times are integer
microseconds on the caller's clock, all worker, class, zone and kind names are opaque.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 1
    ERROR = 2  # may have run
    FULL = 3  # never ran
    TIMEOUT = 4  # may have run, or may still run
    CONNECT_FAILED = 5  # never ran
    RESET = 6  # may have run
    CANCELLED = 7  # may have run
    MOOT = 8  # never sent


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})


def never_ran(outcome: int, started: bool) -> bool:
    """Tell whether an outcome proves that its attempt never ran, given whether a start was reported."""
    # Guards against a worker that reports a start, or progress, and hands the job back all the same.
    return outcome in NEVER_RAN and not started


EFFECTS = ("repeatable", "by_key", "once")
GROUPS = ("all", "zone", "cell")


def _need(ok: bool, name: str, value: object) -> None:
    """Raise ``ValueError`` naming the setting unless ``ok``."""
    if not ok:
        raise ValueError(f"{name}: invalid value {value!r}")


@dataclass(slots=True)
class JobClass:
    """One class of jobs. In time means within ``aim_us`` + ``stretch`` x the job's own run time."""

    name: str
    aim_us: int
    deadline_us: int
    worth: float = 1.0
    effect: str = "repeatable"  # repeatable | by_key | once
    group: str = "all"  # by_key: the workers that drop a repeat: all | zone | cell
    window_us: int = 0  # by_key: for how long they remember
    late_worth: float = 0.0  # share of the worth earned by a late answer
    stretch: float = 0.0
    kind: int = -1  # index of the one machine kind that runs it, -1: any
    priority: int = 0
    stream: bool = False

    def __post_init__(self) -> None:
        at = f"classes[{self.name}]"
        _need(bool(self.name), "classes[].name", self.name)
        _need(self.aim_us >= 0, f"{at}.aim_us", self.aim_us)
        _need(self.deadline_us > 0, f"{at}.deadline_us", self.deadline_us)
        _need(self.worth >= 0, f"{at}.worth", self.worth)
        _need(self.effect in EFFECTS, f"{at}.effect", self.effect)
        _need(self.group in GROUPS, f"{at}.group", self.group)
        _need(self.window_us >= 0, f"{at}.window_us", self.window_us)
        _need(0 <= self.late_worth <= 1, f"{at}.late_worth", self.late_worth)
        _need(self.stretch >= 0, f"{at}.stretch", self.stretch)


@dataclass(slots=True)
class Limits:
    """What the deployment permits."""

    cancelling: bool = False
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    second_copies: bool = False
    send_cap: int = 1
    max_retry_after_us: int = 1_000_000

    def __post_init__(self) -> None:
        _need(self.send_cap >= 1, "limits.send_cap", self.send_cap)
        _need(self.max_retry_after_us >= 0, "limits.max_retry_after_us", self.max_retry_after_us)


@dataclass(slots=True)
class Safety:
    """Figures of the four rules."""

    drain_grace_us: int = 0
    cold_from: float = 1.0
    cold_us: int = 0
    tip_multiple: float = 1.0
    overload_for_us: int = 1_000_000
    answer_slack_us: int = 0
    must_ask_in_us: int = 0

    def __post_init__(self) -> None:
        _need(0 < self.cold_from <= 1, "safety.cold_from", self.cold_from)
        _need(self.cold_us >= 0, "safety.cold_us", self.cold_us)
        _need(self.tip_multiple > 0, "safety.tip_multiple", self.tip_multiple)
        _need(self.overload_for_us > 0, "safety.overload_for_us", self.overload_for_us)


@dataclass(slots=True)
class Tenant:
    """A tenant, its share of the service and its quota over all schedulers."""

    name: str
    quota_per_s: float
    share: float = 1.0

    def __post_init__(self) -> None:
        _need(self.quota_per_s > 0, f"tenants[{self.name}].quota_per_s", self.quota_per_s)


@dataclass(slots=True)
class Settings:
    """Everything the balancer is told at its start."""

    classes: list[JobClass]
    balancers: int = 1
    me: int = 0
    zone: str = ""
    limits: Limits = field(default_factory=Limits)
    safety: Safety = field(default_factory=Safety)
    kinds: list[str] = field(default_factory=list)
    tenants: list[Tenant] = field(default_factory=list)
    over_share_worth: float = 1.0
    report_fields: list[str] = field(default_factory=list)
    free_slots_field: str = ""  # the report field that holds free slots, if any
    errors_field: str = ""  # the report field that counts its errors a second, if any
    held_field: str = ""  # the report field that counts the requests held there, if any
    queued_field: str = ""  # the report field that counts the requests waiting there, if any
    free_memory_field: str = ""  # the report field that holds free memory, if any
    tells_start: bool = False
    progress_us: int = 0  # progress notes come this often while a job runs; 0: never
    queue_order: str = "fifo"  # fifo | backfill | priority
    must_subscribe: bool = False  # discovery tells nothing unasked
    cross_zone_price: float = 0.0
    asks_first: bool = False  # workers report their load to probes only
    probe_price: float = 0.0  # of one probe for each request
    waste_price: float = 0.0  # of as much work without an answer as was asked for
    worth_by_work: bool = False  # a job's worth grows with its work
    doubts: list[str] = field(default_factory=list)  # what was not understood, and what it is taken for

    def __post_init__(self) -> None:
        _need(bool(self.classes), "classes", self.classes)
        _need(self.balancers >= 1, "balancers", self.balancers)
        _need(0 <= self.me, "me", self.me)
        for job_class in self.classes:
            _need(
                -1 <= job_class.kind < max(1, len(self.kinds)),
                f"classes[{job_class.name}].kind",
                job_class.kind,
            )

    def read(self, report: list[object]) -> dict[str, float]:
        """Return a load report's values by field; those that make no sense are left out."""
        return {
            name: float(value)
            for name, value in zip(self.report_fields, report, strict=False)
            if isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value < 1e6
        }


@dataclass(slots=True)
class WorkerEntry:
    """One line of the worker list."""

    worker: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "up"  # up | draining | removed
    share: float = 1.0
    ready_at_us: int = 0  # the latest start; 0: long ago


# Events: what the balancer is told.


class CallFailure(Enum):
    """How a call to discovery failed, or a watch ended."""

    BROKEN = "broken"  # the connection ended, or the answer cannot be read: it may have had news
    SILENT = "silent"  # nothing came in time
    UNAVAILABLE = "unavailable"  # discovery's own word that it is down, or that the call has waited too long
    UNREACHABLE = "unreachable"  # no connection comes up


@dataclass(slots=True)
class ListChanged:
    """The worker list: ``changes``, ``all``, ``remembered``, or ``refused`` (a call for it failed)."""

    scope: str
    entries: list[WorkerEntry]
    heard_us: int = -1  # of a watch that broke: when its last answer came; -1: when it broke
    failure: CallFailure = CallFailure.BROKEN  # of a call or watch that failed
    former: bool = False  # it comes from a discovery that the configuration names no more


@dataclass(slots=True)
class ListMoved:
    """A new configuration has come; all that its discovery has counts as notified after ``told_us``."""

    told_us: int
    moved: bool = True  # it names another discovery, which is to be called


@dataclass(slots=True)
class BalancersCounted:
    """So many balancers share the work from now on, this one included: news beside what was told."""

    count: int
    me: int = 0  # which of them, in an order that all have


@dataclass(slots=True)
class Maintained:
    """Operators take a worker out (``on``), above whatever is listed, or put it back, restarted."""

    worker: str
    on: bool


@dataclass(slots=True)
class JobArrived:
    """A client's request; one final answer is owed within ``budget_us``."""

    id: int
    job_class: str
    budget_us: int
    slots: float = 1.0
    memory: float = 0.0
    key: str = ""
    tenant: str = ""
    returned: bool = False  # the client says that it is a repeat
    hint_us: int = 0  # expected work; 0: not told
    only: tuple[str, ...] = ()  # the workers that may run it; empty: any
    room_only: bool = False  # it takes free slots, and no place behind others
    reserved: bool = False  # the slots that are kept are for it
    keyless: bool = False  # it carries no key by which workers could know a repeat


@dataclass(slots=True)
class SlotsKept:
    """So many slots of a worker are kept free from now on, but for jobs that they are reserved for."""

    worker: str
    slots: float
    of: float = 0.0  # all that it has, as the operator says


@dataclass(slots=True)
class JobWithdrawn:
    """The client has left; nothing is owed any more."""

    id: int


@dataclass(slots=True)
class JobStarted:
    """A worker has started the attempt."""

    id: int
    attempt: int


@dataclass(slots=True)
class JobProgress:
    """The attempt runs; ``done`` is the share done."""

    id: int
    attempt: int
    done: float = 0.0


@dataclass(slots=True)
class JobPaused:
    """The worker has suspended the attempt, or goes on with it."""

    id: int
    attempt: int
    paused: bool


@dataclass(slots=True)
class StreamStarted:
    """The answer streams to the client, to whom the attempt now belongs."""

    id: int
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """The attempt's one outcome. ``final``: the request itself is settled, nothing is owed any more."""

    id: int
    attempt: int
    outcome: int
    took_us: int
    final: bool = False
    report: list[object] | None = None
    worker: str = ""


@dataclass(slots=True)
class ProbeEnded:
    """The outcome of a probe."""

    worker: str
    outcome: int
    took_us: int
    report: list[object] | None = None


@dataclass(slots=True)
class TimerFired:
    """A timer is due."""

    token: str


@dataclass(slots=True)
class PeerMessage:
    """A message from another balancer."""

    sender: int
    body: bytes


Event = (
    ListChanged
    | ListMoved
    | BalancersCounted
    | Maintained
    | JobArrived
    | JobWithdrawn
    | JobStarted
    | JobProgress
    | JobPaused
    | StreamStarted
    | AttemptEnded
    | ProbeEnded
    | TimerFired
    | PeerMessage
    | SlotsKept
)


# Actions: what the balancer wants done. A job with no action is held.


@dataclass(slots=True)
class Place:
    """Send an attempt; attempts of a job count 0, 1, 2 ... ``timeout_us`` 0: until the client gives up."""

    id: int
    worker: str
    timeout_us: int = 0


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    id: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: refused, trying again is harmless."""

    id: int
    retry_after_us: int = 0
    reason: str = "no_room"  # for the counters


@dataclass(slots=True)
class Fail:
    """Final answer: failed, the effect is not known."""

    id: int


@dataclass(slots=True)
class Probe:
    """Test a worker."""

    worker: str


@dataclass(slots=True)
class Tell:
    """Send a message to one peer, or to all (``peer`` None)."""

    body: bytes
    peer: int | None = None


@dataclass(slots=True)
class SetTimer:
    """Ask for a ``TimerFired``."""

    in_us: int
    token: str


@dataclass(slots=True)
class Subscribe:
    """Subscribe to changes of the worker list."""

    patience_us: int = 0  # its first answer is waited for so long; 0: as long as is usual


@dataclass(slots=True)
class Note:
    """A line for the log."""

    text: str


Action = Place | Cancel | Refuse | Fail | Probe | Tell | SetTimer | Subscribe | Note
