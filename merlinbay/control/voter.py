"""A voter of the replicated control log: Raft without I/O, behind one class. See docs/CONTROL-LOG.md."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from random import Random

from merlinbay.control.consensus.election import Election
from merlinbay.control.consensus.follower_replication import FollowerReplication
from merlinbay.control.consensus.leadership import Leadership
from merlinbay.control.consensus.log import MAX_LOG_NUMBER, change_bytes
from merlinbay.control.consensus.membership import VoterIdentity
from merlinbay.control.consensus.messages import (
    AppendRequest,
    AppendResponse,
    SnapshotRequest,
    SnapshotResponse,
    TimeoutNow,
    UnreadableMessageError,
    VoteRequest,
    VoteResponse,
    VoterMessage,
    decode,
)
from merlinbay.control.consensus.raft_state import RaftState, VoterCounters
from merlinbay.control.consensus.records import CorruptRecordsError
from merlinbay.control.consensus.roles import VoterRole
from merlinbay.control.consensus.settings import Placement, VoterSettings
from merlinbay.control.effects import ProposalDone, ReadDone, RevisionAdvanced, VoterEffect
from merlinbay.control.entries import Change, ChangeRejected, ChangeResult, ChangeUncertain
from merlinbay.control.keyspace import Keyspace

__all__ = ["CorruptRecordsError", "Placement", "Voter", "VoterRole", "VoterSettings"]


class Voter:
    """One replica. The host calls a method, then carries out ``take_effects()`` in order.

    ``random`` has to be seeded differently at each start: a voter that starts without records draws from it
    the identity of its disk. Raises ``CorruptRecordsError`` where the records are not this voter's.
    """

    def __init__(
        self, name: str, settings: VoterSettings, records: Iterable[bytes], random: Random, now: float
    ) -> None:
        self.settings = settings
        self._raft = RaftState(name, settings, records, random, now)
        self._election = Election(self._raft)
        self._following = FollowerReplication(self._raft)
        self._leadership: Leadership | None = None
        self._announced_revision = 0

    # What can be seen.

    @property
    def name(self) -> str:
        """Return this voter's name."""
        return self._raft.name

    @property
    def incarnation(self) -> str:
        """Return the identity of this voter's disk."""
        return self._raft.identity.incarnation

    @property
    def keyspace(self) -> Keyspace:
        """Return the applied state. It may be stale, see ``age``; another object after a snapshot."""
        return self._raft.keyspace

    @property
    def role(self) -> VoterRole:
        """Return what this voter is."""
        return self._raft.role

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._raft.term

    @property
    def leader(self) -> str:
        """Return the leader's name as far as known, empty where none was heard lately."""
        raft = self._raft
        if (
            raft.role is VoterRole.FOLLOWER
            and raft.now - raft.heard_leader_at >= 2 * self.settings.election_timeout
        ):
            return ""
        return raft.leader

    @property
    def voters(self) -> tuple[str, ...]:
        """Return the names of the voters of the last configuration known, committed or not."""
        return self._raft.log.configuration.names

    @property
    def is_voter(self) -> bool:
        """Return whether this voter, with the disk that it has, holds a vote as far as it knows."""
        return self._raft.is_member

    @property
    def joining(self) -> tuple[str, ...]:
        """Return the names of the servers that catch up to become voters."""
        return tuple(one.name for one in self._raft.log.configuration.joining)

    @property
    def commit_index(self) -> int:
        """Return up to where the log is known to be committed; ``keyspace`` has all of that."""
        return self._raft.commit_index

    @property
    def last_index(self) -> int:
        """Return the last entry of the own log."""
        return self._raft.log.last_index

    @property
    def lease_until(self) -> float:
        """Return until when a leader's last confirmation holds; no read rests on it. 0 at others."""
        return self._leadership.lease_until if self._leadership is not None else 0.0

    @property
    def counters(self) -> VoterCounters:
        """Return what happened since the start."""
        return self._raft.counters

    def age(self, now: float) -> float:
        """Return for how long ``keyspace`` may be stale: since a majority last confirmed its leader."""
        current_at = self._raft.current_at
        if self._leadership is not None:
            current_at = self._leadership.replication.confirmed_at()
        return max(now - current_at, 0.0)

    # Events.

    def receive(self, now: float, sender: str, message: bytes) -> None:
        """Take a message of another voter. What cannot be read is dropped and counted."""
        if not self._begin(now):
            return
        try:
            envelope = decode(message)
        except UnreadableMessageError:
            self._raft.counters.unreadable_messages += 1
            return
        self._dispatch(VoterIdentity(sender, envelope.incarnation), envelope.message)
        self._end()

    def _dispatch(self, sender: VoterIdentity, message: VoterMessage) -> None:
        match message:
            case VoteRequest():
                self._election.on_request(sender, message)
            case VoteResponse():
                if self._election.on_response(sender, message):
                    self._won()
            case AppendRequest() | SnapshotRequest():
                self._from_leader(sender, message)
            case AppendResponse() | SnapshotResponse():
                self._from_receiver(sender, message)
            case TimeoutNow():
                self._timeout_now(sender, message)

    def _from_leader(self, sender: VoterIdentity, message: AppendRequest | SnapshotRequest) -> None:
        raft = self._raft
        if message.term < raft.term:
            # Tells a leader that was replaced about the newer term.
            raft.send(sender.name, AppendResponse(raft.term, message.round, 0, False))
            return
        if message.term == raft.term and raft.role is VoterRole.LEADER:
            raft.counters.impossible_messages += 1
            return
        raft.step_down(message.term, sender.name)
        raft.heard_leader_at = raft.now
        raft.restart_election_timer()
        if isinstance(message, AppendRequest):
            raft.current_at = max(raft.current_at, raft.now - message.age)
            self._following.on_append(sender.name, message)
        else:
            self._following.on_snapshot(sender.name, message)

    def _from_receiver(self, sender: VoterIdentity, message: AppendResponse | SnapshotResponse) -> None:
        raft = self._raft
        if message.term > raft.term:
            raft.step_down(message.term)
        elif message.term == raft.term and self._leadership is not None:
            if isinstance(message, AppendResponse):
                self._leadership.replication.on_append_response(sender, message)
            else:
                self._leadership.replication.on_snapshot_response(sender, message)

    def _timeout_now(self, sender: VoterIdentity, message: TimeoutNow) -> None:
        raft = self._raft
        asked = message.term == raft.term and sender.name == raft.leader and raft.role is VoterRole.FOLLOWER
        if asked and raft.is_member and self._election.start(VoterRole.CANDIDATE, transfer=True):
            self._won()

    def _won(self) -> None:
        """Go on with the real election, or lead."""
        if self._raft.role is VoterRole.PRE_CANDIDATE and not self._election.start(VoterRole.CANDIDATE):
            return
        self._raft.become(VoterRole.LEADER)
        self._raft.leader = self._raft.name
        founders = self._election.founders() if self._election.founding else ()
        self._leadership = Leadership(self._raft, founders)

    def tick(self, now: float) -> None:
        """Do what is due."""
        if not self._begin(now):
            return
        if self._leadership is not None:
            self._leadership.tick()
        elif now >= self._raft.election_deadline:
            self._election_due()
        self._end()

    def _election_due(self) -> None:
        if self._election.may_stand:
            if self._election.start(VoterRole.PRE_CANDIDATE):
                self._won()
        else:
            self._raft.step_down(self._raft.term)
            self._raft.restart_election_timer()

    def next_deadline(self) -> float:
        """Return when ``tick`` is due; infinity where nothing is."""
        if self._raft.role is VoterRole.STORAGE_FAILED:
            return math.inf
        if self._leadership is not None:
            return self._leadership.next_deadline()
        return self._raft.election_deadline

    # Requests.

    def propose(self, now: float, change: Change, token: int) -> None:
        """Propose a change; answered by ``ProposalDone`` within ``request_timeout``."""
        self._begin(now)
        rejected = self._refusal() or self._problem(change) or self._overload()
        if rejected is not None:
            self._answer(token, rejected)
        elif self._leadership is not None:
            self._leadership.requests.propose(change, token)
        self._end()

    def _answer(self, token: int, result: ChangeResult) -> None:
        self._raft.effects.append(ProposalDone(token, result))

    def _refusal(self) -> ChangeRejected | None:
        """Return why this voter takes no proposals, None where it leads."""
        if self._leadership is not None:
            return None
        if self.role is VoterRole.STORAGE_FAILED:
            return ChangeRejected("not_leader", "this voter's storage failed")
        if not self.leader:
            return ChangeRejected("no_quorum", "this voter hears no leader")
        return ChangeRejected("not_leader", leader=self.leader)

    def _problem(self, change: Change) -> ChangeRejected | None:
        if not change.change_id or not change.key:
            return ChangeRejected("invalid", "a change needs an id and a key")
        if not 0 <= (change.expected_revision or 0) <= MAX_LOG_NUMBER:
            return ChangeRejected("invalid", "the expected revision is none")
        try:
            size = change_bytes(change)
        except UnicodeEncodeError:
            return ChangeRejected("invalid", "id and key have to be Unicode text")
        if size > self.settings.max_change_bytes:
            return ChangeRejected("invalid", f"more than {self.settings.max_change_bytes} bytes")
        return None

    def _overload(self) -> ChangeRejected | None:
        leadership = self._leadership
        if leadership is None:
            return None
        if leadership.transfer is not None:
            return ChangeRejected("overloaded", "leadership is being handed over")
        if len(leadership.requests.proposals) >= self.settings.max_proposals:
            return ChangeRejected("overloaded", f"{self.settings.max_proposals} proposals are in flight")
        if len(self._raft.log) >= self.settings.max_log_entries:
            return ChangeRejected("overloaded", f"{self.settings.max_log_entries} entries are not compacted")
        return None

    def read(self, now: float, key: str, token: int) -> None:
        """Read linearizably, confirmed by a majority; answered by ``ReadDone`` within ``request_timeout``."""
        self._begin(now)
        leadership = self._leadership
        if leadership is None or len(leadership.requests.reads) >= self.settings.max_reads:
            failed = ReadDone(token, None, self.keyspace.revision, True, self.leader)
            self._raft.effects.append(failed)
        else:
            leadership.requests.read(key, token)
        self._end()

    def change_voters(self, now: float, add: str | None, remove: str | None, token: int) -> None:
        """Add, remove or replace one voter; answered by ``ProposalDone`` within ``voters_timeout``.

        The one that is added first catches up without a vote. ``add`` equal to ``remove`` readmits a voter
        with the disk that it has now, which a leader also does by itself. ``ChangeApplied`` has the
        keyspace's revision, which such a change does not move.
        """
        self._begin(now)
        rejected = self._refusal()
        if self._leadership is not None:
            rejected = self._leadership.reconfiguration.request(add, remove, token)
        if rejected is not None:
            self._answer(token, rejected)
        self._end()

    def transfer_leadership(self, now: float) -> None:
        """Hand leadership to the voter that is most up to date; given up after an election timeout."""
        self._begin(now)
        if self._leadership is not None:
            self._leadership.start_transfer()
        self._end()

    def storage_failed(self, now: float, dropped: Sequence[VoterEffect] = ()) -> None:
        """Take part in nothing more: a ``Persist`` could not be stored.

        ``dropped`` are the effects from that one on, none of which may be carried out; answers among them
        are given again as uncertain or failed. To recover, build a new ``Voter`` from the stored records.
        """
        if not self._begin(now):
            return
        raft = self._raft
        undone = [*dropped, *raft.effects]
        raft.effects.clear()
        raft.leader = ""
        for effect in undone:
            if isinstance(effect, ProposalDone):
                self._answer(effect.token, _undone(effect.result))
            elif isinstance(effect, ReadDone):
                raft.effects.append(ReadDone(effect.token, None, 0, True))
        raft.become(VoterRole.STORAGE_FAILED)
        self._end()

    def take_effects(self) -> list[VoterEffect]:
        """Return what has to be done, in order, and forget it."""
        if self._leadership is not None and not self._leadership.advance():
            self._raft.step_down(self._raft.term)
        self._end()
        if self.keyspace.revision > self._announced_revision and self.role is not VoterRole.STORAGE_FAILED:
            self._announced_revision = self.keyspace.revision
            self._raft.effects.append(RevisionAdvanced(self._announced_revision))
        effects, self._raft.effects = self._raft.effects, []
        return effects

    # Around each event.

    def _begin(self, now: float) -> bool:
        """Take the time; return whether this voter takes part at all."""
        raft = self._raft
        raft.now = max(raft.now, now)
        if self._leadership is not None and self._leadership.lease_until <= raft.now:
            # A leader that was stopped, or cut off: it answers no more as if it led.
            raft.step_down(raft.term)
            self._end()
        return raft.role is not VoterRole.STORAGE_FAILED

    def _end(self) -> None:
        if self._leadership is not None and self._raft.role is not VoterRole.LEADER:
            self._raft.current_at = self._leadership.replication.confirmed_at()
            self._leadership.give_up()
            self._leadership = None


def _undone(result: ChangeResult) -> ChangeResult:
    """Return what may be said of a result whose record was not stored: of a commit, nothing."""
    if isinstance(result, ChangeRejected) and result.reason != "conflict":
        return result
    return ChangeUncertain()
