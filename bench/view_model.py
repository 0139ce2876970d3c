"""The spread of one death over a fleet too large to play node by node: the view's rules on arrays.

A view of ten thousand members at each of ten thousand nodes does not fit into memory. What decides how
soon a death is known does: who probes when, how a suspicion and its confirmations come round, and the time
that they leave (``fleet.settings.timing``). ``bench.view curves`` plays both where both can be played.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from merlinbay.fleet.settings import FleetSettings, timing

Times = NDArray[np.float64]
ACCUSERS = 12  # the first of them are followed: more than confirm a suspicion


@dataclass(frozen=True)
class Death:
    """Seconds from a death until the first and the last member take it for one."""

    first: float
    last: float


def dissemination(
    rng: np.random.Generator, members: int, start: Times, loss: float, settings: FleetSettings
) -> Times:
    """Return when each member hears a state that some know from ``start`` on (inf: not)."""
    heard, left = start.copy(), np.full(members, float(timing(settings, members).max_transmissions))
    now = float(np.min(start))
    end = now + 200 * settings.gossip
    while now < end:
        tellers = np.flatnonzero((heard <= now) & (left > 0))
        if not len(tellers):
            later = heard[(heard > now) & np.isfinite(heard)]
            if not len(later):
                break
            now = float(np.min(later))
            continue
        left[tellers] -= settings.spread
        whom = rng.integers(0, members, len(tellers) * settings.spread)
        whom = whom[rng.random(len(whom)) >= loss]
        now += settings.gossip
        heard[whom] = np.minimum(heard[whom], now)
    return heard


def death(members: int, loss: float, settings: FleetSettings, seed: int) -> Death:
    """Play one death."""
    rng = np.random.default_rng([seed, members, int(loss * 100)])
    limits = timing(settings, members)
    # Each probes all the others in shuffled rounds, one a period: this one at a drawn place of the round.
    probes = rng.random(members) * members * settings.probe + rng.random(members) * settings.probe
    accusers = np.argsort(probes)[:ACCUSERS]
    known = np.full((ACCUSERS, members), math.inf)
    for number, accuser in enumerate(accusers):
        start = np.full(members, math.inf)
        start[accuser] = probes[accuser] + settings.probe
        known[number] = dissemination(rng, members, start, loss, settings)
    known.sort(axis=0)  # row k: when a member knows of k + 1 accusers
    wanted = min(settings.helpers, max(members - 2, 0))
    least = limits.suspicion_min_s * (2 - wanted / settings.helpers)
    spans = [
        limits.suspicion_max_s
        - (limits.suspicion_max_s - least) * min(1.0, math.log(count) / math.log(wanted + 1))
        for count in range(1, wanted + 2)
    ]
    own = np.min(
        [np.maximum(known[number], known[0] + max(span, least)) for number, span in enumerate(spans)], axis=0
    )
    last = np.minimum(own, dissemination(rng, members, own, loss, settings))
    return Death(float(np.min(own)), float(np.max(last)))


def deaths(members: int, loss: float, settings: FleetSettings, count: int = 5) -> Death:
    """Return the medians over so many deaths."""
    found = [death(members, loss, settings, seed) for seed in range(count)]
    return Death(
        *(float(np.median(times)) for times in zip(*((one.first, one.last) for one in found), strict=True))
    )
