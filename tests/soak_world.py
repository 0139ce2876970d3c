"""One day of the soak: a whole node as ``run`` starts it, on real sockets, killed at the earliest moment.

Clients hand in jobs on open connections until the kill. What the node did is judged by the protocol page
alone: final answers, repeats, and sends to servers that leave.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import trio

from merlinbay.http.client import ClientConnection, ConnectionBrokenError, RequestNotSentError
from tests import slow_clients
from tests.duplicate_judge import DuplicateJudge
from tests.net import CONF, LIMITS, ROOT, free_port
from tests.soak_day import FLEET, SERVERS, Crowd, JobFault, Leave, SoakDay, draw
from tests.soak_discovery import SoakDiscovery
from tests.soak_server import SoakServer

GRACE_S = 0.55  # with the rules' 50 ms
MEASURED_S = 0.05  # what a note here may come late by
LATE_S = 0.5  # an answer that comes later after its time is lost
KILL_S = 0.7  # after the longest deadline, counted as 3 s at the most
EXCUSED_S = 0.7  # a request that came so soon after SIGTERM may be killed
ARRIVALS_S = 0.3  # new connections come for so long after SIGTERM
SOCKETS = 256
HOLD_S = 0.1  # a node may be held up for 0.15 s
LAG_KEPT_S = 1.0
AIM_US = 400_000
TALKS = {
    Crowd.HALF_BODY: slow_clients.half_body,
    Crowd.SLOW_BODY: slow_clients.slow_body,
    Crowd.MANY_FIELDS: slow_clients.many_fields,
    Crowd.CALLBACKS: slow_clients.large_callbacks,
}


@dataclass
class SentRequest:
    """A request, and what its client saw of it."""

    name: str
    sent_at: float
    until: float
    fresh: bool  # the first on its connection
    status: int = 0
    answered_at: float = 0.0
    closed_at: float = 0.0  # the connection ended with no answer


@dataclass
class SoakResult:
    """What came of a day."""

    day: SoakDay
    breaks: list[str]
    sent: int
    served: int
    refused: int
    log: str


@dataclass
class SoakWorld:
    """The node and all around it."""

    day: SoakDay
    folder: Path
    nursery: trio.Nursery
    program: Path
    rng: Random = field(init=False)
    requests: dict[str, SentRequest] = field(default_factory=dict)
    breaks: list[str] = field(default_factory=list)
    ready_at: float = 0.0
    terminated_at: float = float("inf")
    ended_at: float = float("inf")
    killed: bool = False
    crowd_scopes: list[trio.CancelScope] = field(default_factory=list)
    lags: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=64))

    def __post_init__(self) -> None:
        self.rng = Random(self.day.seed)
        self.port, self.settings = free_port(), self._settings()
        self.judge = DuplicateJudge(self.settings)
        self.servers = [SoakServer(self, f"s-{number}") for number in range(SERVERS)]
        self.discovery = SoakDiscovery(self.day, Random(self.day.seed + 1), self.nursery, self.now)
        self.discovery.rows = [
            {"id": s.name, "addr": s.addr, "zone": "hall-a", "kind": "k", "cell": 0, "state": "SERVING"}
            for s in self.servers
        ]

    def now(self) -> float:
        """Return seconds since the node was ready."""
        return trio.current_time() - self.ready_at

    def job_fault(self) -> JobFault:
        """Draw what befalls a job."""
        shares = self.day.job_faults
        return self.rng.choices([JobFault.NONE, *shares], [1 - sum(shares.values()), *shares.values()])[0]

    def arrived(self, server: str) -> None:
        """Judge a send by what the node counts as notified of."""
        past = self.now() - self.discovery.notified.since(server)
        if past > GRACE_S + MEASURED_S + self.lag():
            self.breaks.append(f"drain: {self.now():.2f} sent to {server} {past:.2f} s after it was notified")

    def lag(self) -> float:
        """Return by how much what is noted here may be late: others use the processor too."""
        return max((late for at, late in self.lags if at > self.now() - LAG_KEPT_S), default=0.0)

    async def _measure_lag(self) -> None:
        while True:
            due = trio.current_time() + 0.02
            await trio.sleep_until(due)
            self.lags.append((self.now(), trio.current_time() - due))

    async def call_back(self, event: dict[str, object]) -> None:
        """Make a call-back, on a connection of its own."""
        body = json.dumps(event).encode()
        try:
            connection = await ClientConnection.connect(f"127.0.0.2:{self.port}", LIMITS, 0, 0.5)
        except RequestNotSentError:
            return
        try:
            with trio.move_on_after(2):
                await connection.exchange("POST", "/v1/job-events", [], body)
        except (RequestNotSentError, ConnectionBrokenError):
            pass
        finally:
            connection.close()

    def _settings(self) -> dict[str, Any]:
        row = {**CONF["classes"][0], "effect": self.day.effect, "group": "all", "aimUs": AIM_US}
        row["deadlineUs"] = int(self.day.longest * 1e6)
        return {**CONF, "balancers": FLEET, "me": self.day.seed % FLEET, "classes": [row]}

    def _configure(self) -> Path:
        path = self.folder / "config.json"
        config = {
            "name": "n0",
            "listen": f"127.0.0.2:{self.port}",
            "discovery": self.discovery.move(),
            "seed": f"{self.day.seed:x}",
            "limits": {"cores": 1.0, "memory_mb": self.day.memory_mb, "sockets": SOCKETS},
            "known": {"version": 0, "full": True, "servers": self.discovery.rows},
            "settings": self.settings,
        }
        (self.folder / "next.json").write_text(json.dumps(config))
        (self.folder / "next.json").rename(path)
        return path

    async def play(self) -> SoakResult:
        """Play the day; return what came of it."""
        for server in self.servers:
            self.nursery.start_soon(server.serve)
        environ = {**os.environ, "LB_CONFIG": str(self._configure())}
        log_path = self.folder / "node.log"
        with log_path.open("wb") as log:
            process = await trio.lowlevel.open_process(
                [sys.executable, "-B", "-m", "merlinbay"], cwd=self.program, env=environ, stderr=log
            )
        try:
            await self._until_ready()
            self.nursery.start_soon(self._watch_end, process)
            self.nursery.start_soon(self._measure_lag)
            async with trio.open_nursery() as clients:
                for number in range(self.day.clients):
                    clients.start_soon(self._client, number)
                for number in range(self.day.crowd):
                    clients.start_soon(self._bystander, number)
                await self._timeline(process)
                await trio.sleep(0.2)
                clients.cancel_scope.cancel()
        finally:
            if process.poll() is None:
                process.kill()
        self._judge_answers(process)
        statuses = [request.status for request in self.requests.values()]
        return SoakResult(
            self.day,
            self.breaks + self.judge.breaks,
            len(statuses),
            statuses.count(200),
            statuses.count(503),
            log_path.read_text(errors="replace"),
        )

    async def _until_ready(self) -> None:
        with trio.fail_after(30):
            while True:
                try:
                    connection = await ClientConnection.connect(f"127.0.0.2:{self.port}", LIMITS)
                    ready = (await connection.exchange("GET", "/-/ready", [])).status == 200
                    connection.close()
                    if ready:
                        break
                except (RequestNotSentError, ConnectionBrokenError):
                    await trio.sleep(0.05)
        self.ready_at = trio.current_time()

    async def _watch_end(self, process: trio.Process) -> None:
        await process.wait()
        self.ended_at = self.now()

    async def _timeline(self, process: trio.Process) -> None:
        """Have everything happen at its time, then end the node as a planned restart does."""
        day = self.day
        events: list[tuple[float, object]] = [(at, signal.SIGHUP) for at in day.reloads]
        events += [(leave.at, leave) for leave in day.leaves]
        events += [(at, signal.SIGUSR1) for at in day.counts]
        events += [(at, signal.SIGSTOP) for at in day.holds]
        if day.outage is not None:
            events += [(day.outage.begin, True), (day.outage.end, False)]
        for at, event in sorted(events, key=lambda item: item[0]):
            if at >= day.terminate:
                break
            await trio.sleep(max(at - self.now(), 0))
            if isinstance(event, Leave):
                self.discovery.leave(event.server, event.state)
            elif event is signal.SIGHUP:
                self._configure()
                process.send_signal(signal.SIGHUP)
                self.discovery.notified.reloads.append(self.now())
            elif event is signal.SIGSTOP:
                process.send_signal(signal.SIGSTOP)
                await trio.sleep(HOLD_S)
                process.send_signal(signal.SIGCONT)
            elif event is signal.SIGUSR1:
                process.send_signal(signal.SIGUSR1)
            else:
                self.discovery.go_down(event is True)
        await trio.sleep(max(day.terminate - self.now(), 0))
        self._judge_memory(process)
        process.send_signal(signal.SIGTERM)
        self.terminated_at = self.now()
        if day.terminated_twice:
            process.send_signal(signal.SIGTERM)
        await trio.sleep(ARRIVALS_S)
        for scope in self.crowd_scopes:
            scope.cancel()
        await trio.sleep(min(day.longest, 3.0) + KILL_S - ARRIVALS_S)
        if process.poll() is None:
            self._judge_memory(process)
            self.killed = True
            process.kill()

    def _judge_memory(self, process: trio.Process) -> None:
        """Judge the highest memory so far."""
        if process.poll() is None:
            peak_mib = slow_clients.peak_memory_bytes(process.pid) / 1024 / 1024
            if peak_mib > self.day.memory_mb:
                self.breaks.append(f"limit: {peak_mib:.1f} MiB of {self.day.memory_mb}")

    async def _client(self, number: int) -> None:
        """Hand in one job after the other on one connection, as long as it stays open."""
        rng = Random(f"{self.day.seed} {number}")
        connection: ClientConnection | None = None
        for job in range(100_000):
            await trio.sleep(rng.uniform(0.0, 0.25))
            fresh = connection is None
            if connection is None:
                if self.now() > self.terminated_at + ARRIVALS_S:
                    return
                connection = await self._dial()
                if connection is None:
                    await trio.sleep(0.1)
                    continue
            request = await self._hand_in(connection, f"{self.day.seed}-{number}-{job}", fresh)
            if request.status == 0 or not connection.can_be_reused:
                connection.close()
                connection = None

    async def _dial(self) -> ClientConnection | None:
        try:
            return await ClientConnection.connect(f"127.0.0.2:{self.port}", LIMITS, 0, 1.0)
        except RequestNotSentError:
            return None

    async def _hand_in(self, connection: ClientConnection, name: str, fresh: bool) -> SentRequest:
        longest_ms = int(self.day.longest * 1000)
        wait_ms = self.rng.randint(longest_ms // 2, longest_ms)
        request = SentRequest(name, self.now(), self.now() + wait_ms / 1000, fresh)
        headers = [("X-Request-ID", name), ("X-Priority-Class", "admit"), ("X-Timeout-Ms", str(wait_ms))]
        headers.append(("Idempotency-Key", f"key-{name}"))
        self.judge.sent_by_client(name, "admit")
        self.requests[name] = request
        try:
            with trio.move_on_after(wait_ms / 1000 + LATE_S + MEASURED_S):
                reply = await connection.exchange("POST", "/admit", headers, b"a job")
                request.status, request.answered_at = reply.status, self.now()
                if reply.status == 200 and not reply.body.endswith(f":{name}".encode()):
                    self.breaks.append(f"lost: {name} was answered with {reply.body!r}")
                self.judge.answered(name, reply.status, self.now())
        except (RequestNotSentError, ConnectionBrokenError):
            request.closed_at = self.now()
        return request

    async def _bystander(self, number: int) -> None:
        """Connect, again and again, and do what the day's crowd does."""
        if self.day.crowd_kind in TALKS:
            with trio.CancelScope() as scope:
                self.crowd_scopes.append(scope)
                await slow_clients.talk_for_ever(self.port, f"crowd-{number}", TALKS[self.day.crowd_kind])
            return
        while self.now() < self.terminated_at + ARRIVALS_S:
            if (connection := await self._dial()) is not None:
                with trio.move_on_after(self.rng.uniform(0.5, 4.0)):
                    await connection.sock.recv(1)
                connection.close()
            await trio.sleep(0.2)

    def _judge_answers(self, process: trio.Process) -> None:
        """Judge what got no answer."""
        if process.returncode not in (0, -signal.SIGKILL):
            self.breaks.append(f"crash: the node ended with {process.returncode}")
        if self.ended_at < self.terminated_at:
            self.breaks.append("crash: the node ended before it was told to")
        for request in self.requests.values():
            if request.status == 0 and (why := self._why_lost(request)):
                self.breaks.append(f"lost: {request.name} of {request.sent_at:.2f}: {why}")

    def _why_lost(self, request: SentRequest) -> str:
        """Return why a request with no answer is lost; nothing if it is not."""
        if self.killed and request.sent_at <= self.terminated_at + EXCUSED_S and not request.closed_at:
            return ""
        forwarded = bool(self.judge.requests[request.name].attempts)
        told = f"(SIGTERM {self.terminated_at:.2f}, end {self.ended_at:.2f}, killed {self.killed})"
        if not request.closed_at:
            unended = request.until + LATE_S > self.now()
            return "" if unended and not self.killed else f"no answer in time {told}"
        if self.killed and request.sent_at <= self.terminated_at + EXCUSED_S:
            return ""
        if forwarded:
            return f"forwarded, and closed with no answer at {request.closed_at:.2f} {told}"
        if request.fresh and not self.day.crowd and request.sent_at < self.ended_at:
            return f"closed on a new connection at {request.closed_at:.2f} {told}"
        return f"killed unanswered {told}" if self.killed else ""


async def _play(day: SoakDay, program: Path) -> SoakResult:
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            result = await SoakWorld(day, Path(folder), nursery, program).play()
            nursery.cancel_scope.cancel()
    return result


def play_day(seed: int, program: Path = ROOT) -> SoakResult:
    """Play one day of the program in a folder."""
    return trio.run(_play, draw(seed), program)


def play_in_process(seed: int, program: Path = ROOT) -> subprocess.Popen[bytes]:
    """Start one day in a process of its own."""
    command = [sys.executable, "-m", "bench.soak", "one", str(seed), str(program)]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE)
