"""What a node owes its clients: no attempt once they have left, an answer to all that was read, in time."""

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
from merlinbay.http.connection import Connection, Request, Response
from merlinbay.http.server import Listener
from merlinbay.http.sockets import has_hung_up
from merlinbay.log import Log
from merlinbay.platform.client_adapter import ClientAdapter
from tests import net
from tests.net import LIMITS, FakeServer, bind_loopback, completes_job, node_fixture, run_scenario
from tests.support import settings
from tests.test_crossings import ASK, Door, door, until
from tests.test_node import full, silent


def job(name: str, job_class: str = "safe", timeout_ms: int = 2000, more: str = "") -> bytes:
    """Return a whole request as a client writes it."""
    return (
        f"POST /{job_class} HTTP/1.1\r\nhost: n\r\nx-request-id: {name}\r\nx-priority-class: {job_class}\r\n"
        f"x-timeout-ms: {timeout_ms}\r\nidempotency-key: k-{name}\r\n{more}content-length: 2\r\n\r\nhi"
    ).encode()


def send_now(client: trio.socket.SocketType, data: bytes) -> None:
    """Write at once: no task runs in between."""
    assert client._sock.send(data) == len(data)  # type: ignore[attr-defined]


def wait_for_system(true: Callable[[], bool]) -> None:
    """Wait until the system has passed on what was written or closed: no task runs in between."""
    end = time.monotonic() + 5
    while not true():
        assert time.monotonic() < end


def unread(connection: Connection) -> int:
    """Return how many bytes of a connection nobody has read yet."""
    return int.from_bytes(
        fcntl.ioctl(connection.stream.raw.fileno(), termios.FIONREAD, bytes(4)), sys.byteorder
    )


def reset(client: trio.socket.SocketType) -> None:
    """Close a connection by a reset."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


# A request that was read is answered.


class InterposedSocket:
    """A connection's socket that counts what is read, and whose writes let others run before they return."""

    def __init__(self, inner: trio.socket.SocketType) -> None:
        self.inner, self.bytes_read = inner, 0
        self.after_send: Callable[[], None] = lambda: None

    async def recv(self, most: int) -> bytes:
        """Read some, and count it."""
        data = await self.inner.recv(most)
        self.bytes_read += len(data)
        return data

    async def send(self, data: bytes | memoryview) -> int:
        """Write some, and have something else happen before the writer goes on."""
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
    """Put such a socket under a connection."""
    interposed = InterposedSocket(connection.stream.raw)
    connection.stream.raw = connection.stream.sock = interposed  # type: ignore[assignment]
    connection.stream.plain_socket = None
    return interposed


class Meddler(trio.abc.Instrument):
    """Has something happen after each step of a connection's reader, as another task may."""

    def __init__(self, reader: trio.lowlevel.Task, act: Callable[[], object]) -> None:
        self.reader, self.act = reader, act

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Act after the reader's steps."""
        if task is self.reader:
            self.act()


class MeddledDoor(Door):
    """A listener whose client's second request is there as the first is answered."""

    how = ""

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Answer; from the first answer on, try to end the connection after each step."""
        self.asked.append(connection)
        if len(self.asked) == 1:
            send_now(self.client, ASK)
            wait_for_system(lambda: unread(connection) == len(ASK))
            trio.lowlevel.add_instrument(Meddler(trio.lowlevel.current_task(), self.meddle))
        return Response(200, b"served")

    def meddle(self) -> None:
        """Try to end the connection where it carries no request."""
        if not self.connection.has_request_in_progress:
            if self.how == "make_room":
                self.listener._make_room()
            else:
                getattr(self.connection, self.how)()


@pytest.mark.parametrize("how", ["close_if_idle", "close_if_unused", "expire", "make_room"])
@pytest.mark.parametrize("at_once", [10, 32 * 1024])
def test_a_request_that_is_read_as_its_connection_is_to_end_is_answered(how: str, at_once: int) -> None:
    """Others that run between its reader's steps never meet bytes that nobody has looked at."""

    async def scene() -> None:
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                at = MeddledDoor(nursery)
                at.how = how
                await at.open(evict_idle_after_s=-1.0, receive_bytes=at_once)
                await at.client.send(ASK)
                got = await at.answered()
                assert got.count(b"HTTP/1.1 200") == 2 and got.endswith(b"served")
                nursery.cancel_scope.cancel()

    run_scenario(scene)


