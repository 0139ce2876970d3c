"""Second copies, probes and crossings by their worth: docs/COPIES-AND-PROBES.md."""

from __future__ import annotations

import math

import pytest

from merlinbay.decision import Balancer
from merlinbay.decision.actions import CheckHealth, Dispatch
from merlinbay.decision.costs import chance_that_wait_ends
from merlinbay.decision.endpoint_state import Endpoint
from merlinbay.decision.events import (
    AttemptEnded,
    EndpointsChanged,
    ExecutionStarted,
    HealthCheckEnded,
    RequestReceived,
)
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.request_state import Attempt, TrackedRequest
from tests.support import entry, request_of, settings

RUN_US = 100_000


def balancer(**changes: object) -> Balancer:
    """Return a balancer that knows a fleet of four slots each, idle, and what a mean job is."""
    made = Balancer(settings(**{"asks_first": True, **changes}), 1, 1_000_000)
    made.handle(1_000_000, [EndpointsChanged("all", [entry(n) for n in range(8)])])
    for kind in made.parts.endpoints.kinds.values():
        kind.capacity.slots, kind.capacity.slots_are_reported = 4.0, True
    for cls in made.parts.run_times.classes.values():
        cls.run_time_us, cls.completed = RUN_US, 100
    made.parts.offered.mean_work_us, made.parts.offered.mean_priority_weight = RUN_US, 5.0
    made.parts.load.recount()
    return made


def job_of(made: Balancer, worth: float = 5.0, slots: float = 1.0) -> TrackedRequest:
    """Return a job that has just arrived; it is in time if it starts within 200 ms."""
    now_us = made.parts.context.now_us
    return request_of(
        made,
        "safe",
        slots=slots,
        run_time_us=RUN_US,
        priority_weight=worth,
        deadline_at_us=now_us + 5_000_000,
        arrived_at_us=now_us,
    )


def waiting(made: Balancer, job: TrackedRequest, since_us: int) -> tuple[Attempt, Endpoint]:
    """Return an attempt that has not started for so long, and a near endpoint with room."""
    attempt = Attempt(made.parts.endpoints.by_name["w0"], made.parts.context.now_us)
    job.attempts, job.open_attempts = [attempt], 1
    made.parts.context.now_us += since_us
    return attempt, made.parts.endpoints.by_name["w2"]


def offer(made: Balancer, load: float) -> None:
    """Let the offered load be this share of all slots."""
    made.parts.offered.arrival_rate.per_us = (
        load * made.parts.load.total_slots / made.settings.balancers / made.parts.offered.mean_work_us
    )


def test_a_long_wait_lasts() -> None:
    """The chance falls with the wait, and there is none where no time is left."""
    assert (
        chance_that_wait_ends(0, 1) == 1
        and chance_that_wait_ends(100, 0) == chance_that_wait_ends(0, -1) == 0
    )
    assert chance_that_wait_ends(100, 100) == 0.5 > chance_that_wait_ends(200, 100)


@pytest.mark.parametrize(
    ("load", "since_us", "slots", "pays"),
    [
        (0.6, 10_000, 1.0, False),  # it will start soon by itself
        (0.6, 150_000, 1.0, True),  # it hardly will, and few want the slot
        (1.0, 150_000, 1.0, False),  # others want the slot as much
        (0.6, 150_000, 4.0, False),  # four times the work for the same worth
        (0.2, 400_000, 1.0, False),  # it is late either way
    ],
)
def test_a_copy_goes_out_where_it_gains_more_than_its_work(
    load: float, since_us: int, slots: float, pays: bool
) -> None:
    """With nothing dropped by a cancel, a copy is work twice over."""
    made = balancer()
    made.settings.limits.cancelling = False
    offer(made, load)
    job = job_of(made, slots=slots)
    attempt, target = waiting(made, job, since_us)
    assert made.parts.costs.is_hedge_worthwhile(job, attempt, target) is pays


