"""The rules of Raft, one by one, and in a small cluster: decisions of ``merlinbay.control.voter``."""

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
from tests.consensus_cluster import NAMES, Cluster, Trouble, settings

LATER = 100.0  # past each election timeout


def disk(name: str) -> VoterIdentity:
    """Return a voter's identity."""
    return VoterIdentity(name, f"disk-{name}")


def entry(index: int, term: int) -> LogEntry:
    """Return an entry that tells its place."""
    return LogEntry(index, term, Change(f"{index}-{term}", "k", b"x"))


def stored(*terms: int, term: int = 0, commit: int = 0, me: str = "a", names: str = "abc") -> list[bytes]:
    """Return the records of a log: a configuration, and entries of these terms after it."""
    first = LogEntry(1, 1, Configuration(tuple(disk(name) for name in names)))
    entries = [first, *(entry(index, one) for index, one in enumerate(terms, 2))]
    found: list[records.VoterRecord] = [
        records.IdentityRecord(disk(me)),
        records.TermRecord(max(term, *terms, 1), None),
        records.EntriesRecord(commit, entries),
    ]
    return [records.encode_record(record) for record in found]


class Lone:
    """One voter whose peers are played by the test."""

    def __init__(self, kept: list[bytes], name: str = "a", **more: Any) -> None:
        self.kept, self.now = kept, 0.0
        self.voter = Voter(name, settings(("a", "b", "c"), **more), kept, Random(1), 0.0)
        self.answers: dict[int, ChangeResult] = {}
        self.reads: dict[int, ReadDone] = {}
        self.take()

    def take(self) -> list[tuple[str, wire.VoterMessage]]:
        """Carry the effects out; return what is sent, of which nothing precedes what it rests on."""
        sent: list[tuple[str, wire.VoterMessage]] = []
        for effect in self.voter.take_effects():
            if isinstance(effect, Persist):
                self.kept = [*([] if effect.replaces_all else self.kept), effect.record]
            elif isinstance(effect, ProposalDone):
                self.answers[effect.token] = effect.result
            elif isinstance(effect, ReadDone):
                self.reads[effect.token] = effect
            elif isinstance(effect, SendMessage):
                sent.append((effect.receiver, wire.decode(effect.message).message))
                self.check_stored(sent[-1][1])
        return sent

    def check_stored(self, message: wire.VoterMessage) -> None:
        """Check that what a message says would survive a crash now."""
        state = records.load("a", self.kept)
        match message:
            case wire.VoteResponse(granted=True, pre=False):
                assert (state.term, state.voted_for) == (message.term, message.candidate)
            case wire.VoteRequest(pre=False):
                assert (state.term, state.voted_for) == (message.term, state.identity)
            case wire.AppendResponse(success=True):
                assert state.log.last_index >= message.index
            case wire.AppendRequest(entries=(*_, last)):
                assert state.log.last_index >= last.index

    def say(self, sender: str, message: wire.VoterMessage, incarnation: str = "") -> list[Any]:
        """Give it a message; return what it sends back."""
        self.voter.receive(self.now, sender, wire.encode(incarnation or f"disk-{sender}", message))
        return [sent for receiver, sent in self.take() if receiver == sender]

    def append(
        self, previous: tuple[int, int], *entries: LogEntry, term: int = 9, commit: int = 0
    ) -> wire.AppendResponse:
        """Send it entries as leader ``b``; return its answer."""
        (answer,) = self.say("b", wire.AppendRequest(term, 1, *previous, commit, entries))
        assert isinstance(answer, wire.AppendResponse)
        return answer

    def terms(self) -> list[int]:
        """Return the terms in its log."""
        return [one.term for one in self.voter._raft.log.entries_from(1)]

    @property
    def roles(self) -> list[VoterRole]:
        """Return its role."""
        return [self.voter.role]

    def lead(self, granting: str = "b") -> None:
        """Let it win an election by these votes."""
        self.now = LATER
        self.voter.tick(self.now)
        for pre in (True, False):
            term = self.voter.term + pre
            for name in granting:
                self.say(name, wire.VoteResponse(term, disk("a"), True, pre))
        assert self.voter.role is VoterRole.LEADER

    def acknowledge(self, sender: str, index: int, incarnation: str = "") -> list[Any]:
        """Answer as a follower whose log agrees up to ``index``."""
        leadership = self.voter._leadership
        assert leadership is not None
        answer = wire.AppendResponse(self.voter.term, leadership.replication.round, index, True)
        return self.say(sender, answer, incarnation)


