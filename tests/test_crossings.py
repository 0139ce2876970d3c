"""Two events that meet: closes, departures and second answers at the wrong instant (docs/CROSSINGS.md)."""

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
from merlinbay.http.connection import Connection, Request, Response
from merlinbay.http.pool import ConnectionPool, OutgoingRequest
from merlinbay.http.server import Listener
from merlinbay.log import Log
from merlinbay.platform.client_adapter import ClientRequest
from tests.net import CONF, LIMITS, FakeServer, admission_headers, bind_loopback, node_fixture, run_scenario
from tests.support import settings

ASK = b"POST /admit HTTP/1.1\r\nhost: n\r\ncontent-length: 2\r\n\r\nhi"


# The listener alone: one client, one connection.


@dataclass
class Door:
    """A listener whose requests are answered when the test says so, and one client of it."""

    nursery: trio.Nursery
    limits: object = LIMITS
    asked: list[Connection] = field(default_factory=list)
    left: list[Connection] = field(default_factory=list)
    heard: trio.Event = field(default_factory=trio.Event)
    answer: Response | None = None  # given at once; None: the test answers

    async def open(self, **limits: object) -> None:
        """Let the client in."""
        sock = bind_loopback()
        sock.listen(8)
        self.listener = Listener(self, replace(LIMITS, **limits), Counters(), Log(9))  # type: ignore[arg-type]
        await self.nursery.start(self.listener.serve, trio.socket.from_stdlib_socket(sock))
        self.client = trio.socket.socket()
        await self.client.connect(sock.getsockname())
        await until(lambda: bool(self.listener.connections))
        self.connection = next(iter(self.listener.connections))

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Note it."""
        self.asked.append(connection)
        self.heard.set()
        return self.answer

    def client_disconnected(self, connection: Connection) -> None:
        """Note it."""
        self.left.append(connection)

    async def answered(self) -> bytes:
        """Return all that the client gets, to the end; a reset raises."""
        got = bytearray()  # appending to bytes copies all of them each time: 50 GB for an answer of 20 MB
        while data := await self.client.recv(4096):
            got += data
        return bytes(got)


@asynccontextmanager
async def door(**limits: object) -> AsyncIterator[Door]:
    """Open a door, and close all of it at the end."""
    with trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            at = Door(nursery)
            await at.open(**limits)
            yield at
            nursery.cancel_scope.cancel()


async def until(true: Callable[[], bool]) -> None:
    """Wait until something is true."""
    while not true():
        await trio.sleep(0.005)


@pytest.mark.parametrize("behind", [b"", b"POST /admit HTTP/1.1\r\n", ASK, ASK * 100])
def test_a_client_that_closes_while_it_waits_is_seen_to_go_whatever_it_sent_before(behind: bytes) -> None:
    """Bytes behind the request do not hide the end of its connection."""

    async def scene() -> None:
        async with door() as at:
            await at.client.send(ASK + behind)
            await at.heard.wait()
            at.client.close()
            await until(lambda: bool(at.left))
            await until(lambda: not at.listener.connections)
            assert len(at.asked) == 1

    run_scenario(scene)


def test_what_is_read_behind_an_open_request_has_a_bound() -> None:
    """A client that floods is told so, its request is withdrawn, and its connection ends."""

    async def scene() -> None:
        async with door(read_ahead_bytes=1000) as at:
            await at.client.send(ASK + b"x" * 2000)
            got = await at.answered()
            assert got.startswith(b"HTTP/1.1 400") and at.left == at.asked == [at.connection]

    run_scenario(scene)


def test_bytes_behind_a_request_are_the_next_one(tmp_path: Path) -> None:
    """Read early, it is begun after the first one's answer, and both are answered."""

    async def scene() -> None:
        async with door() as at:
            await at.client.send(ASK)
            await at.heard.wait()
            await at.client.send(ASK)
            await until(lambda: bool(at.connection.stream.h11.trailing_data[0]))
            assert len(at.asked) == 1
            at.connection.respond(Response(200, b"one"))
            await until(lambda: len(at.asked) == 2)
            at.connection.closes_after_response = True
            at.connection.respond(Response(200, b"two"))
            got = await at.answered()
            assert got.count(b"HTTP/1.1 200") == 2 and got.endswith(b"two")

    run_scenario(scene)


