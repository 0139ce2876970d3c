"""A voter of the replicated control log: Raft without I/O, behind one class. See docs/CONTROL-LOG.md.

``Voter`` passes each event to the parts in ``merlinbay.control.consensus``. Messages that cannot be decoded
are dropped and counted; a voter whose storage failed takes part no more.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from random import Random

from merlinbay.control.consensus.election import Election
from merlinbay.control.consensus.follower_replication import FollowerReplication
from merlinbay.control.consensus.leadership import Leadership
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
from merlinbay.control.consensus.proposals import invalid_change, overload, unstored_result
from merlinbay.control.consensus.raft_state import RaftState
from merlinbay.control.consensus.records import CorruptRecordsError
from merlinbay.control.consensus.roles import VoterRole
from merlinbay.control.consensus.settings import VoterPlacement, VoterSettings
from merlinbay.control.consensus.voter_view import VoterView
from merlinbay.control.effects import ProposalDone, ReadDone, RevisionAdvanced, VoterEffect
from merlinbay.control.entries import Change, ChangeRejected, ChangeResult

__all__ = ["CorruptRecordsError", "Voter", "VoterPlacement", "VoterRole", "VoterSettings"]


class Voter(VoterView):
    """One replica of the log. The host calls a method, then carries out ``take_effects()`` in order.

    ``random`` has to be seeded differently at each start, since a voter that starts without records draws the
    identity of its disk from it. Raises ``CorruptRecordsError`` if the records are not this voter's.
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

    # Events.

    def receive(self, now: float, sender: str, message: bytes) -> None:
        """Process a message of another voter. One that cannot be decoded is dropped and counted."""
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
            # A leader that was replaced learns the newer term from this response.
            raft.send(sender.name, AppendResponse(raft.term, message.round, 0, False))
            return
        if message.term == raft.term and raft.role is VoterRole.LEADER:
            raft.count_impossible_message()
            return
        raft.step_down(message.term, sender.name)
        raft.record_leader_contact()
        if isinstance(message, AppendRequest):
            raft.record_confirmation(max(raft.current_at, raft.now - message.age))
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
        """Start the real election after the preliminary one, or become leader."""
        if self._raft.role is VoterRole.PRE_CANDIDATE and not self._election.start(VoterRole.CANDIDATE):
            return
        self._raft.become(VoterRole.LEADER)
        self._raft.set_leader(self._raft.name)
        founders = self._election.founders() if self._election.founding else ()
        self._leadership = Leadership(self._raft, founders)

    def tick(self, now: float) -> None:
        """Do the work that is due: that of a leader, or the start of an election."""
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
        """Return when ``tick`` is due; infinity if the storage failed, since nothing is due then."""
        if self._raft.role is VoterRole.STORAGE_FAILED:
            return math.inf
        if self._leadership is not None:
            return self._leadership.next_deadline()
        return self._raft.election_deadline

    # Requests.

    def propose(self, now: float, change: Change, token: int) -> None:
        """Propose a change, which is answered by ``ProposalDone`` within ``request_timeout_s``."""
        self._begin(now)
        leadership = self._leadership
        rejected = self._not_leading() or invalid_change(self.settings, change)
        if rejected is None and leadership is not None:
            rejected = overload(self._raft, leadership)
        if rejected is not None:
            self._answer(token, rejected)
        elif leadership is not None:
            leadership.requests.propose(change, token)
        self._end()

    def _answer(self, token: int, result: ChangeResult) -> None:
        self._raft.effects.append(ProposalDone(token, result))

    def _not_leading(self) -> ChangeRejected | None:
        """Return why this voter accepts no proposals, or None if it leads."""
        if self._leadership is not None:
            return None
        if self.role is VoterRole.STORAGE_FAILED:
            return ChangeRejected("not_leader", "this voter's storage failed")
        if not self.leader:
            return ChangeRejected("no_quorum", "this voter hears no leader")
        return ChangeRejected("not_leader", leader=self.leader)

    def read(self, now: float, key: str, token: int) -> None:
        """Read a key linearizably, once a majority has confirmed the leader.

        The read is answered by ``ReadDone`` within ``request_timeout_s``.
        """
        self._begin(now)
        leadership = self._leadership
        if leadership is None or len(leadership.requests.reads) >= self.settings.max_reads:
            failed = ReadDone(token, None, self.keyspace.revision, True, self.leader)
            self._raft.effects.append(failed)
        else:
            leadership.requests.read(key, token)
        self._end()

    def change_voters(self, now: float, add: str | None, remove: str | None, token: int) -> None:
        """Add, remove or replace one voter; answered by ``ProposalDone`` within ``voters_timeout_s``.

        An added voter first catches up without a vote. If ``add`` equals ``remove``, the voter is admitted
        again with the disk that it has now, which a leader also does by itself. ``ChangeApplied`` contains
        the keyspace's revision, which a change of voters does not advance.
        """
        self._begin(now)
        rejected = self._not_leading()
        if self._leadership is not None:
            rejected = self._leadership.reconfiguration.request(add, remove, token)
        if rejected is not None:
            self._answer(token, rejected)
        self._end()

    def transfer_leadership(self, now: float) -> None:
        """Transfer leadership to the most up-to-date voter, or give up after an election timeout."""
        self._begin(now)
        if self._leadership is not None:
            self._leadership.start_transfer()
        self._end()

    def storage_failed(self, now: float, dropped: Sequence[VoterEffect] = ()) -> None:
        """Stop taking part, since the record of a ``Persist`` could not be stored.

        ``dropped`` contains that effect and all after it, none of which may be carried out. Answers among
        them are given again, as uncertain or failed if they rest on a record that was not stored. To recover,
        build a new ``Voter`` from the stored records.
        """
        if not self._begin(now):
            return
        raft = self._raft
        unstored = [*dropped, *raft.effects]
        raft.effects.clear()
        raft.set_leader("")
        for effect in unstored:
            if isinstance(effect, ProposalDone):
                self._answer(effect.token, unstored_result(effect.result))
            elif isinstance(effect, ReadDone):
                raft.effects.append(ReadDone(effect.token, None, 0, True))
        raft.become(VoterRole.STORAGE_FAILED)
        self._end()

    def take_effects(self) -> list[VoterEffect]:
        """Return the effects since the last call, in order."""
        if self._leadership is not None and not self._leadership.advance():
            self._raft.step_down(self._raft.term)
        self._end()
        if self.keyspace.revision > self._announced_revision and self.role is not VoterRole.STORAGE_FAILED:
            self._announced_revision = self.keyspace.revision
            self._raft.effects.append(RevisionAdvanced(self._announced_revision))
        return self._raft.take_effects()

    # Around each event.

    def _begin(self, now: float) -> bool:
        """Set the time, end an expired lease, and return whether this voter still takes part."""
        raft = self._raft
        raft.advance_clock(now)
        if self._leadership is not None and self._leadership.lease_until <= raft.now:
            # A leader that was paused or cut off must not answer as leader any more.
            raft.step_down(raft.term)
            self._end()
        return raft.role is not VoterRole.STORAGE_FAILED

    def _end(self) -> None:
        if self._leadership is not None and self._raft.role is not VoterRole.LEADER:
            self._raft.record_confirmation(self._leadership.replication.confirmed_at())
            self._leadership.end()
            self._leadership = None
