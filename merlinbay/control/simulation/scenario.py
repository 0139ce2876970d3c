"""What a run plays: places, delays, clients and faults, all drawn from the seed."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, fields
from itertools import combinations
from random import Random

from merlinbay.control.simulation.network import NetworkSettings

REGIONS = ("north", "south", "west")
SPREAD = {5: (2, 2, 1), 7: (3, 2, 2)}  # voters by region; three of one region are 3 of 7, or 3 of 5 below
CROWDED = (3, 1, 1)  # 5 voters of which one region has the majority
FAST_RESTART = 0.03  # seconds a process is down at least
LEADERS_EFFECTS = (1, 1, 2, 3, 6, 9, 10, 11, 12, 14)  # stored and not sent; sent to some; then answers
LONGEST_PAUSE = 20.0  # seconds
MOST_OFFSET = 3600.0  # seconds a clock is off
MOST_DRIFT = 0.0005  # 500 parts in a million: ten times a bad quartz
HOUR = 3600.0
CUT_OFF_AT = 30.0  # seconds until the region of a partition is cut off
QUIET = 60.0  # seconds: a snapshot of 20 KB in chunks of 150 bytes takes some 20 s, and may start again
KEYS = ("teams/a/quota", "teams/b/quota", "limits/starts", "limits/urgent")


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

    What is changed is chosen by the voters of that moment.
    """

    at: float
    choices: tuple[float, ...]  # each in [0, 1)


Fault = Crash | CrashAfterVote | CrashLeaders | Pause | Cut | CutOff | DiskFull | MoveLeadership | MoveVoter


@dataclass(frozen=True)
class Profile:
    """Which faults are drawn how often, and the mean seconds between two."""

    crash: int = 0
    lose_disk: int = 0
    lose_vote: int = 0  # the disk, just after a vote
    vote: int = 0
    leaders: int = 0
    pause: int = 0
    cut: int = 0
    cut_off: int = 0
    full: int = 0
    leadership: int = 0
    voters: int = 0
    paces: tuple[float, ...] = (0.5, 1.0, 2.5, 5.0)


MIXED = Profile(6, 2, 2, 3, 3, 4, 4, 2, 1, 2, 4)
LEADERS = Profile(
    crash=2, lose_disk=1, lose_vote=1, vote=1, leaders=6, cut=2, leadership=2, paces=(0.3, 0.6, 1.2)
)
VOTERS = Profile(crash=2, lose_disk=2, leaders=3, cut=4, leadership=1, voters=8, paces=(0.3, 0.6, 1.2))


@dataclass(frozen=True)
class Scenario:
    """All that a run is determined by, besides the code under test."""

    seed: int
    duration: float  # seconds with clients and faults
    quiet: float  # seconds without, before the end is judged
    regions: dict[str, str]  # of every place
    voters: tuple[str, ...]  # the first ones
    spares: tuple[str, ...]
    clients: tuple[str, ...]
    followers: tuple[str, ...]
    clocks: dict[str, tuple[float, float]]  # offset and drift
    network: NetworkSettings
    faults: tuple[Fault, ...]
    think_time: float  # mean seconds between two operations of a client
    batches: bool = False  # hosts handle all inputs that wait at once

    @property
    def machines(self) -> tuple[str, ...]:
        """Return the voters and the spare machines."""
        return self.voters + self.spares


def draw(seed: int) -> Scenario:
    """Draw the scenario of a seed."""
    random = Random(f"control scenario {seed}")
    count = random.choice((5, 5, 7))
    spread = CROWDED if count == 5 and random.random() < 0.5 else SPREAD[count]
    voters, regions = _voters(spread)
    profile = random.choices((MIXED, LEADERS, VOTERS), (5, 2, 2))[0]
    spares = ("spare-1", "spare-2") if profile is VOTERS or random.random() < 0.4 else ()
    clients = tuple(f"client-{number}" for number in range(1, random.randint(3, 5) + 1))
    followers = tuple(f"follower-{number}" for number in range(1, 4))
    for place in (*spares, *clients, *followers):
        regions[place] = random.choice(REGIONS)
    machines = voters + spares
    duration = random.uniform(25.0, 45.0)
    return Scenario(
        seed=seed,
        duration=duration,
        quiet=QUIET,
        regions=regions,
        voters=voters,
        spares=spares,
        clients=clients,
        followers=followers,
        clocks={name: draw_clock(random) for name in machines},
        network=draw_network(random),
        faults=draw_faults(random, profile, voters, spares, duration),
        think_time=random.choice((0.1, 0.3, 0.6)),
        batches=random.random() < 0.5,
    )


