"""Takes and restores a handover snapshot of a balancer."""

from __future__ import annotations

from merlinbay.decision.handover_snapshot import (
    ClassSnapshot,
    EndpointSnapshot,
    HandoverSnapshot,
    KindSnapshot,
    LoadSnapshot,
)
from merlinbay.decision.memory import Memory
from merlinbay.decision.records import Class

KIND = ("slots", "pace", "told", "counts", "queued", "most", "part")
ENDPOINT = (
    "name",
    "ready_at",
    "others",
    "others_at",
    "pace",
    "paced_at",
    "fails",
    "bench_until",
    "fault",
    "fault_at",
    "heard_at",
    "cold_next",
)
LOAD = ("trust", "offered", "slots", "late", "starts", "mean_held", "mean_run", "mean_worth")


def learned(memory: Memory, classes: dict[str, Class]) -> HandoverSnapshot:
    """Return what has been learned up to now."""
    load = LoadSnapshot(memory.rate.value, memory.rate.at, *(getattr(memory, name) for name in LOAD))
    return HandoverSnapshot(
        load,
        {name: KindSnapshot(*(getattr(kind, at) for at in KIND)) for name, kind in memory.kinds.items()},
        {name: ClassSnapshot(cls.run, cls.seen) for name, cls in classes.items()},
        dict(memory.banned),
        [
            EndpointSnapshot(*(getattr(endpoint, at) for at in ENDPOINT))
            for endpoint in memory.endpoints.values()
        ],
    )


def adopt(memory: Memory, classes: dict[str, Class], told: HandoverSnapshot) -> None:
    """Take over what another has learned; what it knows of that is not here is passed over."""
    load = told.load
    memory.rate.value, memory.rate.at = load.arrival_rate, min(load.arrival_rate_at_us, memory.now)
    for name, at in zip(LOAD, LoadSnapshot.__slots__[2:], strict=True):
        setattr(memory, name, getattr(load, at))
    for kind_name, kind in told.kinds.items():
        if kind_name in memory.kinds:
            for name, at in zip(KIND, KindSnapshot.__slots__, strict=True):
                setattr(memory.kinds[kind_name], name, getattr(kind, at))
    for class_name, seen in told.classes.items():
        if class_name in classes:
            classes[class_name].run, classes[class_name].seen = seen.run_time_us, seen.completed
    memory.banned.update(told.disabled_since_us)
    for endpoint in told.endpoints:
        mine = memory.endpoints.get(endpoint.name)
        # Guards against the past of a process that is no more: it has started anew since.
        if mine is not None and mine.ready_at <= endpoint.ready_at_us:
            for name, at in zip(ENDPOINT, EndpointSnapshot.__slots__, strict=True):
                setattr(mine, name, getattr(endpoint, at))
    for mine in memory.endpoints.values():
        mine.state = memory.standing(mine)
    memory.reindex()
