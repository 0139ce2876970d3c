"""Slopes that need no fleet, written as scale runs: ``python -m bench.capacity COMMAND``.

``decisions``: a job, a whole list, a start and the memory of the decision module by the entries listed.
``owner``: memory of waiting jobs by their number, and processor time of a job in the backlog by the teams.
``front``: a submission by sockets, and the memory of the node, by the jobs known. ``node``: a job's whole way
through a node with sockets, from its submission to its end, by the real servers listed. ``agent``: an
executor's own processor time for a task's start and end, by the tasks that run beside it.

Sizes are measured one after the other; files go to ``bench/scale-runs``.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from datetime import UTC, datetime
from pathlib import Path

import click
import msgspec
import trio

from bench import fleet
from bench.batch import BACKLOG, many, run_and_wait, submit_held
from bench.capacity_parts import BALANCERS
from bench.nodes import PLAIN, ROOT, Node, StandIns
from merlinbay.scale.results import FORMAT, Percentiles, RoleMeasurement, ScaleRun

RUNS = ROOT / "bench" / "scale-runs"
ENTRIES = (14, 60, 200, 625, 1250, 2500)
JOBS_WAITING = (2500, 5000, 10_000, 20_000, 40_000)
TEAMS = (40, 165, 330, 660, 1320)
JOBS_KNOWN = (1000, 3000, 6000, 12_000, 25_000)
SERVERS = (8, 32, 128, 512, 1024)
JOBS_RUN = 800  # that a point of the whole node is made of
SUBMISSIONS = 1000  # that a point of the front is made of
LISTS = 20  # that bench.fleet reads
TASKS_RUNNING = (2, 5, 10, 20, 40)


def part(name: str, size: int) -> list[float]:
    """Run a measurement in a process of its own; return the numbers that it prints."""
    command = [sys.executable, "-B", "-m", "bench.capacity_parts", name, str(size)]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    return [float(word) for word in done.stdout.split()]


def row(
    role: str,
    size: int,
    cpu_s: float,
    counts: dict[str, int],
    memory_bytes: int = 0,
    times: dict[str, Percentiles] | None = None,
) -> RoleMeasurement:
    """Return a measurement without traffic: ``seconds`` is the processor time, so that the share is 1."""
    return RoleMeasurement(
        role=role,
        size=size,
        members=1,
        hollow=False,
        seconds=cpu_s,
        bytes_sent_per_s=0.0,
        bytes_received_per_s=0.0,
        messages_sent_per_s=0.0,
        messages_received_per_s=0.0,
        cpu_share=1.0 if cpu_s else 0.0,
        idle_loop_cpu_share=0.0,
        memory_bytes=memory_bytes,
        times=times or {},
        counts=counts,
    )


def single(value: float) -> Percentiles:
    """Return one value as a distribution."""
    return Percentiles(1, value, value, value, value)


def save(name: str, began: float, rows: list[RoleMeasurement], what: str) -> None:
    """Write one run's file."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout.strip()
    processor = next(
        line.partition(":")[2].strip()
        for line in Path("/proc/cpuinfo").read_text().splitlines()
        if line.startswith("model name")
    )
    memory_gib = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**30
    load = os.getloadavg()[0]
    run = ScaleRun(
        format=FORMAT,
        plan=f"bench-{name}",
        commit=commit,
        machine=f"{os.cpu_count()} cores, {memory_gib:.0f} GiB, {processor}",
        started=datetime.fromtimestamp(began, UTC).isoformat(timespec="seconds"),
        seconds=round(time.time() - began, 1),
        conditions=f"{what}; other work ran on the machine, load {load:.1f} at the end",
        rows=tuple(rows),
    )
    RUNS.mkdir(parents=True, exist_ok=True)
    path = RUNS / f"bench-{name}-{datetime.fromtimestamp(began, UTC):%H%M%S}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(run), indent=1) + b"\n")
    click.echo(f"{path.relative_to(ROOT)}: {len(rows)} rows in {run.seconds:.0f} s")


@click.group()
def main() -> None:
    """Measure slopes of one node."""


