"""``python -m bench.batch``: what batch jobs cost the node, by sockets."""

from __future__ import annotations

import json
import statistics
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path

import click
import trio

from bench.nodes import PLAIN, ROOT, Node, StandIns
from merlinbay.http.client import ClientConnection
from merlinbay.limits import ResourceLimits

LIMITS = replace(ResourceLimits(), body_bytes=1 << 20)
TEMPLATE = {"remoteCommand": "transcribe", "args": ["--minutes", "42"], "jobEnvironment": {"LANG": "en"}}
BACKLOG = (
    PLAIN
    + """jobs = 1_000_000
[drmaa.default]
backlog = true
jobs = 1_000_000
bytes = 1_000_000_000
"""
)


async def many(
    port: int, clients: int, number: int, one: Callable[[ClientConnection], Awaitable[None]]
) -> float:
    """Have so many clients do something so often in all; return the seconds it took."""
    left = number

    async def client() -> None:
        nonlocal left
        connection = await ClientConnection.connect(f"127.0.0.1:{port}", LIMITS)
        while left > 0:
            left -= 1
            if not connection.is_available():
                connection.close()
                connection = await ClientConnection.connect(f"127.0.0.1:{port}", LIMITS)
            await one(connection)
        connection.close()

    began = time.perf_counter()
    async with trio.open_nursery() as nursery:
        for _ in range(clients):
            nursery.start_soon(client)
    return time.perf_counter() - began


async def run_and_wait(connection: ClientConnection) -> None:
    """Submit a job, and wait for it; one that is refused is submitted again when it was told."""
    body = json.dumps({"jobTemplate": TEMPLATE}).encode()
    while True:
        reply = await connection.exchange("POST", "/drmaa2/jobs", [], body)
        answer = json.loads(reply.body)
        if reply.status == 201:
            break
        await trio.sleep(answer["retryAfter"])
    reply = await connection.exchange("GET", f"/drmaa2/jobs/{answer['jobId']}/wait", [])
    answer = json.loads(reply.body)
    if answer["jobState"] != "DONE":
        raise RuntimeError(str(answer))


async def submit_held(connection: ClientConnection) -> None:
    """Submit a job that waits."""
    body = json.dumps({"jobTemplate": {**TEMPLATE, "submitAsHold": True}}).encode()
    reply = await connection.exchange("POST", "/drmaa2/jobs", [], body)
    if reply.status != 201:
        raise RuntimeError(reply.body.decode())


async def submit_queued(connection: ClientConnection) -> None:
    """Submit a job that waits because it is refused."""
    body = json.dumps({"jobTemplate": TEMPLATE}).encode()
    reply = await connection.exchange("POST", "/drmaa2/jobs", [], body)
    if reply.status != 201:
        raise RuntimeError(reply.body.decode())


@click.group()
def main() -> None:
    """Measure what batch jobs cost."""


@main.command()
@click.option(
    "--against",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="Another checkout: both are run in turn, and the ratios are printed.",
)
@click.option("--jobs", default=400, show_default=True, help="In each slice.")
@click.option("--clients", default=16, show_default=True)
@click.option("--rounds", default=30, show_default=True)
@click.option("--backlog/--no-backlog", default=False, help="The session's opt-in, in this tree only.")
def throughput(against: Path | None, jobs: int, clients: int, rounds: int, backlog: bool) -> None:
    """Jobs a second and processor time a job, from submission to DONE."""
    trees = [("this", ROOT, BACKLOG if backlog else PLAIN)]
    if against is not None:
        trees.append(("other", against.resolve(), PLAIN))
    rates: dict[str, list[float]] = {name: [] for name, *_ in trees}
    costs: dict[str, list[float]] = {name: [] for name, *_ in trees}
    with ExitStack() as stack:
        nodes = {}
        for name, tree, operator in trees:  # both stand from the start, and take turns in short slices
            standins = stack.enter_context(StandIns(8, "run"))
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            nodes[name] = stack.enter_context(Node(tree, folder, standins.discovery, operator))
            trio.run(many, nodes[name].port, clients, jobs, run_and_wait)
        for turn in range(rounds):
            for name in nodes if turn % 2 else reversed(nodes):
                before = nodes[name].cpu_s()
                took = trio.run(many, nodes[name].port, clients, jobs, run_and_wait)
                rates[name].append(jobs / took)
                costs[name].append((nodes[name].cpu_s() - before) / jobs * 1e3)
    for name, *_ in trees:
        click.echo(
            f"{name:6} {statistics.median(rates[name]):7.0f} jobs/s  "
            f"{statistics.mean(costs[name]):6.3f} ms CPU a job  (of {rounds} slices: "
            f"{min(costs[name]):.3f} to {max(costs[name]):.3f})"
        )
    if against is not None:
        ratios = [mine / its for mine, its in zip(costs["this"], costs["other"], strict=True)]
        click.echo(
            f"CPU a job, this/other: {sum(costs['this']) / sum(costs['other']):.3f}; "
            f"by slices: median {statistics.median(ratios):.3f}"
        )


