"""What a role has to offer so that scale runs can host its members. The roles are in ``registry``."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from random import Random
from typing import Protocol

import trio

from merlinbay.scale.plan import Disturbances, RolePlan, Topology


@dataclass(frozen=True)
class MemberNeed:
    """What a member takes, for the check of the limits: a part of its own, and one for each other member."""

    memory_bytes: int
    memory_bytes_a_member: float = 0.0
    cores: float = 0.0
    cores_a_member: float = 0.0


@dataclass(frozen=True)
class RunFacts:
    """What all members of a run know of it."""

    net: int  # the run's loopback net is 127.net
    size: int
    seed: int
    folder: Path
    topology: Topology
    disturbances: Disturbances
    numbers: dict[str, list[int]]  # the members of each role


@dataclass
class MemberContext:
    """What a hollow member gets to run with."""

    number: int
    address: str
    plan: RolePlan
    run: RunFacts
    random: Random
    observe: Callable[[str, str, float], None]  # what, about whom, when by trio's clock


class HollowMember(Protocol):
    """One member, with the program's own control code and sockets, in a process with others."""

    async def run(self, started: trio.Event) -> None:
        """Run until cancelled; ``started`` is set once it listens."""

    def progress(self) -> int:
        """Return how far it is; what counts as arrived is the role's ``target``."""

    async def act(self, action: str, text: str) -> float:
        """Do something on the plan's word; return when, by trio's clock."""


class Variant(Enum):
    """What a real process is started as."""

    MEMBER = "member"
    WITHOUT_ROLE = "without"  # the role off: its processor time is what the program takes otherwise
    ALONE = "alone"  # the role on, without others: its memory is what does not grow with them


class RealMember(Protocol):
    """One member as a process of the program of its own."""

    address: str

    def start(self) -> None:
        """Start it."""

    def kill(self) -> None:
        """End it and wait for that."""

    @property
    def pid(self) -> int:
        """Return the process id."""


class ConfigurationWriter(Protocol):
    """Changes the configuration of a run."""

    repeats: int  # calls that had to be made again

    async def write(self, number: int) -> int:
        """Have a change applied, however often it has to be repeated; return its revision."""

    async def leader(self) -> int:
        """Return the member that leads at present."""


class MemberRole(Protocol):
    """A kind of member."""

    name: str
    meshed: bool  # members speak with each other, so that real ones do so unseen by hollow ones

    def need(self, plan: RolePlan) -> MemberNeed:
        """Return what a member takes."""

    def target(self, plan: RolePlan, members: int) -> int:
        """Return the progress that every member reaches while ``members`` of the role run."""

    def member(self, context: MemberContext) -> HollowMember:
        """Make a hollow member."""

    def real(self, plan: RolePlan, run: RunFacts, number: int, variant: Variant) -> RealMember:
        """Make a member that is a process of its own, or one to compare it with."""

    def writer(self, run: RunFacts) -> ConfigurationWriter | None:
        """Return who changes the configuration, if members of this role take changes."""
