"""The upstreams that a member may watch, and the order in which it tries them."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import msgspec


class Location(msgspec.Struct, frozen=True):
    """A zone and its region."""

    region: str
    zone: str


class Upstream(msgspec.Struct, frozen=True):
    """A voter (``tier`` 0) or relay (``tier`` one above its upstreams') that serves watches."""

    name: str
    address: str
    location: Location
    tier: int = 1


def ordered_candidates(
    member: str, location: Location, upstreams: Iterable[Upstream]
) -> tuple[Upstream, ...]:
    """Return the upstreams by distance: those of the same zone, then of the same region, then all others.

    Upstreams at the same distance are ordered by rendezvous hashing. The order is the same at every start
    and differs from member to member, so the members of a lost upstream spread over the remaining ones.
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
