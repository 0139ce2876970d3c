"""The emulator against theory, its speed: ``python -m bench.emulator [theory|speed|scale|kinds]``."""

from __future__ import annotations

import resource
import sys
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import Any

import numpy as np

from merlinbay.emulator import spec, theory
from merlinbay.emulator.loop import Order
from merlinbay.emulator.servers import EmulatedAttempt, EmulatedServer
from merlinbay.emulator.simulation import DaySimulation, play

RUN_S = 0.01  # mean run time of the theory's runs


def simple(servers: int, slots: int, share: float, seconds: float, policy: str, seed: int) -> DaySimulation:
    """Return a day of exponential run times at servers that are all alike, with nothing else."""
    kind = {"name": "k", "slots": slots, "memory": 1e9}
    value: dict[str, Any] = {
        "name": "theory",
        "seconds": seconds,
        "reports": {"on": False},
        "hall": {
            "servers": servers,
            "kinds": [kind],
            "queue": 10**9,
            "handshake_ms": 0.0,
            "connections": 10**9,
        },
        "job": {
            "effect": "repeatable",
            "exponential": True,
            "run": RUN_S,
            "aim": 1e6,
            "deadline": 1e5,
            "memory": 0.0,
        },
        "load": {"share": share},
        "net": {"delay_ms": 0.001, "jitter": 0.0},
        "callers": {"retries": 0.0},
    }
    return DaySimulation(spec.read_value(value, "theory"), seed, policy)


def waits_of(slots: int, share: float, jobs: int, seed: int) -> np.ndarray:
    """Return how long jobs waited at one server, us."""
    day = simple(1, slots, share, jobs * RUN_S / (share * slots), "random", seed)
    waits: list[int] = []

    def ran(work: EmulatedAttempt, server: EmulatedServer) -> None:
        waits.append(day.loop.now - work.arrived_us)

    day.checker.ran = ran  # type: ignore[method-assign]
    day.play()
    return np.array(waits[len(waits) // 20 :])  # the first twentieth finds an empty server


def one_queue(slots: int, share: float) -> str:
    """Compare M/M/c with what is known."""
    waits = waits_of(slots, share, 1_500_000, 11)
    wait, mean = theory.erlang_c(slots, share * slots), theory.mean_wait(slots, share * slots, RUN_S * 1e6)
    return (
        f"M/M/{slots} at {share}: waits {np.mean(waits > 0):.4f}, theory {wait:.4f} "
        f"({np.mean(waits > 0) / wait - 1:+.2%}); mean wait {np.mean(waits) / 1000:.3f} ms, "
        f"theory {mean / 1000:.3f} ({np.mean(waits) / mean - 1:+.2%})"
    )


def two_choices() -> str:
    """Compare the better of two, at 500 servers of one slot, with its fixed point."""
    day, share = simple(500, 1, 0.9, 12.0, "two", 3), 0.9
    counts: list[np.ndarray] = []

    def look() -> None:
        held = np.array([len(server.running) + len(server.waiting) for server in day.servers.values()])
        counts.append(np.array([np.mean(held >= jobs) for jobs in range(1, 6)]))
        day.loop.at(day.loop.now + 20_000, Order.TIMER, look)

    day.loop.at(4_000_000, Order.TIMER, look)
    day.callers.start()
    day.loop.run(12_000_000)
    rows = [
        f"two choices at {share}: {found:.4f} of 500 servers hold {jobs} or more, fixed point "
        f"{theory.two_choices(share, jobs):.4f}"
        for jobs, found in enumerate(np.mean(counts, axis=0), 1)
    ]
    return "\n".join(rows)


def check_theory() -> Iterator[str]:
    """Compare with what is known."""
    queues = ((1, 0.5), (1, 0.8), (2, 0.7), (4, 0.8), (8, 0.9))
    with ProcessPoolExecutor(mp_context=get_context("spawn")) as pool:
        waiting = [pool.submit(one_queue, *queue) for queue in queues] + [pool.submit(two_choices)]
        for found in waiting:
            yield found.result()


def check_speed() -> Iterator[str]:
    """Print jobs a second of CPU, and how much faster than the clock a day is."""
    for name in ("random", "module"):
        day = DaySimulation(spec.load("monday"), 1, name)
        began = time.process_time()
        result = day.play()
        took = time.process_time() - began
        yield (
            f"monday, {name}: {result.requests / took:.0f} jobs a second of CPU, {day.loop.count / took:.0f} "
            f"events; {day.script.seconds / took:.0f} times the clock"
        )


def check_scale() -> Iterator[str]:
    """Print time and memory of a large hall."""
    for servers, nodes, seconds in ((120, 10, 10.0), (1200, 40, 5.0)):
        value = {
            "name": "scale",
            "seconds": seconds,
            "hall": {"servers": servers, "nodes": nodes},
            "load": {"share": 0.6},
        }
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        day = DaySimulation(spec.read_value(value, "scale"), 1, "module")
        began = time.process_time()
        result = day.play()
        took = time.process_time() - began
        more = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1024
        yield (
            f"{servers} servers, {nodes} nodes: {result.requests / seconds:.0f} jobs a second, in time "
            f"{result.in_time:.4f}; {result.requests / took:.0f} jobs a second of CPU, {more:.0f} MB more"
        )


KINDS: dict[str, dict[str, Any]] = {
    "slow": {"what": "slowdown", "lasts": [15, 33], "share": [0.055, 0.24], "by": [2.1, 9.8]},
    "fast_errors": {"what": "fast_errors", "lasts": [5.4, 30], "share": [0.051, 0.19], "by": [0.31, 0.99]},
    "neighbour": {"what": "neighbour", "lasts": [20, 38], "share": [0.14, 0.44], "by": [0.32, 0.7]},
    "report_late": {"what": "late_reports", "lasts": [13, 26], "by": [0.96, 4.8]},
    "burst": {"what": "burst", "lasts": [2.4, 8.7], "by": [1.4, 2.5]},
    "deploy": {"what": "deploy", "lasts": [22, 38], "share": [0.44, 0.84], "step": [0.053, 0.18]},
}


def one_kind(asked: tuple[str, int, int, str, int]) -> float:
    """Play a day of one trouble; return the share in time."""
    name, nodes, servers, policy, seed = asked
    value = {
        "name": name,
        "seconds": 46.0,
        "hall": {"servers": servers, "nodes": nodes},
        "load": {"share": [0.53, 0.65], "shape": "bursty", "swing": 0.2},
        "trouble": [{"at": [8, 12], **KINDS[name]}],
    }
    return play(spec.read_value(value, name), seed, policy).in_time


def check_kinds() -> Iterator[str]:
    """Print the share in time for days of one trouble each, 20 seeds, module and chance."""
    with ProcessPoolExecutor(mp_context=get_context("spawn")) as pool:
        for nodes, servers in ((1, 14), (2, 12)):
            for name in KINDS:
                row = []
                for policy in ("module", "random"):
                    days = [(name, nodes, servers, policy, seed) for seed in range(1, 21)]
                    row.append(f"{policy} {np.mean(list(pool.map(one_kind, days))):.4f}")
                yield f"{nodes}x{servers} {name}: {', '.join(row)}"


def main() -> None:
    """Print what was asked for."""
    wanted = sys.argv[1:] or ["theory", "speed", "scale", "kinds"]
    for name, check in (
        ("theory", check_theory),
        ("speed", check_speed),
        ("scale", check_scale),
        ("kinds", check_kinds),
    ):
        if name in wanted:
            for line in check():
                print(line, flush=True)


if __name__ == "__main__":
    main()
