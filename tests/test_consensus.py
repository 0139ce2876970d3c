"""Tests of ``merlinbay.control.voter``: the rules of Raft at one voter, and the behaviour of a cluster."""

from __future__ import annotations

import math
from random import Random
from typing import Any

import pytest

from merlinbay.control.consensus import messages as wire
from merlinbay.control.consensus import records
from merlinbay.control.consensus.log import LogEntry
from merlinbay.control.consensus.membership import Configuration, VoterIdentity
from merlinbay.control.consensus.raft_state import new_incarnation
from merlinbay.control.effects import Persist, ProposalDone, ReadDone, SendMessage
from merlinbay.control.entries import Change, ChangeApplied, ChangeRejected, ChangeResult, ChangeUncertain
from merlinbay.control.voter import CorruptRecordsError, Voter, VoterRole, VoterSettings
from tests.consensus_cluster import NAMES, Cluster, FaultSequence, settings

LATER = 100.0  # a time after every election timeout


def disk(name: str) -> VoterIdentity:
    """Return a voter's identity with the first disk that it has in these tests."""
    return VoterIdentity(name, f"disk-{name}")


def entry(index: int, term: int) -> LogEntry:
    """Return an entry whose change id contains its index and term."""
    return LogEntry(index, term, Change(f"{index}-{term}", "k", b"x"))


def stored(
    *terms: int, term: int = 0, commit: int = 0, own_name: str = "a", names: str = "abc"
) -> list[bytes]:
    """Return the records of a voter whose log has a configuration and entries of these terms after it."""
    first = LogEntry(1, 1, Configuration(tuple(disk(name) for name in names)))
    entries = [first, *(entry(index, entry_term) for index, entry_term in enumerate(terms, 2))]
    contents: list[records.VoterRecord] = [
        records.IdentityRecord(disk(own_name)),
        records.TermRecord(max(term, *terms, 1), None),
        records.EntriesRecord(commit, entries),
    ]
    return [records.encode_record(record) for record in contents]


class VoterHarness:
    """One voter and its disk. The test sends the messages of all other voters."""

    def __init__(self, stored_records: list[bytes], name: str = "a", **overrides: Any) -> None:
        self.records, self.now = stored_records, 0.0
        self.voter = Voter(name, settings(("a", "b", "c"), **overrides), stored_records, Random(1), 0.0)
        self.answers: dict[int, ChangeResult] = {}
        self.reads: dict[int, ReadDone] = {}
        self.carry_out()

    def carry_out(self) -> list[tuple[str, wire.VoterMessage]]:
        """Carry out the effects and return the sent messages; check that what each rests on is stored."""
        sent: list[tuple[str, wire.VoterMessage]] = []
        for effect in self.voter.take_effects():
            if isinstance(effect, Persist):
                self.records = [*([] if effect.replaces_all else self.records), effect.record]
            elif isinstance(effect, ProposalDone):
                self.answers[effect.token] = effect.result
            elif isinstance(effect, ReadDone):
                self.reads[effect.token] = effect
            elif isinstance(effect, SendMessage):
                sent.append((effect.receiver, wire.decode(effect.message).message))
                self.check_stored(sent[-1][1])
        return sent

    def check_stored(self, message: wire.VoterMessage) -> None:
        """Check that the vote, term or entries on which a message rests would survive a crash now."""
        state = records.load("a", self.records)
        match message:
            case wire.VoteResponse(granted=True, pre=False):
                assert (state.term, state.voted_for) == (message.term, message.candidate)
            case wire.VoteRequest(pre=False):
                assert (state.term, state.voted_for) == (message.term, state.identity)
            case wire.AppendResponse(success=True):
                assert state.log.last_index >= message.index
            case wire.AppendRequest(entries=(*_, last)):
                assert state.log.last_index >= last.index

    def deliver(self, sender: str, message: wire.VoterMessage, incarnation: str = "") -> list[Any]:
        """Deliver a message to the voter; return what it sends to the sender."""
        self.voter.receive(self.now, sender, wire.encode(incarnation or f"disk-{sender}", message))
        return [sent for receiver, sent in self.carry_out() if receiver == sender]

    def append(
        self, previous: tuple[int, int], *entries: LogEntry, term: int = 9, commit: int = 0
    ) -> wire.AppendResponse:
        """Deliver entries of the leader ``b`` to the voter; return its response."""
        (answer,) = self.deliver("b", wire.AppendRequest(term, 1, *previous, commit, entries))
        assert isinstance(answer, wire.AppendResponse)
        return answer

    def terms(self) -> list[int]:
        """Return the terms of the entries in the voter's log."""
        return [stored_entry.term for stored_entry in self.voter._raft.log.entries_from(1)]

    @property
    def roles(self) -> list[VoterRole]:
        """Return the voter's role, in a list."""
        return [self.voter.role]

    def win_election(self, granting: str = "b") -> None:
        """Let the voter win an election with the votes of ``granting``."""
        self.now = LATER
        self.voter.tick(self.now)
        for pre in (True, False):
            term = self.voter.term + pre
            for name in granting:
                self.deliver(name, wire.VoteResponse(term, disk("a"), True, pre))
        assert self.voter.role is VoterRole.LEADER

    def acknowledge(self, sender: str, index: int, incarnation: str = "") -> list[Any]:
        """Respond as a follower whose log matches up to ``index``."""
        leadership = self.voter._leadership
        assert leadership is not None
        answer = wire.AppendResponse(self.voter.term, leadership.replication.round, index, True)
        return self.deliver(sender, answer, incarnation)


