"""Run times of classes, and the pace of machine kinds and endpoints. Times are microseconds."""

from __future__ import annotations

import math
from dataclasses import replace

from merlinbay.decision.context import Context
from merlinbay.decision.endpoint_state import Endpoint, Kind
from merlinbay.decision.handover_snapshot import ClassSnapshot, EndpointSnapshot, KindSnapshot
from merlinbay.decision.request_state import Attempt, RequestClassState, TrackedRequest
from merlinbay.decision.settings import RequestClass

MIN_RUN_TIME_US = 1000.0  # no run time counts as less
RUN_TIME_WEIGHT = 0.03  # the least weight of one run time in a mean: run times have long tails
PACE_WEIGHT = 0.15  # weight of one request in its endpoint's pace: a few requests show a slowed machine
PACE_MEMORY_US = 20_000_000  # an endpoint that is passed over gets no requests, so its pace is forgotten
SLOW_PACE = 1.9  # an endpoint of this pace and more comes after all others, and its requests are hedged
MIN_COMPLETED = 20  # requests of a class from which its run time says that an endpoint is slow
RATIO_LIMITS = (0.1, 10.0)  # no ratio of run times counts as less, or more


def clamp_ratio(ratio: float) -> float:
    """Return a ratio of run times within its limits."""
    return min(max(ratio, RATIO_LIMITS[0]), RATIO_LIMITS[1])


class RunTimes:
    """Owns the run times of classes, and the pace of kinds and endpoints."""

    def __init__(self, context: Context) -> None:
        self._context = context
        specs = context.settings.classes
        self.classes = {spec.name: self._new_class(spec) for spec in specs}
        # Guards against a repeat of a request whose class nobody knows.
        self._unknown_class = self._new_class(replace(specs[0], name="unknown", effect="once"))

    @staticmethod
    def _new_class(spec: RequestClass) -> RequestClassState:
        return RequestClassState(spec, max(spec.aim_us, MIN_RUN_TIME_US))

    def class_state(self, name: str) -> RequestClassState:
        """Return a class's state; one that is not configured is never repeated."""
        return self.classes.get(name) or self._unknown_class

    def expected_us(self, class_state: RequestClassState, hint_us: float) -> float:
        """Return the run time to expect of a request that came with a hint, or with none (0)."""
        if not hint_us:
            return class_state.run_time_us
        return max(hint_us * class_state.hint_ratio, MIN_RUN_TIME_US)

    def pace(self, endpoint: Endpoint) -> float:
        """Return the endpoint's run time over its kind's, as its requests showed it lately."""
        learned = endpoint.run_time
        age_us = learned.pace_learned_at_us - self._context.now_us
        return 1 + (learned.pace - 1) * math.exp(age_us / PACE_MEMORY_US)

    def is_slow(self, endpoint: Endpoint) -> bool:
        """Tell whether other endpoints are preferred to this one."""
        return self.pace(endpoint) >= SLOW_PACE

    def learn_completed(self, request: TrackedRequest, attempt: Attempt, run_us: float) -> float:
        """Learn from a request that was served; return its run time over its class's."""
        state, kind = request.class_state, attempt.endpoint.kind
        state.completed += 1
        state.run_time_us += (run_us - state.run_time_us) * max(RUN_TIME_WEIGHT, 1 / state.completed)
        if request.hint_us:  # Guards against hints in another measure, as of a faster machine.
            hint_ratio = clamp_ratio(run_us / request.hint_us)
            state.hint_ratio += (hint_ratio - state.hint_ratio) * RUN_TIME_WEIGHT
        ratio = clamp_ratio(run_us / state.run_time_us)
        if attempt.found_free_slots or attempt.started_at_us > 0:  # else a wait in the queue is in it
            kind.kind_pace += (ratio - kind.kind_pace) * RUN_TIME_WEIGHT / 3
        if attempt.started_at_us and state.completed >= MIN_COMPLETED:
            self._learn_pace(attempt.endpoint, ratio / kind.kind_pace)
        return ratio

    def learn_still_running(self, request: TrackedRequest, attempt: Attempt) -> None:
        """Learn from a request that runs on: that its endpoint is slow shows long before the end."""
        if request.class_state.completed < MIN_COMPLETED:
            return
        elapsed_us = self._context.now_us - attempt.started_at_us
        ratio = elapsed_us / (request.class_state.run_time_us * attempt.endpoint.kind.kind_pace)
        if ratio > self.pace(attempt.endpoint):
            self._learn_pace(attempt.endpoint, ratio)

    def _learn_pace(self, endpoint: Endpoint, ratio: float) -> None:
        # Guards against machines that slow down: they look no fuller than others for a while, yet what
        # is sent there is late.
        pace = self.pace(endpoint)
        endpoint.run_time.pace = pace + (min(ratio, RATIO_LIMITS[1]) - pace) * PACE_WEIGHT
        endpoint.run_time.pace_learned_at_us = self._context.now_us

    def forget(self, endpoint: Endpoint) -> None:
        """Forget the pace of a server process that is no more."""
        endpoint.run_time.pace = 1.0

    def restore_kind(self, kind: Kind, learned: KindSnapshot) -> None:
        """Take over a kind's pace."""
        kind.kind_pace = learned.pace

    def restore_classes(self, learned: dict[str, ClassSnapshot]) -> None:
        """Take over the run times of the classes that are still configured."""
        for name, one in learned.items():
            if name in self.classes:
                state = self.classes[name]
                state.run_time_us, state.completed = one.run_time_us, one.completed

    def restore_endpoint(self, endpoint: Endpoint, learned: EndpointSnapshot) -> None:
        """Take over an endpoint's pace."""
        endpoint.run_time.pace = learned.pace
        endpoint.run_time.pace_learned_at_us = learned.pace_learned_at_us
