"""``merlinbay session``: job sessions as objects."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

import click

from merlinbay.cli.caller import Caller, table
from merlinbay.cli.jobs import as_json


@click.group()
def session() -> None:
    """Create, open, close and destroy job sessions."""


def shown(caller: Caller, info: dict[str, Any]) -> None:
    """Print a session."""
    settings = info.pop("settings", {}) if not caller.as_json else {}
    caller.show(info, table([*info.items(), *settings.items()], ["", ""]).strip())


@session.command()
@click.argument("name")
@click.option("--contact", default="")
@click.option(
    "--backlog/--no-backlog",
    default=True,
    show_default=True,
    help="What cannot be placed at once waits, or is refused at once.",
)
@click.option("--share", default=1.0, show_default=True, help="Of the servers, against the other sessions.")
@click.option("--wait-most", type=float, help="Seconds after which a waiting job is given up.")
@as_json
@click.pass_obj
def create(
    caller: Caller,
    name: str,
    contact: str,
    backlog: bool,
    share: float,
    wait_most: float | None,
    as_json: bool,
) -> None:
    """Create a job session, and open it."""
    caller.as_json = as_json
    settings: dict[str, Any] = {"backlog": backlog, "share": share}
    if wait_most is not None:
        settings["waitMost"] = wait_most
    shown(
        caller,
        caller.call(
            "POST", "/drmaa2/sessions", {"sessionName": name, "contact": contact, "settings": settings}
        ),
    )


@session.command("list")
@as_json
@click.pass_obj
def list_sessions(caller: Caller, as_json: bool) -> None:
    """List the sessions' names."""
    caller.as_json = as_json
    found = caller.call("GET", "/drmaa2/sessions")["sessionNames"]
    caller.show(found, "\n".join(found))


@session.command()
@click.argument("name")
@as_json
@click.pass_obj
def show(caller: Caller, name: str, as_json: bool) -> None:
    """Show a session, its settings and what it holds."""
    caller.as_json = as_json
    shown(caller, caller.call("GET", f"/drmaa2/sessions/{quote(name, '')}"))


@session.command("open")
@click.argument("name")
@click.pass_obj
def open_session(caller: Caller, name: str) -> None:
    """Open a closed session."""
    shown(caller, caller.call("POST", f"/drmaa2/sessions/{quote(name, '')}/open"))


@session.command("close")
@click.argument("name")
@click.pass_obj
def close_session(caller: Caller, name: str) -> None:
    """Close a session: its jobs go on, calls on it are refused."""
    shown(caller, caller.call("POST", f"/drmaa2/sessions/{quote(name, '')}/close"))


@session.command()
@click.argument("name")
@click.pass_obj
def destroy(caller: Caller, name: str) -> None:
    """Destroy a session: what waits ends, what runs goes on with nobody to ask."""
    caller.call("DELETE", f"/drmaa2/sessions/{quote(name, '')}")
    click.echo(f"{name} destroyed")
