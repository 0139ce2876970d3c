"""The state that a voter has only while it leads, and the steps of a leader after each event.

``Voter`` creates it after a won election, calls ``tick`` when a deadline has passed and ``advance`` before it
returns effects. When leadership is lost, it calls ``end``, which answers all open requests.
"""

from __future__ import annotations

from dataclasses import dataclass

from merlinbay.control.consensus.membership import VoterIdentity
from merlinbay.control.consensus.messages import TimeoutNow
from merlinbay.control.consensus.raft_state import RaftState
from merlinbay.control.consensus.reconfiguration import Reconfiguration
from merlinbay.control.consensus.replication import LeaderReplication
from merlinbay.control.consensus.requests import ClientRequests


@dataclass(slots=True)
class LeadershipTransfer:
    """A leadership transfer in progress, during which the leader accepts no proposals."""

    target: str
    deadline: float
    timeout_now_sent: bool = False


class Leadership:
    """One term as leader, from the won election to the step-down."""

    def __init__(self, raft: RaftState, founders: tuple[VoterIdentity, ...]) -> None:
        self.raft = raft
        self.replication = LeaderReplication(raft, founders)
        self.requests = ClientRequests(raft, self.replication)
        self.reconfiguration = Reconfiguration(raft, self.replication)
        self.transfer: LeadershipTransfer | None = None
        self.replication.begin_round()

    @property
    def lease_until(self) -> float:
        """Return when the lease ends: ``lease_s`` after a majority last confirmed this leader.

        A leader that is the only voter needs no confirmation; its lease never ends.
        """
        raft = self.raft
        if raft.log.configuration.names == (raft.name,):
            return raft.now + raft.settings.lease_s
        return self.replication.confirmed_at() + raft.settings.lease_s

    def advance(self) -> bool:
        """Commit entries, change the configuration, answer requests and send entries, as far as possible.

        Return False if this leader has to step down.
        """
        self._commit()
        while self.reconfiguration.drive():
            self._commit()
        if self.reconfiguration.must_step_down():
            self.replication.begin_round()  # so that the others learn that the removal is committed
            return False
        self.requests.begin_reads()
        self.requests.answer_reads()
        self._continue_transfer()
        self.replication.send_pending()
        return True

    def _commit(self) -> None:
        self.requests.applied(self.raft.commit_to(self.replication.committable()))

    def tick(self) -> None:
        """End an overdue transfer, answer overdue requests, and begin a heartbeat round if one is due."""
        if self.transfer is not None and self.transfer.deadline <= self.raft.now:
            self.transfer = None
        self.requests.expire()
        self.reconfiguration.expire()
        if self.replication.next_heartbeat <= self.raft.now:
            self.replication.begin_round()

    def next_deadline(self) -> float:
        """Return when ``tick`` is due."""
        deadlines = [
            self.replication.next_heartbeat,
            self.lease_until,
            self.requests.next_deadline(),
            self.reconfiguration.next_deadline(),
        ]
        if self.transfer is not None:
            deadlines.append(self.transfer.deadline)
        return min(deadlines)

    def start_transfer(self) -> None:
        """Start a transfer to the voter with the most complete log.

        Among equals, it prefers the one that answered the latest heartbeat round, then one of this region.
        """
        raft, progress = self.raft, self.replication.progress
        candidates = [
            member.name
            for member in raft.log.configuration.members
            if member != raft.identity and progress[member.name].incarnation == member.incarnation
        ]
        if not candidates or self.transfer is not None:
            return

        def preference(name: str) -> tuple[int, int, bool, str]:
            same_region = raft.settings.region(name) == raft.settings.region(raft.name)
            return progress[name].match_index, progress[name].acked_round, same_region, name

        deadline = raft.now + raft.settings.election_timeout_s
        self.transfer = LeadershipTransfer(max(candidates, key=preference), deadline)

    def _continue_transfer(self) -> None:
        transfer = self.transfer
        if transfer is None or transfer.timeout_now_sent:
            return
        progress = self.replication.progress.get(transfer.target)
        if progress is not None and progress.match_index == self.raft.log.last_index:
            transfer.timeout_now_sent = True
            self.raft.send(transfer.target, TimeoutNow(self.raft.term))

    def end(self) -> None:
        """Answer all open requests as uncertain or failed, since leadership is lost."""
        self.requests.fail_all()
        self.reconfiguration.fail()
