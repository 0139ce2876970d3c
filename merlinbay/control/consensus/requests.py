"""Requests of clients at the leader: proposals and reads that are not answered yet.

A request that is not completed by its deadline, or whose leader steps down, is answered as uncertain (a
proposal) or failed (a read).
"""

from __future__ import annotations

from dataclasses import dataclass

from merlinbay.control.consensus.raft_state import AppliedChange, RaftState
from merlinbay.control.consensus.replication import LeaderReplication
from merlinbay.control.effects import ProposalDone, ReadDone
from merlinbay.control.entries import Change, ChangeUncertain


@dataclass(frozen=True, slots=True)
class PendingProposal:
    """A change that is in the leader's log and not answered yet."""

    token: int
    deadline: float


@dataclass(slots=True)
class PendingRead:
    """A read that waits until a majority has confirmed the leader after the read arrived."""

    token: int
    key: str
    deadline: float
    round: int = 0  # heartbeat round that has to be confirmed; 0 if it has not begun


class ClientRequests:
    """The open requests of one leader. Each is answered once, within ``request_timeout_s``."""

    def __init__(self, raft: RaftState, replication: LeaderReplication) -> None:
        self.raft = raft
        self.replication = replication
        self.proposals: dict[int, PendingProposal] = {}  # by log index, which is also the order of deadlines
        self.reads: list[PendingRead] = []  # in the order of deadlines and rounds

    def propose(self, change: Change, token: int) -> None:
        """Append a change to the log, and answer it once it is applied."""
        deadline = self.raft.now + self.raft.settings.request_timeout_s
        self.proposals[self.replication.append(change)] = PendingProposal(token, deadline)

    def read(self, key: str, token: int) -> None:
        """Accept a read, and answer it once a majority has confirmed the leader."""
        deadline = self.raft.now + self.raft.settings.request_timeout_s
        self.reads.append(PendingRead(token, key, deadline))

    def applied(self, changes: list[AppliedChange]) -> None:
        """Answer the proposals that were applied."""
        for change in changes:
            pending = self.proposals.pop(change.index, None)
            if pending is not None:
                self.raft.effects.append(ProposalDone(pending.token, change.result))

    def begin_reads(self) -> None:
        """Start one heartbeat round for all reads that arrived since the last such round."""
        # A new leader learns the commit index only by committing an entry of its own term. Before, a read
        # could return stale values.
        if self.reads and not self.reads[-1].round and self.raft.own_term_committed:
            new_round = self.replication.begin_round()
            for read in self.reads:
                read.round = read.round or new_round

    def answer_reads(self) -> None:
        """Answer the reads whose round is confirmed, with values of the applied state."""
        if not self.reads:
            return
        confirmed = self.replication.confirmed_round()
        while self.reads and 0 < self.reads[0].round <= confirmed:
            read = self.reads.pop(0)
            keyspace = self.raft.keyspace
            value = keyspace.get(read.key)
            self.raft.effects.append(ReadDone(read.token, value, keyspace.revision, leader=self.raft.name))

    def next_deadline(self) -> float:
        """Return the first deadline of the open requests; infinity if there are none."""
        deadlines = [read.deadline for read in self.reads[:1]]
        for pending in self.proposals.values():
            deadlines.append(pending.deadline)
            break
        return min(deadlines, default=float("inf"))

    def expire(self) -> None:
        """Answer the requests whose deadline has passed. Such a change may still be committed later."""
        now = self.raft.now
        while self.proposals:
            index, pending = next(iter(self.proposals.items()))
            if pending.deadline > now:
                break
            del self.proposals[index]
            self.raft.effects.append(ProposalDone(pending.token, ChangeUncertain()))
        while self.reads and self.reads[0].deadline <= now:
            self._fail_read(self.reads.pop(0))

    def _fail_read(self, read: PendingRead) -> None:
        revision = self.raft.keyspace.revision
        self.raft.effects.append(ReadDone(read.token, None, revision, True, self.raft.leader))

    def fail_all(self) -> None:
        """Answer all proposals as uncertain and all reads as failed, since leadership is lost."""
        for pending in self.proposals.values():
            self.raft.effects.append(ProposalDone(pending.token, ChangeUncertain()))
        for read in self.reads:
            self._fail_read(read)
        self.proposals.clear()
        self.reads.clear()
