"""Clients that make a node hold bytes: half requests, slow writers, heads of many fields, bytes behind.

Each client connects again and again until it is cancelled, so that a restarted or recovering node meets all
of them at once.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from itertools import count
from pathlib import Path

import trio

from tests.net import admission_headers

QUICK = "quick-"  # jobs whose ids begin so are done at once; servers keep all others
BODY_BYTES = 64 * 1024  # the largest body that the protocol allows
FIELD = b"a:\r\n"  # the shortest field
HEAD_BYTES = 15_000  # the head of such fields stays below the limit on heads
PIECE_BYTES = 1000
PIECE_PAUSE_S = 0.02
RECONNECT_PAUSE_S = 0.02
CALLBACK_PAUSE_S = 1.0

Talk = Callable[[trio.socket.SocketType, str], Awaitable[None]]


def request_head(name: str, length: int, more: bytes = b"") -> bytes:
    """Return the head of a job's request whose body has a length."""
    lines = ["POST /admit HTTP/1.1", "Host: node"]
    lines += [f"{key}: {value}" for key, value in admission_headers(name)]
    return ("\r\n".join([*lines, f"Content-Length: {length}"]) + "\r\n").encode() + more + b"\r\n"


def largest_callback() -> bytes:
    """Return a call-back with the largest body, for a job that the node does not know."""
    body = json.dumps({"id": "unknown", "from": "s-0", "state": "done", "result": ""}).encode()
    body = body.replace(b'""', b'"' + b"x" * (BODY_BYTES - len(body)) + b'"')
    return b"POST /v1/job-events HTTP/1.1\r\nHost: node\r\nContent-Length: %d\r\n\r\n" % len(body) + body


LARGEST_CALLBACK = largest_callback()


async def send_all(sock: trio.socket.SocketType, data: bytes) -> None:
    """Write all bytes."""
    rest = memoryview(data)
    while rest:
        rest = rest[await sock.send(rest) :]


async def read_to_end(sock: trio.socket.SocketType) -> bytes:
    """Read until the node ends the stream."""
    received = bytearray()
    while data := await sock.recv(4096):
        received += data
    return bytes(received)


async def many_fields(sock: trio.socket.SocketType, name: str) -> None:
    """Send a head of very many short fields, and most of a body."""
    fields = FIELD * (HEAD_BYTES // len(FIELD))
    await send_all(sock, request_head(name, BODY_BYTES, fields) + b"x" * (BODY_BYTES - 1))


async def many_fields_answered(sock: trio.socket.SocketType, name: str) -> None:
    """Send a whole request of very many short fields, which is answered at once, and stay."""
    fields = FIELD * (HEAD_BYTES // len(FIELD))
    await send_all(sock, b"GET /-/ready HTTP/1.1\r\nHost: node\r\n" + fields + b"\r\n")


async def half_body(sock: trio.socket.SocketType, name: str) -> None:
    """Stop shortly before the end of the largest body."""
    await send_all(sock, request_head(name, BODY_BYTES) + b"x" * (BODY_BYTES - 1))


async def slow_body(sock: trio.socket.SocketType, name: str) -> None:
    """Write the largest body in small pieces, with pauses."""
    await send_all(sock, request_head(name, BODY_BYTES))
    for _ in range(BODY_BYTES // PIECE_BYTES):
        await send_all(sock, b"x" * PIECE_BYTES)
        await trio.sleep(PIECE_PAUSE_S)


async def bytes_behind(sock: trio.socket.SocketType, name: str) -> None:
    """Send a whole request with the largest body, and more bytes while it is in progress."""
    await send_all(sock, request_head(name, BODY_BYTES) + b"x" * BODY_BYTES + b"y" * 90_000)


async def large_callbacks(sock: trio.socket.SocketType, name: str) -> None:
    """Report ends of jobs that the node does not know, with the largest results."""
    for _ in range(20):
        await send_all(sock, LARGEST_CALLBACK)
        await sock.recv(4096)
        await trio.sleep(CALLBACK_PAUSE_S)


async def large_requests(sock: trio.socket.SocketType, name: str) -> None:
    """Hand in one quick job after the other with the largest body; each may wait an hour for its answer."""
    for number in range(1000):
        head = request_head(f"{QUICK}{name}-{number}", BODY_BYTES)
        head = head.replace(b"X-Timeout-Ms: 2000", b"X-Timeout-Ms: 3600000")
        await send_all(sock, head + b"x" * BODY_BYTES)
        await sock.recv(4096)


async def talk_for_ever(port: int, name: str, talk: Talk) -> None:
    """Connect, talk, wait for the end of the connection, and begin again."""
    for number in count():
        sock = trio.socket.socket()
        with sock:
            try:
                await sock.connect(("127.0.0.2", port))
                await talk(sock, f"{name}-{number}")
                await read_to_end(sock)
            except OSError:
                pass  # the node has ended the connection, or is not there
        await trio.sleep(RECONNECT_PAUSE_S)


def peak_memory_bytes(process: int) -> int:
    """Return the highest resident memory that a process has had."""
    lines = Path(f"/proc/{process}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) * 1024
