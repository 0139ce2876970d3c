"""One drawn case of the whole-node property run: settings, executors, jobs and faults, all from one seed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Any

ZONES = ("a", "b", "c")
CELLS_PER_ZONE = 3
WINDOWS_MS = (0, 100, 100, 250, 500, 1000, 3000, 8000)
FIRST_JOB_S = 0.4  # by then, each node has its list
LAST_JOB_S = 2.8
LONGEST_TIMEOUT_MS = 2500
ROUTE_KEYS = ("", "", "", "u1", "u2")


class Fault(StrEnum):
    """What an executor does with one attempt."""

    NONE = "none"
    START_LATE = "starts late"
    ANSWER_LATE = "answers late"
    REFUSED = "refuses"
    REFUSED_LATE = "refuses late"
    REFUSED_AFTER_START = "refuses after a start"
    ODD_STATUS = "odd status, not run"
    ODD_STATUS_RUNS = "odd status, runs"
    BREAK_BEFORE = "breaks before the 202"
    BREAK_AMID = "breaks amid the 202"
    BREAK_AFTER = "breaks after the 202"
    SECOND_ANSWER = "answers twice"
    HANG = "hangs"
    RETURNED = "returned"
    RETURNED_AFTER_START = "returned after start"
    RETURNED_AFTER_PROGRESS = "returned after progress"
    FAILED = "failed"
    LOST = "lost"
    EARLY_REPORT = "reports before the 202"
    OUT_OF_ORDER = "reports out of order"
    REPORTS_TWICE = "reports two ends"
    LATE_AFTER_GIVE_UP = "reports after a give-up"
    DELETE_LOST = "loses the DELETE"


PROVOKING = (  # these are followed by a further attempt most often
    Fault.START_LATE,
    Fault.REFUSED_LATE,
    Fault.SECOND_ANSWER,
    Fault.RETURNED,
    Fault.LOST,
    Fault.BREAK_BEFORE,
)


class Disturbance(StrEnum):
    """What happens to a whole executor, or to a node."""

    RESTART = "restart at the same address"
    MOVE = "restart in another cell, zone and address"
    DRAIN = "drain"
    FREEZE = "hang of the machine"
    SLOW_CONNECT = "connections come up late"
    STOP_NODE = "SIGTERM of a node"


@dataclass(frozen=True)
class DrawnExecutor:
    """An executor as it is at first."""

    name: str
    zone: str
    cell: int


@dataclass(frozen=True)
class DrawnJob:
    """One job of one client."""

    name: str
    job_class: str
    at_s: float
    timeout_ms: int
    node: int
    has_repeat_key: bool
    route_key: str
    slots: int
    leaves_after_s: float  # 0: the client waits for its answer
    replayed_after_s: float  # after its answer the same request is sent again; 0: never


@dataclass(frozen=True)
class DrawnDisturbance:
    """A disturbance, and when."""

    what: Disturbance
    at_s: float
    target: int  # of the executors, or of the nodes
    lasts_s: float
    delay_s: float  # of a connection
    zone: str
    cell: int


@dataclass(frozen=True)
class Case:
    """All that one seed says."""

    seed: int
    nodes: int
    settings: dict[str, Any]
    executors: list[DrawnExecutor]
    jobs: list[DrawnJob]
    disturbances: list[DrawnDisturbance]
    slow_connects: float  # share of connections that come up late, whatever else happens
    faults: dict[Fault, float]  # weights

    def node_settings(self, me: int) -> dict[str, Any]:
        """Return the settings as one node's file has them."""
        return {**self.settings, "me": me, "az": ZONES[me % len(self._zones())]}

    def effect(self, job_class: str) -> str:
        """Return effect and group of a class, for counts."""
        row = next(row for row in self.settings["classes"] if row["name"] == job_class)
        return f"{row['effect']} {row['group']}" if row["effect"] == "by_key" else str(row["effect"])

    def _zones(self) -> list[str]:
        return sorted({executor.zone for executor in self.executors})


def milliseconds(rng: Random, least: int, most: int) -> float:
    """Draw a time in seconds, in whole milliseconds."""
    return rng.randint(least, most) / 1000


def draw(seed: int) -> Case:
    """Draw the case of a seed."""
    rng = Random(f"duplicate {seed}")
    nodes = rng.choice((1, 1, 2))
    zones = ZONES[: rng.randint(1, 3)]
    settings = _settings(rng, nodes)
    executors = [
        DrawnExecutor(f"s{i}", zone := rng.choice(zones), _cell(rng, zone)) for i in range(rng.randint(3, 8))
    ]
    return Case(
        seed,
        nodes,
        settings,
        executors,
        [_job(rng, f"j{seed}-{i}", settings, nodes) for i in range(rng.randint(20, 40))],
        [_disturbance(rng, len(executors), nodes, zones) for _ in range(rng.choice((0, 2, 4, 7, 10)))],
        rng.choice((0.0, 0.0, 0.3, 0.8)),
        _faults(rng),
    )


