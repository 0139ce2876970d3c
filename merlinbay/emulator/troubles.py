"""What goes wrong, as scripted events. Numbers are drawn when the day is made, not when it is played."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Protocol, TypeVar

from merlinbay.emulator.callers import Callers
from merlinbay.emulator.directory import Directory
from merlinbay.emulator.host import Node
from merlinbay.emulator.loop import Loop, Order
from merlinbay.emulator.network import Network
from merlinbay.emulator.servers import Server
from merlinbay.emulator.spec import Trouble, drawn

T = TypeVar("T")
DRAIN_S = 1.5  # of a deploy: a drain, and then the process goes


class Stage(Protocol):
    """What troubles may touch of a day."""

    loop: Loop
    net: Network
    directory: Directory
    servers: dict[str, Server]
    nodes: list[Node]
    callers: Callers

    def crash(self, server: Server) -> None:
        """Have a server die."""

    def bring_back(self, server: Server) -> None:
        """Have it start again, cold."""

    def replace(self, server: Server, drain_us: int) -> None:
        """Have it drain, and another come in its place."""

    def node_dies(self, number: int) -> None:
        """Have a node die."""

    def node_starts(self, number: int) -> None:
        """Have it start again."""

    def discovery_moves(self) -> None:
        """Have discovery move."""


@dataclass(frozen=True)
class Mark:
    """One thing that goes wrong, for reports."""

    at_us: int
    until_us: int
    what: str
    about: str


def set_up(day: Stage, trouble: Trouble, rng: Random) -> Mark:
    """Have a trouble come over a day; return what and when."""
    loop = day.loop
    start, lasts = int(drawn(rng, trouble.at) * 1e6), int(drawn(rng, trouble.lasts) * 1e6)
    end, token = start + lasts, object()
    servers = [day.servers[name] for name in trouble.servers] or some(
        list(day.servers.values()), drawn(rng, trouble.share), rng
    )
    about = ", ".join(server.name for server in servers)

    def during(begin: Callable[[], None], finish: Callable[[], None]) -> None:
        loop.at(start, Order.TROUBLE, begin)
        loop.at(end, Order.TROUBLE, finish)

    match trouble.what:
        case "slowdown" | "neighbour":
            for server in servers:
                by = drawn(rng, trouble.by)
                factor = 1 / max(by, 1.0) if trouble.what == "slowdown" else 1 - min(by, 0.99)
                gaps = [(start, end)] if trouble.what == "slowdown" else on_and_off(start, end, rng)
                for begin, finish in gaps:
                    loop.at(begin, Order.TROUBLE, slow, server, token, factor)
                    loop.at(finish, Order.TROUBLE, slow, server, token, 0.0)
        case "fast_errors":
            for server in servers:
                during(*put(server.failing, token, drawn(rng, trouble.by)))
        case "late_reports" | "frozen_reports":
            servers = [day.servers[name] for name in trouble.servers] or list(day.servers.values())
            about = "all" if not trouble.servers else about
            late = drawn(rng, trouble.by) if trouble.what == "late_reports" else math.inf
            for server in servers:
                during(*put(server.frozen, token, late))
        case "burst":
            factor, about = drawn(rng, trouble.by), "traffic"
            day.callers.peak *= max(factor, 1.0)
            during(*put(day.callers.factors, token, factor))
        case "deploy":
            step = max(1, round(drawn(rng, trouble.step) * len(day.servers)))
            waves = [servers[at : at + step] for at in range(0, len(servers), step)]
            for number, wave in enumerate(waves):
                begin = start + (lasts * number // max(len(waves), 1))
                for server in wave:
                    loop.at(begin, Order.TROUBLE, day.replace, server, int(DRAIN_S * 1e6))
        case "crash":
            for server in servers:
                loop.at(start, Order.TROUBLE, day.crash, server)
                if lasts:
                    loop.at(end, Order.TROUBLE, day.bring_back, server)
        case "rack_loss":
            cells = sorted({server.cell for server in day.servers.values()})
            chosen = [day.servers[name].cell for name in trouble.servers] or [rng.choice(cells)]
            servers = [server for server in day.servers.values() if server.cell in chosen]
            about = ", ".join(server.name for server in servers)
            for server in servers:
                loop.at(start, Order.TROUBLE, day.crash, server)
                if lasts:
                    loop.at(end, Order.TROUBLE, day.bring_back, server)
        case "partition":
            nodes = trouble.nodes or [rng.randrange(len(day.nodes))]
            links = [(node, server.name) for node in nodes for server in servers]
            about = f"nodes {nodes} from {about}"
            during(lambda: day.net.sever(links), lambda: day.net.heal(links))
        case "discovery_outage":
            about = "discovery"
            during(day.directory.fail, day.directory.recover)
        case "watches_silent":
            silent = some(day.nodes, drawn(rng, trouble.share), rng)
            numbers = trouble.nodes or [node.number for node in silent]
            about = f"the watches of {len(numbers)} nodes"
            loop.at(start, Order.TROUBLE, day.directory.silence, numbers)
        case "clock_off":
            by, about = int(drawn(rng, trouble.by) * 1e6), "clock"
            for number in trouble.nodes or [rng.randrange(len(day.nodes))]:
                during(partial(set_clock, day.nodes[number], by), partial(set_clock, day.nodes[number], 0))
        case "node_crash":
            share = drawn(rng, trouble.share)
            numbers = trouble.nodes or [node.number for node in some(day.nodes, share, rng)]
            about = f"nodes {numbers}"
            for number in numbers:
                loop.at(start, Order.TROUBLE, day.node_dies, number)
                loop.at(end, Order.TROUBLE, day.node_starts, number)
        case "node_roll":
            numbers = [node.number for node in day.nodes]
            away, step = int(drawn(rng, trouble.by) * 1e6), max(1, round(len(numbers) / 10))
            about = f"{len(numbers)} nodes, {step} at a time"
            for place in range(0, len(numbers), step):
                begin = start + lasts * place // len(numbers)
                for number in numbers[place : place + step]:
                    loop.at(begin, Order.TROUBLE, day.node_dies, number)
                    loop.at(begin + away, Order.TROUBLE, day.node_starts, number)
        case "discovery_moves":
            about = "discovery"
            loop.at(start, Order.TROUBLE, day.discovery_moves)
    return Mark(start, end, trouble.what, about)


def put(
    table: dict[object, float], token: object, value: float
) -> tuple[Callable[[], None], Callable[[], None]]:
    """Return what enters a value into a table, and what takes it out again."""

    def out() -> None:
        table.pop(token, None)

    return partial(table.__setitem__, token, value), out


def set_clock(node: Node, by_us: int) -> None:
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


def slow(server: Server, token: object, factor: float) -> None:
    """Slow a server down, or (0) let it go on as before."""

    def change() -> None:
        if factor:
            server.slow[token] = factor
        else:
            server.slow.pop(token, None)

    server.with_speed(change)
