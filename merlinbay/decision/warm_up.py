"""How the capacity of a server grows after its start: evenly, from a first share to all of it."""

from __future__ import annotations

import math

from merlinbay.decision.context import Context
from merlinbay.decision.endpoint_state import Endpoint

MIN_GROWTH_PER_US = 1e-12  # keeps the inverse finite where the capacity does not grow


class WarmUp:
    """The capacity curve of slow start; it has no state of its own."""

    def __init__(self, context: Context) -> None:
        self._context, self._safety = context, context.settings.safety

    def is_warming(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint has started too lately to have its full capacity."""
        ready_at_us = endpoint.ready_at_us
        return ready_at_us > 0 and self._context.now_us - ready_at_us < self._safety.cold_us

    def capacity_share(self, endpoint: Endpoint) -> float:
        """Return the share of its capacity that an endpoint has by now, at the least."""
        if not self.is_warming(endpoint):
            return 1.0
        safety, age_us = self._safety, max(0, self._context.now_us - endpoint.ready_at_us)
        return safety.cold_from + (1 - safety.cold_from) * age_us / safety.cold_us

    def cumulative_capacity_us(self, endpoint: Endpoint, until_us: int) -> float:
        """Return the endpoint's share of its capacity, summed over time from its start."""
        age_us = max(0, until_us - endpoint.ready_at_us)
        return self._safety.cold_from * age_us + self._growth_per_us() * age_us * age_us / 2

    def reached_at_us(self, endpoint: Endpoint, since_us: int, amount_us: float) -> int:
        """Return when the share, summed over time since then, reaches an amount."""
        first_share, growth = self._safety.cold_from, self._growth_per_us()
        amount_us += self.cumulative_capacity_us(endpoint, since_us)
        past = math.sqrt(first_share**2 + 2 * growth * amount_us) - first_share
        return endpoint.ready_at_us + int(past / growth)

    def _growth_per_us(self) -> float:
        return (1 - self._safety.cold_from) / max(self._safety.cold_us, 1) + MIN_GROWTH_PER_US
