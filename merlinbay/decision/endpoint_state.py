"""The state of endpoints and of machine kinds: one record for each part, which alone writes it.

Times are microseconds, counts are slots. ``tests/test_style.py`` checks who writes which field, by its name.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

NEVER_US = -(10**12)  # before any time of the caller's clock


@dataclass(slots=True, eq=False)
class KindCapacity:
    """Slots of an endpoint of a kind; written by ``CapacityLearning``."""

    slots: float = 1.0  # learned slots of one endpoint
    slots_are_reported: bool = False  # they come from load reports
    half_empty_reports: int = 0  # reports that showed at least half of the slots free
    queued_share: float = 0.5  # share of the requests held at a rejection that were queued
    most_running_slots: float = 0.0  # the most of our slots seen running at once on one endpoint
    relative_slots: float = 1.0  # its slots over the fleet's, where no report tells them


@dataclass(slots=True, eq=False)
class Kind:
    """A machine kind. What is learned is pooled, since one balancer sees little of each endpoint."""

    name: str
    capacity: KindCapacity = field(default_factory=KindCapacity)
    kind_pace: float = 1.0  # its run times over the fleet's; written by ``RunTimes``


@dataclass(slots=True, eq=False)
class EndpointInFlight:
    """Our requests at an endpoint; written by ``TrackedRequests``."""

    in_flight_slots: float = 0.0  # slots of our open attempts
    running_slots: float = 0.0  # those of them that have started
    in_flight_history: deque[tuple[int, float]] = field(default_factory=deque)  # since when, how many


@dataclass(slots=True, eq=False)
class PeerLoad:
    """What other balancers hold at an endpoint; written by ``LoadEstimates``."""

    observed_peer_slots: float = 0.0  # at the last observation
    peer_slots_at_us: int = -1  # when that was; -1: never
    mean_peer_slots: float = 0.0  # smoothed over reports that nobody waited for
    unawaited_reports: int = 0  # how many these were


@dataclass(slots=True, eq=False)
class ReportedSlots:
    """Slots of an endpoint by its reports; written by ``CapacityLearning``."""

    slot_reports: int = 0  # reports of free slots only
    mean_reported_slots: float = 0.0  # free ones and our running ones, smoothed over these


@dataclass(slots=True, eq=False)
class EndpointPace:
    """Run times at an endpoint; written by ``RunTimes``."""

    pace: float = 1.0  # its smoothed run time over its kind's
    pace_learned_at_us: int = 0


@dataclass(slots=True, eq=False)
class FailureRecord:
    """Failures and answers of an endpoint; written by ``OutlierDetection``."""

    consecutive_failures: int = 0
    ejected_until_us: int = 0
    last_failure: int = 0  # the outcome
    last_failure_at_us: int = 0
    unanswered_since_us: int = 0  # the first dispatch since its last answer; 0: none
    answered_at_us: int = 0  # its last answer


@dataclass(slots=True, eq=False)
class SlowStartState:
    """Admissions to a warming endpoint; written by ``SlowStart``."""

    next_admission_at_us: int = 0  # before this it gets nothing more from us while it warms up


@dataclass(slots=True, eq=False)
class LastReport:
    """The last load report; written by ``LoadReports``."""

    report_values: list[object] | None = None
    free_memory: float = math.inf
    free_memory_at_us: int = 0


@dataclass(slots=True, eq=False)
class HealthCheckState:
    """Health checks that no request waits for; written by ``HealthChecks``."""

    health_check_at_us: int = NEVER_US  # when the last was sent


@dataclass(slots=True, eq=False)
class Endpoint:
    """One endpoint as this balancer sees it. Its own fields are written by ``Endpoints``."""

    name: str
    kind: Kind
    zone: str = ""
    cell: int = 0
    state: str = "up"  # up | draining | removed: as listed, but draining while operators disable it
    listed_state: str = "up"  # as the endpoint list has it
    ready_at_us: int = 0  # its latest start; 0: long ago
    reserved_slots: float = 0.0  # kept free for requests that reserved them
    in_flight: EndpointInFlight = field(default_factory=EndpointInFlight)
    peer_load: PeerLoad = field(default_factory=PeerLoad)
    reported_slots: ReportedSlots = field(default_factory=ReportedSlots)
    run_time: EndpointPace = field(default_factory=EndpointPace)
    failures: FailureRecord = field(default_factory=FailureRecord)
    slow_start: SlowStartState = field(default_factory=SlowStartState)
    last_report: LastReport = field(default_factory=LastReport)
    health_check: HealthCheckState = field(default_factory=HealthCheckState)
