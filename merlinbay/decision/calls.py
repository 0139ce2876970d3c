"""By when this scheduler must have the list, and when to call discovery for it: spread over the fleet.

No I/O, no clock: times are microseconds and come from the caller. The rule, whatever happened to the watch:
**the list is had by ``by``**, and each call is planned inside what is left until then. What sets ``by``:

=============================  ====================================================================
the start, with a known list   ``ask_us`` after it
a watch that broke             ``ask_us`` after the last answer on it, but ``SILENT_US`` at the most:
                               one that is reset may have been silent before
a call that failed             four times ``ask_us`` after it (the wire page); nothing more after a watch
                               that fell silent, or another discovery: what they have counts all the same
another discovery              what it takes to count as having told all
an answer                      no time any more: the watch tells
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
AFTER_FAILURE = 4  # times to ask that a failed call allows
DOUBLINGS = 3  # calls are spread twice as far after each failure in a row, so often at the most
SILENT_US = 6_000_000  # so long after a watch fell silent, what it missed counts as told


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
    by: float = math.inf  # when it must have the list
    firm: bool = False  # what counts as told by then does so whatever calls fail

    def start(self, now: int) -> list[api.Action]:
        """Plan the first call. This and all plans return what is to be done now."""
        self.by = self.asked_at + (self.ask_us or math.inf)
        return self._plan(now, (self.fleet - 1) * self.cost_us)

    def broken(self, now: int, heard_at: int = -1, silent: bool = False) -> list[api.Action]:
        """Plan the next call after one that failed, or after a watch that ended or fell silent.

        Guards against a whole new time to ask after a watch that fell silent: it began with the silence.
        """
        if self.out:
            self.failures = min(self.failures + 1, DOUBLINGS)
            if not self.firm:
                self.by = self.asked_at + (AFTER_FAILURE * self.ask_us or math.inf)
        else:
            self.firm |= silent
            since, allowed = (heard_at, SILENT_US) if heard_at >= 0 else (now, math.inf)
            self.by = min(self.by, since + min(self.ask_us or math.inf, allowed))
        self.out = False
        # Guards against news that are overdue and come later still: who is late already calls on steadily.
        return self._plan(now, self.fleet * self.cost_us * 2 ** (1 if self.firm else max(self.failures, 1)))

    def moved(self, now: int, told_us: int) -> list[api.Action]:
        """Plan the call to another discovery, which counts as having told us all after so long."""
        self.by, self.firm = min(self.by, now + told_us), True
        return self._plan(now, self.fleet * self.cost_us)

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
            self.out, self.firm, self.failures, self.by = False, False, 0, math.inf

    def _plan(self, now: int, width: float) -> list[api.Action]:
        # Guards against a herd: discovery works through what has timed out too, and tells nobody anything.
        # Turns by number, jittered within one, leave no clumps as draws would; they change from plan to plan,
        # or those with an early one would call a failing discovery again and again.
        turn = ((self.me + self.plans) * GOLDEN + self.rng.random() / self.fleet) % 1.0
        self.plans += 1
        # Guards against a turn that comes too late: who has not asked in time counts as told all the same.
        # What is overdue leaves no less time than there was at first: no call is made in time any more.
        left = self.by - now if now < self.by else self.ask_us or math.inf
        most = min(width, ASK_SHARE * left)
        if 0 <= self.due_at <= now + most:  # a call is planned already, and soon enough
            return []
        wait = int(turn * most)
        self.due_at = now + wait
        return [api.SetTimer(wait, "subscribe")] if wait else self.due(now)