# Votes.


def test_voter_votes_once_per_term_even_after_restart() -> None:
    """Two votes in one term could elect two leaders.

    After a restart too, only the same candidate gets the vote again, not the same name with another disk.
    """
    harness = VoterHarness(stored())
    harness.now = LATER
    assert harness.deliver("b", wire.VoteRequest(5, 9, 4)) == [wire.VoteResponse(5, disk("b"), True)]
    assert harness.voter.next_deadline() > LATER  # granting a vote restarts the election timeout
    for started in (harness, VoterHarness(harness.records)):
        started.now = 2 * LATER
        assert started.deliver("c", wire.VoteRequest(5, 9, 4))[0].granted is False
        assert started.deliver("b", wire.VoteRequest(5, 9, 4), "disk-b2")[0].granted is False
        assert started.deliver("b", wire.VoteRequest(5, 9, 4))[0].granted is True


@pytest.mark.parametrize("pre", [True, False])
@pytest.mark.parametrize(
    ("last_index", "last_term", "granted"),
    [(4, 3, True), (5, 3, True), (3, 4, True), (3, 3, False), (9, 2, False)],
)
def test_a_vote_needs_an_up_to_date_log(last_index: int, last_term: int, granted: bool, pre: bool) -> None:
    """A leader whose log lacks committed entries would lose them.

    Logs are compared by their last term, then by their length.
    """
    harness = VoterHarness(stored(1, 2, 3))
    harness.now = LATER
    assert harness.deliver("b", wire.VoteRequest(7, last_index, last_term, pre))[0].granted is granted


def test_preliminary_vote_changes_no_state() -> None:
    """A preliminary vote neither changes the term nor keeps the voter from voting for other candidates."""
    harness = VoterHarness(stored(term=4))
    harness.now = LATER
    assert harness.deliver("b", wire.VoteRequest(5, 9, 4, pre=True))[0].granted is True
    assert harness.deliver("b", wire.VoteRequest(4, 9, 4, pre=True))[0].granted is False
    assert harness.voter.term == 4
    assert harness.deliver("c", wire.VoteRequest(5, 9, 4))[0].granted is True


def test_voter_that_hears_a_leader_rejects_other_candidates() -> None:
    """A voter that is cut off must not depose a working leader, so the term is not adopted either.

    A leadership transfer, which the leader asked for, is the exception.
    """
    harness = VoterHarness(stored())
    harness.append((1, 1))
    for pre in (True, False):
        assert harness.deliver("c", wire.VoteRequest(12, 9, 9, pre))[0].granted is False
    assert harness.voter.term == 9
    assert harness.deliver("c", wire.VoteRequest(12, 9, 9, transfer=True))[0].granted is True


@pytest.mark.parametrize(
    ("sender", "incarnation", "candidate", "term"),
    [
        ("c", "disk-c2", disk("a"), 2),  # lost its disk, so it is not the voter that the log names
        ("x", "disk-x", disk("a"), 2),
        ("c", "disk-c", VoterIdentity("a", "disk-a0"), 2),  # a vote for a disk that the candidate has lost
        ("c", "disk-c", disk("a"), 1),
    ],
)
def test_vote_from_or_for_another_identity_is_ignored(
    sender: str, incarnation: str, candidate: VoterIdentity, term: int
) -> None:
    """Only votes of the disks in the configuration, and for this candidacy, count towards a majority."""
    harness = VoterHarness(stored())
    harness.now = LATER
    harness.voter.tick(LATER)
    harness.deliver("b", wire.VoteResponse(2, disk("a"), True, pre=True))
    assert harness.roles == [VoterRole.CANDIDATE]
    harness.deliver(sender, wire.VoteResponse(term, candidate, True), incarnation)
    assert harness.roles == [VoterRole.CANDIDATE]
    harness.deliver("c", wire.VoteResponse(2, disk("a"), True))
    assert harness.roles == [VoterRole.LEADER]


# Entries.


def test_append_rejects_mismatch_of_previous_entry() -> None:
    """Entries after a missing or different entry would leave logs that differ.

    The response contains the index where the logs may match; a leader of an older term learns the new one.
    """
    harness = VoterHarness(stored(1, 3, 3, 3))
    assert harness.append((9, 8)) == wire.AppendResponse(9, 1, 5, False)
    assert harness.append((5, 4)) == wire.AppendResponse(9, 1, 2, False)
    assert harness.terms() == [1, 1, 3, 3, 3]
    assert harness.append((5, 3), term=8) == wire.AppendResponse(9, 1, 0, False)


