"""The faults of a scenario, as data.

Times are in seconds. ``at`` is the virtual time at which the fault begins, ``span`` how long it lasts.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Crash:
    """Crash a process between two of its next effects, and restart it after ``down_for``.

    It crashes after it has carried out ``effects`` more effects. If ``loses_disk`` is set, it crashes at once
    instead and restarts with an empty disk. An empty ``voter`` stands for the leader at that moment.
    """

    at: float
    voter: str
    effects: int
    down_for: float
    loses_disk: bool = False


@dataclass(frozen=True)
class CrashAfterVote:
    """Crash each of some processes just after its next vote, and restart it, perhaps with an empty disk."""

    at: float
    voters: tuple[str, ...]
    down_for: float
    loses_disk: bool = False


@dataclass(frozen=True)
class CrashLeaders:
    """Crash each voter after it becomes leader, between two of its first effects.

    Its entries then reach some of the other voters or none.
    """

    at: float
    victims: tuple[tuple[str, int, float], ...]  # voter, effects that it still carries out, time down
    spares_leader: bool = False  # whether the leader at that moment is left out


@dataclass(frozen=True)
class Pause:
    """Suspend a process as by SIGSTOP. An empty ``voter`` stands for the leader at that moment."""

    at: float
    voter: str
    span: float


@dataclass(frozen=True)
class Cut:
    """Stop the messages between ``inside`` and the other machines, in one direction or both."""

    at: float
    span: float
    inside: tuple[str, ...]
    with_leader: bool  # whether the leader at that moment is inside too
    stops_outgoing: bool
    stops_incoming: bool


@dataclass(frozen=True)
class CutOff:
    """Stop all messages between a region and the others."""

    at: float
    span: float
    region: str


@dataclass(frozen=True)
class DiskFull:
    """Fill a voter's disk, so that it accepts no records for some time."""

    at: float
    span: float
    voter: str


@dataclass(frozen=True)
class MoveLeadership:
    """Ask the leader to hand its leadership over, and perhaps cut it off from the others just afterwards."""

    at: float
    cut_for: float  # seconds; 0: the old leader is not cut off


@dataclass(frozen=True)
class MoveVoter:
    """Ask the leader for changes of one voter each; the next one follows when the previous one is answered.

    The voters to change depend on the configuration at that moment.
    """

    at: float
    choices: tuple[float, ...]  # one for each change, in [0, 1)


Fault = Crash | CrashAfterVote | CrashLeaders | Pause | Cut | CutOff | DiskFull | MoveLeadership | MoveVoter
