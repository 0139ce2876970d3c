"""Complete requests and responses, as the handlers of the server receive and return them."""

from __future__ import annotations

from dataclasses import dataclass, field

import h11

REASON_PHRASES = {
    200: b"OK",
    201: b"Created",
    204: b"No Content",
    400: b"Bad Request",
    401: b"Unauthorized",
    403: b"Forbidden",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclass(slots=True)
class Request:
    """A complete request from a client. Header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    received_at: float | None = None  # time when its last byte was read, on trio's clock


@dataclass(slots=True)
class Response:
    """A complete response to a client."""

    status: int
    body: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)


def header_table(head: h11.Request) -> dict[str, str]:
    """Return the headers by name. Values with the same name are joined, so that none hides another."""
    table: dict[str, str] = {}
    for name, value in head.headers:
        key, text = name.decode(), value.decode("latin-1")
        table[key] = f"{table[key]}, {text}" if key in table else text
    return table


def encode_response(state: h11.Connection, response: Response, close: bool, head_only: bool) -> bytes:
    """Return the bytes of a response. With ``close``, it announces that the connection closes after it."""
    headers = [*response.headers, (b"content-length", str(len(response.body)).encode())]
    if close:
        headers.append((b"connection", b"close"))
    reason = REASON_PHRASES.get(response.status, b"")
    head = h11.Response(status_code=response.status, headers=headers, reason=reason)
    data = state.send(head) or b""
    if response.body and not head_only:
        data += state.send(h11.Data(data=response.body)) or b""
    return data + (state.send(h11.EndOfMessage()) or b"")
