"""Passes the outcome of each attempt on to the parts that learn from it.

``Balancer`` calls it when an attempt has ended, whatever the outcome.
"""

from __future__ import annotations

from merlinbay.decision.capacity_learning import CapacityLearning
from merlinbay.decision.context import Context
from merlinbay.decision.events import AttemptEnded
from merlinbay.decision.load_estimates import LoadEstimates
from merlinbay.decision.load_reports import LoadReports
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.outlier_detection import OutlierDetection
from merlinbay.decision.request_state import Attempt, TrackedRequest
from merlinbay.decision.run_times import MIN_RUN_TIME_US, RunTimes


class OutcomeLearning:
    """Selects what each outcome shows and which part learns it; it has no state of its own."""

    def __init__(
        self,
        context: Context,
        outliers: OutlierDetection,
        run_times: RunTimes,
        capacity: CapacityLearning,
        load: LoadEstimates,
        reports: LoadReports,
    ) -> None:
        self._context, self._outliers, self._run_times = context, outliers, run_times
        self._capacity, self._load, self._reports = capacity, load, reports

    def learn(self, request: TrackedRequest, attempt: Attempt, event: AttemptEnded) -> None:
        """Learn from an attempt that has ended and from the load report that came with its outcome."""
        self._outliers.record_outcome(attempt, event)
        self._reports.learn_capacity_hit(attempt, event.outcome)
        if event.outcome == Outcome.OK:
            self._learn_run_time(request, attempt, event.took_us)
        elif event.outcome == Outcome.FULL:
            endpoint = attempt.endpoint
            held = endpoint.in_flight.in_flight_slots + self._load.peer_slots(endpoint)
            self._capacity.learn_from_rejection(endpoint, held)
            self._load.observe_full(endpoint)
        self._reports.apply_report(event)

    def _learn_run_time(self, request: TrackedRequest, attempt: Attempt, took_us: int) -> None:
        """Learn the run time of a completed request, without its wait in the queue if the start is known."""
        run_us, started_at_us = took_us, attempt.started_at_us
        if started_at_us:
            run_us = (attempt.paused_at_us or self._context.now_us) - started_at_us
        ratio = self._run_times.learn_completed(request, attempt, max(run_us, MIN_RUN_TIME_US))
        if not attempt.found_free_slots and not started_at_us:
            self._capacity.learn_queued_share(attempt.endpoint.kind, ratio)
