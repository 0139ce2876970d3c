"""Failures of endpoints, lists, reports and clocks, and how the decision module handles them.

There is one small test for each failure that was found, and for further ones that could happen. The tests use
the module alone, with scripted outcomes.
"""

from __future__ import annotations

import pytest

from merlinbay.decision import Balancer
from merlinbay.decision.actions import Action, Cancel, CheckHealth, Dispatch, Fail, Reject
from merlinbay.decision.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsChanged,
    ExecutionPaused,
    ExecutionStarted,
    HealthCheckEnded,
    RequestReceived,
)
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.settings import DispatchLimits, RequestClass, SafetyMargins, Settings, Tenant
from tests.support import Checker, entry, settings


def fleet(endpoints: int = 6, **changes: object) -> Checker:
    """Return a checker over a balancer that knows a fleet of ``endpoints`` endpoints."""
    conf = settings(**changes)
    check = Checker(conf, Balancer(conf, 3, 1_000_000))
    check.deliver(EndpointsChanged("all", [entry(n) for n in range(endpoints)]))
    return check


def offer(check: Checker, number: int, cls: str = "safe", **fields: object) -> str:
    """Offer a job; return the endpoint to which it was dispatched, or '' if it was rejected."""
    budget = next(c.deadline_us for c in check.conf.classes if c.name == cls)
    actions = check.deliver(RequestReceived(number, cls, budget, **fields))  # type: ignore[arg-type]
    placed = [a for a in actions if isinstance(a, Dispatch) and a.id == number]
    assert placed or any(isinstance(a, Reject) and a.id == number for a in actions)
    return placed[0].endpoint if placed else ""


def end(
    check: Checker, number: int, outcome: int = 1, attempt: int = 0, report: list[object] | None = None
) -> list[Action]:
    """End an attempt with an outcome, and return the actions that follow."""
    sent, job = check.requests[number].attempts[attempt], check.requests[number]
    return check.deliver(
        AttemptEnded(
            number,
            attempt,
            outcome,
            check.now - sent.at,
            job.is_settled or outcome == 1,
            report,
            sent.endpoint,
        )
    )


def serve(check: Checker, numbers: range, run_us: int = 50_000, cls: str = "safe") -> list[str]:
    """Offer jobs one after another, and start and complete each; return their endpoints."""
    where = []
    for number in numbers:
        endpoint = offer(check, number, cls)
        where.append(endpoint)
        if endpoint:
            check.pass_time(1_000)
            check.deliver(ExecutionStarted(number, 0))
            check.pass_time(run_us)
            end(check, number, report=[1, 3])
        else:
            check.pass_time(run_us)
    return where


@pytest.mark.parametrize("outcome", [2, 5, 6])
def test_failing_endpoint_does_not_look_free(outcome: int) -> None:
    """An endpoint that fails jobs at once has few in flight, and must not attract jobs for that reason.

    It is used again once it works.
    """
    check = fleet()
    serve(check, range(20))
    bad, drawn = "w0", 0
    for number in range(100, 220):
        endpoint = offer(check, number)
        check.pass_time(20_000)
        drawn += endpoint == bad
        if endpoint:
            end(check, number, outcome if endpoint == bad else 1, report=[0, 5])
        for i, sent in enumerate(check.requests[number].attempts):
            if not sent.outcome:
                end(check, number, outcome if sent.endpoint == bad else 1, i)
    assert drawn <= 6
    check.pass_time(10_000_000)
    assert bad in serve(check, range(300, 360))
    check.finish()
    assert check.broken == []


def run_fleet(check: Checker, numbers: range, slow: str, times: float) -> list[str]:
    """Offer a job every 10 ms that runs for 50 ms, longer on ``slow``; return the first endpoints."""
    due: dict[tuple[int, int], int] = {}
    where, offers = [], iter(numbers)
    while (number := next(offers, None)) is not None or due:
        if number is not None:
            where.append(offer(check, number))
        for running, job in check.requests.items():
            for copy, sent in enumerate(job.attempts):  # each attempt starts at once
                if running in numbers and not sent.outcome and (running, copy) not in due:
                    check.deliver(ExecutionStarted(running, copy))
                    due[running, copy] = check.now + int(50_000 * (times if sent.endpoint == slow else 1))
        check.pass_time(10_000)
        for (running, copy), at in list(due.items()):
            if check.requests[running].attempts[copy].outcome:  # cancelled
                del due[running, copy]
            elif at <= check.now:
                del due[running, copy]
                end(check, running, 1, copy, report=[1, 3])
    return where


