"""The capacity page: fits, formulas, what rows rest on, the ranking, and the page itself."""

from __future__ import annotations

import math
from pathlib import Path
from random import Random

import click
import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from merlinbay.capacity import page
from merlinbay.capacity.fit import GROWTH, Fit, Form, TooFewSizesError, choose
from merlinbay.capacity.formula import FormulaError, evaluate
from merlinbay.capacity.needs import Basis, NeedRow, NeedsCalculator, Prediction
from merlinbay.capacity.plan import (
    NO_MODULE,
    CapacityPlan,
    CapacityPlanError,
    CapacityRole,
    Input,
    Measure,
    Mechanism,
    RoleNeed,
    RolesFile,
    read_plan,
)
from merlinbay.capacity.ranking import Standing, rank
from merlinbay.capacity.runs import Metric, RunFile, ScaleRunError, read_folder
from merlinbay.capacity.words import filled, quantity
from merlinbay.cli.capacity import DIFFERENT, capacity, fit_runs
from merlinbay.scale.results import FORMAT, Percentiles, RoleMeasurement, ScaleRun

ROOT = Path(__file__).parent.parent
SIZES = (50, 100, 200, 400, 800)
SEEDS = 400


def measurement(size: int, hollow: bool = False, **more: object) -> RoleMeasurement:
    """Return a row of one role."""
    values: dict[str, object] = {
        "role": "r",
        "members": size,
        "seconds": 10.0,
        "bytes_sent_per_s": 0.0,
        "bytes_received_per_s": 0.0,
        "messages_sent_per_s": 0.0,
        "messages_received_per_s": 0.0,
        "cpu_share": 0.0,
        "idle_loop_cpu_share": 0.0,
        "memory_bytes": 0,
    }
    return RoleMeasurement(size=size, hollow=hollow, **{**values, **more})  # type: ignore[arg-type]


def run_file(*rows: RoleMeasurement, name: str = "run.json", plan: str = "p") -> RunFile:
    """Return a run."""
    return RunFile(name, ScaleRun(FORMAT, plan, "c", "m", "2026-12-02T05:00:00+00:00", 1.0, "none", rows))


def plan_of(*needs: RoleNeed, mechanisms: tuple[Mechanism, ...] = (), **inputs: float) -> CapacityPlan:
    """Return a plan of one role, with a measure ``sent`` at ``n``."""
    made = tuple(Input(name, "", "taken", value) for name, value in inputs.items())
    measure = Measure("sent", "r", "bytes_sent_per_s", "n", "B/s")
    memory = Measure("memory", "r", "memory_bytes", "n", "B")
    return CapacityPlan(
        made,
        RolesFile((measure, memory), mechanisms, (CapacityRole("Agent", "n", "", "", needs),)),
        failures=(),
    )


def rows_of(plan: CapacityPlan, *files: RunFile) -> list[NeedRow]:
    """Return the plan's rows over some runs."""
    return NeedsCalculator(plan, files).rows()


@given(
    form=st.sampled_from(sorted(GROWTH, key=lambda form: form.value)),
    intercept=st.floats(-1e3, 1e3),
    slope=st.floats(0.01, 1e3),
    sign=st.sampled_from([1, -1]),
)
def test_a_form_without_noise_is_recovered(form: Form, intercept: float, slope: float, sign: int) -> None:
    """Form, slope and the value beyond the sizes measured."""
    values = [intercept + sign * slope * GROWTH[form](size) for size in SIZES]
    choice = choose(SIZES, values)
    assert choice.chosen.form is form and choice.chosen.slope is not None
    assert choice.chosen.slope.value == pytest.approx(sign * slope, rel=1e-6)
    expected = intercept + sign * slope * GROWTH[form](2500)
    assert choice.predict(2500).value == pytest.approx(expected, rel=1e-6, abs=1e-6 * abs(intercept))


def fitted(form: Form, seed: int, slope: float = 2.0) -> tuple[Fit, float]:
    """Return a form fitted to noisy values, and one more value at 2,500."""
    random, sizes = Random(seed), SIZES * 2
    noise = 0.1 * slope * GROWTH[form](400)
    values = [7 + slope * GROWTH[form](size) + random.gauss(0, noise) for size in sizes]
    fit = next(fit for fit in choose(sizes, values).fits if fit.form is form)
    return fit, 7 + slope * GROWTH[form](2500) + random.gauss(0, noise)


