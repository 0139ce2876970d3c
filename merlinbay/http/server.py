"""The listener: accepts connections up to a limit, and closes those that expire or whose place is needed.

It owns the accepted connections of one address and serves each in a task. Failed accepts are counted and
retried; a fault in one connection is logged and ends that connection only.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

import trio

from merlinbay.counters import Counters
from merlinbay.http.close_reasons import CloseReason
from merlinbay.http.connection import Connection, Handler, PrepareSocket, SendToSuccessor
from merlinbay.http.memory_budget import MemoryBudget
from merlinbay.http.sockets import split_plain_socket
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log

# Errors of connections that failed before they were accepted; the next one is accepted without a pause.
FAILED_BEFORE_ACCEPT = (errno.ECONNABORTED, errno.EPROTO, errno.ENETUNREACH, errno.EHOSTUNREACH)


async def bind_socket(host: str, port: int, backlog: int) -> trio.socket.SocketType:
    """Return a socket that listens at an address. Raises ``OSError``."""
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
    sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
    sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)  # accepted sockets inherit it
    await sock.bind((host, port))
    sock.listen(backlog)
    return sock


class Listener:
    """Accepts connections, up to a limit, and serves each in a task."""

    def __init__(
        self,
        handler: Handler,
        limits: ResourceLimits,
        counters: Counters,
        log: Log,
        budget: MemoryBudget | None = None,  # shared by all connections of a node; without one, its own
    ) -> None:
        self.handler, self.limits, self.counters, self.log = handler, limits, counters, log
        self.budget = budget or MemoryBudget(limits.message_bytes)
        self.connections: set[Connection] = set()
        self.prepare_socket: PrepareSocket | None = None  # wraps accepted sockets in TLS; None without TLS
        self.is_draining = False  # whether no new connections are expected; existing ones are still served
        self.closes_after_response = False  # whether connections close after a response, later ones included
        # Sends connections to the successor. While it is set, no connections are accepted.
        self.send_to_successor: SendToSuccessor | None = None
        self.is_repeated: Callable[[str], bool] = lambda target: False  # see ``Connection``
        self.accept_scope = trio.CancelScope()
        self.nursery: trio.Nursery | None = None  # the nursery of the connections; None while not serving

    async def bind(self, host: str, port: int) -> trio.socket.SocketType:
        """Return a listening socket: the inherited one if there is one, else a new one."""
        if self.limits.accept_fd >= 0:
            inherited = socket.socket(fileno=self.limits.accept_fd)
            inherited.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if not inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                inherited.listen(self.limits.accept_backlog)
            return trio.socket.from_stdlib_socket(inherited)
        return await bind_socket(host, port, self.limits.accept_backlog)

    async def serve(
        self, sock: trio.socket.SocketType, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until they are handed over; serve them until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sweep)
            self.nursery = nursery
            task_status.started()
            while self.send_to_successor is None:
                if len(self.connections) >= self.limits.client_connections and not self._make_room():
                    # Leaves new connections in the backlog. Accepting one only to close it could lose a
                    # request that its client has already written.
                    self.counters.add("accepts_put_off")
                    await trio.sleep(self.limits.accept_retry_pause_s)
                    continue
                accepted = None
                try:
                    with trio.CancelScope() as self.accept_scope:
                        accepted, _ = await sock.accept()
                except OSError as error:
                    # A failed accept, for example for lack of descriptors, must not end the listener.
                    self.counters.add("accepts_failed")
                    if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                        self._make_room()
                    if error.errno not in FAILED_BEFORE_ACCEPT:
                        # Without a pause, this loop would take a whole processor while the cause lasts.
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
        """Serve a connection that was accepted by this process or by its predecessor."""
        if self.nursery is None:
            sock.close()
            return
        try:
            # Turns off delayed small writes, because a reset would drop what has not been sent.
            sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        except OSError:  # The connection has already ended, which must not end the listener.
            self.counters.add("accepts_failed")
            sock.close()
            return
        sock, plain = split_plain_socket(sock)
        connection = Connection(
            sock, self.limits, self.handler, self.nursery, self.budget, self.prepare_socket, plain
        )
        connection.closes_after_response, connection.send_to_successor = (
            self.closes_after_response,
            self.send_to_successor,
        )
        connection.is_repeated = self.is_repeated
        connection.has_served_request = has_served_request
        connection.carries_callbacks = carries_callbacks
        if has_served_request:
            connection.lifetime.extend_idle(is_worth_keeping=True)
        self.connections.add(connection)
        self.nursery.start_soon(self._serve, connection)

    def hand_over(self, send_to_successor: SendToSuccessor) -> None:
        """Stop accepting, and send each connection to the successor once no request is in progress on it."""
        self.send_to_successor = send_to_successor
        self.accept_scope.cancel()
        for connection in list(self.connections):
            connection.hand_over(send_to_successor)

    async def _serve(self, connection: Connection) -> None:
        try:
            await connection.serve()
        except Exception as error:  # A fault in one connection must not end the others.
            self.counters.add("edge_connections_faulty")
            self.log.event("connection_failed", level="error", error=repr(error))
        finally:
            self.connections.discard(connection)
            self._report_close(connection)

    def _report_close(self, connection: Connection) -> None:
        """Count a connection that has ended by the cause, and log it."""
        reason = connection.close_reason or CloseReason.FAILED
        self.counters.add(f"edge_closed_{reason.value}")
        if self.log.writes_debug:
            self.log.event(
                "connection_closed",
                level="debug",
                reason=reason.value,
                had_answered=connection.has_answered,
                unparsed_bytes=connection.stream.parser.unconsumed_bytes,
                open=len(self.connections),
            )

    async def _sweep(self) -> None:
        """End connections whose client was idle or too slow for too long."""
        while True:
            await trio.sleep(self.limits.sweep_interval_s)
            now = trio.current_time()
            for connection in list(self.connections):
                if connection.lifetime.has_expired(now):
                    self.counters.add("edge_connections_expired")
                    connection.expire()

    def _make_room(self) -> bool:
        """Close the connections that have been idle the longest. Return whether any was closed."""
        candidates, max_closed = self._eviction_candidates()
        closed = 0
        for connection in sorted(candidates, key=lambda connection: connection.lifetime.idle_since):
            if closed < max_closed and connection.close_if_unused():
                self.connections.discard(connection)
                closed += 1
        return closed > 0

    def _eviction_candidates(self) -> tuple[list[Connection], int]:
        """Return the connections that may be closed to make room, and how many of them to close at once."""
        idle = [connection for connection in self.connections if connection.is_idle]
        unserved = [connection for connection in idle if not connection.has_served_request]
        # Silent clients must not crowd out usual ones. Connections without a served request are closed first,
        # several at a time because the search is costly. If they hold more than a third of the places, no
        # other connection is closed, and new ones wait until one of the unserved may be closed.
        if long_idle := self._idle_for_long(unserved):
            return long_idle, self.limits.evict_batch
        receiving = [connection for connection in self.connections if connection.is_receiving_request]
        if len(receiving) > self.limits.client_connections * 3 // 4:
            # Closes connections of clients that send a part of a request and stay. This leaves a quarter of
            # the places for callbacks and usual clients, whose requests arrive whole. While slow writers
            # are few, they keep their connections.
            return self._idle_for_long(receiving), self.limits.evict_batch
        if len(unserved) <= self.limits.client_connections // 3:
            return self._idle_for_long(idle), 1
        return [], 0

    def _idle_for_long(self, connections: list[Connection]) -> list[Connection]:
        before = trio.current_time() - self.limits.evict_idle_after_s
        return [connection for connection in connections if connection.lifetime.idle_since < before]

    async def close_all(self, seconds: float) -> None:
        """End every connection cleanly within a number of seconds, after which the process ends."""
        with trio.move_on_after(seconds):
            while self.connections:
                self.close_idle(including_callbacks=True)
                await trio.sleep(self.limits.handover_check_interval_s)

    def is_short_of_idle_connections(self) -> bool:
        """Return whether clients are about to run out of kept connections, which they cannot replace now."""
        if not self.is_draining:
            return False
        idle_count = sum(
            connection.has_served_request and connection.is_idle for connection in self.connections
        )
        return idle_count < self.limits.spare_client_connections

    def set_closes_after_response(self, closes_after_response: bool) -> None:
        """Set whether all connections close after their next response."""
        self.closes_after_response = closes_after_response
        for connection in self.connections:
            connection.closes_after_response = closes_after_response

    def close_idle(self, idle_for_s: float = 0.0, including_callbacks: bool = False) -> None:
        """Close connections that have been idle for ``idle_for_s``, and the others after their next response.

        Connections that carry callbacks stay open unless they are included, because the callbacks that end
        requests still arrive on them. The listener goes on accepting.
        """
        self.set_closes_after_response(True)
        before = trio.current_time() - idle_for_s
        for connection in self.connections:
            stays_open = connection.carries_callbacks and not including_callbacks
            if connection.lifetime.idle_since <= before and not stays_open:
                connection.close_if_idle()