def test_endpoint_that_slows_down_gets_few_jobs_and_recovers() -> None:
    """Its pace is learned from its jobs, which are hedged elsewhere; it is tried again after a while."""
    check = fleet(kinds=["k"], balancers=1)
    before = run_fleet(check, range(100, 200), "w2", 1)
    during = run_fleet(check, range(200, 500), "w2", 6)
    assert before.count("w2") >= 8
    assert during.count("w2") <= 15  # with its former share it would get 50 or more
    copied = [job for job in check.requests.values() if len(job.attempts) > 1]
    assert copied and all(job.attempts[0].endpoint == "w2" for job in copied)
    check.pass_time(40_000_000)
    assert run_fleet(check, range(500, 700), "w2", 1).count("w2") >= 10
    check.finish()
    assert check.broken == []


def test_occasional_connection_resets_eject_no_endpoint() -> None:
    """Two consecutive resets point to the network; each endpoint must keep getting its share of the jobs."""
    check = fleet()
    serve(check, range(20))
    for number in range(100, 160):
        endpoint = offer(check, number)
        check.pass_time(5_000)
        end(check, number, 6 if number % 3 else 1, report=[1, 3])
        assert not check.requests[number].is_settled or number % 3 == 0
        for i, sent in enumerate(check.requests[number].attempts):
            if not sent.outcome:
                end(check, number, 1, i, report=[1, 3])
        assert endpoint
    now = check.now
    assert isinstance(check.balancer, Balancer)
    assert all(
        endpoint.failures.ejected_until_us <= now
        for endpoint in check.balancer.parts.endpoints.by_name.values()
    )
    check.finish()
    assert check.broken == []


def test_hung_endpoint_gets_no_new_jobs_and_recovers() -> None:
    """An endpoint that accepts jobs and answers none is avoided; it is tried again after its timeouts."""
    check = fleet(balancers=1)
    serve(check, range(20))
    dispatched = 0
    for number in range(100, 300):
        endpoint = offer(check, number, "unsafe")
        check.pass_time(25_000)
        dispatched += endpoint == "w2"
        if endpoint and endpoint != "w2":
            end(check, number, report=[0, 5])
    assert dispatched <= 12  # at most the jobs that it got before its silence was detected
    check.pass_time(30_000_000)
    assert "w2" in serve(check, range(400, 460), cls="unsafe")
    check.finish()
    assert check.broken == []


def test_unstarted_job_is_hedged_and_the_first_attempt_to_start_keeps_it() -> None:
    """A stalled endpoint must not hold up a job that is safe to repeat."""
    check = fleet()
    serve(check, range(10))
    first = offer(check, 50)
    check.pass_time(400_000)
    sent = check.requests[50].attempts
    assert len(sent) >= 2 and sent[1].endpoint != first
    actions = check.deliver(ExecutionStarted(50, len(sent) - 1))
    assert Cancel(50, 0) in actions


def test_endpoint_that_reports_free_slots_but_rejects_jobs() -> None:
    """An endpoint that reports free slots but rejects jobs must not be tried over and over."""
    check = fleet(balancers=1)
    serve(check, range(10))
    dispatched = 0
    for number in range(100, 150):
        if offer(check, number) == "w2":
            dispatched += 1
            end(check, number, 3, report=[0, float(5 + number % 2)])
        for i, sent in enumerate(check.requests[number].attempts):
            if not sent.outcome:
                end(check, number, 1, i)
        check.pass_time(2_000)
    assert dispatched < 25
    check.finish()
    assert check.broken == []


def test_frozen_load_report_counts_once() -> None:
    """A report that never changes counts once, so its endpoint does not look fuller with each repeat."""
    check = fleet(endpoints=1, balancers=1)
    serve(check, range(10))
    assert isinstance(check.balancer, Balancer)
    for _ in range(20):
        check.deliver(HealthCheckEnded("w0", 1, 5, [9, 0.0]))
    once = check.balancer.parts.load.peer_slots(check.balancer.parts.endpoints.by_name["w0"])
    assert 0 < once <= 0.5 * 3
    assert offer(check, 100)


@pytest.mark.parametrize("scope", ["changes", "all"])
def test_all_endpoints_drain_at_once_and_return(scope: str) -> None:
    """Without a usable endpoint, jobs are rejected unsent; admission recovers with the list."""
    check = fleet()
    serve(check, range(10))
    check.deliver(
        EndpointsChanged(scope, [entry(n, "draining") for n in range(6)] if scope == "changes" else [])
    )
    assert offer(check, 50) == ""
    check.deliver(EndpointsChanged("all", [entry(n) for n in range(6)]))
    assert offer(check, 51)
    check.finish()
    assert check.broken == []


