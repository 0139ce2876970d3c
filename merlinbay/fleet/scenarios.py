"""Random fault scenarios by seed: joins, crashes, partitions, loss, pauses, lost disks; and their invariants.

During the faults, no node is declared dead while it runs, the accuser can reach it directly or through a
third node, and no fault has affected either of them recently. Without loss, no such node is even suspected,
and a death is soon known to all. After the faults, all views are the same, and the last epoch has the members
that run.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from merlinbay.fleet.effects import MembershipEvent, MembershipEventKind
from merlinbay.fleet.settings import FleetSettings
from merlinbay.fleet.simulated_node import SimulatedNode
from merlinbay.fleet.simulation import FleetSimulation, InvariantViolationError

FAULTS_END_S = 72.0  # time by which all faults have ended
CONVERGENCE_S = 75.0  # time after the faults within which all views of up to nine nodes become the same
LOSSLESS_S = 35.0  # last part of the convergence time, in which no packet is lost
AFTERMATH_S = 40.0  # time after a fault for which nodes may still act on outdated states
DISSEMINATION_S = (
    6.5  # time of a push/pull and rounds of gossip, after which a death is known to all without loss
)
# Share of the scenarios with a single fault that affects no other node. These have the strictest checks.
SINGLE_FAULT_SHARE = 0.4
FOREVER_S = 1e9


@dataclass
class FaultWindow:
    """The time of a fault that affects a node, and which declarations of death it explains."""

    name: str
    since_s: float
    until_s: float
    may_be_declared_dead: bool = True  # whether others may declare the node dead
    may_declare_others_dead: bool = True  # whether the node may declare others dead


@dataclass
class DeathObserver:
    """Checks each event of a scenario."""

    sim: FleetSimulation
    is_lossless: bool  # whether the network neither loses nor reorders packets
    windows: list[FaultWindow] = field(default_factory=list)
    deaths: dict[str, list[float]] = field(default_factory=dict)  # times of the reports of each node's death

    def add_fault_windows(
        self,
        names: list[str],
        since_s: float,
        until_s: float,
        may_be_declared_dead: bool = True,
        may_declare_others_dead: bool = True,
    ) -> None:
        """Add a fault that affects some nodes."""
        self.windows += [
            FaultWindow(name, since_s, until_s, may_be_declared_dead, may_declare_others_dead)
            for name in names
        ]

    def is_explained(self, accuser: str, name: str, at_s: float) -> bool:
        """Return whether a fault explains that a node declares another one dead."""
        return any(
            window.since_s <= at_s <= window.until_s + AFTERMATH_S
            and (
                (window.may_be_declared_dead and window.name == name)
                or (window.may_declare_others_dead and window.name == accuser)
            )
            for window in self.windows
        )

    def __call__(self, node: SimulatedNode, event: MembershipEvent) -> None:
        """Check one event. Raises ``InvariantViolationError``."""
        if event.kind is MembershipEventKind.DIED:
            self.deaths.setdefault(event.subject, []).append(self.sim.now_s)
        elif event.kind is not MembershipEventKind.SUSPECTED or not self.is_lossless:
            return
        subject = self.sim.nodes[event.subject]
        if subject.view is None or subject.is_stopped or subject.view.local.is_leaving or node.view is None:
            return
        accuser = node.view.table.members[event.subject].state.accuser or node.name
        if not self.is_explained(accuser, event.subject, self.sim.now_s):
            raise InvariantViolationError(
                f"{self.sim.now_s:.3f}: {node.name} reports that {event.subject} {event.kind}, by {accuser}, "
                f"but no fault affected either of them"
            )

    def check_dissemination(self) -> None:
        """Check that each death was known to all soon. Raises ``InvariantViolationError``."""
        for name, times in self.deaths.items():
            if max(times) - min(times) > DISSEMINATION_S:
                raise InvariantViolationError(
                    f"the death of {name} was known to all after {max(times) - min(times):.1f} s"
                )


@dataclass
class FaultPlan:
    """Schedules faults of a simulation."""

    sim: FleetSimulation
    observer: DeathObserver
    rng: Random
    is_single: bool = False  # whether only one fault is scheduled

    def schedule(self, kinds: list[str], number: int) -> None:
        """Schedule faults of random kinds. The order of the random draws determines a seed's scenario."""
        self.is_single = number == 1
        names = list(self.sim.nodes)
        disk_keeper = self.rng.choice(names)  # never loses its disk, so that an epoch is remembered
        for _ in range(number):
            at_s, for_s = self.rng.uniform(8, 45), self.rng.uniform(1, 25)
            node = self.sim.nodes[self.rng.choice(names)]
            kind = self.rng.choice(kinds)
            if kind != "disk" or node.name != disk_keeper:
                FAULTS[kind](self, node, at_s, at_s + for_s)

    def crash(self, node: SimulatedNode, at_s: float, until_s: float) -> None:
        """End a process permanently."""
        self.sim.schedule(at_s, node.kill)
        self.observer.add_fault_windows([node.name], at_s, FOREVER_S, may_declare_others_dead=False)

    def crash_for_a_while(self, node: SimulatedNode, at_s: float, until_s: float) -> None:
        """End a process, and start it again after the fault's duration."""
        self.sim.schedule(at_s, node.kill)
        self.sim.schedule(until_s, node.start_if_down)
        self.observer.add_fault_windows([node.name], at_s, until_s, may_declare_others_dead=False)

    def restart(self, node: SimulatedNode, at_s: float, until_s: float) -> None:
        """End a process, and start it at once."""
        self.sim.schedule(at_s, node.restart)
        self.observer.add_fault_windows([node.name], at_s, at_s, may_declare_others_dead=False)

    def restart_in_a_loop(self, node: SimulatedNode, at_s: float, until_s: float) -> None:
        """Restart a process eight times, at intervals of 1.5 s."""
        for number in range(8):
            self.sim.schedule(at_s + number * 1.5, node.restart)
        self.observer.add_fault_windows([node.name], at_s, at_s + 12, may_declare_others_dead=False)

    def lose_disk(self, node: SimulatedNode, at_s: float, until_s: float) -> None:
        """Restart a process with an empty disk."""
        self.sim.schedule(at_s, node.lose_disk)
        self.observer.add_fault_windows([node.name], at_s, at_s, may_declare_others_dead=False)

    def leave(self, node: SimulatedNode, at_s: float, until_s: float) -> None:
        """Make a node leave the fleet, and end its process after 3 s."""
        self.sim.schedule(at_s, node.leave)
        self.sim.schedule(at_s + 3, node.kill)
        self.observer.add_fault_windows([node.name], at_s, FOREVER_S, may_declare_others_dead=False)

    def partition(self, node: SimulatedNode, at_s: float, until_s: float) -> None:
        """Partition the fleet into two random sides."""
        names = list(self.sim.nodes)
        side = set(self.rng.sample(names, self.rng.randint(1, len(names) - 1)))
        links = [(a, b) for a in names for b in names if (a in side) != (b in side)]
        self.sim.schedule(at_s, self._cut, links, until_s)
        self.observer.add_fault_windows(names, at_s, until_s)

    def cut_outgoing(self, node: SimulatedNode, at_s: float, until_s: float) -> None:
        """Cut the links from a node to some others, in this direction only."""
        names = list(self.sim.nodes)
        links = [(node.name, peer) for peer in self.rng.sample(names, self.rng.randint(1, len(names)))]
        self.sim.schedule(at_s, self._cut, links, until_s)
        self.observer.add_fault_windows(names, at_s, until_s)

    def cut_pair(self, node: SimulatedNode, at_s: float, until_s: float) -> None:
        """Cut the link between two nodes.

        As a single fault it explains no death, because both nodes can still reach a third one.
        """
        peer = self.rng.choice([name for name in self.sim.nodes if name != node.name])
        self.sim.schedule(at_s, self._cut, [(node.name, peer), (peer, node.name)], until_s)
        if not self.is_single:
            self.observer.add_fault_windows([node.name, peer], at_s, until_s)

    def stop(self, node: SimulatedNode, at_s: float, until_s: float) -> None:
        """Stop a process by a signal, and continue it after the fault's duration."""
        self.sim.schedule(at_s, setattr, node, "is_stopped", True)
        self.sim.schedule(until_s, node.resume)
        self.observer.add_fault_windows([node.name], at_s, until_s, may_declare_others_dead=False)

    def _cut(self, links: list[tuple[str, str]], until_s: float) -> None:
        nodes, cut_links = self.sim.nodes, self.sim.net.cut_links
        added = {(nodes[a].addr, nodes[b].addr) for a, b in links}
        cut_links |= added
        self.sim.schedule(until_s, cut_links.difference_update, added)


