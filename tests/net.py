"""Helpers of the network tests: a node with fake servers and a fake discovery on loopback sockets."""

from __future__ import annotations

import json
import os
import random
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import trio

from merlinbay.config import load
from merlinbay.counters import Counters
from merlinbay.http.client import ClientConnection, Reply
from merlinbay.http.connection import Connection, Request, Response
from merlinbay.http.server import Listener
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log
from merlinbay.node import run

LIMITS = ResourceLimits()
ROOT = Path(__file__).parent.parent
CONF: dict[str, Any] = {
    "balancers": 1,
    "me": 0,
    "az": "hall-a",
    "kinds": ["k"],
    "discovery": "subscribe",
    "classes": [
        {
            "name": "admit",
            "aimUs": 120000,
            "deadlineUs": 3000000,
            "worth": 1.0,
            "effect": "by_key",
            "group": "cell",
            "windowUs": 7500000,
        }
    ],
    "limits": {
        "cancelling": True,
        "secondCopies": True,
        "sendCap": 5,
        "retryAfter": True,
        "maxRetryAfterUs": 2000000,
        "probes": True,
    },
    "report": {"how": "inline", "fields": ["err_rps", "active", "x0", "x1"]},
    "extra": {"tellsStart": True, "reportX0": "free slots", "reportX1": "free memory"},
    "safety": {
        "drainGraceUs": 500000,
        "coldFrom": 0.31,
        "coldUs": 9000000,
        "tipMultiple": 3.0,
        "overloadForUs": 2000000,
        "mustAskInUs": 10000000,
    },
}
LOAD_REPORT = {"inflight": 0, "x0": 4, "x1": 4, "eps": 0}


def bind_loopback() -> socket.socket:
    """Return a socket bound to a free port of 127.0.0.2, where no client port is ever allocated."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.2", 0))
    return sock


def free_port() -> int:
    """Return a free port of the addresses that test nodes use.

    The port is below 32768, so that no outgoing connection takes it before the node listens.
    """
    while True:
        port = random.SystemRandom().randrange(12_000, 32_000)
        try:
            for host in ("127.0.0.1", "127.0.0.2"):
                with socket.socket() as sock:
                    sock.bind((host, port))
        except OSError:
            continue
        return port


ServerBehaviour = Callable[["FakeServer", Request], Awaitable[Response | None]]


@dataclass
class FakeServer:
    """A fake server that records requests and responds by its behaviour; None breaks the connection."""

    fixture: NodeFixture
    name: str
    behaviour: ServerBehaviour
    sock: socket.socket = field(default_factory=bind_loopback)
    received: list[tuple[float, Request]] = field(default_factory=list)
    connections: set[int] = field(default_factory=set)
    last_connection: Connection | None = None

    @property
    def addr(self) -> str:
        """Return the address on which it listens."""
        return f"127.0.0.2:{self.sock.getsockname()[1]}"

    def targets(self, method: str = "POST") -> list[str]:
        """Return the targets of the received requests with a method."""
        return [request.target for _, request in self.received if request.method == method]

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Record the request and respond as the behaviour says."""
        self.received.append((trio.current_time(), request))
        self.connections.add(id(connection))
        self.last_connection = connection
        response = await self.behaviour(self, request)
        if response is None:
            connection.scope.cancel()
        return response

    def client_disconnected(self, connection: Connection) -> None:
        """Ignore the disconnect."""

    async def listen(self) -> None:
        """Serve until cancelled."""
        self.sock.listen(LIMITS.accept_backlog)
        listener = Listener(self, LIMITS, Counters(), Log(100))
        await listener.serve(trio.socket.from_stdlib_socket(self.sock))

    async def send_notification(self, job: str, state: str, **info: object) -> int:
        """Send a DRMAA notification. Return the status of the response."""
        notification = {
            "event": "NEW_STATE",
            "sessionName": self.name,
            "jobId": f"id-{job}",
            "jobName": job,
            "jobState": state,
            "jobInfo": {"jobId": f"id-{job}", "jobState": state, **info},
        }
        return (await self.fixture.call_json("POST", "/drmaa2/notifications", notification))[0]

    async def send_event(self, job: str, state: str, **fields: object) -> int:
        """Send a call-back. Return the status of the response."""
        event = {"id": job, "from": self.name, "state": state, **fields}
        return (await self.fixture.call("POST", "/v1/job-events", body=json.dumps(event).encode())).status


async def completes_job(server: FakeServer, request: Request) -> Response | None:
    """Accept a job, report its start and, soon after, its end."""
    job = request.headers.get("x-request-id", "")

    async def work() -> None:
        await server.send_event(job, "started")
        await trio.sleep(0.02)
        await server.send_event(job, "done", result=f"{server.name}:{job}", load=LOAD_REPORT)

    if request.method == "POST":
        server.fixture.nursery.start_soon(work)
    return Response(202)


