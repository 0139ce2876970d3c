"""The faults of a scenario, as data. Times are seconds; ``at`` is virtual time."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Crash:
    """End a process between two of its next effects, and start it again, perhaps on an empty disk.

    ``voter`` empty: the leader of that moment.
    """

    at: float
    voter: str
    effects: int
    down_for: float
    loses_disk: bool = False


@dataclass(frozen=True)
class CrashAfterVote:
    """End some processes each just after its next vote, and start them again, perhaps on an empty disk."""

    at: float
    voters: tuple[str, ...]
    down_for: float
    loses_disk: bool = False


@dataclass(frozen=True)
class CrashLeaders:
    """End each voter once it leads, between its first effects: its entries reach some or none."""

    at: float
    victims: tuple[tuple[str, int, float], ...]  # voter, effects that it carries out before, time down
    spares_leader: bool = False  # the leader of that moment is none of them


@dataclass(frozen=True)
class Pause:
    """Stop a process as by SIGSTOP; ``voter`` empty: the leader of that moment."""

    at: float
    voter: str
    span: float


@dataclass(frozen=True)
class Cut:
    """Let no message pass between ``inside`` and the other machines, or only in one direction."""

    at: float
    span: float
    inside: tuple[str, ...]
    with_leader: bool  # the leader of that moment is inside too
    stops_outgoing: bool
    stops_incoming: bool


@dataclass(frozen=True)
class CutOff:
    """Separate a region with all that is in it from the others."""

    at: float
    span: float
    region: str


@dataclass(frozen=True)
class DiskFull:
    """Let a voter's disk take no records for some time."""

    at: float
    span: float
    voter: str


@dataclass(frozen=True)
class MoveLeadership:
    """Ask the leader to hand its leadership over, and perhaps cut it from the others just after it did."""

    at: float
    cut_for: float  # seconds; 0: it is not cut


@dataclass(frozen=True)
class MoveVoter:
    """Ask the leader for changes of one voter each, the next one when the last is answered.

    The voters to change depend on the configuration at that moment.
    """

    at: float
    choices: tuple[float, ...]  # each in [0, 1)


Fault = Crash | CrashAfterVote | CrashLeaders | Pause | Cut | CutOff | DiskFull | MoveLeadership | MoveVoter
