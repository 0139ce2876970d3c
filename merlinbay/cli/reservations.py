"""``merlinbay reservation``: slots for a window of time."""

from __future__ import annotations

from typing import Any

import click

from merlinbay.cli.caller import Caller, table
from merlinbay.cli.jobs import as_json, when

PATH = "/drmaa2/reservations"


@click.group()
def reservation() -> None:
    """Reserve slots ahead, and look at what is reserved."""


def show_info(caller: Caller, info: dict[str, Any]) -> None:
    """Print a reservation."""
    machines = ", ".join(f"{row['machineName']} {row['slots']}" for row in info["reservedMachines"])
    shown = {**info, "reservedMachines": machines}
    rows = [(name, value) for name, value in shown.items() if value != ""]
    caller.show(info, table(rows, ["", ""]).strip())


@reservation.command()
@click.option("--slots", default=1, show_default=True, type=click.IntRange(1), help="These will do,")
@click.option("--most", type=click.IntRange(1), help="and as many as there are up to these.")
@click.option("--start", callback=when, help="A time, or +SECONDS.")
@click.option("--end", callback=when, help="A time, or +SECONDS.")
@click.option(
    "--duration",
    type=click.FloatRange(min=0, min_open=True),
    help="Seconds; with --start and --end, at some time between them.",
)
@click.option("--machine", "machines", multiple=True, help="At these; repeatable.")
@click.option("--name", default="", help="For people.")
@as_json
@click.pass_obj
def request(
    caller: Caller,
    slots: int,
    most: int | None,
    start: str | None,
    end: str | None,
    duration: float | None,
    machines: tuple[str, ...],
    name: str,
    as_json: bool,
) -> None:
    """Reserve, at the earliest time that the options allow; the id goes into job submit --reservation."""
    caller.as_json = as_json
    wish = {
        "reservationName": name,
        "startTime": start,
        "endTime": end,
        "duration": duration,
        "minSlots": slots,
        "maxSlots": most,
        "candidateMachines": list(machines),
    }
    show_info(
        caller,
        caller.call(
            "POST",
            PATH,
            {
                "reservationTemplate": {
                    key: value for key, value in wish.items() if value not in (None, "", [])
                }
            },
        ),
    )


@reservation.command("list")
@as_json
@click.pass_obj
def list_reservations(caller: Caller, as_json: bool) -> None:
    """List reservations."""
    caller.as_json = as_json
    rows, after = [], ""
    while True:
        page = caller.call("GET", f"{PATH}?limit=1000&after={after}")
        rows += page["reservationIds"]
        if "next" not in page:
            break
        after = page["next"]
    caller.show(rows, "\n".join(rows))


@reservation.command()
@click.argument("name")
@as_json
@click.pass_obj
def show(caller: Caller, name: str, as_json: bool) -> None:
    """Show a reservation: its window, its machines, and what became of its slots."""
    caller.as_json = as_json
    show_info(caller, caller.call("GET", f"{PATH}/{name}"))


@reservation.command()
@click.argument("name")
@click.option("--end", required=True, callback=when, help="A time, or +SECONDS.")
@as_json
@click.pass_obj
def extend(caller: Caller, name: str, end: str, as_json: bool) -> None:
    """Let it last longer, or end sooner."""
    caller.as_json = as_json
    show_info(caller, caller.call("POST", f"{PATH}/{name}/extend", {"endTime": end}))


@reservation.command()
@click.argument("name")
@as_json
@click.pass_obj
def terminate(caller: Caller, name: str, as_json: bool) -> None:
    """End it; its slots are everybody's again."""
    caller.as_json = as_json
    show_info(caller, caller.call("POST", f"{PATH}/{name}/terminate"))
