"""The common part of followers and relays on real sockets: the watch at an upstream, and its timer."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Generic, Protocol, TypeVar

import trio

from merlinbay.control.fanout.effects import (
    CloseUpstream,
    ConnectUpstream,
    RelayEffect,
    SendUpstream,
    StateAdvanced,
)
from merlinbay.control_service.local_peer import LocalPeer
from merlinbay.control_service.watch_streams import DeadlineTimer, UpstreamStreams


class UpstreamCore(Protocol):
    """The interface of a follower or relay core, which does no I/O."""

    def upstream_connected(self, attempt: int, now: float) -> None:
        """Handle that the stream of an attempt is open."""

    def upstream_received(self, attempt: int, frame: bytes, now: float) -> None:
        """Handle a frame from upstream."""

    def upstream_closed(self, attempt: int, now: float) -> None:
        """Handle that the stream of an attempt has ended or could not be opened."""

    def tick(self, now: float) -> None:
        """Perform the actions that are due."""

    def next_deadline(self) -> float:
        """Return the time at which ``tick`` is due; infinity if never."""

    def take_effects(self) -> Sequence[RelayEffect]:
        """Return the effects since the last call."""


CoreT = TypeVar("CoreT", bound=UpstreamCore)


class UpstreamHost(Generic[CoreT]):
    """Drives one core and carries out its effects; ``on_advance`` is called at each new revision."""

    __slots__ = ("_timer", "_upstream", "core", "local_peer", "on_advance")

    def __init__(
        self,
        local_peer: LocalPeer,
        core: CoreT,
        nursery: trio.Nursery,
        on_advance: Callable[[StateAdvanced], None] | None,
    ) -> None:
        self.local_peer, self.core, self.on_advance = local_peer, core, on_advance
        self._upstream = UpstreamStreams(local_peer, nursery, self)
        self._timer = DeadlineTimer(core.next_deadline, self._tick)

    def _tick(self) -> None:
        self.core.tick(trio.current_time())
        self._carry_out()

    def upstream_connected(self, attempt: int) -> None:
        """Tell the core that the upstream stream is open."""
        self.core.upstream_connected(attempt, trio.current_time())
        self._carry_out()

    def upstream_received(self, attempt: int, frame: bytes) -> None:
        """Pass a frame from upstream to the core."""
        self.core.upstream_received(attempt, frame, trio.current_time())
        self._carry_out()

    def upstream_closed(self, attempt: int) -> None:
        """Tell the core that the upstream stream has ended or could not be opened."""
        self.core.upstream_closed(attempt, trio.current_time())
        self._carry_out()

    def _carry_out(self) -> None:
        for effect in self.core.take_effects():
            self._carry_out_one(effect)
        self._timer.changed()

    def _carry_out_one(self, effect: RelayEffect) -> None:
        if isinstance(effect, StateAdvanced):
            if self.on_advance is not None:
                self.on_advance(effect)
        elif isinstance(effect, ConnectUpstream | SendUpstream | CloseUpstream):
            self._upstream.carry_out(effect)
