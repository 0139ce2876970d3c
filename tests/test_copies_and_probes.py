"""Hedges, health checks and dispatches to other zones go out only if they are worth their cost.

The formulas are derived in ``docs/COPIES-AND-PROBES.md``.
"""

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


def new_balancer(**changes: object) -> Balancer:
    """Return a balancer that knows the mean request and a fleet of idle endpoints with four slots each."""
    balancer = Balancer(settings(**{"asks_first": True, **changes}), 1, 1_000_000)
    balancer.handle(1_000_000, [EndpointsChanged("all", [entry(n) for n in range(8)])])
    for kind in balancer.parts.endpoints.kinds.values():
        kind.capacity.slots, kind.capacity.slots_are_reported = 4.0, True
    for class_state in balancer.parts.run_times.classes.values():
        class_state.run_time_us, class_state.completed = RUN_US, 100
    balancer.parts.offered.mean_work_us, balancer.parts.offered.mean_priority_weight = RUN_US, 5.0
    balancer.parts.load.recount()
    return balancer


def new_request(balancer: Balancer, worth: float = 5.0, slots: float = 1.0) -> TrackedRequest:
    """Return a request that has just arrived; it is in time if it starts within 200 ms."""
    now_us = balancer.parts.context.now_us
    return request_of(
        balancer,
        "safe",
        slots=slots,
        run_time_us=RUN_US,
        priority_weight=worth,
        deadline_at_us=now_us + 5_000_000,
        arrived_at_us=now_us,
    )


def waiting_attempt(balancer: Balancer, request: TrackedRequest, since_us: int) -> tuple[Attempt, Endpoint]:
    """Return an attempt that has not started for ``since_us``, and a free endpoint of the own zone."""
    attempt = Attempt(balancer.parts.endpoints.by_name["w0"], balancer.parts.context.now_us)
    request.attempts, request.open_attempts = [attempt], 1
    balancer.parts.context.now_us += since_us
    return attempt, balancer.parts.endpoints.by_name["w2"]


def set_offered_load(balancer: Balancer, load: float) -> None:
    """Make the offered load this share of all slots."""
    balancer.parts.offered.arrival_rate.per_us = (
        load
        * balancer.parts.load.total_slots
        / balancer.settings.balancers
        / balancer.parts.offered.mean_work_us
    )


def test_long_wait_is_less_likely_to_end() -> None:
    """The probability falls with the wait, and is 0 if no time is left."""
    assert (
        chance_that_wait_ends(0, 1) == 1
        and chance_that_wait_ends(100, 0) == chance_that_wait_ends(0, -1) == 0
    )
    assert chance_that_wait_ends(100, 100) == 0.5 > chance_that_wait_ends(200, 100)


@pytest.mark.parametrize(
    ("load", "since_us", "slots", "is_worthwhile"),
    [
        (0.6, 10_000, 1.0, False),  # The attempt will probably start soon.
        (0.6, 150_000, 1.0, True),  # The attempt will probably not start soon, and slots are free.
        (1.0, 150_000, 1.0, False),  # Other requests need the slot as much.
        (0.6, 150_000, 4.0, False),  # The hedge is four times the work for the same worth.
        (0.2, 400_000, 1.0, False),  # The request is late with or without a hedge.
    ],
)
def test_hedge_is_sent_if_it_gains_more_than_its_work_costs(
    load: float, since_us: int, slots: float, is_worthwhile: bool
) -> None:
    """If a cancel drops nothing, a hedge doubles the work of the request."""
    balancer = new_balancer()
    balancer.settings.limits.cancelling = False
    set_offered_load(balancer, load)
    request = new_request(balancer, slots=slots)
    attempt, target = waiting_attempt(balancer, request, since_us)
    assert balancer.parts.costs.is_hedge_worthwhile(request, attempt, target) is is_worthwhile


def test_request_of_a_class_without_completed_runs_does_not_count_as_late() -> None:
    """Before the first completed run, the run time of a class is its latency objective.

    Taken literally this leaves no time for the request to start, and it would never be hedged.
    """
    balancer = new_balancer()
    set_offered_load(balancer, 0.1)
    request = new_request(balancer)
    state = request.class_state
    state.spec.stretch, state.completed, request.run_time_us = 0.0, 0, state.spec.aim_us
    attempt, target = waiting_attempt(balancer, request, 30_000)
    assert balancer.parts.costs.is_hedge_worthwhile(request, attempt, target)


