"""The scenario of a run: regions, delays, clients and faults, all drawn from the seed.

The same seed always gives the same scenario, so the order of the draws must not change.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import combinations
from random import Random

from merlinbay.control.simulation.fault_drawing import LEADERS, MIXED, VOTERS, draw_faults
from merlinbay.control.simulation.fault_types import CutOff, Fault
from merlinbay.control.simulation.network import NetworkSettings
from merlinbay.control.simulation.regions import REGIONS

SPREAD = {5: (2, 2, 1), 7: (3, 2, 2)}  # voters by region; at most 3 of 7, no majority
CROWDED = (3, 1, 1)  # voters by region; one region has 3 of 5, the majority
MAX_CLOCK_OFFSET_S = 3600.0
MAX_CLOCK_DRIFT = 0.0005  # 500 parts per million, ten times that of a bad quartz
HOUR_S = 3600.0
CUT_OFF_AT_S = 30.0  # time at which ``draw_partition`` cuts a region off
QUIET_S = 60.0  # a snapshot of 20 KB in chunks of 150 bytes takes about 20 s and may start again
KEYS = ("teams/a/quota", "teams/b/quota", "limits/starts", "limits/urgent")


@dataclass(frozen=True)
class ControlScenario:
    """The input of a run, apart from the code under test."""

    seed: int
    duration: float  # seconds with clients and faults
    quiet: float  # seconds without faults, before the final state is checked
    regions: dict[str, str]  # by the name of a machine, client or follower
    voters: tuple[str, ...]  # the voters of the first configuration
    spares: tuple[str, ...]  # machines that are no voters at first
    clients: tuple[str, ...]
    followers: tuple[str, ...]
    clocks: dict[str, tuple[float, float]]  # offset in seconds and drift, by machine
    network: NetworkSettings
    faults: tuple[Fault, ...]
    think_time: float  # mean seconds between two operations of a client
    batches: bool = False  # whether hosts handle all waiting inputs at once

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
    """Draw a scenario in which a region is cut off for an hour.

    With an even seed, this region has the majority of the voters.
    """
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
    # The core expects a monotonic clock, which is never negative.
    return offset + 2 * MAX_CLOCK_OFFSET_S, random.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)


def draw_network(random: Random) -> NetworkSettings:
    """Draw the delays between regions, 2 to 60 ms one way, and the rates of the network's faults."""
    badness = random.random()
    return NetworkSettings(
        delays=tuple(
            (region, peer_region, random.uniform(0.002, 0.06))
            for region, peer_region in combinations(REGIONS, 2)
        ),
        jitter=random.choice((0.05, 0.3)),
        loss=badness * random.choice((0.0, 0.02, 0.1)),
        duplication=badness * random.choice((0.0, 0.05, 0.2)),
        reordering=badness * random.choice((0.0, 0.05, 0.2)),
        held_back=random.choice((0.1, 1.0, 5.0)),
    )
