"""Streams in virtual time, for tests and simulated figures. One seed gives one history."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from random import Random
from typing import Generic, Protocol, TypeVar

from merlinbay.control.fanout.topology import Location

SAME_ZONE_DELAY_S = 0.0005  # one way, seconds
SAME_REGION_DELAY_S = 0.002
OTHER_REGION_DELAY_S = 0.040
DELAY_SPREAD = 0.5  # a message takes up to this share longer


class NetworkNode(Protocol):
    """A machine as the network sees it."""

    location: Location
    alive: bool


NodeT = TypeVar("NodeT", bound=NetworkNode)


class FanoutNetwork(Generic[NodeT]):
    """The clock, the events to come, and who cannot reach whom."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.rng = Random(seed)
        self.hosts: dict[str, NodeT] = {}
        self.cut_regions: set[str] = set()  # nothing passes between one of these and another region
        self.slow: set[str] = set()  # names of hosts that take nothing from their streams
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._streams = itertools.count(1)

    def at(self, moment: float, call: Callable[[], None]) -> None:
        """Have something happen."""
        heapq.heappush(self._events, (moment, next(self._order), call))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    def next_stream_number(self) -> int:
        """Return the number of a new stream."""
        return next(self._streams)

    def delay(self, here: Location, there: Location) -> float:
        """Return the time of one message one way, without its spread."""
        if here == there:
            return SAME_ZONE_DELAY_S
        return SAME_REGION_DELAY_S if here.region == there.region else OTHER_REGION_DELAY_S

    def reachable(self, one: NodeT, other: NodeT) -> bool:
        """Return whether messages pass between two hosts."""
        if not (one.alive and other.alive):
            return False
        here, there = one.location.region, other.location.region
        return here == there or not (here in self.cut_regions or there in self.cut_regions)

    def arrival(self, delay: float, free: float) -> float:
        """Draw when a message arrives that is sent now; not before ``free``, so that order is kept."""
        return max(free, self.now + delay * (1 + DELAY_SPREAD * self.rng.random()))