@pytest.mark.parametrize("how", ["expire", "close_if_unused"])
def test_a_request_whose_rest_has_come_in_time_is_answered(how: str) -> None:
    """The rest is there, unread, as the time for it is over, or as others want the place."""

    async def scene() -> None:
        async with door() as at:
            await at.client.send(ASK[:10])
            await until(lambda: at.connection.is_receiving_request)
            send_now(at.client, ASK[10:])
            wait_for_system(lambda: unread(at.connection) == len(ASK) - 10)
            if how == "expire":
                at.connection.expire()
            else:
                assert not at.connection.close_if_unused()
            await at.heard.wait()
            at.connection.respond(Response(200, b"served"))
            assert (await at.client.recv(1000)).endswith(b"served")
            if how == "expire":  # the end comes after the answer
                assert await at.client.recv(1000) == b""

    run_scenario(scene)


@pytest.mark.parametrize("body", [60_000, 65_536])
def test_a_large_request_whose_rest_has_come_in_time_is_answered(body: int) -> None:
    """It takes several reads, none of which waits."""

    async def scene() -> None:
        async with door(receive_bytes=8192) as at:
            head = f"POST /admit HTTP/1.1\r\nhost: n\r\ncontent-length: {body}\r\n\r\n".encode()
            await at.client.send(head)
            await until(lambda: at.connection.is_receiving_request)
            send_now(at.client, b"x" * body)
            wait_for_system(lambda: unread(at.connection) == body)
            at.connection.expire()
            await at.heard.wait()
            assert len(at.asked) == 1

    run_scenario(scene)


def test_half_a_request_is_cut_off_in_its_time_though_bytes_go_on_coming() -> None:
    """What never becomes whole is not taken: its connection is closed, and its rest is not read."""

    async def scene() -> None:
        async with door(read_request_timeout_s=0.3, sweep_interval_s=0.05) as at:
            with pytest.raises(OSError):
                for byte in ASK[:-1]:
                    await at.client.send(bytes([byte]))
                    await trio.sleep(0.02)
            await until(lambda: not at.listener.connections)
            assert not at.asked

    run_scenario(scene)


@pytest.mark.parametrize("part", [b"", ASK[:-1]])
def test_nothing_is_read_from_a_connection_that_has_ended_without_an_answer(part: bytes) -> None:
    """A request that crosses the end is reset unread: its client sends it once more."""

    async def scene() -> None:
        async with door() as at:
            if part:
                await at.client.send(part)
                await until(lambda: at.connection.is_receiving_request)
            interposed = interpose(at.connection)
            at.connection.close_gracefully()
            assert await at.client.recv(10) == b""
            send_now(at.client, ASK[len(part) :])
            await until(lambda: not at.listener.connections)
            with pytest.raises(OSError):
                while True:
                    await at.client.send(ASK)
            assert not interposed.bytes_read and not at.asked

    run_scenario(scene)


def test_a_request_on_a_kept_connection_has_its_whole_time_from_its_first_byte() -> None:
    """It does not end with the time for which the connection may rest."""

    async def scene() -> None:
        async with door(read_request_timeout_s=5.0, sweep_interval_s=0.02) as at:
            await at.client.send(ASK)
            await at.heard.wait()
            at.connection.respond(Response(200))
            await at.client.recv(1000)
            await until(lambda: at.connection.is_idle)
            at.connection.lifetime.expires_at = trio.current_time() + 0.1  # it has rested for long
            await at.client.send(ASK[:10])
            await trio.sleep(0.25)
            await at.client.send(ASK[10:])
            await until(lambda: len(at.asked) == 2)

    run_scenario(scene)