@main.command()
@click.option("--against", required=True, type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--rounds", default=15, show_default=True)
def start(against: Path, rounds: int) -> None:
    """Time and memory to ready of the platform's node, without an operator's file, in both trees."""
    found: dict[str, list[tuple[float, float]]] = {"this": [], "other": []}
    with StandIns(2, "refuse") as standins:
        for turn in range(rounds):
            trees = [("this", ROOT), ("other", against.resolve())]
            for name, tree in trees if turn % 2 else reversed(trees):
                with tempfile.TemporaryDirectory() as folder:
                    began = time.perf_counter()
                    with Node(tree, Path(folder), standins.discovery, "") as node:
                        found[name].append((time.perf_counter() - began, node.rss_mb()))
    for name, pairs in found.items():
        seconds, megabytes = zip(*pairs, strict=True)
        click.echo(
            f"{name:6} ready after {statistics.median(seconds):.3f} s (least {min(seconds):.3f}), "
            f"{statistics.median(megabytes):.1f} MB"
        )


@main.command()
@click.option("--jobs", default=10_000, show_default=True)
def memory(jobs: int) -> None:
    """Memory of a node over idle, with so many jobs that wait, submitted one by one, and as one array."""
    with StandIns(4, "refuse") as standins:
        for kind in ("one by one", "one array"):
            with (
                tempfile.TemporaryDirectory() as folder,
                Node(ROOT, Path(folder), standins.discovery, BACKLOG) as node,
            ):
                trio.run(many, node.port, 16, 200, submit_queued)
                idle = node.rss_mb()
                if kind == "one by one":
                    trio.run(many, node.port, 16, jobs, submit_queued)
                else:
                    trio.run(many, node.port, 1, 1, lambda connection: bulk(connection, jobs))
                click.echo(f"{jobs} jobs waiting, {kind}: {node.rss_mb() - idle:.1f} MB over {idle:.1f} MB")


async def bulk(connection: ClientConnection, jobs: int) -> None:
    """Submit an array."""
    body = json.dumps({"jobTemplate": TEMPLATE, "beginIndex": 1, "endIndex": jobs}).encode()
    reply = await connection.exchange("POST", "/drmaa2/arrays", [], body)
    if reply.status != 201:
        raise RuntimeError(reply.body.decode())


@main.command()
@click.option("--few", default=100, show_default=True)
@click.option("--known", default=100_000, show_default=True)
@click.option("--rounds", default=5, show_default=True)
def known(few: int, known: int, rounds: int) -> None:
    """Processor time of a submission while few jobs are known, and while many are."""
    batch = 1000

    def cost(node: Node) -> float:
        before = node.cpu_s()
        trio.run(many, node.port, 8, batch, submit_held)
        return (node.cpu_s() - before) / batch * 1e3

    found: dict[str, list[float]] = {"few": [], "many": []}
    with (
        StandIns(2, "refuse") as standins,
        tempfile.TemporaryDirectory() as folder,
        Node(ROOT, Path(folder), standins.discovery, BACKLOG) as node,
    ):
        trio.run(many, node.port, 8, known, submit_held)
        for _ in range(rounds):
            with (
                tempfile.TemporaryDirectory() as other,
                Node(ROOT, Path(other), standins.discovery, BACKLOG) as fresh,
            ):
                trio.run(many, fresh.port, 8, few, submit_held)
                found["few"].append(cost(fresh))
            found["many"].append(cost(node))
        click.echo(
            f"at {few} known jobs {statistics.median(found['few']):.3f} ms CPU a submission, "
            f"at {known} {statistics.median(found['many']):.3f} ms; ratio "
            f"{statistics.median(found['many']) / statistics.median(found['few']):.2f}; "
            f"{node.rss_mb():.0f} MB"
        )


if __name__ == "__main__":
    main(prog_name="python -m bench.batch")
