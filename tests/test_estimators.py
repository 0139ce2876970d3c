"""Each estimator on its own, and the share that the admission threshold admits when N requests wait."""

from __future__ import annotations

import pytest

from merlinbay.decision import Balancer, threshold
from merlinbay.decision.actions import Action, Reject, SetTimer, WatchEndpoints
from merlinbay.decision.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointsChanged,
    ExecutionStarted,
    HealthCheckEnded,
    RequestReceived,
    TimerFired,
)
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.request_state import RequestClassState, TrackedRequest
from merlinbay.decision.settings import DispatchLimits, RequestClass
from tests.support import entry, request_of, settings


def new_balancer(endpoints: int = 4, **changes: object) -> Balancer:
    """Return a balancer with a list of ``endpoints`` endpoints."""
    balancer = Balancer(settings(**changes), 1, 1_000_000)
    balancer.handle(1_000_000, [EndpointsChanged("all", [entry(n) for n in range(endpoints)])])
    return balancer


def unoffered_request(balancer: Balancer, job_class: str, worth: float | None = None) -> TrackedRequest:
    """Return a request of a class that was not offered to the balancer."""
    state = balancer.parts.run_times.classes[job_class]
    weight = state.spec.worth if worth is None else worth
    return request_of(balancer, job_class, priority_weight=weight, deadline_at_us=10**9)


def test_offered_rate_counts_rejected_requests() -> None:
    """100 requests a second that are all rejected for lack of endpoints are measured as 100 a second."""
    balancer = new_balancer(0)
    for number in range(1000):
        actions = balancer.handle(1_000_000 + number * 10_000, [RequestReceived(number, "safe", 10**6)])
        assert any(isinstance(action, Reject) for action in actions)
    assert balancer.parts.offered.arrival_rate.per_us * 1e6 == pytest.approx(100, rel=0.05)


def test_run_time_excludes_the_wait_before_a_reported_start() -> None:
    """If the start of a request is reported, its run time counts from there and not from the dispatch."""
    balancer = new_balancer()
    balancer.handle(2_000_000, [RequestReceived(1, "safe", 10**7)])
    balancer.handle(5_000_000, [ExecutionStarted(1, 0)])
    balancer.handle(5_300_000, [AttemptEnded(1, 0, 1, 3_300_000, True, None, "w0")])
    assert balancer.parts.run_times.classes["safe"].run_time_us == pytest.approx(300_000)


def test_slots_come_from_reports_else_from_running_requests_else_from_rejections() -> None:
    """Without reports there are at least as many slots as requests running.

    Without starts either, the slots are what a rejecting endpoint holds less its queued share.
    """
    balancer = new_balancer()
    balancer.handle(2_000_000, [HealthCheckEnded("w0", 1, 9, [0, 6.1])])
    assert (
        balancer.parts.endpoints.by_name["w0"].kind.capacity.slots == 6
        and balancer.parts.endpoints.by_name["w0"].kind.capacity.slots_are_reported
    )
    balancer = new_balancer(1, balancers=1, report_fields=[])
    for number in range(4):
        balancer.handle(2_000_000, [RequestReceived(number, "unsafe", 10**7)])
        balancer.handle(2_000_001, [ExecutionStarted(number, 0)])
    assert (
        balancer.parts.endpoints.by_name["w0"].kind.capacity.slots
        >= balancer.parts.endpoints.by_name["w0"].in_flight.running_slots
        == balancer.parts.endpoints.by_name["w0"].kind.capacity.most_running_slots
        > 1
    )
    balancer = new_balancer(1, balancers=1, report_fields=[], tells_start=False)
    endpoint = balancer.parts.endpoints.by_name["w0"]
    endpoint.in_flight.in_flight_slots = 9.0
    balancer.handle(2_000_000, [RequestReceived(9, "unsafe", 10**7)])
    if 9 not in balancer.parts.requests.by_id:
        balancer.parts.dispatching.dispatch(request := unoffered_request(balancer, "unsafe"), endpoint)
        balancer.parts.requests.by_id[request.id] = request
    number = next(iter(balancer.parts.requests.by_id))
    balancer.handle(2_000_100, [AttemptEnded(number, 0, 3, 100, False, None, "w0")])
    assert endpoint.kind.capacity.slots == pytest.approx(4.5)


