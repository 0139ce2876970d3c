"""The handshake of a new connection, for the side that connects and for the side that accepts.

It runs once per connection, before any other frame. A side that cannot authenticate the other raises
``MessageRejectedError``; the caller closes the socket.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable

import trio

from merlinbay.control_service.connection import FramedConnection, QueueOverflow
from merlinbay.control_service.framing import pack_frame, receive_frame
from merlinbay.control_service.local_peer import LocalPeer
from merlinbay.control_service.sealing import (
    NONCE_BYTES,
    HandshakeHello,
    HandshakeWelcome,
    frame_seal,
    open_handshake,
    seal_handshake,
)
from merlinbay.fleet.wire import MessageRejectedError

HANDSHAKE_FRAME_BYTES = 1024


async def connect_handshake(
    local_peer: LocalPeer, stream: trio.SocketStream, overflow: QueueOverflow
) -> FramedConnection:
    """Authenticate as the side that connected.

    Raises ``MessageRejectedError``, ``FrameTooLongError``, ``trio.BrokenResourceError``.
    """
    hello = HandshakeHello(local_peer.name, local_peer.role, secrets.token_bytes(NONCE_BYTES))
    await _send(local_peer, stream, hello)
    buffer = bytearray()
    answer = await receive_frame(stream, buffer, HANDSHAKE_FRAME_BYTES)
    if answer is None:
        raise MessageRejectedError("connection closed by the peer during the handshake")
    welcome, remote_key = open_handshake(local_peer.keys, local_peer.fleet, answer, HandshakeWelcome)
    if welcome.hello_nonce != hello.nonce:
        raise MessageRejectedError("welcome message belongs to another connection")
    outgoing = frame_seal(local_peer.keys.keys[0], b"hello", hello.nonce, welcome.nonce)
    incoming = frame_seal(remote_key, b"welcome", hello.nonce, welcome.nonce)
    # The accepting side serves the connection only after a first valid frame, which proves knowledge of the
    # key. An empty frame is sent at once, so that it need not wait for a message.
    await stream.send_all(pack_frame(outgoing.seal(b"")))
    local_peer.traffic.connections_opened += 1
    return FramedConnection(
        stream, welcome.name, "", outgoing, incoming, local_peer.limits, local_peer.traffic, overflow
    )


async def accept_handshake(
    local_peer: LocalPeer, stream: trio.SocketStream, overflow: Callable[[str], QueueOverflow]
) -> FramedConnection:
    """Authenticate the side that connected. ``overflow`` maps its role to a policy for full send queues.

    Raises ``MessageRejectedError``, ``FrameTooLongError``, ``trio.BrokenResourceError``.
    """
    buffer = bytearray()
    first = await receive_frame(stream, buffer, HANDSHAKE_FRAME_BYTES)
    if first is None:
        raise MessageRejectedError("connection closed by the peer during the handshake")
    hello, remote_key = open_handshake(local_peer.keys, local_peer.fleet, first, HandshakeHello)
    welcome = HandshakeWelcome(local_peer.name, secrets.token_bytes(NONCE_BYTES), hello.nonce)
    await _send(local_peer, stream, welcome)
    outgoing = frame_seal(local_peer.keys.keys[0], b"welcome", hello.nonce, welcome.nonce)
    incoming = frame_seal(remote_key, b"hello", hello.nonce, welcome.nonce)
    proof = await receive_frame(stream, buffer, HANDSHAKE_FRAME_BYTES)
    if proof is None or incoming.open(proof):
        raise MessageRejectedError("expected an empty sealed frame after the welcome message")
    local_peer.traffic.connections_opened += 1
    connection = FramedConnection(
        stream,
        hello.name,
        hello.role,
        outgoing,
        incoming,
        local_peer.limits,
        local_peer.traffic,
        overflow(hello.role),
    )
    connection.unread(buffer)
    return connection


async def _send(
    local_peer: LocalPeer, stream: trio.SocketStream, message: HandshakeHello | HandshakeWelcome
) -> None:
    await stream.send_all(pack_frame(seal_handshake(local_peer.keys, local_peer.fleet, message)))