def test_flapping_endpoint_list() -> None:
    """A list that alternately drops and names endpoints breaks no rule and loses no job."""
    check = fleet()
    for number in range(60):
        check.deliver(EndpointsChanged("all", [entry(n) for n in range(6) if (n + number) % 3]))
        offer(check, number, ("safe", "keyed", "unsafe")[number % 3])
        check.pass_time(60_000)
    check.finish()
    assert check.broken == []


def test_restart_with_a_stale_list_under_load() -> None:
    """After a restart only the remembered list is known, and half of its endpoints are gone.

    Jobs move on to other endpoints after connect failures, and none is lost.
    """
    conf = settings()
    check = Checker(conf, Balancer(conf, 3, 1_000_000))
    check.deliver(EndpointsChanged("remembered", [entry(n) for n in range(8)]))
    for number in range(80):
        offer(check, number, ("safe", "keyed", "unsafe")[number % 3])
        for i, sent in enumerate(list(check.requests[number].attempts)):
            if not sent.outcome:
                end(check, number, 5 if sent.endpoint in ("w0", "w1", "w2", "w3") else 1, i)
        check.pass_time(30_000)
    check.finish()
    assert check.broken == []
    assert sum(any(s.outcome == 1 for s in job.attempts) for job in check.requests.values()) > 70


def test_clock_jumps() -> None:
    """A jump forward fires each due timer once; a step back counts as no time having passed."""
    check = fleet()
    serve(check, range(10))
    offer(check, 50, "unsafe")
    check.now -= 700_000
    offer(check, 51)
    check.now += 3_600_000_000
    check.pass_time(1)
    assert offer(check, 52)
    check.finish()
    assert check.broken == []


def test_endpoints_without_jobs_yet_are_tried() -> None:
    """A kind that has run no job yet counts as an average one.

    Otherwise it gets no job and stays unknown; on one day, 7 of 32 endpoints were used.
    """
    check = fleet(endpoints=8, balancers=2, report_fields=[])
    used = set()
    for number in range(200):
        used.add(offer(check, number))
        if check.requests[number].attempts:
            check.deliver(ExecutionStarted(number, 0))
        check.pass_time(10_000)
        if number >= 100:
            end(check, number - 100)
    assert len(used - {""}) >= 7


def test_jobs_with_the_same_key_go_to_few_endpoints() -> None:
    """A job with a key goes to its few endpoints, or to any other if none of them is usable.

    Spread over all endpoints, jobs with keys missed their caches and piled up.
    """
    check = fleet(endpoints=12, balancers=1)
    where = set()
    for number in range(40):
        endpoint = offer(check, number, key="k")
        where.add(endpoint)
        if endpoint:
            end(check, number, report=[0, 5])
    where.discard("")
    assert 1 <= len(where) <= 3
    rest = [entry(n, "draining" if f"w{n}" in where else "up") for n in range(12)]
    check.deliver(EndpointsChanged("changes", rest))
    assert offer(check, 99, key="k") not in {"", *where}


@pytest.mark.parametrize("balancers", [1, 16, 100])
def test_one_job_does_not_block_admission_at_any_number_of_balancers(balancers: int) -> None:
    """A balancer scales its own jobs up to estimate the load of all.

    With hundreds of balancers, a single job of this one must not cause the next to be rejected.
    """
    check = fleet(endpoints=20, balancers=balancers)
    offer(check, 1)
    check.pass_time(300_000)
    assert offer(check, 2)


def test_jobs_over_quota_are_rejected_first() -> None:
    """The jobs that a tenant sends beyond its quota have a lower priority weight."""

    def served(quota: float) -> int:
        check = fleet(endpoints=2, balancers=1, over_share_worth=0.01, tenants=[Tenant("t", quota)])
        count = 0
        for number in range(200):
            count += bool(offer(check, number, "unsafe", tenant="t" if number % 2 else ""))
            check.pass_time(5_000)
            if number >= 30 and check.requests[number - 30].attempts:
                end(check, number - 30)
        return sum(bool(check.requests[n].attempts) for n in range(1, 200, 2))

    assert served(0.001) < served(1e9)


