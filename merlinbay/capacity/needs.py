"""What each row comes to: predictions, formulas over them, margins and their sensitivity. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import Enum

from merlinbay.capacity.fit import Choice, Estimate, TooFewSizesError, choose
from merlinbay.capacity.formula import evaluate, names
from merlinbay.capacity.plan import CapacityPlan, Measure, RoleNeed
from merlinbay.capacity.runs import MEMORY, Metric, RunFile, Series, series

MOST_REACH = 10  # times the largest size measured: sizes over one decade do not tell a form over two
NOTICEABLE = 0.01  # a result that moves by less does not turn on an input


class Basis(Enum):
    """What a figure rests on."""

    MEASURED = "measured"  # the prediction of one fit
    FROM_RUNS = "from runs"  # a formula over predictions
    RECKONED = "reckoned"  # a formula over inputs alone
    NOT_KNOWN = "not known"


@dataclass(frozen=True)
class Prediction:
    """A measure at the plan's size."""

    measure: Measure
    size: float
    series: Series
    choice: Choice | None
    estimate: Estimate | None  # None: ``missing`` says why
    missing: str = ""
    correction: str = ""  # what was applied of the comparison with real members, in words


@dataclass(frozen=True)
class NeedRow:
    """A need of a role, worked out."""

    role: str
    need: RoleNeed
    basis: Basis
    formula: str  # the one that was used
    estimate: Estimate | None
    budget: float | None
    runs: tuple[str, ...]

    @property
    def margin(self) -> float | None:
        """Return budget over need; for a rate that has to be reached, what is reached over it."""
        return None if self.estimate is None else self._margin(self.estimate.value)

    @property
    def worst_margin(self) -> float | None:
        """Return the margin at the bad end of the interval."""
        if self.estimate is None:
            return None
        return self._margin(self.estimate.low if self.need.budget_is == "least" else self.estimate.high)

    def _margin(self, value: float) -> float | None:
        if self.budget is None or value <= 0:
            return None
        return value / self.budget if self.need.budget_is == "least" else self.budget / value


@dataclass(frozen=True)
class NeedResult:
    """What a row of needs, or a load of a failure, comes to with one set of inputs."""

    title: str
    unit: str
    value: float
    margin: float | None

    def differs(self, other: NeedResult) -> bool:
        """Say whether value or margin are noticeably different."""
        if abs(self.value - other.value) > NOTICEABLE * abs(self.value):
            return True
        if self.margin is None or other.margin is None:
            return False
        return abs(self.margin - other.margin) > NOTICEABLE * self.margin


@dataclass(frozen=True)
class Sensitivity:
    """How one result moves when one input is half or double."""

    at_half: NeedResult
    taken: NeedResult
    at_double: NeedResult


class NeedsCalculator:
    """The plan's rows over a set of runs."""

    def __init__(self, plan: CapacityPlan, files: Sequence[RunFile]) -> None:
        self.plan, self.files = plan, files
        self.series = {
            one.name: series(files, one.plan, one.role, Metric(one.metric, one.per))
            for one in plan.roles.measure
        }
        self.choices = {name: _fit(found) for name, found in self.series.items()}
        self.inputs = plan.values()
        self.predictions = self.predict(self.inputs)

    def predict(self, inputs: Mapping[str, float]) -> dict[str, Prediction]:
        """Return each measure at its size."""
        return {one.name: self._predict(one, evaluate(one.at, inputs)) for one in self.plan.roles.measure}

    def rows(self) -> list[NeedRow]:
        """Return all rows, in the order of the roles."""
        return [
            self._row(role.name, need, self.inputs, self.predictions)
            for role in self.plan.roles.role
            for need in role.needs
        ]

    def worked_out(self, formula: str, otherwise: str = "") -> tuple[str, Basis, Estimate | None]:
        """Return the formula that has a result, what that rests on, and the result."""
        return _first(formula, otherwise, self.inputs, self.predictions)

    def turns(self, name: str) -> list[Sensitivity]:
        """Return the results that turn on an input, at its half and its double."""
        taken = self._results(self.inputs)
        half, double = (
            self._results(self.plan.values({name: self.inputs[name] * factor})) for factor in (0.5, 2.0)
        )
        turns = [
            Sensitivity(half[key], taken[key], double[key]) for key in taken if key in half and key in double
        ]
        return [
            turn for turn in turns if any(turn.taken.differs(one) for one in (turn.at_half, turn.at_double))
        ]

    def _results(self, inputs: Mapping[str, float]) -> dict[str, NeedResult]:
        """Return all that comes to a number, by its title."""
        predictions = self.predict(inputs)
        found = []
        for role in self.plan.roles.role:
            for need in role.needs:
                row = self._row(role.name, need, inputs, predictions)
                if row.estimate is not None:
                    title = f"{role.name}: {need.resource}"
                    found.append(NeedResult(title, need.unit, row.estimate.value, row.margin))
        for failure in self.plan.failures:
            for one in failure.consequence:
                estimate = _first(one.load, one.otherwise, inputs, predictions)[2]
                if estimate is not None:
                    found.append(NeedResult(f"{failure.name}: {one.role}", one.unit, estimate.value, None))
        return {result.title: result for result in found}

    def _row(
        self, role: str, need: RoleNeed, inputs: Mapping[str, float], predictions: Mapping[str, Prediction]
    ) -> NeedRow:
        formula, basis, estimate = _first(need.formula, need.otherwise, inputs, predictions)
        used = sorted(names(formula) & predictions.keys()) if formula else []
        runs = {run for name in used for run in predictions[name].series.runs}
        budget = evaluate(need.budget, inputs) if need.budget else None
        return NeedRow(role, need, basis, formula, estimate, budget, tuple(sorted(runs)))

    def _predict(self, measure: Measure, size: float) -> Prediction:
        found, choice = self.series[measure.name], self.choices[measure.name]
        if isinstance(choice, str):
            return Prediction(measure, size, found, None, None, choice)
        reach = size / max(choice.sizes)
        if reach > MOST_REACH:
            missing = f"{size:,.0f} is {reach:.1f} times the largest size, {MOST_REACH} at the most"
            return Prediction(measure, size, found, choice, None, missing)
        made = Prediction(measure, size, found, choice, choice.predict(size))
        made = _corrected(made)
        assert made.estimate is not None
        if made.estimate.value <= 0:
            return replace(made, estimate=None, missing=f"the fit falls to zero before {size:,.0f}")
        return replace(made, estimate=replace(made.estimate, low=max(made.estimate.low, 0.0)))


