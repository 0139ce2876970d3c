"""A node in virtual time: carries the module's events in and its actions out, as the real owner does."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from merlinbay.decision import Balancer
from merlinbay.decision.actions import Action, Cancel, Dispatch, Fail, Reject, SetTimer, WatchEndpoints
from merlinbay.decision.events import (
    AttemptEnded,
    ClientDisconnected,
    DiscoveryChanged,
    EndpointEntry,
    EndpointsChanged,
    Event,
    ExecutionStarted,
    RequestReceived,
    TimerFired,
)
from merlinbay.decision.outcomes import NEVER_RAN, Outcome
from merlinbay.emulator.checker import RuleChecker
from merlinbay.emulator.discovery import EmulatedDiscovery
from merlinbay.emulator.loop import Loop, Order
from merlinbay.emulator.network import EmulatedNetwork
from merlinbay.emulator.servers import EmulatedAttempt, EmulatedServer
from merlinbay.emulator.spec import Scenario

AGAIN_US = 100_000  # after a call that failed, what is compared with the module calls again
MARGIN_US = 20_000  # a request is given up so long before its client gives it up


class BalancingPolicy(Protocol):
    """What decides: the module, or something to compare it with."""

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Take events of one instant; return what to do."""


@dataclass(slots=True, eq=False)
class EmulatedRequest:
    """A client's request, one try of it."""

    number: int
    work_us: float
    slots: int
    memory: float
    key: str
    first_us: int  # when its first try was made
    deadline_us: int  # of this try
    tries: int = 0
    done: Callable[[EmulatedRequest, str, int], None] | None = (
        None  # "served", "refused", ...; when to come back
    )


@dataclass(slots=True, eq=False)
class RequestInFlight:
    """A request at a node."""

    request: EmulatedRequest
    job: int
    done: bool = False
    works: list[EmulatedAttempt] = field(default_factory=list)
    servers: list[EmulatedServer] = field(default_factory=list)
    sent_us: list[int] = field(default_factory=list)
    open: set[int] = field(default_factory=set)
    started: set[int] = field(default_factory=set)


