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
from merlinbay.decision.records import Class, Job
from merlinbay.decision.settings import RequestClass
from tests.support import entry, settings


def balancer(endpoints: int = 4, **changes: object) -> Balancer:
    """Return a balancer that knows a fleet."""
    made = Balancer(settings(**changes), 1, 1_000_000)
    made.handle(1_000_000, [EndpointsChanged("all", [entry(n) for n in range(endpoints)])])
    return made


def job_of(made: Balancer, cls: str, worth: float | None = None) -> Job:
    """Return a job of a class, not offered."""
    state = made.classes[cls]
    return Job(1, state, 1.0, 0.0, "", state.run, state.spec.worth if worth is None else worth, 10**9)


def test_offered_rate_counts_refused_jobs() -> None:
    """100 jobs a second, all refused for want of endpoints, read as 100 a second."""
    made = balancer(0)
    for number in range(1000):
        actions = made.handle(1_000_000 + number * 10_000, [RequestReceived(number, "safe", 10**6)])
        assert any(isinstance(a, Reject) for a in actions)
    assert made.rate.value * 1e6 == pytest.approx(100, rel=0.05)


def test_run_time_leaves_out_waiting() -> None:
    """Where starts are told the run time counts from the start."""
    made = balancer()
    made.handle(2_000_000, [RequestReceived(1, "safe", 10**7)])
    made.handle(5_000_000, [ExecutionStarted(1, 0)])
    made.handle(5_300_000, [AttemptEnded(1, 0, 1, 3_300_000, True, None, "w0")])
    assert made.classes["safe"].run == pytest.approx(300_000)


def test_slots_in_the_designs_order() -> None:
    """Reports first, else no fewer than seen running, else the count at a 'full' less an allowance."""
    made = balancer()
    made.handle(2_000_000, [HealthCheckEnded("w0", 1, 9, [0, 6.1])])
    assert made.endpoints["w0"].kind.slots == 6 and made.endpoints["w0"].kind.told
    made = balancer(1, balancers=1, report_fields=[])
    for number in range(4):
        made.handle(2_000_000, [RequestReceived(number, "unsafe", 10**7)])
        made.handle(2_000_001, [ExecutionStarted(number, 0)])
    assert (
        made.endpoints["w0"].kind.slots >= made.endpoints["w0"].running == made.endpoints["w0"].kind.most > 1
    )
    made = balancer(1, balancers=1, report_fields=[], tells_start=False)
    endpoint = made.endpoints["w0"]
    endpoint.held = 9.0
    made.handle(2_000_000, [RequestReceived(9, "unsafe", 10**7)])
    if 9 not in made.jobs:
        made._place(job := job_of(made, "unsafe"), endpoint)
        made.jobs[job.id] = job
    number = next(iter(made.jobs))
    made.handle(2_000_100, [AttemptEnded(number, 0, 3, 100, False, None, "w0")])
    assert endpoint.kind.slots == pytest.approx(4.5)


def test_slots_do_not_follow_a_growing_queue() -> None:
    """Issue 6: 20 schedulers, five of our jobs run, ever more wait, half of the starts are late."""
    made = balancer(20, balancers=20, report_fields=[])
    state, endpoints, now = made.classes["safe"], list(made.endpoints.values()), 2_000_000
    running: list[int] = []
    for number in range(600):
        job = Job(number, state, 1.0, 0.0, "", state.run, 1.0, 10**12)
        made.jobs[number] = job
        made._place(job, endpoints[number % 20])
        now += 20_000
        if number >= 20 and number % 10:  # the queue grows by one job in ten
            late = len(running) % 4 < 2  # in both kinds
            first = len(running)
            if not late:
                made.jobs[first].attempts[0].at = now
            running.append(first)
            made.handle(now, [ExecutionStarted(first, 0)])
            if len(running) > 5:
                made.handle(now, [AttemptEnded(first - 5, 0, 1, 100_000, True, None, endpoints[0].name)])
        made.mean_held = made.own_held
    assert made.own_held > 60
    assert 4 < made.endpoints["w0"].kind.slots < 9


def test_kinds_that_start_late_have_fewer_slots() -> None:
    """Where no report tells slots, the kind that starts late more often is taken to be smaller."""
    made = Balancer(settings(balancers=10, report_fields=[]), 1, 1_000_000)
    entries = [EndpointEntry(f"w{n}", "a", "xy"[n % 2]) for n in range(10)]
    made.handle(1_000_000, [EndpointsChanged("all", entries)])
    made.own_running = 5.0
    for _ in range(200):
        made._learn_slots(made.endpoints["w0"], False)
        made._learn_slots(made.endpoints["w1"], True)
    assert made.kinds["y"].slots < made.kinds["x"].slots / 1.5
    assert made.slots == pytest.approx(5 / 0.5**0.4, rel=0.2)


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
    before = made._free(made.endpoints["w0"])
    made.handle(1_000_000, [HealthCheckEnded("w0", 1, 9, report)])
    assert made._free(made.endpoints["w0"]) == before


def test_unheard_worker_holds_the_mean() -> None:
    """An endpoint never heard of is not empty."""
    made = balancer(4, balancers=4)
    made.mean_held = 2.0
    assert made._others(made.endpoints["w3"]) == pytest.approx(3 * 2.0 / made.slots_total)


