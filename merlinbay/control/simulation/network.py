"""The simulated network: delays by region pair, loss, duplication, reordering and cuts."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

LOCAL_DELAY = 0.0005  # seconds between machines of one region


@dataclass(frozen=True)
class NetworkSettings:
    """How the network treats messages. Delays are one-way, in seconds, by pair of regions."""

    delays: tuple[tuple[str, str, float], ...]
    jitter: float  # mean of an exponential distribution, as a share of the delay
    loss: float
    duplication: float
    reordering: float  # share of messages that are held back
    held_back: float  # up to so many seconds


class FaultyNetwork:
    """Decides when the copies of a message arrive. Places are machines by name; each is in a region."""

    def __init__(self, settings: NetworkSettings, regions: dict[str, str], random: Random) -> None:
        """Start with no cut."""
        self.settings = settings
        self.regions = regions
        self.random = random
        self.delays = {(one, other): delay for one, other, delay in settings.delays}
        self.delays |= {(other, one): delay for one, other, delay in settings.delays}
        self.cuts: Counter[tuple[str, str]] = Counter()
        self.calm = False

    def cut(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Stop messages from the first to the second place of each pair."""
        self.cuts.update(pairs)

    def heal(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Take one cut of each pair back."""
        self.cuts.subtract(pairs)

    def heal_all(self) -> None:
        """Deliver everything from now on, with its delay only."""
        self.cuts.clear()
        self.calm = True

    def arrivals(self, sender: str, receiver: str) -> list[float]:
        """Return the delays after which a message sent now arrives: none, one or two."""
        if self.cuts[sender, receiver] > 0:
            return []
        if self.calm:
            return [self._delay(sender, receiver)]
        settings, random = self.settings, self.random
        if random.random() < settings.loss:
            return []
        copies = 2 if random.random() < settings.duplication else 1
        return [self._delay(sender, receiver) + self._extra() for _ in range(copies)]

    def _delay(self, sender: str, receiver: str) -> float:
        pair = self.regions[sender], self.regions[receiver]
        delay = LOCAL_DELAY if pair[0] == pair[1] else self.delays[pair]
        return delay * (1.0 - self.settings.jitter * math.log(1.0 - self.random.random()))

    def _extra(self) -> float:
        if self.random.random() >= self.settings.reordering:
            return 0.0
        return self.random.random() * self.settings.held_back
