"""By which deadline this scheduler must have the list, and when to call discovery: spread over the fleet.

No I/O, no clock: times are microseconds and come from the caller. What discovery has, and can be reached for,
counts as told ``TOLD_US`` later (or the rules' time to ask, where that is shorter), whatever became of
watches and calls. So there is one deadline, and each call is planned inside what is left until then. It is:

=============================  ====================================================================
the start, with a known list   so long after it
a watch that broke             so long after the last answer on it: one that is reset may have been
                               silent before
another discovery              what it takes to count as having told all
a call that failed             nothing: it gives no more time
an answer                      lifts it: the watch tells
=============================  ====================================================================

Many schedulers start, lose their watch or are sent to another discovery in one instant, and it answers one
call after the other. What a call takes it is learned from our own answers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

from merlinbay.decision import api

GOLDEN = (math.sqrt(5) - 1) / 2  # its multiples, less the whole, part any run of numbers evenly
GUESS_US = 150_000  # what a call takes discovery, until one of ours was answered
LEAST_US = 1_000  # and the least that is believed
ASK_SHARE = 0.6  # of what is left; the rest is for the node's own start, its turns, and a call that fails
GUESS_SHARE = 0.75  # and of what is left while nothing is known of what a call takes,
FULL_SHARE = 0.9  # or where they hardly fit: the longer they wait in turn, the more of them fail
DOUBLINGS = 3  # calls are spread twice as far after each failure in a row, so often at the most
WAIT_US = 1_000_000  # so long calls may wait in turn; one answered by a failure after it did so in vain
TOLD_US = 6_000_000  # so long after discovery has it and can be reached, news count as told


@dataclass(slots=True)
class Calls:
    """The calls of one scheduler, number ``me`` of ``fleet``."""

    me: int
    fleet: int
    ask_us: int  # the rules' time to ask; 0: none is stated
    rng: Random
    asked_at: int  # when it called last; before the first call, its start
    cost_us: float = GUESS_US
    due_at: int = -1  # when the next call is planned
    out: bool = False  # a call has not been answered yet
    failures: int = 0  # calls that failed in a row,
    overrun: bool = False  # the last call had waited in turn in vain
    plans: int = 0  # made so far
    deadline: float = math.inf  # when it must have the list

    @property
    def told_us(self) -> int:
        """Return how long after discovery has them news count as told."""
        return min(self.ask_us or TOLD_US, TOLD_US)

    def start(self, now: int) -> list[api.Action]:
        """Plan the first call. This and all plans return what is to be done now."""
        self.deadline = self.asked_at + self.told_us
        return self._plan(now, (self.fleet - 1) * self.cost_us)

    def broken(self, now: int, heard_at: int = -1, answered: bool = True) -> list[api.Action]:
        """Plan the next call after one that failed, or after a watch that ended or fell silent.

        Guards against a whole new time after each of them: it began with the last answer. A call that was not
        answered at all tells nothing of how many there are.
        """
        if self.out:
            self.failures = min(self.failures + 1, DOUBLINGS)
            waited = answered and now - self.asked_at >= WAIT_US
            self.overrun = waited
        else:
            self.deadline = min(self.deadline, (heard_at if heard_at >= 0 else now) + self.told_us)
        self.out = False
        return self._plan(now, self.fleet * self.cost_us * 2 ** max(self.failures, 1))

    def moved(self, now: int, told_us: int) -> list[api.Action]:
        """Plan the call to another discovery, which counts as having told us all after so long."""
        self.deadline = min(self.deadline, now + told_us)
        return self._plan(now, self.fleet * self.cost_us)

    def due(self, now: int) -> list[api.Action]:
        """Make the planned call, if it is time."""
        if not 0 <= self.due_at <= now:
            return []
        self.due_at, self.asked_at, self.out = -1, now, True
        return [api.Subscribe()]

    def answered(self, now: int) -> float:
        """Learn from the answer to our call what one takes discovery, those before it in turn included.

        Returns by how much the list has come late; nothing or less: it has not.
        """
        late = now - self.deadline
        if self.out:
            self.cost_us = max(float(now - self.asked_at), LEAST_US)
            self.out, self.failures, self.overrun, self.deadline = False, 0, False, math.inf
        return late

    def _plan(self, now: int, width: float) -> list[api.Action]:
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
            waited = min(max(self.told_us, -left / 2), self.told_us << DOUBLINGS)
            left = waited if self.overrun else float(self.told_us)
        known, work = self.cost_us != GUESS_US, self.fleet * self.cost_us
        most = min(width, (ASK_SHARE if known else GUESS_SHARE) * left)
        if known and most < work and not overdue:
            most = min(max(most, work - WAIT_US), FULL_SHARE * left)
        if 0 <= self.due_at <= now + most:  # a call is planned already, and soon enough
            return []
        wait = int(turn * most)
        self.due_at = now + wait
        return [api.SetTimer(wait, "subscribe")] if wait else self.due(now)
