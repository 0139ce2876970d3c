"""Decides when endpoints are sent health checks, and which requests wait for the answers.

Checks are sent only where endpoints report their load in answers to health checks and nowhere else
(``Settings.asks_first``), and where the deployment permits them. An answer may get lost, so a request waits
for a limited time and is then placed by the answers that have come.
"""

from __future__ import annotations

from merlinbay.decision.actions import CheckHealth
from merlinbay.decision.attempt_timers import HEALTH_CHECKS, AttemptTimers
from merlinbay.decision.context import Context
from merlinbay.decision.costs import HealthCheckCosts
from merlinbay.decision.eligibility import Eligibility
from merlinbay.decision.endpoint_state import Endpoint
from merlinbay.decision.endpoints import Endpoints
from merlinbay.decision.offered_load import OfferedLoad
from merlinbay.decision.outlier_detection import OutlierDetection
from merlinbay.decision.placement import SAMPLE_SIZE, Placement
from merlinbay.decision.request_state import TrackedRequest
from merlinbay.decision.requests import TrackedRequests

CHECKS_PER_BATCH = 3  # health checks sent for one request to the own zone, and as many to other zones
REPLY_TIMEOUT_US = 150_000  # A request waits no longer for answers, since one may get lost.


class HealthChecks:
    """Owns the times of the last health checks, and which requests wait for which endpoints."""

    def __init__(
        self,
        context: Context,
        endpoints: Endpoints,
        requests: TrackedRequests,
        timers: AttemptTimers,
        offered: OfferedLoad,
        outliers: OutlierDetection,
        eligibility: Eligibility,
        placement: Placement,
        costs: HealthCheckCosts,
    ) -> None:
        self._context, self._endpoints, self._requests, self._timers = context, endpoints, requests, timers
        self._offered, self._outliers, self._eligibility = offered, outliers, eligibility
        self._placement, self._costs = placement, costs
        self._waiting: dict[
            str, list[TrackedRequest]
        ] = {}  # by endpoint name: the requests that wait for its answer

    def begin(self, request: TrackedRequest) -> bool:
        """Send the health checks that are worthwhile; return whether the request must wait for answers."""
        self.forget(request)
        settings = self._context.settings
        if settings.asks_first and settings.limits.probes:
            near, far = self._endpoints.pools.get(request.class_state.spec.kind) or ([], [])
            all_endpoints = near + far
            checks = CHECKS_PER_BATCH * (1 + bool(far))
            if all_endpoints and self._costs.is_waiting_worthwhile(
                all_endpoints[0].kind, checks, len(all_endpoints)
            ):
                self._check_for(request)
            else:
                cross_zone_share = self._placement.cross_zone_share
                self._check_stale(near, 1 - cross_zone_share)
                self._check_stale(far, cross_zone_share)
        if not request.pending_health_checks:
            return False
        left_us = request.deadline_at_us - self._context.now_us
        self._timers.set(request.id, HEALTH_CHECKS, min(REPLY_TIMEOUT_US, left_us / 2))
        return True

    def _check_for(self, request: TrackedRequest) -> None:
        """Send health checks for the request, which waits for the first endpoint that has free slots."""
        for batch in self._placement.candidate_batches(request):
            chosen = self._eligibility.eligible(request, batch)[:CHECKS_PER_BATCH]
            self._context.emit_all(CheckHealth(endpoint.name) for endpoint in chosen)
            self._requests.add(request)
            for endpoint in chosen:
                self._waiting.setdefault(endpoint.name, []).append(request)
            request.pending_health_checks += len(chosen)

    def _check_stale(self, pool: list[Endpoint], share: float) -> None:
        """Send health checks to a sample of endpoints of a pool whose last health check is too old.

        The interval depends on the share of this balancer's requests that the pool gets.
        """
        now_us = self._context.now_us
        for endpoint in self._endpoints.sample(pool, SAMPLE_SIZE):
            dispatches_per_us = self._offered.arrival_rate.per_us * share / len(pool)
            interval_us = self._costs.interval_us(endpoint.kind, dispatches_per_us)
            is_due = now_us - endpoint.health_check.health_check_at_us >= interval_us
            if is_due and not self._outliers.is_hung(endpoint):
                endpoint.health_check.health_check_at_us = now_us
                self._context.emit(CheckHealth(endpoint.name))

    def take_waiting(self, name: str) -> TrackedRequest | None:
        """Remove and return the first request that still waits for an answer of this endpoint, if any."""
        queue = self._waiting.pop(name, [])
        waiting = [request for request in queue if request.pending_health_checks and not request.is_done]
        if not waiting:
            return None
        if len(waiting) > 1:
            self._waiting[name] = waiting[1:]
        return waiting[0]

    def add_answer(self, request: TrackedRequest, endpoint: Endpoint | None) -> None:
        """Count an answer that the request waited for; the request may then choose ``endpoint``, if given."""
        request.pending_health_checks -= 1
        if endpoint is not None:
            request.health_check_replies.append(endpoint)

    def stop_waiting(self, request: TrackedRequest) -> bool:
        """Stop waiting for answers to the request's health checks; return whether it waited for any."""
        waited = request.pending_health_checks > 0
        request.pending_health_checks = 0
        return waited

    def forget(self, request: TrackedRequest) -> None:
        """Forget the request's health checks.

        A hedge is thus not placed by the answers to an earlier attempt's health checks.
        """
        request.health_check_replies, request.pending_health_checks = [], 0
