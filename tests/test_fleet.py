"""What forty balancers do together: harmless from each alone, without the bench and without sockets."""

from __future__ import annotations

import heapq
import itertools

import pytest

from bench import peers
from merlinbay.decision import Balancer
from merlinbay.decision.actions import Action, Cancel, Dispatch, SetTimer, WatchEndpoints
from merlinbay.decision.events import (
    AttemptEnded,
    ClientDisconnected,
    DiscoveryChanged,
    EndpointEntry,
    EndpointsChanged,
    Event,
    ExecutionStarted,
    HealthCheckEnded,
    RequestReceived,
    TimerFired,
)
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.settings import DispatchLimits, SafetyMargins
from tests.support import entry, request_of, settings

SECOND = 1_000_000


class Discovery:
    """A fleet that starts at once, and the one discovery that it subscribes at.

    It works on one call after the other, ``call_us`` each, also on those that have timed out meanwhile (after
    2 s). At a told moment something may happen to all nodes: it closes on everybody, or moves.
    """

    def __init__(self, count: int, call_us: int, at_us: int = 0, event: Event | None = None) -> None:
        safety = SafetyMargins(must_ask_in_us=10 * SECOND)
        self.fleet = [
            Balancer(settings(balancers=count, me=me, must_subscribe=True, safety=safety), me + 1, 0)
            for me in range(count)
        ]
        self.call_us, self.free, self.calls, self.failed, self.queue_us = call_us, 0, 0, 0, 0
        self.due: list[tuple[int, int, str]] = []
        self.told = dict[int, int]()  # when each was subscribed last,
        self.asked = dict[int, list[int]]()  # and when it called
        self.event = event
        for who in range(count):
            self._act(0, who, EndpointsChanged("remembered", [entry(0)]))
            if event is not None:
                heapq.heappush(self.due, (at_us, who, "event"))

    def play(self, until_us: int) -> None:
        """Go on until then."""
        while self.due and self.due[0][0] < until_us:
            now, who, what = heapq.heappop(self.due)
            if what == "told":
                self.told[who] = now
                self._act(now, who, EndpointsChanged("changes", []))
            elif what == "event":
                assert self.event is not None
                self._act(now, who, self.event)
            else:
                self._act(
                    now, who, EndpointsChanged("refused", []) if what == "refused" else TimerFired(what)
                )

    def _act(self, now: int, who: int, event: Event) -> None:
        for action in self.fleet[who].handle(now, [event]):
            if isinstance(action, SetTimer):
                heapq.heappush(self.due, (now + action.in_us, who, action.token))
            elif isinstance(action, WatchEndpoints):
                self.calls += 1
                self.asked.setdefault(who, []).append(now)
                self.queue_us = max(self.queue_us, self.free - now)
                self.free = max(self.free, now) + self.call_us
                late = self.free - now >= 2 * SECOND
                self.failed += late
                heapq.heappush(
                    self.due, (now + 2 * SECOND, who, "refused") if late else (self.free, who, "told")
                )


@pytest.mark.parametrize(
    ("count", "call_us"),
    [(1, 200_000), (3, 200_000), (40, 125_000), (40, 160_000), (200, 25_000), (200, 30_000)],
)
def test_a_fleet_that_starts_at_once_is_subscribed(count: int, call_us: int) -> None:
    """All of it within twice the time that its calls take, and hardly a call is made twice."""
    played = Discovery(count, call_us)
    played.play(60 * SECOND)
    assert len(played.told) == count
    assert max(played.told.values()) <= max(2.2 * count * call_us, SECOND)
    assert played.calls <= 1.1 * count


@pytest.mark.parametrize("call_us", [2_000, 30_000, 400_000])
def test_nobody_asks_later_than_the_rules_allow(call_us: int) -> None:
    """Of two hundred, also where their calls do not fit into the time to ask, and most fail."""
    played = Discovery(200, call_us)
    played.play(100 * SECOND)
    assert len(played.asked) == 200
    for asked in played.asked.values():
        assert asked[0] < 0.8 * 10 * SECOND
        assert all(late - soon < 0.8 * 40 * SECOND for soon, late in itertools.pairwise(asked))
    assert (played.failed > 0) == (call_us == 400_000)


