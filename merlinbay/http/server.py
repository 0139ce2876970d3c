"""The listener: accepts connections up to a limit, and closes those that expire or whose place is needed."""

from __future__ import annotations

import errno
import socket

import trio

from merlinbay.counters import Counters
from merlinbay.http.connection import Connection, GiveAway, Handler, PrepareSocket
from merlinbay.http.sockets import split_plain_socket
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log

# The client's connection has failed before its accept: the next one is accepted at once.
FAILED_BEFORE_ACCEPT = (errno.ECONNABORTED, errno.EPROTO, errno.ENETUNREACH, errno.EHOSTUNREACH)


async def bind_socket(host: str, port: int, backlog: int) -> trio.socket.SocketType:
    """Return a socket that listens at an address. Raises ``OSError``."""
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
    sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
    sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)  # accepted ones inherit it
    await sock.bind((host, port))
    sock.listen(backlog)
    return sock


class Listener:
    """Accepts connections, up to a limit, and serves each in a task."""

    def __init__(self, handler: Handler, limits: ResourceLimits, counters: Counters, log: Log) -> None:
        self.handler, self.limits, self.counters, self.log = handler, limits, counters, log
        self.connections: set[Connection] = set()
        self.prepare_socket: PrepareSocket | None = None  # makes TLS of accepted connections
        self.is_draining = False  # no new connection is expected, but those there are served on
        self.closes_after_response = False  # connections, those to come included
        self.give_away: GiveAway | None = None  # gives connections to another process; none are accepted then
        self.accept_scope = trio.CancelScope()
        self.nursery: trio.Nursery | None = None  # of the connections, while it serves

    async def bind(self, host: str, port: int) -> trio.socket.SocketType:
        """Return a socket that listens; the one that the platform keeps, if there is one."""
        if self.limits.accept_fd >= 0:
            kept = socket.socket(fileno=self.limits.accept_fd)
            kept.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if not kept.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                kept.listen(self.limits.accept_backlog)
            return trio.socket.from_stdlib_socket(kept)
        return await bind_socket(host, port, self.limits.accept_backlog)

    async def serve(
        self, sock: trio.socket.SocketType, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept until connections are handed over, and serve them until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sweep)
            self.nursery = nursery
            task_status.started()
            while self.give_away is None:
                if len(self.connections) >= self.limits.client_connections and not self._make_room():
                    # Guards against a lost request: a client may write it before its connection is closed.
                    self.counters.add("accepts_put_off")
                    await trio.sleep(self.limits.accept_retry_pause_s)
                    continue
                accepted = None
                try:
                    with trio.CancelScope() as self.accept_scope:
                        accepted, _ = await sock.accept()
                except OSError as error:
                    # Guards against a lack of descriptors that would end the listener.
                    self.counters.add("accepts_failed")
                    if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                        self._make_room()
                    if error.errno not in FAILED_BEFORE_ACCEPT:
                        # Guards against a loop that takes a whole processor while the cause lasts.
                        await trio.sleep(self.limits.accept_retry_pause_s)
                    continue
                if accepted is not None:
                    self.counters.add("edge_connections")
                    self.add_connection(accepted)
            sock.close()

    def add_connection(
        self,
        sock: trio.socket.SocketType,
        has_served_request: bool = False,
        carries_callbacks: bool = False,
    ) -> None:
        """Serve a connection that this process has accepted, or the one that it replaces."""
        if self.nursery is None:
            sock.close()
            return
        try:
            # Guards against small writes that the system delays: a reset would drop them.
            sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        except OSError:  # Guards against a connection that has ended already, and would end the listener.
            self.counters.add("accepts_failed")
            sock.close()
            return
        sock, plain = split_plain_socket(sock)
        connection = Connection(sock, self.limits, self.handler, self.nursery, self.prepare_socket, plain)
        connection.closes_after_response, connection.give_away = self.closes_after_response, self.give_away
        connection.has_served_request = has_served_request
        connection.carries_callbacks = carries_callbacks
        if has_served_request:
            connection.lifetime.extend_idle(is_worth_keeping=True)
        self.connections.add(connection)
        self.nursery.start_soon(self._serve, connection)

    def hand_over(self, give_away: GiveAway) -> None:
        """Accept no more, and have each connection given away once no request is in progress on it."""
        self.give_away = give_away
        self.accept_scope.cancel()
        for connection in list(self.connections):
            connection.hand_over(give_away)

    async def _serve(self, connection: Connection) -> None:
        try:
            await connection.serve()
        except Exception as error:  # Guards against a fault in one connection that would end the others.
            self.counters.add("edge_connections_faulty")
            self.log.event("connection_failed", level="error", error=repr(error))
        finally:
            self.connections.discard(connection)

    async def _sweep(self) -> None:
        """End connections whose client was idle, or too slow, for too long."""
        while True:
            await trio.sleep(self.limits.sweep_interval_s)
            now = trio.current_time()
            for connection in list(self.connections):
                if connection.lifetime.has_expired(now):
                    self.counters.add("edge_connections_expired")
                    connection.expire()

    def _make_room(self) -> bool:
        """Close connections that have been idle the longest; tell whether there were any."""
        candidates, limit = self._eviction_candidates()
        closed = 0
        for connection in sorted(candidates, key=lambda connection: connection.lifetime.idle_since):
            if closed < limit and connection.close_if_unused():
                self.connections.discard(connection)
                closed += 1
        return closed > 0

    def _eviction_candidates(self) -> tuple[list[Connection], int]:
        """Return the connections that may be closed for others, and how many of them at once."""
        idle = [connection for connection in self.connections if connection.is_idle]
        unserved = [connection for connection in idle if not connection.has_served_request]
        # Guards against silent clients that crowd out usual ones: those never served go first, several at
        # a time since finding them costs, and where they hold a third of all, a kept connection stays and
        # what comes next waits for one of them.
        if long_idle := self._idle_for_long(unserved):
            return long_idle, self.limits.evict_batch
        receiving = [connection for connection in self.connections if connection.is_receiving_request]
        if len(receiving) > self.limits.client_connections * 3 // 4:
            # Guards against clients that send a part and stay: call-backs and usual clients, whose requests
            # come whole, find a quarter of the places. Slow writers keep theirs while there are few.
            return self._idle_for_long(receiving), self.limits.evict_batch
        if len(unserved) <= self.limits.client_connections // 3:
            return self._idle_for_long(idle), 1
        return [], 0

    def _idle_for_long(self, connections: list[Connection]) -> list[Connection]:
        before = trio.current_time() - self.limits.evict_idle_after_s
        return [connection for connection in connections if connection.lifetime.idle_since < before]

    async def close_all(self, seconds: float) -> None:
        """End every connection in good order, within so many seconds: the process ends after this."""
        with trio.move_on_after(seconds):
            while self.connections:
                self.close_idle(including_callbacks=True)
                await trio.sleep(self.limits.handover_check_interval_s)

    def is_short_of_idle_connections(self) -> bool:
        """Tell whether clients are about to run out of connections that they kept and cannot replace."""
        if not self.is_draining:
            return False
        free = sum(connection.has_served_request and connection.is_idle for connection in self.connections)
        return free < self.limits.spare_client_connections

    def set_closes_after_response(self, closes_after_response: bool) -> None:
        """Have all connections close after their next response, or no longer."""
        self.closes_after_response = closes_after_response
        for connection in self.connections:
            connection.closes_after_response = closes_after_response

    def close_idle(self, idle_for_s: float = 0.0, including_callbacks: bool = False) -> None:
        """Close connections idle for so long, and the others after their response. Goes on accepting.

        Those that carry call-backs stay unless they are included: what ends requests still comes in on them.
        """
        self.set_closes_after_response(True)
        before = trio.current_time() - idle_for_s
        for connection in self.connections:
            is_spared = connection.carries_callbacks and not including_callbacks
            if connection.lifetime.idle_since <= before and not is_spared:
                connection.close_if_idle()
