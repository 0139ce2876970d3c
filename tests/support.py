"""Helpers for tests of the decision module: settings, list entries, and a checker of the four rules.

The checker drives a balancer by hand. It is written independently of the module: it knows the rules as the
wire page states them, and nothing of how the module decides. It has no model of endpoints and computes no
score; each test sets the outcomes of the attempts.
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
    """The part of ``Balancer`` that the checker drives."""

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Handle events, and return the actions to take."""


def settings(**changes: object) -> Settings:
    """Return settings with one class for each effect, some of them changed."""
    defaults: dict[str, object] = dict(
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
    return Settings(**{**defaults, **changes})  # type: ignore[arg-type]


def entry(number: int, state: str = "up", ready: int = 0) -> EndpointEntry:
    """Return the list entry of endpoint ``number``, in one of two zones and two kinds, in cells of two."""
    odd = number % 2
    return EndpointEntry(f"w{number}", "ab"[odd], f"k{odd + 1}", number // 2, state, 1.0, ready)


@dataclass
class ObservedAttempt:
    """An attempt as the checker has observed it."""

    endpoint: str
    at: int  # time of the dispatch, in microseconds
    cell: int  # cell of the endpoint at the dispatch
    zone: str  # zone of the endpoint at the dispatch
    outcome: int = 0  # 0: the attempt is open
    started: bool = False  # whether a start or progress was reported

    @property
    def may_have_run(self) -> bool:
        """Whether nothing proves that the attempt never ran."""
        return self.started or self.outcome not in NEVER_RAN_OUTCOMES


@dataclass
class ObservedRequest:
    """A request as the checker has observed it."""

    event: RequestReceived
    cls: RequestClass
    at: int  # time of its arrival, in microseconds
    attempts: list[ObservedAttempt] = field(default_factory=list)
    answers: int = 0  # final answers that the module gave
    is_settled: bool = False  # whether the module knows that the request needs no further answer

    @property
    def effect(self) -> str:
        """The effect of a repeat. Endpoints cannot recognise a repeat of a request without a key."""
        return "once" if self.cls.effect == "by_key" and self.event.keyless else self.cls.effect

    @property
    def unresolved(self) -> list[ObservedAttempt]:
        """The attempts that may have run, in the order of their dispatches."""
        return [attempt for attempt in self.attempts if attempt.may_have_run]


@dataclass
class Checker:
    """Drives a balancer and records each broken rule in ``broken``, with the rule's number first."""

    conf: Settings
    balancer: DecisionModule
    now: int = 1_000_000  # present time, in microseconds
    broken: list[str] = field(default_factory=list)
    requests: dict[int, ObservedRequest] = field(default_factory=dict)
    drain_notified_at: dict[str, int] = field(default_factory=dict)  # by endpoint
    ready: dict[str, int] = field(default_factory=dict)  # time of the latest start by endpoint; 0: long ago
    cell: dict[str, tuple[int, str]] = field(default_factory=dict)  # cell and zone by endpoint
    # Time and slots of each dispatch to an endpoint that warmed up, by endpoint.
    slow_start_dispatches: dict[str, list[tuple[int, float]]] = field(default_factory=dict)
    timers: list[tuple[int, str]] = field(default_factory=list)  # due time and token
    notes: list[str] = field(default_factory=list)  # texts of log lines

    def deliver(self, *events: Event) -> list[Action]:
        """Pass a batch of events to the balancer and check the actions that it returns."""
        disconnected: set[int] = set()
        for event in events:
            self._observe_event(event, disconnected)
        actions = self.balancer.handle(self.now, list(events))
        for action in actions:
            self._check_action(action, disconnected)
        # An answer to an earlier event of the same batch is no fault.
        for number in disconnected:
            self.requests[number].is_settled, self.requests[number].answers = True, 1
        return actions

    def _observe_event(self, event: Event, disconnected: set[int]) -> None:
        if isinstance(event, RequestReceived):
            cls = next(c for c in self.conf.classes if c.name == event.job_class)
            self.requests[event.id] = ObservedRequest(event, cls, self.now)
        elif isinstance(event, AttemptEnded) and event.id in self.requests:
            request = self.requests[event.id]
            request.attempts[event.attempt].outcome = event.outcome
            if event.final:
                request.is_settled = True
        elif isinstance(event, (ExecutionStarted, ExecutionProgressed)) and event.id in self.requests:
            attempt = self.requests[event.id].attempts[event.attempt]
            attempt.started = attempt.started or not attempt.outcome
        elif isinstance(event, ClientDisconnected) and event.id in self.requests:
            disconnected.add(event.id)
        elif isinstance(event, EndpointsChanged):
            listed = set()
            for row in event.entries:
                listed.add(row.endpoint)
                self.cell[row.endpoint] = (row.cell, row.zone)
                self.ready[row.endpoint] = row.ready_at_us
                if row.state == "up":
                    self.drain_notified_at.pop(row.endpoint, None)
                else:
                    self.drain_notified_at.setdefault(row.endpoint, self.now)
            if event.scope in ("all", "remembered"):
                for endpoint in self.cell:
                    if endpoint not in listed:
                        self.drain_notified_at.setdefault(endpoint, self.now)

    def _check_action(self, action: Action, disconnected: set[int]) -> None:
        if isinstance(action, SetTimer):
            self.timers.append((self.now + action.in_us, action.token))
        elif isinstance(action, LogNotice):
            self.notes.append(action.text)
        elif isinstance(action, Dispatch):
            self._check_dispatch(self.requests[action.id], action)
        elif isinstance(action, (Reject, Fail)):
            request = self.requests[action.id]
            request.answers += 1
            if request.is_settled:
                self.broken.append("1: answered twice")
            if action.id in disconnected:
                return
            request.is_settled = True
            if isinstance(action, Reject) and not self._may_reject(request, action.retry_after_us):
                self.broken.append("2: rejected though it may have run")
        elif isinstance(action, Cancel):
            assert action.attempt < len(self.requests[action.id].attempts), "cancelled an unsent attempt"

    def _may_reject(self, request: ObservedRequest, wait_us: int) -> bool:
        """Return whether it is harmless that the client sends a rejected request again after the wait."""
        if not request.unresolved or request.effect == "repeatable":
            return True
        window_end = request.unresolved[0].at + request.cls.window_us
        return request.effect == "by_key" and request.cls.group == "all" and self.now + wait_us <= window_end

    def _check_dispatch(self, request: ObservedRequest, action: Dispatch) -> None:
        if request.is_settled:
            self.broken.append("1: sent after the end")
        unresolved = request.unresolved
        pending = [attempt for attempt in request.attempts if not attempt.outcome]
        if pending and not self.conf.limits.second_copies:
            self.broken.append("2: second attempt where none is allowed")
        if unresolved and request.effect == "once":
            self.broken.append("2: sent again though a repeat has a second effect")
        cell, zone = self.cell[action.endpoint]
        if unresolved and request.effect == "by_key":
            first = unresolved[0]
            same = {"all": True, "cell": cell == first.cell, "zone": zone == first.zone}[request.cls.group]
            if not same or self.now - first.at > request.cls.window_us:
                self.broken.append("2: sent again outside its idempotency scope or window")
        request.attempts.append(ObservedAttempt(action.endpoint, self.now, cell, zone))
        if len(request.attempts) > self.conf.limits.send_cap:
            self.broken.append("more attempts than the send cap permits")
        notified_at = self.drain_notified_at.get(action.endpoint)
        if notified_at is not None and self.now - notified_at > self.conf.safety.drain_grace_us:
            self.broken.append("3: sent to a draining endpoint after the grace")
        ready_at = self.ready.get(action.endpoint, 0)
        if ready_at and self.now - ready_at < self.conf.safety.cold_us:
            self.slow_start_dispatches.setdefault(action.endpoint, []).append((self.now, request.event.slots))

    def check_slow_start(self, slots: float, run_us: float) -> None:
        """Check the sliding budget of warming endpoints, given their slots and the mean run time of requests.

        One request may always be in flight; further requests must fit this balancer's share of the budget.
        """
        safety = self.conf.safety
        budget = safety.tip_multiple * slots * safety.overload_for_us / self.conf.balancers
        for endpoint, dispatches in self.slow_start_dispatches.items():
            for at, _ in dispatches:
                age = min(at + safety.overload_for_us - self.ready[endpoint], safety.cold_us)
                share = safety.cold_from + (1 - safety.cold_from) * age / safety.cold_us
                span = [s for t, s in dispatches if at <= t < at + safety.overload_for_us]
                if sum(span[1:]) * run_us > budget * share:
                    self.broken.append("4: slow start budget exceeded")

    def pass_time(self, us: int) -> None:
        """Let time pass, with due timers and the deadlines of pending attempts."""
        end = self.now + us
        while True:
            due = [at for at, _ in self.timers]
            for request in self.requests.values():
                if any(not attempt.outcome for attempt in request.attempts):
                    due.append(request.at + request.event.budget_us)
            step = min((at for at in due if at > self.now), default=end)
            late = min(due, default=end) <= self.now
            if not late and step > end:
                break
            self.now = self.now if late else min(step, end)
            events: list[Event] = [TimerFired(token) for at, token in self.timers if at <= self.now]
            self.timers = [(at, token) for at, token in self.timers if at > self.now]
            for number, request in self.requests.items():
                if request.at + request.event.budget_us <= self.now:
                    events += [
                        AttemptEnded(
                            number, i, 4, self.now - attempt.at, request.is_settled, None, attempt.endpoint
                        )
                        for i, attempt in enumerate(request.attempts)
                        if not attempt.outcome
                    ]
            if not events:
                break
            cancelled = [(a.id, a.attempt) for a in self.deliver(*events) if isinstance(a, Cancel)]
            if cancelled:  # The dispatcher reports cancelled attempts as ended at once, so this does too.
                self.deliver(
                    *(
                        AttemptEnded(request_id, index, 7, 1, self.requests[request_id].is_settled)
                        for request_id, index in cancelled
                        if not self.requests[request_id].attempts[index].outcome
                    )
                )
        self.now = end

    def finish(self) -> None:
        """Let all deadlines pass, then check that each request got exactly one answer."""
        self.pass_time(20_000_000)
        for number, request in self.requests.items():
            served = any(attempt.outcome == 1 for attempt in request.attempts)
            if request.answers + (served and not request.answers) != 1:
                self.broken.append(f"1: {request.answers} answers for {number}")


def request_of(made: Balancer, job_class: str, **changes: Any) -> TrackedRequest:
    """Return a request of a class, which the balancer has not received, with some fields changed."""
    state = made.parts.run_times.classes[job_class]
    fields: dict[str, Any] = {
        "id": 1,
        "class_state": state,
        "run_time_us": state.run_time_us,
        "priority_weight": 1.0,
        "deadline_at_us": 9_000_000,
    }
    return TrackedRequest(**{**fields, **changes})