def test_a_later_request_that_dribbles_in_is_cut_off_in_its_time() -> None:
    """As the first one is, though the connection may rest for much longer."""

    async def scene() -> None:
        async with door(read_request_timeout_s=0.3, sweep_interval_s=0.05) as at:
            await at.client.send(ASK)
            await at.heard.wait()
            at.connection.has_served_request = True
            at.connection.respond(Response(200))
            await at.client.recv(1000)
            await until(lambda: at.connection.is_idle)
            with pytest.raises(OSError):
                for byte in ASK[:-1]:
                    await at.client.send(bytes([byte]))
                    await trio.sleep(0.02)
            await until(lambda: not at.listener.connections)
            assert len(at.asked) == 1

    run_scenario(scene)


def test_a_request_read_behind_another_is_answered_though_clients_are_sent_away_meanwhile() -> None:
    """The connection ends with the last answer to what has been read, not before."""

    async def scene() -> None:
        async with door() as at:
            await at.client.send(ASK + ASK)
            await at.heard.wait()
            at.listener.set_closes_after_response(True)
            at.connection.respond(Response(200, b"one"))
            await until(lambda: len(at.asked) == 2)
            at.connection.respond(Response(200, b"two"))
            got = await at.answered()
            assert got.count(b"HTTP/1.1 200") == 2 and got.endswith(b"two")
            assert got.count(b"connection: close") == 1

    run_scenario(scene)


@pytest.mark.parametrize("behind", [b"\r\n", ASK])
def test_a_last_request_does_not_fail_for_bytes_behind_it(behind: bytes) -> None:
    """It said that it was the last one of its connection; what comes behind it is nothing to it."""

    async def scene() -> None:
        async with door() as at:
            await at.client.send(ASK.replace(b"host: n", b"host: n\r\nconnection: close") + behind)
            await at.heard.wait()
            await trio.testing.wait_all_tasks_blocked(0.01)
            assert not at.left
            at.connection.respond(Response(200, b"served"))
            assert (await at.answered()).endswith(b"served") and len(at.asked) == 1

    run_scenario(scene)


class FaultyDoor(Door):
    """A listener whose handler fails on every request."""

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Fail."""
        raise RuntimeError("a fault put in by the test")


def test_a_request_on_which_the_handler_fails_is_answered() -> None:
    """With 500; the fault is noted, and other connections go on."""

    async def scene() -> None:
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                at = FaultyDoor(nursery)
                await at.open()
                await at.client.send(ASK)
                assert (await at.answered()).startswith(b"HTTP/1.1 500")
                at.client.close()
                await until(lambda: not at.listener.connections)
                assert at.listener.counters.counts["edge_connections_faulty"] == 1
                nursery.cancel_scope.cancel()

    run_scenario(scene)


def test_nobody_is_evicted_while_the_last_words_are_written() -> None:
    """What is refused by its head, or is too large, has an answer as well."""

    async def scene() -> None:
        async with door() as at:
            evicted: list[bool] = []
            interpose(at.connection).after_send = lambda: evicted.append(at.connection.close_if_unused())
            await at.client.send(ASK.replace(b"length: 2", b"length: 60000000"))
            assert (await at.answered()).startswith(b"HTTP/1.1 413") and evicted == [False]

    run_scenario(scene)


class CrossingDoor(Door):
    """A listener whose answer crosses the withdrawal of its request."""

    def client_disconnected(self, connection: Connection) -> None:
        """Answer all the same."""
        super().client_disconnected(connection)
        connection.respond(Response(200, b"late"))


def test_an_answer_that_crosses_the_last_words_does_not_cut_them_off() -> None:
    """A client that floods is told so, whole, and its connection ends in good order."""

    async def scene() -> None:
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                at = CrossingDoor(nursery)
                await at.open(read_ahead_bytes=1000, linger_s=0.2)
                await at.client.send(ASK + b"x" * 2000)
                assert (await at.client.recv(4096)).startswith(b"HTTP/1.1 400")
                for _ in range(3):  # a reset would show
                    await at.client.send(b"x" * 1000)
                    await trio.sleep(0.02)
                assert await at.client.recv(4096) == b""
                nursery.cancel_scope.cancel()

    run_scenario(scene)


# A dispatcher that the test drives by hand, behind a listener and the adapter of the clients' protocol.


@dataclass
class HandDriven:
    """A node without its dispatcher's task: messages stay in the inbox until the test has them taken."""

    nursery: trio.Nursery
    servers: Mock = field(default_factory=Mock)
    counters: Counters = field(default_factory=Counters)

    async def open(self, inbox: int = 64, effect: str = "repeatable") -> None:
        """Listen."""
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
        """Open a client's connection."""
        client = trio.socket.socket()
        await client.connect(self.address)
        return client

    async def arrived(self, number: int = 1) -> None:
        """Wait until so many messages are in the inbox, or on their way into it."""
        statistics = self.inbox.statistics
        await until(lambda: statistics().current_buffer_used + statistics().tasks_waiting_send >= number)

    def take(self, most: int = 64) -> list[Message]:
        """Have the dispatcher take what is in the inbox, so many messages at the most; return them."""
        taken: list[Message] = []
        while len(taken) < most:
            try:
                taken.append(self.inbox.receive_nowait())
            except trio.WouldBlock:
                break
        self.dispatcher.run_batch(taken)
        return taken

    def wait_until_left(self) -> None:
        """Wait until the system has told of the client's end: no task runs in between."""
        connection = next(iter(self.listener.connections))
        wait_for_system(lambda: has_hung_up(connection.stream.raw))

    @property
    def started(self) -> list[ServerAttempt]:
        """Return the attempts that were handed to the servers' side."""
        return [call.args[0] for call in self.servers.start.call_args_list]