# Votes.


def test_one_vote_a_term_also_after_a_restart() -> None:
    """The same candidate gets it again; another one, and the same name with another disk, do not."""
    lone = Lone(stored())
    lone.now = LATER
    assert lone.say("b", wire.VoteRequest(5, 9, 4)) == [wire.VoteResponse(5, disk("b"), True)]
    assert lone.voter.next_deadline() > LATER  # it gives its candidate the time to win
    for one in (lone, Lone(lone.kept)):
        one.now = 2 * LATER
        assert one.say("c", wire.VoteRequest(5, 9, 4))[0].granted is False
        assert one.say("b", wire.VoteRequest(5, 9, 4), "disk-b2")[0].granted is False
        assert one.say("b", wire.VoteRequest(5, 9, 4))[0].granted is True


@pytest.mark.parametrize("pre", [True, False])
@pytest.mark.parametrize(
    ("last_index", "last_term", "granted"),
    [(4, 3, True), (5, 3, True), (3, 4, True), (3, 3, False), (9, 2, False)],
)
def test_a_vote_needs_an_up_to_date_log(last_index: int, last_term: int, granted: bool, pre: bool) -> None:
    """By last term, then by length."""
    lone = Lone(stored(1, 2, 3))
    lone.now = LATER
    assert lone.say("b", wire.VoteRequest(7, last_index, last_term, pre))[0].granted is granted


def test_a_preliminary_vote_promises_nothing() -> None:
    """It neither changes the term nor keeps the voter from voting for others."""
    lone = Lone(stored(term=4))
    lone.now = LATER
    assert lone.say("b", wire.VoteRequest(5, 9, 4, pre=True))[0].granted is True
    assert lone.say("b", wire.VoteRequest(4, 9, 4, pre=True))[0].granted is False
    assert lone.voter.term == 4
    assert lone.say("c", wire.VoteRequest(5, 9, 4))[0].granted is True


def test_who_hears_a_leader_votes_for_nobody_else() -> None:
    """Its term stays too; a transfer that the leader asked for is an exception."""
    lone = Lone(stored())
    lone.append((1, 1))
    for pre in (True, False):
        assert lone.say("c", wire.VoteRequest(12, 9, 9, pre))[0].granted is False
    assert lone.voter.term == 9
    assert lone.say("c", wire.VoteRequest(12, 9, 9, transfer=True))[0].granted is True


@pytest.mark.parametrize(
    ("sender", "incarnation", "candidate", "term"),
    [
        ("c", "disk-c2", disk("a"), 2),  # its disk was lost: not the voter that the log names
        ("x", "disk-x", disk("a"), 2),
        ("c", "disk-c", VoterIdentity("a", "disk-a0"), 2),  # for the disk that the candidate has lost
        ("c", "disk-c", disk("a"), 1),
    ],
)
def test_a_vote_that_does_not_count(
    sender: str, incarnation: str, candidate: VoterIdentity, term: int
) -> None:
    """Only those of the configuration's disks, for this candidacy."""
    lone = Lone(stored())
    lone.now = LATER
    lone.voter.tick(LATER)
    lone.say("b", wire.VoteResponse(2, disk("a"), True, pre=True))
    assert lone.roles == [VoterRole.CANDIDATE]
    lone.say(sender, wire.VoteResponse(term, candidate, True), incarnation)
    assert lone.roles == [VoterRole.CANDIDATE]
    lone.say("c", wire.VoteResponse(2, disk("a"), True))
    assert lone.roles == [VoterRole.LEADER]


# Entries.


def test_append_checks_the_entry_before() -> None:
    """Where it lacks or differs, the answer tells where the logs may agree; an old leader learns the term."""
    lone = Lone(stored(1, 3, 3, 3))
    assert lone.append((9, 8)) == wire.AppendResponse(9, 1, 5, False)
    assert lone.append((5, 4)) == wire.AppendResponse(9, 1, 2, False)
    assert lone.terms() == [1, 1, 3, 3, 3]
    assert lone.append((5, 3), term=8) == wire.AppendResponse(9, 1, 0, False)


