"""A network in virtual time, for tests and simulated figures. The same seed gives the same history."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from random import Random
from typing import Generic, Protocol, TypeVar

from merlinbay.control.fanout.topology import Location

# Delays of a message one way, in seconds.
SAME_ZONE_DELAY_S = 0.0005
SAME_REGION_DELAY_S = 0.002
OTHER_REGION_DELAY_S = 0.040
DELAY_SPREAD = 0.5  # a message takes longer by a random share of its delay up to this


class NetworkNode(Protocol):
    """A machine as the network sees it."""

    location: Location
    alive: bool


NodeT = TypeVar("NodeT", bound=NetworkNode)


class FanoutNetwork(Generic[NodeT]):
    """The virtual clock, the planned events, and the hosts that cannot reach each other."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.rng = Random(seed)
        self.hosts: dict[str, NodeT] = {}
        self.cut_regions: set[str] = set()  # no message passes between one of these and another region
        self.slow: set[str] = set()  # names of hosts that read nothing from their streams
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._streams = itertools.count(1)

    def at(self, moment: float, call: Callable[[], None]) -> None:
        """Plan ``call`` for ``moment``."""
        heapq.heappush(self._events, (moment, next(self._order), call))

    def run(self, until: float) -> None:
        """Advance the clock to ``until`` and run the events planned until then."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    def next_stream_number(self) -> int:
        """Return the number of a new stream."""
        return next(self._streams)

    def delay(self, here: Location, there: Location) -> float:
        """Return the delay of one message one way, without its spread."""
        if here == there:
            return SAME_ZONE_DELAY_S
        return SAME_REGION_DELAY_S if here.region == there.region else OTHER_REGION_DELAY_S

    def reachable(self, sender: NodeT, receiver: NodeT) -> bool:
        """Return whether messages pass between two hosts."""
        if not (sender.alive and receiver.alive):
            return False
        here, there = sender.location.region, receiver.location.region
        return here == there or not (here in self.cut_regions or there in self.cut_regions)

    def arrival(self, delay: float, free: float) -> float:
        """Draw the arrival time of a message sent now; not before ``free``, so that the order is kept."""
        return max(free, self.now + delay * (1 + DELAY_SPREAD * self.rng.random()))
