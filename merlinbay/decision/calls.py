"""When to call discovery for the list: spread over the fleet, and never later than the rules' time to ask.

No I/O, no clock: times are microseconds and come from the caller. Many schedulers start, lose their watch or
are sent to another discovery in one instant, and it answers one call after the other. What a call takes it is
learned from our own answers. The rules set the other bound: who has not asked for ``Safety.must_ask_in_us``
(four times that after a call that failed) counts as told what he has not heard (the wire page, settings).
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

from merlinbay.decision import api

GOLDEN = (math.sqrt(5) - 1) / 2  # its multiples, less the whole, part any run of numbers evenly
GUESS_US = 150_000  # what a call takes discovery, until one of ours was answered
LEAST_US = 1_000  # and the least that is believed
ASK_SHARE = 0.6  # of the time to ask; the rest is for the node's own start, its turns, and a call that fails
AFTER_FAILURE = 4  # times to ask that a failed call allows
DOUBLINGS = 3  # calls are spread twice as far after each failure in a row, so often at the most


@dataclass(slots=True)
class Calls:
    """The calls of one scheduler, number ``me`` of ``fleet``."""

    me: int
    fleet: int
    ask_us: int  # the rules' time to ask; 0: none
    rng: Random
    asked_at: int  # when it called last; before the first call, its start
    cost_us: float = GUESS_US
    due_at: int = -1  # when the next call is planned
    out: bool = False  # a call has not been answered yet
    failures: int = 0  # calls that failed in a row
    plans: int = 0  # made so far

    def start(self, now: int) -> list[api.Action]:
        """Plan the first call. This and all plans return what is to be done now."""
        return self._plan(now, (self.fleet - 1) * self.cost_us, self.ask_us - (now - self.asked_at))

    def broken(self, now: int) -> list[api.Action]:
        """Plan the next call after one that failed, or after a watch that ended."""
        left = self.ask_us
        if self.out:
            left = AFTER_FAILURE * self.ask_us - (now - self.asked_at)
            self.failures = min(self.failures + 1, DOUBLINGS)
        self.out = False
        return self._plan(now, self.fleet * self.cost_us * 2 ** max(self.failures, 1), left)

    def moved(self, now: int, told_us: int) -> list[api.Action]:
        """Plan the call to another discovery, which counts as having told us all after so long."""
        return self._plan(now, self.fleet * self.cost_us, told_us)

    def due(self, now: int) -> list[api.Action]:
        """Make the planned call, if it is time."""
        if not 0 <= self.due_at <= now:
            return []
        self.due_at, self.asked_at, self.out = -1, now, True
        return [api.Subscribe()]

    def answered(self, now: int) -> None:
        """Learn from the answer to our call what one takes discovery, those before it in turn included."""
        if self.out:
            self.cost_us = max(float(now - self.asked_at), LEAST_US)
            self.out, self.failures = False, 0

    def _plan(self, now: int, width: float, left: int) -> list[api.Action]:
        # Guards against a herd: discovery works through what has timed out too, and tells nobody anything.
        # Turns by number, jittered within one, leave no clumps as draws would; they change from plan to plan,
        # or those with an early one would call a failing discovery again and again.
        turn = ((self.me + self.plans) * GOLDEN + self.rng.random() / self.fleet) % 1.0
        self.plans += 1
        # Guards against a turn that comes too late: who has not asked in time counts as told all the same.
        wait = int(turn * (max(0.0, min(width, ASK_SHARE * left)) if self.ask_us else width))
        if 0 <= self.due_at <= now + wait:  # a call is planned that comes sooner
            return []
        self.due_at = now + wait
        return [api.SetTimer(wait, "subscribe")] if wait else self.due(now)
