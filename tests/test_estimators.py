"""Each estimator alone, and the gate's share at n = N."""

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


def balancer(endpoints: int = 4, **changes: object) -> Balancer:
    """Return a balancer that knows a fleet."""
    made = Balancer(settings(**changes), 1, 1_000_000)
    made.handle(1_000_000, [EndpointsChanged("all", [entry(n) for n in range(endpoints)])])
    return made


def job_of(made: Balancer, cls: str, worth: float | None = None) -> TrackedRequest:
    """Return a job of a class, not offered."""
    state = made.parts.run_times.classes[cls]
    weight = state.spec.worth if worth is None else worth
    return request_of(made, cls, priority_weight=weight, deadline_at_us=10**9)


def test_offered_rate_counts_refused_jobs() -> None:
    """100 jobs a second, all refused for want of endpoints, read as 100 a second."""
    made = balancer(0)
    for number in range(1000):
        actions = made.handle(1_000_000 + number * 10_000, [RequestReceived(number, "safe", 10**6)])
        assert any(isinstance(a, Reject) for a in actions)
    assert made.parts.offered.arrival_rate.per_us * 1e6 == pytest.approx(100, rel=0.05)


def test_run_time_leaves_out_waiting() -> None:
    """Where starts are told the run time counts from the start."""
    made = balancer()
    made.handle(2_000_000, [RequestReceived(1, "safe", 10**7)])
    made.handle(5_000_000, [ExecutionStarted(1, 0)])
    made.handle(5_300_000, [AttemptEnded(1, 0, 1, 3_300_000, True, None, "w0")])
    assert made.parts.run_times.classes["safe"].run_time_us == pytest.approx(300_000)


def test_slots_in_the_designs_order() -> None:
    """Reports first, else no fewer than seen running, else the count at a 'full' less an allowance."""
    made = balancer()
    made.handle(2_000_000, [HealthCheckEnded("w0", 1, 9, [0, 6.1])])
    assert (
        made.parts.endpoints.by_name["w0"].kind.capacity.slots == 6
        and made.parts.endpoints.by_name["w0"].kind.capacity.slots_are_reported
    )
    made = balancer(1, balancers=1, report_fields=[])
    for number in range(4):
        made.handle(2_000_000, [RequestReceived(number, "unsafe", 10**7)])
        made.handle(2_000_001, [ExecutionStarted(number, 0)])
    assert (
        made.parts.endpoints.by_name["w0"].kind.capacity.slots
        >= made.parts.endpoints.by_name["w0"].in_flight.running_slots
        == made.parts.endpoints.by_name["w0"].kind.capacity.most_running_slots
        > 1
    )
    made = balancer(1, balancers=1, report_fields=[], tells_start=False)
    endpoint = made.parts.endpoints.by_name["w0"]
    endpoint.in_flight.in_flight_slots = 9.0
    made.handle(2_000_000, [RequestReceived(9, "unsafe", 10**7)])
    if 9 not in made.parts.requests.by_id:
        made.parts.dispatching.dispatch(job := job_of(made, "unsafe"), endpoint)
        made.parts.requests.by_id[job.id] = job
    number = next(iter(made.parts.requests.by_id))
    made.handle(2_000_100, [AttemptEnded(number, 0, 3, 100, False, None, "w0")])
    assert endpoint.kind.capacity.slots == pytest.approx(4.5)


def test_slots_do_not_follow_a_growing_queue() -> None:
    """Issue 6: 20 schedulers, five of our jobs run, ever more wait, half of the starts are late."""
    made = balancer(20, balancers=20, report_fields=[])
    endpoints, now = list(made.parts.endpoints.by_name.values()), 2_000_000
    running: list[int] = []
    for number in range(600):
        job = request_of(made, "safe", id=number, deadline_at_us=10**12)
        made.parts.requests.by_id[number] = job
        made.parts.dispatching.dispatch(job, endpoints[number % 20])
        now += 20_000
        if number >= 20 and number % 10:  # the queue grows by one job in ten
            late = len(running) % 4 < 2  # in both kinds
            first = len(running)
            if not late:
                made.parts.requests.by_id[first].attempts[0].dispatched_at_us = now
            running.append(first)
            made.handle(now, [ExecutionStarted(first, 0)])
            if len(running) > 5:
                made.handle(now, [AttemptEnded(first - 5, 0, 1, 100_000, True, None, endpoints[0].name)])
        made.parts.load.smoothed_in_flight = made.in_flight_slots
    assert made.in_flight_slots > 60
    assert 4 < made.parts.endpoints.by_name["w0"].kind.capacity.slots < 9