def test_a_job_of_a_class_not_seen_yet_is_not_taken_for_late() -> None:
    """Until an answer has come, a run counts as the aim, which leaves no time to start."""
    made = balancer()
    offer(made, 0.1)
    job = job_of(made)
    state = job.class_state
    state.spec.stretch, state.completed, job.run_time_us = 0.0, 0, state.spec.aim_us
    attempt, target = waiting(made, job, 30_000)
    assert made.parts.costs.is_hedge_worthwhile(job, attempt, target)


def test_copies_are_not_weighed_where_answers_report_the_load() -> None:
    """There an endpoint that is fuller than was believed shows by its next answer."""
    for asks_first in (False, True):
        made = balancer(asks_first=asks_first)
        offer(made, 1.0)
        job = job_of(made)
        attempt, target = waiting(made, job, 10_000)
        assert made.parts.costs.is_hedge_worthwhile(job, attempt, target) is not asks_first


def test_what_a_cancel_may_drop_counts_half() -> None:
    """A copy that does not pay as work twice over may pay where the attempt that waits can be cancelled."""
    for cancelling in (False, True):
        made = balancer()
        made.settings.limits.cancelling = cancelling
        offer(made, 1.0)
        job = job_of(made)
        attempt, target = waiting(made, job, 150_000)
        assert made.parts.costs.is_hedge_worthwhile(job, attempt, target) is cancelling


def test_a_copy_over_the_border_pays_for_the_crossing() -> None:
    """The same copy, to the other zone, where that has a price."""
    for price, pays in ((0.0, True), (0.9, False)):
        made = balancer(cross_zone_price=price)
        offer(made, 0.1)
        job = job_of(made)
        attempt, _ = waiting(made, job, 150_000)
        assert made.parts.costs.is_hedge_worthwhile(job, attempt, made.parts.endpoints.by_name["w1"]) is pays


def test_a_job_at_a_slow_worker_is_copied_while_that_helps() -> None:
    """It runs on at an endpoint of three times the pace; the copy has to be in time itself."""
    made = balancer()
    offer(made, 0.3)
    job = job_of(made)
    attempt, target = waiting(made, job, RUN_US)
    attempt.started_at_us = attempt.dispatched_at_us
    costs, run_time = made.parts.costs, attempt.endpoint.run_time
    assert not costs.is_hedge_worthwhile(job, attempt, target)  # as fast as others: it is about to end
    run_time.pace, run_time.pace_learned_at_us = 8.0, made.parts.context.now_us
    assert made.parts.costs.is_hedge_worthwhile(job, attempt, target)
    made.parts.context.now_us += 250_000
    assert not made.parts.costs.is_hedge_worthwhile(job, attempt, target)  # too late


@pytest.mark.parametrize(
    ("worth", "behind", "price", "far"),
    [
        (5.0, 0, 0.16, False),  # a turn of a slot costs less than the crossing
        (5.0, 40, 0.16, True),  # a long queue does not
        (0.5, 40, 0.16, False),  # a job of little worth is not worth the price
        (5.0, 0, 0.0, True),  # without a price the one with room is taken
    ],
)
def test_a_border_is_crossed_for_more_than_its_price(
    worth: float, behind: int, price: float, far: bool
) -> None:
    """Near endpoints are full; those of the other zone are idle."""
    made = balancer(cross_zone_price=price, balancers=1)
    for endpoint in made.parts.endpoints.by_name.values():
        if endpoint.zone == "a":
            endpoint.in_flight.in_flight_slots = 4.0 + behind / 4
    offer(made, 0.5)
    made.parts.admission.max_waiting = lambda kind, request: 100.0  # type: ignore[method-assign]
    picked = made.parts.placement.choose(job_of(made, worth))
    assert picked is not None and (picked.zone == "b") is far