@pytest.mark.parametrize("how", ["end_idle", "expire"])
def test_a_request_that_crosses_the_end_of_an_idle_connection_is_answered(how: str) -> None:
    """It comes after the look and before the shutdown; the connection ends with its answer."""

    async def scene() -> None:
        async with door() as at:
            if how == "end_idle":
                assert at.connection.close_if_idle()
            else:
                at.connection.lifetime.expires_at = 0.0
                at.connection.expire()
            at.client._sock.send(ASK[:10])  # type: ignore[attr-defined]  # no task runs in between
            await until(lambda: at.connection.stream.h11.trailing_data[0] == ASK[:10])
            assert at.connection.lifetime.expires_at > trio.current_time()  # it has its own time from now on
            await at.client.send(ASK[10:])
            await at.heard.wait()
            at.connection.closes_after_response = True
            at.connection.respond(Response(200, b"served"))
            assert (await at.answered()).endswith(b"served")

    run_scenario(scene)


def test_a_request_read_after_the_shutdown_is_not_begun() -> None:
    """Nor read: the connection is reset, and the client, which has seen its end, asks elsewhere."""

    async def scene() -> None:
        async with door() as at:
            at.connection.close_gracefully()
            assert await at.client.recv(10) == b""
            await at.client.send(ASK)
            with pytest.raises(OSError):  # the reset
                while True:
                    await at.client.send(ASK)
            await until(lambda: not at.listener.connections)
            assert not at.asked

    run_scenario(scene)


def test_no_close_over_unread_bytes_after_the_last_answer() -> None:
    """A close over them would be a reset, and may overtake the answer."""

    async def scene() -> None:
        async with door(linger_s=5.0) as at:
            await at.client.send(ASK)
            await at.heard.wait()
            at.connection.closes_after_response = True
            at.connection.respond(Response(200, b"last"))
            at.client._sock.send(b"x" * 60_000)  # type: ignore[attr-defined]
            await until(lambda: at.connection.is_closing)
            for _ in range(4):  # a reset would show at the second
                await at.client.send(b"x" * 20_000)
                await trio.testing.wait_all_tasks_blocked(0.01)
            assert (await at.answered()).endswith(b"last")

    run_scenario(scene)


def test_bytes_that_come_while_the_last_answer_is_written_do_not_cut_it_off() -> None:
    """They are no request any more, and no fault either."""

    async def scene() -> None:
        async with door() as at:
            await at.client.send(ASK)
            await at.heard.wait()
            at.connection.closes_after_response = True
            at.connection.respond(Response(200, b"x" * 20_000_000))  # more than the system takes at once
            await until(lambda: at.connection.stream.is_writing)
            await at.client.send(b"x" * 1000)
            await until(lambda: bool(at.connection.stream.h11.trailing_data[0]))
            assert len(await at.answered()) > 20_000_000

    run_scenario(scene)


def test_one_that_is_to_make_room_stays_where_a_request_has_come() -> None:
    """Looked at and closed in one step."""

    async def scene() -> None:
        async with door() as at:
            at.client._sock.send(ASK)  # type: ignore[attr-defined]
            assert not at.connection.close_if_unused()
            await at.heard.wait()
            at.connection.respond(Response(200))
            await at.client.recv(1000)
            await until(lambda: at.connection.is_idle)
            assert at.connection.close_if_unused() and at.connection.stream.raw.fileno() < 0
            await until(lambda: not at.listener.connections)

    run_scenario(scene)


@pytest.mark.parametrize("at_once", [False, True])
def test_a_client_that_takes_no_answer_is_cut_off(at_once: bool) -> None:
    """There is no good order left for it; others wait for its place."""

    async def scene() -> None:
        async with door(write_response_timeout_s=0.05, sweep_interval_s=0.02) as at:
            if at_once:
                at.answer = Response(200, b"x" * 50_000_000)
            await at.client.send(ASK)
            await at.heard.wait()
            at.connection.respond(Response(200, b"x" * 50_000_000))
            await until(lambda: not at.listener.connections)

    run_scenario(scene)


