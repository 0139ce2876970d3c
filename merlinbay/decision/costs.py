"""What a hedge, a health check and the crossing of a zone border gain and cost.

Arithmetic only, derived in ``docs/COPIES-AND-PROBES.md``. Gains and costs are counted in mean requests: 1.0
is the priority weight, or the work, of the mean request offered.
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

CANCELLED_WORK_SHARE = 0.5  # share of its work that a cancelled waiting attempt is taken to cost
UNSEEN_RUN_SHARE = 0.5  # the most of its latency objective that a class without a run is taken to run
MIN_HEALTH_CHECK_RUNS = 0.25  # mean run times between two health checks of an endpoint at the least
DURATION_WEIGHT = 0.03  # weight of one health check in their mean duration


def chance_that_wait_ends(wait_us: float, within_us: float) -> float:
    """Return the chance that a wait of about ``wait_us`` ends within a time.

    The wait is taken to have a long tail (Lomax, shape 1): the longer it has lasted, the longer it will last.
    """
    return within_us / (within_us + wait_us) if within_us > 0 else 0.0


class Costs:
    """Expected gains and costs of hedges and of crossings; no state of its own."""

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
        """Return how much other work is kept waiting by each unit of work that is added; at most 1.

        With c slots and a load r, C(c, r) * r / (1 - r) requests wait (C by Sakasegawa): how that grows.
        """
        load, slots = self._load.utilization(kind), kind.capacity.slots
        if load >= 1:
            return 1.0
        all_busy = math.pow(load, math.sqrt(2 * (slots + 1)) - 1)
        return min(1.0, all_busy / (slots * (1 - load) ** 2))

    def expected_weight_share(
        self, request: TrackedRequest, wait_us: float, run_us: float | None = None
    ) -> float:
        """Return the share of its priority weight that the request can be expected to earn after a wait.

        It takes ``run_us`` by what is seen of it, else what was expected when it came.
        """
        spec, run_us, now_us = request.class_state.spec, run_us or request.run_time_us, self._context.now_us
        if not request.class_state.completed:
            # Guards against requests that seem late from the start: a run not seen yet counts as the
            # latency objective.
            run_us = min(run_us, UNSEEN_RUN_SHARE * spec.aim_us)
        in_time_us = request.arrived_at_us + spec.aim_us + (spec.stretch - 1) * run_us - now_us
        in_time = chance_that_wait_ends(wait_us, in_time_us)
        at_all = max(chance_that_wait_ends(wait_us, request.deadline_at_us - run_us - now_us), in_time)
        return in_time + spec.late_worth * (at_all - in_time)

    def _expected_weight_share_running(
        self, request: TrackedRequest, attempt: Attempt, run_us: float
    ) -> float:
        """Return the share of its priority weight that an attempt which runs can be expected to earn."""
        spec, now_us = request.class_state.spec, self._context.now_us
        elapsed_us = now_us - attempt.started_at_us
        # What it has run beyond the mean it may run on; its endpoint's pace may show that it is more.
        mean_us = request.class_state.run_time_us * attempt.endpoint.kind.kind_pace
        left_us = max(self._run_times.pace(attempt.endpoint) * run_us - elapsed_us, elapsed_us - mean_us)
        in_time = chance_that_wait_ends(
            left_us, request.arrived_at_us + spec.aim_us + spec.stretch * run_us - now_us
        )
        at_all = max(chance_that_wait_ends(left_us, request.deadline_at_us - now_us), in_time)
        return in_time + spec.late_worth * (at_all - in_time)

    def is_crossing_worthwhile(
        self, request: TrackedRequest, far: tuple[Endpoint, float], near: tuple[Endpoint, float] | None
    ) -> bool:
        """Tell whether an endpoint of another zone is worth its price over the best one of our own.

        Each comes with its free slots; ``near`` is None where every gate of our zone is shut.
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
        """Tell whether a hedge is worth the work that it adds."""
        settings, offered, load = self._context.settings, self._offered, self._load
        if not settings.asks_first:
            # Each answer reports what its endpoint holds, uncancelled hedges included, so their cost is seen
            # at the next choice. Guards against fleets of many nodes, where weighing hedges served less.
            return True
        run_us = request.run_time_us
        if attempt.started_at_us:  # it runs at a slow endpoint, and would start over elsewhere
            elapsed_us = self._context.now_us - attempt.started_at_us
            run_us = max(run_us, elapsed_us / self._run_times.pace(attempt.endpoint))
            without = self._expected_weight_share_running(request, attempt, run_us)
        else:  # the longer it has waited, the longer it will
            waited_us = self._context.now_us - attempt.dispatched_at_us
            interval_us = load.departure_interval_us(attempt.endpoint.kind)
            without = self.expected_weight_share(request, waited_us + interval_us)
        wait_us = load.queueing_delay_us(target, load.free_slots(target, 0.0), request.slots)
        hit_rate = self._reports.capacity_hit_rate
        gain = (1 - without) * hit_rate * self.expected_weight_share(request, wait_us, run_us)
        gain *= request.priority_weight / max(offered.mean_priority_weight, MIN_PRIORITY_WEIGHT)
        congestion = 1.0 if wait_us else self.congestion(target.kind)  # what waits there keeps others waiting
        # A cancel drops what waits or does not, and no setting says which: either is as likely.
        is_cancelled = settings.limits.cancelling and not attempt.started_at_us
        added = CANCELLED_WORK_SHARE if is_cancelled else 1.0
        work = run_us * request.slots / offered.mean_work_us
        price = work * added * (congestion + settings.waste_price)
        if target.zone != settings.zone:
            price += settings.cross_zone_price
        return gain > price