def test_hedges_are_not_weighed_where_answers_report_the_load() -> None:
    """Where answers report the load, the next answer shows if an endpoint is fuller than estimated."""
    for asks_first in (False, True):
        balancer = new_balancer(asks_first=asks_first)
        set_offered_load(balancer, 1.0)
        request = new_request(balancer)
        attempt, target = waiting_attempt(balancer, request, 10_000)
        assert balancer.parts.costs.is_hedge_worthwhile(request, attempt, target) is not asks_first


def test_cancellable_attempt_costs_half_of_its_work() -> None:
    """A hedge that does not pay if it doubles the work may pay if the waiting attempt can be cancelled."""
    for cancelling in (False, True):
        balancer = new_balancer()
        balancer.settings.limits.cancelling = cancelling
        set_offered_load(balancer, 1.0)
        request = new_request(balancer)
        attempt, target = waiting_attempt(balancer, request, 150_000)
        assert balancer.parts.costs.is_hedge_worthwhile(request, attempt, target) is cancelling


def test_hedge_to_another_zone_pays_for_the_crossing() -> None:
    """The same hedge to another zone is not worthwhile if crossing has a high price."""
    for price, is_worthwhile in ((0.0, True), (0.9, False)):
        balancer = new_balancer(cross_zone_price=price)
        set_offered_load(balancer, 0.1)
        request = new_request(balancer)
        attempt, _ = waiting_attempt(balancer, request, 150_000)
        assert (
            balancer.parts.costs.is_hedge_worthwhile(request, attempt, balancer.parts.endpoints.by_name["w1"])
            is is_worthwhile
        )


def test_request_at_a_slow_endpoint_is_hedged_while_that_helps() -> None:
    """A request that runs at a slow endpoint is hedged only as long as the hedge can still be in time."""
    balancer = new_balancer()
    set_offered_load(balancer, 0.3)
    request = new_request(balancer)
    attempt, target = waiting_attempt(balancer, request, RUN_US)
    attempt.started_at_us = attempt.dispatched_at_us
    costs, run_time = balancer.parts.costs, attempt.endpoint.run_time
    # At the pace of the others the attempt is about to end.
    assert not costs.is_hedge_worthwhile(request, attempt, target)
    run_time.pace, run_time.pace_learned_at_us = 8.0, balancer.parts.context.now_us
    assert balancer.parts.costs.is_hedge_worthwhile(request, attempt, target)
    balancer.parts.context.now_us += 250_000
    # A hedge would come too late.
    assert not balancer.parts.costs.is_hedge_worthwhile(request, attempt, target)


@pytest.mark.parametrize(
    ("worth", "queued", "price", "crosses"),
    [
        (5.0, 0, 0.16, False),  # Waiting for one slot costs less than crossing.
        (5.0, 40, 0.16, True),  # Waiting in a long queue costs more than crossing.
        (0.5, 40, 0.16, False),  # A request of little worth is not worth the price.
        (5.0, 0, 0.0, True),  # Without a price the endpoint with free slots is chosen.
    ],
)
def test_zone_is_crossed_for_a_gain_above_the_price(
    worth: float, queued: int, price: float, crosses: bool
) -> None:
    """The endpoints of the own zone are full, those of the other zone are idle."""
    balancer = new_balancer(cross_zone_price=price, balancers=1)
    for endpoint in balancer.parts.endpoints.by_name.values():
        if endpoint.zone == "a":
            endpoint.in_flight.in_flight_slots = 4.0 + queued / 4
    set_offered_load(balancer, 0.5)
    balancer.parts.admission.max_waiting = lambda kind, request: 100.0  # type: ignore[method-assign]
    chosen = balancer.parts.placement.choose(new_request(balancer, worth))
    assert chosen is not None and (chosen.zone == "b") is crosses


def checked_endpoints(balancer: Balancer) -> list[str]:
    """Return the endpoints checked for 100 requests, once the balancer knows the load: 100 a second."""
    names = []
    for number in range(400):
        balancer.parts.context.now_us += 10_000
        actions = balancer.handle(
            balancer.parts.context.now_us, [RequestReceived(100 + number, "safe", 5_000_000)]
        )
        names += (
            [action.endpoint for action in actions if isinstance(action, CheckHealth)]
            if number >= 300
            else []
        )
        for dispatch in (action for action in actions if isinstance(action, Dispatch)):
            balancer.handle(
                balancer.parts.context.now_us,
                [AttemptEnded(dispatch.id, 0, 1, RUN_US, True, None, dispatch.endpoint)],
            )
    return names