def test_append_replaces_only_what_differs() -> None:
    """A message that comes late and ends early removes nothing."""
    lone = Lone(stored(1, 2, 2))
    assert lone.append((1, 1), entry(2, 1)) == wire.AppendResponse(9, 1, 2, True)
    assert lone.terms() == [1, 1, 2, 2]
    assert lone.append((2, 1), entry(3, 4), entry(4, 5)).index == 4
    assert lone.terms() == [1, 1, 4, 5]
    assert Lone(lone.kept).terms() == [1, 1, 4, 5]


def test_commit_goes_no_further_than_what_agrees() -> None:
    """Entries after the message's last are perhaps not the leader's."""
    lone = Lone(stored(1, 2, 2))
    lone.append((1, 1), entry(2, 1), commit=4)
    assert (lone.voter.commit_index, lone.voter.keyspace.revision) == (2, 1)
    lone.append((0, 0))  # a repeat from before
    assert (lone.voter.commit_index, lone.terms()) == (2, [1, 1, 2, 2])
    lone.append((4, 2), entry(5, 9))
    assert Lone(lone.kept).voter.commit_index == 2


def test_a_configuration_that_is_replaced_is_out_of_force() -> None:
    """Also after a start."""
    lone = Lone(stored())
    lone.append((1, 1), LogEntry(2, 2, Configuration((disk("a"), disk("b")))))
    assert "c" not in lone.voter.voters
    lone.append((1, 1), entry(2, 3))
    assert "c" in lone.voter.voters and "c" in Lone(lone.kept).voter.voters


def test_what_comes_late_from_before_a_snapshot_is_acknowledged() -> None:
    """All of it is committed: it needs no look at entries that are gone."""
    lone = Lone(stored())
    lone.append((1, 1), *(entry(index, 2) for index in range(2, 41)), commit=40)
    assert lone.voter._raft.log.base_index == 32
    assert lone.append((1, 1), entry(2, 2)) == wire.AppendResponse(9, 1, 40, True)
    assert lone.append((39, 2), entry(40, 2), entry(41, 2)) == wire.AppendResponse(9, 1, 41, True)
    assert Lone(lone.kept).voter.last_index == 41


def snapshot_of(last: int) -> bytes:
    """Return a snapshot of the log that ``stored`` and ``entry`` make, up to an index."""
    lone = Lone(stored())
    lone.append((1, 1), *(entry(index, 2) for index in range(2, last + 1)), commit=last)
    configuration = lone.voter._raft.log.configuration
    return records.encode_snapshot(
        records.SnapshotData(last, 2, configuration, lone.voter.keyspace.snapshot())
    )


def test_a_snapshot_takes_away_no_entry_that_was_acknowledged() -> None:
    """Entries after it stay where the logs agree on its last one; it comes but once."""
    request = wire.SnapshotRequest(9, 1, 5, 0, snapshot_of(5), done=True)
    for terms, last in (((2, 2, 2, 2, 2), 6), ((2, 2, 2, 1, 1), 5)):
        lone = Lone(stored(*terms))
        for _ in range(2):
            (answer,) = lone.say("b", request)
            assert answer.installed
        assert lone.voter.counters.snapshots_installed == 1
        for voter in (lone.voter, Lone(lone.kept).voter):
            assert (voter.commit_index, voter.last_index, voter.keyspace.revision) == (5, last, 4)


def test_chunks_of_a_snapshot_are_put_together_in_order() -> None:
    """One that comes too early or twice changes nothing; junk is dropped and counted."""
    lone, data = Lone(stored()), snapshot_of(5)
    for offset, end, received in ((0, 10, 10), (20, 30, 10), (0, 10, 10), (10, 20, 20)):
        (answer,) = lone.say("b", wire.SnapshotRequest(9, 1, 5, offset, data[offset:end], done=False))
        assert (answer.received, answer.installed) == (received, False)
    (answer,) = lone.say("b", wire.SnapshotRequest(9, 1, 5, 20, data[20:], done=True))
    assert answer.installed
    assert lone.say("b", wire.SnapshotRequest(9, 1, 9, 0, b"junk", done=True)) == []
    assert lone.voter.counters.impossible_messages == 1


def test_a_leader_commits_only_by_entries_of_its_term() -> None:
    """Figure 3.7: an old entry on a majority may still be replaced."""
    lone = Lone(stored(2))
    lone.lead()
    assert lone.voter.term == 3
    lone.acknowledge("b", 2)
    assert lone.voter.commit_index == 0
    lone.acknowledge("b", 3)
    assert lone.voter.commit_index == 3