def test_state_is_bounded() -> None:
    """Finished jobs, removed endpoints and old timers must leave no state behind."""
    check = fleet()
    assert isinstance(check.balancer, Balancer)
    for number in range(3000):
        offer(check, number, key=f"key{number}")
        for i, sent in enumerate(check.requests[number].attempts):
            if not sent.outcome:
                end(check, number, 1, i)
        del check.requests[number]
        check.pass_time(5_000)
        if number % 100 == 0:
            check.deliver(EndpointsChanged("all", [entry(number + n) for n in range(6)]))
    check.pass_time(5_000_000)
    balancer = check.balancer
    assert (
        not balancer.parts.requests.by_id
        and not balancer.parts.timers
        and len(balancer.parts.endpoints.by_name) == 6
    )
    assert balancer.parts.placement.cached_key_count() <= 4096


@pytest.mark.parametrize(
    ("cls", "values", "name"),
    [
        (DispatchLimits, {"send_cap": 0}, "limits.send_cap"),
        (SafetyMargins, {"cold_from": 0}, "safety.cold_from"),
        (Settings, {"classes": []}, "classes"),
        (RequestClass, {"name": "c", "aim_us": 1, "deadline_us": 0}, "deadline_us"),
        (RequestClass, {"name": "c", "aim_us": 1, "deadline_us": 5, "effect": "maybe"}, "effect"),
    ],
)
def test_invalid_settings_name_the_field(cls: type, values: dict[str, object], name: str) -> None:
    """Invalid settings raise a ``ValueError`` that names the field."""
    with pytest.raises(ValueError, match=name.replace(".", r"\.")):
        cls(**values)


def fleet_with_health_checks() -> Checker:
    """Return a checker over a fleet that reports its load to health checks only."""
    limits = DispatchLimits(probes=True, send_cap=3)
    return fleet(asks_first=True, tells_start=False, limits=limits, balancers=100, held_field="active")


def checked_for(check: Checker, number: int) -> list[str]:
    """Offer a job, and return the endpoints that are checked for it before its dispatch."""
    actions = check.deliver(RequestReceived(number, "safe", 5_000_000))
    assert not any(isinstance(a, (Dispatch, Reject)) for a in actions)
    return [a.endpoint for a in actions if isinstance(a, CheckHealth)]


def test_job_waits_for_health_checks_and_goes_to_the_first_free_endpoint() -> None:
    """If only health checks report the load, the module checks endpoints before it dispatches a job.

    A scaled estimate from one job is noise then: 70% of the jobs were rejected as full.
    """
    check = fleet_with_health_checks()
    first, second, *_ = checked = checked_for(check, 1)
    assert 2 <= len(checked) == len(set(checked)) <= 6
    assert not check.deliver(HealthCheckEnded(first, 1, 500, [9, 0]))
    placed = check.deliver(HealthCheckEnded(second, 1, 600, [1, 2]))
    assert [a.endpoint for a in placed if isinstance(a, Dispatch)] == [second]
    for name in checked[2:]:
        assert not check.deliver(HealthCheckEnded(name, 1, 700, [0, 3]))
    checked = checked_for(check, 2)
    for name in checked:
        last = check.deliver(HealthCheckEnded(name, 1, 500, [90, 0]))
    assert [type(a) for a in last] == [Reject]
    assert not check.broken


def test_endpoint_that_drains_after_its_health_check_gets_no_job() -> None:
    """The list may change between the reply to a health check and the decision."""
    check = fleet_with_health_checks()
    check.deliver(*[HealthCheckEnded(f"w{n}", 1, 500, [0, 4]) for n in range(6)])
    first, *others = checked_for(check, 1)
    # The endpoint is full, but still below its admission limit.
    assert not check.deliver(HealthCheckEnded(first, 1, 500, [4, 0]))
    check.deliver(EndpointsChanged("changes", [entry(int(first[1:]), "draining")]))
    check.pass_time(1_000)
    for name in others:
        last = check.deliver(HealthCheckEnded(name, 1, 600, [90, 0]))
    assert [type(a) for a in last] == [Reject]


def test_job_rejected_as_full_checks_other_endpoints() -> None:
    """The free slot may be taken when the job arrives. Other endpoints are then checked, not the full one."""
    check = fleet_with_health_checks()
    endpoint = checked_for(check, 1)[0]
    check.deliver(HealthCheckEnded(endpoint, 1, 500, [0, 3]))
    actions = check.deliver(AttemptEnded(1, 0, 3, 900, False, None, endpoint))
    again = [a.endpoint for a in actions if isinstance(a, CheckHealth)]
    assert again and endpoint not in again


