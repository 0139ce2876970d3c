"""The state of one attempt of a follower to watch an upstream, until its stream ends."""

from __future__ import annotations

from merlinbay.control.fanout.assembly import MessageAssembly
from merlinbay.control.fanout.messages import NO_GENERATION
from merlinbay.control.fanout.topology import Upstream


class WatchAttempt:
    """One attempt and its stream; after acceptance it is the follower's watch."""

    __slots__ = ("assembly", "attempt", "deadline", "generation", "open", "stale", "upstream")

    def __init__(self, attempt: int, upstream: Upstream, deadline: float, max_bytes: int) -> None:
        self.attempt, self.upstream = attempt, upstream
        self.deadline = deadline  # time at which it is abandoned, unless a message arrives before
        self.open = False
        self.stale = False  # whether its upstream last reported data older than the limit
        self.generation = NO_GENERATION  # set by ``WatchAccepted``
        self.assembly = MessageAssembly(max_bytes)
