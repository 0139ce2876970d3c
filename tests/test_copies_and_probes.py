"""Second copies, probes and crossings by their worth: docs/COPIES-AND-PROBES.md."""

from __future__ import annotations

import math

import pytest

from merlinbay.decision import Balancer
from merlinbay.decision.actions import CheckHealth, Dispatch
from merlinbay.decision.events import (
    AttemptEnded,
    EndpointsChanged,
    ExecutionStarted,
    HealthCheckEnded,
    RequestReceived,
)
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.records import Attempt, Endpoint, Job
from merlinbay.decision.worth import share_started
from tests.support import entry, settings

RUN_US = 100_000


def balancer(**changes: object) -> Balancer:
    """Return a balancer that knows a fleet of four slots each, idle, and what a mean job is."""
    made = Balancer(settings(**{"asks_first": True, **changes}), 1, 1_000_000)
    made.handle(1_000_000, [EndpointsChanged("all", [entry(n) for n in range(8)])])
    for kind in made.kinds.values():
        kind.slots, kind.told = 4.0, True
    for cls in made.classes.values():
        cls.run, cls.seen = RUN_US, 100
    made.mean_run, made.mean_worth = RUN_US, 5.0
    made.count_slots(1_500_000)
    return made


def job_of(made: Balancer, worth: float = 5.0, slots: float = 1.0) -> Job:
    """Return a job that has just arrived; it is in time if it starts within 200 ms."""
    state = made.classes["safe"]
    return Job(1, state, slots, 0.0, "", RUN_US, worth, made.now + 5_000_000, arrived=made.now)


def waiting(made: Balancer, job: Job, since_us: int) -> tuple[Attempt, Endpoint]:
    """Return an attempt that has not started for so long, and a near endpoint with room."""
    attempt = Attempt(made.endpoints["w0"], made.now)
    job.attempts, job.pending = [attempt], 1
    made.now += since_us
    return attempt, made.endpoints["w2"]


def offer(made: Balancer, load: float) -> None:
    """Let the offered load be this share of all slots."""
    made.rate.value = load * made.slots_total / made.settings.balancers / made.mean_run


def test_a_long_wait_lasts() -> None:
    """The chance falls with the wait, and there is none where no time is left."""
    assert share_started(0, 1) == 1 and share_started(100, 0) == share_started(0, -1) == 0
    assert share_started(100, 100) == 0.5 > share_started(200, 100)


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
    made.limits.cancelling = False
    offer(made, load)
    job = job_of(made, slots=slots)
    attempt, target = waiting(made, job, since_us)
    assert made.copy_pays(job, attempt, target) is pays


def test_a_job_of_a_class_not_seen_yet_is_not_taken_for_late() -> None:
    """Until an answer has come, a run counts as the aim, which leaves no time to start."""
    made = balancer()
    offer(made, 0.1)
    job = job_of(made)
    job.cls.spec.stretch, job.cls.seen, job.run = 0.0, 0, job.cls.spec.aim_us
    attempt, target = waiting(made, job, 30_000)
    assert made.copy_pays(job, attempt, target)


def test_copies_are_not_weighed_where_answers_report_the_load() -> None:
    """There an endpoint that is fuller than was believed shows by its next answer."""
    for asks_first in (False, True):
        made = balancer(asks_first=asks_first)
        offer(made, 1.0)
        job = job_of(made)
        attempt, target = waiting(made, job, 10_000)
        assert made.copy_pays(job, attempt, target) is not asks_first


def test_what_a_cancel_may_drop_counts_half() -> None:
    """A copy that does not pay as work twice over may pay where the attempt that waits can be cancelled."""
    for cancelling in (False, True):
        made = balancer()
        made.limits.cancelling = cancelling
        offer(made, 1.0)
        job = job_of(made)
        attempt, target = waiting(made, job, 150_000)
        assert made.copy_pays(job, attempt, target) is cancelling


def test_a_copy_over_the_border_pays_for_the_crossing() -> None:
    """The same copy, to the other zone, where that has a price."""
    for price, pays in ((0.0, True), (0.9, False)):
        made = balancer(cross_zone_price=price)
        offer(made, 0.1)
        job = job_of(made)
        attempt, _ = waiting(made, job, 150_000)
        assert made.copy_pays(job, attempt, made.endpoints["w1"]) is pays


def test_a_job_at_a_slow_worker_is_copied_while_that_helps() -> None:
    """It runs on at an endpoint of three times the pace; the copy has to be in time itself."""
    made = balancer()
    offer(made, 0.3)
    job = job_of(made)
    attempt, target = waiting(made, job, RUN_US)
    attempt.started = attempt.at
    assert not made.copy_pays(job, attempt, target)  # as fast as others: it is about to end
    made.endpoints["w0"].pace, made.endpoints["w0"].paced_at = 8.0, made.now
    assert made.copy_pays(job, attempt, target)
    made.now += 250_000
    assert not made.copy_pays(job, attempt, target)  # too late


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
    for endpoint in made.endpoints.values():
        if endpoint.zone == "a":
            endpoint.held = 4.0 + behind / 4
    offer(made, 0.5)
    made._gate = lambda kind, job: 100.0  # type: ignore[method-assign]
    picked = made._pick(job_of(made, worth))
    assert picked is not None and (picked.zone == "b") is far


