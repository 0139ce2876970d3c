"""Whether a size fits the limits of its plan, reckoned before anything is started. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from merlinbay.scale.layout import layout
from merlinbay.scale.plan import ScalePlan
from merlinbay.scale.roles import MemberNeed

MIB = 1024 * 1024
PROCESS_BYTES = 36 * MIB  # a hollow process without members, and a real one: measured 28 to 34 MiB
PROCESS_CORES = 0.002


@dataclass(frozen=True)
class SizeNeed:
    """What a size takes."""

    memory_bytes: int
    processes: int
    cores: float


def need_of(plan: ScalePlan, size: int, real: dict[str, int], needs: dict[str, MemberNeed]) -> SizeNeed:
    """Reckon what a size needs, the process that leads the run included."""
    hollow, alone = layout(plan, size, real)
    processes = 1 + len(hollow) + sum(map(len, alone.values()))
    memory, cores = float(processes * PROCESS_BYTES), processes * PROCESS_CORES
    for role in plan.role:
        members, need = plan.members_of(role, size), needs[role.role]
        memory += members * (need.memory_bytes + need.memory_bytes_a_member * size)
        cores += members * (need.cores + need.cores_a_member * size)
    return SizeNeed(int(memory), processes, cores)


def unfit(plan: ScalePlan, size: int, real: dict[str, int], needs: dict[str, MemberNeed]) -> str:
    """Return why a size does not fit, in one line; empty: it does."""
    need, limits = need_of(plan, size, real, needs), plan.limits
    if need.processes > limits.processes:
        return f"size {size}: {need.processes} processes, over limits.processes = {limits.processes}"
    if need.memory_bytes > limits.memory_mib * MIB:
        mib = need.memory_bytes // MIB
        return f"size {size}: some {mib} MiB, over limits.memory_mib = {limits.memory_mib}"
    if need.cores > limits.cores:
        return f"size {size}: some {need.cores:.1f} cores, over limits.cores = {limits.cores:g}"
    return ""