def balancer_with_health_checks(price: float, **changes: object) -> Balancer:
    """Return a balancer that gets load reports from health checks only."""
    balancer = new_balancer(asks_first=True, probe_price=price, **changes)
    balancer.settings.limits.probes = True
    balancer.parts.reports.stale_estimate_rate = 0.05
    return balancer


def test_health_checks_are_sent_only_if_worth_their_price() -> None:
    """Cheap health checks are sent now and then, not six for each request; expensive ones never."""
    cheap = checked_endpoints(balancer_with_health_checks(0.002))
    assert 50 < len(cheap) < 300
    assert len(checked_endpoints(balancer_with_health_checks(0.02))) < len(cheap)
    assert checked_endpoints(balancer_with_health_checks(5.0)) == []


def test_request_waits_for_health_checks_where_earlier_ones_are_outdated() -> None:
    """With many balancers, our requests are so rare that reports are outdated by the next one.

    Then a request waits for health checks, unless these are expensive or requests are frequent.
    """
    for price, waits in ((0.0, True), (0.002, True), (0.1, False)):
        balancer = balancer_with_health_checks(price, balancers=100)
        balancer.parts.reports.stale_estimate_rate = 0.5
        balancer.parts.offered.arrival_rate.per_us = 1 / 2_000_000
        assert (
            balancer.parts.health_check_costs.is_waiting_worthwhile(
                balancer.parts.endpoints.by_name["w0"].kind, 6, 8
            )
            is waits
        )
    balancer = balancer_with_health_checks(0.002)
    balancer.parts.offered.arrival_rate.per_us = 1 / 10_000
    assert not balancer.parts.health_check_costs.is_waiting_worthwhile(
        balancer.parts.endpoints.by_name["w0"].kind, 6, 8
    )


def test_health_checks_are_rarer_with_few_dispatches_or_few_stale_estimates() -> None:
    """Few health checks pay if an endpoint gets few of our requests, and none if no estimate is stale."""
    balancer = balancer_with_health_checks(0.002)
    kind = balancer.parts.endpoints.by_name["w0"].kind
    assert (
        balancer.parts.health_check_costs.interval_us(kind, 1e-4)
        < balancer.parts.health_check_costs.interval_us(kind, 1e-5)
        < math.inf
    )
    assert balancer.parts.health_check_costs.interval_us(kind, 1e-9) == math.inf
    balancer.parts.reports.stale_estimate_rate = 0.0
    assert balancer.parts.health_check_costs.interval_us(kind, 1e-4) == math.inf


def test_work_of_a_health_check_costs_more_under_load() -> None:
    """The time that a health check takes the endpoint costs more at a high load, so checks are rarer."""
    balancer = balancer_with_health_checks(0.002)
    balancer.parts.health_check_costs.duration_us = 2_000.0
    kind = balancer.parts.endpoints.by_name["w0"].kind
    set_offered_load(balancer, 0.1)
    low_load_interval_us = balancer.parts.health_check_costs.interval_us(kind, 1e-4)
    set_offered_load(balancer, 1.0)
    assert balancer.parts.health_check_costs.interval_us(kind, 1e-4) > low_load_interval_us


def test_queued_requests_in_a_report_count_as_held() -> None:
    """If queued requests did not count, an endpoint with five would look just full and answer late."""
    balancer = balancer_with_health_checks(0.002, report_fields=["waiting", "x0"], queued_field="waiting")
    endpoint = balancer.parts.endpoints.by_name["w0"]
    for number in range(20):
        balancer.parts.context.now_us += 50_000
        balancer.handle(
            balancer.parts.context.now_us, [HealthCheckEnded("w0", 1, 900, [5.0 + number / 1000, 0.0])]
        )
    assert balancer.parts.load.free_slots(endpoint) < -3


def test_slots_are_not_overestimated_from_noisy_reports() -> None:
    """The most slots ever reported free are too many: seven were learned where there are five."""
    balancer = balancer_with_health_checks(0.002, report_fields=["x0"])
    for kind in balancer.parts.endpoints.kinds.values():
        kind.capacity.slots_are_reported = False
    for number in range(200):
        balancer.parts.context.now_us += 50_000
        reported_free = 5.0 * (1 + 0.3 * math.sin(number))
        balancer.handle(
            balancer.parts.context.now_us, [HealthCheckEnded(f"w{number % 8}", 1, 900, [reported_free])]
        )
    assert balancer.parts.endpoints.by_name["w0"].kind.capacity.slots == 5


