"""Measures the load that clients offer, including rejected requests.

This is the arrival rate, the work and weight of the mean request, and the rate of each tenant. ``Balancer``
counts each request here when it arrives, before it is decided on.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from merlinbay.decision.context import Context
from merlinbay.decision.handover_snapshot import LoadSnapshot
from merlinbay.decision.request_state import TrackedRequest

RATE_MEMORY_US = 2_000_000  # time constant of arrival rates: longer than a stall, shorter than a burst
MIN_ARRIVALS = 20  # minimum requests in a mean; with fewer, a single request would stop admission
MEAN_REQUEST_WEIGHT = 0.01  # minimum weight of one request in the mean request
MIN_SLOTS = 0.01  # minimum slots that a request counts with
MIN_PRIORITY_WEIGHT = 1e-9  # lower bound of the mean priority weight in a division


@dataclass(slots=True)
class DecayingRate:
    """A rate of events per microsecond that decays exponentially."""

    last_event_at_us: int
    per_us: float = 0.0

    def add(self, now_us: int) -> float:
        """Count one event; return the factor by which earlier events have decayed since the last one."""
        decay = math.exp((self.last_event_at_us - now_us) / RATE_MEMORY_US)
        self.per_us, self.last_event_at_us = self.per_us * decay + 1 / RATE_MEMORY_US, now_us
        return decay


class OfferedLoad:
    """Owns the statistics of the requests that arrive."""

    def __init__(self, context: Context, mean_work_us: float) -> None:
        self._context = context
        self.arrival_rate = DecayingRate(context.now_us)
        self.offered_requests = 0
        self.mean_work_us = mean_work_us  # mean of slots times run time
        self.mean_priority_weight = 1.0
        self.mean_slots = 1.0
        self._tenant_rates: dict[str, DecayingRate] = {}

    def count_arrival(self) -> float:
        """Count a request; return the factor by which a mean over about the last run time decays."""
        decay, rate = self.arrival_rate.add(self._context.now_us), self.arrival_rate.per_us
        self.offered_requests += 1
        # A mean that reaches back longer than its requests last keeps admission too strict or too lax for
        # too long, so that it swings.
        span_us = max(self.mean_work_us, min(RATE_MEMORY_US, MIN_ARRIVALS / rate))
        return math.pow(decay, RATE_MEMORY_US / span_us)

    def learn_mean_request(self, request: TrackedRequest) -> None:
        """Add a request to the mean request."""
        weight = max(MEAN_REQUEST_WEIGHT, 1 / self.offered_requests)
        work_us = request.run_time_us * max(request.slots, MIN_SLOTS)
        self.mean_work_us += (work_us - self.mean_work_us) * weight
        self.mean_priority_weight += (request.priority_weight - self.mean_priority_weight) * weight
        self.mean_slots += (request.slots - self.mean_slots) * weight

    def count_tenant_request(self, tenant: str) -> bool:
        """Count a tenant's request; return whether the tenant is over its quota.

        Its rate is estimated as the rate of its requests here times the number of balancers.
        """
        settings = self._context.settings
        listed = next((entry for entry in settings.tenants if entry.name == tenant), None)
        if listed is None:
            return False  # Clients can make up any number of names, which have no quota.
        own_rate = self._tenant_rates.setdefault(tenant, DecayingRate(self._context.now_us))
        own_rate.add(self._context.now_us)
        return own_rate.per_us * settings.balancers * 1e6 > listed.quota_per_s

    def priority_density(self, request: TrackedRequest) -> float:
        """Return the request's priority weight per slot and second, relative to the mean request's."""
        work_us = request.run_time_us * max(request.slots, MIN_SLOTS)
        return (
            request.priority_weight
            / work_us
            * self.mean_work_us
            / max(self.mean_priority_weight, MIN_PRIORITY_WEIGHT)
        )

    def restore(self, learned: LoadSnapshot) -> None:
        """Restore the statistics from a snapshot of a former process."""
        self.arrival_rate = DecayingRate(
            min(learned.arrival_rate_at_us, self._context.now_us), learned.arrival_rate
        )
        self.offered_requests = learned.offered_requests
        self.mean_work_us = learned.mean_work_us
        self.mean_priority_weight = learned.mean_priority_weight