def test_append_replaces_only_conflicting_entries() -> None:
    """A late message with few entries must not remove later entries that were acknowledged since."""
    harness = VoterHarness(stored(1, 2, 2))
    assert harness.append((1, 1), entry(2, 1)) == wire.AppendResponse(9, 1, 2, True)
    assert harness.terms() == [1, 1, 2, 2]
    assert harness.append((2, 1), entry(3, 4), entry(4, 5)).index == 4
    assert harness.terms() == [1, 1, 4, 5]
    assert VoterHarness(harness.records).terms() == [1, 1, 4, 5]


def test_commit_index_stays_within_matched_entries() -> None:
    """Entries after the last one of a message may not be the leader's, so they must not be committed."""
    harness = VoterHarness(stored(1, 2, 2))
    harness.append((1, 1), entry(2, 1), commit=4)
    assert (harness.voter.commit_index, harness.voter.keyspace.revision) == (2, 1)
    harness.append((0, 0))  # an earlier message that is repeated
    assert (harness.voter.commit_index, harness.terms()) == (2, [1, 1, 2, 2])
    harness.append((4, 2), entry(5, 9))
    assert VoterHarness(harness.records).voter.commit_index == 2


def test_truncated_configuration_is_no_longer_in_force() -> None:
    """Replacing the entry of a configuration brings back the one before, also after a restart."""
    harness = VoterHarness(stored())
    harness.append((1, 1), LogEntry(2, 2, Configuration((disk("a"), disk("b")))))
    assert "c" not in harness.voter.voters
    harness.append((1, 1), entry(2, 3))
    assert "c" in harness.voter.voters and "c" in VoterHarness(harness.records).voter.voters


def test_late_append_before_snapshot_is_acknowledged() -> None:
    """A late message may contain entries that are compacted. They are committed, so they match."""
    harness = VoterHarness(stored())
    harness.append((1, 1), *(entry(index, 2) for index in range(2, 41)), commit=40)
    assert harness.voter._raft.log.base_index == 32
    assert harness.append((1, 1), entry(2, 2)) == wire.AppendResponse(9, 1, 40, True)
    assert harness.append((39, 2), entry(40, 2), entry(41, 2)) == wire.AppendResponse(9, 1, 41, True)
    assert VoterHarness(harness.records).voter.last_index == 41


def snapshot_of(last: int) -> bytes:
    """Return a snapshot of the log that ``stored`` and ``entry`` make, up to the index ``last``."""
    harness = VoterHarness(stored())
    harness.append((1, 1), *(entry(index, 2) for index in range(2, last + 1)), commit=last)
    configuration = harness.voter._raft.log.configuration
    return records.encode_snapshot(
        records.SnapshotData(last, 2, configuration, harness.voter.keyspace.snapshot())
    )


def test_snapshot_keeps_acknowledged_entries() -> None:
    """Dropping entries that were acknowledged could undo a commit.

    Entries after the snapshot stay if the log matches its last entry. A repeated snapshot is not installed
    again.
    """
    request = wire.SnapshotRequest(9, 1, 5, 0, snapshot_of(5), done=True)
    for terms, last in (((2, 2, 2, 2, 2), 6), ((2, 2, 2, 1, 1), 5)):
        harness = VoterHarness(stored(*terms))
        for _ in range(2):
            (answer,) = harness.deliver("b", request)
            assert answer.installed
        assert harness.voter.counters.snapshots_installed == 1
        for voter in (harness.voter, VoterHarness(harness.records).voter):
            assert (voter.commit_index, voter.last_index, voter.keyspace.revision) == (5, last, 4)


def test_snapshot_chunks_are_assembled_in_order() -> None:
    """Chunks that arrive early or twice change nothing; a snapshot that is invalid is dropped and counted."""
    harness, data = VoterHarness(stored()), snapshot_of(5)
    for offset, end, received in ((0, 10, 10), (20, 30, 10), (0, 10, 10), (10, 20, 20)):
        (answer,) = harness.deliver("b", wire.SnapshotRequest(9, 1, 5, offset, data[offset:end], done=False))
        assert (answer.received, answer.installed) == (received, False)
    (answer,) = harness.deliver("b", wire.SnapshotRequest(9, 1, 5, 20, data[20:], done=True))
    assert answer.installed
    assert harness.deliver("b", wire.SnapshotRequest(9, 1, 9, 0, b"junk", done=True)) == []
    assert harness.voter.counters.impossible_messages == 1


def test_a_leader_commits_only_by_entries_of_its_term() -> None:
    """An entry of an older term may still be replaced although a majority stores it (figure 3.7)."""
    harness = VoterHarness(stored(2))
    harness.win_election()
    assert harness.voter.term == 3
    harness.acknowledge("b", 2)
    assert harness.voter.commit_index == 0
    harness.acknowledge("b", 3)
    assert harness.voter.commit_index == 3


def test_an_acknowledgement_counts_for_its_disk_only() -> None:
    """Counting what a lost disk stored could commit entries that no majority holds.

    A new disk of the same voter starts without entries; a late response of the lost one is dropped.
    """
    harness = VoterHarness(stored())
    harness.win_election()
    harness.acknowledge("b", 2, "disk-b2")
    assert harness.voter.commit_index == 0
    harness.acknowledge("b", 2)
    assert harness.voter.commit_index == 0
    harness.acknowledge("c", 2)
    assert harness.voter.commit_index == 2 and harness.voter.joining == ("b",)


