"""No connection keeps the processor from the others, whatever pieces its messages come in."""

from __future__ import annotations

import socket

import h11
import pytest
import trio

from merlinbay.http.client import ClientConnection
from merlinbay.http.connection import Response
from tests.net import LIMITS, run_scenario
from tests.test_crossings import listener_harness

MAX_EVENTS = (
    64  # parsed in one step of a task; some 20 us each, so that a step is over in a millisecond or two
)
CHUNK = b"1\r\nx\r\n"
CHUNKS = CHUNK * 10_000 + b"0\r\n\r\n"
CHUNKED_REQUEST = b"POST /admit HTTP/1.1\r\nHost: node\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKS
CHUNKED_RESPONSE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKS
PIPELINED_REQUESTS = b"GET / HTTP/1.1\r\nHost: node\r\n\r\n" * 3000
INFORMATIONAL_RESPONSES = (
    b"HTTP/1.1 100 Continue\r\n\r\n" * 3000 + b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
)


class StepInstrument(trio.abc.Instrument):
    """Counts the parser's events in each step of a task, and keeps the highest count."""

    def __init__(self) -> None:
        self.count = self.highest = 0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Begin a step."""
        self.count = 0

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """End a step."""
        self.highest = max(self.highest, self.count)


@pytest.fixture
def steps(monkeypatch: pytest.MonkeyPatch) -> StepInstrument:
    """Count the events of all parsers."""
    instrument, next_event = StepInstrument(), h11.Connection.next_event

    def counted(state: h11.Connection) -> object:
        instrument.count += 1
        return next_event(state)

    monkeypatch.setattr(h11.Connection, "next_event", counted)
    return instrument


async def write(sock: socket.socket, data: bytes) -> None:
    """Write all bytes, as fast as the other side reads."""
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
    await stream.send_all(data)


# Guards against one client whose small pieces hold up the answers of all others.
@pytest.mark.parametrize("sent", [CHUNKED_REQUEST, PIPELINED_REQUESTS], ids=["chunks", "requests"])
def test_requests_in_small_pieces_leave_turns_to_others(steps: StepInstrument, sent: bytes) -> None:
    """Very many chunks, or very many requests, on one connection."""

    async def scenario() -> None:
        trio.lowlevel.add_instrument(steps)
        async with listener_harness() as at:
            at.answer = Response(200)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(at.client.send, sent)
                await at.request_received.wait()
                await trio.sleep(0.3)
                nursery.cancel_scope.cancel()

    run_scenario(scenario)
    assert 0 < steps.highest <= MAX_EVENTS


# Guards against one server whose small pieces hold up the answers to all clients.
@pytest.mark.parametrize("sent", [CHUNKED_RESPONSE, INFORMATIONAL_RESPONSES], ids=["chunks", "heads"])
def test_responses_in_small_pieces_leave_turns_to_others(steps: StepInstrument, sent: bytes) -> None:
    """Very many chunks, or very many informational responses."""

    async def scenario() -> None:
        trio.lowlevel.add_instrument(steps)
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        theirs.setblocking(False)
        connection = ClientConnection(trio.socket.from_stdlib_socket(ours), "server", LIMITS, 100_000)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(write, theirs, sent)
            assert (await connection.exchange("GET", "/", [])).status == 200
            nursery.cancel_scope.cancel()
        connection.close()

    run_scenario(scenario)
    assert 0 < steps.highest <= MAX_EVENTS
