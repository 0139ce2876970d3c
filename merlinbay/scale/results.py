"""The file that a scale run writes and that fits and the capacity page read. Plain data, no I/O.

A run steps through sizes; each size has a row per role. All rates are per member of the role.
"""

from __future__ import annotations

import msgspec

FORMAT = 1


class Percentiles(msgspec.Struct, frozen=True, omit_defaults=True):
    """Times in seconds. ``count`` is the number of values behind them."""

    count: int
    p50: float
    p99: float
    p999: float
    most: float


class RoleMeasurement(msgspec.Struct, frozen=True, omit_defaults=True):
    """One role at one size, over the measured part of the run."""

    role: str  # for example "view-member", "control-follower", "control-relay", "control-voter"
    size: int  # the number of members of the whole run that the size step names
    members: int  # of this role
    hollow: bool  # False: processes of their own
    seconds: float  # measured, after the warm-up
    bytes_sent_per_s: float
    bytes_received_per_s: float
    messages_sent_per_s: float
    messages_received_per_s: float
    cpu_share: float  # of one core, a member; a hollow member: the process's over its members
    idle_loop_cpu_share: float  # of an empty event loop, already taken off ``cpu_share``
    memory_bytes: int  # resident, a member; a hollow member: the growth of the process over its members
    busiest_bytes_sent_per_s: float = 0.0  # of the one member that sent the most
    times: dict[str, Percentiles] = {}  # for example "time_to_force", "death_detected"
    counts: dict[str, int] = {}  # for example "changes", "deaths", "restarts"
    busiest_cpu_share: float = 0.0  # of the process that took the most, over its members
    base_memory_bytes: int = 0  # of a process without the role; ``memory_bytes`` is the growth above it
    # Of a hollow row: real over hollow for each quantity, from the calibration; whether the figures above are
    # multiplied by them; and the quantities that do not stand for a real member's.
    ratios: dict[str, float] = {}
    ratios_applied: bool = False
    unusable: tuple[str, ...] = ()


class ScaleRun(msgspec.Struct, frozen=True):
    """One run of one plan file."""

    format: int
    plan: str  # the plan file's name, without folder
    commit: str
    machine: str  # cores, memory and processor, in words
    started: str  # UTC, ISO 8601
    seconds: float
    conditions: str  # delays, losses, restart rates, what else ran on the machine
    rows: tuple[RoleMeasurement, ...]
    incomplete: str = ""  # why the run was cut short; empty: it was not
