"""The handling of the dispatcher's timers that are due.

The dispatcher calls this in every batch, after the messages. A request still open a moment after its deadline
has passed is failed here, whatever the decision module does.
"""

from __future__ import annotations

from merlinbay.core.attempt_lifecycle import AttemptLifecycle
from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.event_batch import EventBatch
from merlinbay.core.request_lifecycle import RequestLifecycle
from merlinbay.core.requests import OpenRequest, RequestTable
from merlinbay.core.timers import AttemptDeadline, ModuleTimer, RequestDeadline, Timer, Timers
from merlinbay.decision.events import TimerFired
from merlinbay.decision.outcomes import Outcome
from merlinbay.limits import ResourceLimits


class Deadlines:
    """Ends requests and attempts at their deadlines, and notifies the decision module of its timers."""

    def __init__(
        self,
        requests: RequestTable,
        request_lifecycle: RequestLifecycle,
        attempt_lifecycle: AttemptLifecycle,
        timers: Timers,
        batch: EventBatch,
        limits: ResourceLimits,
    ) -> None:
        self.requests, self.timers, self.batch, self.limits = requests, timers, batch, limits
        self.request_lifecycle, self.attempt_lifecycle = request_lifecycle, attempt_lifecycle

    def fire_due(self) -> None:
        """Handle all timers that are due."""
        for timer in self.timers.pop_due(self.batch.now_us):
            self._fire(timer)

    def _fire(self, timer: Timer) -> None:
        match timer:
            case ModuleTimer(token):
                self.batch.add(TimerFired(token))
            case AttemptDeadline(attempt):
                self._end_attempt_if_open(attempt)
            case RequestDeadline(request):
                if request.deadline_at_us <= self.batch.now_us:
                    self._end_request(request)

    def _end_attempt_if_open(self, attempt: ServerAttempt) -> None:
        if self.requests.find_attempt(attempt.spec.name, attempt.server) is attempt:
            self.attempt_lifecycle.cancel(attempt, Outcome.TIMEOUT)

    def _end_request(self, request: OpenRequest) -> None:
        """Cancel a request's attempts; fail the request if the module has not answered it shortly after.

        A request that was answered, or whose client has left, may still have attempts: the settings may not
        allow cancels, and their servers may never report again.
        """
        attempts = list(request.open_attempts.values())
        for attempt in attempts:
            self.attempt_lifecycle.cancel(attempt, Outcome.TIMEOUT)
        if request.is_answered:
            return
        if attempts:
            self.request_lifecycle.set_deadline(request, self.batch.now_us + self.limits.deadline_recheck_us)
            return
        # The decision module has kept the request open past its deadline, or has raised an exception on it.
        self.request_lifecycle.fail_overdue(request)
