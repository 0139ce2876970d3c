"""Where members stand: their addresses, zones and regions, the delays between them, their processes. No I/O.

Member i has a loopback address of its own in the run's net 127.N, and its zone follows from the address, so
that every process can tell the delay to any peer without a table.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil

from merlinbay.scale.plan import RolePlan, ScalePlan, Topology

FIRST_BLOCK = 2  # 127.N.2.1 is the first address: what ``rig.run.own_net`` looks at to find a net in use
BLOCK = 250


def address_of(net: int, number: int) -> str:
    """Return the address of a member."""
    return f"127.{net}.{FIRST_BLOCK + number // BLOCK}.{1 + number % BLOCK}"


def number_of(address: str) -> int:
    """Return the member of an address."""
    _, _, block, host = address.split(".")
    return (int(block) - FIRST_BLOCK) * BLOCK + int(host) - 1


def zone_of(topology: Topology, number: int) -> int:
    """Return a member's zone: they are dealt out in turn."""
    return number % topology.zones


def region_of(topology: Topology, zone: int) -> int:
    """Return a zone's region."""
    return zone % topology.regions


def delay_s(topology: Topology, one: int, other: int) -> float:
    """Return how long a message takes from a member to another one."""
    zone, far_zone = zone_of(topology, one), zone_of(topology, other)
    if zone == far_zone:
        return topology.same_zone_ms / 1000
    if region_of(topology, zone) == region_of(topology, far_zone):
        return topology.same_region_ms / 1000
    return topology.between_regions_ms / 1000


@dataclass(frozen=True)
class ProcessLayout:
    """One hollow process: its role and the numbers of its members."""

    role: RolePlan
    numbers: tuple[int, ...]


def layout(
    plan: ScalePlan, size: int, real: dict[str, int]
) -> tuple[list[ProcessLayout], dict[str, list[int]]]:
    """Deal the members of a size out; ``real``: so many of a role, its last ones, get their own process.

    Return the hollow processes, and the numbers of the real members by role.
    """
    processes: list[ProcessLayout] = []
    alone: dict[str, list[int]] = {}
    first = 0
    for role in plan.role:
        count = plan.members_of(role, size)
        hollow = count - real.get(role.role, 0)
        numbers = range(first, first + hollow)
        parts = ceil(hollow / role.members_per_process)
        processes += [ProcessLayout(role, tuple(numbers[part::parts])) for part in range(parts)]
        alone[role.role] = list(range(first + hollow, first + count))
        first += count
    return processes, alone
