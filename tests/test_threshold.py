"""The O2A threshold, compared with a direct summation of utilities that shares no code with it."""

import math
from fractions import Fraction

import pytest
import scipy.special
from hypothesis import given, settings
from hypothesis import strategies as st

from merlinbay.decision.lambert import lambertw
from merlinbay.decision.threshold import threshold


def threshold_by_summation(r: Fraction, k: Fraction, max_n: int = 400) -> tuple[float, float]:
    """Return the largest N whose sum of r^n (k - n - 1) over n < N stays non-negative, and q, exactly."""
    if k > 1 and r <= 1 - 1 / k:
        return math.inf, 0.0
    total, power, n = Fraction(0), Fraction(1), 0
    while n < max_n and total + power * (k - n - 1) >= 0:
        total += power * (k - n - 1)
        power *= r
        n += 1
    assert n < max_n
    return float(n), float(total / (power * (n + 1 - k)))


@pytest.mark.parametrize(
    "r",
    [
        "0.29",
        "0.7",
        "0.9",
        "0.999",
        "0.9999",
        "0.99999",
        "1",
        "1.00001",
        "1.0001",
        "1.001",
        "1.1",
        "2",
        "50",
        "100000",
        "1000000000000",
    ],
)
@pytest.mark.parametrize("k", ["0", "0.5", "1", "1.2", "2", "3.5", "7", "12.3"])
def test_threshold_matches_direct_summation(r: str, k: str) -> None:
    """N and q agree with the exact sum on both sides of r = 1 and at r = 1, where the closed form fails."""
    n, q = threshold(float(r), float(k))
    expected_n, expected_q = threshold_by_summation(Fraction(r), Fraction(k))
    assert n + q == pytest.approx(expected_n + expected_q, abs=1e-6)
    assert 0 <= q <= 1


@pytest.mark.parametrize(
    ("branch", "values"),
    [
        (0, [-1 / math.e * part / 50 for part in range(50)] + [1e-9, 0.1, 1, 10, 1e9, 1e300]),
        (-1, [-1 / math.e * part / 50 for part in range(1, 50)] + [-1e-9, -1e-300, 0]),
    ],
)
def test_lambert_w_matches_the_library(branch: int, values: list[float]) -> None:
    """Both branches agree with the library's function, from the branch point to the ends of their ranges."""
    for x in values:
        assert lambertw(x, branch) == pytest.approx(scipy.special.lambertw(x, branch).real, rel=1e-6), x


def test_threshold_of_the_example_in_the_paper() -> None:
    """R = 10, c = 2, p = 3 gives (R-p)/c = 3.5: N = 2(R-p)/c - 1 = 6 at r = 1. It is whole, so q = 0."""
    assert threshold(1.0, 3.5) == (6.0, 0.0)


def test_boundary_of_the_infinite_threshold() -> None:
    """Up to r = 1 - c/(R-p) any number of requests may wait; just above, the threshold is finite."""
    assert threshold(0.75, 4.0)[0] == math.inf
    assert threshold(0.74, 4.0)[0] == math.inf
    assert 4 < threshold(0.76, 4.0)[0] < math.inf


@settings(derandomize=True, deadline=None)
@given(st.floats(0, 1e15), st.floats(0, 1e6))
def test_never_nan(r: float, k: float) -> None:
    """Any load and any worth give a count that is finite or infinite, and a probability."""
    n, q = threshold(r, k)
    assert n >= 0 and 0 <= q <= 1
    assert n == math.inf or n == math.floor(n)
