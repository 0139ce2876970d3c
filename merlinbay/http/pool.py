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
"""Called right before the first byte.

Returns the headers that tell of that moment; raises ``AttemptWithheldError``.
"""


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

    async def exchange(
        self,
        name: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes = b"",
        last_look: PreSendCheck | None = None,
        keeps_after: Callable[[Reply], bool] = lambda reply: True,
        rested: bool = True,
    ) -> Reply:
        """Have one exchange, and keep the connection if it can carry another.

        One that places a job has a ``last_look``: it goes to no server that has left since it was chosen,
        and not if the look raises ``AttemptWithheldError``. The connection ends after an answer that
        ``keeps_after``
        does not accept. One whose answer proves nothing needs no ``rested`` connection.
        """
        server = self.servers.get(name)
        if server is None:
            raise RequestNotSentError("not listed")
        connection = await self._connection(server, rested)
        if last_look is not None:
            try:
                headers = headers + self._look(name, server, last_look)
            except AttemptWithheldError:
                self.counters.add("sends_withheld")
                self._keep(name, server, connection, connection.quarantined_until)
                raise
        try:
            reply = await connection.exchange(method, target, headers, body)
        except BaseException:
            self._close(connection)
            raise
        if keeps_after(reply):
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

    def _look(self, name: str, server: PooledServer, last_look: PreSendCheck) -> Headers:
        """Look at the server, then at the request. Raises ``AttemptWithheldError``."""
        # Guards against a drain told between placing and the first byte: a dial, or a long turn, lay between.
        if not self.is_serving(name) or self.servers.get(name) is not server:
            raise AttemptWithheldError("its server has left since it was chosen")
        return last_look()

    async def _connection(self, server: PooledServer, rested: bool) -> ClientConnection:
        """Return the connection that was used last, and has ``rested`` if it must have, or a new one."""
        now = trio.current_time()
        for connection in [
            kept for kept in reversed(server.idle_connections) if not rested or kept.quarantined_until <= now
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