@pytest.mark.parametrize(("call_us", "last"), [(2_000, 2 * SECOND), (20_000, 4 * SECOND)])
def test_a_discovery_that_moves_is_asked_before_its_news_count_as_told(call_us: int, last: int) -> None:
    """All two hundred are sent there in one instant; it is neither stormed nor asked too late."""
    played = Discovery(200, call_us, 30 * SECOND, DiscoveryChanged(4 * SECOND))
    played.play(29 * SECOND)
    before = played.calls
    played.play(100 * SECOND)
    assert played.failed == 0 and played.calls - before == 200
    # Of four seconds of work the last call may wait for one: spread less, they would wait longer, and fail.
    assert all(30 * SECOND <= asked[-1] <= 30 * SECOND + 0.91 * 4 * SECOND for asked in played.asked.values())
    assert max(played.told.values()) - 30 * SECOND <= 1.05 * last and played.queue_us <= 1.1 * SECOND


def test_what_a_call_takes_is_learned_from_the_first_answers() -> None:
    """A discovery that is quick is asked again within a second by all; one that is slow is left its time."""
    back = []
    for call_us in (2_000, 125_000):
        played = Discovery(40, call_us, 30 * SECOND, EndpointsChanged("refused", []))
        played.play(120 * SECOND)
        back.append(max(played.told.values()) - 30 * SECOND)
        assert played.failed == 0 and played.calls == 80
    assert back[0] < SECOND < 40 * 125_000 < back[1]


@pytest.mark.parametrize("part", [slice(0, 200), slice(40, 60), slice(0, 200, 7)])
def test_turns_leave_no_clumps(part: slice) -> None:
    """All, a tenth in a row or every seventh: hardly a call finds more than a few others before it."""
    played = Discovery(200, 20_000)  # what fits into the six seconds that there are
    if part != slice(0, 200):
        played.due = [plan for plan in played.due if plan[1] in range(200)[part]]
        heapq.heapify(played.due)
    played.play(60 * SECOND)
    assert len(played.asked) > 0 and played.queue_us <= 6 * 20_000


def test_a_discovery_that_is_down_is_asked_less_and_less() -> None:
    """Each failure in a row doubles the spread: forty nodes ask less later than in their first 20 s."""
    played = Discovery(40, 10 * SECOND)
    calls = []
    for until in (20, 40, 60, 80):
        played.play(until * SECOND)
        calls.append(played.calls)
    assert calls[0] > 60 and calls[3] - calls[1] < 0.7 * 2 * calls[0]


