"""Member states, as members tell each other, and their precedence. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

MAX_INCARNATION = 1 << 62  # exclusive; guards against a refutation that no integer on the wire can hold
MAX_TEXT_CHARS = 128
MAX_TABLE_ITEMS = 32


class Health(IntEnum):
    """A member's health; within an incarnation it only increases."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


# What may follow on what within one incarnation; a higher incarnation may follow on anything.
TRANSITIONS = {
    Health.ALIVE: {Health.SUSPECT, Health.DEAD, Health.LEFT},
    Health.SUSPECT: {Health.DEAD, Health.LEFT},
    Health.DEAD: {Health.LEFT},
    Health.LEFT: set[Health](),
}
INACTIVE = (Health.DEAD, Health.LEFT)


@dataclass(slots=True)
class MemberState:
    """What one member says of another, or of itself: the unit of gossip."""

    name: str
    health: Health
    incarnation: int  # raised by the member itself, at each start and each refutation
    instance: int = 0  # random number of the member's process
    addr: str = ""  # host:port
    zone: str = ""
    versions: tuple[int, int] = (1, 1)  # oldest and newest version of the protocol that it speaks
    revision: int = 0  # of the following fields, within an incarnation
    is_draining: bool = False
    tags: dict[str, str] = field(default_factory=dict)
    gauges: dict[str, float] = field(default_factory=dict)
    disk_id: str = ""  # of its data folder; a node with another one is another voter
    accuser: str = ""  # the member that said first that it is suspect, or dead
    unknown_fields: dict[str, Any] = field(default_factory=dict)  # of later versions, passed on unchanged


@dataclass(slots=True, eq=False)
class Member:
    """A member as this node knows it."""

    state: MemberState
    health_since_s: float  # when its health changed
    accusers: set[str] = field(default_factory=set)  # members that suspect it
    history: list[tuple[float, str]] = field(default_factory=list)  # moments and causes of its health

    @property
    def name(self) -> str:
        """Return its name."""
        return self.state.name

    @property
    def health(self) -> Health:
        """Return its health."""
        return self.state.health

    @property
    def is_active(self) -> bool:
        """Tell whether it is alive, or only suspected."""
        return self.state.health in (Health.ALIVE, Health.SUSPECT)


FIELDS = {  # by their keys on the wire
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
    """Return a state's fields by their keys on the wire, without those of a default value."""
    encoded = dict(state.unknown_fields)
    for key, name in FIELDS.items():
        value = getattr(state, name)
        if value != getattr(DEFAULTS, name) or key in ALWAYS_SENT:
            encoded[key] = list(value) if isinstance(value, tuple) else value
    return encoded


def decode_state(encoded: object) -> MemberState:
    """Read a state; unknown fields are kept. Raises ``ValueError`` that names a malformed field."""
    if not isinstance(encoded, dict):
        raise ValueError("not a map")
    known = {FIELDS[key]: value for key, value in encoded.items() if key in FIELDS}
    state = MemberState(**{"name": "", "health": Health.ALIVE, "incarnation": 0, **known})
    _check_identity(state)
    state.health = Health(state.health)
    _check_attributes(state)
    state.versions = (int(state.versions[0]), int(state.versions[1]))
    state.unknown_fields = {key: value for key, value in encoded.items() if key not in FIELDS}
    _require(
        len(state.unknown_fields) <= MAX_TABLE_ITEMS and all(_is_text(key) for key in state.unknown_fields),
        "unknown fields",
    )
    return state


def _check_identity(state: MemberState) -> None:
    _require(_is_text(state.name) and state.name != "", "name")
    _require(_is_integer(state.health) and Health.ALIVE <= state.health <= Health.LEFT, "health")
    _require(_is_integer(state.incarnation) and 0 <= state.incarnation < MAX_INCARNATION, "incarnation")
    _require(_is_integer(state.instance) and _is_integer(state.revision), "instance")


def _check_attributes(state: MemberState) -> None:
    texts = (state.addr, state.zone, state.accuser, state.disk_id)
    _require(all(map(_is_text, texts)), "addr, zone, by, disk")
    versions: object = state.versions
    _require(
        isinstance(versions, (list, tuple)) and len(versions) == 2 and all(map(_is_integer, versions)),
        "versions",
    )
    _require(isinstance(state.is_draining, bool), "draining")
    _require(
        isinstance(state.tags, dict)
        and len(state.tags) <= MAX_TABLE_ITEMS
        and all(_is_text(text) for item in state.tags.items() for text in item),
        "tags",
    )
    _require(
        isinstance(state.gauges, dict)
        and len(state.gauges) <= MAX_TABLE_ITEMS
        and all(_is_text(name) and isinstance(value, (int, float)) for name, value in state.gauges.items()),
        "gauges",
    )


def _is_text(value: object) -> bool:
    return isinstance(value, str) and len(value) <= MAX_TEXT_CHARS


def _is_integer(value: object) -> bool:
    """Tell whether a value is an integer that the wire can carry again."""
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and -MAX_INCARNATION < value < MAX_INCARNATION * 4
    )


def _require(is_valid: bool, name: str) -> None:
    if not is_valid:
        raise ValueError(name)


def supersedes(new: MemberState, old: MemberState) -> bool:
    """Tell whether a new state replaces the old one of the same member."""
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    if new.health != old.health:
        return new.health in TRANSITIONS[old.health]
    # Two processes of one name and incarnation: all nodes prefer the higher instance.
    return (new.revision, new.instance) > (old.revision, old.instance)
