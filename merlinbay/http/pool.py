"""A pool of connections to servers, shared by all server transports."""

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
from merlinbay.limits import ResourceLimits

PreSendCheck = Callable[[], Headers]
"""Called right before the first byte of a request.

Returns headers whose values depend on that moment. Raises ``AttemptWithheldError``.
"""


def may_always_keep(reply: Reply) -> bool:
    """Keep the connection after any answer."""
    return True


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request for a pooled connection. Dispatching an attempt needs a ``pre_send_check``."""

    method: str
    target: str
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    pre_send_check: PreSendCheck | None = None  # also requires that the server is still listed and serving
    may_keep: Callable[[Reply], bool] = may_always_keep  # whether the connection stays open after an answer
    may_reuse_in_quarantine: bool = False  # its answer proves nothing, so a stray earlier one does no harm


@dataclass(slots=True, eq=False)
class PooledServer:
    """A server and its idle connections."""

    address: str
    started_at_us: int = 0  # its latest start; 0: long ago
    idle_connections: list[ClientConnection] = field(default_factory=list)  # oldest first


class ConnectionPool:
    """Connections by server, the latest used first, up to a limit over all. Moments are by trio's clock."""

    def __init__(
        self,
        limits: ResourceLimits,
        counters: Counters,
        is_serving: Callable[[str], bool] = lambda name: True,
    ) -> None:
        self.limits, self.counters = limits, counters
        # Whether a server is up by the latest list, which the decision module may not know yet.
        self.is_serving = is_serving
        self.servers: dict[str, PooledServer] = {}
        self.open_connections = 0  # idle or in use, of all servers

    def update_endpoints(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Take addresses; close idle connections to earlier processes of servers."""
        if scope in ("all", "remembered"):
            named = {entry.server for entry in entries}
            for name in [name for name in self.servers if name not in named]:
                self._drop_idle(self.servers.pop(name))
        for entry in entries:
            known = self.servers.get(entry.server)
            if known is not None and (
                entry.state == "removed"
                or known.address != entry.address
                or known.started_at_us != entry.started_at_us
            ):
                self._drop_idle(self.servers.pop(entry.server))
                known = None
            if known is None and entry.state != "removed":
                self.servers[entry.server] = PooledServer(entry.address, entry.started_at_us)

    async def exchange(self, name: str, request: OutgoingRequest) -> Reply:
        """Send a request to a server, return its answer, and keep the connection if it can carry another.

        Raises ``RequestNotSentError`` or ``ConnectionBrokenError``.
        """
        server = self.servers.get(name)
        if server is None:
            raise RequestNotSentError("not listed")
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
            # Guards against a response that comes twice, the second time some milliseconds late: it would be
            # taken for the response to the next request, which may never have run.
            quarantined_until = trio.current_time() + self.limits.pool_reuse_pause_s
            self._keep(name, server, connection, quarantined_until)
        else:
            self._close(connection)
        return reply

    async def sweep(self) -> None:
        """Close idle connections before the keep-alive of their servers does."""
        while True:
            await trio.sleep(self.limits.pool_idle_timeout_s / 8)
            now = trio.current_time()
            for server in self.servers.values():
                while server.idle_connections and self._has_expired(server.idle_connections[0], now):
                    self._close(server.idle_connections.pop(0))

    def _check_before_sending(self, name: str, server: PooledServer, check: PreSendCheck) -> Headers:
        """Check the server, then the request. Raises ``AttemptWithheldError``."""
        # Guards against a drain notified between dispatch and the first byte, during a dial or a long batch.
        if not self.is_serving(name) or self.servers.get(name) is not server:
            raise AttemptWithheldError("its server has left since it was chosen")
        return check()

    async def _connection(self, server: PooledServer, may_reuse_in_quarantine: bool) -> ClientConnection:
        """Return the available connection that was used last, or a new one."""
        now = trio.current_time()
        for connection in [
            kept
            for kept in reversed(server.idle_connections)
            if may_reuse_in_quarantine or kept.quarantined_until <= now
        ]:
            server.idle_connections.remove(connection)
            if not self._has_expired(connection, now) and connection.is_available():
                return connection
            # Guards against a write that crosses the end of the server's keep-alive, and ends as a reset.
            self._close(connection)
        return await self._connect(server)

    def _has_expired(self, connection: ClientConnection, now: float) -> bool:
        """Tell whether the server may close an idle connection soon."""
        return now - connection.idle_since >= self.limits.pool_idle_timeout_s

    async def _connect(self, server: PooledServer) -> ClientConnection:
        """Open a connection, if need be in the place of an idle one. Raises ``RequestNotSentError``."""
        if self.open_connections >= self.limits.server_connections:
            self._make_room()
        if self.open_connections >= self.limits.server_connections:
            raise LocalResourceError("no descriptor left for servers")
        self.open_connections += 1
        try:
            connection = await ClientConnection.connect(server.address, self.limits)
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
        """Close the connection of all servers that has been idle the longest."""
        candidates = [server for server in self.servers.values() if server.idle_connections]
        if candidates:
            longest = min(candidates, key=lambda server: server.idle_connections[0].idle_since)
            self._close(longest.idle_connections.pop(0))

    def _drop_idle(self, server: PooledServer) -> None:
        while server.idle_connections:
            self._close(server.idle_connections.pop())
