"""Races between two events: closes, disconnects and second answers that cross something else.

Each test brings about one order of the two events that has caused a fault or could cause one; see
docs/CROSSINGS.md.
"""

from __future__ import annotations

import contextlib
import json
import signal
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from unittest.mock import Mock

import pytest
import trio
import trio.testing

from merlinbay import node, node_signals
from merlinbay.clock import Clock
from merlinbay.config import load
from merlinbay.core.attempts import Responder
from merlinbay.core.dispatcher import Dispatcher
from merlinbay.core.messages import (
    AttemptFinished,
    AttemptProgress,
    AttemptStarted,
    Message,
    RequestArrived,
    ShutdownRequested,
)
from merlinbay.core.values import Answer, AnswerStatus, RequestSpec, ServiceEntry
from merlinbay.counters import Counters
from merlinbay.decision import Balancer
from merlinbay.decision.events import EndpointEntry, EndpointsChanged
from merlinbay.decision.outcomes import Outcome
from merlinbay.http.client import AttemptWithheldError
from merlinbay.http.close_reasons import CloseReason
from merlinbay.http.connection import Connection, Request, Response
from merlinbay.http.pool import ConnectionPool, OutgoingRequest
from merlinbay.http.server import Listener
from merlinbay.log import Log
from merlinbay.platform.client_adapter import ClientRequest
from tests.net import CONF, LIMITS, FakeServer, admission_headers, bind_loopback, node_fixture, run_scenario
from tests.support import settings

REQUEST_BYTES = b"POST /admit HTTP/1.1\r\nhost: n\r\ncontent-length: 2\r\n\r\nhi"


# The listener alone: one client, one connection.


@dataclass
class ListenerHarness:
    """A listener with one client, whose requests are answered when the test says so."""

    nursery: trio.Nursery
    limits: object = LIMITS
    requested: list[Connection] = field(default_factory=list)
    disconnected: list[Connection] = field(default_factory=list)
    request_received: trio.Event = field(default_factory=trio.Event)
    answer: Response | None = None  # response to each request; None: the test responds later

    async def open(self, **limits: object) -> None:
        """Start the listener, and connect the client."""
        sock = bind_loopback()
        sock.listen(8)
        self.listener = Listener(self, replace(LIMITS, **limits), Counters(), Log(9))  # type: ignore[arg-type]
        await self.nursery.start(self.listener.serve, trio.socket.from_stdlib_socket(sock))
        self.client = trio.socket.socket()
        await self.client.connect(sock.getsockname())
        await wait_until(lambda: bool(self.listener.connections))
        self.connection = next(iter(self.listener.connections))

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Record the request."""
        self.requested.append(connection)
        self.request_received.set()
        return self.answer

    def client_disconnected(self, connection: Connection) -> None:
        """Record the disconnect."""
        self.disconnected.append(connection)

    async def answered(self) -> bytes:
        """Return everything that the client receives until the end of the stream; a reset raises."""
        received = bytearray()  # appending to bytes would copy all of them: 50 GB for an answer of 20 MB
        while data := await self.client.recv(4096):
            received += data
        return bytes(received)


@asynccontextmanager
async def listener_harness(**limits: object) -> AsyncIterator[ListenerHarness]:
    """Start a listener with a client, and stop both at the end."""
    with trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            at = ListenerHarness(nursery)
            await at.open(**limits)
            yield at
            nursery.cancel_scope.cancel()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition is true."""
    while not condition():
        await trio.sleep(0.005)


@pytest.mark.parametrize("behind", [b"", b"POST /admit HTTP/1.1\r\n", REQUEST_BYTES, REQUEST_BYTES * 100])
def test_disconnect_of_a_waiting_client_is_detected_behind_unread_data(behind: bytes) -> None:
    """Data that a client sent after its request must not hide the end of its connection."""

    async def scene() -> None:
        async with listener_harness() as at:
            await at.client.send(REQUEST_BYTES + behind)
            await at.request_received.wait()
            at.client.close()
            await wait_until(lambda: bool(at.disconnected))
            await wait_until(lambda: not at.listener.connections)
            assert len(at.requested) == 1

    run_scenario(scene)


