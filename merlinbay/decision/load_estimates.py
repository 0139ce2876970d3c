"""What other balancers hold, how many slots are free, and how loaded the fleet is. Counts are slots.

Other balancers are not heard of directly: an endpoint's load report shows what all of them hold there, and
an endpoint that has not reported lately is taken to hold what the mean one does.
"""

from __future__ import annotations

import math
import statistics
from collections import deque
from typing import NamedTuple

from merlinbay.decision.context import Context
from merlinbay.decision.endpoint_state import Endpoint, Kind
from merlinbay.decision.endpoints import Endpoints
from merlinbay.decision.handover_snapshot import EndpointSnapshot, LoadSnapshot
from merlinbay.decision.offered_load import OfferedLoad
from merlinbay.decision.outlier_detection import OutlierDetection
from merlinbay.decision.requests import TrackedRequests
from merlinbay.decision.warm_up import WarmUp

UNCERTAINTY_MARGIN = 0.65  # share of the spread of an unseen count that counts as held
MAX_PEER_REPORTS = 64  # reports that the median of what peers hold rests on, at the most
PEER_REPORT_MEMORY_US = 2_000_000  # the age of the oldest report that counts: a queue is gone within a second
MIN_MEAN_PEER_WEIGHT = 0.1  # the least weight of one report in what peers hold at an endpoint in the mean
PRIOR_REPORTS = 4  # so many reports count as much as the configured count of balancers
RECOUNT_INTERVAL_US = 200_000  # slots are learned on the way, so all are counted anew after this
MIN_CAPACITY_SHARE = 0.1  # no share of a warming endpoint's capacity counts as less


class PeerReport(NamedTuple):
    """What a report showed of other balancers."""

    at_us: int
    slots: float  # that they hold there, over the endpoint's share of its capacity
    kind: Kind


