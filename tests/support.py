"""Helpers: a hand-driven balancer, and a rule checker written apart from the module.

The checker knows the four rules as the wire page states them and nothing of how the module decides.
There is no endpoint model and no scoring here: outcomes are whatever a test says.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from merlinbay.decision import Balancer
from merlinbay.decision.actions import Action, Cancel, Dispatch, Fail, LogNotice, Reject, SetTimer
from merlinbay.decision.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointEntry,
    EndpointsChanged,
    Event,
    ExecutionProgressed,
    ExecutionStarted,
    RequestReceived,
    TimerFired,
)
from merlinbay.decision.request_state import TrackedRequest
from merlinbay.decision.settings import DispatchLimits, RequestClass, SafetyMargins, Settings

NEVER_RAN_OUTCOMES = {3, 5, 8}


class DecisionModule(Protocol):
    """Anything that decides like a balancer."""

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Take events, return actions."""


def settings(**changes: object) -> Settings:
    """Return settings with one class of each kind of effect."""
    base: dict[str, object] = dict(
        classes=[
            RequestClass("safe", 100_000, 5_000_000, worth=5.0, stretch=2.0),
            RequestClass(
                "keyed", 250_000, 10_000_000, effect="by_key", group="cell", window_us=3_000_000, stretch=2.0
            ),
            RequestClass("unsafe", 400_000, 8_000_000, effect="once", stretch=2.0),
        ],
        balancers=4,
        zone="a",
        kinds=["k1", "k2"],
        tells_start=True,
        cross_zone_price=0.01,
        report_fields=["active", "x0"],
        free_slots_field="x0",
        limits=DispatchLimits(cancelling=True, second_copies=True, send_cap=4, retry_after=True),
        safety=SafetyMargins(
            drain_grace_us=250_000,
            cold_from=0.3,
            cold_us=9_000_000,
            tip_multiple=3.0,
            overload_for_us=2_000_000,
            answer_slack_us=16_000,
        ),
    )
    return Settings(**{**base, **changes})  # type: ignore[arg-type]


