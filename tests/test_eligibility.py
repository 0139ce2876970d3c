"""Who may take a job, on every path: drawn settings and event sequences against the real balancer.

The checker in ``support`` judges class, group, window, send cap, second copies, drains and answers; here it
also sees two attempts at one endpoint, and actions that the settings do not allow.
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
from tests.test_sites import SITES, conf_of

ACTIONS = [*["job", "replies", "time", "end"] * 2, "start", "progress", "list", "operators"]
STEPS = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.integers(0, 2**16), st.integers(0, 7)), min_size=10, max_size=60
)
WINDOWS_US = (0, 40_000, 250_000, 3_000_000, 12_000_000)
OUTCOMES = (1, 1, 2, 3, 4, 5, 6, 7)
PASSING_US = (5_000, 20_000, 60_000, 160_000, 400_000, 1_600_000, 3_000_000, 9_000_000)


@dataclass
class StrictChecker(Checker):
    """Judges also single actions: one attempt at an endpoint at once, and nothing that is not allowed."""

    probes: deque[str] = field(default_factory=deque)

    def act(self, *events: Event) -> None:
        """Hand a batch over; what is cancelled in answer ends at once, as the owner has it."""
        for action in self.deliver(*events):
            if not isinstance(action, Cancel):
                continue
            job = self.requests[action.id]
            sent = job.attempts[action.attempt]
            if not sent.outcome:
                took = self.now - sent.at
                self.act(
                    AttemptEnded(action.id, action.attempt, 7, took, job.is_settled, None, sent.endpoint)
                )

    def _check_action(self, action: Action, ended_now: set[int]) -> None:
        if isinstance(action, CheckHealth):
            self.probes.append(action.endpoint)
            if not self.conf.limits.probes:
                self.violations.append("probed where no probes are allowed")
        if isinstance(action, Cancel) and not self.conf.limits.cancelling:
            self.violations.append("cancelled where that is not allowed")
        super()._check_action(action, ended_now)

    def _check_dispatch(self, job: ObservedRequest, action: Dispatch) -> None:
        if any(sent.endpoint == action.endpoint and not sent.outcome for sent in job.attempts):
            self.violations.append("two attempts at one worker at once")
        if job.event.only and action.endpoint not in job.event.only:
            self.violations.append("sent to a worker that the job is not bound to")
        super()._check_dispatch(job, action)


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
    """Draw settings with a class of each effect, and the endpoints they are about."""
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
    """Return a load report in the settings' order: as often full as with room."""
    free = (0, 3, 0, 1)[pick % 4]
    return [free if name == conf.free_slots_field else pick % 3 for name in conf.report_fields]


def arrival(check: StrictChecker, rows: list[EndpointEntry], pick: int, small: int) -> RequestReceived:
    """Return a job; some are bound to endpoints, some take free slots only, some what is reserved."""
    cls = check.conf.classes[small % len(check.conf.classes)]
    bound = tuple(row.endpoint for row in rows if pick >> rows.index(row) & 1) if pick % 5 == 0 else ()
    return RequestReceived(
        len(check.requests) + 1,
        cls.name,
        cls.deadline_us >> (pick % 3),
        1.0 + pick % 2,
        key="key" if pick % 7 == 0 else "",
        only=bound,
        room_only=pick % 11 == 0,
        reserved=bool(bound) and pick % 2 == 0,
        keyless=pick % 4 == 0,
    )


def relisted(row: EndpointEntry, now: int, pick: int, small: int) -> EndpointEntry:
    """Return an endpoint's next line of the list: another state, a new start, another zone or cell."""
    state = ("up", "up", "draining", "removed")[small % 4]
    ready = now - 100_000 if small >= 4 else 0
    zone, cell = ("abc"[pick % 3], pick % 7) if pick % 5 == 0 else (row.zone, row.cell)
    return EndpointEntry(row.endpoint, zone, row.kind, cell, state, 1.0, ready)


def attempt_step(check: StrictChecker, what: str, pick: int, small: int) -> None:
    """Start or end one of the attempts that are out."""
    pending = [
        (number, job, at, sent)
        for number, job in check.requests.items()
        for at, sent in enumerate(job.attempts)
        if not sent.outcome
    ]
    if not pending:
        return
    number, job, at, sent = pending[pick % len(pending)]
    if what in ("start", "progress"):
        check.act(ExecutionStarted(number, at) if what == "start" else ExecutionProgressed(number, at, 0.5))
        return
    outcome = OUTCOMES[small]
    over = job.is_settled or outcome == Outcome.OK
    report = report_of(check.conf, pick) if pick % 3 else None
    check.act(AttemptEnded(number, at, outcome, check.now - sent.at, over, report, sent.endpoint))