class PacedSocket:
    """A client's connection as the node sees it: one request, and then so many bytes taken a second."""

    def __init__(self, bytes_a_second: int, bytes_in_all: int) -> None:
        self.bytes_a_second, self.bytes_in_all = bytes_a_second, bytes_in_all
        self.taken = 0
        self.request = ASK

    def __enter__(self) -> PacedSocket:
        return self

    def __exit__(self, *exception: object) -> None:
        """Close it."""

    def setsockopt(self, *option: object) -> None:
        """Take any option."""

    def fileno(self) -> int:
        """Return no descriptor, so that nothing polls it."""
        return -1

    def shutdown(self, how: int) -> None:
        """Write no more."""

    async def recv(self, most: int) -> bytes:
        """Return the request once, and then nothing until the connection ends."""
        request, self.request = self.request, b""
        if not request:
            await trio.sleep_forever()
        return request

    async def send(self, data: bytes | memoryview) -> int:
        """Take what is left of this second's share."""
        if self.taken >= self.bytes_in_all:
            await trio.sleep_forever()
        await trio.sleep(1.0)
        count = min(len(data), self.bytes_a_second)
        self.taken += count
        return count


async def serve_paced_client(client: PacedSocket, answer_bytes: int) -> float:
    """Answer the client through a listener; return after how many seconds its connection has ended."""
    async with trio.open_nursery() as nursery:
        here = Door(nursery, answer=Response(200, b"x" * answer_bytes))
        listener = Listener(here, LIMITS, Counters(), Log(9))
        with bind_loopback() as sock:
            sock.listen(1)
            await nursery.start(listener.serve, trio.socket.from_stdlib_socket(sock))
            began = trio.current_time()
            listener.add_connection(client)  # type: ignore[arg-type]
            await until(lambda: bool(listener.connections))
            await until(lambda: not listener.connections)
            nursery.cancel_scope.cancel()
    return trio.current_time() - began


def test_a_client_that_takes_a_little_each_second_gets_its_whole_answer() -> None:
    """The write timeout counts from the last byte taken, so an answer may take longer than it in all."""
    client = PacedSocket(bytes_a_second=1000, bytes_in_all=1_000_000)
    seconds = int(4 * LIMITS.write_response_timeout_s)
    trio.run(serve_paced_client, client, 1000 * seconds, clock=trio.testing.MockClock(autojump_threshold=0))
    assert client.taken > 1000 * seconds


def test_a_client_that_stops_taking_its_answer_is_cut_off_after_the_write_timeout() -> None:
    """Counted from the last byte that it took."""
    client = PacedSocket(bytes_a_second=1000, bytes_in_all=3000)
    ended = trio.run(serve_paced_client, client, 20_000, clock=trio.testing.MockClock(autojump_threshold=0))
    assert client.taken == 3000
    assert (
        3.0 + LIMITS.write_response_timeout_s
        <= ended
        <= 3.0 + LIMITS.write_response_timeout_s + 2 * LIMITS.sweep_interval_s
    )


def test_accepted_connections_hold_nothing_back() -> None:
    """Small writes go out at once, or a reset would take them with it."""

    async def scene() -> None:
        async with door() as at:
            assert at.connection.stream.raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run_scenario(scene)


def test_a_process_that_ends_closes_its_connections_in_good_order() -> None:
    """Those that rest are shut, one whose answer is due gets it."""

    async def scene() -> None:
        async with door() as at:
            await at.client.send(ASK)
            await at.heard.wait()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(at.listener.close_all, 5.0)
                await trio.testing.wait_all_tasks_blocked(0.01)
                at.connection.respond(Response(503))
                got = await at.answered()
                at.client.close()
            assert b"connection: close" in got and not at.listener.connections

    run_scenario(scene)


@pytest.mark.parametrize("calls_back", [False, True])
def test_a_node_that_leaves_keeps_the_connections_on_which_jobs_are_ended(calls_back: bool) -> None:
    """Real servers would have to dial anew for each call-back of the last moments."""

    async def scene() -> None:
        async with door() as at:
            at.connection.carries_callbacks = calls_back
            at.listener.close_idle()
            assert at.connection.is_closing == (not calls_back)
            if calls_back:
                at.listener.close_idle(including_callbacks=True)
                assert at.connection.is_closing

    run_scenario(scene)


# A client that has gone, and the attempts that its request would still get.


