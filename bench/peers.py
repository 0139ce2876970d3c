"""How many jobs the few that outlive their peers refuse: ``python -m bench.peers``, no sockets, fixed seeds.

40 balancers at 60 servers of 4 slots, 150 ms a job, first come first served, outcomes carry what is held and
free. After four seconds 28 of them die at once, and the other 12 get the whole load; nobody tells them so.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass

from merlinbay.decision import Balancer
from merlinbay.decision.actions import Dispatch, Reject
from merlinbay.decision.events import AttemptEnded, EndpointEntry, EndpointsChanged, RequestReceived
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.settings import DispatchLimits, RequestClass, Settings

SERVERS, SLOTS, RUN_US, ALL, DIE_US, END_US = 60, 4, 150_000, 40, 4_000_000, 7_000_000


@dataclass
class Tally:
    """What became of the jobs that arrived after the deaths."""

    offered: int = 0
    refused: int = 0
    late: int = 0  # not started within their aim, 100 ms


def play(left: int, load: float, seed: int) -> Tally:
    """Play it with so many that outlive the others, at a share of all slots."""
    rng, tally = random.Random(seed), Tally()
    settings = Settings(
        [RequestClass("admit", 100_000, 5_000_000)],
        balancers=ALL,
        kinds=["k"],
        report_fields=["active", "x0"],
        free_slots_field="x0",
        held_field="active",
        limits=DispatchLimits(cancelling=True, send_cap=5, retry_after=True),
    )
    fleet = [Balancer(settings, who, 0) for who in range(ALL)]
    due: list[tuple[int, int, int, str]] = []  # when, job, balancer, server
    busy: dict[str, list[int]] = {f"w{n}": [] for n in range(SERVERS)}
    entries = [EndpointEntry(name, "z", "k", 0, "up", 1.0, 0) for name in busy]
    for made in fleet:
        made.handle(0, [EndpointsChanged("all", entries)])
    now, job = 0, 0
    while now < END_US:
        now, job = now + int(rng.expovariate(load * SERVERS * SLOTS / RUN_US)), job + 1
        alive = ALL if now < DIE_US else left
        while due and due[0][0] <= now:
            at, ended, who, server = heapq.heappop(due)
            held = sum(end > at for end in busy[server])
            if who < alive:
                fleet[who].handle(
                    at,
                    [
                        AttemptEnded(
                            ended,
                            0,
                            Outcome.OK,
                            RUN_US,
                            True,
                            [float(held), float(max(0, SLOTS - held))],
                            server,
                        )
                    ],
                )
        counts = now >= DIE_US
        tally.offered += counts
        who = rng.randrange(alive)
        for action in fleet[who].handle(now, [RequestReceived(job, "admit", 5_000_000)]):
            if isinstance(action, Dispatch):
                ends = sorted(end for end in busy[action.endpoint] if end > now)
                starts = now if len(ends) < SLOTS else ends[-SLOTS]
                busy[action.endpoint] = [*ends, starts + RUN_US]
                heapq.heappush(due, (starts + RUN_US, job, who, action.endpoint))
                tally.late += counts and starts - now > 100_000
            tally.refused += counts and isinstance(action, Reject)
    return tally


def main() -> None:
    """Print refusals and late starts with all alive and with 12 left."""
    for load in (0.3, 0.6, 0.75):
        for left in (ALL, 12):
            rows = [play(left, load, seed) for seed in (5, 6, 7)]
            offered = sum(row.offered for row in rows)
            print(
                f"load {load}, {left} of {ALL} left: "
                f"refused {sum(row.refused for row in rows) / offered:.3f}, "
                f"late {sum(row.late for row in rows) / offered:.3f} of {offered} jobs"
            )


if __name__ == "__main__":
    main()