def probes(made: Balancer) -> list[str]:
    """Return whom a balancer probes for 100 jobs, once it knows what is offered: 100 a second."""
    out = []
    for number in range(400):
        made.parts.context.now_us += 10_000
        actions = made.handle(made.parts.context.now_us, [RequestReceived(100 + number, "safe", 5_000_000)])
        out += (
            [action.endpoint for action in actions if isinstance(action, CheckHealth)]
            if number >= 300
            else []
        )
        for placed in (action for action in actions if isinstance(action, Dispatch)):
            made.handle(
                made.parts.context.now_us,
                [AttemptEnded(placed.id, 0, 1, RUN_US, True, None, placed.endpoint)],
            )
    return out


def probing(price: float, **changes: object) -> Balancer:
    """Return a balancer that hears reports from probes only."""
    made = balancer(asks_first=True, probe_price=price, **changes)
    made.settings.limits.probes = True
    made.parts.reports.stale_estimate_rate = 0.05
    return made


def test_a_probe_has_to_be_worth_its_price() -> None:
    """Cheap ones go out now and then, not six a job; dear ones never."""
    cheap = probes(probing(0.002))
    assert 50 < len(cheap) < 300
    assert len(probes(probing(0.02))) < len(cheap)
    assert probes(probing(5.0)) == []


def test_a_job_waits_for_probes_where_earlier_ones_tell_nothing() -> None:
    """One of many balancers, whose jobs are rare beside the life of news; and not where it is dear."""
    for price, first in ((0.0, True), (0.002, True), (0.1, False)):
        made = probing(price, balancers=100)
        made.parts.reports.stale_estimate_rate = 0.5
        made.parts.offered.arrival_rate.per_us = 1 / 2_000_000
        assert (
            made.parts.health_check_costs.is_waiting_worthwhile(made.parts.endpoints.by_name["w0"].kind, 6, 8)
            is first
        )
    made = probing(0.002)
    made.parts.offered.arrival_rate.per_us = 1 / 10_000
    assert not made.parts.health_check_costs.is_waiting_worthwhile(
        made.parts.endpoints.by_name["w0"].kind, 6, 8
    )


def test_probes_are_rarer_where_little_is_sent_or_little_goes_wrong() -> None:
    """An endpoint that gets few of our jobs, or a fleet where room is as believed, needs no news."""
    made = probing(0.002)
    kind = made.parts.endpoints.by_name["w0"].kind
    assert (
        made.parts.health_check_costs.interval_us(kind, 1e-4)
        < made.parts.health_check_costs.interval_us(kind, 1e-5)
        < math.inf
    )
    assert made.parts.health_check_costs.interval_us(kind, 1e-9) == math.inf
    made.parts.reports.stale_estimate_rate = 0.0
    assert made.parts.health_check_costs.interval_us(kind, 1e-4) == math.inf


def test_the_work_of_a_probe_counts_as_far_as_others_want_it() -> None:
    """What a probe takes the endpoint is dear where the load is high."""
    made = probing(0.002)
    made.parts.health_check_costs.duration_us = 2_000.0
    kind = made.parts.endpoints.by_name["w0"].kind
    offer(made, 0.1)
    calm = made.parts.health_check_costs.interval_us(kind, 1e-4)
    offer(made, 1.0)
    assert made.parts.health_check_costs.interval_us(kind, 1e-4) > calm


def test_a_queue_in_a_report_counts_as_held() -> None:
    """Found as late answers: an endpoint where five wait looked like one that is just full."""
    made = probing(0.002, report_fields=["waiting", "x0"], queued_field="waiting")
    endpoint = made.parts.endpoints.by_name["w0"]
    for number in range(20):
        made.parts.context.now_us += 50_000
        made.handle(made.parts.context.now_us, [HealthCheckEnded("w0", 1, 900, [5.0 + number / 1000, 0.0])])
    assert made.parts.load.free_slots(endpoint) < -3


def test_slots_are_not_taken_from_the_noise_of_reports() -> None:
    """Found as seven slots believed where there are five: the most that was ever reported free."""
    made = probing(0.002, report_fields=["x0"])
    for kind in made.parts.endpoints.kinds.values():
        kind.capacity.slots_are_reported = False
    for number in range(200):
        made.parts.context.now_us += 50_000
        free = 5.0 * (1 + 0.3 * math.sin(number))
        made.handle(made.parts.context.now_us, [HealthCheckEnded(f"w{number % 8}", 1, 900, [free])])
    assert made.parts.endpoints.by_name["w0"].kind.capacity.slots == 5


