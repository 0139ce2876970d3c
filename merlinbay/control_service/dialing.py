"""Outgoing connections: a single authenticated connection, or one that is reopened whenever it ends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

import trio

from merlinbay.control_service.connection import FramedConnection, QueueOverflow
from merlinbay.control_service.framing import FrameTooLongError
from merlinbay.control_service.handshake import connect_handshake
from merlinbay.control_service.local_peer import LocalPeer, TransportLimits
from merlinbay.errors import ConfigurationError, parse_address
from merlinbay.fleet.wire import MessageRejectedError


class ConnectPhase(Enum):
    """The phase in which an attempt to connect failed."""

    CONNECT = "connect"
    HANDSHAKE = "handshake"


class ConnectFailedError(Exception):
    """No connection was established; ``phase`` and ``cause`` say at which step and why."""

    def __init__(self, phase: ConnectPhase, cause: str) -> None:
        super().__init__(f"{phase.value}: {cause}")
        self.phase, self.cause = phase, cause


async def connect(local_peer: LocalPeer, target: str, overflow: QueueOverflow) -> FramedConnection:
    """Connect to ``host:port`` and authenticate. Raises ``ConnectFailedError``."""
    limits = local_peer.limits
    phase = ConnectPhase.CONNECT
    sock = trio.socket.socket()
    try:
        with trio.fail_after(limits.connect_timeout_s):
            if local_peer.bind:
                await sock.bind((local_peer.bind, 0))
            await sock.connect(parse_address(target))
        phase = ConnectPhase.HANDSHAKE
        sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        stream = trio.SocketStream(sock)
        with trio.fail_after(limits.handshake_timeout_s):
            return await connect_handshake(local_peer, stream, overflow)
    except (
        OSError,
        trio.BrokenResourceError,
        trio.TooSlowError,
        FrameTooLongError,
        ConfigurationError,
    ) as error:
        sock.close()
        raise ConnectFailedError(phase, str(error) or type(error).__name__) from None
    except MessageRejectedError as error:
        sock.close()
        local_peer.traffic.connections_refused += 1
        raise ConnectFailedError(phase, str(error)) from None
    except BaseException:
        sock.close()
        raise


@dataclass(slots=True)
class ReconnectBackoff:
    """Computes the waits between attempts to connect.

    The longest wait doubles after each failure. Each wait is drawn from its upper half, so that many
    processes that lost the same peer do not reconnect at once.
    """

    limits: TransportLimits
    random: Random
    failures: int = 0  # since the last reset

    def next_s(self) -> float:
        """Return the next wait in seconds."""
        longest_s = min(self.limits.first_backoff_s * 2.0**self.failures, self.limits.longest_backoff_s)
        self.failures = min(self.failures + 1, 16)
        return longest_s * (0.5 + self.random.random() / 2)

    def reset(self) -> None:
        """Start again with the shortest wait, after a connection that lasted."""
        self.failures = 0


class PeerConnection:
    """A connection to one peer that is reopened whenever it ends."""

    def __init__(self, local_peer: LocalPeer, target: Callable[[], str], random: Random) -> None:
        """``target`` returns the peer's ``host:port`` at each attempt."""
        self.local_peer, self.target = local_peer, target
        self.connection: FramedConnection | None = None
        self._backoff = ReconnectBackoff(local_peer.limits, random)

    def send(self, message: bytes) -> None:
        """Send a message if the connection is open; otherwise drop and count it."""
        if self.connection is None:
            self.local_peer.traffic.messages_dropped += 1
        else:
            self.connection.send(message)

    async def run(self) -> None:
        """Stay connected until cancelled."""
        while True:
            try:
                connection = await connect(self.local_peer, self.target(), QueueOverflow.DROP_OLDEST)
            except ConnectFailedError:
                await trio.sleep(self._backoff.next_s())
                continue
            self.connection, opened_at_s = connection, trio.current_time()
            try:
                await connection.run()
            finally:
                self.connection = None
            if trio.current_time() - opened_at_s > self.local_peer.limits.longest_backoff_s:
                self._backoff.reset()
            await trio.sleep(self._backoff.next_s())
