"""The view of the fleet, measured in virtual time: ``python -m bench.view seeds|mutants|curves``.

``seeds N``: N scenarios with joins, crashes, partitions, loss and pauses, and their invariants. ``mutants``:
the same with faults put into the code, each of which has to be found. ``curves [--write]``: detection, false
suspicions and traffic by size and loss, beside all-to-all heartbeats.
"""

from __future__ import annotations

import argparse
import heapq
import math
import shutil
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from random import Random
from statistics import median

ROOT = Path(__file__).parent.parent
MUTANTS = [
    (
        "half is a majority",
        "epochs.py",
        "return len(self.epoch.members) // 2 + 1 if",
        "return len(self.epoch.members) // 2 if",
    ),
    (
        "a majority forms the first epoch",
        "epochs.py",
        "else max(self._expected, 1)",
        "else self._expected // 2 + 1",
    ),
    (
        "a value that was accepted before is passed over",
        "epochs.py",
        "if isinstance(answer, Promise) and answer.accepted > proposal.highest_accepted:",
        "if False:",
    ),
    ("promises are not kept to", "epochs.py", "or ballot < self.state.promised", ""),
    (
        "promises are not stored",
        "epochs.py",
        "        self._store(state)\n",
        "        self._store(state) if state.epoch != self.state.epoch else None\n",
    ),
    (
        "one that lost its disk votes",
        "epochs.py",
        'return f"{node}/{disk_id}"',
        'return f"{node}/"',
    ),
    (
        "never refutes",
        "local_member.py",
        "        self.state = replace(own, incarnation=claimed.incarnation + 1)\n",
        "        return False\n",
    ),
    (
        "refutes at the same incarnation",
        "local_member.py",
        "incarnation=claimed.incarnation + 1)",
        "incarnation=claimed.incarnation)",
    ),
    (
        "a lower incarnation holds",
        "members.py",
        "        return new.incarnation > old.incarnation\n",
        "        return True\n",
    ),
    (
        "suspects never die",
        "member_table.py",
        "        self.merge(replace(member.state, health=Health.DEAD, accuser=self._local.name))",
        "        pass",
    ),
    (
        "a suspicion is a death",
        "member_table.py",
        "self.merge(replace(member.state, health=Health.SUSPECT, accuser=self._local.name))",
        "self.merge(replace(member.state, health=Health.DEAD, accuser=self._local.name))",
    ),
    (
        "nobody else is asked to probe",
        "failure_detector.py",
        "            probe.helpers.append(helper.name)\n",
        "            continue\n",
    ),
    (
        "a dead member is forgotten at once",
        "member_table.py",
        "self._timers.now_s - since_s > self._settings.keep_dead",
        "True",
    ),
    (
        "nobody talks to the dead",
        "push_pull.py",
        "if others and (not active or self._rng.random() < DEAD_OR_SEED_SHARE):",
        "if False:",
    ),
    (
        "no exchange of the whole state",
        "push_pull.py",
        "        self.exchange_with_any()\n\n    def exchange_with_any",
        "\n    def exchange_with_any",
    ),
    (
        "gossip is sent once",
        "settings.py",
        "settings.repeat * math.ceil(math.log10(members + 1)) if members else settings.repeat",
        "1",
    ),
    (
        "packets grow with the queue",
        "gossip.py",
        "room_bytes = MAX_DATAGRAM_BYTES - OVERHEAD_BYTES - len(self._settings.name)",
        "room_bytes = 10 * MAX_DATAGRAM_BYTES",
    ),
    (
        "one who leaves is probed on",
        "members.py",
        "self.state.health in (Health.ALIVE, Health.SUSPECT)",
        "self.state.health is not Health.DEAD",
    ),
    (
        "a stopped process accuses the others",
        "view.py",
        "        if late_s > self._settings.probe:\n",
        "        if False:\n",
    ),
]


def seeds(asked: tuple[int, int]) -> list[str]:
    """Play seeds; return what broke."""
    from merlinbay.fleet import random_walk, scenarios, simulation

    found = []
    for seed in range(*asked):
        try:
            random_walk.run_walk(seed)
            scenarios.run_scenario(seed)
        except (simulation.InvariantViolationError, random_walk.EpochConflictError) as error:
            found.append(f"seed {seed}: {error}")
    return found


def many(count: int, first: int = 0) -> None:
    """Play many seeds over all cores; print what broke."""
    began = time.perf_counter()
    parts = [(at, min(at + 50, first + count)) for at in range(first, first + count, 50)]
    with ProcessPoolExecutor() as pool:
        broken = [text for found in pool.map(seeds, parts) for text in found]
    print(f"{count} seeds in {time.perf_counter() - began:.0f} s, {len(broken)} broken")
    for text in broken[:10]:
        print(" ", text)
    if broken:
        sys.exit(1)


