"""The tables of the capacity page, and how they are put between its markers. No I/O."""

from __future__ import annotations

import re
from collections.abc import Callable

from merlinbay.capacity.fit import Choice
from merlinbay.capacity.needs import Basis, NeedResult, NeedRow, NeedsCalculator, Prediction
from merlinbay.capacity.plan import NO_MODULE, Consequence, Mechanism
from merlinbay.capacity.ranking import Rank, Standing, rank
from merlinbay.capacity.words import filled, interval, number, quantity, table

BEGIN, END = "<!-- tables: {} -->", "<!-- end of tables: {} -->"
MISSING_RUN = "no run"


class CapacityPageError(ValueError):
    """A page without the markers of a table."""


def write(page: str, reckoner: NeedsCalculator) -> str:
    """Return the page with all of its tables as the plan and the runs give them."""
    for name, made in TABLES.items():
        page = _replace(page, name, "\n".join(made(reckoner)))
    return page


def _replace(page: str, name: str, text: str) -> str:
    begin, end = BEGIN.format(name), END.format(name)
    pattern = re.compile(re.escape(begin) + r".*?" + re.escape(end), re.DOTALL)
    if len(pattern.findall(page)) != 1:
        raise CapacityPageError(f"the page has no place, or several, for {begin}")
    return pattern.sub(lambda _: f"{begin}\n\n{text}\n\n{end}", page)


def summary_table(reckoner: NeedsCalculator) -> list[str]:
    """Return, for each role, on what its rows rest, how many are over budget, and the least margin."""
    lines, rows = [], reckoner.rows()
    for role in reckoner.plan.roles.role:
        own = [row for row in rows if row.role == role.name and not _superseded(reckoner, row)]
        bases = [str(sum(row.basis is basis for row in own)) for basis in Basis]
        known = [(row.margin, row) for row in own if row.margin is not None]
        over = str(sum(found < 1 for found, _ in known))
        least = ""
        if known:
            found, row = min(known, key=lambda pair: pair[0])
            least = f"{margin(found)}, {row.need.resource} ({row.basis.value})"
        lines.append([role.name, *bases, over, least])
    return table(["role", *(basis.value for basis in Basis), "over budget", "least margin"], lines)


def _superseded(reckoner: NeedsCalculator, row: NeedRow) -> bool:
    """Say whether a row is of a mechanism that another one has replaced."""
    return reckoner.plan.replacement(reckoner.plan.mechanism(row.need.mechanism)) is not None


def inputs_table(reckoner: NeedsCalculator) -> list[str]:
    """Return each input, its value and where it comes from."""
    rows = []
    for one in reckoner.plan.inputs:
        source = f"{one.source}: `{one.formula}`" if one.formula else one.source
        rows.append([one.name, quantity(reckoner.inputs[one.name], one.unit), source, one.why])
    return table(["input", "value", "source", "why"], rows)


def sensitivity_table(reckoner: NeedsCalculator) -> list[str]:
    """Return, for each input that the plan leaves open, what turns on it, at half and at double."""
    rows = []
    for one in reckoner.plan.inputs:
        if one.source != "taken":
            continue
        turns = reckoner.turns(one.name)
        if not turns:
            rows.append([one.name, "nothing turns on it", "", "", ""])
        for turn in turns:
            results = [_result(result) for result in (turn.at_half, turn.taken, turn.at_double)]
            rows.append([one.name, turn.taken.title, *results])
    return table(["input", "row", "at half of it", "as taken", "at double"], rows)


def _result(result: NeedResult) -> str:
    """Return a value, with its margin where there is a budget."""
    value = quantity(result.value, result.unit)
    return value if result.margin is None else f"{value}, margin {margin(result.margin)}"


def runs_table(reckoner: NeedsCalculator) -> list[str]:
    """Return each run: what ran, when, under which conditions and load, and what was cut short."""
    rows = []
    for file in reckoner.files:
        run = file.run
        sizes = sorted({row.size for row in run.rows})
        rows.append(
            [
                f"`{file.name}`",
                run.plan.removesuffix(".toml"),
                ", ".join(f"{size:,}" for size in sizes),
                run.commit,
                run.started[:16],
                run.machine,
                run.conditions,
                run.incomplete,
            ]
        )
    header = ["file", "plan", "sizes", "commit", "started, UTC", "machine", "conditions", "not whole"]
    return table(header, rows)


