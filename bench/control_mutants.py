"""Rules of the control log broken one at a time, for ``python -m bench.control mutants``.

Each mutant replaces a method of the consensus core while a run is played; the core itself is not changed.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from random import Random
from typing import Any
from unittest.mock import patch

import msgspec

from merlinbay.control.consensus import raft_state as raft_state_module
from merlinbay.control.consensus.election import Election
from merlinbay.control.consensus.follower_replication import FollowerReplication
from merlinbay.control.consensus.leadership import Leadership
from merlinbay.control.consensus.log import LogEntry
from merlinbay.control.consensus.membership import Configuration, VoterIdentity
from merlinbay.control.consensus.messages import AppendRequest, SnapshotRequest, VoteRequest
from merlinbay.control.consensus.progress import FollowerProgress, ReplicationMode
from merlinbay.control.consensus.raft_state import RaftState
from merlinbay.control.consensus.reconfiguration import Reconfiguration
from merlinbay.control.consensus.records import TermRecord
from merlinbay.control.consensus.replication import LeaderReplication
from merlinbay.control.consensus.requests import ClientRequests
from merlinbay.control.effects import Persist, VoterEffect
from merlinbay.control.entries import Change, ChangeResult
from merlinbay.control.keyspace import Keyspace
from merlinbay.control.simulation.scenario import ControlScenario, draw
from merlinbay.control.simulation.sequences import (
    handover_and_cut,
    overwritten_majority,
    voters_of_two_leaders,
)
from merlinbay.control.voter import Voter

HIGHEST = 2**62


@dataclass(frozen=True)
class Mutant:
    """A broken rule: what is replaced by what."""

    name: str
    patches: tuple[tuple[Any, str, Any], ...]
    draw: Callable[[int], ControlScenario] = draw  # some rules matter in rare sequences of events only
    one_entry_a_message: bool = False

    @contextmanager
    def applied(self) -> Iterator[None]:
        """Break the rule within the block."""
        with ExitStack() as stack:
            for target, attribute, replacement in self.patches:
                stack.enter_context(patch.object(target, attribute, replacement))
            yield


_would_grant = Election._would_grant
_apply = Keyspace.apply
_restore = Keyspace.restore
_take_effects = Voter.take_effects


def votes_again(self: Election, candidate: VoterIdentity, request: VoteRequest) -> bool:
    """Forget the vote of this term."""
    before, self.raft.voted_for = self.raft.voted_for, None
    granted = _would_grant(self, candidate, request)
    self.raft.voted_for = before
    return granted


def votes_for_any_log(self: Election, candidate: VoterIdentity, request: VoteRequest) -> bool:
    """Take the candidate's log for up to date."""
    return _would_grant(self, candidate, msgspec.structs.replace(request, last_term=HIGHEST))


def stores_no_vote(self: RaftState, term: int, voted_for: VoterIdentity | None) -> None:
    """Store the term without the vote in it."""
    if term != self.term:
        self._persist(TermRecord(term, None))
    self.term, self.voted_for = term, voted_for


def stores_no_term(self: RaftState, term: int, voted_for: VoterIdentity | None) -> None:
    """Store neither term nor vote."""
    self.term, self.voted_for = term, voted_for


def same_incarnation(random: Random, now: float) -> str:
    """Give each disk of a voter the same identity."""
    return "disk"


def goes_back(self: FollowerProgress, hint: int) -> None:
    """Send a receiver again what it had, as if it could have lost it."""
    if self.mode is not ReplicationMode.SNAPSHOT:
        self.match_index = min(self.match_index, hint)
        self.next_index = hint + 1
        self.enter(ReplicationMode.PROBE)


def counts_earlier_terms(self: LeaderReplication) -> int:
    """Commit whatever a majority stores, of any term."""
    reached = {name: float(one.match_index) for name, one in self.progress.items()}
    return max(int(self._reached(self.raft.log.last_index, reached)), self.raft.commit_index)


def answers_reads_at_once(self: ClientRequests) -> None:
    """Answer reads without asking whether somebody else leads meanwhile."""
    for read in self.reads:
        if self.raft.own_term_committed:
            read.round = 1
    confirmed, self.replication.confirmed_round = self.replication.confirmed_round, lambda: 1  # type: ignore[method-assign]
    _answer_reads(self)
    self.replication.confirmed_round = confirmed  # type: ignore[method-assign]


_answer_reads = ClientRequests.answer_reads


def reads_before_own_entry(self: ClientRequests) -> None:
    """Confirm reads before an entry of the own term is committed."""
    if self.reads and not self.reads[-1].round:
        begun = self.replication.begin_round()
        for read in self.reads:
            read.round = read.round or begun


def applies_repeats(self: Keyspace, change: Change) -> ChangeResult:
    """Apply a change again that was decided before."""
    self._decisions.pop(change.change_id, None)
    return _apply(self, change)


def compares_nothing(self: Keyspace, change: Change) -> ChangeResult:
    """Take no notice of the expected revision."""
    return _apply(self, msgspec.structs.replace(change, expected_revision=None))


def forgets_decisions(data: bytes) -> Keyspace:
    """Restore the keys without the ids of decided changes."""
    keyspace = _restore(data)
    keyspace._decisions.clear()
    return keyspace


def truncates(self: FollowerReplication, leader: str, request: AppendRequest) -> None:
    """Put the message's entries in place of all that follows, also where they are old and agree."""
    raft, previous = self.raft, request.previous_index
    if raft.log.term_at(previous) != request.previous_term:
        self._answer(leader, request, self._hint(previous), success=False)
        return
    if request.entries:
        raft.append(list(request.entries))
    matched = previous + len(request.entries)
    raft.commit_to(min(request.commit_index, matched))
    self._answer(leader, request, matched, success=True)


