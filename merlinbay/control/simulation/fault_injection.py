"""Injects the faults of a scenario into a running simulation.

All faults are planned when the injector is created. Each is carried out at its time, unless the faults have
been ended before.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import product

from merlinbay.control.simulation.fault_types import (
    Crash,
    CrashAfterVote,
    CrashLeaders,
    Cut,
    CutOff,
    DiskFull,
    Fault,
    MoveLeadership,
    MoveVoter,
    Pause,
)
from merlinbay.control.simulation.network import FaultyNetwork
from merlinbay.control.simulation.process import SimulatedProcess
from merlinbay.control.simulation.scenario import ControlScenario
from merlinbay.control.simulation.scheduler import Scheduler

CUT_AFTER_TRANSFER_S = 0.005  # longer than most syncs, so that TimeoutNow has been sent

Pairs = list[tuple[str, str]]


class FaultInjector:
    """Plans all faults of a scenario; ``end`` undoes those that are still in effect."""

    def __init__(
        self,
        scenario: ControlScenario,
        scheduler: Scheduler,
        network: FaultyNetwork,
        hosts: dict[str, SimulatedProcess],
        leader: Callable[[], SimulatedProcess | None],
        move_voters: Callable[[tuple[float, ...]], None],
        trace: Callable[[str], None],
    ) -> None:
        """Plan the faults."""
        self.scenario = scenario
        self.scheduler = scheduler
        self.network = network
        self.hosts = hosts
        self.leader = leader
        self.move_voters = move_voters
        self.trace = trace
        self.over = False
        for fault in scenario.faults:
            self._plan(fault)

    def _plan(self, fault: Fault) -> None:
        def begin() -> None:
            if not self.over:
                self._inject(fault)

        self.scheduler.at(fault.at, begin)

    def _inject(self, fault: Fault) -> None:
        self.trace(repr(fault))
        match fault:
            case Crash():
                self._crash(fault)
            case CrashAfterVote():
                for name in fault.voters:
                    self.hosts[name].crashes.arm_at_vote(fault.down_for, fault.loses_disk)
            case CrashLeaders():
                leader = self.leader() if fault.spares_leader else None
                for name, effects, down_for in fault.victims:
                    if self.hosts[name] is not leader:
                        self.hosts[name].crashes.arm_as_leader(effects, down_for)
            case Pause():
                self._pause(fault)
            case Cut():
                self._cut_machines(fault)
            case CutOff():
                self._cut_off(fault)
            case DiskFull():
                disk = self.hosts[fault.voter].disk
                disk.fill()
                self.scheduler.after(fault.span, disk.free)
            case MoveLeadership():
                self._move_leadership(fault)
            case MoveVoter():
                self.move_voters(fault.choices)

    def _crash(self, fault: Crash) -> None:
        host = self.hosts[fault.voter] if fault.voter else self.leader()
        if host is None:
            return
        if not fault.loses_disk:
            host.crashes.arm(fault.effects, fault.down_for)
            return
        host.crash(fault.down_for)
        host.disk.lose()

    def _move_leadership(self, fault: MoveLeadership) -> None:
        leader = self.leader()
        if leader is None:
            return
        leader.give(lambda voter, now: voter.transfer_leadership(now))
        if fault.cut_for:
            others = sorted(self.hosts.keys() - {leader.name})
            pairs = [*product([leader.name], others), *product(others, [leader.name])]
            self.scheduler.after(CUT_AFTER_TRANSFER_S, lambda: self._cut(pairs, fault.cut_for))

    def _pause(self, fault: Pause) -> None:
        host = self.hosts[fault.voter] if fault.voter else self.leader()
        if host is not None and not host.paused:
            host.pause()
            self.trace(f"{host.name} is stopped for {fault.span:.3f} s")
            self.scheduler.after(fault.span, host.resume)

    def _cut_off(self, fault: CutOff) -> None:
        regions = self.scenario.regions
        inside = [place for place, region in regions.items() if region == fault.region]
        outside = [place for place, region in regions.items() if region != fault.region]
        self._cut([*product(inside, outside), *product(outside, inside)], fault.span)

    def _cut_machines(self, fault: Cut) -> None:
        inside = set(fault.inside)
        leader = self.leader()
        if fault.with_leader and leader is not None:
            inside.add(leader.name)
        outside = sorted(self.hosts.keys() - inside)
        pairs: Pairs = []
        if fault.stops_outgoing:
            pairs += product(sorted(inside), outside)
        if fault.stops_incoming:
            pairs += product(outside, sorted(inside))
        self._cut(pairs, fault.span)

    def _cut(self, pairs: Pairs, span: float) -> None:
        self.network.cut(pairs)
        self.scheduler.after(span, lambda: self._heal(pairs))

    def _heal(self, pairs: Iterable[tuple[str, str]]) -> None:
        if not self.over:
            self.network.heal(pairs)
            self.trace("a cut is healed")

    def end(self) -> None:
        """End all cuts, pauses, full disks and armed crashes, and start the processes that are down."""
        self.over = True
        self.network.heal_all()
        for host in self.hosts.values():
            host.disk.free()
            host.crashes.disarm()
            host.resume()
            host.start()
