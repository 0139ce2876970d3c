"""Creates the parts of the balancer and connects them, once at the start.

``docs/DECISIONS.md`` shows which part calls which.
"""

from __future__ import annotations

from merlinbay.decision.admission import Admission
from merlinbay.decision.attempt_timers import AttemptTimers
from merlinbay.decision.capacity_learning import CapacityLearning
from merlinbay.decision.context import Context
from merlinbay.decision.costs import Costs, HealthCheckCosts
from merlinbay.decision.discovery_polling import DiscoveryPolling
from merlinbay.decision.dispatching import Dispatching
from merlinbay.decision.eligibility import Eligibility
from merlinbay.decision.endpoint_lease import EndpointLease
from merlinbay.decision.endpoint_state import Endpoint
from merlinbay.decision.endpoints import Endpoints
from merlinbay.decision.health_checks import HealthChecks
from merlinbay.decision.hedging import Hedging
from merlinbay.decision.load_estimates import LoadEstimates
from merlinbay.decision.load_reports import LoadReports
from merlinbay.decision.offered_load import OfferedLoad
from merlinbay.decision.outcome_learning import OutcomeLearning
from merlinbay.decision.outlier_detection import OutlierDetection
from merlinbay.decision.placement import Placement
from merlinbay.decision.requests import TrackedRequests
from merlinbay.decision.run_times import RunTimes
from merlinbay.decision.slow_start import SlowStart
from merlinbay.decision.snapshots import Snapshots
from merlinbay.decision.warm_up import WarmUp


class Parts:
    """Holds all parts of one balancer."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self._wire_state()
        self._wire_estimates()
        self._wire_choice()
        self._wire_dispatch()

    def _wire_state(self) -> None:
        """Create the parts that hold state: endpoints, their lease, requests, run times, the offered load."""
        context, settings = self.context, self.context.settings
        safety = settings.safety
        self.lease = EndpointLease(safety.must_ask_in_us, safety.drain_grace_us)
        self.polling = DiscoveryPolling(
            settings.me, settings.balancers, self.lease, context.rng, context.now_us
        )
        self.endpoints = Endpoints(context, self._on_endpoint_restarted, self._on_endpoints_reindexed)
        self.requests = TrackedRequests(context)
        self.timers = AttemptTimers(context, self.requests)
        self.run_times = RunTimes(context)
        # Starts with the least run time of all classes as the mean, so that warming endpoints are not flooded
        # at the start.
        least_us = min(class_state.run_time_us for class_state in self.run_times.classes.values())
        self.offered = OfferedLoad(context, least_us)

    def _wire_estimates(self) -> None:
        """Create the parts that learn about endpoints."""
        context, endpoints, requests, offered = self.context, self.endpoints, self.requests, self.offered
        self.warm_up = WarmUp(context)
        self.outliers = OutlierDetection(context, offered)
        self.capacity = CapacityLearning(context, endpoints, self.warm_up)
        self.slow_start = SlowStart(
            context, endpoints, requests, offered, self.run_times, self.capacity, self.warm_up
        )
        self.load = LoadEstimates(context, endpoints, requests, offered, self.warm_up, self.outliers)
        self.reports = LoadReports(
            context, endpoints, requests, offered, self.warm_up, self.capacity, self.load
        )
        self.outcome_learning = OutcomeLearning(
            context, self.outliers, self.run_times, self.capacity, self.load, self.reports
        )
        self.snapshots = Snapshots(
            endpoints,
            offered,
            self.run_times,
            self.capacity,
            self.load,
            self.reports,
            self.outliers,
            self.slow_start,
        )

    def _wire_choice(self) -> None:
        """Create the parts that decide on endpoints."""
        context, endpoints, requests, offered = self.context, self.endpoints, self.requests, self.offered
        outliers, warm_up, slow_start = self.outliers, self.warm_up, self.slow_start
        load, run_times = self.load, self.run_times
        self.eligibility = Eligibility(
            context, self.lease, endpoints, requests, outliers, warm_up, slow_start, self.reports
        )
        self.admission = Admission(context, requests, offered, load, self.lease, self.eligibility)
        self.costs = Costs(context, offered, run_times, load, self.reports)
        self.health_check_costs = HealthCheckCosts(context, offered, load, self.reports, self.costs)
        self.placement = Placement(
            context, endpoints, run_times, load, slow_start, self.eligibility, self.admission, self.costs
        )

    def _wire_dispatch(self) -> None:
        """Create the parts that carry out decisions and check attempts later."""
        context, endpoints, requests, offered = self.context, self.endpoints, self.requests, self.offered
        outliers, warm_up, slow_start = self.outliers, self.warm_up, self.slow_start
        load, run_times, timers = self.load, self.run_times, self.timers
        self.health_checks = HealthChecks(
            context,
            endpoints,
            requests,
            timers,
            offered,
            outliers,
            self.eligibility,
            self.placement,
            self.health_check_costs,
        )
        self.dispatching = Dispatching(
            context,
            endpoints,
            requests,
            timers,
            load,
            outliers,
            warm_up,
            slow_start,
            self.admission,
            self.placement,
            self.health_checks,
        )
        self.hedging = Hedging(
            context,
            requests,
            timers,
            offered,
            run_times,
            load,
            self.costs,
            self.placement,
            self.dispatching,
        )

    # Callbacks of ``Endpoints``.

    def _on_endpoint_restarted(self, endpoint: Endpoint) -> None:
        self.run_times.forget(endpoint)
        self.outliers.forget(endpoint)
        self.slow_start.forget(endpoint)

    def _on_endpoints_reindexed(self) -> None:
        self.load.request_recount()
        self.slow_start.refresh_warming()
        self.placement.forget_affinity()
