"""Section ``fleet`` of the operator's file, and the intervals that follow from it and the fleet's size."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Annotated

import msgspec

Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]


class FleetSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Section ``fleet``. The view is off while ``listen`` is empty."""

    name: Name = "fleet"  # name of the fleet; messages of other fleets are rejected
    listen: str = ""  # host:port of the UDP and TCP sockets for the other members
    advertise: str = ""  # host:port at which other members reach this node, if it is not ``listen``
    control: str = ""  # host:port of the operators' calls; empty turns them off
    zone: str = ""
    seeds: list[str] = []  # host:port of some members
    seeds_file: str = ""  # file with more seeds, one per line; read again before each attempt to join
    keys: str = ""  # file with one or two keys, one base64 line each: the first signs, both verify
    # Folder for the start counter and the epochs. If it is empty, incarnations follow the clock, and there
    # are no epochs.
    data: str = ""
    # Number of members that together form the first epoch. With 0, this node forms none.
    expect: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 0
    probe: Seconds = 1.0  # period of the failure detector, which probes one member in each
    # Share of the period after which helpers are asked to probe a member that has not answered.
    answer: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.4
    # Number of helpers that are asked, and of confirmations after which a suspicion takes the shortest time.
    helpers: Annotated[int, msgspec.Meta(ge=1, le=10)] = 3
    # The shortest time of a suspicion is this number times log10(members) (at least 1), in periods.
    suspicion: Annotated[float, msgspec.Meta(ge=1, le=20)] = 4.0
    # A suspicion that nobody confirms takes this many times the shortest time.
    suspicion_most: Annotated[float, msgspec.Meta(ge=1, le=20)] = 6.0
    gossip: Seconds = 0.2  # interval of the periodic gossip
    spread: Annotated[int, msgspec.Meta(ge=1, le=10)] = 3  # number of members that each gossip is sent to
    # Each member state is transmitted this number times log10(members + 1).
    repeat: Annotated[int, msgspec.Meta(ge=1, le=10)] = 4
    exchange: Seconds = 15.0  # interval of push/pull; longer for more than 32 members
    # Time for which inactive members are kept in the table.
    keep_dead: Annotated[float, msgspec.Meta(ge=10, le=864_000)] = 3600.0
    settle: Seconds = 5.0  # time for which the members must not change before an epoch is proposed
    gauges: Seconds = 5.0  # interval at which gauges are announced if they have changed by a tenth
    tags: dict[str, str] = {}

    def validation_error(self) -> str:
        """Return key and cause of the first error beyond the types; empty if the section is valid."""
        if not self.listen:
            return "listen: needed, since other keys are set" if self != FleetSettings() else ""
        if not self.keys:
            return "keys: a file of one or two keys is needed"
        if self.expect and not self.data:
            return "expect: epochs need data, a folder that lasts"
        if self.gossip > self.probe:
            return "gossip: longer than probe: refutations would come after the suspicions that they answer"
        if len(msgspec.json.encode(self.tags)) > 256:
            return "tags: over 256 bytes"
        return ""


@dataclass(frozen=True)
class Timing:
    """Intervals and limits for a fleet of a given size."""

    suspicion_min_s: float  # time that a suspect has to refute if enough members confirm the suspicion
    suspicion_max_s: float  # time that a suspect has to refute if no member confirms the suspicion
    push_pull_s: float  # mean time between two exchanges of the member table
    max_transmissions: int  # limit for the transmissions of one member state


def timing(settings: FleetSettings, members: int) -> Timing:
    """Return the timing for a number of members.

    The time of a suspicion grows with log n, as does the number of rounds that gossip needs to reach all.
    """
    min_s = settings.suspicion * max(1.0, math.log10(max(members, 1))) * settings.probe
    factor = max(1.0, math.ceil(math.log2(members / 32)) + 1) if members > 32 else 1.0
    return Timing(
        min_s,
        min_s * settings.suspicion_most,
        settings.exchange * factor,
        settings.repeat * math.ceil(math.log10(members + 1)) if members else settings.repeat,
    )