def probes(made: Balancer) -> list[str]:
    """Return whom a balancer probes for 100 jobs, once it knows what is offered: 100 a second."""
    out = []
    for number in range(400):
        made.now += 10_000
        actions = made.handle(made.now, [RequestReceived(100 + number, "safe", 5_000_000)])
        out += (
            [action.endpoint for action in actions if isinstance(action, CheckHealth)]
            if number >= 300
            else []
        )
        for placed in (action for action in actions if isinstance(action, Dispatch)):
            made.handle(made.now, [AttemptEnded(placed.id, 0, 1, RUN_US, True, None, placed.endpoint)])
    return out


def probing(price: float, **changes: object) -> Balancer:
    """Return a balancer that hears reports from probes only."""
    made = balancer(asks_first=True, probe_price=price, **changes)
    made.limits.probes = True
    made.misjudged = 0.05
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
        made.misjudged = 0.5
        made.rate.value = 1 / 2_000_000
        assert made.probing_first_pays(made.endpoints["w0"].kind, 6, 8) is first
    made = probing(0.002)
    made.rate.value = 1 / 10_000
    assert not made.probing_first_pays(made.endpoints["w0"].kind, 6, 8)


def test_probes_are_rarer_where_little_is_sent_or_little_goes_wrong() -> None:
    """An endpoint that gets few of our jobs, or a fleet where room is as believed, needs no news."""
    made = probing(0.002)
    kind = made.endpoints["w0"].kind
    assert made.probe_every(kind, 1e-4) < made.probe_every(kind, 1e-5) < math.inf
    assert made.probe_every(kind, 1e-9) == math.inf
    made.misjudged = 0.0
    assert made.probe_every(kind, 1e-4) == math.inf


def test_the_work_of_a_probe_counts_as_far_as_others_want_it() -> None:
    """What a probe takes the endpoint is dear where the load is high."""
    made = probing(0.002)
    made.probe_us = 2_000.0
    kind = made.endpoints["w0"].kind
    offer(made, 0.1)
    calm = made.probe_every(kind, 1e-4)
    offer(made, 1.0)
    assert made.probe_every(kind, 1e-4) > calm


def test_a_queue_in_a_report_counts_as_held() -> None:
    """Found as late answers: an endpoint where five wait looked like one that is just full."""
    made = probing(0.002, report_fields=["waiting", "x0"], queued_field="waiting")
    endpoint = made.endpoints["w0"]
    for number in range(20):
        made.now += 50_000
        made.handle(made.now, [HealthCheckEnded("w0", 1, 900, [5.0 + number / 1000, 0.0])])
    assert made._free(endpoint) < -3


def test_slots_are_not_taken_from_the_noise_of_reports() -> None:
    """Found as seven slots believed where there are five: the most that was ever reported free."""
    made = probing(0.002, report_fields=["x0"])
    for kind in made.kinds.values():
        kind.told = False
    for number in range(200):
        made.now += 50_000
        free = 5.0 * (1 + 0.3 * math.sin(number))
        made.handle(made.now, [HealthCheckEnded(f"w{number % 8}", 1, 900, [free])])
    assert made.endpoints["w0"].kind.slots == 5


def test_a_report_is_compared_with_what_was_held_when_it_was_made() -> None:
    """What was sent after the report was made is not in it; it must not be taken off the others' count."""
    made = probing(0.002, report_fields=["x0"])
    endpoint = made.endpoints["w0"]
    endpoint.count(made.now, 1.0)
    made.now += 200_000
    endpoint.count(made.now - 50_000, 2.0)
    assert endpoint.held == 3.0 and endpoint.held_at(made.now - 120_000) == 1.0
    assert endpoint.held_at(0) == 1.0
    made.handle(made.now, [HealthCheckEnded("w0", 1, 900, [0.0])])  # four held, one of them ours then
    assert endpoint.others_mean == pytest.approx(3.0)


def test_what_others_hold_is_learned_for_each_worker() -> None:
    """Found as room not used: the mean over both zones counted where the other balancers hardly send."""
    made = probing(0.002, report_fields=["x0"])
    made.mean_held = 8.0
    assert made._others(made.endpoints["w0"]) > 2
    for number in range(30):
        made.now += 100_000
        made.handle(made.now, [HealthCheckEnded("w0", 1, 900, [4.0 - number / 1000])])
    made.now += 10_000_000  # the last report is forgotten
    assert made._others(made.endpoints["w0"]) < 0.5 < made._others(made.endpoints["w2"])


