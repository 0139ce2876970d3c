"""What a deployment permits and asks for. Durations are microseconds; names are opaque."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

GROUPS = ("all", "zone", "cell")


class Idempotency(Enum):
    """What a repeat of a request does. The values are the words of the setting ``effect``."""

    ALWAYS = "repeatable"  # a repeat is harmless
    BY_KEY = "by_key"  # endpoints of the idempotency scope drop a repeat within the window
    NONE = "once"  # a repeat has a second effect


EFFECTS = {one.value: one for one in Idempotency}  # by the words of the setting


def require(ok: bool, name: str, value: object) -> None:
    """Raise ``ValueError`` naming the setting unless ``ok``."""
    if not ok:
        raise ValueError(f"{name}: invalid value {value!r}")


@dataclass(slots=True)
class RequestClass:
    """One class of jobs. In time means within ``aim_us`` + ``stretch`` x the job's own run time."""

    name: str
    aim_us: int
    deadline_us: int
    worth: float = 1.0
    effect: str = "repeatable"  # repeatable | by_key | once
    group: str = "all"  # by_key: the endpoints that drop a repeat: all | zone | cell
    window_us: int = 0  # by_key: for how long they remember
    late_worth: float = 0.0  # share of the worth earned by a late answer
    stretch: float = 0.0
    kind: int = -1  # index of the one machine kind that runs it, -1: any
    priority: int = 0
    stream: bool = False

    def __post_init__(self) -> None:
        at = f"classes[{self.name}]"
        require(bool(self.name), "classes[].name", self.name)
        require(self.aim_us >= 0, f"{at}.aim_us", self.aim_us)
        require(self.deadline_us > 0, f"{at}.deadline_us", self.deadline_us)
        require(self.worth >= 0, f"{at}.worth", self.worth)
        require(self.effect in EFFECTS, f"{at}.effect", self.effect)
        require(self.group in GROUPS, f"{at}.group", self.group)
        require(self.window_us >= 0, f"{at}.window_us", self.window_us)
        require(0 <= self.late_worth <= 1, f"{at}.late_worth", self.late_worth)
        require(self.stretch >= 0, f"{at}.stretch", self.stretch)

    @property
    def idempotency(self) -> Idempotency:
        """What a repeat does."""
        return EFFECTS[self.effect]


@dataclass(slots=True)
class DispatchLimits:
    """What the deployment permits."""

    cancelling: bool = False
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    second_copies: bool = False
    send_cap: int = 1
    max_retry_after_us: int = 1_000_000

    def __post_init__(self) -> None:
        require(self.send_cap >= 1, "limits.send_cap", self.send_cap)
        require(self.max_retry_after_us >= 0, "limits.max_retry_after_us", self.max_retry_after_us)


@dataclass(slots=True)
class SafetyMargins:
    """Margins of the rules: on answers, repeats, draining endpoints, and endpoints in slow start."""

    drain_grace_us: int = 0  # after a drain is notified, requests may still be sent for so long
    cold_from: float = 1.0  # share of its capacity that an endpoint has at its start; it grows evenly
    cold_us: int = 0  # how long after its start an endpoint warms up
    tip_multiple: float = 1.0  # a warming endpoint is overloaded by work of so many times its capacity
    overload_for_us: int = 1_000_000  # in a span of this length
    answer_slack_us: int = 0  # how much later than its deadline an answer may come
    must_ask_in_us: int = 0  # how often discovery is to be polled at the least; 0: not stated

    def __post_init__(self) -> None:
        require(0 < self.cold_from <= 1, "safety.cold_from", self.cold_from)
        require(self.cold_us >= 0, "safety.cold_us", self.cold_us)
        require(self.tip_multiple > 0, "safety.tip_multiple", self.tip_multiple)
        require(self.overload_for_us > 0, "safety.overload_for_us", self.overload_for_us)


@dataclass(slots=True)
class Tenant:
    """A tenant, its share of the service and its quota over all schedulers."""

    name: str
    quota_per_s: float
    share: float = 1.0

    def __post_init__(self) -> None:
        require(self.quota_per_s > 0, f"tenants[{self.name}].quota_per_s", self.quota_per_s)


@dataclass(slots=True)
class Settings:
    """Everything that a balancer is configured with."""

    classes: list[RequestClass]
    balancers: int = 1
    me: int = 0
    zone: str = ""
    limits: DispatchLimits = field(default_factory=DispatchLimits)
    safety: SafetyMargins = field(default_factory=SafetyMargins)
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
    asks_first: bool = False  # endpoints report their load to probes only
    probe_price: float = 0.0  # of one probe for each request
    waste_price: float = 0.0  # of as much work without an answer as was asked for
    worth_by_work: bool = False  # a job's worth grows with its work
    doubts: list[str] = field(default_factory=list)  # what was not understood, and what it is taken for

    def __post_init__(self) -> None:
        require(bool(self.classes), "classes", self.classes)
        require(self.balancers >= 1, "balancers", self.balancers)
        require(self.me >= 0, "me", self.me)
        for job_class in self.classes:
            require(
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
