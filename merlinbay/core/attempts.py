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

    def left(self) -> bool:
        """Tell whether the client has left, be it that nobody has said so yet."""
        return False

    def sent(self, server: str) -> None:
        """Take it that a real server has been chosen. May come more than once."""

    def started(self, server: str) -> None:
        """Take it that a real server runs the job. May come more than once."""

    def suspended(self) -> None:
        """Take it that its real server has suspended the job."""

    def unplaced(self) -> None:
        """Take it that no real server runs the job any more; the module decides anew."""

    def lost_sight(self) -> None:
        """Take it that its real server cannot be asked at present."""

    def found_queued(self) -> None:
        """Take it that its real server was asked, and has not started the job."""

    def recalled(self, done: bool) -> None:
        """Take it that the request was called back unstarted and is over (``done``), or that it goes on."""

    def controlled(self, action: str, error: str, message: str) -> None:
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
    sent_us: int
    deadline_us: int
    ended: bool = False
    started: bool = False
    paused: bool = False  # suspended by its real server
    responder: Responder | None = None  # of its request
    allowed: Callable[[ServerAttempt], bool] = always  # whether its class allows it still, see ``may_begin``

    def may_begin(self) -> bool:
        """Tell, right before its first byte, whether it is still to be begun."""
        if self.ended or (self.responder is not None and self.responder.left()):
            return False
        return self.allowed(self)
