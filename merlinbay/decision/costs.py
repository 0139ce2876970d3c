"""Computes the expected gains and costs of hedges, health checks and dispatches to other zones.

``Hedging``, ``HealthChecks`` and ``Placement`` ask here whether such a step pays. This is arithmetic only;
``docs/COPIES-AND-PROBES.md`` derives it. The unit of gains and costs is the mean offered request: 1.0 is its
priority weight or its work.
"""

from __future__ import annotations

import math

from merlinbay.decision.context import Context
from merlinbay.decision.endpoint_state import Endpoint, Kind
from merlinbay.decision.load_estimates import LoadEstimates
from merlinbay.decision.load_reports import LoadReports
from merlinbay.decision.offered_load import MIN_PRIORITY_WEIGHT, OfferedLoad
from merlinbay.decision.request_state import Attempt, TrackedRequest
from merlinbay.decision.run_times import RunTimes

CANCELLED_WORK_SHARE = 0.5  # share of its work that an attempt cancelled before its start is assumed to cost
UNSEEN_RUN_SHARE = 0.5  # upper bound of the run time of a class without completed runs, in latency objectives
MIN_HEALTH_CHECK_RUNS = 0.25  # minimum time between two health checks of an endpoint, in mean run times
DURATION_WEIGHT = 0.03  # weight of one health check in the mean duration


def chance_that_wait_ends(wait_us: float, within_us: float) -> float:
    """Return the probability that a wait of about ``wait_us`` ends within ``within_us``.

    The wait is assumed to have a long tail (Lomax distribution, shape 1): the longer it has lasted, the
    longer it is expected to last.
    """
    return within_us / (within_us + wait_us) if within_us > 0 else 0.0


class Costs:
    """Compares gains and costs of hedges and of dispatches to other zones; it has no state of its own."""

    def __init__(
        self,
        context: Context,
        offered: OfferedLoad,
        run_times: RunTimes,
        load: LoadEstimates,
        reports: LoadReports,
    ) -> None:
        self._context, self._offered, self._run_times = context, offered, run_times
        self._load, self._reports = load, reports

    def congestion(self, kind: Kind) -> float:
        """Return how much other work each added unit of work delays, at most 1.

        With c slots and a load r, C(c, r) * r / (1 - r) requests wait, where C is the probability of waiting
        by Sakasegawa's approximation. The result is how fast this number grows.
        """
        load, slots = self._load.utilization(kind), kind.capacity.slots
        if load >= 1:
            return 1.0
        all_busy = math.pow(load, math.sqrt(2 * (slots + 1)) - 1)
        return min(1.0, all_busy / (slots * (1 - load) ** 2))

    def expected_weight_share(
        self, request: TrackedRequest, wait_us: float, run_us: float | None = None
    ) -> float:
        """Return the share of its priority weight that a request is expected to earn after a wait.

        ``run_us``: its run time as observed so far; None: the run time expected when it arrived.
        """
        spec, run_us, now_us = request.class_state.spec, run_us or request.run_time_us, self._context.now_us
        if not request.class_state.completed:
            # A class without completed runs has its latency objective as run time. By that every request
            # would be late from the start, so the run time is limited.
            run_us = min(run_us, UNSEEN_RUN_SHARE * spec.aim_us)
        in_time_us = request.arrived_at_us + spec.aim_us + (spec.stretch - 1) * run_us - now_us
        in_time = chance_that_wait_ends(wait_us, in_time_us)
        before_deadline = max(
            chance_that_wait_ends(wait_us, request.deadline_at_us - run_us - now_us), in_time
        )
        return in_time + spec.late_worth * (before_deadline - in_time)

    def _expected_weight_share_running(
        self, request: TrackedRequest, attempt: Attempt, run_us: float
    ) -> float:
        """Return the share of the request's priority weight that a running attempt is expected to earn."""
        spec, now_us = request.class_state.spec, self._context.now_us
        elapsed_us = now_us - attempt.started_at_us
        # The attempt is expected to run on for as long as it has already run beyond the mean, or longer if
        # the pace of its endpoint shows that.
        mean_us = request.class_state.run_time_us * attempt.endpoint.kind.kind_pace
        left_us = max(self._run_times.pace(attempt.endpoint) * run_us - elapsed_us, elapsed_us - mean_us)
        in_time = chance_that_wait_ends(
            left_us, request.arrived_at_us + spec.aim_us + spec.stretch * run_us - now_us
        )
        before_deadline = max(chance_that_wait_ends(left_us, request.deadline_at_us - now_us), in_time)
        return in_time + spec.late_worth * (before_deadline - in_time)

    def is_crossing_worthwhile(
        self, request: TrackedRequest, far: tuple[Endpoint, float], near: tuple[Endpoint, float] | None
    ) -> bool:
        """Return whether using an endpoint of another zone instead of our own zone's best is worth the price.

        Each endpoint comes with its free slots; ``near`` is None if no endpoint of our zone admits it.
        """
        gain = self._expected_weight_share_at(request, *far)
        if near is not None:
            gain -= self._expected_weight_share_at(request, *near)
        price = self._context.settings.cross_zone_price * self._offered.mean_priority_weight
        return gain * request.priority_weight > price

    def _expected_weight_share_at(self, request: TrackedRequest, endpoint: Endpoint, free: float) -> float:
        return self.expected_weight_share(
            request, self._load.queueing_delay_us(endpoint, free, request.slots)
        )

    def is_hedge_worthwhile(self, request: TrackedRequest, attempt: Attempt, target: Endpoint) -> bool:
        """Return whether a hedge is worth the work that it adds."""
        settings, offered, load = self._context.settings, self._offered, self._load
        if not settings.asks_first:
            # Every answer reports the load of its endpoint, including hedges that were not cancelled, so the
            # next choice takes their cost into account. Hedges are not weighed here as well, because fleets
            # of many nodes served fewer requests when they were.
            return True
        run_us = request.run_time_us
        if attempt.started_at_us:
            # The attempt runs at a slow endpoint; a hedge would start from the beginning elsewhere.
            elapsed_us = self._context.now_us - attempt.started_at_us
            run_us = max(run_us, elapsed_us / self._run_times.pace(attempt.endpoint))
            share_without_hedge = self._expected_weight_share_running(request, attempt, run_us)
        else:
            # The longer the attempt has waited, the longer it is expected to wait.
            waited_us = self._context.now_us - attempt.dispatched_at_us
            interval_us = load.departure_interval_us(attempt.endpoint.kind)
            share_without_hedge = self.expected_weight_share(request, waited_us + interval_us)
        wait_us = load.queueing_delay_us(target, load.free_slots(target, 0.0), request.slots)
        hit_rate = self._reports.capacity_hit_rate
        gain = (1 - share_without_hedge) * hit_rate * self.expected_weight_share(request, wait_us, run_us)
        gain *= request.priority_weight / max(offered.mean_priority_weight, MIN_PRIORITY_WEIGHT)
        # A hedge that has to wait itself delays other work by all of its own.
        congestion = 1.0 if wait_us else self.congestion(target.kind)
        # Whether a cancel drops an attempt that waits is not configured, so both are assumed equally likely.
        is_cancelled = settings.limits.cancelling and not attempt.started_at_us
        work_share = CANCELLED_WORK_SHARE if is_cancelled else 1.0
        work = run_us * request.slots / offered.mean_work_us
        price = work * work_share * (congestion + settings.waste_price)
        if target.zone != settings.zone:
            price += settings.cross_zone_price
        return gain > price


