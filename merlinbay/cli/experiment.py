"""``merlinbay experiment`` and ``merlinbay report``: grids of simulated days, their statistics and pages."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from merlinbay.cli.caller import JOB_FAILED, table
from merlinbay.cli.simulate import bad


@click.group()
def experiment() -> None:
    """Play grids of days over all cores, and compare."""


@experiment.command("run")
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--results", type=click.Path(dir_okay=False, path_type=Path), help="FILE.sqlite by default.")
@click.option("--workers", default=0, type=click.IntRange(0), help="Processes; all cores by default.")
def run_grid(file: Path, results: Path | None, workers: int) -> None:
    """Play what FILE asks for; a run that was interrupted goes on where it was."""
    from merlinbay.emulator.spec import ScenarioError
    from merlinbay.experiment import grid
    from merlinbay.experiment.run import run
    from merlinbay.experiment.store import Store

    try:
        asked = grid.read(file)
    except ScenarioError as error:
        bad(error)
    store = Store(results or file.with_suffix(".sqlite"))
    total = sum(1 for _ in grid.cells(asked))
    there = total - len([cell for cell in grid.cells(asked) if cell.key not in store.done()])
    with click.progressbar(length=total, label=asked.name, file=sys.stderr) as bar:
        bar.update(there)
        before = [0]

        def tell(done: int, todo: int) -> None:
            bar.update(done - before[0])
            before[0] = done

        run(asked, store, workers, tell)
    summary(store)


def summary(store: object) -> None:
    """Print means with their intervals; end with 3 where a rule was broken."""
    from merlinbay.experiment import stats
    from merlinbay.experiment.store import Store

    assert isinstance(store, Store)
    rows = []
    for script, settings, policy in store.groups():
        found = [
            stats.mean_of(list(store.column(name, script, settings, policy).values()))
            for name in ("in_time", "worst", "figure")
        ]
        rows.append([script, policy, settings if settings != "{}" else "", *found])
    click.echo(table(rows, ["SCRIPT", "POLICY", "SETTINGS", "IN TIME", "WORST 10 S", "FIGURE"]))
    for broken in store.broken():
        click.echo("BROKEN: " + " ".join(map(str, broken)), err=True)
    if store.broken():
        sys.exit(JOB_FAILED)


@experiment.command()
@click.argument("results", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def show(results: Path) -> None:
    """Print means with their intervals (bootstrap, 95 %)."""
    from merlinbay.experiment.store import Store

    summary(Store(results))


@experiment.command()
@click.argument("results", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.argument("other", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--column", default="in_time", show_default=True)
def compare(results: Path, other: Path, column: str) -> None:
    """Compare two files of results (two commits, say), seed by seed."""
    from merlinbay.experiment import stats
    from merlinbay.experiment.store import COLUMNS, Store

    if column not in (*COLUMNS, "figure"):
        raise click.BadParameter(f"one of {', '.join(COLUMNS)}", param_hint="--column")
    one, two = Store(results), Store(other)
    rows = []
    for group in one.groups():
        mine, theirs = one.column(column, *group), two.column(column, *group)
        if mine.keys() & theirs.keys():
            rows.append([*group, stats.difference(mine, theirs)])
    click.echo(table(rows, ["SCRIPT", "SETTINGS", "POLICY", f"{column}: first - second"]))


@click.command("report")
@click.argument("results", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--output",
    type=click.Path(dir_okay=False, path_type=Path),
    default=Path("report.html"),
    show_default=True,
)
def report_page(results: Path, output: Path) -> None:
    """Make one HTML page, with plots, of an experiment's results."""
    from merlinbay.experiment.report import grid_page
    from merlinbay.experiment.store import Store

    output.write_text(grid_page(Store(results), results.name))
    click.echo(f"{output}")
