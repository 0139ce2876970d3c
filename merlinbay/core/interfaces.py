"""What the dispatcher needs of the parts around it. Nothing here waits."""

from __future__ import annotations

from typing import Protocol

from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.messages import Callback
from merlinbay.core.values import ServiceEntry


class ServerTransport(Protocol):
    """Carries attempts to servers. Their outcomes come back as messages in the dispatcher's inbox."""

    def start(self, attempt: ServerAttempt) -> None:
        """Send an attempt."""

    def cancel(self, attempt: ServerAttempt) -> None:
        """Have the server stop an attempt whose outcome is settled already."""

    def forget(self, attempt: ServerAttempt) -> None:
        """Drop what is kept for an attempt that has ended."""

    def recall(self, attempt: ServerAttempt) -> None:
        """Take an attempt back if it has not started; the reply is ``AttemptRecalled``."""

    def control(self, attempt: ServerAttempt, action: str) -> None:
        """Have the server ``suspend`` or ``resume`` an attempt; the reply is ``AttemptControlled``."""

    def check_health(self, server: str) -> None:
        """Check a server's health; the reply is ``ServerChecked``."""

    def update_endpoints(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Take addresses; drop what belongs to servers that were removed or have restarted."""


class EndpointDiscovery(Protocol):
    """Watches the endpoint list."""

    def subscribe(self, patience_us: int = 0) -> None:
        """Begin to watch the list, again after a failure or a change of the address.

        ``patience_us`` is the timeout of the first answer; 0: the usual one.
        """


class PeerProcess(Protocol):
    """The process that this one replaces, or that replaces it."""

    def relay_callback(self, message: Callback) -> bool:
        """Relay a call-back for no request here; tell whether there is a process to relay it to."""

    def relay_maintenance(self, server: str, on: bool) -> None:
        """Relay that operators have disabled a server (``on``) or enabled it."""


class EndpointObserver(Protocol):
    """Hears of changes of the endpoint list beside the server transport."""

    def update_endpoints(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Take changes of the list."""
