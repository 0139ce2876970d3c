"""What a node guarantees its clients.

Every request that was read gets one answer in its time, whatever servers and other clients do, and no attempt
starts for a client that has disconnected.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import sys
import termios
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any
from unittest.mock import Mock

import pytest
import trio
import trio.testing

from merlinbay.clock import Clock
from merlinbay.config import Config, load
from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.dispatcher import Dispatcher
from merlinbay.core.messages import AttemptFinished, Message, RequestArrived
from merlinbay.core.values import RequestSpec
from merlinbay.counters import Counters
from merlinbay.decision import Balancer
from merlinbay.decision.events import EndpointEntry, EndpointsChanged
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.settings import RequestClass
from merlinbay.drmaa.job_client import JobClient
from merlinbay.http.client import ClientConnection
from merlinbay.http.close_reasons import CloseReason
from merlinbay.http.connection import Connection, Request, Response
from merlinbay.http.server import Listener
from merlinbay.http.sockets import has_hung_up
from merlinbay.log import Log
from merlinbay.platform.client_adapter import ClientAdapter
from tests import net
from tests.net import LIMITS, FakeServer, bind_loopback, completes_job, node_fixture, run_scenario
from tests.support import settings
from tests.test_crossings import REQUEST_BYTES, ListenerHarness, listener_harness, wait_until
from tests.test_node import full, silent


def job(name: str, job_class: str = "safe", timeout_ms: int = 2000, headers: str = "") -> bytes:
    """Return a complete request as a client writes it."""
    return (
        f"POST /{job_class} HTTP/1.1\r\nhost: n\r\nx-request-id: {name}\r\nx-priority-class: {job_class}\r\n"
        f"x-timeout-ms: {timeout_ms}\r\nidempotency-key: k-{name}\r\n{headers}content-length: 2\r\n\r\nhi"
    ).encode()


def send_now(client: trio.socket.SocketType, data: bytes) -> None:
    """Write at once, without a switch to another task."""
    assert client._sock.send(data) == len(data)  # type: ignore[attr-defined]


def wait_for_system(condition: Callable[[], bool]) -> None:
    """Wait until the operating system has passed on data or a close, without a switch to another task."""
    end = time.monotonic() + 5
    while not condition():
        assert time.monotonic() < end


def unread_bytes(connection: Connection) -> int:
    """Return how many bytes of a connection have not been read yet."""
    return int.from_bytes(
        fcntl.ioctl(connection.stream.raw.fileno(), termios.FIONREAD, bytes(4)), sys.byteorder
    )


def reset(client: trio.socket.SocketType) -> None:
    """Close a connection by a reset."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


# Every request that was read is answered.


class InterposedSocket:
    """A connection's socket that counts the bytes read, and calls a hook after a write."""

    def __init__(self, inner: trio.socket.SocketType) -> None:
        self.inner, self.bytes_read = inner, 0
        self.after_send: Callable[[], None] = lambda: None

    async def recv(self, max_bytes: int) -> bytes:
        """Read data, and count its bytes."""
        data = await self.inner.recv(max_bytes)
        self.bytes_read += len(data)
        return data

    async def send(self, data: bytes | memoryview) -> int:
        """Write data, and call the hook once before the writer continues."""
        sent = await self.inner.send(data)
        hook, self.after_send = self.after_send, lambda: None
        hook()
        return sent

    def __enter__(self) -> InterposedSocket:
        return self

    def __exit__(self, *exception: object) -> None:
        self.inner.close()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)


def interpose(connection: Connection) -> InterposedSocket:
    """Replace a connection's socket with an ``InterposedSocket`` around it."""
    interposed = InterposedSocket(connection.stream.raw)
    connection.stream.raw = connection.stream.sock = interposed  # type: ignore[assignment]
    connection.stream.plain_socket = None
    return interposed


