"""A node's view of its fleet: SWIM with Lifeguard's local health, push/pull and epochs. No I/O.

The caller passes in received bytes and the time. It carries out the effects and reports the events that the
view collects; ``next_at_s`` returns when ``tick`` is due. Times are seconds of a clock that does not go back.
A malformed message is counted or reported and otherwise ignored; a malformed frame raises
``MessageRejectedError``. Sources: Das, Gupta, Motivala 2002 (SWIM); Dadgar, Phillips, Currey 2018
(Lifeguard).
"""

from __future__ import annotations

from random import Random
from typing import Any

from merlinbay.fleet import wire
from merlinbay.fleet.broadcast_queue import BroadcastQueue
from merlinbay.fleet.effects import Effect, MembershipEvent, MembershipEventKind
from merlinbay.fleet.epoch_agreement import EpochAgreement
from merlinbay.fleet.epochs import EpochConsensus
from merlinbay.fleet.event_log import MembershipEventLog
from merlinbay.fleet.failure_detector import FailureDetector
from merlinbay.fleet.gossip import GossipSender
from merlinbay.fleet.indirect_probes import IndirectProbes
from merlinbay.fleet.local_member import LocalMember
from merlinbay.fleet.member_table import MemberTable
from merlinbay.fleet.members import Health, MemberState, decode_state
from merlinbay.fleet.messages import (
    KIND,
    REQUEST_KIND_EPOCH,
    Ack,
    FullState,
    IndirectPing,
    JoinRefused,
    Nack,
    Ping,
    decode_datagram,
    decode_stream_message,
    encode_join_refused,
    members_of,
)
from merlinbay.fleet.name_conflicts import NameConflicts
from merlinbay.fleet.outbox import Outbox
from merlinbay.fleet.push_pull import PushPull
from merlinbay.fleet.settings import FleetSettings
from merlinbay.fleet.timers import ViewTimers