def draw_partition(seed: int) -> Scenario:
    """Draw a scenario in which a region is cut off for an hour; at even seeds, one with the majority."""
    random = Random(f"control partition {seed}")
    voters, regions = _voters(CROWDED if seed % 2 == 0 else SPREAD[5])
    clients = tuple(f"client-{region}" for region in REGIONS)
    followers = tuple(f"follower-{region}" for region in REGIONS)
    regions |= dict(zip(clients + followers, REGIONS * 2, strict=True))
    return Scenario(
        seed=seed,
        duration=CUT_OFF_AT + HOUR + 30.0,
        quiet=QUIET,
        regions=regions,
        voters=voters,
        spares=(),
        clients=clients,
        followers=followers,
        clocks={name: draw_clock(random) for name in voters},
        network=draw_network(random),
        faults=(CutOff(CUT_OFF_AT, HOUR, REGIONS[0]),),
        think_time=5.0,
        batches=True,
    )


def _voters(spread: Sequence[int]) -> tuple[tuple[str, ...], dict[str, str]]:
    regions = {
        f"{region}-{number}": region
        for region, count in zip(REGIONS, spread, strict=True)
        for number in range(1, count + 1)
    }
    return tuple(regions), regions


def draw_clock(random: Random) -> tuple[float, float]:
    """Draw the offset and the drift of a clock."""
    offset = random.choice((-MOST_OFFSET, 0.0, MOST_OFFSET, random.uniform(-MOST_OFFSET, MOST_OFFSET)))
    # The core is given a monotonic clock, which is not negative.
    return offset + 2 * MOST_OFFSET, random.uniform(-MOST_DRIFT, MOST_DRIFT)


def draw_network(random: Random) -> NetworkSettings:
    """Draw the delays, 2 to 60 ms one way between regions, and how bad the network is."""
    bad = random.random()
    return NetworkSettings(
        delays=tuple((one, other, random.uniform(0.002, 0.06)) for one, other in combinations(REGIONS, 2)),
        jitter=random.choice((0.05, 0.3)),
        loss=bad * random.choice((0.0, 0.02, 0.1)),
        duplication=bad * random.choice((0.0, 0.05, 0.2)),
        reordering=bad * random.choice((0.0, 0.05, 0.2)),
        held_back=random.choice((0.1, 1.0, 5.0)),
    )


def draw_faults(
    random: Random, profile: Profile, voters: tuple[str, ...], spares: tuple[str, ...], duration: float
) -> tuple[Fault, ...]:
    """Draw faults over the duration, some every few seconds. Disks are lost by a minority in all."""
    faults: list[Fault] = []
    disks = len(voters) // 2
    pace = random.choice(profile.paces)
    at = 2.0 + random.expovariate(1.0 / pace)
    while at < duration:
        fault = _draw_fault(random, _draw_kind(random, profile, disks > 0, bool(spares)), voters + spares, at)
        disks -= isinstance(fault, Crash | CrashAfterVote) and fault.loses_disk
        faults.append(fault)
        if isinstance(fault, Crash) and random.random() < 0.2:
            faults += _crash_others(random, voters, at)
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
            down_for = random.choice((FAST_RESTART, span))
            victim = random.choice(("", voter)) if kind == "crash" else voter
            return Crash(at, victim, random.randint(0, 20), down_for, kind == "lose_disk")
        case "vote":
            some = tuple(random.sample(machines, random.randint(1, len(machines))))
            return CrashAfterVote(at, some, FAST_RESTART)
        case "lose_vote":
            return CrashAfterVote(at, (voter,), FAST_RESTART, loses_disk=True)
        case "leaders":
            victims = tuple(
                (name, random.choice(LEADERS_EFFECTS), random.choice((FAST_RESTART, 0.5, 2.0, 4.0)))
                for name in machines
            )
            return CrashLeaders(at, victims)
        case "pause":
            longest = random.choice((1.0, 5.0, LONGEST_PAUSE))
            return Pause(at, random.choice(("", voter)), random.uniform(0.3, 1.0) * longest)
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


def _crash_others(random: Random, voters: tuple[str, ...], at: float) -> list[Fault]:
    """Crash all at nearly the same time, as in a power failure."""
    return [
        Crash(at + random.uniform(0.0, 0.05), voter, random.randint(0, 5), random.uniform(FAST_RESTART, 3.0))
        for voter in voters
    ]


def _draw_cut(random: Random, machines: tuple[str, ...], at: float, span: float) -> Cut:
    inside = tuple(random.sample(machines, random.randint(0, len(machines) // 2)))
    stops_outgoing, stops_incoming = random.choice(((True, True), (True, False), (False, True)))
    return Cut(at, span, inside, not inside or random.random() < 0.6, stops_outgoing, stops_incoming)