def test_a_report_is_compared_with_what_was_held_when_it_was_made() -> None:
    """What was sent after the report was made is not in it; it must not be taken off the others' count."""
    made = probing(0.002, report_fields=["x0"])
    endpoint = made.parts.endpoints.by_name["w0"]
    requests = made.parts.requests
    requests.open_attempt(request_of(made, "safe"), endpoint, found_free_slots=True)
    made.parts.context.now_us += 150_000
    requests.open_attempt(request_of(made, "safe", id=2, slots=2.0), endpoint, found_free_slots=True)
    made.parts.context.now_us += 50_000
    assert (
        endpoint.in_flight.in_flight_slots == 3.0
        and requests.in_flight_at(endpoint, made.parts.context.now_us - 120_000) == 1.0
    )
    assert requests.in_flight_at(endpoint, 0) == 1.0
    made.handle(
        made.parts.context.now_us, [HealthCheckEnded("w0", 1, 900, [0.0])]
    )  # four held, one of them ours then
    assert endpoint.peer_load.mean_peer_slots == pytest.approx(3.0)


def test_what_others_hold_is_learned_for_each_worker() -> None:
    """Found as room not used: the mean over both zones counted where the other balancers hardly send."""
    made = probing(0.002, report_fields=["x0"])
    made.parts.load.smoothed_in_flight = 8.0
    assert made.parts.load.peer_slots(made.parts.endpoints.by_name["w0"]) > 2
    for number in range(30):
        made.parts.context.now_us += 100_000
        made.handle(made.parts.context.now_us, [HealthCheckEnded("w0", 1, 900, [4.0 - number / 1000])])
    made.parts.context.now_us += 10_000_000  # the last report is forgotten
    assert (
        made.parts.load.peer_slots(made.parts.endpoints.by_name["w0"])
        < 0.5
        < made.parts.load.peer_slots(made.parts.endpoints.by_name["w2"])
    )


def test_a_reply_from_beyond_the_border_does_not_win_by_being_first() -> None:
    """Where crossings cost, endpoints away count once those nearby have answered too."""
    made = probing(0.002, balancers=100, tells_start=False, cross_zone_price=0.01)
    made.parts.reports.stale_estimate_rate = 0.5
    actions = made.handle(made.parts.context.now_us, [RequestReceived(1, "safe", 5_000_000)])
    probed = [action.endpoint for action in actions if isinstance(action, CheckHealth)]
    away = [name for name in probed if made.parts.endpoints.by_name[name].zone == "b"]
    near = [name for name in probed if made.parts.endpoints.by_name[name].zone == "a"]
    assert away and near
    for name in away:
        assert not made.handle(made.parts.context.now_us, [HealthCheckEnded(name, 1, 900, [0, 4])])
    (placed, *_) = made.handle(made.parts.context.now_us, [HealthCheckEnded(near[0], 1, 900, [0, 4])])
    assert isinstance(placed, Dispatch) and placed.endpoint == near[0]


def test_a_job_of_two_slots_waits_less_where_others_overtake_it() -> None:
    """In a backfilled queue one that needs two slots at once starves while others wait for one."""
    gates = {}
    for order in ("fifo", "backfill"):
        made = balancer(queue_order=order, balancers=1)
        offer(made, 0.9)
        kind = made.parts.endpoints.by_name["w0"].kind
        two, one = job_of(made, 10.0, 2.0), job_of(made)
        gates[order] = [
            sum(made.parts.admission.max_waiting(kind, job) for _ in range(50)) for job in (one, two)
        ]
    assert gates["fifo"][0] == pytest.approx(gates["backfill"][0], rel=0.2)
    assert gates["backfill"][1] < gates["fifo"][1] / 2


