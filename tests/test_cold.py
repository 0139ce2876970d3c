"""All nodes together stay within the budget of a server in slow start.

The budget is what a server takes while it warms up without being overloaded. It may be exceeded by no more
than random variation explains. It is exceeded if nodes send at the same time or more than their share.
"""

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

SECOND_US, STEP_US = 1_000_000, 50_000
SLOTS, RUN_US = 4.0, 270_000
SLOW_START = SafetyMargins(
    drain_grace_us=500_000,
    cold_from=0.31,
    cold_us=9 * SECOND_US,
    tip_multiple=3.0,
    overload_for_us=2 * SECOND_US,
    must_ask_in_us=10 * SECOND_US,
)


class SlowStartFleet:
    """Nodes that know the run time of requests and the slots, and one server that has just started."""

    def __init__(self, nodes: int) -> None:
        self.node_settings = settings(balancers=nodes, kinds=["k1"], safety=SLOW_START)
        self.nodes = [self.start_node(me, 0) for me in range(nodes)]
        self.dispatched_at_us = deque[int]()
        self.request_count = self.max_dispatches = 0
        self.max_excess = -math.inf  # requests beyond what random variation explains

    def start_node(self, me: int, now_us: int) -> Balancer:
        """Return a node that has just started and does not know what its predecessor sent."""
        node = Balancer(self.node_settings, me, now_us)
        node.parts.offered.mean_work_us = RUN_US
        for class_state in node.parts.run_times.classes.values():
            class_state.run_time_us, class_state.completed = RUN_US, 100
        capacity = node.parts.endpoints.kinds["k1"].capacity
        capacity.slots, capacity.slots_are_reported = SLOTS, True
        node.handle(now_us, [BalancerCountChanged(self.node_settings.balancers, me)])
        node.handle(
            now_us, [EndpointsChanged("remembered", [EndpointEntry("w", "a", "k1", 0, "up", 1.0, 1)])]
        )
        return node

    def offer_request(self, now_us: int, node: Balancer) -> None:
        """Offer a request; its attempt ends at once, so that only the budget holds back the next one."""
        self.request_count += 1
        actions = node.handle(now_us, [RequestReceived(self.request_count, "safe", 5 * SECOND_US)])
        if any(isinstance(action, Dispatch) for action in actions):
            self.dispatched_at_us.append(now_us)
            node.handle(now_us, [AttemptEnded(self.request_count, 0, Outcome.FULL, RUN_US, False, None, "w")])
            node.parts.load.observe_peers(node.parts.endpoints.by_name["w"], 0.0)
        while self.dispatched_at_us and self.dispatched_at_us[0] <= now_us - SLOW_START.overload_for_us:
            self.dispatched_at_us.popleft()
        capacity = SLOW_START.cold_from + (1 - SLOW_START.cold_from) * min(now_us / SLOW_START.cold_us, 1)
        budget = SLOW_START.tip_multiple * SLOTS * capacity * SLOW_START.overload_for_us / RUN_US
        self.max_dispatches = max(self.max_dispatches, len(self.dispatched_at_us))
        self.max_excess = max(
            self.max_excess, len(self.dispatched_at_us) - budget - 2 * math.sqrt(budget) - 2
        )


def steady_load(at_us: int, me: int) -> int:
    """Offer one request at each step."""
    return 1


def load_after_3_s(at_us: int, me: int) -> int:
    """Offer nothing for three seconds, then more than is admitted."""
    return 3 * (at_us >= 3 * SECOND_US)


def load_after_6_s(at_us: int, me: int) -> int:
    """Offer nothing for six seconds, then more than is admitted."""
    return 3 * (at_us >= 6 * SECOND_US)


def uneven_load(at_us: int, me: int) -> int:
    """Offer much at every fifth node and hardly anything at the others."""
    return 4 if me % 5 == 0 else at_us // STEP_US % 40 == 0


