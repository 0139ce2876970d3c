"""Learns from load reports: free slots, held requests, free memory, and how reliable the reports are.

``OutcomeLearning`` passes on the reports that come with answers, ``Balancer`` those of health checks. Reports
of unknown endpoints and values that make no sense are ignored.
"""

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

RATE_WEIGHT = 0.05  # weight of one answer in the hit rate, and of one report in the stale rate
HEALTH_CHECK_REPORT_AGE_US = 120_000  # assumed age of the load report in the answer to a health check
UNAWAITED_REPORT_WEIGHT = 0.5  # weight of a report against the estimate, since reports are old and noisy
FREE_MEMORY_RUNS = 1.0  # mean run times for which reported free memory counts; then others hold the memory


class LoadReports:
    """Owns the last report of each endpoint, and two rates that show how well estimates and reports agree."""

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
        self.capacity_hit_rate = 1.0  # share of requests sent to apparently free slots that were accepted
        self.stale_estimate_rate = 0.5  # share of reports that contradicted whether a slot was free

    def learn_capacity_hit(self, attempt: Attempt, outcome: int) -> None:
        """Learn whether an attempt that was sent to apparently free slots was accepted."""
        # Reports may be frozen or false. If endpoints reject requests although they report free slots,
        # reports get less weight and the mean more.
        if attempt.found_free_slots and outcome in (Outcome.OK, Outcome.FULL):
            self.capacity_hit_rate += ((outcome == Outcome.OK) - self.capacity_hit_rate) * RATE_WEIGHT

    def lacks_memory(self, endpoint: Endpoint, memory: float) -> bool:
        """Return whether the endpoint recently reported less free memory than a request needs."""
        # The report counts for a limited time. An endpoint that gets no requests does not report that memory
        # is free again, so it would be excluded for good.
        last = endpoint.last_report
        return last.free_memory < memory and (
            self._context.now_us < last.free_memory_at_us + FREE_MEMORY_RUNS * self._offered.mean_work_us
        )

    def apply_report(self, event: AttemptEnded | HealthCheckEnded, is_awaited: bool = False) -> None:
        """Learn from the load report of an event, if it has one; ``is_awaited``: a request waits for it.

        A report that repeats the last one is ignored unless a request waits for it.
        """
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
        """Learn slots from a report; return the slots held at the endpoint, None if the report lacks them."""
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
        """Learn from the held slots of a report how many of them peers hold."""
        load, asks_first = self._load, self._context.settings.asks_first
        load.add_peer_report(endpoint, held)
        ours = endpoint.in_flight.in_flight_slots
        if asks_first and not is_awaited:
            # Requests that were sent after the report was made are not in it.
            ours = self._requests.in_flight_at(endpoint, self._context.now_us - HEALTH_CHECK_REPORT_AGE_US)
            load.observe_peers_unawaited(endpoint, held - ours)
        estimate = load.peer_slots(endpoint)
        if asks_first:
            seems_free = load.free_slots(endpoint) >= 1
            is_free = endpoint.kind.capacity.slots - held >= 1
            self.stale_estimate_rate += ((seems_free != is_free) - self.stale_estimate_rate) * RATE_WEIGHT
        weight = self.capacity_hit_rate * (1.0 if is_awaited else UNAWAITED_REPORT_WEIGHT)
        load.observe_peers(endpoint, estimate + (held - ours - estimate) * weight)

    def restore(self, learned: LoadSnapshot) -> None:
        """Restore the hit rate from a snapshot."""
        self.capacity_hit_rate = learned.capacity_hit_rate
