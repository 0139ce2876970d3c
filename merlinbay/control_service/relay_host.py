"""Runs a relay on real sockets: a follower upstream, a watch server downstream. Holds no global state."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

import trio

from merlinbay.control.fanout.effects import CloseDownstream, RelayEffect, SendDownstream, StateAdvanced
from merlinbay.control.fanout.relay import Relay
from merlinbay.control.fanout.settings import RelaySettings
from merlinbay.control.fanout.topology import Location, Upstream
from merlinbay.control_service.connection import QueueOverflow
from merlinbay.control_service.listening import Acceptor
from merlinbay.control_service.local_peer import LocalPeer
from merlinbay.control_service.upstream_host import UpstreamHost
from merlinbay.control_service.watch_streams import DownstreamStreams


class RelayHost(UpstreamHost[Relay]):
    """One relay. Start it with ``await nursery.start(host.run, listening)``."""

    __slots__ = ("_downstream",)

    def __init__(
        self,
        local_peer: LocalPeer,
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
        core = Relay(
            local_peer.name,
            location,
            upstreams,
            settings,
            random,
            trio.current_time(),
            tier=tier,
            others=others,
        )
        super().__init__(local_peer, core, nursery, on_advance)
        self._downstream = DownstreamStreams(self)

    async def run(
        self,
        listening: trio.socket.SocketType,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Relay until cancelled."""
        acceptor = Acceptor(self.local_peer, lambda role: QueueOverflow.CLOSE, self._downstream.serve)
        async with trio.open_nursery() as nursery:
            self.core.start(trio.current_time())
            self._carry_out()
            nursery.start_soon(self._timer.run)
            nursery.start_soon(acceptor.run, listening)
            task_status.started()

    def drain(self) -> None:
        """Direct all watches to other upstreams, as the process is about to end."""
        self.core.drain(trio.current_time())
        self._carry_out()

    def opened(self, connection: int) -> None:
        """Pass a new downstream stream to the core."""
        self.core.opened(connection, trio.current_time())
        self._carry_out()

    def received(self, connection: int, frame: bytes) -> None:
        """Pass a frame from downstream to the core."""
        self.core.received(connection, frame, trio.current_time())
        self._carry_out()

    def written(self, connection: int, size: int) -> None:
        """Tell the core that a frame of ``size`` bytes was written."""
        self.core.written(connection, size, trio.current_time())
        self._carry_out()

    def closed(self, connection: int) -> None:
        """Tell the core that a downstream stream has ended."""
        self.core.closed(connection, trio.current_time())
        self._carry_out()

    def _carry_out_one(self, effect: RelayEffect) -> None:
        if isinstance(effect, SendDownstream | CloseDownstream):
            self._downstream.carry_out(effect)
        else:
            super()._carry_out_one(effect)
