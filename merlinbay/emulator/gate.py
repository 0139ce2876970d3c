"""The fleet's days at a size that a minute allows, and the terms that a version has to keep on each.

The terms are the standing trial's: no rule broken; served in time at least half of what a policy serves that
sees the true state up to a second late; on the calm day also the plainest policy's share less 0.05, or the
late one's less 0.1, whichever is lower.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from merlinbay.emulator import spec
from merlinbay.emulator.simulation import SimulationResult, play

DAYS = ["fleet-calm", "fleet-roll", "fleet-herd", "fleet-zone", "fleet-split", "fleet-join", "fleet-silent"]
CALM = "fleet-calm"
HALF, PLAIN_LESS, LATE_LESS = 0.5, 0.05, 0.1
POLICIES = ("module", "random", "late", "oracle")


@dataclass(frozen=True)
class Played:
    """One day, by the module and by what it is held against."""

    name: str
    module: SimulationResult
    random: SimulationResult
    late: SimulationResult
    oracle: SimulationResult

    @property
    def wanted(self) -> float:
        """Return the share in time that the gate wants."""
        half = HALF * self.late.in_time
        if self.name != CALM:
            return half
        return max(half, min(self.random.in_time - PLAIN_LESS, self.late.in_time - LATE_LESS))

    @property
    def score(self) -> float:
        """Return 0 for what chance reaches, 1 for the middle of those that see true states; 0 if broken."""
        top = (self.late.figure + self.oracle.figure) / 2
        if self.module.broken or top <= self.random.figure:
            return 0.0
        return (self.module.figure - self.random.figure) / (top - self.random.figure)

    @property
    def failure(self) -> str:
        """Return why the gate does not let this pass; empty: it does."""
        if self.module.broken:
            return self.module.broken
        if self.module.in_time < self.wanted:
            return f"{self.module.in_time:.3f} in time, {self.wanted:.3f} wanted"
        return ""


def script(name: str, nodes: int = 0, servers: int = 0, seconds: float = 0) -> spec.Scenario:
    """Return a day, at another size if that is asked for. Raises ``BadScript``."""
    day = spec.load(name)
    hall = msgspec.structs.replace(
        day.hall, nodes=nodes or day.hall.nodes, servers=servers or day.hall.servers
    )
    troubles = [
        msgspec.structs.replace(trouble, nodes=[node for node in trouble.nodes if node < hall.nodes])
        for trouble in day.trouble
    ]
    day = msgspec.structs.replace(day, hall=hall, trouble=troubles, seconds=seconds or day.seconds)
    spec.check(day)
    return day


def one(asked: tuple[str, str, int, int, int, float]) -> SimulationResult:
    """Play a day by one policy: name, policy, seed, nodes, servers, seconds (0: as the script says)."""
    name, policy, seed, nodes, servers, seconds = asked
    return play(script(name, nodes, servers, seconds), seed, policy)


def together(results: list[SimulationResult]) -> list[Played]:
    """Put the plays of each day together, in the order of the days."""
    by = {(result.script, result.policy): result for result in results}
    names = dict.fromkeys(result.script for result in results)
    return [Played(name, *(by[name, policy] for policy in POLICIES)) for name in names]
