"""Whole nodes among faulty executors in virtual time, judged by the protocol page: many drawn cases at once.

``play_cases`` runs the cases of some seeds in one trio run. Nodes are the real ``run`` of ``merlinbay.node``,
without its signal handlers; executors, clients and discovery are raw sockets in the same process.
"""

from __future__ import annotations

import json
import re
import socket
import tempfile
from collections import Counter as Tally
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

import trio

from merlinbay import clock as clock_module
from merlinbay import node, node_signals
from merlinbay.config import load
from merlinbay.counters import Counters
from merlinbay.log import Log
from tests.duplicate_case import Case, Disturbance, DrawnDisturbance, DrawnJob, Fault, draw, milliseconds
from tests.duplicate_executor import HOST, Message, SimulatedExecutor, read_message, response
from tests.duplicate_judge import DuplicateJudge, Executor
from tests.net import bind_loopback
from tests.virtual_time import run_in_virtual_time

END_S = 6.5  # of a case: by then every request is answered and every report is made
DRAINED_S = 0.06  # between a drain that is told and the death of the process
KILLED_TOLD_SHARE = 0.8  # of the jobs that die with their executor, the agent tells so many
USUAL_DELAY_MS = (10, 450)  # of a connection, where a case has slow ones
NODE_SEED = "2a"
UNIX_AT_START = 1_800_000_000.0


@dataclass(frozen=True)
class AttemptRecord:
    """An attempt that has arrived."""

    at: float
    job: str
    fault: Fault
    is_copy: bool  # another attempt was out then


@dataclass
class CaseResult:
    """What came of one case."""

    case: Case
    breaks: list[str]
    stories: dict[str, list[str]]
    attempts: list[AttemptRecord]  # in the order of arrival
    answers: Tally[int]
    node_counters: Tally[str]

    @property
    def repeated(self) -> list[AttemptRecord]:
        """Return each attempt that was followed by another of the same job."""
        last = {attempt.job: index for index, attempt in enumerate(self.attempts)}
        return [attempt for index, attempt in enumerate(self.attempts) if index < last[attempt.job]]

    def broken_jobs(self) -> Iterator[tuple[str, list[str]]]:
        """Yield each job that broke a rule, with its story."""
        for name in dict.fromkeys(line.partition(" ")[0] for line in self.breaks):
            yield name, self.stories[name]


def kind_of_break(line: str) -> str:
    """Return a break without the names and figures in it."""
    return re.sub(r" at s\d+|: s\d+, then s\d+| -?[\d.]+ s\b", "", line.partition("): ")[2])


@dataclass
class UsualDelay:
    """How long connections to one executor take, some of them."""

    rng: Random
    share: float

    def draw(self) -> float:
        """Return the delay of one connection."""
        return milliseconds(self.rng, *USUAL_DELAY_MS) if self.rng.random() < self.share else 0.0


class Network:
    """How long connections to an address take, in virtual time."""

    def __init__(self) -> None:
        self.slow: dict[int, tuple[float, float]] = {}  # by port: until when, and the delay
        self.usual: dict[int, UsualDelay] = {}  # by port

    def slow_down(self, port: int, until: float, delay: float) -> None:
        """Have connections come up late."""
        self.slow[port] = until, delay

    def delay(self, port: int) -> float:
        """Return how long a connection takes now."""
        until, delay = self.slow.get(port, (0.0, 0.0))
        if trio.current_time() < until:
            return delay
        return self.usual[port].draw() if port in self.usual else 0.0


class SlowSockets(trio.abc.SocketFactory):
    """Makes sockets whose connect waits for the simulated network."""

    def __init__(self, network: Network) -> None:
        self.network = network

    def socket(
        self,
        family: socket.AddressFamily | int = socket.AF_INET,
        type: socket.SocketKind | int = socket.SOCK_STREAM,
        proto: int = 0,
    ) -> trio.socket.SocketType:
        """Make one."""
        made = trio.socket.from_stdlib_socket(socket.socket(family, type, proto))
        connect = made.connect

        async def slow_connect(address: Any) -> None:
            if delay := self.network.delay(address[1]):
                await trio.sleep(delay)
            await connect(address)

        setattr(made, "connect", slow_connect)  # noqa: B010
        return made


@dataclass
class StopSwitches:
    """Stands in for signals: each node ends when its switch is turned."""

    switches: dict[str, trio.Event] = field(default_factory=dict)

    async def wait_and_stop(self, handler: node_signals.SignalHandler) -> None:
        """Stop the node as SIGTERM would."""
        await self.switches[handler.config.name].wait()
        await handler.shut_down()


