"""Schedules checks of attempts and of requests' pending health checks. One timer serves all of them.

Parts set checks; ``Balancer`` takes the due ones when the timer fires. A check of a request that is gone is
dropped.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from merlinbay.decision.actions import SetTimer
from merlinbay.decision.context import Context
from merlinbay.decision.request_state import Attempt, TrackedRequest
from merlinbay.decision.requests import TrackedRequests
from merlinbay.decision.settings import Idempotency

TIMER_TOKEN = "watch"  # token of ``SetTimer`` and ``TimerFired``
HEALTH_CHECKS = -1  # number that stands for the request's health checks instead of an attempt
MIN_RECHECK_DELAY_US = 1000.0  # lower bound of the delay until a running attempt is checked


class AttemptTimers:
    """Owns the heap of scheduled checks."""

    def __init__(self, context: Context, requests: TrackedRequests) -> None:
        self._context, self._requests = context, requests
        self._due: list[tuple[int, int, int]] = []  # heap of (time, request id, attempt's number)
        self._timer_at_us = 0

    def __len__(self) -> int:
        """Return the number of scheduled checks."""
        return len(self._due)

    def set(self, request_id: int, number: int, delay_us: float) -> None:
        """Schedule a check of an attempt, or of a request's health checks, after a delay."""
        now_us, delay = self._context.now_us, int(delay_us)
        heapq.heappush(self._due, (now_us + delay, request_id, number))
        if not now_us < self._timer_at_us <= now_us + delay:
            self._timer_at_us = now_us + delay
            self._context.emit(SetTimer(delay, TIMER_TOKEN))

    def set_hedge_check(self, request: TrackedRequest) -> None:
        """Schedule a check of the latest attempt if starts are reported and the request may be hedged."""
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
        """Schedule a check of a running attempt after some mean run times of its class and machine kind."""
        mean_us = request.class_state.run_time_us * attempt.endpoint.kind.kind_pace
        delay_us = int(max(mean_us * mean_run_times, MIN_RECHECK_DELAY_US))
        attempt.recheck_at_us = self._context.now_us + delay_us
        self.set(request.id, number, delay_us)

    def take_due(self) -> Iterator[tuple[TrackedRequest, int]]:
        """Remove the due checks, and yield the request and the attempt's number of each."""
        while self._due and self._due[0][0] <= self._context.now_us:
            _, request_id, number = heapq.heappop(self._due)
            request = self._requests.by_id.get(request_id)
            if request is not None:
                yield request, number

    def set_next(self) -> None:
        """Set the timer for the next check if no timer is set."""
        if self._due and self._timer_at_us <= self._context.now_us:
            self._timer_at_us = self._due[0][0]
            self._context.emit(SetTimer(self._timer_at_us - self._context.now_us, TIMER_TOKEN))
