"""Two live processes with one name: detected by a ping, and the lower instance falls silent. No I/O."""

from __future__ import annotations

from merlinbay.fleet.effects import MembershipEventKind
from merlinbay.fleet.event_log import MembershipEventLog
from merlinbay.fleet.gossip import GossipSender
from merlinbay.fleet.local_member import LocalMember
from merlinbay.fleet.members import MemberState
from merlinbay.fleet.messages import Ack, Ping
from merlinbay.fleet.outbox import Outbox
from merlinbay.fleet.settings import FleetSettings
from merlinbay.fleet.timers import ViewTimers

ANSWER_PERIODS = 4  # probe periods that the other process has to answer


class NameConflicts:
    """Tells a second process under this node's name from an outdated member state."""

    def __init__(
        self,
        settings: FleetSettings,
        local: LocalMember,
        gossip: GossipSender,
        outbox: Outbox,
        timers: ViewTimers,
        events: MembershipEventLog,
    ) -> None:
        self._settings, self._local, self._gossip = settings, local, gossip
        self._outbox, self._timers, self._events = outbox, timers, events
        self._pinged: dict[int, MemberState] = {}  # the other process's state by the ping's number

    def investigate(self, other: MemberState) -> None:
        """Ping the other address, one at a time."""
        if self._pinged:
            return
        sequence = self._outbox.next_sequence()
        self._pinged[sequence] = other
        self._gossip.send(other.addr, Ping(sequence, other.name), probed=other.name)
        self._timers.schedule(self._settings.probe * ANSWER_PERIODS, self._pinged.clear)

    def handle_ack(self, ack: Ack) -> bool:
        """Take an answer; return whether it was one to a ping of another process."""
        if (other := self._pinged.pop(ack.sequence, None)) is None:
            return False
        if ack.instance == other.instance:
            self._local.is_silenced |= self._local.state.instance < other.instance
            silenced = "; this one falls silent" if self._local.is_silenced else ""
            text = f"the name is also used at {other.addr}{silenced}"
            self._events.record(MembershipEventKind.CONFLICT, self._local.name, text)
        return True