class DuplicateWorld:
    """One case being played."""

    def __init__(self, case: Case, folder: Path, network: Network, switches: StopSwitches) -> None:
        self.case, self.folder, self.network, self.switches = case, folder, network, switches
        self.judge = DuplicateJudge(case.settings)
        self.jobs = {job.name: job for job in case.jobs}
        self.stories: dict[str, list[str]] = {job.name: [] for job in case.jobs}
        self.answers: Tally[int] = Tally()
        self.held = [bind_loopback() for _ in range(case.nodes)]  # ports kept for the nodes
        self.ports = [sock.getsockname()[1] for sock in self.held]
        self.counters: list[Counters] = []
        self.executors: dict[str, SimulatedExecutor] = {}
        self.processes: list[SimulatedExecutor] = []
        self.rows: dict[str, dict[str, Any]] = {}
        self.version, self.changed = 1, trio.Event()
        self.began = trio.current_time()
        self.nursery: trio.Nursery

    def node_port(self, job: str) -> int:
        """Return the port of the node that a job came through."""
        return int(self.ports[self.jobs[job].node])

    def note(self, job: str, text: str) -> None:
        """Keep a line of a job's story."""
        self.stories[job].append(f"{trio.current_time() - self.began:7.3f} {text}")

    async def play(self) -> CaseResult:
        """Play it to its end."""
        async with trio.open_nursery() as self.nursery:
            for number, drawn in enumerate(self.case.executors):
                self._start_executor(Executor(drawn.name, drawn.zone, drawn.cell), number, bind_loopback(), 0)
            discovery = bind_loopback()
            self.nursery.start_soon(self._discover, discovery)
            for me in range(self.case.nodes):
                self._start_node(me, discovery.getsockname()[1])
            for job in self.case.jobs:
                self.nursery.start_soon(self._client, job)
            for disturbance in self.case.disturbances:
                self.nursery.start_soon(self._disturb, disturbance)
            await trio.sleep(END_S)
            self.nursery.cancel_scope.cancel()
        for sock in self.held:
            sock.close()
        attempts = [
            AttemptRecord(attempt.judged.at, attempt.job, attempt.fault, attempt.is_copy)
            for process in self.processes
            for attempt in process.attempts
        ]
        attempts.sort(key=lambda attempt: attempt.at)
        counted: Tally[str] = Tally()
        for counters in self.counters:
            counted.update(counters.counts)
        return CaseResult(self.case, self.judge.breaks, self.stories, attempts, self.answers, counted)

    # Nodes and discovery.

    def _start_node(self, me: int, discovery_port: int) -> None:
        name = f"n{self.case.seed}-{me}"
        path = self.folder / f"{name}.json"
        file = {
            "name": name,
            "listen": f"{HOST}:{self.ports[me]}",
            "discovery": f"{HOST}:{discovery_port}",
            "seed": NODE_SEED,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": {"version": 0, "full": True, "servers": list(self.rows.values())},
            "settings": self.case.node_settings(me),
        }
        path.write_text(json.dumps(file))
        self.switches.switches[name] = trio.Event()
        config = load({"LB_CONFIG": str(path)})
        path.unlink()
        self.counters.append(Counters())
        self.nursery.start_soon(node.run, config, self.counters[-1])

    async def _discover(self, sock: socket.socket) -> None:
        sock.listen(50)
        listener = trio.socket.from_stdlib_socket(sock)
        with listener:
            while True:
                accepted, _ = await listener.accept()
                self.nursery.start_soon(self._tell_list, accepted)

    async def _tell_list(self, sock: trio.socket.SocketType) -> None:
        buffer = bytearray()
        with sock:
            while (message := await read_message(sock, buffer)) is not None:
                query = dict(part.split("=") for part in message.target.partition("?")[2].split("&") if part)
                with trio.move_on_after(int(query.get("wait_ms", 0)) / 1000):
                    while query.get("after") == str(self.version):
                        await self.changed.wait()
                listing = {"version": self.version, "full": True, "servers": list(self.rows.values())}
                try:
                    await sock.send(response(200, json.dumps(listing).encode()))
                except OSError:
                    return

    def _relist(self, name: str, **row: object) -> None:
        self.rows[name] = {**self.rows.get(name, {}), **row}
        self.version += 1
        self.changed.set()
        self.changed = trio.Event()

    # Executors.

    def _start_executor(self, identity: Executor, number: int, sock: socket.socket, started_ms: int) -> None:
        process = SimulatedExecutor(self, identity, sock, number)
        self.executors[identity.name] = process
        self.processes.append(process)
        self.nursery.start_soon(process.run)
        host, port = sock.getsockname()
        delays = Random(f"connections {self.case.seed} {identity.name} {number}")
        self.network.usual[port] = UsualDelay(delays, self.case.slow_connects)
        self._relist(
            identity.name,
            id=identity.name,
            addr=f"{host}:{port}",
            zone=identity.zone,
            kind="k",
            cell=identity.cell,
            state="SERVING",
            weight=1.0,
            started_ms=started_ms,
        )

    async def _disturb(self, drawn: DrawnDisturbance) -> None:
        await trio.sleep(drawn.at_s)
        if drawn.what is Disturbance.STOP_NODE:
            self.switches.switches[f"n{self.case.seed}-{drawn.target}"].set()
            return
        executor = self.executors[self.case.executors[drawn.target].name]
        now, port = trio.current_time(), executor.address[1]
        if drawn.what is Disturbance.FREEZE:
            executor.frozen_until = now + drawn.lasts_s
        elif drawn.what is Disturbance.SLOW_CONNECT:
            self.network.slow_down(port, now + drawn.lasts_s, drawn.delay_s)
        elif drawn.what is Disturbance.DRAIN:
            self._relist(executor.identity.name, state="DRAINING")
            await trio.sleep(drawn.lasts_s)
            self._relist(executor.identity.name, state="SERVING")
        elif drawn.what is Disturbance.RESTART:
            self._restart(executor, executor.identity, same_address=True)
        else:
            self._relist(executor.identity.name, state="DRAINING")
            await trio.sleep(DRAINED_S)
            moved = Executor(executor.identity.name, drawn.zone, drawn.cell)
            self._restart(executor, moved, same_address=False)

    def _restart(self, executor: SimulatedExecutor, identity: Executor, same_address: bool) -> None:
        if self.executors[identity.name] is not executor:  # another disturbance has been quicker
            return
        for attempt in executor.kill():
            if executor.rng.random() < KILLED_TOLD_SHARE:
                self.nursery.start_soon(self._tell_killed, executor, attempt.job)
        sock = bind_loopback()
        if same_address:
            sock.close()
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(executor.address)
        started_ms = int(virtual_unix() * 1000)
        self._start_executor(identity, executor.number + 100, sock, started_ms)

    async def _tell_killed(self, executor: SimulatedExecutor, job: str) -> None:
        """Have the machine's agent tell that a job died with its process."""
        await trio.sleep(executor.rng.randint(5, 300) / 1000)
        self.note(job, f"{executor.identity.name}: its agent reports lost")
        await executor.report(job, "lost")

    # Clients.

    async def _client(self, job: DrawnJob) -> None:
        await trio.sleep(job.at_s)
        self.judge.sent_by_client(job.name, job.job_class, job.has_repeat_key)
        self.note(job.name, f"sent by its client: {self.case.effect(job.job_class)}, {job}")
        leaves = trio.move_on_after(job.leaves_after_s) if job.leaves_after_s else trio.CancelScope()
        with leaves:
            answer = await self._exchange(job)
        if leaves.cancelled_caught:
            self.note(job.name, "its client has left")
            return
        if answer is None:
            return
        status = answer.status if answer.first_line else 0
        self.answers[status] += 1
        self.note(job.name, f"answered {status}")
        self.judge.answered(job.name, status, trio.current_time())
        if job.replayed_after_s:
            await trio.sleep(job.replayed_after_s)
            self.note(job.name, "sent again by its client")
            await self._exchange(job)

    async def _exchange(self, job: DrawnJob) -> Message | None:
        """Return the node's answer, an empty one for a close without it; None: the request went nowhere."""
        head = (
            f"POST /{job.job_class}?x=1 HTTP/1.1\r\nhost: n\r\nx-request-id: {job.name}\r\n"
            f"x-priority-class: {job.job_class}\r\nx-timeout-ms: {job.timeout_ms}\r\ncontent-length: 4\r\n"
        )
        head += f"x-attrs: slots={job.slots}\r\n"
        if job.route_key:
            head += f"x-route-key: {job.route_key}\r\n"
        if job.has_repeat_key:
            head += f"idempotency-key: key-{job.name}\r\n"
        with trio.socket.socket() as sock:
            try:
                await sock.connect((HOST, self.node_port(job.name)))
                await sock.send(head.encode() + b"\r\nseat")
            except OSError:
                return None
            return await read_message(sock, bytearray()) or Message("", {}, b"")