class HealthCheckCosts:
    """When a health check pays. Owns the mean duration of one."""

    def __init__(
        self, context: Context, offered: OfferedLoad, load: LoadEstimates, reports: LoadReports, costs: Costs
    ) -> None:
        self._context, self._offered = context, offered
        self._load, self._reports, self._costs = load, reports, costs
        self.duration_us = 0.0

    def learn_duration(self, took_us: int) -> None:
        """Count an answered health check."""
        self.duration_us += (took_us - self.duration_us) * DURATION_WEIGHT

    def check_cost(self, kind: Kind) -> float:
        """Return what one costs: its price, and the endpoint's time as far as other requests want it."""
        share = self.duration_us / self._offered.mean_work_us
        return self._context.settings.probe_price + share * self._costs.congestion(kind)

    def loss_without_check(self, kind: Kind) -> float:
        """Return what a request loses without one: some that seem to find free slots wait for a departure."""
        chance = chance_that_wait_ends(self._load.departure_interval_us(kind), self._offered.mean_work_us)
        return self._reports.stale_estimate_rate * (1 - chance)

    def interval_us(self, kind: Kind, dispatches_per_us: float) -> float:
        """Return how often to check an endpoint that gets so many of our requests; infinity: never.

        What a report shows is forgotten within a mean run time.
        """
        price, loss = self.check_cost(kind), self.loss_without_check(kind) * dispatches_per_us
        mean_us = self._offered.mean_work_us
        if loss * mean_us <= price:
            return math.inf
        return max(math.sqrt(2 * mean_us * price / loss), MIN_HEALTH_CHECK_RUNS * mean_us)

    def is_waiting_worthwhile(self, kind: Kind, checks: int, endpoints: int) -> bool:
        """Tell whether a request should wait for so many health checks, rather than go by earlier ones."""
        price, loss = self.check_cost(kind), self.loss_without_check(kind)
        rate, mean_us = self._offered.arrival_rate.per_us, self._offered.mean_work_us
        wait = checks * price + chance_that_wait_ends(mean_us, self.duration_us)
        interval_us = self.interval_us(kind, rate / max(endpoints, 1))
        # Earlier ones are sent when a request comes, so their reports are at least as old as that one.
        age = max(interval_us, 1 / rate) / (2 * mean_us)
        ahead = endpoints * price / (interval_us * rate) + loss * min(age, 1.0)
        return wait < min(ahead, loss)
