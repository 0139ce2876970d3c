"""Collects the parts of a request while it is read, and limits the size of its body."""

from __future__ import annotations

import h11

from merlinbay.http.messages import Request, header_table
from merlinbay.limits import ResourceLimits


class RequestBuffer:
    """The head of the request that is being read, and the part of its body that has arrived."""

    def __init__(self, limits: ResourceLimits) -> None:
        self.limits = limits
        self.head: h11.Request | None = None
        self.body = bytearray()

    def begin(self, head: h11.Request) -> int:
        """Begin a request with its head. Return the status to reject it with, or 0 if its body may follow."""
        self.head, self.body = head, bytearray()
        headers = dict(head.headers)
        length = headers.get(b"content-length")
        if length is not None and b"transfer-encoding" in headers:
            return 400  # The two headers may disagree on the end, which can hide a request in the body.
        if length is not None and int(length) > self.limits.body_bytes:
            return 413  # Rejected at once, so that megabytes are not read first.
        return 0

    def add(self, data: bytes | bytearray) -> int:
        """Add a part of the body. Return the status to reject the request with, or 0 if more may follow."""
        self.body += data
        return 413 if len(self.body) > self.limits.body_bytes else 0

    def request(self, received_at: float) -> Request:
        """Return the complete request; ``received_at`` is when its last byte was read."""
        assert self.head is not None  # h11 reports a head before the end of a message.
        return Request(
            self.head.method.decode(),
            self.head.target.decode("latin-1"),
            header_table(self.head),
            bytes(self.body),
            received_at,
        )
