"""Which upstreams a member may watch, and in which order it tries them."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import msgspec


class Location(msgspec.Struct, frozen=True):
    """A zone, and the region that it lies in."""

    region: str
    zone: str


class Upstream(msgspec.Struct, frozen=True):
    """A voter or relay that serves watches. ``tier`` is 0 for a voter, else one above its upstreams'."""

    name: str
    address: str
    location: Location
    tier: int = 1


def ordered_candidates(
    member: str, location: Location, upstreams: Iterable[Upstream]
) -> tuple[Upstream, ...]:
    """Return the upstreams by nearness: same zone, same region, others; within each spread by name.

    The order within a class is by rendezvous hashing: the same at every start, different from member to
    member, so that the members of a lost upstream spread over those that are left.
    """
    return tuple(
        sorted(
            upstreams,
            key=lambda upstream: (_distance(location, upstream.location), _weight(member, upstream.name)),
        )
    )


def _distance(here: Location, there: Location) -> int:
    if here == there:
        return 0
    return 1 if here.region == there.region else 2


def _weight(member: str, upstream: str) -> bytes:
    return hashlib.blake2b(f"{member}\0{upstream}".encode(), digest_size=8).digest()
