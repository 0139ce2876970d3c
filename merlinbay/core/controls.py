"""Recall, suspend and resume of open requests, for fronts whose protocol has these operations.

The dispatcher calls this for the operations that clients ask for, and for the servers' replies to them.
Results go to the request's responder. A reply is ignored if its attempt has ended or its request is answered.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from merlinbay.core.attempt_lifecycle import AttemptLifecycle
from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.interfaces import ServerTransport
from merlinbay.core.messages import (
    AttemptControlled,
    AttemptRecalled,
    AttemptStatusUnknown,
    ControlRequested,
    RecallRequested,
)
from merlinbay.core.request_lifecycle import RequestLifecycle
from merlinbay.core.requests import OpenRequest, RequestTable
from merlinbay.decision.outcomes import Outcome


class RequestControls:
    """Handles the messages of these operations. Only the dispatcher's task calls it; no method waits."""

    def __init__(
        self,
        requests: RequestTable,
        request_lifecycle: RequestLifecycle,
        attempt_lifecycle: AttemptLifecycle,
        servers: ServerTransport,
    ) -> None:
        self.requests, self.servers = requests, servers
        self.request_lifecycle, self.attempt_lifecycle = request_lifecycle, attempt_lifecycle
        self.handlers: dict[type, Callable[[Any], None]] = {
            RecallRequested: self._on_recall_requested,
            ControlRequested: self._on_control_requested,
            AttemptRecalled: self._on_recalled,
            AttemptControlled: self._on_controlled,
            AttemptStatusUnknown: self._on_status_unknown,
        }

    def _find(
        self, message: AttemptRecalled | AttemptControlled | AttemptStatusUnknown
    ) -> tuple[OpenRequest, ServerAttempt] | None:
        """Return the unanswered request and the open attempt of a message, or None if there are none."""
        attempt = self.requests.find_attempt(message.name, message.server)
        if attempt is None:
            return None
        request = self.requests.request_of(attempt)
        return None if request.is_answered else (request, attempt)

    def _on_recall_requested(self, message: RecallRequested) -> None:
        # A request that is already answered needs no reply, because the answer contains its result.
        request = self.requests.find_unanswered(message.name, message.responder)
        if request is None or request.is_recalling:
            return
        request.is_recalling = True
        for attempt in request.open_attempts.values():
            self.servers.recall(attempt)

    def _on_control_requested(self, message: ControlRequested) -> None:
        request = self.requests.find_unanswered(message.name, message.responder)
        if request is None:
            return
        if len(request.open_attempts) == 1:
            self.servers.control(next(iter(request.open_attempts.values())), message.action)
            return
        # With several attempts none is suspended: a hedge would run on while the other attempt is suspended.
        cause = f"{len(request.open_attempts)} servers have the job"
        request.responder.on_control_ended(message.action, "TryLaterException", cause)

    def _on_recalled(self, message: AttemptRecalled) -> None:
        if (match := self._find(message)) is None:
            return
        request, attempt = match
        if request.is_recalling and (not message.was_returned or attempt.has_started):
            request.is_recalling = False
            request.responder.on_recall_ended(False)
        if not message.was_returned:
            return
        # An attempt returned because of a recall ends as CANCELLED: FULL would make its server look full.
        if not request.is_recalling:
            self.attempt_lifecycle.end(attempt, Outcome.FULL)
        elif len(request.open_attempts) > 1:  # The reply for the last open attempt decides.
            self.attempt_lifecycle.end(attempt, Outcome.CANCELLED, was_returned=True)
        else:
            # The request is closed first, so that the module learns that it is final and does not retry it.
            self.request_lifecycle.mark_recalled(request)
            request.responder.on_recall_ended(True)
            self.attempt_lifecycle.end(attempt, Outcome.CANCELLED, was_returned=True)

    def _on_controlled(self, message: AttemptControlled) -> None:
        if (match := self._find(message)) is None:
            return
        request, attempt = match
        if not message.error:
            self.attempt_lifecycle.set_suspended(attempt, message.action == "suspend")
        request.responder.on_control_ended(message.action, message.error, message.message)

    def _on_status_unknown(self, message: AttemptStatusUnknown) -> None:
        if (match := self._find(message)) is None:
            return
        request, _ = match
        if message.is_queued:
            request.responder.on_still_queued()
        else:
            request.responder.on_status_unknown()