class Leaver(Responder):
    """A client that has left though nobody has said so."""

    def __init__(self, left: bool) -> None:
        self.is_left, self.answers = left, 0

    def answer(self, answer: Answer) -> None:
        """Count it."""
        self.answers += 1

    def has_disconnected(self) -> bool:
        """Tell what the test says."""
        return self.is_left


@pytest.mark.parametrize("left", [False, True])
def test_no_attempt_begins_for_a_client_that_has_left(left: bool) -> None:
    """The word of it may still wait behind others; the look before the attempt counts."""
    servers, clock, counters = Mock(), Mock(), Counters()
    clock.now_us.return_value = 1_000_000
    made = Balancer(settings(balancers=1), 1, 0)
    made.handle(0, [EndpointsChanged("all", [EndpointEntry("w", "a", "k1")])])
    dispatcher, responder = Dispatcher(made, clock, LIMITS, counters, Log(9), servers, Mock()), Leaver(left)
    dispatcher.run_batch([RequestArrived(RequestSpec("j", "safe", 1_000_000, 2_000_000), responder)])
    assert servers.start.call_count == (not left) and responder.answers == 0
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
def test_a_node_that_stops_cuts_an_attempt_short_and_sends_no_other(
    job_class: str, group: str, verdict: AnswerStatus
) -> None:
    """The dispatcher's deadline is earlier than the module's, which would send the job again."""
    servers, clock, responder = Mock(), Mock(), Mock()
    responder.has_disconnected.return_value = False
    clock.now_us.return_value = 1_000_000
    conf = settings(balancers=1)
    conf.classes[1].group = group
    made = Balancer(conf, 1, 0)
    made.handle(
        0, [EndpointsChanged("all", [EndpointEntry(f"w{n}", "a", f"k{n % 2 + 1}") for n in range(4)])]
    )
    dispatcher = Dispatcher(made, clock, LIMITS, Counters(), Log(9), servers, Mock())
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
def test_the_dispatcher_takes_no_hand_back_after_a_start_or_progress_for_unstarted(
    reported: list[Message], outcome: Outcome
) -> None:
    """Whatever the module makes of it: counters and fronts go by the dispatcher's word."""
    clock, counters, responder = Mock(), Counters(), Mock()
    responder.has_disconnected.return_value = False
    clock.now_us.return_value = 1_000_000
    made = Balancer(settings(balancers=1), 1, 0)
    made.handle(0, [EndpointsChanged("all", [EndpointEntry("w", "a", "k1")])])
    dispatcher = Dispatcher(made, clock, LIMITS, counters, Log(9), Mock(), Mock())
    dispatcher.run_batch([RequestArrived(RequestSpec("j", "unsafe", 1_000_000, 5_000_000), responder)])
    dispatcher.run_batch([*reported, AttemptFinished("j", "w", Outcome.FULL)])
    assert counters.counts[f"attempts_{outcome.name.lower()}"] == 1
    (answer,) = [call.args[0] for call in responder.answer.call_args_list]
    assert answer.status is (AnswerStatus.FAILED if reported else AnswerStatus.REJECTED)


@pytest.mark.parametrize("unread", [b"", b"x"])
def test_a_connection_shows_that_its_client_has_left(unread: bytes) -> None:
    """Whatever of it is still unread."""

    async def scene() -> None:
        ours, theirs = trio.socket.socketpair()
        client_request = ClientRequest(Mock(sock=ours), "j")
        with ours, theirs:
            await theirs.send(b"y" + unread)
            assert not client_request.has_disconnected()
            theirs.close()
            assert client_request.has_disconnected()

    run_scenario(scene)


async def nothing(server: FakeServer, request: Request) -> Response | None:
    """Say nothing to a job until the stand-in's stage ends; take all else."""
    if request.method == "POST":
        await trio.sleep_forever()
    return Response(200)


