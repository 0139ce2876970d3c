"""A day put together and played: the same result from the same script, seed and policy, in any process."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

from merlinbay.emulator import faults, policies
from merlinbay.emulator.callers import ClientPopulation
from merlinbay.emulator.checker import RuleChecker, RuleViolationError
from merlinbay.emulator.discovery import EmulatedDiscovery
from merlinbay.emulator.faults import FaultMark
from merlinbay.emulator.host import BalancingPolicy, EmulatedNode
from merlinbay.emulator.loop import Loop, Order
from merlinbay.emulator.network import EmulatedNetwork
from merlinbay.emulator.servers import EmulatedServer, Rack
from merlinbay.emulator.spec import MachineKind, Scenario, drawn

WHOLE, WORST = 0.85, 0.15  # parts of a day's figure


@dataclass(frozen=True)
class SimulationResult:
    """How a day went."""

    script: str
    seed: int
    policy: str
    requests: int
    in_time: float  # the share of first tries that were answered in time,
    worst: float  # and the least over ten seconds
    refused: int
    failed: int
    lost: int
    retries: int
    sends: int
    dials: int
    half_ms: float  # of those served: median, and 99th percentile
    late_ms: float
    busy: float  # share of the slots' time that was used
    events: int
    push: int = 0  # jobs that came to one server in 100 ms, by all nodes: 99.9th percentile
    bad: int = 0  # bad clients, on sockets,
    bad_open: int = 0  # and those that neither got an error nor were closed in time
    broken: str = ""  # the rule that was

    @property
    def figure(self) -> float:
        """Return the day's figure."""
        return 0.0 if self.broken else WHOLE * self.in_time + WORST * self.worst


