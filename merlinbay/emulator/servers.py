"""The model of one real server: slots, memory, an ordered queue, cold starts, and what goes wrong. No I/O.

Work is measured in microseconds of the yardstick. A server does ``speed`` of it a microsecond in
each slot, less while it is cold, slowed, crowded or shares its machine. Where that changes,
what is left of each running job is counted anew.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from merlinbay.decision.outcomes import Outcome
from merlinbay.emulator.loop import Loop, Order
from merlinbay.emulator.spec import MachineKind, ReportProfile, ServerPool, drawn

WARM_STEPS = 18  # of a cold start: the speed rises in steps
MEMORY_SLACK = 1e-9


@dataclass(slots=True, eq=False)
class EmulatedAttempt:
    """A job at a server: one attempt."""

    node: int
    job: int
    attempt: int
    work_us: float
    slots: int
    memory: float
    key: str
    told: Callable[[EmulatedAttempt, str, Outcome | None], None]  # "started", or "ended" with how
    arrived: bool = False
    arrived_us: int = 0
    started_us: int = 0
    left: float = 0.0
    since_us: int = 0  # when ``left`` was right
    version: int = 0  # an end that was foreseen before the last change is void
    running: bool = False
    ended: bool = False


class ServerObserver(Protocol):
    """Sees what happens at servers; the rules' checker."""

    def reached(self, server: EmulatedServer, node: int, work_us: float) -> None:
        """Take it that work has come to a server."""

    def ran(self, work: EmulatedAttempt, server: EmulatedServer) -> None:
        """Take it that a job has started."""


@dataclass(slots=True, eq=False)
class Rack:
    """Servers that drop each other's repeats."""

    window_us: int
    seen: dict[str, int] = field(default_factory=dict)  # by key: when a job of it started last

    def repeats(self, key: str, now_us: int) -> bool:
        """Tell whether a key's job has started here lately; if not, it starts now."""
        if not key:
            return False
        at = self.seen.get(key)
        if at is not None and now_us - at < self.window_us:
            return True
        self.seen[key] = now_us
        if len(self.seen) > 4096:
            for old in [name for name, when in self.seen.items() if now_us - when >= self.window_us]:
                del self.seen[old]
        return False


