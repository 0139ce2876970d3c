"""Checks the history of a simulation run after the run has ended.

Each check is a function that yields one text for each fault that it finds. All checks run over every history,
also when an earlier one has found a fault.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from merlinbay.control.entries import ChangeApplied, ChangeRejected
from merlinbay.control.simulation.history import (
    EntrySeen,
    History,
    LogSeen,
    Operation,
    ProposalAttempt,
    StateSeen,
)
from merlinbay.control.simulation.linearizability import Verdict, check_key

FINAL_REASONS = ("conflict", "invalid")  # repeating the change cannot lead to another result


@dataclass(frozen=True)
class Violation:
    """A fault in a history: the name of the check that found it, and a description."""

    check: str
    detail: str


def one_leader_per_term(history: History) -> Iterator[str]:
    """Check that at most one voter leads in a term."""
    leaders: dict[int, str] = {}
    for seen in history.leaders:
        first = leaders.setdefault(seen.term, seen.voter)
        if first != seen.voter:
            yield f"term {seen.term} is led by {first} and, at {seen.time:.3f}, by {seen.voter}"


def one_vote_per_term(history: History) -> Iterator[str]:
    """Check that a voter votes for at most one candidate in a term, as long as it keeps its disk."""
    votes: dict[tuple[str, int], str] = {}
    for seen in history.votes:
        first = votes.setdefault((seen.voter, seen.term), seen.candidate)
        if first != seen.candidate:
            yield f"{seen.voter} votes in term {seen.term} for {first} and for {seen.candidate}"


def log_matching(history: History) -> Iterator[str]:
    """Check that entries of the same index and term have the same content and follow the same term."""
    contents: dict[tuple[int, int], EntrySeen] = {}
    previous: dict[tuple[int, int], EntrySeen] = {}
    for seen in history.entries:
        first = contents.setdefault((seen.index, seen.term), seen)
        if first.content != seen.content:
            yield f"entry {seen.index} of term {seen.term} differs between {first.voter} and {seen.voter}"
        if seen.previous_term is None:
            continue
        first = previous.setdefault((seen.index, seen.term), seen)
        if first.previous_term != seen.previous_term:
            yield f"before entry {seen.index} of term {seen.term}, {first.voter} and {seen.voter} differ"


def committed_entries_stay(history: History) -> Iterator[str]:
    """Check that a committed entry is the same at all voters, and that no voter's log loses it again."""
    committed: dict[int, EntrySeen] = {}
    for seen in history.entries:
        if not seen.committed:
            continue
        first = committed.setdefault(seen.index, seen)
        if (first.term, first.content) != (seen.term, seen.content):
            yield (
                f"committed entry {seen.index} is of term {first.term} at {first.voter} "
                f"and of term {seen.term} at {seen.voter}"
            )
    highest_commit: dict[tuple[str, int], int] = {}
    for log in history.logs:
        before = highest_commit.get((log.voter, log.disk), 0)
        if log.last_index < before:
            yield f"{log.voter} has committed {before} and at {log.time:.3f} its log ends at {log.last_index}"
        highest_commit[log.voter, log.disk] = max(before, log.commit_index)


def leader_completeness(history: History) -> Iterator[str]:
    """Check that the log of a leader reaches to the last entry committed in an earlier term."""
    committed_by: dict[int, int] = {}  # by index, the earliest term of a voter that had it committed
    for entry in history.entries:
        if entry.committed:
            before = committed_by.get(entry.index, entry.voter_term)
            committed_by[entry.index] = min(before, entry.voter_term)
    for leader in history.leaders:
        needed = max((index for index, term in committed_by.items() if term < leader.term), default=0)
        if leader.last_index < needed:
            yield f"{leader.voter} leads term {leader.term} without the committed entry {needed}"


def revision_names_one_state(history: History) -> Iterator[str]:
    """Check that all voters and followers have the same keys at the same revision."""
    first: dict[int, StateSeen] = {}
    for seen in (*history.states, *history.followers):
        reference = first.setdefault(seen.revision, seen)
        if reference.digest != seen.digest:
            yield f"revision {seen.revision} differs between {reference.place} and {seen.place}"


def commit_index_names_one_state(history: History) -> Iterator[str]:
    """Check that voters with the same commit index have the same state, ids of changes included."""
    first: dict[int, LogSeen] = {}
    for seen in history.logs:
        reference = first.setdefault(seen.commit_index, seen)
        if reference.state_digest != seen.state_digest:
            yield f"the state at commit index {seen.commit_index} differs: {reference.voter}, {seen.voter}"


def voters_go_forward(history: History) -> Iterator[str]:
    """Check that the commit index of a voter never decreases while it runs."""
    latest: dict[tuple[str, int], int] = {}
    for seen in history.logs:
        before = latest.get((seen.voter, seen.start), 0)
        if seen.commit_index < before:
            yield f"{seen.voter} went from commit index {before} to {seen.commit_index} at {seen.time:.3f}"
        latest[seen.voter, seen.start] = max(before, seen.commit_index)


def followers_go_forward(history: History) -> Iterator[str]:
    """Check that the revision at a follower never decreases."""
    latest: dict[str, int] = {}
    for seen in history.followers:
        before = latest.get(seen.place, 0)
        if seen.revision < before:
            yield f"{seen.place} went from revision {before} to {seen.revision} at {seen.time:.3f}"
        latest[seen.place] = max(before, seen.revision)