def fits_table(reckoner: NeedsCalculator) -> list[str]:
    """Return each measure: form, slope, residuals, prediction, and the runs behind it."""
    header = [
        "measure",
        "role and metric",
        "runs",
        "sizes",
        "values",
        "form",
        "slope",
        "largest residual",
        "at the plan's size",
        "hollow and real",
    ]
    return table(header, [_fit_row(one) for one in reckoner.predictions.values()])


def _fit_row(one: Prediction) -> list[str]:
    measure = one.measure
    metric = f"{measure.role}, `{measure.metric}`" + (f" per {measure.per}" if measure.per else "")
    runs = ", ".join(f"`{run}`" for run in one.series.runs) or MISSING_RUN
    sizes = sorted({point.size for point in one.series.points})
    spread = ", ".join(f"{size:,}" for size in sizes)
    values = str(len(one.series.points) or "")
    if one.choice is None:
        return [measure.name, metric, runs, spread, values, f"not known: {one.missing}", "", "", "", ""]
    choice = one.choice
    residual = max(abs(value) for value in choice.chosen.residuals)
    if one.estimate is None:
        at_plan = f"not known: {one.missing}"
    else:
        beyond = one.size / sizes[-1]
        reach = f", {number(beyond)} times the largest size" if beyond > 1 else ""
        at_plan = f"{one.size:,.0f}: {interval(one.estimate, measure.unit)}{reach}"
    return [
        measure.name,
        metric,
        runs,
        spread,
        values,
        form(choice),
        slope(choice),
        quantity(residual, measure.unit),
        at_plan,
        one.correction,
    ]


def form(choice: Choice) -> str:
    """Return the chosen form, and those that fit nearly as well."""
    others = ", ".join(fit.form.value for fit in choice.undecided)
    return choice.chosen.form.value + (f" (or {others})" if others else "")


def slope(choice: Choice) -> str:
    """Return the slope with its interval, in the units as measured."""
    found = choice.chosen.slope
    if found is None:
        return "none"
    return f"{_exact(found.value)} ({_exact(found.low)} to {_exact(found.high)})"


def _exact(value: float) -> str:
    """Return a slope to three digits, in the scientific form where it is small or large."""
    return f"{value:.3g}"


def roles_table(reckoner: NeedsCalculator) -> list[str]:
    """Return each role with its state and messages, and a table of its needs."""
    lines: list[str] = []
    rows = reckoner.rows()
    for role in reckoner.plan.roles.role:
        members = reckoner.worked_out(role.members)[2]
        assert members is not None
        lines += [f"### {role.name} ({members.value:,.0f})", ""]
        lines += [f"State: {filled(role.state, reckoner.inputs)}.", ""]
        lines += [f"Messages: {filled(role.messages, reckoner.inputs)}.", ""]
        header = ["resource", "need", "basis", "budget", "margin", "mechanism", "note"]
        lines += table(header, [_need_row(reckoner, row) for row in rows if row.role == role.name])
        lines.append("")
    return lines[:-1]


def _need_row(reckoner: NeedsCalculator, row: NeedRow) -> list[str]:
    need = interval(row.estimate, row.need.unit) if row.estimate else "not known"
    return [
        row.need.resource,
        need,
        basis(row),
        _budget(row),
        margins(row),
        carrier(reckoner, row.need.mechanism),
        filled(note(row), reckoner.inputs),
    ]


def note(row: NeedRow) -> str:
    """Return a row's notes: that on the other formula only where it is used."""
    other = row.formula == row.need.otherwise and row.basis is not Basis.NOT_KNOWN
    return "; ".join(filter(None, (row.need.note, row.need.otherwise_note if other else "")))