class EmulatedServer:
    """One real server."""

    def __init__(
        self,
        name: str,
        kind: MachineKind,
        speed: float,
        cell: int,
        zone: str,
        hall: ServerPool,
        reports: ReportProfile,
        rack: Rack,
        loop: Loop,
        rng: Random,
        judge: ServerObserver,
    ) -> None:
        self.name, self.kind, self.base, self.cell, self.zone = name, kind, speed, cell, zone
        self.hall, self.reports, self.rack = hall, reports, rack
        self.loop, self.rng, self.judge = loop, rng, judge
        self.state = "up"  # up | draining | down
        self.ready_us = 0  # its last start; 0: long ago
        self.free, self.memory = kind.slots, kind.memory
        self.running: dict[EmulatedAttempt, None] = {}
        self.waiting: deque[EmulatedAttempt] = deque()
        self.slow: dict[object, float] = {}  # factors on its speed, by trouble
        self.failing: dict[object, float] = {}  # shares of requests that fail
        self.frozen: dict[object, float] = {}  # seconds that its reports are late; inf: they stand still
        self.errors: deque[int] = deque()
        self.snapshots: deque[tuple[int, list[float]]] = deque()
        self.report_gap = int(drawn(rng, reports.refresh_ms) * 1000)
        self.report_delay = drawn(rng, reports.delay_ms) / 1000
        self.busy_us = 0.0  # slot time used, in all
        self.at = loop.now
        self.starts = 0
        self.rate = speed  # in force since it changed last

    # Speed.

    @property
    def cold(self) -> bool:
        """Tell whether it has started lately."""
        return self.ready_us > 0 and self.loop.now - self.ready_us < self.hall.cold * 1e6

    def capacity(self) -> float:
        """Return the share of its speed that it has by now."""
        if not self.cold:
            return 1.0
        age = (self.loop.now - self.ready_us) / (self.hall.cold * 1e6)
        return self.hall.cold_from + (1 - self.hall.cold_from) * age

    def speed(self) -> float:
        """Return the work that one slot does a microsecond."""
        found = self.base * self.capacity()
        for factor in self.slow.values():
            found *= factor
        if self.hall.crowd:
            found *= 1 - self.hall.crowd * (1 - self.free / self.kind.slots)
        return found

    def changed(self) -> None:
        """Count anew when each running job ends: its speed has changed."""
        now, self.rate = self.loop.now, self.speed()
        for work in self.running:
            work.version += 1
            self._foresee(work, now)

    def _settle(self) -> None:
        """Take off what each running job has done at the speed so far."""
        now = self.loop.now
        for work in self.running:
            work.left -= (now - work.since_us) * self.rate
            work.since_us = now

    def _foresee(self, work: EmulatedAttempt, now: int) -> None:
        self.loop.at(now + max(round(work.left / self.rate), 1), Order.SERVER, self._done, work, work.version)

    def with_speed(self, change: Callable[[], None]) -> None:
        """Have its speed changed."""
        self._settle()
        change()
        self.changed()

    def start(self) -> None:
        """Come up, cold and empty."""
        self.state, self.ready_us = "up", self.loop.now
        self.free, self.memory = self.kind.slots, self.kind.memory
        self.starts += 1
        self.rate = self.speed()
        self.snapshots.clear()
        self.errors.clear()
        started = self.starts
        for step in range(1, WARM_STEPS + 1):
            due = self.loop.now + int(self.hall.cold * 1e6 * step / WARM_STEPS)
            self.loop.at(due, Order.SERVER, self._warmer, started)

    def _warmer(self, started: int) -> None:
        if started == self.starts and self.state != "down":
            self._settle()
            self.changed()

    # Jobs.

    def take(self, work: EmulatedAttempt) -> Outcome | None:
        """Take a job; None: it was taken, and ``told`` says more."""
        if self.state == "down":
            return Outcome.RESET
        self.judge.reached(self, work.node, work.work_us)
        if self.state != "up":  # it drains, or this was what tipped it over
            return Outcome.FULL if self.state == "draining" else Outcome.RESET
        if work.slots > self.kind.slots or work.memory > self.kind.memory:
            return Outcome.ERROR
        for share in self.failing.values():
            if self.rng.random() < share:
                self.errors.append(self.loop.now)
                return Outcome.ERROR
        if len(self.waiting) >= self.hall.queue and not self._fits(work):
            return Outcome.FULL
        work.arrived, work.arrived_us = True, self.loop.now
        self.waiting.append(work)
        self._serve()
        return None

    def _fits(self, work: EmulatedAttempt) -> bool:
        return self.free >= work.slots and self.memory + MEMORY_SLACK >= work.memory

    def _serve(self) -> None:
        """Start what may start, in the queue's order."""
        waiting = self.waiting
        if self.hall.order == "fifo":
            while waiting and self.state != "down" and self._fits(waiting[0]):
                self._begin(waiting.popleft())
            return
        found = list(waiting)
        if self.hall.order == "priority":  # the smaller ones first
            found.sort(key=lambda work: work.slots)
        for work in found:
            if self.state != "down" and not work.ended and self._fits(work):
                waiting.remove(work)
                self._begin(work)

    def _begin(self, work: EmulatedAttempt) -> None:
        now = self.loop.now
        if self.rack.repeats(work.key, now):
            # The rack has begun, or done, this key's job: it is handed back unseen.
            self._end(work, Outcome.FULL)
            return
        if self.hall.crowd:
            self._settle()
        self.free -= work.slots
        self.memory -= work.memory
        self.running[work] = None
        work.started_us = work.since_us = now
        work.left, work.running = work.work_us, True
        self.judge.ran(work, self)
        if self.hall.crowd:
            self.changed()
        else:
            self._foresee(work, now)
        work.told(work, "started", None)

    def _done(self, work: EmulatedAttempt, version: int) -> None:
        if version == work.version and work.running:
            self._stop(work)
            self._end(work, Outcome.OK)
            self._serve()

    def _stop(self, work: EmulatedAttempt) -> None:
        """Take a running job off its slots."""
        if self.hall.crowd:
            self._settle()
        del self.running[work]
        work.running = False
        work.version += 1
        self.free += work.slots
        self.memory += work.memory
        self.busy_us += (self.loop.now - work.started_us) * work.slots
        if self.hall.crowd:
            self.changed()

    def _end(self, work: EmulatedAttempt, outcome: Outcome) -> None:
        work.ended = True
        work.told(work, "ended", outcome)

    def cancel(self, work: EmulatedAttempt) -> None:
        """Give a job up: what waits goes, what runs goes if cancels stop that."""
        if work.ended or not work.arrived:  # Guards against a cancel that overtakes what it is about.
            work.ended = True
            return
        if work.running:
            if not self.hall.cancels_running:
                return
            self._stop(work)
            if self.rack.seen.get(work.key) == work.started_us:
                del self.rack.seen[work.key]
        else:
            self.waiting.remove(work)
        work.ended = True
        self._serve()

    # What goes wrong.

    def drain(self) -> None:
        """Want nothing new; hand back what waits, finish what runs."""
        if self.state != "up":
            return
        self.state = "draining"
        back, self.waiting = list(self.waiting), deque()
        for work in back:
            self._end(work, Outcome.FULL)

    def crash(self) -> None:
        """Die: all that it has is lost."""
        self.state = "down"
        lost = [*self.running, *self.waiting]
        self.running, self.waiting = {}, deque()
        for work in lost:
            work.version += 1
            if work.running and self.rack.seen.get(work.key) == work.started_us:
                del self.rack.seen[work.key]
            work.running = False
            self._end(work, Outcome.RESET)

    # ReportProfile.

    def report(self) -> list[object] | None:
        """Return the load report that goes with an answer: refreshed now and then, noisy, and maybe late."""
        if not self.reports.on:
            return None
        now = self.loop.now
        late = max(self.frozen.values(), default=0.0) + self.report_delay
        if late == float("inf") and self.snapshots:
            return list(self.snapshots[-1][1])
        if not self.snapshots or now - self.snapshots[-1][0] >= self.report_gap:
            while self.errors and self.errors[0] < now - 1_000_000:
                self.errors.popleft()
            noise = 1 + self.rng.uniform(-1, 1) * self.reports.noise
            held = float(round((len(self.running) + len(self.waiting)) * noise))
            self.snapshots.append(
                (now, [float(len(self.errors)), held, float(max(self.free, 0)), max(self.memory, 0.0)])
            )
            while len(self.snapshots) > 32:
                self.snapshots.popleft()
        if not late:
            return list(self.snapshots[-1][1])
        for at, values in reversed(self.snapshots):
            if at <= now - late * 1e6:
                return list(values)
        return list(self.snapshots[0][1])
