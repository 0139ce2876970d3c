"""Computes the admission threshold of O2A: how many requests may wait at one endpoint.

``Admission``, whose module names the paper, asks for it with its own load and worth. It has no state.
"""

from __future__ import annotations

import math
from functools import lru_cache

from merlinbay.decision.lambert import lambertw

MAX_SUMMED_JOBS = 10_000  # N is not computed beyond this, where the probability q has no effect


@lru_cache(maxsize=65536)
def threshold(r: float, k: float) -> tuple[float, float]:
    """Return O2A's N and q for r = offered load / service rate and k = (R-p)/c.

    A request is admitted if fewer than N wait, and with probability q if N wait. Algorithm 1 of the paper
    swaps the branches of Lambert's W: W-1 belongs to r < 1 and W0 to r > 1. Near r = 1 the closed form loses
    its digits by cancellation, and for large r its terms overflow. So it only gives a first value of N; the
    final N and q come from the weighted sum of utilities, scaled by r^-n.
    """
    r = max(r, 1e-9)
    if k < 1:
        return 0.0, 0.0
    if k > 1 and r <= 1 - 1 / k:
        return math.inf, 0.0
    n = 2 * k - 1
    if abs(r - 1) >= 1e-4:
        y = (k - 1 / (1 - r)) * math.log(r)
        n = (lambertw(-y * math.exp(-y), -1 if r < 1 else 0) + y) / math.log(r)
    if not n < MAX_SUMMED_JOBS:
        return float(MAX_SUMMED_JOBS), 0.0
    top, sums = max(0, math.floor(n)), [0.0]
    while len(sums) <= top + 1 or sums[-1] >= 0:
        sums.append((sums[-1] + k - len(sums)) / r)
    top = len(sums) - 2
    while top and sums[top] < 0:
        top -= 1
    return float(top), min(1.0, max(0.0, sums[top] / (top + 1 - k)))
