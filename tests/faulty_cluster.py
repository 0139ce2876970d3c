"""Whole nodes among faulty executors, and clients that hold them to one final answer in time."""

from __future__ import annotations

import json
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import trio
import trio.testing

from merlinbay.http.client import ClientConnection, ConnectionBrokenError, RequestNotSentError
from tests.duplicate_judge import DuplicateJudge
from tests.faulty_executor import FaultController, FaultyExecutor
from tests.net import CONF, LIMITS, NodeFixture, node_fixture

AIM_US = 120_000
DEADLINE_US = 3_000_000
WINDOW_US = 400_000
LATE_S = 1.0  # an answer that comes so long after its request's time is none
NODE_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)
HEALTH_COUNTERS = ("module_errors", "server_tasks_faulty", "edge_connections_faulty")


@dataclass(frozen=True)
class ClassRules:
    """A class's effect, group and window; each class has executors of its own, by a kind of its own."""

    name: str
    effect: str
    group: str = "all"
    window_us: int = WINDOW_US

    @property
    def may_repeat_elsewhere(self) -> bool:
        """Tell whether executors of other zones and cells drop repeats of it, or may run them."""
        return self.effect == "repeatable" or (
            self.effect == "by_key" and self.group == "all" and self.window_us > 0
        )


ONCE = ClassRules("once", "once")
BY_CELL = ClassRules("by-cell", "by_key", "cell")
BY_ZONE = ClassRules("by-zone", "by_key", "zone")
BY_ALL = ClassRules("by-all", "by_key", "all")
NO_WINDOW = ClassRules("no-window", "by_key", "all", 0)
REPEATABLE = ClassRules("repeatable", "repeatable")
EVERY_CLASS = (ONCE, BY_CELL, BY_ZONE, BY_ALL, NO_WINDOW, REPEATABLE)


@dataclass(frozen=True)
class Profile:
    """The settings beside the classes."""

    name: str
    second_copies: bool = False
    cancels: bool = True
    probes: bool = False
    pushed: bool = True
    send_cap: int = 4
    nodes: int = 1
    dial_timeout_us: int = 0  # 0: the node's own

    def settings(self, classes: tuple[ClassRules, ...], me: int = 0) -> dict[str, Any]:
        """Return the settings as the configuration file of node number ``me`` has them."""
        limits: dict[str, Any] = {
            **CONF["limits"],
            "secondCopies": self.second_copies,
            "cancelling": self.cancels,
            "probes": self.probes,
            "sendCap": self.send_cap,
        }
        if self.dial_timeout_us:
            limits["dialTimeoutUs"] = self.dial_timeout_us
        return {
            **CONF,
            "balancers": self.nodes,
            "me": me,
            "discovery": "automatic" if self.pushed else "subscribe",
            "kinds": [rules.name for rules in classes],
            "classes": [_class_row(rules) for rules in classes],
            "extra": {**CONF["extra"], "classKind": list(range(len(classes)))},
            "limits": limits,
            "report": {**CONF["report"], "how": "on_probe" if self.probes else "inline"},
        }


def _class_row(rules: ClassRules) -> dict[str, Any]:
    return {
        "name": rules.name,
        "aimUs": AIM_US,
        "deadlineUs": DEADLINE_US,
        "worth": 1.0,
        "effect": rules.effect,
        "group": rules.group,
        "windowUs": rules.window_us,
    }


