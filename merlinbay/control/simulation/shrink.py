"""Reduces a failing scenario to fewer faults and clients that still break the same check."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace

from merlinbay.control.simulation.scenario import ControlScenario
from merlinbay.control.simulation.simulation import SimulationRun

MAX_RUNS = 200


def _smaller(scenario: ControlScenario) -> Iterator[ControlScenario]:
    """Yield scenarios with less in them: without half of the faults, then one, then with fewer clients."""
    faults = scenario.faults
    half = len(faults) // 2
    if half > 1:
        yield replace(scenario, faults=faults[:half])
        yield replace(scenario, faults=faults[half:])
    for number in range(len(faults)):
        yield replace(scenario, faults=faults[:number] + faults[number + 1 :])
    if len(scenario.clients) > 1:
        yield replace(scenario, clients=scenario.clients[:-1])
    if scenario.followers:
        yield replace(scenario, followers=())


def shrink(
    run: SimulationRun, play: Callable[[ControlScenario], SimulationRun], max_runs: int = MAX_RUNS
) -> SimulationRun:
    """Return the smallest run found that breaks the check that the given one broke first."""
    wanted = run.violations[0].check
    left = max_runs
    progress = True
    while progress and left > 0:
        progress = False
        for scenario in _smaller(run.scenario):
            left -= 1
            tried = play(scenario)
            if any(violation.check == wanted for violation in tried.violations):
                run, progress = tried, True
                break
            if left <= 0:
                break
    return run