@dataclass
class NodeFixture:
    """A node with its fake servers and its fake discovery."""

    nursery: trio.Nursery
    folder: Path
    port: int = field(default_factory=free_port)
    servers: list[FakeServer] = field(default_factory=list)
    endpoint_rows: list[dict[str, Any]] = field(default_factory=list)
    version: int = 1
    changed: trio.Event = field(default_factory=trio.Event)
    counters: Counters = field(default_factory=Counters)
    process: trio.Process | None = None
    sockets: int = 256
    memory_mb: int = 192
    settings: dict[str, Any] = field(default_factory=dict)
    operator: str = ""  # text of the operator's file; none by default
    admin_port: int = 0  # port for operators' calls; none by default

    def add_server(
        self, name: str, behaviour: ServerBehaviour = completes_job, cell: int = 0, **row: object
    ) -> FakeServer:
        """Add a server to the endpoint list, before the node starts or while it runs."""
        server = FakeServer(self, name, behaviour)
        self.servers.append(server)
        self.nursery.start_soon(server.listen)
        self.endpoint_rows.append(
            {
                "id": name,
                "addr": server.addr,
                "zone": "hall-a",
                "kind": "k",
                "cell": cell,
                "state": "SERVING",
                "weight": 1.0,
                "started_ms": 0,
                **row,
            }
        )
        return server

    def server(self, name: str) -> FakeServer:
        """Return a server by its name."""
        return next(server for server in self.servers if server.name == name)

    def update_server(self, name: str, **row: object) -> None:
        """Change a row of the endpoint list and notify the watch."""
        for endpoint_row in self.endpoint_rows:
            if endpoint_row["id"] == name:
                endpoint_row.update(row)
        self.version += 1
        self.changed.set()
        self.changed = trio.Event()

    async def discovery(self, server: FakeServer, request: Request) -> Response | None:
        """Respond as discovery: each response has the whole endpoint list."""
        if f"after={self.version}&" in request.target:
            with trio.move_on_after(0.5):
                await self.changed.wait()
        return Response(
            200, json.dumps({"version": self.version, "full": True, "servers": self.endpoint_rows}).encode()
        )

    def configure(self, **conf: object) -> dict[str, str]:
        """Write the node's configuration. Return its environment."""
        discovery_server = FakeServer(self, "discovery", self.discovery)
        self.nursery.start_soon(discovery_server.listen)
        self.settings = {**CONF, **conf}
        return self.write_configuration(discovery_server.addr)

    def write_configuration(self, discovery: str) -> dict[str, str]:
        """Write or replace the configuration file. Return the node's environment."""
        path, operator_path = self.folder / "config.json", self.folder / "operator.toml"
        operator_path.write_text(self.operator)
        path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.2:{self.port}",
                    "discovery": discovery,
                    "seed": "2a",
                    "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
                    "known": {"version": 0, "full": True, "servers": self.endpoint_rows},
                    "settings": self.settings,
                }
            )
        )
        return {
            "LB_CONFIG": str(path),
            "LB_OPERATOR": str(operator_path) if self.operator else "",
            "LB_ADMIN_ADDR": f"127.0.0.2:{self.admin_port}" if self.admin_port else "",
        }

    async def start(self, program: bool = False, cwd: Path = ROOT, **conf: object) -> None:
        """Start the node, in this process or as the program of a folder, and wait until it is ready."""
        environ = self.configure(**conf)
        if program:
            self.process = await trio.lowlevel.open_process(
                [sys.executable, "-B", "-m", "merlinbay"], cwd=cwd, env={**os.environ, **environ}
            )
        else:
            self.nursery.start_soon(run, load(environ), self.counters)
        with trio.fail_after(15):
            while True:
                try:
                    if (await self.call("GET", "/-/ready")).status == 200:
                        return
                except Exception:
                    await trio.sleep(0.02)

    async def call(
        self, method: str, target: str, headers: list[tuple[str, str]] | None = None, body: bytes = b""
    ) -> Reply:
        """Send one request to the node on a new connection."""
        connection = await ClientConnection.connect(f"127.0.0.2:{self.port}", LIMITS)
        try:
            return await connection.exchange(method, target, headers or [], body)
        finally:
            connection.close()

    async def admin_call(self, line: str, port: int = 0) -> str:
        """Make an operator's call. Return the line of the response."""
        stream = await trio.open_tcp_stream("127.0.0.2", port or self.admin_port)
        async with stream:
            await stream.send_all(line.encode() + b"\n")
            return b"".join([part async for part in stream]).decode()

    async def admit(self, job: str, timeout_ms: int = 2000) -> Reply:
        """Submit a job and return the response."""
        return await self.call("POST", "/admit?x=1", admission_headers(job, timeout_ms), b"seat")

    async def call_json(self, method: str, target: str, value: object = None) -> tuple[int, Any]:
        """Send one request with a JSON body. Return the status and the decoded response."""
        body = b"" if value is None else json.dumps(value).encode()
        reply = await self.call(method, target, body=body)
        return reply.status, json.loads(reply.body) if reply.body else None


def admission_headers(job: str, timeout_ms: int = 2000) -> list[tuple[str, str]]:
    """Return the headers of a job's request."""
    return [
        ("X-Request-ID", job),
        ("X-Priority-Class", "admit"),
        ("X-Timeout-Ms", str(timeout_ms)),
        ("Idempotency-Key", f"key-{job}"),
    ]


@asynccontextmanager
async def node_fixture(folder: Path) -> AsyncIterator[NodeFixture]:
    """Create a node fixture, and end all its tasks and processes at the end."""
    with trio.fail_after(30):
        async with trio.open_nursery() as nursery:
            fixture = NodeFixture(nursery, folder)
            try:
                yield fixture
            finally:
                if fixture.process is not None and fixture.process.poll() is None:
                    fixture.process.kill()
                nursery.cancel_scope.cancel()


def run_scenario(scenario: Callable[..., Awaitable[None]], *args: object) -> None:
    """Run the scenario of a test in a new trio loop."""
    trio.run(scenario, *args)