def test_data_read_behind_an_open_request_is_limited() -> None:
    """A client that sends too much gets 400, its request is withdrawn, and its connection ends."""

    async def scene() -> None:
        async with listener_harness(read_ahead_bytes=1000) as at:
            await at.client.send(REQUEST_BYTES + b"x" * 2000)
            received = await at.answered()
            assert received.startswith(b"HTTP/1.1 400") and at.disconnected == at.requested == [at.connection]

    run_scenario(scene)


def test_pipelined_request_is_handled_after_the_first_response(tmp_path: Path) -> None:
    """A request that is read while another one is open starts after the first response; both are answered."""

    async def scene() -> None:
        async with listener_harness() as at:
            await at.client.send(REQUEST_BYTES)
            await at.request_received.wait()
            await at.client.send(REQUEST_BYTES)
            await wait_until(lambda: at.connection.stream.parser.unconsumed_bytes > 0)
            assert len(at.requested) == 1
            at.connection.respond(Response(200, b"one"))
            await wait_until(lambda: len(at.requested) == 2)
            at.connection.closes_after_response = True
            at.connection.respond(Response(200, b"two"))
            received = await at.answered()
            assert received.count(b"HTTP/1.1 200") == 2 and received.endswith(b"two")

    run_scenario(scene)


@pytest.mark.parametrize("how", ["end_idle", "expire"])
def test_request_that_crosses_the_close_of_an_idle_connection_is_answered(how: str) -> None:
    """A request may arrive between the check for idleness and the shutdown.

    It must be answered, and the connection ends with the answer.
    """

    async def scene() -> None:
        async with listener_harness() as at:
            if how == "end_idle":
                assert at.connection.close_if_idle()
            else:
                at.connection.lifetime.expires_at = 0.0
                at.connection.expire()
            at.client._sock.send(REQUEST_BYTES[:10])  # type: ignore[attr-defined]  # no task runs in between
            await wait_until(lambda: at.connection.stream.parser.unconsumed_bytes == 10)
            # The request has its own time limit now.
            assert at.connection.lifetime.expires_at > trio.current_time()
            await at.client.send(REQUEST_BYTES[10:])
            await at.request_received.wait()
            at.connection.closes_after_response = True
            at.connection.respond(Response(200, b"served"))
            assert (await at.answered()).endswith(b"served")

    run_scenario(scene)


def test_request_after_the_shutdown_is_neither_read_nor_handled() -> None:
    """The connection is reset; the client has seen its end and sends the request to another node."""

    async def scene() -> None:
        async with listener_harness() as at:
            at.connection.close_gracefully(CloseReason.DRAINED)
            assert await at.client.recv(10) == b""
            await at.client.send(REQUEST_BYTES)
            with pytest.raises(OSError):  # the reset
                while True:
                    await at.client.send(REQUEST_BYTES)
            await wait_until(lambda: not at.listener.connections)
            assert not at.requested

    run_scenario(scene)


def test_connection_is_not_closed_over_unread_data_after_the_last_answer() -> None:
    """Closing a socket with unread data resets the connection, and the reset can overtake the answer."""

    async def scene() -> None:
        async with listener_harness(linger_s=5.0) as at:
            await at.client.send(REQUEST_BYTES)
            await at.request_received.wait()
            at.connection.closes_after_response = True
            at.connection.respond(Response(200, b"last"))
            at.client._sock.send(b"x" * 60_000)  # type: ignore[attr-defined]
            await wait_until(lambda: at.connection.is_closing)
            for _ in range(4):  # after a reset, the second send would fail
                await at.client.send(b"x" * 20_000)
                await trio.testing.wait_all_tasks_blocked(0.01)
            assert (await at.answered()).endswith(b"last")

    run_scenario(scene)


def test_data_received_while_the_last_answer_is_written_does_not_truncate_it() -> None:
    """Such data is no longer a request, and must not count as an error either."""

    async def scene() -> None:
        async with listener_harness() as at:
            await at.client.send(REQUEST_BYTES)
            await at.request_received.wait()
            at.connection.closes_after_response = True
            at.connection.respond(Response(200, b"x" * 20_000_000))  # more than the socket buffers hold
            await wait_until(lambda: at.connection.stream.is_writing)
            await at.client.send(b"x" * 1000)
            await wait_until(lambda: at.connection.stream.parser.unconsumed_bytes > 0)
            assert len(await at.answered()) > 20_000_000

    run_scenario(scene)


