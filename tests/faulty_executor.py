"""A stand-in executor on raw sockets with faults that a test chooses, attempt by attempt.

It tells a ``DuplicateJudge`` what happens at its side of the wire, and shares no code with the node's
servers. What it does with an attempt is a ``Behaviour`` of ``executor_faults.py``.
"""

from __future__ import annotations

import json
import select
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

import trio
import trio.testing

from tests.duplicate_judge import ArrivedAttempt, DuplicateJudge, Executor
from tests.executor_faults import (
    HEALTHY,
    TAKEN,
    Answer,
    Behaviour,
    BreakPoint,
    ConnectionBreak,
    FirstAnswer,
    NonHttpResponse,
    ScriptedCallback,
)
from tests.net import bind_loopback

SECOND_ANSWER_S = 0.03  # a second answer comes so late where its connection is not used before,
SECOND_ANSWER_LATEST_S = 0.04  # and not at all after this: a slow test must not pass for a slow network
BACKLOG = 64
FILLERS = 3  # more than an accept queue of length 0 holds


@dataclass(frozen=True)
class ReceivedRequest:
    """A whole request. Header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]


@dataclass(eq=False)
class ReceivedAttempt:
    """An attempt that has arrived, as its executor knows it."""

    name: str
    number: int  # among the attempts of its request, from 0
    executor: FaultyExecutor
    connection: ExecutorConnection
    judged: ArrivedAttempt
    answered: bool = False  # a whole 202 is written, so a close gives nothing up
    begun: bool = False  # a start or progress was told
    callbacks_sent: int = 0
    answer_finished: trio.Event = field(default_factory=trio.Event)  # its answer is written, or broken off
    given_up: trio.Event = field(default_factory=trio.Event)

    def record_given_up(self, judge: DuplicateJudge) -> None:
        """Take it that the node has given the attempt up."""
        judge.given_up(self.judged)
        self.given_up.set()


Script = Callable[[ReceivedAttempt], Behaviour]
PostCallback = Callable[[str, bytes], Awaitable[None]]  # hands a call-back to the node that has the request


@dataclass
class FaultController:
    """What all executors of a test share: the judge, the script and the attempts that have arrived."""

    judge: DuplicateJudge
    post_callback: PostCallback
    script: Script = field(default=lambda held: HEALTHY)
    attempts: list[ReceivedAttempt] = field(default_factory=list)
    arrival: trio.Event = field(default_factory=trio.Event)  # replaced at each arrival
    probe_answer: Answer = Answer(200, body=b"inflight=0,x0=4,x1=4")
    probes: int = 0
    second_probe_answer: Answer | None = None
    delete_answer: Answer = Answer(200)
    second_delete_answer: Answer | None = None
    ignores_deletes: bool = False  # they are neither answered nor followed
    resets_on_delete: bool = False  # nor are these, and their connections break
    deletes: list[str] = field(default_factory=list)  # names of requests, in the order of their DELETEs
    stray_answers_sent: int = 0  # second answers that came while another request was under way

    def attempts_of(self, name: str) -> list[ReceivedAttempt]:
        """Return the attempts of a request, in the order of their arrival."""
        return [held for held in self.attempts if held.name == name]

    def record_closes(self) -> None:
        """Note the attempts given up by closes that have come and were not read yet."""
        for held in self.attempts:
            if held.judged.out and not held.answered and held.connection.has_hung_up():
                held.record_given_up(self.judge)

    def arrived(self, name: str, executor: FaultyExecutor, connection: ExecutorConnection) -> ReceivedAttempt:
        """Judge and keep an attempt whose last byte has come."""
        self.record_closes()
        judged = self.judge.arrived(name, executor.identity, trio.current_time())
        held = ReceivedAttempt(name, len(self.attempts_of(name)), executor, connection, judged)
        self.attempts.append(held)
        self.arrival.set()
        self.arrival = trio.Event()
        return held

    async def wait_for_attempt(self, name: str, number: int) -> ReceivedAttempt:
        """Wait until an attempt of a request, counted from 0, has arrived."""
        while len(self.attempts_of(name)) <= number:
            await self.arrival.wait()
        return self.attempts_of(name)[number]


class ExecutorConnection:
    """One accepted connection: a reader that sees closes at once, and raw writes."""

    def __init__(self, sock: trio.socket.SocketType) -> None:
        self.sock = sock
        self.buffer = bytearray()
        self.second_answer: bytes | None = None  # not yet written,
        self.second_answer_until = 0.0  # and to be written by then
        self.written_at = 0.0  # when the last write began
        self.closed = False

    async def read_request(self) -> ReceivedRequest | None:
        """Return the next whole request, None at the end."""
        while (end := self.buffer.find(b"\r\n\r\n")) < 0:
            if not await self._receive():
                return None
        first, *lines = self.buffer[:end].decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        whole = end + 4 + int(headers.get("content-length", 0))
        while len(self.buffer) < whole:
            if not await self._receive():
                return None
        del self.buffer[:whole]
        return ReceivedRequest(method, target, headers)

    async def _receive(self) -> bool:
        data = await self.sock.recv(65536)
        self.buffer += data
        return bool(data)

    async def write(self, data: bytes) -> None:
        """Write all of it."""
        self.written_at = time.monotonic()
        rest = memoryview(data)
        while rest:
            rest = rest[await self.sock.send(rest) :]

    async def write_second_answer(self) -> bool:
        """Write the second answer of an earlier exchange; tell whether there was one."""
        data, self.second_answer = self.second_answer, None
        if data is None or time.monotonic() > self.second_answer_until:
            return False
        await self.write(data)
        return True

    def has_hung_up(self) -> bool:
        """Tell whether the node has closed its side."""
        if self.closed or self.sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def close(self, reset: bool = False) -> None:
        """Close it, by a reset or in good order."""
        self.closed = True
        if reset and self.sock.fileno() >= 0:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class FaultyExecutor:
    """An executor that does what the controller's script says."""

    def __init__(
        self, name: str, zone: str, cell: int, controller: FaultController, nursery: trio.Nursery
    ) -> None:
        self.identity = Executor(name, zone, cell)
        self.controller, self.nursery = controller, nursery
        self.connections: list[ExecutorConnection] = []
        self.fillers: list[socket.socket] = []  # connections that hold the places of its accept queue
        self.accepting = trio.Event()
        self.accepting.set()
        self.accept_scope = trio.CancelScope()
        self._listen()

    def _listen(self) -> None:
        sock = bind_loopback()
        sock.listen(BACKLOG)
        self.listener = trio.socket.from_stdlib_socket(sock)

    @property
    def addr(self) -> str:
        """Return where it listens."""
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    # The process.

    async def serve(self) -> None:
        """Accept for ever, at whatever address it has by then."""
        while True:
            await self.accepting.wait()
            with trio.CancelScope() as self.accept_scope, suppress(OSError):
                # Guards against a listener that is closed when a connection has just come.
                sock, _ = await self.listener.accept()
                self.nursery.start_soon(self._serve_connection, ExecutorConnection(sock))

    def pause_accepting(self) -> None:
        """Leave connections, and what comes on them, to the system until they are accepted."""
        self.accepting = trio.Event()
        self.accept_scope.cancel()

    def stop_accepting(self) -> None:
        """Come up no more: connections that are asked for from now on get no answer."""
        self.pause_accepting()
        self.listener.listen(0)
        self.fillers = [_filler(self.listener.getsockname()) for _ in range(FILLERS)]

    def resume_accepting(self) -> None:
        """Accept again; connections asked for meanwhile come up when they are asked for once more."""
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.listener.listen(BACKLOG)
        self.accepting.set()

    def refuse_connections(self) -> None:
        """Have new connections refused, as those of a process that is not there."""
        self.pause_accepting()
        self.listener.close()

    def kill(self) -> None:
        """Have the process die: its connections are reset and new ones refused."""
        self.refuse_connections()
        self._reset_connections()

    def restart(self, zone: str, cell: int) -> None:
        """Start anew at another address, as another process that knows nothing of the jobs before."""
        self.kill()
        self.identity = Executor(self.identity.name, zone, cell)
        self._listen()
        self.accepting.set()

    def _reset_connections(self) -> None:
        for held in self.controller.attempts:
            if held.executor is self and held.judged.out:
                self.controller.judge.ended(held.judged)
        for connection in self.connections:
            connection.close(reset=True)
        self.connections = []

    # One connection.

    async def _serve_connection(self, connection: ExecutorConnection) -> None:
        self.connections.append(connection)
        try:
            while (request := await connection.read_request()) is not None:
                self.nursery.start_soon(self._serve_request, connection, request)
        except (OSError, trio.ClosedResourceError):
            pass
        if not connection.closed:
            self.controller.record_closes()
            connection.close()

    async def _serve_request(self, connection: ExecutorConnection, request: ReceivedRequest) -> None:
        try:
            if request.method == "POST":
                await self._serve_job(connection, request)
            elif request.method == "DELETE":
                await self._serve_delete(connection, request)
            else:
                self.controller.probes += 1
                await self._meet_stray(connection)
                await connection.write(self.controller.probe_answer.encode())
                self._answer_again(connection, self.controller.second_probe_answer)
        except (OSError, trio.ClosedResourceError):
            pass

    async def _serve_delete(self, connection: ExecutorConnection, request: ReceivedRequest) -> None:
        name = request.target.removeprefix("/jobs/")
        self.controller.deletes.append(name)
        if self.controller.resets_on_delete:
            connection.close(reset=True)
        if self.controller.ignores_deletes or self.controller.resets_on_delete:
            return
        for held in self.controller.attempts_of(name):
            if held.executor is self:
                held.record_given_up(self.controller.judge)
        await self._meet_stray(connection)
        await connection.write(self.controller.delete_answer.encode())
        self._answer_again(connection, self.controller.second_delete_answer)

    async def _serve_job(self, connection: ExecutorConnection, request: ReceivedRequest) -> None:
        held = self.controller.arrived(request.headers["x-request-id"], self, connection)
        behaviour = self.controller.script(held)
        await self._meet_stray(connection)
        for call_back in behaviour.before:
            await self._call_back(held, call_back)
        if behaviour.gate is not None:
            await behaviour.gate.wait()
        try:
            await self._answer(held, behaviour.answer)
            self._answer_again(connection, behaviour.second_answer)
        except (OSError, trio.ClosedResourceError):
            pass  # the node has closed it, and the job goes on
        held.answer_finished.set()
        for call_back in behaviour.after:
            await self._call_back(held, call_back)

    async def _meet_stray(self, connection: ExecutorConnection) -> None:
        """Write the second answer of the exchange before, now that the connection is in use again."""
        if await connection.write_second_answer():
            self.controller.stray_answers_sent += 1

    def _answer_again(self, connection: ExecutorConnection, answer: Answer | None) -> None:
        if answer is not None:
            connection.second_answer = answer.encode()
            connection.second_answer_until = connection.written_at + SECOND_ANSWER_LATEST_S
            self.nursery.start_soon(self._second_answer_in_time, connection)

    async def _second_answer_in_time(self, connection: ExecutorConnection) -> None:
        """Write the second answer also where the connection is not used again."""
        await trio.sleep(SECOND_ANSWER_S)
        with suppress(OSError, trio.ClosedResourceError):
            await connection.write_second_answer()

    async def _answer(self, held: ReceivedAttempt, answer: FirstAnswer) -> None:
        if isinstance(answer, NonHttpResponse):
            await held.connection.write(answer.data)
        elif isinstance(answer, ConnectionBreak):
            await self._break_off(held, answer)
        elif isinstance(answer, Answer):
            held.answered = answer.status == 202
            if answer.ends_attempt:
                self.controller.judge.ended(held.judged, never_ran=answer.never_ran)
            await held.connection.write(answer.encode())

    async def _break_off(self, held: ReceivedAttempt, fault: ConnectionBreak) -> None:
        whole = TAKEN.encode()
        if fault.at is BreakPoint.IN_ANSWER:
            await held.connection.write(whole[: len(whole) // 2])
        elif fault.at is BreakPoint.AFTER_ANSWER:
            held.answered = True
            await held.connection.write(whole)
            # A reset may overtake bytes that the node has not read yet, and then no 202 has come.
            await trio.testing.wait_all_tasks_blocked()
        if not held.answered:
            self.controller.judge.ended(held.judged)
        held.connection.close(fault.reset)

    # Call-backs.

    async def _call_back(self, held: ReceivedAttempt, call_back: ScriptedCallback) -> None:
        if call_back.gate is not None:
            await call_back.gate.wait()
        if call_back.after_given_up:
            await held.given_up.wait()
        await trio.sleep(call_back.delay)
        if held.given_up.is_set() and not call_back.after_given_up:
            return
        self._tell_judge(held, call_back.state)
        event: dict[str, object] = {"id": held.name, "from": self.identity.name, "state": call_back.state}
        if call_back.state == "running":
            event["share"] = call_back.share
        elif call_back.state == "done":
            event["result"] = f"{self.identity.name}:{held.name}"
        await self.controller.post_callback(held.name, json.dumps(event).encode())
        held.callbacks_sent += 1

    def _tell_judge(self, held: ReceivedAttempt, state: str) -> None:
        if state in ("started", "running"):
            held.begun = True
        else:
            self.controller.judge.ended(held.judged, never_ran=state == "returned" and not held.begun)


def _filler(address: tuple[str, int]) -> socket.socket:
    """Return a connection that is asked for, and may never come up."""
    sock = socket.socket()
    sock.setblocking(False)
    with suppress(BlockingIOError):
        sock.connect(address)
    return sock
