"""A node of the simulation: its process, while it runs, and its disk.

``FleetSimulation`` calls it for packets, timers and faults, and carries out the effects of its view.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from merlinbay.fleet.effects import Effect, MembershipEvent
from merlinbay.fleet.epoch_messages import Epoch
from merlinbay.fleet.epochs import AcceptorState, EpochConsensus, voter_id
from merlinbay.fleet.incarnation_store import REFUTATION_BITS
from merlinbay.fleet.settings import FleetSettings
from merlinbay.fleet.view import View, initial_state
from merlinbay.fleet.wire import Keys

KEYS = Keys((b"k" * 32,))
MAX_BACKLOG = 200  # packets that a stopped process reads when it goes on
MAX_LOG = 4000  # events that a node keeps; above this, the older half is dropped


class NodeEnvironment(Protocol):
    """The part of the simulation that a node uses."""

    rng: Random
    now_s: float
    settings: FleetSettings
    nodes: dict[str, SimulatedNode]
    observe: Callable[[SimulatedNode, MembershipEvent], None]

    def schedule(self, at_s: float, call: Callable[..., None], *args: Any) -> None:
        """Call a function at a given time."""

    def transmit(self, node: SimulatedNode, effect: Effect) -> None:
        """Carry out an effect of a node's view: deliver, delay or lose its message."""

    def check_epoch(self, node: str, epoch: Epoch) -> None:
        """Check an epoch that a node has learned against the epochs of the others."""


class SimulatedNode:
    """A node: its process, while it runs, and its disk."""

    def __init__(self, sim: NodeEnvironment, name: str, addr: str) -> None:
        self.sim, self.name, self.addr = sim, name, addr
        self.start_count = 0
        self.view: View | None = None  # None while the process does not run
        self.acceptor: AcceptorState | None = None  # acceptor state on the node's disk
        self.disk_number = 0  # increased with each lost disk
        self.is_stopped = False  # whether a signal has stopped the process
        self._wake_at_s = math.inf
        self.backlog: list[tuple[Callable[..., None], tuple[Any, ...]]] = []  # calls delayed while stopped
        self.incarnations: dict[
            str, int
        ] = {}  # highest incarnation of each member that this process has seen
        self.log: list[MembershipEvent] = []

    def start(self) -> None:
        """Start a process, which joins by the first three nodes as seeds."""
        self.start_count += 1
        self.incarnations = {}
        sim = self.sim
        seeds = [node.addr for node in list(sim.nodes.values())[:3]]
        incarnation = self.start_count << REFUTATION_BITS
        state = initial_state(self.name, self.addr, "", incarnation, sim.rng.getrandbits(62), {})
        state.disk_id = str(self.disk_number)
        rng = Random(sim.rng.getrandbits(64))
        consensus = EpochConsensus(self.voter_id, sim.settings.expect, self.acceptor, self._store, rng.random)
        self.view = View(sim.settings, KEYS, state, rng, sim.now_s, consensus)
        self.view.push_pull.seeds = seeds
        self.view.start()
        self.flush()

    @property
    def voter_id(self) -> str:
        """Return the id of this node with its current disk in epochs."""
        return voter_id(self.name, str(self.disk_number))

    def _store(self, state: AcceptorState) -> None:
        if state.epoch.number:
            self.sim.check_epoch(self.name, state.epoch)
        self.acceptor = state

    def lose_disk(self) -> None:
        """End the process, and start it with an empty disk."""
        self.kill()
        self.acceptor, self.start_count, self.disk_number = None, 0, self.disk_number + 1
        self.start()

    def kill(self) -> None:
        """End the process at once."""
        self.view, self.is_stopped, self.backlog = None, False, []

    def restart(self) -> None:
        """End the process at once, and start it again."""
        self.kill()
        self.start()

    def start_if_down(self) -> None:
        """Start the process if it does not run."""
        if self.view is None:
            self.start()

    def leave(self) -> None:
        """Announce that the node leaves the fleet."""
        if self.view is not None:
            self.view.leave()
            self.flush()

    def resume(self) -> None:
        """Continue a stopped process: run the timers that are due, then the calls delayed meanwhile."""
        self.is_stopped, backlog, self.backlog = False, self.backlog, []
        if self.view is not None:
            self.view.tick(self.sim.now_s)
        for call, args in backlog[-MAX_BACKLOG:]:
            call(*args)
        self.flush()

    def flush(self) -> None:
        """Carry out the view's effects, and schedule its next tick."""
        view, sim = self.view, self.sim
        if view is None:
            return
        for effect in view.take_effects():
            sim.transmit(self, effect)
        events = view.take_events()
        self.log += events
        for event in events:
            sim.observe(self, event)
        if len(self.log) > MAX_LOG:
            del self.log[: MAX_LOG // 2]
        due_at_s = view.next_at_s()
        if due_at_s < self._wake_at_s:
            self._wake_at_s = due_at_s
            sim.schedule(due_at_s, self._tick, self.start_count, due_at_s)

    def _tick(self, start_count: int, due_at_s: float) -> None:
        if self._wake_at_s == due_at_s:
            self._wake_at_s = math.inf
        if self.view is None or start_count != self.start_count or self.is_stopped:
            return
        self.view.tick(self.sim.now_s)
        self.flush()