@pytest.mark.parametrize("form", GROWTH)
def test_intervals_hold_what_they_say(form: Form) -> None:
    """In 400 seeds the slope's and the prediction's intervals hold the truth in 95 of 100, within chance."""
    slopes = predictions = 0
    for seed in range(SEEDS):
        fit, value = fitted(form, seed)
        assert fit.slope is not None
        slopes += fit.slope.low <= 2.0 <= fit.slope.high
        prediction = fit.predict(2500)
        predictions += prediction.low <= value <= prediction.high
    for held in (slopes, predictions):
        assert 0.915 <= held / SEEDS <= 0.985  # three standard deviations about 0.95


def test_noise_alone_is_a_constant() -> None:
    """Rarely is a slope seen where there is none, and the interval then holds the mean."""
    constant = 0
    for seed in range(SEEDS):
        random = Random(seed)
        choice = choose(SIZES * 2, [random.gauss(100, 5) for _ in SIZES * 2])
        constant += choice.chosen.form is Form.CONSTANT
        if choice.chosen.form is Form.CONSTANT:
            assert choice.chosen.slope is None
            assert choice.predict(1).low < 100 + 10 and choice.predict(1).high > 100 - 10
    assert constant / SEEDS > 0.85  # the best of four forms is tested at five in a hundred


def test_the_interval_covers_the_forms_that_fit_nearly_as_well() -> None:
    """With noise, linear and n log n cannot be told apart; what lies far beyond says so."""
    random = Random(3)
    values = [size + random.gauss(0, 60) for size in SIZES]
    choice = choose(SIZES, values)
    assert choice.undecided
    found = choice.predict(2500)
    for fit in (choice.chosen, *choice.undecided):
        one = fit.predict(2500)
        assert found.low <= one.low and one.high <= found.high


@pytest.mark.parametrize("sizes", [(50,), (50, 50, 50, 50, 50), (50, 100, 200), (50, 100, 200, 200, 100)])
def test_too_few_sizes_are_refused(sizes: tuple[int, ...]) -> None:
    """Repeats are no sizes."""
    with pytest.raises(TooFewSizesError, match="a fit needs 4"):
        choose(sizes, [float(size) for size in sizes])


def test_residuals_are_what_is_left() -> None:
    """They sum up to nothing, and to the residual sum by squares."""
    values = [size + (-1) ** at for at, size in enumerate(SIZES)]
    for fit in choose(SIZES, values).fits:
        left = [value - fit.at(size) for size, value in zip(SIZES, values, strict=True)]
        assert fit.residuals == pytest.approx(left) and sum(left) == pytest.approx(0, abs=1e-6)
        assert fit.residual_sum == pytest.approx(sum(one * one for one in left))


def test_formulas_are_arithmetic_alone() -> None:
    """Anything else is refused in one line, by the text."""
    assert evaluate("2 * n ** 2 + max(n, ceil(log(n)))", {"n": 3.0}) == 21
    for text in ("n.real", "open('x')", "n if n else 1", "[n]", "n +", "m", "max(n, key=n)", "'n'", "-n"):
        with pytest.raises(FormulaError) as caught:
            evaluate(text, {"n": 1.0})
        assert len(str(caught.value).splitlines()) == 1
    assert filled("about {n * 2:B}, {n:/s}", {"n": 1500.0}) == "about 3 kB, 1,500/s"


@pytest.mark.parametrize(
    ("value", "unit", "words"),
    [
        (0.0161, "core", "1.61 % of a core"),
        (168.75e6, "B", "169 MB"),
        (999.9, "B/s", "1 kB/s"),
        (0.000232, "s", "232 us"),
        (0.0164, "/s", "0.0164/s"),
        (25000, "", "25,000"),
        (0, "s", "0 s"),
    ],
)
def test_quantities_have_three_digits(value: float, unit: str, words: str) -> None:
    """With the prefix that suits."""
    assert quantity(value, unit) == words


def test_metrics_are_read_from_rows() -> None:
    """A field, a percentile, a rate for each count; what a row lacks is no value."""
    row = measurement(50, cpu_share=0.2, counts={"changes": 4}, times={"x": Percentiles(9, 1, 2, 3, 4)})
    assert Metric("cpu_share").of(row) == 0.2
    assert Metric("cpu_share", "changes").of(row) == 0.5  # seconds a change
    assert Metric("times.x.p999").of(row) == 3 and Metric("counts.changes").of(row) == 4
    assert Metric("counts.changes", "changes").of(row) == 1  # no rate: so many for each
    assert Metric("times.y.p50").of(row) is None and Metric("cpu_share", "deaths").of(row) is None
    with pytest.raises(ScaleRunError, match="no metric 'speed'"):
        Metric("speed").of(row)


