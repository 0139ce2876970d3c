"""The listener: accepts connections, so many at the most, and ends those that others need or nobody uses."""

from __future__ import annotations

import errno
import socket

import trio

from merlinbay.counters import Counters
from merlinbay.http.connection import Connection, GiveAway, Handler, Prepare
from merlinbay.http.sockets import split_plain_socket
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log

# The client's connection was at fault, and is gone: the next one is accepted at once.
GONE_BEFORE_ACCEPT = (errno.ECONNABORTED, errno.EPROTO, errno.ENETUNREACH, errno.EHOSTUNREACH)


async def bind_socket(host: str, port: int, backlog: int) -> trio.socket.SocketType:
    """Return a socket that listens at an address."""
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
    sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
    sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)  # accepted ones inherit it
    await sock.bind((host, port))
    sock.listen(backlog)
    return sock


class Listener:
    """Accepts connections, so many at the most."""

    def __init__(self, handler: Handler, limits: ResourceLimits, counters: Counters, log: Log) -> None:
        self.handler, self.limits, self.counters, self.log = handler, limits, counters, log
        self.connections: set[Connection] = set()
        self.prepare: Prepare | None = None  # what makes TLS of what is accepted
        self.is_draining = False  # no new connection is to be expected, but the kept ones serve on
        self.closes_after_response = False
        self.give_away: GiveAway | None = None  # takes connections over; no new ones are accepted then
        self.accept_scope = trio.CancelScope()
        self.nursery: trio.Nursery | None = None  # of the connections, while it serves

    async def bind(self, host: str, port: int) -> trio.socket.SocketType:
        """Return a socket that listens, be it the one that the platform keeps."""
        if self.limits.accept_fd >= 0:
            kept = socket.socket(fileno=self.limits.accept_fd)
            kept.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if not kept.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                kept.listen(self.limits.backlog)
            return trio.socket.from_stdlib_socket(kept)
        return await bind_socket(host, port, self.limits.backlog)

    async def serve(
        self, sock: trio.socket.SocketType, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept until connections are handed over, and serve them until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sweep)
            self.nursery = nursery
            task_status.started()
            while self.give_away is None:
                if len(self.connections) >= self.limits.edge_connections and not self._make_room():
                    # Guards against losing a request: one that is accepted and closed may have been written.
                    self.counters.add("accepts_put_off")
                    await trio.sleep(self.limits.accept_pause)
                    continue
                accepted = None
                try:
                    with trio.CancelScope() as self.accept_scope:
                        accepted, _ = await sock.accept()
                except OSError as error:
                    # Guards against running out of descriptors: the listener must outlive it.
                    self.counters.add("accepts_failed")
                    if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                        self._make_room()
                    if error.errno not in GONE_BEFORE_ACCEPT:
                        # Guards against a loop that takes the whole core while the cause lasts.
                        await trio.sleep(self.limits.accept_pause)
                    continue
                if accepted is not None:
                    self.counters.add("edge_connections")
                    self.adopt(accepted)
            sock.close()

    def adopt(self, sock: trio.socket.SocketType, proven: bool = False, calls_back: bool = False) -> None:
        """Serve a connection that was accepted, here or by the process before."""
        if self.nursery is None:
            sock.close()
            return
        try:
            # Guards against small writes that the system holds back: a reset would take them with it.
            sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        except OSError:  # Guards against one connection that has ended already, and would end the listener.
            self.counters.add("accepts_failed")
            sock.close()
            return
        sock, plain = split_plain_socket(sock)
        connection = Connection(sock, self.limits, self.handler, self.nursery, self.prepare, plain)
        connection.closes_after_response, connection.give_away = self.closes_after_response, self.give_away
        connection.has_served_request, connection.carries_callbacks = proven, calls_back
        if proven:
            connection.expires_at = connection.idle_since + self.limits.edge_idle
        self.connections.add(connection)
        self.nursery.start_soon(self._serve, connection)

    def hand_over(self, give: GiveAway) -> None:
        """Accept no more, and have each connection given away once no request is under way on it."""
        self.give_away = give
        self.accept_scope.cancel()
        for connection in list(self.connections):
            connection.hand_over(give)

    async def _serve(self, connection: Connection) -> None:
        try:
            await connection.serve()
        except Exception as error:  # Guards against a fault in one connection ending the others.
            self.counters.add("edge_connections_faulty")
            self.log.event("connection_failed", level="error", error=repr(error))
        finally:
            self.connections.discard(connection)

    async def _sweep(self) -> None:
        """End connections that have stood idle, dribbled or been stuck for too long."""
        while True:
            await trio.sleep(self.limits.sweep)
            now = trio.current_time()
            for connection in list(self.connections):
                if connection.expires_at < now:
                    self.counters.add("edge_connections_expired")
                    connection.expire()

    def _make_room(self) -> bool:
        """Close connections that have stood idle the longest; tell whether there were any."""
        idle = [connection for connection in self.connections if connection.is_idle]
        fresh = [connection for connection in idle if not connection.has_served_request]
        # Guards against silent clients that crowd out usual ones: those never served go first, several at
        # a time since the look at all of them costs, and where they hold a third of all, a kept connection
        # stays and what comes next waits for one of them.
        before = trio.current_time() - self.limits.evict_after
        ripe = [connection for connection in fresh if connection.idle_since < before]
        most = self.limits.evict_at_once
        slow = (
            [] if ripe else [connection for connection in self.connections if connection.is_receiving_request]
        )
        if len(slow) > self.limits.edge_connections * 3 // 4:
            # Guards against clients that send a part and stay: call-backs and usual clients, whose requests
            # come whole, find a quarter of the places. Who writes slowly keeps his while there are few.
            ripe = [connection for connection in slow if connection.idle_since < before]
        elif not ripe and len(fresh) <= self.limits.edge_connections // 3:
            ripe, most = [connection for connection in idle if connection.idle_since < before], 1
        closed = 0
        for connection in sorted(ripe, key=lambda connection: connection.idle_since):
            if closed < most and connection.close_if_unused():
                self.connections.discard(connection)
                closed += 1
        return closed > 0

    async def close_all(self, seconds: float) -> None:
        """End every connection in good order, within so many seconds: the process ends after this."""
        with trio.move_on_after(seconds):
            while self.connections:
                self.close_idle(calls_back=True)
                await trio.sleep(self.limits.hand_look)

    def is_short_of_idle_connections(self) -> bool:
        """Tell whether clients are about to run out of connections that they kept and cannot replace."""
        if not self.is_draining:
            return False
        free = sum(connection.has_served_request and connection.is_idle for connection in self.connections)
        return free < self.limits.spare_connections

    def set_closes_after_response(self, closing: bool) -> None:
        """Have connections close after their next answer, those to come included, or no longer."""
        self.closes_after_response = closing
        for connection in self.connections:
            connection.closes_after_response = closing

    def close_idle(self, quiet: float = 0.0, calls_back: bool = False) -> None:
        """Close connections idle for so many seconds, the others after their answer. Goes on accepting.

        Those of real servers stay unless ``calls_back`` is set: what ends a job still has to come in on them.
        """
        self.set_closes_after_response(True)
        before = trio.current_time() - quiet
        for connection in self.connections:
            if connection.idle_since <= before and (calls_back or not connection.carries_callbacks):
                connection.close_if_idle()
