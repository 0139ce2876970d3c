"""Checks which endpoints may take a request, on every path to a dispatch, with drawn settings and events.

The checker in ``support`` checks effect, idempotency scope and window, send cap, second attempts, drains and
answers. Here it also finds two attempts at one endpoint, and actions that the settings do not permit.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from merlinbay.decision import Balancer
from merlinbay.decision.actions import Action, Cancel, CheckHealth, Dispatch, Fail, SetTimer
from merlinbay.decision.endpoint_state import Endpoint
from merlinbay.decision.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointsChanged,
    Event,
    ExecutionProgressed,
    ExecutionStarted,
    HealthCheckEnded,
    MaintenanceChanged,
    RequestReceived,
    SlotsReserved,
)
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.request_state import Attempt, TrackedRequest
from merlinbay.decision.settings import DispatchLimits, RequestClass, Settings
from merlinbay.site_settings import settings_from
from tests.support import Checker, ObservedRequest, entry, request_of, settings
from tests.test_sites import SITES, site_configuration

ACTIONS = [*["job", "replies", "time", "end"] * 2, "start", "progress", "list", "operators"]
STEPS = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.integers(0, 2**16), st.integers(0, 7)), min_size=10, max_size=60
)
WINDOWS_US = (0, 40_000, 250_000, 3_000_000, 12_000_000)
OUTCOMES = (1, 1, 2, 3, 4, 5, 6, 7)
PASSING_US = (5_000, 20_000, 60_000, 160_000, 400_000, 1_600_000, 3_000_000, 9_000_000)


@dataclass
class StrictChecker(Checker):
    """Also checks that an endpoint has one attempt of a request at a time, and that actions are permitted."""

    probes: deque[str] = field(default_factory=deque)

    def act(self, *events: Event) -> None:
        """Deliver a batch of events; cancelled attempts end at once, as the dispatcher reports them."""
        for action in self.deliver(*events):
            if not isinstance(action, Cancel):
                continue
            request = self.requests[action.id]
            attempt = request.attempts[action.attempt]
            if not attempt.outcome:
                took = self.now - attempt.at
                self.act(
                    AttemptEnded(
                        action.id, action.attempt, 7, took, request.is_settled, None, attempt.endpoint
                    )
                )

    def _check_action(self, action: Action, disconnected: set[int]) -> None:
        if isinstance(action, CheckHealth):
            self.probes.append(action.endpoint)
            if not self.conf.limits.probes:
                self.broken.append("health check where none is permitted")
        if isinstance(action, Cancel) and not self.conf.limits.cancelling:
            self.broken.append("cancel where none is permitted")
        super()._check_action(action, disconnected)

    def _check_dispatch(self, request: ObservedRequest, action: Dispatch) -> None:
        if any(attempt.endpoint == action.endpoint and not attempt.outcome for attempt in request.attempts):
            self.broken.append("two open attempts at one endpoint")
        if request.event.only and action.endpoint not in request.event.only:
            self.broken.append("sent to an endpoint that may not run the request")
        super()._check_dispatch(request, action)


@dataclass
class Fleet:
    """The endpoints of a drawn deployment: ``zones`` of two cells each, ``cell`` endpoints in each."""

    zones: int
    cell: int
    kinds: int

    def rows(self) -> list[EndpointEntry]:
        """Return the endpoint list."""
        return [
            EndpointEntry(f"w{n}", "abc"[n // self.cell // 2], f"k{n % self.kinds + 1}", n // self.cell)
            for n in range(self.zones * 2 * self.cell)
        ]


@st.composite
def deployments(draw: st.DrawFn) -> tuple[Settings, Fleet]:
    """Draw settings with a class of each effect, and the endpoints of the deployment."""
    fleet = Fleet(draw(st.integers(1, 3)), draw(st.integers(1, 3)), draw(st.integers(1, 2)))
    probes = draw(st.booleans())
    keyed = [
        RequestClass(
            f"keyed-{group}",
            120_000,
            draw(st.sampled_from([1_000_000, 7_500_000])),
            effect="by_key",
            group=group,
            window_us=draw(st.sampled_from(WINDOWS_US)),
        )
        for group in ("zone", "cell", "all")
    ]
    unsafe = RequestClass("unsafe", 400_000, 2_000_000, effect="once")
    conf = settings(
        classes=[*keyed, RequestClass("safe", 150_000, 5_000_000), unsafe],
        balancers=draw(st.integers(1, 4)),
        must_subscribe=draw(st.booleans()),
        tells_start=draw(st.booleans()),
        cross_zone_price=draw(st.sampled_from([0.0, 0.01, 0.16])),
        asks_first=probes and draw(st.booleans()),
        probe_price=draw(st.sampled_from([0.0, 0.002])),
        limits=DispatchLimits(
            cancelling=draw(st.booleans()),
            second_copies=draw(st.booleans()),
            send_cap=draw(st.integers(1, 5)),
            retry_after=True,
            probes=probes,
        ),
    )
    return conf, fleet


def report_of(conf: Settings, pick: int) -> list[object]:
    """Return a load report in the order of the settings, as often without free slots as with some."""
    free = (0, 3, 0, 1)[pick % 4]
    return [free if name == conf.free_slots_field else pick % 3 for name in conf.report_fields]


def arrival(check: StrictChecker, rows: list[EndpointEntry], pick: int, variant: int) -> RequestReceived:
    """Return a new request; some are bound to endpoints, to free slots or to reserved slots."""
    cls = check.conf.classes[variant % len(check.conf.classes)]
    allowed_endpoints = (
        tuple(row.endpoint for row in rows if pick >> rows.index(row) & 1) if pick % 5 == 0 else ()
    )
    return RequestReceived(
        len(check.requests) + 1,
        cls.name,
        cls.deadline_us >> (pick % 3),
        1.0 + pick % 2,
        key="key" if pick % 7 == 0 else "",
        only=allowed_endpoints,
        room_only=pick % 11 == 0,
        reserved=bool(allowed_endpoints) and pick % 2 == 0,
        keyless=pick % 4 == 0,
    )


def relisted(row: EndpointEntry, now: int, pick: int, variant: int) -> EndpointEntry:
    """Return an endpoint's next list entry, with another state, start, zone or cell."""
    state = ("up", "up", "draining", "removed")[variant % 4]
    ready = now - 100_000 if variant >= 4 else 0
    zone, cell = ("abc"[pick % 3], pick % 7) if pick % 5 == 0 else (row.zone, row.cell)
    return EndpointEntry(row.endpoint, zone, row.kind, cell, state, 1.0, ready)


