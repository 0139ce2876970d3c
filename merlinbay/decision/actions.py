"""What the balancer wants done. A request with no action is held. Durations are microseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Dispatch:
    """Send an attempt; attempts of a job count 0, 1, 2 ... ``timeout_us`` 0: until the client gives up."""

    id: int
    endpoint: str
    timeout_us: int = 0


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    id: int
    attempt: int


@dataclass(slots=True)
class Reject:
    """Final answer: rejected, trying again is harmless."""

    id: int
    retry_after_us: int = 0
    reason: str = "no_room"  # for the counters: ``no_room`` or ``list_overdue``


@dataclass(slots=True)
class Fail:
    """Final answer: failed, the effect is not known."""

    id: int


@dataclass(slots=True)
class CheckHealth:
    """Test an endpoint."""

    endpoint: str


@dataclass(slots=True)
class SetTimer:
    """Ask for a ``TimerFired``."""

    in_us: int
    token: str


@dataclass(slots=True)
class WatchEndpoints:
    """Watch the endpoint list: poll discovery now, and take its changes."""

    patience_us: int = 0  # how long the first answer is waited for; 0: as long as is usual


@dataclass(slots=True)
class LogNotice:
    """A line for the log."""

    text: str


Action = Dispatch | Cancel | Reject | Fail | CheckHealth | SetTimer | WatchEndpoints | LogNotice
