"""Reads the socket of a connection and records when bytes were read."""

from __future__ import annotations

import socket
from collections import deque

import trio

from merlinbay.http.sockets import StreamSocket

MAX_RECORDED_READS = 256


class SocketReader:
    """Reads one socket. Times are on trio's clock."""

    def __init__(self) -> None:
        # Whether the last read returned without waiting, so that no other task has run since then.
        self._has_read_without_wait = False
        self._received_bytes = 0  # total number of bytes received
        self.reads: deque[tuple[int, float]] = deque()  # total bytes received after each read, and its time

    async def receive(self, sock: StreamSocket, plain_socket: socket.socket | None, max_bytes: int) -> bytes:
        """Read bytes, from the plain socket if there is one. Returns no bytes at the end of the stream."""
        if plain_socket is None:
            data = await sock.recv(max_bytes)
        else:
            data = await self._receive_plain(plain_socket, max_bytes)
        self._record(data)
        return data

    def receive_now(self, plain_socket: socket.socket, max_bytes: int) -> bytes | None:
        """Read bytes without waiting. Returns None if there are none, and no bytes at the end of the stream.

        Raises ``OSError``.
        """
        try:
            data = plain_socket.recv(max_bytes)
        except BlockingIOError:
            return None
        self._record(data)
        return data

    def _record(self, data: bytes) -> None:
        """Record when bytes were read."""
        self._received_bytes += len(data)
        if len(self.reads) < MAX_RECORDED_READS:
            self.reads.append((self._received_bytes, trio.current_time()))
        else:  # A client may write byte by byte: the last reads count from the first of them.
            self.reads[-1] = (self._received_bytes, self.reads[-1][1])

    async def _receive_plain(self, plain_socket: socket.socket, max_bytes: int) -> bytes:
        # Returns the bytes without a checkpoint after the read. A read by trio that succeeds at once lets
        # other tasks run before it returns, and one of them may close the connection as idle although a
        # whole request was read. Here the other tasks run before the next read instead.
        if self._has_read_without_wait:
            # Resets the flag first: if the checkpoint is cancelled, the next read has none.
            self._has_read_without_wait = False
            await trio.lowlevel.checkpoint()
        self._has_read_without_wait = True
        while True:
            try:
                return plain_socket.recv(max_bytes)
            except BlockingIOError:
                self._has_read_without_wait = False
                await trio.lowlevel.wait_readable(plain_socket)

    def forget_reads(self) -> None:
        """Forget when earlier bytes were read: all were consumed, or belong to no complete request."""
        self.reads.clear()

    def when_read(self, unconsumed_bytes: int) -> float:
        """Return when the last consumed byte was read, given the number of unconsumed bytes after it."""
        end = self._received_bytes - unconsumed_bytes
        while self.reads[0][0] < end:
            self.reads.popleft()
        return self.reads[0][1]
