"""A day of the soak, drawn from a seed: what befalls one node, its discovery, its servers and its clients."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

SERVERS = 5
FLEET = 6  # schedulers by the settings; the others are only told of


class ListFault(Enum):
    """What becomes of an answer of discovery."""

    NONE = "none"
    LOST = "lost"  # nothing comes, and the connection stays open
    CUT = "cut"  # half of it comes, then a reset
    SPOILT = "spoilt"  # it cannot be read
    REFUSED = "refused"  # 503 after a wait
    SLOW = "slow"


class Crowd(Enum):
    """What the connections of a crowd do, none of which hands in a job."""

    SILENT = "silent"
    HALF_BODY = "half body"  # the largest body but for its end
    SLOW_BODY = "slow body"  # small pieces, with pauses
    MANY_FIELDS = "many fields"  # heads of some thousand fields
    CALLBACKS = "callbacks"  # the largest ones, of jobs that the node does not know


class JobFault(Enum):
    """What a server does with a job."""

    NONE = "none"
    HANDED_BACK = "handed back"
    FAILED = "failed"
    RESET = "reset"  # before the 202
    HUNG = "hung"  # no word after the 202


@dataclass(frozen=True)
class Outage:
    """Discovery is down, at every address."""

    begin: float
    end: float


@dataclass(frozen=True)
class Leave:
    """A server is listed as leaving."""

    at: float
    server: str
    state: str


@dataclass(frozen=True)
class SoakDay:
    """Seconds from the moment that the node is ready; it is told to end at ``terminate``."""

    seed: int
    effect: str
    longest: float  # deadline of the class
    reloads: tuple[float, ...]
    leaves: tuple[Leave, ...]
    outage: Outage | None
    list_faults: dict[ListFault, float]  # shares
    job_faults: dict[JobFault, float]
    call_s: tuple[float, float]  # what a call takes discovery
    crowd: int  # connections of other clients
    crowd_kind: Crowd
    memory_mb: int  # the process's limit
    clients: int
    terminate: float
    counts: tuple[float, ...]  # when the counters are asked for, by a signal of its own
    holds: tuple[float, ...]  # when the process is held up for a moment
    terminated_twice: bool


def _reloads(rng: Random) -> tuple[float, ...]:
    """Return one to three series of new configurations, 0.1 to 0.9 s apart."""
    times: list[float] = []
    at = rng.uniform(1.0, 3.0)
    for _ in range(rng.randint(1, 3)):
        for _ in range(rng.randint(1, 4)):
            times.append(at)
            at += rng.uniform(0.1, 0.9)
        at += rng.uniform(1.0, 4.0)
    return tuple(times)


def _pressure(seed: int) -> tuple[Crowd, int]:
    """Return what the crowd does, and the memory limit; drawn apart, so that seeds keep their days."""
    rng = Random(f"soak pressure {seed}")
    return rng.choice(list(Crowd)), rng.choice([64, 192])


def draw(seed: int) -> SoakDay:
    """Draw a day."""
    rng = Random(f"soak {seed}")
    reloads = _reloads(rng)
    leaving = rng.sample([f"s-{number}" for number in range(SERVERS)], rng.randint(2, SERVERS - 1))
    leaves = tuple(
        Leave(max(rng.choice(reloads) + rng.uniform(-0.5, 3.0), 0.5), name, rng.choice(["DRAINING", "gone"]))
        for name in leaving
    )
    begin = rng.uniform(0.5, 5.0)
    outage = Outage(begin, begin + rng.uniform(1.0, 9.0)) if rng.random() < 0.3 else None
    bad_lists = rng.choice([0.0, 0.2, 0.5])
    kinds = [kind for kind in ListFault if kind is not ListFault.NONE]
    weights = [rng.random() for _ in kinds]
    list_faults: dict[ListFault, float] = {
        kind: bad_lists * weight / sum(weights) for kind, weight in zip(kinds, weights, strict=True)
    }
    bad_jobs = rng.choice([0.0, 0.05, 0.2])
    troubles = [kind for kind in JobFault if kind is not JobFault.NONE]
    return SoakDay(
        seed,
        rng.choice(["once", "by_key", "repeatable"]),
        rng.choice([0.9, 1.5, 3.0, 4.998]),
        reloads,
        leaves,
        outage,
        list_faults,
        {kind: bad_jobs / len(troubles) for kind in troubles},
        rng.choice([(0.01, 0.05), (0.1, 0.4)]),
        rng.choice([0, 0, 200]),
        *_pressure(seed),
        rng.randint(6, 12),
        rng.uniform(8.0, 14.0),
        tuple(sorted(rng.uniform(0.5, 12.0) for _ in range(rng.randint(0, 4)))),
        tuple(sorted(rng.uniform(0.5, 12.0) for _ in range(rng.randint(0, 6)))),
        rng.random() < 0.3,
    )
