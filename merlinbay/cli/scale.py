"""``merlinbay scale``: hollow members beside real processes, at the sizes of a plan."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from merlinbay.cli.caller import JOB_FAILED

RESULTS = Path("bench") / "scale-runs"


@click.group()
def scale() -> None:
    """Measure the program at sizes beyond one machine's processes."""


@scale.command("plans")
def list_plans() -> None:
    """List the plans of the library."""
    from merlinbay.scale import plan

    for name, text in sorted(plan.library().items()):
        found = plan.read(text, name)
        click.echo(f"{name}  {', '.join(map(str, found.sizes))}  {found.about}")


@scale.command("run")
@click.argument("name")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="The file of results.")
@click.option(
    "--size", "sizes", type=click.IntRange(1), multiple=True, help="Only these of the plan's sizes."
)
@click.option("--cores", type=click.FloatRange(0.1, 64), help="A lower limit than the plan's.")
@click.option("--memory-mib", type=click.IntRange(64), help="A lower limit than the plan's.")
@click.option("--fitting", is_flag=True, help="Leave out the sizes that do not fit the limits.")
def run(
    name: str,
    out: Path | None,
    sizes: tuple[int, ...],
    cores: float | None,
    memory_mib: int | None,
    fitting: bool,
) -> None:
    """Run the plan NAME; exit with 2 where it does not fit its limits, 3 where it was cut short."""
    from merlinbay.scale import plan as plans
    from merlinbay.scale.registry import NAMES
    from merlinbay.scale.run import misfits, play

    try:
        plan = plans.lowered(plans.load(name, NAMES), cores, memory_mib)
    except plans.ScalePlanError as error:
        click.echo(f"merlinbay: {error}", err=True)
        sys.exit(2)
    wanted = [size for size in plan.sizes if not sizes or size in sizes]
    found = misfits(plan)
    needed = {*wanted, *([plan.calibration.size] if plan.calibration is not None else [])}
    for size in needed & set(found):
        click.echo(f"merlinbay: {name}: {found[size]}", err=True)
    kept = [size for size in wanted if size not in found]
    if not kept or (needed - set(wanted)) & set(found) or (len(kept) < len(wanted) and not fitting):
        sys.exit(2)
    path = out or RESULTS / f"{plan.name}.json"
    cut = play(plan, Path(name).name, kept, path, click.echo)
    click.echo(f"{plan.name}: results in {path}")
    if cut:
        click.echo(f"CUT SHORT: {cut}", err=True)
        sys.exit(JOB_FAILED)