def test_late_responses_do_not_reduce_progress() -> None:
    """Late responses, with a lower index or a rejection, must not lower the match index."""
    harness = VoterHarness(stored(1, names="abcde"))
    harness.win_election("bc")
    harness.acknowledge("b", 3)
    harness.acknowledge("b", 2)
    harness.deliver("b", wire.AppendResponse(2, 1, 0, False))
    harness.voter.propose(harness.now, Change("x", "k", b""), 1)
    sent = [message for receiver, message in harness.carry_out() if receiver == "b"]
    assert [request.previous_index for request in sent if isinstance(request, wire.AppendRequest)] == [3]
    harness.acknowledge("c", 3)
    assert harness.voter.commit_index == 3


def test_batches_are_bounded_in_size_and_number() -> None:
    """A follower that does not answer receives few batches, each of a bounded number of bytes."""
    harness = VoterHarness(stored(), max_messages_in_flight=3)
    harness.win_election()
    harness.acknowledge("b", 2)
    for token in range(40):
        harness.voter.propose(harness.now, Change(f"{token}", "k", bytes(400)), token)
    sent = [message for receiver, message in harness.carry_out() if receiver == "b"]
    assert [len(request.entries) for request in sent if isinstance(request, wire.AppendRequest)] == [1, 1, 1]
    assert all(len(wire.encode("", outgoing)) < 1200 for outgoing in sent)


@pytest.mark.parametrize("term", [9, 10])
def test_leader_steps_down_only_for_a_newer_term(term: int) -> None:
    """A message of another leader in the same term is impossible; it is dropped and counted."""
    harness = VoterHarness(stored(term=8))
    harness.win_election()
    harness.voter.propose(harness.now, Change("1", "k", b""), 1)
    harness.append((1, 1), term=term) if term > 9 else harness.deliver("b", wire.AppendRequest(9, 1, 1, 1, 0))
    assert harness.voter.role is (VoterRole.FOLLOWER if term > 9 else VoterRole.LEADER)
    assert harness.answers == ({1: ChangeUncertain()} if term > 9 else {})
    assert harness.voter.counters.impossible_messages == (term == 9)


# Requests.


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (Change("", "k", b""), "invalid"),
        (Change("1", "", b""), "invalid"),
        (Change("1", "\ud800", b""), "invalid"),
        (Change("1", "k", bytes(601)), "invalid"),
        (Change("1", "k", b"", -1), "invalid"),
        (Change("1", "k", b""), "overloaded"),
    ],
)
def test_invalid_or_excess_change_is_rejected(change: Change, reason: str) -> None:
    """Invalid changes, and those beyond ``max_proposals``, are rejected before they enter the log."""
    harness = VoterHarness(stored(), max_proposals=2)
    harness.win_election()
    harness.voter.propose(harness.now, Change("a", "k", b""), 1)
    harness.voter.propose(harness.now, Change("b", "k", b""), 2)
    harness.voter.propose(harness.now, change, 3)
    harness.carry_out()
    result = harness.answers[3]
    assert isinstance(result, ChangeRejected) and result.reason == reason


def test_log_entries_and_pending_reads_are_bounded() -> None:
    """While nothing can be committed, further requests must not fill the memory."""
    harness = VoterHarness(stored(), max_log_entries=30, max_reads=2)
    harness.win_election()
    for token in range(40):
        harness.voter.propose(harness.now, Change(f"{token}", "k", b""), token)
        harness.voter.read(harness.now, "k", token)
    harness.carry_out()
    assert sorted(harness.answers) == list(range(28, 40)) and sorted(harness.reads) == list(range(2, 40))
    assert all(
        isinstance(result, ChangeRejected) and result.reason == "overloaded"
        for result in harness.answers.values()
    )


def test_proposal_is_answered_at_its_deadline() -> None:
    """A client gets an answer even while a majority confirms the leader but stores nothing."""
    cluster = Cluster(names=("a", "b", "c"))
    leader = cluster.leader()
    token = cluster.propose(leader, "k")
    leadership = cluster.voters[leader]._leadership
    assert leadership is not None
    for progress in leadership.replication.progress.values():
        progress.probe_sent = True
    leadership.replication.committable = lambda: 0  # type: ignore[method-assign]
    assert cluster.run(4, lambda: token in cluster.results)
    assert cluster.results[token] == ChangeUncertain()


def test_repeated_changes_and_compare_and_set() -> None:
    """A repeat gets the first result, even a conflict. Of two changes to one revision, one is applied."""
    cluster = Cluster()
    assert cluster.commit("k", "1", change_id="x") == ChangeApplied(1)
    assert cluster.commit("k", "2", expected_revision=0, change_id="y") == ChangeRejected(
        "conflict", current_revision=1
    )
    leader = cluster.leader()
    tokens = [cluster.propose(leader, "k", str(number), expected_revision=1) for number in (3, 4)]
    tokens += [cluster.propose(leader, "k", "1", change_id="x"), cluster.propose(leader, "k", change_id="y")]
    cluster.run(1)
    assert [cluster.results[token] for token in tokens] == [
        ChangeApplied(2),
        ChangeRejected("conflict", current_revision=2),
        ChangeApplied(1),
        ChangeRejected("conflict", current_revision=1),
    ]


