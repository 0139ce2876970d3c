"""``merlinbay events``: what happens to jobs, as it happens, and who listens to it."""

from __future__ import annotations

import click
import msgspec

from merlinbay.cli.caller import Caller, table
from merlinbay.cli.jobs import as_json

KINDS = click.Choice(["NEW_STATE", "MIGRATED", "ATTRIBUTE_CHANGE"])


@click.group()
def events() -> None:
    """Be told what happens to jobs."""


@events.command()
@click.option("--after", default="now", show_default=True, help="A cursor; now; or '' for all that is kept.")
@click.option("--event", "kinds", multiple=True, type=KINDS, help="Only these; repeatable.")
@click.option("--job", "job_id", default="", help="Only of this job or array.")
@click.option("--until", type=click.Choice(["DONE", "FAILED", "RUNNING"]), help="End at such a state.")
@as_json
@click.pass_obj
def watch(
    caller: Caller, after: str, kinds: tuple[str, ...], job_id: str, until: str | None, as_json: bool
) -> None:
    """Print events as they come, one a line, until Ctrl-C."""
    with caller.client() as client:
        cursor = after
        while True:
            page = client.events(cursor, events=kinds, job=job_id)
            cursor = page.cursor
            if page.missed:
                click.echo(f"merlinbay: {page.missed} events can no longer be had", err=True)
            for event in page.events:
                if as_json:
                    click.echo(msgspec.json.encode(event).decode())
                else:
                    parts = (event.event, event.jobId, event.jobState, event.machine, event.accountingId)
                    click.echo("  ".join(part for part in parts if part))
                if event.jobState == until:
                    return


@events.command()
@as_json
@click.pass_obj
def listeners(caller: Caller, as_json: bool) -> None:
    """List the session's listeners: how far each is, and why one failed."""
    caller.as_json = as_json
    rows = caller.call("GET", caller.path("listeners"))["listeners"]
    names = ["listenerId", "url", "state", "delivered", "missed", "behind", "lastFailure"]
    caller.show(
        rows,
        table(
            ([row[name] for name in names] for row in rows),
            ["LISTENER", "URL", "STATE", "DELIVERED", "MISSED", "BEHIND", "LAST FAILURE"],
        ),
    )


@events.command()
@click.argument("url")
@click.option("--event", "kinds", multiple=True, type=KINDS, help="Only these; repeatable.")
@click.option("--after", default="", help="A cursor; without one, from now on.")
@as_json
@click.pass_obj
def register(caller: Caller, url: str, kinds: tuple[str, ...], after: str, as_json: bool) -> None:
    """Have URL called back; prints the key that signs, this once."""
    caller.as_json = as_json
    wish = {"url": url, "events": list(kinds), "cursor": after}
    found = caller.call("POST", caller.path("listeners"), wish)
    caller.show(found, f"{found['listenerId']}  {found['key']}")


@events.command()
@click.argument("listener")
@as_json
@click.pass_obj
def rotate(caller: Caller, listener: str, as_json: bool) -> None:
    """Sign with a new key, and for a while with the old one too."""
    caller.as_json = as_json
    found = caller.call("POST", caller.path("listeners", listener, "rotate"))
    caller.show(found, f"{found['listenerId']}  {found['key']}")


@events.command()
@click.argument("listener")
@click.pass_obj
def remove(caller: Caller, listener: str) -> None:
    """Call a listener back no more."""
    caller.call("DELETE", caller.path("listeners", listener))
    click.echo(f"{listener} removed")