def play(check: StrictChecker, rows: list[EndpointEntry], steps: list[tuple[str, int, int]]) -> None:
    """Turn drawn steps into legal events."""
    check.act(EndpointsChanged("remembered", rows))
    for what, pick, small in steps:
        row = rows[pick % len(rows)]
        if what == "job":
            check.act(arrival(check, rows, pick, small))
        elif what == "replies":
            for _ in range(len(check.probes) if small < 6 else len(check.probes) // 2):
                endpoint, lost = check.probes.popleft(), pick % 9 == 0
                outcome = Outcome.TIMEOUT if lost else Outcome.OK
                check.act(
                    HealthCheckEnded(endpoint, outcome, 900, None if lost else report_of(check.conf, pick))
                )
        elif what == "time":
            check.pass_time(PASSING_US[small])
        elif what == "list":
            check.act(EndpointsChanged("changes", [relisted(row, check.now, pick, small)]))
        elif what == "operators":
            check.act(
                SlotsReserved(row.endpoint, float(small % 3), 4.0)
                if small < 4
                else MaintenanceChanged(row.endpoint, small % 2 == 0)
            )
        else:
            attempt_step(check, what, pick, small)
    check.finish()


LIGHT = hypothesis_settings(
    derandomize=True, deadline=None, max_examples=400, database=None, suppress_health_check=list(HealthCheck)
)


@LIGHT
@given(deployment=deployments(), steps=STEPS)
def test_no_path_sends_a_job_where_it_may_not_go(
    deployment: tuple[Settings, Fleet], steps: list[tuple[str, int, int]]
) -> None:
    """Effects, groups, windows, probes, copies, cancels, zones, cells and send caps of all sorts."""
    conf, fleet = deployment
    check = StrictChecker(conf, Balancer(conf, 7, 1_000_000))
    play(check, fleet.rows(), steps)
    assert check.violations == []


def probing(path: Path) -> Settings:
    """Return the settings of a deployment whose endpoints report their load to probes only."""
    conf = conf_of(path, False)
    conf["report"]["how"] = "on_probe"
    return settings_from(conf)


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
    assert check.violations == []


@pytest.mark.parametrize("seed", range(5))
def test_a_copy_goes_to_the_group_of_the_first_attempt(seed: int) -> None:
    """As met: a keyed job of a zone, both zones probed, and the copy that followed went over the border."""
    conf = settings(asks_first=True, cross_zone_price=0.16, probe_price=0.002)
    conf.limits.probes, conf.classes[1].group, conf.classes[1].window_us = True, "zone", 12_000_000
    check = StrictChecker(conf, Balancer(conf, seed, 1_000_000))
    check.act(EndpointsChanged("all", [entry(n) for n in range(8)]))
    for number in range(1, 11):
        check.act(RequestReceived(number, "keyed", 7_500_000))
        while check.probes:
            check.act(HealthCheckEnded(check.probes.popleft(), 1, 900, [3, 0]))  # all are full
        check.pass_time(30_000)
    assert sum(len(job.attempts) for job in check.requests.values()) > len(check.requests), "no copy was sent"
    assert check.violations == []


def eight_workers(conf: Settings) -> tuple[Balancer, list[Endpoint]]:
    """Return a balancer and its endpoints w0 to w7, in order."""
    made = Balancer(conf, 1, 1_000_000)
    made.handle(1_000_000, [EndpointsChanged("all", [entry(n) for n in range(8)])])
    return made, sorted(made.parts.endpoints.by_name.values(), key=lambda endpoint: endpoint.name)


def allowed(made: Balancer, job: TrackedRequest, endpoints: list[Endpoint]) -> str:
    """Return the numbers of the endpoints that may take the job."""
    return "".join(endpoint.name[1:] for endpoint in made.parts.eligibility.eligible(job, endpoints))


@pytest.mark.parametrize(("group", "expected"), [("all", "1234567"), ("zone", "246"), ("cell", "1")])
def test_only_the_group_of_an_unresolved_attempt_may_repeat(group: str, expected: str) -> None:
    """Whatever endpoints a path looks at: those that would not drop a repeat are left out."""
    conf = settings()
    conf.classes[1].group = group
    made, endpoints = eight_workers(conf)
    job = request_of(made, "keyed")
    assert allowed(made, job, endpoints) == "01234567"
    job.attempts, job.open_attempts = [Attempt(endpoints[0], made.parts.context.now_us)], 1
    assert allowed(made, job, endpoints) == expected
    job.attempts[0].is_open, job.open_attempts = False, 0  # it has come back unstarted, so it binds no longer
    assert allowed(made, job, endpoints) == "1234567"


@pytest.mark.parametrize(
    ("job_class", "second_copies", "expected"),
    [("safe", True, "1234567"), ("unsafe", True, ""), ("safe", False, ""), ("keyed", False, "")],
)
def test_a_second_copy_needs_a_class_and_a_deployment_that_allow_it(
    job_class: str, second_copies: bool, expected: str
) -> None:
    """While one attempt is out."""
    conf = settings()
    conf.limits.second_copies, conf.classes[1].group = second_copies, "all"
    conf.classes[2].window_us = 9_000_000  # which counts for keyed classes only
    made, endpoints = eight_workers(conf)
    job = request_of(made, job_class)
    job.attempts, job.open_attempts = [Attempt(endpoints[0], made.parts.context.now_us)], 1
    assert allowed(made, job, endpoints) == expected


def job_of(
    made: Balancer, job_class: str, *sent: tuple[Endpoint, int], keyless: bool = False
) -> TrackedRequest:
    """Return a job of a class whose attempts went to these endpoints at these times, and are out."""
    job = request_of(made, job_class, deadline_at_us=90_000_000, lacks_idempotency_key=keyless)
    job.attempts, job.open_attempts = [Attempt(endpoint, at) for endpoint, at in sent], len(sent)
    made.parts.requests.by_id[job.id] = job
    return job


def keyed_settings(group: str, window_us: int = 3_000_000, second_copies: bool = True) -> Settings:
    """Return settings with a class that endpoints of a group know repeats of for so long."""
    conf = settings()
    conf.classes[1].group, conf.classes[1].window_us = group, window_us
    conf.limits.second_copies = second_copies
    return conf


MOVES = ["relisted", "forgotten and listed anew"]


@pytest.mark.parametrize("how", MOVES)
@pytest.mark.parametrize(("group", "expected"), [("zone", "246"), ("cell", "1")])
def test_the_group_is_that_of_the_send_whatever_is_listed_later(group: str, expected: str, how: str) -> None:
    """The first attempt's endpoint is listed in another zone and cell, or gone and back as another record."""
    made, endpoints = eight_workers(keyed_settings(group))
    job = job_of(made, "keyed", (endpoints[0], made.parts.context.now_us))
    if how != "relisted":
        made.handle(made.parts.context.now_us, [EndpointsChanged("changes", [entry(0, "removed")])])
        endpoints[0].in_flight.in_flight_slots = 0.0
    made.handle(made.parts.context.now_us, [EndpointsChanged("changes", [EndpointEntry("w0", "b", "k1", 3)])])
    now_listed = sorted(made.parts.endpoints.by_name.values(), key=lambda endpoint: endpoint.name)
    assert now_listed[0].zone == "b" and (now_listed[0] is endpoints[0]) == (how == "relisted")
    assert allowed(made, job, now_listed) == expected
    group_by_index = made.parts.eligibility.scope_of_repeat(job)
    assert group_by_index is not None
    assert "".join(sorted(w.name[1:] for w in group_by_index if w.name != "w0")) == expected


def test_a_worker_that_was_forgotten_and_is_back_gets_no_second_attempt() -> None:
    """Its record is another one, but it may still hold the first attempt."""
    made, endpoints = eight_workers(settings())
    job = job_of(made, "safe", (endpoints[0], made.parts.context.now_us))
    made.parts.endpoints.by_name["w0"] = Endpoint("w0", endpoints[0].kind, "a")
    assert allowed(made, job, list(made.parts.endpoints.by_name.values())) == "1234567"


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
        ("keyed", False, "cell", True, 0, False),  # w2 is of the zone, and of another cell
        ("keyed", True, "all", True, 0, False),
    ],
)
def test_the_look_before_the_first_byte(
    job_class: str, keyless: bool, group: str, second_copies: bool, after_us: int, expected: bool
) -> None:
    """The second attempt's dial has lasted so long; the first one is out."""
    made, endpoints = eight_workers(keyed_settings(group, second_copies=second_copies))
    at = made.parts.context.now_us
    job_of(made, job_class, (endpoints[0], at), (endpoints[2], at), keyless=keyless)
    assert made.may_begin(1, 1, at + after_us) == expected


