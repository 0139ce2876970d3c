"""A relay on real sockets: a follower upstream, a server of watches downstream. Holds no global state."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

import trio

from merlinbay.control.fanout.effects import CloseDownstream, SendDownstream, StateAdvanced
from merlinbay.control.fanout.relay import Relay
from merlinbay.control.fanout.settings import RelaySettings
from merlinbay.control.fanout.topology import Location, Upstream
from merlinbay.control_service.connection import Overflow
from merlinbay.control_service.transport import Acceptor, Endpoint
from merlinbay.control_service.watch_streams import DownstreamStreams, Timer, UpstreamStreams


class RelayHost:
    """One relay: ``await nursery.start(host.run, listening)``."""

    def __init__(
        self,
        endpoint: Endpoint,
        location: Location,
        upstreams: Iterable[Upstream],
        settings: RelaySettings,
        random: Random,
        nursery: trio.Nursery,
        *,
        tier: int = 1,
        others: Iterable[str] = (),
        on_advance: Callable[[StateAdvanced], None] | None = None,
    ) -> None:
        self.endpoint, self.on_advance = endpoint, on_advance
        self.core = Relay(
            endpoint.name,
            location,
            upstreams,
            settings,
            random,
            trio.current_time(),
            tier=tier,
            others=others,
        )
        self._upstream = UpstreamStreams(endpoint, nursery, self)
        self._downstream = DownstreamStreams(self)
        self._timer = Timer(self.core.next_deadline, self._tick)

    async def run(
        self,
        listening: trio.socket.SocketType,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Relay until cancelled."""
        acceptor = Acceptor(self.endpoint, lambda role: Overflow.CLOSE, self._downstream.serve)
        async with trio.open_nursery() as nursery:
            self.core.start(trio.current_time())
            self._carry_out()
            nursery.start_soon(self._timer.run)
            nursery.start_soon(acceptor.run, listening)
            task_status.started()

    def drain(self) -> None:
        """Send all watches elsewhere: the process is going to end."""
        self.core.drain(trio.current_time())
        self._carry_out()

    def _tick(self) -> None:
        self.core.tick(trio.current_time())
        self._carry_out()

    def upstream_connected(self, attempt: int) -> None:
        """Hear that the upstream stream is open."""
        self.core.upstream_connected(attempt, trio.current_time())
        self._carry_out()

    def upstream_received(self, attempt: int, frame: bytes) -> None:
        """Take a frame from upstream."""
        self.core.upstream_received(attempt, frame, trio.current_time())
        self._carry_out()

    def upstream_closed(self, attempt: int) -> None:
        """Hear that the upstream stream has ended or could not be opened."""
        self.core.upstream_closed(attempt, trio.current_time())
        self._carry_out()

    def opened(self, connection: int) -> None:
        """Take a new downstream stream."""
        self.core.opened(connection, trio.current_time())
        self._carry_out()

    def received(self, connection: int, frame: bytes) -> None:
        """Take a frame from downstream."""
        self.core.received(connection, frame, trio.current_time())
        self._carry_out()

    def written(self, connection: int, size: int) -> None:
        """Hear that a frame went to the network."""
        self.core.written(connection, size, trio.current_time())
        self._carry_out()

    def closed(self, connection: int) -> None:
        """Hear that a downstream stream has ended."""
        self.core.closed(connection, trio.current_time())
        self._carry_out()

    def _carry_out(self) -> None:
        for effect in self.core.take_effects():
            if isinstance(effect, SendDownstream | CloseDownstream):
                self._downstream.carry_out(effect)
            elif not isinstance(effect, StateAdvanced):
                self._upstream.carry_out(effect)
            elif self.on_advance is not None:
                self.on_advance(effect)
        self._timer.changed()
