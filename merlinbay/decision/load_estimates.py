"""Estimates the slots that other balancers (peers) hold, the free slots and the load of the fleet.

Counts are slots. Balancers do not tell each other their load: an endpoint's load report shows what all of
them hold there, and an endpoint that has not reported lately is assumed to hold the mean. ``LoadReports``,
``OutcomeLearning`` and ``Hedging`` pass on observations; placement, admission and costs ask for estimates.
Without any reports the estimates rest on our own load and the configured number of balancers.
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

UNCERTAINTY_MARGIN = 0.65  # share of the standard deviation of an unobserved count that counts as held
MAX_PEER_REPORTS = 64  # maximum number of reports in the median of what peers hold
PEER_REPORT_MEMORY_US = 2_000_000  # maximum age of a report that counts; a queue is gone within a second
MIN_MEAN_PEER_WEIGHT = 0.1  # minimum weight of one report in the mean of what peers hold at an endpoint
PRIOR_REPORTS = 4  # reports that count as much as the prior: the configured balancers, or the mean load
RECOUNT_INTERVAL_US = 200_000  # interval of counting all slots anew, since learned slots change meanwhile
MIN_CAPACITY_SHARE = 0.1  # minimum share of its capacity that a warming endpoint counts with


class PeerReport(NamedTuple):
    """The slots that peers hold at an endpoint, by one load report."""

    at_us: int
    slots: float  # slots held by peers, divided by the endpoint's share of its capacity
    kind: Kind


class LoadEstimates:
    """Owns the estimates of the peers' load and of the slots of all endpoints."""

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
        self.smoothed_in_flight = 0.0  # our slots in flight, smoothed
        self.total_slots = 1.0  # slots of the endpoints in use
        self.lost_in_flight = 0.0  # our slots in flight at endpoints that are not in use or hang
        self.peer_reports: deque[PeerReport] = deque()
        self.median_peer_share = 0.0  # share of an endpoint's slots held by peers: the median of the reports
        self._recount_at_us = 0

    # Updates.

    def smooth_in_flight(self, decay: float) -> None:
        """Add our slots in flight to their mean; ``decay`` is the weight that the mean so far keeps."""
        # Slots in flight at lost endpoints are left out. Multiplied by the number of balancers they would
        # count as held at the remaining endpoints, and the fleet would reject all requests for seconds.
        in_flight = max(self._requests.in_flight_slots - self.lost_in_flight, 0.0)
        self.smoothed_in_flight = self.smoothed_in_flight * decay + in_flight * (1 - decay)

    def add_peer_report(self, endpoint: Endpoint, held: float) -> None:
        """Add a report of the slots held at an endpoint to the reports of what peers hold."""
        # The report counts only if it shows held slots, since a count derived from free slots cannot exceed
        # the slots and so misses queues. The share of the slots can be computed only if these are reported.
        if self._context.settings.held_field and endpoint.kind.capacity.slots_are_reported:
            peers = max(0.0, held - endpoint.in_flight.in_flight_slots)
            share = max(self._warm_up.capacity_share(endpoint), MIN_CAPACITY_SHARE)
            self.peer_reports.append(PeerReport(self._context.now_us, peers / share, endpoint.kind))

    def update_median_peer_share(self) -> None:
        """Compute the median share of slots held by peers, from recent reports and the slots known now."""
        # Old reports are dropped even if no new ones replace them, since a node that rejects all requests
        # gets no new reports.
        reports, oldest_us = self.peer_reports, self._context.now_us - PEER_REPORT_MEMORY_US
        while reports and (len(reports) > MAX_PEER_REPORTS or reports[0][0] < oldest_us):
            reports.popleft()
        if reports:
            self.median_peer_share = statistics.median(
                slots / kind.capacity.slots for _, slots, kind in reports
            )

    def observe_peers(self, endpoint: Endpoint, peer_slots: float) -> None:
        """Record an observation of the slots that peers hold at an endpoint now."""
        load = endpoint.peer_load
        load.observed_peer_slots, load.peer_slots_at_us = max(0.0, peer_slots), self._context.now_us

    def observe_peers_unawaited(self, endpoint: Endpoint, peer_slots: float) -> None:
        """Add a report that no request waited for to the mean of the slots that peers hold at an endpoint."""
        load = endpoint.peer_load
        load.unawaited_reports += 1
        weight = max(MIN_MEAN_PEER_WEIGHT, 1 / load.unawaited_reports)
        load.mean_peer_slots += (max(peer_slots, 0.0) - load.mean_peer_slots) * weight

    def observe_full(self, endpoint: Endpoint) -> None:
        """Record after a rejection that the endpoint is full, with a queue of as many slots as it has."""
        full = 2 * endpoint.kind.capacity.slots - endpoint.in_flight.in_flight_slots
        self.observe_peers(endpoint, max(self.peer_slots(endpoint), full))

    def observe_waiting(self, endpoint: Endpoint, slots: float) -> None:
        """Record that an endpoint was full, after a request of ``slots`` has not started there in time."""
        full = endpoint.kind.capacity.slots + slots - endpoint.in_flight.in_flight_slots
        self.observe_peers(endpoint, max(self.peer_slots(endpoint), full))

    def request_recount(self) -> None:
        """Make the next call of ``recount_if_due`` count the slots."""
        self._recount_at_us = self._context.now_us

    def recount_if_due(self) -> None:
        """Call ``recount`` if the interval since the last count is over or a count was requested."""
        if self._context.now_us >= self._recount_at_us:
            self.recount()
            self._recount_at_us = self._context.now_us + RECOUNT_INTERVAL_US

    def recount(self) -> None:
        """Count the slots of the endpoints in use, and our slots in flight at lost endpoints."""
        # A warming endpoint counts with its share of capacity. Otherwise it would be assumed to hold as much
        # as a warm one and would get no requests.
        share = self._warm_up.capacity_share
        self.total_slots = max(
            1.0, sum(endpoint.kind.capacity.slots * share(endpoint) for endpoint in self._endpoints.usable)
        )
        self.lost_in_flight = sum(
            endpoint.in_flight.in_flight_slots
            for endpoint in self._endpoints.by_name.values()
            if endpoint.in_flight.in_flight_slots
            and (endpoint.state != "up" or self._outliers.is_hung(endpoint))
        )

    # Estimates.

    def peer_count(self) -> float:
        """Return the peers' load as a multiple of ours: the configured number of peers, or less by reports.

        The configured number is too high if we get more than our share of the traffic, or if most peers have
        died, so reports lower it. Their median is used because long queues at a few endpoints say nothing
        about the free slots of the others. Reports never raise the number: they are seconds old, and a
        balancer that rejects all requests because of them gets no newer ones while the servers stand idle.
        """
        configured = self._context.settings.balancers - 1
        if not configured or not self.peer_reports or self.smoothed_in_flight <= 0:
            return configured
        count = len(self.peer_reports)
        reported = min(self.median_peer_share * self.total_slots / self.smoothed_in_flight, configured)
        return configured + (reported - configured) * count / (count + PRIOR_REPORTS)

    def peer_slots(self, endpoint: Endpoint) -> float:
        """Return the estimated slots that peers hold at an endpoint."""
        return self._peer_slots(endpoint, self._observation_weight(endpoint))

    def _peer_slots(self, endpoint: Endpoint, weight: float) -> float:
        # The mean of our slots in flight is multiplied by the number of peers, not our slots at this
        # endpoint: these are so few that a single request of ours there, multiplied, would close the gate.
        # An endpoint without reports is assumed to hold this mean, and an observation decays to it.
        load = endpoint.peer_load
        mean = (
            self.peer_count()
            * self.smoothed_in_flight
            * endpoint.kind.capacity.slots
            * self._warm_up.capacity_share(endpoint)
            / self.total_slots
        )
        # The peers may use zones unevenly, so the mean of an endpoint's own reports replaces the fleet's mean
        # the more reports there are.
        reports = load.unawaited_reports
        mean += (load.mean_peer_slots - mean) * reports / (reports + PRIOR_REPORTS)
        return mean + (load.observed_peer_slots - mean) * weight

    def _observation_weight(self, endpoint: Endpoint) -> float:
        """Return the weight from 0 to 1 that the last observation of an endpoint still has."""
        at_us = endpoint.peer_load.peer_slots_at_us
        if at_us < 0:
            return 0.0
        return math.exp((at_us - self._context.now_us) / self._offered.mean_work_us)

    def free_slots(self, endpoint: Endpoint, uncertainty_margin: float = UNCERTAINTY_MARGIN) -> float:
        """Return the free slots, or below 0 the queued ones. A warming endpoint has only a part of its slots.

        ``uncertainty_margin``: the share of the estimate's standard deviation that counts as held.
        """
        weight = self._observation_weight(endpoint)
        peers = self._peer_slots(endpoint, weight)
        # The true counts of the endpoints vary about the mean, and free slots at one do not make up for a
        # queue at another. So a share of the standard deviation of the unobserved part counts as held.
        deviation = peers * math.sqrt((1 - weight) / (1 + peers))
        slots = endpoint.kind.capacity.slots * self._warm_up.capacity_share(endpoint)
        ours = endpoint.in_flight.in_flight_slots
        return slots - ours - endpoint.reserved_slots - peers - uncertainty_margin * deviation

    def utilization(self, kind: Kind) -> float:
        """Return O2A's r: the offered load over the service rate."""
        # A node that gets more than its share of the traffic would overestimate the fleet's load by its own
        # arrivals, so the peers' load as estimated from reports limits the result.
        own = self._offered.arrival_rate.per_us * self._offered.mean_work_us
        load = own * self._context.settings.balancers
        if self.peer_reports:
            load = min(load, own + self.peer_count() * self.smoothed_in_flight)
        return load * kind.kind_pace / self.total_slots

    def departure_interval_us(self, kind: Kind) -> float:
        """Return the mean time between two requests that end at a full endpoint of a kind."""
        return self._offered.mean_work_us * kind.kind_pace / kind.capacity.slots

    def queueing_delay_us(self, endpoint: Endpoint, free: float, slots: float) -> float:
        """Return how long a request of ``slots`` waits if ``free`` slots are free; below 0: slots queued."""
        return max(0.0, slots - free) * self.departure_interval_us(endpoint.kind)

    # Handover.

    def restore(self, learned: LoadSnapshot) -> None:
        """Restore the mean of our slots in flight from a snapshot."""
        self.smoothed_in_flight = learned.smoothed_in_flight

    def restore_endpoint(self, endpoint: Endpoint, learned: EndpointSnapshot) -> None:
        """Restore the last observation of an endpoint from a snapshot."""
        endpoint.peer_load.observed_peer_slots = learned.peer_slots
        endpoint.peer_load.peer_slots_at_us = learned.peer_slots_at_us
