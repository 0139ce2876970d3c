"""``merlinbay fleet``: who is there, what changes, why one is believed dead; join and leave."""

from __future__ import annotations

import json
import sys
from typing import Any

import click

from merlinbay.cli.caller import OTHER, UNKNOWN, UNREACHABLE, table


def ask(at: str, method: str, path: str, timeout: float = 10.0) -> Any:
    """Have one call of a node's control address; end with one line where it fails."""
    import httpx

    try:
        found = httpx.request(method, f"http://{at}/fleet/{path}", timeout=timeout)
        value = found.json()
    except (httpx.HTTPError, ValueError) as error:
        click.echo(f"merlinbay: cannot reach the node at {at}: {error}", err=True)
        sys.exit(UNREACHABLE)
    if found.status_code >= 400:
        click.echo(f"merlinbay: {value.get('error', found.status_code)}", err=True)
        sys.exit(UNKNOWN if found.status_code == 404 else OTHER)
    return value


@click.group()
@click.option("--at", envvar="MERLINBAY_FLEET", required=True, help="A node's fleet.control, host:port.")
@click.pass_context
def fleet(ctx: click.Context, at: str) -> None:
    """Look at the fleet as one of its nodes sees it."""
    ctx.obj = at


@fleet.command()
@click.option("--json", "as_json", is_flag=True)
@click.pass_obj
def members(at: str, as_json: bool) -> None:
    """List the members, those that are gone included."""
    found = ask(at, "GET", "members")
    if as_json:
        click.echo(json.dumps(found, indent=2))
        return
    rows = [
        (
            one["name"],
            one["health"],
            "draining" if one["draining"] else "",
            one["addr"],
            one["zone"],
            one["incarnation"],
            f"{one['for_s']:.0f} s",
            " ".join(f"{name}={value:g}" for name, value in sorted(one["gauges"].items())),
        )
        for one in found["members"]
    ]
    click.echo(table(rows, ["NAME", "HEALTH", "", "ADDRESS", "ZONE", "INCARNATION", "FOR", "GAUGES"]))
    here = sum(one["health"] in ("alive", "suspect") for one in found["members"])
    click.echo(f"{here} there, as {found['me']} sees it; local health {found['local_health']} (0 is well)")
    if found["epoch"]["number"]:
        click.echo(f"epoch {found['epoch']['number']}: {', '.join(found['epoch']['members'])}")
    if found["yielded"]:
        click.echo("it has fallen silent: another process uses its name")


@fleet.command()
@click.option("--count", default=0, help="End after so many events; 0: never.")
@click.option("--json", "as_json", is_flag=True)
@click.pass_obj
def watch(at: str, count: int, as_json: bool) -> None:
    """Print what happens, as it happens."""
    after, seen = 0, 0
    while True:
        found = ask(at, "GET", f"events?after={after}", timeout=60.0)
        if found["missed"]:
            click.echo(f"{found['missed']} events missed", err=True)
        for event in found["events"]:
            click.echo(
                json.dumps(event)
                if as_json
                else f"{event['ago_s']:8.1f} s ago  {event['what']:10} {event['name']}  {event['text']}"
            )
            seen += 1
            if seen == count:
                return
        after = found["next"]


@fleet.command()
@click.argument("name")
@click.option("--json", "as_json", is_flag=True)
@click.pass_obj
def explain(at: str, name: str, as_json: bool) -> None:
    """Say why a member is believed to be as it is: who probed, who vouched, when."""
    found = ask(at, "GET", f"explain/{name}")
    if as_json:
        click.echo(json.dumps(found, indent=2))
        return
    click.echo(
        f"{found['name']} at {found['addr']}: {found['health']} for {found['for_s']:.0f} s, "
        f"incarnation {found['incarnation']}"
    )
    for line in found["why"]:
        click.echo(f"{line['ago_s']:8.1f} s ago  {line['what']}")
    if not found["why"]:
        click.echo("nothing has been said against it")


@fleet.command()
@click.argument("addr")
@click.pass_obj
def join(at: str, addr: str) -> None:
    """Have the node exchange its whole state with the member at ADDR now."""
    click.echo(f"joining {ask(at, 'POST', f'join?addr={addr}')['joining']}")


@fleet.command()
@click.option("--lose", multiple=True, required=True, help="A member of the last epoch, gone for good.")
@click.pass_obj
def epoch(at: str, lose: tuple[str, ...]) -> None:
    """Form the next epoch of those who are there, where a majority of the last one is lost for good.

    All that are not there are named by --lose. Run it at one node only: what only the lost knew is gone.
    """
    found = ask(at, "POST", f"epoch?lose={','.join(lose)}")
    click.echo(f"epoch {found['number']}: {', '.join(found['members'])}")


@fleet.command()
@click.pass_obj
def leave(at: str) -> None:
    """Have the node tell the fleet that it goes. It serves on until it is stopped."""
    click.echo(f"{ask(at, 'POST', 'leave')['left']} has left")
