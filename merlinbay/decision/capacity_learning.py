"""Learns how many slots an endpoint of each machine kind has.

Slots come from load reports if these show them, else from the starts of requests, from rejections and from
what operators state. ``LoadReports``, ``OutcomeLearning`` and ``Balancer`` pass on the observations. A kind
about which nothing was learned counts as having one slot.
"""

from __future__ import annotations

import math

from merlinbay.decision.context import Context
from merlinbay.decision.endpoint_state import Endpoint, Kind
from merlinbay.decision.endpoints import Endpoints
from merlinbay.decision.handover_snapshot import KindSnapshot, LoadSnapshot
from merlinbay.decision.warm_up import WarmUp

START_WEIGHT = 0.01  # minimum weight of one start in a mean, since the number of running requests is noisy
MIN_LATE_SHARE = 0.1  # smallest share of late starts that can be distinguished from none
REPORT_WEIGHT = 0.03  # minimum weight of one report in a mean, and weight of one run time in the queued share
WHOLE_SLOT_THRESHOLD = 0.75  # part of a slot that counts as a whole one, since reports are slightly inexact
MIN_REPORTS = 5  # reports of an endpoint from which its mean of reported slots counts
RELATIVE_SLOTS_LIMITS = (0.1, 10.0)  # bounds of a kind's slots relative to the fleet's


