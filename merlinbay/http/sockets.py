"""The socket interface that connections use, and checks of a socket's state that read no bytes."""

from __future__ import annotations

import select
import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio


class StreamSocket(Protocol):
    """The methods of a socket, or of a TLS stream over one, that a connection uses."""

    def recv(self, max_bytes: int, /) -> Awaitable[bytes]:
        """Read some bytes. Returns no bytes at the end of the stream."""

    def send(self, data: bytes | memoryview, /) -> Awaitable[int]:
        """Write some of the bytes. Return how many were written."""

    def shutdown(self, how: int, /) -> None:
        """Shut down one direction, or both."""

    def fileno(self) -> int:
        """Return the file descriptor."""


async def send_all(sock: StreamSocket, data: bytes, on_progress: Callable[[], None] | None = None) -> None:
    """Write all bytes. ``on_progress`` is called before each part after the first."""
    sent = await sock.send(data)
    if sent == len(data):
        return
    rest = memoryview(data)
    while sent < len(data):
        if on_progress is not None:
            on_progress()
        sent += await sock.send(rest[sent:])


def is_readable(sock: StreamSocket) -> bool:
    """Return whether there is something to read, even if it is the end of the stream."""
    # Connections are checked with this before they are closed, because a request that the client has written
    # and nobody has read would be lost.
    if sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_hung_up(sock: StreamSocket) -> bool:
    """Return whether the other side has ended its stream, even if bytes before the end are unread."""
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def _trio_socket_type() -> type[trio.socket.SocketType]:
    """Return the type of trio's own sockets, which has no public name."""
    with socket.socket() as sample:
        return type(trio.socket.from_stdlib_socket(sample))


TRIO_SOCKET = _trio_socket_type()


def split_plain_socket(
    sock: trio.socket.SocketType,
) -> tuple[trio.socket.SocketType, socket.socket | None]:
    """Return trio's socket and the plain socket beneath it, or None if the socket is not trio's own."""
    if type(sock) is not TRIO_SOCKET:  # A replacement may do more on a read, which must not be bypassed.
        return sock, None
    plain = socket.socket(sock.family, sock.type, sock.proto, sock.detach())
    return trio.socket.from_stdlib_socket(plain), plain
