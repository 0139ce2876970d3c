"""How many slots an endpoint of a kind has: from load reports, else from starts and rejections."""

from __future__ import annotations

import math

from merlinbay.decision.context import Context
from merlinbay.decision.endpoint_state import Endpoint, Kind
from merlinbay.decision.endpoints import Endpoints
from merlinbay.decision.handover_snapshot import KindSnapshot, LoadSnapshot
from merlinbay.decision.warm_up import WarmUp

START_WEIGHT = 0.01  # the least weight of one start: the count of running requests is noise
MIN_LATE_SHARE = 0.1  # the least share of late starts that is told from none
REPORT_WEIGHT = 0.03  # the least weight of one report, or of one run time in the queued share
WHOLE_SLOT_THRESHOLD = 0.75  # reported free slots that count as one: reports are a little off
MIN_REPORTS = 5  # reports that an endpoint's slots rest on at the least
RELATIVE_SLOTS_LIMITS = (0.1, 10.0)  # of a kind's slots over the fleet's


class CapacityLearning:
    """Owns the learned slots of each kind."""

    def __init__(self, context: Context, endpoints: Endpoints, warm_up: WarmUp) -> None:
        self._context, self._endpoints, self._warm_up = context, endpoints, warm_up
        self.unreported_slots = 1.0  # of an endpoint, where no report tells them
        self.late_start_share = 0.0  # smoothed share of starts that came late
        self.starts = 0

    def observed_slots(self, kind: Kind) -> float:
        """Return the slots that a kind was seen to have, one at the least: no guess, nor another kind's."""
        capacity = kind.capacity
        return capacity.slots if capacity.slots_are_reported else max(capacity.most_running_slots, 1.0)

    # Where reports tell slots.

    def learn_from_report(self, endpoint: Endpoint, free: float, held: float | None) -> None:
        """Learn from a report of free slots and, where it tells them, of held ones."""
        capacity = endpoint.kind.capacity
        if held is not None and free >= max(held, 1.0):  # half empty: none waits, the two make up all slots
            # Guards against few slots believed, where no endpoint is ever seen empty.
            capacity.half_empty_reports += 1
            weight = max(REPORT_WEIGHT, 1 / capacity.half_empty_reports)
            capacity.slots += (free + held - capacity.slots) * weight
        elif held is not None and not capacity.half_empty_reports:
            if free >= WHOLE_SLOT_THRESHOLD:  # with one slot free, requests wait only where they need more
                reported = free + held
                capacity.slots = min(capacity.slots, reported) if capacity.slots_are_reported else reported
        elif not capacity.half_empty_reports:
            self._learn_from_free_slots(endpoint, free)
        # Guards against a full endpoint's report: that nothing is free says nothing of how much there is. Nor
        # does what is free at a warming one, where the count held is not told beside it.
        informative = (
            free >= WHOLE_SLOT_THRESHOLD if held is not None else not self._warm_up.is_warming(endpoint)
        )
        if not (capacity.slots_are_reported or informative):
            return
        capacity.slots_are_reported = True
        # Guards against a kind never tried: with one slot believed it would get no request, and so no report.
        for kind in self._endpoints.kinds.values():
            if not kind.capacity.slots_are_reported:
                kind.capacity.slots = max(kind.capacity.most_running_slots, capacity.slots)

    def learn_from_running(self, kind: Kind, running: float) -> None:
        """Learn where reports tell what is held and what of it waits, not what is free."""
        # Guards against one slot believed where nothing is ever rejected: no rejection shows that it is more.
        capacity = kind.capacity
        seen = float(math.floor(running + 1 - WHOLE_SLOT_THRESHOLD))
        capacity.most_running_slots = max(capacity.most_running_slots, seen)
        capacity.slots = max(capacity.slots, capacity.most_running_slots)

    def _learn_from_free_slots(self, endpoint: Endpoint, free: float) -> None:
        """Learn where reports tell free slots only."""
        # Guards against noise: the most that was ever reported free is too much. The free ones and our
        # running ones make up all where nobody else sends; so the mean of the least shared endpoint counts.
        kind, running = endpoint.kind, endpoint.in_flight.running_slots
        if self._warm_up.is_warming(endpoint):
            return
        own, capacity = endpoint.reported_slots, kind.capacity
        own.slot_reports += 1
        weight = max(REPORT_WEIGHT, 1 / own.slot_reports)
        own.mean_reported_slots += (free + running - own.mean_reported_slots) * weight
        capacity.most_running_slots = max(capacity.most_running_slots, running)
        reported = [
            one.reported_slots.mean_reported_slots
            for one in self._endpoints.usable
            if one.kind is kind and one.reported_slots.slot_reports >= MIN_REPORTS
        ]
        before = max(free, capacity.slots if capacity.slots_are_reported else 0.0)
        rounded = float(round(max(reported, default=before)))
        capacity.slots = max(rounded, capacity.most_running_slots, 1.0)

    # Where no report tells slots.

    def learn_from_start(self, endpoint: Endpoint, was_late: bool, our_running: float) -> None:
        """Learn from a start: from the slots that we saw running before, and from starts that came late."""
        if endpoint.kind.capacity.slots_are_reported:
            return
        # Guards against a small share: where balancers are many, ours alone never fill an endpoint. So the
        # running ones are scaled by the balancers, and late starts tell what part of the slots they fill
        # (a queue's waiting probability, by Sakasegawa). The count itself can't tell: a queue is in it.
        self.starts += 1
        weight = max(START_WEIGHT, 1 / self.starts)
        self.late_start_share += (was_late - self.late_start_share) * weight
        exponent = 1 / (math.sqrt(2 * (self.unreported_slots + 1)) - 1)
        busy = max(self.late_start_share, MIN_LATE_SHARE) ** exponent
        usable = max(len(self._endpoints.usable), 1)
        by_running = our_running * self._context.settings.balancers / usable / busy
        self.unreported_slots = max(
            1.0, self.unreported_slots + (by_running - self.unreported_slots) * weight
        )
        # Kinds differ: one whose starts are late more often than the others' has fewer slots.
        capacity = endpoint.kind.capacity
        capacity.most_running_slots = max(capacity.most_running_slots, endpoint.in_flight.running_slots)
        relative = capacity.relative_slots * (1 + START_WEIGHT * (self.late_start_share - was_late))
        capacity.relative_slots = min(max(relative, RELATIVE_SLOTS_LIMITS[0]), RELATIVE_SLOTS_LIMITS[1])
        for one in (kind.capacity for kind in self._endpoints.kinds.values()):
            if not one.slots_are_reported:
                one.slots = max(one.most_running_slots, self.unreported_slots * one.relative_slots)

    def learn_from_rejection(self, endpoint: Endpoint, held: float) -> None:
        """Learn from a full endpoint that holds so many, where neither reports nor starts show its slots."""
        capacity = endpoint.kind.capacity
        if not capacity.slots_are_reported and not capacity.most_running_slots:
            capacity.slots = max(capacity.slots, held * (1 - capacity.queued_share))

    def learn_queued_share(self, kind: Kind, run_time_ratio: float) -> None:
        """Learn from a request that may have queued: the longer it took, the more of the count is queue."""
        capacity = kind.capacity
        queued = max(0.0, 1 - kind.kind_pace / run_time_ratio)
        capacity.queued_share += (queued - capacity.queued_share) * REPORT_WEIGHT

    def learn_from_operator(self, kind: Kind, slots: float) -> None:
        """Take the slots that the operator says an endpoint of the kind has."""
        # Guards against slots not yet learned: what is reserved looks like all there is.
        capacity = kind.capacity
        if not capacity.slots_are_reported:
            capacity.most_running_slots = max(capacity.most_running_slots, slots)
            capacity.slots = max(capacity.slots, slots)

    # Handover.

    def restore(self, learned: LoadSnapshot) -> None:
        """Take over what starts have shown."""
        self.unreported_slots, self.starts = learned.unreported_slots, learned.starts
        self.late_start_share = learned.late_start_share

    def restore_kind(self, kind: Kind, learned: KindSnapshot) -> None:
        """Take over a kind's slots."""
        capacity = kind.capacity
        capacity.slots, capacity.slots_are_reported = learned.slots, learned.slots_are_reported
        capacity.half_empty_reports = learned.half_empty_reports
        capacity.queued_share = learned.queued_share
        capacity.most_running_slots = learned.most_running_slots
        capacity.relative_slots = learned.relative_slots
