"""Decides when to poll discovery, so that the endpoint list is confirmed before its lease expires.

It does no I/O and reads no clock: times are in microseconds and come from the caller. The lease itself is in
``endpoint_lease.py``. Each poll is planned within the time left on the lease, and its timeout leaves time for
a second poll. After a poll that fails, the next one is planned; the lease decides what may be sent meanwhile.

Many balancers may start, lose their watch or move to another discovery at the same instant, and discovery
answers one poll after the other. So polls are spread over the fleet. How long discovery takes for a poll is
learned from the answers to this balancer's own polls.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from merlinbay.decision.actions import Action, SetTimer, WatchEndpoints
from merlinbay.decision.context import GOLDEN_FRACTION
from merlinbay.decision.endpoint_lease import EndpointLease
from merlinbay.decision.events import CallFailure

TIMER_TOKEN = "subscribe"  # token of ``SetTimer`` and ``TimerFired``
DEFAULT_POLL_COST_US = 150_000  # time that discovery takes for a poll, until an own poll was answered
MIN_POLL_COST_US = 1_000  # lower bound of the learned cost of a poll
# Share of the time left on the lease in which polls are spread. The rest is for the node's own start and for
# a poll that fails.
LEASE_SHARE = 0.6
LEASE_SHARE_UNKNOWN_COST = 0.75  # the same share, while the cost of a poll is not known
MAX_LEASE_SHARE = 0.9  # upper bound where the polls hardly fit: the longer they queue, the more of them fail
MAX_DOUBLINGS = 3  # The spread of polls doubles with each failure in a row, at most this many times.
# How long polls may queue at discovery. A poll that fails after this time has queued and got no list.
MAX_QUEUEING_US = 1_000_000
SMALL_FLEET_BALANCERS = 32  # A larger fleet must not poll at once.
SMALL_FLEET_COST_US = 2_500_000  # A fleet whose polls together cost discovery more is not small either.
MAX_ANSWER_TIMEOUT_US = 4_500_000  # upper bound of the wait for the first answer of a poll
MIN_ANSWER_TIMEOUT_US = 250_000  # least time added to what a turn behind all other balancers takes
ANSWER_TIMEOUT_SHARE = 0.6  # share of the time left on the lease; the rest is for another poll


@dataclass(slots=True)
class DiscoveryPolling:
    """Plans the polls of one balancer, which has the number ``number`` among ``balancers``."""

    number: int
    balancers: int
    lease: EndpointLease
    rng: Random
    polled_at_us: int  # time of the last poll; before the first poll, the start of the process
    poll_cost_us: float = DEFAULT_POLL_COST_US  # time that discovery takes for a poll
    next_poll_at_us: int = -1  # time of the planned poll; -1: no poll is planned
    is_polling: bool = False  # whether a poll has not been answered yet
    failed_polls: int = 0  # polls that failed in a row, up to ``MAX_DOUBLINGS``
    failed_after_queueing: bool = False  # whether the last poll had queued at discovery and failed
    timed_out_polls: int = 0  # polls that timed out in a row
    discovery_ended_watch: bool = False  # whether discovery ended the watch and has not answered since
    has_list: bool = False  # whether a poll of this process was answered
    plans_made: int = 0  # number of polls planned so far

    @property
    def deadline_us(self) -> float:
        """Return the time by which discovery must have answered."""
        return self.lease.renewal_due_at_us

    @property
    def fleet_cost_us(self) -> float:
        """Return the time that discovery takes to answer one poll of each balancer, one after the other."""
        return self.balancers * self.poll_cost_us

    # Events.

    def start(self, now_us: int) -> list[Action]:
        """Plan the first poll."""
        self.lease.begin(self.polled_at_us)
        return self._plan_poll(now_us, (self.balancers - 1) * self.poll_cost_us)

    def set_balancer_count(self, number: int, balancers: int) -> None:
        """Set the number of balancers that poll, and the number of this one."""
        self.number, self.balancers = number, balancers

    def poll_failed(
        self, now_us: int, answered_at_us: int = -1, failure: CallFailure = CallFailure.BROKEN
    ) -> list[Action]:
        """Plan the next poll after one that failed, or after a watch that ended or fell silent.

        The time to poll runs from the last answer and does not start again with each failure. A poll that
        timed out says nothing about how many balancers poll, so it does not count as one that has queued.
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
        # A small fleet does not spread its polls further after the first failure, or the second poll might
        # come too late. All polls of a small fleet fit into the time that one poll may queue.
        is_large_fleet = self.balancers > SMALL_FLEET_BALANCERS or self.fleet_cost_us > SMALL_FLEET_COST_US
        doublings = max(self.failed_polls, 1) if is_large_fleet else max(self.failed_polls - 1, 0)
        width_us = self.fleet_cost_us * 2**doublings
        if is_outage:
            # Polls again before the lease expires, since each poll that shows a lasting outage extends it.
            width_us = min(width_us, max(self.lease.usable_until_us() - now_us - waited_us, 0.0))
        return self._plan_poll(now_us, width_us)

    def discovery_changed(self, now_us: int, notified_after_us: int, poll_now: bool) -> list[Action]:
        """Handle a new configuration; plan a poll of the new discovery if ``poll_now`` is set."""
        self.lease.discovery_changed(now_us, notified_after_us)
        return self._plan_poll(now_us, self.fleet_cost_us) if poll_now else []

    def former_watch_ended(self, now_us: int, answered_at_us: int) -> None:
        """Handle the end of a watch, or of a poll, at a former discovery.

        A poll of the new discovery that is planned or not answered yet is not affected.
        """
        if not self.is_polling:
            self.lease.watch_broke(now_us, answered_at_us)
        self.is_polling = self.is_polling and self.next_poll_at_us < 0

    def former_poll_answered(self, now_us: int) -> None:
        """Handle an answer of a former discovery, which does not confirm the list of the new one."""
        if self.is_polling and self.next_poll_at_us >= 0:
            self.poll_cost_us = max(float(now_us - self.polled_at_us), MIN_POLL_COST_US)
        self.is_polling = self.is_polling and self.next_poll_at_us < 0

    def poll_if_due(self, now_us: int) -> list[Action]:
        """Return the action of the planned poll if it is due."""
        if not 0 <= self.next_poll_at_us <= now_us:
            return []
        self.next_poll_at_us, self.polled_at_us, self.is_polling = -1, now_us, True
        return [WatchEndpoints(self._answer_timeout_us(now_us))]

    def poll_answered(self, now_us: int) -> float:
        """Learn the cost of a poll from an answer, including the polls that discovery answered before it.

        Returns how late the list came in microseconds; 0 or less if it came in time.
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
        """Return how long to wait for the first answer of a poll.

        The timeout is shorter than the time left on the lease, so that a lost answer leaves time for another
        poll. It doubles after each timeout in a row, because discovery may only be slow.
        """
        left_us = self.lease.usable_until_us() - now_us
        timeout_us = max(left_us * ANSWER_TIMEOUT_SHARE, self.fleet_cost_us * 1.25 + MIN_ANSWER_TIMEOUT_US)
        return int(min(timeout_us * 2 ** min(self.timed_out_polls, MAX_DOUBLINGS), MAX_ANSWER_TIMEOUT_US))

    def _learn_outage(self, now_us: int, failure: CallFailure) -> bool:
        """Return whether a failure proves an outage, and extend the lease if it does.

        Nobody is notified of anything during an outage, so a node need not stop for as long as it lasts.
        UNAVAILABLE alone proves nothing, as discovery also answers it to a poll that has queued too long. But
        a poll that waited longer than the polls of all balancers take would have been answered if discovery
        had been up at its start. A process that was never answered knows neither the cost of a poll nor of an
        outage before its start: for it, two polls in a row that waited without an answer prove an outage.
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
        """Plan the next poll at this balancer's place within a width that the lease bounds."""
        # Spreads the polls of the fleet, because discovery also works through polls that have timed out and
        # notifies nobody meanwhile. Places by number, jittered within a place, are even, while random draws
        # would clump. The places change with each plan, or balancers with an early place would poll a failing
        # discovery again and again.
        jitter = self.rng.random() / self.balancers
        place = ((self.number + self.plans_made) * GOLDEN_FRACTION + jitter) % 1.0
        self.plans_made += 1
        bounded_us = self._bounded_width_us(now_us, width_us)
        if 0 <= self.next_poll_at_us <= now_us + bounded_us:  # An earlier plan is soon enough.
            return []
        wait_us = int(place * bounded_us)
        self.next_poll_at_us = now_us + wait_us
        return [SetTimer(wait_us, TIMER_TOKEN)] if wait_us else self.poll_if_due(now_us)

    def _bounded_width_us(self, now_us: int, width_us: float) -> float:
        """Return the width over which polls are spread, bounded by the time left on the lease."""
        # Bounds the width, because a balancer that has not polled in time counts as notified all the same.
        # An overdue poll gets as much time as the first one, since discovery may be up again at any moment.
        # If polls queue and fail, they are spread wider so that at least some are answered.
        left_us, is_overdue = self.deadline_us - now_us, now_us >= self.deadline_us
        if is_overdue or self.failed_after_queueing:
            delay_us = self.lease.notification_delay_us
            longer_us = min(max(delay_us, -left_us / 2), delay_us << MAX_DOUBLINGS)
            left_us = longer_us if self.failed_after_queueing else float(delay_us)
        is_known, cost_us = self.poll_cost_us != DEFAULT_POLL_COST_US, self.fleet_cost_us
        bounded_us = min(width_us, (LEASE_SHARE if is_known else LEASE_SHARE_UNKNOWN_COST) * left_us)
        if is_known and bounded_us < cost_us <= width_us and not is_overdue:
            bounded_us = min(max(bounded_us, cost_us - MAX_QUEUEING_US), MAX_LEASE_SHARE * left_us)
        return bounded_us
