"""One small test for each failure found, and for troubles that are on no list. No bench."""

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
    """Return a checker over a balancer that knows a fleet."""
    conf = settings(**changes)
    check = Checker(conf, Balancer(conf, 3, 1_000_000))
    check.deliver(EndpointsChanged("all", [entry(n) for n in range(endpoints)]))
    return check


def offer(check: Checker, number: int, cls: str = "safe", **more: object) -> str:
    """Offer a job; return the endpoint it went to, or '' if it was refused."""
    budget = next(c.deadline_us for c in check.conf.classes if c.name == cls)
    actions = check.deliver(RequestReceived(number, cls, budget, **more))  # type: ignore[arg-type]
    placed = [a for a in actions if isinstance(a, Dispatch) and a.id == number]
    assert placed or any(isinstance(a, Reject) and a.id == number for a in actions)
    return placed[0].endpoint if placed else ""


def end(
    check: Checker, number: int, outcome: int = 1, attempt: int = 0, report: list[object] | None = None
) -> list[Action]:
    """End an attempt."""
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
    """Offer jobs one after another, each started and served; return where they went."""
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
def test_worker_that_fails_at_once_does_not_look_free(outcome: int) -> None:
    """A failing endpoint draws few jobs while it fails, and is used again once it works."""
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
    assert check.violations == []


def run_fleet(check: Checker, numbers: range, slow: str, times: float) -> list[str]:
    """Offer a job every 10 ms; each runs for 50 ms, on one endpoint longer. Return where their first went."""
    due: dict[tuple[int, int], int] = {}
    where, offers = [], iter(numbers)
    while (number := next(offers, None)) is not None or due:
        if number is not None:
            where.append(offer(check, number))
        for one, job in check.requests.items():
            for copy, sent in enumerate(job.attempts):  # each starts at once
                if one in numbers and not sent.outcome and (one, copy) not in due:
                    check.deliver(ExecutionStarted(one, copy))
                    due[one, copy] = check.now + int(50_000 * (times if sent.endpoint == slow else 1))
        check.pass_time(10_000)
        for (one, copy), at in list(due.items()):
            if check.requests[one].attempts[copy].outcome:  # cancelled
                del due[one, copy]
            elif at <= check.now:
                del due[one, copy]
                end(check, one, 1, copy, report=[1, 3])
    return where


def test_a_machine_that_slows_down_gets_few_jobs_and_comes_back() -> None:
    """Its pace is learned from its jobs, they get copies elsewhere, and it is tried again after a while."""
    check = fleet(kinds=["k"], balancers=1)
    before = run_fleet(check, range(100, 200), "w2", 1)
    during = run_fleet(check, range(200, 500), "w2", 6)
    assert before.count("w2") >= 8
    assert during.count("w2") <= 15  # at its old share it would be 50 and more
    copied = [job for job in check.requests.values() if len(job.attempts) > 1]
    assert copied and all(job.attempts[0].endpoint == "w2" for job in copied)
    check.pass_time(40_000_000)
    assert run_fleet(check, range(500, 700), "w2", 1).count("w2") >= 10
    check.finish()
    assert check.violations == []


def test_connections_that_break_now_and_then_leave_no_worker_out() -> None:
    """Two resets in a row tell of the network; each endpoint goes on getting its share of the jobs."""
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
    assert check.violations == []


def test_hung_worker_gets_nothing_new_and_comes_back() -> None:
    """An endpoint that takes jobs and answers none is left out; it is tried again after its time-outs."""
    check = fleet(balancers=1)
    serve(check, range(20))
    taken = 0
    for number in range(100, 300):
        endpoint = offer(check, number, "unsafe")
        check.pass_time(25_000)
        taken += endpoint == "w2"
        if endpoint and endpoint != "w2":
            end(check, number, report=[0, 5])
    assert taken <= 12  # at most what it took before its silence was noticed
    check.pass_time(30_000_000)
    assert "w2" in serve(check, range(400, 460), cls="unsafe")
    check.finish()
    assert check.violations == []


def test_unstarted_job_gets_a_second_copy_and_the_first_to_start_keeps_it() -> None:
    """A stalled endpoint does not keep a job that is safe to repeat."""
    check = fleet()
    serve(check, range(10))
    first = offer(check, 50)
    check.pass_time(400_000)
    sent = check.requests[50].attempts
    assert len(sent) >= 2 and sent[1].endpoint != first
    actions = check.deliver(ExecutionStarted(50, len(sent) - 1))
    assert Cancel(50, 0) in actions