def test_lost_health_checks_delay_no_final_answer() -> None:
    """Neither a lost reply to a health check nor a disconnected client may delay a final answer."""
    check = fleet_with_health_checks()
    checked_for(check, 1)
    check.pass_time(200_000)
    assert check.requests[1].attempts or check.requests[1].answers
    checked_for(check, 2)
    check.deliver(ClientDisconnected(2))
    assert isinstance(check.balancer, Balancer) and 2 not in check.balancer.parts.requests.by_id
    checked = checked_for(check, 3)
    for name in checked:  # replies to checks for settled jobs count for the job that waits
        check.deliver(HealthCheckEnded(name, 4, 100_000, None))
    assert check.requests[3].attempts or check.requests[3].answers
    assert not check.broken


def test_wrong_load_reports_lose_their_weight() -> None:
    """Endpoints that report free slots but reject jobs must lose the trust in their reports.

    The smoothed mean then counts for more (issue i601cff).
    """
    check = fleet(endpoints=4, balancers=2, report_fields=["x0"])
    balancer = check.balancer
    assert isinstance(balancer, Balancer)
    for number in range(30):
        offer(check, number)
        sent = 0
        while sent < len(check.requests[number].attempts):
            endpoint, reported = check.requests[number].attempts[sent].endpoint, 5.0 + number % 2 / 100
            check.deliver(AttemptEnded(number, sent, 3, 300, False, [reported], endpoint))
            sent += 1
        check.pass_time(1_000_000)
    assert balancer.parts.reports.capacity_hit_rate < 0.3
    balancer.parts.load.smoothed_in_flight, seen = 20.0, balancer.parts.endpoints.by_name["w0"]
    balancer.parts.load.observe_peers(seen, 5.0)
    check.deliver(HealthCheckEnded("w0", 1, 300, [4.9]))  # it reports that no slot is taken
    assert balancer.parts.load.peer_slots(seen) > 4
    assert not check.broken


def test_jobs_of_an_overloaded_zone_go_to_another() -> None:
    """Full endpoints nearby must not be preferred to free ones far away; they are used again once free."""
    check = fleet(endpoints=6, balancers=1)
    near = {f"w{n}" for n in range(6) if entry(n).zone == "a"}
    for n in range(6):
        check.deliver(HealthCheckEnded(f"w{n}", 1, 100, [5, 0.0] if f"w{n}" in near else [0, 5.0]))
        check.deliver(HealthCheckEnded(f"w{n}", 1, 100, [5, 0.1] if f"w{n}" in near else [0, 5.1]))
    for endpoint in near:
        check.balancer.parts.load.observe_peers(check.balancer.parts.endpoints.by_name[endpoint], 9.0)  # type: ignore[attr-defined]
    assert offer(check, 1) not in {"", *near}
    check.pass_time(10_000_000)
    assert {offer(check, number) for number in range(2, 6)} & near


def test_all_endpoints_restart_at_once() -> None:
    """A fleet in slow start gets few jobs at first and the usual number once warm; no job is lost."""
    check = fleet(endpoints=6, balancers=8)
    serve(check, range(20))
    check.deliver(EndpointsChanged("changes", [entry(n, "up", check.now - 1_000) for n in range(6)]))
    serve(check, range(100, 160))
    check.check_slow_start(slots=3, run_us=50_000)
    check.pass_time(9_000_000)
    assert sum(map(bool, serve(check, range(200, 260)))) > 50
    check.finish()
    assert not check.broken


def test_overlapping_failures_break_no_rule() -> None:
    """Hung, failing and draining endpoints, a flapping list and a frozen report occur together.

    Afterwards the fleet works again and serves almost all jobs.
    """
    check = fleet(endpoints=8, balancers=2)
    for number in range(120):
        state = "draining" if number % 20 == 7 else "up"
        check.deliver(EndpointsChanged("changes", [entry(number % 3, state)]))
        offer(check, number, ("safe", "keyed", "unsafe")[number % 3])
        for i, sent in enumerate(list(check.requests[number].attempts)):
            if sent.endpoint in ("w3", "w4") or sent.outcome:
                continue  # the endpoint hangs
            end(check, number, 2 if sent.endpoint == "w5" else 1, i, [0, 4.0])
        check.pass_time(40_000)
    check.finish()
    check.deliver(EndpointsChanged("all", [entry(n) for n in range(8)]))
    check.pass_time(20_000_000)
    assert sum(map(bool, serve(check, range(1000, 1040)))) > 35
    check.finish()
    assert not check.broken