def mutant(asked: tuple[str, str, str, str]) -> tuple[str, str]:
    """Play seeds with a fault put in, until it is found; return its name and what found it."""
    name, file, old, new = asked
    with tempfile.TemporaryDirectory() as folder:
        shutil.copytree(ROOT / "merlinbay", Path(folder) / "merlinbay")
        path = Path(folder) / "merlinbay" / "fleet" / file
        text = path.read_text()
        if old not in text:
            return name, "NOT THERE: the code has changed"
        path.write_text(text.replace(old, new, 1))
        code = (
            "from merlinbay.fleet import random_walk, scenarios, simulation\n"
            "for seed in range(400):\n"
            "    try: random_walk.run_walk(seed)\n"
            "    except random_walk.EpochConflictError as error:\n"
            "        print('walk', seed, error); raise SystemExit\n"
            "for seed in range(150):\n"
            "    try: scenarios.run_scenario(seed)\n"
            "    except simulation.InvariantViolationError as error: print(seed, error); break\n"
            "    except Exception as error: print(seed, repr(error)); break\n"
        )
        done = subprocess.run([sys.executable, "-B", "-c", code], cwd=folder, capture_output=True, text=True)
        return name, done.stdout.strip()


def mutants() -> None:
    """Print each mutant and what found it."""
    with ProcessPoolExecutor() as pool:
        rows = list(pool.map(mutant, MUTANTS))
    for name, found in rows:
        print(f"{'found ' if found else 'MISSED'} {name}: {found[:150]}")
    print(f"{sum(bool(found) for _, found in rows)} of {len(rows)} found")


@dataclass(frozen=True)
class Curve:
    """What one size and loss gave."""

    protocol: str
    members: int
    loss: float
    first: float  # seconds from a death until the first member says so, median over the deaths,
    last: float  # and the last one
    wrong: float  # deaths that were none, a member and hour,
    suspected: float  # and suspicions
    bytes: float  # a second and member, sent


