"""Learns the run times of request classes and the pace of machine kinds and endpoints.

Pace is a ratio of run times: a kind's to the fleet's, or an endpoint's to its kind's. ``OutcomeLearning``
passes on each completed request, ``Hedging`` those that still run. A class that has completed no request
counts with its latency objective. Times are microseconds.
"""

from __future__ import annotations

import math
from dataclasses import replace

from merlinbay.decision.context import Context
from merlinbay.decision.endpoint_state import Endpoint, Kind
from merlinbay.decision.handover_snapshot import ClassSnapshot, EndpointSnapshot, KindSnapshot
from merlinbay.decision.request_state import Attempt, RequestClassState, TrackedRequest
from merlinbay.decision.settings import RequestClass

MIN_RUN_TIME_US = 1000.0  # lower bound of run times
RUN_TIME_WEIGHT = 0.03  # minimum weight of one run time in a mean, since run times have long tails
PACE_WEIGHT = 0.15  # weight of one request in its endpoint's pace; a few requests show a slowed machine
PACE_MEMORY_US = 20_000_000  # time constant of forgetting a pace, as an endpoint passed over gets no requests
SLOW_PACE = 1.9  # pace from which an endpoint is chosen last and its requests are hedged
MIN_COMPLETED = 20  # completed requests of a class from which its run time shows that an endpoint is slow
RATIO_LIMITS = (0.1, 10.0)  # bounds of ratios of run times


def clamp_ratio(ratio: float) -> float:
    """Return a ratio of run times, limited to ``RATIO_LIMITS``."""
    return min(max(ratio, RATIO_LIMITS[0]), RATIO_LIMITS[1])


class RunTimes:
    """Owns the run times of classes and the pace of kinds and endpoints."""

    def __init__(self, context: Context) -> None:
        self._context = context
        specs = context.settings.classes
        self.classes = {spec.name: self._new_class(spec) for spec in specs}
        # A request of an unknown class is never repeated, since a repeat might have a second effect.
        self._unknown_class = self._new_class(replace(specs[0], name="unknown", effect="once"))

    @staticmethod
    def _new_class(spec: RequestClass) -> RequestClassState:
        return RequestClassState(spec, max(spec.aim_us, MIN_RUN_TIME_US))

    def class_state(self, name: str) -> RequestClassState:
        """Return the state of a class; requests of a class that is not configured are never repeated."""
        return self.classes.get(name) or self._unknown_class

    def expected_us(self, class_state: RequestClassState, hint_us: float) -> float:
        """Return the expected run time of a request; ``hint_us``: the run time stated with it, 0 if none."""
        if not hint_us:
            return class_state.run_time_us
        return max(hint_us * class_state.hint_ratio, MIN_RUN_TIME_US)

    def pace(self, endpoint: Endpoint) -> float:
        """Return the ratio of the endpoint's run times to its kind's, as recent requests showed it."""
        learned = endpoint.run_time
        age_us = learned.pace_learned_at_us - self._context.now_us
        return 1 + (learned.pace - 1) * math.exp(age_us / PACE_MEMORY_US)

    def is_slow(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is so slow that others are preferred."""
        return self.pace(endpoint) >= SLOW_PACE

    def learn_completed(self, request: TrackedRequest, attempt: Attempt, run_us: float) -> float:
        """Learn from a completed request; return the ratio of its run time to its class's."""
        state, kind = request.class_state, attempt.endpoint.kind
        state.completed += 1
        state.run_time_us += (run_us - state.run_time_us) * max(RUN_TIME_WEIGHT, 1 / state.completed)
        if request.hint_us:
            # Hints may be on another scale, such as the run time on a faster machine.
            hint_ratio = clamp_ratio(run_us / request.hint_us)
            state.hint_ratio += (hint_ratio - state.hint_ratio) * RUN_TIME_WEIGHT
        ratio = clamp_ratio(run_us / state.run_time_us)
        if attempt.found_free_slots or attempt.started_at_us > 0:
            # Otherwise the run time may include a wait in the endpoint's queue.
            kind.kind_pace += (ratio - kind.kind_pace) * RUN_TIME_WEIGHT / 3
        if attempt.started_at_us and state.completed >= MIN_COMPLETED:
            self._learn_pace(attempt.endpoint, ratio / kind.kind_pace)
        return ratio

    def learn_still_running(self, request: TrackedRequest, attempt: Attempt) -> None:
        """Learn from a request that still runs, since a slow endpoint shows long before the request ends."""
        if request.class_state.completed < MIN_COMPLETED:
            return
        elapsed_us = self._context.now_us - attempt.started_at_us
        ratio = elapsed_us / (request.class_state.run_time_us * attempt.endpoint.kind.kind_pace)
        if ratio > self.pace(attempt.endpoint):
            self._learn_pace(attempt.endpoint, ratio)

    def _learn_pace(self, endpoint: Endpoint, ratio: float) -> None:
        # A machine that slows down looks no fuller than others for a while, yet requests sent there are late.
        pace = self.pace(endpoint)
        endpoint.run_time.pace = pace + (min(ratio, RATIO_LIMITS[1]) - pace) * PACE_WEIGHT
        endpoint.run_time.pace_learned_at_us = self._context.now_us

    def forget(self, endpoint: Endpoint) -> None:
        """Forget the pace of a server process that has ended."""
        endpoint.run_time.pace = 1.0

    def restore_kind(self, kind: Kind, learned: KindSnapshot) -> None:
        """Restore a kind's pace from a snapshot."""
        kind.kind_pace = learned.pace

    def restore_classes(self, learned: dict[str, ClassSnapshot]) -> None:
        """Restore the run times of those classes in a snapshot that are still configured."""
        for name, class_snapshot in learned.items():
            if name in self.classes:
                state = self.classes[name]
                state.run_time_us, state.completed = class_snapshot.run_time_us, class_snapshot.completed

    def restore_endpoint(self, endpoint: Endpoint, learned: EndpointSnapshot) -> None:
        """Restore an endpoint's pace from a snapshot."""
        endpoint.run_time.pace = learned.pace
        endpoint.run_time.pace_learned_at_us = learned.pace_learned_at_us
