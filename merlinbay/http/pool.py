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

LastLook = Callable[[], Headers]
"""Called right before the first byte.

Returns the headers that tell of that moment; raises ``AttemptWithheldError``.
"""


@dataclass(slots=True, eq=False)
class RealServer:
    """A real server as the pool knows it."""

    addr: str
    started_us: int = 0
    idle: list[ClientConnection] = field(default_factory=list)  # oldest first


class ConnectionPool:
    """Connections by real server, newest used first, so many over all."""

    def __init__(
        self,
        limits: ResourceLimits,
        counters: Counters,
        serves: Callable[[str], bool] = lambda name: True,
    ) -> None:
        self.limits, self.counters = limits, counters
        self.serves = serves  # whether a real server is up by the newest list, heard but not yet taken in
        self.servers: dict[str, RealServer] = {}
        self.connections = 0

    def entries_changed(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Learn addresses. Connections to an earlier process of a server are of no use."""
        if scope in ("all", "remembered"):
            named = {entry.server for entry in entries}
            for name in [name for name in self.servers if name not in named]:
                self._drop_idle(self.servers.pop(name))
        for entry in entries:
            known = self.servers.get(entry.server)
            if known is not None and (
                entry.state == "removed" or known.addr != entry.addr or known.started_us != entry.started_us
            ):
                self._drop_idle(self.servers.pop(entry.server))
                known = None
            if known is None and entry.state != "removed":
                self.servers[entry.server] = RealServer(entry.addr, entry.started_us)

    async def exchange(
        self,
        name: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes = b"",
        last_look: LastLook | None = None,
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
                self._keep(name, server, connection, connection.rests_until)
                raise
        try:
            reply = await connection.exchange(method, target, headers, body)
        except BaseException:
            self._close(connection)
            raise
        if keeps_after(reply):
            # Guards against an answer that comes twice, the second time some milliseconds late: it would pass
            # for the answer to the next request, be it that a job which was taken never ran.
            self._keep(name, server, connection, trio.current_time() + self.limits.pool_reuse_pause_s)
        else:
            self._close(connection)
        return reply

    async def sweep(self) -> None:
        """Close connections before the server's keep-alive does."""
        while True:
            await trio.sleep(self.limits.pool_idle_timeout_s / 8)
            before = trio.current_time() - self.limits.pool_idle_timeout_s
            for server in self.servers.values():
                while server.idle and server.idle[0].idle_since < before:
                    self._close(server.idle.pop(0))

    def _look(self, name: str, server: RealServer, last_look: LastLook) -> Headers:
        """Look at the server, then at the request. Raises ``AttemptWithheldError``."""
        # Guards against a drain told between placing and the first byte: a dial, or a long turn, lay between.
        if not self.serves(name) or self.servers.get(name) is not server:
            raise AttemptWithheldError("its server has left since it was chosen")
        return last_look()

    async def _connection(self, server: RealServer, rested: bool) -> ClientConnection:
        """Return the connection that was used last, and has ``rested`` if it must have, or a new one."""
        now = trio.current_time()
        for connection in [kept for kept in reversed(server.idle) if not rested or kept.rests_until <= now]:
            server.idle.remove(connection)
            fresh = now - connection.idle_since < self.limits.pool_idle_timeout_s
            if fresh and connection.usable():
                return connection
            # Guards against a write that crosses the server's keep-alive: it would end as a reset.
            self._close(connection)
        if self.connections >= self.limits.server_connections:
            self._make_room()
        if self.connections >= self.limits.server_connections:
            raise LocalResourceError("no descriptor left for real servers")
        self.connections += 1
        try:
            connection = await ClientConnection.dial(server.addr, self.limits)
        except BaseException as error:
            self.connections -= 1
            if isinstance(error, LocalResourceError):
                self.counters.add("dials_short")
            elif isinstance(error, RequestNotSentError):
                self.counters.add(
                    "dials_timed_out" if isinstance(error, ConnectTimeoutError) else "dials_refused"
                )
            raise
        self.counters.add("server_connections")
        return connection

    def _keep(self, name: str, server: RealServer, connection: ClientConnection, rests_until: float) -> None:
        connection.idle_since, connection.rests_until = trio.current_time(), rests_until
        if connection.reusable and self.servers.get(name) is server:
            server.idle.append(connection)
        else:
            self._close(connection)

    def _close(self, connection: ClientConnection) -> None:
        connection.close()
        self.connections -= 1

    def _make_room(self) -> None:
        """Close the connection that has stood idle the longest, of all real servers."""
        waiting = [server for server in self.servers.values() if server.idle]
        if waiting:
            self._close(min(waiting, key=lambda server: server.idle[0].idle_since).idle.pop(0))

    def _drop_idle(self, server: RealServer) -> None:
        while server.idle:
            self._close(server.idle.pop())
