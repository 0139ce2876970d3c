"""The proposals and reads that a simulated voter has not answered yet.

A process adds each request that it passes to the core, and removes all of them when it ends.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from merlinbay.control.effects import ProposalDone, ReadDone
from merlinbay.control.simulation.history import ProposalAttempt

ReplyTo = Callable[[ProposalDone | ReadDone], None]


@dataclass
class PendingRequest:
    """A proposal or read that the core has not answered yet."""

    reply: ReplyTo
    attempt: ProposalAttempt | None


class OpenRequests:
    """The open requests by token.

    It also counts repeated answers to a proposal, which a check reports as a fault.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._pending: dict[int, PendingRequest] = {}
        self._answered: dict[int, ProposalAttempt] = {}

    def add(self, token: int, reply: ReplyTo, attempt: ProposalAttempt | None = None) -> None:
        """Add a request that waits for its answer."""
        self._pending[token] = PendingRequest(reply, attempt)

    def answer(self, effect: ProposalDone | ReadDone) -> None:
        """Record an answer and pass it to the client.

        If the request is not open, only a repeated answer to a proposal is counted.
        """
        pending = self._pending.pop(effect.token, None)
        if pending is None:
            if effect.token in self._answered:
                self._answered[effect.token].answers += 1
            return
        if pending.attempt is not None and isinstance(effect, ProposalDone):
            pending.attempt.result = effect.result
            pending.attempt.answers += 1
            self._answered[effect.token] = pending.attempt
        pending.reply(effect)

    def clear(self) -> None:
        """Remove the open requests, because the process has ended."""
        self._pending.clear()
