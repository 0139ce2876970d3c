"""Elections of one voter: preliminary votes, votes and the first election (Ongaro 2014, 3.4, 4.2.3, 9.6).

``Voter`` calls this module when the election timer expires and when a vote request or a response arrives.
A candidacy that is not won ends when its timer expires; a new preliminary election follows.
"""

from __future__ import annotations

from merlinbay.control.consensus.membership import VoterIdentity
from merlinbay.control.consensus.messages import VoteRequest, VoteResponse
from merlinbay.control.consensus.raft_state import RaftState
from merlinbay.control.consensus.roles import VoterRole


class Election:
    """The elections of one voter, as a candidate and as a voter that is asked for its vote."""

    def __init__(self, raft: RaftState) -> None:
        self.raft = raft
        self.granted: set[VoterIdentity] = set()
        self.founding: tuple[str, ...] = ()  # names of the initial voters in the first election, else empty

    @property
    def is_founder(self) -> bool:
        """Return whether this voter may stand in the first election, which creates the first configuration.

        Only the initial voter with the lowest name may, and only while no configuration exists.
        """
        initial = self.raft.settings.initial_voters
        return not self.raft.log.configuration.members and bool(initial) and self.raft.name == min(initial)

    @property
    def may_stand(self) -> bool:
        """Return whether this voter may become a candidate."""
        return self.raft.is_member or self.is_founder

    def start(self, role: VoterRole, transfer: bool = False) -> bool:
        """Become a preliminary or real candidate; return whether the election is already won."""
        raft = self.raft
        raft.become(role)
        raft.set_leader("")
        raft.restart_candidacy_timer()
        self.granted = {raft.identity}
        self.founding = tuple(sorted(raft.settings.initial_voters)) if self.is_founder else ()
        if role is VoterRole.CANDIDATE:
            raft.counters.elections_started += 1
            raft.set_term(raft.term + 1, raft.identity)
        pre = role is VoterRole.PRE_CANDIDATE
        term = raft.term + 1 if pre else raft.term
        request = VoteRequest(term, raft.log.last_index, raft.log.last_term, pre, transfer, self.founding)
        for name in self.founding or raft.log.configuration.names:
            if name != raft.name:
                raft.send(name, request)
        return self.is_won()

    def is_won(self) -> bool:
        """Return whether enough votes were granted."""
        if self.founding:
            # All initial voters have to grant this vote. A voter that lost its disk grants it too, so a
            # majority could create a second first configuration.
            return {member.name for member in self.granted} >= set(self.founding)
        configuration = self.raft.log.configuration
        return len(self.granted.intersection(configuration.members)) >= configuration.quorum

    def founders(self) -> tuple[VoterIdentity, ...]:
        """Return the members of the first configuration, with one incarnation of each voter."""
        by_name = {member.name: member for member in self.granted}
        return tuple(by_name[name] for name in sorted(by_name))

    def on_response(self, sender: VoterIdentity, response: VoteResponse) -> bool:
        """Count a vote; return whether it wins the election."""
        raft = self.raft
        expected = VoterRole.PRE_CANDIDATE if response.pre else VoterRole.CANDIDATE
        if not response.granted:
            if response.term > raft.term:
                raft.step_down(response.term)
            return False
        term = raft.term + 1 if response.pre else raft.term
        # Ignores late votes: those for an earlier candidacy or for an earlier disk of this voter.
        if raft.role is not expected or response.term != term or response.candidate != raft.identity:
            return False
        self.granted.add(sender)
        return self.is_won()

    def on_request(self, candidate: VoterIdentity, request: VoteRequest) -> None:
        """Answer a candidate's vote request."""
        raft = self.raft
        if self._has_leader() and not request.transfer:
            # Neither grants the vote nor adopts the term, so that a voter that is cut off from a working
            # leader cannot depose it.
            self._answer(candidate, request, granted=False)
            return
        if request.term > raft.term and not request.pre:
            raft.step_down(request.term)
        granted = self._would_grant(candidate, request)
        if granted and not request.pre:
            raft.set_term(raft.term, candidate)
            raft.restart_election_timer()
        self._answer(candidate, request, granted)

    def _has_leader(self) -> bool:
        raft = self.raft
        if raft.role is VoterRole.LEADER:
            return True  # until its lease ends, see ``Voter``
        return raft.now - raft.heard_leader_at < raft.settings.election_timeout_s

    def _would_grant(self, candidate: VoterIdentity, request: VoteRequest) -> bool:
        raft = self.raft
        if request.founding:
            own = tuple(sorted(raft.settings.initial_voters))
            if raft.log.configuration.members or request.founding != own:
                return False
        if (request.last_term, request.last_index) < (raft.log.last_term, raft.log.last_index):
            return False
        if request.pre:
            return request.term > raft.term
        return request.term == raft.term and raft.voted_for in (None, candidate)

    def _answer(self, candidate: VoterIdentity, request: VoteRequest, granted: bool) -> None:
        term = request.term if granted else self.raft.term
        self.raft.send(candidate.name, VoteResponse(term, candidate, granted, request.pre))
