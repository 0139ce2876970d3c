"""Hedged requests: a second attempt where the first waits too long, or runs at a slow endpoint."""

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
CHECK_PACE_AFTER_RUNS = 2.5  # mean run times after which a run elsewhere shows its endpoint's pace
HEDGING_DELAY_SHARE = 0.1  # share of the latency objective that an attempt waits unstarted before a hedge
MIN_HEDGING_DELAY_US = 15_000  # a few round trips


def hedging_delay_us(aim_us: int) -> float:
    """Return how long an attempt may wait unstarted, by its class's latency objective."""
    return max(MIN_HEDGING_DELAY_US, HEDGING_DELAY_SHARE * aim_us)


class Hedging:
    """Decides on hedges when an attempt's timer is due; no state of its own."""

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
        """Have an attempt that has started looked at, where it may still be hedged."""
        if self._may_still_hedge(request):
            runs = (
                HEDGE_SLOW_AFTER_RUNS if self._run_times.is_slow(attempt.endpoint) else CHECK_PACE_AFTER_RUNS
            )
            self._timers.set_run_check(request, attempt, number, runs)

    def schedule_check_after_resume(self, request: TrackedRequest, attempt: Attempt, number: int) -> None:
        """Have an attempt that goes on after a pause looked at, where it may still be hedged."""
        if self._may_still_hedge(request):
            self._timers.set_run_check(request, attempt, number, CHECK_PACE_AFTER_RUNS)

    def _may_still_hedge(self, request: TrackedRequest) -> bool:
        second_copies = self._context.settings.limits.second_copies
        return second_copies and request.open_attempts == 1 and not request.is_done

    def check_attempt(self, request: TrackedRequest, number: int) -> None:
        """Look at an attempt whose timer is due."""
        found = self._requests.find(request.id, number)
        if found is None or request.is_done:
            return
        attempt = found[1]
        if request.open_attempts > 1 and any(one.is_open and one.started_at_us for one in request.attempts):
            return
        if not attempt.started_at_us:
            self._check_waiting(request, attempt, number)
        elif self._context.now_us >= attempt.recheck_at_us and not attempt.paused_at_us:
            self._check_running(request, attempt, number)

    def _check_waiting(self, request: TrackedRequest, attempt: Attempt, number: int) -> None:
        """Hedge a request that has not started; whichever attempt starts first keeps it."""
        # Guards against a stalled endpoint or a stale estimate: the request has not started, so its endpoint
        # was full.
        self._load.observe_waiting(attempt.endpoint, request.slots)
        if len(request.attempts) >= self._context.settings.limits.send_cap:
            return
        # Guards against hedges that never go out: where balancers are many, peers' requests are unseen.
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
        """Cancel a hedge that waits as well, for another one; tell whether that is possible."""
        # Guards against two queues that a request has met by chance, while most endpoints have free slots.
        if not self._context.settings.limits.cancelling or attempt.started_at_us:
            return False
        self._dispatching.cancel(request, number)
        return True

    def _check_running(self, request: TrackedRequest, attempt: Attempt, number: int) -> None:
        """Learn from a request that runs on; where its endpoint is slow, hedge it."""
        self._run_times.learn_still_running(request, attempt)
        if not self._run_times.is_slow(attempt.endpoint):
            self._timers.set_run_check(request, attempt, number, HEDGE_SLOW_AFTER_RUNS)
            return
        target = self._placement.choose(request, free_only=True)
        if target is None or self._run_times.is_slow(target):
            return
        if self._costs.is_hedge_worthwhile(request, attempt, target):
            self._dispatching.dispatch(request, target)