def attempt_step(check: StrictChecker, action: str, pick: int, variant: int) -> None:
    """Start or end one of the open attempts."""
    pending = [
        (number, request, i, attempt)
        for number, request in check.requests.items()
        for i, attempt in enumerate(request.attempts)
        if not attempt.outcome
    ]
    if not pending:
        return
    number, request, i, attempt = pending[pick % len(pending)]
    if action in ("start", "progress"):
        check.act(ExecutionStarted(number, i) if action == "start" else ExecutionProgressed(number, i, 0.5))
        return
    outcome = OUTCOMES[variant]
    is_final = request.is_settled or outcome == Outcome.OK
    report = report_of(check.conf, pick) if pick % 3 else None
    check.act(AttemptEnded(number, i, outcome, check.now - attempt.at, is_final, report, attempt.endpoint))


def play(check: StrictChecker, rows: list[EndpointEntry], steps: list[tuple[str, int, int]]) -> None:
    """Turn drawn steps into legal events, and pass them to the checker's balancer."""
    check.act(EndpointsChanged("remembered", rows))
    for action, pick, variant in steps:
        row = rows[pick % len(rows)]
        if action == "job":
            check.act(arrival(check, rows, pick, variant))
        elif action == "replies":
            for _ in range(len(check.probes) if variant < 6 else len(check.probes) // 2):
                endpoint, lost = check.probes.popleft(), pick % 9 == 0
                outcome = Outcome.TIMEOUT if lost else Outcome.OK
                check.act(
                    HealthCheckEnded(endpoint, outcome, 900, None if lost else report_of(check.conf, pick))
                )
        elif action == "time":
            check.pass_time(PASSING_US[variant])
        elif action == "list":
            check.act(EndpointsChanged("changes", [relisted(row, check.now, pick, variant)]))
        elif action == "operators":
            check.act(
                SlotsReserved(row.endpoint, float(variant % 3), 4.0)
                if variant < 4
                else MaintenanceChanged(row.endpoint, variant % 2 == 0)
            )
        else:
            attempt_step(check, action, pick, variant)
    check.finish()


LIGHT = hypothesis_settings(
    derandomize=True, deadline=None, max_examples=400, database=None, suppress_health_check=list(HealthCheck)
)


# Hypothesis derives the seed of the drawn examples from the source of this function, docstring included.
@LIGHT
@given(deployment=deployments(), steps=STEPS)
def test_no_path_sends_a_job_where_it_may_not_go(
    deployment: tuple[Settings, Fleet], steps: list[tuple[str, int, int]]
) -> None:
    """Effects, groups, windows, probes, copies, cancels, zones, cells and send caps of all sorts."""
    conf, fleet = deployment
    check = StrictChecker(conf, Balancer(conf, 7, 1_000_000))
    play(check, fleet.rows(), steps)
    assert check.broken == []


def probing(path: Path) -> Settings:
    """Return the settings of a deployment whose endpoints report their load to health checks only."""
    conf = site_configuration(path, False)
    conf["report"]["how"] = "on_probe"
    return settings_from(conf)


# Hypothesis derives the seed of the drawn examples from the source of this function, docstring included.
@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
@hypothesis_settings(LIGHT, max_examples=100)
@given(steps=STEPS)
def test_other_customers_settings_with_probes(path: Path, steps: list[tuple[str, int, int]]) -> None:
    """The variants of ``deploy/sites``, with load told to probes only."""
    conf = probing(path)
    conf.limits.probes = True
    check = StrictChecker(conf, Balancer(conf, 7, 1_000_000))
    zones = (conf.zone, "another")
    rows = [EndpointEntry(f"w{n}", zones[n // 6], conf.kinds[n % len(conf.kinds)], n // 3) for n in range(12)]
    play(check, rows, steps)
    assert check.broken == []


@pytest.mark.parametrize("seed", range(5))
def test_a_hedge_stays_in_the_scope_of_the_first_attempt(seed: int) -> None:
    """A hedge of a request that is idempotent by key must not leave the scope of the first attempt.

    This happened with the zone as the scope: endpoints of both zones answered health checks, and the hedge
    was sent to the other zone.
    """
    conf = settings(asks_first=True, cross_zone_price=0.16, probe_price=0.002)
    conf.limits.probes, conf.classes[1].group, conf.classes[1].window_us = True, "zone", 12_000_000
    check = StrictChecker(conf, Balancer(conf, seed, 1_000_000))
    check.act(EndpointsChanged("all", [entry(n) for n in range(8)]))
    for number in range(1, 11):
        check.act(RequestReceived(number, "keyed", 7_500_000))
        while check.probes:
            check.act(HealthCheckEnded(check.probes.popleft(), 1, 900, [3, 0]))  # No endpoint has free slots.
        check.pass_time(30_000)
    assert sum(len(request.attempts) for request in check.requests.values()) > len(check.requests), (
        "no hedge was sent"
    )
    assert check.broken == []


def eight_endpoints(conf: Settings) -> tuple[Balancer, list[Endpoint]]:
    """Return a balancer and its endpoints w0 to w7, in order."""
    balancer = Balancer(conf, 1, 1_000_000)
    balancer.handle(1_000_000, [EndpointsChanged("all", [entry(n) for n in range(8)])])
    return balancer, sorted(balancer.parts.endpoints.by_name.values(), key=lambda endpoint: endpoint.name)


def allowed(balancer: Balancer, request: TrackedRequest, endpoints: list[Endpoint]) -> str:
    """Return the numbers of the endpoints that may take the request."""
    return "".join(endpoint.name[1:] for endpoint in balancer.parts.eligibility.eligible(request, endpoints))


@pytest.mark.parametrize(("group", "expected"), [("all", "1234567"), ("zone", "246"), ("cell", "1")])
def test_a_repeat_stays_in_the_idempotency_scope(group: str, expected: str) -> None:
    """A repeat must not go to an endpoint that would not drop it, while the first attempt may have run."""
    conf = settings()
    conf.classes[1].group = group
    balancer, endpoints = eight_endpoints(conf)
    request = request_of(balancer, "keyed")
    assert allowed(balancer, request, endpoints) == "01234567"
    request.attempts, request.open_attempts = [Attempt(endpoints[0], balancer.parts.context.now_us)], 1
    assert allowed(balancer, request, endpoints) == expected
    # The attempt has ended and never ran, so any other endpoint may take the request.
    request.attempts[0].is_open, request.open_attempts = False, 0
    assert allowed(balancer, request, endpoints) == "1234567"


@pytest.mark.parametrize(
    ("job_class", "second_copies", "expected"),
    [("safe", True, "1234567"), ("unsafe", True, ""), ("safe", False, ""), ("keyed", False, "")],
)
def test_a_second_attempt_needs_a_class_and_a_deployment_that_permit_it(
    job_class: str, second_copies: bool, expected: str
) -> None:
    """While an attempt is open, a second one must not be sent if the class or the deployment forbids it."""
    conf = settings()
    conf.limits.second_copies, conf.classes[1].group = second_copies, "all"
    conf.classes[2].window_us = 9_000_000  # The window counts only for classes that are idempotent by key.
    balancer, endpoints = eight_endpoints(conf)
    request = request_of(balancer, job_class)
    request.attempts, request.open_attempts = [Attempt(endpoints[0], balancer.parts.context.now_us)], 1
    assert allowed(balancer, request, endpoints) == expected


def request_with_attempts(
    balancer: Balancer, job_class: str, *sent: tuple[Endpoint, int], keyless: bool = False
) -> TrackedRequest:
    """Return a request whose attempts were sent to these endpoints at these times, and are open."""
    request = request_of(balancer, job_class, deadline_at_us=90_000_000, lacks_idempotency_key=keyless)
    request.attempts, request.open_attempts = [Attempt(endpoint, at) for endpoint, at in sent], len(sent)
    balancer.parts.requests.by_id[request.id] = request
    return request


def keyed_settings(group: str, window_us: int = 3_000_000, second_copies: bool = True) -> Settings:
    """Return settings whose keyed class has this idempotency scope and window."""
    conf = settings()
    conf.classes[1].group, conf.classes[1].window_us = group, window_us
    conf.limits.second_copies = second_copies
    return conf


MOVES = ["relisted", "forgotten and listed anew"]


@pytest.mark.parametrize("how", MOVES)
@pytest.mark.parametrize(("group", "expected"), [("zone", "246"), ("cell", "1")])
def test_the_scope_is_that_of_the_dispatch_after_a_later_list(group: str, expected: str, how: str) -> None:
    """The idempotency scope must not follow a later list.

    The list then names another zone and cell for the first attempt's endpoint, or the endpoint was removed
    and is listed again with a new record.
    """
    balancer, endpoints = eight_endpoints(keyed_settings(group))
    request = request_with_attempts(balancer, "keyed", (endpoints[0], balancer.parts.context.now_us))
    if how != "relisted":
        balancer.handle(balancer.parts.context.now_us, [EndpointsChanged("changes", [entry(0, "removed")])])
        endpoints[0].in_flight.in_flight_slots = 0.0
    balancer.handle(
        balancer.parts.context.now_us, [EndpointsChanged("changes", [EndpointEntry("w0", "b", "k1", 3)])]
    )
    now_listed = sorted(balancer.parts.endpoints.by_name.values(), key=lambda endpoint: endpoint.name)
    assert now_listed[0].zone == "b" and (now_listed[0] is endpoints[0]) == (how == "relisted")
    assert allowed(balancer, request, now_listed) == expected
    scope = balancer.parts.eligibility.scope_of_repeat(request)
    assert scope is not None
    assert "".join(sorted(candidate.name[1:] for candidate in scope if candidate.name != "w0")) == expected


def test_an_endpoint_with_a_new_record_gets_no_second_attempt() -> None:
    """An endpoint that was forgotten and is listed again must not get a second attempt of a request.

    Its record is a new one, but the endpoint may still hold the first attempt.
    """
    balancer, endpoints = eight_endpoints(settings())
    request = request_with_attempts(balancer, "safe", (endpoints[0], balancer.parts.context.now_us))
    balancer.parts.endpoints.by_name["w0"] = Endpoint("w0", endpoints[0].kind, "a")
    assert allowed(balancer, request, list(balancer.parts.endpoints.by_name.values())) == "1234567"


@pytest.mark.parametrize(
    ("job_class", "keyless", "group", "second_copies", "after_us", "expected"),
    [
        ("safe", False, "all", True, 9_000_000, True),
        ("safe", False, "all", False, 0, False),
        ("unsafe", False, "all", True, 0, False),
        ("keyed", False, "zone", True, 2_999_999, True),
        ("keyed", False, "zone", True, 3_000_000, False),
        ("keyed", False, "all", True, 2_999_999, True),
        ("keyed", False, "all", True, 3_000_000, False),
        ("keyed", False, "zone", False, 0, False),
        ("keyed", False, "cell", True, 0, False),  # w2 is in the same zone, but in another cell.
        ("keyed", True, "all", True, 0, False),
    ],
)
def test_the_pre_send_check_counts_the_time_of_the_dial(
    job_class: str, keyless: bool, group: str, second_copies: bool, after_us: int, expected: bool
) -> None:
    """A second attempt whose dial lasts until a rule forbids it must not begin. The first one is open."""
    balancer, endpoints = eight_endpoints(keyed_settings(group, second_copies=second_copies))
    at = balancer.parts.context.now_us
    request_with_attempts(balancer, job_class, (endpoints[0], at), (endpoints[2], at), keyless=keyless)
    assert balancer.may_begin(1, 1, at + after_us) == expected


def test_the_pre_send_check_counts_later_attempts() -> None:
    """A first attempt must not begin after the window of a hedge that was sent during its dial."""
    balancer, endpoints = eight_endpoints(keyed_settings("zone"))
    at = balancer.parts.context.now_us
    request = request_with_attempts(balancer, "keyed", (endpoints[0], at), (endpoints[2], at + 40_000))
    assert balancer.may_begin(1, 0, at + 3_039_999)
    assert not balancer.may_begin(1, 0, at + 3_040_000)
    request.attempts[1].is_open = False  # It has ended and never ran.
    assert balancer.may_begin(1, 0, at + 3_040_000)
    request.attempts[0].is_open = False
    assert not balancer.may_begin(1, 0, at), "an attempt that has ended must not begin"
    assert not balancer.may_begin(2, 0, at) and not balancer.may_begin(1, 2, at)


@pytest.mark.parametrize(
    ("job_class", "keyless", "group", "after_us", "wait_us", "expected"),
    [
        ("safe", False, "all", 60_000_000, 0, True),
        ("unsafe", False, "all", 0, 0, False),
        ("keyed", False, "zone", 0, 0, False),
        ("keyed", False, "cell", 0, 0, False),
        ("keyed", False, "all", 2_999_999, 0, True),
        ("keyed", False, "all", 3_000_000, 0, False),
        ("keyed", False, "all", 2_900_000, 100_000, False),  # The repeat would come after the window.
        ("keyed", True, "all", 0, 0, False),
    ],
)
def test_a_rejection_counts_as_a_repeat(
    job_class: str, keyless: bool, group: str, after_us: int, wait_us: int, expected: bool
) -> None:
    """A request that may have run must not be rejected if a repeat after Retry-After has a second effect."""
    balancer, endpoints = eight_endpoints(keyed_settings(group))
    request = request_with_attempts(
        balancer, job_class, (endpoints[0], balancer.parts.context.now_us), keyless=keyless
    )
    balancer.parts.context.now_us += after_us
    assert balancer.parts.eligibility.may_reject(request, wait_us) == expected
    request.attempts[0].is_open = False
    assert balancer.parts.eligibility.may_reject(request, wait_us), "its only attempt never ran"


@pytest.mark.parametrize("reported", [ExecutionStarted(1, 0), ExecutionProgressed(1, 0, 0.5), None])
def test_a_rejection_by_the_endpoint_after_a_start_proves_nothing(reported: Event | None) -> None:
    """An unsafe request must not be sent again if its endpoint reported a start and then rejects it.

    It fails then. Without a reported start it is sent to another endpoint.
    """
    balancer, _ = eight_endpoints(settings())
    balancer.handle(balancer.parts.context.now_us, [RequestReceived(1, "unsafe", 8_000_000)])
    if reported is not None:
        balancer.handle(balancer.parts.context.now_us, [reported])
    actions = balancer.handle(balancer.parts.context.now_us, [AttemptEnded(1, 0, Outcome.FULL, 900)])
    kinds = [type(action) for action in actions]
    assert (Fail in kinds) == (reported is not None) and (Dispatch in kinds) == (reported is None)


def test_an_unknown_class_is_unsafe_to_repeat() -> None:
    """A request of a class that is not configured must not get the rules of another class."""
    balancer, _ = eight_endpoints(settings())
    balancer.handle(balancer.parts.context.now_us, [RequestReceived(1, "another", 8_000_000)])
    actions = balancer.handle(balancer.parts.context.now_us, [AttemptEnded(1, 0, Outcome.RESET, 900)])
    assert [type(action) for action in actions if not isinstance(action, SetTimer)] == [Fail]


def test_endpoints_in_no_condition_to_take_a_request_are_left_out() -> None:
    """Endpoints that drain, fail, hang, lack memory, or are of another kind or not allowed get no request."""
    conf = settings()
    conf.classes[0].kind = 0  # The endpoints with even numbers are of this kind.
    balancer, endpoints = eight_endpoints(conf)
    balancer.parts.context.now_us = 5_000_000
    request = request_of(balancer, "safe", memory=2.0)
    assert allowed(balancer, request, endpoints) == "0246"
    endpoints[0].state = "draining"
    endpoints[2].failures.ejected_until_us = balancer.parts.context.now_us + 1
    endpoints[4].in_flight.in_flight_slots, endpoints[4].failures.unanswered_since_us = 1.0, 1_000_000
    assert allowed(balancer, request, endpoints) == "6"
    endpoints[6].last_report.free_memory, endpoints[6].last_report.free_memory_at_us = (
        1.0,
        balancer.parts.context.now_us,
    )
    assert allowed(balancer, request, endpoints) == ""
    endpoints[6].last_report.free_memory = 2.0
    assert allowed(balancer, request, endpoints) == "6"
    request.allowed_endpoints = ("w0", "w1")
    assert allowed(balancer, request, endpoints) == ""
    request.allowed_endpoints, balancer.parts.context.now_us = (), request.deadline_at_us
    assert allowed(balancer, request, endpoints) == ""
