"""Carries out decisions: dispatches a request and updates every part that counts it, sheds it, or cancels.

Called for each first attempt and retry, and by ``Hedging`` for hedges. A request without a suitable endpoint
gets its final answer from ``Admission.shed``.
"""

from __future__ import annotations

from merlinbay.decision.actions import Cancel, Dispatch
from merlinbay.decision.admission import Admission
from merlinbay.decision.attempt_timers import AttemptTimers
from merlinbay.decision.context import Context
from merlinbay.decision.endpoint_state import Endpoint
from merlinbay.decision.endpoints import Endpoints
from merlinbay.decision.health_checks import HealthChecks
from merlinbay.decision.load_estimates import LoadEstimates
from merlinbay.decision.outlier_detection import OutlierDetection
from merlinbay.decision.placement import Placement
from merlinbay.decision.request_state import Attempt, TrackedRequest
from merlinbay.decision.requests import TrackedRequests
from merlinbay.decision.slow_start import SlowStart
from merlinbay.decision.warm_up import WarmUp


class Dispatching:
    """Emits dispatches and cancels, and notifies each part of them. It has no state of its own."""

    def __init__(
        self,
        context: Context,
        endpoints: Endpoints,
        requests: TrackedRequests,
        timers: AttemptTimers,
        load: LoadEstimates,
        outliers: OutlierDetection,
        warm_up: WarmUp,
        slow_start: SlowStart,
        admission: Admission,
        placement: Placement,
        health_checks: HealthChecks,
    ) -> None:
        self._context, self._endpoints, self._requests, self._timers = context, endpoints, requests, timers
        self._load, self._outliers, self._warm_up, self._slow_start = load, outliers, warm_up, slow_start
        self._admission, self._placement, self._health_checks = admission, placement, health_checks

    def decide(self, request: TrackedRequest) -> None:
        """Dispatch the request if an endpoint is found, else give its final answer.

        While the request waits for health checks, it is dispatched to free slots only and gets no answer.
        """
        waits_for_checks = request.pending_health_checks > 0
        endpoint = self._placement.choose(request, waits_for_checks or request.needs_free_slots)
        if endpoint is not None:
            self.dispatch(request, endpoint)
        elif not waits_for_checks:
            self._requests.forget(request)
            self._admission.shed(request)

    def dispatch(self, request: TrackedRequest, endpoint: Endpoint) -> None:
        """Send an attempt to an eligible endpoint."""
        self._context.emit(Dispatch(request.id, endpoint.name))
        self._health_checks.forget(request)
        has_free_slots = self._load.free_slots(endpoint) >= request.slots
        self._requests.open_attempt(request, endpoint, has_free_slots)
        if request.uses_reservation:
            self._endpoints.take_reserved(endpoint, request.slots)
        self._outliers.note_dispatch(endpoint)
        self._placement.note_dispatch(endpoint)
        self._endpoints.note_dispatch(endpoint)
        if self._warm_up.is_warming(endpoint):
            self._slow_start.charge(endpoint, request.run_time_us * request.slots)
        self._timers.set_hedge_check(request)

    def cancel(self, request: TrackedRequest, number: int) -> None:
        """Cancel one attempt."""
        self._context.emit(Cancel(request.id, number))

    def cancel_all(self, request: TrackedRequest) -> None:
        """Cancel all open attempts, if the deployment permits cancels."""
        if self._context.settings.limits.cancelling:
            for number, attempt in enumerate(request.attempts):
                if attempt.is_open:
                    self.cancel(request, number)

    def cancel_waiting(self, request: TrackedRequest, started: Attempt) -> None:
        """Cancel the waiting attempts of a request that has started; those that run go on until one ends."""
        if self._context.settings.limits.cancelling and request.open_attempts > 1:
            for number, attempt in enumerate(request.attempts):
                if attempt.is_open and attempt is not started and not attempt.started_at_us:
                    self.cancel(request, number)
