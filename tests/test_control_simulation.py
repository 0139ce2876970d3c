"""Tests of the control log's simulation: its checks, its determinism, and the consensus core in it.

Each check must find its fault in a handwritten history and accept a sound one. A seed must give the same run
each time, since otherwise a failing seed could not be examined.
"""

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
        ([put(1, 0, 1, 1), read(2, 3)], Verdict.VIOLATED),  # the read misses the write
        ([put(1, 0, 1, 1), put(2, 2, 3, 2), read(4, 5, 1, 1)], Verdict.VIOLATED),  # the last read is stale
        ([put(1, 0, 5, 1), read(1, 2, 1, 1), read(3, 4)], Verdict.VIOLATED),  # a later read loses the value
        (
            [put(1, 0, 5, 1), read(1, 2), read(3, 4, 1, 1)],
            Verdict.LINEARIZABLE,
        ),  # both reads overlap the write
        ([put(1, 0), read(1, 2), read(3, 4, 1, 7)], Verdict.LINEARIZABLE),  # an open write takes effect late
        ([put(1, 5), read(1, 2, 1, 7)], Verdict.VIOLATED),  # the value is read before its write was invoked
        (
            [put(1, 0), read(1, 2, 1, 7), read(3, 4)],
            Verdict.VIOLATED,
        ),  # an open write takes effect, then is lost
        ([put(1, 0, 1, 2), put(2, 2, 3, 1)], Verdict.VIOLATED),  # revisions contradict real time
        (
            [put(1, 0, 9, 1, expected=0), put(2, 0, 9, 2, expected=0)],
            Verdict.VIOLATED,
        ),  # both claim to have created the key
        ([put(1, 0, 9, 1, expected=0), put(2, 0, 9, 0, 0, conflict=1)], Verdict.LINEARIZABLE),
        (
            [put(1, 0, 1, 1), put(2, 2, 3, 0, 1, conflict=1)],
            Verdict.VIOLATED,
        ),  # the expected revision was current, yet the change was rejected
        (
            [put(1, 0, 1, 1), put(2, 2, 3, 2, expected=0)],
            Verdict.VIOLATED,
        ),  # the key existed, yet the change was applied
        (
            [put(1, 0, 9, 1), read(0, 9, 1, 4)],
            Verdict.VIOLATED,
        ),  # the read has another revision than the write
    ],
)
def test_linearizability(operations: list[Operation], verdict: Verdict) -> None:
    """The search accepts exactly the histories with an order that fits real time and all outcomes.

    Otherwise a stale read or a lost write of the core would pass.
    """
    assert check_key(operations) is verdict


def test_search_beyond_its_bound_is_a_violation() -> None:
    """A search that reaches its bound returns UNDECIDED, and the check reports it instead of passing."""
    operations = [put(number, 0) for number in range(1, 13)] + [read(1, 2, 99, 1)]
    assert check_key(operations, max_configurations=500) is Verdict.UNDECIDED
    history = History(operations=operations)
    history.attempts += [
        ProposalAttempt(0, "a", operation.change) for operation in operations if operation.change is not None
    ]
    assert [violation.check for violation in check(history)] == ["linearizable_by_key"]


def open_final() -> Operation:
    """Return an operation of the final client that got no answer."""
    return replace(put(1, 0), client="final")


def applied(number: int, revision: int) -> AppliedSeen:
    """Return an applied write of ``v<number>``."""
    return AppliedSeen(0, "a", KeyValue(KEY, f"v{number}".encode(), revision))


def attempt(number: int, *results: ChangeApplied | ChangeRejected | ChangeUncertain) -> list[ProposalAttempt]:
    """Return one attempt of the same change for each result."""
    change = Change(f"c{number}", KEY, f"v{number}".encode())
    return [ProposalAttempt(0, "a", change, result, 1) for result in results]