def test_connection_with_an_unread_request_is_not_evicted() -> None:
    """The check for unread data and the close happen in one step, so no request can arrive in between."""

    async def scene() -> None:
        async with listener_harness() as at:
            at.client._sock.send(REQUEST_BYTES)  # type: ignore[attr-defined]
            assert not at.connection.close_if_unused()
            await at.request_received.wait()
            at.connection.respond(Response(200))
            await at.client.recv(1000)
            await wait_until(lambda: at.connection.is_idle)
            assert at.connection.close_if_unused() and at.connection.stream.raw.fileno() < 0
            await wait_until(lambda: not at.listener.connections)

    run_scenario(scene)


@pytest.mark.parametrize("at_once", [False, True])
def test_client_that_does_not_read_its_answer_is_disconnected(at_once: bool) -> None:
    """An orderly close is not possible for it, and other clients need its place."""

    async def scene() -> None:
        async with listener_harness(write_response_timeout_s=0.05, sweep_interval_s=0.02) as at:
            if at_once:
                at.answer = Response(200, b"x" * 50_000_000)
            await at.client.send(REQUEST_BYTES)
            await at.request_received.wait()
            at.connection.respond(Response(200, b"x" * 50_000_000))
            await wait_until(lambda: not at.listener.connections)

    run_scenario(scene)


class PacedSocket:
    """A client's connection as the node sees it: it sends one request, then reads some bytes a second."""

    def __init__(self, bytes_a_second: int, max_bytes_read: int) -> None:
        self.bytes_a_second, self.max_bytes_read = bytes_a_second, max_bytes_read
        self.bytes_read = 0
        self.request = REQUEST_BYTES

    def __enter__(self) -> PacedSocket:
        return self

    def __exit__(self, *exception: object) -> None:
        """Close nothing."""

    def setsockopt(self, *option: object) -> None:
        """Accept any option."""

    def fileno(self) -> int:
        """Return no descriptor, so that nothing polls it."""
        return -1

    def shutdown(self, how: int) -> None:
        """Do nothing."""

    async def recv(self, max_bytes: int) -> bytes:
        """Return the request once, and then wait until the connection ends."""
        request, self.request = self.request, b""
        if not request:
            await trio.sleep_forever()
        return request

    async def send(self, data: bytes | memoryview) -> int:
        """Read one second's share of the data, after a second."""
        if self.bytes_read >= self.max_bytes_read:
            await trio.sleep_forever()
        await trio.sleep(1.0)
        count = min(len(data), self.bytes_a_second)
        self.bytes_read += count
        return count


async def serve_paced_client(client: PacedSocket, answer_bytes: int) -> float:
    """Answer the client through a listener; return the seconds until its connection has ended."""
    async with trio.open_nursery() as nursery:
        harness = ListenerHarness(nursery, answer=Response(200, b"x" * answer_bytes))
        listener = Listener(harness, LIMITS, Counters(), Log(9))
        with bind_loopback() as sock:
            sock.listen(1)
            await nursery.start(listener.serve, trio.socket.from_stdlib_socket(sock))
            began = trio.current_time()
            listener.add_connection(client)  # type: ignore[arg-type]
            await wait_until(lambda: bool(listener.connections))
            await wait_until(lambda: not listener.connections)
            nursery.cancel_scope.cancel()
    return trio.current_time() - began


def test_slow_client_gets_its_whole_answer() -> None:
    """The write timeout counts from the last byte read, so a whole answer may take longer than that."""
    client = PacedSocket(bytes_a_second=1000, max_bytes_read=1_000_000)
    seconds = int(4 * LIMITS.write_response_timeout_s)
    trio.run(serve_paced_client, client, 1000 * seconds, clock=trio.testing.MockClock(autojump_threshold=0))
    assert client.bytes_read > 1000 * seconds


def test_client_that_stops_reading_is_disconnected_after_the_write_timeout() -> None:
    """The timeout counts from the last byte that the client read."""
    client = PacedSocket(bytes_a_second=1000, max_bytes_read=3000)
    ended = trio.run(serve_paced_client, client, 20_000, clock=trio.testing.MockClock(autojump_threshold=0))
    assert client.bytes_read == 3000
    assert (
        3.0 + LIMITS.write_response_timeout_s
        <= ended
        <= 3.0 + LIMITS.write_response_timeout_s + 2 * LIMITS.sweep_interval_s
    )