def swim(members: int, loss: float, seed: int = 1) -> Curve:
    """Measure the view: a fleet that has come up, then quiet, then deaths."""
    from merlinbay.fleet import simulation
    from merlinbay.fleet.members import Member
    from merlinbay.fleet.settings import FleetSettings

    sim = simulation.FleetSimulation(seed, members, FleetSettings(name="sim", listen="x", keys="x"))
    states = {}
    for node in sim.nodes.values():
        node.start()
        assert node.view is not None
        states[node.name] = node.view.local.state
    for node in sim.nodes.values():  # all know each other: coming up is not measured here
        view = node.view
        assert view is not None
        view.broadcasts.clear()
        view.push_pull.has_joined = True
        view.table.members.update(
            {name: Member(state, 0.0) for name, state in states.items() if name != node.name}
        )
    sim.queue = [entry for entry in sim.queue if entry[2].__name__ == "_tick"]
    heapq.heapify(sim.queue)
    sim.net.loss_share = loss
    quiet = 30.0 if members >= 1000 else 60.0
    sim.run(5.0)
    sent, began = sim.bytes_sent, sim.now_s
    sim.run(began + quiet)
    rate = (sim.bytes_sent - sent) / quiet / members
    logs = [event for node in sim.nodes.values() for event in node.log if began <= event.at_s]
    hours = members * quiet / 3600
    wrong = sum(event.kind == "died" and event.subject in states for event in logs) / hours
    suspected = len({(e.subject, round(e.at_s / 20)) for e in logs if e.kind == "suspected"}) / hours
    victims = list(sim.nodes.values())[:: max(members // 5, 1)][:5]
    at = sim.now_s
    for node in victims:
        node.kill()
    sim.run(at + 60.0)
    gone = {node.name for node in victims}
    firsts, lasts = [], []
    for name in gone:
        times = [
            e.at_s - at
            for node in sim.running_nodes()
            for e in node.log
            if e.kind == "died" and e.subject == name and e.at_s > at
        ]
        if times:
            firsts.append(min(times))
            lasts.append(max(times) if len(times) >= members - len(gone) else 60.0)
    return Curve("view", members, loss, median(firsts), median(lasts), wrong, suspected, rate)


def modelled(members: int, loss: float) -> Curve:
    """Play deaths on arrays; traffic and wrong suspicions are not modelled."""
    from bench.view_model import deaths
    from merlinbay.fleet.settings import FleetSettings

    found = deaths(members, loss, FleetSettings(name="sim", listen="x", keys="x"))
    return Curve("arrays", members, loss, found.first, found.last, math.nan, math.nan, math.nan)


def heartbeats(members: int, loss: float, seed: int = 1) -> Curve:
    """Measure the baseline: everybody tells everybody each second; five in a row missing are a death."""
    rng, period, missing, size = Random(f"{seed}/{members}/{loss}"), 1.0, 5, 60
    quiet = 60.0
    pairs = members * (members - 1)
    rounds = int(quiet / period)
    # A link is taken for dead when its last five beats were all lost; links are alike, so a sample does.
    sample, wrong = min(pairs, 20_000), 0
    for _ in range(sample):
        run = 0
        for _ in range(rounds):
            run = run + 1 if rng.random() < loss else 0
            wrong += run == missing
    deaths = [max(missing * period - rng.random() * period, 0.0) for _ in range(min(5 * (members - 1), 5000))]
    per = max(members - 1, 1)
    groups = [deaths[at : at + per] for at in range(0, len(deaths), per)]
    return Curve(
        "heartbeats",
        members,
        loss,
        median([min(group) for group in groups]),
        median([max(group) for group in groups]),
        wrong / sample * pairs / (members * quiet / 3600),
        0.0,
        (members - 1) * size / period,
    )


def curve(asked: tuple[str, int, float]) -> Curve:
    """Measure one point."""
    name, members, loss = asked
    return {"view": swim, "arrays": modelled, "heartbeats": heartbeats}[name](members, loss)


def curves(most: int, write: bool) -> None:
    """Print, and draw, all sizes and losses."""
    sizes = [size for size in (10, 100, 1000, 10_000) if size <= most]
    asked = [
        ("view", size, loss)
        for size in sizes
        if size <= 1000
        for loss in (0.0, 0.05, 0.3)
        if size * loss <= 100
    ]  # a thousand members with a third lost take a quarter of an hour
    asked += [
        (name, size, loss) for name in ("arrays", "heartbeats") for size in sizes for loss in (0.0, 0.05, 0.3)
    ]
    with ProcessPoolExecutor() as pool:
        rows = list(pool.map(curve, sorted(asked, key=lambda one: -one[1])))
    rows.sort(key=lambda row: (row.protocol, row.members, row.loss), reverse=False)
    print("| protocol | members | loss | first s | last s | false deaths | suspicions | bytes/s |")
    print("|" + " --- |" * 8)
    for row in rows:
        print(
            f"| {row.protocol} | {row.members} | {row.loss:.2f} | {row.first:.1f} | {row.last:.1f} | "
            f"{row.wrong:.2f} | {row.suspected:.1f} | {row.bytes:,.0f} |"
        )
    if write:
        plot(rows, ROOT / "docs" / "membership.svg")


def plot(rows: list[Curve], path: Path) -> None:
    """Draw detection and traffic by size, with what the papers say beside them."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams.update({"svg.hashsalt": "merlinbay", "font.size": 9})
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(1, 2, figsize=(8.5, 3))
    for protocol, line in (("view", "-"), ("arrays", ":"), ("heartbeats", "--")):
        for loss, colour in ((0.0, "#2f6fde"), (0.05, "#2a9d5c"), (0.3, "#c4432b")):
            mine = [row for row in rows if (row.protocol, row.loss) == (protocol, loss)]
            sizes, label = [row.members for row in mine], f"{protocol}, loss {loss:g}"
            axes[0].plot(
                sizes, [row.last for row in mine], ls=line, color=colour, marker="o", ms=3, label=label
            )
            axes[1].plot(sizes, [row.bytes for row in mine], ls=line, color=colour, marker="o", ms=3)
    sizes = sorted({row.members for row in rows})
    axes[0].plot(
        sizes,
        [1.582 + 4 * max(1.0, math.log10(size)) for size in sizes],
        color="grey",
        ls=":",
        label="e/(e-1) periods + 4 log10 n (SWIM, confirmed)",
    )
    axes[0].set(xscale="log", xlabel="members", ylabel="last to know of a death, s")
    axes[1].set(xscale="log", yscale="log", xlabel="members", ylabel="bytes a second and member")
    axes[0].legend(frameon=False, fontsize=6)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def main() -> None:
    """Do what is asked."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=["seeds", "mutants", "curves"])
    parser.add_argument("count", nargs="?", type=int, default=1000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--write", action="store_true", help="curves: draw docs/membership.svg")
    args = parser.parse_args()
    if args.what == "seeds":
        many(args.count, args.first)
    elif args.what == "curves":
        curves(args.count, args.write)
    else:
        mutants()


if __name__ == "__main__":
    main()