def test_kinds_that_start_late_have_fewer_slots() -> None:
    """Where no report tells slots, the kind that starts late more often is taken to be smaller."""
    made = Balancer(settings(balancers=10, report_fields=[]), 1, 1_000_000)
    entries = [EndpointEntry(f"w{n}", "a", "xy"[n % 2]) for n in range(10)]
    made.handle(1_000_000, [EndpointsChanged("all", entries)])
    for _ in range(200):
        made.parts.capacity.learn_from_start(made.parts.endpoints.by_name["w0"], False, 5.0)
        made.parts.capacity.learn_from_start(made.parts.endpoints.by_name["w1"], True, 5.0)
    assert (
        made.parts.endpoints.kinds["y"].capacity.slots < made.parts.endpoints.kinds["x"].capacity.slots / 1.5
    )
    assert made.parts.capacity.unreported_slots == pytest.approx(5 / 0.5**0.4, rel=0.2)


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
    """A report that makes no sense changes nothing."""
    made = balancer()
    before = made.parts.load.free_slots(made.parts.endpoints.by_name["w0"])
    made.handle(1_000_000, [HealthCheckEnded("w0", 1, 9, report)])
    assert made.parts.load.free_slots(made.parts.endpoints.by_name["w0"]) == before


def test_unheard_worker_holds_the_mean() -> None:
    """An endpoint never heard of is not empty."""
    made = balancer(4, balancers=4)
    made.parts.load.smoothed_in_flight = 2.0
    assert made.parts.load.peer_slots(made.parts.endpoints.by_name["w3"]) == pytest.approx(
        3 * 2.0 / made.parts.load.total_slots
    )


def test_worth_aim_and_late_worth_widen_the_gate() -> None:
    """More worth for each slot and second, a longer aim, and worth left when late: each waits longer."""
    made = balancer(balancers=1)
    (
        made.parts.offered.arrival_rate.per_us,
        made.parts.offered.mean_priority_weight,
        made.parts.offered.mean_work_us,
    ) = 1.0, 5.0, 100_000.0
    kind = made.parts.endpoints.by_name["w0"].kind

    def gate(worth: float, aim: int, late: float) -> float:
        spec = RequestClass("c", aim, 10**7, late_worth=late)
        state = RequestClassState(spec, 100_000.0)
        request = request_of(made, "safe", class_state=state, run_time_us=100_000.0, priority_weight=worth)
        return sum(made.parts.admission.max_waiting(kind, request) for _ in range(200))

    assert gate(15, 400_000, 0) > gate(5, 400_000, 0) > gate(1, 400_000, 0)
    assert gate(5, 800_000, 0) > gate(5, 400_000, 0)
    assert gate(5, 400_000, 0.5) > gate(5, 400_000, 0)


def test_share_admitted_at_the_threshold_tends_to_q() -> None:
    """Over many jobs the share whose gate lets N waiting pass is q."""
    made = balancer(balancers=1)
    (
        made.parts.offered.arrival_rate.per_us,
        made.parts.offered.mean_priority_weight,
        made.parts.offered.mean_work_us,
    ) = 1.3e-5, 5.0, 100_000.0
    made.parts.load.total_slots = 1.0
    kind, job = made.parts.endpoints.by_name["w0"].kind, job_of(made, "unsafe", 5.0)
    job.run_time_us = 100_000.0
    gates = [made.parts.admission.max_waiting(kind, job) for _ in range(4000)]
    turn = 100_000.0 * kind.kind_pace / kind.capacity.slots
    n, q = threshold(1.3, round((1 + 400_000 / turn) / 2, 1))
    assert set(gates) <= {n, n + 1} and 0 < q < 1
    assert sum(g > n for g in gates) / len(gates) == pytest.approx(q, abs=0.03)


def subscribes(actions: list[Action]) -> bool:
    """Tell whether the list is asked for."""
    return any(isinstance(action, WatchEndpoints) for action in actions)


def test_subscription_is_renewed_after_a_failed_call() -> None:
    """Where the list must be asked for, a refused call is made again after a while."""
    made = Balancer(settings(must_subscribe=True, balancers=1), 1, 0)
    assert subscribes(made.handle(0, [EndpointsChanged("remembered", [entry(0)])]))
    later = made.handle(10, [EndpointsChanged("refused", [])])
    assert [a.token for a in later if isinstance(a, SetTimer)] == ["subscribe"]
    assert subscribes(made.handle(2_000_000, [TimerFired("subscribe")]))
    assert made.parts.endpoints.by_name["w0"].state == "up"


def test_restart_of_a_worker_is_noticed() -> None:
    """A new start time makes an endpoint cold and empty, and forgets its failures."""
    made = balancer()
    (
        made.parts.endpoints.by_name["w0"].failures.consecutive_failures,
        made.parts.endpoints.by_name["w0"].failures.ejected_until_us,
    ) = 3, 10**9
    made.parts.offered.offered_requests, made.parts.run_times.classes["safe"].completed = 100, 100
    made.handle(2_000_000, [EndpointsChanged("changes", [entry(0, "up", 1_900_000)])])
    endpoint = made.parts.endpoints.by_name["w0"]
    assert (
        made.parts.warm_up.is_warming(endpoint)
        and endpoint.failures.ejected_until_us == 0
        and endpoint.slow_start.next_admission_at_us >= 1_900_000
    )


