"""The checks find faults in histories made by hand, and the simulation plays the same each time."""

from __future__ import annotations

import math
import os
import subprocess
import sys
from collections.abc import Callable, Sequence
from dataclasses import replace

import pytest

from bench.control_mutants import MUTANTS
from merlinbay.control.effects import ProposalDone, ReadDone, VoterEffect
from merlinbay.control.entries import (
    Change,
    ChangeApplied,
    ChangeRejected,
    ChangeUncertain,
    Delta,
    KeyValue,
    StateSnapshot,
)
from merlinbay.control.simulation.checker import CHECKS, check
from merlinbay.control.simulation.core_under_test import raft
from merlinbay.control.simulation.history import (
    AppliedSeen,
    EntrySeen,
    FinalState,
    History,
    LeaderSeen,
    LogSeen,
    Operation,
    OperationKind,
    ProposalAttempt,
    StateSeen,
    VoteSeen,
)
from merlinbay.control.simulation.linearizability import Verdict, check_key
from merlinbay.control.simulation.ports import CoreUnderTest, LogView, VoterPort, VoterStart
from merlinbay.control.simulation.regions import REGIONS
from merlinbay.control.simulation.scenario import CUT_OFF_AT_S, HOUR_S, ControlScenario, draw, draw_partition
from merlinbay.control.simulation.sequences import (
    handover_and_cut,
    overwritten_majority,
    voters_of_two_leaders,
)
from merlinbay.control.simulation.shrink import shrink
from merlinbay.control.simulation.simulation import SimulationRun, play
from tests.net import ROOT

KEY = "k"


def put(
    number: int,
    start: float,
    end: float = math.inf,
    revision: int = 0,
    expected: int | None = None,
    conflict: int | None = None,
) -> Operation:
    """Return a write of the value ``v<number>``, applied as a revision, in conflict, or open."""
    change = Change(f"c{number}", KEY, f"v{number}".encode(), expected)
    operation = Operation("client", OperationKind.CHANGE, KEY, start, change, end)
    if conflict is not None:
        operation.result = ChangeRejected("conflict", current_revision=conflict)
    elif revision:
        operation.result = ChangeApplied(revision)
    return operation


def read(start: float, end: float, number: int = 0, revision: int = 0) -> Operation:
    """Return a read that saw the value ``v<number>``, or no value."""
    value = KeyValue(KEY, f"v{number}".encode(), revision) if number else None
    return Operation("client", OperationKind.READ, KEY, start, None, end, None, value)


@pytest.mark.parametrize(
    ("operations", "verdict"),
    [
        ([put(1, 0, 1, 1), read(2, 3, 1, 1)], Verdict.LINEARIZABLE),
        ([put(1, 0, 1, 1), read(2, 3)], Verdict.VIOLATED),  # the write is lost
        ([put(1, 0, 1, 1), put(2, 2, 3, 2), read(4, 5, 1, 1)], Verdict.VIOLATED),  # a stale read
        ([put(1, 0, 5, 1), read(1, 2, 1, 1), read(3, 4)], Verdict.VIOLATED),  # read, then not
        ([put(1, 0, 5, 1), read(1, 2), read(3, 4, 1, 1)], Verdict.LINEARIZABLE),  # while it is written
        ([put(1, 0), read(1, 2), read(3, 4, 1, 7)], Verdict.LINEARIZABLE),  # an open write takes effect late
        ([put(1, 5), read(1, 2, 1, 7)], Verdict.VIOLATED),  # it is read before it was called
        ([put(1, 0), read(1, 2, 1, 7), read(3, 4)], Verdict.VIOLATED),  # it takes effect, then not
        ([put(1, 0, 1, 2), put(2, 2, 3, 1)], Verdict.VIOLATED),  # revisions against time
        ([put(1, 0, 9, 1, expected=0), put(2, 0, 9, 2, expected=0)], Verdict.VIOLATED),  # both were first
        ([put(1, 0, 9, 1, expected=0), put(2, 0, 9, 0, 0, conflict=1)], Verdict.LINEARIZABLE),
        ([put(1, 0, 1, 1), put(2, 2, 3, 0, 1, conflict=1)], Verdict.VIOLATED),  # no reason to reject
        ([put(1, 0, 1, 1), put(2, 2, 3, 2, expected=0)], Verdict.VIOLATED),  # the comparison failed
        ([put(1, 0, 9, 1), read(0, 9, 1, 4)], Verdict.VIOLATED),  # another revision than acknowledged
    ],
)
def test_linearizability(operations: list[Operation], verdict: Verdict) -> None:
    """Orders that real time and the outcomes allow are found, others are not."""
    assert check_key(operations) is verdict