def test_share_of_a_warming_endpoints_admissions_is_used() -> None:
    """A balancer's share of a warming endpoint's admissions is rare, and random checks seldom meet it.

    The endpoint must be checked when the share is due. Otherwise 25% of the jobs were rejected during
    deployments.
    """
    check = fleet(
        endpoints=80,
        balancers=100,
        asks_first=True,
        tells_start=False,
        limits=DispatchLimits(probes=True, send_cap=3),
        held_field="active",
    )
    check.pass_time(5_000_000)
    check.deliver(EndpointsChanged("changes", [entry(7, "up", check.now - 1_000_000)]))
    balancer = check.balancer
    assert isinstance(balancer, Balancer)
    balancer.parts.endpoints.by_name["w7"].slow_start.next_admission_at_us = check.now + 50_000
    assert "w7" not in checked_for(check, 1)
    check.pass_time(60_000)
    assert "w7" in checked_for(check, 2)


def test_endpoint_that_reported_too_little_memory_is_tried_again() -> None:
    """Reports come only with the ends of jobs, so an endpoint that gets none must be tried again later.

    It is tried again after some run times.
    """
    check = fleet(1, report_fields=["active", "x0", "x1"], free_memory_field="x1")
    serve(check, range(5))
    assert offer(check, 10, memory=0.5) == "w0"
    check.deliver(ExecutionStarted(10, 0))
    check.pass_time(50_000)
    end(check, 10, report=[1, 3, 0.1])
    assert offer(check, 11, memory=0.5) == ""  # the report is recent
    assert offer(check, 12, memory=0.05) == "w0"
    end(check, 12)
    check.pass_time(1_000_000)
    assert offer(check, 13, memory=0.5) == "w0"
    assert check.broken == []


def test_job_whose_attempts_all_returned_unstarted_is_rejected() -> None:
    """A keyed job that none of its endpoints has started never ran, so a retry is harmless."""
    for first, second in ((0, 1), (1, 0)):
        check = fleet()
        offer(check, 1, "keyed")
        check.pass_time(400_000)
        assert len(check.requests[1].attempts) == 2  # it had not started, so it was hedged
        end(check, 1, Outcome.FULL, first)
        actions = end(check, 1, Outcome.FULL, second)
        while not any(isinstance(action, Reject | Fail) for action in actions):
            actions = end(check, 1, Outcome.FULL, len(check.requests[1].attempts) - 1)
        assert any(isinstance(action, Reject) for action in actions) and not check.broken


def test_suspended_job_affects_no_pace_and_is_not_hedged() -> None:
    """Ten mean run times of suspension must not make the endpoint of a job look slower."""
    for paused in (True, False):
        check = fleet()
        serve(check, range(60))
        endpoint = offer(check, 100)
        check.deliver(ExecutionStarted(100, 0))
        if paused:
            check.deliver(ExecutionPaused(100, 0, True))
        check.pass_time(2_000_000)
        balancer = check.balancer
        assert isinstance(balancer, Balancer)
        assert (balancer.parts.run_times.pace(balancer.parts.endpoints.by_name[endpoint]) < 1.2) == paused
        if paused:
            assert len(check.requests[100].attempts) == 1
            check.deliver(ExecutionPaused(100, 0, False))
            check.pass_time(50_000)
            end(check, 100)
            assert balancer.parts.run_times.pace(balancer.parts.endpoints.by_name[endpoint]) < 1.2


def test_job_bound_to_endpoints_goes_to_no_other() -> None:
    """The named endpoint of many gets the job; if it is not usable, the job is rejected unsent."""
    check = fleet(60)
    assert [offer(check, number, only=("w41",)) for number in range(2)] == ["w41"] * 2
    check.deliver(EndpointsChanged("changes", [entry(41, "draining")]))
    assert offer(check, 10, only=("w41", "w99")) == ""
    assert offer(check, 11, only=("w41", "w7")) == "w7"


def test_job_that_needs_a_free_slot_is_not_queued() -> None:
    """It is rejected as soon as no slot is free, although other jobs are still admitted."""
    for room_only in (True, False):
        check = fleet(1)
        serve(check, range(5))  # its reports show three free slots
        placed = [offer(check, number, room_only=room_only) for number in range(100, 112)]
        queued = sum(bool(endpoint) for endpoint in placed)
        assert (queued <= 4) if room_only else (queued > 4)