@pytest.mark.parametrize("nodes", [1, 2, 20, 30, 200])
@pytest.mark.parametrize("demand", [steady_load, load_after_3_s, load_after_6_s, uneven_load])
@pytest.mark.parametrize("restarts", [False, True])
def test_dispatches_of_all_nodes_stay_within_the_budget(nodes: int, demand: object, restarts: bool) -> None:
    """The budget holds in every span of the overload rule, from the server's start until it is warm.

    With ``restarts`` a tenth of the nodes restart every half second.
    """
    fleet, rng = SlowStartFleet(nodes), Random(7)
    for at_us in range(STEP_US, SLOW_START.cold_us, STEP_US):
        if restarts and at_us % (SECOND_US // 2) == 0:
            for me in range(at_us // (SECOND_US // 2) % 10, nodes, 10):
                fleet.nodes[me] = fleet.start_node(me, at_us)
        for me in rng.sample(range(nodes), nodes):
            for _ in range(demand(at_us, me)):  # type: ignore[operator]
                fleet.offer_request(at_us, fleet.nodes[me])
    assert fleet.max_excess <= 0, f"{fleet.max_dispatches} requests within two seconds"
    assert fleet.max_dispatches >= 4  # The budget must also be used.


@pytest.mark.parametrize("ready_at_us", [1, 1_000, 1_700_000_000 * SECOND_US])
def test_admission_to_an_endpoint_that_started_long_ago_is_computed_at_once(ready_at_us: int) -> None:
    """The next turn must be computed directly: counting all turns since the start once blocked a node."""
    now_us = 1_790_000_000 * SECOND_US
    balancer = Balancer(settings(balancers=200, kinds=["k1"], safety=SLOW_START), 1, now_us)
    balancer.handle(
        now_us, [EndpointsChanged("all", [EndpointEntry("w", "a", "k1", 0, "up", 1.0, ready_at_us)])]
    )
    balancer.parts.endpoints.by_name["w"].slow_start.next_admission_at_us = 0
    assert balancer.parts.slow_start.may_admit(balancer.parts.endpoints.by_name["w"]) in (True, False)
    actions = balancer.handle(now_us, [RequestReceived(1, "safe", SECOND_US)])
    assert any(isinstance(action, Dispatch) for action in actions)


# The budget over a range of settings, fleet sizes and kinds of requests.


@dataclass(frozen=True)
class SlowStartCase:
    """Settings of a tier with one server in slow start, and the true slots and run time."""

    slots: float
    run_us: int
    safety: SafetyMargins

    def allowed_requests(self, at_us: int) -> float:
        """Return how many requests of mean work the settings allow in a span that ends at ``at_us``."""
        safety = self.safety
        capacity = safety.cold_from + (1 - safety.cold_from) * min(at_us / safety.cold_us, 1)
        return safety.tip_multiple * capacity * self.slots * safety.overload_for_us / self.run_us


def slow_start_margins(cold_from: float, cold_s: float, multiple: float, span_s: float) -> SafetyMargins:
    """Return the margins of a slow start of so many seconds."""
    return SafetyMargins(
        cold_from=cold_from,
        cold_us=int(cold_s * SECOND_US),
        tip_multiple=multiple,
        overload_for_us=int(span_s * SECOND_US),
        must_ask_in_us=10 * SECOND_US,
    )


CASES = {
    "2 requests": SlowStartCase(1.0, 300_000, slow_start_margins(0.3, 6, 2.0, 1)),
    "11 requests": SlowStartCase(4.0, 500_000, slow_start_margins(0.15, 15, 3.0, 3)),
    "28 requests": SlowStartCase(4.0, 270_000, SLOW_START),
    "119 requests": SlowStartCase(16.0, 300_000, slow_start_margins(0.31, 8, 2.4, 3)),
}
NODE_COUNTS = [1, 2, 3, 5, 10, 20, 30, 60, 200]
# The share of the allowed requests that must be sent, so that no test passes by sending nothing.
MIN_USED_SHARE = 0.2
MAX_NODES_PER_STEP = 70  # maximum number of nodes that get a request at one step
MIN_STEPS_PER_SPAN = 8  # minimum number of steps in a span; a node sends at most one request at each step


def overload_limit(allowed_requests: float) -> float:
    """Return how many requests of mean work a server takes within a span without being overloaded.

    The formula is that of the users.
    """
    return (
        allowed_requests + 3 * math.sqrt(allowed_requests) + 3
        if allowed_requests < 30
        else allowed_requests + 2 * math.sqrt(allowed_requests) + 2
    )


class CountingServer:
    """A server in slow start that counts all attempts that arrive, whatever their outcome."""

    def __init__(self, case: SlowStartCase, mean_us: float) -> None:
        self.case, self.mean_us = case, mean_us
        self.arrivals = deque[tuple[int, float]]()
        self.dispatches = 0
        self.max_excess = -math.inf  # requests, or work in mean requests, beyond the overload limit

    def count_dispatch(self, now_us: int, work_us: float) -> None:
        """Count an attempt that arrives."""
        self.dispatches += 1
        self.arrivals.append((now_us, work_us / self.mean_us))
        while self.arrivals[0][0] <= now_us - self.case.safety.overload_for_us:
            self.arrivals.popleft()
        arrived_in_span = max(len(self.arrivals), sum(work for _, work in self.arrivals))
        self.max_excess = max(
            self.max_excess, arrived_in_span - overload_limit(self.case.allowed_requests(now_us))
        )


@dataclass
class Offer:
    """The requests that clients offer. The ``repr`` of this class seeds the random numbers of ``Cluster``."""

    job_class: str = "safe"
    slots: tuple[float, ...] = (1.0,)
    spread: float = 0.0  # standard deviation of the logarithm of the true work
    keyed: bool = False
    bound: bool = False
    reserved: bool = False
    begins: float = 0.5  # when the burst begins, as a share of the slow start
    rejects: bool = True  # whether the server rejects each request or runs it

    def request(self, number: int, rng: Random) -> RequestReceived:
        """Return the next request."""
        return RequestReceived(
            number,
            self.job_class,
            5 * SECOND_US,
            slots=rng.choice(self.slots),
            key=f"key {number % 7}" if self.keyed else "",
            only=("w",) if self.bound else (),
            reserved=self.reserved,
        )

    @property
    def mean_slots(self) -> float:
        """The slots of the mean request."""
        return sum(self.slots) / len(self.slots)


class Cluster:
    """Nodes that share one server in slow start and are offered more requests than it takes."""

    def __init__(self, case: SlowStartCase, nodes: int, offer: Offer, **changes: object) -> None:
        self.case, self.offer = case, offer
        self.node_settings = settings(
            **{"balancers": nodes, "kinds": ["k1", "k2"], "safety": case.safety, **changes}
        )
        self.rng = Random(f"{nodes} {offer}")
        self.server = CountingServer(case, case.run_us * offer.mean_slots)
        self.entries = [EndpointEntry("w", "a", "k1", 0, "up", 1.0, 1)]
        self.nodes = [self.start_node(me, 1, knows_requests=True) for me in range(nodes)]
        self.request_count = 0
        self.event_count = 0
        self.pending_events: list[tuple[int, int, Balancer, RequestReceived, Event]] = []

    def start_node(self, me: int, now_us: int, knows_requests: bool = False) -> Balancer:
        """Return a node that has just started; ``knows_requests``: it knows slots and run times."""
        node = Balancer(self.node_settings, me, now_us)
        if knows_requests:
            offered = node.parts.offered
            offered.mean_work_us, offered.offered_requests = self.case.run_us * self.offer.mean_slots, 1000
            for class_state in node.parts.run_times.classes.values():
                class_state.run_time_us, class_state.completed = self.case.run_us, 100
            capacity = node.parts.endpoints.kinds["k1"].capacity
            capacity.slots, capacity.slots_are_reported = self.case.slots, True
        node.handle(now_us, [BalancerCountChanged(self.node_settings.balancers, me)])
        node.handle(now_us, [EndpointsChanged("remembered", self.entries)])
        if self.offer.reserved:
            node.handle(now_us, [SlotsReserved("w", 1000.0, self.case.slots)])
        return node

    def run(self, *changes: Callable[[Cluster, int], None]) -> None:
        """Offer requests from the burst to the end of the slow start; call ``changes`` once in each span."""
        safety = self.case.safety
        steps_per_span = max(
            MIN_STEPS_PER_SPAN, math.ceil(4 * self.case.allowed_requests(safety.cold_us) / len(self.nodes))
        )
        step_us = safety.overload_for_us // steps_per_span
        for step_number, now_us in enumerate(range(step_us, safety.cold_us, step_us)):
            self.deliver_until(now_us)
            for change in changes if step_number % steps_per_span == steps_per_span - 1 else ():
                change(self, now_us)
            if now_us < self.offer.begins * safety.cold_us:
                continue
            for node in self.rng.sample(self.nodes, min(len(self.nodes), MAX_NODES_PER_STEP)):
                self.offer_request(now_us, node)

    def offer_request(self, now_us: int, node: Balancer) -> None:
        """Offer a request to a node."""
        self.request_count += 1
        request = self.offer.request(self.request_count, self.rng)
        self.apply_actions(now_us, node, request, node.handle(now_us, [request]))

    def apply_actions(
        self, now_us: int, node: Balancer, request: RequestReceived, actions: list[Action]
    ) -> None:
        """Carry out the actions that a node has decided on for a request."""
        for action in actions:
            if isinstance(action, Dispatch):
                self.start_attempt(now_us, node, request, action)
            elif isinstance(action, CheckHealth):
                answer = HealthCheckEnded(action.endpoint, Outcome.OK, 1000, [0.0, self.case.slots])
                self.schedule_event(now_us + 1000, node, request, answer)

    def start_attempt(self, now_us: int, node: Balancer, request: RequestReceived, action: Dispatch) -> None:
        """Let the server count the attempt, and reject or run it."""
        run_us = self.case.run_us * math.exp(self.rng.gauss(-(self.offer.spread**2) / 2, self.offer.spread))
        if action.endpoint == "w":
            self.server.count_dispatch(now_us, run_us * request.slots)
        number = len(node.parts.requests.by_id[request.id].attempts) - 1
        if action.endpoint == "w" and self.offer.rejects:
            full = AttemptEnded(request.id, number, Outcome.FULL, 1000, False, None, action.endpoint)
            self.schedule_event(now_us + 1000, node, request, full)
            return
        ended = AttemptEnded(request.id, number, Outcome.OK, int(run_us), True, None, action.endpoint)
        self.schedule_event(now_us + int(run_us), node, request, ended)

    def schedule_event(self, at_us: int, node: Balancer, request: RequestReceived, event: Event) -> None:
        """Schedule the delivery of an event to a node."""
        self.event_count += 1
        heapq.heappush(self.pending_events, (at_us, self.event_count, node, request, event))

    def deliver_until(self, now_us: int) -> None:
        """Deliver the events up to ``now_us``; the server always looks empty to the nodes."""
        while self.pending_events and self.pending_events[0][0] <= now_us:
            at_us, _, node, request, event = heapq.heappop(self.pending_events)
            self.apply_actions(at_us, node, request, node.handle(at_us, [event]))
            if "w" in node.parts.endpoints.by_name:
                node.parts.load.observe_peers(node.parts.endpoints.by_name["w"], 0.0)

    def check_budget(self) -> None:
        """Require that the budget was kept, and that it was used."""
        assert self.server.max_excess <= 0, f"{self.server.max_excess:.1f} requests too many"
        safety = self.case.safety
        spans = (1 - self.offer.begins) * safety.cold_us / safety.overload_for_us
        assert (
            self.server.dispatches
            >= spans * self.case.allowed_requests(int(self.offer.begins * safety.cold_us)) * MIN_USED_SHARE
        )


@pytest.mark.parametrize("nodes", NODE_COUNTS)
@pytest.mark.parametrize("case", CASES)
def test_budget_is_kept_over_settings_and_fleet_sizes(case: str, nodes: int) -> None:
    """After a pause all nodes have more to send than the server takes, and it rejects all of it."""
    cluster = Cluster(CASES[case], nodes, Offer())
    cluster.run()
    cluster.check_budget()


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


@pytest.mark.parametrize("nodes", NODE_COUNTS)
@pytest.mark.parametrize("demand", OFFERS)
def test_budget_is_kept_for_every_kind_of_request(demand: str, nodes: int) -> None:
    """The budget holds for requests of any size, and for keyed, bound and reserved requests."""
    for name in ("2 requests", "28 requests"):
        cluster = Cluster(CASES[name], nodes, OFFERS[demand])
        cluster.run()
        cluster.check_budget()


def restart_a_tenth(cluster: Cluster, now_us: int) -> None:
    """Restart a tenth of the nodes, at least one; they know neither run times nor what was sent."""
    number = now_us // cluster.case.safety.overload_for_us
    for me in range(number % 10, len(cluster.nodes), 10) or (0,):
        cluster.nodes[me] = cluster.start_node(me, now_us)


def restart_all_nodes(cluster: Cluster, now_us: int) -> None:
    """Restart all nodes."""
    cluster.nodes = [cluster.start_node(me, now_us) for me in range(len(cluster.nodes))]


def halve_nodes(cluster: Cluster, now_us: int) -> None:
    """Stop every second node and number the others anew."""
    cluster.nodes = cluster.nodes[::2]
    announce_node_count(cluster, now_us)


def double_nodes(cluster: Cluster, now_us: int) -> None:
    """Double the number of nodes; the new ones know what the others have learned."""
    count = len(cluster.nodes)
    if count < 100:
        cluster.nodes += [cluster.start_node(count + me, now_us, knows_requests=True) for me in range(count)]
        announce_node_count(cluster, now_us)


def announce_node_count(cluster: Cluster, now_us: int) -> None:
    """Tell each node its number and the number of nodes."""
    for me, node in enumerate(cluster.nodes):
        node.handle(now_us, [BalancerCountChanged(len(cluster.nodes), me)])


@pytest.mark.parametrize("nodes", NODE_COUNTS)
@pytest.mark.parametrize("change", [restart_a_tenth, restart_all_nodes, halve_nodes, double_nodes])
def test_budget_is_kept_while_nodes_restart_and_change_in_number(
    change: Callable[[Cluster, int], None], nodes: int
) -> None:
    """Nodes restart during the slow start and forget what was sent, or their number changes."""
    for name, offer in (("2 requests", Offer(begins=0.0)), ("28 requests", Offer(slots=(1.0, 1.0, 4.0)))):
        cluster = Cluster(CASES[name], nodes, offer)
        cluster.run(change)
        assert cluster.server.max_excess <= 0, f"{name}: {cluster.server.max_excess:.1f} requests too many"


@pytest.mark.parametrize("nodes", NODE_COUNTS)
@pytest.mark.parametrize(("warm", "spread"), [(False, 0.0), (False, 0.5), (True, 0.0), (True, 1.0)])
def test_budget_is_kept_while_run_times_are_learned(warm: bool, spread: float, nodes: int) -> None:
    """Nodes that have just started estimate a tenth of the true run time, until warm servers show it."""
    case = SlowStartCase(4.0, 1 * SECOND_US, SLOW_START)
    cluster = Cluster(case, nodes, Offer(begins=0.0, spread=spread))
    if warm:
        cluster.entries += [
            EndpointEntry(f"v{number}", "a", "k1", 0, "up") for number in range(min(nodes, 20))
        ]
    cluster.nodes = [cluster.start_node(me, 1) for me in range(nodes)]
    for node in cluster.nodes:
        capacity = node.parts.endpoints.kinds["k1"].capacity
        capacity.slots, capacity.slots_are_reported = case.slots, True
        assert node.parts.run_times.classes["safe"].run_time_us == case.run_us / 10
    cluster.run()
    cluster.check_budget()


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_budget_is_kept_with_inexact_run_times_and_slots(nodes: int) -> None:
    """The estimates differ between nodes and are right only in the mean."""
    for name, case in CASES.items():
        cluster = Cluster(case, nodes, Offer(spread=1.0))
        for node in cluster.nodes:
            factor = math.exp(cluster.rng.gauss(0, 0.3))
            node.parts.offered.mean_work_us *= factor
            for class_state in node.parts.run_times.classes.values():
                class_state.run_time_us *= factor
            node.parts.endpoints.kinds["k1"].capacity.slots *= cluster.rng.uniform(0.8, 1.2)
        cluster.run()
        assert cluster.server.max_excess <= 0, f"{name}: {cluster.server.max_excess:.1f} requests too many"


def report_from_another_kind(node: Balancer) -> None:
    """Report sixteen slots from an endpoint of another kind."""
    node.parts.capacity.learn_from_report(node.parts.endpoints.by_name["v"], 16.0, 0.0)
    assert node.parts.endpoints.kinds["k1"].capacity.slots == 16


def report_from_the_warming_endpoint(node: Balancer) -> None:
    """Report sixteen slots from another kind, then one free slot from the server in slow start."""
    report_from_another_kind(node)
    node.parts.capacity.learn_from_report(node.parts.endpoints.by_name["w"], 1.0, None)


def prompt_starts(node: Balancer) -> None:
    """Show slots by prompt starts only, so that our running slots times the number of nodes count."""
    for number in range(0, -20, -2):
        for request_id in (number, number - 1):
            node.handle(
                1,
                [
                    RequestReceived(request_id, "safe", 5 * SECOND_US, only=("u",)),
                    ExecutionStarted(request_id, 0),
                ],
            )
        for request_id in (number, number - 1):
            node.handle(1, [AttemptEnded(request_id, 0, Outcome.OK, 300_000, True, None, "u")])


def rejection_by_a_full_endpoint(node: Balancer) -> None:
    """Show slots by a rejection only, from an endpoint where nineteen of twenty requests are queued."""
    node.handle(1, [RequestReceived(-1, "safe", 5 * SECOND_US, only=("u",))])
    node.parts.endpoints.by_name["u"].in_flight.in_flight_slots += 19.0
    node.handle(1, [AttemptEnded(-1, 0, Outcome.FULL, 1000, False, None, "u")])


@pytest.mark.parametrize("nodes", NODE_COUNTS)
@pytest.mark.parametrize(
    "learn_slots",
    [report_from_another_kind, report_from_the_warming_endpoint, prompt_starts, rejection_by_a_full_endpoint],
)
def test_budget_is_kept_while_slots_are_not_known(
    learn_slots: Callable[[Balancer], None], nodes: int
) -> None:
    """The budget must not rest on the slots of another kind or on guesses scaled by the number of nodes."""
    case = SlowStartCase(1.0, 300_000, slow_start_margins(0.3, 6, 2.0, 1))
    others = [EndpointEntry("v", "a", "k2", 0, "up"), EndpointEntry("u", "a", "k1", 0, "up")]
    cluster = Cluster(case, nodes, Offer(begins=0.0))
    for node in cluster.nodes:
        capacity = node.parts.endpoints.kinds["k1"].capacity
        capacity.slots, capacity.slots_are_reported = 1.0, False
        node.handle(1, [EndpointsChanged("changes", others)])
        learn_slots(node)
        assert node.parts.endpoints.kinds["k1"].capacity.slots > 1
        node.handle(1, [EndpointsChanged("all", cluster.entries)])
    cluster.run()
    cluster.check_budget()


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_budget_is_kept_at_a_server_put_back_from_maintenance(nodes: int) -> None:
    """The server was restarted during maintenance; the nodes learn of its return over one second."""
    for name in ("2 requests", "28 requests", "119 requests"):
        cluster = Cluster(CASES[name], nodes, Offer(begins=0.0))
        for number, node in enumerate(cluster.nodes):
            node.handle(2, [EndpointsChanged("all", [EndpointEntry("w", "a", "k1")])])
            node.parts.endpoints.by_name["w"].ready_at_us = 0
            node.handle(3, [MaintenanceChanged("w", True)])
            cluster.schedule_event(
                4 + SECOND_US * number // nodes,
                node,
                cluster.offer.request(0, cluster.rng),
                MaintenanceChanged("w", False),
            )
        cluster.run()
        cluster.check_budget()


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_budget_is_kept_for_hedges(nodes: int) -> None:
    """First attempts wait at a server that starts none of them; hedges go to the one in slow start."""
    for name in ("2 requests", "28 requests", "119 requests"):
        case = CASES[name]
        cluster = Cluster(case, nodes, Offer(begins=0.3))
        full = EndpointEntry("v", "a", "k1", 0, "up", 1.0, 0)
        for node in cluster.nodes:
            node.handle(2, [EndpointsChanged("changes", [full])])
        cluster.run(hedge_due_requests)
        assert cluster.server.max_excess <= 0, f"{name}: {cluster.server.max_excess:.1f} requests too many"


def hedge_due_requests(cluster: Cluster, now_us: int) -> None:
    """Fire the timer that checks waiting attempts at all nodes, and start the hedges."""
    for node in cluster.nodes:
        for action in node.handle(now_us, [TimerFired("watch")]):
            if isinstance(action, Dispatch) and action.endpoint == "w":
                cluster.start_attempt(now_us, node, RequestReceived(action.id, "safe", 1), action)


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_budget_is_kept_where_requests_wait_for_health_checks(nodes: int) -> None:
    """Each node has sent many health checks before the first answers arrive."""
    for name in ("2 requests", "28 requests", "119 requests"):
        cluster = Cluster(CASES[name], nodes, Offer(), asks_first=True, probe_price=0.0)
        cluster.run()
        cluster.check_budget()


def test_restarted_process_does_not_use_a_turn_that_its_predecessor_used() -> None:
    """The first turn of a restarted process is after its start, even before it knows requests or slots."""
    cluster = Cluster(CASES["28 requests"], 6, Offer())
    step_us = SLOW_START.overload_for_us // 20
    for me in range(6):
        predecessor = cluster.start_node(me, 1)
        used_at_us = next(
            now_us
            for now_us in range(step_us, SLOW_START.cold_us, step_us)
            if predecessor.parts.slow_start.may_admit(endpoint_at(predecessor, now_us))
        )
        assert not (restarted := cluster.start_node(me, used_at_us + 1)).parts.slow_start.may_admit(
            endpoint_at(restarted, used_at_us + 1)
        )


def endpoint_at(node: Balancer, now_us: int) -> Endpoint:
    """Set the time of a node; return the server in slow start."""
    node.parts.context.now_us = now_us
    return node.parts.endpoints.by_name["w"]
