"""What all processes together send to a cold server: its budget, and no more over it than chance explains."""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import pytest

from merlinbay.decision import Balancer
from merlinbay.decision.actions import Action, CheckHealth, Dispatch
from merlinbay.decision.endpoint_state import Endpoint
from merlinbay.decision.events import (
    AttemptEnded,
    BalancerCountChanged,
    EndpointEntry,
    EndpointsChanged,
    Event,
    ExecutionStarted,
    HealthCheckEnded,
    MaintenanceChanged,
    RequestReceived,
    SlotsReserved,
    TimerFired,
)
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.settings import SafetyMargins
from tests.support import settings

SECOND, STEP = 1_000_000, 50_000
SLOTS, RUN_US = 4.0, 270_000
COLD = SafetyMargins(
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
        node.parts.offered.mean_work_us = RUN_US
        for cls in node.parts.run_times.classes.values():
            cls.run_time_us, cls.completed = RUN_US, 100
        capacity = node.parts.endpoints.kinds["k1"].capacity
        capacity.slots, capacity.slots_are_reported = SLOTS, True
        node.handle(now, [BalancerCountChanged(self.conf.balancers, me)])
        node.handle(now, [EndpointsChanged("remembered", [EndpointEntry("w", "a", "k1", 0, "up", 1.0, 1)])])
        return node

    def offer(self, now: int, node: Balancer) -> None:
        """Hand in a job; an attempt ends at once, so that nothing but the budget holds the next one back."""
        self.jobs += 1
        out = node.handle(now, [RequestReceived(self.jobs, "safe", 5 * SECOND)])
        if any(isinstance(action, Dispatch) for action in out):
            self.sent.append(now)
            node.handle(now, [AttemptEnded(self.jobs, 0, Outcome.FULL, RUN_US, False, None, "w")])
            node.parts.load.observe_peers(node.parts.endpoints.by_name["w"], 0.0)
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
    made.handle(now, [EndpointsChanged("all", [EndpointEntry("w", "a", "k1", 0, "up", 1.0, ready)])])
    made.parts.endpoints.by_name["w"].slow_start.next_admission_at_us = 0
    assert made.parts.slow_start.may_admit(made.parts.endpoints.by_name["w"]) in (True, False)
    out = made.handle(now, [RequestReceived(1, "safe", SECOND)])
    assert any(isinstance(action, Dispatch) for action in out)


# The budget over a range of settings, sizes of fleets and ways to send.


@dataclass(frozen=True)
class Site:
    """Settings of a tier with one server in slow start, and what its jobs truly are like."""

    slots: float
    run_us: int
    safety: SafetyMargins

    def calls(self, at: int) -> float:
        """Return how many calls of mean work the settings allow in a span that ends then."""
        safety = self.safety
        capacity = safety.cold_from + (1 - safety.cold_from) * min(at / safety.cold_us, 1)
        return safety.tip_multiple * capacity * self.slots * safety.overload_for_us / self.run_us


def slow_start(cold_from: float, cold_s: float, multiple: float, span_s: float) -> SafetyMargins:
    """Return the figures of a slow start."""
    return SafetyMargins(
        cold_from=cold_from,
        cold_us=int(cold_s * SECOND),
        tip_multiple=multiple,
        overload_for_us=int(span_s * SECOND),
        must_ask_in_us=10 * SECOND,
    )


SITES = {
    "2 calls": Site(1.0, 300_000, slow_start(0.3, 6, 2.0, 1)),
    "11 calls": Site(4.0, 500_000, slow_start(0.15, 15, 3.0, 3)),
    "28 calls": Site(4.0, 270_000, COLD),
    "119 calls": Site(16.0, 300_000, slow_start(0.31, 8, 2.4, 3)),
}
FLEETS = [1, 2, 3, 5, 10, 20, 30, 60, 200]
USED = 0.2  # share of the allowed calls that are sent at the least: the budget is not kept by sending nothing
ASKED = 70  # nodes that get a job at one look, at the most
LOOKS = 8  # in a span, at the least: a node sends one call at each look at the most


def allowed(calls: float) -> float:
    """Return what a server takes within a span before it falls, in calls of mean work: the users' term."""
    return calls + 3 * math.sqrt(calls) + 3 if calls < 30 else calls + 2 * math.sqrt(calls) + 2


class Server:
    """A server in slow start that counts what arrives, whatever becomes of it."""

    def __init__(self, site: Site, mean_us: float) -> None:
        self.site, self.mean_us = site, mean_us
        self.arrived = deque[tuple[int, float]]()
        self.calls = 0
        self.over = -math.inf  # calls, or work in calls of mean work, over what it takes

    def take(self, now: int, work_us: float) -> None:
        """Count a call."""
        self.calls += 1
        self.arrived.append((now, work_us / self.mean_us))
        while self.arrived[0][0] <= now - self.site.safety.overload_for_us:
            self.arrived.popleft()
        most = max(len(self.arrived), sum(work for _, work in self.arrived))
        self.over = max(self.over, most - allowed(self.site.calls(now)))


@dataclass
class Offer:
    """What clients offer: which jobs, and when the burst begins, in parts of the slow start."""

    job_class: str = "safe"
    slots: tuple[float, ...] = (1.0,)
    spread: float = 0.0  # of the true work (lognormal)
    keyed: bool = False
    bound: bool = False
    reserved: bool = False
    begins: float = 0.5
    rejects: bool = True  # the server refuses each job; else it runs them

    def job(self, number: int, rng: Random) -> RequestReceived:
        """Return the next job."""
        return RequestReceived(
            number,
            self.job_class,
            5 * SECOND,
            slots=rng.choice(self.slots),
            key=f"key {number % 7}" if self.keyed else "",
            only=("w",) if self.bound else (),
            reserved=self.reserved,
        )

    @property
    def mean_slots(self) -> float:
        """The slots of the mean job."""
        return sum(self.slots) / len(self.slots)


class Cluster:
    """Nodes that share one server in slow start, under more demand than it takes."""

    def __init__(self, site: Site, nodes: int, offer: Offer, **changes: object) -> None:
        self.site, self.offer = site, offer
        self.conf = settings(**{"balancers": nodes, "kinds": ["k1", "k2"], "safety": site.safety, **changes})
        self.rng = Random(f"{nodes} {offer}")
        self.server = Server(site, site.run_us * offer.mean_slots)
        self.entries = [EndpointEntry("w", "a", "k1", 0, "up", 1.0, 1)]
        self.nodes = [self.fresh(me, 1, known=True) for me in range(nodes)]
        self.jobs = 0
        self.told = 0
        self.later: list[tuple[int, int, Balancer, RequestReceived, Event]] = []

    def fresh(self, me: int, now: int, known: bool = False) -> Balancer:
        """Return a node that has just started; ``known``: it knows slots and run times."""
        node = Balancer(self.conf, me, now)
        if known:
            offered = node.parts.offered
            offered.mean_work_us, offered.offered_requests = self.site.run_us * self.offer.mean_slots, 1000
            for cls in node.parts.run_times.classes.values():
                cls.run_time_us, cls.completed = self.site.run_us, 100
            capacity = node.parts.endpoints.kinds["k1"].capacity
            capacity.slots, capacity.slots_are_reported = self.site.slots, True
        node.handle(now, [BalancerCountChanged(self.conf.balancers, me)])
        node.handle(now, [EndpointsChanged("remembered", self.entries)])
        if self.offer.reserved:
            node.handle(now, [SlotsReserved("w", 1000.0, self.site.slots)])
        return node

    def play(self, *changes: Callable[[Cluster, int], None]) -> None:
        """Offer from the burst to the end of the slow start; ``changes`` are called once in each span."""
        safety = self.site.safety
        looks = max(LOOKS, math.ceil(4 * self.site.calls(safety.cold_us) / len(self.nodes)))
        step = safety.overload_for_us // looks
        for look, now in enumerate(range(step, safety.cold_us, step)):
            self.until(now)
            for change in changes if look % looks == looks - 1 else ():
                change(self, now)
            if now < self.offer.begins * safety.cold_us:
                continue
            for node in self.rng.sample(self.nodes, min(len(self.nodes), ASKED)):
                self.arrive(now, node)

    def arrive(self, now: int, node: Balancer) -> None:
        """Hand in a job."""
        self.jobs += 1
        job = self.offer.job(self.jobs, self.rng)
        self.act(now, node, job, node.handle(now, [job]))

    def act(self, now: int, node: Balancer, job: RequestReceived, actions: list[Action]) -> None:
        """Carry out what a node has decided on a job."""
        for action in actions:
            if isinstance(action, Dispatch):
                self.place(now, node, job, action)
            elif isinstance(action, CheckHealth):
                answer = HealthCheckEnded(action.endpoint, Outcome.OK, 1000, [0.0, self.site.slots])
                self.tell(now + 1000, node, job, answer)

    def place(self, now: int, node: Balancer, job: RequestReceived, action: Dispatch) -> None:
        """Have a server refuse the attempt, or run it."""
        run = self.site.run_us * math.exp(self.rng.gauss(-(self.offer.spread**2) / 2, self.offer.spread))
        if action.endpoint == "w":
            self.server.take(now, run * job.slots)
        number = len(node.parts.requests.by_id[job.id].attempts) - 1
        if action.endpoint == "w" and self.offer.rejects:
            full = AttemptEnded(job.id, number, Outcome.FULL, 1000, False, None, action.endpoint)
            self.tell(now + 1000, node, job, full)
            return
        ended = AttemptEnded(job.id, number, Outcome.OK, int(run), True, None, action.endpoint)
        self.tell(now + int(run), node, job, ended)

    def tell(self, at: int, node: Balancer, job: RequestReceived, event: Event) -> None:
        """Tell a node something later."""
        self.told += 1
        heapq.heappush(self.later, (at, self.told, node, job, event))

    def until(self, now: int) -> None:
        """Tell the nodes what has happened up to now; the server looks empty to them."""
        while self.later and self.later[0][0] <= now:
            at, _, node, job, event = heapq.heappop(self.later)
            self.act(at, node, job, node.handle(at, [event]))
            if "w" in node.parts.endpoints.by_name:
                node.parts.load.observe_peers(node.parts.endpoints.by_name["w"], 0.0)

    def check(self) -> None:
        """Require that the budget was kept, and that it was used."""
        assert self.server.over <= 0, f"{self.server.over:.1f} calls too many"
        safety = self.site.safety
        spans = (1 - self.offer.begins) * safety.cold_us / safety.overload_for_us
        assert self.server.calls >= spans * self.site.calls(int(self.offer.begins * safety.cold_us)) * USED


@pytest.mark.parametrize("nodes", FLEETS)
@pytest.mark.parametrize("site", SITES)
def test_the_budget_binds_over_settings_and_fleets(site: str, nodes: int) -> None:
    """After a lull all nodes have more to send than the server takes, and it rejects all of it."""
    cluster = Cluster(SITES[site], nodes, Offer())
    cluster.play()
    cluster.check()


OFFERS = {
    "from the start": Offer(begins=0.0),
    "late": Offer(begins=0.8),
    "noisy work": Offer(spread=1.0),
    "one to four slots": Offer(slots=(1.0, 1.0, 1.0, 4.0)),
    "eight slots among small": Offer(slots=(0.1,) * 9 + (8.0,)),
    "no slots": Offer(slots=(0.0, 0.0, 0.0, 1.0)),
    "keyed": Offer("keyed", keyed=True),
    "bound": Offer("unsafe", bound=True),
    "reserved": Offer(bound=True, reserved=True),
    "run": Offer(rejects=False),
}


@pytest.mark.parametrize("nodes", FLEETS)
@pytest.mark.parametrize("offered", OFFERS)
def test_the_budget_binds_on_every_path(offered: str, nodes: int) -> None:
    """Whatever jobs are like and however they are sent."""
    for name in ("2 calls", "28 calls"):
        cluster = Cluster(SITES[name], nodes, OFFERS[offered])
        cluster.play()
        cluster.check()


def restart_some(cluster: Cluster, now: int) -> None:
    """Start a tenth of the nodes anew, one at the least: they know neither jobs nor what was sent."""
    number = now // cluster.site.safety.overload_for_us
    for me in range(number % 10, len(cluster.nodes), 10) or (0,):
        cluster.nodes[me] = cluster.fresh(me, now)


def restart_all(cluster: Cluster, now: int) -> None:
    """Start all nodes anew."""
    cluster.nodes = [cluster.fresh(me, now) for me in range(len(cluster.nodes))]


def halve(cluster: Cluster, now: int) -> None:
    """Stop each second node; the others are numbered anew."""
    cluster.nodes = cluster.nodes[::2]
    recount(cluster, now)


def double(cluster: Cluster, now: int) -> None:
    """Start as many nodes again, that took over what others had learned."""
    count = len(cluster.nodes)
    if count < 100:
        cluster.nodes += [cluster.fresh(count + me, now, known=True) for me in range(count)]
        recount(cluster, now)


def recount(cluster: Cluster, now: int) -> None:
    """Tell all nodes how many they are."""
    for me, node in enumerate(cluster.nodes):
        node.handle(now, [BalancerCountChanged(len(cluster.nodes), me)])


@pytest.mark.parametrize("nodes", FLEETS)
@pytest.mark.parametrize("change", [restart_some, restart_all, halve, double])
def test_the_budget_binds_while_nodes_come_and_go(change: Callable[[Cluster, int], None], nodes: int) -> None:
    """Processes start anew in the middle of the slow start, and their number changes."""
    for name, offer in (("2 calls", Offer(begins=0.0)), ("28 calls", Offer(slots=(1.0, 1.0, 4.0)))):
        cluster = Cluster(SITES[name], nodes, offer)
        cluster.play(change)
        assert cluster.server.over <= 0, f"{name}: {cluster.server.over:.1f} calls too many"


@pytest.mark.parametrize("nodes", FLEETS)
@pytest.mark.parametrize(("warm", "spread"), [(False, 0.0), (False, 0.5), (True, 0.0), (True, 1.0)])
def test_the_budget_binds_while_run_times_are_learned(warm: bool, spread: float, nodes: int) -> None:
    """Nodes that have just started take a job to be a tenth of what it is; warm servers show what it is."""
    site = Site(4.0, 1 * SECOND, COLD)
    cluster = Cluster(site, nodes, Offer(begins=0.0, spread=spread))
    if warm:
        cluster.entries += [
            EndpointEntry(f"v{number}", "a", "k1", 0, "up") for number in range(min(nodes, 20))
        ]
    cluster.nodes = [cluster.fresh(me, 1) for me in range(nodes)]
    for node in cluster.nodes:
        capacity = node.parts.endpoints.kinds["k1"].capacity
        capacity.slots, capacity.slots_are_reported = site.slots, True
        assert node.parts.run_times.classes["safe"].run_time_us == site.run_us / 10
    cluster.play()
    cluster.check()


@pytest.mark.parametrize("nodes", FLEETS)
def test_the_budget_binds_where_each_node_knows_run_times_and_slots_badly(nodes: int) -> None:
    """Each has other estimates, that are right in the mean."""
    for name, site in SITES.items():
        cluster = Cluster(site, nodes, Offer(spread=1.0))
        for node in cluster.nodes:
            factor = math.exp(cluster.rng.gauss(0, 0.3))
            node.parts.offered.mean_work_us *= factor
            for cls in node.parts.run_times.classes.values():
                cls.run_time_us *= factor
            node.parts.endpoints.kinds["k1"].capacity.slots *= cluster.rng.uniform(0.8, 1.2)
        cluster.play()
        assert cluster.server.over <= 0, f"{name}: {cluster.server.over:.1f} calls too many"


def another_kind_tells(node: Balancer) -> None:
    """Have a machine of another kind report sixteen slots."""
    node.parts.capacity.learn_from_report(node.parts.endpoints.by_name["v"], 16.0, 0.0)
    assert node.parts.endpoints.kinds["k1"].capacity.slots == 16


def cold_one_tells(node: Balancer) -> None:
    """Have the server in slow start report one free slot after that."""
    another_kind_tells(node)
    node.parts.capacity.learn_from_report(node.parts.endpoints.by_name["w"], 1.0, None)


def starts_tell(node: Balancer) -> None:
    """Have prompt starts alone tell the slots: what runs here is scaled by the count of nodes."""
    for number in range(0, -20, -2):
        for job in (number, number - 1):
            node.handle(1, [RequestReceived(job, "safe", 5 * SECOND, only=("u",)), ExecutionStarted(job, 0)])
        for job in (number, number - 1):
            node.handle(1, [AttemptEnded(job, 0, Outcome.OK, 300_000, True, None, "u")])


def refusals_tell(node: Balancer) -> None:
    """Have a refusal alone tell the slots: nineteen of the server's twenty jobs wait in its queue."""
    node.handle(1, [RequestReceived(-1, "safe", 5 * SECOND, only=("u",))])
    node.parts.endpoints.by_name["u"].in_flight.in_flight_slots += 19.0
    node.handle(1, [AttemptEnded(-1, 0, Outcome.FULL, 1000, False, None, "u")])


@pytest.mark.parametrize("nodes", FLEETS)
@pytest.mark.parametrize("tell", [another_kind_tells, cold_one_tells, starts_tell, refusals_tell])
def test_the_budget_binds_while_slots_are_not_known(tell: Callable[[Balancer], None], nodes: int) -> None:
    """A kind that was never tried is not as large as another, nor as what scaled guesses say."""
    site = Site(1.0, 300_000, slow_start(0.3, 6, 2.0, 1))
    others = [EndpointEntry("v", "a", "k2", 0, "up"), EndpointEntry("u", "a", "k1", 0, "up")]
    cluster = Cluster(site, nodes, Offer(begins=0.0))
    for node in cluster.nodes:
        capacity = node.parts.endpoints.kinds["k1"].capacity
        capacity.slots, capacity.slots_are_reported = 1.0, False
        node.handle(1, [EndpointsChanged("changes", others)])
        tell(node)
        assert node.parts.endpoints.kinds["k1"].capacity.slots > 1
        node.handle(1, [EndpointsChanged("all", cluster.entries)])
    cluster.play()
    cluster.check()


@pytest.mark.parametrize("nodes", FLEETS)
def test_the_budget_binds_at_a_server_put_back_from_maintenance(nodes: int) -> None:
    """It was restarted meanwhile; the nodes hear of its return over one second."""
    for name in ("2 calls", "28 calls", "119 calls"):
        cluster = Cluster(SITES[name], nodes, Offer(begins=0.0))
        for number, node in enumerate(cluster.nodes):
            node.handle(2, [EndpointsChanged("all", [EndpointEntry("w", "a", "k1")])])
            node.parts.endpoints.by_name["w"].ready_at_us = 0
            node.handle(3, [MaintenanceChanged("w", True)])
            cluster.tell(
                4 + SECOND * number // nodes,
                node,
                cluster.offer.job(0, cluster.rng),
                MaintenanceChanged("w", False),
            )
        cluster.play()
        cluster.check()


@pytest.mark.parametrize("nodes", FLEETS)
def test_the_budget_binds_for_second_copies(nodes: int) -> None:
    """First attempts wait at a server that starts none of them; copies go to the one in slow start."""
    for name in ("2 calls", "28 calls", "119 calls"):
        site = SITES[name]
        cluster = Cluster(site, nodes, Offer(begins=0.3))
        full = EndpointEntry("v", "a", "k1", 0, "up", 1.0, 0)
        for node in cluster.nodes:
            node.handle(2, [EndpointsChanged("changes", [full])])
        cluster.play(copies)
        assert cluster.server.over <= 0, f"{name}: {cluster.server.over:.1f} calls too many"


def copies(cluster: Cluster, now: int) -> None:
    """Look at all that waits, at all nodes."""
    for node in cluster.nodes:
        for action in node.handle(now, [TimerFired("watch")]):
            if isinstance(action, Dispatch) and action.endpoint == "w":
                cluster.place(now, node, RequestReceived(action.id, "safe", 1), action)


@pytest.mark.parametrize("nodes", FLEETS)
def test_the_budget_binds_where_probes_go_first(nodes: int) -> None:
    """Each node has many probes out when the answers come."""
    for name in ("2 calls", "28 calls", "119 calls"):
        cluster = Cluster(SITES[name], nodes, Offer(), asks_first=True, probe_price=0.0)
        cluster.play()
        cluster.check()


def test_a_process_that_starts_anew_does_not_use_the_turn_that_its_former_self_has_used() -> None:
    """Its first turn is after its start, also while it knows neither jobs nor slots."""
    cluster = Cluster(SITES["28 calls"], 6, Offer())
    step = COLD.overload_for_us // 20
    for me in range(6):
        former = cluster.fresh(me, 1)
        used = next(
            now
            for now in range(step, COLD.cold_us, step)
            if former.parts.slow_start.may_admit(at(former, now))
        )
        assert not (anew := cluster.fresh(me, used + 1)).parts.slow_start.may_admit(at(anew, used + 1))


def at(node: Balancer, now: int) -> Endpoint:
    """Let the time be as told, at one node; return the server in slow start."""
    node.parts.context.now_us = now
    return node.parts.endpoints.by_name["w"]
