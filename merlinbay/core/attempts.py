"""One attempt of a request on a server, and the client that waits for the request."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from merlinbay.core.values import Answer, RequestSpec


class Responder:
    """The client's side of one request. A front overrides what its wire has words for; nothing here waits."""

    def answer(self, answer: Answer) -> None:
        """Take the request's one answer."""
        raise NotImplementedError

    def has_disconnected(self) -> bool:
        """Tell whether the client has left, be it that nobody has said so yet."""
        return False

    def on_dispatched(self, server: str) -> None:
        """Take it that a real server has been chosen. May come more than once."""

    def on_started(self, server: str) -> None:
        """Take it that a real server runs the job. May come more than once."""

    def on_suspended(self) -> None:
        """Take it that its real server has suspended the job."""

    def on_requeued(self) -> None:
        """Take it that no real server runs the job any more; the module decides anew."""

    def on_status_unknown(self) -> None:
        """Take it that its real server cannot be asked at present."""

    def on_found_queued(self) -> None:
        """Take it that its real server was asked, and has not started the job."""

    def on_recall_ended(self, done: bool) -> None:
        """Take it that the request was called back unstarted and is over (``done``), or that it goes on."""

    def on_control_ended(self, action: str, error: str, message: str) -> None:
        """Take what came of ``suspend`` or ``resume``; ``error`` is empty where it was done."""


def always(attempt: ServerAttempt) -> bool:
    """Allow any attempt."""
    return True


@dataclass(slots=True, eq=False)
class ServerAttempt:
    """One attempt of a request on a real server."""

    spec: RequestSpec
    request_number: int  # the request's id in the module
    number: int  # of this attempt, from 0
    server: str
    sent_at_us: int
    deadline_at_us: int
    has_ended: bool = False
    has_started: bool = False
    is_suspended: bool = False  # suspended by its real server
    responder: Responder | None = None  # of its request
    is_permitted: Callable[[ServerAttempt], bool] = (
        always  # whether its class allows it still, see ``may_begin``
    )

    def may_begin(self) -> bool:
        """Tell, right before its first byte, whether it is still to be begun."""
        if self.has_ended or (self.responder is not None and self.responder.has_disconnected()):
            return False
        return self.is_permitted(self)
