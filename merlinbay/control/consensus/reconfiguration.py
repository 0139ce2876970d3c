"""How a leader changes the voters: one at a time, and only once an entry of its own term is committed.

The next step follows from the committed configuration, so that a new leader continues where one was lost:

    joining, not caught up                 -> wait; the server receives the log, but has no vote
    joining, caught up, replaces a voter   -> remove the voter that it replaces
    joining, caught up                     -> make the server a voter

A voter that answers with another incarnation than the configuration names has lost its disk; the leader adds
it as a joining server that replaces itself. Adding and removing are two entries, since majorities of
configurations that differ in two voters need not overlap. A request that is not completed in time, or whose
leader steps down, is answered as uncertain.
"""

from __future__ import annotations

from dataclasses import dataclass

from merlinbay.control.consensus.membership import MAX_JOINING, Configuration, JoiningVoter, VoterIdentity
from merlinbay.control.consensus.progress import ReplicationMode
from merlinbay.control.consensus.raft_state import RaftState
from merlinbay.control.consensus.replication import LeaderReplication
from merlinbay.control.effects import ProposalDone
from merlinbay.control.entries import ChangeApplied, ChangeRejected, ChangeUncertain

CAUGHT_UP_ENTRIES = 64  # a joining server has caught up if it lags by no more; under a second of a burst


@dataclass(slots=True)
class PendingVoterChange:
    """A requested change of voters that is not answered yet."""

    token: int
    add: str | None
    remove: str | None
    deadline: float
    started: bool = False  # whether its first configuration is in the log


class Reconfiguration:
    """The changes of voters by one leader, from the won election to the step-down."""

    def __init__(self, raft: RaftState, replication: LeaderReplication) -> None:
        self.raft = raft
        self.replication = replication
        self.pending: PendingVoterChange | None = None

    def request(self, add: str | None, remove: str | None, token: int) -> ChangeRejected | None:
        """Accept a change of voters and return None, or return why it is rejected."""
        configuration = self.raft.log.configuration
        if self.pending is not None:
            return ChangeRejected("overloaded", "another change of voters is in progress")
        problem = self._problem(configuration, add, remove)
        if problem:
            return ChangeRejected("invalid", problem)
        deadline = self.raft.now + self.raft.settings.voters_timeout_s
        self.pending = PendingVoterChange(token, add, remove, deadline)
        return None

    def _problem(self, configuration: Configuration, add: str | None, remove: str | None) -> str:
        """Return why a change is invalid, or an empty text if it is valid."""
        if not add and not remove:
            return "no voter to add or to remove is given"
        if add and add != remove and add in configuration.names:
            return f"{add} is already a voter"
        if remove and remove not in configuration.receivers():
            return f"{remove} is neither a voter nor a joining server"
        if remove and configuration.names == (remove,):
            return f"{remove} is the only voter: add others first"
        if add and len(configuration.joining) >= MAX_JOINING:
            return "too many servers are joining"
        return ""

    def drive(self) -> bool:
        """Append the next configuration, if one is due; return whether it was appended."""
        raft = self.raft
        if not raft.own_term_committed or raft.log.configuration_index > raft.commit_index:
            return False
        self._answer_if_done()
        configuration = self._requested() or self._lost_disk() or self._joined()
        if configuration is None:
            return False
        self.replication.append(configuration)
        return True

    def _answer_if_done(self) -> None:
        pending, configuration = self.pending, self.raft.log.configuration
        if pending is None or not pending.started:
            return
        if pending.add and pending.add not in configuration.names:
            return
        if any(server.name in (pending.add, pending.remove) for server in configuration.joining):
            return
        if pending.remove and pending.remove != pending.add and pending.remove in configuration.names:
            return
        self.pending = None
        result = ChangeApplied(self.raft.keyspace.revision)
        self.raft.effects.append(ProposalDone(pending.token, result))

    def _requested(self) -> Configuration | None:
        """Return the first configuration of the requested change; None if it was appended before."""
        pending, configuration = self.pending, self.raft.log.configuration
        if pending is None or pending.started:
            return None
        pending.started = True
        if pending.add:
            return configuration.with_joining(JoiningVoter(pending.add, pending.remove or ""))
        assert pending.remove is not None
        return configuration.without(pending.remove)

    def _lost_disk(self) -> Configuration | None:
        """Return a configuration in which a voter that has lost its disk joins anew; None if none has."""
        configuration = self.raft.log.configuration
        joining = {server.name for server in configuration.joining}
        if len(joining) >= MAX_JOINING:
            return None
        for member in configuration.members:
            progress = self.replication.progress.get(member.name)
            if member.name in joining or progress is None or progress.incarnation == member.incarnation:
                continue
            return configuration.with_joining(JoiningVoter(member.name, member.name))
        return None

    def _joined(self) -> Configuration | None:
        """Return the next configuration for the first joining server that has caught up; None if none has."""
        configuration = self.raft.log.configuration
        for joining in configuration.joining:
            if not self._caught_up(joining.name):
                continue
            incarnation = self.replication.progress[joining.name].incarnation
            if configuration.admits(joining.name, incarnation):
                others = tuple(server for server in configuration.joining if server != joining)
                return Configuration(configuration.members, others)
            if joining.replaces in configuration.names and len(configuration.members) > 1:
                return configuration.without_member(joining.replaces)
            if joining.name not in configuration.names:
                return configuration.with_member(VoterIdentity(joining.name, incarnation))
        return None

    def _caught_up(self, name: str) -> bool:
        progress = self.replication.progress.get(name)
        if progress is None or not progress.incarnation or progress.mode is not ReplicationMode.REPLICATE:
            return False
        log = self.raft.log
        return progress.match_index >= max(log.configuration_index, log.last_index - CAUGHT_UP_ENTRIES)

    def must_step_down(self) -> bool:
        """Return whether a configuration without this leader is committed."""
        log = self.raft.log
        return not self.raft.is_member and log.configuration_index <= self.raft.commit_index

    def next_deadline(self) -> float:
        """Return the deadline of the pending change; infinity if there is none."""
        return self.pending.deadline if self.pending is not None else float("inf")

    def expire(self) -> None:
        """Answer a change whose deadline has passed. It may still be completed later."""
        if self.pending is not None and self.pending.deadline <= self.raft.now:
            self.fail()

    def fail(self) -> None:
        """Answer the pending change as uncertain."""
        if self.pending is not None:
            self.raft.effects.append(ProposalDone(self.pending.token, ChangeUncertain()))
            self.pending = None
