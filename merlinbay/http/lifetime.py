"""The expiry of an accepted connection.

The connection sets the time limits for reading a request, for writing a response and for being idle. The
listener checks them regularly and ends connections that have expired.
"""

from __future__ import annotations

import trio

from merlinbay.limits import ResourceLimits


class ConnectionLifetime:
    """The time at which the listener ends a connection, in seconds on trio's clock."""

    def __init__(self, limits: ResourceLimits) -> None:
        self.limits = limits
        self.idle_since = trio.current_time()  # the time of the accept, or of the end of the last response
        self.expires_at = self.idle_since + limits.read_request_timeout_s

    def has_expired(self, now: float) -> bool:
        """Return whether the connection has expired."""
        return self.expires_at < now

    def begin_request(self) -> None:
        """Start the time limit for reading a request."""
        self.expires_at = trio.current_time() + self.limits.read_request_timeout_s

    def await_response(self) -> None:
        """Remove the time limit: the handler has the request, or the connection ends by itself."""
        self.expires_at = float("inf")

    def begin_write(self) -> None:
        """Start the time limit for writing; called again after each part that the client has read."""
        self.expires_at = trio.current_time() + self.limits.write_response_timeout_s

    def begin_idle(self, is_worth_keeping: bool) -> None:
        """Start the time limit for being idle."""
        self.idle_since = trio.current_time()
        self.extend_idle(is_worth_keeping)

    def extend_idle(self, is_worth_keeping: bool) -> None:
        """Set the time limit for being idle, counted from the start of the idle time."""
        # A connection that has served no request yet gets the short limit. Clients that stay connected after
        # minor requests would otherwise hold a descriptor each.
        self.expires_at = self.idle_since + (
            self.limits.client_idle_timeout_s if is_worth_keeping else self.limits.read_request_timeout_s
        )
