"""A pool of connections to servers, shared by all server transports.

The pool owns every connection to a server, idle or in use. Transports call it for each exchange. A failed
exchange closes its connection and raises an error; the pool does not retry it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from merlinbay.core.values import ServiceEntry
from merlinbay.counters import Counters
from merlinbay.http.client import (
    AttemptWithheldError,
    ClientConnection,
    ConnectTimeoutError,
    Headers,
    LocalResourceError,
    Reply,
    RequestNotSentError,
)
from merlinbay.http.memory_budget import MemoryBudget
from merlinbay.limits import ResourceLimits

PreSendCheck = Callable[[], Headers]
"""Called right before the first byte of a request is written.

Returns headers whose values depend on that time. Raises ``AttemptWithheldError``.
"""


def may_always_keep(reply: Reply) -> bool:
    """Return True: the connection may be kept after any response."""
    return True


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request for a pooled connection. A request that dispatches an attempt needs a ``pre_send_check``."""

    method: str
    target: str
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    # With a pre-send check, the pool also requires that the server is still listed and serving.
    pre_send_check: PreSendCheck | None = None
    may_keep: Callable[[Reply], bool] = may_always_keep  # whether the connection stays open after a response
    # Whether a quarantined connection may carry the request. This is only for requests whose response proves
    # nothing, so that a stray response to an earlier request does no harm.
    may_reuse_in_quarantine: bool = False


@dataclass(slots=True, eq=False)
class PooledServer:
    """A server and its idle connections."""

    address: str
    started_at_us: int = 0  # time of the latest start; 0 means long ago
    idle_connections: list[ClientConnection] = field(default_factory=list)  # oldest first


class ConnectionPool:
    """Connections to all servers, up to a total limit. Times are on trio's clock.

    The most recently used idle connection to a server is reused first.
    """

    def __init__(
        self,
        limits: ResourceLimits,
        counters: Counters,
        is_serving: Callable[[str], bool] = lambda name: True,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.limits, self.counters = limits, counters
        self.budget = budget or MemoryBudget(limits.message_bytes)
        # Returns whether a server is up in the latest list, which the decision module may not have yet.
        self.is_serving = is_serving
        self.servers: dict[str, PooledServer] = {}
        self.open_connections = 0  # number of connections to all servers, idle or in use

    def update_endpoints(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Update the addresses; close idle connections to servers that have left, moved or restarted."""
        if scope in ("all", "remembered"):
            listed_names = {entry.server for entry in entries}
            for name in [name for name in self.servers if name not in listed_names]:
                self._drop_idle(self.servers.pop(name))
        for entry in entries:
            pooled = self.servers.get(entry.server)
            if pooled is not None and (
                entry.state == "removed"
                or pooled.address != entry.address
                or pooled.started_at_us != entry.started_at_us
            ):
                self._drop_idle(self.servers.pop(entry.server))
                pooled = None
            if pooled is None and entry.state != "removed":
                self.servers[entry.server] = PooledServer(entry.address, entry.started_at_us)

    async def exchange(self, name: str, request: OutgoingRequest) -> Reply:
        """Send a request to a server and return the response. Keep the connection if it can be reused.

        Raises ``RequestNotSentError`` or ``ConnectionBrokenError``.
        """
        server = self.servers.get(name)
        if server is None:
            raise RequestNotSentError("the server is not in the endpoint list")
        connection = await self._connection(server, request.may_reuse_in_quarantine)
        headers = request.headers
        if request.pre_send_check is not None:
            try:
                headers = headers + self._check_before_sending(name, server, request.pre_send_check)
            except AttemptWithheldError:
                self.counters.add("sends_withheld")
                self._keep(name, server, connection, connection.quarantined_until)
                raise
        try:
            reply = await connection.exchange(request.method, request.target, headers, request.body)
        except BaseException:
            self._close(connection)
            raise
        if request.may_keep(reply):
            # Quarantines the connection for a short time. A server may send a response twice, the second copy
            # some milliseconds late. That copy would be read as the response to the next request, which may
            # never have run.
            quarantined_until = trio.current_time() + self.limits.pool_reuse_pause_s
            self._keep(name, server, connection, quarantined_until)
        else:
            self._close(connection)
        return reply

    async def sweep(self) -> None:
        """Close idle connections before the servers' keep-alive timeout closes them."""
        while True:
            await trio.sleep(self.limits.pool_idle_timeout_s / 8)
            now = trio.current_time()
            for server in self.servers.values():
                while server.idle_connections and self._has_expired(server.idle_connections[0], now):
                    self._close(server.idle_connections.pop(0))

    def _check_before_sending(self, name: str, server: PooledServer, check: PreSendCheck) -> Headers:
        """Check the server, then the request. Raises ``AttemptWithheldError``."""
        # The server may have been reported as draining since the dispatch, while the connection was opened or
        # a long batch ran. Nothing is sent to it then.
        if not self.is_serving(name) or self.servers.get(name) is not server:
            raise AttemptWithheldError("the server has left or restarted since the dispatch")
        return check()

    async def _connection(self, server: PooledServer, may_reuse_in_quarantine: bool) -> ClientConnection:
        """Return the most recently used available connection, or a new one."""
        now = trio.current_time()
        for connection in [
            idle
            for idle in reversed(server.idle_connections)
            if may_reuse_in_quarantine or idle.quarantined_until <= now
        ]:
            server.idle_connections.remove(connection)
            if not self._has_expired(connection, now) and connection.is_available():
                return connection
            # Closes a connection that the server may be about to close: a request written just as the
            # server's keep-alive ends would be answered by a reset.
            self._close(connection)
        return await self._connect(server)

    def _has_expired(self, connection: ClientConnection, now: float) -> bool:
        """Return whether an idle connection is so old that the server may close it soon."""
        return now - connection.idle_since >= self.limits.pool_idle_timeout_s

    async def _connect(self, server: PooledServer) -> ClientConnection:
        """Open a connection; at the limit, close an idle one first. Raises ``RequestNotSentError``."""
        if self.open_connections >= self.limits.server_connections:
            self._make_room()
        if self.open_connections >= self.limits.server_connections:
            raise LocalResourceError("every connection to servers that the limit allows is in use")
        self.open_connections += 1
        try:
            connection = await ClientConnection.connect(server.address, self.limits, budget=self.budget)
        except BaseException as error:
            self.open_connections -= 1
            if isinstance(error, LocalResourceError):
                self.counters.add("dials_short")
            elif isinstance(error, RequestNotSentError):
                self.counters.add(
                    "dials_timed_out" if isinstance(error, ConnectTimeoutError) else "dials_refused"
                )
            raise
        self.counters.add("server_connections")
        return connection

    def _keep(
        self, name: str, server: PooledServer, connection: ClientConnection, quarantined_until: float
    ) -> None:
        connection.idle_since, connection.quarantined_until = trio.current_time(), quarantined_until
        if connection.can_be_reused and self.servers.get(name) is server:
            server.idle_connections.append(connection)
        else:
            self._close(connection)

    def _close(self, connection: ClientConnection) -> None:
        connection.close()
        self.open_connections -= 1

    def _make_room(self) -> None:
        """Close the connection that has been idle the longest, of all servers."""
        candidates = [server for server in self.servers.values() if server.idle_connections]
        if candidates:
            longest_idle = min(candidates, key=lambda server: server.idle_connections[0].idle_since)
            self._close(longest_idle.idle_connections.pop(0))

    def _drop_idle(self, server: PooledServer) -> None:
        while server.idle_connections:
            self._close(server.idle_connections.pop())