def test_an_acknowledgement_counts_for_its_disk_only() -> None:
    """Another disk of the same name starts from nothing; a late answer of the lost one is dropped."""
    lone = Lone(stored())
    lone.lead()
    lone.acknowledge("b", 2, "disk-b2")
    assert lone.voter.commit_index == 0
    lone.acknowledge("b", 2)
    assert lone.voter.commit_index == 0
    lone.acknowledge("c", 2)
    assert lone.voter.commit_index == 2 and lone.voter.joining == ("b",)


def test_late_answers_take_nothing_back() -> None:
    """Neither an acknowledgement of less, nor a rejection from before."""
    lone = Lone(stored(1, names="abcde"))
    lone.lead("bc")
    lone.acknowledge("b", 3)
    lone.acknowledge("b", 2)
    lone.say("b", wire.AppendResponse(2, 1, 0, False))
    lone.voter.propose(lone.now, Change("x", "k", b""), 1)
    sent = [message for receiver, message in lone.take() if receiver == "b"]
    assert [one.previous_index for one in sent if isinstance(one, wire.AppendRequest)] == [3]
    lone.acknowledge("c", 3)
    assert lone.voter.commit_index == 3


def test_messages_are_bounded_and_sent_ahead() -> None:
    """Batches by bytes; no more unanswered ones than allowed."""
    lone = Lone(stored(), max_messages_in_flight=3)
    lone.lead()
    lone.acknowledge("b", 2)
    for token in range(40):
        lone.voter.propose(lone.now, Change(f"{token}", "k", bytes(400)), token)
    sent = [message for receiver, message in lone.take() if receiver == "b"]
    assert [len(one.entries) for one in sent if isinstance(one, wire.AppendRequest)] == [1, 1, 1]
    assert all(len(wire.encode("", one)) < 1200 for one in sent)


@pytest.mark.parametrize("term", [9, 10])
def test_a_leader_gives_way_to_a_newer_term_only(term: int) -> None:
    """Another leader of the same term cannot be: dropped and counted."""
    lone = Lone(stored(term=8))
    lone.lead()
    lone.voter.propose(lone.now, Change("1", "k", b""), 1)
    lone.append((1, 1), term=term) if term > 9 else lone.say("b", wire.AppendRequest(9, 1, 1, 1, 0))
    assert lone.voter.role is (VoterRole.FOLLOWER if term > 9 else VoterRole.LEADER)
    assert lone.answers == ({1: ChangeUncertain()} if term > 9 else {})
    assert lone.voter.counters.impossible_messages == (term == 9)


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
def test_a_change_is_rejected_at_once(change: Change, reason: str) -> None:
    """Before it costs anything."""
    lone = Lone(stored(), max_proposals=2)
    lone.lead()
    lone.voter.propose(lone.now, Change("a", "k", b""), 1)
    lone.voter.propose(lone.now, Change("b", "k", b""), 2)
    lone.voter.propose(lone.now, change, 3)
    lone.take()
    result = lone.answers[3]
    assert isinstance(result, ChangeRejected) and result.reason == reason


def test_the_log_and_the_reads_are_bounded() -> None:
    """Where nothing is committed for long."""
    lone = Lone(stored(), max_log_entries=30, max_reads=2)
    lone.lead()
    for token in range(40):
        lone.voter.propose(lone.now, Change(f"{token}", "k", b""), token)
        lone.voter.read(lone.now, "k", token)
    lone.take()
    assert sorted(lone.answers) == list(range(28, 40)) and sorted(lone.reads) == list(range(2, 40))
    assert all(
        isinstance(one, ChangeRejected) and one.reason == "overloaded" for one in lone.answers.values()
    )


def test_a_request_that_takes_long_is_answered() -> None:
    """Also while a majority confirms the leader, but stores nothing."""
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


def test_repeats_and_compare_and_set() -> None:
    """A repeat gets the first answer, a conflict too; of two changes of one revision, one wins."""
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


# A cluster in trouble.