@main.command()
@click.option("--rounds", default=3, show_default=True)
def decisions(rounds: int) -> None:
    """Measure a job's decisions, a whole list and a start by the entries listed."""
    began, rows = time.time(), []
    for _ in range(rounds):
        for entries in ENTRIES:
            start_ms, job_us, list_us, memory_mb = fleet.once(ROOT, entries, BALANCERS)
            rows.append(row("dispatcher-job", entries, job_us * fleet.JOBS / 1e6, {"jobs": fleet.JOBS}))
            rows.append(row("dispatcher-list", entries, list_us * LISTS / 1e6, {"lists": LISTS}))
            rows.append(row("dispatcher-process", entries, 0.0, {}, round(memory_mb * 2**20)))
            table = round(part("table", entries)[0])
            rows.append(row("dispatcher-table", entries, 0.0, {"entries": entries}, table))
            rows.append(row("dispatcher-start", entries, 0.0, {}, 0, {"start": single(start_ms / 1e3)}))
    save("decisions", began, rows, f"{rounds} rounds of each size, {BALANCERS} balancers, {fleet.JOBS} jobs")


@main.command()
@click.option("--rounds", default=3, show_default=True)
def owner(rounds: int) -> None:
    """Measure the batch engine: memory by waiting jobs, a job's way through the backlog by teams."""
    began, rows = time.time(), []
    for _ in range(rounds):
        for jobs in JOBS_WAITING:
            rows.append(row("owner-memory", jobs, 0.0, {"jobs": jobs}, round(part("waiting", jobs)[0])))
        for teams in TEAMS:
            cpu_s, done = part("turns", teams)
            rows.append(row("owner-turns", teams, cpu_s, {"jobs": round(done)}))
    what = f"{rounds} rounds of each size, in memory, templates of 300 bytes, eight jobs a team"
    save("owner", began, rows, what)


@main.command()
@click.option("--rounds", default=3, show_default=True)
def front(rounds: int) -> None:
    """Measure submissions by sockets, and the memory of the node, by the jobs known."""
    began, rows = time.time(), []
    for _ in range(rounds):
        with (
            StandIns(2, "refuse") as standins,
            tempfile.TemporaryDirectory() as folder,
            Node(ROOT, Path(folder), standins.discovery, BACKLOG) as node,
        ):
            trio.run(many, node.port, 8, 200, submit_held)
            known = 200
            for wanted in JOBS_KNOWN:
                trio.run(many, node.port, 8, wanted - SUBMISSIONS - known, submit_held)
                before = node.cpu_s()
                trio.run(many, node.port, 8, SUBMISSIONS, submit_held)
                cpu_s, known = node.cpu_s() - before, wanted
                memory = round(node.rss_mb() * 2**20)
                rows.append(row("front-submission", wanted, cpu_s, {"submissions": SUBMISSIONS}, memory))
    save("front", began, rows, f"{rounds} rounds, one node, jobs held, eight connections")


@main.command()
@click.option("--rounds", default=3, show_default=True)
def node(rounds: int) -> None:
    """Measure a job's whole way through a node, by the real servers listed."""
    began, rows = time.time(), []
    for _ in range(rounds):
        for servers in SERVERS:
            with (
                StandIns(servers, "run") as standins,
                tempfile.TemporaryDirectory() as folder,
                Node(ROOT, Path(folder), standins.discovery, PLAIN, 4096) as node,
            ):
                trio.run(many, node.port, 16, JOBS_RUN // 2, run_and_wait)
                before = node.cpu_s()
                trio.run(many, node.port, 16, JOBS_RUN, run_and_wait)
                counts = {"jobs": JOBS_RUN}
                rows.append(
                    row("node-job", servers, node.cpu_s() - before, counts, round(node.rss_mb() * 2**20))
                )
    save(
        "node", began, rows, f"{rounds} rounds of each size, {JOBS_RUN} jobs that end at once, 16 connections"
    )


@main.command()
@click.option("--rounds", default=3, show_default=True)
def agent(rounds: int) -> None:
    """Measure an executor's part in a task's start and end, by the tasks that run."""
    began, rows = time.time(), []
    for _ in range(rounds):
        for running in TASKS_RUNNING:
            cpu_s, started = part("executor", running)
            rows.append(row("agent-start", running, cpu_s, {"starts": round(started)}))
    save("agent", began, rows, f"{rounds} rounds of each size, processes that end at once, nobody notified")


if __name__ == "__main__":
    main(prog_name="python -m bench.capacity")
