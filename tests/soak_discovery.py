"""Discovery of the soak: it moves, loses answers and goes down; and since when a node counts as notified."""

from __future__ import annotations

import json
import math
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import trio

from merlinbay.counters import Counters
from merlinbay.http.connection import Connection, Request, Response
from merlinbay.http.server import Listener
from merlinbay.http.sockets import has_hung_up
from merlinbay.log import Log
from tests.net import LIMITS, bind_loopback
from tests.soak_day import ListFault, Outage, SoakDay

RELOAD_S, SILENT_S = 4.0, 6.0  # after a new configuration, and after discovery has it and can be reached
CLOSES_S = 1.5  # a former address closes its connections so long after the move
FAILS_AFTER_S = 3.0  # a call that waits so long ends with 503


@dataclass
class Notified:
    """Since when the node counts as notified that servers leave, by the protocol page alone."""

    outage: Outage | None
    listed: dict[str, tuple[float, int]] = field(default_factory=dict)  # by server: when, and the version
    written: list[tuple[float, int]] = field(default_factory=list)  # whole answers, and their version
    reloads: list[float] = field(default_factory=list)

    def since(self, server: str) -> float:
        """Return since when; infinity where the server does not leave."""
        if server not in self.listed:
            return math.inf
        listed_at, version = self.listed[server]
        moments = [at for at, wrote in self.written if wrote >= version]
        for reload_at in self.reloads:
            confirmed = min((at for at, _ in self.written if at > reload_at), default=math.inf)
            if listed_at <= min(confirmed, reload_at + RELOAD_S):
                moments.append(max(reload_at + RELOAD_S, listed_at))
        moments.append(self._reached(listed_at) + SILENT_S)
        return min(moments)

    def _reached(self, listed_at: float) -> float:
        outage = self.outage
        overlaps = outage is not None and outage.begin < listed_at + SILENT_S and outage.end > listed_at
        return outage.end if outage is not None and overlaps else listed_at


@dataclass
class SoakDiscovery:
    """The list, at one address after the other."""

    day: SoakDay
    rng: Random
    nursery: trio.Nursery
    now: Callable[[], float]
    rows: list[dict[str, Any]] = field(default_factory=list)
    version: int = 1
    changed: trio.Event = field(default_factory=trio.Event)
    notified: Notified = field(init=False)
    current: Address | None = None
    down: bool = False

    def __post_init__(self) -> None:
        self.notified = Notified(self.day.outage)

    def move(self) -> str:
        """Listen at another address; return it."""
        if self.current is not None:
            self.nursery.start_soon(self.current.close_later)
        self.current = Address(self)
        self.current.sock.listen(16)
        self.nursery.start_soon(self.current.serve)
        return self.current.addr

    def leave(self, server: str, state: str) -> None:
        """List a server as leaving, or no more."""
        self.version += 1
        for row in self.rows:
            if row["id"] == server:
                row["state"] = "DRAINING" if state == "DRAINING" else "gone"
        self.rows = [row for row in self.rows if row["state"] != "gone"]
        self.notified.listed[server] = self.now(), self.version
        self._wake()

    def go_down(self, down: bool) -> None:
        """Go down, or come back."""
        self.down = down
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


class Address:
    """Discovery at one address."""

    def __init__(self, discovery: SoakDiscovery) -> None:
        self.discovery, self.sock = discovery, bind_loopback()
        self.addr = f"127.0.0.2:{self.sock.getsockname()[1]}"
        self.scope = trio.CancelScope()

    async def serve(self) -> None:
        """Serve until closed."""
        with self.scope:
            listener = Listener(self, LIMITS, Counters(), Log(1))
            await listener.serve(trio.socket.from_stdlib_socket(self.sock))

    async def close_later(self) -> None:
        """Accept nothing more, and close what is open after a while."""
        self.sock.shutdown(socket.SHUT_RDWR)  # what listens is shut: new connections are refused
        await trio.sleep(CLOSES_S)
        self.scope.cancel()

    def client_disconnected(self, connection: Connection) -> None:
        """Pass over it."""

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Answer a call, unless a fault befalls it."""
        discovery = self.discovery
        if discovery.down:
            await trio.sleep(FAILS_AFTER_S)
            return Response(503)
        await trio.sleep(discovery.rng.uniform(*discovery.day.call_s))
        if f"after={discovery.version}&" in request.target and "wait_ms=0" not in request.target:
            with trio.move_on_after(0.95):
                await discovery.changed.wait()
        if discovery.down:
            return Response(503)
        kinds = list(discovery.day.list_faults)
        healthy = 1 - sum(discovery.day.list_faults.values())
        fault = discovery.rng.choices(
            [ListFault.NONE, *kinds], [healthy, *discovery.day.list_faults.values()]
        )[0]
        return await self._answer(connection, fault)

    async def _answer(self, connection: Connection, fault: ListFault) -> Response | None:
        discovery = self.discovery
        version = discovery.version
        body = json.dumps({"version": version, "full": True, "servers": discovery.rows}).encode()
        if fault is ListFault.LOST:
            await trio.sleep_forever()
        if fault is ListFault.CUT:
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            await connection.sock.send(head + body[: len(body) // 2])
            connection.scope.cancel()
            return None
        if fault is ListFault.REFUSED:
            await trio.sleep(FAILS_AFTER_S)
            return Response(503)
        if fault is ListFault.SPOILT:
            return Response(200, body[:-9])
        if fault is ListFault.SLOW:
            await trio.sleep(discovery.rng.uniform(0.2, 1.2))
        if not has_hung_up(connection.sock):  # the node has moved on, and hears nothing more of it
            discovery.notified.written.append((discovery.now(), version))
        return Response(200, body)
