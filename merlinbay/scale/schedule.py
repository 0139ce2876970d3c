"""When what happens in the measured part of a run: drawn by the plan's seed. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from merlinbay.scale.plan import DAY_S, Disturbances, ScalePlan


class DisturbanceKind(Enum):
    """What is done to a member."""

    FAIL = "fail"
    RESTART = "restart"
    GAUGE = "gauge"


@dataclass(frozen=True)
class Disturbance:
    """One thing that happens to one member."""

    at_s: float
    kind: DisturbanceKind
    number: int
    down_s: float = 0.0


def moments(rate_a_day: float, seconds: float, rng: Random) -> list[float]:
    """Return evenly spaced moments at a rate, the first one drawn: their count does not vary by the draw.

    Guards against a short run whose count of events depends on luck more than on the plan.
    """
    if not rate_a_day:
        return []
    gap = DAY_S / rate_a_day
    first = rng.random() * min(gap, seconds)
    return [first + gap * turn for turn in range(int((seconds - first) / gap) + 1)]


def change_moments(disturbances: Disturbances, seconds: float) -> list[float]:
    """Return when changes of the configuration are called: evenly at their rate, and the burst at once."""
    rate = disturbances.changes_a_second
    evenly = [turn / rate for turn in range(int(seconds * rate))] if rate else []
    return sorted(evenly + [disturbances.burst_at_s] * disturbances.burst_changes)


def schedule(plan: ScalePlan, numbers: list[int], measured_s: float) -> list[Disturbance]:
    """Return what happens to members; nobody is touched twice, and ``numbers`` are all that may be."""
    disturbances, rng = plan.disturbances, Random(f"{plan.seed} schedule")
    free = rng.sample(numbers, len(numbers))
    events: list[Disturbance] = []
    rates = (
        (DisturbanceKind.FAIL, disturbances.failures_a_day, disturbances.failure_down_s),
        (DisturbanceKind.RESTART, disturbances.restarts_a_day, disturbances.restart_down_s),
        (DisturbanceKind.GAUGE, disturbances.marker_gauges_a_day, 0.0),
    )
    for kind, rate, down_s in rates:
        factor = 1.0 if kind is DisturbanceKind.GAUGE else disturbances.rate_factor
        for at_s in moments(rate * factor, measured_s, rng):
            if free:
                events.append(Disturbance(at_s, kind, free.pop(), down_s))
    return sorted(events, key=lambda event: (event.at_s, event.number))