def predicted(hollow: float, real: float | None, metric: str, base: int = 0) -> Prediction:
    """Return the prediction at 800 of hollow members, which real ones were compared with at 100."""
    rows = [measurement(size, True, **{metric: hollow * size}) for size in SIZES]
    step = {"counts": {"calibration": 1}}  # its members are half as busy, and no value of the fit
    if real is not None:
        rows.append(measurement(100, True, **{metric: hollow * 50}, **step))
        rows.append(measurement(100, False, **{metric: real * 50 + base}, **step))
    reckoner = NeedsCalculator(plan_of(n=800.0), [run_file(*rows)])
    return reckoner.predictions["memory" if metric == "memory_bytes" else "sent"]


@pytest.mark.parametrize(
    ("real", "value", "said"),
    [
        (None, 800, "hollow, not compared"),
        (1.1, 800, "hollow, real/hollow 1.10"),
        (0.86, 800, "hollow, real/hollow 0.86"),
        (1.2, 960, "hollow x 1.20, the ratio to real"),
        (0.8, 640, "hollow x 0.80, the ratio to real"),
    ],
)
def test_a_hollow_figure_is_used_as_far_as_real_ones_allow(
    real: float | None, value: float, said: str
) -> None:
    """Within 15 % as it is, beyond with the ratio, and the page says which."""
    found = predicted(1.0, real, "bytes_sent_per_s")
    assert found.estimate is not None and found.estimate.value == pytest.approx(value)
    assert found.correction == said


def test_what_a_process_holds_on_its_own_is_added_to_memory() -> None:
    """Hollow members share it."""
    found = predicted(1000, 1000, "memory_bytes", base=30_000_000)
    assert found.estimate is not None and found.estimate.value == pytest.approx(800_000 + 30_000_000)
    assert found.correction == "+30,000,000 B of a process"


def test_memory_without_what_a_process_holds_is_multiplied() -> None:
    """The run has taken it off both."""
    rows = [measurement(size, True, memory_bytes=1000 * size) for size in SIZES]
    rows.append(measurement(100, False, memory_bytes=150_000, base_memory_bytes=30_000_000))
    found = NeedsCalculator(plan_of(n=800.0), [run_file(*rows)]).predictions["memory"]
    assert found.estimate is not None and found.estimate.value == pytest.approx(1_200_000)


def test_what_the_run_has_corrected_is_not_corrected_again() -> None:
    """Its rows say so; the step that the ratio is of is not corrected, and no value of the fit."""
    step = {"counts": {"calibration": 1}}
    rows = [measurement(size, True, bytes_sent_per_s=1.5 * size, ratios_applied=True) for size in SIZES]
    rows.append(measurement(100, True, bytes_sent_per_s=100.0, **step))
    rows.append(measurement(100, False, bytes_sent_per_s=150.0, **step))
    found = NeedsCalculator(plan_of(n=800.0), [run_file(*rows)]).predictions["sent"]
    assert found.estimate is not None and found.estimate.value == pytest.approx(1200)
    assert found.correction == "hollow x 1.50 in the run, the ratio to real"


def test_a_row_says_what_it_rests_on() -> None:
    """Measured, from runs, reckoned or not known; without a fit the other formula counts, or nothing."""
    plan = plan_of(
        RoleNeed("a", "B/s", "m", formula="sent", otherwise="n", budget="1000"),
        RoleNeed("b", "B/s", "m", formula="sent * 2", budget="1000"),
        RoleNeed("c", "B/s", "m", formula="n * 2", budget="1000"),
        RoleNeed("d", "B/s", "m", budget="1000"),
        RoleNeed("e", "/s", "m", formula="n", budget="1000", budget_is="least"),
        n=500.0,
    )
    file = run_file(*(measurement(size, bytes_sent_per_s=2.0 * size) for size in SIZES))
    rows = rows_of(plan, file)
    assert [row.basis for row in rows] == [
        Basis.MEASURED,
        Basis.FROM_RUNS,
        Basis.RECKONED,
        Basis.NOT_KNOWN,
        Basis.RECKONED,
    ]
    assert [row.margin for row in rows] == pytest.approx([1.0, 0.5, 1.0, None, 0.5])
    assert rows[0].runs == ("run.json",) and rows[2].runs == ()
    few = run_file(*(measurement(size, bytes_sent_per_s=2.0 * size) for size in SIZES[:3]))
    without = rows_of(plan, few)
    assert [row.basis for row in without[:2]] == [Basis.RECKONED, Basis.NOT_KNOWN]
    assert without[0].formula == "n" and without[1].estimate is None


