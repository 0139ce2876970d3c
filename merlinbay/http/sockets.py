"""What connections need of sockets, and checks of sockets that read nothing."""

from __future__ import annotations

import select
import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio


class StreamSocket(Protocol):
    """What a connection needs of a socket, or of a TLS stream over one."""

    def recv(self, most: int, /) -> Awaitable[bytes]:
        """Read some bytes; none at the end of the stream."""

    def send(self, data: bytes | memoryview, /) -> Awaitable[int]:
        """Write some bytes; return how many."""

    def shutdown(self, how: int, /) -> None:
        """Shut a direction down."""

    def fileno(self) -> int:
        """Return the descriptor."""


async def send_all(sock: StreamSocket, data: bytes, on_progress: Callable[[], None] | None = None) -> None:
    """Write all bytes; call ``on_progress`` before each part after the first."""
    sent = await sock.send(data)
    if sent == len(data):
        return
    rest = memoryview(data)
    while sent < len(data):
        if on_progress is not None:
            on_progress()
        sent += await sock.send(rest[sent:])


def is_readable(sock: StreamSocket) -> bool:
    """Tell whether there is something to read, even if it is the end of the stream."""
    # Guards against a close over a request that is written but not yet read: it would be lost.
    if sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_hung_up(sock: StreamSocket) -> bool:
    """Tell whether the other side sends no more, whatever is still unread."""
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
    """Return trio's socket and the plain one beneath it; None if the socket is not trio's own."""
    if type(sock) is not TRIO_SOCKET:  # a replacement may do more on a read, which is not to be bypassed
        return sock, None
    plain = socket.socket(sock.family, sock.type, sock.proto, sock.detach())
    return trio.socket.from_stdlib_socket(plain), plain