def virtual_unix() -> float:
    """Return the Unix time that all machines of a case read."""
    return UNIX_AT_START + trio.current_time()


@contextmanager
def simulated_platform(network: Network, switches: StopSwitches) -> Iterator[None]:
    """Stand in for the network, the machine's clock, signals and the log, inside a trio run."""
    unix = SimpleNamespace(time=virtual_unix)
    trio.socket.set_custom_socket_factory(SlowSockets(network))
    with (
        patch.object(clock_module, "time", unix),
        patch.object(node_signals.SignalHandler, "run", lambda handler: switches.wait_and_stop(handler)),
        patch.object(node, "open_log", lambda config: Log(0)),
    ):
        yield


def play_cases(seeds: Sequence[int]) -> list[CaseResult]:
    """Play the cases of these seeds, all at once; return their results in the same order."""
    results: dict[int, CaseResult] = {}

    async def play_one(seed: int, folder: Path, network: Network, switches: StopSwitches) -> None:
        results[seed] = await DuplicateWorld(draw(seed), folder, network, switches).play()

    async def play_all() -> None:
        network, switches = Network(), StopSwitches()
        with tempfile.TemporaryDirectory() as folder, simulated_platform(network, switches):
            async with trio.open_nursery() as nursery:
                for seed in seeds:
                    nursery.start_soon(play_one, seed, Path(folder), network, switches)

    run_in_virtual_time(play_all)
    return [results[seed] for seed in seeds]
