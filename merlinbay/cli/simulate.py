"""``merlinbay simulate``: play days of faults in virtual time, and by the program on loopback sockets."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click

from merlinbay.cli.caller import JOB_FAILED, table

if TYPE_CHECKING:
    from merlinbay.emulator.gate import Played as PlayedDay
    from merlinbay.emulator.simulation import SimulationResult
    from merlinbay.emulator.spec import Scenario

HEADS = [
    "SCRIPT",
    "POLICY",
    "SEED",
    "IN TIME",
    "WORST 10 S",
    "REQUESTS",
    "REFUSED",
    "FAILED",
    "MEDIAN",
    "99 %",
]


def bad(error: Exception) -> NoReturn:
    """Say what is wrong with a script in one line."""
    click.echo(f"merlinbay: {error}", err=True)
    sys.exit(2)


def script_named(name: str) -> Scenario:
    """Read a script, or end."""
    from merlinbay.emulator import spec

    try:
        return spec.load(name)
    except spec.ScenarioError as error:
        bad(error)


def row(result: SimulationResult) -> list[object]:
    """Return a day's line."""
    return [
        result.script,
        result.policy,
        result.seed,
        f"{result.in_time:.3f}",
        f"{result.worst:.3f}",
        result.requests,
        result.refused,
        result.failed,
        f"{result.half_ms:.0f} ms",
        f"{result.late_ms:.0f} ms",
    ]


def told(results: list[SimulationResult], as_json: bool) -> None:
    """Print days; end with 3 if a rule was broken on one."""
    if as_json:
        click.echo(json.dumps([{**asdict(result), "figure": result.figure} for result in results], indent=2))
    else:
        click.echo(table(map(row, results), HEADS))
    for result in results:
        if result.bad:
            click.echo(f"{result.bad} bad clients; {result.bad_open} got neither an error nor an end in time")
    broken = [result for result in results if result.broken]
    for result in broken:
        click.echo(
            f"BROKEN: {result.broken}\n  again: merlinbay simulate replay {result.script} "
            f"--seed {result.seed} --policy {result.policy}",
            err=True,
        )
    if broken:
        sys.exit(JOB_FAILED)


def verdict(results: list[SimulationResult]) -> str:
    """Say in a sentence how the module did beside chance and beside what sees everything."""
    by = {result.policy: result.in_time for result in results}
    span = by["oracle"] - by["random"]
    part = (by["module"] - by["random"]) / span if span > 0 else 1.0
    return (
        f"{by['module']:.1%} of the callers were seated in time; chance would seat {by['random']:.1%}, and "
        f"one who sees every server's true state {by['oracle']:.1%}: the module has {part:.0%} of that way."
    )


@click.group(invoke_without_command=True)
@click.pass_context
def simulate(ctx: click.Context) -> None:
    """Play a day in virtual time. Without a command: Monday, with a verdict."""
    if ctx.invoked_subcommand is not None:
        return
    from merlinbay.emulator.simulation import play

    script = script_named("monday")
    results = [play(script, 1, name) for name in ("module", "random", "oracle")]
    click.echo(f"{script.name}: {script.about}\n")
    told(results, False)
    click.echo(
        f"\n{verdict(results)}\nMore: merlinbay simulate list; merlinbay simulate play NAME --report day.html"
    )


@simulate.command("list")
def list_scripts() -> None:
    """List the scripts of the library."""
    from merlinbay.emulator import spec

    click.echo(
        table(
            [(name, spec.read(text, name).about) for name, text in spec.library().items()],
            ["SCRIPT", "WHAT HAPPENS"],
        )
    )


FLEET_HEADS = [
    "DAY",
    "SCORE",
    "IN TIME",
    "WANTED",
    "CHANCE",
    "LATE",
    "TRUE",
    "REFUSED",
    "SENDS",
    "FAILS BY",
]


def fleet_json(played: list[PlayedDay]) -> str:
    """Return the fleet's days as JSON."""
    return json.dumps(
        [
            {
                "day": day.name,
                "score": day.score,
                "wanted": day.wanted,
                "failure": day.failure,
                **asdict(day.module),
            }
            for day in played
        ],
        indent=2,
    )


def fleet_table(played: list[PlayedDay]) -> str:
    """Return the fleet's days as a table."""
    rows = [
        (
            day.name,
            f"{day.score:.2f}",
            f"{day.module.in_time:.3f}",
            f"{day.wanted:.3f}",
            f"{day.random.in_time:.3f}",
            f"{day.late.in_time:.3f}",
            f"{day.oracle.in_time:.3f}",
            day.module.refused,
            f"{day.module.sends / max(day.module.requests, 1):.2f}",
            day.failure,
        )
        for day in played
    ]
    return table(rows, FLEET_HEADS)


