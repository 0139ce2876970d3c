"""Clients that send what cannot be served."""

from __future__ import annotations

import trio

# What clients send that cannot be served; each is owed an error, or the end of its connection.
BAD_REQUESTS = [
    b"",
    b"GET",
    b"nonsense\r\n\r\n",
    b"POST /admit HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n",
    b"POST /admit HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n",
    b"POST /admit HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\nseat",
    b"POST /nothing HTTP/1.1\r\nhost: x\r\nx-request-id: b\r\nx-timeout-ms: 9\r\ncontent-length: 0\r\n\r\n",
    b"POST /admit HTTP/1.1\r\nhost: x\r\nx-timeout-ms: soon\r\ncontent-length: 0\r\n\r\n",
    b"POST /admit HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nse",
    b"X" * 40_000,
]
ANSWER_DUE_S = 3.0  # from the connect


async def bad_client(addr: str, request: bytes) -> bool:
    """Send a bad request; return whether an error or the end of the connection came in time."""
    host, _, port = addr.rpartition(":")
    with trio.move_on_after(ANSWER_DUE_S):
        try:
            stream = await trio.open_tcp_stream(host, int(port))
            async with stream:
                if request:
                    await stream.send_all(request)
                got = await stream.receive_some(64)
                return not got or got[9:10] in (b"4", b"5")
        except (OSError, trio.BrokenResourceError):
            return True  # refused, or reset
    return False
