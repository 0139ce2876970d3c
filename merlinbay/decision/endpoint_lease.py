"""Until when the endpoint list may be used: a lease, which only discovery's answers renew.

No I/O, no clock: times are microseconds and come from the caller. A change counts as notified a fixed time
after discovery has it and can be reached, whether or not it arrived. A list that has not been confirmed by
then may name draining endpoints, so no attempt begins by it once the grace of the rules is nearly over.

==============================  ===============================================================
the start, with a known list    the lease expires so long after it
an answer                       renews it; it stands while the watch does
a watch that broke              it expires so long after the last answer on that watch
a new configuration             it expires at a fixed moment: all that the new discovery has by
                                then counts as notified. Only an answer of the new discovery that
                                comes at that moment or later lifts it
proof of an outage              changes made before count from then on: a list that nobody could
                                have does not stop a node that serves
a poll that failed otherwise    nothing: it gives no more time
a pushed list's agent is silent  it does not expire: what the agent gets later counts from then on
==============================  ===============================================================
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from merlinbay.decision.events import CallFailure

NOTIFICATION_DELAY_US = 6_000_000  # so long after discovery has it and can be reached, a change is notified
SEND_DELAY_US = 150_000  # a node may be delayed for so long between a look at its clock and a send
FIRST_BYTE_DELAY_US = 50_000  # for what the first byte of a send takes to leave


@dataclass(slots=True)
class EndpointLease:
    """The lease of one balancer on its endpoint list."""

    poll_within_us: int  # the rules' time to poll; 0: none is stated
    grace_us: int  # after being notified, sends to a draining endpoint are allowed for so long
    expires_at_us: float = math.inf  # when what discovery had last counts as notified
    # When all that discovery had at a reload counts as notified.
    reloads_due_at_us: list[int] = field(default_factory=list)

    @property
    def notification_delay_us(self) -> int:
        """Return how long after discovery has it a change counts as notified."""
        return min(self.poll_within_us or NOTIFICATION_DELAY_US, NOTIFICATION_DELAY_US)

    @property
    def renewal_due_at_us(self) -> float:
        """Return by when an answer must have come."""
        return min([self.expires_at_us, *self.reloads_due_at_us])

    def usable_until_us(self) -> float:
        """Return until when attempts may begin by the list."""
        # Guards against a send that is decided within the grace and leaves after it.
        return self.renewal_due_at_us + max(self.grace_us - SEND_DELAY_US - FIRST_BYTE_DELAY_US, 0)

    def is_usable(self, now_us: float) -> bool:
        """Tell whether an attempt may begin by the list."""
        return now_us < self.usable_until_us()

    def begin(self, now_us: int) -> None:
        """Start with a list that is known from before."""
        self.expires_at_us = now_us + self.notification_delay_us

    def renew(self, now_us: int) -> None:
        """Take an answer of the configured discovery: the watch reports changes from now on.

        Guards against a watch that answers soon after a new configuration, and falls silent.
        """
        self.expires_at_us = math.inf
        self.reloads_due_at_us = [due_at_us for due_at_us in self.reloads_due_at_us if due_at_us > now_us]

    def watch_broke(self, now_us: int, answered_at_us: int) -> None:
        """Have the lease expire: what came after the last answer on the watch may not have arrived."""
        since_us = answered_at_us if answered_at_us >= 0 else now_us
        self.expires_at_us = min(self.expires_at_us, since_us + self.notification_delay_us)

    def push_agent_failed(self, now_us: int, answered_at_us: int, failure: CallFailure) -> None:
        """Take it that a call to the machine's own agent has failed, where lists are pushed.

        An agent that is silent, or not there, has learned nothing: what it gets later counts from then on,
        and it is called again all the time. One that answers what cannot be read may have had changes.
        """
        if failure is CallFailure.BROKEN:
            self.watch_broke(now_us, answered_at_us)
        else:
            self.expires_at_us, self.reloads_due_at_us = math.inf, []

    def discovery_changed(self, now_us: int, notified_after_us: int) -> None:
        """Take a new configuration: all that its discovery has counts as notified after so long."""
        self.reloads_due_at_us.append(now_us + notified_after_us)

    def discovery_was_unreachable(self, at_us: float) -> None:
        """Take it as proven that nobody could reach discovery at that moment."""
        self.expires_at_us = max(self.expires_at_us, at_us + self.notification_delay_us)
