"""``merlinbay inject-faults``: many processes of the program, and faults between them by a script."""

from __future__ import annotations

import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import click

from merlinbay.cli.caller import JOB_FAILED, table


@dataclass(frozen=True)
class Exit:
    """What a run ends with."""

    failed: str
    wrong: list[str]


@click.group("inject-faults")
def inject_faults() -> None:
    """Start many processes of the program and put faults between them."""


@inject_faults.command("list")
def list_scripts() -> None:
    """List the scripts of the library."""
    from importlib import resources

    from merlinbay.rig import script

    folder = resources.files("merlinbay.rig") / "scripts"
    names = sorted(
        entry.name.removesuffix(".toml") for entry in folder.iterdir() if entry.name.endswith(".toml")
    )
    click.echo(
        table(
            [(name, found.nodes, found.about) for name in names for found in [script.load(name)]],
            ["SCRIPT", "NODES", "WHAT HAPPENS"],
        )
    )


@inject_faults.command("run")
@click.argument("name")
@click.option("--seed", type=int, help="In place of the script's.")
@click.option("--nodes", type=click.IntRange(1, 60), help="In place of the script's.")
@click.option("--folder", type=click.Path(file_okay=False, path_type=Path), help="For logs and the history.")
@click.option(
    "--former",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="The folder of another version of the program, which every second node is.",
)
def run(name: str, seed: int | None, nodes: int | None, folder: Path | None, former: Path | None) -> None:
    """Play a script; exit with 3 where something did not hold."""
    import msgspec

    from merlinbay.rig import checks, script
    from merlinbay.rig.run import play

    try:
        found = script.load(name)
    except script.FaultScheduleError as error:
        click.echo(f"merlinbay: {error}", err=True)
        sys.exit(2)
    found = msgspec.structs.replace(
        found, seed=found.seed if seed is None else seed, nodes=nodes or found.nodes
    )
    with tempfile.TemporaryDirectory(prefix="merlinbay-rig-") as made:
        place = folder or Path(made) / "run"
        failed = play(found, place, former)
        history = checks.read(place / "history.jsonl")
        wrong = checks.wrong(history)
        for who, times in checks.detection(history).items():
            if times:
                click.echo(
                    f"{who}: said to be dead after {min(times):.1f} to {max(times):.1f} s "
                    f"by {len(times)} nodes"
                )
        for line in wrong[:10]:
            click.echo(line)
        if failed or wrong:
            click.echo(f"FAILED: {failed or f'{len(wrong)} wrong deaths'}", err=True)
            sys.exit(JOB_FAILED)
        click.echo(
            f"{found.name}: all held; {len(history)} lines of history" + (f" in {place}" if folder else "")
        )
