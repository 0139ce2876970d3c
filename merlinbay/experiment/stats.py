"""Means with confidence intervals by bootstrap, and paired differences. The same numbers give the same."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import numpy as np

RESAMPLES = 4000


@dataclass(frozen=True)
class Interval:
    """A mean, and where 95 of 100 such intervals would have it."""

    mean: float
    low: float
    high: float
    count: int

    def __str__(self) -> str:
        return f"{self.mean:.4f} [{self.low:.4f}, {self.high:.4f}] of {self.count}"


def mean_of(values: Sequence[float], level: float = 0.95) -> Interval:
    """Return the mean with its interval (percentile bootstrap)."""
    found = np.asarray(values, dtype=float)
    if len(found) == 0:
        raise ValueError("no values")
    rng = np.random.Generator(np.random.PCG64(len(found)))
    means = found[rng.integers(0, len(found), (RESAMPLES, len(found)))].mean(axis=1)
    low, high = np.quantile(means, [(1 - level) / 2, (1 + level) / 2])
    return Interval(float(found.mean()), float(low), float(high), len(found))


def difference(one: Mapping[int, float], other: Mapping[int, float]) -> Interval:
    """Return how much larger ``one`` is, over the seeds that both have."""
    seeds = sorted(one.keys() & other.keys())
    return mean_of([one[seed] - other[seed] for seed in seeds])
