"""The operator's section for the fleet, and the intervals that follow from it and from the fleet's size."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Annotated

import msgspec

Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]


class FleetSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Section ``fleet``: off while ``listen`` is empty."""

    name: Name = "fleet"  # a node of another fleet is refused
    listen: str = ""  # host:port, UDP and TCP, for the other members
    advertise: str = ""  # host:port that the others use, if it differs
    control: str = ""  # host:port of the operators' calls; empty: none
    zone: str = ""
    seeds: list[str] = []  # host:port of some members
    seeds_file: str = ""  # more of them, one a line; read again at every attempt to join
    keys: str = ""  # a file of one or two keys, base64, one a line: the first signs, both verify
    data: str = ""  # a folder for the start counter and epochs; empty: incarnations by the clock, no epochs
    expect: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 0  # members of the first epoch; 0: none
    probe: Seconds = 1.0  # period of the failure detector: one member is probed in each
    answer: Annotated[float, msgspec.Meta(gt=0, lt=1)] = (
        0.4  # share of the period after which helpers are asked
    )
    helpers: Annotated[int, msgspec.Meta(ge=1, le=10)] = (
        3  # helpers asked; as many confirmations of a suspicion count
    )
    suspicion: Annotated[float, msgspec.Meta(ge=1, le=20)] = (
        4.0  # times log10(members) periods: shortest suspicion
    )
    suspicion_most: Annotated[float, msgspec.Meta(ge=1, le=20)] = (
        6.0  # times that: suspicion without confirmation
    )
    gossip: Seconds = 0.2  # interval of gossip
    spread: Annotated[int, msgspec.Meta(ge=1, le=10)] = 3  # members that are gossiped to at once
    repeat: Annotated[int, msgspec.Meta(ge=1, le=10)] = (
        4  # times log10(members + 1): transmissions of a state
    )
    exchange: Seconds = 15.0  # interval of push/pull; longer above 32 members
    keep_dead: Annotated[float, msgspec.Meta(ge=10, le=864_000)] = (
        3600.0  # inactive members are remembered for so long
    )
    settle: Seconds = 5.0  # members are unchanged for so long before an epoch is proposed
    gauges: Seconds = 5.0  # interval at which gauges are announced, if changed by a tenth
    tags: dict[str, str] = {}

    def validation_error(self) -> str:
        """Return what is wrong with the section beyond its types: key and cause; empty: nothing."""
        if not self.listen:
            return "listen: needed, since other keys are set" if self != FleetSettings() else ""
        if not self.keys:
            return "keys: a file of one or two keys is needed"
        if self.expect and not self.data:
            return "expect: epochs need data, a folder that lasts"
        if self.gossip > self.probe:
            return "gossip: longer than probe: news would come after the suspicions that they answer"
        if len(msgspec.json.encode(self.tags)) > 256:
            return "tags: over 256 bytes"
        return ""


@dataclass(frozen=True)
class Timing:
    """Intervals and limits for a fleet of some size."""

    suspicion_min_s: float  # a suspect has to refute, if enough members confirm
    suspicion_max_s: float  # if nobody confirms
    push_pull_s: float  # between two exchanges of the member table
    max_transmissions: int  # of one member state


def timing(settings: FleetSettings, members: int) -> Timing:
    """Return the timing at a size. Suspicion grows with log n, as the rounds do that gossip needs."""
    min_s = settings.suspicion * max(1.0, math.log10(max(members, 1))) * settings.probe
    factor = max(1.0, math.ceil(math.log2(members / 32)) + 1) if members > 32 else 1.0
    return Timing(
        min_s,
        min_s * settings.suspicion_most,
        settings.exchange * factor,
        settings.repeat * math.ceil(math.log10(members + 1)) if members else settings.repeat,
    )
