"""When to look at an attempt, or at a request's health checks, again. One timer serves all."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from merlinbay.decision.actions import SetTimer
from merlinbay.decision.context import Context
from merlinbay.decision.request_state import Attempt, TrackedRequest
from merlinbay.decision.requests import TrackedRequests
from merlinbay.decision.settings import Idempotency

TIMER_TOKEN = "watch"  # of ``SetTimer`` and ``TimerFired``
HEALTH_CHECKS = -1  # stands for the request's health checks, in place of an attempt's number
MIN_RECHECK_DELAY_US = 1000.0  # a running attempt is not checked sooner


class AttemptTimers:
    """Owns the heap of what is due."""

    def __init__(self, context: Context, requests: TrackedRequests) -> None:
        self._context, self._requests = context, requests
        self._due: list[tuple[int, int, int]] = []  # heap: when, request, attempt's number
        self._timer_at_us = 0

    def __len__(self) -> int:
        """Return how many are waited for."""
        return len(self._due)

    def set(self, request_id: int, number: int, delay_us: float) -> None:
        """Have an attempt looked at after a while."""
        now_us, delay = self._context.now_us, int(delay_us)
        heapq.heappush(self._due, (now_us + delay, request_id, number))
        if not now_us < self._timer_at_us <= now_us + delay:
            self._timer_at_us = now_us + delay
            self._context.emit(SetTimer(delay, TIMER_TOKEN))

    def set_hedge_check(self, request: TrackedRequest) -> None:
        """Have the latest attempt looked at where starts are reported and the request may be hedged."""
        settings = self._context.settings
        if (
            settings.tells_start
            and settings.limits.second_copies
            and request.idempotency is not Idempotency.NONE
        ):
            dispatched = len(request.attempts)
            self.set(request.id, dispatched - 1, request.hedging_delay_us * dispatched)

    def set_run_check(
        self, request: TrackedRequest, attempt: Attempt, number: int, mean_run_times: float
    ) -> None:
        """Have a running attempt looked at after so many mean run times of its class and kind."""
        mean_us = request.class_state.run_time_us * attempt.endpoint.kind.kind_pace
        delay_us = int(max(mean_us * mean_run_times, MIN_RECHECK_DELAY_US))
        attempt.recheck_at_us = self._context.now_us + delay_us
        self.set(request.id, number, delay_us)

    def take_due(self) -> Iterator[tuple[TrackedRequest, int]]:
        """Take the requests and attempts' numbers that are due."""
        while self._due and self._due[0][0] <= self._context.now_us:
            _, request_id, number = heapq.heappop(self._due)
            request = self._requests.by_id.get(request_id)
            if request is not None:
                yield request, number

    def set_next(self) -> None:
        """Set the timer for what is due next, if none is set."""
        if self._due and self._timer_at_us <= self._context.now_us:
            self._timer_at_us = self._due[0][0]
            self._context.emit(SetTimer(self._timer_at_us - self._context.now_us, TIMER_TOKEN))