def test_free_slots_reported_but_full_answered() -> None:
    """An endpoint that reports room and turns jobs away is not asked again and again."""
    check = fleet(balancers=1)
    serve(check, range(10))
    asked = 0
    for number in range(100, 150):
        if offer(check, number) == "w2":
            asked += 1
            end(check, number, 3, report=[0, float(5 + number % 2)])
        for i, sent in enumerate(check.requests[number].attempts):
            if not sent.outcome:
                end(check, number, 1, i)
        check.pass_time(2_000)
    assert asked < 25
    check.finish()
    assert check.violations == []


def test_frozen_report_is_taken_once() -> None:
    """A report that never changes counts once: its endpoint does not look fuller with each repeat."""
    check = fleet(endpoints=1, balancers=1)
    serve(check, range(10))
    assert isinstance(check.balancer, Balancer)
    for _ in range(20):
        check.deliver(HealthCheckEnded("w0", 1, 5, [9, 0.0]))
    once = check.balancer.parts.load.peer_slots(check.balancer.parts.endpoints.by_name["w0"])
    assert 0 < once <= 0.5 * 3
    assert offer(check, 100)


@pytest.mark.parametrize("scope", ["changes", "all"])
def test_all_workers_drain_at_once_and_return(scope: str) -> None:
    """With nobody to send to, jobs are refused unsent; admission recovers with the list."""
    check = fleet()
    serve(check, range(10))
    check.deliver(
        EndpointsChanged(scope, [entry(n, "draining") for n in range(6)] if scope == "changes" else [])
    )
    assert offer(check, 50) == ""
    check.deliver(EndpointsChanged("all", [entry(n) for n in range(6)]))
    assert offer(check, 51)
    check.finish()
    assert check.violations == []


def test_flapping_list() -> None:
    """A list that drops and names endpoints in turn keeps the rules and loses nothing."""
    check = fleet()
    for number in range(60):
        check.deliver(EndpointsChanged("all", [entry(n) for n in range(6) if (n + number) % 3]))
        offer(check, number, ("safe", "keyed", "unsafe")[number % 3])
        check.pass_time(60_000)
    check.finish()
    assert check.violations == []


def test_restart_with_a_stale_list_under_load() -> None:
    """Nothing but a remembered list, half of it gone: connect failures move jobs on, nothing is lost."""
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
    assert check.violations == []
    assert sum(any(s.outcome == 1 for s in job.attempts) for job in check.requests.values()) > 70


def test_clock_jumps() -> None:
    """A jump ahead ends what is due once; a step back is taken as no time having passed."""
    check = fleet()
    serve(check, range(10))
    offer(check, 50, "unsafe")
    check.now -= 700_000
    offer(check, 51)
    check.now += 3_600_000_000
    check.pass_time(1)
    assert offer(check, 52)
    check.finish()
    assert check.violations == []


def test_other_kinds_are_tried() -> None:
    """Found on a day where 7 of 32 endpoints were used: a kind not yet tried is taken for a usual one."""
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


def test_key_stays_with_few_workers() -> None:
    """Found as a jam of misses: a job with a key goes to its few endpoints, or anywhere if none is usable."""
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
def test_one_job_shuts_no_gate_at_any_number_of_schedulers(balancers: int) -> None:
    """With hundreds of schedulers a single job of ours elsewhere must not refuse the next one."""
    check = fleet(endpoints=20, balancers=balancers)
    offer(check, 1)
    check.pass_time(300_000)
    assert offer(check, 2)


def test_over_quota_is_worth_less() -> None:
    """What a tenant sends beyond its quota is refused first."""

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
    """Finished jobs, departed endpoints and old timers leave nothing behind."""
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
    """Settings that make no sense raise ``ValueError`` with the field."""
    with pytest.raises(ValueError, match=name.replace(".", r"\.")):
        cls(**values)


def asking() -> Checker:
    """Return a checker over a fleet that reports its load to probes only."""
    limits = DispatchLimits(probes=True, send_cap=3)
    return fleet(asks_first=True, tells_start=False, limits=limits, balancers=100, held_field="active")


def probes(check: Checker, number: int) -> list[str]:
    """Offer a job and return the endpoints probed for it."""
    actions = check.deliver(RequestReceived(number, "safe", 5_000_000))
    assert not any(isinstance(a, (Dispatch, Reject)) for a in actions)
    return [a.endpoint for a in actions if isinstance(a, CheckHealth)]


