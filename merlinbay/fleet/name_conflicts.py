"""Detects a second live process with this node's name, and silences the one with the lower instance. No I/O.

The member table reports a state under this node's name with another instance and address. It may be outdated,
so the address is pinged. Only an answer from that instance proves a conflict, which is reported as an event.
"""

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

ANSWER_PERIODS = 4  # probe periods within which the other process has to answer


class NameConflicts:
    """Distinguishes a second process with this node's name from an outdated member state."""

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
        self._pinged: dict[int, MemberState] = {}  # claimed states by the sequence number of their ping

    def investigate(self, claimed: MemberState) -> None:
        """Ping the address of another process; do nothing while such a ping awaits its answer."""
        if self._pinged:
            return
        sequence = self._outbox.next_sequence()
        self._pinged[sequence] = claimed
        self._gossip.send(claimed.addr, Ping(sequence, claimed.name), probed=claimed.name)
        self._timers.schedule(self._settings.probe * ANSWER_PERIODS, self._pinged.clear)

    def handle_ack(self, ack: Ack) -> bool:
        """Handle an answer; return whether it belongs to a ping of ``investigate``."""
        if (claimed := self._pinged.pop(ack.sequence, None)) is None:
            return False
        if ack.instance == claimed.instance:
            self._local.is_silenced |= self._local.state.instance < claimed.instance
            silenced = "; this process stops announcing itself" if self._local.is_silenced else ""
            text = f"the name is also used at {claimed.addr}{silenced}"
            self._events.record(MembershipEventKind.CONFLICT, self._local.name, text)
        return True
