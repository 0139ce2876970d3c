"""What a balancer has learned, as plain values for the process that replaces its own.

``Snapshots`` takes and restores them; ``handover/snapshot_codec.py`` encodes them. Times are microseconds,
counts are slots; the records of the parts describe the values.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class KindSnapshot:
    """What was learned about a machine kind."""

    slots: float
    pace: float
    slots_are_reported: bool
    half_empty_reports: int
    queued_share: float
    most_running_slots: float
    relative_slots: float


@dataclass(slots=True)
class EndpointSnapshot:
    """What was learned about one endpoint."""

    name: str
    ready_at_us: int
    peer_slots: float
    peer_slots_at_us: int
    pace: float
    pace_learned_at_us: int
    consecutive_failures: int
    ejected_until_us: int
    last_failure: int
    last_failure_at_us: int
    answered_at_us: int
    next_admission_at_us: int


@dataclass(slots=True)
class ClassSnapshot:
    """What was learned about a request class."""

    run_time_us: float
    completed: int


@dataclass(slots=True)
class LoadSnapshot:
    """What was learned about the offered load and the fleet as a whole."""

    arrival_rate: float
    arrival_rate_at_us: int
    capacity_hit_rate: float
    offered_requests: int
    unreported_slots: float
    late_start_share: float
    starts: int
    smoothed_in_flight: float
    mean_work_us: float
    mean_priority_weight: float


@dataclass(slots=True)
class HandoverSnapshot:
    """Everything that was learned, and the endpoints that operators have disabled."""

    load: LoadSnapshot
    kinds: dict[str, KindSnapshot]
    classes: dict[str, ClassSnapshot]
    disabled_since_us: dict[str, int]
    endpoints: list[EndpointSnapshot] = field(default_factory=list)