def test_a_job_waits_for_probes_and_goes_to_the_first_room() -> None:
    """Found as 70% 'full': where only probes tell load, a scaled count of one job is noise, so it asks."""
    check = asking()
    first, second, *_ = asked = probes(check, 1)
    assert 2 <= len(asked) == len(set(asked)) <= 6
    assert not check.deliver(HealthCheckEnded(first, 1, 500, [9, 0]))
    placed = check.deliver(HealthCheckEnded(second, 1, 600, [1, 2]))
    assert [a.endpoint for a in placed if isinstance(a, Dispatch)] == [second]
    for name in asked[2:]:
        assert not check.deliver(HealthCheckEnded(name, 1, 700, [0, 3]))
    asked = probes(check, 2)
    for name in asked:
        last = check.deliver(HealthCheckEnded(name, 1, 500, [90, 0]))
    assert [type(a) for a in last] == [Reject]
    assert not check.violations


def test_a_worker_that_drains_after_its_answer_gets_nothing() -> None:
    """The list may change between a probe's answer and the decision."""
    check = asking()
    check.deliver(*[HealthCheckEnded(f"w{n}", 1, 500, [0, 4]) for n in range(6)])
    first, *others = probes(check, 1)
    assert not check.deliver(HealthCheckEnded(first, 1, 500, [4, 0]))  # full, but under its gate
    check.deliver(EndpointsChanged("changes", [entry(int(first[1:]), "draining")]))
    check.pass_time(1_000)
    for name in others:
        last = check.deliver(HealthCheckEnded(name, 1, 600, [90, 0]))
    assert [type(a) for a in last] == [Reject]


def test_a_full_worker_makes_the_job_ask_again() -> None:
    """Room may be gone when the job comes: it asks other endpoints, not the one that answered 'full'."""
    check = asking()
    endpoint = probes(check, 1)[0]
    check.deliver(HealthCheckEnded(endpoint, 1, 500, [0, 3]))
    actions = check.deliver(AttemptEnded(1, 0, 3, 900, False, None, endpoint))
    again = [a.endpoint for a in actions if isinstance(a, CheckHealth)]
    assert again and endpoint not in again


def test_lost_probes_hold_no_job_up() -> None:
    """A probe without an answer must not cost the job its final answer, nor may a client that has left."""
    check = asking()
    probes(check, 1)
    check.pass_time(200_000)
    assert check.requests[1].attempts or check.requests[1].answers
    probes(check, 2)
    check.deliver(ClientDisconnected(2))
    assert isinstance(check.balancer, Balancer) and 2 not in check.balancer.parts.requests.by_id
    asked = probes(check, 3)
    for name in asked:  # answers to probes for jobs that are settled serve the one that waits
        check.deliver(HealthCheckEnded(name, 4, 100_000, None))
    assert check.requests[3].attempts or check.requests[3].answers
    assert not check.violations


def test_reports_that_lie_lose_their_weight() -> None:
    """Found as i601cff: endpoints reported free slots and refused; the mean must come to count for more."""
    check = fleet(endpoints=4, balancers=2, report_fields=["x0"])
    balancer = check.balancer
    assert isinstance(balancer, Balancer)
    for number in range(30):
        offer(check, number)
        sent = 0
        while sent < len(check.requests[number].attempts):
            endpoint, said = check.requests[number].attempts[sent].endpoint, 5.0 + number % 2 / 100
            check.deliver(AttemptEnded(number, sent, 3, 300, False, [said], endpoint))
            sent += 1
        check.pass_time(1_000_000)
    assert balancer.parts.reports.capacity_hit_rate < 0.3
    balancer.parts.load.smoothed_in_flight, seen = 20.0, balancer.parts.endpoints.by_name["w0"]
    balancer.parts.load.observe_peers(seen, 5.0)
    check.deliver(HealthCheckEnded("w0", 1, 300, [4.9]))  # it says that it holds nothing
    assert balancer.parts.load.peer_slots(seen) > 4
    assert not check.violations


def test_an_overloaded_zone_sends_its_jobs_away() -> None:
    """Full near endpoints must not beat free far ones, and near ones are used again once free."""
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


