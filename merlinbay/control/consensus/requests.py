"""Requests of clients at the leader: proposals and reads that are not answered yet."""

from __future__ import annotations

from dataclasses import dataclass

from merlinbay.control.consensus.raft_state import AppliedChange, RaftState
from merlinbay.control.consensus.replication import LeaderReplication
from merlinbay.control.effects import ProposalDone, ReadDone
from merlinbay.control.entries import Change, ChangeUncertain


@dataclass(frozen=True, slots=True)
class PendingProposal:
    """A change that stands in the leader's log."""

    token: int
    deadline: float


@dataclass(slots=True)
class PendingRead:
    """A read that waits until a majority has confirmed, after it came, that nobody else leads."""

    token: int
    key: str
    deadline: float
    round: int = 0  # that has to be confirmed; 0: not begun


class ClientRequests:
    """The open requests of one leadership. Each is answered once, in bounded time."""

    def __init__(self, raft: RaftState, replication: LeaderReplication) -> None:
        self.raft = raft
        self.replication = replication
        self.proposals: dict[int, PendingProposal] = {}  # by index, so also in the order of deadlines
        self.reads: list[PendingRead] = []  # in the order of deadlines and rounds

    def propose(self, change: Change, token: int) -> None:
        """Put a change into the log."""
        deadline = self.raft.now + self.raft.settings.request_timeout
        self.proposals[self.replication.append(change)] = PendingProposal(token, deadline)

    def read(self, key: str, token: int) -> None:
        """Wait for a read's confirmation."""
        deadline = self.raft.now + self.raft.settings.request_timeout
        self.reads.append(PendingRead(token, key, deadline))

    def applied(self, changes: list[AppliedChange]) -> None:
        """Answer the proposals that were applied."""
        for change in changes:
            pending = self.proposals.pop(change.index, None)
            if pending is not None:
                self.raft.effects.append(ProposalDone(pending.token, change.result))

    def begin_reads(self) -> None:
        """Begin one round for all reads that came since the last."""
        # Before an entry of its own term is committed, a new leader does not know what is.
        if self.reads and not self.reads[-1].round and self.raft.own_term_committed:
            begun = self.replication.begin_round()
            for read in self.reads:
                read.round = read.round or begun

    def answer_reads(self) -> None:
        """Answer the reads whose round is confirmed, from the state now, which has all committed before."""
        if not self.reads:
            return
        confirmed = self.replication.confirmed_round()
        while self.reads and 0 < self.reads[0].round <= confirmed:
            read = self.reads.pop(0)
            keyspace = self.raft.keyspace
            value = keyspace.get(read.key)
            self.raft.effects.append(ReadDone(read.token, value, keyspace.revision, leader=self.raft.name))

    def next_deadline(self) -> float:
        """Return when the first request has waited too long."""
        deadlines = [read.deadline for read in self.reads[:1]]
        for pending in self.proposals.values():
            deadlines.append(pending.deadline)
            break
        return min(deadlines, default=float("inf"))

    def expire(self) -> None:
        """Answer what has waited too long; a change may commit all the same."""
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

    def give_up(self) -> None:
        """Answer all: leadership is lost."""
        for pending in self.proposals.values():
            self.raft.effects.append(ProposalDone(pending.token, ChangeUncertain()))
        for read in self.reads:
            self._fail_read(read)
        self.proposals.clear()
        self.reads.clear()