class CapacityLearning:
    """Owns the learned slots of each machine kind."""

    def __init__(self, context: Context, endpoints: Endpoints, warm_up: WarmUp) -> None:
        self._context, self._endpoints, self._warm_up = context, endpoints, warm_up
        self.unreported_slots = 1.0  # mean slots of an endpoint, learned where no report shows them
        self.late_start_share = 0.0  # smoothed share of the starts that were late
        self.starts = 0  # number of starts learned from

    def observed_slots(self, kind: Kind) -> float:
        """Return the slots that a kind reported or was seen to use, at least one; guesses do not count."""
        capacity = kind.capacity
        return capacity.slots if capacity.slots_are_reported else max(capacity.most_running_slots, 1.0)

    # Learning from load reports.

    def learn_from_report(self, endpoint: Endpoint, free: float, held: float | None) -> None:
        """Learn from a report of free slots and, if it shows them, of held slots."""
        capacity = endpoint.kind.capacity
        if held is not None and free >= max(held, 1.0):
            # The endpoint is at least half empty, so nothing is queued and the two add up to all slots. If
            # only empty endpoints counted, too few slots would be learned where none is ever empty.
            capacity.half_empty_reports += 1
            weight = max(REPORT_WEIGHT, 1 / capacity.half_empty_reports)
            capacity.slots += (free + held - capacity.slots) * weight
        elif held is not None and not capacity.half_empty_reports:
            if free >= WHOLE_SLOT_THRESHOLD:
                # While a slot is free only requests that need several slots wait. The smallest sum of free
                # and held slots contains the fewest of them.
                reported = free + held
                capacity.slots = min(capacity.slots, reported) if capacity.slots_are_reported else reported
        elif not capacity.half_empty_reports:
            self._learn_from_free_slots(endpoint, free)
        # The report of a full endpoint does not show how many slots there are. Neither does the number of
        # free slots at a warming endpoint if the held slots are not reported as well.
        informative = (
            free >= WHOLE_SLOT_THRESHOLD if held is not None else not self._warm_up.is_warming(endpoint)
        )
        if not (capacity.slots_are_reported or informative):
            return
        capacity.slots_are_reported = True
        # Kinds without reports take the slots of this kind. With the initial single slot, a kind that was
        # never tried would get no requests and therefore never send a report.
        for kind in self._endpoints.kinds.values():
            if not kind.capacity.slots_are_reported:
                kind.capacity.slots = max(kind.capacity.most_running_slots, capacity.slots)

    def learn_from_running(self, kind: Kind, running: float) -> None:
        """Learn from a report of held and queued requests, the difference of which is ``running``."""
        # Such reports do not show free slots, but there are at least as many slots as requests running.
        # Without this, an endpoint that never rejects a request would count as having one slot for good.
        capacity = kind.capacity
        whole_slots = float(math.floor(running + 1 - WHOLE_SLOT_THRESHOLD))
        capacity.most_running_slots = max(capacity.most_running_slots, whole_slots)
        capacity.slots = max(capacity.slots, capacity.most_running_slots)

    def _learn_from_free_slots(self, endpoint: Endpoint, free: float) -> None:
        """Learn from a report of free slots only."""
        # Free slots and our running ones add up to all slots if no other balancer sends to the endpoint. So
        # the reports of each endpoint are averaged, and the largest mean counts: it belongs to the endpoint
        # that others use least. The largest single report would be too high because reports are noisy.
        kind, running = endpoint.kind, endpoint.in_flight.running_slots
        if self._warm_up.is_warming(endpoint):
            return
        mean, capacity = endpoint.reported_slots, kind.capacity
        mean.slot_reports += 1
        weight = max(REPORT_WEIGHT, 1 / mean.slot_reports)
        mean.mean_reported_slots += (free + running - mean.mean_reported_slots) * weight
        capacity.most_running_slots = max(capacity.most_running_slots, running)
        means = [
            usable.reported_slots.mean_reported_slots
            for usable in self._endpoints.usable
            if usable.kind is kind and usable.reported_slots.slot_reports >= MIN_REPORTS
        ]
        default_slots = max(free, capacity.slots if capacity.slots_are_reported else 0.0)
        rounded = float(round(max(means, default=default_slots)))
        capacity.slots = max(rounded, capacity.most_running_slots, 1.0)

    # Learning where no report shows slots.

    def learn_from_start(self, endpoint: Endpoint, was_late: bool, our_running: float) -> None:
        """Learn from the start of a request; ``our_running``: slots of our requests that ran before it."""
        if endpoint.kind.capacity.slots_are_reported:
            return
        # With many balancers our requests alone never fill an endpoint, so our running slots are multiplied
        # by the number of balancers. The share of late starts shows what part of the slots they fill, by
        # Sakasegawa's approximation of the probability that a request waits in a queue. The number of
        # requests in flight cannot show it, since it includes queued requests.
        self.starts += 1
        weight = max(START_WEIGHT, 1 / self.starts)
        self.late_start_share += (was_late - self.late_start_share) * weight
        exponent = 1 / (math.sqrt(2 * (self.unreported_slots + 1)) - 1)
        busy_share = max(self.late_start_share, MIN_LATE_SHARE) ** exponent
        usable = max(len(self._endpoints.usable), 1)
        by_running = our_running * self._context.settings.balancers / usable / busy_share
        self.unreported_slots = max(
            1.0, self.unreported_slots + (by_running - self.unreported_slots) * weight
        )
        # A kind whose starts are late more often than those of the others has fewer slots than they have.
        capacity = endpoint.kind.capacity
        capacity.most_running_slots = max(capacity.most_running_slots, endpoint.in_flight.running_slots)
        relative = capacity.relative_slots * (1 + START_WEIGHT * (self.late_start_share - was_late))
        capacity.relative_slots = min(max(relative, RELATIVE_SLOTS_LIMITS[0]), RELATIVE_SLOTS_LIMITS[1])
        for each in (kind.capacity for kind in self._endpoints.kinds.values()):
            if not each.slots_are_reported:
                each.slots = max(each.most_running_slots, self.unreported_slots * each.relative_slots)

    def learn_from_rejection(self, endpoint: Endpoint, held: float) -> None:
        """Learn from a rejection, if nothing else shows slots; ``held``: slots taken or queued for there."""
        capacity = endpoint.kind.capacity
        if not capacity.slots_are_reported and not capacity.most_running_slots:
            capacity.slots = max(capacity.slots, held * (1 - capacity.queued_share))

    def learn_queued_share(self, kind: Kind, run_time_ratio: float) -> None:
        """Learn from a request that may have queued which share of an endpoint's requests is queued.

        The longer it took compared with the kind's mean, the larger the share.
        """
        capacity = kind.capacity
        queued = max(0.0, 1 - kind.kind_pace / run_time_ratio)
        capacity.queued_share += (queued - capacity.queued_share) * REPORT_WEIGHT

    def learn_from_operator(self, kind: Kind, slots: float) -> None:
        """Take the number of slots that an operator states for an endpoint of the kind."""
        # Until slots are learned, the reserved slots of an endpoint would look like all of its slots.
        capacity = kind.capacity
        if not capacity.slots_are_reported:
            capacity.most_running_slots = max(capacity.most_running_slots, slots)
            capacity.slots = max(capacity.slots, slots)

    # Handover.

    def restore(self, learned: LoadSnapshot) -> None:
        """Restore from a snapshot what was learned from starts."""
        self.unreported_slots, self.starts = learned.unreported_slots, learned.starts
        self.late_start_share = learned.late_start_share

    def restore_kind(self, kind: Kind, learned: KindSnapshot) -> None:
        """Restore a kind's slots from a snapshot."""
        capacity = kind.capacity
        capacity.slots, capacity.slots_are_reported = learned.slots, learned.slots_are_reported
        capacity.half_empty_reports = learned.half_empty_reports
        capacity.queued_share = learned.queued_share
        capacity.most_running_slots = learned.most_running_slots
        capacity.relative_slots = learned.relative_slots
