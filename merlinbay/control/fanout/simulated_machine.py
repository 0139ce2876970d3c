"""A process in virtual time. It calls its core for events and ticks, and sends its effects as messages."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Protocol

from merlinbay.control.fanout.effects import (
    CloseDownstream,
    CloseUpstream,
    ConnectUpstream,
    RelayEffect,
    SendDownstream,
    SendUpstream,
    StateAdvanced,
)
from merlinbay.control.fanout.follower import Follower
from merlinbay.control.fanout.messages import GoodbyeReason
from merlinbay.control.fanout.relay import Relay
from merlinbay.control.fanout.simulated_network import FanoutNetwork
from merlinbay.control.fanout.topology import Location
from merlinbay.control.fanout.watch_server import WatchServer


class TimedCore(Protocol):
    """The core that a simulated process runs: a follower, relay or watch server."""

    def tick(self, now: float) -> None:
        """Run what is due."""

    def next_deadline(self) -> float:
        """Return when ``tick`` is due."""

    def take_effects(self) -> Sequence[RelayEffect]:
        """Return the effects since the last call."""


class WatchingCore(Protocol):
    """The calls for the streams of a core's own attempts; a follower or relay has them."""

    def upstream_connected(self, attempt: int, now: float) -> None:
        """Handle the opening of an attempt's stream."""

    def upstream_received(self, attempt: int, frame: bytes, now: float) -> None:
        """Process a frame from upstream."""

    def upstream_closed(self, attempt: int, now: float) -> None:
        """Record that the stream of an attempt has ended or could not be opened."""


class ServingCore(Protocol):
    """The calls for the streams that a core serves; a relay or watch server has them."""

    def opened(self, connection: int, now: float) -> None:
        """Register a new stream."""

    def received(self, connection: int, frame: bytes, now: float) -> None:
        """Process a frame from downstream."""

    def written(self, connection: int, size: int, now: float) -> None:
        """Record that a frame was written."""

    def closed(self, connection: int, now: float) -> None:
        """Record that a stream has ended."""


class SimulatedStream:
    """The connection of a client's attempt to a server."""

    __slots__ = ("attempt", "client", "delay", "down_free", "number", "open", "server", "up_free")

    def __init__(
        self, number: int, client: SimulatedMachine, attempt: int, server: SimulatedMachine, delay: float
    ) -> None:
        self.number, self.client, self.attempt, self.server = number, client, attempt, server
        self.delay = delay
        self.open = True
        self.up_free = self.down_free = 0.0  # arrival of the last message each way, so that order is kept


