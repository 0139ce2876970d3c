"""Recorded event streams of the decision module, and the actions that it took.

``python -m tests.decision_streams FILE`` records them anew; ``test_decision_streams`` replays them.
A stream names no type of the program: events, actions and settings are rows of plain values, in the order of
the fields, so that types can be renamed. The first seconds of emulated days stand beside drawn streams.
"""

from __future__ import annotations

import dataclasses
import lzma
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from random import Random
from typing import Any, ClassVar

import msgspec

from merlinbay.decision import Balancer
from merlinbay.decision.actions import (
    Action,
    Cancel,
    CheckHealth,
    Dispatch,
    Fail,
    LogNotice,
    Reject,
    SetTimer,
    WatchEndpoints,
)
from merlinbay.decision.events import (
    AttemptEnded,
    BalancerCountChanged,
    CallFailure,
    ClientDisconnected,
    DiscoveryChanged,
    EndpointEntry,
    EndpointsChanged,
    Event,
    ExecutionPaused,
    ExecutionProgressed,
    ExecutionStarted,
    HealthCheckEnded,
    MaintenanceChanged,
    RequestReceived,
    SlotsReserved,
    StreamStarted,
    TimerFired,
)
from merlinbay.decision.settings import DispatchLimits, RequestClass, SafetyMargins, Settings, Tenant
from merlinbay.emulator import policies
from merlinbay.emulator.simulation import DaySimulation
from merlinbay.emulator.spec import load
from merlinbay.handover.snapshot_codec import to_encoded
from merlinbay.site_settings import settings_from
from tests.support import settings as default_settings
from tests.test_sites import SITES, conf_of

DRAWN = 420
STEPS_PER_STREAM = 110  # of a drawn stream
EMULATED = ("calm", "burst", "crashes", "deploy-late-burst", "discovery-down", "flapping", "frozen", "monday")
EMULATED_SEEDS = range(10)
EMULATED_STEPS = 220
PASSING_US = (300, 1_000, 4_000, 15_000, 60_000, 150_000, 400_000, 1_600_000)
FAILURES = [failure.value for failure in CallFailure]

EVENTS: dict[str, type] = {
    "arrived": RequestReceived,
    "withdrawn": ClientDisconnected,
    "started": ExecutionStarted,
    "progress": ExecutionProgressed,
    "paused": ExecutionPaused,
    "streaming": StreamStarted,
    "ended": AttemptEnded,
    "probed": HealthCheckEnded,
    "timer": TimerFired,
    "list": EndpointsChanged,
    "moved": DiscoveryChanged,
    "counted": BalancerCountChanged,
    "maintained": MaintenanceChanged,
    "kept": SlotsReserved,
}
ACTIONS: dict[type, str] = {
    Dispatch: "send",
    Cancel: "cancel",
    Reject: "reject",
    Fail: "fail",
    CheckHealth: "probe",
    SetTimer: "timer",
    WatchEndpoints: "subscribe",
    LogNotice: "note",
}
EVENT_CODES = {kind: code for code, kind in EVENTS.items()}

Row = list[Any]


class Step(msgspec.Struct, array_like=True):
    """One call of the module."""

    now_us: int
    events: list[Row]
    actions: list[Row]
    may_begin: list[tuple[int, int, bool]] = []  # asked after it: request, attempt, and the answer


class Stream(msgspec.Struct):
    """All calls of one module, and what it had learned at the end."""

    name: str
    settings: Row
    seed: int
    began_us: int
    steps: list[Step]
    learned: dict[str, Any]