def test_slots_do_not_follow_a_growing_queue() -> None:
    """The learned slots must not grow with the queue (issue 6).

    There are 20 balancers; five of our requests run, ever more wait, and half of the starts are late.
    """
    balancer = new_balancer(20, balancers=20, report_fields=[])
    endpoints, now = list(balancer.parts.endpoints.by_name.values()), 2_000_000
    running: list[int] = []
    for number in range(600):
        request = request_of(balancer, "safe", id=number, deadline_at_us=10**12)
        balancer.parts.requests.by_id[number] = request
        balancer.parts.dispatching.dispatch(request, endpoints[number % 20])
        now += 20_000
        if number >= 20 and number % 10:  # The queue grows by one request in ten.
            is_late = len(running) % 4 < 2  # Both kinds have late starts.
            first = len(running)
            if not is_late:
                balancer.parts.requests.by_id[first].attempts[0].dispatched_at_us = now
            running.append(first)
            balancer.handle(now, [ExecutionStarted(first, 0)])
            if len(running) > 5:
                balancer.handle(now, [AttemptEnded(first - 5, 0, 1, 100_000, True, None, endpoints[0].name)])
        balancer.parts.load.smoothed_in_flight = balancer.in_flight_slots
    assert balancer.in_flight_slots > 60
    assert 4 < balancer.parts.endpoints.by_name["w0"].kind.capacity.slots < 9


def test_kinds_that_start_late_have_fewer_slots() -> None:
    """Where no report shows slots, a kind that starts requests late more often gets fewer of them."""
    balancer = Balancer(settings(balancers=10, report_fields=[]), 1, 1_000_000)
    entries = [EndpointEntry(f"w{n}", "a", "xy"[n % 2]) for n in range(10)]
    balancer.handle(1_000_000, [EndpointsChanged("all", entries)])
    for _ in range(200):
        balancer.parts.capacity.learn_from_start(balancer.parts.endpoints.by_name["w0"], False, 5.0)
        balancer.parts.capacity.learn_from_start(balancer.parts.endpoints.by_name["w1"], True, 5.0)
    assert (
        balancer.parts.endpoints.kinds["y"].capacity.slots
        < balancer.parts.endpoints.kinds["x"].capacity.slots / 1.5
    )
    assert balancer.parts.capacity.unreported_slots == pytest.approx(5 / 0.5**0.4, rel=0.2)


@pytest.mark.parametrize(
    "report",
    [
        None,
        [],
        [None, None],
        ["x", "y"],
        [-1, -2],
        [1e300, 1e300],
        [True, True],
        [float("nan"), float("nan")],
    ],
)
def test_absurd_reports_are_ignored(report: list[object] | None) -> None:
    """A report whose values make no sense must not change the estimate of free slots."""
    balancer = new_balancer()
    before = balancer.parts.load.free_slots(balancer.parts.endpoints.by_name["w0"])
    balancer.handle(1_000_000, [HealthCheckEnded("w0", 1, 9, report)])
    assert balancer.parts.load.free_slots(balancer.parts.endpoints.by_name["w0"]) == before


def test_endpoint_without_reports_is_assumed_to_hold_the_mean() -> None:
    """An endpoint that has never reported must not look empty."""
    balancer = new_balancer(4, balancers=4)
    balancer.parts.load.smoothed_in_flight = 2.0
    assert balancer.parts.load.peer_slots(balancer.parts.endpoints.by_name["w3"]) == pytest.approx(
        3 * 2.0 / balancer.parts.load.total_slots
    )


def test_priority_latency_objective_and_late_worth_raise_the_threshold() -> None:
    """A higher weight per slot and second, a longer objective and worth left when late admit more waiting."""
    balancer = new_balancer(balancers=1)
    (
        balancer.parts.offered.arrival_rate.per_us,
        balancer.parts.offered.mean_priority_weight,
        balancer.parts.offered.mean_work_us,
    ) = 1.0, 5.0, 100_000.0
    kind = balancer.parts.endpoints.by_name["w0"].kind

    def gate(worth: float, aim: int, late_worth: float) -> float:
        spec = RequestClass("c", aim, 10**7, late_worth=late_worth)
        state = RequestClassState(spec, 100_000.0)
        request = request_of(
            balancer, "safe", class_state=state, run_time_us=100_000.0, priority_weight=worth
        )
        return sum(balancer.parts.admission.max_waiting(kind, request) for _ in range(200))

    assert gate(15, 400_000, 0) > gate(5, 400_000, 0) > gate(1, 400_000, 0)
    assert gate(5, 800_000, 0) > gate(5, 400_000, 0)
    assert gate(5, 400_000, 0.5) > gate(5, 400_000, 0)


