"""Decides which endpoints may take a request now, by the rules of its class and the endpoints' condition.

It does not choose among them. Every dispatch goes through ``eligible``: first attempts, attempts after health
checks, hedges, retries, and requests with reserved slots or a list of allowed endpoints. Code that dispatches
to an endpoint without calling ``eligible`` is faulty. No attempt begins while the endpoint list is overdue.

``may_begin`` repeats the check right before the first byte, because a dial may have taken long since the
decision; an attempt that fails it is not sent. ``may_reject`` is called before a rejection,
after which the client sends the request again.
"""

from __future__ import annotations

from collections.abc import Iterable

from merlinbay.decision.context import Context
from merlinbay.decision.endpoint_lease import EndpointLease
from merlinbay.decision.endpoint_state import Endpoint
from merlinbay.decision.endpoints import Endpoints
from merlinbay.decision.events import UnresolvedAttempt
from merlinbay.decision.load_reports import LoadReports
from merlinbay.decision.outlier_detection import OutlierDetection
from merlinbay.decision.request_state import Attempt, TrackedRequest
from merlinbay.decision.requests import TrackedRequests
from merlinbay.decision.settings import Idempotency
from merlinbay.decision.slow_start import SlowStart
from merlinbay.decision.warm_up import WarmUp


class Eligibility:
    """The rules that every dispatch and rejection is checked against. It has no state of its own."""

    def __init__(
        self,
        context: Context,
        lease: EndpointLease,
        endpoints: Endpoints,
        requests: TrackedRequests,
        outliers: OutlierDetection,
        warm_up: WarmUp,
        slow_start: SlowStart,
        reports: LoadReports,
    ) -> None:
        self._context, self._lease = context, lease
        self._endpoints, self._requests = endpoints, requests
        self._outliers, self._warm_up = outliers, warm_up
        self._slow_start, self._reports = slow_start, reports

    # Called by other parts.

    def may_dispatch(self, request: TrackedRequest) -> bool:
        """Return whether the rules of its class permit another attempt now, at whichever endpoint."""
        # Dispatches nothing while the list is overdue: any endpoint on it may be draining, and the node
        # counts as notified of that even if no notification has arrived. Polls are planned before the
        # deadline, but their answers may not arrive by then.
        now_us = self._context.now_us
        if not self._lease.is_usable(now_us) or now_us >= request.deadline_at_us:
            return False
        if len(request.attempts) >= self._context.settings.limits.send_cap:
            return False
        return self._may_repeat(request, request.attempts, now_us)

    def may_begin(self, request_id: int, number: int, now_us: int) -> bool:
        """Return whether an open attempt, which has been decided on, still keeps the rules of its class.

        It is compared with all other attempts, later ones too, since a later one may have been sent first.
        """
        request = self._requests.by_id.get(request_id)
        if not self._lease.is_usable(now_us):
            return False
        if request is None or not 0 <= number < len(request.attempts):
            return False
        attempt = request.attempts[number]
        other_attempts = [other for other in request.attempts if other is not attempt]
        if not attempt.is_open or not self._may_repeat(request, other_attempts, now_us):
            return False
        others: list[Attempt | UnresolvedAttempt] = [*request.earlier_attempts, *other_attempts]
        return request.idempotency is Idempotency.ALWAYS or all(
            self._is_in_scope(request, other, attempt.zone, attempt.cell)
            for other in others
            if other.may_have_run
        )

    def may_reject(self, request: TrackedRequest, wait_us: int = 0) -> bool:
        """Return whether the request may be rejected, after which its client sends it again after a wait."""
        unresolved, spec = request.first_that_may_have_run, request.class_state.spec
        if unresolved is None or request.idempotency is Idempotency.ALWAYS:
            return True
        if request.idempotency is not Idempotency.BY_KEY or spec.group != "all":
            return False
        return self._context.now_us + wait_us < unresolved.dispatched_at_us + spec.window_us

    def eligible(self, request: TrackedRequest, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that may be sent the request now, in the given order."""
        if not self.may_dispatch(request):
            return []
        by_key = request.idempotency is Idempotency.BY_KEY
        unresolved = request.first_that_may_have_run if by_key else None
        return [
            endpoint
            for endpoint in endpoints
            if self._is_ready(endpoint, request)
            and self._can_run(endpoint, request)
            and (unresolved is None or self._is_in_scope(request, unresolved, endpoint.zone, endpoint.cell))
        ]

    def scope_of_repeat(self, request: TrackedRequest) -> list[Endpoint] | None:
        """Return the usable endpoints that drop a repeat, or None if no scope limits the choice."""
        spec, unresolved = request.class_state.spec, request.first_that_may_have_run
        if unresolved is None or request.idempotency is not Idempotency.BY_KEY or spec.group == "all":
            return None
        if spec.group == "cell":
            return self._endpoints.by_cell.get(unresolved.cell, [])
        return self._endpoints.by_zone.get(unresolved.zone, [])

    # Rules.

    def _may_repeat(self, request: TrackedRequest, other_attempts: list[Attempt], now_us: int) -> bool:
        """Return whether the class permits an attempt beside the others, at whichever endpoint."""
        second_copies = self._context.settings.limits.second_copies
        if not second_copies and any(other.is_open for other in other_attempts):
            return False
        unresolved = request.first_unresolved(other_attempts)
        if unresolved is None or request.idempotency is Idempotency.ALWAYS:
            return True
        window_us = request.class_state.spec.window_us
        return request.idempotency is Idempotency.BY_KEY and now_us < unresolved.dispatched_at_us + window_us

    def _is_ready(self, endpoint: Endpoint, request: TrackedRequest) -> bool:
        """Return whether the endpoint is in a condition to be sent the request now."""
        if endpoint.state != "up" or self._outliers.is_ejected(endpoint):
            return False
        if self._outliers.is_hung(endpoint):
            return False
        if not self._warm_up.is_warming(endpoint):
            return True
        return self._slow_start.may_admit(endpoint, request.run_time_us * request.slots)

    def _can_run(self, endpoint: Endpoint, request: TrackedRequest) -> bool:
        """Return whether the endpoint can run the request and has not been sent it before."""
        if request.allowed_endpoints and endpoint.name not in request.allowed_endpoints:
            return False
        kind = request.class_state.spec.kind
        if kind >= 0 and self._endpoints.kinds[self._context.settings.kinds[kind]] is not endpoint.kind:
            return False
        if request.was_sent_to(endpoint):
            return False
        return not self._reports.lacks_memory(endpoint, request.memory)

    def _is_in_scope(
        self, request: TrackedRequest, unresolved: Attempt | UnresolvedAttempt, zone: str, cell: int
    ) -> bool:
        """Return whether endpoints of this zone and cell drop a repeat of an attempt that may have run."""
        scope = request.class_state.spec.group
        if scope == "zone":
            return unresolved.zone == zone
        return scope == "all" or unresolved.cell == cell
