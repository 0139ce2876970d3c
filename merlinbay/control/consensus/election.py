"""Elections: timers, preliminary votes, votes, the first election of all (Ongaro 2014, 3.4, 4.2.3, 9.6)."""

from __future__ import annotations

from merlinbay.control.consensus.core import Core
from merlinbay.control.consensus.membership import Member
from merlinbay.control.consensus.messages import VoteRequest, VoteResponse
from merlinbay.control.consensus.roles import Role


class Election:
    """One voter's part in elections: as a candidate, and as one who is asked."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.granted: set[Member] = set()
        self.founding: tuple[str, ...] = ()  # of the election under way

    @property
    def is_founder(self) -> bool:
        """Return whether this voter may form the first configuration: one may, and there is none."""
        initial = self.core.settings.initial_voters
        return not self.core.log.configuration.members and bool(initial) and self.core.name == min(initial)

    @property
    def may_stand(self) -> bool:
        """Return whether this voter may become a candidate."""
        return self.core.is_member or self.is_founder

    def start(self, role: Role, transfer: bool = False) -> bool:
        """Become a candidate, preliminary or real; return whether that is won already."""
        core = self.core
        core.become(role)
        core.leader = ""
        core.restart_candidacy_timer()
        self.granted = {core.identity}
        self.founding = tuple(sorted(core.settings.initial_voters)) if self.is_founder else ()
        if role is Role.CANDIDATE:
            core.counters.elections_started += 1
            core.set_term(core.term + 1, core.identity)
        pre = role is Role.PRE_CANDIDATE
        term = core.term + 1 if pre else core.term
        request = VoteRequest(term, core.log.last_index, core.log.last_term, pre, transfer, self.founding)
        for name in self.founding or core.log.configuration.names:
            if name != core.name:
                core.send(name, request)
        return self.is_won()

    def is_won(self) -> bool:
        """Return whether enough votes are there."""
        if self.founding:
            # All, not a majority: a voter that forgot the first configuration with its disk grants this too.
            return {member.name for member in self.granted} >= set(self.founding)
        configuration = self.core.log.configuration
        return len(self.granted.intersection(configuration.members)) >= configuration.quorum

    def founders(self) -> tuple[Member, ...]:
        """Return the members of the first configuration: the disks that voted, one of each voter."""
        by_name = {member.name: member for member in self.granted}
        return tuple(by_name[name] for name in sorted(by_name))

    def on_response(self, sender: Member, response: VoteResponse) -> bool:
        """Count a vote; return whether the election is won by it."""
        core = self.core
        expected = Role.PRE_CANDIDATE if response.pre else Role.CANDIDATE
        if not response.granted:
            if response.term > core.term:
                core.step_down(response.term)
            return False
        term = core.term + 1 if response.pre else core.term
        # The disk too: guards against a vote for the one that this voter has lost, come late.
        if core.role is not expected or response.term != term or response.candidate != core.identity:
            return False
        self.granted.add(sender)
        return self.is_won()

    def on_request(self, candidate: Member, request: VoteRequest) -> None:
        """Answer a candidate."""
        core = self.core
        if self._has_leader() and not request.transfer:
            # The term too stays as it is: guards a working leader against one voter that does not hear it.
            self._answer(candidate, request, granted=False)
            return
        if request.term > core.term and not request.pre:
            core.step_down(request.term)
        granted = self._would_grant(candidate, request)
        if granted and not request.pre:
            core.set_term(core.term, candidate)
            core.restart_election_timer()
        self._answer(candidate, request, granted)

    def _has_leader(self) -> bool:
        core = self.core
        if core.role is Role.LEADER:
            return True  # its lease ends that, see Voter
        return core.now - core.heard_leader_at < core.settings.election_timeout

    def _would_grant(self, candidate: Member, request: VoteRequest) -> bool:
        core = self.core
        if request.founding:
            own = tuple(sorted(core.settings.initial_voters))
            if core.log.configuration.members or request.founding != own:
                return False
        if (request.last_term, request.last_index) < (core.log.last_term, core.log.last_index):
            return False
        if request.pre:
            return request.term > core.term
        return request.term == core.term and core.voted_for in (None, candidate)

    def _answer(self, candidate: Member, request: VoteRequest, granted: bool) -> None:
        term = request.term if granted else self.core.term
        self.core.send(candidate.name, VoteResponse(term, candidate, granted, request.pre))
