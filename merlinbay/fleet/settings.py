"""The operator's section for the fleet, and the times that follow from it and from the fleet's size."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Annotated

import msgspec

Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]


class Fleet(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Section ``fleet``: off while ``listen`` is empty."""

    name: Name = "fleet"  # a node of another fleet is refused
    listen: str = ""  # host:port, UDP and TCP: members speak here
    advertise: str = ""  # where the others reach it, if that differs
    control: str = ""  # host:port of the operators' calls; empty: none
    zone: str = ""
    seeds: list[str] = []  # host:port of some members
    seeds_file: str = ""  # more of them, one a line; read again at every attempt to join
    keys: str = ""  # a file of one or two keys, base64, one a line: the first signs, both are believed
    data: str = ""  # a folder that lasts: boot counter and epochs; empty: time counts boots, epochs are off
    expect: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 0  # members of the first epoch; 0: none
    probe: Seconds = 1.0  # one member is probed so often
    answer: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.4  # share of it after which others are asked
    helpers: Annotated[int, msgspec.Meta(ge=1, le=10)] = 3  # so many; as many confirm a suspicion
    suspicion: Annotated[float, msgspec.Meta(ge=1, le=20)] = 4.0  # x log10(members) probes: the least time
    suspicion_most: Annotated[float, msgspec.Meta(ge=1, le=20)] = 6.0  # times that: without confirmation
    gossip: Seconds = 0.2  # news go out so often,
    spread: Annotated[int, msgspec.Meta(ge=1, le=10)] = 3  # to so many
    repeat: Annotated[int, msgspec.Meta(ge=1, le=10)] = 4  # times log10(members + 1): how often each goes out
    exchange: Seconds = 15.0  # the whole state is exchanged with one member; less often above 32
    keep_dead: Annotated[float, msgspec.Meta(ge=10, le=864_000)] = 3600.0  # so that no old rumour raises them
    settle: Seconds = 5.0  # the view has stood still for so long before an epoch is proposed
    gauges: Seconds = 5.0  # what this node holds is told so often, if it has changed by a tenth
    tags: dict[str, str] = {}

    def wrong(self) -> str:
        """Return what is wrong with the section beyond its types: key and cause; empty: nothing."""
        if not self.listen:
            return "listen: needed, since other keys are set" if self != Fleet() else ""
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
class Times:
    """What follows from the section for a fleet of some size. Seconds."""

    suspect_least: float
    suspect_most: float
    exchange: float
    sends: int  # of one piece of news


def times(section: Fleet, members: int) -> Times:
    """Return the times at a size. Suspicion grows with log n: news need that many rounds to come round."""
    least = section.suspicion * max(1.0, math.log10(max(members, 1))) * section.probe
    slower = max(1.0, math.ceil(math.log2(members / 32)) + 1) if members > 32 else 1.0
    return Times(
        least,
        least * section.suspicion_most,
        section.exchange * slower,
        section.repeat * math.ceil(math.log10(members + 1)) if members else section.repeat,
    )