def test_a_prediction_far_beyond_the_sizes_is_no_figure() -> None:
    """Ten times the largest size, and no further; nor is a difference of fits that comes out below zero."""
    file = run_file(*(measurement(size, bytes_sent_per_s=2.0 * size) for size in SIZES))
    for size, basis in ((8000.0, Basis.MEASURED), (8001.0, Basis.NOT_KNOWN)):
        (row,) = rows_of(plan_of(RoleNeed("a", "B/s", "m", formula="sent"), n=size), file)
        assert row.basis is basis
    (row,) = rows_of(plan_of(RoleNeed("a", "B/s", "m", formula="n - sent", otherwise="n"), n=500.0), file)
    assert row.basis is Basis.RECKONED and row.estimate is not None and row.estimate.value == 500


def test_a_fit_that_falls_to_nothing_is_no_figure() -> None:
    """A share that falls with the size does not become negative need."""
    file = run_file(*(measurement(size, bytes_sent_per_s=1000.0 - size) for size in SIZES))
    (row,) = rows_of(plan_of(RoleNeed("a", "B/s", "m", formula="sent", budget="1"), n=2500.0), file)
    assert row.basis is Basis.NOT_KNOWN and row.margin is None


def test_inputs_at_half_and_at_double() -> None:
    """Needs and margins move; rows that an input is not in stay out."""
    plan = plan_of(
        RoleNeed("a", "", "m", formula="n * k", budget="100"),
        RoleNeed("b", "", "m", formula="n"),
        n=2.0,
        k=5.0,
    )
    (turn,) = NeedsCalculator(plan, []).turns("k")
    assert (turn.at_half.value, turn.taken.value, turn.at_double.value) == (5, 10, 20)
    assert (turn.at_half.margin, turn.at_double.margin) == (20, 5)


def test_the_ranking_goes_by_margin_then_by_what_rests_on_it() -> None:
    """Missing first; what is replaced by one that is there is not ranked; before, it is."""
    mechanisms = (
        Mechanism("few", "few", NO_MODULE),
        Mechanism("many", "many", NO_MODULE),
        Mechanism("over", "over", "x.py", needs=("many",)),
        Mechanism("fits", "fits", "y.py", module_before=NO_MODULE),
        Mechanism("old", "old", "z.py", replaced_by="fits"),
        Mechanism("dark", "dark", "w.py"),
    )
    plan = plan_of(
        RoleNeed("a", "", "few", formula="n"),
        RoleNeed("b", "", "many", formula="n"),
        RoleNeed("c", "", "over", formula="n", budget="0.5 * n"),
        RoleNeed("d", "", "fits", formula="n", budget="2 * n"),
        RoleNeed("e", "", "old", formula="n", budget="0.01 * n"),
        RoleNeed("f", "", "dark", formula="n"),
        mechanisms=mechanisms,
        n=10.0,
    )
    now = rank(plan, rows_of(plan))
    assert [one.mechanism.name for one in now] == ["many", "few", "over", "fits", "dark"]
    assert [one.resting_rows for one in now] == [2, 1, 1, 1, 1]
    assert [one.standing for one in now] == [
        Standing.MISSING,
        Standing.MISSING,
        Standing.OVER,
        Standing.WITHIN,
        Standing.NOT_KNOWN,
    ]
    before = [one.mechanism.name for one in rank(plan, rows_of(plan), before=True)]
    assert before == ["many", "few", "fits", "old", "over", "dark"]


PLAN = read_plan(ROOT / "docs" / "capacity")


def test_the_page_is_what_the_command_writes() -> None:
    """From the committed files alone; to mend it, call ``merlinbay scale capacity``."""
    reckoner = NeedsCalculator(PLAN, read_folder(ROOT / "bench" / "scale-runs"))
    text = (ROOT / "docs" / "CAPACITY.md").read_text()
    assert page.write(text, reckoner) == text


def test_the_plan_names_what_is_there() -> None:
    """Modules are in the tree, and every role has its row in every failure."""
    paths = {one.at(before) for one in PLAN.roles.mechanism for before in (True, False)} - {NO_MODULE}
    assert [path for path in sorted(paths) if not (ROOT / path).is_file()] == []
    roles = [role.name for role in PLAN.roles.role]
    for failure in PLAN.failures:
        assert [one.role for one in failure.consequence] == roles, failure.name


