"""The capacity of an endpoint after its start: it grows linearly from an initial share to the whole.

``SlowStart`` and the load estimates ask for it; an endpoint without a known start time counts as warm.
"""

from __future__ import annotations

import math

from merlinbay.decision.context import Context
from merlinbay.decision.endpoint_state import Endpoint

MIN_GROWTH_PER_US = 1e-12  # keeps ``reached_at_us`` finite if the capacity does not grow


class WarmUp:
    """Computes the capacity during slow start; it has no state of its own."""

    def __init__(self, context: Context) -> None:
        self._context, self._safety = context, context.settings.safety

    def is_warming(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint has started too recently to have its full capacity."""
        ready_at_us = endpoint.ready_at_us
        return ready_at_us > 0 and self._context.now_us - ready_at_us < self._safety.cold_us

    def capacity_share(self, endpoint: Endpoint) -> float:
        """Return the share of its capacity that an endpoint has now at least."""
        if not self.is_warming(endpoint):
            return 1.0
        safety, age_us = self._safety, max(0, self._context.now_us - endpoint.ready_at_us)
        return safety.cold_from + (1 - safety.cold_from) * age_us / safety.cold_us

    def cumulative_capacity_us(self, endpoint: Endpoint, until_us: int) -> float:
        """Return the integral of the endpoint's capacity share over time, from its start to ``until_us``."""
        age_us = max(0, until_us - endpoint.ready_at_us)
        return self._safety.cold_from * age_us + self._growth_per_us() * age_us * age_us / 2

    def reached_at_us(self, endpoint: Endpoint, since_us: int, amount_us: float) -> int:
        """Return when the integral of the capacity share from ``since_us`` on reaches ``amount_us``."""
        first_share, growth = self._safety.cold_from, self._growth_per_us()
        amount_us += self.cumulative_capacity_us(endpoint, since_us)
        grown_share = math.sqrt(first_share**2 + 2 * growth * amount_us) - first_share
        return endpoint.ready_at_us + int(grown_share / growth)

    def _growth_per_us(self) -> float:
        return (1 - self._safety.cold_from) / max(self._safety.cold_us, 1) + MIN_GROWTH_PER_US
