"""A follower upstream and a server of watches downstream, with the recent changes between them."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from merlinbay.control.fanout.effects import RelayEffect
from merlinbay.control.fanout.follower import Follower
from merlinbay.control.fanout.settings import RelaySettings
from merlinbay.control.fanout.source import WatchServer
from merlinbay.control.fanout.topology import Location, Upstream


class Relay:
    """Serves on what it follows. Calls about its own upstream streams begin with ``upstream_``."""

    follower: Follower
    server: WatchServer

    def __init__(
        self,
        member: str,
        location: Location,
        upstreams: Iterable[Upstream],
        settings: RelaySettings,
        rng: Random,
        now: float,
        *,
        tier: int = 1,
        others: Iterable[str] = (),
    ) -> None:
        """Follow ``upstreams``, all of a lower tier, so that no relay follows itself by way of others."""
        raise NotImplementedError

    def start(self, now: float) -> None:
        """Look for an upstream; watches are taken once there is a state."""
        raise NotImplementedError

    def drain(self, now: float) -> None:
        """Send all watches elsewhere and end the own one."""
        raise NotImplementedError

    def set_upstreams(self, upstreams: Iterable[Upstream], now: float) -> None:
        """Take a new list of upstreams."""
        raise NotImplementedError

    def upstream_connected(self, attempt: int, now: float) -> None:
        """Hear that the stream of an attempt is open."""
        raise NotImplementedError

    def upstream_received(self, attempt: int, frame: bytes, now: float) -> None:
        """Take a frame from upstream."""
        raise NotImplementedError

    def upstream_closed(self, attempt: int, now: float) -> None:
        """Hear that the stream of an attempt has ended or could not be opened."""
        raise NotImplementedError

    def opened(self, connection: int, now: float) -> None:
        """Take a new downstream stream."""
        raise NotImplementedError

    def received(self, connection: int, frame: bytes, now: float) -> None:
        """Take a frame from downstream."""
        raise NotImplementedError

    def written(self, connection: int, size: int, now: float) -> None:
        """Hear that a frame of ``size`` bytes was taken by the network."""
        raise NotImplementedError

    def closed(self, connection: int, now: float) -> None:
        """Hear that a downstream stream has ended."""
        raise NotImplementedError

    def tick(self, now: float) -> None:
        """Do what is due."""
        raise NotImplementedError

    def next_deadline(self) -> float:
        """Return when ``tick`` is due; infinity if never."""
        raise NotImplementedError

    def take_effects(self) -> list[RelayEffect]:
        """Return what is to be done, once."""
        raise NotImplementedError