def _fit(found: Series) -> Choice | str:
    """Return the fit, or why there is none."""
    if not found.points:
        return "no run"
    try:
        return choose([point.size for point in found.points], [point.value for point in found.points])
    except TooFewSizesError as error:
        return str(error)


def _corrected(made: Prediction) -> Prediction:
    """Apply what the comparison of hollow with real members showed."""
    calibration, estimate = made.series.calibration, made.estimate
    assert estimate is not None
    if not any(point.hollow for point in made.series.points):
        return made
    if calibration is None:
        return replace(made, correction="hollow, not compared")
    if calibration.corrected:
        return replace(made, correction=f"hollow x {calibration.ratio:.2f} in the run, the ratio to real")
    if made.measure.metric == MEMORY and calibration.whole_process:
        added = Estimate(*(part + calibration.difference for part in _parts(estimate)))
        return replace(made, estimate=added, correction=f"{calibration.difference:+,.0f} B of a process")
    if calibration.alike:
        return replace(made, correction=f"hollow, real/hollow {calibration.ratio:.2f}")
    return replace(
        made,
        estimate=estimate.scaled(calibration.ratio),
        correction=f"hollow x {calibration.ratio:.2f}, the ratio to real",
    )


def _parts(estimate: Estimate) -> tuple[float, float, float]:
    return estimate.value, estimate.low, estimate.high


def _first(
    formula: str, otherwise: str, inputs: Mapping[str, float], predictions: Mapping[str, Prediction]
) -> tuple[str, Basis, Estimate | None]:
    """Return the first of two formulas that has a result, what that rests on, and the result."""
    for one in filter(None, (formula, otherwise)):
        basis, estimate = _estimate(one, inputs, predictions)
        if estimate is not None:
            return one, basis, estimate
    return formula, Basis.NOT_KNOWN, None


def _estimate(
    formula: str, inputs: Mapping[str, float], predictions: Mapping[str, Prediction]
) -> tuple[Basis, Estimate | None]:
    """Return what a formula comes to, with the measures all at their value, all low and all high."""
    if not formula:
        return Basis.NOT_KNOWN, None
    used = names(formula) & predictions.keys()
    estimates = {name: predictions[name].estimate for name in used}
    known = {name: estimate for name, estimate in estimates.items() if estimate is not None}
    if len(known) < len(used):
        return Basis.NOT_KNOWN, None
    value, *ends = (
        evaluate(formula, {**inputs, **{name: _parts(one)[part] for name, one in known.items()}})
        for part in range(3)
    )
    if used and value <= 0:  # a difference of two fits, below their noise
        return Basis.NOT_KNOWN, None
    return _basis(formula, used), Estimate(value, min(value, *ends), max(value, *ends))


def _basis(formula: str, used: Iterable[str]) -> Basis:
    if not used:
        return Basis.RECKONED
    return Basis.MEASURED if formula in used else Basis.FROM_RUNS
