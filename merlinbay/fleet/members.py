"""Member states as members gossip them, their encoding, and their order of precedence.

``supersedes`` decides which of two states of a member is kept; ``member_table`` calls it for each state that
arrives. ``decode_state`` raises ``ValueError`` for a malformed state. No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

# Exclusive limit. It leaves room for a refutation, which must fit a 64-bit integer on the wire.
MAX_INCARNATION = 1 << 62
MAX_TEXT_CHARS = 128
MAX_TABLE_ITEMS = 32


class Health(IntEnum):
    """A member's health; within an incarnation it only increases."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


# Health values that may follow each one within an incarnation. A higher incarnation may follow any of them.
TRANSITIONS = {
    Health.ALIVE: {Health.SUSPECT, Health.DEAD, Health.LEFT},
    Health.SUSPECT: {Health.DEAD, Health.LEFT},
    Health.DEAD: {Health.LEFT},
    Health.LEFT: set[Health](),
}
INACTIVE = (Health.DEAD, Health.LEFT)


@dataclass(slots=True)
class MemberState:
    """A claim of one member about another or about itself. Gossip and push/pull exchange these."""

    name: str
    health: Health
    incarnation: int  # raised by the member itself at each start and each refutation
    instance: int = 0  # random number of the member's process
    addr: str = ""  # host:port
    zone: str = ""
    versions: tuple[int, int] = (1, 1)  # oldest and newest protocol version that the member supports
    revision: int = 0  # version of the fields below, counted within an incarnation
    is_draining: bool = False
    tags: dict[str, str] = field(default_factory=dict)
    gauges: dict[str, float] = field(default_factory=dict)
    disk_id: str = ""  # id of the data folder; a node whose folder has another id is another voter
    accuser: str = ""  # name of the member that first reported it as suspect or dead
    unknown_fields: dict[str, Any] = field(default_factory=dict)  # from later versions, passed on unchanged


@dataclass(slots=True, eq=False)
class Member:
    """A row of this node's member table."""

    state: MemberState
    health_since_s: float  # time of the last change of health
    accusers: set[str] = field(default_factory=set)  # names of the members that suspect it
    history: list[tuple[float, str]] = field(default_factory=list)  # times and causes of changes of health

    @property
    def name(self) -> str:
        """Return the member's name."""
        return self.state.name

    @property
    def health(self) -> Health:
        """Return the member's health."""
        return self.state.health

    @property
    def is_active(self) -> bool:
        """Return whether the member is alive or suspect."""
        return self.state.health in (Health.ALIVE, Health.SUSPECT)


FIELDS = {  # attributes of ``MemberState`` by their keys on the wire
    "n": "name",
    "h": "health",
    "i": "incarnation",
    "s": "instance",
    "a": "addr",
    "z": "zone",
    "v": "versions",
    "r": "revision",
    "d": "is_draining",
    "t": "tags",
    "g": "gauges",
    "k": "disk_id",
    "b": "accuser",
}
ALWAYS_SENT = ("n", "h", "i")
DEFAULTS = MemberState("", Health.ALIVE, 0)


def encode_state(state: MemberState) -> dict[str, Any]:
    """Return a state's fields by their keys on the wire. Fields with their default value are left out."""
    encoded = dict(state.unknown_fields)
    for key, name in FIELDS.items():
        value = getattr(state, name)
        if value != getattr(DEFAULTS, name) or key in ALWAYS_SENT:
            encoded[key] = list(value) if isinstance(value, tuple) else value
    return encoded


def decode_state(encoded: object) -> MemberState:
    """Return the decoded state, which keeps unknown fields. Raises ``ValueError`` for a malformed field."""
    if not isinstance(encoded, dict):
        raise ValueError("a member state must be a map")
    attributes = {FIELDS[key]: value for key, value in encoded.items() if key in FIELDS}
    state = MemberState(**{"name": "", "health": Health.ALIVE, "incarnation": 0, **attributes})
    _check_identity(state)
    state.health = Health(state.health)
    _check_attributes(state)
    state.versions = (int(state.versions[0]), int(state.versions[1]))
    state.unknown_fields = {key: value for key, value in encoded.items() if key not in FIELDS}
    _require(
        len(state.unknown_fields) <= MAX_TABLE_ITEMS and all(_is_text(key) for key in state.unknown_fields),
        "too many unknown fields, or an unknown field whose key is not a short text",
    )
    return state


def _check_identity(state: MemberState) -> None:
    _require(_is_text(state.name) and state.name != "", "name must be a short text that is not empty")
    _require(
        _is_integer(state.health) and Health.ALIVE <= state.health <= Health.LEFT,
        "health must be the number of a known health value",
    )
    _require(
        _is_integer(state.incarnation) and 0 <= state.incarnation < MAX_INCARNATION,
        "incarnation must be an integer below the maximum",
    )
    _require(
        _is_integer(state.instance) and _is_integer(state.revision),
        "instance and revision must be integers within the range of the encoding",
    )


def _check_attributes(state: MemberState) -> None:
    texts = (state.addr, state.zone, state.accuser, state.disk_id)
    _require(all(map(_is_text, texts)), "address, zone, accuser and disk id must be short texts")
    versions: object = state.versions
    _require(
        isinstance(versions, (list, tuple)) and len(versions) == 2 and all(map(_is_integer, versions)),
        "versions must be two integers",
    )
    _require(isinstance(state.is_draining, bool), "the draining flag must be a boolean")
    _require(
        isinstance(state.tags, dict)
        and len(state.tags) <= MAX_TABLE_ITEMS
        and all(_is_text(text) for item in state.tags.items() for text in item),
        "tags must be a small map of short texts",
    )
    _require(
        isinstance(state.gauges, dict)
        and len(state.gauges) <= MAX_TABLE_ITEMS
        and all(_is_text(name) and isinstance(value, (int, float)) for name, value in state.gauges.items()),
        "gauges must be a small map of numbers by short texts",
    )


def _is_text(value: object) -> bool:
    return isinstance(value, str) and len(value) <= MAX_TEXT_CHARS


def _is_integer(value: object) -> bool:
    """Return whether a value is an integer that can be encoded again."""
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and -MAX_INCARNATION < value < MAX_INCARNATION * 4
    )


def _require(is_valid: bool, requirement: str) -> None:
    if not is_valid:
        raise ValueError(requirement)


def supersedes(new: MemberState, old: MemberState) -> bool:
    """Return whether a new state replaces the old one of the same member."""
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    if new.health != old.health:
        return new.health in TRANSITIONS[old.health]
    # Where two processes have the same name and incarnation, all nodes prefer the higher instance.
    return (new.revision, new.instance) > (old.revision, old.instance)
