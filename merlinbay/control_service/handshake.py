"""The handshake of a new connection, on both sides."""

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
        raise MessageRejectedError("closed by the other side")
    welcome, remote_key = open_handshake(local_peer.keys, local_peer.fleet, answer, HandshakeWelcome)
    if welcome.hello_nonce != hello.nonce:
        raise MessageRejectedError("welcome of another connection")
    outgoing = frame_seal(local_peer.keys.keys[0], b"hello", hello.nonce, welcome.nonce)
    incoming = frame_seal(remote_key, b"welcome", hello.nonce, welcome.nonce)
    # The other side trusts the connection after the first valid frame: an empty one proves the key at once.
    await stream.send_all(pack_frame(outgoing.seal(b"")))
    local_peer.traffic.connections_opened += 1
    return FramedConnection(
        stream, welcome.name, "", outgoing, incoming, local_peer.limits, local_peer.traffic, overflow
    )


async def accept_handshake(
    local_peer: LocalPeer, stream: trio.SocketStream, overflow: Callable[[str], QueueOverflow]
) -> FramedConnection:
    """Authenticate the side that connected; ``overflow`` maps its role to a policy.

    Raises ``MessageRejectedError``, ``FrameTooLongError``, ``trio.BrokenResourceError``.
    """
    buffer = bytearray()
    first = await receive_frame(stream, buffer, HANDSHAKE_FRAME_BYTES)
    if first is None:
        raise MessageRejectedError("closed by the other side")
    hello, remote_key = open_handshake(local_peer.keys, local_peer.fleet, first, HandshakeHello)
    welcome = HandshakeWelcome(local_peer.name, secrets.token_bytes(NONCE_BYTES), hello.nonce)
    await _send(local_peer, stream, welcome)
    outgoing = frame_seal(local_peer.keys.keys[0], b"welcome", hello.nonce, welcome.nonce)
    incoming = frame_seal(remote_key, b"hello", hello.nonce, welcome.nonce)
    proof = await receive_frame(stream, buffer, HANDSHAKE_FRAME_BYTES)
    if proof is None or incoming.open(proof):
        raise MessageRejectedError("no proof of the key")
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
