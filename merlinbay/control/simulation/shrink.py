"""Reduces a failing scenario to fewer faults and clients that still violate the same check."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace

from merlinbay.control.simulation.scenario import ControlScenario
from merlinbay.control.simulation.simulation import SimulationRun

MAX_RUNS = 200  # of reduced scenarios


def _smaller(scenario: ControlScenario) -> Iterator[ControlScenario]:
    """Yield reduced scenarios.

    First come those without half of the faults, then without one fault, then with fewer clients, and last
    without followers.
    """
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
    """Return the smallest run found that violates the first check that the given run violates.

    Stops after ``max_runs`` runs, or when no reduction violates the check any more.
    """
    check = run.violations[0].check
    runs_left = max_runs
    progress = True
    while progress and runs_left > 0:
        progress = False
        for scenario in _smaller(run.scenario):
            runs_left -= 1
            smaller_run = play(scenario)
            if any(violation.check == check for violation in smaller_run.violations):
                run, progress = smaller_run, True
                break
            if runs_left <= 0:
                break
    return run
