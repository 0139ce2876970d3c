"""When a warming endpoint may get its next request: each balancer admits its share of a budget, in turn.

The budget is the work that an endpoint can take without being overloaded while it warms up. Balancers part it
evenly and each admits at moments of its own, so that no two of them push an endpoint at once.
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

BUDGET_SHARE = 0.5  # share of the budget that is used: the true sizes of requests are not known
LARGE_REQUEST_MULTIPLE = 3.0  # a request of more than so many typical ones' work may use only some admissions
MIN_OFFERED = 20  # requests from which the mean request is known
MIN_COMPLETED = 3  # served ones from which a run time is known


class SlowStart:
    """Owns the next admission of each warming endpoint."""

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
        self.warming: list[Endpoint] = []  # usable endpoints that were warming at the last index

    def refresh_warming(self) -> None:
        """Take the warming ones of the usable endpoints."""
        self.warming = [one for one in self._endpoints.usable if self._warm_up.is_warming(one)]

    def candidates(self, most: int) -> list[Endpoint]:
        """Return a few warming endpoints that may get a request of ours now."""
        is_warming = self._warm_up.is_warming
        return [one for one in self.warming if is_warming(one) and self.may_admit(one)][:most]

    def may_admit(self, endpoint: Endpoint, work_us: float = 0.0) -> bool:
        """Tell whether a warming endpoint may get a request of ours now, of so much work if it is known."""
        state, now_us = endpoint.slow_start, self._context.now_us
        if state.next_admission_at_us > now_us:
            return False
        # Guards against a burst of shares that were not used for a while, by all balancers at once: what is
        # not used within the span that the rules count lapses. So in any span there are the shares that grow
        # in it and those of the span before, each BUDGET_SHARE of the budget.
        span_us = self._context.settings.safety.overload_for_us
        if state.next_admission_at_us + span_us < now_us:
            since_us = max(now_us - span_us, self._context.process_started_at_us)
            next_us = self._admission_after(endpoint, since_us)
            if (
                next_us > now_us and not self._has_request_statistics()
            ):  # worked out anew, by what is known then
                return False
            state.next_admission_at_us = next_us
        return state.next_admission_at_us <= now_us and self._admits_size(endpoint, work_us)

    def charge(self, endpoint: Endpoint, work_us: float) -> None:
        """Count a request that is sent to a warming endpoint against our share."""
        # Guards against many small requests: the budget is one of requests as well as of work. Each is
        # charged so much of a typical one that no more than the whole budget's count can be sent. While
        # little is known, it may be that typical ones are all there is.
        typical_us = self._typical_work_us()
        work_us = max(work_us, typical_us * (BUDGET_SHARE if self._has_request_statistics() else 1.0))
        state = endpoint.slow_start
        since_us = max(self._context.now_us, state.next_admission_at_us)
        state.next_admission_at_us = self._warm_up.reached_at_us(
            endpoint, since_us, work_us / self._our_share(endpoint)
        )

    def schedule_first_admission(self, endpoint: Endpoint) -> None:
        """Plan our first admission to an endpoint that has just started."""
        endpoint.slow_start.next_admission_at_us = self._first_admission(endpoint)

    def forget(self, endpoint: Endpoint) -> None:
        """Forget the admissions to a server process that is no more."""
        endpoint.slow_start.next_admission_at_us = 0

    def postpone_admissions(self) -> None:
        """Move admissions that were planned by a smaller count of balancers back."""
        for endpoint in self.warming:
            state = endpoint.slow_start
            state.next_admission_at_us = max(state.next_admission_at_us, self._first_admission(endpoint))

    def restore_endpoint(self, endpoint: Endpoint, learned: EndpointSnapshot) -> None:
        """Take over the next admission of an endpoint."""
        endpoint.slow_start.next_admission_at_us = learned.next_admission_at_us

    def _first_admission(self, endpoint: Endpoint) -> int:
        """Return our first admission from now on, or one that has lapsed."""
        # Guards against a moment by guesses, far too early or late: it is worked out when a request asks.
        if not self._has_request_statistics():
            return self._context.now_us - self._context.settings.safety.overload_for_us - 1
        return self._admission_after(endpoint, self._context.now_us)

    def _admission_after(self, endpoint: Endpoint, since_us: int) -> int:
        """Return our first admission from then on."""
        # Guards against a joint push: turns by number part balancers evenly, another way at each endpoint;
        # and against a process that starts anew and sends in the turn that its former self has used.
        interval_us = self._typical_work_us() / self._our_share(endpoint)
        phase = self._phase(endpoint, self._context.settings.me * GOLDEN_FRACTION, salt=0)
        passed = self._warm_up.cumulative_capacity_us(endpoint, since_us) / interval_us
        number = max(0, math.ceil(passed - phase))
        return self._warm_up.reached_at_us(endpoint, endpoint.ready_at_us, interval_us * (phase + number))

    def _admits_size(self, endpoint: Endpoint, work_us: float) -> bool:
        """Tell whether our present admission is one that a request of so much work may use."""
        # Guards against admissions that all go to large requests: one of eight typical requests' work may use
        # each eighth admission, and other ones at other balancers. It is charged for afterwards all the same.
        typical_us = self._typical_work_us()
        if work_us <= LARGE_REQUEST_MULTIPLE * typical_us:
            return True
        grown_us = self._warm_up.cumulative_capacity_us(endpoint, endpoint.slow_start.next_admission_at_us)
        number = int(grown_us * self._our_share(endpoint) / typical_us)
        offset = self._context.settings.me * math.sqrt(2) + number * GOLDEN_FRACTION
        return self._phase(endpoint, offset, salt=1) * work_us < typical_us

    @staticmethod
    def _phase(endpoint: Endpoint, offset: float, salt: int) -> float:
        """Return a place in [0, 1) by an offset and the endpoint's name."""
        return (offset + zlib.crc32(endpoint.name.encode(), salt) / 2**32) % 1

    def _our_share(self, endpoint: Endpoint) -> float:
        """Return our share of the slots' worth of work that an endpoint may get while it warms up."""
        settings, slots = self._context.settings, self._capacity.observed_slots(endpoint.kind)
        return settings.safety.tip_multiple * slots * BUDGET_SHARE / settings.balancers

    def _has_request_statistics(self) -> bool:
        """Tell whether enough requests were seen to know the work of the mean one."""
        completed = sum(one.completed for one in self._run_times.classes.values())
        return self._offered.offered_requests >= MIN_OFFERED and completed >= MIN_COMPLETED

    def _typical_work_us(self) -> float:
        """Return the work of the mean request; while few are known, the most that it may be."""
        classes, mean_us = self._run_times.classes.values(), self._offered.mean_work_us
        if self._has_request_statistics():
            # Guards against a mean that still rests on the run times that were guessed at first.
            known = [one.run_time_us for one in classes if one.completed >= MIN_COMPLETED]
            return max(mean_us, min(known, default=0.0))
        # Guards against a mean of one or two small requests, and against guesses: what runs on takes longer.
        known = [one.run_time_us for one in classes if one.completed]
        known = known or [one.run_time_us for one in classes]
        return max(mean_us, *known, self._oldest_attempt_age_us())

    def _oldest_attempt_age_us(self) -> float:
        """Return the age of the first open attempt."""
        open_attempts = (
            attempt
            for request in self._requests.by_id.values()
            for attempt in request.attempts
            if attempt.is_open
        )
        oldest = next(open_attempts, None)
        return self._context.now_us - oldest.dispatched_at_us if oldest else 0.0
