"""Datagrams with piggybacked member states, and the periodic gossip. No I/O."""

from __future__ import annotations

from random import Random

from merlinbay.fleet.broadcast_queue import BroadcastQueue
from merlinbay.fleet.local_member import LocalMember
from merlinbay.fleet.member_table import MemberTable
from merlinbay.fleet.members import Health
from merlinbay.fleet.messages import Datagram, Gossip, encode_datagram
from merlinbay.fleet.outbox import Outbox
from merlinbay.fleet.settings import FleetSettings, timing
from merlinbay.fleet.timers import ViewTimers
from merlinbay.fleet.wire import MAX_DATAGRAM_BYTES

OVERHEAD_BYTES = 90  # of a datagram beside its member states and the fleet's name


class GossipSender:
    """Sends datagrams, each with as many queued member states as fit."""

    def __init__(
        self,
        settings: FleetSettings,
        local: LocalMember,
        table: MemberTable,
        broadcasts: BroadcastQueue,
        outbox: Outbox,
        timers: ViewTimers,
        rng: Random,
    ) -> None:
        self._settings, self._local, self._table = settings, local, table
        self._broadcasts, self._outbox, self._timers, self._rng = broadcasts, outbox, timers, rng

    def start(self) -> None:
        """Start the periodic gossip."""
        self._timers.schedule(self._settings.gossip, self._gossip)

    def _gossip(self) -> None:
        self._timers.schedule(self._settings.gossip, self._gossip)
        self.spread()

    def spread(self) -> None:
        """Gossip to some members, if anything is queued."""
        peers = self._table.active_peers()
        for member in self._rng.sample(peers, min(self._settings.spread, len(peers))):
            if len(self._broadcasts):
                self.send(member.state.addr, Gossip())

    def send(self, addr: str, datagram: Datagram, probed: str = "") -> None:
        """Send a datagram; if it probes a suspect, it carries the suspicion first of all."""
        if self._local.is_silenced:
            self._outbox.send(addr, encode_datagram(datagram, None))
            return
        member = self._table.members.get(probed)
        if member is not None and member.health is Health.SUSPECT:
            self._broadcasts.add(member.state)  # Lifeguard's buddy system
        room_bytes = MAX_DATAGRAM_BYTES - OVERHEAD_BYTES - len(self._settings.name)
        limit = timing(self._settings, len(self._table.members)).max_transmissions
        self._outbox.send(addr, encode_datagram(datagram, self._broadcasts.take(room_bytes, limit)))
