"""``merlinbay monitor``: jobs of all sessions, queues and machines."""

from __future__ import annotations

from typing import Any
from urllib.parse import urlencode

import click

from merlinbay.cli.caller import Caller, table
from merlinbay.cli.jobs import as_json


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
