"""Reads a connection's socket, and records when bytes were read."""

from __future__ import annotations

import socket
from collections import deque

import trio

from merlinbay.http.sockets import StreamSocket


class SocketReader:
    """Reads one socket. Moments are by trio's clock."""

    def __init__(self, receive_bytes: int) -> None:
        self.receive_bytes = receive_bytes  # read at once, at most
        self._has_read_without_wait = False  # the last read did not wait, so other tasks have not run since
        self._received_bytes = 0  # in all
        self.reads: deque[tuple[int, float]] = deque()  # bytes received in all by then, moment

    async def receive(self, sock: StreamSocket, plain_socket: socket.socket | None) -> bytes:
        """Read some bytes, from the plain socket if there is one; none at the end of the stream."""
        if plain_socket is None:
            data = await sock.recv(self.receive_bytes)
        else:
            data = await self._receive_plain(plain_socket)
        self._received_bytes += len(data)
        self.reads.append((self._received_bytes, trio.current_time()))
        return data

    async def _receive_plain(self, plain_socket: socket.socket) -> bytes:
        # Guards against a connection closed as idle over a whole request: where trio's read succeeds at once,
        # it lets other tasks run before the bytes come back. Here they run before the next read instead.
        if self._has_read_without_wait:
            self._has_read_without_wait = False  # cancelled at this checkpoint, it reads without another one
            await trio.lowlevel.checkpoint()
        self._has_read_without_wait = True
        while True:
            try:
                return plain_socket.recv(self.receive_bytes)
            except BlockingIOError:
                self._has_read_without_wait = False
                await trio.lowlevel.wait_readable(plain_socket)

    def forget_reads(self) -> None:
        """Forget when earlier bytes were read: all were consumed, or belong to no whole request."""
        self.reads.clear()

    def when_read(self, unconsumed_bytes: int) -> float:
        """Return when the last byte before so many unconsumed ones was read."""
        end = self._received_bytes - unconsumed_bytes
        while self.reads[0][0] < end:
            self.reads.popleft()
        return self.reads[0][1]
