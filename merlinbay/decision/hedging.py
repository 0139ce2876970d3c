"""Hedges requests: sends another attempt if the first one waits too long or runs at a slow endpoint.

Called when an attempt starts or resumes, which schedules a check, and when the timer of a check is due. Where
no endpoint is better than the present one, the attempt is left alone or checked again later.
"""

from __future__ import annotations

from merlinbay.decision.attempt_timers import AttemptTimers
from merlinbay.decision.context import Context
from merlinbay.decision.costs import Costs
from merlinbay.decision.dispatching import Dispatching
from merlinbay.decision.load_estimates import LoadEstimates
from merlinbay.decision.offered_load import OfferedLoad
from merlinbay.decision.placement import Placement
from merlinbay.decision.request_state import Attempt, TrackedRequest
from merlinbay.decision.requests import TrackedRequests
from merlinbay.decision.run_times import RunTimes

HEDGE_SLOW_AFTER_RUNS = 1.0  # mean run times after which a request at a slow endpoint is hedged
CHECK_PACE_AFTER_RUNS = 2.5  # mean run times after which the pace of an endpoint not known as slow is checked
HEDGING_DELAY_SHARE = 0.1  # share of the latency objective that an attempt waits unstarted before a hedge
MIN_HEDGING_DELAY_US = 15_000  # a few round trips


def hedging_delay_us(aim_us: int) -> float:
    """Return how long an attempt may wait unstarted, given the latency objective of its class."""
    return max(MIN_HEDGING_DELAY_US, HEDGING_DELAY_SHARE * aim_us)


class Hedging:
    """Decides on hedges when the timer of an attempt is due. It has no state of its own."""

    def __init__(
        self,
        context: Context,
        requests: TrackedRequests,
        timers: AttemptTimers,
        offered: OfferedLoad,
        run_times: RunTimes,
        load: LoadEstimates,
        costs: Costs,
        placement: Placement,
        dispatching: Dispatching,
    ) -> None:
        self._context, self._requests, self._timers = context, requests, timers
        self._offered, self._run_times, self._load, self._costs = offered, run_times, load, costs
        self._placement, self._dispatching = placement, dispatching

    def schedule_run_check(self, request: TrackedRequest, attempt: Attempt, number: int) -> None:
        """Schedule a check of an attempt that has started, if it may still be hedged."""
        if self._may_still_hedge(request):
            runs = (
                HEDGE_SLOW_AFTER_RUNS if self._run_times.is_slow(attempt.endpoint) else CHECK_PACE_AFTER_RUNS
            )
            self._timers.set_run_check(request, attempt, number, runs)

    def schedule_check_after_resume(self, request: TrackedRequest, attempt: Attempt, number: int) -> None:
        """Schedule a check of an attempt that resumes after a pause, if it may still be hedged."""
        if self._may_still_hedge(request):
            self._timers.set_run_check(request, attempt, number, CHECK_PACE_AFTER_RUNS)

    def _may_still_hedge(self, request: TrackedRequest) -> bool:
        second_copies = self._context.settings.limits.second_copies
        return second_copies and request.open_attempts == 1 and not request.is_done

    def check_attempt(self, request: TrackedRequest, number: int) -> None:
        """Check an attempt whose timer is due, and hedge it if that is worthwhile."""
        tracked = self._requests.find(request.id, number)
        if tracked is None or request.is_done:
            return
        attempt = tracked[1]
        if request.open_attempts > 1 and any(
            sibling.is_open and sibling.started_at_us for sibling in request.attempts
        ):
            return
        if not attempt.started_at_us:
            self._check_waiting(request, attempt, number)
        elif self._context.now_us >= attempt.recheck_at_us and not attempt.paused_at_us:
            self._check_running(request, attempt, number)

    def _check_waiting(self, request: TrackedRequest, attempt: Attempt, number: int) -> None:
        """Hedge a request that has not started. The attempt that starts first keeps the request."""
        # Corrects a stale estimate: since the request has not started, its endpoint was full or has stalled.
        self._load.observe_waiting(attempt.endpoint, request.slots)
        if len(request.attempts) >= self._context.settings.limits.send_cap:
            return
        # Lets the hedge of a request of high priority density queue too. Where there are many balancers, the
        # requests of peers are not seen, and hedges that need free slots might never be sent.
        is_only = request.open_attempts == 1
        free_only = self._offered.priority_density(request) < 1 or not is_only
        target = self._placement.choose(request, free_only, uncertainty_margin=0.0)
        is_worthwhile = target is not None and self._costs.is_hedge_worthwhile(request, attempt, target)
        if (
            target is not None
            and is_worthwhile
            and (is_only or self._cancel_attempt(request, attempt, number))
        ):
            self._dispatching.dispatch(request, target)
        elif is_only:
            waited_us = self._context.now_us - attempt.dispatched_at_us
            self._timers.set(request.id, number, max(request.hedging_delay_us, waited_us))

    def _cancel_attempt(self, request: TrackedRequest, attempt: Attempt, number: int) -> bool:
        """Cancel a waiting attempt so that another hedge can replace it; return whether that is permitted."""
        # Frees a request whose two attempts both queue by chance while most endpoints have free slots.
        if not self._context.settings.limits.cancelling or attempt.started_at_us:
            return False
        self._dispatching.cancel(request, number)
        return True

    def _check_running(self, request: TrackedRequest, attempt: Attempt, number: int) -> None:
        """Learn the endpoint's pace from a request that still runs, and hedge it if the endpoint is slow."""
        self._run_times.learn_still_running(request, attempt)
        if not self._run_times.is_slow(attempt.endpoint):
            self._timers.set_run_check(request, attempt, number, HEDGE_SLOW_AFTER_RUNS)
            return
        target = self._placement.choose(request, free_only=True)
        if target is None or self._run_times.is_slow(target):
            return
        if self._costs.is_hedge_worthwhile(request, attempt, target):
            self._dispatching.dispatch(request, target)
