"""The state of endpoints and of machine kinds: one record for each part, and only that part writes it.

Other parts read the records. Times are microseconds, counts are slots. ``tests/test_style.py`` checks by the
names of the fields that no field is written by two parts.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

NEVER_US = -(10**12)  # earlier than any time of the caller's clock


@dataclass(slots=True, eq=False)
class KindCapacity:
    """Slots of an endpoint of a kind; written by ``CapacityLearning``."""

    slots: float = 1.0  # learned slots of one endpoint
    slots_are_reported: bool = False  # whether the slots come from load reports
    half_empty_reports: int = 0  # number of reports that showed at least half of the slots free
    queued_share: float = 0.5  # share of the requests held at a rejecting endpoint that were queued
    most_running_slots: float = 0.0  # the most slots seen running at once on one endpoint
    relative_slots: float = 1.0  # ratio of its slots to the fleet's, where no report shows them


@dataclass(slots=True, eq=False)
class Kind:
    """A machine kind. Its endpoints share what is learned, since one balancer sees little of each of them."""

    name: str
    capacity: KindCapacity = field(default_factory=KindCapacity)
    kind_pace: float = 1.0  # ratio of its run times to the fleet's; written by ``RunTimes``


@dataclass(slots=True, eq=False)
class EndpointInFlight:
    """Our slots in flight at an endpoint; written by ``TrackedRequests``."""

    in_flight_slots: float = 0.0  # slots of our open attempts
    running_slots: float = 0.0  # slots of our open attempts that have started
    # Past values of ``in_flight_slots``, each with the time since when it held.
    in_flight_history: deque[tuple[int, float]] = field(default_factory=deque)


@dataclass(slots=True, eq=False)
class PeerLoad:
    """What other balancers hold at an endpoint; written by ``LoadEstimates``."""

    observed_peer_slots: float = 0.0  # slots of peers at the last observation
    peer_slots_at_us: int = -1  # time of the last observation; -1: never
    mean_peer_slots: float = 0.0  # slots of peers, smoothed over the reports that no request waited for
    unawaited_reports: int = 0  # number of reports that no request waited for


@dataclass(slots=True, eq=False)
class ReportedSlots:
    """Slots of an endpoint by its reports of free slots only; written by ``CapacityLearning``."""

    slot_reports: int = 0  # number of such reports
    mean_reported_slots: float = 0.0  # free slots plus our running slots, smoothed over such reports


@dataclass(slots=True, eq=False)
class EndpointPace:
    """How slow an endpoint is within its kind; written by ``RunTimes``."""

    pace: float = 1.0  # smoothed ratio of its run times to its kind's
    pace_learned_at_us: int = 0  # time when the pace was last learned


@dataclass(slots=True, eq=False)
class FailureRecord:
    """Failures and answers of an endpoint; written by ``OutlierDetection``."""

    consecutive_failures: int = 0
    ejected_until_us: int = 0
    last_failure: int = 0  # outcome of the attempt that failed last; 0: none failed
    last_failure_at_us: int = 0
    unanswered_since_us: int = 0  # time of the first dispatch since the last answer; 0: none
    answered_at_us: int = 0  # time of the last answer


@dataclass(slots=True, eq=False)
class SlowStartState:
    """Admissions to a warming endpoint; written by ``SlowStart``."""

    next_admission_at_us: int = 0  # before this time we send it nothing while it warms up


@dataclass(slots=True, eq=False)
class LastReport:
    """The last load report of an endpoint; written by ``LoadReports``."""

    report_values: list[object] | None = None
    free_memory: float = math.inf
    free_memory_at_us: int = 0


@dataclass(slots=True, eq=False)
class HealthCheckState:
    """An endpoint's health checks for which no request waits; written by ``HealthChecks``."""

    health_check_at_us: int = NEVER_US  # time when the last one was sent


@dataclass(slots=True, eq=False)
class Endpoint:
    """One endpoint as this balancer sees it. Its own fields are written by ``Endpoints``."""

    name: str
    kind: Kind
    zone: str = ""
    cell: int = 0
    address: str = ""  # endpoints with one address are one server; empty: the name tells
    state: str = "up"  # up, draining or removed: the listed state, but draining while operators disable it
    listed_state: str = "up"  # state in the endpoint list
    ready_at_us: int = 0  # time of its latest start; 0: long ago
    reserved_slots: float = 0.0  # slots kept free for requests with a reservation
    in_flight: EndpointInFlight = field(default_factory=EndpointInFlight)
    peer_load: PeerLoad = field(default_factory=PeerLoad)
    reported_slots: ReportedSlots = field(default_factory=ReportedSlots)
    run_time: EndpointPace = field(default_factory=EndpointPace)
    failures: FailureRecord = field(default_factory=FailureRecord)
    slow_start: SlowStartState = field(default_factory=SlowStartState)
    last_report: LastReport = field(default_factory=LastReport)
    health_check: HealthCheckState = field(default_factory=HealthCheckState)
