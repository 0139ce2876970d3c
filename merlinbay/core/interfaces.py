"""The interfaces through which the dispatcher calls the other parts of the node. No method waits.

Results come back later as messages in the dispatcher's inbox.
"""

from __future__ import annotations

from typing import Protocol

from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.messages import Callback
from merlinbay.core.values import ServiceEntry


class ServerTransport(Protocol):
    """Sends attempts to servers. Outcomes come back as messages in the dispatcher's inbox."""

    def start(self, attempt: ServerAttempt) -> None:
        """Send an attempt."""

    def cancel(self, attempt: ServerAttempt) -> None:
        """Have the server stop an attempt whose outcome has already been decided."""

    def forget(self, attempt: ServerAttempt) -> None:
        """Drop the state kept for an attempt that has ended."""

    def recall(self, attempt: ServerAttempt) -> None:
        """Ask the server to return an attempt if it has not started; the reply is ``AttemptRecalled``."""

    def control(self, attempt: ServerAttempt, action: str) -> None:
        """Ask the server to ``suspend`` or ``resume`` an attempt; the reply is ``AttemptControlled``."""

    def check_health(self, server: str) -> None:
        """Check a server's health; the reply is ``ServerChecked``."""

    def update_endpoints(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Store the addresses; drop the state of servers that were removed or have restarted."""


class EndpointDiscovery(Protocol):
    """Watches the endpoint list."""

    def subscribe(self, patience_us: int = 0) -> None:
        """Start to watch the list; called again after a failure or a change of discovery's address.

        ``patience_us`` is the timeout of the first answer; 0 stands for the default.
        """


class PeerProcess(Protocol):
    """The node's other process during a handover: the one that this one replaces, or that replaces it."""

    def relay_callback(self, message: Callback) -> bool:
        """Relay a callback that matches no request here; return whether there is a process to relay it to."""

    def relay_sent(self, name: str, server: str) -> None:
        """Relay that a request was sent to a server, so that the other process does not send it again."""

    def relay_maintenance(self, server: str, on: bool) -> None:
        """Relay an operator's command that disables a server (``on`` is true) or enables it."""


class EndpointObserver(Protocol):
    """A part other than the server transport that is notified of changes to the endpoint list."""

    def update_endpoints(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Handle changes to the endpoint list."""
