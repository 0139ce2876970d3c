"""The load that clients offer, rejected requests included: arrival rate, mean request, tenants' rates."""

from __future__ import annotations

import math
from dataclasses import dataclass

from merlinbay.decision.context import Context
from merlinbay.decision.handover_snapshot import LoadSnapshot
from merlinbay.decision.request_state import TrackedRequest

RATE_MEMORY_US = 2_000_000  # of the arrival rate: longer than a stall, shorter than a burst
MIN_ARRIVALS = 20  # requests that a mean rests on at the least: with fewer, one request would shut gates
MEAN_REQUEST_WEIGHT = 0.01  # the least weight of one request in the mean request
MIN_SLOTS = 0.01  # no request counts as smaller
MIN_PRIORITY_WEIGHT = 1e-9  # the mean counts as no less


@dataclass(slots=True)
class DecayingRate:
    """Events per microsecond, forgotten exponentially."""

    last_event_at_us: int
    per_us: float = 0.0

    def add(self, now_us: int) -> float:
        """Count one event; return the share that is left of what was counted before."""
        left = math.exp((self.last_event_at_us - now_us) / RATE_MEMORY_US)
        self.per_us, self.last_event_at_us = self.per_us * left + 1 / RATE_MEMORY_US, now_us
        return left


class OfferedLoad:
    """Owns what is known of the requests that arrive."""

    def __init__(self, context: Context, mean_work_us: float) -> None:
        self._context = context
        self.arrival_rate = DecayingRate(context.now_us)
        self.offered_requests = 0
        self.mean_work_us = mean_work_us  # slots times run time
        self.mean_priority_weight = 1.0
        self.mean_slots = 1.0
        self._tenant_rates: dict[str, DecayingRate] = {}

    def count_arrival(self) -> float:
        """Count a request; return the factor by which a mean over the last run time decays."""
        left, rate = self.arrival_rate.add(self._context.now_us), self.arrival_rate.per_us
        self.offered_requests += 1
        # Guards against swings: a mean older than the requests it counts keeps gates shut, or open, too long.
        span_us = max(self.mean_work_us, min(RATE_MEMORY_US, MIN_ARRIVALS / rate))
        return math.pow(left, RATE_MEMORY_US / span_us)

    def learn_mean_request(self, request: TrackedRequest) -> None:
        """Count the request in the mean one."""
        weight = max(MEAN_REQUEST_WEIGHT, 1 / self.offered_requests)
        work_us = request.run_time_us * max(request.slots, MIN_SLOTS)
        self.mean_work_us += (work_us - self.mean_work_us) * weight
        self.mean_priority_weight += (request.priority_weight - self.mean_priority_weight) * weight
        self.mean_slots += (request.slots - self.mean_slots) * weight

    def count_tenant_request(self, tenant: str) -> bool:
        """Count a tenant's request; tell whether it is over its quota, by our part of its requests."""
        settings, rate = self._context.settings, 0.0
        if tenant:
            counted = self._tenant_rates.setdefault(tenant, DecayingRate(self._context.now_us))
            counted.add(self._context.now_us)
            rate = counted.per_us * settings.balancers * 1e6
        return any(one.name == tenant and rate > one.quota_per_s for one in settings.tenants)

    def priority_density(self, request: TrackedRequest) -> float:
        """Return the request's priority weight for each slot and second, over the mean request's."""
        work_us = request.run_time_us * max(request.slots, MIN_SLOTS)
        return (
            request.priority_weight
            / work_us
            * self.mean_work_us
            / max(self.mean_priority_weight, MIN_PRIORITY_WEIGHT)
        )

    def restore(self, learned: LoadSnapshot) -> None:
        """Take over what a former process has learned."""
        self.arrival_rate = DecayingRate(
            min(learned.arrival_rate_at_us, self._context.now_us), learned.arrival_rate
        )
        self.offered_requests = learned.offered_requests
        self.mean_work_us = learned.mean_work_us
        self.mean_priority_weight = learned.mean_priority_weight