def test_the_look_counts_later_attempts_that_went_out_before() -> None:
    """The first attempt's dial lasts; its copy goes out, and the window counts from there."""
    made, endpoints = eight_workers(keyed_settings("zone"))
    at = made.parts.context.now_us
    job = job_of(made, "keyed", (endpoints[0], at), (endpoints[2], at + 40_000))
    assert made.may_begin(1, 0, at + 3_039_999)
    assert not made.may_begin(1, 0, at + 3_040_000)
    job.attempts[1].is_open = False  # it has come back unstarted
    assert made.may_begin(1, 0, at + 3_040_000)
    job.attempts[0].is_open = False
    assert not made.may_begin(1, 0, at), "an attempt that has ended is not begun"
    assert not made.may_begin(2, 0, at) and not made.may_begin(1, 2, at)


@pytest.mark.parametrize(
    ("job_class", "keyless", "group", "after_us", "wait_us", "expected"),
    [
        ("safe", False, "all", 60_000_000, 0, True),
        ("unsafe", False, "all", 0, 0, False),
        ("keyed", False, "zone", 0, 0, False),
        ("keyed", False, "cell", 0, 0, False),
        ("keyed", False, "all", 2_999_999, 0, True),
        ("keyed", False, "all", 3_000_000, 0, False),
        ("keyed", False, "all", 2_900_000, 100_000, False),  # it comes again when the window is over
        ("keyed", True, "all", 0, 0, False),
    ],
)
def test_a_refusal_counts_as_a_repeat(
    job_class: str, keyless: bool, group: str, after_us: int, wait_us: int, expected: bool
) -> None:
    """The client sends it again, at once or after the wait that it is told."""
    made, endpoints = eight_workers(keyed_settings(group))
    job = job_of(made, job_class, (endpoints[0], made.parts.context.now_us), keyless=keyless)
    made.parts.context.now_us += after_us
    assert made.parts.eligibility.may_reject(job, wait_us) == expected
    job.attempts[0].is_open = False
    assert made.parts.eligibility.may_reject(job, wait_us), "it has come back unstarted"