def _cell(rng: Random, zone: str) -> int:
    return ZONES.index(zone) * CELLS_PER_ZONE + rng.randrange(1, CELLS_PER_ZONE)


def _settings(rng: Random, nodes: int) -> dict[str, Any]:
    how = rng.choice(("inline", "on_probe", "off"))
    classes = [_class(rng, f"c{i}") for i in range(rng.randint(1, 4))]
    return {
        "balancers": nodes,
        "kinds": ["k"],
        "discovery": rng.choice(("automatic", "subscribe")),
        "classes": classes,
        "limits": {
            "cancelling": rng.random() < 0.6,
            "secondCopies": rng.random() < 0.5,
            "sendCap": rng.choice((1, 2, 3, 4, 4, 5)),
            "retryAfter": rng.random() < 0.5,
            "maxRetryAfterUs": 2_000_000,
            "probes": rng.random() < 0.6,
            "dialTimeoutUs": rng.choice((60_000, 120_000, 500_000, 1_600_000)),
            "keepaliveUs": rng.choice((800_000, 5_000_000)),
        },
        "report": {"how": how, "fields": ["err_rps", "active"] if how != "off" else []},
        "prices": {
            "crossZone": rng.choice((0.0, 0.0, 0.05, 0.5)),
            "probe": rng.choice((0.0, 0.001)),
            "waste": rng.choice((0.0, 0.1)),
        },
        "extra": {
            "tellsStart": rng.random() < 0.6,
            "progressUs": rng.choice((0, 40_000)),
        },
        "safety": {
            "drainGraceUs": 500_000,
            "coldFrom": 0.3,
            "coldUs": rng.choice((0, 1_000_000)),
            "tipMultiple": 3.0,
            "overloadForUs": 2_000_000,
            "mustAskInUs": 10_000_000,
        },
    }


def _class(rng: Random, name: str) -> dict[str, Any]:
    effect = rng.choice(("once", "by_key", "by_key", "by_key", "repeatable"))
    row: dict[str, Any] = {
        "name": name,
        "aimUs": rng.choice((40_000, 120_000, 400_000)),
        "deadlineUs": LONGEST_TIMEOUT_MS * 1000,
        "worth": rng.choice((1.0, 5.0)),
        "effect": effect,
    }
    if effect == "by_key":
        row |= {"group": rng.choice(("cell", "zone", "all")), "windowUs": rng.choice(WINDOWS_MS) * 1000}
    return row


def _job(rng: Random, name: str, settings: dict[str, Any], nodes: int) -> DrawnJob:
    row = rng.choice(settings["classes"])
    keyed = row["effect"] == "by_key"
    return DrawnJob(
        name,
        row["name"],
        milliseconds(rng, int(FIRST_JOB_S * 1000), int(LAST_JOB_S * 1000)),
        rng.choice((200, 600, 1500, LONGEST_TIMEOUT_MS)),
        rng.randrange(nodes),
        keyed and rng.random() > 0.1,
        rng.choice(ROUTE_KEYS),
        rng.choice((1, 1, 1, 2)),
        milliseconds(rng, 3, 500) if rng.random() < 0.08 else 0.0,
        milliseconds(rng, 2, 300) if rng.random() < 0.03 else 0.0,
    )


def _disturbance(rng: Random, executors: int, nodes: int, zones: tuple[str, ...]) -> DrawnDisturbance:
    what = rng.choices(list(Disturbance), (3, 5, 2, 2, 8, 1))[0]
    zone = rng.choice(zones)
    return DrawnDisturbance(
        what,
        milliseconds(rng, int(FIRST_JOB_S * 1000), int(LAST_JOB_S * 1000)),
        rng.randrange(nodes if what is Disturbance.STOP_NODE else executors),
        milliseconds(rng, 100, 1500),
        milliseconds(rng, 20, 1500),
        zone,
        _cell(rng, zone),
    )


def _faults(rng: Random) -> dict[Fault, float]:
    """Draw which faults a case has, and how often: few of them at a time leave room for repeats."""
    drawn = rng.sample([fault for fault in Fault if fault is not Fault.NONE], rng.randint(3, 8))
    kinds: list[Fault] = list(dict.fromkeys([*rng.sample(PROVOKING, 2), *drawn]))
    share = rng.choice((0.2, 0.4, 0.7, 0.9))
    weights = {fault: rng.random() + 0.1 for fault in kinds}
    whole = sum(weights.values())
    return {Fault.NONE: 1 - share, **{fault: share * weight / whole for fault, weight in weights.items()}}
