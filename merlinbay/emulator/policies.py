"""What the module is compared with: baselines that use the same events and actions."""

from __future__ import annotations

from random import Random

from merlinbay.decision import Balancer
from merlinbay.decision.actions import Action, Dispatch, Fail, Reject
from merlinbay.decision.events import AttemptEnded, EndpointsChanged, Event, RequestReceived
from merlinbay.decision.outcomes import NEVER_RAN, Outcome
from merlinbay.decision.settings import DispatchLimits, RequestClass, SafetyMargins, Settings
from merlinbay.emulator.host import BalancingPolicy
from merlinbay.emulator.servers import EmulatedServer
from merlinbay.emulator.spec import Scenario


def settings_of(script: Scenario, me: int = 0) -> Settings:
    """Return what a node is told at its start."""
    job, hall, limits = script.job, script.hall, script.limits
    fields = ["err_rps", "active", "x0", "x1"] if script.reports.on else []
    return Settings(
        [
            RequestClass(
                job.name,
                int(job.aim * 1e6),
                int(job.deadline * 1e6),
                effect=job.effect,
                group=job.group,
                window_us=int(job.window * 1e6),
                stretch=job.stretch,
            )
        ],
        balancers=hall.nodes,
        me=me,
        zone=hall.zones[0],
        kinds=[kind.name for kind in hall.kinds],
        report_fields=fields,
        free_slots_field="x0" if fields else "",
        free_memory_field="x1" if fields else "",
        held_field="active" if fields else "",
        errors_field="err_rps" if fields else "",
        tells_start=True,
        must_subscribe=True,
        queue_order=hall.order,
        limits=DispatchLimits(
            cancelling=limits.cancelling,
            second_copies=limits.second_copies,
            send_cap=limits.send_cap,
            retry_after=limits.max_retry_after > 0,
            max_retry_after_us=int(limits.max_retry_after * 1e6),
        ),
        safety=SafetyMargins(
            drain_grace_us=int(limits.drain_grace * 1e6),
            cold_from=max(hall.cold_from, 0.01),
            cold_us=int(hall.cold * 1e6),
            tip_multiple=hall.tip,
            overload_for_us=int(hall.tip_for * 1e6),
            answer_slack_us=int(limits.answer_slack_ms * 1000),
            must_ask_in_us=int(script.discovery.ask_in * 1e6),
        ),
    )


class Simple:
    """One attempt at a server that ``choose`` picks; what never ran goes elsewhere, the rest fails."""

    def __init__(self, script: Scenario, rng: Random, servers: dict[str, EmulatedServer]) -> None:
        self.script, self.rng, self.servers = script, rng, servers
        self.up: list[str] = []
        self.held: dict[str, int] = {}
        self.tries: dict[int, int] = {}
        self.idle: dict[str, None] = {}

    def choose(self) -> str | None:
        """Return a server, or None: refuse."""
        raise NotImplementedError

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Take events of one instant; return what to do."""
        out: list[Action] = []
        for event in events:
            if isinstance(event, RequestReceived):
                self.tries[event.id] = 0
                self._send(event.id, out)
            elif isinstance(event, AttemptEnded):
                self.held[event.endpoint] = self.held.get(event.endpoint, 0) - 1
                if event.report is not None and isinstance(event.report[2], float) and event.report[2] >= 1:
                    self.idle[event.endpoint] = None
                if event.final or event.outcome == Outcome.OK:
                    self.tries.pop(event.id, None)
                elif event.outcome in NEVER_RAN and self.tries[event.id] < self.script.limits.send_cap:
                    self._send(event.id, out)
                else:
                    self.tries.pop(event.id, None)
                    out.append(Fail(event.id))
            elif isinstance(event, EndpointsChanged):
                self._list(event)
        return out

    def _send(self, job: int, out: list[Action]) -> None:
        name = self.choose() if self.up else None
        if name is None:
            self.tries.pop(job, None)
            out.append(Reject(job))
            return
        self.tries[job] += 1
        self.held[name] = self.held.get(name, 0) + 1
        out.append(Dispatch(job, name))

    def _list(self, event: EndpointsChanged) -> None:
        states = {} if event.scope in ("all", "remembered") else dict.fromkeys(self.up, "up")
        if event.scope != "refused":
            for row in event.entries:
                states[row.endpoint] = row.state
            self.up = [name for name, state in states.items() if state == "up"]


class RandomChoice(Simple):
    """Any server."""

    def choose(self) -> str | None:
        """Return any."""
        return self.rng.choice(self.up)


class LeastOutstanding(Simple):
    """The one with the fewest of our own."""

    def choose(self) -> str | None:
        """Return the least loaded, ties drawn."""
        least = min(self.held.get(name, 0) for name in self.up)
        return self.rng.choice([name for name in self.up if self.held.get(name, 0) == least])


class TwoChoices(Simple):
    """The less loaded of two drawn ones, by true counts: the textbook's."""

    def choose(self) -> str | None:
        """Return the better of two."""
        one, two = self.rng.choice(self.up), self.rng.choice(self.up)
        return min(
            (one, two), key=lambda name: len(self.servers[name].running) + len(self.servers[name].waiting)
        )


