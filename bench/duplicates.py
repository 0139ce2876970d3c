"""Rule ``duplicate`` under drawn settings and faults, whole nodes in virtual time.

Usage: ``python -m bench.duplicates COMMAND``.
``seeds N [--first K]``: N cases; prints what they met and broke, and the stories of the first failing jobs.
``mutants [--only TEXT]``: rules of the node broken one at a time, each of which the judge has to find.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from collections.abc import Iterator

from bench.duplicate_mutants import MUTANTS, Mutant
from tests.duplicate_case import Fault
from tests.duplicate_world import CaseResult, kind_of_break, play_cases

BATCH = 50  # cases in one run: they share the jumps of the clock
MOST_STORIES = 8
SHOWN_COUNTERS = ("sends_withheld", "dials_timed_out", "attempts_moot", "answers_unknown", "deletes")
MOST_MUTANT_SEEDS = 400


class Totals:
    """What the cases so far have met and broken."""

    def __init__(self) -> None:
        self.cases = self.jobs = self.attempts = self.repeats = 0
        self.answers: Counter[int] = Counter()
        self.breaks: Counter[str] = Counter()
        self.failing: list[int] = []
        self.faults: Counter[Fault] = Counter()
        self.repeated_faults: Counter[Fault] = Counter()
        self.attempts_by_effect: Counter[str] = Counter()
        self.repeats_by_effect: Counter[str] = Counter()
        self.copies_by_effect: Counter[str] = Counter()
        self.node_counters: Counter[str] = Counter()
        self.disturbances: Counter[str] = Counter()

    def add(self, result: CaseResult) -> None:
        """Count one case."""
        classes = {job.name: result.case.effect(job.job_class) for job in result.case.jobs}
        self.cases += 1
        self.jobs += len(result.case.jobs)
        self.attempts += len(result.attempts)
        self.repeats += len(result.repeated)
        self.answers += result.answers
        self.breaks.update(kind_of_break(line) for line in result.breaks)
        self.faults.update(attempt.fault for attempt in result.attempts)
        self.repeated_faults.update(attempt.fault for attempt in result.repeated)
        self.attempts_by_effect.update(classes[attempt.job] for attempt in result.attempts)
        self.repeats_by_effect.update(classes[attempt.job] for attempt in result.repeated)
        self.copies_by_effect.update(classes[attempt.job] for attempt in result.attempts if attempt.is_copy)
        self.node_counters += result.node_counters
        self.disturbances.update(str(drawn.what) for drawn in result.case.disturbances)
        if result.breaks:
            self.failing.append(result.case.seed)

    def lines(self) -> Iterator[str]:
        """Yield what was counted."""
        yield f"{self.cases} cases, {self.jobs} jobs, {self.attempts} attempts, {self.repeats} repeats"
        yield f"answers: {dict(sorted(self.answers.items()))}"
        yield f"of the nodes' counters: { ({name: self.node_counters[name] for name in SHOWN_COUNTERS}) }"
        yield "attempts, those followed by another of the same job, and those sent while another was out:"
        for effect, count in sorted(self.attempts_by_effect.items()):
            yield f"  {effect:30}{count:8}{self.repeats_by_effect[effect]:8}{self.copies_by_effect[effect]:8}"
        for fault in Fault:
            yield f"  {fault:30}{self.faults[fault]:8}{self.repeated_faults[fault]:8}"
        yield f"disturbances: {dict(self.disturbances)}"
        yield f"{sum(self.breaks.values())} breaks in {len(self.failing)} cases {self.failing}"
        for kind, count in self.breaks.most_common():
            yield f"  {count:6} {kind}"


def batches(first: int, number: int) -> Iterator[range]:
    """Yield the seeds, a batch at a time."""
    for start in range(first, first + number, BATCH):
        yield range(start, min(start + BATCH, first + number))


def stories(results: list[CaseResult]) -> Iterator[str]:
    """Yield what the broken jobs went through."""
    for result in results:
        for name, story in result.broken_jobs():
            settings = result.case.settings
            broken = [line for line in result.breaks if line.startswith(f"{name} ")]
            yield "\n".join(
                [
                    f"seed {result.case.seed}: {'; '.join(broken)}",
                    f"  {settings['limits']}",
                    f"  {settings['extra']}",
                ]
                + [f"  {line}" for line in story]
            )


def play_seeds(first: int, number: int) -> int:
    """Play so many cases and print what came of them."""
    began, totals, shown = time.monotonic(), Totals(), 0
    for seeds in batches(first, number):
        results = play_cases(seeds)
        for result in results:
            totals.add(result)
        for story in stories(results):
            if (shown := shown + 1) <= MOST_STORIES:
                print(story, flush=True)
        took, broken = time.monotonic() - began, sum(totals.breaks.values())
        print(f"{totals.cases} cases in {took:.0f} s, {broken} breaks", flush=True)
    print("\n".join(totals.lines()))
    return int(bool(totals.failing))


def find(mutant: Mutant) -> tuple[int, Counter[str]]:
    """Play cases until one breaks a rule; return how many it took, and what the batch broke."""
    played = 0
    with mutant.applied():
        for seeds in batches(0, MOST_MUTANT_SEEDS):
            results = play_cases(seeds)
            played += len(results)
            if broken := Counter(kind_of_break(line) for result in results for line in result.breaks):
                return played, broken
    return played, Counter()


def play_mutants(mutants: list[Mutant]) -> int:
    """Play mutants, and print what found each."""
    missed = 0
    for mutant in mutants:
        played, broken = find(mutant)
        missed += not broken
        print(
            f"{'found' if broken else 'NOT FOUND':10}{mutant.name:50}{played:5} cases {dict(broken)}",
            flush=True,
        )
    print(f"{len(mutants) - missed} of {len(mutants)} mutants found")
    return int(missed > 0)


def main() -> int:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    commands = parser.add_subparsers(dest="command", required=True)
    seeds = commands.add_parser("seeds")
    seeds.add_argument("number", type=int)
    seeds.add_argument("--first", type=int, default=0)
    commands.add_parser("mutants").add_argument("--only", default="", metavar="TEXT")
    arguments = parser.parse_args()
    if arguments.command == "seeds":
        return play_seeds(arguments.first, arguments.number)
    return play_mutants([mutant for mutant in MUTANTS if arguments.only in mutant.name])


if __name__ == "__main__":
    sys.exit(main())