class ReaderInstrument(trio.abc.Instrument):
    """Calls a function after each step of a connection's reader, when another task could run."""

    def __init__(self, reader: trio.lowlevel.Task, act: Callable[[], object]) -> None:
        self.reader, self.act = reader, act

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Call the function if the task is the reader."""
        if task is self.reader:
            self.act()


class InterferingHarness(ListenerHarness):
    """A harness whose client sends a second request just before the first one is answered."""

    how = ""

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Answer; from the first answer on, try to close the connection after each step of its reader."""
        self.requested.append(connection)
        if len(self.requested) == 1:
            send_now(self.client, REQUEST_BYTES)
            wait_for_system(lambda: unread_bytes(connection) == len(REQUEST_BYTES))
            trio.lowlevel.add_instrument(ReaderInstrument(trio.lowlevel.current_task(), self.try_to_close))
        return Response(200, b"served")

    def try_to_close(self) -> None:
        """Try to close the connection if it has no request in progress."""
        if not self.connection.has_request_in_progress:
            if self.how == "make_room":
                self.listener._make_room()
            else:
                getattr(self.connection, self.how)()


@pytest.mark.parametrize("how", ["close_if_idle", "close_if_unused", "expire", "make_room"])
@pytest.mark.parametrize("at_once", [10, 32 * 1024])
def test_request_that_arrives_while_its_connection_is_being_closed_is_answered(
    how: str, at_once: int
) -> None:
    """Tasks that run between the reader's steps must not close a connection with unprocessed data."""

    async def scene() -> None:
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                at = InterferingHarness(nursery)
                at.how = how
                await at.open(evict_idle_after_s=-1.0, receive_bytes=at_once)
                await at.client.send(REQUEST_BYTES)
                received = await at.answered()
                assert received.count(b"HTTP/1.1 200") == 2 and received.endswith(b"served")
                nursery.cancel_scope.cancel()

    run_scenario(scene)


@pytest.mark.parametrize("how", ["expire", "close_if_unused"])
def test_request_that_is_complete_but_unread_at_the_time_limit_is_answered(how: str) -> None:
    """The rest has arrived, but is unread when the time limit expires or the connection could be evicted."""

    async def scene() -> None:
        async with listener_harness() as at:
            await at.client.send(REQUEST_BYTES[:10])
            await wait_until(lambda: at.connection.is_receiving_request)
            send_now(at.client, REQUEST_BYTES[10:])
            wait_for_system(lambda: unread_bytes(at.connection) == len(REQUEST_BYTES) - 10)
            if how == "expire":
                at.connection.expire()
            else:
                assert not at.connection.close_if_unused()
            await at.request_received.wait()
            at.connection.respond(Response(200, b"served"))
            assert (await at.client.recv(1000)).endswith(b"served")
            if how == "expire":  # the connection ends after the answer
                assert await at.client.recv(1000) == b""

    run_scenario(scene)


@pytest.mark.parametrize("body", [60_000, 65_536])
def test_large_request_that_is_complete_at_the_time_limit_is_answered(body: int) -> None:
    """Reading the rest takes several reads, none of which waits."""

    async def scene() -> None:
        async with listener_harness(receive_bytes=8192) as at:
            head = f"POST /admit HTTP/1.1\r\nhost: n\r\ncontent-length: {body}\r\n\r\n".encode()
            await at.client.send(head)
            await wait_until(lambda: at.connection.is_receiving_request)
            send_now(at.client, b"x" * body)
            wait_for_system(lambda: unread_bytes(at.connection) == body)
            at.connection.expire()
            await at.request_received.wait()
            assert len(at.requested) == 1

    run_scenario(scene)


def test_incomplete_request_is_cut_off_at_the_time_limit_though_bytes_arrive() -> None:
    """A request that does not become complete in time is not handled, and its connection is closed."""

    async def scene() -> None:
        async with listener_harness(read_request_timeout_s=0.3, sweep_interval_s=0.05) as at:
            with pytest.raises(OSError):
                for byte in REQUEST_BYTES[:-1]:
                    await at.client.send(bytes([byte]))
                    await trio.sleep(0.02)
            await wait_until(lambda: not at.listener.connections)
            assert not at.requested

    run_scenario(scene)


@pytest.mark.parametrize("part", [b"", REQUEST_BYTES[:-1]])
def test_nothing_is_read_from_a_connection_that_was_closed_without_an_answer(part: bytes) -> None:
    """A request that crosses the close is reset unread, so its client can safely send it again."""

    async def scene() -> None:
        async with listener_harness() as at:
            if part:
                await at.client.send(part)
                await wait_until(lambda: at.connection.is_receiving_request)
            interposed = interpose(at.connection)
            at.connection.close_gracefully(CloseReason.DRAINED)
            assert await at.client.recv(10) == b""
            send_now(at.client, REQUEST_BYTES[len(part) :])
            await wait_until(lambda: not at.listener.connections)
            with pytest.raises(OSError):
                while True:
                    await at.client.send(REQUEST_BYTES)
            assert not interposed.bytes_read and not at.requested

    run_scenario(scene)