@pytest.mark.parametrize("told", [ExecutionStarted(1, 0), ExecutionProgressed(1, 0, 0.5), None])
def test_a_hand_back_after_a_start_proves_nothing(told: Event | None) -> None:
    """A job that is unsafe to repeat is failed then, and tried elsewhere if no start was reported."""
    made, _ = eight_workers(settings())
    made.handle(made.parts.context.now_us, [RequestReceived(1, "unsafe", 8_000_000)])
    if told is not None:
        made.handle(made.parts.context.now_us, [told])
    actions = made.handle(made.parts.context.now_us, [AttemptEnded(1, 0, Outcome.FULL, 900)])
    kinds = [type(action) for action in actions]
    assert (Fail in kinds) == (told is not None) and (Dispatch in kinds) == (told is None)


def test_a_class_that_nobody_knows_is_unsafe_to_repeat() -> None:
    """It does not take the rules of another one."""
    made, _ = eight_workers(settings())
    made.handle(made.parts.context.now_us, [RequestReceived(1, "another", 8_000_000)])
    actions = made.handle(made.parts.context.now_us, [AttemptEnded(1, 0, Outcome.RESET, 900)])
    assert [type(action) for action in actions if not isinstance(action, SetTimer)] == [Fail]


def test_the_condition_of_each_worker_counts() -> None:
    """Drained, failing, hanging, short of memory, of another kind, not one that the job is bound to."""
    conf = settings()
    conf.classes[0].kind = 0  # the endpoints with even numbers
    made, endpoints = eight_workers(conf)
    made.parts.context.now_us = 5_000_000
    job = request_of(made, "safe", memory=2.0)
    assert allowed(made, job, endpoints) == "0246"
    endpoints[0].state = "draining"
    endpoints[2].failures.ejected_until_us = made.parts.context.now_us + 1
    endpoints[4].in_flight.in_flight_slots, endpoints[4].failures.unanswered_since_us = 1.0, 1_000_000
    assert allowed(made, job, endpoints) == "6"
    endpoints[6].last_report.free_memory, endpoints[6].last_report.free_memory_at_us = (
        1.0,
        made.parts.context.now_us,
    )
    assert allowed(made, job, endpoints) == ""
    endpoints[6].last_report.free_memory = 2.0
    assert allowed(made, job, endpoints) == "6"
    job.allowed_endpoints = ("w0", "w1")
    assert allowed(made, job, endpoints) == ""
    job.allowed_endpoints, made.parts.context.now_us = (), job.deadline_at_us
    assert allowed(made, job, endpoints) == ""
