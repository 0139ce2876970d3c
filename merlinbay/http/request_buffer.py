"""Collects a request while its parts are read."""

from __future__ import annotations

import h11

from merlinbay.http.messages import Request, header_table
from merlinbay.limits import ResourceLimits


class RequestBuffer:
    """The head of the request that is being read, and the part of its body that has come."""

    def __init__(self, limits: ResourceLimits) -> None:
        self.limits = limits
        self.head: h11.Request | None = None
        self.body = bytearray()

    def begin(self, head: h11.Request) -> int:
        """Begin with a request's head; return the status to reject it with, 0 if its body may come."""
        self.head, self.body = head, bytearray()
        headers = dict(head.headers)
        length = headers.get(b"content-length")
        if length is not None and b"transfer-encoding" in headers:
            return 400  # Guards against a request hidden in the body: the two say different ends.
        if length is not None and int(length) > self.limits.body_bytes:
            return 413  # Guards against megabytes that are read and rejected then.
        return 0

    def add(self, data: bytes | bytearray) -> int:
        """Add a part of the body; return the status to reject the request with, 0 if more may come."""
        self.body += data
        return 413 if len(self.body) > self.limits.body_bytes else 0

    def request(self, received_at: float) -> Request:
        """Return the whole request, whose last byte was read at a moment."""
        assert self.head is not None  # h11 gives a head before an end
        return Request(
            self.head.method.decode(),
            self.head.target.decode("latin-1"),
            header_table(self.head),
            bytes(self.body),
            received_at,
        )