class DaySimulation:
    """A hall, its nodes and callers, and what goes wrong."""

    def __init__(self, script: Scenario, seed: int, policy: str = "module") -> None:
        self.script, self.seed, self.policy = script, seed, policy
        self.loop = self.make_loop()
        rng = Random(f"{seed}/day")
        self.checker = RuleChecker(script, self.loop)
        self.net = EmulatedNetwork(script.net, self.loop, Random(f"{seed}/net"))
        self.directory = EmulatedDiscovery(script.discovery, self.loop, Random(f"{seed}/discovery"))
        self.directory.watcher = self.checker
        self.servers: dict[str, EmulatedServer] = {}
        hall = script.hall
        for number, kind in enumerate(self._kinds(rng)):
            cell = number // hall.rack
            if number % hall.rack == 0:
                rack = Rack(int(script.job.window * 1e6))
            server = EmulatedServer(
                f"s{number}",
                kind,
                drawn(rng, kind.speed),
                cell,
                hall.zones[cell % len(hall.zones)],
                hall,
                script.reports,
                rack,
                self.loop,
                Random(f"{seed}/s{number}"),
                self.checker,
            )
            self.servers[server.name] = server
            self.directory.publish(server, "up", late=False)
        self.nodes = self.make_nodes()
        mean_us = drawn(rng, script.job.run) * 1e6
        self.power = sum(server.kind.slots * server.base for server in self.servers.values())
        wide = script.job.slots * (1 - script.job.wide) + 2 * script.job.wide
        rate = drawn(rng, script.load.share) * self.power / (mean_us / 1e6 * wide)
        self.callers = ClientPopulation(script, self.loop, self.nodes, rate, mean_us, seed)
        for node in self.nodes:
            node.handshake_us = drawn(rng, hall.handshake_ms) * 1000
            node.start(self._policy(node))
        self.marks: list[FaultMark] = [
            faults.set_up(self, trouble, Random(f"{seed}/trouble{number}"))
            for number, trouble in enumerate(script.trouble)
        ]

    def make_loop(self) -> Loop:
        """Return the loop; the second way to play has another."""
        return Loop()

    def make_nodes(self) -> list[Any]:
        """Return the nodes; the second way to play has others."""
        return [
            EmulatedNode(number, self.script, self.loop, self.net, self.directory, self.servers, self.checker)
            for number in range(self.script.hall.nodes)
        ]

    def _kinds(self, rng: Random) -> list[MachineKind]:
        """Return each server's kind: shares as even as they come, in a drawn order."""
        hall = self.script.hall
        total, found = sum(kind.share for kind in hall.kinds), list[MachineKind]()
        owed = {kind.name: 0.0 for kind in hall.kinds}
        for _ in range(hall.servers):
            for kind in hall.kinds:
                owed[kind.name] += kind.share / total
            chosen = max(hall.kinds, key=lambda kind: owed[kind.name])
            owed[chosen.name] -= 1
            found.append(chosen)
        rng.shuffle(found)
        return found

    def _policy(self, node: EmulatedNode) -> BalancingPolicy:
        seed = Random(f"{self.seed}/node{node.number}/{node.life}").getrandbits(32)
        return policies.make(self.policy, self.script, node.number, seed, self.loop.now, self.servers)

    # What troubles do.

    def crash(self, server: EmulatedServer) -> None:
        """Have a server die; discovery learns of it late."""
        if server.state != "down":
            server.crash()
            self.directory.publish(server, "removed")

    def bring_back(self, server: EmulatedServer) -> None:
        """Have a server start, cold."""
        if server.state == "down":
            server.start()
            self.directory.publish(server, "up")

    def replace(self, server: EmulatedServer, drain_us: int) -> None:
        """Have a server drain, end, and a successor start in its place."""
        if server.state != "up":
            return
        server.drain()
        self.directory.publish(server, "draining")
        self.loop.at(self.loop.now + drain_us, Order.TROUBLE, self._successor, server)

    def _successor(self, server: EmulatedServer) -> None:
        if server.state != "draining":
            return
        server.crash()
        if self.script.hall.renames:
            self.directory.publish(server, "removed")
            old, name = server, f"{server.name}+"
            server = EmulatedServer(
                name,
                old.kind,
                old.base,
                old.cell,
                old.zone,
                self.script.hall,
                self.script.reports,
                old.rack,
                self.loop,
                Random(f"{self.seed}/{name}"),
                self.checker,
            )
            self.servers[name], server.state = server, "down"
        server.start()
        self.directory.publish(server, "up")

    def node_dies(self, number: int) -> None:
        """Have a node die."""
        if self.nodes[number].alive:
            self.nodes[number].die()
            self.callers.node_died(self.nodes[number])

    def node_starts(self, number: int) -> None:
        """Have a node start again."""
        node = self.nodes[number]
        if not node.alive:
            node.start(self._policy(node))
            self.callers.node_started(node)

    def discovery_moves(self) -> None:
        """Have discovery move: every node is told so at once."""
        self.directory.move(lambda node: self.nodes[node].moved(int(self.script.limits.reload_told * 1e6)))

    def play(self) -> SimulationResult:
        """Play it, and let the last requests end."""
        broken, end = "", int(self.script.seconds * 1e6)
        try:
            self.callers.start()
            self.loop.run(end)
            self.callers.rate = 1e-9  # nobody asks any more
            self.loop.run(end + int(2.5 * self.script.job.deadline * 1e6))
            for node, job in list(self.checker.asked):
                self.checker.overdue(node, job)
        except RuleViolationError as error:
            broken = str(error)
        return self._result(broken)

    def _result(self, broken: str) -> SimulationResult:
        account = self.callers.account
        served = account.took()
        slots = sum(server.kind.slots for server in self.servers.values())
        return SimulationResult(
            self.script.name,
            self.seed,
            self.policy,
            len(account.first_us),
            account.share(),
            account.worst(self.script.seconds),
            account.refused,
            account.failed,
            account.lost,
            account.retries,
            sum(node.sends for node in self.nodes),
            sum(node.dials for node in self.nodes),
            served.get_value_at_percentile(50) / 1000,
            served.get_value_at_percentile(99) / 1000,
            sum(server.busy_us for server in self.servers.values()) / (slots * self.script.seconds * 1e6),
            self.checker.events,
            self.checker.push(0.999),
            broken=broken,
        )


def play(script: Scenario, seed: int, policy: str = "module") -> SimulationResult:
    """Play a day."""
    return DaySimulation(script, seed, policy).play()
