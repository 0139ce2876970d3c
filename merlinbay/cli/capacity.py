"""``merlinbay scale fit`` and ``merlinbay scale capacity``: fits over scale runs, and the capacity page."""

from __future__ import annotations

import sys
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click

if TYPE_CHECKING:
    from merlinbay.capacity.fit import Choice
    from merlinbay.capacity.runs import RunFile

BAD_FILE, DIFFERENT = 2, 3
FILE = click.Path(dir_okay=False, path_type=Path)
FOLDER = click.Path(file_okay=False, path_type=Path)


def refuse(error: Exception) -> NoReturn:
    """Say in one line what is wrong with a file, and end."""
    click.echo(f"merlinbay: {error}", err=True)
    sys.exit(BAD_FILE)


@click.command("fit")
@click.argument("files", nargs=-1, required=True, type=FILE)
@click.option("--role", default="", help="This role alone.")
@click.option("--metric", "metrics", multiple=True, help="These alone, such as times.time_to_force.p999.")
@click.option("--together", is_flag=True, help="Fit the runs of all plans together.")
@click.option("--plot", type=FOLDER, help="Write an SVG of each fit into this folder.")
def fit_runs(
    files: tuple[Path, ...], role: str, metrics: tuple[str, ...], together: bool, plot: Path | None
) -> None:
    """Fit each metric of each role in FILES over the sizes: form, slope with its interval, residuals."""
    from merlinbay.capacity.fit import TooFewSizesError, choose
    from merlinbay.capacity.runs import ScaleRunError, read_run

    try:
        runs = [read_run(path) for path in files]
        found = list(_all_series(runs, role, metrics, together))
    except ScaleRunError as error:
        refuse(error)
    fitted = False
    for name, sizes, values in found:
        try:
            choice = choose(sizes, values)
        except TooFewSizesError as error:
            click.echo(f"{name}: refused: {error}")
            continue
        fitted = True
        _show(name, choice)
        if plot is not None:
            from merlinbay.capacity.plot import save

            plot.mkdir(parents=True, exist_ok=True)
            save(plot / f"{name.replace(' ', '-').replace('/', '-')}.svg", name, choice)
    if not fitted:
        refuse(ValueError("nothing could be fitted: at least four different sizes are needed"))


def _all_series(
    runs: Sequence[RunFile], role: str, metrics: Sequence[str], together: bool
) -> Iterator[tuple[str, list[float], list[float]]]:
    """Yield the name, sizes and values of each plan, role, kind of member and metric that has any."""
    from merlinbay.capacity.runs import METRICS, Metric

    rows = [
        ("all" if together else file.run.plan, row.role, "hollow" if row.hollow else "real", row)
        for file in runs
        for row in file.run.rows
        if role in ("", row.role)
    ]
    for kind in sorted({(plan, name, hollow) for plan, name, hollow, _ in rows}):
        own = [row for *parts, row in rows if tuple(parts) == kind]
        for metric in metrics or METRICS:
            read = [(row.size, Metric(metric).of(row)) for row in own]
            known = [(float(size), value) for size, value in read if value is not None]
            if any(value for _, value in known):
                yield " ".join((*kind, metric)), [size for size, _ in known], [value for _, value in known]


def _show(name: str, choice: Choice) -> None:
    """Print one fit."""
    from merlinbay.capacity.page import form, slope

    click.echo(f"{name}: {form(choice)}")
    click.echo(f"  slope {slope(choice)}, intercept {choice.chosen.intercept:.4g}")
    for size, value, residual in zip(choice.sizes, choice.values, choice.chosen.residuals, strict=True):
        click.echo(f"  at {size:,.0f}: {value:.4g}, residual {residual:+.3g}")


@click.command()
@click.option("--page", default="docs/CAPACITY.md", show_default=True, type=FILE)
@click.option("--plan", "plan_folder", default="docs/capacity", show_default=True, type=FOLDER)
@click.option("--runs", "run_folder", default="bench/scale-runs", show_default=True, type=FOLDER)
@click.option(
    "--check", is_flag=True, help="Write nothing; exit with 3 where the page is not as it would be."
)
def capacity(page: Path, plan_folder: Path, run_folder: Path, check: bool) -> None:
    """Write the tables of the capacity page from the plan's files and the runs."""
    from merlinbay.capacity import page as tables
    from merlinbay.capacity.needs import NeedsCalculator
    from merlinbay.capacity.plan import CapacityPlanError, read_plan
    from merlinbay.capacity.runs import ScaleRunError, read_folder

    try:
        text = page.read_text()
        written = tables.write(text, NeedsCalculator(read_plan(plan_folder), read_folder(run_folder)))
    except (OSError, CapacityPlanError, ScaleRunError, tables.CapacityPageError) as error:
        refuse(error)
    if written == text:
        click.echo(f"{page}: as the runs and the plan give it")
    elif check:
        click.echo(f"merlinbay: {page}: its tables are not as the runs and the plan give them", err=True)
        sys.exit(DIFFERENT)
    else:
        page.write_text(written)
        click.echo(f"{page}: written")