def test_later_request_has_its_full_time_limit_from_its_first_byte() -> None:
    """The idle timeout of the connection must not cut off a request that has begun to arrive."""

    async def scene() -> None:
        async with listener_harness(read_request_timeout_s=5.0, sweep_interval_s=0.02) as at:
            await at.client.send(REQUEST_BYTES)
            await at.request_received.wait()
            at.connection.respond(Response(200))
            await at.client.recv(1000)
            await wait_until(lambda: at.connection.is_idle)
            at.connection.lifetime.expires_at = trio.current_time() + 0.1  # it has been idle for long
            await at.client.send(REQUEST_BYTES[:10])
            await trio.sleep(0.25)
            await at.client.send(REQUEST_BYTES[10:])
            await wait_until(lambda: len(at.requested) == 2)

    run_scenario(scene)


def test_later_request_that_arrives_too_slowly_is_cut_off() -> None:
    """The time limit of the first request applies, although the idle timeout is much longer."""

    async def scene() -> None:
        async with listener_harness(read_request_timeout_s=0.3, sweep_interval_s=0.05) as at:
            await at.client.send(REQUEST_BYTES)
            await at.request_received.wait()
            at.connection.has_served_request = True
            at.connection.respond(Response(200))
            await at.client.recv(1000)
            await wait_until(lambda: at.connection.is_idle)
            with pytest.raises(OSError):
                for byte in REQUEST_BYTES[:-1]:
                    await at.client.send(bytes([byte]))
                    await trio.sleep(0.02)
            await wait_until(lambda: not at.listener.connections)
            assert len(at.requested) == 1

    run_scenario(scene)


def test_pipelined_request_is_answered_though_connections_are_being_closed() -> None:
    """A connection that must close after its response ends with the answer to the last request read."""

    async def scene() -> None:
        async with listener_harness() as at:
            await at.client.send(REQUEST_BYTES + REQUEST_BYTES)
            await at.request_received.wait()
            at.listener.set_closes_after_response(True)
            at.connection.respond(Response(200, b"one"))
            await wait_until(lambda: len(at.requested) == 2)
            at.connection.respond(Response(200, b"two"))
            received = await at.answered()
            assert received.count(b"HTTP/1.1 200") == 2 and received.endswith(b"two")
            assert received.count(b"connection: close") == 1

    run_scenario(scene)


@pytest.mark.parametrize("behind", [b"\r\n", REQUEST_BYTES])
def test_data_behind_a_last_request_does_not_make_it_fail(behind: bytes) -> None:
    """After a request with ``connection: close``, further data on the connection is ignored."""

    async def scene() -> None:
        async with listener_harness() as at:
            await at.client.send(REQUEST_BYTES.replace(b"host: n", b"host: n\r\nconnection: close") + behind)
            await at.request_received.wait()
            await trio.testing.wait_all_tasks_blocked(0.01)
            assert not at.disconnected
            at.connection.respond(Response(200, b"served"))
            assert (await at.answered()).endswith(b"served") and len(at.requested) == 1

    run_scenario(scene)


