"""The scenario of a run: regions, delays, clients and faults, all drawn from the seed."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import combinations
from random import Random

from merlinbay.control.simulation.fault_drawing import LEADERS, MIXED, VOTERS, draw_faults
from merlinbay.control.simulation.fault_types import CutOff, Fault
from merlinbay.control.simulation.network import NetworkSettings
from merlinbay.control.simulation.regions import REGIONS

SPREAD = {5: (2, 2, 1), 7: (3, 2, 2)}  # voters by region; three of one region are 3 of 7, or 3 of 5 below
CROWDED = (3, 1, 1)  # 5 voters of which one region has the majority
MAX_CLOCK_OFFSET_S = 3600.0
MAX_CLOCK_DRIFT = 0.0005  # 500 parts in a million: ten times a bad quartz
HOUR_S = 3600.0
CUT_OFF_AT_S = 30.0  # seconds until the region of a partition is cut off
QUIET_S = 60.0  # seconds: a snapshot of 20 KB in chunks of 150 bytes takes some 20 s, and may start again
KEYS = ("teams/a/quota", "teams/b/quota", "limits/starts", "limits/urgent")


@dataclass(frozen=True)
class ControlScenario:
    """The input of a run beside the code under test."""

    seed: int
    duration: float  # seconds with clients and faults
    quiet: float  # seconds without, before the final state is checked
    regions: dict[str, str]  # of every place
    voters: tuple[str, ...]  # the first ones
    spares: tuple[str, ...]
    clients: tuple[str, ...]
    followers: tuple[str, ...]
    clocks: dict[str, tuple[float, float]]  # offset and drift
    network: NetworkSettings
    faults: tuple[Fault, ...]
    think_time: float  # mean seconds between two operations of a client
    batches: bool = False  # hosts handle all inputs that wait at once

    @property
    def machines(self) -> tuple[str, ...]:
        """Return the voters and the spare machines."""
        return self.voters + self.spares


def draw(seed: int) -> ControlScenario:
    """Draw the scenario of a seed."""
    random = Random(f"control scenario {seed}")
    count = random.choice((5, 5, 7))
    spread = CROWDED if count == 5 and random.random() < 0.5 else SPREAD[count]
    voters, regions = _voters(spread)
    profile = random.choices((MIXED, LEADERS, VOTERS), (5, 2, 2))[0]
    spares = ("spare-1", "spare-2") if profile is VOTERS or random.random() < 0.4 else ()
    clients = tuple(f"client-{number}" for number in range(1, random.randint(3, 5) + 1))
    followers = tuple(f"follower-{number}" for number in range(1, 4))
    for place in (*spares, *clients, *followers):
        regions[place] = random.choice(REGIONS)
    machines = voters + spares
    duration = random.uniform(25.0, 45.0)
    return ControlScenario(
        seed=seed,
        duration=duration,
        quiet=QUIET_S,
        regions=regions,
        voters=voters,
        spares=spares,
        clients=clients,
        followers=followers,
        clocks={name: draw_clock(random) for name in machines},
        network=draw_network(random),
        faults=draw_faults(random, profile, voters, spares, duration),
        think_time=random.choice((0.1, 0.3, 0.6)),
        batches=random.random() < 0.5,
    )


def draw_partition(seed: int) -> ControlScenario:
    """Draw a scenario in which a region is cut off for an hour; at even seeds, one with the majority."""
    random = Random(f"control partition {seed}")
    voters, regions = _voters(CROWDED if seed % 2 == 0 else SPREAD[5])
    clients = tuple(f"client-{region}" for region in REGIONS)
    followers = tuple(f"follower-{region}" for region in REGIONS)
    regions |= dict(zip(clients + followers, REGIONS * 2, strict=True))
    return ControlScenario(
        seed=seed,
        duration=CUT_OFF_AT_S + HOUR_S + 30.0,
        quiet=QUIET_S,
        regions=regions,
        voters=voters,
        spares=(),
        clients=clients,
        followers=followers,
        clocks={name: draw_clock(random) for name in voters},
        network=draw_network(random),
        faults=(CutOff(CUT_OFF_AT_S, HOUR_S, REGIONS[0]),),
        think_time=5.0,
        batches=True,
    )


def _voters(spread: Sequence[int]) -> tuple[tuple[str, ...], dict[str, str]]:
    regions = {
        f"{region}-{number}": region
        for region, count in zip(REGIONS, spread, strict=True)
        for number in range(1, count + 1)
    }
    return tuple(regions), regions


def draw_clock(random: Random) -> tuple[float, float]:
    """Draw the offset and the drift of a clock."""
    offset = random.choice(
        (
            -MAX_CLOCK_OFFSET_S,
            0.0,
            MAX_CLOCK_OFFSET_S,
            random.uniform(-MAX_CLOCK_OFFSET_S, MAX_CLOCK_OFFSET_S),
        )
    )
    # The core is given a monotonic clock, which is not negative.
    return offset + 2 * MAX_CLOCK_OFFSET_S, random.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)


def draw_network(random: Random) -> NetworkSettings:
    """Draw the delays, 2 to 60 ms one way between regions, and how bad the network is."""
    bad = random.random()
    return NetworkSettings(
        delays=tuple((one, other, random.uniform(0.002, 0.06)) for one, other in combinations(REGIONS, 2)),
        jitter=random.choice((0.05, 0.3)),
        loss=bad * random.choice((0.0, 0.02, 0.1)),
        duplication=bad * random.choice((0.0, 0.05, 0.2)),
        reordering=bad * random.choice((0.0, 0.05, 0.2)),
        held_back=random.choice((0.1, 1.0, 5.0)),
    )
