"""Records event streams of the decision module and the actions that it took, and reads them.

``python -m tests.decision_streams FILE`` records them again; ``test_decision_streams`` replays them. Most
streams are drawn; the others are the first seconds of emulated days.

A stream names no type of the program, so that types can be renamed: events, actions and settings are rows of
plain values in the order of the fields.
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
from tests.test_sites import SITES, site_configuration

DRAWN_STREAMS = 420
STEPS_PER_STREAM = 110  # number of steps of a drawn stream
EMULATED = ("calm", "burst", "crashes", "deploy-late-burst", "discovery-down", "flapping", "frozen", "monday")
EMULATED_SEEDS = range(10)
EMULATED_STEPS = 220  # largest number of steps of an emulated stream
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
    """One call of ``Balancer.handle``, and the pre-send checks after it."""

    now_us: int
    events: list[Row]
    actions: list[Row]
    may_begin: list[tuple[int, int, bool]] = []  # request, attempt, and the answer of ``may_begin``


class Stream(msgspec.Struct):
    """All calls of one balancer, and what it had learned at the end."""

    name: str
    settings: Row
    seed: int
    began_us: int
    steps: list[Step]
    learned: dict[str, Any]


def plain(value: Any) -> Any:
    """Return nested tuples as lists, and enums as their values."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, (list, tuple)):
        return [plain(element) for element in value]
    return value


def settings_of(row: Row) -> Settings:
    """Return the settings of a row."""
    names = [setting.name for setting in dataclasses.fields(Settings)]
    values = dict(zip(names, row, strict=True))
    values["classes"] = [RequestClass(*class_row) for class_row in values["classes"]]
    values["limits"], values["safety"] = DispatchLimits(*values["limits"]), SafetyMargins(*values["safety"])
    values["tenants"] = [Tenant(*tenant_row) for tenant_row in values["tenants"]]
    return Settings(**values)


def event_of(row: Row) -> Event:
    """Return the event of a row."""
    code, values = row[0], list(row[1:])
    if code == "arrived":
        values[9] = tuple(values[9])
    elif code == "list":
        values[1] = [EndpointEntry(*entry_row) for entry_row in values[1]]
        values[3] = CallFailure(values[3])
    event: Event = EVENTS[code](*values)
    return event


def row_of_event(event: Event) -> Row:
    """Return the row of an event."""
    return [EVENT_CODES[type(event)], *plain(dataclasses.astuple(event))]


def row_of_action(action: Action) -> Row:
    """Return the row of an action, without the text of a log line, which may change."""
    code = ACTIONS[type(action)]
    return [code] if code == "note" else [code, *plain(dataclasses.astuple(action))]


def learned_by(balancer: Balancer) -> dict[str, Any]:
    """Return what the balancer has learned, by the names of the handover snapshot."""
    learned: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(to_encoded(balancer.take_snapshot())))
    return learned


@dataclass
class Request:
    """A request of a drawn stream, as its client and servers know it."""

    sent: list[str] = field(default_factory=list)  # endpoint of each attempt
    open: set[int] = field(default_factory=set)  # numbers of the attempts that have not ended
    started: set[int] = field(default_factory=set)
    paused: set[int] = field(default_factory=set)
    done: bool = False  # whether it has its final answer or its client has disconnected


class StreamGenerator:
    """Draws the next legal events, given the actions that the module has taken so far."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng, self.now = settings, Random(seed), 1_000_000
        self.requests: dict[int, Request] = {}
        self.probes: list[str] = []  # endpoints whose health check is not answered yet
        self.timers: list[tuple[int, str]] = []  # due time and token
        self.rows: dict[str, Row] = {}  # list entries by endpoint
        self.count = 0  # requests that have arrived
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
        """Return the first events, which list the endpoints."""
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
            events += self._request_events(number, request)
        probes, self.probes = self.probes, []
        for name in probes:
            outcome = self.rng.choice((1, 1, 1, 4, 5))
            events.append(["probed", name, outcome, self.rng.randrange(500, 90_000), self._report()])
        if self.rng.random() < 0.25:
            events.append(self._rare_event())
        return events

    def apply_actions(self, actions: list[Row]) -> None:
        """Carry out the actions that the module has returned."""
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

    def _request_events(self, number: int, request: Request) -> list[Row]:
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

    def _rare_event(self) -> Row:
        rng = self.rng
        draw = rng.randrange(9)
        name = rng.choice(sorted(self.rows))
        if draw < 3:
            row = self.rows[name]
            row[4] = rng.choice(("up", "up", "draining", "removed"))
            row[6] = rng.choice((row[6], self.now, self.now - 100_000))
            scope = rng.choice(("changes", "changes", "all"))
            rows = [list(row)] if scope == "changes" else [list(each_row) for each_row in self.rows.values()]
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
    """Return the settings of one of three deployments, with some of its permissions and prices drawn."""
    rng = Random(f"settings/{seed}")
    paths: list[Path | None] = [None, *SITES]
    path = paths[seed % len(paths)]
    base = (
        default_settings()
        if path is None
        else settings_from(site_configuration(path, ask=rng.random() < 0.5))
    )
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
    """Draw a stream, and record the actions of the module."""
    settings = drawn_settings(seed)
    generator = StreamGenerator(settings, seed)
    balancer = Balancer(settings, seed, generator.now)
    row = plain(dataclasses.astuple(settings))
    stream = Stream(f"drawn-{seed}", row, seed, generator.now, [], {})
    events = generator.first_events()
    for _ in range(STEPS_PER_STREAM):
        actions = [
            row_of_action(action) for action in balancer.handle(generator.now, [event_of(e) for e in events])
        ]
        generator.apply_actions(actions)
        asked = [(n, a) for n, request in generator.requests.items() for a in sorted(request.open)][:3]
        answers = [(n, a, balancer.may_begin(n, a, generator.now + 40_000)) for n, a in asked]
        stream.steps.append(Step(generator.now, events, actions, answers))
        events = generator.ends_of_cancelled(actions) or generator.next_events()
    stream.learned = learned_by(balancer)
    return stream


class Recorder(Balancer):
    """A balancer that records its calls and the actions that it returns."""

    made: ClassVar[list[Recorder]] = []

    def __init__(self, settings: Settings, seed: int, now_us: int) -> None:
        row = plain(dataclasses.astuple(settings))
        super().__init__(settings, seed, now_us)
        self.stream = Stream("", row, seed, now_us, [], {})
        Recorder.made.append(self)

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Handle the events, and record the call."""
        rows = [row_of_event(event) for event in events]
        actions = super().handle(now_us, events)
        if len(self.stream.steps) < EMULATED_STEPS:
            self.stream.steps.append(Step(now_us, rows, [row_of_action(action) for action in actions]))
            if len(self.stream.steps) == EMULATED_STEPS:
                self.stream.learned = learned_by(self)
        return actions


def emulated(script: str, seed: int) -> Iterator[Stream]:
    """Emulate the first seconds of a day; yield the stream of its first node."""
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
    recorded = [draw(seed) for seed in range(DRAWN_STREAMS)]
    for script in EMULATED:
        for seed in EMULATED_SEEDS:
            recorded += emulated(script, seed)
    path.write_bytes(lzma.compress(msgspec.json.encode(recorded), preset=9))
    print(
        f"{len(recorded)} streams, {sum(len(stream.steps) for stream in recorded)} steps, "
        f"{path.stat().st_size} bytes"
    )


if __name__ == "__main__":
    main(Path(sys.argv[1]))