def test_a_search_that_is_too_long_is_no_pass() -> None:
    """Beyond its bound the search says that it does not know."""
    operations = [put(number, 0) for number in range(1, 13)] + [read(1, 2, 99, 1)]
    assert check_key(operations, max_configurations=500) is Verdict.UNDECIDED
    history = History(operations=operations)
    history.attempts += [ProposalAttempt(0, "a", one.change) for one in operations if one.change is not None]
    assert [one.check for one in check(history)] == ["linearizable_by_key"]


def open_final() -> Operation:
    """Return an operation after the faults that got no answer."""
    return replace(put(1, 0), client="final")


def applied(number: int, revision: int) -> AppliedSeen:
    """Return an applied write of ``v<number>``."""
    return AppliedSeen(0, "a", KeyValue(KEY, f"v{number}".encode(), revision))


def attempt(number: int, *results: ChangeApplied | ChangeRejected | ChangeUncertain) -> list[ProposalAttempt]:
    """Return attempts of one change with their results."""
    change = Change(f"c{number}", KEY, f"v{number}".encode())
    return [ProposalAttempt(0, "a", change, result, 1) for result in results]


CONFLICT = ChangeRejected("conflict")
NOT_LEADER = ChangeRejected("not_leader")
BAD: list[tuple[str, History]] = [
    ("the_code_runs_on", History(failures=["a: ValueError"])),
    ("one_leader_per_term", History(leaders=[LeaderSeen(0, "a", 1, 0), LeaderSeen(1, "b", 1, 0)])),
    ("one_vote_per_term", History(votes=[VoteSeen(0, "a/1", 1, "b"), VoteSeen(1, "a/1", 1, "c")])),
    (
        "log_matching",
        History(entries=[EntrySeen(0, "a", 1, 1, b"x", 0, False), EntrySeen(1, "b", 1, 1, b"y", 0, False)]),
    ),
    (
        "log_matching",
        History(entries=[EntrySeen(0, "a", 2, 3, b"x", 1, False), EntrySeen(1, "b", 2, 3, b"x", 2, False)]),
    ),
    (
        "committed_entries_stay",
        History(entries=[EntrySeen(0, "a", 1, 1, b"x", 0, True), EntrySeen(1, "b", 1, 2, b"x", 0, True)]),
    ),
    ("committed_entries_stay", History(logs=[LogSeen(0, "a", 1, 3, 3), LogSeen(1, "a", 1, 2, 2)])),
    (
        "leader_completeness",
        History(
            entries=[EntrySeen(0, "a", 2, 1, b"x", None, True, 1)],
            leaders=[LeaderSeen(1, "b", 2, 1)],
        ),
    ),
    (
        "revision_names_one_state",
        History(states=[StateSeen(0, "a", 1, b"x")], followers=[StateSeen(1, "f", 1, b"y")]),
    ),
    (
        "commit_index_names_one_state",
        History(logs=[LogSeen(0, "a", 1, 3, 3, "x"), LogSeen(1, "b", 1, 3, 3, "y")]),
    ),
    ("voters_go_forward", History(logs=[LogSeen(0, "a", 1, 3, 3), LogSeen(1, "a", 1, 3, 2)])),
    (
        "followers_go_forward",
        History(followers=[StateSeen(0, "f", 2, b"x"), StateSeen(1, "f", 1, b"y")]),
    ),
    ("acknowledged_changes_stay", History(operations=[put(1, 0, 1, 1)], applied=[applied(2, 1)])),
    (
        "acknowledged_changes_stay",
        History(operations=[put(1, 0, 1, 1)], finals=[FinalState("a", 0, b"", ())]),
    ),
    (
        "acknowledged_changes_stay",
        History(operations=[put(1, 0, 1, 1)], finals=[FinalState("a", 2, b"", ())]),
    ),
    ("changes_are_applied_once", History(attempts=attempt(1, ChangeApplied(1), ChangeApplied(2)))),
    ("changes_are_applied_once", History(applied=[applied(1, 1), applied(1, 2)])),
    (
        "rejected_changes_have_no_effect",
        History(attempts=attempt(1, ChangeUncertain(), CONFLICT), applied=[applied(1, 1)]),
    ),
    (
        "rejected_changes_have_no_effect",
        History(attempts=attempt(1, NOT_LEADER, NOT_LEADER), applied=[applied(1, 1)]),
    ),
    (
        "attempts_are_answered_once",
        History(attempts=[replace(one, answers=2) for one in attempt(1, ChangeApplied(1))]),
    ),
    ("linearizable_by_key", History(operations=[put(1, 0, 1, 1), read(2, 3)])),
    (
        "voters_agree_at_the_end",
        History(expected_finals=2, finals=[FinalState("a", 1, b"x", ()), FinalState("b", 2, b"y", ())]),
    ),
    (
        "voters_agree_at_the_end",
        History(expected_finals=1, finals=[FinalState("a", 0, b"", (), admitted=False)]),
    ),
    (
        "voters_agree_at_the_end",
        History(expected_finals=1, finals=[FinalState("a", 0, b"", ())], operations=[open_final()]),
    ),
]