def test_an_unseen_count_has_a_spread() -> None:
    """An endpoint at the mean is not taken to have room to the last slot; one just observed is."""
    made = balancer(4, balancers=10)
    made.parts.load.smoothed_in_flight, made.parts.load.total_slots, endpoint = (
        4.0,
        36.0,
        made.parts.endpoints.by_name["w0"],
    )
    endpoint.kind.capacity.slots = 9.0  # so the others hold 9 in the mean
    assert made.parts.load.free_slots(endpoint) < -1
    made.parts.load.observe_peers(endpoint, 9.0)
    assert made.parts.load.free_slots(endpoint) == pytest.approx(0)


def test_cold_budget_grows_as_the_worker_warms() -> None:
    """Found as a fleet replaced by cold ones and 40% refused: the budget must grow with them."""
    made = balancer(1, balancers=10)
    made.parts.context.now_us = 50_000_000
    made.handle(50_000_000, [EndpointsChanged("changes", [entry(0, "up", 50_000_000)])])
    endpoint, safety = made.parts.endpoints.by_name["w0"], made.settings.safety
    (
        endpoint.kind.capacity.slots,
        endpoint.kind.capacity.slots_are_reported,
        endpoint.slow_start.next_admission_at_us,
    ) = 4.0, True, 0
    made.parts.offered.offered_requests, made.parts.run_times.classes["safe"].completed = 100, 100
    work, sends = 100_000.0, []
    while endpoint.slow_start.next_admission_at_us < 50_000_000 + safety.cold_us:
        made.parts.slow_start.charge(endpoint, work)
        sends.append(endpoint.slow_start.next_admission_at_us - 50_000_000)
    early, late = (
        sum(1 for at in sends if lo <= at < lo + safety.cold_us / 4) for lo in (0, safety.cold_us * 3 / 4)
    )
    assert late > 1.8 * early
    mean = (1 + safety.cold_from) / 2 * safety.cold_us
    assert len(sends) * work == pytest.approx(safety.tip_multiple * 4.0 * 0.5 / 10 * mean, rel=0.05)


def test_mean_outstanding_is_no_older_than_the_jobs() -> None:
    """Found as refusals swinging from 7 to 48% (i60d686): after a mean run time the mean has followed."""
    made = balancer(0, balancers=16)
    (
        made.parts.offered.mean_work_us,
        made.parts.load.smoothed_in_flight,
        made.parts.offered.offered_requests,
    ) = 300_000.0, 40.0, 10**6
    made.parts.offered.arrival_rate.per_us = 1e-4
    for number in range(60):
        now_us = made.parts.context.now_us + 10_000
        made.handle(now_us, [RequestReceived(number, "safe", 10**6, hint_us=300_000)])
    assert made.parts.load.smoothed_in_flight < 40 * 0.2


def test_queue_allowance_is_learned_from_run_times() -> None:
    """Jobs that met a queue took three times as long: two thirds of the count at a 'full' are queue."""
    made = balancer(1, balancers=1, report_fields=[], tells_start=False)
    endpoint, now = made.parts.endpoints.by_name["w0"], 2_000_000
    assert endpoint.kind.capacity.queued_share == 0.5
    for number in range(400):
        made.parts.requests.by_id[number] = job = job_of(made, "safe")
        job.id = number
        made.parts.dispatching.dispatch(job, endpoint)
        job.attempts[0].found_free_slots = number % 2 == 0
        took = 100_000 if number % 2 == 0 else 300_000
        made.handle(now, [AttemptEnded(number, 0, 1, took, True, None, "w0")])
        now += 1_000
    assert endpoint.kind.capacity.queued_share == pytest.approx(2 / 3, abs=0.1)
    endpoint.in_flight.in_flight_slots, endpoint.kind.capacity.slots = 12.0, 1.0
    made.parts.requests.by_id[999] = job = job_of(made, "unsafe")
    job.id = 999
    made.parts.dispatching.dispatch(job, endpoint)
    endpoint.peer_load.peer_slots_at_us, made.parts.load.smoothed_in_flight = -1, 0.0
    made.handle(now, [AttemptEnded(999, 0, 3, 100, False, None, "w0")])
    assert endpoint.kind.capacity.slots == pytest.approx(
        12 * (1 - endpoint.kind.capacity.queued_share), rel=0.05
    )


def test_operators_see_an_endpoint_that_a_health_check_has_ejected() -> None:
    """It has failed no request, so there is no outcome to name; the view of it used to raise an error."""
    made = Balancer(settings(limits=DispatchLimits(probes=True)), 1, 0)
    made.handle(0, [EndpointsChanged("all", [entry(0)])])
    made.handle(1_000_000, [HealthCheckEnded("w0", int(Outcome.TIMEOUT), 150_000)])
    (view,) = made.endpoint_views(1_000_001)
    assert (view["why"], view["out_until_us"]) == ("no answer to a health check", 2_000_000)