def test_report_is_compared_with_the_slots_in_flight_when_it_was_made() -> None:
    """Requests sent after a report was made are not in it, so they must not be subtracted from it."""
    balancer = balancer_with_health_checks(0.002, report_fields=["x0"])
    endpoint = balancer.parts.endpoints.by_name["w0"]
    requests = balancer.parts.requests
    requests.open_attempt(request_of(balancer, "safe"), endpoint, found_free_slots=True)
    balancer.parts.context.now_us += 150_000
    requests.open_attempt(request_of(balancer, "safe", id=2, slots=2.0), endpoint, found_free_slots=True)
    balancer.parts.context.now_us += 50_000
    assert (
        endpoint.in_flight.in_flight_slots == 3.0
        and requests.in_flight_at(endpoint, balancer.parts.context.now_us - 120_000) == 1.0
    )
    assert requests.in_flight_at(endpoint, 0) == 1.0
    # Four slots are held, of which one was ours when the report was made.
    balancer.handle(balancer.parts.context.now_us, [HealthCheckEnded("w0", 1, 900, [0.0])])
    assert endpoint.peer_load.mean_peer_slots == pytest.approx(3.0)


def test_slots_held_by_peers_are_learned_for_each_endpoint() -> None:
    """An endpoint to which peers hardly send must not count with the mean over both zones.

    Otherwise its free slots are not used.
    """
    balancer = balancer_with_health_checks(0.002, report_fields=["x0"])
    balancer.parts.load.smoothed_in_flight = 8.0
    assert balancer.parts.load.peer_slots(balancer.parts.endpoints.by_name["w0"]) > 2
    for number in range(30):
        balancer.parts.context.now_us += 100_000
        balancer.handle(
            balancer.parts.context.now_us, [HealthCheckEnded("w0", 1, 900, [4.0 - number / 1000])]
        )
    balancer.parts.context.now_us += 10_000_000  # The last report has decayed by now.
    assert (
        balancer.parts.load.peer_slots(balancer.parts.endpoints.by_name["w0"])
        < 0.5
        < balancer.parts.load.peer_slots(balancer.parts.endpoints.by_name["w2"])
    )


def test_first_reply_from_another_zone_does_not_win() -> None:
    """If crossing has a price, endpoints of other zones count only after those of the own zone answered."""
    balancer = balancer_with_health_checks(0.002, balancers=100, tells_start=False, cross_zone_price=0.01)
    balancer.parts.reports.stale_estimate_rate = 0.5
    actions = balancer.handle(balancer.parts.context.now_us, [RequestReceived(1, "safe", 5_000_000)])
    checked = [action.endpoint for action in actions if isinstance(action, CheckHealth)]
    far_names = [name for name in checked if balancer.parts.endpoints.by_name[name].zone == "b"]
    near_names = [name for name in checked if balancer.parts.endpoints.by_name[name].zone == "a"]
    assert far_names and near_names
    for name in far_names:
        assert not balancer.handle(balancer.parts.context.now_us, [HealthCheckEnded(name, 1, 900, [0, 4])])
    (dispatch, *_) = balancer.handle(
        balancer.parts.context.now_us, [HealthCheckEnded(near_names[0], 1, 900, [0, 4])]
    )
    assert isinstance(dispatch, Dispatch) and dispatch.endpoint == near_names[0]


def test_request_of_two_slots_may_wait_less_in_a_backfilled_queue() -> None:
    """In a backfilled queue a request of two slots starves while others need only one slot."""
    max_waiting_sums = {}
    for order in ("fifo", "backfill"):
        balancer = new_balancer(queue_order=order, balancers=1)
        set_offered_load(balancer, 0.9)
        kind = balancer.parts.endpoints.by_name["w0"].kind
        two_slots, one_slot = new_request(balancer, 10.0, 2.0), new_request(balancer)
        max_waiting_sums[order] = [
            sum(balancer.parts.admission.max_waiting(kind, request) for _ in range(50))
            for request in (one_slot, two_slots)
        ]
    assert max_waiting_sums["fifo"][0] == pytest.approx(max_waiting_sums["backfill"][0], rel=0.2)
    assert max_waiting_sums["backfill"][1] < max_waiting_sums["fifo"][1] / 2