@asynccontextmanager
async def hand_driven(inbox: int = 64, effect: str = "repeatable") -> AsyncIterator[HandDriven]:
    """Open such a node, and close all of it at the end."""
    with trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            node = HandDriven(nursery)
            await node.open(inbox, effect)
            yield node
            nursery.cancel_scope.cancel()


def half_close(client: trio.socket.SocketType) -> None:
    """Send no more, but stay."""
    client.shutdown(socket.SHUT_WR)


Leave = Callable[[trio.socket.SocketType], None]
LEAVES: list[Leave] = [lambda client: client.close(), reset, half_close]
BEHIND = [b"", b"x", job("b"), job("b") * 100]


@pytest.mark.parametrize("leave", LEAVES, ids=["close", "reset", "half_close"])
@pytest.mark.parametrize("behind", BEHIND, ids=["nothing", "a_byte", "a_request", "many"])
def test_no_attempt_begins_for_a_client_that_left_while_its_request_waited(
    leave: Leave, behind: bytes
) -> None:
    """The inbox is full, and the dispatcher takes the request before anybody has seen the client leave."""

    async def scene() -> None:
        async with hand_driven(inbox=0) as node:
            client = await node.client()
            await client.send(job("a"))
            await node.arrived()
            send_now(client, behind)
            leave(client)
            node.wait_until_left()
            assert [type(message) for message in node.take()] == [RequestArrived]
            assert not node.started

    run_scenario(scene)


@pytest.mark.parametrize("leave", LEAVES, ids=["close", "reset", "half_close"])
@pytest.mark.parametrize("behind", [*BEHIND, b"x" * 200_000], ids=[*map(len, BEHIND), 200_000])
def test_a_client_that_leaves_is_seen_to_leave_while_its_request_waits_for_the_inbox(
    leave: Leave, behind: bytes
) -> None:
    """Its connection is read on, or what it sent behind its request would hold the end of it back."""

    async def scene() -> None:
        async with hand_driven(inbox=0) as node:
            client = await node.client()
            await client.send(job("a"))
            await node.arrived()
            await client.send(behind)
            leave(client)
            await until(lambda: not node.adapter.unanswered)
            assert RequestArrived not in map(type, node.take())
            assert not node.started and not len(node.dispatcher.requests)

    run_scenario(scene)


@pytest.mark.parametrize("leave", LEAVES, ids=["close", "reset", "half_close"])
def test_no_further_attempt_begins_for_a_client_that_left_during_the_first(leave: Leave) -> None:
    """The first comes back unstarted before the word that the client has left."""

    async def scene() -> None:
        async with hand_driven() as node:
            client = await node.client()
            await client.send(job("a"))
            await node.arrived()
            node.take()
            assert len(node.started) == 1
            leave(client)
            node.wait_until_left()
            first = node.started[0]
            node.dispatcher.run_batch([AttemptFinished("a", first.server, Outcome.FULL)])
            await trio.testing.wait_all_tasks_blocked(0.05)
            node.dispatcher.run_batch([])
            assert len(node.started) == 1

    run_scenario(scene)