# Faults in a cluster.


def test_idle_traffic_is_heartbeats_and_lost_leader_is_replaced() -> None:
    """An idle leader sends five heartbeats a second to each voter.

    A lost leader is replaced within twice the election timeout and some round trips.
    """
    cluster = Cluster()
    assert cluster.commit("k", "1") == ChangeApplied(1)
    cluster.run(1)
    assert {voter.keyspace.revision for voter in cluster.voters.values()} == {1}
    cluster.sent.clear()
    cluster.run(10)
    leader = cluster.leader()
    assert all(45 <= sent <= 55 for name, sent in cluster.sent.items() if name != leader)
    cluster.crash(leader)
    before = cluster.now
    assert cluster.leader() != leader and cluster.now - before < 3.0


def test_a_read_waits_for_an_entry_of_the_leaders_term() -> None:
    """A new leader may not know all commits before it commits an entry itself; reads would be stale.

    A read that waits for this too long fails.
    """
    harness = VoterHarness(stored(1, 2))
    harness.win_election()
    harness.voter.read(harness.now, "k", 1)
    harness.acknowledge("b", 1)
    harness.acknowledge("b", 1)
    assert 1 not in harness.reads
    harness.acknowledge("b", 4)  # begins the read's round
    harness.acknowledge("b", 4)
    assert harness.reads[1].revision == 2 and not harness.reads[1].failed
    harness = VoterHarness(stored(1, 2))
    harness.win_election()
    harness.voter.read(harness.now, "k", 2)
    for _ in range(8):
        harness.acknowledge("b", 1)
        harness.now += 0.5
        harness.voter.tick(harness.now)
        harness.carry_out()
    assert harness.roles == [VoterRole.LEADER] and harness.reads[2].failed


@pytest.mark.parametrize("request_first", [True, False])
def test_leader_paused_for_20_s_answers_no_stale_read(request_first: bool) -> None:
    """A leader that was paused and replaced must not answer from its old state.

    This holds whether a new request or the messages that arrived meanwhile are processed first.
    """
    cluster = Cluster(names=("a", "b", "c"))
    cluster.commit("k", "old")
    leader = cluster.leader()
    before = [cluster.read(leader, "k"), cluster.propose(leader, "k", "before")]
    cluster.paused[leader] = []
    cluster.run(20)
    assert isinstance(cluster.commit("k", "new"), ChangeApplied)
    cluster.cut_off({leader})
    waiting, cluster.paused[leader] = cluster.paused[leader], []
    if not request_first:
        cluster.paused[leader] = waiting
    cluster.resume(leader)
    after = [cluster.read(leader, "k"), cluster.propose(leader, "k", "late")]
    cluster.run(0)
    assert cluster.reads[before[0]].failed and cluster.reads[after[0]].failed
    assert cluster.results[before[1]] == ChangeUncertain()
    assert isinstance(cluster.results[after[1]], ChangeRejected)


def test_a_read_waits_for_a_round_that_began_after_it() -> None:
    """Responses to earlier heartbeats do not confirm a read, although the lease has not ended."""
    cluster = Cluster(names=("a", "b", "c"))
    cluster.commit("k", "1")
    leader = cluster.leader()
    cluster.run(1)
    cluster.cut_off({leader})
    token = cluster.read(leader, "k")
    assert cluster.voters[leader].lease_until > cluster.clock(leader) and token not in cluster.reads
    assert cluster.run(2, lambda: token in cluster.reads) and cluster.reads[token].failed


@pytest.mark.parametrize("heard", [True, False])
def test_leader_with_one_way_links_is_replaced(heard: bool) -> None:
    """A leader that only receives, or is only received, must not block changes: another one replaces it."""
    cluster = Cluster()
    leader = cluster.leader()
    others = set(NAMES) - {leader}
    cluster.cut = {(leader, name) if not heard else (name, leader) for name in others}
    assert cluster.run(4, lambda: cluster.voters[leader].role is not VoterRole.LEADER)
    assert cluster.commit("k") == ChangeApplied(1)


def test_voter_that_does_not_hear_the_leader_raises_no_term() -> None:
    """A voter that loses only the leader's messages must not depose it, during the cut or after it."""
    cluster = Cluster()
    leader = cluster.leader()
    cut = next(name for name in NAMES if name != leader)
    term = cluster.voters[leader].term
    cluster.cut = {(leader, cut)}
    cluster.run(20)
    assert cluster.voters[cut].leader == ""
    cluster.cut.clear()
    cluster.run(5)
    assert (cluster.leader(), cluster.voters[leader].term) == (leader, term)
    assert cluster.voters[cut].leader == leader