def test_share_admitted_at_the_threshold_tends_to_q() -> None:
    """Over many draws, the share of requests that is admitted although N wait is q."""
    balancer = new_balancer(balancers=1)
    (
        balancer.parts.offered.arrival_rate.per_us,
        balancer.parts.offered.mean_priority_weight,
        balancer.parts.offered.mean_work_us,
    ) = 1.3e-5, 5.0, 100_000.0
    balancer.parts.load.total_slots = 1.0
    kind, request = balancer.parts.endpoints.by_name["w0"].kind, unoffered_request(balancer, "unsafe", 5.0)
    request.run_time_us = 100_000.0
    gates = [balancer.parts.admission.max_waiting(kind, request) for _ in range(4000)]
    interval_us = 100_000.0 * kind.kind_pace / kind.capacity.slots
    n, q = threshold(1.3, round((1 + 400_000 / interval_us) / 2, 1))
    assert set(gates) <= {n, n + 1} and 0 < q < 1
    assert sum(g > n for g in gates) / len(gates) == pytest.approx(q, abs=0.03)


def watches_endpoints(actions: list[Action]) -> bool:
    """Return whether the actions contain a watch of the endpoint list."""
    return any(isinstance(action, WatchEndpoints) for action in actions)


def test_watch_is_renewed_after_a_failed_poll() -> None:
    """If the endpoint list must be polled, a failed poll is repeated after a delay."""
    balancer = Balancer(settings(must_subscribe=True, balancers=1), 1, 0)
    assert watches_endpoints(balancer.handle(0, [EndpointsChanged("remembered", [entry(0)])]))
    later = balancer.handle(10, [EndpointsChanged("refused", [])])
    assert [action.token for action in later if isinstance(action, SetTimer)] == ["subscribe"]
    assert watches_endpoints(balancer.handle(2_000_000, [TimerFired("subscribe")]))
    assert balancer.parts.endpoints.by_name["w0"].state == "up"


def test_restarted_endpoint_warms_up_and_loses_its_failures() -> None:
    """An endpoint with a new start time warms up from then on, and its failures are forgotten."""
    balancer = new_balancer()
    (
        balancer.parts.endpoints.by_name["w0"].failures.consecutive_failures,
        balancer.parts.endpoints.by_name["w0"].failures.ejected_until_us,
    ) = 3, 10**9
    balancer.parts.offered.offered_requests, balancer.parts.run_times.classes["safe"].completed = 100, 100
    balancer.handle(2_000_000, [EndpointsChanged("changes", [entry(0, "up", 1_900_000)])])
    endpoint = balancer.parts.endpoints.by_name["w0"]
    assert (
        balancer.parts.warm_up.is_warming(endpoint)
        and endpoint.failures.ejected_until_us == 0
        and endpoint.slow_start.next_admission_at_us >= 1_900_000
    )


def test_unobserved_peer_load_counts_with_a_margin() -> None:
    """An endpoint is free to the last slot only if it was just observed.

    For one that is only assumed to hold the mean, a margin counts as held as well.
    """
    balancer = new_balancer(4, balancers=10)
    balancer.parts.load.smoothed_in_flight, balancer.parts.load.total_slots, endpoint = (
        4.0,
        36.0,
        balancer.parts.endpoints.by_name["w0"],
    )
    endpoint.kind.capacity.slots = 9.0  # So the peers hold 9 slots of an endpoint in the mean.
    assert balancer.parts.load.free_slots(endpoint) < -1
    balancer.parts.load.observe_peers(endpoint, 9.0)
    assert balancer.parts.load.free_slots(endpoint) == pytest.approx(0)