def test_a_reply_from_beyond_the_border_does_not_win_by_being_first() -> None:
    """Where crossings cost, endpoints away count once those nearby have answered too."""
    made = probing(0.002, balancers=100, tells_start=False, cross_zone_price=0.01)
    made.misjudged = 0.5
    actions = made.handle(made.now, [RequestReceived(1, "safe", 5_000_000)])
    probed = [action.endpoint for action in actions if isinstance(action, CheckHealth)]
    away = [name for name in probed if made.endpoints[name].zone == "b"]
    near = [name for name in probed if made.endpoints[name].zone == "a"]
    assert away and near
    for name in away:
        assert not made.handle(made.now, [HealthCheckEnded(name, 1, 900, [0, 4])])
    (placed, *_) = made.handle(made.now, [HealthCheckEnded(near[0], 1, 900, [0, 4])])
    assert isinstance(placed, Dispatch) and placed.endpoint == near[0]


def test_a_job_of_two_slots_waits_less_where_others_overtake_it() -> None:
    """In a backfilled queue one that needs two slots at once starves while others wait for one."""
    gates = {}
    for order in ("fifo", "backfill"):
        made = balancer(queue_order=order, balancers=1)
        offer(made, 0.9)
        kind = made.endpoints["w0"].kind
        two, one = job_of(made, 10.0, 2.0), job_of(made)
        gates[order] = [sum(made._gate(kind, job) for _ in range(50)) for job in (one, two)]
    assert gates["fifo"][0] == pytest.approx(gates["backfill"][0], rel=0.2)
    assert gates["backfill"][1] < gates["fifo"][1] / 2


def test_what_reports_contradict_is_learned_without_placing_a_job() -> None:
    """Found as waiting for probes for seconds: who probes first never saw how it would do without."""
    made = probing(0.002, report_fields=["x0"], balancers=1)
    made.misjudged = 0.5
    for number in range(100):
        made.now += 50_000
        made.handle(made.now, [HealthCheckEnded(f"w{number % 8}", 1, 900, [4.0 - number / 1000])])
    assert made.misjudged < 0.05


def test_hints_are_taken_in_the_measure_of_run_times() -> None:
    """Found as an underestimated load: jobs ran a third longer than their hints."""
    made = balancer(balancers=1, worth_by_work=True)
    for number in range(200):
        made.now += 1_000_000
        (placed, *_) = made.handle(made.now, [RequestReceived(number, "safe", 5_000_000, hint_us=60_000)])
        assert isinstance(placed, Dispatch)
        made.handle(made.now, [ExecutionStarted(number, 0)])
        made.now += 90_000
        made.handle(made.now, [AttemptEnded(number, 0, 1, 90_000, True, None, placed.endpoint)])
    made.handle(made.now, [RequestReceived(999, "safe", 5_000_000, hint_us=40_000)])
    assert made.jobs[999].run == pytest.approx(60_000, rel=0.02)


def test_a_copy_that_would_wait_itself_displaces_other_work() -> None:
    """At a low load in the mean, but where the target has no room either."""
    made = balancer(balancers=1)
    made.limits.cancelling = False
    offer(made, 0.2)
    job = job_of(made)
    attempt, target = waiting(made, job, 150_000)
    assert made.copy_pays(job, attempt, target)
    target.held = 4.0
    assert not made.copy_pays(job, attempt, target)


def test_a_worker_that_answers_no_probe_gets_no_job_until_it_does() -> None:
    """Found as jobs lost at a silent endpoint until the first of them was overdue."""
    made = probing(0.002)
    endpoints = [made.endpoints[f"w{n}"] for n in range(8)]
    made.handle(made.now, [HealthCheckEnded("w0", int(Outcome.TIMEOUT), 120_000)])
    assert endpoints[0] not in made.eligible(job_of(made), endpoints)
    made.handle(made.now, [HealthCheckEnded("w0", 1, 900, [1, 3])])
    assert endpoints[0] in made.eligible(job_of(made), endpoints)
    made.handle(made.now, [HealthCheckEnded("w0", int(Outcome.TIMEOUT), 120_000)])
    made.now += 1_500_000  # one answer may get lost where no more probes go out
    assert endpoints[0] in made.eligible(job_of(made), endpoints)


def test_slots_are_seen_from_what_runs_where_free_ones_are_not_told() -> None:
    """Found as a third refused at a low load: three held, none waiting, and one slot believed."""
    made = balancer(
        report_fields=["waiting", "active"],
        free_slots_field="",
        held_field="active",
        queued_field="waiting",
        tells_start=False,
    )
    for kind in made.kinds.values():
        kind.slots, kind.told = 1.0, False
    made.handle(made.now, [HealthCheckEnded("w0", 1, 900, [0.0, 3.1])])
    assert made.endpoints["w0"].kind.slots == 3
    made.handle(made.now, [HealthCheckEnded("w0", 1, 900, [4.0, 6.9])])
    assert made.endpoints["w0"].kind.slots == 3