class FaultyHarness(ListenerHarness):
    """A harness whose handler raises an exception for every request."""

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Raise an exception."""
        raise RuntimeError("a fault put in by the test")


def test_request_whose_handler_raises_an_exception_is_answered() -> None:
    """The answer is 500; the fault is counted, and other connections continue."""

    async def scene() -> None:
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                at = FaultyHarness(nursery)
                await at.open()
                await at.client.send(REQUEST_BYTES)
                assert (await at.answered()).startswith(b"HTTP/1.1 500")
                at.client.close()
                await wait_until(lambda: not at.listener.connections)
                assert at.listener.counters.counts["edge_connections_faulty"] == 1
                nursery.cancel_scope.cancel()

    run_scenario(scene)


def test_connection_is_not_evicted_while_its_error_response_is_written() -> None:
    """A request that is rejected by its head, such as one that is too large, must get its response."""

    async def scene() -> None:
        async with listener_harness() as at:
            evicted: list[bool] = []
            interpose(at.connection).after_send = lambda: evicted.append(at.connection.close_if_unused())
            await at.client.send(REQUEST_BYTES.replace(b"length: 2", b"length: 60000000"))
            assert (await at.answered()).startswith(b"HTTP/1.1 413") and evicted == [False]

    run_scenario(scene)


class CrossingHarness(ListenerHarness):
    """A harness whose answer crosses the withdrawal of its request."""

    def client_disconnected(self, connection: Connection) -> None:
        """Answer the request although its client is gone."""
        super().client_disconnected(connection)
        connection.respond(Response(200, b"late"))


def test_answer_that_crosses_an_error_response_does_not_truncate_it() -> None:
    """A client that sends too much gets its whole 400, and its connection ends in an orderly way."""

    async def scene() -> None:
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                at = CrossingHarness(nursery)
                await at.open(read_ahead_bytes=1000, linger_s=0.2)
                await at.client.send(REQUEST_BYTES + b"x" * 2000)
                assert (await at.client.recv(4096)).startswith(b"HTTP/1.1 400")
                for _ in range(3):  # after a reset, a send would fail
                    await at.client.send(b"x" * 1000)
                    await trio.sleep(0.02)
                assert await at.client.recv(4096) == b""
                nursery.cancel_scope.cancel()

    run_scenario(scene)


# A dispatcher that the test runs batch by batch, behind a listener and a client adapter.


@dataclass
class ManualNode:
    """A node without the dispatcher's task: messages stay in the inbox until the test calls ``take``."""

    nursery: trio.Nursery
    servers: Mock = field(default_factory=Mock)
    counters: Counters = field(default_factory=Counters)

    async def open(self, inbox: int = 64, effect: str = "repeatable") -> None:
        """Create the parts, and start to listen."""
        self.clock = Clock()
        send, self.inbox = trio.open_memory_channel[Message](inbox)
        classes = [RequestClass("safe", 100_000, 5_000_000, worth=5.0, effect=effect, stretch=2.0)]
        balancer = Balancer(settings(classes=classes, balancers=1), 1, self.clock.now_us())
        endpoints = [EndpointEntry(f"w{number}", "a", "k1") for number in range(4)]
        balancer.handle(self.clock.now_us(), [EndpointsChanged("all", endpoints)])
        self.dispatcher = Dispatcher(
            balancer, self.clock, LIMITS, self.counters, Log(9), self.servers, Mock()
        )
        self.adapter = ClientAdapter(send, self.clock, LIMITS, self.counters, {"safe"}, Log(9))
        self.listener = Listener(self.adapter, LIMITS, self.counters, Log(9))
        sock = bind_loopback()
        sock.listen(8)
        self.address = sock.getsockname()
        await self.nursery.start(self.listener.serve, trio.socket.from_stdlib_socket(sock))

    async def client(self) -> trio.socket.SocketType:
        """Connect a client."""
        client = trio.socket.socket()
        await client.connect(self.address)
        return client

    async def arrived(self, number: int = 1) -> None:
        """Wait until this many messages are in the inbox or wait for space in it."""
        statistics = self.inbox.statistics
        await wait_until(lambda: statistics().current_buffer_used + statistics().tasks_waiting_send >= number)

    def take(self, max_messages: int = 64) -> list[Message]:
        """Run a batch of the dispatcher with up to ``max_messages`` from the inbox, and return them."""
        messages: list[Message] = []
        while len(messages) < max_messages:
            try:
                messages.append(self.inbox.receive_nowait())
            except trio.WouldBlock:
                break
        self.dispatcher.run_batch(messages)
        return messages

    def wait_until_disconnected(self) -> None:
        """Wait until the system reports the client's disconnect, without a switch to another task."""
        connection = next(iter(self.listener.connections))
        wait_for_system(lambda: has_hung_up(connection.stream.raw))

    @property
    def started(self) -> list[ServerAttempt]:
        """Return the attempts that were passed to the server transport."""
        return [call.args[0] for call in self.servers.start.call_args_list]


@asynccontextmanager
async def manual_node(inbox: int = 64, effect: str = "repeatable") -> AsyncIterator[ManualNode]:
    """Start a manual node, and stop it at the end."""
    with trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            node = ManualNode(nursery)
            await node.open(inbox, effect)
            yield node
            nursery.cancel_scope.cancel()