def test_idle_traffic_is_heartbeats_and_a_leader_is_replaced_soon() -> None:
    """Five a second to each; a new leader within twice the election timeout and some round trips."""
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
    """Before, a new leader may not know of all that is committed; the wait has an end."""
    lone = Lone(stored(1, 2))
    lone.lead()
    lone.voter.read(lone.now, "k", 1)
    lone.acknowledge("b", 1)
    lone.acknowledge("b", 1)
    assert 1 not in lone.reads
    lone.acknowledge("b", 4)  # begins the read's round
    lone.acknowledge("b", 4)
    assert lone.reads[1].revision == 2 and not lone.reads[1].failed
    lone = Lone(stored(1, 2))
    lone.lead()
    lone.voter.read(lone.now, "k", 2)
    for _ in range(8):
        lone.acknowledge("b", 1)
        lone.now += 0.5
        lone.voter.tick(lone.now)
        lone.take()
    assert lone.roles == [VoterRole.LEADER] and lone.reads[2].failed


@pytest.mark.parametrize("request_first", [True, False])
def test_a_leader_stopped_for_20_s_and_woken(request_first: bool) -> None:
    """It answers no read from its old state, whether what came in meanwhile is seen before or after."""
    cluster = Cluster(names=("a", "b", "c"))
    cluster.commit("k", "old")
    leader = cluster.leader()
    before = [cluster.read(leader, "k"), cluster.propose(leader, "k", "before")]
    cluster.stopped[leader] = []
    cluster.run(20)
    assert isinstance(cluster.commit("k", "new"), ChangeApplied)
    cluster.cut_off({leader})
    waiting, cluster.stopped[leader] = cluster.stopped[leader], []
    if not request_first:
        cluster.stopped[leader] = waiting
    cluster.wake(leader)
    after = [cluster.read(leader, "k"), cluster.propose(leader, "k", "late")]
    cluster.run(0)
    assert cluster.reads[before[0]].failed and cluster.reads[after[0]].failed
    assert cluster.results[before[1]] == ChangeUncertain()
    assert isinstance(cluster.results[after[1]], ChangeRejected)


def test_a_read_waits_for_a_round_that_began_after_it() -> None:
    """Answers to earlier heartbeats confirm nothing, though the lease still holds."""
    cluster = Cluster(names=("a", "b", "c"))
    cluster.commit("k", "1")
    leader = cluster.leader()
    cluster.run(1)
    cluster.cut_off({leader})
    token = cluster.read(leader, "k")
    assert cluster.voters[leader].lease_until > cluster.clock(leader) and token not in cluster.reads
    assert cluster.run(2, lambda: token in cluster.reads) and cluster.reads[token].failed


@pytest.mark.parametrize("heard", [True, False])
def test_a_leader_cut_one_way(heard: bool) -> None:
    """Whether it only hears or is only heard: another one takes over, and changes go on."""
    cluster = Cluster()
    leader = cluster.leader()
    others = set(NAMES) - {leader}
    cluster.cut = {(leader, one) if not heard else (one, leader) for one in others}
    assert cluster.run(4, lambda: cluster.voters[leader].role is not VoterRole.LEADER)
    assert cluster.commit("k") == ChangeApplied(1)


def test_a_voter_that_does_not_hear_the_leader_disturbs_nobody() -> None:
    """The term stays, during the cut and after."""
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


def test_a_side_without_a_majority_rejects_and_tells_its_age() -> None:
    """Within a lease and two election timeouts; after an hour, both sides come to one state."""
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


def test_two_lost_disks_of_five_are_readmitted_without_a_second_vote() -> None:
    """They are other voters until the log says so; then they hold all again."""
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


def test_the_first_election_needs_all_and_is_never_repeated() -> None:
    """A minority that knows nothing, and a majority that has lost its disks, form no second one."""
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
    """It lost one just then."""
    lone = Lone([])
    lone.now = LATER
    lone.voter.tick(LATER)
    me = VoterIdentity("a", lone.voter.incarnation)
    for pre in (True, False):
        for sender, incarnation in (("b", "1"), ("b", "2"), ("c", "1")):
            lone.say(sender, wire.VoteResponse(1, me, True, pre), incarnation)
    assert lone.roles == [VoterRole.LEADER] and lone.voter.voters == ("a", "b", "c")


def test_each_disk_has_its_own_identity() -> None:
    """Also where the generator of a host is seeded alike at each start, or the clock is the same."""
    drawn = {new_incarnation(Random(seed), now) for seed in (1, 2) for now in (0.0, 1.0)}
    assert len(drawn) == 4