def test_minority_rejects_requests_and_reports_its_age() -> None:
    """A minority must not accept requests, and rejects them within a lease and two election timeouts.

    When the links are restored after an hour, both sides reach the same state.
    """
    cluster = Cluster(names=tuple("abcdefg"), heartbeat_interval_s=2.0, election_timeout_s=7.0, lease_s=7.0)
    cluster.commit("k", "1")
    leader = cluster.leader()
    side = {leader, *[name for name in "abcdefg" if name != leader][:2]}
    cluster.cut_off(side)
    late = cluster.propose(leader, "k", "uncertain")
    cluster.run(21.1)
    assert cluster.results[late] == ChangeUncertain()
    for name in sorted(side):
        result = cluster.results[cluster.propose(name, "k")]
        assert isinstance(result, ChangeRejected) and result.reason == "no_quorum"
        assert cluster.reads[cluster.read(name, "k")].failed
    cluster.run(3600)
    assert all(3621 < cluster.voters[name].age(cluster.clock(name)) < 3624 for name in side)
    value = cluster.voters[leader].keyspace.get("k")
    assert value is not None and value.value == b"1"
    assert cluster.commit("k", "2") == ChangeApplied(2)
    cluster.cut.clear()
    cluster.run(30)
    assert {voter.keyspace.revision for voter in cluster.voters.values()} == {2}


def test_two_lost_disks_of_five_are_readmitted() -> None:
    """A voter that lost its disk has no second vote: it is another voter until the log admits it again.

    Then it holds all entries again.
    """
    cluster = Cluster(history_revisions=10)
    for number in range(60):
        cluster.commit("k", f"{number}")
    leader = cluster.leader()
    assert cluster.voters[leader].keyspace.compacted_revision >= 40
    lost = [name for name in NAMES if name != leader][:2]
    for name in lost:
        cluster.crash(name, lose_disk=True)
        assert not cluster.start(name).is_voter
    assert cluster.run(20, lambda: all(cluster.voters[name].is_voter for name in lost))
    cluster.run(2)
    assert {voter.keyspace.revision for voter in cluster.voters.values()} == {60}
    assert all(cluster.voters[name].counters.snapshots_installed for name in lost)
    cluster.crash(leader)
    assert cluster.leader() != leader and set(cluster.voters[lost[0]].voters) == set(NAMES)


def test_first_election_needs_all_voters_and_is_not_repeated() -> None:
    """A second first election would create a second log.

    Neither a minority without a configuration nor a majority that lost its disks can hold one.
    """
    cluster = Cluster(names=("a", "b", "c"))
    cluster.crash("c")
    cluster.run(20)
    assert not cluster.leaders
    cluster.start("c")
    assert cluster.commit("k", "1") == ChangeApplied(1)
    for name in ("a", "b"):
        cluster.crash(name, lose_disk=True)
        cluster.start(name)
    terms = set(cluster.leaders)
    cluster.run(60)
    assert set(cluster.leaders) == terms and cluster.commit_count() == 1


def test_two_disks_of_one_voter_in_the_first_election_are_one_vote() -> None:
    """A voter that loses its disk during the first election must not become two members."""
    harness = VoterHarness([])
    harness.now = LATER
    harness.voter.tick(LATER)
    identity = VoterIdentity("a", harness.voter.incarnation)
    for pre in (True, False):
        for sender, incarnation in (("b", "1"), ("b", "2"), ("c", "1")):
            harness.deliver(sender, wire.VoteResponse(1, identity, True, pre), incarnation)
    assert harness.roles == [VoterRole.LEADER] and harness.voter.voters == ("a", "b", "c")


def test_each_disk_has_its_own_identity() -> None:
    """Identities differ even if the generator is seeded alike at each start, or if the time is the same."""
    drawn = {new_incarnation(Random(seed), now) for seed in (1, 2) for now in (0.0, 1.0)}
    assert len(drawn) == 4


def test_leader_with_full_disk_stops_and_recovers() -> None:
    """A leader that cannot store must not go on: its clients get answers, and another leader takes over.

    Once there is room, it starts again from its records.
    """
    cluster = Cluster(names=("a", "b", "c"))
    cluster.commit("k", "1")
    leader = cluster.leader()
    cluster.full_disks.add(leader)
    token, read = cluster.propose(leader, "k", "2"), cluster.read(leader, "k")
    voter = cluster.voters[leader]
    assert voter.role is VoterRole.STORAGE_FAILED and voter.next_deadline() == math.inf
    assert cluster.results[token] == ChangeUncertain() and cluster.reads[read].failed
    assert cluster.commit("k", "3") == ChangeApplied(2)
    cluster.full_disks.clear()
    cluster.crash(leader)
    cluster.start(leader)
    cluster.run(2)
    assert cluster.voters[leader].keyspace.revision == 2


def test_unstored_commit_is_answered_as_uncertain() -> None:
    """A commit whose record is not stored must not be acknowledged; it is uncertain. A rejection stands."""
    voter = Voter("a", settings(("a",)), [], Random(1), 0.0)
    voter.tick(LATER)
    voter.take_effects()
    voter.propose(LATER, Change("1", "k", b""), 1)
    voter.propose(LATER, Change("2", "", b""), 2)
    effects = voter.take_effects()
    assert ProposalDone(1, ChangeApplied(1)) in effects
    voter.storage_failed(LATER, effects)
    answers = {done.token: done.result for done in voter.take_effects() if isinstance(done, ProposalDone)}
    assert answers[1] == ChangeUncertain() and isinstance(answers[2], ChangeRejected)


# Voters.


