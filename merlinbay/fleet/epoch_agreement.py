"""Runs the agreement on epochs for a node: finds voters in the member table and exchanges votes. No I/O.

It checks periodically whether the members have changed, sends the requests of ``EpochConsensus``, passes the
answers back, and reports chosen, forced and conflicting epochs as events. A voter that does not answer is
missing in the count of the round. A vote that cannot be stored is not given.
"""

from __future__ import annotations

from random import Random
from typing import Any

from merlinbay.fleet.effects import MembershipEventKind
from merlinbay.fleet.epoch_messages import (
    Epoch,
    decode_answer,
    decode_epoch,
    decode_request,
    encode_answer,
    encode_epoch,
    encode_request,
)
from merlinbay.fleet.epochs import EpochConsensus, node_of, voter_id
from merlinbay.fleet.event_log import MembershipEventLog
from merlinbay.fleet.local_member import LocalMember
from merlinbay.fleet.member_table import MemberTable
from merlinbay.fleet.members import Health
from merlinbay.fleet.messages import EPOCH
from merlinbay.fleet.outbox import Outbox
from merlinbay.fleet.settings import FleetSettings
from merlinbay.fleet.timers import ViewTimers

CHECK_INTERVAL_S = (
    0.5  # between two checks of the member table, multiplied by a random factor from 0.5 to 1.5
)


class VoteNotStoredError(Exception):
    """A vote could not be stored and was therefore not given. The text is the operating system's error."""


class EpochAgreement:
    """Connects ``EpochConsensus`` to the member table and the outbox."""

    def __init__(
        self,
        settings: FleetSettings,
        consensus: EpochConsensus,
        local: LocalMember,
        table: MemberTable,
        outbox: Outbox,
        timers: ViewTimers,
        events: MembershipEventLog,
        rng: Random,
    ) -> None:
        self._settings, self.consensus, self._local, self._table = settings, consensus, local, table
        self._outbox, self._timers, self._events, self._rng = outbox, timers, events, rng
        self._requests: dict[int, str] = {}  # voters of the requests under way by token

    def start(self) -> None:
        """Start the periodic check for changes of the members."""
        self._timers.schedule(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timers.schedule(CHECK_INTERVAL_S * (0.5 + self._rng.random()), self._check)
        if self._local.is_leaving or self._local.is_silenced:
            return
        if not (self._settings.expect or self.consensus.epoch.number):
            return
        self.consensus.tick(self._timers.now_s, self._present(), self._settings.settle)
        self._flush()

    def _present(self) -> dict[str, bool]:
        """Return the voters that are alive, and whether each is eligible, which a draining node is not."""
        return {
            voter_id(member.name, member.state.disk_id): not member.state.is_draining
            for member in self._table.active()
            if member.health is Health.ALIVE and member.state.disk_id
        }

    def force(self, lost: tuple[str, ...]) -> Epoch:
        """Form the next epoch from the present voters, as an operator requests.

        Raises ``ValueError`` and ``OSError`` as ``EpochConsensus.force`` does.
        """
        eligible = tuple(voter for voter, is_eligible in self._present().items() if is_eligible)
        epoch = self.consensus.force(eligible, lost)
        text = f"{epoch.number}, without {', '.join(lost)}"
        self._events.record(MembershipEventKind.EPOCH_FORCED, self._local.name, text)
        self._flush()
        return epoch

    def _flush(self) -> None:
        """Send the requests of the consensus, and report chosen and conflicting epochs."""
        consensus = self.consensus
        requests, consensus.outbox = consensus.outbox, []
        for voter, request in requests:
            member = self._table.members.get(node_of(voter))
            if member is not None and voter_id(member.name, member.state.disk_id) == voter:
                token = self._outbox.next_sequence()
                self._requests[token] = voter
                self._outbox.request(member.state.addr, token, encode_request(request))
        chosen, consensus.chosen = consensus.chosen, []
        for epoch in chosen:
            text = f"{epoch.number}: {', '.join(map(node_of, epoch.members))}"
            self._events.record(MembershipEventKind.EPOCH, self._local.name, text)
        conflicting, consensus.conflicting = consensus.conflicting, None
        if conflicting is not None:
            text = f"another epoch {conflicting.number} has the members {', '.join(conflicting.members)}"
            self._events.record(MembershipEventKind.EPOCH_CLASH, self._local.name, text)

    def handle_request(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answer a proposer. Raises ``VoteNotStoredError`` if the vote cannot be stored."""
        try:
            answer = self.consensus.handle_request(decode_request(message))
        except OSError as error:
            raise VoteNotStoredError(error.strerror) from None
        self._flush()
        return encode_answer(answer)

    def take_request(self, token: int) -> str | None:
        """Remove a request that has ended and return its voter; None if the token is of no such request."""
        return self._requests.pop(token, None)

    def handle_answer(self, voter: str, message: dict[str, Any] | None) -> None:
        """Handle a voter's answer; None means that there was none."""
        self.consensus.handle_answer(voter, None if message is None else decode_answer(message))
        self._flush()

    def learn_from(self, message: dict[str, Any]) -> None:
        """Learn the epoch that a push/pull carries."""
        self.consensus.learn(decode_epoch(message.get(EPOCH)))
        self._flush()

    def epoch_field(self) -> dict[str, Any]:
        """Return the field by which a push/pull carries the epoch."""
        return {EPOCH: encode_epoch(self.consensus.epoch)}