@simulate.command("fleet")
@click.option("--seed", default=1, show_default=True)
@click.option("--day", "days", multiple=True, help="calm, roll, herd, zone, split or join; repeatable; all.")
@click.option("--nodes", default=0, help="In place of the scripts' number.", type=click.IntRange(0))
@click.option("--servers", default=0, type=click.IntRange(0))
@click.option("--seconds", default=0.0, type=click.FloatRange(0))
@click.option("--processes", default=0, type=click.IntRange(0), help="At once; as many as there are cores.")
@click.option("--json", "as_json", is_flag=True)
def fleet(
    seed: int, days: tuple[str, ...], nodes: int, servers: int, seconds: float, processes: int, as_json: bool
) -> None:
    """Play the fleet's days, and say whether this version may pass."""
    from concurrent.futures import ProcessPoolExecutor
    from multiprocessing import get_context

    from merlinbay.emulator import gate, spec

    names = [f"fleet-{day}" for day in days] or gate.DAYS
    try:
        for name in names:
            gate.script(name, nodes, servers, seconds)
    except spec.ScenarioError as error:
        bad(error)
    asked = [(name, policy, seed, nodes, servers, seconds) for name in names for policy in gate.POLICIES]
    with ProcessPoolExecutor(processes or None, mp_context=get_context("spawn")) as pool:
        played = gate.together(list(pool.map(gate.one, asked)))
    click.echo(fleet_json(played) if as_json else fleet_table(played))
    failed = [day.name for day in played if day.failure]
    click.echo(f"GATE failed: {', '.join(failed)}" if failed else "GATE passed", err=as_json)
    if failed:
        sys.exit(JOB_FAILED)


@simulate.command("play")
@click.argument("names", nargs=-1, required=True)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--seeds", default=1, show_default=True, type=click.IntRange(1), help="That many, from --seed on."
)
@click.option("--policy", "names_of", multiple=True, default=["module"], help="Repeatable; all: every one.")
@click.option(
    "--report", type=click.Path(dir_okay=False, path_type=Path), help="An HTML page of the first day."
)
@click.option("--json", "as_json", is_flag=True)
def play_scripts(
    names: tuple[str, ...],
    seed: int,
    seeds: int,
    names_of: tuple[str, ...],
    report: Path | None,
    as_json: bool,
) -> None:
    """Play scripts of the library, or files."""
    from merlinbay.emulator import policies
    from merlinbay.emulator.record import watch
    from merlinbay.emulator.simulation import DaySimulation

    wanted = policies.NAMES if "all" in names_of else list(names_of)
    for name in wanted:
        if name not in policies.NAMES:
            raise click.BadParameter(f"one of {', '.join(policies.NAMES)}", param_hint="--policy")
    results: list[SimulationResult] = []
    for name in names:
        script = script_named(name)
        for number in range(seed, seed + seeds):
            for policy in wanted:
                day = DaySimulation(script, number, policy)
                record = watch(day) if report is not None and not results else None
                results.append(day.play())
                if record is not None and report is not None:
                    from merlinbay.experiment.report import day_page

                    report.write_text(day_page(day, record, results[-1]))
    told(results, as_json)


@simulate.command()
@click.argument("names", nargs=-1, required=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def sockets(names: tuple[str, ...], seed: int, as_json: bool) -> None:
    """Play scripts twice, side by side: in virtual time, and by the real program on loopback sockets.

    The second takes as long as the day does. Nodes are processes of this program.
    """
    from merlinbay.emulator.live import play_live
    from merlinbay.emulator.simulation import play

    results = []
    for name in names:
        script = script_named(name)
        results += [play(script, seed), play_live(script, seed)]
    told(results, as_json)


@simulate.command()
@click.argument("name")
@click.option("--seed", required=True, type=int)
@click.option("--policy", default="module", show_default=True)
def replay(name: str, seed: int, policy: str) -> None:
    """Play a day twice and say whether it was the same; a broken rule is shown with its seed and event."""
    from merlinbay.emulator.simulation import play

    script = script_named(name)
    one, two = play(script, seed, policy), play(script, seed, policy)
    click.echo("the same twice" if one == two else "NOT the same twice", err=True)
    told([one], False)
    if one != two:
        sys.exit(JOB_FAILED)