def test_stale_estimate_rate_is_learned_without_a_dispatch() -> None:
    """Every report must count in the stale rate, not only those on which a dispatch rests.

    A balancer that sends health checks first otherwise never learns how it would do without them, and makes
    requests wait for health checks for seconds.
    """
    balancer = balancer_with_health_checks(0.002, report_fields=["x0"], balancers=1)
    balancer.parts.reports.stale_estimate_rate = 0.5
    for number in range(100):
        balancer.parts.context.now_us += 50_000
        balancer.handle(
            balancer.parts.context.now_us, [HealthCheckEnded(f"w{number % 8}", 1, 900, [4.0 - number / 1000])]
        )
    assert balancer.parts.reports.stale_estimate_rate < 0.05


def test_hints_are_scaled_to_run_times() -> None:
    """If requests run a third longer than their hints, unscaled hints underestimate the load."""
    balancer = new_balancer(balancers=1, worth_by_work=True)
    for number in range(200):
        balancer.parts.context.now_us += 1_000_000
        (dispatch, *_) = balancer.handle(
            balancer.parts.context.now_us, [RequestReceived(number, "safe", 5_000_000, hint_us=60_000)]
        )
        assert isinstance(dispatch, Dispatch)
        balancer.handle(balancer.parts.context.now_us, [ExecutionStarted(number, 0)])
        balancer.parts.context.now_us += 90_000
        balancer.handle(
            balancer.parts.context.now_us, [AttemptEnded(number, 0, 1, 90_000, True, None, dispatch.endpoint)]
        )
    balancer.handle(balancer.parts.context.now_us, [RequestReceived(999, "safe", 5_000_000, hint_us=40_000)])
    assert balancer.parts.requests.by_id[999].run_time_us == pytest.approx(60_000, rel=0.02)


def test_hedge_that_would_wait_itself_delays_other_work() -> None:
    """The mean load is low, but the target of the hedge has no free slots either."""
    balancer = new_balancer(balancers=1)
    balancer.settings.limits.cancelling = False
    set_offered_load(balancer, 0.2)
    request = new_request(balancer)
    attempt, target = waiting_attempt(balancer, request, 150_000)
    assert balancer.parts.costs.is_hedge_worthwhile(request, attempt, target)
    target.in_flight.in_flight_slots = 4.0
    assert not balancer.parts.costs.is_hedge_worthwhile(request, attempt, target)


def test_endpoint_that_answers_no_health_check_gets_no_request_until_it_does() -> None:
    """Otherwise requests are lost at a silent endpoint until the first of them is overdue."""
    balancer = balancer_with_health_checks(0.002)
    endpoints = [balancer.parts.endpoints.by_name[f"w{n}"] for n in range(8)]
    balancer.handle(balancer.parts.context.now_us, [HealthCheckEnded("w0", int(Outcome.TIMEOUT), 120_000)])
    assert endpoints[0] not in balancer.parts.eligibility.eligible(new_request(balancer), endpoints)
    balancer.handle(balancer.parts.context.now_us, [HealthCheckEnded("w0", 1, 900, [1, 3])])
    assert endpoints[0] in balancer.parts.eligibility.eligible(new_request(balancer), endpoints)
    balancer.handle(balancer.parts.context.now_us, [HealthCheckEnded("w0", int(Outcome.TIMEOUT), 120_000)])
    balancer.parts.context.now_us += 1_500_000  # A single answer may get lost where no more checks follow.
    assert endpoints[0] in balancer.parts.eligibility.eligible(new_request(balancer), endpoints)


def test_slots_are_learned_from_running_requests_where_free_ones_are_not_reported() -> None:
    """With three slots held and nothing queued there must be more than one slot.

    With one slot believed, a third of the requests were rejected at a low load.
    """
    balancer = new_balancer(
        report_fields=["waiting", "active"],
        free_slots_field="",
        held_field="active",
        queued_field="waiting",
        tells_start=False,
    )
    for kind in balancer.parts.endpoints.kinds.values():
        kind.capacity.slots, kind.capacity.slots_are_reported = 1.0, False
    balancer.handle(balancer.parts.context.now_us, [HealthCheckEnded("w0", 1, 900, [0.0, 3.1])])
    assert balancer.parts.endpoints.by_name["w0"].kind.capacity.slots == 3
    balancer.handle(balancer.parts.context.now_us, [HealthCheckEnded("w0", 1, 900, [4.0, 6.9])])
    assert balancer.parts.endpoints.by_name["w0"].kind.capacity.slots == 3