def test_a_full_disk_at_one_voter() -> None:
    """It says nothing more, its clients get an answer, and it comes back from its records."""
    cluster = Cluster(names=("a", "b", "c"))
    cluster.commit("k", "1")
    leader = cluster.leader()
    cluster.full.add(leader)
    token, read = cluster.propose(leader, "k", "2"), cluster.read(leader, "k")
    voter = cluster.voters[leader]
    assert voter.role is VoterRole.STORAGE_FAILED and voter.next_deadline() == math.inf
    assert cluster.results[token] == ChangeUncertain() and cluster.reads[read].failed
    assert cluster.commit("k", "3") == ChangeApplied(2)
    cluster.full.clear()
    cluster.crash(leader)
    cluster.start(leader)
    cluster.run(2)
    assert cluster.voters[leader].keyspace.revision == 2


def test_storage_that_fails_takes_back_what_was_not_said() -> None:
    """A commit that rests on what is not stored is uncertain; a rejection stands."""
    voter = Voter("a", settings(("a",)), [], Random(1), 0.0)
    voter.tick(LATER)
    voter.take_effects()
    voter.propose(LATER, Change("1", "k", b""), 1)
    voter.propose(LATER, Change("2", "", b""), 2)
    effects = voter.take_effects()
    assert ProposalDone(1, ChangeApplied(1)) in effects
    voter.storage_failed(LATER, effects)
    answers = {one.token: one.result for one in voter.take_effects() if isinstance(one, ProposalDone)}
    assert answers[1] == ChangeUncertain() and isinstance(answers[2], ChangeRejected)


# Voters.


def change(cluster: Cluster, add: str | None, remove: str | None) -> ChangeResult:
    """Change the voters at the leader; return the answer."""
    leader, token = cluster.leader(), next(cluster.numbers)
    cluster.call(leader, "change_voters", add, remove, token)
    assert cluster.run(70, lambda: token in cluster.results)
    return cluster.results[token]


def test_voters_are_added_removed_and_replaced() -> None:
    """Also the leader; the one removed stands in no more elections."""
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
def test_a_change_of_voters_is_rejected(add: str | None, remove: str | None, reason: str) -> None:
    """One at a time, and only one that makes sense."""
    cluster = Cluster(names=("a", "b", "c"))
    if reason == "overloaded":
        cluster.call(cluster.leader(), "change_voters", "x", None, next(cluster.numbers))
    result = change(cluster, add, remove)
    assert isinstance(result, ChangeRejected) and result.reason == reason


@pytest.mark.parametrize("add", [None, "b"])
def test_the_only_voter_is_not_removed(add: str | None) -> None:
    """Nobody would be left to commit that."""
    result = change(Cluster(names=("a",)), add, "a")
    assert isinstance(result, ChangeRejected) and result.reason == "invalid"


def test_no_change_of_voters_before_an_entry_of_the_own_term_is_committed() -> None:
    """Ongaro's correction of 2015: the last leader's change may still be there."""
    lone = Lone(stored(commit=1))
    lone.lead()
    lone.voter.change_voters(lone.now, None, "c", 1)
    lone.take()
    assert "c" in lone.voter.voters
    lone.acknowledge("b", 2)
    assert "c" not in lone.voter.voters and 1 not in lone.answers
    lone.acknowledge("b", 3)
    assert lone.answers[1] == ChangeApplied(0)


def test_leadership_goes_to_a_complete_log_or_stays() -> None:
    """The voter chosen is asked once it has all; where that takes long, changes are taken again."""
    lone = Lone(stored())
    lone.lead()
    lone.voter.propose(lone.now, Change("1", "k", b""), 1)
    lone.voter.transfer_leadership(lone.now)
    assert not any(isinstance(message, wire.TimeoutNow) for _, message in lone.take())
    assert wire.TimeoutNow(2) in [message for name in "cb" for message in lone.acknowledge(name, 3)]
    for _ in range(4):
        lone.now += 0.2
        lone.voter.tick(lone.now)
        lone.acknowledge("b", 3)
    lone.voter.propose(lone.now, Change("2", "k", b""), 2)
    lone.take()
    assert lone.roles == [VoterRole.LEADER] and 1 in lone.answers and 2 not in lone.answers


@pytest.mark.parametrize(("sender", "term", "stands"), [("b", 9, True), ("c", 9, False), ("b", 8, False)])
def test_only_the_leader_hands_leadership_over(sender: str, term: int, stands: bool) -> None:
    """Not one that comes late, nor anybody else."""
    lone = Lone(stored())
    lone.append((1, 1))
    lone.say(sender, wire.TimeoutNow(term))
    assert lone.roles == [VoterRole.CANDIDATE if stands else VoterRole.FOLLOWER]


