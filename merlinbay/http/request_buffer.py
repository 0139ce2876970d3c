"""Collects the parts of a request while it is read, and limits the size of its body."""

from __future__ import annotations

import h11

from merlinbay.http.messages import Request, header_table
from merlinbay.limits import ResourceLimits

FIELD_BYTES = 150  # what a field takes in a table of texts, beside its own characters


class RequestBuffer:
    """The request that is being read: its head, and the part of its body that has arrived."""

    def __init__(self, limits: ResourceLimits) -> None:
        self.limits = limits
        self.target = ""  # target of the latest request whose head was read
        self._request: Request | None = None  # the request without its body
        self._head_bytes = 0
        self._body = bytearray()

    @property
    def held_bytes(self) -> int:
        """How many bytes the request takes so far."""
        return self._head_bytes + len(self._body)

    def begin(self, head: h11.Request, head_bytes: int) -> int:
        """Begin a request with its head, of so many bytes.

        Return the status to reject it with, or 0 if its body may follow.
        """
        self.clear()
        headers = dict(head.headers)
        length = headers.get(b"content-length")
        if length is not None and b"transfer-encoding" in headers:
            return 400  # The two headers may disagree on the end, which can hide a request in the body.
        if length is not None and int(length) > self.limits.body_bytes:
            return 413  # Rejected at once, so that megabytes are not read first.
        # The parser's own form of the head takes several times the memory of these texts.
        self.target = head.target.decode("latin-1")
        self._request = Request(head.method.decode(), self.target, header_table(head), b"")
        self._head_bytes = head_bytes + FIELD_BYTES * len(head.headers)
        return 0

    def add(self, data: bytes | bytearray) -> int:
        """Add a part of the body. Return the status to reject the request with, or 0 if more may follow."""
        self._body += data
        return 413 if len(self._body) > self.limits.body_bytes else 0

    def take(self, received_at: float) -> Request:
        """Remove and return the complete request; ``received_at`` is when its last byte was read."""
        request = self._request
        assert request is not None  # h11 reports a head before the end of a message.
        request.body, request.received_at = bytes(self._body), received_at
        self.clear()
        return request

    def clear(self) -> None:
        """Drop what was collected."""
        self._request, self._head_bytes, self._body = None, 0, bytearray()
