"""What the view wants done, and what it tells."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """A datagram."""

    addr: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Exchange:
    """A frame on a stream that wants one back; ``token`` comes back with it."""

    addr: str
    data: bytes
    token: int


@dataclass(frozen=True, slots=True)
class Event:
    """Something that operators, and what is built on the view, hear of."""

    at: float
    what: str  # joined, suspected, cleared, died, left, returned, changed, conflict, refused, paused, epoch
    name: str
    text: str = ""