def test_a_client_that_leaves_during_the_dial_has_nothing_sent(tmp_path: Path) -> None:
    """The connection that came up too late is kept for others."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as at:
            server, wanted = at.add_server("s"), True
            server.sock.listen(8)
            pool = ConnectionPool(LIMITS, Counters())
            pool.update_endpoints("all", [ServiceEntry("s", server.addr)])
            dial = pool._connection

            async def left(known: object, in_quarantine: bool) -> object:
                nonlocal wanted
                made = await dial(known, in_quarantine)  # type: ignore[arg-type]
                wanted = False
                return made

            pool._connection = left  # type: ignore[method-assign,assignment]

            def check_before_sending() -> list[tuple[str, str]]:
                if not wanted:
                    raise AttemptWithheldError("its client has left")
                return []

            with pytest.raises(AttemptWithheldError):
                await pool.exchange("s", OutgoingRequest("POST", "/", [], b"x", check_before_sending))
            assert not server.received and len(pool.servers["s"].idle_connections) == 1

    run_scenario(scene)


def test_an_attempt_given_up_before_its_202_is_deleted_too(tmp_path: Path) -> None:
    """The 202 may have crossed the close: the job was taken then, and would run on."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as at:
            server = at.add_server("s", behaviour=nothing)
            await at.start()
            client = trio.socket.socket()
            await client.connect(("127.0.0.2", at.port))
            head = "".join(f"{name}: {value}\r\n" for name, value in admission_headers("j"))
            await client.send(f"POST /admit HTTP/1.1\r\nhost: n\r\n{head}content-length: 0\r\n\r\n".encode())
            await until(lambda: bool(server.targets()))
            client.close()
            await until(lambda: server.targets("DELETE") == ["/jobs/j"])

    run_scenario(scene)


# Answers that come twice.


def twice(answer: bytes, late: float) -> Callable[[trio.SocketStream], object]:
    """Return a server that gives each answer twice."""

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
def test_a_second_answer_never_passes_for_that_of_the_next_request(late: float, answer: str) -> None:
    """A job that was taken would be held for one that never ran, and be sent again."""

    async def scene() -> None:
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, twice(ANSWERS[answer], late), 0)
                _host, port = listeners[0].socket.getsockname()[:2]
                counters = Counters()
                pool = ConnectionPool(LIMITS, counters)
                pool.update_endpoints("all", [ServiceEntry("s", f"127.0.0.1:{port}")])
                first = await pool.exchange("s", OutgoingRequest("POST", "/", [], b"x"))
                if not late:  # both are read at once
                    await trio.sleep(2 * LIMITS.pool_reuse_pause_s)
                assert (
                    await pool.exchange("s", OutgoingRequest("POST", "/", [], b"x"))
                ).status == first.status
                assert counters.counts["server_connections"] == 2  # on a connection of its own
                # A give-up takes any connection, but the next job not the one that it used.
                await pool.exchange("s", OutgoingRequest("DELETE", "/jobs/x", may_reuse_in_quarantine=True))
                assert counters.counts["server_connections"] == (3 if not late else 2)
                assert (
                    await pool.exchange("s", OutgoingRequest("POST", "/", [], b"x"))
                ).status == first.status
                nursery.cancel_scope.cancel()

    run_scenario(scene)


# Signals.


def test_a_node_told_to_end_while_it_starts_ends(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """It would serve until it is killed, with requests under way."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as at:
            at.add_server("s")
            quick = [{**CONF["classes"][0], "deadlineUs": 200_000}]
            monkeypatch.setattr(node_signals, "pending_sigterms", [signal.SIGTERM])
            await node.run(load(at.configure(classes=quick)), Counters())

    run_scenario(scene)


def test_what_crosses_the_exit_is_answered_and_not_begun(tmp_path: Path) -> None:
    """The dispatcher has ended; nobody reads its inbox any more."""

    async def scene() -> None:
        from merlinbay.platform.client_adapter import ClientAdapter

        send, inbox = trio.open_memory_channel[object](9)
        responder = ClientAdapter(send, Clock(), LIMITS, Counters(), {"admit"}, Log(9))
        responder.has_ended = True
        head = {name.lower(): value for name, value in admission_headers("j")}
        refused = await responder.request(
            Mock(has_served_request=False), Request("POST", "/admit", head, b"")
        )
        told = json.dumps({"id": "j", "from": "s", "state": "done"}).encode()
        taken = await responder.request(Mock(), Request("POST", "/v1/job-events", {}, told))
        assert refused is not None and refused.status == 503 and refused.headers[0][0] == b"retry-after"
        assert taken is not None and taken.status == 200 and inbox.statistics().current_buffer_used == 0

    run_scenario(scene)
