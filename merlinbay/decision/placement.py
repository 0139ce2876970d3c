"""Which endpoint a request goes to: affinity, free slots first, then the gate, then a crossing's price."""

from __future__ import annotations

import math
import zlib
from typing import NamedTuple

from merlinbay.decision.admission import Admission
from merlinbay.decision.context import Context
from merlinbay.decision.costs import Costs
from merlinbay.decision.eligibility import Eligibility
from merlinbay.decision.endpoint_state import Endpoint
from merlinbay.decision.endpoints import Endpoints
from merlinbay.decision.load_estimates import UNCERTAINTY_MARGIN, LoadEstimates
from merlinbay.decision.request_state import TrackedRequest
from merlinbay.decision.run_times import RunTimes
from merlinbay.decision.slow_start import SlowStart

SAMPLE_SIZE = 8  # endpoints sampled for one request: bounds its cost at any fleet size
AFFINITY_ENDPOINTS = 2  # endpoints over all zones that a key prefers after its first in the own zone
MAX_CACHED_KEYS = 4096  # keys whose endpoints are remembered, to save hashing the fleet anew
CROSS_ZONE_SHARE_WEIGHT = 0.02  # weight of one request in the share that crosses zones


class Candidate(NamedTuple):
    """An endpoint that may be chosen, and its free slots; below 0, so many wait."""

    endpoint: Endpoint
    free_slots: float


