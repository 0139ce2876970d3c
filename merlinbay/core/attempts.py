"""One attempt of a request on a server, and the responder through which the core reports to the client.

The dispatcher creates attempts and calls responders. Fronts implement responders; server transports read
attempts, and ask ``may_begin`` right before they send one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from merlinbay.core.values import Answer, RequestSpec, TimerKey
from merlinbay.decision.events import UnresolvedAttempt


class Responder:
    """The client's side of one request. A front overrides what its protocol can express. No method waits."""

    def answer(self, answer: Answer) -> None:
        """Send the request's one final answer."""
        raise NotImplementedError

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected, even if no ``RequestWithdrawn`` has arrived yet."""
        return False

    def on_dispatched(self, server: str) -> None:
        """Handle the dispatch of an attempt to a server. Can be called more than once."""

    def on_started(self, server: str) -> None:
        """Handle the start of the request on a server. Can be called more than once."""

    def on_suspended(self) -> None:
        """Handle the suspension of the request by its server."""

    def on_requeued(self) -> None:
        """Handle that no server runs the request any more; the decision module decides on it again."""

    def on_possibly_run(self, attempt: UnresolvedAttempt | None) -> None:
        """Handle the end of an attempt that may have run; None if its server's group is not known.

        A front that sends the request again as a new one must name the attempt in its ``earlier_attempts``.
        """

    def on_status_unknown(self) -> None:
        """Handle that the request's status is unknown, because its server cannot be reached at present."""

    def on_still_queued(self) -> None:
        """Handle the server's reply to a status query that it has not started the request."""

    def on_recall_ended(self, was_recalled: bool) -> None:
        """Handle the result of a recall: the request ended without having started, or it continues."""

    def on_control_ended(self, action: str, error: str, message: str) -> None:
        """Handle the result of ``suspend`` or ``resume``; ``error`` is empty on success."""


def is_always_permitted(attempt: ServerAttempt) -> bool:
    """Permit every attempt; the default of ``ServerAttempt.is_permitted``."""
    return True


@dataclass(slots=True, eq=False)
class ServerAttempt:
    """One attempt of a request on a server."""

    spec: RequestSpec
    request_number: int  # the request's id in the decision module
    number: int  # number of the attempt within its request, from 0
    server: str
    sent_at_us: int
    deadline_at_us: int
    has_ended: bool = False
    has_started: bool = False
    is_suspended: bool = False
    timer_keys: list[TimerKey] = field(default_factory=list)  # its timers, which are cancelled with its end
    responder: Responder | None = None  # responder of the request
    # Returns whether the decision module still allows the attempt; ``may_begin`` calls it.
    is_permitted: Callable[[ServerAttempt], bool] = is_always_permitted

    def may_begin(self) -> bool:
        """Return whether the attempt may still be sent; called right before its first byte is sent."""
        if self.has_ended or (self.responder is not None and self.responder.has_disconnected()):
            return False
        return self.is_permitted(self)