def test_the_users_numbers_stand_in_the_plan() -> None:
    """As they gave them, and what follows of them: 208 workers and some 2,080 tasks a zone."""
    values = PLAN.values()
    given = {one.name: one.value for one in PLAN.inputs if one.source == "plan"}
    assert given.items() >= {
        ("workers", 2500),
        ("accelerators", 2600),
        ("jobs_per_day", 39_000),
        ("task_starts_peak", 1200),
        ("tasks_running", 25_000),
        ("gang_tasks", 64),
        ("teams", 660),
        ("urgent_start_s", 1.3),
        ("regions", 3),
        ("zones", 12),
        ("changes_per_day", 5500),
        ("change_in_force_s", 3),
        ("node_core", 0.049),
        ("node_memory", 64e6),
        ("node_bytes", 15e3),
        ("control_machines", 21),
        ("failures_per_day", 19),
        ("replacements_per_day", 700),
        ("region_cut_s", 3600),
    }
    assert math.floor(values["zone_workers"]) == 208 and 2080 <= values["zone_tasks"] < 2090
    used = values["voters"] + values["relays"] + values["owners"] + values["observers"]
    assert used == values["control_machines"] and values["observers"] >= 0


def test_a_formula_over_what_is_not_there_is_refused(tmp_path: Path) -> None:
    """By the value's name."""
    for name in ("inputs", "roles", "failures"):
        text = (ROOT / "docs" / "capacity" / f"{name}.toml").read_text()
        (tmp_path / f"{name}.toml").write_text(
            text.replace('formula = "follower_core"', 'formula = "folower_core"')
        )
    with pytest.raises(CapacityPlanError, match="there is no value 'folower_core'"):
        read_plan(tmp_path)


def called(command: click.Command, *words: str) -> tuple[int, list[str]]:
    """Return the exit code and the lines that a command prints."""
    result = CliRunner().invoke(command, list(words))
    return result.exit_code, result.output.splitlines()


def test_fit_prints_forms_and_refuses_one_size(tmp_path: Path) -> None:
    """Slope, interval and residuals of each metric, and a plot; a run of one size is one line."""
    path, single, plots = tmp_path / "run.json", tmp_path / "single.json", tmp_path / "plots"
    rows = [measurement(size, bytes_sent_per_s=3.0 * size + size % 7) for size in SIZES]
    path.write_bytes(msgspec.json.encode(run_file(*rows).run))
    single.write_bytes(msgspec.json.encode(run_file(rows[0], plan="single").run))
    code, lines = called(fit_runs, str(path), str(single), "--plot", str(plots))
    assert code == 0 and lines[0] == "p r real bytes_sent_per_s: linear"
    assert (
        lines[1].startswith("  slope 3 (2.99 to 3.0")
        and len([one for one in lines if "residual" in one]) == 5
    )
    assert lines[-1] == "single r real bytes_sent_per_s: refused: sizes that differ: 1, but a fit needs 4"
    assert [one.name for one in plots.iterdir()] == ["p-r-real-bytes_sent_per_s.svg"]
    words = ["--metric", "bytes_sent_per_s", "--together"]
    code, lines = called(fit_runs, str(path), str(single), *words)
    assert code == 0 and len([one for one in lines if "residual" in one]) == 6
    assert called(fit_runs, str(path), "--metric", "speed")[1] == ["merlinbay: there is no metric 'speed'"]
    code, lines = called(fit_runs, str(single))
    assert code == 2 and lines[-1].startswith("merlinbay: nothing could be fitted")
    path.write_text("{}")
    code, lines = called(fit_runs, str(path))
    assert code == 2 and len(lines) == 1


def test_capacity_tells_and_mends_a_page_that_differs(tmp_path: Path) -> None:
    """``--check`` writes nothing; a page without a place for a table is refused."""
    text = (ROOT / "docs" / "CAPACITY.md").read_text()
    copy = tmp_path / "CAPACITY.md"
    copy.write_text(text.replace("| workers | 2,500 |", "| workers | 2,600 |"))
    files = ["--plan", str(ROOT / "docs" / "capacity"), "--runs", str(ROOT / "bench" / "scale-runs")]
    assert called(capacity, "--page", str(copy), *files, "--check")[0] == DIFFERENT
    assert copy.read_text() != text
    assert called(capacity, "--page", str(copy), *files)[0] == 0 and copy.read_text() == text
    assert called(capacity, "--page", str(copy), *files, "--check")[0] == 0
    copy.write_text(text.replace("<!-- tables: roles -->", ""))
    code, lines = called(capacity, "--page", str(copy), *files)
    assert code == 2 and len(lines) == 1 and "tables: roles" in lines[0]