class Placement:
    """Owns the endpoints that keys prefer, and the share of our requests that crosses zones."""

    def __init__(
        self,
        context: Context,
        endpoints: Endpoints,
        run_times: RunTimes,
        load: LoadEstimates,
        slow_start: SlowStart,
        eligibility: Eligibility,
        admission: Admission,
        costs: Costs,
    ) -> None:
        self._context, self._endpoints, self._run_times = context, endpoints, run_times
        self._load, self._slow_start, self._eligibility = load, slow_start, eligibility
        self._admission, self._costs = admission, costs
        self.cross_zone_share = 0.0
        self._affinity: dict[str, list[Endpoint]] = {}  # by key: its few endpoints, in order

    def candidate_batches(self, request: TrackedRequest) -> list[list[Endpoint]]:
        """Return batches of endpoints to look at, the preferred ones first."""
        near, far = self._endpoints.pools.get(request.class_state.spec.kind) or ([], [])
        scope = self._eligibility.scope_of_repeat(request)
        if scope is not None:
            return [scope]
        if request.allowed_endpoints:
            # Guards against samples that miss the few endpoints that the request is bound to.
            by_name = self._endpoints.by_name
            return [[by_name[name] for name in request.allowed_endpoints if name in by_name]]
        if request.key:
            # Guards against keys fetched everywhere: what an endpoint caches for a key is worth more than
            # free slots, so a request with a key stays with its few endpoints while one of them can be used.
            preferred = self._eligibility.eligible(request, self._preferred(request.key, near, far))
            if preferred:
                return [[endpoint] for endpoint in preferred]
        # Guards against recovering endpoints that nobody tries: idle ones have more free slots than one that
        # warms up. Warming ones come first while we have a share of their budget.
        warming, sample = self._slow_start.candidates(SAMPLE_SIZE), self._endpoints.sample
        return [
            self._endpoints.recovering,
            warming + sample(near, SAMPLE_SIZE),
            sample(far, SAMPLE_SIZE),
        ]

    def choose(
        self, request: TrackedRequest, free_only: bool = False, uncertainty_margin: float = UNCERTAINTY_MARGIN
    ) -> Endpoint | None:
        """Return an endpoint with free slots for the request, else one under its gate; nearer ones first.

        ``free_only``: none where the request would wait. ``uncertainty_margin``: see
        ``LoadEstimates.free_slots``.
        """
        own_zone = self._context.settings.zone
        waits_for_checks = request.health_check_replies or request.pending_health_checks
        batches = self._health_checked(request) if waits_for_checks else self.candidate_batches(request)
        gates: dict[int, float] = {}  # by kind: how many may wait
        best, near, best_rank = None, None, (True, math.inf)
        for batch in batches:
            for endpoint in self._eligibility.eligible(request, batch):
                free = self._free_for(request, endpoint, uncertainty_margin)
                rank = (self._run_times.is_slow(endpoint), -free)
                if rank >= best_rank:
                    continue
                if free < request.slots:
                    if free_only or endpoint.reserved_slots or request.uses_reservation:
                        continue  # nobody waits for reserved slots
                    if not self._may_wait(request, endpoint, free, gates):
                        continue
                best, best_rank = Candidate(endpoint, free), rank
            if best is not None and (best.free_slots >= request.slots or request.key):
                break
            if best is not None and best.endpoint.zone == own_zone:
                near = best
        return self._weigh_crossing(request, best, near)

    def _free_for(self, request: TrackedRequest, endpoint: Endpoint, uncertainty_margin: float) -> float:
        if request.uses_reservation:
            return endpoint.reserved_slots
        return self._load.free_slots(endpoint, uncertainty_margin)

    def _may_wait(
        self, request: TrackedRequest, endpoint: Endpoint, free: float, gates: dict[int, float]
    ) -> bool:
        """Tell whether the endpoint's gate admits the request. A gate is drawn once for each kind."""
        kind = id(endpoint.kind)
        if kind not in gates:
            gates[kind] = self._admission.max_waiting(endpoint.kind, request)
        return -free < gates[kind]

    def _weigh_crossing(
        self, request: TrackedRequest, best: Candidate | None, near: Candidate | None
    ) -> Endpoint | None:
        """Return the best endpoint, or the best of our own zone where the crossing is not worth its price."""
        if best is None:
            return None
        settings = self._context.settings
        is_free = best.endpoint.zone == settings.zone or not settings.cross_zone_price
        if is_free or request.allowed_endpoints:
            return best.endpoint
        if self._costs.is_crossing_worthwhile(request, best, near):
            return best.endpoint
        return near.endpoint if near else None

    def _health_checked(self, request: TrackedRequest) -> list[list[Endpoint]]:
        """Return the endpoints that answered the request's health checks.

        Where crossings cost, those of other zones count only once all have answered.
        """
        replies, settings = request.health_check_replies, self._context.settings
        far = [endpoint for endpoint in replies if endpoint.zone != settings.zone]
        if not settings.cross_zone_price or not far:
            return [replies]
        near = [endpoint for endpoint in replies if endpoint.zone == settings.zone]
        return [near] if request.pending_health_checks else [near, far]

    def _preferred(self, key: str, near: list[Endpoint], far: list[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that a key prefers, by highest hash: the same at every balancer."""
        if key not in self._affinity:
            if len(self._affinity) >= MAX_CACHED_KEYS:
                self._affinity.clear()
            seed, own_zone = zlib.crc32(key.encode()), self._context.settings.zone
            ranked = sorted(
                near + far, key=lambda endpoint: zlib.crc32(endpoint.name.encode(), seed), reverse=True
            )
            first = [endpoint for endpoint in ranked if endpoint.zone == own_zone][:1]
            others = [endpoint for endpoint in ranked if endpoint not in first]
            self._affinity[key] = first + others[:AFFINITY_ENDPOINTS]
        return self._affinity[key]

    def cached_key_count(self) -> int:
        """Return for how many keys endpoints are remembered."""
        return len(self._affinity)

    def forget_affinity(self) -> None:
        """Forget the endpoints that keys prefer: the endpoint list has changed."""
        self._affinity.clear()

    def note_dispatch(self, endpoint: Endpoint) -> None:
        """Count a dispatch in the share that crosses zones."""
        crosses = endpoint.zone != self._context.settings.zone
        self.cross_zone_share += (crosses - self.cross_zone_share) * CROSS_ZONE_SHARE_WEIGHT