@dataclass
class Cluster:
    """Nodes, faulty executors and clients of one test."""

    nodes: list[NodeFixture]
    nursery: trio.Nursery
    judge: DuplicateJudge
    executors: dict[str, FaultyExecutor] = field(default_factory=dict)
    rows: list[dict[str, Any]] = field(default_factory=list)
    node_of: dict[str, NodeFixture] = field(default_factory=dict)  # by request
    clients: list[ClientConnection] = field(default_factory=list)
    late: list[str] = field(default_factory=list)  # requests that got no answer in time

    def __post_init__(self) -> None:
        """Make the controller that the executors share."""
        self.controller = FaultController(self.judge, self._post_call_back)

    def add(self, name: str, kind: str, zone: str = "hall-a", cell: int = 0) -> FaultyExecutor:
        """Add an executor to the list of every node."""
        executor = FaultyExecutor(name, zone, cell, self.controller, self.nursery)
        self.executors[name] = executor
        self.nursery.start_soon(executor.serve)
        self.rows.append(
            {
                "id": name,
                "addr": executor.addr,
                "zone": zone,
                "kind": kind,
                "cell": cell,
                "state": "SERVING",
                "weight": 1.0,
                "started_ms": 0,
            }
        )
        return executor

    def add_scattered(self, rules: ClassRules, count: int = 3) -> list[FaultyExecutor]:
        """Add executors for a class, each in a zone and a cell of its own."""
        return [
            self.add(f"{rules.name}-{number}", rules.name, f"hall-{'abcdef'[number]}", number)
            for number in range(count)
        ]

    async def relist(self, name: str, **row: object) -> None:
        """Change a line of the list, and wait until every node has heard it."""
        before = [node.counters.counts["watch_answers"] for node in self.nodes]
        for line in self.rows:
            if line["id"] == name:
                line.update(row)
        for node in self.nodes:
            node.version += 1
            node.changed.set()
            node.changed = trio.Event()
        for node, count in zip(self.nodes, before, strict=True):
            while node.counters.counts["watch_answers"] <= count:
                await trio.sleep(0.002)
        await trio.testing.wait_all_tasks_blocked(0.005)

    async def request(
        self,
        job_class: str,
        name: str = "",
        *,
        timeout_ms: int = 1500,
        key: bool = True,
        route: str = "",
        node: int | None = None,
        headers: tuple[tuple[str, str], ...] = (),
        path: str = "",
    ) -> int:
        """Hand in a request as a client does, at all nodes in turn; return its status, 0 where none came."""
        name = name or f"{len(self.node_of)}-{job_class}"
        number = len(self.node_of) if node is None else node
        at = self.node_of[name] = self.nodes[number % len(self.nodes)]
        self.judge.sent_by_client(name, job_class, key)
        status = await self._exchange(at, name, job_class, timeout_ms, key, route, headers, path)
        self.judge.answered(name, status, trio.current_time())
        return status

    async def replay(self, name: str) -> int:
        """Hand in a request's id once more; return the status of the answer, 0 where none came."""
        job_class = self.judge.requests[name].job_class
        return await self._exchange(self.node_of[name], name, job_class, 1500, True, "", (), "")

    async def named(self, job_class: str) -> str:
        """Return the name of a class's first request that has reached an executor."""
        while True:
            for held in self.controller.attempts:
                if self.judge.requests[held.name].job_class == job_class:
                    return held.name
            await self.controller.arrival.wait()

    async def call_back_as(self, executor: str, name: str, state: str) -> None:
        """Make a call-back in an executor's name, whether or not it has the job."""
        event = {"id": name, "from": executor, "state": state, "result": f"{executor}:{name}"}
        await self._post_call_back(name, json.dumps(event).encode())

    def classes_sent(self) -> set[str]:
        """Return the classes of which an executor has got a job."""
        return {self.judge.requests[held.name].job_class for held in self.controller.attempts}

    async def leave_after_start(self, job_class: str, name: str, route: str = "") -> None:
        """Hand in a request and close its connection once an executor has the job."""
        self.node_of[name] = self.nodes[0]
        self.judge.sent_by_client(name, job_class)
        self.judge.requests[name].left = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._exchange, self.nodes[0], name, job_class, 1500, True, route, (), "")
            held = await self.controller.wait_for_attempt(name, 0)
            while not held.begun:
                await trio.sleep(0.002)
            await trio.testing.wait_all_tasks_blocked(0.002)
            nursery.cancel_scope.cancel()
        self.clients.pop().close()

    async def _exchange(
        self,
        at: NodeFixture,
        name: str,
        job_class: str,
        timeout_ms: int,
        key: bool,
        route: str,
        headers: tuple[tuple[str, str], ...],
        path: str,
    ) -> int:
        sent = [("X-Request-ID", name), ("X-Timeout-Ms", str(timeout_ms))]
        if not any(header == "X-Priority-Class" for header, _ in headers):
            sent.append(("X-Priority-Class", job_class))
        if key:
            sent.append(("Idempotency-Key", f"key-{name}"))
        if route:
            sent.append(("X-Route-Key", route))
        try:
            connection = await ClientConnection.connect(f"127.0.0.2:{at.port}", LIMITS)
            self.clients.append(connection)
            with trio.fail_after(timeout_ms / 1000 + LATE_S):
                reply = await connection.exchange(
                    "POST", path or f"/{job_class}", [*sent, *headers], b"a job"
                )
        except trio.TooSlowError:
            self.late.append(name)
            return 0
        except (RequestNotSentError, ConnectionBrokenError):
            return 0
        if reply.status == 200 and not reply.body.endswith(f":{name}".encode()):
            self.judge.breaks.append(f"{name}: the result is not its own: {reply.body!r}")
        return reply.status

    async def _post_call_back(self, name: str, body: bytes) -> None:
        """Make a call-back at the node that has the request."""
        with suppress(RequestNotSentError, ConnectionBrokenError, OSError):
            await self.node_of[name].call("POST", "/v1/job-events", body=body)

    async def faults(self) -> list[str]:
        """Return every way in which the nodes broke the rules, once all is quiet."""
        await trio.testing.wait_all_tasks_blocked(0.05)
        found = list(self.judge.breaks)
        found += [f"{name}: no answer in time" for name in self.late]
        for name, seen in self.judge.requests.items():
            if not seen.left and (len(seen.answers) != 1 or 0 in seen.answers):
                found.append(f"{name}: final answers {seen.answers}")
        for node in self.nodes:
            counts = node.counters.counts
            found += [f"{counts[name]} {name}" for name in HEALTH_COUNTERS if counts[name]]
        found += ["bytes behind a final answer" for client in self.clients if _has_more_to_read(client)]
        return found


def _has_more_to_read(client: ClientConnection) -> bool:
    """Tell whether a client's connection holds bytes behind the answer, its end aside."""
    if client.parser.unconsumed_bytes:
        return True
    try:
        return bool(client.sock._sock.recv(1))  # type: ignore[attr-defined]
    except OSError:  # nothing to read, or reset
        return False


@asynccontextmanager
async def cluster(folder: Path, profile: Profile, classes: tuple[ClassRules, ...]) -> AsyncIterator[Cluster]:
    """Open a stage for nodes that are not started yet; close all of it at the end."""
    handlers = {number: signal.getsignal(number) for number in NODE_SIGNALS}
    try:
        async with node_fixture(folder) as first:
            nodes = [first]
            for number in range(1, profile.nodes):
                below = folder / f"node-{number}"
                below.mkdir()
                nodes.append(NodeFixture(first.nursery, below))
            scene = Cluster(nodes, first.nursery, DuplicateJudge(profile.settings(classes)))
            for node in nodes:
                node.endpoint_rows = scene.rows
            yield scene
    finally:
        for number, handler in handlers.items():  # several nodes of one process end in any order
            signal.signal(number, handler)


async def start(scene: Cluster, profile: Profile, classes: tuple[ClassRules, ...]) -> None:
    """Start the nodes."""
    for me, node in enumerate(scene.nodes):
        await node.start(**profile.settings(classes, me))