class View:
    """Composes the parts of the membership protocol, and passes each message to the part that handles it."""

    def __init__(
        self,
        settings: FleetSettings,
        keys: wire.Keys,
        local_state: MemberState,
        rng: Random,
        now_s: float,
        consensus: EpochConsensus | None = None,
    ) -> None:
        self._settings = settings
        self.timers = ViewTimers(now_s)
        self.events = MembershipEventLog(self.timers)
        self.broadcasts = BroadcastQueue()
        self._outbox = outbox = Outbox(settings.name, keys, rng)
        self.local = LocalMember(local_state, now_s, self.broadcasts, self.events)
        self.table = MemberTable(settings, self.local, self.timers, self.events, self.broadcasts)
        self._gossip = gossip = GossipSender(
            settings, self.local, self.table, self.broadcasts, outbox, self.timers, rng
        )
        self._detector = FailureDetector(
            settings, self.local, self.table, gossip, outbox, self.timers, self.events, rng
        )
        self._indirect = IndirectProbes(settings, gossip, outbox, self.timers)
        self._conflicts = NameConflicts(settings, self.local, gossip, outbox, self.timers, self.events)
        self.table.on_name_conflict.append(self._conflicts.investigate)
        self.push_pull = PushPull(settings, self.local, self.table, outbox, self.timers, self.events, rng)
        self.epochs: EpochAgreement | None = None
        if consensus is not None:
            self.epochs = EpochAgreement(
                settings, consensus, self.local, self.table, outbox, self.timers, self.events, rng
            )
            self.push_pull.extra_fields = self.epochs.epoch_field

    # Start, time and changes of this node.

    def start(self) -> None:
        """Start all parts. Other members are found through seeds, or contact this node themselves."""
        self.broadcasts.add(self.local.state)
        self._detector.start()
        self._gossip.start()
        self.push_pull.start()
        self.table.start()
        if self.epochs is not None:
            self.epochs.start()

    def take_effects(self) -> list[Effect]:
        """Return the effects since the last call."""
        return self._outbox.take()

    def take_events(self) -> list[MembershipEvent]:
        """Return the events since the last call."""
        return self.events.take()

    def next_at_s(self) -> float:
        """Return when ``tick`` is due."""
        return self.timers.next_at_s()

    def tick(self, now_s: float) -> None:
        """Advance the clock and run the timers that are due."""
        late_s = now_s - max(self.timers.now_s, self.timers.next_at_s())
        if late_s > self._settings.probe:
            self._handle_pause(late_s)
        self.timers.advance(now_s)
        self.timers.run_due()

    def _handle_pause(self, late_s: float) -> None:
        # The process was stopped or starved, so answers of other members were not read in time. Probes are
        # dropped and suspicions postponed, so that this node does not suspect all others at once.
        self.local.degrade()
        self._detector.abandon_probes()
        self._indirect.abandon()
        self.table.suspicions.postpone(late_s)
        self.events.record(
            MembershipEventKind.PAUSED, self.local.name, f"the process was paused for {late_s:.1f} s"
        )
        self.timers.schedule(0.0, self.push_pull.exchange_with_any)

    def replace_keys(self, keys: wire.Keys) -> None:
        """Replace the keys for all further messages."""
        self._outbox.keys = keys

    def update(self, gauges: dict[str, float] | None = None, is_draining: bool | None = None) -> None:
        """Announce changed attributes of this node."""
        self.local.update(gauges, is_draining)

    def leave(self) -> None:
        """Announce that this node leaves. It goes on gossiping until its timers no longer run."""
        self.local.leave()
        self._gossip.spread()  # The process may end before the next periodic gossip.

    def join(self, addr: str) -> None:
        """Exchange member tables with the node at an address now, as an operator requests."""
        self.push_pull.exchange_with(addr, is_joining=True)

    # Messages.

    def handle_datagram(self, now_s: float, source: str, data: bytes) -> None:
        """Handle a datagram."""
        self.timers.advance(now_s)
        try:
            message = self._open(source, data)
        except wire.MessageRejectedError:
            return
        self._merge(message)
        match decode_datagram(message):
            case Ping(sequence, target):
                if target == self.local.name and not self.local.is_silenced:
                    self._gossip.send(source, Ack(sequence, self.local.state.instance))
            case Ack() as ack:
                if not self._conflicts.handle_ack(ack) and not self._indirect.handle_ack(ack):
                    self._detector.handle_ack(ack.sequence)
            case IndirectPing() as request:
                self._indirect.handle_request(source, request)
            case Nack() as nack:
                self._detector.handle_nack(nack)

    def handle_frame(self, now_s: float, source: str, data: bytes) -> bytes:
        """Handle a frame of a stream and return the answer.

        Raises ``MessageRejectedError`` and ``VoteNotStoredError``.
        """
        self.timers.advance(now_s)
        if self.epochs is None:
            return self._outbox.seal(self._answer_push_pull(self._open(source, data)))
        message = self._outbox.open(data)
        if message[KIND] == REQUEST_KIND_EPOCH:
            return self._outbox.seal(self.epochs.handle_request(message))
        answer = self._outbox.seal(self._answer_push_pull(message))
        self.epochs.learn_from(message)
        return answer

    def _answer_push_pull(self, message: dict[str, Any]) -> dict[str, Any]:
        state = decode_stream_message(message)
        if not isinstance(state, FullState):
            raise wire.MessageRejectedError("the frame is not a push/pull")
        if reason := self.push_pull.refusal_of(state):
            self.events.record(MembershipEventKind.REFUSED, state.sender[:64], reason)
            return encode_join_refused(JoinRefused(reason))
        self._merge(message, is_push_pull=True)
        return self.push_pull.full_state()

    def handle_answer(self, now_s: float, token: int, data: bytes | None) -> None:
        """Handle the answer to a request; None means that there was none."""
        self.timers.advance(now_s)
        if self.epochs is not None and (voter := self.epochs.take_request(token)) is not None:
            self.epochs.handle_answer(voter, self._read_vote(data))
            return
        addr = self.push_pull.take_request(token)
        if data is None:
            self.events.count("exchanges_failed")
            return
        try:
            message = self._open(addr, data)
        except wire.MessageRejectedError:
            return
        answer = decode_stream_message(message)
        self.push_pull.handle_answer(addr, answer)
        if isinstance(answer, FullState):
            self._merge(message, is_push_pull=True)
        if self.epochs is not None:
            self.epochs.learn_from(message)

    def _read_vote(self, data: bytes | None) -> dict[str, Any] | None:
        try:
            return None if data is None else self._outbox.open(data)
        except wire.MessageRejectedError:
            return None

    def _open(self, source: str, data: bytes) -> dict[str, Any]:
        """Verify and decode a message.

        Raises ``MessageRejectedError`` after the rejection has been counted or reported as an event.
        """
        try:
            return self._outbox.open(data)
        except wire.MessageRejectedError as error:
            kind = MembershipEventKind.PACKETS_REFUSED
            # Only the first packet that is no message at all becomes an event, and the others are counted, so
            # that stray packets do not fill the log.
            if not self.events.counts[kind] or str(error) != "not a message of this protocol":
                self.events.record(kind, source, str(error))
            else:
                self.events.count(kind)
            raise

    def _merge(self, message: dict[str, Any], is_push_pull: bool = False) -> None:
        """Merge the member states that a message carries, and count malformed ones."""
        for encoded in members_of(message):
            try:
                state = decode_state(encoded)
            except (ValueError, TypeError):
                self.events.count("claims_bad")
                continue
            self.table.merge(state, is_push_pull)


def initial_state(
    name: str, addr: str, zone: str, incarnation: int, instance: int, tags: dict[str, str]
) -> MemberState:
    """Return the state that a node announces at its start."""
    versions = (wire.OLDEST_VERSION, wire.NEWEST_VERSION)
    return MemberState(name, Health.ALIVE, incarnation, instance, addr, zone, versions, tags=tags)
