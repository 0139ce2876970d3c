"""Slow start: limits the requests that this balancer sends to an endpoint while it warms up.

A warming endpoint takes a limited amount of work, its budget, without being overloaded. The balancers divide
the budget evenly, and each admits requests at times of its own, so that they do not all send at once.
``Eligibility`` asks before each dispatch to a warming endpoint whether an admission is due, and
``Dispatching`` charges each dispatch. An endpoint whose next admission is not due is not eligible.
"""

from __future__ import annotations

import math
import zlib

from merlinbay.decision.capacity_learning import CapacityLearning
from merlinbay.decision.context import GOLDEN_FRACTION, Context
from merlinbay.decision.endpoint_state import Endpoint
from merlinbay.decision.endpoints import Endpoints
from merlinbay.decision.handover_snapshot import EndpointSnapshot
from merlinbay.decision.offered_load import OfferedLoad
from merlinbay.decision.requests import TrackedRequests
from merlinbay.decision.run_times import RunTimes
from merlinbay.decision.warm_up import WarmUp

BUDGET_SHARE = 0.5  # share of the budget that is used, since the true sizes of requests are not known
LARGE_REQUEST_MULTIPLE = 3.0  # multiple of typical work from which a request may use only some admissions
MIN_OFFERED = 20  # offered requests from which the mean request is known
MIN_COMPLETED = 3  # completed requests from which a run time is known


