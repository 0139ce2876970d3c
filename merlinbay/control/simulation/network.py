"""The simulated network: delays by region pair, loss, duplication, reordering and cuts.

It decides when the copies of a message arrive; the simulation delivers them.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

LOCAL_DELAY_S = 0.0005  # one-way, between machines of one region


@dataclass(frozen=True)
class NetworkSettings:
    """The delays and fault rates of the network. Delays are one-way, in seconds, by pair of regions."""

    delays: tuple[tuple[str, str, float], ...]
    jitter: float  # mean of an exponential distribution, as a share of the delay
    loss: float  # share of messages that are lost
    duplication: float  # share of messages that arrive twice
    reordering: float  # share of messages that are held back
    held_back: float  # longest extra delay of such a message, in seconds


class FaultyNetwork:
    """Decides when the copies of a message arrive.

    Senders and receivers are the names of machines, clients and followers; each is in a region.
    """

    def __init__(self, settings: NetworkSettings, regions: dict[str, str], random: Random) -> None:
        """Start without cuts."""
        self.settings = settings
        self.regions = regions
        self.random = random
        self.delays = {(region, peer): delay for region, peer, delay in settings.delays}
        self.delays |= {(peer, region): delay for region, peer, delay in settings.delays}
        self.cuts: Counter[tuple[str, str]] = Counter()
        self.calm = False  # whether messages are only delayed

    def cut(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Stop messages from the first to the second place of each pair."""
        self.cuts.update(pairs)

    def heal(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Remove one cut of each pair. A pair that was cut twice stays cut."""
        self.cuts.subtract(pairs)

    def heal_all(self) -> None:
        """Remove all cuts, and from now on deliver every message once, without extra delay."""
        self.cuts.clear()
        self.calm = True

    def arrivals(self, sender: str, receiver: str) -> list[float]:
        """Return the delays after which the copies of a message sent now arrive: none, one or two."""
        if self.cuts[sender, receiver] > 0:
            return []
        if self.calm:
            return [self._delay(sender, receiver)]
        settings, random = self.settings, self.random
        if random.random() < settings.loss:
            return []
        copies = 2 if random.random() < settings.duplication else 1
        return [self._delay(sender, receiver) + self._reordering_delay() for _ in range(copies)]

    def _delay(self, sender: str, receiver: str) -> float:
        pair = self.regions[sender], self.regions[receiver]
        delay = LOCAL_DELAY_S if pair[0] == pair[1] else self.delays[pair]
        return delay * (1.0 - self.settings.jitter * math.log(1.0 - self.random.random()))

    def _reordering_delay(self) -> float:
        if self.random.random() >= self.settings.reordering:
            return 0.0
        return self.random.random() * self.settings.held_back
