"""The plan of a scale run, as types: who runs, at which sizes, what happens to them, what is measured.

A plan is a TOML file. Rates a day are of the whole run, not of a member.
"""

from __future__ import annotations

import tomllib
from importlib import resources
from pathlib import Path
from typing import Annotated

import msgspec

Seconds = Annotated[float, msgspec.Meta(ge=0, le=7200)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=10_000_000)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=0, le=10_000)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=10_000)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=5000)]
DAY_S = 86_400.0
MOST_MEMBERS = 250 * 250  # that the loopback net of a run has addresses for


class ScalePlanError(Exception):
    """A plan that cannot be run; one line with file, key and cause."""


class RunLimits(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """What a run may take of the machine."""

    memory_mib: Annotated[int, msgspec.Meta(ge=64, le=12 * 1024)] = 2048
    processes: Annotated[int, msgspec.Meta(ge=2, le=300)] = 300
    cores: Annotated[float, msgspec.Meta(gt=0, le=64)] = 2.0


class Topology(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Regions, zones, and how long a message takes one way between them."""

    regions: Annotated[int, msgspec.Meta(ge=1, le=50)] = 1
    zones: Annotated[int, msgspec.Meta(ge=1, le=250)] = 1
    same_zone_ms: Milliseconds = 0.0
    same_region_ms: Milliseconds = 0.0
    between_regions_ms: Milliseconds = 0.0


class RolePlan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """One role: how many members, how they are spread over processes, and its own settings."""

    role: str
    members: Count = 0  # 0: what the other roles leave of the size
    members_per_process: Positive = 100
    real: Annotated[int, msgspec.Meta(ge=0, le=200)] = 0  # of them, at every size: processes of the program
    settings: dict[str, int | float | str | bool] = {}


class Disturbances(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """What happens while it is measured. All times and subjects are drawn by the plan's seed."""

    failures_a_day: Rate = 0.0  # killed without a word, back after ``failure_down_s``
    restarts_a_day: Rate = 0.0  # leave on purpose, back after ``restart_down_s``
    rate_factor: Annotated[float, msgspec.Meta(ge=0, le=10_000)] = 1.0  # times both rates
    failure_down_s: Seconds = 60.0
    restart_down_s: Seconds = 5.0
    moving_gauges_share: Share = 0.0  # of members, whose gauges are news at every turn: starts and ends
    marker_gauges_a_day: Rate = 0.0  # one member's gauge, whose way to all others is timed
    single_death: bool = False  # in place of rates: one death, measured until all members agree on it
    changes_a_second: Rate = 0.0  # of the configuration
    burst_changes: Count = 0  # at once,
    burst_at_s: Seconds = 0.0  # so long after the measured part began
    kill_leader_at_s: Seconds = 0.0  # 0: not; back after ``failure_down_s``


class CalibrationPlan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """The step that puts real processes beside hollow members of the same role."""

    role: str
    size: Positive = 50
    real: Annotated[int, msgspec.Meta(ge=1, le=60)] = 8
    measured_s: Seconds = 30.0
    apply_ratio: bool = False  # multiply the hollow figures by real / hollow, and say so


class ScalePlan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """A run: the same roles and disturbances at each of the sizes."""

    name: str
    about: str = ""
    seed: int = 1
    sizes: Annotated[list[Positive], msgspec.Meta(min_length=1, max_length=20)]
    warm_up_s: Seconds = 10.0
    measured_s: Annotated[float, msgspec.Meta(gt=0, le=7200)] = 60.0
    idle_s: Annotated[float, msgspec.Meta(gt=0, le=600)] = 10.0  # that processes without the role are watched
    settle_most_s: Seconds = 120.0  # for all members to come to the expected state at the start
    drain_s: Seconds = 30.0  # after the measured part, for what is still under way to be observed
    # A start is news to all members, so that its price grows with them: starts a second times members.
    start_budget: Annotated[float, msgspec.Meta(gt=0, le=1_000_000)] = 1000.0
    limits: RunLimits = RunLimits()
    topology: Topology = Topology()
    fixed_beside_size: bool = False  # roles with a number of members come on top of the sizes
    role: Annotated[list[RolePlan], msgspec.Meta(min_length=1, max_length=10)]
    disturbances: Disturbances = Disturbances()
    calibration: CalibrationPlan | None = None

    def members_of(self, role: RolePlan, size: int) -> int:
        """Return how many members a role has at a size."""
        taken = 0 if self.fixed_beside_size else sum(other.members for other in self.role)
        return role.members or size - taken

    def real_members(self) -> dict[str, int]:
        """Return how many members of each role are processes of the program at every size."""
        return {role.role: role.real for role in self.role if role.real}


def _wrong(plan: ScalePlan, known: frozenset[str]) -> str:
    """Return what is wrong beyond the types: key and cause; empty: nothing."""
    for number, role in enumerate(plan.role):
        if known and role.role not in known:
            return f"role[{number}].role: {role.role!r} is none of {', '.join(sorted(known))}"
    if sum(role.members == 0 for role in plan.role) > 1:
        return "role: only one may leave members out, and takes what the others leave"
    if len({role.role for role in plan.role}) < len(plan.role):
        return "role: each role once"
    if not plan.fixed_beside_size and min(plan.sizes) < sum(role.members or 1 for role in plan.role):
        return f"sizes: {min(plan.sizes)} is less than the roles' members"
    for number, role in enumerate(plan.role):
        if role.real >= plan.members_of(role, min(plan.sizes)):
            return f"role[{number}].real: not less than its members, so that nothing is hollow"
    if max(plan.sizes) > MOST_MEMBERS:
        return f"sizes: over {MOST_MEMBERS}, there are no more addresses"
    if plan.topology.zones < plan.topology.regions:
        return "topology.zones: fewer than regions"
    return _wrong_calibration(plan)


def _wrong_calibration(plan: ScalePlan) -> str:
    calibration = plan.calibration
    if calibration is None:
        return ""
    if calibration.role not in {role.role for role in plan.role}:
        return f"calibration.role: {calibration.role!r} is no role of the plan"
    if calibration.real >= calibration.size:
        return "calibration.real: not less than calibration.size, so that nothing is hollow"
    return ""


def read(text: str, name: str, known: frozenset[str] = frozenset()) -> ScalePlan:
    """Read a plan's text; ``known``: the roles that there are. Raises ``ScalePlanError``."""
    try:
        plan = msgspec.convert(tomllib.loads(text), ScalePlan)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScalePlanError(f"{name}: {error}") from None
    if wrong := _wrong(plan, known):
        raise ScalePlanError(f"{name}: {wrong}")
    return plan


def lowered(plan: ScalePlan, cores: float | None, memory_mib: int | None) -> ScalePlan:
    """Return the plan with limits that are no higher than these."""
    limits = msgspec.structs.replace(
        plan.limits,
        cores=min(cores or plan.limits.cores, plan.limits.cores),
        memory_mib=min(memory_mib or plan.limits.memory_mib, plan.limits.memory_mib),
    )
    return msgspec.structs.replace(plan, limits=limits)


def library() -> dict[str, str]:
    """Return the texts of the plans that come with the program, by name."""
    folder = resources.files("merlinbay.scale") / "plans"
    return {
        entry.name.removesuffix(".toml"): entry.read_text()
        for entry in folder.iterdir()
        if entry.name.endswith(".toml")
    }


def load(name: str, known: frozenset[str] = frozenset()) -> ScalePlan:
    """Read a plan of the library by its name, or one from a file. Raises ``ScalePlanError``."""
    plans = library()
    if name in plans:
        return read(plans[name], f"{name}.toml", known)
    try:
        return read(Path(name).read_text(), name, known)
    except OSError as error:
        names = ", ".join(sorted(plans))
        raise ScalePlanError(f"{name}: {error.strerror}; in the library: {names}") from None
