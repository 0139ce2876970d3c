"""What all processes together send to a cold server: its budget, and no more over it than chance explains."""

from __future__ import annotations

import math
from collections import deque
from random import Random

import pytest

from merlinbay.decision import Balancer, api
from tests.support import settings

SECOND, STEP = 1_000_000, 50_000
SLOTS, RUN_US = 4.0, 270_000
COLD = api.Safety(
    drain_grace_us=500_000,
    cold_from=0.31,
    cold_us=9 * SECOND,
    tip_multiple=3.0,
    overload_for_us=2 * SECOND,
    must_ask_in_us=10 * SECOND,
)


class Fleet:
    """Nodes that know what its jobs and slots are like, and one server that has just started."""

    def __init__(self, nodes: int) -> None:
        self.conf = settings(balancers=nodes, kinds=["k1"], safety=COLD)
        self.nodes = [self.fresh(me, 0) for me in range(nodes)]
        self.sent = deque[int]()
        self.jobs = self.most = 0
        self.worst = -math.inf  # jobs over what chance explains

    def fresh(self, me: int, now: int) -> Balancer:
        """Return a node that has just started: it knows nothing of what its former self sent."""
        node = Balancer(self.conf, me, now)
        node.mean_run = RUN_US
        for cls in node.classes.values():
            cls.run, cls.seen = RUN_US, 100
        node.kinds["k1"].slots, node.kinds["k1"].told = SLOTS, True
        node.handle(now, [api.BalancersCounted(self.conf.balancers, me)])
        node.handle(now, [api.ListChanged("remembered", [api.WorkerEntry("w", "a", "k1", 0, "up", 1.0, 1)])])
        return node

    def offer(self, now: int, node: Balancer) -> None:
        """Hand in a job; an attempt ends at once, so that nothing but the budget holds the next one back."""
        self.jobs += 1
        out = node.handle(now, [api.JobArrived(self.jobs, "safe", 5 * SECOND)])
        if any(isinstance(action, api.Place) for action in out):
            self.sent.append(now)
            node.handle(now, [api.AttemptEnded(self.jobs, 0, api.Outcome.FULL, RUN_US, False, None, "w")])
            node.workers["w"].observe(now, 0.0)
        while self.sent and self.sent[0] <= now - COLD.overload_for_us:
            self.sent.popleft()
        capacity = COLD.cold_from + (1 - COLD.cold_from) * min(now / COLD.cold_us, 1)
        budget = COLD.tip_multiple * SLOTS * capacity * COLD.overload_for_us / RUN_US
        self.most = max(self.most, len(self.sent))
        self.worst = max(self.worst, len(self.sent) - budget - 2 * math.sqrt(budget) - 2)


def steady(at: int, me: int) -> int:
    """Offer one job at each look."""
    return 1


def early(at: int, me: int) -> int:
    """Offer nothing for three seconds, then as much as can be."""
    return 3 * (at >= 3 * SECOND)


def late(at: int, me: int) -> int:
    """Offer nothing for six seconds, then as much as can be."""
    return 3 * (at >= 6 * SECOND)


def uneven(at: int, me: int) -> int:
    """Offer much at every fifth node, next to nothing at the others."""
    return 4 if me % 5 == 0 else at // STEP % 40 == 0


@pytest.mark.parametrize("nodes", [1, 2, 20, 30, 200])
@pytest.mark.parametrize("offered", [steady, early, late, uneven])
@pytest.mark.parametrize("restarts", [False, True])
def test_the_sum_of_all_nodes_keeps_to_a_cold_server_s_budget(
    nodes: int, offered: object, restarts: bool
) -> None:
    """In every span that the rules name, from its start until it is warm; a tenth of the nodes start anew."""
    fleet, rng = Fleet(nodes), Random(7)
    for at in range(STEP, COLD.cold_us, STEP):
        if restarts and at % (SECOND // 2) == 0:
            for me in range(at // (SECOND // 2) % 10, nodes, 10):
                fleet.nodes[me] = fleet.fresh(me, at)
        for me in rng.sample(range(nodes), nodes):
            for _ in range(offered(at, me)):  # type: ignore[operator]
                fleet.offer(at, fleet.nodes[me])
    assert fleet.worst <= 0, f"{fleet.most} jobs within two seconds"
    assert fleet.most >= 4  # and it is used


@pytest.mark.parametrize("ready", [1, 1_000, 1_700_000_000 * SECOND])
def test_a_server_that_started_long_ago_costs_no_time(ready: int) -> None:
    """Its turns are worked out, not counted through: a node once stood still over this."""
    now = 1_790_000_000 * SECOND
    made = Balancer(settings(balancers=200, kinds=["k1"], safety=COLD), 1, now)
    made.handle(now, [api.ListChanged("all", [api.WorkerEntry("w", "a", "k1", 0, "up", 1.0, ready)])])
    made.workers["w"].cold_next = 0
    assert made.cold_turn(made.workers["w"]) in (True, False)
    out = made.handle(now, [api.JobArrived(1, "safe", SECOND)])
    assert any(isinstance(action, api.Place) for action in out)
