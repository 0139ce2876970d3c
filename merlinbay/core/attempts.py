"""One attempt of a request on a server, and the responder that carries the request's answer to its client."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from merlinbay.core.values import Answer, RequestSpec


class Responder:
    """The client's side of one request. A front overrides what its protocol can express; none waits."""

    def answer(self, answer: Answer) -> None:
        """Send the request's one final answer."""
        raise NotImplementedError

    def has_disconnected(self) -> bool:
        """Tell whether the client has disconnected, even if no ``RequestWithdrawn`` has come yet."""
        return False

    def on_dispatched(self, server: str) -> None:
        """Note that an attempt goes to a server. May come more than once."""

    def on_started(self, server: str) -> None:
        """Note that a server has started the request. May come more than once."""

    def on_suspended(self) -> None:
        """Note that the server has suspended the request."""

    def on_requeued(self) -> None:
        """Note that no server runs the request any more; the decision module decides anew."""

    def on_status_unknown(self) -> None:
        """Note that the server cannot be asked for the request's status at present."""

    def on_still_queued(self) -> None:
        """Note that the server was asked, and has not started the request."""

    def on_recall_ended(self, was_recalled: bool) -> None:
        """Note that the request was recalled unstarted and is over, or that it goes on."""

    def on_control_ended(self, action: str, error: str, message: str) -> None:
        """Note the result of ``suspend`` or ``resume``; ``error`` is empty where it succeeded."""


def is_always_permitted(attempt: ServerAttempt) -> bool:
    """Permit any attempt."""
    return True


@dataclass(slots=True, eq=False)
class ServerAttempt:
    """One attempt of a request on a server."""

    spec: RequestSpec
    request_number: int  # the request's id in the decision module
    number: int  # of this attempt among those of its request, from 0
    server: str
    sent_at_us: int
    deadline_at_us: int
    has_ended: bool = False
    has_started: bool = False
    is_suspended: bool = False
    responder: Responder | None = None  # of its request
    # Whether the rules still allow it, see ``may_begin``.
    is_permitted: Callable[[ServerAttempt], bool] = is_always_permitted

    def may_begin(self) -> bool:
        """Tell, right before its first byte, whether it may still be sent."""
        if self.has_ended or (self.responder is not None and self.responder.has_disconnected()):
            return False
        return self.is_permitted(self)
