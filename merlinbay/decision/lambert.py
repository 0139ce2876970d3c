"""Lambert's W on its two real branches, by Halley's iteration.

The library's W is not used because it took half of the time that a node needs to start, and a node that
restarts serves nobody.
"""

from __future__ import annotations

import math

MAX_STEPS = 60  # far more than are needed, since each step triples the number of correct digits


def lambertw(x: float, branch: int) -> float:
    """Return the w for which w e^w = x: w >= -1 on branch 0, w <= -1 on branch -1 (x < 0; -inf for x = 0)."""
    if branch == -1 and x == 0:
        return -math.inf
    distance = math.sqrt(max(0.0, 2 * (1 + math.e * x)))
    if distance < 0.5:  # The first value is that of the series at the branch point, x = -1/e.
        w = (
            -1 + distance - distance * distance / 3
            if branch == 0
            else -1 - distance - distance * distance / 3
        )
    elif branch == 0:
        w = math.log1p(x) if x > 0 else x
    else:
        w = math.log(-x) - math.log(-math.log(-x))
    for _ in range(MAX_STEPS):
        e = math.exp(w)
        residual = w * e - x
        slope = e * (w + 1)
        if slope == 0:
            break
        step = residual / (slope - residual * (w + 2) / (2 * w + 2))
        w -= step
        if abs(step) <= 1e-14 * (1 + abs(w)):
            break
    return w
