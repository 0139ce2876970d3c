"""Lambert's W on its two real branches, by Halley's iteration."""

from __future__ import annotations

import math

MAX_STEPS = 60  # many more than it takes; each step triples the digits


def lambertw(x: float, branch: int) -> float:
    """Return the w with w e^w = x: from -1 up on branch 0, down from there on branch -1 (x < 0)."""
    if branch == -1 and x == 0:
        return -math.inf
    # Guards against a slow start: the library's W took half of it, and a node that restarts serves nobody.
    near = math.sqrt(max(0.0, 2 * (1 + math.e * x)))
    if near < 0.5:  # the branch point's series
        w = -1 + near - near * near / 3 if branch == 0 else -1 - near - near * near / 3
    elif branch == 0:
        w = math.log1p(x) if x > 0 else x
    else:
        w = math.log(-x) - math.log(-math.log(-x))
    for _ in range(MAX_STEPS):
        e = math.exp(w)
        off = w * e - x
        slope = e * (w + 1)
        if slope == 0:
            break
        step = off / (slope - off * (w + 2) / (2 * w + 2))
        w -= step
        if abs(step) <= 1e-14 * (1 + abs(w)):
            break
    return w
