"""Takes load reports: free slots, held requests and free memory; how far reports are to be believed."""

from __future__ import annotations

from merlinbay.decision.capacity_learning import CapacityLearning
from merlinbay.decision.context import Context
from merlinbay.decision.endpoint_state import Endpoint
from merlinbay.decision.endpoints import Endpoints
from merlinbay.decision.events import AttemptEnded, HealthCheckEnded
from merlinbay.decision.handover_snapshot import LoadSnapshot
from merlinbay.decision.load_estimates import LoadEstimates
from merlinbay.decision.offered_load import OfferedLoad
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.request_state import Attempt
from merlinbay.decision.requests import TrackedRequests
from merlinbay.decision.warm_up import WarmUp

RATE_WEIGHT = 0.05  # weight of one answer in the hit rate, of one report in the stale rate
HEALTH_CHECK_REPORT_AGE_US = 120_000  # the report to a health check shows an endpoint as it was so long ago
UNAWAITED_REPORT_WEIGHT = 0.5  # weight of a report against the estimate: reports are old and noisy
FREE_MEMORY_RUNS = 1.0  # mean run times for which reported free memory counts: then other requests hold it


class LoadReports:
    """Owns the last report of each endpoint, and two rates of how well estimates and reports agree."""

    def __init__(
        self,
        context: Context,
        endpoints: Endpoints,
        requests: TrackedRequests,
        offered: OfferedLoad,
        warm_up: WarmUp,
        capacity: CapacityLearning,
        load: LoadEstimates,
    ) -> None:
        self._context, self._endpoints, self._requests = context, endpoints, requests
        self._offered, self._warm_up, self._capacity, self._load = offered, warm_up, capacity, load
        self.capacity_hit_rate = 1.0  # how often an endpoint that seemed to have free slots took the request
        self.stale_estimate_rate = 0.5  # how often a report contradicted whether there is a free slot

    def learn_capacity_hit(self, attempt: Attempt, outcome: int) -> None:
        """Learn from an attempt that was sent to free slots: whether they were there."""
        # Guards against reports that are frozen or lie: where free slots are answered with a rejection, the
        # mean counts for more, and what they say for less.
        if attempt.found_free_slots and outcome in (Outcome.OK, Outcome.FULL):
            self.capacity_hit_rate += ((outcome == Outcome.OK) - self.capacity_hit_rate) * RATE_WEIGHT

    def lacks_memory(self, endpoint: Endpoint, memory: float) -> bool:
        """Tell whether the endpoint reported lately to have less free memory than a request needs."""
        # Guards against an endpoint shut out for good: without a request no report says that memory is free.
        last = endpoint.last_report
        return last.free_memory < memory and (
            self._context.now_us < last.free_memory_at_us + FREE_MEMORY_RUNS * self._offered.mean_work_us
        )

    def apply_report(self, event: AttemptEnded | HealthCheckEnded, is_awaited: bool = False) -> None:
        """Take a report; a repeated or absurd value is ignored. ``is_awaited``: a request waits for it."""
        endpoint, report = self._endpoints.by_name.get(event.endpoint), event.report
        if endpoint is None or report is None:
            return
        last, settings = endpoint.last_report, self._context.settings
        if report == last.report_values and not is_awaited:
            return
        values = settings.read(report)
        last.report_values = report
        last.free_memory = values.get(settings.free_memory_field, last.free_memory)
        last.free_memory_at_us = self._context.now_us
        held = self._learn_slots(endpoint, values)
        if held is not None:
            self._learn_held(endpoint, held, is_awaited)

    def _learn_slots(self, endpoint: Endpoint, values: dict[str, float]) -> float | None:
        """Learn slots from a report; return the slots that are held there, if it tells them."""
        settings = self._context.settings
        free, held = values.get(settings.free_slots_field), values.get(settings.held_field)
        if free is not None:
            self._capacity.learn_from_report(endpoint, free, held)
            if settings.held_field:
                return held
            queued = values.get(settings.queued_field, 0.0) * self._offered.mean_slots
            return endpoint.kind.capacity.slots - free + queued
        if held is not None and settings.queued_field in values and not self._warm_up.is_warming(endpoint):
            self._capacity.learn_from_running(endpoint.kind, held - values[settings.queued_field])
        return held

    def _learn_held(self, endpoint: Endpoint, held: float, is_awaited: bool) -> None:
        """Learn what peers hold at the endpoint."""
        load, asks_first = self._load, self._context.settings.asks_first
        load.add_peer_report(endpoint, held)
        ours = endpoint.in_flight.in_flight_slots
        if asks_first and not is_awaited:
            ours = self._requests.in_flight_at(endpoint, self._context.now_us - HEALTH_CHECK_REPORT_AGE_US)
            load.observe_peers_unawaited(endpoint, held - ours)
        before = load.peer_slots(endpoint)
        if asks_first:
            believed = load.free_slots(endpoint) >= 1
            reported = endpoint.kind.capacity.slots - held >= 1
            self.stale_estimate_rate += ((believed != reported) - self.stale_estimate_rate) * RATE_WEIGHT
        weight = self.capacity_hit_rate * (1.0 if is_awaited else UNAWAITED_REPORT_WEIGHT)
        load.observe_peers(endpoint, before + (held - ours - before) * weight)

    def restore(self, learned: LoadSnapshot) -> None:
        """Take over the hit rate."""
        self.capacity_hit_rate = learned.capacity_hit_rate