def change(cluster: Cluster, add: str | None, remove: str | None) -> ChangeResult:
    """Change the voters through the leader; return the result."""
    leader, token = cluster.leader(), next(cluster.numbers)
    cluster.call(leader, "change_voters", add, remove, token)
    assert cluster.run(70, lambda: token in cluster.results)
    return cluster.results[token]


def test_voters_are_added_removed_and_replaced() -> None:
    """The leader can be removed too. Removed voters do not become leader again."""
    cluster = Cluster(names=("a", "b", "c"))
    for number in range(50):
        cluster.commit("k", f"{number}")
    cluster.start("d")
    assert change(cluster, "d", None) == ChangeApplied(50)
    assert cluster.voters[cluster.leader()].voters == ("a", "b", "c", "d")
    cluster.start("e")
    removed = next(name for name in "abc" if name != cluster.leader())
    assert change(cluster, "e", removed) == ChangeApplied(50)
    leader = cluster.leader()
    assert change(cluster, None, leader) == ChangeApplied(50)
    assert cluster.leader() != leader
    cluster.run(20)
    assert not {cluster.leader()} & {leader, removed}
    assert cluster.voters[cluster.leader()].voters == tuple(sorted(set("abcde") - {leader, removed}))
    assert cluster.commit("k") == ChangeApplied(51)


@pytest.mark.parametrize(
    ("add", "remove", "reason"),
    [(None, None, "invalid"), ("b", None, "invalid"), (None, "x", "invalid"), ("d", None, "overloaded")],
)
def test_invalid_or_concurrent_change_of_voters_is_rejected(
    add: str | None, remove: str | None, reason: str
) -> None:
    """A change of voters has to be valid, and only one may be in progress."""
    cluster = Cluster(names=("a", "b", "c"))
    if reason == "overloaded":
        cluster.call(cluster.leader(), "change_voters", "x", None, next(cluster.numbers))
    result = change(cluster, add, remove)
    assert isinstance(result, ChangeRejected) and result.reason == reason


@pytest.mark.parametrize("add", [None, "b"])
def test_the_only_voter_is_not_removed(add: str | None) -> None:
    """Without it, no voter would be left to commit its own removal."""
    result = change(Cluster(names=("a",)), add, "a")
    assert isinstance(result, ChangeRejected) and result.reason == "invalid"


def test_no_change_of_voters_before_an_entry_of_the_own_term_is_committed() -> None:
    """A change of voters by the last leader may still be uncommitted (Ongaro's correction of 2015)."""
    harness = VoterHarness(stored(commit=1))
    harness.win_election()
    harness.voter.change_voters(harness.now, None, "c", 1)
    harness.carry_out()
    assert "c" in harness.voter.voters
    harness.acknowledge("b", 2)
    assert "c" not in harness.voter.voters and 1 not in harness.answers
    harness.acknowledge("b", 3)
    assert harness.answers[1] == ChangeApplied(0)


def test_transfer_waits_for_complete_log_or_is_abandoned() -> None:
    """The target is asked to start an election once it has the whole log.

    If that takes too long, the leader stays and accepts changes again.
    """
    harness = VoterHarness(stored())
    harness.win_election()
    harness.voter.propose(harness.now, Change("1", "k", b""), 1)
    harness.voter.transfer_leadership(harness.now)
    assert not any(isinstance(message, wire.TimeoutNow) for _, message in harness.carry_out())
    assert wire.TimeoutNow(2) in [message for name in "cb" for message in harness.acknowledge(name, 3)]
    for _ in range(4):
        harness.now += 0.2
        harness.voter.tick(harness.now)
        harness.acknowledge("b", 3)
    harness.voter.propose(harness.now, Change("2", "k", b""), 2)
    harness.carry_out()
    assert harness.roles == [VoterRole.LEADER] and 1 in harness.answers and 2 not in harness.answers


@pytest.mark.parametrize(("sender", "term", "stands"), [("b", 9, True), ("c", 9, False), ("b", 8, False)])
def test_only_the_current_leader_can_transfer_leadership(sender: str, term: int, stands: bool) -> None:
    """A late request, or one of another voter, must not start an election."""
    harness = VoterHarness(stored())
    harness.append((1, 1))
    harness.deliver(sender, wire.TimeoutNow(term))
    assert harness.roles == [VoterRole.CANDIDATE if stands else VoterRole.FOLLOWER]


def test_non_voter_forgets_silent_leader_and_does_not_stand() -> None:
    """A server without a vote must not name a leader that is silent for long, and stands in no election."""
    harness = VoterHarness(stored(names="bc"))
    harness.append((1, 1))
    assert harness.voter.leader == "b"
    harness.now = 1.39
    harness.voter.propose(harness.now, Change("1", "k", b""), 1)
    harness.now = 1.41
    harness.voter.propose(harness.now, Change("1", "k", b""), 2)
    harness.now = LATER
    harness.voter.tick(harness.now)
    assert harness.carry_out() == [] and harness.roles == [VoterRole.FOLLOWER]
    assert harness.answers == {
        1: ChangeRejected("not_leader", leader="b"),
        2: ChangeRejected("no_quorum", "this voter hears no leader"),
    }