class JoinIdleQueue(Simple):
    """One that has told of a free slot, else any."""

    def choose(self) -> str | None:
        """Return one that is idle as far as it has said."""
        while self.idle:
            name = next(iter(self.idle))
            del self.idle[name]
            if name in self.up:
                return name
        return self.rng.choice(self.up)


class Oracle(Simple):
    """Sees the true state of every server at once: where the job would start soonest; the top of a day."""

    def choose(self) -> str | None:
        """Return the server with the shortest wait by its true state; refuse if all would be late."""
        best, best_key = None, (float("inf"), 0.0)
        for name in self.up:
            server = self.servers[name]
            if server.state != "up" or server.failing:
                continue
            now, rate = server.loop.now, server.rate
            ahead = sum(work.work_us * work.slots for work in server.waiting) + sum(
                max(work.left - (now - work.since_us) * rate, 0.0) for work in server.running
            )
            room = server.free >= 1 and not server.waiting and server.memory >= 1
            wait = 0.0 if room else ahead / server.kind.slots / max(server.rate, 0.01)
            key = (wait, -server.rate)
            if key < best_key:
                best, best_key = name, key
        aim = self.script.job.aim * 1e6 + self.script.job.stretch * 150_000
        return best if best_key[0] <= aim else None


class LateView(Simple):
    """Sees the true state of every server, but up to a second late: what a fleet's days are held against."""

    STALE_US = 1_000_000

    def __init__(self, script: Scenario, rng: Random, servers: dict[str, EmulatedServer]) -> None:
        super().__init__(script, rng, servers)
        self.seen_us, self.room = -self.STALE_US, dict[str, float]()

    def choose(self) -> str | None:
        """Return one that had room, by how much it had; refuse where none had any and all had long queues."""
        now = next(iter(self.servers.values())).loop.now
        if now - self.seen_us >= self.STALE_US:
            self.seen_us = now - int(self.rng.random() * self.STALE_US / 4)
            self.room = {
                name: (s.free - len(s.waiting)) * s.rate if s.state == "up" and not s.failing else -9.0
                for name, s in self.servers.items()
            }
        free = [name for name in self.up if self.room.get(name, 0.0) >= 1]
        if free:
            name = self.rng.choices(free, [self.room[one] for one in free])[0]
        else:
            name = max(self.rng.choices(self.up, k=3), key=lambda one: self.room.get(one, 0.0))
            if self.room.get(name, 0.0) < -2 * self.servers[name].kind.slots:
                return None
        self.room[name] = self.room.get(name, 0.0) - 1
        return name


SIMPLE: dict[str, type[Simple]] = {
    "random": RandomChoice,
    "least": LeastOutstanding,
    "two": TwoChoices,
    "idle": JoinIdleQueue,
    "oracle": Oracle,
    "late": LateView,
}
NAMES = ["module", *SIMPLE]


def make(
    name: str, script: Scenario, node: int, seed: int, now_us: int, servers: dict[str, EmulatedServer]
) -> BalancingPolicy:
    """Make a node's policy."""
    if name == "module":
        return Balancer(settings_of(script, node), seed, now_us)
    return SIMPLE[name](script, Random(f"{seed}/{name}"), servers)
