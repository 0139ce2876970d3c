"""What a balancer has learned, for the process that takes its place. Plain values; times in microseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from merlinbay.decision.memory import Memory
from merlinbay.decision.records import Class


@dataclass(slots=True)
class LearnedKind:
    """Of a kind of machine."""

    slots: float
    pace: float
    told: bool
    counts: int
    queued: float
    most: float
    part: float


@dataclass(slots=True)
class LearnedWorker:
    """Of one endpoint."""

    name: str
    ready_at: int
    others: float
    others_at: int
    pace: float
    paced_at: int
    fails: int
    bench_until: int
    fault: int
    fault_at: int
    heard_at: int
    cold_next: int


@dataclass(slots=True)
class LearnedClass:
    """Of a class of jobs."""

    run: float
    seen: int


@dataclass(slots=True)
class LearnedLoad:
    """Of the work offered."""

    rate: float
    rate_at: int
    trust: float
    offered: int
    slots: float
    late: float
    starts: int
    mean_held: float
    mean_run: float
    mean_worth: float


@dataclass(slots=True)
class Learned:
    """All of it."""

    load: LearnedLoad
    kinds: dict[str, LearnedKind]
    classes: dict[str, LearnedClass]
    banned: dict[str, int]
    workers: list[LearnedWorker] = field(default_factory=list)


LOAD = [name for name in LearnedLoad.__slots__ if not name.startswith("rate")]


def learned(memory: Memory, classes: dict[str, Class]) -> Learned:
    """Return what has been learned up to now."""
    load = LearnedLoad(memory.rate.value, memory.rate.at, *(getattr(memory, name) for name in LOAD))
    return Learned(
        load,
        {
            name: LearnedKind(*(getattr(kind, at) for at in LearnedKind.__slots__))
            for name, kind in memory.kinds.items()
        },
        {name: LearnedClass(cls.run, cls.seen) for name, cls in classes.items()},
        dict(memory.banned),
        [
            LearnedWorker(*(getattr(endpoint, at) for at in LearnedWorker.__slots__))
            for endpoint in memory.endpoints.values()
        ],
    )


def adopt(memory: Memory, classes: dict[str, Class], told: Learned) -> None:
    """Take over what another has learned; what it knows of that is not here is passed over."""
    memory.rate.value, memory.rate.at = told.load.rate, min(told.load.rate_at, memory.now)
    for name in LOAD:
        setattr(memory, name, getattr(told.load, name))
    for name, kind in told.kinds.items():
        if name in memory.kinds:
            for at in LearnedKind.__slots__:
                setattr(memory.kinds[name], at, getattr(kind, at))
    for name, seen in told.classes.items():
        if name in classes:
            classes[name].run, classes[name].seen = seen.run, seen.seen
    memory.banned.update(told.banned)
    for endpoint in told.workers:
        mine = memory.endpoints.get(endpoint.name)
        # Guards against the past of a process that is no more: it has started anew since.
        if mine is not None and mine.ready_at <= endpoint.ready_at:
            for at in LearnedWorker.__slots__:
                setattr(mine, at, getattr(endpoint, at))
    for mine in memory.endpoints.values():
        mine.state = memory.standing(mine)
    memory.reindex()
