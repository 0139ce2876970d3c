"""Epochs: numbered configurations of the fleet, each agreed by a majority of the previous one. No I/O.

Decisions that must not be made on both sides of a partition depend on the epoch; for all others the member
table is enough. Epoch e+1 is chosen by one round of Paxos (Lamport 2001) among the members of epoch e, and
epoch 1 by all nodes that every operator's file expects. Where a majority is lost for good, operators force
the next epoch. An acceptor stores its vote before it answers, and gives none if that fails. Members are
identified by node and disk (``voter_id``). Times are in seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from merlinbay.fleet.epoch_messages import (
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    Epoch,
    EpochAnswer,
    EpochRequest,
    Learn,
    Learned,
    OtherEpoch,
    Prepare,
    Promise,
    Rejected,
)

PHASE_TIMEOUT_S = 2.0
RETRY_BACKOFF_S = 3.0  # pause after a failed round, multiplied by a random factor from 0.5 to 1.5
# A forced epoch gets the next multiple of this number, so it is above all that others agree on meanwhile.
FORCED_NUMBER_STEP = 1000


@dataclass(frozen=True, slots=True)
class AcceptorState:
    """The durable state of an acceptor, stored under these field names.

    The ballots and the value belong to the epoch after ``epoch``.
    """

    epoch: Epoch = Epoch()  # the last epoch that is known to be chosen
    promised: Ballot = NO_BALLOT  # the highest ballot promised
    accepted: Ballot = NO_BALLOT  # the ballot of the accepted value
    value: tuple[str, ...] = ()  # the accepted members


@dataclass(slots=True)
class Proposal:
    """A round of Paxos that this node leads."""

    number: int  # number of the proposed epoch
    ballot: Ballot
    voters: tuple[str, ...]
    majority: int
    value: tuple[str, ...]
    ends_at_s: float
    is_accepting: bool = False  # whether the round is in its second phase
    highest_accepted: Ballot = NO_BALLOT  # the highest ballot in which a voter has accepted a value
    votes: set[str] = field(default_factory=set)  # voters that agreed in this phase


class EpochConsensus:
    """One node's part in the agreement: always acceptor, and proposer while it is the first present voter."""

    def __init__(
        self,
        own_voter_id: str,
        expected: int,
        state: AcceptorState | None,
        store: Callable[[AcceptorState], None],
        random: Callable[[], float],
    ) -> None:
        self.own_voter_id, self._expected, self._store, self._random = own_voter_id, expected, store, random
        self.state = state or AcceptorState()
        self.proposal: Proposal | None = None
        self.outbox: list[tuple[str, EpochRequest]] = []  # voters, and the requests to send to them
        self.chosen: list[Epoch] = []  # new epochs that are still to be reported
        # Another epoch with the number of this one, still to be reported. It exists where two were forced.
        self.conflicting: Epoch | None = None
        self._highest_ballot: Ballot = self.state.promised
        self._candidate: tuple[str, ...] = ()  # the members that the next epoch would have
        self._stable_since_s = 0.0  # time of the last change of the candidate
        self._retry_at_s = 0.0  # earliest time of the next proposal

    @property
    def epoch(self) -> Epoch:
        """Return the last known epoch."""
        return self.state.epoch

    def majority(self) -> int:
        """Return how many voters must agree on the next epoch: a majority, or all expected for the first."""
        # A fleet that lost a majority of its disks must not form its first epoch anew. Since the first epoch
        # needs all expected nodes, a single node that remembers an epoch prevents this.
        return len(self.epoch.members) // 2 + 1 if self.epoch.number else max(self._expected, 1)

    # Proposer.

    def tick(self, now_s: float, present: dict[str, bool], settle_s: float) -> None:
        """Propose the next epoch once its members have not changed for ``settle_s``.

        ``present`` maps each present voter to whether it is eligible as a member.
        """
        candidate = tuple(sorted(voter for voter, is_eligible in present.items() if is_eligible))
        if candidate != self._candidate:
            self._candidate, self._stable_since_s = candidate, now_s
        if self.proposal is not None and now_s >= self.proposal.ends_at_s:
            self.proposal = None
            self._retry_at_s = now_s + RETRY_BACKOFF_S * (0.5 + self._random())
        if self.proposal is not None or now_s < self._retry_at_s or now_s - self._stable_since_s < settle_s:
            return
        epoch = self.epoch
        voters = tuple(voter for voter in sorted(present) if not epoch.number or voter in epoch.members)
        if not voters or voters[0] != self.own_voter_id or candidate == epoch.members or not candidate:
            return
        if len(voters) < self.majority():
            return
        ballot = (max(self._highest_ballot[0], self.state.promised[0]) + 1, self.own_voter_id)
        self.proposal = Proposal(
            epoch.number + 1, ballot, voters, self.majority(), candidate, now_s + PHASE_TIMEOUT_S
        )
        self._request_votes(Prepare(epoch.number + 1, ballot, self.own_voter_id, epoch))

    def _request_votes(self, request: Prepare | Accept) -> None:
        proposal = self.proposal
        assert proposal is not None
        for voter in proposal.voters:
            if voter != self.own_voter_id:
                self.outbox.append((voter, request))
                continue
            self.handle_answer(self.own_voter_id, self.handle_request(request))
            if self.proposal is not proposal:
                return

    def handle_answer(self, voter: str, answer: EpochAnswer | None) -> None:
        """Handle a voter's answer; None stands for a missing or malformed one."""
        if isinstance(answer, OtherEpoch):
            self.learn(answer.current_epoch)
            return
        proposal = self.proposal
        if answer is None or isinstance(answer, Learned) or proposal is None:
            return
        if (answer.number, answer.ballot) != (proposal.number, proposal.ballot):
            return
        if isinstance(answer, Rejected):
            self._highest_ballot = max(self._highest_ballot, answer.promised)
            return
        if isinstance(answer, Accepted) is not proposal.is_accepting or voter not in proposal.voters:
            return
        if isinstance(answer, Promise) and answer.accepted > proposal.highest_accepted:
            # This value may already have been chosen, so the proposal continues with it.
            proposal.highest_accepted, proposal.value = answer.accepted, answer.value
        proposal.votes.add(voter)
        if len(proposal.votes) >= proposal.majority:
            self._end_phase(proposal)

    def _end_phase(self, proposal: Proposal) -> None:
        if not proposal.is_accepting:
            proposal.is_accepting, proposal.votes = True, set()
            self._request_votes(
                Accept(proposal.number, proposal.ballot, self.own_voter_id, self.epoch, proposal.value)
            )
            return
        chosen = Epoch(proposal.number, proposal.value)
        self._adopt(chosen)
        self._announce(chosen, {*proposal.voters, *proposal.value})

    def _announce(self, epoch: Epoch, voters: set[str]) -> None:
        learn = Learn(self.own_voter_id, epoch)
        self.outbox += [(voter, learn) for voter in sorted(voters - {self.own_voter_id})]

    # Acceptor.

    def handle_request(self, request: EpochRequest) -> EpochAnswer:
        """Answer a proposer. A vote is stored before the answer; raises ``OSError`` if that fails."""
        if isinstance(request, Learn):
            self.learn(request.epoch)
            return Learned()
        self.learn(request.current_epoch)
        number, ballot = request.number, request.ballot
        if number != self.epoch.number + 1:
            return OtherEpoch(self.epoch)
        # A node that lost its disk has forgotten its votes and must not vote again. With another disk it is
        # another voter, which is not a member of this epoch.
        has_vote = not self.epoch.number or self.own_voter_id in self.epoch.members
        if not has_vote or ballot < self.state.promised or ballot == NO_BALLOT:
            return Rejected(number, ballot, self.own_voter_id, self.state.promised)
        if isinstance(request, Prepare):
            self._save(replace(self.state, promised=ballot))
            return Promise(number, ballot, self.own_voter_id, self.state.accepted, self.state.value)
        self._save(replace(self.state, promised=ballot, accepted=ballot, value=request.value))
        return Accepted(number, ballot, self.own_voter_id)

    def _save(self, state: AcceptorState) -> None:
        self._store(state)
        self.state = state

    def learn(self, epoch: Epoch | None) -> None:
        """Adopt a chosen epoch if it is later than the known one; note a conflict of equal numbers."""
        if epoch is None:
            return
        if epoch.number > self.epoch.number:
            self._adopt(epoch)
        elif epoch.number == self.epoch.number and epoch.members != self.epoch.members:
            self.conflicting = epoch

    def force(self, present: tuple[str, ...], lost: tuple[str, ...]) -> Epoch:
        """Make the present voters the next epoch, as an operator requests, who names all lost nodes.

        Raises ``ValueError`` if that is not allowed, and ``OSError`` if it cannot be stored.
        """
        before, members = self.epoch, tuple(sorted(present))
        if not before.number:
            raise ValueError("there is no epoch yet: all expected nodes together form the first one")
        if sum(voter in members for voter in before.members) >= self.majority():
            raise ValueError("a majority is there: it agrees on the next epoch without force")
        missing = sorted(node_of(voter) for voter in before.members if voter not in members)
        if sorted(lost) != missing:
            raise ValueError(f"the lost nodes are {', '.join(missing)}: name all of them and no others")
        self._adopt(Epoch((before.number // FORCED_NUMBER_STEP + 1) * FORCED_NUMBER_STEP, members))
        self._announce(self.epoch, set(members))
        return self.epoch

    def _adopt(self, epoch: Epoch) -> None:
        self._save(AcceptorState(epoch))
        self.proposal = None
        self.chosen.append(epoch)


def voter_id(node: str, disk_id: str) -> str:
    """Return the id of a node with this disk as a voter and member of epochs."""
    return f"{node}/{disk_id}"


def node_of(voter: str) -> str:
    """Return the name of a voter's node."""
    return voter.partition("/")[0]
