"""Scenarios that each test one rule with a sequence of events that random faults seldom produce."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from merlinbay.control.simulation.fault_types import CrashLeaders, Cut, Fault, MoveLeadership, MoveVoter
from merlinbay.control.simulation.network import NetworkSettings
from merlinbay.control.simulation.scenario import ControlScenario, draw

CYCLE_S = 14.0  # from the start of one sequence to the start of the next
CYCLES = 3  # sequences in a scenario


def _steady(seed: int, faults: list[Fault], think_time: float) -> ControlScenario:
    """Return the scenario of a seed with a network that loses nothing, and with these faults only."""
    drawn = draw(seed)
    network = NetworkSettings(drawn.network.delays, 0.05, 0.0, 0.0, 0.0, 0.0)
    duration = 2.0 + CYCLES * CYCLE_S
    return replace(drawn, duration=duration, network=network, faults=tuple(faults), think_time=think_time)


def overwritten_majority(seed: int) -> ControlScenario:
    """Return figure 8 of the Raft paper: a majority stores an entry that a later leader overwrites.

    The leader continues with one follower only, or with more where they are no majority. Another voter is
    elected, stores its first entry and crashes. The first leader leads again and replicates its old entries
    to a majority, but is cut off before an entry of its new term gets there too. Then the second leader
    restarts.
    """
    random = Random(f"overwritten majority {seed}")
    machines = draw(seed).machines
    faults: list[Fault] = []
    for number in range(CYCLES):
        at = 3.0 + number * CYCLE_S
        followers = random.sample(machines, max(1, len(machines) // 2 - 1))
        healed_at = at + random.uniform(1.6, 2.4)
        cut_again_at = healed_at + random.uniform(0.6, 2.2)
        faults += [
            Cut(at, healed_at - at, tuple(followers), True, True, True),
            CrashLeaders(at + 0.01, tuple((name, 1, 2.5) for name in machines), spares_leader=True),
            Cut(cut_again_at, 4.0, tuple(followers), True, True, True),
        ]
    return _steady(seed, faults, think_time=0.1)


def handover_and_cut(seed: int) -> ControlScenario:
    """Return a scenario whose leaders are cut off just after handing their leadership over."""
    faults: list[Fault] = [MoveLeadership(3.0 + 4.0 * number, 2.0) for number in range(9)]
    return _steady(seed, faults, think_time=0.05)


def voters_of_two_leaders(seed: int) -> ControlScenario:
    """Return a scenario of changes of voters at a leader that is cut off with half of the machines.

    While the cut lasts, a second leader may be asked for changes of voters too.
    """
    random = Random(f"voters of two leaders {seed}")
    drawn = draw(seed)
    machines = (*drawn.voters, "spare-1", "spare-2")
    faults: list[Fault] = []
    for number in range(3 * CYCLES):
        at = 3.0 + number * CYCLE_S / 3
        side = tuple(random.sample(machines, len(machines) // 2))
        choices = tuple(random.random() for _ in range(4))
        faults += [
            MoveVoter(at, choices),
            Cut(at + random.uniform(0.0, 0.4), 2.5, side, True, True, True),
            MoveVoter(at + 1.8, choices[::-1]),
        ]
    regions = {**drawn.regions, "spare-1": "north", "spare-2": "south"}
    clocks = {**drawn.clocks, "spare-1": (7200.0, 0.0), "spare-2": (0.0, 0.0)}
    drawn = _steady(seed, faults, think_time=0.1)
    return replace(drawn, regions=regions, clocks=clocks, spares=("spare-1", "spare-2"))
