"""The platform's real servers: pooled connections, one exchange for each scheduling."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from merlinbay.clock import Clock
from merlinbay.core import ports
from merlinbay.core.ports import Scheduling, ServiceEntry
from merlinbay.counters import Counters
from merlinbay.decision.api import Outcome
from merlinbay.http.client import Broken, ClientConnection, NotSent, Reply
from merlinbay.limits import Limits
from merlinbay.platform import words


@dataclass(slots=True, eq=False)
class RealServer:
    """A real server as the pool knows it."""

    addr: str
    started_us: int = 0
    idle: list[ClientConnection] = field(default_factory=list)  # oldest first


class RealServerPool:
    """Sends schedulings. All of it runs in the tasks of one nursery."""

    def __init__(self, nursery: trio.Nursery, inbox: trio.MemorySendChannel[ports.Message], clock: Clock,
                 limits: Limits, counters: Counters, fields: list[str]) -> None:
        self.nursery, self.inbox, self.clock = nursery, inbox, clock
        self.limits, self.counters, self.has_load = limits, counters, bool(fields)
        self.servers: dict[str, RealServer] = {}
        self.sending: dict[Scheduling, trio.CancelScope] = {}  # until their answer has come
        self.tasks = 0
        self.connections = 0

    # What the owner calls.

    def start(self, scheduling: Scheduling) -> None:
        """Send an attempt."""
        if self.tasks >= self.limits.server_tasks:
            self._post_now(ports.SchedulingEnded(scheduling.spec.name, scheduling.server,
                                                 Outcome.CONNECT_FAILED))
            return
        self.tasks += 1
        scope = self.sending[scheduling] = trio.CancelScope(
            deadline=self.clock.to_trio(scheduling.deadline_us) + self.limits.late_answer)
        self.nursery.start_soon(self._send, scheduling, scope)

    def give_up(self, scheduling: Scheduling) -> None:
        """Close the connection before the 202, delete the job after it."""
        scope = self.sending.pop(scheduling, None)
        if scope is not None:
            scope.cancel()
        elif self.tasks < self.limits.server_tasks:
            self.tasks += 1
            self.nursery.start_soon(self._delete, scheduling)

    def probe(self, server: str) -> None:
        """Ask a real server for its load."""
        self.tasks += 1
        self.nursery.start_soon(self._probe, server)

    def entries_changed(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Learn addresses. Connections to an earlier process of a server are of no use."""
        if scope in ("all", "remembered"):
            named = {entry.server for entry in entries}
            for name in [name for name in self.servers if name not in named]:
                self._drop_idle(self.servers.pop(name))
        for entry in entries:
            known = self.servers.get(entry.server)
            if known is not None and (entry.state == "removed" or known.addr != entry.addr
                                      or known.started_us != entry.started_us):
                self._drop_idle(self.servers.pop(entry.server))
                known = None
            if known is None and entry.state != "removed":
                self.servers[entry.server] = RealServer(entry.addr, entry.started_us)

    # Connections.

    async def _connection(self, server: RealServer) -> ClientConnection:
        """Return the connection that was used last, or a new one."""
        while server.idle:
            connection = server.idle.pop()
            fresh = trio.current_time() - connection.idle_since < self.limits.pool_idle
            if fresh and connection.usable():
                return connection
            # Guards against a write that crosses the server's keep-alive: it would end as a reset.
            self._close(connection)
        if self.connections >= self.limits.server_connections:
            self._make_room()
        if self.connections >= self.limits.server_connections:
            raise NotSent("no descriptor left for real servers")
        self.connections += 1
        try:
            connection = await ClientConnection.dial(server.addr, self.limits)
        except BaseException:
            self.connections -= 1
            raise
        self.counters.add("server_connections")
        return connection

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

    async def sweep(self) -> None:
        """Close connections before the server's keep-alive does."""
        while True:
            await trio.sleep(self.limits.pool_idle / 8)
            before = trio.current_time() - self.limits.pool_idle
            for server in self.servers.values():
                while server.idle and server.idle[0].idle_since < before:
                    self._close(server.idle.pop(0))

    async def _exchange(self, name: str, method: str, target: str, headers: list[tuple[str, str]],
                        body: bytes = b"") -> Reply:
        """Have one exchange, and keep the connection if it can carry another."""
        server = self.servers.get(name)
        if server is None:
            raise NotSent("not listed")
        connection = await self._connection(server)
        try:
            reply = await connection.exchange(method, target, headers, body)
        except BaseException:
            self._close(connection)
            raise
        connection.idle_since = trio.current_time()
        if connection.usable() and self.servers.get(name) is server:
            server.idle.append(connection)
        else:
            self._close(connection)
        return reply

    # Tasks.

    async def _send(self, scheduling: Scheduling, scope: trio.CancelScope) -> None:
        spec = scheduling.spec
        outcome: Outcome | None = None
        report = None
        wait_ms = max((scheduling.deadline_us - self.clock.now_us()) // 1000, 1)
        headers = [("x-request-id", spec.name), ("x-timeout-ms", str(wait_ms))]
        if spec.repeat_key:
            headers.append(("idempotency-key", spec.repeat_key))
        try:
            with scope:
                reply = await self._exchange(scheduling.server, "POST", spec.target, headers, spec.body)
                outcome = outcome_of(reply)
                report = words.load_from(reply.headers.get("x-server-load", ""))
        except NotSent:
            outcome = Outcome.CONNECT_FAILED
        except Broken:
            outcome = Outcome.RESET
        finally:
            self.tasks -= 1
            self.sending.pop(scheduling, None)
        if outcome is not None and not scope.cancelled_caught:
            await self._post(ports.SchedulingEnded(spec.name, scheduling.server, outcome, b"", report))

    async def _delete(self, scheduling: Scheduling) -> None:
        try:
            with trio.move_on_after(self.limits.cancel_exchange):
                await self._exchange(scheduling.server, "DELETE", f"/jobs/{scheduling.spec.name}", [])
                self.counters.add("deletes")
        except (NotSent, Broken):
            self.counters.add("deletes_failed")
        finally:
            self.tasks -= 1

    async def _probe(self, name: str) -> None:
        began = self.clock.now_us()
        outcome, report = Outcome.TIMEOUT, None
        try:
            with trio.move_on_after(self.limits.probe_exchange):
                reply = await self._exchange(name, "GET", "/-/load" if self.has_load else "/-/healthy", [])
                outcome = Outcome.OK if reply.status == 200 else Outcome.ERROR
                report = words.load_from(reply.body.decode("latin-1"))
        except NotSent:
            outcome = Outcome.CONNECT_FAILED
        except Broken:
            outcome = Outcome.RESET
        finally:
            self.tasks -= 1
        await self._post(ports.ServerProbed(name, outcome, self.clock.now_us() - began, report))

    async def _post(self, message: ports.Message) -> None:
        try:
            await self.inbox.send(message)
        except trio.BrokenResourceError:  # the owner has ended, and with it every flow
            pass

    def _post_now(self, message: ports.Message) -> None:
        """Post from the owner's own task, which must not wait for itself."""
        self.nursery.start_soon(self._post, message)


def outcome_of(reply: Reply) -> Outcome | None:
    """Return what an answer says of its attempt; None: the job is taken, call-backs tell the rest."""
    if reply.status == 202:
        return None
    if reply.status in (503, 504) and reply.headers.get("x-not-processed") == "1":
        return Outcome.FULL
    return Outcome.ERROR
