"""One attempt of a follower to watch an upstream, until the end of its stream."""

from __future__ import annotations

from merlinbay.control.fanout.assembly import MessageAssembly
from merlinbay.control.fanout.messages import NO_GENERATION
from merlinbay.control.fanout.topology import Upstream


class WatchAttempt:
    """The stream of one attempt."""

    __slots__ = ("assembly", "attempt", "deadline", "generation", "open", "stale", "upstream")

    def __init__(self, attempt: int, upstream: Upstream, deadline: float, max_bytes: int) -> None:
        self.attempt, self.upstream = attempt, upstream
        self.deadline = deadline  # when it is abandoned, unless a message comes before
        self.open = False
        self.stale = False  # its upstream last reported data older than the limit
        self.generation = NO_GENERATION  # set with Accepted
        self.assembly = MessageAssembly(max_bytes)
