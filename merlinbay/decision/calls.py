"""When to call discovery, so that the list is confirmed before its lease runs out: spread over the fleet.

No I/O, no clock: times are microseconds and come from the caller. The lease is in ``list_lease.py``; each
call is planned inside what is left of it, and waits no longer than leaves time for a second one.

Many schedulers start, lose their watch or are sent to another discovery in one instant, and it answers one
call after the other. What a call takes it is learned from our own answers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

from merlinbay.decision.actions import Action, SetTimer, WatchEndpoints
from merlinbay.decision.events import CallFailure
from merlinbay.decision.list_lease import ListLease

GOLDEN = (math.sqrt(5) - 1) / 2  # its multiples, less the whole, part any run of numbers evenly
GUESS_US = 150_000  # what a call takes discovery, until one of ours was answered
LEAST_US = 1_000  # and the least that is believed
ASK_SHARE = 0.6  # of what is left; the rest is for the node's own start, its turns, and a call that fails
GUESS_SHARE = 0.75  # and of what is left while nothing is known of what a call takes,
FULL_SHARE = 0.9  # or where they hardly fit: the longer they wait in turn, the more of them fail
DOUBLINGS = 3  # calls are spread twice as far after each failure in a row, so often at the most
WAIT_US = 1_000_000  # so long calls may wait in turn; one answered by a failure after it did so in vain
FEW_SCHEDULERS = 32  # so many are no herd, as long as
CROWD_US = 2_500_000  # their calls together make no more work than this
PATIENCE_MOST_US = 4_500_000  # so long a first answer is waited for at the most,
PATIENCE_LEAST_US = 250_000  # and over what a turn behind all other schedulers takes
PATIENCE_SHARE = 0.6  # of what is left: the rest is for another call


@dataclass(slots=True)
class Calls:
    """The calls of one scheduler, number ``me`` of ``fleet``."""

    me: int
    fleet: int
    lease: ListLease
    rng: Random
    asked_at: int  # when it called last; before the first call, its start
    cost_us: float = GUESS_US
    due_at: int = -1  # when the next call is planned
    out: bool = False  # a call has not been answered yet
    failures: int = 0  # calls that failed in a row,
    overrun: bool = False  # the last call had waited in turn in vain
    silences: int = 0  # calls in a row that nothing came of in time
    outage: bool = False  # discovery has ended our watch itself, and has not answered since
    has_list: bool = False  # a call of this process was answered
    plans: int = 0  # made so far

    @property
    def deadline(self) -> float:
        """Return by when it must have the list."""
        return self.lease.due_at

    @property
    def work_us(self) -> float:
        """Return what one call of each scheduler takes discovery, one after the other."""
        return self.fleet * self.cost_us

    def start(self, now: int) -> list[Action]:
        """Plan the first call. This and all plans return what is to be done now."""
        self.lease.begin(self.asked_at)
        return self._plan(now, (self.fleet - 1) * self.cost_us)

    def broken(self, now: int, heard_at: int = -1, failure: CallFailure = CallFailure.BROKEN) -> list[Action]:
        """Plan the next call after one that failed, or after a watch that ended or fell silent.

        Guards against a whole new time after each of them: it began with the last answer. A call that was not
        answered at all tells nothing of how many there are.
        """
        if self.out:
            self.failures = min(self.failures + 1, DOUBLINGS)
            self.overrun = failure is not CallFailure.SILENT and now - self.asked_at >= WAIT_US
            self.silences += failure is CallFailure.SILENT
        else:
            self.lease.watch_broke(now, heard_at)
            self.outage = failure is CallFailure.UNAVAILABLE
        proven = self._learn_outage(now, failure)
        waited, self.out = now - self.asked_at if self.out else 0, False
        # Guards against a second call that comes too late where few schedulers call: all their calls together
        # fit into the time that one may wait, so there is no herd to keep apart after the first failure.
        crowded = self.fleet > FEW_SCHEDULERS or self.work_us > CROWD_US
        doublings = max(self.failures, 1) if crowded else max(self.failures - 1, 0)
        width = self.work_us * 2**doublings
        if proven:
            # Guards against a lease that runs out in an outage, before the next call shows that it lasts.
            width = min(width, max(self.lease.usable_until() - now - waited, 0.0))
        return self._plan(now, width)

    def reloaded(self, now: int, told_us: int, moved: bool) -> list[Action]:
        """Take a new configuration; plan the call to the other discovery that it names, if it does."""
        self.lease.reload(now, told_us)
        return self._plan(now, self.work_us) if moved else []

    def former_ended(self, now: int, heard_at: int) -> None:
        """Take it that the watch, or a call, at a former discovery has failed.

        One at the new is planned, or out already: that goes on.
        """
        if not self.out:
            self.lease.watch_broke(now, heard_at)
        self.out = self.out and self.due_at < 0

    def former_answered(self, now: int) -> None:
        """Take an answer of a former discovery: it says nothing of what the new one has."""
        if self.out and self.due_at >= 0:
            self.cost_us = max(float(now - self.asked_at), LEAST_US)
        self.out = self.out and self.due_at < 0

    def due(self, now: int) -> list[Action]:
        """Make the planned call, if it is time."""
        if not 0 <= self.due_at <= now:
            return []
        self.due_at, self.asked_at, self.out = -1, now, True
        return [WatchEndpoints(self._patience(now))]

    def answered(self, now: int) -> float:
        """Learn from the answer to our call what one takes discovery, those before it in turn included.

        Returns by how much the list has come late; nothing or less: it has not.
        """
        late = now - self.deadline
        if self.out:
            self.cost_us = max(float(now - self.asked_at), LEAST_US)
            self.out, self.failures, self.overrun, self.silences = False, 0, False, 0
        self.outage, self.has_list, self.due_at = False, True, -1
        self.lease.renew(now)
        return late

    def _patience(self, now: int) -> int:
        """Return how long the first answer of a call is waited for.

        Guards against an answer that was lost: one that is waited for past the lease costs all of what is
        left. Where discovery is only slow, each call waits twice as long as the one before.
        """
        left = self.lease.usable_until() - now
        wanted = max(left * PATIENCE_SHARE, self.work_us * 1.25 + PATIENCE_LEAST_US)
        return int(min(wanted * 2 ** min(self.silences, DOUBLINGS), PATIENCE_MOST_US))

    def _learn_outage(self, now: int, failure: CallFailure) -> bool:
        """Take what a failure proves of an outage, in which nobody is notified of anything; tell if it does.

        Guards against a node that stops for as long as discovery is down. Discovery says the same of a call
        that has waited too long among others, so that alone proves nothing: but one that has waited longer
        than the calls of all schedulers take would have been answered, had discovery been there as it began.
        A process that has never been answered knows neither what a call takes nor of an outage before its
        start: two calls in a row that have waited in vain count for it.
        """
        waited = now - self.asked_at
        if failure is CallFailure.UNREACHABLE:
            self.lease.unreachable(now)
        elif failure is not CallFailure.UNAVAILABLE:
            return False
        elif not self.out or waited < WAIT_US:
            self.lease.unreachable(now)
        elif self.outage or waited > self.work_us or (not self.has_list and self.failures >= 2):
            self.lease.unreachable(self.asked_at)
        else:
            return False
        return True

    def _plan(self, now: int, width: float) -> list[Action]:
        # Guards against a herd: discovery works through what has timed out too, and tells nobody anything.
        # Turns by number, jittered within one, leave no clumps as draws would; they change from plan to plan,
        # or those with an early one would call a failing discovery again and again.
        turn = ((self.me + self.plans) * GOLDEN + self.rng.random() / self.fleet) % 1.0
        self.plans += 1
        # Guards against a turn that comes too late: who has not asked in time counts as told all the same.
        # What is overdue leaves as much time as there was at first: discovery may be back at any moment. It
        # is more where calls wait in turn in vain for long: where all do not fit, some have to be answered.
        left, overdue = self.deadline - now, now >= self.deadline
        if overdue or self.overrun:
            notified_us = self.lease.notified_us
            waited = min(max(notified_us, -left / 2), notified_us << DOUBLINGS)
            left = waited if self.overrun else float(notified_us)
        known, work = self.cost_us != GUESS_US, self.fleet * self.cost_us
        most = min(width, (ASK_SHARE if known else GUESS_SHARE) * left)
        if known and most < work <= width and not overdue:
            most = min(max(most, work - WAIT_US), FULL_SHARE * left)
        if 0 <= self.due_at <= now + most:  # a call is planned already, and soon enough
            return []
        wait = int(turn * most)
        self.due_at = now + wait
        return [SetTimer(wait, "subscribe")] if wait else self.due(now)