def test_accepted_connections_send_small_writes_at_once() -> None:
    """Data that Nagle's algorithm holds back would be lost if the connection is reset."""

    async def scene() -> None:
        async with listener_harness() as at:
            assert at.connection.stream.raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run_scenario(scene)


def test_process_that_ends_closes_its_connections_in_an_orderly_way() -> None:
    """Idle connections are shut down; one with an open request gets its answer first."""

    async def scene() -> None:
        async with listener_harness() as at:
            await at.client.send(REQUEST_BYTES)
            await at.request_received.wait()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(at.listener.close_all, 5.0)
                await trio.testing.wait_all_tasks_blocked(0.01)
                at.connection.respond(Response(503))
                received = await at.answered()
                at.client.close()
            assert b"connection: close" in received and not at.listener.connections

    run_scenario(scene)


@pytest.mark.parametrize("calls_back", [False, True])
def test_node_that_shuts_down_keeps_connections_that_carry_callbacks(calls_back: bool) -> None:
    """Otherwise servers would have to reconnect for each callback during the shutdown."""

    async def scene() -> None:
        async with listener_harness() as at:
            at.connection.carries_callbacks = calls_back
            at.listener.close_idle()
            assert at.connection.is_closing == (not calls_back)
            if calls_back:
                at.listener.close_idle(including_callbacks=True)
                assert at.connection.is_closing

    run_scenario(scene)


# Attempts for a client that has disconnected.


class LeavingResponder(Responder):
    """A responder whose client may have disconnected without a message about it."""

    def __init__(self, left: bool) -> None:
        self.is_disconnected, self.answer_count = left, 0

    def answer(self, answer: Answer) -> None:
        """Count the answer."""
        self.answer_count += 1

    def has_disconnected(self) -> bool:
        """Return what the test has set."""
        return self.is_disconnected


@pytest.mark.parametrize("left", [False, True])
def test_no_attempt_starts_for_a_disconnected_client(left: bool) -> None:
    """The message about the disconnect may still be queued; the check before an attempt must see it."""
    servers, clock, counters = Mock(), Mock(), Counters()
    clock.now_us.return_value = 1_000_000
    balancer = Balancer(settings(balancers=1), 1, 0)
    balancer.handle(0, [EndpointsChanged("all", [EndpointEntry("w", "a", "k1")])])
    dispatcher, responder = (
        Dispatcher(balancer, clock, LIMITS, counters, Log(9), servers, Mock()),
        LeavingResponder(left),
    )
    dispatcher.run_batch([RequestArrived(RequestSpec("j", "safe", 1_000_000, 2_000_000), responder)])
    assert servers.start.call_count == (not left) and responder.answer_count == 0
    assert (len(dispatcher.requests), counters.counts["requests_withdrawn"]) == ((0, 1) if left else (1, 0))


@pytest.mark.parametrize(
    ("job_class", "group", "verdict"),
    [
        ("safe", "all", AnswerStatus.REJECTED),
        ("keyed", "all", AnswerStatus.REJECTED),
        ("keyed", "zone", AnswerStatus.FAILED),
        ("keyed", "cell", AnswerStatus.FAILED),
        ("unsafe", "all", AnswerStatus.FAILED),
    ],
)
def test_shutdown_shortens_an_attempt_and_starts_no_other(
    job_class: str, group: str, verdict: AnswerStatus
) -> None:
    """The dispatcher's deadline is earlier than the decision module's, which would send the job again."""
    servers, clock, responder = Mock(), Mock(), Mock()
    responder.has_disconnected.return_value = False
    clock.now_us.return_value = 1_000_000
    conf = settings(balancers=1)
    conf.classes[1].group = group
    balancer = Balancer(conf, 1, 0)
    balancer.handle(
        0, [EndpointsChanged("all", [EndpointEntry(f"w{n}", "a", f"k{n % 2 + 1}") for n in range(4)])]
    )
    dispatcher = Dispatcher(balancer, clock, LIMITS, Counters(), Log(9), servers, Mock())
    spec = RequestSpec("j", job_class, 1_000_000, 5_000_000, idempotency_key="k")
    dispatcher.run_batch([RequestArrived(spec, responder), ShutdownRequested()])
    assert servers.start.call_count == 1
    clock.now_us.return_value += LIMITS.stop_responses_for_us
    dispatcher.run_batch([])
    assert servers.start.call_count == servers.cancel.call_count == 1
    (answer,) = [call.args[0] for call in responder.answer.call_args_list]
    assert answer.status is verdict