CONFLICT = ChangeRejected("conflict")
NOT_LEADER = ChangeRejected("not_leader")
FAULTY_HISTORIES: list[tuple[str, History]] = [
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
        History(attempts=[replace(answered, answers=2) for answered in attempt(1, ChangeApplied(1))]),
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


@pytest.mark.parametrize(("name", "history"), FAULTY_HISTORIES)
def test_check_reports_faulty_history(name: str, history: History) -> None:
    """A check that overlooks the fault it is meant for would let a broken core pass."""
    assert name in {violation.check for violation in check(history)}


def test_every_check_has_a_faulty_history() -> None:
    """A check that is added without a faulty history would never be shown to find anything."""
    assert {name for name, _ in FAULTY_HISTORIES} == {rule.__name__ for rule in CHECKS}


def test_leader_may_lack_entries_of_later_terms() -> None:
    """A suspended leader still leads its old term without entries that were committed in later terms.

    The check of leader completeness must not report it.
    """
    entry = EntrySeen(0, "a", 2, 1, b"x", None, True, voter_term=3)
    assert check(History(entries=[entry], leaders=[LeaderSeen(1, "b", 2, 1)])) == []


def test_sound_history_passes() -> None:
    """No check reports a change that was applied after a rejection, or acknowledged twice alike."""
    history = History(
        operations=[put(1, 0, 1, 1), read(2, 3, 1, 1)],
        attempts=attempt(1, NOT_LEADER, ChangeUncertain(), ChangeApplied(1), ChangeApplied(1)),
        applied=[applied(1, 1)],
        finals=[FinalState("a", 1, b"x", (KeyValue(KEY, b"v1", 1),))],
        expected_finals=1,
    )
    assert check(history) == []


class SharedKeyspace:
    """One keyspace in memory that all stand-ins share, so that they need no consensus."""

    def __init__(self) -> None:
        """Create an empty keyspace."""
        self.revision = 0
        self.entries: dict[str, KeyValue] = {}
        self.results: dict[str, ChangeApplied | ChangeRejected] = {}

    def apply(self, change: Change) -> ChangeApplied | ChangeRejected:
        """Apply a change, or return its first result if it is repeated."""
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
        """Return the changes after a revision, or None at every fifth revision, as after a compaction."""
        if revision % 5 == 4:
            return None
        changed = tuple(entry for entry in self.entries.values() if entry.revision > revision)
        return Delta(revision, self.revision, changed)


class StandIn:
    """A voter that answers each request at once from the shared keyspace."""

    def __init__(self, keyspace: SharedKeyspace, name: str) -> None:
        """Create a voter that uses the keyspace."""
        self.keyspace = keyspace
        self.name = name
        self.effects: list[VoterEffect] = []

    def receive(self, now: float, sender: str, message: bytes) -> None:
        """Ignore the message."""

    def tick(self, now: float) -> None:
        """Do nothing."""

    def next_deadline(self) -> float:
        """Return infinity, since ``tick`` is never due."""
        return math.inf

    def propose(self, now: float, change: Change, token: int) -> None:
        """Apply the change at once."""
        self.effects.append(ProposalDone(token, self.keyspace.apply(change)))

    def read(self, now: float, key: str, token: int) -> None:
        """Read the key at once."""
        entry = self.keyspace.entries.get(key)
        value = entry if entry is not None and entry.value is not None else None
        self.effects.append(ReadDone(token, value, self.keyspace.revision))

    def change_voters(self, now: float, add: str | None, remove: str | None, token: int) -> None:
        """Reject the change as invalid."""
        self.effects.append(ProposalDone(token, ChangeRejected("invalid")))

    def transfer_leadership(self, now: float) -> None:
        """Do nothing."""

    def storage_failed(self, now: float, dropped: Sequence[VoterEffect] = ()) -> None:
        """Do nothing."""

    def take_effects(self) -> list[VoterEffect]:
        """Return the answers since the last call."""
        effects, self.effects = self.effects, []
        return effects


def stand_in(voters: tuple[str, ...]) -> CoreUnderTest:
    """Return a core whose voters are stand-ins with one new keyspace."""
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
def test_simulation_adds_no_violations(seed: int) -> None:
    """Correct stand-ins pass all checks, and a seed gives the same run twice.

    A violation here would be a fault of the simulation or of a check, not of the consensus core.
    """
    scenario = draw(seed)
    first, second = (play(scenario, stand_in(scenario.voters)) for _ in range(2))
    assert first.violations == [] and first.fingerprint == second.fingerprint
    assert sum(operation.is_complete for operation in first.history.operations) > 50


@pytest.mark.parametrize("seed", range(16))
def test_consensus_core_passes_all_checks(seed: int) -> None:
    """The consensus core keeps its guarantees under the random faults of a seed.

    ``python -m bench.control seeds`` runs thousands of seeds.
    """
    assert play(draw(seed), raft(seed)).violations == []


@pytest.mark.parametrize("draw_sequence", [overwritten_majority, handover_and_cut, voters_of_two_leaders])
def test_consensus_core_passes_rare_sequences(draw_sequence: Callable[[int], ControlScenario]) -> None:
    """The core passes the sequences that detect mutants which random faults seldom detect."""
    assert play(draw_sequence(5), raft(5, one_entry_a_message=True)).violations == []


def test_run_is_the_same_in_any_process() -> None:
    """A run must not depend on its process, as it would if the order of a set decided something.

    A failing seed could then not be repeated. The processes differ in the seed of their string hashes.
    """
    outputs = {
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
    assert len(outputs) == 1 and "the same the second time" in outputs.pop()


@pytest.mark.parametrize(
    ("name", "check_name"),
    [
        ("votes twice in a term", "one_vote_per_term"),
        ("votes for a log that is not up to date", "leader_completeness"),
        ("half is a majority", "one_leader_per_term"),
    ],
)
def test_mutant_is_detected(name: str, check_name: str) -> None:
    """The scenarios reach the faults of some mutants, and the check for each mutant reports it.

    Otherwise the same fault in the core would pass. ``python -m bench.control mutants`` runs all mutants.
    """
    mutant = next(candidate for candidate in MUTANTS if candidate.name == name)
    with mutant.applied():
        runs = (play(draw(seed), raft(seed)) for seed in range(16))
        assert any(violation.check == check_name for run in runs for violation in run.violations)


def test_failing_run_is_reduced() -> None:
    """``shrink`` leaves out faults that the violation does not need, and still violates a check."""
    mutant = next(candidate for candidate in MUTANTS if candidate.name == "half is a majority")

    def play_mutant(scenario: ControlScenario) -> SimulationRun:
        with mutant.applied():
            return play(scenario, raft(3))

    scenario = replace(draw(3), quiet=10.0, duration=20.0)
    run = play_mutant(scenario)
    smaller = shrink(run, play_mutant, max_runs=12)
    assert smaller.violations and len(smaller.scenario.faults) < len(scenario.faults)


def test_region_rejoins_after_an_hour_cut_off() -> None:
    """The side without a majority must apply nothing while cut off, and then reach the others' state."""
    scenario = draw_partition(1)
    run = play(scenario, raft(1))
    assert run.violations == []
    inside = {name for name in scenario.voters if scenario.regions[name] == REGIONS[0]}
    settled, healed = CUT_OFF_AT_S + 10.0, CUT_OFF_AT_S + HOUR_S
    during = [state for state in run.history.states if settled < state.time < healed]
    assert during and not {state.place for state in during} & inside
    assert {final.voter for final in run.history.finals} == set(scenario.voters)
