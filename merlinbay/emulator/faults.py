"""Faults of a simulated day, as scheduled events. Their numbers are drawn when the day is made."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Protocol, TypeVar

from merlinbay.emulator.callers import ClientPopulation
from merlinbay.emulator.discovery import EmulatedDiscovery
from merlinbay.emulator.host import EmulatedNode
from merlinbay.emulator.loop import Loop, Order
from merlinbay.emulator.network import EmulatedNetwork
from merlinbay.emulator.servers import EmulatedServer
from merlinbay.emulator.spec import FaultSpec, drawn

T = TypeVar("T")
DRAIN_S = 1.5  # of a deploy: a drain, and then the process goes


class FaultTargets(Protocol):
    """What faults may touch of a day."""

    loop: Loop
    net: EmulatedNetwork
    directory: EmulatedDiscovery
    servers: dict[str, EmulatedServer]
    nodes: list[EmulatedNode]
    callers: ClientPopulation

    def crash(self, server: EmulatedServer) -> None:
        """Have a server die."""

    def bring_back(self, server: EmulatedServer) -> None:
        """Have it start again, cold."""

    def replace(self, server: EmulatedServer, drain_us: int) -> None:
        """Have it drain, and another come in its place."""

    def node_dies(self, number: int) -> None:
        """Have a node die."""

    def node_starts(self, number: int) -> None:
        """Have it start again."""

    def discovery_moves(self) -> None:
        """Have discovery move."""


@dataclass(frozen=True)
class FaultMark:
    """One fault, for reports."""

    at_us: int
    until_us: int
    what: str
    about: str


def set_up(day: FaultTargets, trouble: FaultSpec, rng: Random) -> FaultMark:
    """Schedule a fault of a day; return what it is and when."""
    return FaultScheduler(day, trouble, rng).schedule()


class FaultScheduler:
    """Draws one fault's numbers and puts its steps into the day's event loop.

    The order of the draws is part of a day's seed: times, then servers, then what the fault needs itself.
    """

    def __init__(self, day: FaultTargets, trouble: FaultSpec, rng: Random) -> None:
        self.day, self.trouble, self.rng = day, trouble, rng
        self.token = object()  # marks this fault's entry in tables that several faults share
        self.start_us = int(drawn(rng, trouble.at) * 1e6)
        self.lasts_us = int(drawn(rng, trouble.lasts) * 1e6)
        self.end_us = self.start_us + self.lasts_us
        self.servers = self._named_servers() or some(
            list(day.servers.values()), drawn(rng, trouble.share), rng
        )
        self.about = server_names(self.servers)
        self.handlers: dict[str, Callable[[], None]] = {
            "slowdown": self._slowdown,
            "neighbour": self._noisy_neighbour,
            "fast_errors": self._fast_errors,
            "late_reports": self._late_reports,
            "frozen_reports": self._frozen_reports,
            "burst": self._burst,
            "deploy": self._deploy,
            "crash": self._crash,
            "rack_loss": self._rack_loss,
            "partition": self._partition,
            "discovery_outage": self._discovery_outage,
            "watches_silent": self._silent_watches,
            "clock_off": self._clock_offset,
            "node_crash": self._node_crash,
            "node_roll": self._rolling_restart,
            "discovery_moves": self._discovery_moves,
        }

    def schedule(self) -> FaultMark:
        """Schedule the fault's steps."""
        self.handlers[self.trouble.what]()
        return FaultMark(self.start_us, self.end_us, self.trouble.what, self.about)

    def _named_servers(self) -> list[EmulatedServer]:
        return [self.day.servers[name] for name in self.trouble.servers]

    def _drawn_factor(self) -> float:
        return drawn(self.rng, self.trouble.by)

    def _at(self, at_us: int, call: Callable[..., None], *args: object) -> None:
        self.day.loop.at(at_us, Order.TROUBLE, call, *args)

    def _during(self, begin: Callable[[], None], finish: Callable[[], None]) -> None:
        self._at(self.start_us, begin)
        self._at(self.end_us, finish)

    # Faults of servers.

    def _slowdown(self) -> None:
        for server in self.servers:
            factor = 1 / max(self._drawn_factor(), 1.0)
            self._slow_between(server, factor, [(self.start_us, self.end_us)])

    def _noisy_neighbour(self) -> None:
        for server in self.servers:
            factor = 1 - min(self._drawn_factor(), 0.99)
            self._slow_between(server, factor, on_and_off(self.start_us, self.end_us, self.rng))

    def _slow_between(self, server: EmulatedServer, factor: float, spans: list[tuple[int, int]]) -> None:
        for begin_us, finish_us in spans:
            self._at(begin_us, slow, server, self.token, factor)
            self._at(finish_us, slow, server, self.token, 0.0)

    def _fast_errors(self) -> None:
        for server in self.servers:
            self._during(*put(server.failing, self.token, self._drawn_factor()))

    def _late_reports(self) -> None:
        self._delay_reports(self._drawn_factor())

    def _frozen_reports(self) -> None:
        self._delay_reports(math.inf)

    def _delay_reports(self, delay_s: float) -> None:
        """Delay load reports of the named servers, or of all."""
        named = self._named_servers()
        if not named:
            self.about = "all"
        for server in named or list(self.day.servers.values()):
            self._during(*put(server.frozen, self.token, delay_s))

    def _deploy(self) -> None:
        step = max(1, round(drawn(self.rng, self.trouble.step) * len(self.day.servers)))
        waves = [self.servers[at : at + step] for at in range(0, len(self.servers), step)]
        for number, wave in enumerate(waves):
            begin_us = self.start_us + (self.lasts_us * number // max(len(waves), 1))
            for server in wave:
                self._at(begin_us, self.day.replace, server, int(DRAIN_S * 1e6))

    def _crash(self) -> None:
        for server in self.servers:
            self._at(self.start_us, self.day.crash, server)
            if self.lasts_us:
                self._at(self.end_us, self.day.bring_back, server)

    def _rack_loss(self) -> None:
        cells = sorted({server.cell for server in self.day.servers.values()})
        chosen = [server.cell for server in self._named_servers()] or [self.rng.choice(cells)]
        self.servers = [server for server in self.day.servers.values() if server.cell in chosen]
        self.about = server_names(self.servers)
        self._crash()

    # Faults of the network, of traffic and of discovery.

    def _partition(self) -> None:
        nodes = self.trouble.nodes or [self.rng.randrange(len(self.day.nodes))]
        links = [(node, server.name) for node in nodes for server in self.servers]
        self.about = f"nodes {nodes} from {self.about}"
        self._during(lambda: self.day.net.sever(links), lambda: self.day.net.heal(links))

    def _burst(self) -> None:
        factor, self.about = self._drawn_factor(), "traffic"
        self.day.callers.peak *= max(factor, 1.0)
        self._during(*put(self.day.callers.factors, self.token, factor))

    def _discovery_outage(self) -> None:
        self.about = "discovery"
        self._during(self.day.directory.fail, self.day.directory.recover)

    def _discovery_moves(self) -> None:
        self.about = "discovery"
        self._at(self.start_us, self.day.discovery_moves)

    def _silent_watches(self) -> None:
        silent = some(self.day.nodes, drawn(self.rng, self.trouble.share), self.rng)
        numbers = self.trouble.nodes or [node.number for node in silent]
        self.about = f"the watches of {len(numbers)} nodes"
        self._at(self.start_us, self.day.directory.silence, numbers)

    # Faults of nodes.

    def _clock_offset(self) -> None:
        offset_us, self.about = int(self._drawn_factor() * 1e6), "clock"
        for number in self.trouble.nodes or [self.rng.randrange(len(self.day.nodes))]:
            node = self.day.nodes[number]
            self._during(partial(set_clock, node, offset_us), partial(set_clock, node, 0))

    def _node_crash(self) -> None:
        share = drawn(self.rng, self.trouble.share)
        numbers = self.trouble.nodes or [node.number for node in some(self.day.nodes, share, self.rng)]
        self.about = f"nodes {numbers}"
        for number in numbers:
            self._at(self.start_us, self.day.node_dies, number)
            self._at(self.end_us, self.day.node_starts, number)

    def _rolling_restart(self) -> None:
        numbers = [node.number for node in self.day.nodes]
        down_us, step = int(self._drawn_factor() * 1e6), max(1, round(len(numbers) / 10))
        self.about = f"{len(numbers)} nodes, {step} at a time"
        for place in range(0, len(numbers), step):
            begin_us = self.start_us + self.lasts_us * place // len(numbers)
            for number in numbers[place : place + step]:
                self._at(begin_us, self.day.node_dies, number)
                self._at(begin_us + down_us, self.day.node_starts, number)


def server_names(servers: list[EmulatedServer]) -> str:
    """Return the names of servers, for reports."""
    return ", ".join(server.name for server in servers)


def put(
    table: dict[object, float], token: object, value: float
) -> tuple[Callable[[], None], Callable[[], None]]:
    """Return what enters a value into a table, and what takes it out again."""

    def out() -> None:
        table.pop(token, None)

    return partial(table.__setitem__, token, value), out


def set_clock(node: EmulatedNode, by_us: int) -> None:
    """Have a node's clock be off by so much."""
    node.shift_us = by_us


def some(found: list[T], share: float, rng: Random) -> list[T]:
    """Return that share of them, drawn; at least one, if there is a share."""
    count = min(len(found), max(1, round(share * len(found)))) if share > 0 else 0
    return sorted(rng.sample(found, count), key=found.index)


def on_and_off(start: int, end: int, rng: Random) -> list[tuple[int, int]]:
    """Return the stretches of some seconds in which a neighbour program works."""
    found, at = [], start
    while at < end:
        until = min(end, at + int(rng.uniform(1.0, 4.0) * 1e6))
        found.append((at, until))
        at = until + int(rng.uniform(0.5, 3.0) * 1e6)
    return found


def slow(server: EmulatedServer, token: object, factor: float) -> None:
    """Slow a server down, or (0) let it go on as before."""

    def change() -> None:
        if factor:
            server.slow[token] = factor
        else:
            server.slow.pop(token, None)

    server.with_speed(change)