def test_slow_start_budget_grows_while_the_endpoint_warms_up() -> None:
    """The budget must grow with the capacity of a warming endpoint.

    When a fleet was replaced by warming endpoints, 40% of the requests were rejected because it did not.
    """
    balancer = new_balancer(1, balancers=10)
    balancer.parts.context.now_us = 50_000_000
    balancer.handle(50_000_000, [EndpointsChanged("changes", [entry(0, "up", 50_000_000)])])
    endpoint, safety = balancer.parts.endpoints.by_name["w0"], balancer.settings.safety
    (
        endpoint.kind.capacity.slots,
        endpoint.kind.capacity.slots_are_reported,
        endpoint.slow_start.next_admission_at_us,
    ) = 4.0, True, 0
    balancer.parts.offered.offered_requests, balancer.parts.run_times.classes["safe"].completed = 100, 100
    work, sends = 100_000.0, []
    while endpoint.slow_start.next_admission_at_us < 50_000_000 + safety.cold_us:
        balancer.parts.slow_start.charge(endpoint, work)
        sends.append(endpoint.slow_start.next_admission_at_us - 50_000_000)
    early, late = (
        sum(1 for at in sends if lo <= at < lo + safety.cold_us / 4) for lo in (0, safety.cold_us * 3 / 4)
    )
    assert late > 1.8 * early
    mean = (1 + safety.cold_from) / 2 * safety.cold_us
    assert len(sends) * work == pytest.approx(safety.tip_multiple * 4.0 * 0.5 / 10 * mean, rel=0.05)


def test_mean_in_flight_follows_within_a_mean_run_time() -> None:
    """The mean of our slots in flight must follow within a mean run time.

    With an older mean, the share of rejected requests swung between 7 and 48% (i60d686).
    """
    balancer = new_balancer(0, balancers=16)
    (
        balancer.parts.offered.mean_work_us,
        balancer.parts.load.smoothed_in_flight,
        balancer.parts.offered.offered_requests,
    ) = 300_000.0, 40.0, 10**6
    balancer.parts.offered.arrival_rate.per_us = 1e-4
    for number in range(60):
        now_us = balancer.parts.context.now_us + 10_000
        balancer.handle(now_us, [RequestReceived(number, "safe", 10**6, hint_us=300_000)])
    assert balancer.parts.load.smoothed_in_flight < 40 * 0.2


def test_queued_share_is_learned_from_run_times() -> None:
    """If requests that met a queue take three times as long, two thirds of a full endpoint's are queued."""
    balancer = new_balancer(1, balancers=1, report_fields=[], tells_start=False)
    endpoint, now = balancer.parts.endpoints.by_name["w0"], 2_000_000
    assert endpoint.kind.capacity.queued_share == 0.5
    for number in range(400):
        balancer.parts.requests.by_id[number] = request = unoffered_request(balancer, "safe")
        request.id = number
        balancer.parts.dispatching.dispatch(request, endpoint)
        request.attempts[0].found_free_slots = number % 2 == 0
        took_us = 100_000 if number % 2 == 0 else 300_000
        balancer.handle(now, [AttemptEnded(number, 0, 1, took_us, True, None, "w0")])
        now += 1_000
    assert endpoint.kind.capacity.queued_share == pytest.approx(2 / 3, abs=0.1)
    endpoint.in_flight.in_flight_slots, endpoint.kind.capacity.slots = 12.0, 1.0
    balancer.parts.requests.by_id[999] = request = unoffered_request(balancer, "unsafe")
    request.id = 999
    balancer.parts.dispatching.dispatch(request, endpoint)
    endpoint.peer_load.peer_slots_at_us, balancer.parts.load.smoothed_in_flight = -1, 0.0
    balancer.handle(now, [AttemptEnded(999, 0, 3, 100, False, None, "w0")])
    assert endpoint.kind.capacity.slots == pytest.approx(
        12 * (1 - endpoint.kind.capacity.queued_share), rel=0.05
    )


def test_operators_see_an_endpoint_that_a_health_check_has_ejected() -> None:
    """The view must not raise an error because no request has failed and so there is no outcome to name."""
    balancer = Balancer(settings(limits=DispatchLimits(probes=True)), 1, 0)
    balancer.handle(0, [EndpointsChanged("all", [entry(0)])])
    balancer.handle(1_000_000, [HealthCheckEnded("w0", int(Outcome.TIMEOUT), 150_000)])
    (view,) = balancer.endpoint_views(1_000_001)
    assert (view["why"], view["out_until_us"]) == ("no answer to a health check", 2_000_000)
