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
from merlinbay.control_service.transport import Endpoint
from merlinbay.control_service.watch_streams import Timer, UpstreamStreams


class FollowerHost:
    """One follower: ``start`` it in a nursery; ``core`` has its state."""

    __slots__ = ("endpoint", "core", "on_advance", "_nursery", "_streams", "_timer", "_scope")

    def __init__(
        self,
        endpoint: Endpoint,
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
        self.endpoint, self.on_advance, self._nursery = endpoint, on_advance, nursery
        self.core = Follower(
            endpoint.name, location, upstreams, settings, random, generation=generation, saved=saved
        )
        self._streams = UpstreamStreams(endpoint, nursery, self)
        self._timer = Timer(self.core.next_deadline, self._tick)
        self._scope = trio.CancelScope()

    def start(self) -> None:
        """Begin to follow."""
        self.core.start(trio.current_time())
        self._carry_out()
        self._nursery.start_soon(self._run_timer)

    def stop(self) -> None:
        """End the watch on purpose, and the tasks with it; the state stays readable."""
        self.core.stop(trio.current_time())
        self._carry_out()
        self._halt()

    def kill(self) -> None:
        """End all tasks without a word to the upstream, as a process that dies."""
        self._streams.abort_all()
        self._halt()

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Take a new list of upstreams."""
        self.core.set_upstreams(upstreams, trio.current_time())
        self._carry_out()

    def _halt(self) -> None:
        self._scope.cancel()

    async def _run_timer(self) -> None:
        with self._scope:
            await self._timer.run()

    def _tick(self) -> None:
        self.core.tick(trio.current_time())
        self._carry_out()

    def upstream_connected(self, attempt: int) -> None:
        """Hear that the stream is open."""
        self.core.connected(attempt, trio.current_time())
        self._carry_out()

    def upstream_received(self, attempt: int, frame: bytes) -> None:
        """Take a frame."""
        self.core.received(attempt, frame, trio.current_time())
        self._carry_out()

    def upstream_closed(self, attempt: int) -> None:
        """Hear that the stream has ended or could not be opened."""
        self.core.closed(attempt, trio.current_time())
        self._carry_out()

    def _carry_out(self) -> None:
        for effect in self.core.take_effects():
            if not isinstance(effect, StateAdvanced):
                self._streams.carry_out(effect)
            elif self.on_advance is not None:
                self.on_advance(effect)
        self._timer.changed()