def half_close(client: trio.socket.SocketType) -> None:
    """Close the sending side only."""
    client.shutdown(socket.SHUT_WR)


Disconnect = Callable[[trio.socket.SocketType], None]
DISCONNECTS: list[Disconnect] = [lambda client: client.close(), reset, half_close]
BEHIND = [b"", b"x", job("b"), job("b") * 100]


@pytest.mark.parametrize("leave", DISCONNECTS, ids=["close", "reset", "half_close"])
@pytest.mark.parametrize("behind", BEHIND, ids=["nothing", "a_byte", "a_request", "many"])
def test_no_attempt_starts_for_a_client_that_disconnected_while_its_request_waited(
    leave: Disconnect, behind: bytes
) -> None:
    """The inbox is full, and the dispatcher reads the request before the disconnect was detected."""

    async def scene() -> None:
        async with manual_node(inbox=0) as node:
            client = await node.client()
            await client.send(job("a"))
            await node.arrived()
            send_now(client, behind)
            leave(client)
            node.wait_until_disconnected()
            assert [type(message) for message in node.take()] == [RequestArrived]
            assert not node.started

    run_scenario(scene)


@pytest.mark.parametrize("leave", DISCONNECTS, ids=["close", "reset", "half_close"])
@pytest.mark.parametrize("behind", [*BEHIND, b"x" * 200_000], ids=[*map(len, BEHIND), 200_000])
def test_disconnect_is_detected_while_a_request_waits_for_the_inbox(leave: Disconnect, behind: bytes) -> None:
    """The connection must still be read; otherwise data sent after the request would hide its end."""

    async def scene() -> None:
        async with manual_node(inbox=0) as node:
            client = await node.client()
            await client.send(job("a"))
            await node.arrived()
            await client.send(behind)
            leave(client)
            await wait_until(lambda: not node.adapter.unanswered)
            assert RequestArrived not in map(type, node.take())
            assert not node.started and not len(node.dispatcher.requests)

    run_scenario(scene)


@pytest.mark.parametrize("leave", DISCONNECTS, ids=["close", "reset", "half_close"])
def test_no_retry_starts_for_a_client_that_disconnected_during_the_first_attempt(leave: Disconnect) -> None:
    """The first attempt is returned unstarted before the message about the disconnect arrives."""

    async def scene() -> None:
        async with manual_node() as node:
            client = await node.client()
            await client.send(job("a"))
            await node.arrived()
            node.take()
            assert len(node.started) == 1
            leave(client)
            node.wait_until_disconnected()
            first = node.started[0]
            node.dispatcher.run_batch([AttemptFinished("a", first.server, Outcome.FULL)])
            await trio.testing.wait_all_tasks_blocked(0.05)
            node.dispatcher.run_batch([])
            assert len(node.started) == 1

    run_scenario(scene)


def test_retry_starts_for_a_client_that_stays_connected() -> None:
    """Without this, the test above would also pass if nothing was ever retried."""

    async def scene() -> None:
        async with manual_node() as node:
            client = await node.client()
            await client.send(job("a"))
            await node.arrived()
            node.take()
            node.dispatcher.run_batch([AttemptFinished("a", node.started[0].server, Outcome.FULL)])
            assert len(node.started) == 2
            client.close()

    run_scenario(scene)


@pytest.mark.parametrize("leave", DISCONNECTS, ids=["close", "reset", "half_close"])
def test_pre_send_check_detects_that_the_client_has_disconnected(leave: Disconnect) -> None:
    """The client may disconnect while the attempt connects to its server."""

    async def scene() -> None:
        async with manual_node() as node:
            client = await node.client()
            await client.send(job("a"))
            await node.arrived()
            node.take()
            assert node.started[0].may_begin()
            leave(client)
            node.wait_until_disconnected()
            assert not node.started[0].may_begin()

    run_scenario(scene)


def test_no_attempt_starts_for_a_client_that_has_got_an_error_response() -> None:
    """The client sent too much after its request, got 400 for it, and has not closed yet."""

    async def scene() -> None:
        async with manual_node(inbox=1) as node:
            client = await node.client()
            await client.send(job("a"))
            await node.arrived()
            await client.send(b"x" * (LIMITS.read_ahead_bytes + 1))
            assert (await client.recv(100)).startswith(b"HTTP/1.1 400")
            assert [type(message) for message in node.take(1)] == [RequestArrived]
            assert not node.started
            client.close()

    run_scenario(scene)