@pytest.mark.parametrize(
    ("reported", "outcome"),
    [
        ([], Outcome.FULL),
        ([AttemptStarted("j", "w")], Outcome.RESET),
        ([AttemptProgress("j", "w", 0.4)], Outcome.RESET),
    ],
)
def test_job_returned_after_a_start_or_progress_does_not_count_as_never_run(
    reported: list[Message], outcome: Outcome
) -> None:
    """The dispatcher itself must decide this, because counters and fronts use its outcome."""
    clock, counters, responder = Mock(), Counters(), Mock()
    responder.has_disconnected.return_value = False
    clock.now_us.return_value = 1_000_000
    balancer = Balancer(settings(balancers=1), 1, 0)
    balancer.handle(0, [EndpointsChanged("all", [EndpointEntry("w", "a", "k1")])])
    dispatcher = Dispatcher(balancer, clock, LIMITS, counters, Log(9), Mock(), Mock())
    dispatcher.run_batch([RequestArrived(RequestSpec("j", "unsafe", 1_000_000, 5_000_000), responder)])
    dispatcher.run_batch([*reported, AttemptFinished("j", "w", Outcome.FULL)])
    assert counters.counts[f"attempts_{outcome.name.lower()}"] == 1
    (answer,) = [call.args[0] for call in responder.answer.call_args_list]
    assert answer.status is (AnswerStatus.FAILED if reported else AnswerStatus.REJECTED)


@pytest.mark.parametrize("unread", [b"", b"x"])
def test_disconnect_is_visible_on_the_connection(unread: bytes) -> None:
    """It must also be visible while data of the client is still unread."""

    async def scene() -> None:
        async with listener_harness() as at:
            client_request = ClientRequest(at.connection, "j")
            await at.client.send(REQUEST_BYTES)
            await at.request_received.wait()
            assert not client_request.has_disconnected()
            at.client._sock.send(b"y" + unread)  # type: ignore[attr-defined]  # no task runs in between
            assert not client_request.has_disconnected()
            at.client._sock.send(unread)  # type: ignore[attr-defined]
            at.client.close()
            assert client_request.has_disconnected()

    run_scenario(scene)


async def answer_no_job(server: FakeServer, request: Request) -> Response | None:
    """Never answer a job; answer everything else with 200."""
    if request.method == "POST":
        await trio.sleep_forever()
    return Response(200)


def test_nothing_is_sent_for_a_client_that_disconnects_while_connecting(tmp_path: Path) -> None:
    """The new connection, which the request does not need any more, is kept for other requests."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as at:
            server, is_connected = at.add_server("s"), True
            server.sock.listen(8)
            pool = ConnectionPool(LIMITS, Counters())
            pool.update_endpoints("all", [ServiceEntry("s", server.addr)])
            get_connection = pool._connection

            async def disconnect_meanwhile(pooled_server: object, in_quarantine: bool) -> object:
                nonlocal is_connected
                connection = await get_connection(pooled_server, in_quarantine)  # type: ignore[arg-type]
                is_connected = False
                return connection

            pool._connection = disconnect_meanwhile  # type: ignore[method-assign,assignment]

            def check_before_sending() -> list[tuple[str, str]]:
                if not is_connected:
                    raise AttemptWithheldError("its client has left")
                return []

            with pytest.raises(AttemptWithheldError):
                await pool.exchange("s", OutgoingRequest("POST", "/", [], b"x", check_before_sending))
            assert not server.received and len(pool.servers["s"].idle_connections) == 1

    run_scenario(scene)


def test_attempt_cancelled_before_its_202_is_deleted(tmp_path: Path) -> None:
    """The 202 may have crossed the close; the server has then accepted the job and would run it."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as at:
            server = at.add_server("s", behaviour=answer_no_job)
            await at.start()
            client = trio.socket.socket()
            await client.connect(("127.0.0.2", at.port))
            head = "".join(f"{name}: {value}\r\n" for name, value in admission_headers("j"))
            await client.send(f"POST /admit HTTP/1.1\r\nhost: n\r\n{head}content-length: 0\r\n\r\n".encode())
            await wait_until(lambda: bool(server.targets()))
            client.close()
            await wait_until(lambda: server.targets("DELETE") == ["/jobs/j"])

    run_scenario(scene)


