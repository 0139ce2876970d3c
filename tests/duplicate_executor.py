"""A simulated executor on raw loopback sockets: small, fast and faulty as its drawn plans say.

It tells the judge what happens at its side of the wire: arrivals, ends and give-ups. Nothing of the node's
code is used.
"""

from __future__ import annotations

import contextlib
import json
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

import trio

from tests.duplicate_case import Case, Fault, milliseconds
from tests.duplicate_judge import ArrivedAttempt, DuplicateJudge, Executor
from tests.duplicate_plan import ACCEPTED, KEEPS_ON, Act, Step, plan

RECEIVE_BYTES = 65536
HEAD_END = b"\r\n\r\n"
HOST = "127.0.0.2"
BACKLOG = 200
REPORT_TRIES = 4
REPORT_RETRY_S = 0.05
REPORT_PATIENCE_S = 1.0
ODD_PROBE_SHARE = 0.15  # of probes, where the case has an executor that answers twice


@dataclass
class Message:
    """A request or an answer."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Return a request's method."""
        return self.first_line.split(" ", 1)[0]

    @property
    def target(self) -> str:
        """Return a request's target."""
        return self.first_line.split(" ", 2)[1]

    @property
    def status(self) -> int:
        """Return an answer's status."""
        return int(self.first_line.split(" ", 2)[1])


async def read_message(sock: trio.socket.SocketType, buffer: bytearray) -> Message | None:
    """Read one message, or None where the connection has ended before its last byte."""
    while (end := buffer.find(HEAD_END)) < 0:
        if not await _receive(sock, buffer):
            return None
    first_line, *lines = bytes(buffer[:end]).decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    whole = end + len(HEAD_END) + int(headers.get("content-length", 0))
    while len(buffer) < whole:
        if not await _receive(sock, buffer):
            return None
    body = bytes(buffer[end + len(HEAD_END) : whole])
    del buffer[:whole]
    return Message(first_line, headers, body)


async def _receive(sock: trio.socket.SocketType, buffer: bytearray) -> bool:
    try:
        data = await sock.recv(RECEIVE_BYTES)
    except OSError:
        return False
    buffer += data
    return bool(data)


def response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return an answer's bytes."""
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + HEAD_END + body


class World(Protocol):
    """What an executor knows of the case it is in."""

    case: Case
    judge: DuplicateJudge

    def node_port(self, job: str) -> int:
        """Return the port of the node that a job came through."""

    def note(self, job: str, text: str) -> None:
        """Keep a line of a job's story."""


@dataclass(eq=False)
class PlayedAttempt:
    """An attempt and what has become of it here."""

    job: str
    fault: Fault
    judged: ArrivedAttempt
    connection: ExecutorConnection
    is_copy: bool  # another attempt was out as it arrived
    answered: bool = False
    told_start: bool = False
    ended: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


@dataclass(eq=False)
class ExecutorConnection:
    """A connection that a node has opened."""

    sock: trio.socket.SocketType
    closed_here: bool = False

    async def write(self, data: bytes) -> None:
        """Write, or pass over a connection that has ended."""
        with contextlib.suppress(OSError):
            await self.sock.send(data)

    def close(self) -> None:
        """End it from this side."""
        self.closed_here = True
        self.sock.close()


class CallBacks:
    """Connections to the nodes, for reports."""

    def __init__(self) -> None:
        self.idle: dict[int, list[trio.socket.SocketType]] = {}

    async def post(self, port: int, event: dict[str, Any]) -> None:
        """Make one call, again where it was not answered."""
        body = json.dumps(event).encode()
        head = f"POST /v1/job-events HTTP/1.1\r\nhost: n\r\ncontent-length: {len(body)}\r\n\r\n"
        for _ in range(REPORT_TRIES):
            with trio.move_on_after(REPORT_PATIENCE_S):
                if await self._exchange(port, head.encode() + body):
                    return
            await trio.sleep(REPORT_RETRY_S)

    async def _exchange(self, port: int, data: bytes) -> bool:
        idle = self.idle.setdefault(port, [])
        sock = idle.pop() if idle else trio.socket.socket()
        try:
            if sock.getsockname()[1] == 0:
                await sock.connect((HOST, port))
            await sock.send(data)
            answer = await read_message(sock, bytearray())
        except OSError:
            answer = None
        if answer is None or answer.headers.get("connection") == "close":
            sock.close()
        else:
            idle.append(sock)
        return answer is not None


