"""Until when the list of endpoints may be used: a lease, which only discovery's answers renew.

No I/O, no clock: times are microseconds and come from the caller. News count as notified a fixed time after
discovery has them and can be reached, whether or not they arrived. A list that has not been confirmed by then
may name endpoints that drain, so no attempt begins by it once the grace of the rules is nearly over.

==============================  ===============================================================
the start, with a known list    the lease runs out so long after it
an answer                       renews it; it stands while the watch does
a watch that broke              it runs out so long after the last answer on that watch
a new configuration             it runs out at a fixed moment, which only an answer of the new
                                discovery lifts that comes then or later: all that it has by
                                then counts as notified
proof of an outage              news made before count from then on: a list that nobody could
                                have does not stop a node that serves
a call that failed otherwise    nothing: it gives no more time
==============================  ===============================================================
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from merlinbay.decision.events import CallFailure

NOTIFIED_US = 6_000_000  # so long after discovery has it and can be reached, news count as notified
HELD_UP_US = 150_000  # a node may be held up for so long between a look at its clock and a send
MARGIN_US = 50_000  # for what the first byte of a send takes to leave


@dataclass(slots=True)
class ListLease:
    """The lease of one scheduler on its list."""

    ask_us: int  # the rules' time to ask; 0: none is stated
    grace_us: int  # after being notified, sends to a draining endpoint are allowed for so long
    runs_out_at: float = math.inf  # when what discovery had last counts as notified
    reloads_due: list[int] = field(default_factory=list)  # when all that discovery has counts as notified

    @property
    def notified_us(self) -> int:
        """Return how long after discovery has them news count as notified."""
        return min(self.ask_us or NOTIFIED_US, NOTIFIED_US)

    @property
    def due_at(self) -> float:
        """Return by when an answer must have come."""
        return min([self.runs_out_at, *self.reloads_due])

    def usable_until(self) -> float:
        """Return until when attempts may begin by the list."""
        # Guards against a send that is decided within the grace and leaves after it.
        return self.due_at + max(self.grace_us - HELD_UP_US - MARGIN_US, 0)

    def usable(self, now: float) -> bool:
        """Tell whether an attempt may begin by the list."""
        return now < self.usable_until()

    def begin(self, now: int) -> None:
        """Start with a list that is known from before."""
        self.runs_out_at = now + self.notified_us

    def renew(self, now: int) -> None:
        """Take an answer of the configured discovery: the watch tells from now on.

        Guards against a watch that answers soon after a new configuration, and falls silent.
        """
        self.runs_out_at = math.inf
        self.reloads_due = [due_at for due_at in self.reloads_due if due_at > now]

    def watch_broke(self, now: int, heard_at: int) -> None:
        """Have the lease run out: what came after the last answer on the watch may not have arrived."""
        since = heard_at if heard_at >= 0 else now
        self.runs_out_at = min(self.runs_out_at, since + self.notified_us)

    def agent_failed(self, now: int, heard_at: int, failure: CallFailure) -> None:
        """Take it that a call to the machine's own agent has failed, where lists are pushed.

        An agent that is silent, or not there, has learned nothing: what it gets later counts from then on,
        and it is called again all the time. One that answers what cannot be read may have news.
        """
        if failure is CallFailure.BROKEN:
            self.watch_broke(now, heard_at)
        else:
            self.runs_out_at, self.reloads_due = math.inf, []

    def reload(self, now: int, notified_us: int) -> None:
        """Take a new configuration: all that its discovery has counts as notified after so long."""
        self.reloads_due.append(now + notified_us)

    def unreachable(self, at: float) -> None:
        """Take it as proven that nobody could reach discovery at that moment."""
        self.runs_out_at = max(self.runs_out_at, at + self.notified_us)
