"""The control log in a seeded simulation: ``python -m bench.control COMMAND``.

``seeds N [--first K]``: N seeds of faults, the checks after each; a failing seed prints a short trace.
``sequences N``: N seeds of each scenario that is made for one rule. ``seed K``: one seed twice (the runs have
to be the same); where it fails, with as few faults as still break it. ``mutants``: rules of the core broken
one at a time, each of which a check has to find. ``partition [N]``: a region cut off for an hour of virtual
time, and healed.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from collections.abc import Iterator

from bench.control_mutants import MUTANTS, Mutant
from merlinbay.control.simulation.core_under_test import raft
from merlinbay.control.simulation.history import History, OperationKind
from merlinbay.control.simulation.regions import REGIONS
from merlinbay.control.simulation.scenario import CUT_OFF_AT_S, HOUR_S, draw, draw_partition
from merlinbay.control.simulation.sequences import (
    handover_and_cut,
    overwritten_majority,
    voters_of_two_leaders,
)
from merlinbay.control.simulation.shrink import shrink
from merlinbay.control.simulation.simulation import SimulationRun, play

TRACE_LINES = 60
MOST_MUTANT_SEEDS = 600
PROGRESS_EVERY = 100  # seeds
STOPPED = "the_code_runs_on"
MOST_SHOWN = 5  # failing seeds and violations that are printed in full


def run_seed(seed: int) -> SimulationRun:
    """Play the scenario of a seed with the core as it is."""
    return play(draw(seed), raft(seed))


def report(run: SimulationRun) -> Iterator[str]:
    """Yield what a run broke, and the end of its trace up to there."""
    for violation in run.violations[:MOST_SHOWN]:
        yield f"  {violation.check}: {violation.detail}"
    yield f"  fingerprint {run.fingerprint}, {len(run.scenario.faults)} faults; the end of the trace:"
    for line in run.trace[-TRACE_LINES:]:
        yield f"    {line}"


def counts(history: History) -> Counter[str]:
    """Return how much a run did."""
    complete = [one for one in history.operations if one.is_complete]
    return Counter(
        changes=sum(one.kind is OperationKind.CHANGE for one in complete),
        reads=sum(one.kind is OperationKind.READ for one in complete),
        open=len(history.operations) - len(complete),
        attempts=len(history.attempts),
        leaders=len(history.leaders),
        follower_states=len(history.followers),
    )


def seeds(count: int, first: int) -> int:
    """Play many seeds; return how many broke a check."""
    started = time.monotonic()
    broken: Counter[str] = Counter()
    total: Counter[str] = Counter()
    failing: list[int] = []
    for seed in range(first, first + count):
        run = run_seed(seed)
        if seed > first and (seed - first) % PROGRESS_EVERY == 0:
            print(f"{seed - first} seeds, {len(failing)} broken", file=sys.stderr, flush=True)
        total += counts(run.history)
        total["steps"] += run.steps
        total.update(type(fault).__name__ for fault in run.scenario.faults)
        if run.violations:
            failing.append(seed)
            broken.update({violation.check for violation in run.violations})
            print(f"seed {seed}: broken", flush=True)
            if len(failing) <= MOST_SHOWN:
                print("\n".join(report(run)), flush=True)
    spent = time.monotonic() - started
    print(f"{count} seeds ({first} to {first + count - 1}): {len(failing)} broken, {spent:.0f} s")
    print("  by check: " + (", ".join(f"{name} {number}" for name, number in broken.items()) or "none"))
    print("  played: " + ", ".join(f"{name} {number}" for name, number in sorted(total.items())))
    return len(failing)


def sequences(count: int, first: int) -> int:
    """Play the scenarios made for one rule with the sound core; return how many broke a check."""
    broken = 0
    for made in (overwritten_majority, handover_and_cut, voters_of_two_leaders):
        started = time.monotonic()
        runs = [
            play(made(seed), raft(seed, one_entry_a_message=True)) for seed in range(first, first + count)
        ]
        failing = [run for run in runs if run.violations]
        broken += len(failing)
        spent = time.monotonic() - started
        print(
            f"{made.__name__}: {count} seeds from {first}, {len(failing)} broken, {spent:.0f} s", flush=True
        )
        for run in failing[:MOST_SHOWN]:
            print("\n".join([f"seed {run.scenario.seed}", *report(run)]))
    return broken


def one_seed(seed: int) -> int:
    """Play a seed twice, and show what it breaks with as few faults as possible."""
    run, again = run_seed(seed), run_seed(seed)
    same = run.fingerprint == again.fingerprint
    print(f"seed {seed}: fingerprint {run.fingerprint}, {'the same' if same else 'ANOTHER'} the second time")
    if run.violations:
        print("\n".join(report(shrink(run, lambda scenario: play(scenario, raft(seed))))))
    return len(run.violations) + (not same)


def find(mutant: Mutant) -> str:
    """Return which check finds a mutant at which seed, empty where none does; an exception is no find."""
    with mutant.applied():
        for seed in range(MOST_MUTANT_SEEDS):
            run = play(mutant.draw(seed), raft(seed, mutant.one_entry_a_message))
            checks = sorted({violation.check for violation in run.violations} - {STOPPED})
            if checks:
                return f"seed {seed}: {', '.join(checks)}"
    return ""


def mutants(only: str) -> int:
    """Look for each mutant; return how many were not found."""
    missed = 0
    asked = [mutant for mutant in MUTANTS if only in mutant.name]
    for mutant in asked:
        started = time.monotonic()
        found = find(mutant)
        missed += not found
        spent = time.monotonic() - started
        print(
            f"{mutant.name:55} {found or f'NOT FOUND in {MOST_MUTANT_SEEDS} seeds'} ({spent:.0f} s)",
            flush=True,
        )
    print(f"{len(asked) - missed} of {len(asked)} mutants found")
    return missed


def partition(count: int, first: int) -> int:
    """Cut a region off for an hour; return how many seeds broke a check."""
    broken = 0
    for seed in range(first, first + count):
        started = time.monotonic()
        run = play(draw_partition(seed), raft(seed))
        broken += bool(run.violations)
        print(f"seed {seed}: {partition_line(run)}, {time.monotonic() - started:.0f} s", flush=True)
        if run.violations:
            print("\n".join(report(run)))
    print(f"{count} partitions of an hour: {broken} broken")
    return broken


def partition_line(run: SimulationRun) -> str:
    """Return what the two sides did while they were apart, and what they came to."""
    scenario, history = run.scenario, run.history
    inside = {name for name in scenario.voters if scenario.regions[name] == REGIONS[0]}
    end = CUT_OFF_AT_S + HOUR_S
    during = [state for state in history.states if CUT_OFF_AT_S <= state.time < end]
    sides = {
        "inside": {state.revision for state in during if state.place in inside},
        "outside": {state.revision for state in during if state.place not in inside},
    }
    shown = ", ".join(
        f"{len(revisions)} revisions {side}" + (f" up to {max(revisions)}" if revisions else "")
        for side, revisions in sides.items()
    )
    finals = {(final.revision, final.digest) for final in history.finals}
    acknowledged = counts(history)["changes"]
    return (
        f"{len(inside)} of {len(scenario.voters)} voters cut off; during the hour {shown}; "
        f"{len(finals)} state(s) at the end, revision {max(revision for revision, _ in finals)}; "
        f"{acknowledged} changes complete, {len(run.violations)} violations"
    )


def main() -> None:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=["seeds", "sequences", "seed", "mutants", "partition"])
    parser.add_argument("count", nargs="?", type=int, default=None, help="number of seeds; for seed, which")
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--only", default="", help="mutants: those whose name contains this")
    asked = parser.parse_args()
    match asked.what:
        case "seeds":
            bad = seeds(asked.count or 2000, asked.first)
        case "seed":
            bad = one_seed(asked.count or 0)
        case "sequences":
            bad = sequences(asked.count or 20, asked.first)
        case "mutants":
            bad = mutants(asked.only)
        case _:
            bad = partition(asked.count or 4, asked.first)
    sys.exit(bad > 0)


if __name__ == "__main__":
    main()