def test_connection_is_handed_over_only_without_a_request_in_progress() -> None:
    """So no attempt starts for a client whose connection the other process has."""

    async def scene() -> None:
        async with manual_node() as node:
            client = await node.client()
            await client.send(job("a"))
            await node.arrived()
            handed_over: list[Connection] = []

            def hand_over(connection: Connection) -> bool:
                handed_over.append(connection)
                return True

            node.listener.hand_over(hand_over)
            await trio.testing.wait_all_tasks_blocked(0.01)
            assert not handed_over
            node.take()
            assert len(node.started) == 1
            node.dispatcher.run_batch([AttemptFinished("a", node.started[0].server, Outcome.OK, b"done")])
            assert (await client.recv(1000)).endswith(b"done")
            await wait_until(lambda: bool(handed_over))
            assert len(node.dispatcher.requests) == 0
            client.close()

    run_scenario(scene)


def test_terminated_job_counts_as_disconnected() -> None:
    """The batch front's message about the termination may still wait behind others."""
    batch_job = Mock(ended=False)
    client = JobClient(Mock(), batch_job, RequestSpec("j", "safe", 0, 1))
    assert not client.has_disconnected()
    batch_job.ended = True
    assert client.has_disconnected()


def test_requests_in_the_inbox_are_answered_when_the_dispatcher_ends() -> None:
    """When the dispatcher ends, one request is in its inbox and others wait for space in it."""

    async def scene() -> None:
        async with manual_node(inbox=1) as node:
            clients = [await node.client() for _ in range(3)]
            for name, client in zip("abc", clients, strict=True):
                await client.send(job(name))
                await node.arrived("abc".index(name) + 1)
            node.adapter.end()
            for client in clients:
                received = await client.recv(1000)
                assert received.startswith(b"HTTP/1.1 503") and b"retry-after" in received
                client.close()
            assert not node.started and not node.adapter.unanswered

    run_scenario(scene)


# Deadlines of requests.


def test_deadline_of_a_pipelined_request_counts_from_its_last_byte() -> None:
    """The time for which the request waits for the previous answer must count."""

    async def scene() -> None:
        async with manual_node() as node:
            client = await node.client()
            await client.send(job("a"))
            await node.arrived()
            node.take()
            await client.send(job("b", timeout_ms=900)[:-1])
            await trio.sleep(0.1)
            before = node.clock.now_us()
            await client.send(b"i")
            connection, second_bytes = next(iter(node.listener.connections)), len(job("b", timeout_ms=900))
            await wait_until(lambda: connection.stream.parser.unconsumed_bytes == second_bytes)
            read_by = node.clock.now_us()
            await client.send(job("c")[:20])  # later data behind the request does not belong to it
            await trio.sleep(0.2)
            node.dispatcher.run_batch([AttemptFinished("a", node.started[0].server, Outcome.OK, b"done")])
            await node.arrived()
            (message,) = node.take()
            assert isinstance(message, RequestArrived)
            assert before <= message.spec.arrived_at_us <= read_by
            assert node.started[1].deadline_at_us <= read_by + 900_000 - LIMITS.response_margin_us
            client.close()

    run_scenario(scene)


def test_deadline_counts_from_the_last_byte_and_not_the_first() -> None:
    """A client may write slowly, and the time that it takes to send its request must not count."""

    async def scene() -> None:
        async with manual_node() as node:
            client = await node.client()
            for byte in job("a")[:-1]:
                await client.send(bytes([byte]))
                await trio.testing.wait_all_tasks_blocked()
            await trio.sleep(0.1)
            # There is not one entry for each read.
            assert len(next(iter(node.listener.connections)).stream.reader.reads) <= 1
            before = node.clock.now_us()
            await client.send(b"i")
            await node.arrived()
            (message,) = node.take()
            assert isinstance(message, RequestArrived)
            assert before <= message.spec.arrived_at_us <= node.clock.now_us()
            client.close()

    run_scenario(scene)


# Every request is answered, whatever servers and other clients do.


async def hangs(server: FakeServer, request: Request) -> Response | None:
    """Never answer a job; answer everything else with 200."""
    if request.method == "POST":
        await trio.sleep_forever()
    return Response(200)