def plain(value: Any) -> Any:
    """Return nested tuples and enums as lists and values."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, (list, tuple)):
        return [plain(one) for one in value]
    return value


def settings_of(row: Row) -> Settings:
    """Make settings of their row."""
    names = [one.name for one in dataclasses.fields(Settings)]
    values = dict(zip(names, row, strict=True))
    values["classes"] = [RequestClass(*one) for one in values["classes"]]
    values["limits"], values["safety"] = DispatchLimits(*values["limits"]), SafetyMargins(*values["safety"])
    values["tenants"] = [Tenant(*one) for one in values["tenants"]]
    return Settings(**values)


def event_of(row: Row) -> Event:
    """Make an event of its row."""
    code, values = row[0], list(row[1:])
    if code == "arrived":
        values[9] = tuple(values[9])
    elif code == "list":
        values[1] = [EndpointEntry(*one) for one in values[1]]
        values[3] = CallFailure(values[3])
    event: Event = EVENTS[code](*values)
    return event


def row_of_event(event: Event) -> Row:
    """Return an event's row."""
    return [EVENT_CODES[type(event)], *plain(dataclasses.astuple(event))]


def row_of_action(action: Action) -> Row:
    """Return an action's row. What a line for the log says may change."""
    code = ACTIONS[type(action)]
    return [code] if code == "note" else [code, *plain(dataclasses.astuple(action))]


def learned_by(balancer: Balancer) -> dict[str, Any]:
    """Return what the module has learned, by the names that the hand-over gives it."""
    found: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(to_encoded(balancer.take_snapshot())))
    return found


@dataclass
class Request:
    """A request of a drawn stream, as its client and servers see it."""

    sent: list[str] = field(default_factory=list)
    open: set[int] = field(default_factory=set)
    started: set[int] = field(default_factory=set)
    paused: set[int] = field(default_factory=set)
    done: bool = False


