"""The admission threshold of O2A: how many jobs may wait at one endpoint."""

from __future__ import annotations

import math
from functools import lru_cache

from merlinbay.decision.lambert import lambertw

MAX_SUMMED_JOBS = 10_000  # beyond so many waiting jobs the threshold's fraction decides nothing


@lru_cache(maxsize=65536)
def threshold(r: float, k: float) -> tuple[float, float]:
    """Return O2A's N and q for r = offered load / service rate and k = (R-p)/c.

    Admit below N waiting jobs, with probability q at N. The paper's Algorithm 1 swaps the Lambert
    branches: W-1 serves r < 1 and W0 serves r > 1. Near r = 1 the closed form cancels and its terms
    overflow for large r, so the weighted sum of utilities, scaled by r^-n, settles the floor and q.
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