class SimulatedExecutor:
    """One process of an executor, at one address, from its start to its death."""

    def __init__(self, world: World, identity: Executor, sock: socket.socket, number: int) -> None:
        self.world, self.identity = world, identity
        self.address: tuple[str, int] = sock.getsockname()
        sock.listen(BACKLOG)
        self.listener = trio.socket.from_stdlib_socket(sock)
        self.rng = Random(f"{world.case.seed} {identity.name} {number}")
        self.number = number
        self.attempts: list[PlayedAttempt] = []
        self.connections: set[ExecutorConnection] = set()
        self.calls = CallBacks()
        self.frozen_until = 0.0
        self.scope = trio.CancelScope()
        self.nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Serve until killed."""
        with self.scope, self.listener:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                while True:
                    try:
                        sock, _ = await self.listener.accept()
                    except trio.ClosedResourceError:  # it is being killed
                        return
                    connection = ExecutorConnection(sock)
                    self.connections.add(connection)
                    nursery.start_soon(self._serve, connection)

    def kill(self) -> list[PlayedAttempt]:
        """Die: connections are reset and jobs killed. Returns the jobs that were accepted and not over."""
        killed = [one for one in self.attempts if not one.ended and one.answered]
        for attempt in self.attempts:
            self._end(attempt, "killed", never_ran=False)
        for connection in self.connections:
            connection.close()
        self.scope.cancel()
        self.listener.close()
        return killed

    async def report(self, job: str, state: str, **more: object) -> None:
        """Tell the job's node."""
        event = {"id": job, "from": self.identity.name, "state": state, **more}
        await self.calls.post(self.world.node_port(job), event)

    async def _serve(self, connection: ExecutorConnection) -> None:
        buffer = bytearray()
        try:
            while (message := await read_message(connection.sock, buffer)) is not None:
                await self._handle(connection, message)
        except (OSError, trio.ClosedResourceError):
            pass
        finally:
            self.connections.discard(connection)
            if not connection.closed_here:
                self._closed_by_node(connection)
            connection.sock.close()

    async def _handle(self, connection: ExecutorConnection, message: Message) -> None:
        assert self.nursery is not None
        if message.method == "POST":
            attempt = self._arrived(connection, message)
            self.nursery.start_soon(self._play, attempt)
        elif message.method == "DELETE":
            self._deleted(message.target.rpartition("/")[2])
            await self._thaw()
            await connection.write(response(200))
            self._stray(connection)
        else:
            self.nursery.start_soon(self._answer_probe, connection, message.target)

    def _arrived(self, connection: ExecutorConnection, message: Message) -> PlayedAttempt:
        case, job = self.world.case, message.headers["x-request-id"]
        rng = Random(f"{case.seed} {job} {self.identity.name} {len(self.attempts_of(job))}")
        fault = rng.choices(list(case.faults), list(case.faults.values()))[0]
        is_copy = any(other.out for other in self.world.judge.requests[job].attempts)
        judged = self.world.judge.arrived(job, self.identity, trio.current_time())
        attempt = PlayedAttempt(job, fault, judged, connection, is_copy)
        self.attempts.append(attempt)
        where = f"{self.identity.name} (cell {self.identity.cell}, zone {self.identity.zone})"
        self.world.note(job, f"arrives at {where}: {fault}")
        return attempt

    def attempts_of(self, job: str) -> list[PlayedAttempt]:
        """Return the attempts of a job at this process."""
        return [attempt for attempt in self.attempts if attempt.job == job]

    async def _play(self, attempt: PlayedAttempt) -> None:
        case = self.world.case
        rng = Random(f"{case.seed} {attempt.job} {self.identity.name} steps")
        with attempt.scope:
            for step in plan(attempt.fault, rng, case.settings):
                await trio.sleep(step.after_s)
                await self._thaw()
                await self._act(attempt, step)

    async def _act(self, attempt: PlayedAttempt, step: Step) -> None:
        acts: dict[Act, Callable[[PlayedAttempt, Step], Awaitable[None]]] = {
            Act.ANSWER: self._answer,
            Act.ANSWER_AGAIN: self._answer_again,
            Act.ANSWER_PARTLY: self._answer_partly,
            Act.CLOSE: self._close,
            Act.REPORT_START: self._report_start,
            Act.REPORT_PROGRESS: self._report_progress,
            Act.REPORT_END: self._report_end,
        }
        await acts[step.act](attempt, step)

    async def _answer(self, attempt: PlayedAttempt, step: Step) -> None:
        if step.refuses:
            self._end(attempt, f"refused by {step.status}", never_ran=not attempt.told_start)
        elif step.status == 500:
            self._end(attempt, "answered 500", never_ran=False)
        attempt.answered = True
        self.world.note(attempt.job, f"{self.identity.name} answers {step.status}")
        await attempt.connection.write(self._response(step))

    async def _answer_again(self, attempt: PlayedAttempt, step: Step) -> None:
        self.world.note(attempt.job, f"{self.identity.name} answers again: {step.status} {step.refuses}")
        await attempt.connection.write(self._response(step))

    async def _answer_partly(self, attempt: PlayedAttempt, step: Step) -> None:
        await attempt.connection.write(self._response(step)[: len(HEAD_END) * 4])

    async def _close(self, attempt: PlayedAttempt, step: Step) -> None:
        for other in self.attempts:  # the connection may carry a later request by now
            if other.connection is attempt.connection and not other.answered:
                self._end(other, "connection broken", never_ran=False)
        attempt.connection.close()

    async def _report_start(self, attempt: PlayedAttempt, step: Step) -> None:
        attempt.told_start = True
        await self.report(attempt.job, "started")

    async def _report_progress(self, attempt: PlayedAttempt, step: Step) -> None:
        attempt.told_start = True
        await self.report(attempt.job, "running", share=0.4)

    async def _report_end(self, attempt: PlayedAttempt, step: Step) -> None:
        self._end(attempt, f"reports {step.state}", step.state == "returned" and not attempt.told_start)
        await self.report(attempt.job, step.state, result="r", load={"inflight": 1, "eps": 0})

    def _response(self, step: Step) -> bytes:
        headers = ["x-not-processed: 1"] if step.refuses else []
        if self.world.case.settings["report"]["how"] == "inline":
            headers.append("x-server-load: inflight=1,eps=0")
        return response(step.status, b"", *headers)

    def _end(self, attempt: PlayedAttempt, how: str, never_ran: bool) -> None:
        """Tell the judge once how the attempt has ended."""
        if attempt.ended:
            return
        attempt.ended = True
        self.world.note(attempt.job, f"{self.identity.name}: {how}")
        self.world.judge.ended(attempt.judged, never_ran)

    def _closed_by_node(self, connection: ExecutorConnection) -> None:
        for attempt in self.attempts:
            if attempt.connection is connection and not attempt.answered:
                self._given_up(attempt, "connection closed by the node")

    def _deleted(self, job: str) -> None:
        for attempt in self.attempts_of(job):
            self._given_up(attempt, "DELETE")

    def _given_up(self, attempt: PlayedAttempt, how: str) -> None:
        self.world.note(attempt.job, f"{self.identity.name}: {how}")
        self.world.judge.given_up(attempt.judged)
        if attempt.fault not in KEEPS_ON:
            attempt.scope.cancel()

    async def _answer_probe(self, connection: ExecutorConnection, target: str) -> None:
        settings = self.world.case.settings
        await self._thaw()
        if not settings["limits"]["probes"]:
            await connection.write(response(404))
            return
        await trio.sleep(milliseconds(self.rng, 1, 4))
        status = 503 if self._is_odd() else 200
        body = b"inflight=1,eps=0" if target.endswith("load") else b""
        await connection.write(response(status, body))
        self._stray(connection)

    def _is_odd(self) -> bool:
        return Fault.SECOND_ANSWER in self.world.case.faults and self.rng.random() < ODD_PROBE_SHARE

    def _stray(self, connection: ExecutorConnection) -> None:
        """Answer a probe or a DELETE twice now and then."""
        if self._is_odd() and self.nursery is not None:
            self.nursery.start_soon(self._answer_late, connection)

    async def _answer_late(self, connection: ExecutorConnection) -> None:
        await trio.sleep(milliseconds(self.rng, 3, 40))
        if self.rng.random() < 0.5:
            await connection.write(response(503, b"", "x-not-processed: 1"))
        else:
            await connection.write(response(self.rng.choice((ACCEPTED, 200, 500))))

    async def _thaw(self) -> None:
        """Wait while the machine hangs."""
        while trio.current_time() < self.frozen_until:
            await trio.sleep_until(self.frozen_until)