def test_all_workers_restart_at_once() -> None:
    """A fleet that is cold as a whole gets little at first and the usual once it is warm; nothing is lost."""
    check = fleet(endpoints=6, balancers=8)
    serve(check, range(20))
    check.deliver(EndpointsChanged("changes", [entry(n, "up", check.now - 1_000) for n in range(6)]))
    serve(check, range(100, 160))
    check.check_slow_start(slots=3, run_us=50_000)
    check.pass_time(9_000_000)
    assert sum(map(bool, serve(check, range(200, 260)))) > 50
    check.finish()
    assert not check.violations


def test_overlapping_failures_keep_the_rules() -> None:
    """Hung, failing and draining endpoints, a flapping list and a frozen report at once; then all is well."""
    check = fleet(endpoints=8, balancers=2)
    for number in range(120):
        state = "draining" if number % 20 == 7 else "up"
        check.deliver(EndpointsChanged("changes", [entry(number % 3, state)]))
        offer(check, number, ("safe", "keyed", "unsafe")[number % 3])
        for i, sent in enumerate(list(check.requests[number].attempts)):
            if sent.endpoint in ("w3", "w4") or sent.outcome:
                continue  # hung
            end(check, number, 2 if sent.endpoint == "w5" else 1, i, [0, 4.0])
        check.pass_time(40_000)
    check.finish()
    check.deliver(EndpointsChanged("all", [entry(n) for n in range(8)]))
    check.pass_time(20_000_000)
    assert sum(map(bool, serve(check, range(1000, 1040)))) > 35
    check.finish()
    assert not check.violations


def test_a_share_of_a_cold_workers_budget_is_used() -> None:
    """Found as 25% refused under deploys: a share is rare, and a random look rarely meets its endpoint."""
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
    assert "w7" not in probes(check, 1)
    check.pass_time(60_000)
    assert "w7" in probes(check, 2)


def test_worker_told_to_lack_memory_is_not_shut_out_for_good() -> None:
    """Only jobs end with reports: an endpoint that gets none must be tried again some run times later."""
    check = fleet(1, report_fields=["active", "x0", "x1"], free_memory_field="x1")
    serve(check, range(5))
    assert offer(check, 10, memory=0.5) == "w0"
    check.deliver(ExecutionStarted(10, 0))
    check.pass_time(50_000)
    end(check, 10, report=[1, 3, 0.1])
    assert offer(check, 11, memory=0.5) == ""  # told just now
    assert offer(check, 12, memory=0.05) == "w0"
    end(check, 12)
    check.pass_time(1_000_000)
    assert offer(check, 13, memory=0.5) == "w0"
    assert check.violations == []


def test_copies_that_all_came_back_unstarted_leave_a_job_that_may_be_refused() -> None:
    """A keyed job, unstarted at both its endpoints: nothing has run, so trying again is harmless."""
    for first, second in ((0, 1), (1, 0)):
        check = fleet()
        offer(check, 1, "keyed")
        check.pass_time(400_000)
        assert len(check.requests[1].attempts) == 2  # it had not started, so a copy went out
        end(check, 1, Outcome.FULL, first)
        actions = end(check, 1, Outcome.FULL, second)
        while not any(isinstance(action, Reject | Fail) for action in actions):
            actions = end(check, 1, Outcome.FULL, len(check.requests[1].attempts) - 1)
        assert any(isinstance(action, Reject) for action in actions) and not check.violations


def test_a_suspended_job_tells_no_pace_and_gets_no_copy() -> None:
    """Suspended for ten mean run times, then run to its end: its endpoint looks no slower for it."""
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


def test_a_job_bound_to_workers_goes_to_no_other() -> None:
    """Of many, the named one gets it; without it, the job is refused unsent."""
    check = fleet(60)
    assert [offer(check, number, only=("w41",)) for number in range(2)] == ["w41"] * 2
    check.deliver(EndpointsChanged("changes", [entry(41, "draining")]))
    assert offer(check, 10, only=("w41", "w99")) == ""
    assert offer(check, 11, only=("w41", "w7")) == "w7"


def test_a_job_that_takes_room_only_stands_in_no_queue() -> None:
    """While its gate is open for others, it is refused as soon as no slot is free."""
    for room_only in (True, False):
        check = fleet(1)
        serve(check, range(5))  # its reports tell three free slots
        placed = [offer(check, number, room_only=room_only) for number in range(100, 112)]
        queued = sum(bool(endpoint) for endpoint in placed)
        assert (queued <= 4) if room_only else (queued > 4)