FAULTS: dict[str, Callable[[FaultPlan, SimulatedNode, float, float], None]] = {
    "kill": FaultPlan.crash,
    "away": FaultPlan.crash_for_a_while,
    "restart": FaultPlan.restart,
    "leave": FaultPlan.leave,
    "part": FaultPlan.partition,
    "one way": FaultPlan.cut_outgoing,
    "pair": FaultPlan.cut_pair,
    "stop": FaultPlan.stop,
    "loop": FaultPlan.restart_in_a_loop,
    "disk": FaultPlan.lose_disk,
}
SINGLE_FAULTS = ["kill", "pair", "stop"]


def run_scenario(seed: int, check: bool = True) -> FleetSimulation:
    """Run the scenario of a seed: faults for about a minute, then time to converge without faults.

    Raises ``InvariantViolationError`` unless ``check`` is off.
    """
    rng = Random(f"{seed}/story")
    count = rng.randint(3, 9)
    expect = rng.choice([0, count])
    settings = FleetSettings(name="sim", listen="x", keys="x", data="x", exchange=5.0, expect=expect)
    sim = FleetSimulation(seed, count, settings)
    sim.net.loss_share = rng.choice([0.0, 0.0, 0.05, 0.3])
    sim.net.duplicate_share, sim.net.reorder_share = rng.choice([0.0, 0.1]), rng.choice([0.0, 0.2])
    observer = DeathObserver(sim, is_lossless=not sim.net.loss_share and not sim.net.reorder_share)
    if check:
        sim.observe = observer
    for node in sim.nodes.values():
        sim.schedule(rng.random() * rng.choice([0.1, 5.0]), node.start)
    is_single = rng.random() < SINGLE_FAULT_SHARE
    if is_single:
        FaultPlan(sim, observer, rng).schedule(SINGLE_FAULTS, 1)
    else:
        kinds = [kind for kind in FAULTS if expect or kind != "disk"]
        FaultPlan(sim, observer, rng).schedule(kinds, rng.randint(1, 6))
    _run(sim, FAULTS_END_S, 1.0, check)
    sim.net.loss_share = min(sim.net.loss_share, 0.05)
    _run(sim, FAULTS_END_S + CONVERGENCE_S - LOSSLESS_S, 5.0, check)
    # A packet lost just before the last check would leave a suspicion behind.
    sim.net.loss_share = 0.0
    _run(sim, FAULTS_END_S + CONVERGENCE_S, 5.0, check)
    if check and is_single and observer.is_lossless:
        observer.check_dissemination()
    if check and (mismatch := sim.view_mismatch() or sim.epoch_mismatch()):
        raise InvariantViolationError(f"seed {seed}: {CONVERGENCE_S:g} s after the last fault, {mismatch}")
    return sim


def _run(sim: FleetSimulation, until_s: float, step_s: float, check: bool) -> None:
    while sim.now_s < until_s:
        sim.run(min(sim.now_s + step_s, until_s))
        if check:
            sim.check()
