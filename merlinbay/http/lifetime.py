"""When a connection expires: its client has so long for a request, for reading a response, and idle."""

from __future__ import annotations

import trio

from merlinbay.limits import ResourceLimits


class ConnectionLifetime:
    """The moment at which the listener ends a connection. Moments are by trio's clock, in seconds."""

    def __init__(self, limits: ResourceLimits) -> None:
        self.limits = limits
        self.idle_since = trio.current_time()  # its accept, or the end of its last response
        self.expires_at = self.idle_since + limits.read_request_timeout_s

    def has_expired(self, now: float) -> bool:
        """Tell whether the connection has expired."""
        return self.expires_at < now

    def begin_request(self) -> None:
        """Allow so long for reading a request."""
        self.expires_at = trio.current_time() + self.limits.read_request_timeout_s

    def await_response(self) -> None:
        """Allow any time: the handler has the request, or the connection ends by itself."""
        self.expires_at = float("inf")

    def begin_write(self) -> None:
        """Allow so long for the client to take some bytes, again after each part that it took."""
        self.expires_at = trio.current_time() + self.limits.write_response_timeout_s

    def begin_idle(self, is_worth_keeping: bool) -> None:
        """Allow so long until the next request."""
        self.idle_since = trio.current_time()
        self.extend_idle(is_worth_keeping)

    def extend_idle(self, is_worth_keeping: bool) -> None:
        """Allow so long from the moment since which it is idle."""
        # Guards against clients that ask for little and stay: each would hold a descriptor.
        self.expires_at = self.idle_since + (
            self.limits.client_idle_timeout_s if is_worth_keeping else self.limits.read_request_timeout_s
        )