class LoadEstimates:
    """Owns the estimates of peers' load and of the slots of all endpoints."""

    def __init__(
        self,
        context: Context,
        endpoints: Endpoints,
        requests: TrackedRequests,
        offered: OfferedLoad,
        warm_up: WarmUp,
        outliers: OutlierDetection,
    ) -> None:
        self._context, self._endpoints, self._requests = context, endpoints, requests
        self._offered, self._warm_up, self._outliers = offered, warm_up, outliers
        self.smoothed_in_flight = 0.0  # our slots in flight
        self.total_slots = 1.0  # of the endpoints in use
        self.lost_in_flight = 0.0  # ours at endpoints that are not in use, or hang
        self.peer_reports: deque[PeerReport] = deque()
        self.median_peer_share = 0.0  # of an endpoint's slots, by the reports
        self._recount_at_us = 0

    # Updates.

    def smooth_in_flight(self, decay: float) -> None:
        """Count our slots in flight in their mean."""
        # Guards against a fleet that rejects all for seconds: requests that are stuck at lost endpoints,
        # times the balancers, would count as held at those that are left.
        in_flight = max(self._requests.in_flight_slots - self.lost_in_flight, 0.0)
        self.smoothed_in_flight = self.smoothed_in_flight * decay + in_flight * (1 - decay)

    def add_peer_report(self, endpoint: Endpoint, held: float) -> None:
        """Take note of what a report shows of peers' slots."""
        # A count derived from free slots cannot exceed the slots, so it misses queues. Without known slots no
        # share can be computed.
        if self._context.settings.held_field and endpoint.kind.capacity.slots_are_reported:
            peers = max(0.0, held - endpoint.in_flight.in_flight_slots)
            share = max(self._warm_up.capacity_share(endpoint), MIN_CAPACITY_SHARE)
            self.peer_reports.append(PeerReport(self._context.now_us, peers / share, endpoint.kind))

    def update_median_peer_share(self) -> None:
        """Take the median of the recent reports, by slots as they are known now."""
        # Guards against old reports that are never replaced: a node that rejects all gets no new ones.
        reports, oldest_us = self.peer_reports, self._context.now_us - PEER_REPORT_MEMORY_US
        while reports and (len(reports) > MAX_PEER_REPORTS or reports[0][0] < oldest_us):
            reports.popleft()
        if reports:
            self.median_peer_share = statistics.median(
                slots / kind.capacity.slots for _, slots, kind in reports
            )

    def observe_peers(self, endpoint: Endpoint, peer_slots: float) -> None:
        """Take an observation of what peers hold at an endpoint now."""
        load = endpoint.peer_load
        load.observed_peer_slots, load.peer_slots_at_us = max(0.0, peer_slots), self._context.now_us

    def observe_peers_unawaited(self, endpoint: Endpoint, peer_slots: float) -> None:
        """Count a report that no request waited for in the mean of what peers hold at its endpoint."""
        load = endpoint.peer_load
        load.unawaited_reports += 1
        weight = max(MIN_MEAN_PEER_WEIGHT, 1 / load.unawaited_reports)
        load.mean_peer_slots += (max(peer_slots, 0.0) - load.mean_peer_slots) * weight

    def observe_full(self, endpoint: Endpoint) -> None:
        """Take it from a rejection that an endpoint is full, and as many requests wait there."""
        full = 2 * endpoint.kind.capacity.slots - endpoint.in_flight.in_flight_slots
        self.observe_peers(endpoint, max(self.peer_slots(endpoint), full))

    def observe_waiting(self, endpoint: Endpoint, slots: float) -> None:
        """Take it from a request that has not started in time that its endpoint was full."""
        full = endpoint.kind.capacity.slots + slots - endpoint.in_flight.in_flight_slots
        self.observe_peers(endpoint, max(self.peer_slots(endpoint), full))

    def request_recount(self) -> None:
        """Have the slots counted at the next request."""
        self._recount_at_us = self._context.now_us

    def recount_if_due(self) -> None:
        """Count the slots of the endpoints in use, and ours at those that are lost, from time to time."""
        if self._context.now_us >= self._recount_at_us:
            self.recount()
            self._recount_at_us = self._context.now_us + RECOUNT_INTERVAL_US

    def recount(self) -> None:
        """Count the slots of the endpoints in use, and ours at those that are lost."""
        # Guards against warming endpoints that get nothing: they would count as holding what warm ones do.
        share = self._warm_up.capacity_share
        self.total_slots = max(
            1.0, sum(one.kind.capacity.slots * share(one) for one in self._endpoints.usable)
        )
        self.lost_in_flight = sum(
            one.in_flight.in_flight_slots
            for one in self._endpoints.by_name.values()
            if one.in_flight.in_flight_slots and (one.state != "up" or self._outliers.is_hung(one))
        )

    # Estimates.

    def peer_count(self) -> float:
        """Return how many of our size the other balancers are: those configured, or fewer by reports.

        Guards against traffic that is dealt unevenly, and against most of them dying at once: own counts
        times the configured count are too much by as much as we have more than our share. The median of
        reports is used since a few endpoints with long queues say nothing of the others' free slots.
        Reports lower the count and never raise it: they are seconds old, and who rejects all by them gets no
        newer ones, while the servers stand idle.
        """
        configured = self._context.settings.balancers - 1
        if not configured or not self.peer_reports or self.smoothed_in_flight <= 0:
            return configured
        count = len(self.peer_reports)
        reported = min(self.median_peer_share * self.total_slots / self.smoothed_in_flight, configured)
        return configured + (reported - configured) * count / (count + PRIOR_REPORTS)

    def peer_slots(self, endpoint: Endpoint) -> float:
        """Return the slots that other balancers hold at an endpoint."""
        return self._peer_slots(endpoint, self._observation_weight(endpoint))

    def _peer_slots(self, endpoint: Endpoint, weight: float) -> float:
        # Guards against coarse counts: scaled by the balancers, our one request there would shut a gate. So
        # the mean of our counts is scaled, an endpoint without reports holds it too, and observations fade
        # back to it.
        load = endpoint.peer_load
        mean = (
            self.peer_count()
            * self.smoothed_in_flight
            * endpoint.kind.capacity.slots
            * self._warm_up.capacity_share(endpoint)
            / self.total_slots
        )
        # Guards against zones that are not used alike: peers may hold much here, and nothing there.
        reports = load.unawaited_reports
        mean += (load.mean_peer_slots - mean) * reports / (reports + PRIOR_REPORTS)
        return mean + (load.observed_peer_slots - mean) * weight

    def _observation_weight(self, endpoint: Endpoint) -> float:
        """Return what part of the last observation of an endpoint still holds."""
        at_us = endpoint.peer_load.peer_slots_at_us
        if at_us < 0:
            return 0.0
        return math.exp((at_us - self._context.now_us) / self._offered.mean_work_us)

    def free_slots(self, endpoint: Endpoint, uncertainty_margin: float = UNCERTAINTY_MARGIN) -> float:
        """Return the free slots, below 0 the waiting ones. A warming endpoint has a part of its slots."""
        weight = self._observation_weight(endpoint)
        peers = self._peer_slots(endpoint, weight)
        # Guards against the mean's blind spot: endpoints' true counts lie spread about it, and a queue on
        # some is not made good by free slots on others. So a share of the unseen part's spread is added.
        spread = peers * math.sqrt((1 - weight) / (1 + peers))
        slots = endpoint.kind.capacity.slots * self._warm_up.capacity_share(endpoint)
        ours = endpoint.in_flight.in_flight_slots
        return slots - ours - endpoint.reserved_slots - peers - uncertainty_margin * spread

    def utilization(self, kind: Kind) -> float:
        """Return O2A's r: the offered load over the service rate."""
        # Guards against a node with more than its share of the traffic, which would overrate the fleet's
        # load.
        own = self._offered.arrival_rate.per_us * self._offered.mean_work_us
        load = own * self._context.settings.balancers
        if self.peer_reports:
            load = min(load, own + self.peer_count() * self.smoothed_in_flight)
        return load * kind.kind_pace / self.total_slots

    def departure_interval_us(self, kind: Kind) -> float:
        """Return the mean time between two ends of requests at an endpoint that is full."""
        return self._offered.mean_work_us * kind.kind_pace / kind.capacity.slots

    def queueing_delay_us(self, endpoint: Endpoint, free: float, slots: float) -> float:
        """Return how long a request waits at an endpoint with so many slots free; below 0, so many wait."""
        return max(0.0, slots - free) * self.departure_interval_us(endpoint.kind)

    # Handover.

    def restore(self, learned: LoadSnapshot) -> None:
        """Take over the mean of our slots in flight."""
        self.smoothed_in_flight = learned.smoothed_in_flight

    def restore_endpoint(self, endpoint: Endpoint, learned: EndpointSnapshot) -> None:
        """Take over what was observed of an endpoint."""
        endpoint.peer_load.observed_peer_slots = learned.peer_slots
        endpoint.peer_load.peer_slots_at_us = learned.peer_slots_at_us