class EmulatedNode:
    """One node."""

    def __init__(
        self,
        number: int,
        script: Scenario,
        loop: Loop,
        net: EmulatedNetwork,
        directory: EmulatedDiscovery,
        servers: dict[str, EmulatedServer],
        checker: RuleChecker,
    ) -> None:
        self.number, self.script, self.loop, self.net = number, script, loop, net
        self.directory, self.servers, self.checker = directory, servers, checker
        self.policy: BalancingPolicy | None = None
        self.life = 0  # counts its starts: what belongs to an earlier one is void
        self.flights: dict[int, RequestInFlight] = {}
        self.jobs = 0
        self.connections: dict[str, list[int]] = {}  # by server: when idle ones were used last
        self.keep_us = int(script.hall.keep_alive * 0.7e6)
        self.dials = self.sends = 0
        self.shift_us = 0  # its clock is off by so much
        self.handshake_us = 0.0
        self.known: dict[str, EndpointEntry] = {}  # the list as it had it last

    @property
    def alive(self) -> bool:
        """Tell whether it runs."""
        return self.policy is not None

    def start(self, policy: BalancingPolicy) -> None:
        """Start, with the list as it remembers it."""
        self.life += 1
        self.policy, self.flights, self.connections = policy, {}, {}
        stale = self.script.hall.renames and self.known
        # What is compared with the module sees true states: how it asks is no part of the comparison.
        if isinstance(policy, Balancer):
            self.checker.node_started(self.number, bool(stale))
        self._listed(
            EndpointsChanged("remembered", list(self.known.values()))
            if stale
            else self.directory.remembered()
        )
        if not isinstance(policy, Balancer):  # the module says itself when to ask
            self._subscribe(self.life)

    def die(self) -> None:
        """Die: what it had is its clients' to ask for again."""
        self.policy = None
        self.life += 1
        self.directory.forget(self.number)
        self.checker.node_died(self.number)
        flights, self.flights = list(self.flights.values()), {}
        for flight in flights:
            for number in flight.open:
                flight.servers[number].cancel(flight.works[number])
            if not flight.done and flight.request.done is not None:
                flight.request.done(flight.request, "lost", 0)

    # Events.

    def _handle(self, events: list[Event]) -> None:
        """Have the module decide, and carry that out; what follows at once is decided at once."""
        assert self.policy is not None
        while events:
            actions = self.policy.handle(self.loop.now + self.shift_us, events)
            events = []
            for action in actions:
                self._do(action, events)

    def _listed(self, news: EndpointsChanged) -> None:
        if not self.alive:
            return
        if news.scope in ("all", "remembered"):
            named = {row.endpoint for row in news.entries}
            for name in self.servers:
                if name not in named:
                    self.checker.listed(self.number, name, "removed", 0)
            self.known = {}
        for row in news.entries:
            self.checker.listed(self.number, row.endpoint, row.state, row.ready_at_us)
            self.known[row.endpoint] = row
        self._handle([news])

    def _subscribe(self, life: int) -> None:
        if life == self.life:

            def told(news: EndpointsChanged) -> None:
                if life == self.life:
                    self._listed(news)
                    if news.scope == "refused" and not isinstance(self.policy, Balancer):
                        self.loop.at(self.loop.now + AGAIN_US, Order.DISCOVERY, self._subscribe, life)

            self.directory.subscribe(self.number, told)

    def _fire(self, life: int, token: str) -> None:
        if life == self.life:
            self._handle([TimerFired(token)])

    def moved(self, notified_after_us: int) -> None:
        """Take it that discovery is somewhere else."""
        if self.alive:
            self._handle([DiscoveryChanged(notified_after_us)])

    def take(self, request: EmulatedRequest) -> None:
        """Take a request."""
        self.jobs += 1
        flight = self.flights[self.jobs] = RequestInFlight(request, self.jobs)
        self.checker.arrived(self.number, flight.job, request.deadline_us)
        margin = min(MARGIN_US, (request.deadline_us - self.loop.now) // 2)
        self.loop.at(request.deadline_us - margin, Order.GIVE_UP, self._late, self.life, flight)
        budget = max(request.deadline_us - margin - self.loop.now, 1000)
        # The key by which racks know a repeat is not the one by which the module keeps requests together.
        name, slots = self.script.job.name, float(request.slots)
        arrived = RequestReceived(flight.job, name, budget, slots, request.memory)
        arrived.returned = request.tries > 0
        self._handle([arrived])

    def _late(self, life: int, flight: RequestInFlight) -> None:
        """Give a request up: its attempts end as timed out, and the module answers."""
        if life != self.life or flight.done:
            return
        events: list[Event] = []
        for number in sorted(flight.open):
            self._give_up(flight, number)
            events.append(self._over(flight, number, Outcome.TIMEOUT))
        if events:
            self._handle(events)
        if not flight.done:
            self._answer(flight, "failed", 0)
            self._handle([ClientDisconnected(flight.job)])

    # Actions.

    def _do(self, action: Action, events: list[Event]) -> None:
        match action:
            case Dispatch():
                self._place(action, events)
            case Cancel():
                flight = self.flights.get(action.id)
                if flight is not None and action.attempt in flight.open:
                    self._give_up(flight, action.attempt)
                    events.append(self._over(flight, action.attempt, Outcome.CANCELLED))
            case Reject():
                flight = self.flights.get(action.id)
                if flight is not None and not flight.done:
                    self._answer(flight, "refused", action.retry_after_us)
            case Fail():
                flight = self.flights.get(action.id)
                if flight is not None and not flight.done:
                    self._answer(flight, "failed", 0)
            case SetTimer():
                self.loop.at(self.loop.now + action.in_us, Order.TIMER, self._fire, self.life, action.token)
            case WatchEndpoints():
                self._subscribe(self.life)
            case _:
                pass  # probes, notes and messages to peers: none here

    def _place(self, action: Dispatch, events: list[Event]) -> None:
        flight, server = self.flights.get(action.id), self.servers[action.endpoint]
        if flight is None:
            return
        number, request = len(flight.works), flight.request
        work = EmulatedAttempt(
            self.number,
            flight.job,
            number,
            request.work_us,
            request.slots,
            request.memory,
            request.key,
            self._told(flight, server),
        )
        flight.works.append(work)
        flight.servers.append(server)
        flight.sent_us.append(self.loop.now)
        if flight.done:
            events.append(AttemptEnded(flight.job, number, Outcome.MOOT, 0, True, None, server.name))
            return
        self.checker.sent(self.number, flight.job, server)
        self.sends += 1
        flight.open.add(number)
        wait = self._connect(server)
        if wait < 0 or (self.number, server.name) in self.net.cut:
            late = self.loop.now + int(self.script.net.dial_ms * 1000)
            self._unsent(flight, number, late)
        elif server.state == "down":
            back = self.loop.now + 2 * self.net.one_way()
            self._unsent(flight, number, back)
        else:
            there = self.loop.now + wait + self.net.one_way()
            self.loop.at(there, Order.NETWORK, self._arrive, self.life, flight, number)

    def _unsent(self, flight: RequestInFlight, number: int, due_us: int) -> None:
        self.loop.at(
            due_us, Order.NETWORK, self._back, self.life, flight, number, Outcome.CONNECT_FAILED, None
        )

    def _connect(self, server: EmulatedServer) -> int:
        """Return what a connection costs in time: none if one is idle; below 0: there is none to be had."""
        now, idle = self.loop.now, self.connections.setdefault(server.name, [])
        while idle:
            if now - idle.pop() < self.keep_us:
                return 0
        if self.script.hall.connections <= len(server.running) + len(server.waiting):
            return -1
        self.dials += 1
        return int(self.handshake_us / max(server.rate, 0.05)) + 2 * self.net.delay_us

    def _arrive(self, life: int, flight: RequestInFlight, number: int) -> None:
        server, work = flight.servers[number], flight.works[number]
        if life != self.life or number not in flight.open:
            return
        outcome = server.take(work)
        self.connections.setdefault(server.name, []).append(self.loop.now)
        if outcome is not None and not work.ended:
            work.ended = True
            report = server.report()
            self.net.send(self.number, server.name, self._back, life, flight, number, outcome, report)

    def _told(
        self, flight: RequestInFlight, server: EmulatedServer
    ) -> Callable[[EmulatedAttempt, str, Outcome | None], None]:
        life = self.life

        def told(work: EmulatedAttempt, what: str, outcome: Outcome | None) -> None:
            if what == "started":
                self.net.send(self.number, server.name, self._started, life, flight, work.attempt)
            else:
                assert outcome is not None
                report = None if server.state == "down" else server.report()
                number = work.attempt
                self.net.send(self.number, server.name, self._back, life, flight, number, outcome, report)

        return told

    def _started(self, life: int, flight: RequestInFlight, number: int) -> None:
        if life == self.life and number in flight.open:
            flight.started.add(number)
            self._handle([ExecutionStarted(flight.job, number)])

    def _back(
        self, life: int, flight: RequestInFlight, number: int, outcome: Outcome, report: list[object] | None
    ) -> None:
        """Take how an attempt ended; the first success answers."""
        if life != self.life or number not in flight.open:
            return
        if number in flight.started and outcome in NEVER_RAN:
            outcome = Outcome.RESET
        if outcome is Outcome.OK and not flight.done:
            self._answer(flight, "served", 0)
        self._handle([self._over(flight, number, outcome, report)])

    def _over(
        self, flight: RequestInFlight, number: int, outcome: Outcome, report: list[object] | None = None
    ) -> AttemptEnded:
        flight.open.discard(number)
        self.checker.ended(self.number, flight.job, number, outcome)
        if flight.done and not flight.open:
            self.flights.pop(flight.job, None)
        return AttemptEnded(
            flight.job,
            number,
            outcome,
            self.loop.now - flight.sent_us[number],
            flight.done,
            report,
            flight.servers[number].name,
        )

    def _give_up(self, flight: RequestInFlight, number: int) -> None:
        server = flight.servers[number]
        self.net.send(self.number, server.name, server.cancel, flight.works[number])

    def _answer(self, flight: RequestInFlight, verdict: str, retry_us: int) -> None:
        flight.done = True
        self.checker.answered(self.number, flight.job, verdict)
        if not flight.open:
            self.flights.pop(flight.job, None)
        if flight.request.done is not None:
            flight.request.done(flight.request, verdict, retry_us)
