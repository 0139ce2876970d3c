"""A fleet in virtual time, and what must hold of it at any moment; ``stories`` plays troubles by a seed.

One seed gives one history, in any process. Sockets and clocks are played; the rest is the code that runs.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from merlinbay.fleet import wire
from merlinbay.fleet.agreeing import AgreeingView
from merlinbay.fleet.effects import Event, Exchange, Send
from merlinbay.fleet.epochs import Epoch, Epochs, Kept, identity
from merlinbay.fleet.members import Health
from merlinbay.fleet.settings import Fleet
from merlinbay.fleet.view import fresh

KEYS = wire.Keys((b"k" * 32,))


class InvariantViolationError(Exception):
    """Something does not hold that must; the text says what, when and at which node."""


@dataclass
class Net:
    """What the network does to packets."""

    delay: float = 0.002  # seconds, half of it at the least
    loss: float = 0.0
    twice: float = 0.0  # share that comes a second time
    late: float = 0.0  # share that is overtaken: up to half a second later
    cut: set[tuple[str, str]] = field(default_factory=set)  # from, to: nothing comes through


class Node:
    """One process: its view and its place."""

    def __init__(self, sim: Simulation, name: str, addr: str) -> None:
        self.sim, self.name, self.addr = sim, name, addr
        self.boots = 0
        self.view: AgreeingView | None = None
        self.kept: Kept | None = None  # on its disk,
        self.disk = 0  # which is so many-th
        self.stopped = False  # by a signal, not by an end
        self.wake = math.inf
        self.held: list[tuple[Callable[..., None], tuple[Any, ...]]] = []  # came while it was stopped
        self.seen: dict[str, int] = {}  # the highest incarnation it has held of each
        self.log: list[Event] = []

    def start(self) -> None:
        """Start, or start again."""
        self.boots += 1
        self.seen = {}
        sim = self.sim
        seeds = [node.addr for node in list(sim.nodes.values())[:3]]
        section = sim.section
        me = fresh(self.name, self.addr, "", self.boots << 16, sim.rng.getrandbits(62), {})
        me.disk = str(self.disk)
        rng = Random(sim.rng.getrandbits(64))
        epochs = Epochs(
            identity(self.name, str(self.disk)), section.expect, self.kept, self._store, rng.random
        )
        self.view = AgreeingView(section, KEYS, me, rng, sim.now, epochs)
        self.view.seeds = seeds
        self.view.start()
        self.after()

    def _store(self, kept: Kept) -> None:
        if kept.epoch.number:
            self.sim.agreed(self.name, kept.epoch)
        self.kept = kept

    def lose_disk(self) -> None:
        """End, and start with nothing."""
        self.kill()
        self.kept, self.boots, self.disk = None, 0, self.disk + 1
        self.start()

    def kill(self) -> None:
        """End at once."""
        self.view, self.stopped, self.held = None, False, []

    def come_back(self) -> None:
        """Start, if it does not run."""
        if self.view is None:
            self.start()

    def leave(self) -> None:
        """Leave on purpose."""
        if self.view is not None:
            self.view.leave()
            self.after()

    def resume(self) -> None:
        """Go on after a stop; what came meanwhile is read first."""
        self.stopped, held, self.held = False, self.held, []
        if self.view is not None:
            self.view.tick(self.sim.now)
        for call, args in held[-200:]:
            call(*args)
        self.after()

    def after(self) -> None:
        """Carry out what the view wants, and see to its next tick."""
        view, sim = self.view, self.sim
        if view is None:
            return
        for effect in view.take():
            sim.carry(self, effect)
        told = view.told()
        self.log += told
        for event in told:
            sim.watch(self, event)
        if len(self.log) > 4000:
            del self.log[:2000]
        due = view.next_at()
        if due < self.wake:
            self.wake = due
            sim.at(due, self._tick, self.boots, due)

    def _tick(self, boots: int, due: float) -> None:
        if self.wake == due:
            self.wake = math.inf
        if self.view is None or boots != self.boots:
            return
        if self.stopped:
            return
        self.view.tick(self.sim.now)
        self.after()


class Simulation:
    """Nodes, a network, and the time."""

    def __init__(self, seed: int, count: int, section: Fleet | None = None) -> None:
        self.rng, self.now = Random(seed), 0.0
        self.section = section or Fleet(name="sim", listen="x", keys="x", exchange=5.0)
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.number = 0
        self.net = Net()
        self.nodes: dict[str, Node] = {}
        self.by_addr: dict[str, Node] = {}
        self.packets = self.bytes = 0
        self.epochs: dict[int, Epoch] = {}  # every one that any node has taken for chosen
        self.watch: Callable[[Node, Event], None] = lambda node, event: None  # is told of all that happens
        for number in range(count):
            self.add(f"n{number}")

    def add(self, name: str) -> Node:
        """Add a node that has not started."""
        addr = f"10.0.{len(self.nodes) // 250}.{len(self.nodes) % 250}:7000"
        node = self.nodes[name] = self.by_addr[addr] = Node(self, name, addr)
        return node

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Have something done at a time."""
        self.number += 1
        heapq.heappush(self.queue, (when, self.number, call, args))

    def run(self, until: float) -> None:
        """Go on until then."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.queue)
            call(*args)
        self.now = until

    def agreed(self, node: str, epoch: Epoch) -> None:
        """Note an epoch that a node has as chosen.

        Raises ``InvariantViolationError`` where another differs.
        """
        known = self.epochs.setdefault(epoch.number, epoch)
        if known != epoch:
            raise InvariantViolationError(
                f"{self.now:.3f}: {node} has epoch {epoch.number} as {epoch.members}, not {known.members}"
            )

    # The network.

    def carry(self, node: Node, effect: Send | Exchange) -> None:
        """Carry a datagram or a frame."""
        net, other = self.net, self.by_addr.get(effect.addr)
        wait = net.delay * self.rng.uniform(0.5, 1.5)
        if isinstance(effect, Send):
            if len(effect.data) > wire.DATAGRAM:
                raise InvariantViolationError(
                    f"{self.now:.3f}: {node.name} sends a datagram of {len(effect.data)} bytes"
                )
            self.packets, self.bytes = self.packets + 1, self.bytes + len(effect.data)
            if other is None or (node.addr, effect.addr) in net.cut or self.rng.random() < net.loss:
                return
            if net.late and self.rng.random() < net.late:
                wait += self.rng.random() * 0.5
            self.at(self.now + wait, self._datagram, other, node.addr, effect.data)
            if net.twice and self.rng.random() < net.twice:
                self.at(self.now + wait * 3, self._datagram, other, node.addr, effect.data)
            return
        self.bytes += len(effect.data)
        blocked = {(node.addr, effect.addr), (effect.addr, node.addr)} & net.cut
        if other is None or other.view is None or other.stopped or blocked:
            self.at(self.now + 1.0, self._answer, node, node.boots, effect.token, None)
            return
        self.at(self.now + wait, self._frame, other, node, node.boots, effect)

    def _datagram(self, node: Node, source: str, data: bytes) -> None:
        if node.view is None:
            return
        if node.stopped:
            node.held.append((self._datagram, (node, source, data)))
            return
        node.view.datagram(self.now, source, data)
        node.after()

    def _frame(self, node: Node, back: Node, boots: int, effect: Exchange) -> None:
        answer = None
        if node.view is not None and not node.stopped:
            try:
                answer = node.view.frame(self.now, back.addr, effect.data)
            except wire.MessageRejectedError:
                answer = None
            node.after()
            self.bytes += len(answer or b"")
        self.at(self.now + self.net.delay, self._answer, back, boots, effect.token, answer)

    def _answer(self, node: Node, boots: int, token: int, data: bytes | None) -> None:
        if node.view is None or node.boots != boots:
            return
        if node.stopped:
            node.held.append((self._answer, (node, boots, token, data)))
            return
        node.view.exchanged(self.now, token, data)
        node.after()

    # What must hold.

    def live(self) -> list[Node]:
        """Return the nodes that run."""
        return [node for node in self.nodes.values() if node.view is not None and not node.stopped]

    def check(self) -> None:
        """Check what holds at any time. Raises ``InvariantViolationError``."""
        most = 64 + 3 * len(self.nodes) + 8
        for node in self.live():
            assert node.view is not None
            if len(node.view.members) > most or len(node.view.timers) > 60 + 40 * len(node.view.members):
                raise InvariantViolationError(
                    f"{self.now:.3f}: {node.name} keeps {len(node.view.members)} members and "
                    f"{len(node.view.timers)} timers"
                )
            for member in node.view.members.values():
                if member.claim.incarnation < node.seen.get(member.name, 0):
                    raise InvariantViolationError(f"{self.now:.3f}: {member.name} went back at {node.name}")
                node.seen[member.name] = member.claim.incarnation

    def settled(self) -> str:
        """Return where the views differ from what is; empty: nowhere."""
        true = {node.name for node in self.live() if node.view is not None and not node.view.leaving}
        for node in self.live():
            assert node.view is not None
            if node.view.leaving:
                continue
            seen = {m.name for m in node.view.here()}
            if seen != true:
                return f"{node.name} sees {sorted(seen - true)} too many and lacks {sorted(true - seen)}"
            ill = [m.name for m in node.view.here() if m.health is not Health.ALIVE]
            if ill:
                return f"{node.name} still suspects {sorted(ill)}"
        return ""

    def agrees(self) -> str:
        """Return where the last epoch is not what is there, though a majority of it is; empty: nowhere."""
        if not self.section.expect:
            return ""
        true = tuple(
            sorted(
                identity(n.name, str(n.disk))
                for n in self.live()
                if n.view is not None and not n.view.leaving
            )
        )
        last = self.epochs[max(self.epochs)] if self.epochs else Epoch()
        voters = [one for one in true if not last.number or one in last.members]
        if len(voters) < (len(last.members) // 2 + 1 if last.number else self.section.expect):
            return ""
        for node in self.live():
            if node.view is not None and not node.view.leaving and node.view.epochs.epoch.members != true:
                epoch = node.view.epochs.epoch
                return f"{node.name} is at epoch {epoch.number}, {epoch.members}; there are {true}"
        return ""