def acknowledged_changes_stay(history: History) -> Iterator[str]:
    """Check that an acknowledged change made its revision, and that the final states contain it."""
    by_revision = {seen.entry.revision: seen.entry for seen in history.applied}
    for change_id, result, key, value in _acknowledged(history):
        applied_entry = by_revision.get(result.revision)
        if applied_entry is not None and (applied_entry.key, applied_entry.value) != (key, value):
            yield f"{change_id} was acknowledged as revision {result.revision}, made by {applied_entry.key}"
        for final in history.finals:
            if final.revision < result.revision:
                yield f"{change_id} is revision {result.revision}; {final.voter} ends at {final.revision}"
                continue
            last = next((entry for entry in final.entries if entry.key == key), None)
            if last is None and value is not None and not _deleted_later(history, key, result.revision):
                yield f"{change_id} wrote {key}, which {final.voter} does not have at the end"
            elif last is not None and last.revision < result.revision:
                yield f"{key} at {final.voter} is older than the acknowledged {change_id}"


def _acknowledged(history: History) -> Iterator[tuple[str, ChangeApplied, str, bytes | None]]:
    for operation in history.operations:
        if operation.change is not None and isinstance(operation.result, ChangeApplied):
            yield operation.change.change_id, operation.result, operation.key, operation.change.value


def _deleted_later(history: History, key: str, revision: int) -> bool:
    return any(
        seen.entry.key == key and seen.entry.value is None and seen.entry.revision > revision
        for seen in history.applied
    )


def changes_are_applied_once(history: History) -> Iterator[str]:
    """Check that a change has one revision, both in all its answers and among the applied entries."""
    acknowledged: dict[str, int] = {}
    for attempt in history.attempts:
        if isinstance(attempt.result, ChangeApplied):
            first = acknowledged.setdefault(attempt.change.change_id, attempt.result.revision)
            if first != attempt.result.revision:
                yield f"{attempt.change.change_id} is revision {first} and {attempt.result.revision}"
    by_value: dict[bytes, int] = {}
    for seen in history.applied:
        if seen.entry.value is not None:
            first = by_value.setdefault(seen.entry.value, seen.entry.revision)
            if first != seen.entry.revision:
                yield f"{seen.entry.value.decode()} was applied as {first} and as {seen.entry.revision}"


def rejected_changes_have_no_effect(history: History) -> Iterator[str]:
    """Check that a change is never applied if its rejection was final or every attempt was rejected."""
    values = {seen.entry.value for seen in history.applied}
    by_change: dict[str, list[ProposalAttempt]] = defaultdict(list)
    for attempt in history.attempts:
        by_change[attempt.change.change_id].append(attempt)
    for change_id, attempts in by_change.items():
        results = [attempt.result for attempt in attempts]
        rejected = [result for result in results if isinstance(result, ChangeRejected)]
        final = any(result.reason in FINAL_REASONS for result in rejected)
        effect = attempts[0].change.value in values - {None}
        acknowledged = any(isinstance(result, ChangeApplied) for result in results)
        if (final or len(rejected) == len(results)) and (effect or acknowledged):
            yield f"{change_id} was rejected and took effect: {[result.reason for result in rejected]}"


def attempts_are_answered_once(history: History) -> Iterator[str]:
    """Check that a voter answers a proposal at most once."""
    for attempt in history.attempts:
        if attempt.answers > 1:
            yield f"{attempt.voter} answered {attempt.change.change_id} {attempt.answers} times"


def linearizable_by_key(history: History) -> Iterator[str]:
    """Check that each key is a linearizable register with compare-and-set."""
    uncertain = _uncertain_changes(history)
    by_key: dict[str, list[Operation]] = defaultdict(list)
    for operation in history.operations:
        change = operation.change
        # Leaves out open changes that had no effect: every attempt was rejected, or none reached a voter.
        # ``rejected_changes_have_no_effect`` checks the rejected ones.
        if operation.is_complete or change is None or change.change_id in uncertain:
            by_key[operation.key].append(operation)
    for key, operations in by_key.items():
        verdict = check_key(operations)
        if verdict is not Verdict.LINEARIZABLE:
            yield f"{key}: {verdict.value} ({len(operations)} operations)"


def _uncertain_changes(history: History) -> set[str]:
    """Return the ids of changes that reached a voter and were not rejected in at least one attempt."""
    return {
        attempt.change.change_id
        for attempt in history.attempts
        if not isinstance(attempt.result, ChangeRejected)
    }


def voters_agree_at_the_end(history: History) -> Iterator[str]:
    """Check that all voters reach the same state after the faults and that changes are applied again."""
    if not history.expected_finals:
        return
    if len(history.finals) < history.expected_finals:
        yield f"{len(history.finals)} of {history.expected_finals} voters run at the end"
    if len({(final.revision, final.digest) for final in history.finals}) > 1:
        yield f"the voters end at revisions {sorted(final.revision for final in history.finals)}"
    for final in history.finals:
        if not final.admitted:
            yield f"{final.voter} has no vote at the end"
    final_operations = [operation for operation in history.operations if operation.client == "final"]
    if not all(operation.is_complete for operation in final_operations):
        yield "the log takes no changes or reads after the faults"


def the_code_runs_on(history: History) -> Iterator[str]:
    """Check that the code under test raised no exception and kept within the limit of steps.

    The limit catches voters that answer each other endlessly.
    """
    yield from history.failures


CHECKS: tuple[Callable[[History], Iterator[str]], ...] = (
    the_code_runs_on,
    one_leader_per_term,
    one_vote_per_term,
    log_matching,
    committed_entries_stay,
    leader_completeness,
    revision_names_one_state,
    commit_index_names_one_state,
    voters_go_forward,
    followers_go_forward,
    acknowledged_changes_stay,
    changes_are_applied_once,
    rejected_changes_have_no_effect,
    attempts_are_answered_once,
    linearizable_by_key,
    voters_agree_at_the_end,
)


def check(history: History) -> list[Violation]:
    """Return all violations of a history."""
    return [Violation(rule.__name__, detail) for rule in CHECKS for detail in rule(history)]