class HealthCheckCosts:
    """Computes when health checks pay, and owns their mean duration."""

    def __init__(
        self, context: Context, offered: OfferedLoad, load: LoadEstimates, reports: LoadReports, costs: Costs
    ) -> None:
        self._context, self._offered = context, offered
        self._load, self._reports, self._costs = load, reports, costs
        self.duration_us = 0.0

    def learn_duration(self, took_us: int) -> None:
        """Add the duration of an answered health check to the mean."""
        self.duration_us += (took_us - self.duration_us) * DURATION_WEIGHT

    def check_cost(self, kind: Kind) -> float:
        """Return the cost of one health check: its price, and the endpoint's time that others would use."""
        share = self.duration_us / self._offered.mean_work_us
        return self._context.settings.probe_price + share * self._costs.congestion(kind)

    def loss_without_check(self, kind: Kind) -> float:
        """Return the mean loss of a request that is placed without a health check.

        By stale estimates some requests go to endpoints without free slots, and wait for a departure there.
        """
        chance = chance_that_wait_ends(self._load.departure_interval_us(kind), self._offered.mean_work_us)
        return self._reports.stale_estimate_rate * (1 - chance)

    def interval_us(self, kind: Kind, dispatches_per_us: float) -> float:
        """Return the interval of health checks for an endpoint that gets so many dispatches; infinity: none.

        What a report shows is outdated after about a mean run time.
        """
        price, loss = self.check_cost(kind), self.loss_without_check(kind) * dispatches_per_us
        mean_us = self._offered.mean_work_us
        if loss * mean_us <= price:
            return math.inf
        return max(math.sqrt(2 * mean_us * price / loss), MIN_HEALTH_CHECK_RUNS * mean_us)

    def is_waiting_worthwhile(self, kind: Kind, checks: int, endpoints: int) -> bool:
        """Return whether a request should wait for so many health checks rather than rely on earlier ones."""
        price, loss = self.check_cost(kind), self.loss_without_check(kind)
        rate, mean_us = self._offered.arrival_rate.per_us, self._offered.mean_work_us
        waiting_cost = checks * price + chance_that_wait_ends(mean_us, self.duration_us)
        interval_us = self.interval_us(kind, rate / max(endpoints, 1))
        # Earlier health checks were sent when an earlier request arrived, so their reports are at least as
        # old as that arrival.
        mean_report_age = max(interval_us, 1 / rate) / (2 * mean_us)
        background_cost = endpoints * price / (interval_us * rate) + loss * min(mean_report_age, 1.0)
        return waiting_cost < min(background_cost, loss)