def test_a_planned_call_is_not_put_off_by_a_watch_that_ends() -> None:
    """The old discovery closes while the call to the new one is planned: whichever is sooner counts."""
    made = Balancer(
        settings(
            balancers=200, me=100, must_subscribe=True, safety=SafetyMargins(must_ask_in_us=10 * SECOND)
        ),
        1,
        0,
    )
    wait = [a.in_us for a in made.handle(0, [DiscoveryChanged(SECOND)]) if isinstance(a, SetTimer)]
    assert len(wait) == 2 and wait[1] < 0.61 * SECOND < wait[0]  # the start's, and the move's
    assert made.handle(SECOND // 10, [EndpointsChanged("refused", [])]) == []
    asked = [a for when in wait[::-1] for a in made.handle(when, [TimerFired("subscribe")])]
    assert [type(action) for action in asked] == [WatchEndpoints]


def test_a_discovery_that_closes_on_everybody_is_not_stormed() -> None:
    """All lose their watch in one instant: all are back, with hardly a call twice, and place meanwhile."""
    played = Discovery(40, 125_000, 30 * SECOND, EndpointsChanged("refused", []))
    played.play(120 * SECOND)
    assert len(played.told) == 40
    assert 30 * SECOND < min(played.told.values()) < max(played.told.values()) <= 52 * SECOND
    assert played.calls <= 1.1 * 80
    made = Balancer(settings(balancers=40, must_subscribe=True), 1, 0)
    made.handle(0, [EndpointsChanged("all", [entry(0)])])
    made.handle(SECOND, [EndpointsChanged("refused", [])])
    assert any(isinstance(a, Dispatch) for a in made.handle(2 * SECOND, [RequestReceived(1, "safe", 10**7)]))


def test_an_unheard_cold_worker_is_not_held_to_be_as_full_as_warm_ones() -> None:
    """What the others hold is spread by capacity: an endpoint at a third of its own holds a third as much."""
    made = Balancer(settings(balancers=40), 1, 0)
    made.handle(0, [EndpointsChanged("all", [entry(0), entry(2)])])
    made.handle(20 * SECOND, [EndpointsChanged("changes", [entry(4, ready=20 * SECOND)])])
    made.handle(22 * SECOND, [RequestReceived(1, "safe", 10**7)])
    made.parts.load.smoothed_in_flight = 2.0
    warm, cold = made.parts.endpoints.by_name["w0"], made.parts.endpoints.by_name["w4"]
    assert made.parts.load.peer_slots(cold) == pytest.approx(
        made.parts.load.peer_slots(warm) * made.parts.warm_up.capacity_share(cold), rel=0.01
    )
    assert made.parts.warm_up.capacity_share(cold) < 0.5
    assert made.parts.load.free_slots(cold) > made.parts.load.free_slots(warm)


@pytest.mark.parametrize("field", ["err_rps", ""])
def test_a_bad_worker_is_left_out_after_few_losses(field: str) -> None:
    """It starts what it gets and fails four in five; with a report of its errors the first loss is enough."""
    made = Balancer(settings(balancers=40, report_fields=["err_rps"], errors_field=field), 1, 0)
    made.handle(0, [EndpointsChanged("all", [entry(n) for n in range(4)])])
    lost = 0
    for number in range(400):
        now = 200_000 * (number + 1)
        actions = made.handle(now, [RequestReceived(number, "safe", 10**7)])
        endpoint = next(a.endpoint for a in actions if isinstance(a, Dispatch))
        bad = endpoint == "w0" and number % 5 > 0
        made.handle(now, [ExecutionStarted(number, 0)])
        later = made.handle(
            now + 100_000,
            [
                AttemptEnded(
                    number,
                    0,
                    Outcome.ERROR if bad else Outcome.OK,
                    100_000,
                    not bad,
                    [40.0 if endpoint == "w0" else 0.01],
                    endpoint,
                )
            ],
        )
        lost += bad
        if bad:
            made.handle(
                now + 150_000,
                [
                    ClientDisconnected(number),
                    *(
                        AttemptEnded(number, n + 1, Outcome.CANCELLED, 1, True, None, a.endpoint)
                        for n, a in enumerate(x for x in later if isinstance(x, Dispatch))
                    ),
                ],
            )
    assert 0 < lost <= (14 if field else 24)


def test_a_job_that_waits_gets_a_copy_where_the_mean_leaves_room() -> None:
    """At one of 40 all others are unheard; at 0.6 of the load a copy is worth sending all the same."""
    made = Balancer(settings(balancers=40), 1, 0)
    made.handle(0, [EndpointsChanged("all", [entry(n) for n in range(0, 8, 2)])])
    (
        made.parts.endpoints.kinds["k1"].capacity.slots,
        made.parts.endpoints.kinds["k1"].capacity.slots_are_reported,
    ) = 4.0, True
    first = made.handle(SECOND, [RequestReceived(1, "safe", 10**7)])
    made.parts.load.smoothed_in_flight, wait = (
        4 * 4 * 0.6 / 39,
        next(a.in_us for a in first if isinstance(a, SetTimer)),
    )
    assert all(made.parts.load.free_slots(endpoint) < 1 for endpoint in made.parts.endpoints.usable)
    made.parts.requests.by_id[
        1
    ].priority_weight /= 2  # of a job that is worth less than others, the copy goes only where there is room
    late = made.handle(SECOND + wait, [TimerFired("watch")])
    assert [a for a in late if isinstance(a, Dispatch)]


def test_slots_are_known_from_reports_and_hold_for_a_kind_never_tried() -> None:
    """That nothing is free says nothing; free and held make slots up, a half-empty endpoint's for good."""
    made = Balancer(settings(held_field="active"), 1, 0)
    made.handle(0, [EndpointsChanged("all", [entry(0), entry(1), entry(2)])])
    told: list[tuple[list[object], float]] = [
        ([0.0, 0.0], 1),
        ([0.0, 0.2], 1),
        ([5.0, 0.4], 1),  # full: nothing is known
        ([6.0, 1.0], 7),
        ([4.0, 1.0], 5),
        ([6.0, 1.0], 5),  # room for one: the larger ones count who waits
        ([2.0, 3.0], 5),
        ([1.0, 9.0], 7.5),
    ]  # half empty
    for report, slots in told:
        made.handle(SECOND, [HealthCheckEnded("w0", 1, 9, report)])
        assert made.parts.endpoints.kinds["k1"].capacity.slots == pytest.approx(slots)
        assert made.parts.endpoints.kinds["k2"].capacity.slots == pytest.approx(
            slots
        )  # never tried: it would never be, with one slot
    made.handle(SECOND, [HealthCheckEnded("w1", 1, 9, [1.0, 1.0])])
    made.handle(SECOND, [HealthCheckEnded("w0", 1, 9, [0.5, 9.5])])
    assert made.parts.endpoints.kinds["k2"].capacity.slots == 2


def test_one_job_out_moves_a_gate_by_one_job_not_by_forty() -> None:
    """What an endpoint is held to hold grows by the job itself: that count is not scaled by the balancers."""
    made = Balancer(settings(balancers=40), 1, 0)
    made.handle(0, [EndpointsChanged("all", [entry(n) for n in range(0, 120, 2)])])
    (
        made.parts.endpoints.kinds["k1"].capacity.slots,
        made.parts.endpoints.kinds["k1"].capacity.slots_are_reported,
        made.parts.load.smoothed_in_flight,
    ) = 4.0, True, 3.0
    made.handle(SECOND, [RequestReceived(1, "safe", 10**7)])
    endpoint = made.parts.requests.by_id[1].attempts[0].endpoint
    before = made.parts.load.free_slots(endpoint) + endpoint.in_flight.in_flight_slots
    made.handle(SECOND + 5_000, [RequestReceived(2, "safe", 10**7)])
    assert endpoint.in_flight.in_flight_slots == 1
    assert made.parts.load.free_slots(endpoint) == pytest.approx(before - 1, abs=0.5)


def test_forty_balancers_tip_no_cold_worker_over() -> None:
    """All have just started, and send all to a zone that is cold: no 2 s bring it 3 times what it can do."""
    fleet = [Balancer(settings(balancers=40, me=seed), seed, 0) for seed in range(40)]
    cold = [entry(n, ready=SECOND) for n in range(0, 8, 2)]
    sent: dict[str, list[int]] = {}
    for made in fleet:
        made.handle(0, [EndpointsChanged("all", [entry(100)])])
        made.handle(SECOND, [EndpointsChanged("all", cold)])
        (
            made.parts.endpoints.kinds["k1"].capacity.slots,
            made.parts.endpoints.kinds["k1"].capacity.slots_are_reported,
        ) = 4.0, True
    for step in range(400):
        now = SECOND + 20_000 * step
        for number, made in enumerate(fleet):
            job = step * 40 + number
            for action in made.handle(now, [RequestReceived(job, "safe", 10**7)]):
                if isinstance(action, Dispatch):
                    sent.setdefault(action.endpoint, []).append(now)
                    made.handle(now, [AttemptEnded(job, 0, Outcome.OK, 150_000, True, None, action.endpoint)])
    assert len(sent) == len(cold)
    for times in sent.values():
        assert len(times) > 40
        for first, at in enumerate(times):
            work = sum(0.15 for later in times[first:] if later < at + 2 * SECOND)
            share = min(1.0, 0.3 + 0.7 * (at - SECOND) / (9 * SECOND))  # settings: cold_from, cold_us
            assert work < 3 * 4 * share * 2


@pytest.mark.parametrize(("left", "load"), [(40, 0.75), (12, 0.3), (12, 0.75)])
def test_the_few_that_outlive_their_peers_refuse_nothing_that_fits(left: int, load: float) -> None:
    """28 of 40 die at once and nobody is told; at three quarters of the load there is room for all."""
    tally = peers.play(left, load, seed=5)
    assert tally.offered > 1000
    assert tally.refused <= 0.01 * tally.offered
    assert tally.late <= 0.08 * tally.offered


def heard(made: Balancer, now: int, shares: list[float]) -> None:
    """Have reports of an endpoint of ten slots come in."""
    for number, share in enumerate(shares):
        held = 10 * share
        made.handle(now, [HealthCheckEnded("w0", 1, 9, [held, max(10.0 - held, 0.0) + number / 1e6])])
    made.parts.load.update_median_peer_share()


def told_of_ten(balancers: int = 40) -> Balancer:
    """Return a balancer that knows a kind of ten slots."""
    made = Balancer(settings(balancers=balancers, held_field="active"), 1, 0)
    made.handle(0, [EndpointsChanged("all", [entry(0), entry(2)])])
    heard(made, SECOND, [0.1] * 8)
    made.parts.load.peer_reports.clear()
    made.parts.load.smoothed_in_flight, made.parts.load.total_slots = 1.0, 20.0
    return made


def test_peers_that_are_back_count_again() -> None:
    """Reports that show more held bring the count back to what was told, and never above it."""
    made = told_of_ten()
    counts = []
    for share in (0.1, 0.9):
        heard(made, 2 * SECOND, [share] * 70)
        counts.append(made.parts.load.peer_count())
    assert counts[0] == pytest.approx(2, abs=2.5)
    assert counts[1] == pytest.approx(18, abs=1.5)
    made.parts.load.smoothed_in_flight = 0.1
    assert made.parts.load.peer_count() == 39


def test_a_few_long_queues_say_nothing_of_the_room_elsewhere() -> None:
    """The mean of what reports show is one and a half times the slots; half of the endpoints hold a third."""
    made = told_of_ten()
    heard(made, 2 * SECOND, [0.3] * 11 + [3.0] * 9)
    assert made.parts.load.median_peer_share == pytest.approx(0.3)


def test_whoever_has_most_of_the_traffic_does_not_scale_it_by_all() -> None:
    """One of two hundred gets eight times the mean: it does not refuse while endpoints are half empty."""
    made = told_of_ten(200)
    made.parts.offered.arrival_rate.per_us, made.parts.offered.mean_work_us = 40 / SECOND, 250_000.0
    made.parts.load.smoothed_in_flight, made.parts.load.total_slots = 10.0, 1000.0
    job = RequestReceived(1, "safe", 10**7)
    heard(made, 2 * SECOND, [0.5] * 60)
    assert 0.5 * 1000 <= made.parts.load.peer_count() * made.parts.load.smoothed_in_flight < 0.7 * 1000
    asked = request_of(made, "safe", id=9, run_time_us=250_000.0, priority_weight=5.0, deadline_at_us=10**8)
    reports, made.parts.offered.mean_priority_weight = made.parts.load.peer_reports.copy(), 5.0
    gates = [made.parts.admission.max_waiting(made.parts.endpoints.kinds["k1"], asked)]
    made.parts.load.peer_reports.clear()
    gates.append(made.parts.admission.max_waiting(made.parts.endpoints.kinds["k1"], asked))
    assert gates[0] > gates[1]
    made.parts.load.peer_reports = reports
    made.handle(2 * SECOND, [job])
    assert made.parts.requests.by_id[1].attempts


def test_reports_of_two_seconds_ago_count_no_more() -> None:
    """They showed few others; since none has come, the count that was told is all there is."""
    made = told_of_ten()
    heard(made, 2 * SECOND, [0.1] * 30)
    assert made.parts.load.peer_count() < 10
    made.parts.context.now_us = int(4.1 * SECOND)
    made.parts.load.update_median_peer_share()
    assert made.parts.load.peer_count() == 39


def swapping(**changes: object) -> tuple[Balancer, list[list[Action]]]:
    """Send a keyed job into a cell of four and let nothing start; return what came at each look."""
    made = Balancer(settings(balancers=2, **changes), 1, 0)
    cell = [EndpointEntry(f"c{n}", "a", "k1", 7) for n in range(4)]
    made.handle(0, [EndpointsChanged("all", cell)])
    (
        made.parts.endpoints.kinds["k1"].capacity.slots,
        made.parts.endpoints.kinds["k1"].capacity.slots_are_reported,
    ) = 4.0, True
    now, turns = SECOND, [made.handle(SECOND, [RequestReceived(1, "keyed", 10**7)])]
    for _ in range(6):
        waits = [action.in_us for action in turns[-1] if isinstance(action, SetTimer)]
        if not waits:
            break
        now += min(waits)
        turns.append(made.handle(now, [TimerFired("watch")]))
        for action in list(turns[-1]):
            if isinstance(action, Cancel):
                turns[-1] += made.handle(now, [AttemptEnded(1, action.attempt, Outcome.CANCELLED, 9)])
    return made, turns


def test_a_copy_that_waits_as_well_is_given_up_for_another() -> None:
    """The first keeps its place; at most two are out at once, waits grow, and the sends are capped."""
    made, turns = swapping()
    assert [action for turn in turns for action in turn if isinstance(action, Cancel)] == [
        Cancel(1, 1),
        Cancel(1, 2),
    ]
    assert len({a.endpoint for turn in turns for a in turn if isinstance(a, Dispatch)}) == 4
    assert (
        made.parts.requests.by_id[1].attempts[0].is_open and made.parts.requests.by_id[1].open_attempts == 2
    )
    waits = [a.in_us for turn in turns for a in turn if isinstance(a, SetTimer)]
    assert waits[1] == 2 * waits[0]


def test_without_cancels_nothing_is_given_up() -> None:
    """Two are out, and it stays at that."""
    limits = DispatchLimits(cancelling=False, second_copies=True, send_cap=4)
    made, turns = swapping(limits=limits)
    assert len(made.parts.requests.by_id[1].attempts) == 2
    assert not [a for turn in turns for a in turn if isinstance(a, Cancel)]


@pytest.mark.parametrize("state", ["removed", "silent"])
def test_jobs_stuck_at_a_lost_worker_do_not_count_as_held_at_the_others(state: str) -> None:
    """One of 200 with three jobs out: they never end, and it goes on using the endpoints that are left."""
    made = Balancer(settings(balancers=200), 1, 0)
    made.handle(0, [EndpointsChanged("all", [entry(n) for n in range(0, 40, 2)])])
    (
        made.parts.endpoints.kinds["k1"].capacity.slots,
        made.parts.endpoints.kinds["k1"].capacity.slots_are_reported,
    ) = 4.0, True
    for number in range(3):
        made.handle(SECOND + number, [RequestReceived(number, "unsafe", 8 * SECOND, only=("w0",))])
    assert made.parts.endpoints.by_name["w0"].in_flight.in_flight_slots == 3
    if state == "removed":
        made.handle(SECOND + 9, [EndpointsChanged("changes", [entry(0, state)])])
    placed = 0
    for number in range(10, 60):
        now = SECOND + number * SECOND // 10
        sent = [
            a for a in made.handle(now, [RequestReceived(number, "safe", SECOND)]) if isinstance(a, Dispatch)
        ]
        placed += now > 4 * SECOND and bool(sent)
        made.handle(
            now + 50_000,
            [AttemptEnded(number, n, Outcome.OK, 50_000, True, None, a.endpoint) for n, a in enumerate(sent)],
        )
    assert made.in_flight_slots == 3 and placed >= 20
