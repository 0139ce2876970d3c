"""The streams of the watch protocol: one upstream of a follower or relay, many downstream of a server.

The streams report their events to a host and carry out the effects of its core. A stream that fails or that
cannot be opened is reported as closed; a stream that the core closed itself is not reported.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

import trio

from merlinbay.control.fanout.effects import (
    CloseDownstream,
    CloseUpstream,
    ConnectUpstream,
    DownstreamEffect,
    SendDownstream,
    SendUpstream,
)
from merlinbay.control_service.connection import FramedConnection, QueueOverflow
from merlinbay.control_service.dialing import ConnectFailedError, connect
from merlinbay.control_service.local_peer import LocalPeer


class UpstreamEvents(Protocol):
    """Receives the events of upstream streams, identified by the number of the attempt to connect."""

    def upstream_connected(self, attempt: int) -> None:
        """Handle that the stream is open."""

    def upstream_received(self, attempt: int, frame: bytes) -> None:
        """Handle a received frame."""

    def upstream_closed(self, attempt: int) -> None:
        """Handle that the stream has ended or could not be opened."""


class UpstreamStreams:
    """Opens, writes and closes the streams that a follower requests."""

    __slots__ = ("_connections", "_events", "_local_peer", "_nursery", "_scopes")

    def __init__(self, local_peer: LocalPeer, nursery: trio.Nursery, events: UpstreamEvents) -> None:
        self._local_peer, self._nursery, self._events = local_peer, nursery, events
        self._scopes: dict[int, trio.CancelScope] = {}
        self._connections: dict[int, FramedConnection] = {}

    def carry_out(self, effect: ConnectUpstream | SendUpstream | CloseUpstream) -> None:
        """Carry out an effect of the follower."""
        if isinstance(effect, ConnectUpstream):
            scope = self._scopes[effect.attempt] = trio.CancelScope()
            self._nursery.start_soon(self._run, effect, scope)
        elif isinstance(effect, SendUpstream):
            if effect.attempt in self._connections:
                self._connections[effect.attempt].send(effect.frame)
        else:
            self._close(effect.attempt)

    def abort_all(self) -> None:
        """Close all streams immediately, without writing what is queued."""
        for scope in self._scopes.values():
            scope.cancel()
        self._scopes.clear()
        self._connections.clear()

    def _close(self, attempt: int) -> None:
        scope = self._scopes.pop(attempt, None)
        connection = self._connections.pop(attempt, None)
        if connection is not None:
            connection.finish()
        elif scope is not None:
            scope.cancel()

    async def _run(self, effect: ConnectUpstream, scope: trio.CancelScope) -> None:
        attempt = effect.attempt
        with scope:
            try:
                connection = await connect(self._local_peer, effect.upstream.address, QueueOverflow.CLOSE)
            except ConnectFailedError:
                self._ended(attempt)
                return
            connection.on_message = partial(self._events.upstream_received, attempt)
            self._connections[attempt] = connection
            self._events.upstream_connected(attempt)
            await connection.run()
        self._ended(attempt)

    def _ended(self, attempt: int) -> None:
        self._connections.pop(attempt, None)
        if self._scopes.pop(attempt, None) is not None:  # otherwise the core closed it
            self._events.upstream_closed(attempt)


class DownstreamEvents(Protocol):
    """Receives the events of downstream streams, identified by the number of the connection."""

    def opened(self, connection: int) -> None:
        """Handle a new stream."""

    def received(self, connection: int, frame: bytes) -> None:
        """Handle a received frame."""

    def written(self, connection: int, size: int) -> None:
        """Handle that a frame of ``size`` bytes was written."""

    def closed(self, connection: int) -> None:
        """Handle that a stream has ended."""


class DownstreamStreams:
    """Numbers the accepted streams, writes to them and closes them."""

    def __init__(self, events: DownstreamEvents) -> None:
        self._events = events
        self._connections: dict[int, FramedConnection] = {}
        self._last = 0

    async def serve(self, connection: FramedConnection) -> None:
        """Serve one stream until it ends."""
        self._last += 1
        number = self._last
        self._connections[number] = connection
        connection.on_message = partial(self._received, number)
        connection.on_written = partial(self._written, number)
        self._events.opened(number)
        try:
            await connection.run()
        finally:
            if self._connections.pop(number, None) is not None:  # otherwise the core closed it
                self._events.closed(number)

    def _received(self, number: int, frame: bytes) -> None:
        if number in self._connections:
            self._events.received(number, frame)

    def _written(self, number: int, size: int) -> None:
        if number in self._connections:
            self._events.written(number, size)

    def carry_out(self, effect: DownstreamEffect) -> None:
        """Carry out an effect of the watch server."""
        if isinstance(effect, SendDownstream):
            if effect.connection in self._connections:
                self._connections[effect.connection].send(effect.frame)
        elif isinstance(effect, CloseDownstream):
            connection = self._connections.pop(effect.connection, None)
            if connection is not None:
                connection.finish()


class DeadlineTimer:
    """Calls ``tick`` whenever the deadline that ``next_deadline`` returns has passed."""

    __slots__ = ("_deadline_scope", "_next_deadline", "_tick")

    def __init__(self, next_deadline: Callable[[], float], tick: Callable[[], None]) -> None:
        self._next_deadline, self._tick = next_deadline, tick
        self._deadline_scope = trio.CancelScope()

    def changed(self) -> None:
        """Update the deadline, after it may have changed."""
        self._deadline_scope.deadline = self._next_deadline()

    async def run(self) -> None:
        """Call ``tick`` at each deadline until cancelled."""
        while True:
            with trio.CancelScope(deadline=self._next_deadline()) as self._deadline_scope:
                await trio.sleep_forever()
            self._tick()
