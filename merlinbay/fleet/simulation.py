"""Simulation of a fleet in virtual time, with the invariants that ``scenarios`` checks under faults.

The network and the clocks are simulated, and the view is the real one. A seed gives the same history in every
process. A violated invariant raises ``InvariantViolationError``.
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

NO_ANSWER_AFTER_S = 1.0  # time after which a request to an unreachable node fails
LATE_BY_S = 0.5  # longest additional delay of a reordered datagram


class InvariantViolationError(Exception):
    """An invariant is violated. The text says which one, when, and at which node."""


@dataclass
class SimulatedNetwork:
    """The properties of the network: delay, and shares of lost, duplicated and reordered datagrams."""

    delay_s: float = 0.002  # mean delay, multiplied by a random factor from 0.5 to 1.5
    loss_share: float = 0.0
    duplicate_share: float = 0.0
    reorder_share: float = 0.0  # share of datagrams that are delayed by up to LATE_BY_S
    cut_links: set[tuple[str, str]] = field(default_factory=set)  # source and destination addresses


class FleetSimulation:
    """The nodes, the network, and the virtual time."""

    def __init__(self, seed: int, count: int, settings: FleetSettings | None = None) -> None:
        self.rng, self.now_s = Random(seed), 0.0
        self.settings = settings or FleetSettings(name="sim", listen="x", keys="x", exchange=5.0)
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.number = 0
        self.net = SimulatedNetwork()
        self.nodes: dict[str, SimulatedNode] = {}
        self.nodes_by_addr: dict[str, SimulatedNode] = {}
        self.datagrams_sent = self.bytes_sent = 0
        self.epochs: dict[int, Epoch] = {}  # all epochs that a node has learned, by number
        self.observe: Callable[[SimulatedNode, MembershipEvent], None] = lambda node, event: None
        for number in range(count):
            self.add(f"n{number}")

    def add(self, name: str) -> SimulatedNode:
        """Add a node, without starting it."""
        addr = f"10.0.{len(self.nodes) // 250}.{len(self.nodes) % 250}:7000"
        node = self.nodes[name] = self.nodes_by_addr[addr] = SimulatedNode(self, name, addr)
        return node

    def schedule(self, at_s: float, call: Callable[..., None], *args: Any) -> None:
        """Call a function at a given time."""
        self.number += 1
        heapq.heappush(self.queue, (at_s, self.number, call, args))

    def run(self, until_s: float) -> None:
        """Run all calls up to a given time, and set the clock to it."""
        while self.queue and self.queue[0][0] <= until_s:
            self.now_s, _, call, args = heapq.heappop(self.queue)
            call(*args)
        self.now_s = until_s

    def check_epoch(self, node: str, epoch: Epoch) -> None:
        """Record an epoch that a node has learned.

        Raises ``InvariantViolationError`` if another node has other members for it.
        """
        earlier = self.epochs.setdefault(epoch.number, epoch)
        if earlier != epoch:
            raise InvariantViolationError(
                f"{self.now_s:.3f}: {node} has epoch {epoch.number} as {epoch.members}, not {earlier.members}"
            )

    # The network.

    def transmit(self, node: SimulatedNode, effect: Effect) -> None:
        """Deliver a datagram or a frame to its destination, with the delay and the faults of the network."""
        net, receiver = self.net, self.nodes_by_addr.get(effect.addr)
        delay_s = net.delay_s * self.rng.uniform(0.5, 1.5)
        if isinstance(effect, SendDatagram):
            if len(effect.data) > wire.MAX_DATAGRAM_BYTES:
                raise InvariantViolationError(
                    f"{self.now_s:.3f}: {node.name} sends a datagram of {len(effect.data)} bytes"
                )
            self.datagrams_sent, self.bytes_sent = self.datagrams_sent + 1, self.bytes_sent + len(effect.data)
            if (
                receiver is None
                or (node.addr, effect.addr) in net.cut_links
                or self.rng.random() < net.loss_share
            ):
                return
            if net.reorder_share and self.rng.random() < net.reorder_share:
                delay_s += self.rng.random() * LATE_BY_S
            self.schedule(self.now_s + delay_s, self._datagram, receiver, node.addr, effect.data)
            if net.duplicate_share and self.rng.random() < net.duplicate_share:
                self.schedule(self.now_s + delay_s * 3, self._datagram, receiver, node.addr, effect.data)
            return
        self.bytes_sent += len(effect.data)
        blocked = {(node.addr, effect.addr), (effect.addr, node.addr)} & net.cut_links
        if receiver is None or receiver.view is None or receiver.is_stopped or blocked:
            self.schedule(
                self.now_s + NO_ANSWER_AFTER_S, self._answer, node, node.start_count, effect.token, None
            )
            return
        self.schedule(self.now_s + delay_s, self._frame, receiver, node, node.start_count, effect)

    def _datagram(self, node: SimulatedNode, source: str, data: bytes) -> None:
        if node.view is None:
            return
        if node.is_stopped:
            node.backlog.append((self._datagram, (node, source, data)))
            return
        node.view.handle_datagram(self.now_s, source, data)
        node.flush()

    def _frame(
        self, node: SimulatedNode, requester: SimulatedNode, start_count: int, effect: SendRequest
    ) -> None:
        answer = None
        if node.view is not None and not node.is_stopped:
            try:
                answer = node.view.handle_frame(self.now_s, requester.addr, effect.data)
            except wire.MessageRejectedError:
                answer = None
            node.flush()
            self.bytes_sent += len(answer or b"")
        self.schedule(
            self.now_s + self.net.delay_s, self._answer, requester, start_count, effect.token, answer
        )

    def _answer(self, node: SimulatedNode, start_count: int, token: int, data: bytes | None) -> None:
        if node.view is None or node.start_count != start_count:
            return
        if node.is_stopped:
            node.backlog.append((self._answer, (node, start_count, token, data)))
            return
        node.view.handle_answer(self.now_s, token, data)
        node.flush()

    # Invariants.

    def running_nodes(self) -> list[SimulatedNode]:
        """Return the nodes whose processes run and are not stopped."""
        return [node for node in self.nodes.values() if node.view is not None and not node.is_stopped]

    def _staying(self) -> list[SimulatedNode]:
        return [
            node for node in self.running_nodes() if node.view is not None and not node.view.local.is_leaving
        ]

    def check(self) -> None:
        """Check the invariants that hold at all times. Raises ``InvariantViolationError``."""
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
                    raise InvariantViolationError(
                        f"{self.now_s:.3f}: the incarnation of {member.name} went back at {node.name}"
                    )
                node.incarnations[member.name] = member.state.incarnation

    def view_mismatch(self) -> str:
        """Return the first difference between a view and the nodes that run; empty if there is none."""
        running = {node.name for node in self._staying()}
        for node in self._staying():
            assert node.view is not None
            active = node.view.table.active()
            seen = {member.name for member in active}
            if seen != running:
                return (
                    f"{node.name} has {sorted(seen - running)}, which do not run, "
                    f"and lacks {sorted(running - seen)}"
                )
            suspects = [member.name for member in active if member.health is not Health.ALIVE]
            if suspects:
                return f"{node.name} still suspects {sorted(suspects)}"
        return ""

    def epoch_mismatch(self) -> str:
        """Return the first difference between a node's epoch and the nodes that run; empty if there is none.

        It is also empty if the nodes that run are no majority, because they cannot agree on an epoch then.
        """
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
                return f"{node.name} is at epoch {epoch.number} of {epoch.members}, but {running} run"
        return ""
