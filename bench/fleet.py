"""What a node of a fleet pays for a job, a list and its start, at 14, 60, 200 and 1,024 entries.

``python -m bench.fleet [--against DIR] [--rounds N]``: processor time, trees in turn in one run.
"""

from __future__ import annotations

import argparse
import statistics
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
JOBS = 4000
CHILD = """
import json, resource, sys, time
try:
    import merlinbay.node
except ModuleNotFoundError:  # a tree from before it
    import merlinbay.__main__
import merlinbay.decision as face

def named(*names):  # the first that a tree has: older trees have other names
    return next(getattr(face, name) for name in names if hasattr(face, name))

Balancer, Settings, Outcome, AttemptEnded = face.Balancer, face.Settings, face.Outcome, face.AttemptEnded
RequestClass, DispatchLimits = named("RequestClass", "JobClass"), named("DispatchLimits", "Limits")
EndpointsChanged = named("EndpointsChanged", "ListChanged")
EndpointEntry = named("EndpointEntry", "WorkerEntry")
RequestReceived, Dispatch = named("RequestReceived", "JobArrived"), named("Dispatch", "Place")
place = "endpoint" if hasattr(face, "Dispatch") else "worker"
ExecutionStarted = named("ExecutionStarted", "JobStarted")
entries, jobs, balancers = (int(word) for word in sys.argv[1:])
admit = RequestClass("admit", 120_000, 5_000_000, effect="by_key", group="cell", window_us=7_500_000)
settings = Settings([admit],
    balancers=balancers, kinds=["k"], tells_start=True, report_fields=["active", "x0"], free_slots_field="x0",
    held_field="active",
    limits=DispatchLimits(cancelling=True, second_copies=True, send_cap=5, retry_after=True))
made = Balancer(settings, 1, 0)
made.handle(0, [EndpointsChanged("all", [
    EndpointEntry(f"w{n}", "z", "k", n // 6, "up", 1.0, 0) for n in range(entries)])])
started = time.process_time()
now = 0
for number in range(jobs):
    now += 50_000
    actions = made.handle(now, [RequestReceived(number, "admit", 5_000_000)])
    for attempt, action in enumerate(a for a in actions if isinstance(a, Dispatch)):
        made.handle(now + 1_000, [ExecutionStarted(number, attempt)])
        made.handle(now + 40_000, [AttemptEnded(number, attempt, Outcome.OK, 40_000, True,
                                                    [2.0, 2.0], getattr(action, place))])
job_us = (time.process_time() - started) / jobs * 1e6
try:
    from merlinbay.platform import messages
except ImportError:  # a tree from before it was renamed
    from merlinbay.platform import words as messages
def started_at(entry):
    return entry.started_at_us if hasattr(entry, "started_at_us") else entry.started_us
rows = [{"id": f"w{n}", "addr": "10.1.0.18:8081", "zone": "z", "kind": "k", "cell": n // 6,
         "state": "SERVING", "weight": 1.0, "started_ms": 0} for n in range(entries)]
text = json.dumps({"version": 1, "full": True, "servers": rows}, indent=2).encode()
began = time.process_time()
for _ in range(20):
    listed = messages.entries(messages.read_listing(text))
    made.handle(now, [EndpointsChanged("all", [EndpointEntry(
        e.server, e.zone, e.kind, e.cell, e.state, e.weight, started_at(e)) for e in listed])])
list_us = (time.process_time() - began) / 20 * 1e6
memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
print(started * 1e3, job_us, list_us, memory)
"""


def once(tree: Path, entries: int, balancers: int) -> list[float]:
    """Return milliseconds of a start, microseconds of a job's decisions and of an indented whole list, MB.

    In a process of its own.
    """
    done = subprocess.run(
        [sys.executable, "-B", "-c", CHILD, str(entries), str(JOBS), str(balancers)],
        cwd=tree,
        capture_output=True,
        text=True,
        check=True,
    )
    return [float(word) for word in done.stdout.split()]


def main() -> None:
    """Print a line for each number of entries and tree."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--against", type=Path)
    parser.add_argument("--rounds", type=int, default=7)
    args = parser.parse_args()
    trees = {"this tree": ROOT} | ({"against": args.against} if args.against else {})
    for entries, balancers in ((14, 2), (60, 40), (200, 200), (1024, 1024)):
        seen: dict[str, list[list[float]]] = {name: [] for name in trees}
        for _ in range(args.rounds):
            for name, tree in trees.items():
                seen[name].append(once(tree, entries, balancers))
        for name, rows in seen.items():
            start, job, listed, memory = (statistics.median(column) for column in zip(*rows, strict=True))
            print(
                f"{entries} entries, {balancers} balancers, {name}: "
                f"start {start:.0f} ms, {job:.0f} us a job, {listed:.0f} us a list, {memory:.1f} MB"
            )


if __name__ == "__main__":
    main()
