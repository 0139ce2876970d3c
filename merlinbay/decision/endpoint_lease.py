"""The lease on the endpoint list: until when the list may be used. Only answers of discovery renew it.

It does no I/O and reads no clock: times are in microseconds and come from the caller. A change counts as
notified a fixed time after discovery has it and can be reached, whether or not it has arrived; this time is
the notification delay. A list that was not confirmed by then may name draining endpoints, so no attempt
begins by it once the drain grace of the rules is nearly over.

=================================  =============================================================
Event                              Effect on the lease
=================================  =============================================================
The process starts with a list.    It expires one notification delay later.
Discovery answers.                 It is renewed, and lasts as long as the watch.
The watch breaks.                  It expires one notification delay after the last answer.
A new configuration arrives.       It expires at a fixed time, when all that the new discovery
                                   has counts as notified. Only an answer of the new discovery
                                   at that time or later lifts this.
A call proves an outage.           Changes made before the proven time count as made then, so it
                                   expires one notification delay later. A list that nobody
                                   could get does not stop a node that serves.
A poll fails in another way.       Unchanged: a failed poll gives no more time.
The agent of a pushed list is      It does not expire: what the agent gets later counts as
silent.                            notified from then on.
=================================  =============================================================
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from merlinbay.decision.events import CallFailure

# A change counts as notified this long after discovery has it and can be reached.
NOTIFICATION_DELAY_US = 6_000_000
SEND_DELAY_US = 150_000  # longest delay of a node between reading its clock and sending
FIRST_BYTE_DELAY_US = 50_000  # longest time until the first byte of a send has left


@dataclass(slots=True)
class EndpointLease:
    """The lease of one balancer on its endpoint list."""

    poll_within_us: int  # time within which the rules require a poll; 0: not stated
    grace_us: int  # how long after a drain is notified an endpoint may still be sent requests
    expires_at_us: float = math.inf  # when a change that has not arrived may count as notified
    # For each new configuration, the time at which all that its discovery has counts as notified.
    reloads_due_at_us: list[int] = field(default_factory=list)

    @property
    def notification_delay_us(self) -> int:
        """Return how long after discovery has a change the change counts as notified."""
        return min(self.poll_within_us or NOTIFICATION_DELAY_US, NOTIFICATION_DELAY_US)

    @property
    def renewal_due_at_us(self) -> float:
        """Return the time by which an answer must have come."""
        return min([self.expires_at_us, *self.reloads_due_at_us])

    def usable_until_us(self) -> float:
        """Return the time until which attempts may begin by the list."""
        # Ends before the grace does, so that a send decided within the grace does not leave after it.
        return self.renewal_due_at_us + max(self.grace_us - SEND_DELAY_US - FIRST_BYTE_DELAY_US, 0)

    def is_usable(self, now_us: float) -> bool:
        """Return whether an attempt may begin by the list."""
        return now_us < self.usable_until_us()

    def begin(self, now_us: int) -> None:
        """Start the lease on a list that is known from before."""
        self.expires_at_us = now_us + self.notification_delay_us

    def renew(self, now_us: int) -> None:
        """Renew the lease at an answer of the configured discovery, whose watch reports changes from now on.

        An answer does not lift the deadline of a new configuration before its time: the watch may answer soon
        after the new configuration and then fall silent.
        """
        self.expires_at_us = math.inf
        self.reloads_due_at_us = [due_at_us for due_at_us in self.reloads_due_at_us if due_at_us > now_us]

    def watch_broke(self, now_us: int, answered_at_us: int) -> None:
        """Let the lease expire, because changes after the last answer on the watch may not have arrived."""
        since_us = answered_at_us if answered_at_us >= 0 else now_us
        self.expires_at_us = min(self.expires_at_us, since_us + self.notification_delay_us)

    def push_agent_failed(self, now_us: int, answered_at_us: int, failure: CallFailure) -> None:
        """Handle a failed call to the machine's own agent, where lists are pushed.

        An agent that is silent or absent has learned nothing: what it gets later counts as notified from then
        on, and the agent is called again all the time. An agent whose answer cannot be read may have changes.
        """
        if failure is CallFailure.BROKEN:
            self.watch_broke(now_us, answered_at_us)
        else:
            self.expires_at_us, self.reloads_due_at_us = math.inf, []

    def discovery_changed(self, now_us: int, notified_after_us: int) -> None:
        """Add the deadline of a new configuration: when all that its discovery has counts as notified."""
        self.reloads_due_at_us.append(now_us + notified_after_us)

    def discovery_was_unreachable(self, at_us: float) -> None:
        """Extend the lease after proof that nobody could reach discovery at that time."""
        self.expires_at_us = max(self.expires_at_us, at_us + self.notification_delay_us)