def basis(row: NeedRow) -> str:
    """Return what a figure rests on: its runs, its formula, or nothing."""
    if row.basis is Basis.NOT_KNOWN:
        return "not known" + (f" (`{row.need.formula}`)" if row.need.formula else "")
    text = f"{row.basis.value}: `{row.formula}`"
    if row.runs:
        text += " by " + ", ".join(f"`{run}`" for run in row.runs)
    return text


def _budget(row: NeedRow) -> str:
    if row.budget is None:
        return "none given"
    word = "at least " if row.need.budget_is == "least" else ""
    return word + quantity(row.budget, row.need.unit)


def margin(value: float | None) -> str:
    """Return a margin; those under 1 stand out."""
    if value is None:
        return "-"
    return number(value) if value >= 1 else f"**{number(value)}**"


def margins(row: NeedRow) -> str:
    """Return the margin, and that at the bad end of the interval where there is one."""
    if row.worst_margin == row.margin:
        return margin(row.margin)
    return f"{margin(row.margin)} (at the least {margin(row.worst_margin)})"


def module(mechanism: Mechanism, path: str) -> str:
    """Return a mechanism with its module's path, or that there is none."""
    return f"{mechanism.title}: {'none' if path == NO_MODULE else f'`{path}`'}"


def carrier(reckoner: NeedsCalculator, name: str) -> str:
    """Return a mechanism of today, and what has replaced it."""
    if not name:
        return "none needed"
    mechanism = reckoner.plan.mechanism(name)
    replacement = reckoner.plan.replacement(mechanism)
    replaced = f", replaced by the {replacement.title}" if replacement is not None else ""
    return module(mechanism, mechanism.module) + replaced


def failures_table(reckoner: NeedsCalculator) -> list[str]:
    """Return, for each failure of the plan, what happens to each role."""
    lines: list[str] = []
    for failure in reckoner.plan.failures:
        lines += [f"### {failure.name}", "", filled(failure.size, reckoner.inputs), ""]
        rows = []
        for one in failure.consequence:
            what = filled(one.what, reckoner.inputs)
            rows.append([one.role, what, _load(reckoner, one), carrier(reckoner, one.mechanism)])
        lines += [*table(["role", "what happens", "load", "mechanism"], rows), ""]
    return lines[:-1]


def _load(reckoner: NeedsCalculator, one: Consequence) -> str:
    """Return what a failure's load comes to, with what it rests on."""
    formula, found, estimate = reckoner.worked_out(one.load, one.otherwise)
    if estimate is not None:
        return f"{interval(estimate, one.unit)} ({found.value}: `{formula}`)"
    return f"not known (`{formula}`)" if formula else ""


def ranking_table(reckoner: NeedsCalculator) -> list[str]:
    """Return the ranking of today and that at 9484f4e."""
    lines: list[str] = []
    for title, before in (("Today", False), ("At 9484f4e", True)):
        ranks = rank(reckoner.plan, reckoner.rows(), before)
        lines += [f"### {title}", ""]
        header = ["", "mechanism", "standing", "least margin", "of the row", "rows that rest on it"]
        lines += table(header, [[str(at), *_rank_row(one)] for at, one in enumerate(ranks, 1)])
        lines.append("")
    return lines[:-1]


def _rank_row(one: Rank) -> list[str]:
    resting = f"{one.resting_rows} ({one.own_rows} its own)"
    named = module(one.mechanism, one.module)
    if one.standing is Standing.MISSING:
        return [named, one.standing.value, "nothing carries it", "", resting]
    if one.least is None:
        return [named, one.standing.value, "-", "", resting]
    row = f"{one.least.role}: {one.least.need.resource}"
    return [named, one.standing.value, f"{margin(one.least.margin)} ({one.least.basis.value})", row, resting]


TABLES: dict[str, Callable[[NeedsCalculator], list[str]]] = {
    "summary": summary_table,
    "inputs": inputs_table,
    "sensitivity": sensitivity_table,
    "fits": fits_table,
    "runs": runs_table,
    "roles": roles_table,
    "failures": failures_table,
    "ranking": ranking_table,
}