class SimulatedMachine:
    """A process at a location. Ticks its core when due, and carries out its effects."""

    def __init__(
        self,
        network: FanoutNetwork[SimulatedMachine],
        name: str,
        location: Location,
        core: TimedCore,
        up: WatchingCore | None = None,
        down: ServingCore | None = None,
        on_advance: Callable[[SimulatedMachine, StateAdvanced], None] | None = None,
    ) -> None:
        self.network, self.name, self.location, self.core = network, name, location, core
        self.alive = True
        self.refuses = True  # connecting to it after its end fails at once, since its system still runs
        self._up, self._down, self._on_advance = up, down, on_advance
        self._attempts: dict[int, SimulatedStream] = {}  # streams of its own attempts, by attempt
        self._served: dict[int, SimulatedStream] = {}  # streams that it serves, by number
        self._timer = math.inf
        network.hosts[name] = self

    def done(self) -> None:
        """Carry out the effects of a call, and plan the next tick."""
        for effect in self.core.take_effects():
            self._carry_out(effect)
        deadline = self.core.next_deadline()
        if self.alive and deadline < self._timer:
            self._timer = deadline
            self.network.at(max(deadline, self.network.now), lambda: self._wake(deadline))

    def die(self, closes_streams: bool) -> None:
        """End at once. If ``closes_streams``, its system closes the streams; otherwise they stay silent."""
        self.alive = False
        self.refuses = closes_streams
        for stream in [*self._attempts.values(), *self._served.values()]:
            if closes_streams:
                self.network.at(self.network.now + stream.delay, lambda ended=stream: _notify_ended(ended))  # type: ignore[misc]

    def _wake(self, timer: float) -> None:
        if timer != self._timer or not self.alive:
            return
        self._timer = math.inf
        if self.core.next_deadline() <= self.network.now:
            self.core.tick(self.network.now)
        self.done()

    def _carry_out(self, effect: RelayEffect) -> None:
        match effect:
            case SendDownstream(connection, frame):
                self._send_down(connection, frame)
            case SendUpstream(attempt, frame):
                self._send_up(attempt, frame)
            case ConnectUpstream(attempt, upstream):
                self._connect(attempt, self.network.hosts[upstream.name])
            case CloseUpstream(attempt):
                self._close(self._attempts.pop(attempt, None), after_frames=True)
            case CloseDownstream(connection, reason):
                orderly = reason is not GoodbyeReason.SLOW  # frames queued for a slow client are lost
                self._close(self._served.pop(connection, None), orderly)
            case StateAdvanced() if self._on_advance is not None:
                self._on_advance(self, effect)

    # Streams.

    def _connect(self, attempt: int, server: SimulatedMachine) -> None:
        delay = self.network.delay(self.location, server.location)
        stream = SimulatedStream(self.network.next_stream_number(), self, attempt, server, delay)
        self._attempts[attempt] = stream
        self.network.at(self.network.now + 2 * stream.delay, lambda: self._connected(stream))

    def _connected(self, stream: SimulatedStream) -> None:
        """Open a stream; to an unreachable machine it never opens."""
        if stream.attempt not in self._attempts:
            return
        if not stream.server.alive and stream.server.refuses:
            _notify_ended(stream)
        elif self.network.reachable(self, stream.server):
            stream.server._opened(stream)
            assert self._up is not None
            self._up.upstream_connected(stream.attempt, self.network.now)
            self.done()

    def _opened(self, stream: SimulatedStream) -> None:
        assert self._down is not None
        self._served[stream.number] = stream
        self._down.opened(stream.number, self.network.now)
        self.done()

    def _send_up(self, attempt: int, frame: bytes) -> None:
        stream = self._attempts.get(attempt)
        if stream is not None:
            stream.up_free = self.network.arrival(stream.delay, stream.up_free)
            self.network.at(stream.up_free, lambda: stream.server._receive_from_downstream(stream, frame))

    def _receive_from_downstream(self, stream: SimulatedStream, frame: bytes) -> None:
        if stream.number in self._served and self.network.reachable(stream.client, self):
            assert self._down is not None
            self._down.received(stream.number, frame, self.network.now)
            self.done()

    def _send_down(self, number: int, frame: bytes) -> None:
        stream = self._served.get(number)
        if stream is not None:
            stream.down_free = self.network.arrival(stream.delay, stream.down_free)
            self.network.at(stream.down_free, lambda: stream.client._receive_from_upstream(stream, frame))

    def _receive_from_upstream(self, stream: SimulatedStream, frame: bytes) -> None:
        server = stream.server
        if not self.network.reachable(server, self) or self.name in self.network.slow:
            return
        if stream.attempt in self._attempts:
            assert self._up is not None
            self._up.upstream_received(stream.attempt, frame, self.network.now)
            self.done()
        if stream.number in server._served:
            assert server._down is not None
            server._down.written(stream.number, len(frame), self.network.now)
            server.done()

    def _close(self, stream: SimulatedStream | None, after_frames: bool) -> None:
        """Close a stream; the other side is notified if it can be reached at that time."""
        if stream is None:
            return
        moment = self.network.now + stream.delay
        if after_frames:
            moment = max(moment, stream.up_free, stream.down_free)
        self.network.at(moment, lambda: _notify_ended(stream))

    def _ended(self, stream: SimulatedStream) -> None:
        now = self.network.now
        if stream.client is self and self._up is not None and stream.attempt in self._attempts:
            del self._attempts[stream.attempt]
            self._up.upstream_closed(stream.attempt, now)
        elif stream.server is self and self._down is not None and stream.number in self._served:
            del self._served[stream.number]
            self._down.closed(stream.number, now)
        self.done()


def _notify_ended(stream: SimulatedStream) -> None:
    """Notify both sides that run of the stream's end, unless their regions are cut off from each other."""
    network = stream.client.network
    regions = {stream.client.location.region, stream.server.location.region}
    if len(regions) > 1 and regions & network.cut_regions:
        return
    for side in (stream.client, stream.server):
        if side.alive:
            side._ended(stream)


def follower_machine(
    network: FanoutNetwork[SimulatedMachine],
    follower: Follower,
    on_advance: Callable[[SimulatedMachine, StateAdvanced], None] | None = None,
) -> SimulatedMachine:
    """Return a machine that runs a follower."""
    return SimulatedMachine(
        network, follower.member, follower.location, follower, follower, on_advance=on_advance
    )


def relay_machine(network: FanoutNetwork[SimulatedMachine], relay: Relay) -> SimulatedMachine:
    """Return a machine that runs a relay."""
    return SimulatedMachine(network, relay.follower.member, relay.follower.location, relay, relay, relay)


def server_machine(
    network: FanoutNetwork[SimulatedMachine], name: str, location: Location, server: WatchServer
) -> SimulatedMachine:
    """Return a machine that runs a voter's watch server."""
    return SimulatedMachine(network, name, location, server, down=server)
