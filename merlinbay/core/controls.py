"""Recall, suspend and resume: what fronts with more than the platform's calls ask of open requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.interfaces import ServerTransport
from merlinbay.core.messages import (
    AttemptControlled,
    AttemptRecalled,
    AttemptStatusUnknown,
    AttemptSuspended,
    ControlRequested,
    RecallRequested,
)
from merlinbay.core.requests import OpenRequest, RequestTable
from merlinbay.decision.events import Event, ExecutionPaused
from merlinbay.decision.outcomes import Outcome


class EndAttempt(Protocol):
    """How the owner ends an attempt."""

    def __call__(self, attempt: ServerAttempt, outcome: Outcome) -> None:
        """End it, once."""


class RequestControls:
    """Handlers of these messages, by type. Called by the owner's task alone; nothing here waits."""

    def __init__(
        self,
        requests: RequestTable,
        servers: ServerTransport,
        end_attempt: EndAttempt,
        tell_module: Callable[[Event], None],
    ) -> None:
        self.requests, self.servers = requests, servers
        self.end_attempt, self.tell_module = end_attempt, tell_module
        self.handlers: dict[type, Callable[[Any], None]] = {
            RecallRequested: self._recall,
            ControlRequested: self._control,
            AttemptRecalled: self._on_recalled,
            AttemptControlled: self._on_controlled,
            AttemptSuspended: self._on_suspended,
            AttemptStatusUnknown: self._on_unseen,
        }

    def _open(
        self, message: AttemptRecalled | AttemptControlled | AttemptStatusUnknown
    ) -> tuple[OpenRequest, ServerAttempt] | None:
        """Return the open attempt that a message is about, and its request, unless that is answered."""
        attempt = self.requests.attempts.get((message.name, message.server))
        if attempt is None:
            return None
        request = self.requests.request_of(attempt)
        return None if request.is_answered else (request, attempt)

    def _recall(self, message: RecallRequested) -> None:
        # A request that is done has been answered: that, and nothing here, tells what became of it.
        request = self.requests.find_unanswered(message.name, message.responder)
        if request is None or request.is_recalling:
            return
        request.is_recalling = True
        for attempt in request.open_attempts.values():
            self.servers.recall(attempt)

    def _control(self, message: ControlRequested) -> None:
        request = self.requests.find_unanswered(message.name, message.responder)
        if request is None:
            return
        if len(request.open_attempts) == 1:
            self.servers.control(next(iter(request.open_attempts.values())), message.action)
            return
        # Guards against a copy that runs on while the other is suspended.
        count = len(request.open_attempts)
        request.responder.on_control_ended(
            message.action, "TryLaterException", f"{count} servers have the job"
        )

    def _on_recalled(self, message: AttemptRecalled) -> None:
        """Take a server's word on an attempt that is to come back unstarted."""
        if (found := self._open(message)) is None:
            return
        request, attempt = found
        if request.is_recalling and (not message.was_returned or attempt.has_started):
            request.is_recalling = False
            request.responder.on_recall_ended(False)
        if not message.was_returned:
            return
        # Guards against a server that looks full for having given back what was asked for: that is CANCELLED.
        if not request.is_recalling:
            self.end_attempt(attempt, Outcome.FULL)
        elif len(request.open_attempts) > 1:  # the others are asked too: the last one's word counts
            self.end_attempt(attempt, Outcome.CANCELLED)
        else:
            request.is_answered = (
                True  # Guards against a next attempt: the module hears that nothing is owed.
            )
            request.responder.on_recall_ended(True)
            self.end_attempt(attempt, Outcome.CANCELLED)

    def _on_controlled(self, message: AttemptControlled) -> None:
        if (found := self._open(message)) is None:
            return
        request, attempt = found
        if not message.error:
            attempt.is_suspended = message.action == "suspend"
            self.tell_module(ExecutionPaused(attempt.request_number, attempt.number, attempt.is_suspended))
        request.responder.on_control_ended(message.action, message.error, message.message)

    def _on_suspended(self, message: AttemptSuspended) -> None:
        attempt = self.requests.attempts.get((message.name, message.server))
        if attempt is None or attempt.is_suspended:
            return
        attempt.has_started = attempt.is_suspended = True
        self.tell_module(ExecutionPaused(attempt.request_number, attempt.number, True))
        request = self.requests.request_of(attempt)
        if not request.is_answered:
            request.responder.on_suspended()

    def _on_unseen(self, message: AttemptStatusUnknown) -> None:
        if (found := self._open(message)) is None:
            return
        request, _ = found
        if message.is_queued:
            request.responder.on_found_queued()
        else:
            request.responder.on_status_unknown()
