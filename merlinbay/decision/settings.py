"""The settings of a balancer: what a deployment permits and asks for.

They are read once at the start; invalid ones raise ``ValueError``. Durations are in microseconds. Names of
classes, tenants, zones and machine kinds are opaque.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

GROUPS = ("all", "zone", "cell")


class Idempotency(Enum):
    """The effect of a repeat of a request. The values are those of the setting ``effect``."""

    ALWAYS = "repeatable"  # A repeat is harmless.
    BY_KEY = "by_key"  # Endpoints of the idempotency scope drop a repeat within the idempotency window.
    NONE = "once"  # A repeat has a second effect.


EFFECTS = {idempotency.value: idempotency for idempotency in Idempotency}  # by value of the setting


def require(ok: bool, name: str, value: object) -> None:
    """Raise ``ValueError`` with the name of the setting unless ``ok``."""
    if not ok:
        raise ValueError(f"{name}: invalid value {value!r}")


@dataclass(slots=True)
class RequestClass:
    """One class of requests.

    An answer is in time within ``aim_us`` + ``stretch`` x the request's own run time.
    """

    name: str
    aim_us: int
    deadline_us: int
    worth: float = 1.0  # priority weight of an answer in time
    effect: str = "repeatable"  # repeatable | by_key | once
    group: str = "all"  # idempotency scope of by_key, whose endpoints drop a repeat: all | zone | cell
    window_us: int = 0  # idempotency window of by_key, in which endpoints recognise a repeat
    late_worth: float = 0.0  # share of the worth that a late answer earns
    stretch: float = 0.0
    kind: int = -1  # index of the only machine kind that runs it; -1: any kind
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
        """The effect of a repeat."""
        return EFFECTS[self.effect]


@dataclass(slots=True)
class DispatchLimits:
    """Actions that the deployment permits, and their limits."""

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
    """Margins of the rules on answers, repeats, draining endpoints and warming endpoints."""

    drain_grace_us: int = 0  # how long after a drain is notified requests may still be sent
    cold_from: float = 1.0  # share of its capacity that an endpoint has at its start; it grows linearly
    cold_us: int = 0  # how long an endpoint warms up after its start
    # A warming endpoint is overloaded by work of ``tip_multiple`` times its capacity in ``overload_for_us``.
    tip_multiple: float = 1.0
    overload_for_us: int = 1_000_000
    answer_slack_us: int = 0  # how much later than its deadline an answer may come
    must_ask_in_us: int = 0  # longest permitted interval between polls of discovery; 0: not stated

    def __post_init__(self) -> None:
        require(0 < self.cold_from <= 1, "safety.cold_from", self.cold_from)
        require(self.cold_us >= 0, "safety.cold_us", self.cold_us)
        require(self.tip_multiple > 0, "safety.tip_multiple", self.tip_multiple)
        require(self.overload_for_us > 0, "safety.overload_for_us", self.overload_for_us)


@dataclass(slots=True)
class Tenant:
    """A tenant, its share of the service, and its quota over all balancers."""

    name: str
    quota_per_s: float
    share: float = 1.0

    def __post_init__(self) -> None:
        require(self.quota_per_s > 0, f"tenants[{self.name}].quota_per_s", self.quota_per_s)


@dataclass(slots=True)
class Settings:
    """All settings of one balancer."""

    classes: list[RequestClass]
    balancers: int = 1
    me: int = 0  # number of this balancer, from 0
    zone: str = ""
    limits: DispatchLimits = field(default_factory=DispatchLimits)
    safety: SafetyMargins = field(default_factory=SafetyMargins)
    kinds: list[str] = field(default_factory=list)
    tenants: list[Tenant] = field(default_factory=list)
    over_share_worth: float = 1.0  # factor of the worth of requests beyond their tenant's quota
    report_fields: list[str] = field(default_factory=list)  # field names of a load report, in its order
    # Names of load report fields; empty where endpoints do not report the value.
    free_slots_field: str = ""  # free slots
    errors_field: str = ""  # errors a second
    held_field: str = ""  # requests that the endpoint holds
    queued_field: str = ""  # requests that wait at the endpoint
    free_memory_field: str = ""  # free memory
    tells_start: bool = False  # whether endpoints report the start of an attempt
    progress_us: int = 0  # interval of progress reports while an attempt runs; 0: never reported
    queue_order: str = "fifo"  # order of an endpoint's queue: fifo | backfill | priority
    must_subscribe: bool = False  # whether the list must be polled, as discovery pushes nothing unasked
    cross_zone_price: float = 0.0  # price of a request that is sent to another zone
    asks_first: bool = False  # whether endpoints report their load to health checks only
    probe_price: float = 0.0  # price of one health check for each request
    waste_price: float = 0.0  # price of work without an answer, for as much work as was requested
    worth_by_work: bool = False  # whether the priority weight of a request grows with its work
    doubts: list[str] = field(default_factory=list)  # unknown settings, with the meaning each is taken for

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
        """Return the values of a load report by field name, without values that are no valid numbers."""
        return {
            name: float(value)
            for name, value in zip(self.report_fields, report, strict=False)
            if isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value < 1e6
        }
