"""Connections of a voter to other voters.

Connections to the voters of the configuration are kept open. A connection to any other voter is opened by the
first message to it and closed when no message has been sent for a while. Messages that cannot be sent are
dropped and counted; the consensus protocol repeats them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import trio

from merlinbay.control_service.dialing import PeerConnection
from merlinbay.control_service.local_peer import LocalPeer

UNUSED_TIMEOUT_S = 60.0  # a connection to a machine that is no voter is closed after this time
SWEEP_INTERVAL_S = 10.0


@dataclass(slots=True)
class VoterPeer:
    """The connection to one other voter."""

    connection: PeerConnection
    used_at_s: float  # when the last message was sent
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class VoterPeers:
    """The connections of a voter, by the name of the other voter."""

    def __init__(self, local_peer: LocalPeer, address_of: Callable[[str], str], random: Random) -> None:
        """``address_of`` is called at every attempt to connect; an empty result means no known address."""
        self._local_peer, self._address_of, self._random = local_peer, address_of, random
        self._peers: dict[str, VoterPeer] = {}
        self._kept_names: tuple[str, ...] = ()
        self._received_at_s: dict[str, float] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Maintain the connections until cancelled."""
        async with trio.open_nursery() as self._nursery:
            while True:
                await trio.sleep(SWEEP_INTERVAL_S)
                self._sweep()

    def keep(self, names: tuple[str, ...]) -> None:
        """Stay connected to these voters, so that the first message of an election is sent without delay."""
        if names == self._kept_names or self._nursery is None:
            return
        self._kept_names = names
        for name in names:
            if name not in self._peers and name != self._local_peer.name:
                self._open(name)

    def _sweep(self) -> None:
        expired_before_s = trio.current_time() - UNUSED_TIMEOUT_S
        for name, peer in list(self._peers.items()):
            if peer.used_at_s < expired_before_s and name not in self._kept_names:
                peer.scope.cancel()
                del self._peers[name]

    def send(self, name: str, message: bytes) -> None:
        """Send a message; it is dropped if the connection is not open."""
        peer = self._peers.get(name) or self._open(name)
        if peer is not None:
            peer.used_at_s = trio.current_time()
            peer.connection.send(message)

    def _open(self, name: str) -> VoterPeer | None:
        if self._nursery is None or not self._address_of(name):
            self._local_peer.traffic.messages_dropped += 1
            return None
        connection = PeerConnection(self._local_peer, lambda: self._address_of(name), self._random)
        peer = self._peers[name] = VoterPeer(connection, trio.current_time())
        self._nursery.start_soon(self._run, peer)
        return peer

    async def _run(self, peer: VoterPeer) -> None:
        with peer.scope:
            await peer.connection.run()

    def record_received(self, name: str) -> None:
        """Record that a message from a voter was received."""
        self._received_at_s[name] = trio.current_time()

    def received_ago_s(self, name: str) -> float | None:
        """Return how long ago a voter's last message was received; None if never."""
        received_at_s = self._received_at_s.get(name)
        return None if received_at_s is None else trio.current_time() - received_at_s

    def is_connected(self, name: str) -> bool:
        """Return whether the connection to a voter is open."""
        peer = self._peers.get(name)
        return peer is not None and peer.connection.connection is not None