def test_who_holds_no_vote_forgets_a_leader_that_is_gone() -> None:
    """It rejects as one that hears none, and stands in no election."""
    lone = Lone(stored(names="bc"))
    lone.append((1, 1))
    assert lone.voter.leader == "b"
    lone.now = 1.39
    lone.voter.propose(lone.now, Change("1", "k", b""), 1)
    lone.now = 1.41
    lone.voter.propose(lone.now, Change("1", "k", b""), 2)
    lone.now = LATER
    lone.voter.tick(lone.now)
    assert lone.take() == [] and lone.roles == [VoterRole.FOLLOWER]
    assert lone.answers == {
        1: ChangeRejected("not_leader", leader="b"),
        2: ChangeRejected("no_quorum", "this voter hears no leader"),
    }


def test_a_new_voter_catches_up_before_it_counts() -> None:
    """Until then it gets entries without a vote."""
    lone = Lone(stored(1, commit=2))
    lone.lead()
    lone.acknowledge("b", 3)
    lone.voter.change_voters(lone.now, "d", None, 1)
    lone.take()
    lone.acknowledge("b", 4)
    lone.acknowledge("d", 1)
    assert "d" in lone.voter.joining and "d" not in lone.voter.voters
    lone.acknowledge("d", 4)
    assert "d" in lone.voter.voters[-1:]


def test_a_snapshot_goes_on_where_the_receiver_started_again() -> None:
    """It has forgotten the chunks that it had."""
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


def test_leadership_is_handed_over() -> None:
    """Without an election timeout's wait, and nothing is lost."""
    cluster = Cluster()
    cluster.commit("k")
    leader, before = cluster.leader(), cluster.now
    cluster.call(leader, "transfer_leadership")
    result = cluster.results[cluster.propose(leader, "k")]
    assert isinstance(result, ChangeRejected) and result.reason == "overloaded"
    assert cluster.run(0.3, lambda: cluster.leader() != leader) and cluster.now - before < 0.3


# What is stored and sent.


def test_what_cannot_be_read_is_dropped_and_counted() -> None:
    """Any bytes, other versions, entries with gaps; the voter goes on."""
    lone, rng = Lone(stored(1, 2), max_batch_bytes=2000), Random(3)
    request = wire.AppendRequest(9, 1, 2, 1, 0, (entry(3, 2), entry(5, 2)))
    whole = wire.encode("disk-b", wire.AppendRequest(9, 1, 2, 1, 0, (entry(3, 2),)))
    bad = [b"", b"\xc1", wire.encode("disk-b", request), b"\x93\x02" + whole[2:]]
    for message in bad:
        lone.voter.receive(0.0, "b", message)
    assert lone.voter.counters.unreadable_messages == len(bad) and lone.take() == []
    for _ in range(2000):
        spoilt = bytearray(whole)
        for _ in range(rng.randrange(1, 4)):
            spoilt[rng.randrange(len(spoilt))] = rng.randrange(256)
        lone.voter.receive(0.0, "b", bytes(spoilt))
        lone.voter.take_effects()


@pytest.mark.parametrize(
    "kept",
    [
        [b"junk"],
        stored()[1:],
        stored(me="b"),
        [*stored(), *stored()[:1]],
        [*stored(), records.encode_record(records.EntriesRecord(0, [entry(7, 1)]))],
        [records.encode_record(records.IdentityRecord(disk("a"), version=2))],
    ],
)
def test_records_that_are_not_its_own(kept: list[bytes]) -> None:
    """The host is told; it takes the disk as lost."""
    with pytest.raises(CorruptRecordsError):
        Voter("a", settings(("a", "b", "c")), kept, Random(1), 0.0)


def test_a_follower_whose_batches_were_lost_and_compacted_gets_the_snapshot() -> None:
    """Also where the window of unanswered batches was full."""
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
def test_settings_that_cannot_work(more: dict[str, Any]) -> None:
    """Said when they are read."""
    with pytest.raises(ValueError):
        settings(**{"names": NAMES, **more}) if "initial_voters" not in more else VoterSettings(())


@pytest.mark.parametrize("seed", range(12))
def test_trouble(seed: int) -> None:
    """Invariants hold with crashes, cuts, lost and doubled messages, stops, full disks, lost disks."""
    Trouble(seed, NAMES if seed % 3 else ("a", "b", "c")).play(60)
