"""The actions that ``Balancer.handle`` returns and the adapter carries out.

A request for which no action is returned is held. Durations are in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Dispatch:
    """Send an attempt of a request; its attempts are numbered 0, 1, 2 ... in the order of their dispatches.

    ``timeout_us`` 0 means that the attempt lasts until the client gives up.
    """

    id: int
    endpoint: str
    timeout_us: int = 0


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt."""

    id: int
    attempt: int


@dataclass(slots=True)
class Reject:
    """Give the final answer that the request is rejected and a repeat is harmless."""

    id: int
    retry_after_us: int = 0
    reason: str = "no_room"  # reason that the counters show: ``no_room`` or ``list_overdue``


@dataclass(slots=True)
class Fail:
    """Give the final answer that the request has failed and its effect is not known."""

    id: int


@dataclass(slots=True)
class CheckHealth:
    """Send a health check to an endpoint."""

    endpoint: str


@dataclass(slots=True)
class SetTimer:
    """Ask for a ``TimerFired`` with this token after a delay."""

    in_us: int
    token: str


@dataclass(slots=True)
class WatchEndpoints:
    """Poll discovery for the endpoint list now, and watch it for changes."""

    patience_us: int = 0  # timeout of the first answer; 0: the adapter's default


@dataclass(slots=True)
class LogNotice:
    """Write a line to the log."""

    text: str


Action = Dispatch | Cancel | Reject | Fail | CheckHealth | SetTimer | WatchEndpoints | LogNotice
