"""Simulation of a fleet in virtual time, and its invariants; ``scenarios`` injects faults by a seed.

One seed gives one history, in any process. Network and clocks are simulated, the view is the real one.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from merlinbay.fleet import wire
from merlinbay.fleet.effects import Effect, MembershipEvent, SendDatagram, SendRequest
from merlinbay.fleet.epoch_messages import Epoch
from merlinbay.fleet.members import Health
from merlinbay.fleet.settings import FleetSettings
from merlinbay.fleet.simulated_node import SimulatedNode

NO_ANSWER_AFTER_S = 1.0  # a request to a node that cannot be reached fails after so long
LATE_BY_S = 0.5  # a reordered packet is late by up to this


class InvariantViolationError(Exception):
    """An invariant is violated; the text says which, when and at which node."""


@dataclass
class SimulatedNetwork:
    """What the network does to packets."""

    delay_s: float = 0.002  # mean; 0.5 to 1.5 times that at random
    loss_share: float = 0.0
    duplicate_share: float = 0.0
    reorder_share: float = 0.0  # delivered late, up to LATE_BY_S
    cut_links: set[tuple[str, str]] = field(default_factory=set)  # source and destination addresses


class FleetSimulation:
    """Nodes, a network, and the virtual time."""

    def __init__(self, seed: int, count: int, settings: FleetSettings | None = None) -> None:
        self.rng, self.now_s = Random(seed), 0.0
        self.settings = settings or FleetSettings(name="sim", listen="x", keys="x", exchange=5.0)
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.number = 0
        self.net = SimulatedNetwork()
        self.nodes: dict[str, SimulatedNode] = {}
        self.nodes_by_addr: dict[str, SimulatedNode] = {}
        self.datagrams_sent = self.bytes_sent = 0
        self.epochs: dict[int, Epoch] = {}  # every one that a node has learned
        self.observe: Callable[[SimulatedNode, MembershipEvent], None] = lambda node, event: None
        for number in range(count):
            self.add(f"n{number}")

    def add(self, name: str) -> SimulatedNode:
        """Add a node that has not started."""
        addr = f"10.0.{len(self.nodes) // 250}.{len(self.nodes) % 250}:7000"
        node = self.nodes[name] = self.nodes_by_addr[addr] = SimulatedNode(self, name, addr)
        return node

    def schedule(self, at_s: float, call: Callable[..., None], *args: Any) -> None:
        """Call a function at a moment."""
        self.number += 1
        heapq.heappush(self.queue, (at_s, self.number, call, args))

    def run(self, until_s: float) -> None:
        """Run until a moment."""
        while self.queue and self.queue[0][0] <= until_s:
            self.now_s, _, call, args = heapq.heappop(self.queue)
            call(*args)
        self.now_s = until_s

    def check_epoch(self, node: str, epoch: Epoch) -> None:
        """Note an epoch that a node has learned.

        Raises ``InvariantViolationError`` where another node has other members for it.
        """
        known = self.epochs.setdefault(epoch.number, epoch)
        if known != epoch:
            raise InvariantViolationError(
                f"{self.now_s:.3f}: {node} has epoch {epoch.number} as {epoch.members}, not {known.members}"
            )

    # The network.

    def transmit(self, node: SimulatedNode, effect: Effect) -> None:
        """Carry a datagram or a frame."""
        net, other = self.net, self.nodes_by_addr.get(effect.addr)
        delay_s = net.delay_s * self.rng.uniform(0.5, 1.5)
        if isinstance(effect, SendDatagram):
            if len(effect.data) > wire.MAX_DATAGRAM_BYTES:
                raise InvariantViolationError(
                    f"{self.now_s:.3f}: {node.name} sends a datagram of {len(effect.data)} bytes"
                )
            self.datagrams_sent, self.bytes_sent = self.datagrams_sent + 1, self.bytes_sent + len(effect.data)
            if (
                other is None
                or (node.addr, effect.addr) in net.cut_links
                or self.rng.random() < net.loss_share
            ):
                return
            if net.reorder_share and self.rng.random() < net.reorder_share:
                delay_s += self.rng.random() * LATE_BY_S
            self.schedule(self.now_s + delay_s, self._datagram, other, node.addr, effect.data)
            if net.duplicate_share and self.rng.random() < net.duplicate_share:
                self.schedule(self.now_s + delay_s * 3, self._datagram, other, node.addr, effect.data)
            return
        self.bytes_sent += len(effect.data)
        blocked = {(node.addr, effect.addr), (effect.addr, node.addr)} & net.cut_links
        if other is None or other.view is None or other.is_stopped or blocked:
            self.schedule(
                self.now_s + NO_ANSWER_AFTER_S, self._answer, node, node.start_count, effect.token, None
            )
            return
        self.schedule(self.now_s + delay_s, self._frame, other, node, node.start_count, effect)

    def _datagram(self, node: SimulatedNode, source: str, data: bytes) -> None:
        if node.view is None:
            return
        if node.is_stopped:
            node.backlog.append((self._datagram, (node, source, data)))
            return
        node.view.handle_datagram(self.now_s, source, data)
        node.flush()

    def _frame(self, node: SimulatedNode, requester: SimulatedNode, starts: int, effect: SendRequest) -> None:
        answer = None
        if node.view is not None and not node.is_stopped:
            try:
                answer = node.view.handle_frame(self.now_s, requester.addr, effect.data)
            except wire.MessageRejectedError:
                answer = None
            node.flush()
            self.bytes_sent += len(answer or b"")
        self.schedule(self.now_s + self.net.delay_s, self._answer, requester, starts, effect.token, answer)

    def _answer(self, node: SimulatedNode, starts: int, token: int, data: bytes | None) -> None:
        if node.view is None or node.start_count != starts:
            return
        if node.is_stopped:
            node.backlog.append((self._answer, (node, starts, token, data)))
            return
        node.view.handle_answer(self.now_s, token, data)
        node.flush()

    # Invariants.

    def running_nodes(self) -> list[SimulatedNode]:
        """Return the nodes whose processes run."""
        return [node for node in self.nodes.values() if node.view is not None and not node.is_stopped]

    def _staying(self) -> list[SimulatedNode]:
        return [
            node for node in self.running_nodes() if node.view is not None and not node.view.local.is_leaving
        ]

    def check(self) -> None:
        """Check the invariants of any moment. Raises ``InvariantViolationError``."""
        max_members = 64 + 3 * len(self.nodes) + 8
        for node in self.running_nodes():
            assert node.view is not None
            members = node.view.table.members
            if len(members) > max_members or len(node.view.timers) > 60 + 40 * len(members):
                raise InvariantViolationError(
                    f"{self.now_s:.3f}: {node.name} keeps {len(members)} members and "
                    f"{len(node.view.timers)} timers"
                )
            for member in members.values():
                if member.state.incarnation < node.incarnations.get(member.name, 0):
                    raise InvariantViolationError(f"{self.now_s:.3f}: {member.name} went back at {node.name}")
                node.incarnations[member.name] = member.state.incarnation

    def view_mismatch(self) -> str:
        """Return how a view differs from the nodes that run; empty: none does."""
        running = {node.name for node in self._staying()}
        for node in self._staying():
            assert node.view is not None
            active = node.view.table.active()
            seen = {member.name for member in active}
            if seen != running:
                return (
                    f"{node.name} sees {sorted(seen - running)} too many and lacks {sorted(running - seen)}"
                )
            suspects = [member.name for member in active if member.health is not Health.ALIVE]
            if suspects:
                return f"{node.name} still suspects {sorted(suspects)}"
        return ""

    def epoch_mismatch(self) -> str:
        """Return how an epoch differs from the nodes that run, if they are a majority; empty: none does."""
        if not self.settings.expect:
            return ""
        running = tuple(sorted(node.voter_id for node in self._staying()))
        last = self.epochs[max(self.epochs)] if self.epochs else Epoch()
        voters = [voter for voter in running if not last.number or voter in last.members]
        if len(voters) < (len(last.members) // 2 + 1 if last.number else self.settings.expect):
            return ""
        for node in self._staying():
            assert node.view is not None and node.view.epochs is not None
            epoch = node.view.epochs.consensus.epoch
            if epoch.members != running:
                return f"{node.name} is at epoch {epoch.number}, {epoch.members}; there are {running}"
        return ""