def commits_unmatched(self: FollowerReplication, leader: str, request: AppendRequest) -> None:
    """Commit as far as the leader has, also where the own entries were not compared with its."""
    _on_append(self, leader, request)
    if request.term == self.raft.term:
        self.raft.commit_to(min(request.commit_index, self.raft.log.last_index))


_on_append = FollowerReplication.on_append


def keeps_conflicting(self: FollowerReplication, entries: tuple[LogEntry, ...]) -> None:
    """Keep entries of another term that stand where new ones belong."""
    new = [entry for entry in entries if entry.index > self.raft.log.last_index]
    if new:
        self.raft.append(new)


def installs_older(self: FollowerReplication, leader: str, request: SnapshotRequest) -> None:
    """Install a snapshot that is older than the own state."""
    before, self.raft.commit_index = self.raft.commit_index, 0
    installed = self.raft.counters.snapshots_installed
    _on_snapshot(self, leader, request)
    if self.raft.counters.snapshots_installed == installed:
        self.raft.commit_index = before


_on_snapshot = FollowerReplication.on_snapshot


def drives_at_once(self: Reconfiguration) -> bool:
    """Change the voters while the last change of them is not committed."""
    self._answer_if_done()
    following = self._requested() or self._lost_disk() or self._joined()
    if following is None:
        return False
    self.replication.append(following)
    return True


def counts_lost_disks(
    self: LeaderReplication, sender: VoterIdentity, answered_round: int
) -> FollowerProgress | None:
    """Take a voter with a new disk for the one that it was, with all that it had."""
    progress = self.progress.get(sender.name)
    if progress is not None:
        progress.acked_round = max(progress.acked_round, answered_round)
    return progress


def sends_again(self: FollowerProgress, hint: int) -> None:
    """Go back below what the receiver had."""
    if self.mode is not ReplicationMode.SNAPSHOT:
        self.next_index = hint + 1
        self.enter(ReplicationMode.PROBE)


def votes_count_by_name(self: Election) -> bool:
    """Count a vote for the voter's name, whatever its disk has forgotten."""
    if self.founding:
        return {member.name for member in self.granted} >= set(self.founding)
    configuration = self.raft.log.configuration
    names = {member.name for member in self.granted}
    return len(names.intersection(configuration.names)) >= configuration.quorum


def endless_lease(self: Leadership) -> float:
    """Lead until somebody else is heard of."""
    return math.inf


def acknowledges_first(self: Voter) -> list[VoterEffect]:
    """Carry everything out before the records are stored."""
    effects = _take_effects(self)
    return sorted(effects, key=lambda effect: isinstance(effect, Persist))


def half(self: Configuration) -> int:
    """Return a quorum that another one need not meet."""
    return max(1, len(self.members) // 2)


MUTANTS = (
    Mutant("votes twice in a term", ((Election, "_would_grant", votes_again),)),
    Mutant("the vote is not stored", ((RaftState, "set_term", stores_no_vote),)),
    Mutant("neither term nor vote are stored", ((RaftState, "set_term", stores_no_term),)),
    Mutant("votes for a log that is not up to date", ((Election, "_would_grant", votes_for_any_log),)),
    Mutant(
        "a lost disk votes at once",
        (
            (raft_state_module, "new_incarnation", same_incarnation),
            (FollowerProgress, "disagreed", goes_back),
        ),
    ),
    Mutant("half is a majority", ((Configuration, "quorum", property(half)),)),
    Mutant(
        "commits entries of earlier terms by counting",
        ((LeaderReplication, "committable", counts_earlier_terms),),
        overwritten_majority,
        one_entry_a_message=True,
    ),
    Mutant(
        "reads rest on the lease",
        ((ClientRequests, "answer_reads", answers_reads_at_once),),
        handover_and_cut,
    ),
    Mutant(
        "reads rest on having led, also after being stopped",
        (
            (ClientRequests, "answer_reads", answers_reads_at_once),
            (Leadership, "lease_until", property(endless_lease)),
        ),
    ),
    Mutant(
        "reads before an entry of the own term", ((ClientRequests, "begin_reads", reads_before_own_entry),)
    ),
    Mutant("a repeated change is applied again", ((Keyspace, "apply", applies_repeats),)),
    Mutant("the expected revision is not compared", ((Keyspace, "apply", compares_nothing),)),
    Mutant("a snapshot drops the ids of changes", ((Keyspace, "restore", forgets_decisions),)),
    Mutant("a follower truncates committed entries", ((FollowerReplication, "on_append", truncates),)),
    Mutant(
        "a follower commits what it has not compared",
        ((FollowerReplication, "on_append", commits_unmatched),),
    ),
    Mutant("a follower keeps conflicting entries", ((FollowerReplication, "_add", keeps_conflicting),)),
    Mutant("a follower installs an older snapshot", ((FollowerReplication, "on_snapshot", installs_older),)),
    Mutant(
        "two changes of voters at once", ((Reconfiguration, "drive", drives_at_once),), voters_of_two_leaders
    ),
    Mutant("votes count by name, also of a lost disk", ((Election, "is_won", votes_count_by_name),)),
    Mutant(
        "what a lost disk had stored still counts",
        ((LeaderReplication, "_answered", counts_lost_disks), (FollowerProgress, "disagreed", sends_again)),
    ),
    Mutant("acknowledges before records are stored", ((Voter, "take_effects", acknowledges_first),)),
)
