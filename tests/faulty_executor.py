"""A fake executor on raw sockets, with faults that a test chooses for each attempt.

It reports to a ``DuplicateJudge`` what happens on its side of the connection, and shares no code with the
node's servers. What it does with an attempt is a ``Behaviour`` of ``executor_faults.py``.
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

SECOND_ANSWER_DELAY_S = 0.03  # delay of a second answer if its connection is not used again before
# A second answer that is later than this is not sent, so that a slow test does not look like a slow network.
SECOND_ANSWER_LIMIT_S = 0.04
BACKLOG = 64
FILLERS = 3  # connections that fill an accept queue of length 0; it holds fewer


@dataclass(frozen=True)
class ReceivedRequest:
    """A complete request. Header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]


@dataclass(eq=False)
class ReceivedAttempt:
    """An attempt that has arrived, with the state that its executor keeps for it."""

    name: str
    number: int  # number among the attempts of its request, from 0
    executor: FaultyExecutor
    connection: ExecutorConnection
    judged: ArrivedAttempt
    answered: bool = False  # a complete 202 was written, so a close does not give up the attempt
    begun: bool = False  # a callback has reported a start or progress
    callbacks_sent: int = 0
    # Set once the answer is written or broken off.
    answer_finished: trio.Event = field(default_factory=trio.Event)
    given_up: trio.Event = field(default_factory=trio.Event)

    def record_given_up(self, judge: DuplicateJudge) -> None:
        """Record that the node has given up the attempt."""
        judge.given_up(self.judged)
        self.given_up.set()


Script = Callable[[ReceivedAttempt], Behaviour]
PostCallback = Callable[[str, bytes], Awaitable[None]]  # posts a callback to the node that has the request


@dataclass
class FaultController:
    """The state that all executors of a test share: judge, script, faults and arrived attempts."""

    judge: DuplicateJudge
    post_callback: PostCallback
    script: Script = field(default=lambda attempt: HEALTHY)
    attempts: list[ReceivedAttempt] = field(default_factory=list)
    arrival: trio.Event = field(default_factory=trio.Event)  # replaced at each arrival
    probe_answer: Answer = Answer(200, body=b"inflight=0,x0=4,x1=4")
    probes: int = 0
    second_probe_answer: Answer | None = None
    delete_answer: Answer = Answer(200)
    second_delete_answer: Answer | None = None
    ignores_deletes: bool = False  # DELETEs are neither answered nor obeyed
    resets_on_delete: bool = False  # DELETEs are not obeyed, and their connections are reset
    deletes: list[str] = field(default_factory=list)  # request names, in the order of their DELETEs
    stray_answers_sent: int = 0  # second answers sent while another request was in progress

    def attempts_of(self, name: str) -> list[ReceivedAttempt]:
        """Return the attempts of a request, in the order of their arrival."""
        return [attempt for attempt in self.attempts if attempt.name == name]

    def record_closes(self) -> None:
        """Record the attempts given up by closed connections, even if the close was not read yet."""
        for attempt in self.attempts:
            if attempt.judged.out and not attempt.answered and attempt.connection.has_hung_up():
                attempt.record_given_up(self.judge)

    def arrived(self, name: str, executor: FaultyExecutor, connection: ExecutorConnection) -> ReceivedAttempt:
        """Judge and store an attempt whose last byte has arrived."""
        self.record_closes()
        judged = self.judge.arrived(name, executor.identity, trio.current_time())
        attempt = ReceivedAttempt(name, len(self.attempts_of(name)), executor, connection, judged)
        self.attempts.append(attempt)
        self.arrival.set()
        self.arrival = trio.Event()
        return attempt

    async def wait_for_attempt(self, name: str, number: int) -> ReceivedAttempt:
        """Wait until an attempt of a request, counted from 0, has arrived."""
        while len(self.attempts_of(name)) <= number:
            await self.arrival.wait()
        return self.attempts_of(name)[number]


