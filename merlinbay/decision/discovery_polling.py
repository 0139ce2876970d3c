"""When to poll discovery, so that the list is confirmed before its lease expires: spread over the fleet.

No I/O, no clock: times are microseconds and come from the caller. The lease is in ``endpoint_lease.py``; each
poll is planned inside what is left of it, and waits no longer than leaves time for a second one.

Many balancers start, lose their watch or are sent to another discovery in one instant, and it answers one
poll after the other. What a poll takes it is learned from our own answers.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from merlinbay.decision.actions import Action, SetTimer, WatchEndpoints
from merlinbay.decision.context import GOLDEN_FRACTION
from merlinbay.decision.endpoint_lease import EndpointLease
from merlinbay.decision.events import CallFailure

TIMER_TOKEN = "subscribe"  # of ``SetTimer`` and ``TimerFired``
DEFAULT_POLL_COST_US = 150_000  # what a poll takes discovery, until one of ours was answered
MIN_POLL_COST_US = 1_000  # no poll is taken to cost less
LEASE_SHARE = 0.6  # of what is left, for polls; the rest is for the node's own start and a poll that fails
LEASE_SHARE_UNKNOWN_COST = 0.75  # the same while nothing is known of what a poll takes
MAX_LEASE_SHARE = 0.9  # the most where the polls hardly fit: the longer they queue, the more of them fail
MAX_DOUBLINGS = 3  # polls are spread twice as far after each failure in a row, so often at the most
MAX_QUEUEING_US = 1_000_000  # so long polls may queue; one answered by a failure after it did so in vain
SMALL_FLEET_BALANCERS = 32  # more balancers are a herd that must not poll at once
SMALL_FLEET_COST_US = 2_500_000  # a fleet whose polls together take discovery more is no small one
MAX_ANSWER_TIMEOUT_US = 4_500_000  # so long a first answer is waited for at the most
MIN_ANSWER_TIMEOUT_US = 250_000  # the least over what a turn behind all other balancers takes
ANSWER_TIMEOUT_SHARE = 0.6  # of what is left: the rest is for another poll


@dataclass(slots=True)
class DiscoveryPolling:
    """The polls of one balancer, number ``number`` of ``balancers``."""

    number: int
    balancers: int
    lease: EndpointLease
    rng: Random
    polled_at_us: int  # the last poll; before the first, the start of the process
    poll_cost_us: float = DEFAULT_POLL_COST_US  # what a poll takes discovery
    next_poll_at_us: int = -1  # -1: none is planned
    is_polling: bool = False  # a poll has not been answered yet
    failed_polls: int = 0  # in a row, as far as they count
    failed_after_queueing: bool = False  # the last poll had queued at discovery, and failed
    timed_out_polls: int = 0  # in a row
    discovery_ended_watch: bool = False  # and has not answered since
    has_list: bool = False  # a poll of this process was answered
    plans_made: int = 0

    @property
    def deadline_us(self) -> float:
        """Return by when the list must have come."""
        return self.lease.renewal_due_at_us

    @property
    def fleet_cost_us(self) -> float:
        """Return what one poll of each balancer takes discovery, one after the other."""
        return self.balancers * self.poll_cost_us

    # Events. Each returns what is to be done now.

    def start(self, now_us: int) -> list[Action]:
        """Plan the first poll."""
        self.lease.begin(self.polled_at_us)
        return self._plan_poll(now_us, (self.balancers - 1) * self.poll_cost_us)

    def set_balancer_count(self, number: int, balancers: int) -> None:
        """Take the number of balancers that poll, and which of them this one is."""
        self.number, self.balancers = number, balancers

    def poll_failed(
        self, now_us: int, answered_at_us: int = -1, failure: CallFailure = CallFailure.BROKEN
    ) -> list[Action]:
        """Plan the next poll after one that failed, or after a watch that ended or fell silent.

        The time to poll runs from the last answer, not anew from each failure. An unanswered poll says
        nothing of how many balancers poll.
        """
        if self.is_polling:
            self.failed_polls = min(self.failed_polls + 1, MAX_DOUBLINGS)
            queued = now_us - self.polled_at_us >= MAX_QUEUEING_US
            self.failed_after_queueing = failure is not CallFailure.SILENT and queued
            self.timed_out_polls += failure is CallFailure.SILENT
        else:
            self.lease.watch_broke(now_us, answered_at_us)
            self.discovery_ended_watch = failure is CallFailure.UNAVAILABLE
        is_outage = self._learn_outage(now_us, failure)
        waited_us = now_us - self.polled_at_us if self.is_polling else 0
        self.is_polling = False
        # Guards against a second poll that comes too late where few balancers poll: all their polls together
        # fit into the time that one may queue, so there is no herd to keep apart after the first failure.
        is_herd = self.balancers > SMALL_FLEET_BALANCERS or self.fleet_cost_us > SMALL_FLEET_COST_US
        doublings = max(self.failed_polls, 1) if is_herd else max(self.failed_polls - 1, 0)
        width_us = self.fleet_cost_us * 2**doublings
        if is_outage:
            # Guards against a lease that expires in an outage, before the next poll shows that it lasts.
            width_us = min(width_us, max(self.lease.usable_until_us() - now_us - waited_us, 0.0))
        return self._plan_poll(now_us, width_us)

    def discovery_changed(self, now_us: int, notified_after_us: int, poll_now: bool) -> list[Action]:
        """Take a new configuration; plan the poll of the other discovery that it names, if it does."""
        self.lease.discovery_changed(now_us, notified_after_us)
        return self._plan_poll(now_us, self.fleet_cost_us) if poll_now else []

    def former_watch_ended(self, now_us: int, answered_at_us: int) -> None:
        """Take it that the watch, or a poll, at a former discovery has failed.

        One at the new is planned, or not answered yet: that goes on.
        """
        if not self.is_polling:
            self.lease.watch_broke(now_us, answered_at_us)
        self.is_polling = self.is_polling and self.next_poll_at_us < 0

    def former_poll_answered(self, now_us: int) -> None:
        """Take an answer of a former discovery: it says nothing of what the new one has."""
        if self.is_polling and self.next_poll_at_us >= 0:
            self.poll_cost_us = max(float(now_us - self.polled_at_us), MIN_POLL_COST_US)
        self.is_polling = self.is_polling and self.next_poll_at_us < 0

    def poll_if_due(self, now_us: int) -> list[Action]:
        """Make the planned poll, if it is time."""
        if not 0 <= self.next_poll_at_us <= now_us:
            return []
        self.next_poll_at_us, self.polled_at_us, self.is_polling = -1, now_us, True
        return [WatchEndpoints(self._answer_timeout_us(now_us))]

    def poll_answered(self, now_us: int) -> float:
        """Learn from the answer to our poll what one takes discovery, those before it in turn included.

        Returns by how much the list has come late; nothing or less: it has not.
        """
        late_us = now_us - self.deadline_us
        if self.is_polling:
            self.poll_cost_us = max(float(now_us - self.polled_at_us), MIN_POLL_COST_US)
            self.is_polling, self.failed_after_queueing = False, False
            self.failed_polls, self.timed_out_polls = 0, 0
        self.discovery_ended_watch, self.has_list, self.next_poll_at_us = False, True, -1
        self.lease.renew(now_us)
        return late_us

    # Rules.

    def _answer_timeout_us(self, now_us: int) -> int:
        """Return how long the first answer of a poll is waited for.

        Guards against an answer that was lost: one that is waited for past the lease costs all of what is
        left. Where discovery is only slow, each poll waits twice as long as the one before.
        """
        left_us = self.lease.usable_until_us() - now_us
        wanted_us = max(left_us * ANSWER_TIMEOUT_SHARE, self.fleet_cost_us * 1.25 + MIN_ANSWER_TIMEOUT_US)
        return int(min(wanted_us * 2 ** min(self.timed_out_polls, MAX_DOUBLINGS), MAX_ANSWER_TIMEOUT_US))

    def _learn_outage(self, now_us: int, failure: CallFailure) -> bool:
        """Take what a failure proves of an outage, in which nobody is notified of anything; tell if it does.

        Guards against a node that stops for as long as discovery is down. Discovery says the same of a poll
        that has queued too long among others, so that alone proves nothing: but one that has waited longer
        than the polls of all balancers take would have been answered, had discovery been there as it began.
        A process that has never been answered knows neither what a poll takes nor of an outage before its
        start: two polls in a row that have waited in vain count for it.
        """
        waited_us = now_us - self.polled_at_us
        if failure is CallFailure.UNREACHABLE:
            self.lease.discovery_was_unreachable(now_us)
        elif failure is not CallFailure.UNAVAILABLE:
            return False
        elif not self.is_polling or waited_us < MAX_QUEUEING_US:
            self.lease.discovery_was_unreachable(now_us)
        elif (
            self.discovery_ended_watch
            or waited_us > self.fleet_cost_us
            or (not self.has_list and self.failed_polls >= 2)
        ):
            self.lease.discovery_was_unreachable(self.polled_at_us)
        else:
            return False
        return True

    def _plan_poll(self, now_us: int, width_us: float) -> list[Action]:
        """Plan the next poll at our place within a width, and within what is left of the lease."""
        # Guards against a herd: discovery works through what has timed out too, and notifies nobody. Places
        # by number, jittered within one, leave no clumps as draws would; they change from plan to plan, or
        # those with an early one would poll a failing discovery again and again.
        jitter = self.rng.random() / self.balancers
        place = ((self.number + self.plans_made) * GOLDEN_FRACTION + jitter) % 1.0
        self.plans_made += 1
        most_us = self._bounded_width_us(now_us, width_us)
        if 0 <= self.next_poll_at_us <= now_us + most_us:  # a poll is planned already, and soon enough
            return []
        wait_us = int(place * most_us)
        self.next_poll_at_us = now_us + wait_us
        return [SetTimer(wait_us, TIMER_TOKEN)] if wait_us else self.poll_if_due(now_us)

    def _bounded_width_us(self, now_us: int, width_us: float) -> float:
        """Return the width that polls are spread over, bounded by what is left of the lease."""
        # Guards against a poll that comes too late: who has not polled in time counts as notified all the
        # same. An overdue poll has as much time as the first one: discovery may be back at any moment.
        # Where polls queue and fail they are spread wider, so that at least some are answered.
        left_us, is_overdue = self.deadline_us - now_us, now_us >= self.deadline_us
        if is_overdue or self.failed_after_queueing:
            delay_us = self.lease.notification_delay_us
            longer_us = min(max(delay_us, -left_us / 2), delay_us << MAX_DOUBLINGS)
            left_us = longer_us if self.failed_after_queueing else float(delay_us)
        is_known, cost_us = self.poll_cost_us != DEFAULT_POLL_COST_US, self.fleet_cost_us
        most_us = min(width_us, (LEASE_SHARE if is_known else LEASE_SHARE_UNKNOWN_COST) * left_us)
        if is_known and most_us < cost_us <= width_us and not is_overdue:
            most_us = min(max(most_us, cost_us - MAX_QUEUEING_US), MAX_LEASE_SHARE * left_us)
        return most_us