# Servers that send an answer twice.


def answers_twice(answer: bytes, late: float) -> Callable[[trio.SocketStream], object]:
    """Return a server that sends each answer twice; the second one ``late`` seconds after the first."""

    async def serve(stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            while await stream.receive_some(4096):
                await stream.send_all(answer + (b"" if late else answer))
                if late:
                    await trio.sleep(late)
                    await stream.send_all(answer)

    return serve


ANSWERS = {
    "refusal": b"HTTP/1.1 503 No\r\nx-not-processed: 1\r\ncontent-length: 0\r\n\r\n",
    "taken": b"HTTP/1.1 202 Yes\r\ncontent-length: 0\r\n\r\n",
    "probe": b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    "error": b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n",
}


@pytest.mark.parametrize("answer", ANSWERS)
@pytest.mark.parametrize("late", [0.0, 0.01])
def test_second_answer_is_not_used_for_the_next_request(late: float, answer: str) -> None:
    """Otherwise an accepted job could be treated as one that never ran, and be sent again."""

    async def scene() -> None:
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, answers_twice(ANSWERS[answer], late), 0)
                _host, port = listeners[0].socket.getsockname()[:2]
                counters = Counters()
                pool = ConnectionPool(LIMITS, counters)
                pool.update_endpoints("all", [ServiceEntry("s", f"127.0.0.1:{port}")])
                first = await pool.exchange("s", OutgoingRequest("POST", "/", [], b"x"))
                if not late:  # both answers are read at once
                    await trio.sleep(2 * LIMITS.pool_reuse_pause_s)
                assert (
                    await pool.exchange("s", OutgoingRequest("POST", "/", [], b"x"))
                ).status == first.status
                assert counters.counts["server_connections"] == 2  # the second request used a new connection
                # A DELETE may use any connection, but the next job must not use the one of the DELETE.
                await pool.exchange("s", OutgoingRequest("DELETE", "/jobs/x", may_reuse_in_quarantine=True))
                assert counters.counts["server_connections"] == (3 if not late else 2)
                assert (
                    await pool.exchange("s", OutgoingRequest("POST", "/", [], b"x"))
                ).status == first.status
                nursery.cancel_scope.cancel()

    run_scenario(scene)


# Signals.


def test_sigterm_during_the_start_ends_the_node(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A node that misses the signal would serve until it is killed, with requests in progress."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as at:
            at.add_server("s")
            classes = [{**CONF["classes"][0], "deadlineUs": 200_000}]
            monkeypatch.setattr(node_signals, "pending_sigterms", [signal.SIGTERM])
            await node.run(load(at.configure(classes=classes)), Counters())

    run_scenario(scene)


def test_requests_after_the_dispatchers_end_are_answered_and_not_started(tmp_path: Path) -> None:
    """Nobody reads the dispatcher's inbox any more, so a request put into it would get no answer."""

    async def scene() -> None:
        from merlinbay.platform.client_adapter import ClientAdapter

        send, inbox = trio.open_memory_channel[object](9)
        adapter = ClientAdapter(send, Clock(), LIMITS, Counters(), {"admit"}, Log(9))
        adapter.has_ended = True
        head = {name.lower(): value for name, value in admission_headers("j")}
        rejected = await adapter.request(Mock(has_served_request=False), Request("POST", "/admit", head, b""))
        callback = json.dumps({"id": "j", "from": "s", "state": "done"}).encode()
        confirmed = await adapter.request(Mock(), Request("POST", "/v1/job-events", {}, callback))
        assert rejected is not None and rejected.status == 503 and rejected.headers[0][0] == b"retry-after"
        assert (
            confirmed is not None and confirmed.status == 200 and inbox.statistics().current_buffer_used == 0
        )

    run_scenario(scene)
