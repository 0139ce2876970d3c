"""Runs a follower on real sockets.

It holds no global state, because scale runs have thousands of followers in one process.
"""

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
    """One follower. ``start`` starts its tasks in the nursery; ``core`` holds its state."""

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
        """Start to watch an upstream."""
        self.core.start(trio.current_time())
        self._carry_out()
        self._nursery.start_soon(self._run_timer)

    def stop(self) -> None:
        """Close the watch and end the tasks; the state stays readable."""
        self.core.stop(trio.current_time())
        self._carry_out()
        self._scope.cancel()

    def kill(self) -> None:
        """End all tasks without a message to the upstream, as if the process had crashed."""
        self._upstream.abort_all()
        self._scope.cancel()

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Replace the list of upstreams."""
        self.core.set_upstreams(upstreams, trio.current_time())
        self._carry_out()

    async def _run_timer(self) -> None:
        with self._scope:
            await self._timer.run()
