"""Whole nodes among faulty executors: no attempt and no refusal beyond what the settings allow."""

from __future__ import annotations

import pytest

from bench.duplicate_mutants import MUTANTS, Mutant
from tests.duplicate_case import draw
from tests.duplicate_world import play_cases

SEEDS = range(60)
FEW_SEEDS = range(12)  # enough for rules that matter often
PLAIN_MUTANTS = [mutant for mutant in MUTANTS if mutant.name in ("group: any", "effect: once is repeatable")]
LEAST_REPEATS = 150  # below, the faults would have met too little to say anything


def test_same_seed_same_case() -> None:
    """A seed says all there is of a case."""
    assert draw(7) == draw(7)
    assert draw(7) != draw(8)


def test_no_attempt_beyond_what_the_settings_allow() -> None:
    """Drawn settings and faults break no rule; ``python -m bench.duplicates seeds N`` plays more of them."""
    results = play_cases(SEEDS)
    stories = [
        "\n".join([*result.breaks, f"seed {result.case.seed}, {name}", *story])
        for result in results
        for name, story in result.broken_jobs()
    ]
    assert not stories, "\n".join(stories)
    assert sum(len(result.repeated) for result in results) > LEAST_REPEATS


@pytest.mark.parametrize("mutant", PLAIN_MUTANTS, ids=lambda mutant: mutant.name)
def test_a_broken_rule_is_found(mutant: Mutant) -> None:
    """The cases are not vacuous; ``python -m bench.duplicates mutants`` plays the other mutants too."""
    with mutant.applied():
        assert any(result.breaks for result in play_cases(FEW_SEEDS))