def test_a_further_attempt_begins_for_a_client_that_stays() -> None:
    """The test above would pass if nothing was ever tried again."""

    async def scene() -> None:
        async with hand_driven() as node:
            client = await node.client()
            await client.send(job("a"))
            await node.arrived()
            node.take()
            node.dispatcher.run_batch([AttemptFinished("a", node.started[0].server, Outcome.FULL)])
            assert len(node.started) == 2
            client.close()

    run_scenario(scene)


@pytest.mark.parametrize("leave", LEAVES, ids=["close", "reset", "half_close"])
def test_an_attempt_that_is_about_to_write_its_first_byte_sees_that_the_client_left(leave: Leave) -> None:
    """As after a slow dial."""

    async def scene() -> None:
        async with hand_driven() as node:
            client = await node.client()
            await client.send(job("a"))
            await node.arrived()
            node.take()
            assert node.started[0].may_begin()
            leave(client)
            node.wait_until_left()
            assert not node.started[0].may_begin()

    run_scenario(scene)


def test_no_attempt_begins_for_a_client_that_was_told_that_its_request_failed() -> None:
    """It sent too much behind its request, got 400 for it, and has not closed yet."""

    async def scene() -> None:
        async with hand_driven(inbox=1) as node:
            client = await node.client()
            await client.send(job("a"))
            await node.arrived()
            await client.send(b"x" * (LIMITS.read_ahead_bytes + 1))
            assert (await client.recv(100)).startswith(b"HTTP/1.1 400")
            assert [type(message) for message in node.take(1)] == [RequestArrived]
            assert not node.started
            client.close()

    run_scenario(scene)


def test_no_attempt_begins_on_a_connection_that_was_handed_over() -> None:
    """It goes over when no request is under way on it, so nothing is left behind for its client."""

    async def scene() -> None:
        async with hand_driven() as node:
            client = await node.client()
            await client.send(job("a"))
            await node.arrived()
            given: list[Connection] = []

            def give(connection: Connection) -> bool:
                given.append(connection)
                return True

            node.listener.hand_over(give)
            await trio.testing.wait_all_tasks_blocked(0.01)
            assert not given
            node.take()
            assert len(node.started) == 1
            node.dispatcher.run_batch([AttemptFinished("a", node.started[0].server, Outcome.OK, b"done")])
            assert (await client.recv(1000)).endswith(b"done")
            await until(lambda: bool(given))
            assert len(node.dispatcher.requests) == 0
            client.close()

    run_scenario(scene)


def test_no_attempt_begins_for_a_job_that_its_client_has_terminated() -> None:
    """The batch front's word of it may still wait behind others."""
    ended = Mock(ended=False)
    client = JobClient(Mock(), ended, RequestSpec("j", "safe", 0, 1))
    assert not client.has_disconnected()
    ended.ended = True
    assert client.has_disconnected()


def test_the_last_moments_leave_no_request_in_the_inbox_unanswered() -> None:
    """The dispatcher has ended; one request is in its inbox, another on its way into it."""

    async def scene() -> None:
        async with hand_driven(inbox=1) as node:
            clients = [await node.client() for _ in range(3)]
            for name, client in zip("abc", clients, strict=True):
                await client.send(job(name))
                await node.arrived("abc".index(name) + 1)
            node.adapter.end()
            for client in clients:
                got = await client.recv(1000)
                assert got.startswith(b"HTTP/1.1 503") and b"retry-after" in got
                client.close()
            assert not node.started and not node.adapter.unanswered

    run_scenario(scene)


# How long a client waits.