def entry(number: int, state: str = "up", ready: int = 0) -> EndpointEntry:
    """Return a list line of endpoint ``number``: two zones, two kinds, cells of two."""
    odd = number % 2
    return EndpointEntry(f"w{number}", "ab"[odd], f"k{odd + 1}", number // 2, state, 1.0, ready)


@dataclass
class ObservedAttempt:
    """An attempt as the checker saw it."""

    endpoint: str
    at: int
    cell: int  # of the endpoint when it was sent
    zone: str
    outcome: int = 0
    started: bool = False  # a start, or progress, was reported

    @property
    def may_have_run(self) -> bool:
        """Whether nothing proves that it never ran."""
        return self.started or self.outcome not in NEVER_RAN_OUTCOMES


@dataclass
class ObservedRequest:
    """A request as the checker saw it."""

    event: RequestReceived
    cls: RequestClass
    at: int
    attempts: list[ObservedAttempt] = field(default_factory=list)
    answers: int = 0
    is_settled: bool = False  # settled, as far as the module has been told

    @property
    def effect(self) -> str:
        """What a repeat does: no endpoint knows one that carries no key."""
        return "once" if self.cls.effect == "by_key" and self.event.keyless else self.cls.effect

    @property
    def unresolved(self) -> list[ObservedAttempt]:
        """The attempts that may have run, in the order they were sent."""
        return [sent for sent in self.attempts if sent.may_have_run]


@dataclass
class Checker:
    """Drives a balancer and notes every broken rule."""

    conf: Settings
    balancer: DecisionModule
    now: int = 1_000_000
    violations: list[str] = field(default_factory=list)
    requests: dict[int, ObservedRequest] = field(default_factory=dict)
    drain_notified_at: dict[str, int] = field(default_factory=dict)
    ready: dict[str, int] = field(default_factory=dict)
    cell: dict[str, tuple[int, str]] = field(default_factory=dict)
    slow_start_dispatches: dict[str, list[tuple[int, float]]] = field(default_factory=dict)
    timers: list[tuple[int, str]] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    def deliver(self, *events: Event) -> list[Action]:
        """Hand a batch to the balancer and check what it answers."""
        ended_now: set[int] = set()
        for event in events:
            self._observe_event(event, ended_now)
        actions = self.balancer.handle(self.now, list(events))
        for action in actions:
            self._check_action(action, ended_now)
        for number in ended_now:  # what was decided on the same batch, before the withdrawal, is no fault
            self.requests[number].is_settled, self.requests[number].answers = True, 1
        return actions

    def _observe_event(self, event: Event, ended_now: set[int]) -> None:
        if isinstance(event, RequestReceived):
            cls = next(c for c in self.conf.classes if c.name == event.job_class)
            self.requests[event.id] = ObservedRequest(event, cls, self.now)
        elif isinstance(event, AttemptEnded) and event.id in self.requests:
            job = self.requests[event.id]
            job.attempts[event.attempt].outcome = event.outcome
            if event.final:
                job.is_settled = True
        elif isinstance(event, (ExecutionStarted, ExecutionProgressed)) and event.id in self.requests:
            sent = self.requests[event.id].attempts[event.attempt]
            sent.started = sent.started or not sent.outcome
        elif isinstance(event, ClientDisconnected) and event.id in self.requests:
            ended_now.add(event.id)
        elif isinstance(event, EndpointsChanged):
            named = set()
            for row in event.entries:
                named.add(row.endpoint)
                self.cell[row.endpoint] = (row.cell, row.zone)
                self.ready[row.endpoint] = row.ready_at_us
                if row.state == "up":
                    self.drain_notified_at.pop(row.endpoint, None)
                else:
                    self.drain_notified_at.setdefault(row.endpoint, self.now)
            if event.scope in ("all", "remembered"):
                for endpoint in self.cell:
                    if endpoint not in named:
                        self.drain_notified_at.setdefault(endpoint, self.now)

    def _check_action(self, action: Action, ended_now: set[int]) -> None:
        if isinstance(action, SetTimer):
            self.timers.append((self.now + action.in_us, action.token))
        elif isinstance(action, LogNotice):
            self.notes.append(action.text)
        elif isinstance(action, Dispatch):
            self._check_dispatch(self.requests[action.id], action)
        elif isinstance(action, (Reject, Fail)):
            job = self.requests[action.id]
            job.answers += 1
            if job.is_settled:
                self.violations.append("1: answered twice")
            if action.id in ended_now:
                return
            job.is_settled = True
            if isinstance(action, Reject) and not self._may_reject(job, action.retry_after_us):
                self.violations.append("2: refused though it may have run")
        elif isinstance(action, Cancel):
            assert action.attempt < len(self.requests[action.id].attempts), "cancelled an attempt never sent"

    def _may_reject(self, job: ObservedRequest, wait_us: int) -> bool:
        """Tell whether the client, which sends a refused job again after a wait, does no harm by it."""
        if not job.unresolved or job.effect == "repeatable":
            return True
        ends = job.unresolved[0].at + job.cls.window_us
        return job.effect == "by_key" and job.cls.group == "all" and self.now + wait_us <= ends

    def _check_dispatch(self, job: ObservedRequest, action: Dispatch) -> None:
        if job.is_settled:
            self.violations.append("1: sent after the end")
        unsure = job.unresolved
        pending = [sent for sent in job.attempts if not sent.outcome]
        if pending and not self.conf.limits.second_copies:
            self.violations.append("2: second copy where none is allowed")
        if unsure and job.effect == "once":
            self.violations.append("2: once sent again")
        cell, zone = self.cell[action.endpoint]
        if unsure and job.effect == "by_key":
            home = unsure[0]
            same = {"all": True, "cell": cell == home.cell, "zone": zone == home.zone}[job.cls.group]
            if not same or self.now - home.at > job.cls.window_us:
                self.violations.append("2: keyed sent outside its group or window")
        job.attempts.append(ObservedAttempt(action.endpoint, self.now, cell, zone))
        if len(job.attempts) > self.conf.limits.send_cap:
            self.violations.append("send cap passed")
        off = self.drain_notified_at.get(action.endpoint)
        if off is not None and self.now - off > self.conf.safety.drain_grace_us:
            self.violations.append("3: sent to a drained worker")
        started = self.ready.get(action.endpoint, 0)
        if started and self.now - started < self.conf.safety.cold_us:
            self.slow_start_dispatches.setdefault(action.endpoint, []).append((self.now, job.event.slots))

    def check_slow_start(self, slots: float, run_us: float) -> None:
        """Check the sliding cold budget for endpoints of so many slots and jobs of such a mean run time.

        One job may always be under way; what comes beyond it must fit this scheduler's share.
        """
        safety = self.conf.safety
        budget = safety.tip_multiple * slots * safety.overload_for_us / self.conf.balancers
        for endpoint, sends in self.slow_start_dispatches.items():
            for at, _ in sends:
                age = min(at + safety.overload_for_us - self.ready[endpoint], safety.cold_us)
                share = safety.cold_from + (1 - safety.cold_from) * age / safety.cold_us
                span = [s for t, s in sends if at <= t < at + safety.overload_for_us]
                if sum(span[1:]) * run_us > budget * share:
                    self.violations.append("4: cold budget passed")

    def pass_time(self, us: int) -> None:
        """Let time go by, firing due timers and the deadlines of pending attempts."""
        end = self.now + us
        while True:
            due = [at for at, _ in self.timers]
            for job in self.requests.values():
                if any(not sent.outcome for sent in job.attempts):
                    due.append(job.at + job.event.budget_us)
            step = min((at for at in due if at > self.now), default=end)
            late = min(due, default=end) <= self.now
            if not late and step > end:
                break
            self.now = self.now if late else min(step, end)
            events: list[Event] = [TimerFired(token) for at, token in self.timers if at <= self.now]
            self.timers = [(at, token) for at, token in self.timers if at > self.now]
            for number, job in self.requests.items():
                if job.at + job.event.budget_us <= self.now:
                    events += [
                        AttemptEnded(number, i, 4, self.now - sent.at, job.is_settled, None, sent.endpoint)
                        for i, sent in enumerate(job.attempts)
                        if not sent.outcome
                    ]
            if not events:
                break
            called_off = [(a.id, a.attempt) for a in self.deliver(*events) if isinstance(a, Cancel)]
            if called_off:  # as the owner does at once: they have ended as cancelled
                self.deliver(
                    *(
                        AttemptEnded(job, attempt, 7, 1, self.requests[job].is_settled)
                        for job, attempt in called_off
                        if not self.requests[job].attempts[attempt].outcome
                    )
                )
        self.now = end

    def finish(self) -> None:
        """Let all deadlines pass, then require exactly one answer for each request."""
        self.pass_time(20_000_000)
        for number, job in self.requests.items():
            served = any(sent.outcome == 1 for sent in job.attempts)
            if job.answers + (served and not job.answers) != 1:
                self.violations.append(f"1: {job.answers} answers for {number}")


def request_of(made: Balancer, job_class: str, **changes: Any) -> TrackedRequest:
    """Return a request of a class, not offered; some of its fields may be told."""
    state = made.parts.run_times.classes[job_class]
    fields: dict[str, Any] = {
        "id": 1,
        "class_state": state,
        "run_time_us": state.run_time_us,
        "priority_weight": 1.0,
        "deadline_at_us": 9_000_000,
    }
    return TrackedRequest(**{**fields, **changes})
