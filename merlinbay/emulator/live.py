"""The second way to play: the real program on loopback sockets, against the same model in real time.

The model's loop runs by the clock. Servers and discovery listen on 127.0.0.2 and speak the platform's
protocol; each node is a process of its own; the callers are the load tool: an open loop that waits for none,
so that a node that stands still is counted with all that would have come meanwhile.
"""

from __future__ import annotations

import json
import signal
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import trio

from merlinbay.counters import Counters
from merlinbay.decision.outcomes import Outcome
from merlinbay.emulator.bad_clients import BAD_REQUESTS, bad_client
from merlinbay.emulator.call_backs import CallBackSender
from merlinbay.emulator.checker import RuleViolationError
from merlinbay.emulator.host import EmulatedRequest as Asked
from merlinbay.emulator.live_loop import LiveLoop
from merlinbay.emulator.loop import Loop
from merlinbay.emulator.node_process import HOST, LIMITS, settings_json, start_node
from merlinbay.emulator.servers import EmulatedAttempt, EmulatedServer
from merlinbay.emulator.simulation import DaySimulation, SimulationResult
from merlinbay.emulator.spec import Scenario
from merlinbay.http.client import ClientConnection, ConnectionBrokenError, RequestNotSentError
from merlinbay.http.connection import Connection, Request, Response
from merlinbay.http.server import Listener
from merlinbay.log import Log

STATES = {"up": "SERVING", "draining": "DRAINING", "removed": "DELETED"}


