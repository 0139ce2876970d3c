"""Connects and accepts: sockets on an address of one's own, the handshake, and links that reconnect."""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import trio

from merlinbay.control_service.connection import (
    LENGTH,
    Connection,
    FrameTooLongError,
    Overflow,
    TransportLimits,
    receive_frame,
)
from merlinbay.control_service.sealing import (
    NONCE_BYTES,
    Hello,
    Welcome,
    frame_seal,
    open_greeting,
    seal_greeting,
)
from merlinbay.control_service.traffic import Traffic
from merlinbay.errors import ConfigurationError, parse_address
from merlinbay.fleet.wire import Keys, MessageRejectedError

GREETING_BYTES = 1024
ACCEPT_PAUSE_S = 0.05  # after an accept that failed for want of descriptors
BACKLOG = 1024  # all followers of a relay may come at once


class NotConnectedError(Exception):
    """No connection came up; the text says why."""


@dataclass(slots=True)
class Endpoint:
    """Who a host is on the network: name, role, keys, and the address that its connections come from."""

    name: str
    role: str
    fleet: str
    keys: Keys
    bind: str = ""  # local address of outgoing connections; empty: the system's choice
    limits: TransportLimits = field(default_factory=TransportLimits)
    traffic: Traffic = field(default_factory=lambda: Traffic(""))

    def __post_init__(self) -> None:
        """Count under the role's name unless told otherwise."""
        if not self.traffic.role:
            self.traffic.role = self.role


async def connect(endpoint: Endpoint, target: str, overflow: Overflow) -> Connection:
    """Connect to ``host:port`` and authenticate. Raises ``NotConnectedError``."""
    limits = endpoint.limits
    sock = trio.socket.socket()
    try:
        with trio.fail_after(limits.connect):
            if endpoint.bind:
                await sock.bind((endpoint.bind, 0))
            await sock.connect(parse_address(target))
        sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        stream = trio.SocketStream(sock)
        with trio.fail_after(limits.handshake):
            return await _greet(endpoint, stream, overflow)
    except (
        OSError,
        trio.BrokenResourceError,
        trio.TooSlowError,
        FrameTooLongError,
        ConfigurationError,
    ) as error:
        sock.close()
        raise NotConnectedError(str(error) or type(error).__name__) from None
    except MessageRejectedError as error:
        sock.close()
        endpoint.traffic.connections_refused += 1
        raise NotConnectedError(f"handshake refused: {error}") from None
    except BaseException:
        sock.close()
        raise


async def _greet(endpoint: Endpoint, stream: trio.SocketStream, overflow: Overflow) -> Connection:
    hello = Hello(endpoint.name, endpoint.role, secrets.token_bytes(NONCE_BYTES))
    await _send_greeting(endpoint, stream, hello)
    buffer = bytearray()
    answer = await receive_frame(stream, buffer, GREETING_BYTES)
    if answer is None:
        raise MessageRejectedError("closed by the other side")
    welcome, their_key = open_greeting(endpoint.keys, endpoint.fleet, answer, Welcome)
    if welcome.hello_nonce != hello.nonce:
        raise MessageRejectedError("welcome of another connection")
    outgoing = frame_seal(endpoint.keys.keys[0], b"hello", hello.nonce, welcome.nonce)
    incoming = frame_seal(their_key, b"welcome", hello.nonce, welcome.nonce)
    # The other side trusts the connection from the first good frame on: an empty one proves the key at once.
    proof = outgoing.seal(b"")
    await stream.send_all(LENGTH.pack(len(proof)) + proof)
    endpoint.traffic.connections_opened += 1
    return Connection(
        stream, welcome.name, "", outgoing, incoming, endpoint.limits, endpoint.traffic, overflow
    )


async def _accept_greeting(
    endpoint: Endpoint, stream: trio.SocketStream, overflow: Callable[[str], Overflow]
) -> Connection:
    buffer = bytearray()
    first = await receive_frame(stream, buffer, GREETING_BYTES)
    if first is None:
        raise MessageRejectedError("closed by the other side")
    hello, their_key = open_greeting(endpoint.keys, endpoint.fleet, first, Hello)
    welcome = Welcome(endpoint.name, secrets.token_bytes(NONCE_BYTES), hello.nonce)
    await _send_greeting(endpoint, stream, welcome)
    outgoing = frame_seal(endpoint.keys.keys[0], b"welcome", hello.nonce, welcome.nonce)
    incoming = frame_seal(their_key, b"hello", hello.nonce, welcome.nonce)
    proof = await receive_frame(stream, buffer, GREETING_BYTES)
    if proof is None or incoming.open(proof):
        raise MessageRejectedError("no proof of the key")
    endpoint.traffic.connections_opened += 1
    connection = Connection(
        stream,
        hello.name,
        hello.role,
        outgoing,
        incoming,
        endpoint.limits,
        endpoint.traffic,
        overflow(hello.role),
    )
    connection.unread(buffer)
    return connection


