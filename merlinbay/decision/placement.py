"""Chooses the endpoint of a request: by affinity, by free slots, by the queue limit, by the cross-zone price.

It is asked at each first attempt, retry and hedge. It returns None if no endpoint may be sent the
request; the caller then sheds the request, or leaves it with the attempts that it has.
"""

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

SAMPLE_SIZE = 8  # endpoints sampled for one request, which bounds its cost at any fleet size
AFFINITY_ENDPOINTS = 2  # endpoints of any zone that a key prefers after its first one in the own zone
MAX_CACHED_KEYS = 4096  # keys whose endpoints are remembered, to avoid hashing the fleet for each request
CROSS_ZONE_SHARE_WEIGHT = 0.02  # weight of one request in the smoothed share that crosses zones


class Candidate(NamedTuple):
    """An endpoint that may be chosen, and its free slots. A negative number counts the slots waited for."""

    endpoint: Endpoint
    free_slots: float


class Placement:
    """Owns the endpoints that keys prefer, and the share of this balancer's requests that crosses zones."""

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
        # By hash of a key, since clients may send long keys: the endpoints that it prefers, in order.
        self._affinity: dict[int, list[Endpoint]] = {}

    def candidate_batches(self, request: TrackedRequest) -> list[list[Endpoint]]:
        """Return batches of candidate endpoints, the preferred ones first."""
        near, far = self._endpoints.pools.get(request.class_state.spec.kind) or ([], [])
        scope = self._eligibility.scope_of_repeat(request)
        if scope is not None:
            return [scope]
        if request.allowed_endpoints:
            # Looks at all endpoints that the request is bound to: a sample might miss these few.
            by_name = self._endpoints.by_name
            return [[by_name[name] for name in request.allowed_endpoints if name in by_name]]
        if request.key:
            # Keeps a request with a key at its few endpoints while one of them can be used. What an endpoint
            # has cached for the key is worth more than free slots; otherwise all endpoints would fetch it.
            preferred = self._eligibility.eligible(request, self._preferred(request.key, near, far))
            if preferred:
                return [[endpoint] for endpoint in preferred]
        # Puts recovering endpoints first: while they warm up they show fewer free slots than idle endpoints,
        # so nobody would try them otherwise. Warming endpoints come first while this balancer has a share of
        # their budget left.
        warming, sample = self._slow_start.candidates(SAMPLE_SIZE), self._endpoints.sample
        return [
            self._endpoints.recovering,
            warming + sample(near, SAMPLE_SIZE),
            sample(far, SAMPLE_SIZE),
        ]

    def choose(
        self, request: TrackedRequest, free_only: bool = False, uncertainty_margin: float = UNCERTAINTY_MARGIN
    ) -> Endpoint | None:
        """Return an endpoint with free slots for the request, else one below its queue limit; own zone first.

        With ``free_only``, endpoints where the request would wait are left out. ``uncertainty_margin`` goes
        to ``LoadEstimates.free_slots``.
        """
        own_zone = self._context.settings.zone
        uses_checks = request.health_check_replies or request.pending_health_checks
        batches = self._health_checked(request) if uses_checks else self.candidate_batches(request)
        queue_limits: dict[int, float] = {}  # by id() of the kind: how many requests may wait
        best, near, best_rank = None, None, (True, math.inf)
        for batch in batches:
            for endpoint in self._eligibility.eligible(request, batch):
                free = self._free_for(request, endpoint, uncertainty_margin)
                rank = (self._run_times.is_slow(endpoint), -free)
                if rank >= best_rank:
                    continue
                if free < request.slots:
                    if free_only or endpoint.reserved_slots or request.uses_reservation:
                        continue  # No request waits for reserved slots.
                    if not self._may_wait(request, endpoint, free, queue_limits):
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
        self, request: TrackedRequest, endpoint: Endpoint, free: float, queue_limits: dict[int, float]
    ) -> bool:
        """Return whether the queue limit admits the request. The limit is drawn once for each kind."""
        kind_id = id(endpoint.kind)
        if kind_id not in queue_limits:
            queue_limits[kind_id] = self._admission.max_waiting(endpoint.kind, request)
        return -free < queue_limits[kind_id]

    def _weigh_crossing(
        self, request: TrackedRequest, best: Candidate | None, near: Candidate | None
    ) -> Endpoint | None:
        """Return the best endpoint, or the best of the own zone if crossing zones is not worth its price."""
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
        """Return batches of the endpoints that answered the request's health checks.

        Where crossing zones has a price, endpoints of other zones count only after all answers have come.
        """
        replies, settings = request.health_check_replies, self._context.settings
        far = [endpoint for endpoint in replies if endpoint.zone != settings.zone]
        if not settings.cross_zone_price or not far:
            return [replies]
        near = [endpoint for endpoint in replies if endpoint.zone == settings.zone]
        return [near] if request.pending_health_checks else [near, far]

    def _preferred(self, key: str, near: list[Endpoint], far: list[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that a key prefers, highest hash first: the same ones at every balancer."""
        seed, own_zone = zlib.crc32(key.encode()), self._context.settings.zone
        if seed not in self._affinity:
            if len(self._affinity) >= MAX_CACHED_KEYS:
                self._affinity.clear()
            ranked = sorted(
                near + far, key=lambda endpoint: zlib.crc32(endpoint.name.encode(), seed), reverse=True
            )
            first = [endpoint for endpoint in ranked if endpoint.zone == own_zone][:1]
            remaining = [endpoint for endpoint in ranked if endpoint not in first]
            self._affinity[seed] = first + remaining[:AFFINITY_ENDPOINTS]
        return self._affinity[seed]

    def cached_key_count(self) -> int:
        """Return the number of keys whose endpoints are remembered."""
        return len(self._affinity)

    def forget_affinity(self) -> None:
        """Forget the endpoints that keys prefer. Called when the endpoint list has changed."""
        self._affinity.clear()

    def note_dispatch(self, endpoint: Endpoint) -> None:
        """Update the share of requests that crosses zones."""
        crosses = endpoint.zone != self._context.settings.zone
        self.cross_zone_share += (crosses - self.cross_zone_share) * CROSS_ZONE_SHARE_WEIGHT
