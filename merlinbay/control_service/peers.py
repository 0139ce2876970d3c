"""Links to other voters: kept to those of the configuration, to others while something is sent there."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import trio

from merlinbay.control_service.transport import Endpoint, Link

UNUSED_S = 60.0  # a link over which nothing was sent for so long is closed
SWEEP_S = 10.0


@dataclass(slots=True)
class Peer:
    """One other voter."""

    link: Link
    used: float
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class Peers:
    """All links of a voter, by the name of the other one."""

    def __init__(self, endpoint: Endpoint, address_of: Callable[[str], str], random: Random) -> None:
        """``address_of`` is asked at every attempt to connect; empty where no address is known."""
        self._endpoint, self._address_of, self._random = endpoint, address_of, random
        self._peers: dict[str, Peer] = {}
        self._wanted: tuple[str, ...] = ()
        self._heard: dict[str, float] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Keep links until cancelled."""
        async with trio.open_nursery() as self._nursery:
            while True:
                await trio.sleep(SWEEP_S)
                self._sweep()

    def keep(self, names: tuple[str, ...]) -> None:
        """Keep links to these, so that the first message of an election need not wait for a connection."""
        if names == self._wanted or self._nursery is None:
            return
        self._wanted = names
        for name in names:
            if name not in self._peers and name != self._endpoint.name:
                self._open(name)

    def _sweep(self) -> None:
        before = trio.current_time() - UNUSED_S
        for name, peer in list(self._peers.items()):
            if peer.used < before and name not in self._wanted:
                peer.scope.cancel()
                del self._peers[name]

    def send(self, name: str, message: bytes) -> None:
        """Send a message, or lose it where the link is not open."""
        peer = self._peers.get(name) or self._open(name)
        if peer is not None:
            peer.used = trio.current_time()
            peer.link.send(message)

    def _open(self, name: str) -> Peer | None:
        if self._nursery is None or not self._address_of(name):
            self._endpoint.traffic.messages_dropped += 1
            return None
        link = Link(self._endpoint, lambda: self._address_of(name), self._random)
        peer = self._peers[name] = Peer(link, trio.current_time())
        self._nursery.start_soon(self._run, peer)
        return peer

    async def _run(self, peer: Peer) -> None:
        with peer.scope:
            await peer.link.run()

    def heard(self, name: str) -> None:
        """Take it that a message of a voter has come."""
        self._heard[name] = trio.current_time()

    def heard_ago(self, name: str) -> float | None:
        """Return how long ago a voter's last message came; None: never."""
        at = self._heard.get(name)
        return None if at is None else trio.current_time() - at

    def connected(self, name: str) -> bool:
        """Tell whether the link to a voter is open."""
        peer = self._peers.get(name)
        return peer is not None and peer.link.connection is not None
