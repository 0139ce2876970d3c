"""What the dispatcher needs of the parts around it. Nothing here waits."""

from __future__ import annotations

from typing import Protocol

from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.messages import Callback
from merlinbay.core.values import ServiceEntry


class ServerTransport(Protocol):
    """The real servers. Nothing here waits; outcomes come back through the inbox."""

    def start(self, attempt: ServerAttempt) -> None:
        """Send an attempt."""

    def give_up(self, attempt: ServerAttempt) -> None:
        """Stop an attempt whose outcome is settled already."""

    def forget(self, attempt: ServerAttempt) -> None:
        """Drop what is kept of an attempt: it has ended, by itself or given up."""

    def recall(self, attempt: ServerAttempt) -> None:
        """Take an attempt back if it has not started; ``AttemptRecalled`` tells."""

    def control(self, attempt: ServerAttempt, action: str) -> None:
        """Have the real server ``suspend`` or ``resume`` a job; ``AttemptControlled`` tells."""

    def check_health(self, server: str) -> None:
        """Test a real server."""

    def update_endpoints(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Learn addresses; drop what belongs to servers that are gone or have restarted."""


class EndpointDiscovery(Protocol):
    """Discovery."""

    def subscribe(self, patience_us: int = 0) -> None:
        """Begin to watch the list, or do so again after a failure or a move.

        The first answer is waited for so long; 0: as long as is usual.
        """


class PeerProcess(Protocol):
    """The process that this one replaces, or that replaces it. Nothing here waits."""

    def relay_callback(self, message: Callback) -> bool:
        """Pass a call-back on that is for no request here; tell whether there is anybody to pass it to."""

    def relay_maintenance(self, server: str, on: bool) -> None:
        """Pass on what operators did with a real server."""


class EndpointObserver(Protocol):
    """Somebody beside the real servers who wants to know of them."""

    def update_endpoints(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Take discovery's news. Called by the owner's task; nothing here waits."""
