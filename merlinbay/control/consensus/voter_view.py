"""The observable state of a voter, which its host and its operators read."""

from __future__ import annotations

from merlinbay.control.consensus.leadership import Leadership
from merlinbay.control.consensus.raft_state import RaftState, VoterCounters
from merlinbay.control.consensus.roles import VoterRole
from merlinbay.control.keyspace import Keyspace


class VoterView:
    """Read-only properties of a voter; ``Voter`` sets the fields."""

    _raft: RaftState
    _leadership: Leadership | None  # None unless this voter is the leader

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
        """Return the applied state, which may be stale (see ``age``). A snapshot replaces the object."""
        return self._raft.keyspace

    @property
    def role(self) -> VoterRole:
        """Return this voter's role."""
        return self._raft.role

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._raft.term

    @property
    def leader(self) -> str:
        """Return the name of the leader, or an empty text if none was heard recently."""
        raft = self._raft
        if (
            raft.role is VoterRole.FOLLOWER
            and raft.now - raft.heard_leader_at >= 2 * self._raft.settings.election_timeout_s
        ):
            return ""
        return raft.leader

    @property
    def voters(self) -> tuple[str, ...]:
        """Return the names of the voters in the last configuration of the log, committed or not."""
        return self._raft.log.configuration.names

    @property
    def is_voter(self) -> bool:
        """Return whether this voter, with its present disk, has a vote according to its log."""
        return self._raft.is_member

    @property
    def joining(self) -> tuple[str, ...]:
        """Return the names of the servers that receive the log to become voters."""
        return tuple(server.name for server in self._raft.log.configuration.joining)

    @property
    def commit_index(self) -> int:
        """Return the commit index; ``keyspace`` includes all entries up to it."""
        return self._raft.commit_index

    @property
    def last_index(self) -> int:
        """Return the index of the last entry of this voter's log."""
        return self._raft.log.last_index

    @property
    def lease_until(self) -> float:
        """Return when the leader lease ends; 0 if this voter does not lead. No read depends on it."""
        return self._leadership.lease_until if self._leadership is not None else 0.0

    @property
    def counters(self) -> VoterCounters:
        """Return the counts of events since the start."""
        return self._raft.counters

    def age(self, now: float) -> float:
        """Return how old ``keyspace`` may be: the time since a majority last confirmed its leader."""
        current_at = self._raft.current_at
        if self._leadership is not None:
            current_at = self._leadership.replication.confirmed_at()
        return max(now - current_at, 0.0)
