"""The spread of one death over a fleet too large to play node by node: the view's rules on arrays.

A view of ten thousand members at each of ten thousand nodes does not fit into memory. What decides how
soon a death is known does: who probes when, how a suspicion and its confirmations come round, and the time
that they leave (``fleet.settings.times``). ``bench.view curves`` plays both where both can be played.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from merlinbay.fleet.settings import Fleet, times

Times = NDArray[np.float64]
ACCUSERS = 12  # the first of them are followed: more than confirm a suspicion


@dataclass(frozen=True)
class Death:
    """Seconds from a death until the first and the last member take it for one."""

    first: float
    last: float


def rumour(rng: np.random.Generator, members: int, start: Times, loss: float, section: Fleet) -> Times:
    """Return when each member hears a piece of news that some know from ``start`` on (inf: not)."""
    heard, left = start.copy(), np.full(members, float(times(section, members).sends))
    now = float(np.min(start))
    end = now + 200 * section.gossip
    while now < end:
        tellers = np.flatnonzero((heard <= now) & (left > 0))
        if not len(tellers):
            later = heard[(heard > now) & np.isfinite(heard)]
            if not len(later):
                break
            now = float(np.min(later))
            continue
        left[tellers] -= section.spread
        whom = rng.integers(0, members, len(tellers) * section.spread)
        whom = whom[rng.random(len(whom)) >= loss]
        now += section.gossip
        heard[whom] = np.minimum(heard[whom], now)
    return heard


def death(members: int, loss: float, section: Fleet, seed: int) -> Death:
    """Play one death."""
    rng = np.random.default_rng([seed, members, int(loss * 100)])
    limits = times(section, members)
    # Each probes all the others in shuffled rounds, one a period: this one at a drawn place of the round.
    probes = rng.random(members) * members * section.probe + rng.random(members) * section.probe
    accusers = np.argsort(probes)[:ACCUSERS]
    known = np.full((ACCUSERS, members), math.inf)
    for number, accuser in enumerate(accusers):
        start = np.full(members, math.inf)
        start[accuser] = probes[accuser] + section.probe
        known[number] = rumour(rng, members, start, loss, section)
    known.sort(axis=0)  # row k: when a member knows of k + 1 accusers
    wanted = min(section.helpers, max(members - 2, 0))
    least = limits.suspect_least * (2 - wanted / section.helpers)
    spans = [
        limits.suspect_most - (limits.suspect_most - least) * min(1.0, math.log(count) / math.log(wanted + 1))
        for count in range(1, wanted + 2)
    ]
    own = np.min(
        [np.maximum(known[number], known[0] + max(span, least)) for number, span in enumerate(spans)], axis=0
    )
    last = np.minimum(own, rumour(rng, members, own, loss, section))
    return Death(float(np.min(own)), float(np.max(last)))


def deaths(members: int, loss: float, section: Fleet, count: int = 5) -> Death:
    """Return the medians over so many deaths."""
    found = [death(members, loss, section, seed) for seed in range(count)]
    return Death(
        *(float(np.median(times)) for times in zip(*((one.first, one.last) for one in found), strict=True))
    )
