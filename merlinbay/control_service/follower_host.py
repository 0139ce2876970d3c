"""A follower on real sockets. Holds no global state: thousands of them share a process in scale runs."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

import trio

from merlinbay.control.entries import StateSnapshot
from merlinbay.control.fanout.effects import StateAdvanced
from merlinbay.control.fanout.follower import Follower
from merlinbay.control.fanout.messages import NO_GENERATION, Generation
from merlinbay.control.fanout.settings import FollowerSettings
from merlinbay.control.fanout.topology import Location, Upstream
from merlinbay.control_service.local_peer import LocalPeer
from merlinbay.control_service.upstream_host import UpstreamHost


class FollowerHost(UpstreamHost[Follower]):
    """One follower: ``start`` it in a nursery; ``core`` has its state."""

    __slots__ = ("_nursery", "_scope")

    def __init__(
        self,
        local_peer: LocalPeer,
        location: Location,
        upstreams: Iterable[Upstream],
        settings: FollowerSettings,
        random: Random,
        nursery: trio.Nursery,
        on_advance: Callable[[StateAdvanced], None] | None = None,
        *,
        generation: Generation = NO_GENERATION,
        saved: StateSnapshot | None = None,
    ) -> None:
        core = Follower(
            local_peer.name, location, upstreams, settings, random, generation=generation, saved=saved
        )
        super().__init__(local_peer, core, nursery, on_advance)
        self._nursery = nursery
        self._scope = trio.CancelScope()

    def start(self) -> None:
        """Begin to follow."""
        self.core.start(trio.current_time())
        self._carry_out()
        self._nursery.start_soon(self._run_timer)

    def stop(self) -> None:
        """End the watch and the tasks; the state stays readable."""
        self.core.stop(trio.current_time())
        self._carry_out()
        self._scope.cancel()

    def kill(self) -> None:
        """End all tasks without a message to the upstream, as a process that dies."""
        self._upstream.abort_all()
        self._scope.cancel()

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Replace the list of upstreams."""
        self.core.set_upstreams(upstreams, trio.current_time())
        self._carry_out()

    async def _run_timer(self) -> None:
        with self._scope:
            await self._timer.run()
