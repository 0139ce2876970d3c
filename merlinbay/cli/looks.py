"""``merlinbay events`` and ``merlinbay monitor``: be told, and see the whole."""

from __future__ import annotations

from typing import Any
from urllib.parse import urlencode

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


@click.group()
def monitor() -> None:
    """See jobs of all sessions, queues and machines."""


@monitor.command("jobs")
@click.option("--filter", "text", default="", help='As in: jobState == "RUNNING" and slots > 2')
@click.option("--limit", default=100, show_default=True, type=click.IntRange(1, 1_000_000))
@as_json
@click.pass_obj
def monitor_jobs(caller: Caller, text: str, limit: int, as_json: bool) -> None:
    """List jobs of all sessions that pass a filter."""
    caller.as_json = as_json
    with caller.client() as client:
        found = client.jobs(filter_text=text or "jobId is set", limit=limit)
    names = ["jobId", "jobState", "jobOwner", "queueName", "submissionTime", "jobSubState"]
    caller.show(
        found,
        table(
            ([row.get(name) for name in names] for row in found),
            ["JOB", "STATE", "ACCOUNT", "CLASS", "SUBMITTED", ""],
        ),
    )


def pages(caller: Caller, path: str, key: str) -> list[dict[str, Any]]:
    """Return all rows of a paged list."""
    rows: list[dict[str, Any]] = []
    after = ""
    while True:
        page = caller.call("GET", f"{path}?{urlencode({'after': after, 'limit': 1000})}")
        rows += page[key]
        if "next" not in page:
            return rows
        after = page["next"]


@monitor.command()
@as_json
@click.pass_obj
def queues(caller: Caller, as_json: bool) -> None:
    """List the queues: the classes of jobs."""
    caller.as_json = as_json
    rows = caller.call("GET", "/drmaa2/monitor/queues")["queues"]
    caller.show(
        rows,
        table(
            ([row["name"], row["effect"], row["deadline"], row.get("waiting", "")] for row in rows),
            ["QUEUE", "EFFECT", "DEADLINE", "WAITING"],
        ),
    )


@monitor.command()
@as_json
@click.pass_obj
def machines(caller: Caller, as_json: bool) -> None:
    """List the real servers as the node believes them."""
    caller.as_json = as_json
    rows = pages(caller, "/drmaa2/monitor/machines", "machines")
    names = ["name", "state", "slots", "held", "heldByOthers", "pace"]
    caller.show(
        rows,
        table(
            ([*(row[name] for name in names), row.get("leftOut", {}).get("why", "")] for row in rows),
            ["MACHINE", "STATE", "SLOTS", "HELD", "BY OTHERS", "PACE", "LEFT OUT"],
        ),
    )