class LiveServer:
    """One real server of the model, on a socket."""

    def __init__(self, live: Live, model: EmulatedServer) -> None:
        self.live, self.model = live, model
        self.works: dict[str, EmulatedAttempt] = {}
        self.listener: Listener | None = None
        self.scope = trio.CancelScope()
        self.addr = ""
        self.call_backs = CallBackSender()

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Take a job, or a cancel."""
        model = self.model
        self.live.catch_up()
        connection.has_served_request = True
        name = request.headers.get("x-request-id", "")
        if request.method == "DELETE":
            work = self.works.pop(request.target.rpartition("/")[2], None)
            if work is not None:
                model.cancel(work)
            return Response(200)
        found = self.live.requests.get(name)
        if found is None:
            return Response(400)
        node, asked = found
        checker = self.live.checker
        checker.sent(node, self.live.jobs[name], model)
        number = len(checker.asked[node, self.live.jobs[name]].tries) - 1
        work = EmulatedAttempt(
            node,
            self.live.jobs[name],
            number,
            asked.work_us,
            asked.slots,
            asked.memory,
            asked.key,
            self._told(name, node),
        )
        self.works[name] = work
        outcome = model.take(work)
        if outcome is None or work.ended:
            return Response(202)
        work.ended = True
        self.works.pop(name, None)
        checker.ended(node, work.job, number, outcome)
        headers = self._load()
        if outcome is Outcome.FULL:
            return Response(503, b"", [(b"x-not-processed", b"1"), *headers])
        return Response(500, b"", headers) if outcome is Outcome.ERROR else None

    def client_disconnected(self, connection: Connection) -> None:
        """Owe nothing."""

    def _load(self) -> list[tuple[bytes, bytes]]:
        report = self.model.report()
        if report is None:
            return []
        names = ("eps", "inflight", "x0", "x1")
        return [
            (
                b"x-server-load",
                ",".join(
                    f"{name}={value:g}"
                    for name, value in zip(names, report, strict=True)
                    if isinstance(value, float)
                ).encode(),
            )
        ]

    def _told(self, name: str, node: int) -> Any:
        def told(work: EmulatedAttempt, what: str, outcome: Outcome | None) -> None:
            event: dict[str, Any] = {"id": name, "from": self.model.name, "state": what}
            if outcome is not None:
                self.works.pop(name, None)
                self.live.checker.ended(node, work.job, work.attempt, outcome)
                event["state"] = {Outcome.OK: "done", Outcome.FULL: "returned", Outcome.RESET: "lost"}.get(
                    outcome, "failed"
                )
                if outcome is Outcome.OK:
                    event["result"] = "seated"
                report = None if self.model.state == "down" else self.model.report()
                if report is not None:
                    event["load"] = dict(zip(("eps", "inflight", "x0", "x1"), report, strict=True))
            self.live.nursery.start_soon(
                self.call_backs.send, self.live.addresses[node], json.dumps(event).encode()
            )

        return told

    async def serve(self) -> None:
        """Listen whenever the model is not down, on one port for good."""
        sock = None
        while True:
            if self.model.state != "down":
                self.listener = Listener(self, LIMITS, Counters(), Log(1))
                sock = await self.listener.bind(HOST, int(self.addr.rpartition(":")[2] or 0))
                self.addr = f"{HOST}:{sock.getsockname()[1]}"
                with trio.CancelScope() as self.scope, sock:
                    await self.listener.serve(sock)
            await trio.sleep(0.005)

    def look(self) -> None:
        """Close the door of a server that has died: its connections are reset, new ones refused."""
        if self.model.state == "down":
            self.scope.cancel()
            self.works.clear()


class LiveDirectory:
    """Discovery on a socket: the model's list, with watches."""

    def __init__(self, live: Live) -> None:
        self.live = live
        self.version, self.changed = 1, trio.Event()
        self.rows: dict[str, tuple[int, dict[str, Any]]] = {}

    def told(self, news: Any) -> None:
        """Take the model's list, or a change of it."""
        for row in news.entries:
            self.version += 1
            started = int((self.live.unix + row.ready_at_us / 1e6) * 1000) if row.ready_at_us else 0
            self.rows[row.endpoint] = (
                self.version,
                {
                    "id": row.endpoint,
                    "addr": self.live.servers_live[row.endpoint].addr,
                    "zone": row.zone,
                    "kind": row.kind,
                    "cell": row.cell,
                    "state": STATES[row.state],
                    "weight": 1.0,
                    "started_ms": started,
                },
            )
        self.changed.set()
        self.changed = trio.Event()

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Answer with the list, or with what has changed."""
        connection.has_served_request = True
        after, wait, node = 0, 0.0, request.headers.get("host", "")
        for part in request.target.partition("?")[2].split("&"):
            name, _, value = part.partition("=")
            if name == "after":
                after = int(value)
            elif name == "wait_ms":
                wait = min(int(value) / 1000, 60.0)
        if self.live.directory.out:
            return Response(503)
        with trio.move_on_after(wait):
            while after >= self.version and not self.live.directory.out:
                await self.changed.wait()
        if self.live.directory.out:
            return Response(503)
        rows = [
            row
            for version, row in self.rows.values()
            if version > after and (after or row["state"] != "DELETED")
        ]
        for row in rows:
            self.live.listed(node, row)
        answer = {"version": self.version, "full": after == 0, "servers": rows}
        return Response(200, json.dumps(answer).encode())

    def client_disconnected(self, connection: Connection) -> None:
        """Owe nothing."""


class LiveNode:
    """A node that is a process, as callers see it."""

    def __init__(self, live: Live, number: int) -> None:
        self.live, self.number = live, number
        self.alive, self.life, self.shift_us, self.sends, self.dials = True, 0, 0, 0, 0
        self.handshake_us = 0.0
        self.idle: list[ClientConnection] = []

    def start(self, policy: object) -> None:
        """Start: the process does so by itself."""

    def take(self, asked: Asked) -> None:
        """Have a request made; nobody waits for it."""
        live = self.live
        live.count += 1
        name = f"{live.count:016x}"
        live.requests[name], live.jobs[name] = (self.number, asked), live.count
        live.checker.arrived(self.number, live.count, asked.deadline_us + 50_000)
        live.nursery.start_soon(self._make, name, asked)

    async def _make(self, name: str, asked: Asked) -> None:
        live, job = self.live, self.live.jobs[name]
        left_ms = max((asked.deadline_us - live.loop.now) // 1000, 1)
        heads = [
            ("x-request-id", name),
            ("x-priority-class", live.script.job.name),
            ("x-timeout-ms", str(left_ms)),
            ("idempotency-key", asked.key or name),
            ("x-attrs", f"slots={asked.slots},memory={asked.memory:.3f}"),
        ]
        verdict, retry_us = "lost", 0
        connection = None
        with trio.move_on_after(left_ms / 1000 + 0.1):
            try:
                while self.idle and connection is None:
                    kept = self.idle.pop()
                    connection = kept if kept.is_available() else None
                if connection is None:
                    self.dials += 1
                    connection = await ClientConnection.connect(live.addresses[self.number], LIMITS)
                reply = await connection.exchange("POST", f"/{live.script.job.name}", heads, b"seat")
                verdict = {200: "served", 429: "refused", 503: "refused"}.get(reply.status, "failed")
                retry_us = int(float(reply.headers.get("retry-after", "0")) * 1e6)
            except (RequestNotSentError, ConnectionBrokenError):
                verdict = "lost"
        live.catch_up()
        if connection is not None:
            if connection.can_be_reused and verdict != "lost":
                self.idle.append(connection)
            else:
                connection.close()
        if (self.number, job) in live.checker.asked:
            if verdict == "lost":
                live.checker.withdrawn(self.number, job)
            else:
                live.checker.answered(self.number, job, verdict)
        del live.requests[name], live.jobs[name]
        if asked.done is not None:
            asked.done(asked, verdict, retry_us)


class Live(DaySimulation):
    """A day played by the real program."""

    def __init__(self, script: Scenario, seed: int, command: list[str] | None = None) -> None:
        self.command = command or [sys.executable, "-B", "-m", "merlinbay"]
        self.requests: dict[str, tuple[int, Asked]] = {}
        self.jobs: dict[str, int] = {}
        self.count = self.bad = self.bad_open = 0
        self.addresses: dict[int, str] = {}
        self.unix = 0.0
        super().__init__(script, seed, "module")

    def make_loop(self) -> Loop:
        """Return the loop that the clock runs."""
        return LiveLoop()

    async def annoy(self) -> None:
        """Send bad clients, so many a second."""
        rate = self.script.callers.bad
        while rate:
            await trio.sleep(float(self.callers.gaps_bad.next()) / rate)
            self.bad += 1
            node = self.bad % len(self.addresses)
            self.nursery.start_soon(
                self._bad, self.addresses[node], BAD_REQUESTS[self.bad % len(BAD_REQUESTS)]
            )

    async def _bad(self, addr: str, said: bytes) -> None:
        self.bad_open += not await bad_client(addr, said)

    def catch_up(self) -> None:
        """Run what is due by now."""
        assert isinstance(self.loop, LiveLoop)
        self.loop.catch_up()

    def make_nodes(self) -> list[Any]:
        """Return the nodes as callers see them."""
        return [LiveNode(self, number) for number in range(self.script.hall.nodes)]

    def listed(self, node: str, row: dict[str, Any]) -> None:
        """Take it that a node is told of a server; which one does not show, so all of them count as told."""
        state = {"SERVING": "up", "DRAINING": "draining", "DELETED": "removed"}[row["state"]]
        for number in range(self.script.hall.nodes):
            self.checker.listed(number, row["id"], state, self.servers[row["id"]].ready_us)

    async def live(self) -> SimulationResult:
        """Play it."""
        assert isinstance(self.loop, LiveLoop)
        broken = ""
        with tempfile.TemporaryDirectory(prefix="merlinbay-live-") as folder:
            async with trio.open_nursery() as self.nursery:
                self.servers_live = {name: LiveServer(self, model) for name, model in self.servers.items()}
                for server in self.servers_live.values():
                    self.nursery.start_soon(server.serve)
                directory = LiveDirectory(self)
                listener = Listener(directory, LIMITS, Counters(), Log(1))
                sock = await listener.bind(HOST, 0)
                self.nursery.start_soon(listener.serve, sock)
                while not all(server.addr for server in self.servers_live.values()):
                    await trio.sleep(0.01)
                processes = [
                    await self._node(number, Path(folder), f"{HOST}:{sock.getsockname()[1]}")
                    for number in range(self.script.hall.nodes)
                ]
                try:
                    broken = await self._play(directory)
                finally:
                    for process in processes:
                        process.send_signal(signal.SIGKILL)
                        await process.wait()
                self.nursery.cancel_scope.cancel()
        return replace(self._result(broken), policy="program", bad=self.bad, bad_open=self.bad_open)

    async def _node(self, number: int, folder: Path, discovery: str) -> trio.Process:
        """Start a node, and wait until it is ready."""
        configuration = {
            "name": f"n{number}",
            "discovery": discovery,
            "seed": f"{self.seed + number:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings_json(self.script, number),
        }
        process, self.addresses[number] = await start_node(self.command, configuration, folder)
        return process

    async def _play(self, directory: LiveDirectory) -> str:
        """Run the day by the clock; return the rule that was broken, if one was."""
        loop = self.loop
        assert isinstance(loop, LiveLoop)
        loop.began, self.unix = trio.current_time(), time.time()
        directory.told(self.directory.remembered())
        self.directory.watchers[0] = directory.told
        self.callers.start()
        end, broken = self.script.seconds, ""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(loop.drive)
                nursery.start_soon(self.annoy)
                while trio.current_time() < loop.began + end:
                    await trio.sleep(0.005)
                    for server in self.servers_live.values():
                        server.look()
                self.callers.rate = 1e-9
                with trio.move_on_after(2.5 * self.script.job.deadline):
                    while self.requests:
                        await trio.sleep(0.05)
                nursery.cancel_scope.cancel()
            for node, job in list(self.checker.asked):
                self.checker.overdue(node, job)
        except* RuleViolationError as group:
            broken = str(group.exceptions[0])
        return broken


def play_live(script: Scenario, seed: int) -> SimulationResult:
    """Play a day by the real program."""
    return trio.run(Live(script, seed).live)