class SlowStart:
    """Owns the time of the next admission to each warming endpoint."""

    def __init__(
        self,
        context: Context,
        endpoints: Endpoints,
        requests: TrackedRequests,
        offered: OfferedLoad,
        run_times: RunTimes,
        capacity: CapacityLearning,
        warm_up: WarmUp,
    ) -> None:
        self._context, self._endpoints, self._requests = context, endpoints, requests
        self._offered, self._run_times = offered, run_times
        self._capacity, self._warm_up = capacity, warm_up
        self.warming: list[Endpoint] = []  # usable endpoints that were warming at the last refresh

    def refresh_warming(self) -> None:
        """Select the warming endpoints from the usable ones, after the endpoints were indexed anew."""
        self.warming = [endpoint for endpoint in self._endpoints.usable if self._warm_up.is_warming(endpoint)]

    def candidates(self, max_candidates: int) -> list[Endpoint]:
        """Return some of the warming endpoints that may be sent a request now."""
        is_warming = self._warm_up.is_warming
        return [endpoint for endpoint in self.warming if is_warming(endpoint) and self.may_admit(endpoint)][
            :max_candidates
        ]

    def may_admit(self, endpoint: Endpoint, work_us: float = 0.0) -> bool:
        """Return whether a warming endpoint may be sent a request now; ``work_us`` 0: work not known."""
        state, now_us = endpoint.slow_start, self._context.now_us
        if state.next_admission_at_us > now_us:
            return False
        # An admission that is not used within the time span of the overload rule lapses. Otherwise all
        # balancers could use the admissions of a quiet period in one burst. So within any span at most the
        # admissions of that span and of the one before are used, each BUDGET_SHARE of the budget.
        span_us = self._context.settings.safety.overload_for_us
        if state.next_admission_at_us + span_us < now_us:
            since_us = max(now_us - span_us, self._context.process_started_at_us)
            next_us = self._admission_after(endpoint, since_us)
            if next_us > now_us and not self._has_request_statistics():
                return False  # The time is not stored: the next call computes it with what is known then.
            state.next_admission_at_us = next_us
        return state.next_admission_at_us <= now_us and self._admits_size(endpoint, work_us)

    def charge(self, endpoint: Endpoint, work_us: float) -> None:
        """Charge our share of the budget for a request that is sent to a warming endpoint."""
        # The budget limits the number of requests as well as their work. Each request is charged at least
        # BUDGET_SHARE of a typical one, so that the number of small requests stays within the whole budget.
        # Until enough requests were seen, all of them may be typical ones and each is charged as a whole one.
        typical_us = self._typical_work_us()
        work_us = max(work_us, typical_us * (BUDGET_SHARE if self._has_request_statistics() else 1.0))
        state = endpoint.slow_start
        since_us = max(self._context.now_us, state.next_admission_at_us)
        state.next_admission_at_us = self._warm_up.reached_at_us(
            endpoint, since_us, work_us / self._our_share(endpoint)
        )

    def schedule_first_admission(self, endpoint: Endpoint) -> None:
        """Schedule our first admission to an endpoint that has just started."""
        endpoint.slow_start.next_admission_at_us = self._first_admission(endpoint)

    def forget(self, endpoint: Endpoint) -> None:
        """Forget the admissions to a server process that has ended."""
        endpoint.slow_start.next_admission_at_us = 0

    def postpone_admissions(self) -> None:
        """Postpone admissions that were scheduled for a smaller number of balancers."""
        for endpoint in self.warming:
            state = endpoint.slow_start
            state.next_admission_at_us = max(state.next_admission_at_us, self._first_admission(endpoint))

    def restore_endpoint(self, endpoint: Endpoint, learned: EndpointSnapshot) -> None:
        """Restore the next admission to an endpoint from a snapshot."""
        endpoint.slow_start.next_admission_at_us = learned.next_admission_at_us

    def _first_admission(self, endpoint: Endpoint) -> int:
        """Return the time of our first admission from now on, or a lapsed time until it can be computed."""
        # A time computed from guessed run times would be far too early or too late. A lapsed time makes
        # ``may_admit`` compute it when a request asks.
        if not self._has_request_statistics():
            return self._context.now_us - self._context.settings.safety.overload_for_us - 1
        return self._admission_after(endpoint, self._context.now_us)

    def _admission_after(self, endpoint: Endpoint, since_us: int) -> int:
        """Return the time of our first admission from ``since_us`` on."""
        # The phase of our admissions follows from our number and the endpoint's name. So the balancers are
        # spread evenly and do not send at once, and their order differs between endpoints. The phase does
        # not depend on when the process started, so a restarted process does not admit again in a turn that
        # its predecessor has used.
        interval_us = self._typical_work_us() / self._our_share(endpoint)
        phase = self._phase(endpoint, self._context.settings.me * GOLDEN_FRACTION, salt=0)
        passed_turns = self._warm_up.cumulative_capacity_us(endpoint, since_us) / interval_us
        turn = max(0, math.ceil(passed_turns - phase))
        return self._warm_up.reached_at_us(endpoint, endpoint.ready_at_us, interval_us * (phase + turn))

    def _admits_size(self, endpoint: Endpoint, work_us: float) -> bool:
        """Return whether a request of so much work may use our present admission."""
        # A request of eight times the typical work may use every eighth admission, a different one at each
        # balancer. Otherwise all admissions could go to large requests. The request is charged for its whole
        # work all the same.
        typical_us = self._typical_work_us()
        if work_us <= LARGE_REQUEST_MULTIPLE * typical_us:
            return True
        capacity_us = self._warm_up.cumulative_capacity_us(endpoint, endpoint.slow_start.next_admission_at_us)
        turn = int(capacity_us * self._our_share(endpoint) / typical_us)
        offset = self._context.settings.me * math.sqrt(2) + turn * GOLDEN_FRACTION
        return self._phase(endpoint, offset, salt=1) * work_us < typical_us

    @staticmethod
    def _phase(endpoint: Endpoint, offset: float, salt: int) -> float:
        """Return a phase in [0, 1) from an offset and a hash of the endpoint's name."""
        return (offset + zlib.crc32(endpoint.name.encode(), salt) / 2**32) % 1

    def _our_share(self, endpoint: Endpoint) -> float:
        """Return our share of the work that a warming endpoint may get, as a number of its slots."""
        settings, slots = self._context.settings, self._capacity.observed_slots(endpoint.kind)
        return settings.safety.tip_multiple * slots * BUDGET_SHARE / settings.balancers

    def _has_request_statistics(self) -> bool:
        """Return whether enough requests were seen to know the work of the mean request."""
        completed = sum(class_state.completed for class_state in self._run_times.classes.values())
        return self._offered.offered_requests >= MIN_OFFERED and completed >= MIN_COMPLETED

    def _typical_work_us(self) -> float:
        """Return the work of the mean request, or an upper estimate while too few requests were seen."""
        classes, mean_us = self._run_times.classes.values(), self._offered.mean_work_us
        if self._has_request_statistics():
            # The mean may still contain run times that were guessed at the start. So it counts as no less
            # than the shortest run time that is known.
            run_times_us = [state.run_time_us for state in classes if state.completed >= MIN_COMPLETED]
            return max(mean_us, min(run_times_us, default=0.0))
        # The mean may rest on one or two small requests, or on guessed run times. So the longest run time
        # counts, and the age of an open attempt, which takes at least that long.
        run_times_us = [state.run_time_us for state in classes if state.completed]
        run_times_us = run_times_us or [state.run_time_us for state in classes]
        return max(mean_us, *run_times_us, self._oldest_attempt_age_us())

    def _oldest_attempt_age_us(self) -> float:
        """Return the age of the first open attempt in the table of requests, 0 without one."""
        open_attempts = (
            attempt
            for request in self._requests.by_id.values()
            for attempt in request.attempts
            if attempt.is_open
        )
        oldest = next(open_attempts, None)
        return self._context.now_us - oldest.dispatched_at_us if oldest else 0.0