def test_the_deadline_runs_from_when_the_last_byte_was_read() -> None:
    """Of a request that was read behind another one, whose answer it had to wait for."""

    async def scene() -> None:
        async with hand_driven() as node:
            client = await node.client()
            await client.send(job("a"))
            await node.arrived()
            node.take()
            await client.send(job("b", timeout_ms=900)[:-1])
            await trio.sleep(0.1)
            before = node.clock.now_us()
            await client.send(b"i")
            connection = next(iter(node.listener.connections))
            await until(lambda: connection.stream.h11.trailing_data[0] == job("b", timeout_ms=900))
            read_by = node.clock.now_us()
            await client.send(job("c")[:20])  # more behind it, later, is not its last byte
            await trio.sleep(0.2)
            node.dispatcher.run_batch([AttemptFinished("a", node.started[0].server, Outcome.OK, b"done")])
            await node.arrived()
            (message,) = node.take()
            assert isinstance(message, RequestArrived)
            assert before <= message.spec.arrived_at_us <= read_by
            assert node.started[1].deadline_at_us <= read_by + 900_000 - LIMITS.response_margin_us
            client.close()

    run_scenario(scene)


def test_the_deadline_runs_from_the_last_byte_and_not_the_first() -> None:
    """A client may write slowly."""

    async def scene() -> None:
        async with hand_driven() as node:
            client = await node.client()
            for byte in job("a")[:-1]:
                await client.send(bytes([byte]))
                await trio.testing.wait_all_tasks_blocked()
            await trio.sleep(0.1)
            assert (
                len(next(iter(node.listener.connections)).stream.reader.reads) <= 1
            )  # not one for each read
            before = node.clock.now_us()
            await client.send(b"i")
            await node.arrived()
            (message,) = node.take()
            assert isinstance(message, RequestArrived)
            assert before <= message.spec.arrived_at_us <= node.clock.now_us()
            client.close()

    run_scenario(scene)


# Trouble at servers, or with other clients, frees no request of its answer.


async def hangs(server: FakeServer, request: Request) -> Response | None:
    """Take the connection and say nothing."""
    if request.method == "POST":
        await trio.sleep_forever()
    return Response(200)


async def fails(server: FakeServer, request: Request) -> Response | None:
    """Fail every job."""
    return Response(500)


async def nonsense(server: FakeServer, request: Request) -> Response | None:
    """Answer with a status that the protocol does not name."""
    return Response(204) if request.method == "POST" else Response(200)


async def breaks_off(server: FakeServer, request: Request) -> Response | None:
    """Break the connection before the 202."""
    return None


LATEST = 2.0  # seconds after its time at which an answer is still counted as given in it, on a busy machine


@dataclass
class Usual:
    """Usual clients: one request at a time, each with one answer to be had in its time."""

    port: int
    statuses: list[int] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)

    async def ask(self, name: str, timeout_ms: int) -> None:
        """Have one request answered on a connection of its own, and nothing come behind the answer."""
        client = trio.socket.socket()
        await client.connect(("127.0.0.2", self.port))
        began = trio.current_time()
        got = b""
        with client, trio.move_on_after(timeout_ms / 1000 + LATEST) as waiting:
            try:
                await client.send(job(name, "admit", timeout_ms))
                while b"\r\n\r\n" not in got:
                    data = await client.recv(4096)
                    if not data:
                        break
                    got += data
                with trio.move_on_after(0.05):
                    got += await client.recv(4096)
            except OSError as error:
                self.faults.append(f"{name}: {error!r} after {trio.current_time() - began:.3f} s")
                return
        if waiting.cancelled_caught or got.count(b"HTTP/1.1 ") != 1:
            self.faults.append(f"{name}: {got!r} after {trio.current_time() - began:.3f} s")
            return
        self.statuses.append(int(got[9:12]))

    async def ask_many(self, count: int, at_once: int, timeout_ms: int) -> None:
        """Have many requests answered, so many at a time."""
        async with trio.open_nursery() as nursery:
            for number in range(at_once):
                nursery.start_soon(self._ask_in_turn, number, count // at_once, timeout_ms)

    async def _ask_in_turn(self, client: int, count: int, timeout_ms: int) -> None:
        for number in range(count):
            await self.ask(f"u-{client}-{number}", timeout_ms)


BAD = [
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
    """Send something that no usual client does, stay for a moment, and begin anew, for ever."""
    while True:
        client = trio.socket.socket()
        with client, trio.move_on_after(0.3):
            try:
                await client.connect(("127.0.0.2", port))
                await client.send(BAD[number % len(BAD)])
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
        [nonsense],
        [hangs, silent, breaks_off, fails, completes_job],
    ],
    ids=["hang", "silent", "break", "fail", "full", "nonsense", "all"],
)
def test_each_usual_request_has_one_answer_in_its_time_whatever_servers_do(
    tmp_path: Path, plays: list[Callable[[FakeServer, Request], Awaitable[Response | None]]]
) -> None:
    """Of 200, 503 and 500 any; half of the servers have vanished, too."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            for number in range(4):
                s.add_server(f"s-{number}", plays[number % len(plays)])
            gone = bind_loopback()
            s.add_server("s-gone", completes_job, addr=f"127.0.0.2:{gone.getsockname()[1]}")
            gone.close()
            await s.start()
            usual = Usual(s.port)
            await usual.ask_many(20, 10, 600)
            assert not usual.faults and len(usual.statuses) == 20
            assert set(usual.statuses) <= {200, 429, 500, 503}

    run_scenario(scene)


@pytest.mark.parametrize("sockets", [96, 256])
def test_each_usual_request_has_one_answer_in_its_time_whatever_other_clients_do(
    tmp_path: Path, sockets: int
) -> None:
    """Hundreds of connections that send a part, far too much, or the same request again and again."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.sockets = sockets
            for number in range(4):
                s.add_server(f"s-{number}")
            await s.start()
            usual = Usual(s.port)
            async with trio.open_nursery() as nursery:
                for number in range(200):
                    nursery.start_soon(bad_client, s.port, number)
                await usual.ask_many(20, 5, 2000)
                nursery.cancel_scope.cancel()
            assert not usual.faults and len(usual.statuses) == 20

    run_scenario(scene)


