"""Least squares over the sizes of scale runs: the form, its slope, intervals and residuals. No I/O.

All forms with a slope are ``y = intercept + slope * g(size)``, so they have equally many parameters and the
corrected Akaike criterion (AICc) orders them as their residual sums do. AICc against the constant is not
defined at four values, so the constant is chosen unless the interval of the best slope excludes zero. Forms
whose AICc is within ``UNDECIDED`` of the best are named, and the interval of a prediction covers theirs too.
All values weigh alike.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

import numpy as np
from scipy import stats

LEAST_SIZES = 4  # different ones: with fewer, a form cannot be told from another
LEVEL = 0.95
UNDECIDED = 2.0  # the usual bound: a model within 2 of the best has substantial support
ROUNDING = 1e-12  # residuals below this share of the largest value are noise of the arithmetic


class Form(Enum):
    """How a value grows with the size."""

    CONSTANT = "constant"
    LOGARITHMIC = "logarithmic"
    LINEAR = "linear"
    LINEARITHMIC = "n log n"
    QUADRATIC = "quadratic"


GROWTH: dict[Form, Callable[[float], float]] = {
    Form.LOGARITHMIC: math.log,
    Form.LINEAR: lambda size: size,
    Form.LINEARITHMIC: lambda size: size * math.log(size),
    Form.QUADRATIC: lambda size: size * size,
}


class TooFewSizesError(ValueError):
    """The values are of fewer than four different sizes."""


@dataclass(frozen=True)
class Estimate:
    """A value and its 95 % interval."""

    value: float
    low: float
    high: float

    def scaled(self, factor: float) -> Estimate:
        """Return it times a factor that is not negative."""
        return Estimate(self.value * factor, self.low * factor, self.high * factor)


@dataclass(frozen=True)
class Fit:
    """One form fitted to all values."""

    form: Form
    count: int
    intercept: float
    slope: Estimate | None  # None for the constant
    residuals: tuple[float, ...]  # in the order of the values
    residual_sum: float  # of squares
    mean_growth: float  # of g over the sizes measured
    growth_spread: float  # sum of squares of g about its mean

    @property
    def parameters(self) -> int:
        """Return how many coefficients were fitted."""
        return 1 if self.slope is None else 2

    def residual_deviation(self) -> float:
        """Return the standard deviation of the residuals."""
        return math.sqrt(self.residual_sum / (self.count - self.parameters))

    def at(self, size: float) -> float:
        """Return the fitted value at a size."""
        if self.slope is None:
            return self.intercept
        return self.intercept + self.slope.value * GROWTH[self.form](size)

    def predict(self, size: float) -> Estimate:
        """Return what one more measurement at ``size`` would give, with its interval."""
        variance = 1 + 1 / self.count
        if self.slope is not None:
            variance += (GROWTH[self.form](size) - self.mean_growth) ** 2 / self.growth_spread
        reach = _quantile(self.count - self.parameters) * self.residual_deviation() * math.sqrt(variance)
        value = self.at(size)
        return Estimate(value, value - reach, value + reach)


@dataclass(frozen=True)
class Choice:
    """All forms fitted to the same values, the best with a slope first."""

    sizes: tuple[float, ...]
    values: tuple[float, ...]
    chosen: Fit
    undecided: tuple[Fit, ...]  # others with as many parameters that fit nearly as well
    fits: tuple[Fit, ...]

    def predict(self, size: float) -> Estimate:
        """Return the chosen form's value at ``size``; the interval covers the undecided forms' intervals."""
        predictions = [fit.predict(size) for fit in (self.chosen, *self.undecided)]
        return Estimate(
            predictions[0].value,
            min(prediction.low for prediction in predictions),
            max(prediction.high for prediction in predictions),
        )


def choose(sizes: Sequence[float], values: Sequence[float]) -> Choice:
    """Fit all forms and choose one; raise ``TooFewSizesError`` below four different sizes."""
    if len(sizes) != len(values):
        raise ValueError(f"{len(sizes)} sizes, but {len(values)} values")
    different = len(set(sizes))
    if different < LEAST_SIZES:
        raise TooFewSizesError(f"sizes that differ: {different}, but a fit needs {LEAST_SIZES}")
    if min(sizes) < 1:
        raise ValueError("a size is at least 1")
    constant = _fit_constant(values)
    sloped = sorted(
        (_fit_slope(form, sizes, values) for form in GROWTH),
        key=lambda fit: (fit.residual_sum, fit.form.value),
    )
    best = sloped[0]
    assert best.slope is not None
    fits = (*sloped, constant)
    if best.slope.low <= 0 <= best.slope.high:
        return Choice(tuple(sizes), tuple(values), constant, (), fits)
    undecided = tuple(fit for fit in sloped[1:] if _criterion_difference(fit, best) <= UNDECIDED)
    return Choice(tuple(sizes), tuple(values), best, undecided, fits)


def _criterion_difference(fit: Fit, best: Fit) -> float:
    """Return by how much the AICc of a form is above the best's; both have as many parameters."""
    if fit.residual_sum == best.residual_sum:
        return 0.0
    if best.residual_sum == 0:
        return math.inf
    return fit.count * math.log(fit.residual_sum / best.residual_sum)


def _quantile(freedom: int) -> float:
    """Return Student's t for a two-sided interval."""
    return float(stats.t.ppf((1 + LEVEL) / 2, freedom))


def _square_sum(residuals: np.ndarray, values: Sequence[float]) -> float:
    """Return the sum of squares, 0 where only rounding is left."""
    if float(np.abs(residuals).max()) <= ROUNDING * max(abs(value) for value in values):
        return 0.0
    return float(residuals @ residuals)


def _fit_constant(values: Sequence[float]) -> Fit:
    """Fit the mean."""
    found = np.asarray(values, dtype=float)
    mean = float(found.mean())
    residuals = found - mean
    square_sum = _square_sum(residuals, values)
    return Fit(Form.CONSTANT, len(values), mean, None, tuple(residuals.tolist()), square_sum, 0.0, 0.0)


def _fit_slope(form: Form, sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit an intercept and a slope over the form's growth."""
    growth = np.array([GROWTH[form](size) for size in sizes])
    found = np.asarray(values, dtype=float)
    centred = growth - growth.mean()
    spread = float(centred @ centred)
    slope = float(centred @ found) / spread
    intercept = float(found.mean() - slope * growth.mean())
    residuals = found - intercept - slope * growth
    square_sum = _square_sum(residuals, values)
    freedom = len(values) - 2
    reach = _quantile(freedom) * math.sqrt(square_sum / freedom / spread)
    return Fit(
        form,
        len(values),
        intercept,
        Estimate(slope, slope - reach, slope + reach),
        tuple(residuals.tolist()),
        square_sum,
        float(growth.mean()),
        spread,
    )
