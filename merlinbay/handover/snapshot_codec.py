"""The encoded form of a handover snapshot, with the field names that processes of other versions use.

The predecessor encodes its snapshot, and the successor decodes it. A snapshot with missing or wrong fields
does not get here, because its packet is rejected when it is received.
"""

from __future__ import annotations

from operator import attrgetter
from typing import TypeVar

import msgspec

from merlinbay.decision.handover_snapshot import (
    ClassSnapshot,
    EndpointSnapshot,
    HandoverSnapshot,
    KindSnapshot,
    LoadSnapshot,
)

Record = TypeVar("Record")


class EncodedKind(msgspec.Struct):
    """The encoded form of ``KindSnapshot``."""

    slots: float
    pace: float
    slots_are_reported: bool = msgspec.field(name="told")
    half_empty_reports: int = msgspec.field(name="counts")
    queued_share: float = msgspec.field(name="queued")
    most_running_slots: float = msgspec.field(name="most")
    relative_slots: float = msgspec.field(name="part")


class EncodedEndpoint(msgspec.Struct):
    """The encoded form of ``EndpointSnapshot``."""

    name: str
    ready_at_us: int = msgspec.field(name="ready_at")
    peer_slots: float = msgspec.field(name="others")
    peer_slots_at_us: int = msgspec.field(name="others_at")
    pace: float
    pace_learned_at_us: int = msgspec.field(name="paced_at")
    consecutive_failures: int = msgspec.field(name="fails")
    ejected_until_us: int = msgspec.field(name="bench_until")
    last_failure: int = msgspec.field(name="fault")
    last_failure_at_us: int = msgspec.field(name="fault_at")
    answered_at_us: int = msgspec.field(name="heard_at")
    next_admission_at_us: int = msgspec.field(name="cold_next")


class EncodedClass(msgspec.Struct):
    """The encoded form of ``ClassSnapshot``."""

    run_time_us: float = msgspec.field(name="run")
    completed: int = msgspec.field(name="seen")


class EncodedLoad(msgspec.Struct):
    """The encoded form of ``LoadSnapshot``."""

    arrival_rate: float = msgspec.field(name="rate")
    arrival_rate_at_us: int = msgspec.field(name="rate_at")
    capacity_hit_rate: float = msgspec.field(name="trust")
    offered_requests: int = msgspec.field(name="offered")
    unreported_slots: float = msgspec.field(name="slots")
    late_start_share: float = msgspec.field(name="late")
    starts: int
    smoothed_in_flight: float = msgspec.field(name="mean_held")
    mean_work_us: float = msgspec.field(name="mean_run")
    mean_priority_weight: float = msgspec.field(name="mean_worth")


class EncodedSnapshot(msgspec.Struct):
    """The encoded form of ``HandoverSnapshot``."""

    load: EncodedLoad
    kinds: dict[str, EncodedKind]
    classes: dict[str, EncodedClass]
    disabled_since_us: dict[str, int] = msgspec.field(name="banned")
    endpoints: list[EncodedEndpoint] = msgspec.field(name="workers", default_factory=list)


def translate(source: object, target: type[Record]) -> Record:
    """Return a record of the target type with the same field values."""
    return target(*attrgetter(*target.__annotations__)(source))


def to_encoded(snapshot: HandoverSnapshot) -> EncodedSnapshot:
    """Return the encoded form of a snapshot."""
    return EncodedSnapshot(
        translate(snapshot.load, EncodedLoad),
        {name: translate(kind, EncodedKind) for name, kind in snapshot.kinds.items()},
        {name: translate(learned, EncodedClass) for name, learned in snapshot.classes.items()},
        snapshot.disabled_since_us,
        [translate(endpoint, EncodedEndpoint) for endpoint in snapshot.endpoints],
    )


def from_encoded(encoded: EncodedSnapshot) -> HandoverSnapshot:
    """Return the decoded snapshot."""
    return HandoverSnapshot(
        translate(encoded.load, LoadSnapshot),
        {name: translate(kind, KindSnapshot) for name, kind in encoded.kinds.items()},
        {name: translate(learned, ClassSnapshot) for name, learned in encoded.classes.items()},
        encoded.disabled_since_us,
        [translate(endpoint, EndpointSnapshot) for endpoint in encoded.endpoints],
    )