def test_each_usual_request_has_one_answer_in_its_time_while_discovery_is_down(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Servers are known from the start; who knows none is refused."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.add_server("s-0")

            async def down(server: FakeServer, request: Request) -> Response | None:
                return None

            monkeypatch.setattr(s, "discovery", down)
            await s.start()
            usual = Usual(s.port)
            await usual.ask_many(10, 5, 600)
            assert not usual.faults and len(usual.statuses) == 10

    run_scenario(scene)


@pytest.mark.parametrize(
    "limit", ["inbox_messages", "server_tasks", "max_open_requests", "server_connections"]
)
def test_each_usual_request_has_one_answer_in_its_time_at_the_nodes_own_limits(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, limit: str
) -> None:
    """One of each: beyond it a request is refused, fails or waits, and is not forgotten."""

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
            usual = Usual(s.port)
            await usual.ask_many(20, 10, 600)
            assert not usual.faults and len(usual.statuses) == 20

    run_scenario(scene)


def test_each_usual_request_has_one_answer_though_the_exchange_with_its_server_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A fault of the node's own, which ends one task."""
    exchange = ClientConnection.exchange

    async def faulty(self: ClientConnection, method: str, target: str, *more: Any) -> Any:
        if any(name == "x-request-id" for name, _ in more[0]):
            raise RuntimeError("a fault put in by the test")
        return await exchange(self, method, target, *more)

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.add_server("s-0")
            await s.start()
            monkeypatch.setattr(ClientConnection, "exchange", faulty)
            usual = Usual(s.port)
            await usual.ask_many(4, 4, 400)
            assert not usual.faults and len(usual.statuses) == 4
            assert s.counters.counts["server_tasks_faulty"] > 0

    run_scenario(scene)


# What a request says against what the settings say.


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
def test_what_a_request_says_wrongly_is_logged_with_its_cause(
    headers: dict[str, str], status: int | None, line: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """One line each; the request is answered 400, or taken as one that is unsafe to repeat."""

    async def scene() -> None:
        send, inbox = trio.open_memory_channel[Message](9)
        classes = {"keyed", "other"}
        adapter = ClientAdapter(send, Clock(), LIMITS, Counters(), classes, Log(9), frozenset({"keyed"}))
        asked = Request("POST", "/keyed", {"x-request-id": "a", "x-timeout-ms": "900", **headers}, b"")
        response = await adapter.request(Mock(has_served_request=False), asked)
        assert (response.status if response is not None else None) == status
        assert inbox.statistics().current_buffer_used == (status is None)

    run_scenario(scene)
    assert capsys.readouterr().err.strip() == (f"merlinbay: {line}" if line else "")