def test_worth_aim_and_late_worth_widen_the_gate() -> None:
    """More worth for each slot and second, a longer aim, and worth left when late: each waits longer."""
    made = balancer(balancers=1)
    made.rate.value, made.mean_worth, made.mean_run = 1.0, 5.0, 100_000.0
    kind = made.endpoints["w0"].kind

    def gate(worth: float, aim: int, late: float) -> float:
        spec = RequestClass("c", aim, 10**7, late_worth=late)
        state = Class(spec, 100_000.0)
        return sum(made._gate(kind, Job(1, state, 1.0, 0.0, "", 100_000.0, worth, 10**9)) for _ in range(200))

    assert gate(15, 400_000, 0) > gate(5, 400_000, 0) > gate(1, 400_000, 0)
    assert gate(5, 800_000, 0) > gate(5, 400_000, 0)
    assert gate(5, 400_000, 0.5) > gate(5, 400_000, 0)


def test_share_admitted_at_the_threshold_tends_to_q() -> None:
    """Over many jobs the share whose gate lets N waiting pass is q."""
    made = balancer(balancers=1)
    made.rate.value, made.mean_worth, made.mean_run = 1.3e-5, 5.0, 100_000.0
    made.slots_total = 1.0
    kind, job = made.endpoints["w0"].kind, job_of(made, "unsafe", 5.0)
    job.run = 100_000.0
    gates = [made._gate(kind, job) for _ in range(4000)]
    turn = 100_000.0 * kind.pace / kind.slots
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
    assert made.endpoints["w0"].state == "up"


def test_restart_of_a_worker_is_noticed() -> None:
    """A new start time makes an endpoint cold and empty, and forgets its failures."""
    made = balancer()
    made.endpoints["w0"].fails, made.endpoints["w0"].bench_until = 3, 10**9
    made.offered, made.classes["safe"].seen = 100, 100
    made.handle(2_000_000, [EndpointsChanged("changes", [entry(0, "up", 1_900_000)])])
    endpoint = made.endpoints["w0"]
    assert made.cold(endpoint) and endpoint.bench_until == 0 and endpoint.cold_next >= 1_900_000


def test_an_unseen_count_has_a_spread() -> None:
    """An endpoint at the mean is not taken to have room to the last slot; one just observed is."""
    made = balancer(4, balancers=10)
    made.mean_held, made.slots_total, endpoint = 4.0, 36.0, made.endpoints["w0"]
    endpoint.kind.slots = 9.0  # so the others hold 9 in the mean
    assert made._free(endpoint) < -1
    endpoint.observe(made.now, 9.0)
    assert made._free(endpoint) == pytest.approx(0)


def test_cold_budget_grows_as_the_worker_warms() -> None:
    """Found as a fleet replaced by cold ones and 40% refused: the budget must grow with them."""
    made = balancer(1, balancers=10)
    made.now = 50_000_000
    made.handle(50_000_000, [EndpointsChanged("changes", [entry(0, "up", 50_000_000)])])
    endpoint, safety = made.endpoints["w0"], made.safety
    endpoint.kind.slots, endpoint.kind.told, endpoint.cold_next = 4.0, True, 0
    made.offered, made.classes["safe"].seen = 100, 100
    work, sends = 100_000.0, []
    while endpoint.cold_next < 50_000_000 + safety.cold_us:
        endpoint.cold_next = made._cold_until(work, endpoint)
        sends.append(endpoint.cold_next - 50_000_000)
    early, late = (
        sum(1 for at in sends if lo <= at < lo + safety.cold_us / 4) for lo in (0, safety.cold_us * 3 / 4)
    )
    assert late > 1.8 * early
    mean = (1 + safety.cold_from) / 2 * safety.cold_us
    assert len(sends) * work == pytest.approx(safety.tip_multiple * 4.0 * 0.5 / 10 * mean, rel=0.05)


def test_mean_outstanding_is_no_older_than_the_jobs() -> None:
    """Found as refusals swinging from 7 to 48% (i60d686): after a mean run time the mean has followed."""
    made = balancer(0, balancers=16)
    made.mean_run, made.mean_held, made.offered = 300_000.0, 40.0, 10**6
    made.rate.value = 1e-4
    for _ in range(60):
        made.now += 10_000
        job = job_of(made, "safe")
        job.run = 300_000.0
        made._count_offered(job)
    assert made.mean_held < 40 * 0.2


def test_queue_allowance_is_learned_from_run_times() -> None:
    """Jobs that met a queue took three times as long: two thirds of the count at a 'full' are queue."""
    made = balancer(1, balancers=1, report_fields=[], tells_start=False)
    endpoint, now = made.endpoints["w0"], 2_000_000
    assert endpoint.kind.queued == 0.5
    for number in range(400):
        made.jobs[number] = job = job_of(made, "safe")
        job.id = number
        made._place(job, endpoint)
        job.attempts[0].room = number % 2 == 0
        took = 100_000 if number % 2 == 0 else 300_000
        made.handle(now, [AttemptEnded(number, 0, 1, took, True, None, "w0")])
        now += 1_000
    assert endpoint.kind.queued == pytest.approx(2 / 3, abs=0.1)
    endpoint.held, endpoint.kind.slots = 12.0, 1.0
    made.jobs[999] = job = job_of(made, "unsafe")
    job.id = 999
    made._place(job, endpoint)
    endpoint.others_at, made.mean_held = -1, 0.0
    made.handle(now, [AttemptEnded(999, 0, 3, 100, False, None, "w0")])
    assert endpoint.kind.slots == pytest.approx(12 * (1 - endpoint.kind.queued), rel=0.05)
