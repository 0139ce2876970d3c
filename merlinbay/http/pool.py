"""Pooled connections to named real servers, shared by every real-server side."""

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
    """A real server as the pool knows it."""

    address: str
    started_at_us: int = 0
    idle_connections: list[ClientConnection] = field(default_factory=list)  # oldest first


class ConnectionPool:
    """Connections by real server, newest used first, so many over all."""

    def __init__(
        self,
        limits: ResourceLimits,
        counters: Counters,
        serves: Callable[[str], bool] = lambda name: True,
    ) -> None:
        self.limits, self.counters = limits, counters
        self.is_serving = serves  # whether a real server is up by the newest list, heard but not yet taken in
        self.servers: dict[str, PooledServer] = {}
        self.open_connections = 0

    def update_endpoints(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Learn addresses. Connections to an earlier process of a server are of no use."""
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
            # Guards against an answer that comes twice, the second time some milliseconds late: it would pass
            # for the answer to the next request, be it that a job which was taken never ran.
            self._keep(name, server, connection, trio.current_time() + self.limits.pool_rest)
        else:
            self._close(connection)
        return reply

    async def sweep(self) -> None:
        """Close connections before the server's keep-alive does."""
        while True:
            await trio.sleep(self.limits.pool_idle / 8)
            before = trio.current_time() - self.limits.pool_idle
            for server in self.servers.values():
                while server.idle_connections and server.idle_connections[0].idle_since < before:
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
            fresh = now - connection.idle_since < self.limits.pool_idle
            if fresh and connection.is_available():
                return connection
            # Guards against a write that crosses the server's keep-alive: it would end as a reset.
            self._close(connection)
        if self.open_connections >= self.limits.server_connections:
            self._make_room()
        if self.open_connections >= self.limits.server_connections:
            raise LocalResourceError("no descriptor left for real servers")
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
        self, name: str, server: PooledServer, connection: ClientConnection, rests_until: float
    ) -> None:
        connection.idle_since, connection.quarantined_until = trio.current_time(), rests_until
        if connection.can_be_reused and self.servers.get(name) is server:
            server.idle_connections.append(connection)
        else:
            self._close(connection)

    def _close(self, connection: ClientConnection) -> None:
        connection.close()
        self.open_connections -= 1

    def _make_room(self) -> None:
        """Close the connection that has stood idle the longest, of all real servers."""
        waiting = [server for server in self.servers.values() if server.idle_connections]
        if waiting:
            self._close(
                min(waiting, key=lambda server: server.idle_connections[0].idle_since).idle_connections.pop(0)
            )

    def _drop_idle(self, server: PooledServer) -> None:
        while server.idle_connections:
            self._close(server.idle_connections.pop())
