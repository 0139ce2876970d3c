"""What happens when a timer of the dispatcher is due."""

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
    """Ends requests and attempts at their deadlines, and passes the decision module's timers on to it."""

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
                if not request.is_answered and request.deadline_at_us <= self.batch.now_us:
                    self._end_request(request)

    def _end_attempt_if_open(self, attempt: ServerAttempt) -> None:
        if self.requests.find_attempt(attempt.spec.name, attempt.server) is attempt:
            self.attempt_lifecycle.cancel(attempt, Outcome.TIMEOUT)

    def _end_request(self, request: OpenRequest) -> None:
        """End a request's attempts; fail it if the module has not answered it a moment after that."""
        attempts = list(request.open_attempts.values())
        for attempt in attempts:
            self.attempt_lifecycle.cancel(attempt, Outcome.TIMEOUT)
        if attempts:
            self.timers.add(self.batch.now_us + self.limits.deadline_recheck_us, RequestDeadline(request))
            return
        # Guards against a request that the module keeps, or has failed on, past its deadline.
        self.request_lifecycle.fail_overdue(request)