def test_new_voter_catches_up_before_it_gets_a_vote() -> None:
    """A voter without the entries would delay commits, so it receives them without a vote first."""
    harness = VoterHarness(stored(1, commit=2))
    harness.win_election()
    harness.acknowledge("b", 3)
    harness.voter.change_voters(harness.now, "d", None, 1)
    harness.carry_out()
    harness.acknowledge("b", 4)
    harness.acknowledge("d", 1)
    assert "d" in harness.voter.joining and "d" not in harness.voter.voters
    harness.acknowledge("d", 4)
    assert "d" in harness.voter.voters[-1:]


def test_snapshot_transfer_survives_receiver_restart() -> None:
    """A receiver that restarts loses the chunks of the snapshot; the transfer starts over."""
    cluster = Cluster(names=("a", "b", "c"), max_batch_bytes=700)
    leader = cluster.leader()
    behind = next(name for name in "abc" if name != leader)
    cluster.crash(behind)
    for number in range(80):
        cluster.commit(f"k{number}", f"{number}")
    cluster.start(behind)
    following = cluster.voters[behind]._following
    assert cluster.run(9, lambda: following.assembly is not None and len(following.assembly.data) > 1500)
    cluster.crash(behind)
    cluster.start(behind)
    cluster.run(9)
    assert cluster.voters[behind].keyspace.revision == 80


def test_leadership_transfer_is_fast_and_rejects_proposals() -> None:
    """A transfer does not wait for an election timeout, and rejects proposals in the meantime."""
    cluster = Cluster()
    cluster.commit("k")
    leader, before = cluster.leader(), cluster.now
    cluster.call(leader, "transfer_leadership")
    result = cluster.results[cluster.propose(leader, "k")]
    assert isinstance(result, ChangeRejected) and result.reason == "overloaded"
    assert cluster.run(0.3, lambda: cluster.leader() != leader) and cluster.now - before < 0.3


# What is stored and sent.


def test_unreadable_messages_are_dropped_and_counted() -> None:
    """Arbitrary bytes, other versions and entries with gaps must not stop the voter."""
    harness, rng = VoterHarness(stored(1, 2), max_batch_bytes=2000), Random(3)
    request = wire.AppendRequest(9, 1, 2, 1, 0, (entry(3, 2), entry(5, 2)))
    whole = wire.encode("disk-b", wire.AppendRequest(9, 1, 2, 1, 0, (entry(3, 2),)))
    bad = [b"", b"\xc1", wire.encode("disk-b", request), b"\x93\x02" + whole[2:]]
    for message in bad:
        harness.voter.receive(0.0, "b", message)
    assert harness.voter.counters.unreadable_messages == len(bad) and harness.carry_out() == []
    for _ in range(2000):
        corrupted = bytearray(whole)
        for _ in range(rng.randrange(1, 4)):
            corrupted[rng.randrange(len(corrupted))] = rng.randrange(256)
        harness.voter.receive(0.0, "b", bytes(corrupted))
        harness.voter.take_effects()


@pytest.mark.parametrize(
    "kept",
    [
        [b"junk"],
        stored()[1:],
        stored(own_name="b"),
        [*stored(), *stored()[:1]],
        [*stored(), records.encode_record(records.EntriesRecord(0, [entry(7, 1)]))],
        [records.encode_record(records.IdentityRecord(disk("a"), version=2))],
    ],
)
def test_foreign_or_corrupt_records_are_refused(kept: list[bytes]) -> None:
    """A voter must not start from such records; its host learns of it and treats the disk as lost."""
    with pytest.raises(CorruptRecordsError):
        Voter("a", settings(("a", "b", "c")), kept, Random(1), 0.0)


def test_follower_gets_snapshot_if_lost_batches_were_compacted() -> None:
    """A follower must not wait forever for lost entries, even if the window of unanswered batches is full."""
    cluster = Cluster(names=("a", "b", "c"), max_messages_in_flight=2)
    leader = cluster.leader()
    cluster.run(1)
    behind = next(name for name in "abc" if name != leader)
    cluster.cut = {(leader, behind)}
    for number in range(80):
        cluster.commit("k", f"{number}")
    cluster.cut.clear()
    cluster.run(5)
    assert cluster.voters[behind].keyspace.revision == 80
    assert cluster.voters[behind].counters.snapshots_installed == 1
    assert len(cluster.disks[leader]) < 80
    cluster.crash(behind)
    assert cluster.start(behind).keyspace.revision > 40


@pytest.mark.parametrize(
    "more",
    [{"heartbeat_interval_s": 0.4}, {"max_change_bytes": 2000}, {"keep_entries": 24}, {"initial_voters": ()}],
)
def test_inconsistent_settings_are_rejected(more: dict[str, Any]) -> None:
    """Settings that contradict each other are rejected when they are created."""
    with pytest.raises(ValueError):
        settings(**{"names": NAMES, **more}) if "initial_voters" not in more else VoterSettings(())


@pytest.mark.parametrize("seed", range(12))
def test_invariants_hold_under_random_faults(seed: int) -> None:
    """Raft's invariants hold under crashes, pauses, cut links, and full or lost disks.

    Messages are lost and duplicated as well.
    """
    FaultSequence(seed, NAMES if seed % 3 else ("a", "b", "c")).inject(60)
