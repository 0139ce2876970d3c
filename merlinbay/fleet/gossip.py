"""Datagrams with piggybacked member states, and the periodic gossip. No I/O.

All datagrams of the view are sent by ``GossipSender``, so that each one carries queued member states. A node
that is silenced after a name conflict sends datagrams without member states.
"""

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

OVERHEAD_BYTES = 90  # reserved in a datagram for all but its member states and the fleet's name


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
        """Send queued member states to some random members; send nothing if none is queued."""
        peers = self._table.active_peers()
        for member in self._rng.sample(peers, min(self._settings.spread, len(peers))):
            if len(self._broadcasts):
                self.send(member.state.addr, Gossip())

    def send(self, addr: str, datagram: Datagram, probed: str = "") -> None:
        """Send a datagram with queued member states.

        ``probed`` is the name of the member that the datagram probes. If that is a suspect, the suspicion
        moves to the head of the queue, so that the suspect learns of it and can refute it.
        """
        if self._local.is_silenced:
            self._outbox.send(addr, encode_datagram(datagram, None))
            return
        member = self._table.members.get(probed)
        if member is not None and member.health is Health.SUSPECT:
            self._broadcasts.add(member.state)  # This is the "buddy system" of Lifeguard.
        room_bytes = MAX_DATAGRAM_BYTES - OVERHEAD_BYTES - len(self._settings.name)
        limit = timing(self._settings, len(self._table.members)).max_transmissions
        self._outbox.send(addr, encode_datagram(datagram, self._broadcasts.take(room_bytes, limit)))