async def fails(server: FakeServer, request: Request) -> Response | None:
    """Answer everything with 500."""
    return Response(500)


async def answers_204(server: FakeServer, request: Request) -> Response | None:
    """Answer jobs with a status that the protocol does not define."""
    return Response(204) if request.method == "POST" else Response(200)


async def breaks_off(server: FakeServer, request: Request) -> Response | None:
    """Break the connection before the 202."""
    return None


LATENESS_TOLERANCE_S = 2.0  # an answer may be this much late, because the machine may be busy


@dataclass
class RegularClients:
    """Clients that follow the protocol and expect exactly one answer in time to each request."""

    port: int
    statuses: list[int] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)

    async def ask(self, name: str, timeout_ms: int) -> None:
        """Send one request on a new connection, and record its status or a fault.

        Data after the answer counts as a fault.
        """
        client = trio.socket.socket()
        await client.connect(("127.0.0.2", self.port))
        began = trio.current_time()
        received = b""
        with client, trio.move_on_after(timeout_ms / 1000 + LATENESS_TOLERANCE_S) as scope:
            try:
                await client.send(job(name, "admit", timeout_ms))
                while b"\r\n\r\n" not in received:
                    data = await client.recv(4096)
                    if not data:
                        break
                    received += data
                with trio.move_on_after(0.05):
                    received += await client.recv(4096)
            except OSError as error:
                self.faults.append(f"{name}: {error!r} after {trio.current_time() - began:.3f} s")
                return
        if scope.cancelled_caught or received.count(b"HTTP/1.1 ") != 1:
            self.faults.append(f"{name}: {received!r} after {trio.current_time() - began:.3f} s")
            return
        self.statuses.append(int(received[9:12]))

    async def ask_many(self, count: int, at_once: int, timeout_ms: int) -> None:
        """Send ``count`` requests, ``at_once`` of them at a time."""
        async with trio.open_nursery() as nursery:
            for number in range(at_once):
                nursery.start_soon(self._ask_in_turn, number, count // at_once, timeout_ms)

    async def _ask_in_turn(self, client: int, count: int, timeout_ms: int) -> None:
        for number in range(count):
            await self.ask(f"u-{client}-{number}", timeout_ms)


BAD_INPUTS = [
    b"",
    b"POST /admit HTTP/1.1\r\n",
    job("half", "admit")[:-1],
    b"POST /admit HTTP/1.1\r\nhost: n\r\ncontent-length: 60000000\r\n\r\n" + b"x" * 60_000,
    job("replayed", "admit"),
    job("ahead", "admit") * 50,
    b"nonsense\r\n\r\n" * 100,
    b"GET /-/ready HTTP/1.1\r\nhost: n\r\n\r\n" * 50,
]


async def bad_client(port: int, number: int) -> None:
    """Send data that breaks the protocol, wait briefly, and repeat this until cancelled."""
    while True:
        client = trio.socket.socket()
        with client, trio.move_on_after(0.3):
            try:
                await client.connect(("127.0.0.2", port))
                await client.send(BAD_INPUTS[number % len(BAD_INPUTS)])
                while await client.recv(4096):
                    pass
            except OSError:
                pass
            await trio.sleep(0.05)


Scene = Callable[..., Awaitable[None]]


@pytest.mark.parametrize(
    "plays",
    [
        [hangs],
        [silent],
        [breaks_off],
        [fails],
        [full],
        [answers_204],
        [hangs, silent, breaks_off, fails, completes_job],
    ],
    ids=["hang", "silent", "break", "fail", "full", "nonsense", "all"],
)
def test_each_request_is_answered_once_in_time_whatever_servers_do(
    tmp_path: Path, plays: list[Callable[[FakeServer, Request], Awaitable[Response | None]]]
) -> None:
    """The status may be 200, 429, 500 or 503; one of the listed servers does not exist."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            for number in range(4):
                s.add_server(f"s-{number}", plays[number % len(plays)])
            gone = bind_loopback()
            s.add_server("s-gone", completes_job, addr=f"127.0.0.2:{gone.getsockname()[1]}")
            gone.close()
            await s.start()
            clients = RegularClients(s.port)
            await clients.ask_many(20, 10, 600)
            assert not clients.faults and len(clients.statuses) == 20
            assert set(clients.statuses) <= {200, 429, 500, 503}

    run_scenario(scene)


@pytest.mark.parametrize("sockets", [96, 256])
def test_each_request_is_answered_once_in_time_whatever_other_clients_do(
    tmp_path: Path, sockets: int
) -> None:
    """Hundreds of connections send part of a request, far too much, or the same request repeatedly."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.sockets = sockets
            for number in range(4):
                s.add_server(f"s-{number}")
            await s.start()
            clients = RegularClients(s.port)
            async with trio.open_nursery() as nursery:
                for number in range(200):
                    nursery.start_soon(bad_client, s.port, number)
                await clients.ask_many(20, 5, 2000)
                nursery.cancel_scope.cancel()
            assert not clients.faults and len(clients.statuses) == 20

    run_scenario(scene)


def test_each_request_is_answered_once_in_time_while_discovery_is_down(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A node that knows servers from its configuration answers; one that knows none rejects requests."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.add_server("s-0")

            async def down(server: FakeServer, request: Request) -> Response | None:
                return None

            monkeypatch.setattr(s, "discovery", down)
            await s.start()
            clients = RegularClients(s.port)
            await clients.ask_many(10, 5, 600)
            assert not clients.faults and len(clients.statuses) == 10

    run_scenario(scene)


@pytest.mark.parametrize(
    "limit", ["inbox_messages", "server_tasks", "max_open_requests", "server_connections"]
)
def test_each_request_is_answered_once_in_time_at_the_nodes_limits(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, limit: str
) -> None:
    """With a limit of one, further requests are rejected, fail or wait, but none is left unanswered."""

    def load_limited(environ: dict[str, str]) -> Config:
        config = load(environ)
        changes: dict[str, Any] = {limit: 1}
        return replace(config, limits=replace(config.limits, **changes))

    monkeypatch.setattr(net, "load", load_limited)

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            for number in range(2):
                s.add_server(f"s-{number}")
            await s.start()
            clients = RegularClients(s.port)
            await clients.ask_many(20, 10, 600)
            assert not clients.faults and len(clients.statuses) == 20

    run_scenario(scene)


def test_each_request_is_answered_once_if_the_exchange_raises_an_exception(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A fault in the node's own code ends the task of one exchange."""
    exchange = ClientConnection.exchange

    async def faulty(self: ClientConnection, method: str, target: str, *arguments: Any) -> Any:
        if any(name == "x-request-id" for name, _ in arguments[0]):
            raise RuntimeError("a fault put in by the test")
        return await exchange(self, method, target, *arguments)

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.add_server("s-0")
            await s.start()
            monkeypatch.setattr(ClientConnection, "exchange", faulty)
            clients = RegularClients(s.port)
            await clients.ask_many(4, 4, 400)
            assert not clients.faults and len(clients.statuses) == 4
            assert s.counters.counts["server_tasks_faulty"] > 0

    run_scenario(scene)


# Requests that do not agree with the settings.


@pytest.mark.parametrize(
    ("headers", "status", "line"),
    [
        (
            {"x-priority-class": "other"},
            400,
            "request_bad cause=x-priority-class differs from the path",
        ),
        ({"x-request-id": "a b"}, 400, "request_bad cause=x-request-id"),
        ({}, None, "request_keyless job_class=keyed kept=unrepeated"),
        ({"idempotency-key": "k"}, None, ""),
    ],
)
def test_wrong_header_of_a_request_is_logged_with_its_cause(
    headers: dict[str, str], status: int | None, line: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """One line is logged; the request is answered 400, or treated as one that must not be repeated."""

    async def scene() -> None:
        send, inbox = trio.open_memory_channel[Message](9)
        classes = {"keyed", "other"}
        adapter = ClientAdapter(send, Clock(), LIMITS, Counters(), classes, Log(9), frozenset({"keyed"}))
        request = Request("POST", "/keyed", {"x-request-id": "a", "x-timeout-ms": "900", **headers}, b"")
        response = await adapter.request(Mock(has_served_request=False), request)
        assert (response.status if response is not None else None) == status
        assert inbox.statistics().current_buffer_used == (status is None)

    run_scenario(scene)
    assert capsys.readouterr().err.strip() == (f"merlinbay: {line}" if line else "")
