"""The bytes of one accepted connection, and the state of HTTP/1.1 on it."""

from __future__ import annotations

import re
import socket
from collections.abc import Awaitable, Callable

import h11
import trio

from merlinbay.http.lifetime import ConnectionLifetime
from merlinbay.http.messages import Response, encode_response
from merlinbay.http.socket_reader import SocketReader
from merlinbay.http.sockets import StreamSocket, send_all
from merlinbay.limits import ResourceLimits

HEAD_END = re.compile(rb"\n\r?\n")

PrepareSocket = Callable[[trio.socket.SocketType], Awaitable[StreamSocket]]
"""Makes what an accepted connection is read and written by, such as a TLS stream."""


class ServerStream:
    """Reads parts of requests, and writes responses; each part that the client takes restarts the timeout."""

    def __init__(
        self,
        sock: trio.socket.SocketType,
        plain_socket: socket.socket | None,
        limits: ResourceLimits,
        lifetime: ConnectionLifetime,
    ) -> None:
        self.raw, self.limits, self.lifetime = sock, limits, lifetime
        self.plain_socket = plain_socket  # beneath ``raw``, to be read without a checkpoint after the read
        self.sock: StreamSocket = sock  # what is read and written: ``raw``, or what was prepared from it
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.head_bytes)
        self.is_head_request = False  # the response to HEAD has no body
        self.is_writing = False
        self.reader = SocketReader(limits.receive_bytes)

    @property
    def is_between_requests(self) -> bool:
        """Whether no part of a request was read."""
        return self.h11.their_state is h11.IDLE and not self.unconsumed

    @property
    def is_within_request(self) -> bool:
        """Whether a part of a request was read and not yet the rest."""
        return self.h11.their_state in (h11.IDLE, h11.SEND_BODY) and not self.is_between_requests

    @property
    def has_sent_last_response(self) -> bool:
        """Whether the last response of the connection is written, or being written."""
        return self.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE, h11.DONE)

    @property
    def may_respond(self) -> bool:
        """Whether no response to the current request was begun."""
        return self.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def unconsumed(self) -> bytes:
        """What was read behind the current request."""
        return bytes(self.h11.trailing_data[0])

    @property
    def has_head_behind(self) -> bool:
        """Whether the head of another request was read behind the current one."""
        return HEAD_END.search(self.unconsumed) is not None

    def start_next_cycle(self) -> bool:
        """Make ready for the next request; tell whether there can be one."""
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
            return True
        return False

    async def prepare(self, prepare_socket: PrepareSocket) -> None:
        """Prepare the socket."""
        self.sock = await prepare_socket(self.raw)

    async def receive(self) -> bytes:
        """Read some bytes; none at the end of the stream."""
        plain_socket = self.plain_socket if self.sock is self.raw else None
        return await self.reader.receive(self.sock, plain_socket)

    def forget_reads(self) -> None:
        """Forget when bytes were read: none of them is the last one of what is to come."""
        self.reader.forget_reads()

    def when_request_read(self) -> float:
        """Return when the last byte of the request that has just ended was read."""
        return self.reader.when_read(len(self.unconsumed))

    async def write_response(self, response: Response, close: bool) -> None:
        """Write a response; with ``close`` it says that it is the connection's last."""
        await self._write(encode_response(self.h11, response, close, self.is_head_request))

    async def write_continue(self) -> None:
        """Write 100, for which the client waits before it sends a body."""
        await self._write(self.h11.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")

    async def _write(self, data: bytes) -> None:
        self.is_writing = True
        await send_all(self.sock, data, self.lifetime.begin_write)
        self.is_writing = False

    async def linger(self) -> None:
        """Shut the sending side down, and let the client close."""
        # Guards against a reset that overtakes the last response, as a close over unread bytes would send
        # one: what still comes is read and dropped, for a moment, and not much of it, since a client that
        # sends at full speed would take the processor from the others.
        self.sock.shutdown(trio.socket.SHUT_WR)
        remaining_bytes = self.limits.linger_bytes
        with trio.move_on_after(self.limits.linger_s):
            while remaining_bytes > 0 and (data := await self.sock.recv(self.limits.receive_bytes)):
                remaining_bytes -= len(data)
