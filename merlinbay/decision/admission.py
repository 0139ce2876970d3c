"""Limits how many requests may wait at an endpoint, and sheds the requests that may wait nowhere.

The limit follows O2A, the paper "Optimal Admission Control Mechanism Design for Time-Sensitive Services in
Edge Computing". O2A admits a request to a queue of at most N waiting ones, and to the next place with
probability q. N and q follow from two ratios: r, the offered load over the service rate, and (R-p)/c, the
worth of an answer over the cost of waiting. Here (R-p)/c is the latency objective, measured in mean
intervals between departures, weighted by priority to the degree that slots are scarce.
"""

from __future__ import annotations

from merlinbay.decision.actions import Fail, Reject
from merlinbay.decision.context import Context
from merlinbay.decision.eligibility import Eligibility
from merlinbay.decision.endpoint_lease import EndpointLease
from merlinbay.decision.endpoint_state import Kind
from merlinbay.decision.load_estimates import LoadEstimates
from merlinbay.decision.offered_load import OfferedLoad
from merlinbay.decision.request_state import TrackedRequest
from merlinbay.decision.requests import TrackedRequests
from merlinbay.decision.threshold import threshold

MAX_PRIORITY_DENSITY = 4.0  # upper bound of the priority density
MIN_SPARE_SHARE = 0.01  # lower bound of the share of slots that is spare
MIN_LOST_SHARE = 0.1  # lower bound of the share of the priority weight that a late answer loses
MAX_LOAD, MAX_WORTH_OVER_COST = 100.0, 1000.0  # The threshold does not change beyond these.
# Bounds of Retry-After, as shares of the latency objective. It is drawn between them, because clients that
# were rejected together would otherwise return together.
RETRY_AFTER_SHARES = (0.1, 0.5)


class Admission:
    """Decides how many requests may queue, and sheds those that may not. It has no state of its own."""

    def __init__(
        self,
        context: Context,
        requests: TrackedRequests,
        offered: OfferedLoad,
        load: LoadEstimates,
        lease: EndpointLease,
        eligibility: Eligibility,
    ) -> None:
        self._context, self._requests, self._offered, self._load = context, requests, offered, load
        self._lease, self._eligibility = lease, eligibility

    def max_waiting(self, kind: Kind, request: TrackedRequest) -> float:
        """Return O2A's N, plus one with probability q. Where requests wait, r counts as at least 1."""
        load, spec = self._load.utilization(kind), request.class_state.spec
        # The priority weight per slot and second counts only to the degree that other requests need slots.
        density = min(MAX_PRIORITY_DENSITY, self._offered.priority_density(request))
        scarcity = 1 - min(1.0, load) * (1 - density)
        interval_us = self._load.departure_interval_us(kind)
        if self._context.settings.queue_order == "backfill" and request.slots > 1:
            # Counts a longer wait for a request of several slots, because with backfill requests of one slot
            # overtake it again and again.
            interval_us *= request.slots / max(1 - load, MIN_SPARE_SHARE)
        # (R-p)/c is scaled so that at r = 1 the last admitted request is answered just in time.
        lost_share = max(1 - spec.late_worth, MIN_LOST_SHARE)
        k = (1 + spec.aim_us / interval_us * scarcity / lost_share) / 2
        n, q = threshold(round(min(max(load, 1.0), MAX_LOAD), 2), round(min(k, MAX_WORTH_OVER_COST), 1))
        return n + (self._context.rng.random() < q)

    def shed(self, request: TrackedRequest) -> None:
        """Reject the request if a repeat is harmless, else fail it."""
        self._requests.close(request)
        may_reject, limits = self._eligibility.may_reject, self._context.settings.limits
        wait_us = 0
        if limits.retry_after and may_reject(request):
            share = self._context.rng.uniform(*RETRY_AFTER_SHARES)
            wait_us = int(min(request.class_state.spec.aim_us * share, limits.max_retry_after_us))
        if may_reject(request, wait_us):
            reason = "no_room" if self._lease.is_usable(self._context.now_us) else "list_overdue"
            self._context.emit(Reject(request.id, wait_us, reason))
        else:
            self._context.emit(Fail(request.id))