@pytest.mark.parametrize(("name", "history"), BAD)
def test_each_check_finds_its_fault(name: str, history: History) -> None:
    """A history with one fault is found by the check that is for it."""
    assert name in {violation.check for violation in check(history)}


def test_every_check_has_a_bad_history() -> None:
    """None is left out above."""
    assert {name for name, _ in BAD} == {one.__name__ for one in CHECKS}


def test_a_leader_seen_late_is_no_fault() -> None:
    """A leader that was stopped lacks what was committed in later terms."""
    entry = EntrySeen(0, "a", 2, 1, b"x", None, True, voter_term=3)
    assert check(History(entries=[entry], leaders=[LeaderSeen(1, "b", 2, 1)])) == []


def test_a_sound_history_passes() -> None:
    """Rejections that a repeat turned round, and answers given again, are no faults."""
    history = History(
        operations=[put(1, 0, 1, 1), read(2, 3, 1, 1)],
        attempts=attempt(1, NOT_LEADER, ChangeUncertain(), ChangeApplied(1), ChangeApplied(1)),
        applied=[applied(1, 1)],
        finals=[FinalState("a", 1, b"x", (KeyValue(KEY, b"v1", 1),))],
        expected_finals=1,
    )
    assert check(history) == []


class SharedKeyspace:
    """One keyspace in memory for all voters: correct, and without any need of agreement."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 0
        self.entries: dict[str, KeyValue] = {}
        self.results: dict[str, ChangeApplied | ChangeRejected] = {}

    def apply(self, change: Change) -> ChangeApplied | ChangeRejected:
        """Apply a change once."""
        if change.change_id in self.results:
            return self.results[change.change_id]
        entry = self.entries.get(change.key)
        current = entry.revision if entry is not None and entry.value is not None else 0
        result: ChangeApplied | ChangeRejected = ChangeRejected("conflict", current_revision=current)
        if change.expected_revision in (None, current):
            self.revision += 1
            self.entries[change.key] = KeyValue(change.key, change.value, self.revision)
            result = ChangeApplied(self.revision)
        self.results[change.change_id] = result
        return result

    def delta_after(self, revision: int) -> Delta | None:
        """Return what changed; now and then nothing, as after a compaction."""
        if revision % 5 == 4:
            return None
        changed = tuple(entry for entry in self.entries.values() if entry.revision > revision)
        return Delta(revision, self.revision, changed)


class StandIn:
    """A voter that answers from the shared keyspace at once."""

    def __init__(self, keyspace: SharedKeyspace, name: str) -> None:
        """Join."""
        self.keyspace = keyspace
        self.name = name
        self.effects: list[VoterEffect] = []

    def receive(self, now: float, sender: str, message: bytes) -> None:
        """Take no notice."""

    def tick(self, now: float) -> None:
        """Do nothing."""

    def next_deadline(self) -> float:
        """Never be due."""
        return math.inf

    def propose(self, now: float, change: Change, token: int) -> None:
        """Apply at once."""
        self.effects.append(ProposalDone(token, self.keyspace.apply(change)))

    def read(self, now: float, key: str, token: int) -> None:
        """Read at once."""
        found = self.keyspace.entries.get(key)
        value = found if found is not None and found.value is not None else None
        self.effects.append(ReadDone(token, value, self.keyspace.revision))

    def change_voters(self, now: float, add: str | None, remove: str | None, token: int) -> None:
        """Refuse."""
        self.effects.append(ProposalDone(token, ChangeRejected("invalid")))

    def transfer_leadership(self, now: float) -> None:
        """Do nothing."""

    def storage_failed(self, now: float, dropped: Sequence[VoterEffect] = ()) -> None:
        """Do nothing."""

    def take_effects(self) -> list[VoterEffect]:
        """Return the answers."""
        effects, self.effects = self.effects, []
        return effects


def stand_in(voters: tuple[str, ...]) -> CoreUnderTest:
    """Return a fresh set of stand-ins."""
    keyspace = SharedKeyspace()

    def start(boot: VoterStart) -> VoterPort:
        return StandIn(keyspace, boot.name)

    def snapshot(voter: VoterPort) -> StateSnapshot:
        live = (entry for entry in keyspace.entries.values() if entry.value is not None)
        return StateSnapshot(keyspace.revision, tuple(live))

    names = frozenset(voters)
    return CoreUnderTest(
        start=start,
        snapshot=snapshot,
        leading_term=lambda voter: None,
        voters=lambda voter: names,
        admitted=lambda voter: True,
        extent=lambda voter: None,
        log=lambda voter, index: LogView(0, 0, "", None, ()),
        vote=lambda sender, message: None,
    )


@pytest.mark.parametrize("seed", range(5))
def test_the_world_breaks_nothing_by_itself(seed: int) -> None:
    """A correct stand-in for the voters passes all checks, and a seed plays the same twice."""
    scenario = draw(seed)
    one, other = (play(scenario, stand_in(scenario.voters)) for _ in range(2))
    assert one.violations == [] and one.fingerprint == other.fingerprint
    assert sum(operation.is_complete for operation in one.history.operations) > 50


@pytest.mark.parametrize("seed", range(16))
def test_a_seed_breaks_nothing(seed: int) -> None:
    """The consensus core passes all checks; thousands of seeds: ``python -m bench.control seeds``."""
    assert play(draw(seed), raft(seed)).violations == []


@pytest.mark.parametrize("made", [overwritten_majority, handover_and_cut, voters_of_two_leaders])
def test_a_sequence_made_for_one_rule_breaks_nothing(made: Callable[[int], ControlScenario]) -> None:
    """What finds the mutants of a rule passes with the rule."""
    assert play(made(5), raft(5, one_entry_a_message=True)).violations == []


def test_a_seed_plays_the_same_in_any_process() -> None:
    """Neither the order of sets nor anything else of the process decides how a run goes."""
    said = {
        subprocess.run(
            [sys.executable, "-m", "bench.control", "seed", "3"],
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": number},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for number in ("1", "2")
    }
    assert len(said) == 1 and "the same the second time" in said.pop()


@pytest.mark.parametrize(
    ("name", "found_by"),
    [
        ("votes twice in a term", "one_vote_per_term"),
        ("votes for a log that is not up to date", "leader_completeness"),
        ("half is a majority", "one_leader_per_term"),
    ],
)
def test_a_broken_rule_is_found(name: str, found_by: str) -> None:
    """Some of the mutants, each by the check for it; all: ``python -m bench.control mutants``."""
    mutant = next(one for one in MUTANTS if one.name == name)
    with mutant.applied():
        runs = (play(draw(seed), raft(seed)) for seed in range(16))
        assert any(violation.check == found_by for run in runs for violation in run.violations)


def test_a_failing_run_is_reduced() -> None:
    """Faults that a violation does not need are left out."""
    mutant = next(one for one in MUTANTS if one.name == "half is a majority")

    def broken(scenario: ControlScenario) -> SimulationRun:
        with mutant.applied():
            return play(scenario, raft(3))

    scenario = replace(draw(3), quiet=10.0, duration=20.0)
    run = broken(scenario)
    smaller = shrink(run, broken, max_runs=12)
    assert smaller.violations and len(smaller.scenario.faults) < len(scenario.faults)


def test_a_region_cut_off_for_an_hour_comes_back() -> None:
    """The side without a majority changes nothing meanwhile; then both are one again."""
    scenario = draw_partition(1)
    run = play(scenario, raft(1))
    assert run.violations == []
    inside = {name for name in scenario.voters if scenario.regions[name] == REGIONS[0]}
    settled, healed = CUT_OFF_AT_S + 10.0, CUT_OFF_AT_S + HOUR_S
    during = [state for state in run.history.states if settled < state.time < healed]
    assert during and not {state.place for state in during} & inside
    assert {final.voter for final in run.history.finals} == set(scenario.voters)