class StreamGenerator:
    """Draws events that could come next, from what the module has done so far."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng, self.now = settings, Random(seed), 1_000_000
        self.requests: dict[int, Request] = {}
        self.probes: list[str] = []
        self.timers: list[tuple[int, str]] = []
        self.rows: dict[str, Row] = {}
        self.count = 0
        kinds = settings.kinds or [""]
        size = self.rng.choice((1, 2, 5, 9, 24))
        for number in range(size):
            zone = settings.zone if number % 3 else "elsewhere"
            ready = self.rng.choice((0, 0, self.now - 3_000_000))
            self.rows[f"w{number}"] = [
                f"w{number}",
                zone,
                kinds[number % len(kinds)],
                number // 3,
                "up",
                1.0,
                ready,
            ]

    def first_events(self) -> list[Row]:
        """Return the first events."""
        return [["list", "remembered", [list(row) for row in self.rows.values()], -1, "broken", False]]

    def next_events(self) -> list[Row]:
        """Return the events of the next instant."""
        self.now += self.rng.choice(PASSING_US)
        due = [token for at, token in self.timers if at <= self.now]
        self.timers = [(at, token) for at, token in self.timers if at > self.now]
        events: list[Row] = [["timer", token] for token in due]
        for _ in range(self.rng.choice((0, 1, 1, 2, 5))):
            events.append(self._arrival())
        for number, request in list(self.requests.items()):
            events += self._request_news(number, request)
        probes, self.probes = self.probes, []
        for name in probes:
            outcome = self.rng.choice((1, 1, 1, 4, 5))
            events.append(["probed", name, outcome, self.rng.randrange(500, 90_000), self._report()])
        if self.rng.random() < 0.25:
            events.append(self._rare())
        return events

    def apply_actions(self, actions: list[Row]) -> None:
        """Carry out what the module has done."""
        for action in actions:
            if action[0] == "timer":
                self.timers.append((self.now + action[1], action[2]))
            elif action[0] == "probe":
                self.probes.append(action[1])
            elif action[0] == "send":
                request = self.requests[action[1]]
                request.open.add(len(request.sent))
                request.sent.append(action[2])
            elif action[0] in ("reject", "fail"):
                self.requests[action[1]].done = True

    def ends_of_cancelled(self, actions: list[Row]) -> list[Row]:
        """Return the ends of the attempts that the module has just cancelled."""
        return [
            self._end(action[1], self.requests[action[1]], action[2], 7)
            for action in actions
            if action[0] == "cancel" and action[2] in self.requests[action[1]].open
        ]

    def _arrival(self) -> Row:
        self.count += 1
        self.requests[self.count] = Request()
        rng, spec = self.rng, self.rng.choice(self.settings.classes)
        only = rng.sample(sorted(self.rows), 1) if self.rows and rng.random() < 0.06 else []
        return [
            "arrived",
            self.count,
            spec.name if rng.random() < 0.97 else "nobody knows it",
            rng.randrange(spec.deadline_us // 4, spec.deadline_us),
            rng.choice((1.0, 1.0, 1.0, 2.0, 3.5)),
            rng.choice((0.0, 0.5, 2.0)),
            rng.choice(("", "", "k1", "k2", f"k{self.count}")),
            rng.choice(("", "t1", "t2")),
            rng.random() < 0.1,
            rng.choice((0, 0, 20_000, 900_000)),
            only,
            rng.random() < 0.05,
            rng.random() < 0.03,
            rng.random() < 0.05,
        ]

    def _request_news(self, number: int, request: Request) -> list[Row]:
        events: list[Row] = []
        for attempt in sorted(request.open):
            draw = self.rng.random()
            if attempt not in request.started and draw < 0.3:
                request.started.add(attempt)
                events.append([self.rng.choice(("started", "started", "streaming")), number, attempt])
            elif attempt in request.started and draw < 0.06:
                paused = attempt not in request.paused
                request.paused ^= {attempt}
                events.append(["paused", number, attempt, paused])
            elif draw < 0.08:
                request.started.add(attempt)
                events.append(["progress", number, attempt, 0.5])
            elif draw > 0.7:
                outcome = 1 if self.rng.random() < 0.62 else self.rng.choice((2, 3, 3, 4, 5, 6, 8))
                events.append(self._end(number, request, attempt, outcome))
        if not request.done and request.sent and self.rng.random() < 0.02:
            request.done = True
            events.append(["withdrawn", number])
        return events

    def _end(self, number: int, request: Request, attempt: int, outcome: int) -> Row:
        request.open.discard(attempt)
        request.done = request.done or outcome == 1
        took = self.rng.choice((900, 30_000, 250_000, 2_000_000))
        report = self._report()
        return ["ended", number, attempt, outcome, took, request.done, report, request.sent[attempt]]

    def _report(self) -> Row | None:
        if self.rng.random() < 0.3:
            return None
        draws = (0, 1, 2, 3, 7, 0.8, 2.4, None, "odd")
        return [self.rng.choice(draws) for _ in self.settings.report_fields]

    def _rare(self) -> Row:
        rng = self.rng
        draw = rng.randrange(9)
        name = rng.choice(sorted(self.rows))
        if draw < 3:
            row = self.rows[name]
            row[4] = rng.choice(("up", "up", "draining", "removed"))
            row[6] = rng.choice((row[6], self.now, self.now - 100_000))
            scope = rng.choice(("changes", "changes", "all"))
            rows = [list(row)] if scope == "changes" else [list(one) for one in self.rows.values()]
            return ["list", scope, rows, -1, "broken", rng.random() < 0.1]
        if draw < 5:
            heard = rng.choice((-1, self.now - 1_000_000))
            return ["list", "refused", [], heard, rng.choice(FAILURES), rng.random() < 0.15]
        if draw == 5:
            return ["moved", 4_000_000, rng.random() < 0.8]
        if draw == 6:
            return ["counted", rng.choice((1, 4, 40, 200)), rng.choice((0, 2))]
        if draw == 7:
            return ["maintained", name, rng.random() < 0.5]
        return ["kept", name, rng.choice((0.0, 1.0, 2.5)), 4.0]


def drawn_settings(seed: int) -> Settings:
    """Return settings of three deployments, with some of what they allow drawn."""
    rng = Random(f"settings/{seed}")
    paths: list[Path | None] = [None, *SITES]
    path = paths[seed % len(paths)]
    base = default_settings() if path is None else settings_from(conf_of(path, ask=rng.random() < 0.5))
    base.balancers, base.me = rng.choice((1, 4, 60, 200)), rng.choice((0, 0, 3))
    base.asks_first = rng.random() < 0.4
    base.probe_price = rng.choice((0.0, 0.002, 0.05))
    base.waste_price = rng.choice((0.0, 0.1))
    base.worth_by_work = rng.random() < 0.2
    base.over_share_worth = rng.choice((1.0, 0.2))
    base.queue_order = rng.choice(("fifo", "backfill", "priority"))
    base.queued_field = rng.choice(("", "waiting")) if "waiting" in base.report_fields else ""
    base.held_field = rng.choice(("active", "active", "")) if "active" in base.report_fields else ""
    base.errors_field = "err_rps" if "err_rps" in base.report_fields else ""
    base.tenants = [Tenant("t1", 3.0), Tenant("t2", 50.0, 0.5)] if rng.random() < 0.5 else []
    base.limits.probes = rng.random() < 0.6
    base.limits.cancelling = rng.random() < 0.7
    base.limits.second_copies = rng.random() < 0.7
    base.limits.send_cap = rng.choice((1, 2, 4))
    base.must_subscribe = rng.random() < 0.6
    base.safety.must_ask_in_us = 10_000_000 if base.must_subscribe else 0
    return base


def draw(seed: int) -> Stream:
    """Draw a stream, and record what the module does."""
    settings = drawn_settings(seed)
    world = StreamGenerator(settings, seed)
    balancer = Balancer(settings, seed, world.now)
    row = plain(dataclasses.astuple(settings))
    stream = Stream(f"drawn-{seed}", row, seed, world.now, [], {})
    events = world.first_events()
    for _ in range(STEPS_PER_STREAM):
        actions = [row_of_action(one) for one in balancer.handle(world.now, [event_of(e) for e in events])]
        world.apply_actions(actions)
        asked = [(n, a) for n, request in world.requests.items() for a in sorted(request.open)][:3]
        answers = [(n, a, balancer.may_begin(n, a, world.now + 40_000)) for n, a in asked]
        stream.steps.append(Step(world.now, events, actions, answers))
        events = world.ends_of_cancelled(actions) or world.next_events()
    stream.learned = learned_by(balancer)
    return stream


class Recorder(Balancer):
    """A module that notes what it is called with and answers."""

    made: ClassVar[list[Recorder]] = []

    def __init__(self, settings: Settings, seed: int, now_us: int) -> None:
        row = plain(dataclasses.astuple(settings))
        super().__init__(settings, seed, now_us)
        self.stream = Stream("", row, seed, now_us, [], {})
        Recorder.made.append(self)

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Decide, and note it."""
        rows = [row_of_event(event) for event in events]
        actions = super().handle(now_us, events)
        if len(self.stream.steps) < EMULATED_STEPS:
            self.stream.steps.append(Step(now_us, rows, [row_of_action(action) for action in actions]))
            if len(self.stream.steps) == EMULATED_STEPS:
                self.stream.learned = learned_by(self)
        return actions


def emulated(script: str, seed: int) -> Iterator[Stream]:
    """Play a day of the emulator for as long as is recorded; yield the first node's stream."""
    Recorder.made = []
    day = load(script)
    day.seconds = min(day.seconds, 25)
    policies.Balancer = Recorder  # type: ignore[attr-defined]
    DaySimulation(day, seed).play()
    first = Recorder.made[0]
    first.stream.name = f"{script}-{seed}"
    if not first.stream.learned:
        first.stream.learned = learned_by(first)
    yield first.stream


def streams(path: Path) -> list[Stream]:
    """Read recorded streams."""
    return msgspec.json.decode(lzma.decompress(path.read_bytes()), type=list[Stream])


def main(path: Path) -> None:
    """Record all streams."""
    found = [draw(seed) for seed in range(DRAWN)]
    for script in EMULATED:
        for seed in EMULATED_SEEDS:
            found += emulated(script, seed)
    path.write_bytes(lzma.compress(msgspec.json.encode(found), preset=9))
    print(f"{len(found)} streams, {sum(len(one.steps) for one in found)} steps, {path.stat().st_size} bytes")


if __name__ == "__main__":
    main(Path(sys.argv[1]))
