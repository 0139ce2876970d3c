"""Draws the faults of a scenario from its random generator."""

from __future__ import annotations

from dataclasses import dataclass, fields
from random import Random

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
from merlinbay.control.simulation.regions import REGIONS

FAST_RESTART_S = 0.03  # the shortest time that a process is down
# Effects of a new leader before its crash. Its first entry is then stored and not sent (the low counts), sent
# to some of the voters, or already answered (the high counts).
EFFECTS_BEFORE_LEADER_CRASH = (1, 1, 2, 3, 6, 9, 10, 11, 12, 14)
MAX_PAUSE_S = 20.0


@dataclass(frozen=True)
class Profile:
    """The relative frequency of each kind of fault, and the mean intervals to choose from."""

    crash: int = 0
    lose_disk: int = 0
    lose_vote: int = 0  # a disk is lost just after a vote
    vote: int = 0
    leaders: int = 0
    pause: int = 0
    cut: int = 0
    cut_off: int = 0
    full: int = 0
    leadership: int = 0
    voters: int = 0
    paces: tuple[float, ...] = (0.5, 1.0, 2.5, 5.0)  # mean seconds between two faults


MIXED = Profile(6, 2, 2, 3, 3, 4, 4, 2, 1, 2, 4)
LEADERS = Profile(
    crash=2, lose_disk=1, lose_vote=1, vote=1, leaders=6, cut=2, leadership=2, paces=(0.3, 0.6, 1.2)
)
VOTERS = Profile(crash=2, lose_disk=2, leaders=3, cut=4, leadership=1, voters=8, paces=(0.3, 0.6, 1.2))


def draw_faults(
    random: Random, profile: Profile, voters: tuple[str, ...], spares: tuple[str, ...], duration: float
) -> tuple[Fault, ...]:
    """Draw faults over the duration, at a mean interval that is drawn too.

    In a whole scenario only a minority of the voters loses its disk.
    """
    faults: list[Fault] = []
    disks_to_lose = len(voters) // 2
    pace = random.choice(profile.paces)
    at = 2.0 + random.expovariate(1.0 / pace)
    while at < duration:
        fault = _draw_fault(
            random, _draw_kind(random, profile, disks_to_lose > 0, bool(spares)), voters + spares, at
        )
        disks_to_lose -= isinstance(fault, Crash | CrashAfterVote) and fault.loses_disk
        faults.append(fault)
        if isinstance(fault, Crash) and random.random() < 0.2:
            faults += _crash_all(random, voters, at)
        at += random.expovariate(1.0 / pace)
    return tuple(faults)


def _draw_kind(random: Random, profile: Profile, may_lose_disk: bool, may_move: bool) -> str:
    weights = {field.name: getattr(profile, field.name) for field in fields(profile) if field.name != "paces"}
    weights["lose_disk"] *= may_lose_disk
    weights["lose_vote"] *= may_lose_disk
    weights["voters"] *= may_move
    return random.choices(list(weights), list(weights.values()))[0]


def _draw_fault(random: Random, kind: str, machines: tuple[str, ...], at: float) -> Fault:
    voter = random.choice(machines)
    span = random.choice((0.5, 2.0, 6.0)) * random.uniform(0.5, 1.5)
    match kind:
        case "crash" | "lose_disk":
            down_for = random.choice((FAST_RESTART_S, span))
            victim = random.choice(("", voter)) if kind == "crash" else voter
            return Crash(at, victim, random.randint(0, 20), down_for, kind == "lose_disk")
        case "vote":
            victims = tuple(random.sample(machines, random.randint(1, len(machines))))
            return CrashAfterVote(at, victims, FAST_RESTART_S)
        case "lose_vote":
            return CrashAfterVote(at, (voter,), FAST_RESTART_S, loses_disk=True)
        case "leaders":
            crashes = tuple(
                (
                    name,
                    random.choice(EFFECTS_BEFORE_LEADER_CRASH),
                    random.choice((FAST_RESTART_S, 0.5, 2.0, 4.0)),
                )
                for name in machines
            )
            return CrashLeaders(at, crashes)
        case "pause":
            max_pause = random.choice((1.0, 5.0, MAX_PAUSE_S))
            return Pause(at, random.choice(("", voter)), random.uniform(0.3, 1.0) * max_pause)
        case "cut":
            return _draw_cut(random, machines, at, span)
        case "cut_off":
            return CutOff(at, 2 * span, random.choice(REGIONS))
        case "full":
            return DiskFull(at, span, voter)
        case "leadership":
            return MoveLeadership(at, random.choice((0.0, 2.0)))
        case _:
            return MoveVoter(at, tuple(random.random() for _ in range(random.randint(1, 4))))


def _crash_all(random: Random, voters: tuple[str, ...], at: float) -> list[Fault]:
    """Crash all voters at nearly the same time, as in a power failure."""
    return [
        Crash(
            at + random.uniform(0.0, 0.05), voter, random.randint(0, 5), random.uniform(FAST_RESTART_S, 3.0)
        )
        for voter in voters
    ]


def _draw_cut(random: Random, machines: tuple[str, ...], at: float, span: float) -> Cut:
    inside = tuple(random.sample(machines, random.randint(0, len(machines) // 2)))
    stops_outgoing, stops_incoming = random.choice(((True, True), (True, False), (False, True)))
    return Cut(at, span, inside, not inside or random.random() < 0.6, stops_outgoing, stops_incoming)