class ExecutorConnection:
    """One accepted connection, with a reader that detects a close at once and raw writes."""

    def __init__(self, sock: trio.socket.SocketType) -> None:
        self.sock = sock
        self.buffer = bytearray()
        self.second_answer: bytes | None = None  # second answer that is still to be written
        self.second_answer_until = 0.0  # time until which the second answer may be written
        self.written_at = 0.0  # start time of the last write
        self.closed = False

    async def read_request(self) -> ReceivedRequest | None:
        """Return the next complete request, or None at the end of the stream."""
        while (end := self.buffer.find(b"\r\n\r\n")) < 0:
            if not await self._receive():
                return None
        first, *lines = self.buffer[:end].decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        length = end + 4 + int(headers.get("content-length", 0))
        while len(self.buffer) < length:
            if not await self._receive():
                return None
        del self.buffer[:length]
        return ReceivedRequest(method, target, headers)

    async def _receive(self) -> bool:
        data = await self.sock.recv(65536)
        self.buffer += data
        return bool(data)

    async def write(self, data: bytes) -> None:
        """Write all of the data."""
        self.written_at = time.monotonic()
        rest = memoryview(data)
        while rest:
            rest = rest[await self.sock.send(rest) :]

    async def write_second_answer(self) -> bool:
        """Write the second answer of an earlier exchange; return whether there was one in time."""
        data, self.second_answer = self.second_answer, None
        if data is None or time.monotonic() > self.second_answer_until:
            return False
        await self.write(data)
        return True

    def has_hung_up(self) -> bool:
        """Return whether the node has closed its side of the connection."""
        if self.closed or self.sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def close(self, reset: bool = False) -> None:
        """Close the connection, by a reset or by an orderly close."""
        self.closed = True
        if reset and self.sock.fileno() >= 0:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class FaultyExecutor:
    """An executor that behaves as the controller's script says."""

    def __init__(
        self, name: str, zone: str, cell: int, controller: FaultController, nursery: trio.Nursery
    ) -> None:
        self.identity = Executor(name, zone, cell)
        self.controller, self.nursery = controller, nursery
        self.connections: list[ExecutorConnection] = []
        self.fillers: list[socket.socket] = []  # connections that fill the accept queue
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
        """Return the address at which it listens."""
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    # The process.

    async def serve(self) -> None:
        """Accept connections until cancelled, at the executor's current address."""
        while True:
            await self.accepting.wait()
            with trio.CancelScope() as self.accept_scope, suppress(OSError):
                # The listener may be closed when a connection has just arrived.
                sock, _ = await self.listener.accept()
                self.nursery.start_soon(self._serve_connection, ExecutorConnection(sock))

    def pause_accepting(self) -> None:
        """Leave new connections, and the data on them, to the operating system until accepting resumes."""
        self.accepting = trio.Event()
        self.accept_scope.cancel()

    def stop_accepting(self) -> None:
        """Fill the accept queue, so that new connection attempts get no answer."""
        self.pause_accepting()
        self.listener.listen(0)
        self.fillers = [_filler(self.listener.getsockname()) for _ in range(FILLERS)]

    def resume_accepting(self) -> None:
        """Accept again; connections attempted meanwhile succeed when TCP retries them."""
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.listener.listen(BACKLOG)
        self.accepting.set()

    def refuse_connections(self) -> None:
        """Close the listener, so that new connections are refused as if the process did not run."""
        self.pause_accepting()
        self.listener.close()

    def kill(self) -> None:
        """Simulate the death of the process: its connections are reset and new ones are refused."""
        self.refuse_connections()
        self._reset_connections()

    def restart(self, zone: str, cell: int) -> None:
        """Restart at another address, as a new process that does not know the earlier jobs."""
        self.kill()
        self.identity = Executor(self.identity.name, zone, cell)
        self._listen()
        self.accepting.set()

    def _reset_connections(self) -> None:
        for attempt in self.controller.attempts:
            if attempt.executor is self and attempt.judged.out:
                self.controller.judge.ended(attempt.judged)
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
                await self._write_stray_answer(connection)
                await connection.write(self.controller.probe_answer.encode())
                self._schedule_second_answer(connection, self.controller.second_probe_answer)
        except (OSError, trio.ClosedResourceError):
            pass

    async def _serve_delete(self, connection: ExecutorConnection, request: ReceivedRequest) -> None:
        name = request.target.removeprefix("/jobs/")
        self.controller.deletes.append(name)
        if self.controller.resets_on_delete:
            connection.close(reset=True)
        if self.controller.ignores_deletes or self.controller.resets_on_delete:
            return
        for attempt in self.controller.attempts_of(name):
            if attempt.executor is self:
                attempt.record_given_up(self.controller.judge)
        await self._write_stray_answer(connection)
        await connection.write(self.controller.delete_answer.encode())
        self._schedule_second_answer(connection, self.controller.second_delete_answer)

    async def _serve_job(self, connection: ExecutorConnection, request: ReceivedRequest) -> None:
        attempt = self.controller.arrived(request.headers["x-request-id"], self, connection)
        behaviour = self.controller.script(attempt)
        await self._write_stray_answer(connection)
        for callback in behaviour.before:
            await self._make_callback(attempt, callback)
        if behaviour.gate is not None:
            await behaviour.gate.wait()
        try:
            await self._answer(attempt, behaviour.answer)
            self._schedule_second_answer(connection, behaviour.second_answer)
        except (OSError, trio.ClosedResourceError):
            pass  # the node has closed the connection, and the job goes on
        attempt.answer_finished.set()
        for callback in behaviour.after:
            await self._make_callback(attempt, callback)

    async def _write_stray_answer(self, connection: ExecutorConnection) -> None:
        """Write the second answer of the exchange before, because the connection is in use again."""
        if await connection.write_second_answer():
            self.controller.stray_answers_sent += 1

    def _schedule_second_answer(self, connection: ExecutorConnection, answer: Answer | None) -> None:
        if answer is not None:
            connection.second_answer = answer.encode()
            connection.second_answer_until = connection.written_at + SECOND_ANSWER_LIMIT_S
            self.nursery.start_soon(self._write_second_answer_later, connection)

    async def _write_second_answer_later(self, connection: ExecutorConnection) -> None:
        """Write the second answer after a delay, unless the connection was used again before."""
        await trio.sleep(SECOND_ANSWER_DELAY_S)
        with suppress(OSError, trio.ClosedResourceError):
            await connection.write_second_answer()

    async def _answer(self, attempt: ReceivedAttempt, answer: FirstAnswer) -> None:
        if isinstance(answer, NonHttpResponse):
            await attempt.connection.write(answer.data)
        elif isinstance(answer, ConnectionBreak):
            await self._break_off(attempt, answer)
        elif isinstance(answer, Answer):
            attempt.answered = answer.status == 202
            if answer.ends_attempt:
                self.controller.judge.ended(attempt.judged, never_ran=answer.never_ran)
            await attempt.connection.write(answer.encode())

    async def _break_off(self, attempt: ReceivedAttempt, fault: ConnectionBreak) -> None:
        response = TAKEN.encode()
        if fault.at is BreakPoint.IN_ANSWER:
            await attempt.connection.write(response[: len(response) // 2])
        elif fault.at is BreakPoint.AFTER_ANSWER:
            attempt.answered = True
            await attempt.connection.write(response)
            # A reset may overtake bytes that the node has not read yet, and then the 202 would not arrive.
            await trio.testing.wait_all_tasks_blocked()
        if not attempt.answered:
            self.controller.judge.ended(attempt.judged)
        attempt.connection.close(fault.reset)

    # Callbacks.

    async def _make_callback(self, attempt: ReceivedAttempt, callback: ScriptedCallback) -> None:
        if callback.gate is not None:
            await callback.gate.wait()
        if callback.after_given_up:
            await attempt.given_up.wait()
        await trio.sleep(callback.delay)
        if attempt.given_up.is_set() and not callback.after_given_up:
            return
        self._report_to_judge(attempt, callback.state)
        event: dict[str, object] = {"id": attempt.name, "from": self.identity.name, "state": callback.state}
        if callback.state == "running":
            event["share"] = callback.share
        elif callback.state == "done":
            event["result"] = f"{self.identity.name}:{attempt.name}"
        await self.controller.post_callback(attempt.name, json.dumps(event).encode())
        attempt.callbacks_sent += 1

    def _report_to_judge(self, attempt: ReceivedAttempt, state: str) -> None:
        if state in ("started", "running"):
            attempt.begun = True
        else:
            self.controller.judge.ended(attempt.judged, never_ran=state == "returned" and not attempt.begun)


def _filler(address: tuple[str, int]) -> socket.socket:
    """Return a socket whose connection is attempted, and may never be established."""
    sock = socket.socket()
    sock.setblocking(False)
    with suppress(BlockingIOError):
        sock.connect(address)
    return sock