def test_what_reports_contradict_is_learned_without_placing_a_job() -> None:
    """Found as waiting for probes for seconds: who probes first never saw how it would do without."""
    made = probing(0.002, report_fields=["x0"], balancers=1)
    made.parts.reports.stale_estimate_rate = 0.5
    for number in range(100):
        made.parts.context.now_us += 50_000
        made.handle(
            made.parts.context.now_us, [HealthCheckEnded(f"w{number % 8}", 1, 900, [4.0 - number / 1000])]
        )
    assert made.parts.reports.stale_estimate_rate < 0.05


def test_hints_are_taken_in_the_measure_of_run_times() -> None:
    """Found as an underestimated load: jobs ran a third longer than their hints."""
    made = balancer(balancers=1, worth_by_work=True)
    for number in range(200):
        made.parts.context.now_us += 1_000_000
        (placed, *_) = made.handle(
            made.parts.context.now_us, [RequestReceived(number, "safe", 5_000_000, hint_us=60_000)]
        )
        assert isinstance(placed, Dispatch)
        made.handle(made.parts.context.now_us, [ExecutionStarted(number, 0)])
        made.parts.context.now_us += 90_000
        made.handle(
            made.parts.context.now_us, [AttemptEnded(number, 0, 1, 90_000, True, None, placed.endpoint)]
        )
    made.handle(made.parts.context.now_us, [RequestReceived(999, "safe", 5_000_000, hint_us=40_000)])
    assert made.parts.requests.by_id[999].run_time_us == pytest.approx(60_000, rel=0.02)


def test_a_copy_that_would_wait_itself_displaces_other_work() -> None:
    """At a low load in the mean, but where the target has no room either."""
    made = balancer(balancers=1)
    made.settings.limits.cancelling = False
    offer(made, 0.2)
    job = job_of(made)
    attempt, target = waiting(made, job, 150_000)
    assert made.parts.costs.is_hedge_worthwhile(job, attempt, target)
    target.in_flight.in_flight_slots = 4.0
    assert not made.parts.costs.is_hedge_worthwhile(job, attempt, target)


def test_a_worker_that_answers_no_probe_gets_no_job_until_it_does() -> None:
    """Found as jobs lost at a silent endpoint until the first of them was overdue."""
    made = probing(0.002)
    endpoints = [made.parts.endpoints.by_name[f"w{n}"] for n in range(8)]
    made.handle(made.parts.context.now_us, [HealthCheckEnded("w0", int(Outcome.TIMEOUT), 120_000)])
    assert endpoints[0] not in made.parts.eligibility.eligible(job_of(made), endpoints)
    made.handle(made.parts.context.now_us, [HealthCheckEnded("w0", 1, 900, [1, 3])])
    assert endpoints[0] in made.parts.eligibility.eligible(job_of(made), endpoints)
    made.handle(made.parts.context.now_us, [HealthCheckEnded("w0", int(Outcome.TIMEOUT), 120_000)])
    made.parts.context.now_us += 1_500_000  # one answer may get lost where no more probes go out
    assert endpoints[0] in made.parts.eligibility.eligible(job_of(made), endpoints)


def test_slots_are_seen_from_what_runs_where_free_ones_are_not_told() -> None:
    """Found as a third refused at a low load: three held, none waiting, and one slot believed."""
    made = balancer(
        report_fields=["waiting", "active"],
        free_slots_field="",
        held_field="active",
        queued_field="waiting",
        tells_start=False,
    )
    for kind in made.parts.endpoints.kinds.values():
        kind.capacity.slots, kind.capacity.slots_are_reported = 1.0, False
    made.handle(made.parts.context.now_us, [HealthCheckEnded("w0", 1, 900, [0.0, 3.1])])
    assert made.parts.endpoints.by_name["w0"].kind.capacity.slots == 3
    made.handle(made.parts.context.now_us, [HealthCheckEnded("w0", 1, 900, [4.0, 6.9])])
    assert made.parts.endpoints.by_name["w0"].kind.capacity.slots == 3
