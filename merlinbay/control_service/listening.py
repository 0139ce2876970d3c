"""Incoming connections: a listening socket, and an acceptor that authenticates and serves each connection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from merlinbay.control_service.connection import FramedConnection, QueueOverflow
from merlinbay.control_service.framing import FrameTooLongError
from merlinbay.control_service.handshake import accept_handshake
from merlinbay.control_service.local_peer import LocalPeer
from merlinbay.errors import parse_address
from merlinbay.fleet.wire import MessageRejectedError

ACCEPT_PAUSE_S = 0.05  # pause after a failed accept, most often caused by a lack of file descriptors
BACKLOG_CONNECTIONS = 1024  # large, as all followers of a relay may connect at once


async def listen_at(target: str) -> trio.socket.SocketType:
    """Return a listening socket. Raises ``OSError``, ``ConfigurationError``."""
    sock = trio.socket.socket()
    try:
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        await sock.bind(parse_address(target))
        sock.listen(BACKLOG_CONNECTIONS)
    except BaseException:
        sock.close()
        raise
    return sock


class Acceptor:
    """Accepts and authenticates connections and passes each to ``serve``, until the limit of open ones."""

    def __init__(
        self,
        local_peer: LocalPeer,
        overflow: Callable[[str], QueueOverflow],
        serve: Callable[[FramedConnection], Awaitable[None]],
    ) -> None:
        """``overflow`` maps the role of the peer to a policy for full send queues."""
        self._local_peer, self._overflow, self._serve = local_peer, overflow, serve
        self._open = 0  # number of open connections, including those in the handshake

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
                    if self._open >= self._local_peer.limits.connections:
                        sock.close()
                        self._local_peer.traffic.connections_refused += 1
                        continue
                    self._open += 1
                    nursery.start_soon(self._serve_socket, sock)

    async def _serve_socket(self, sock: trio.socket.SocketType) -> None:
        try:
            with sock:
                connection = await self._authenticate(sock)
                if connection is not None:
                    await self._serve(connection)
        finally:
            self._open -= 1

    async def _authenticate(self, sock: trio.socket.SocketType) -> FramedConnection | None:
        try:
            sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
            with trio.fail_after(self._local_peer.limits.handshake_timeout_s):
                stream = trio.SocketStream(sock)
                return await accept_handshake(self._local_peer, stream, self._overflow)
        except (
            OSError,
            trio.BrokenResourceError,
            trio.TooSlowError,
            MessageRejectedError,
            FrameTooLongError,
        ):
            self._local_peer.traffic.connections_refused += 1
            return None