async def _send_greeting(endpoint: Endpoint, stream: trio.SocketStream, greeting: Hello | Welcome) -> None:
    content = seal_greeting(endpoint.keys, endpoint.fleet, greeting)
    await stream.send_all(LENGTH.pack(len(content)) + content)


async def listen_at(target: str) -> trio.socket.SocketType:
    """Return a listening socket. Raises ``OSError``, ``ConfigurationError``."""
    sock = trio.socket.socket()
    try:
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        await sock.bind(parse_address(target))
        sock.listen(BACKLOG)
    except BaseException:
        sock.close()
        raise
    return sock


class Acceptor:
    """Accepts connections and has each served by ``serve`` until that returns."""

    def __init__(
        self,
        endpoint: Endpoint,
        overflow: Callable[[str], Overflow],
        serve: Callable[[Connection], Awaitable[None]],
    ) -> None:
        self.endpoint, self.overflow, self.serve = endpoint, overflow, serve
        self.open = 0

    async def run(self, listening: trio.socket.SocketType) -> None:
        """Accept until cancelled."""
        with listening:
            async with trio.open_nursery() as nursery:
                while True:
                    try:
                        sock, _ = await listening.accept()
                    except OSError:
                        await trio.sleep(ACCEPT_PAUSE_S)
                        continue
                    if self.open >= self.endpoint.limits.connections:
                        sock.close()
                        self.endpoint.traffic.connections_refused += 1
                        continue
                    self.open += 1
                    nursery.start_soon(self._serve, sock)

    async def _serve(self, sock: trio.socket.SocketType) -> None:
        try:
            with sock:
                connection = await self._handshake(sock)
                if connection is not None:
                    await self.serve(connection)
        finally:
            self.open -= 1

    async def _handshake(self, sock: trio.socket.SocketType) -> Connection | None:
        try:
            sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
            with trio.fail_after(self.endpoint.limits.handshake):
                stream = trio.SocketStream(sock)
                return await _accept_greeting(self.endpoint, stream, self.overflow)
        except (
            OSError,
            trio.BrokenResourceError,
            trio.TooSlowError,
            MessageRejectedError,
            FrameTooLongError,
        ):
            self.endpoint.traffic.connections_refused += 1
            return None


@dataclass(slots=True)
class Backoff:
    """Waits between attempts: doubled after each failure, drawn from the upper half so that many spread."""

    limits: TransportLimits
    random: Random
    failures: int = 0

    def next(self) -> float:
        """Return the next wait."""
        longest = min(self.limits.backoff_first * 2.0**self.failures, self.limits.backoff_most)
        self.failures = min(self.failures + 1, 16)
        return longest * (0.5 + self.random.random() / 2)

    def reset(self) -> None:
        """Start over after a connection that came up."""
        self.failures = 0


class Link:
    """A connection to one peer that is opened again whenever it ends."""

    def __init__(self, endpoint: Endpoint, target: Callable[[], str], random: Random) -> None:
        self.endpoint, self.target = endpoint, target
        self.connection: Connection | None = None
        self._backoff = Backoff(endpoint.limits, random)

    def send(self, message: bytes) -> None:
        """Send a message if connected; else it is lost."""
        if self.connection is None:
            self.endpoint.traffic.messages_dropped += 1
        else:
            self.connection.send(message)

    async def run(self) -> None:
        """Keep connected until cancelled."""
        while True:
            try:
                connection = await connect(self.endpoint, self.target(), Overflow.DROP_OLDEST)
            except NotConnectedError:
                await trio.sleep(self._backoff.next())
                continue
            self.connection, opened = connection, trio.current_time()
            try:
                await connection.run()
            finally:
                self.connection = None
            if trio.current_time() - opened > self.endpoint.limits.backoff_most:
                self._backoff.reset()
            await trio.sleep(self._backoff.next())
