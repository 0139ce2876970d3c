"""Reading and writing on one accepted connection, and its HTTP/1.1 state.

The connection calls it; errors of the socket and of h11 are raised to the caller.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

import h11
import trio

from merlinbay.http.lifetime import ConnectionLifetime
from merlinbay.http.messages import Response, encode_response
from merlinbay.http.parser import HttpParser
from merlinbay.http.socket_reader import SocketReader
from merlinbay.http.sockets import StreamSocket, send_all
from merlinbay.limits import ResourceLimits

PrepareSocket = Callable[[trio.socket.SocketType], Awaitable[StreamSocket]]
"""Wraps the socket of an accepted connection, for example in a TLS stream."""


class ServerStream:
    """Reads parts of requests and writes responses.

    The timeout of a write starts again after each part that the client has read.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        plain_socket: socket.socket | None,
        limits: ResourceLimits,
        lifetime: ConnectionLifetime,
    ) -> None:
        self.raw, self.limits, self.lifetime = sock, limits, lifetime
        # The socket beneath ``raw``, which can be read without a checkpoint after the read.
        self.plain_socket = plain_socket
        self.sock: StreamSocket = sock  # the stream that is read and written: ``raw``, or a wrapper of it
        self.parser = HttpParser(h11.SERVER, limits)
        self.is_head_request = False  # whether the request is a HEAD, whose response has no body
        self.is_writing = False
        self.reader = SocketReader()

    @property
    def h11(self) -> h11.Connection:
        """The state of the current request and its response."""
        return self.parser.h11

    @property
    def is_between_requests(self) -> bool:
        """Whether no part of a request was read."""
        return self.h11.their_state is h11.IDLE and not self.parser.unconsumed_bytes

    @property
    def is_within_request(self) -> bool:
        """Whether a part of a request was read and the rest is missing."""
        return self.h11.their_state in (h11.IDLE, h11.SEND_BODY) and not self.is_between_requests

    @property
    def has_sent_last_response(self) -> bool:
        """Whether the last response of the connection was written or is being written."""
        return self.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE, h11.DONE)

    @property
    def may_respond(self) -> bool:
        """Whether no response to the current request has been started."""
        return self.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def start_next_cycle(self) -> bool:
        """Prepare for the next request. Return whether the connection can carry one."""
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.parser.start_next_cycle()
            return True
        return False

    async def prepare(self, prepare_socket: PrepareSocket) -> None:
        """Replace the stream with the wrapper that ``prepare_socket`` returns."""
        self.sock = await prepare_socket(self.raw)

    async def receive(self, max_bytes: int) -> bytes:
        """Read some bytes. Returns no bytes at the end of the stream."""
        plain_socket = self.plain_socket if self.sock is self.raw else None
        return await self.reader.receive(self.sock, plain_socket, max_bytes)

    def read_to_end(self, max_bytes: int) -> bool:
        """Read what has arrived, without waiting. Return whether the stream has ended, or exceeds a size.

        A TLS stream cannot be read so, and seems to have nothing more.
        """
        if self.plain_socket is None or self.sock is not self.raw:
            return False
        while self.parser.unconsumed_bytes <= max_bytes:
            try:
                data = self.reader.receive_now(self.plain_socket, self.limits.receive_bytes)
            except OSError:
                return True
            if not data:
                return data is not None
            self.parser.receive(data)
        return True

    def forget_reads(self) -> None:
        """Forget when earlier bytes were read, because none of them ends a request that is still to come."""
        self.reader.forget_reads()

    def when_request_read(self) -> float:
        """Return when the last byte of the request that has just ended was read."""
        return self.reader.when_read(self.parser.unconsumed_bytes)

    async def write_response(self, response: Response, close: bool) -> None:
        """Write a response. With ``close``, it announces that the connection closes after it."""
        await self._write(encode_response(self.h11, response, close, self.is_head_request))

    async def write_continue(self) -> None:
        """Write status 100, which the client waits for before it sends the body."""
        await self._write(self.h11.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")

    async def _write(self, data: bytes) -> None:
        self.is_writing = True
        await send_all(self.sock, data, self.lifetime.begin_write)
        self.is_writing = False

    async def linger(self) -> None:
        """Shut the sending side down, and wait for the client to close."""
        # Reads and drops incoming bytes, because closing with unread bytes sends a reset, which may overtake
        # the last response. Time and amount are limited: a client that sends at full speed would take
        # the processor from the others.
        self.sock.shutdown(trio.socket.SHUT_WR)
        remaining_bytes = self.limits.linger_bytes
        with trio.move_on_after(self.limits.linger_s):
            # The bytes are not kept under a name, which would hold them while the next ones are awaited.
            while remaining_bytes > 0 and (count := len(await self.sock.recv(self.limits.receive_bytes))):
                remaining_bytes -= count
