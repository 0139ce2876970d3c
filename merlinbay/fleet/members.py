"""What is said of members, and which of two sayings holds. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

TOP = 1 << 62  # no incarnation is this high: one that is was made up
MOST_TEXT, MOST_TABLE = 128, 32


class Health(IntEnum):
    """How a member is; of two sayings of one incarnation the higher holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


# What may follow on what within one incarnation; a higher incarnation may follow on anything.
FOLLOWS = {
    Health.ALIVE: {Health.SUSPECT, Health.DEAD, Health.LEFT},
    Health.SUSPECT: {Health.DEAD, Health.LEFT},
    Health.DEAD: {Health.LEFT},
    Health.LEFT: set[Health](),
}
GONE = (Health.DEAD, Health.LEFT)


@dataclass(slots=True)
class Claim:
    """What somebody says of a member: the unit of gossip."""

    name: str
    health: Health
    incarnation: int
    instance: int = 0  # drawn at each start of its process
    addr: str = ""
    zone: str = ""
    speaks: tuple[int, int] = (1, 1)  # versions of the protocol, the least and the most
    revision: int = 0  # of what follows, within an incarnation
    draining: bool = False
    tags: dict[str, str] = field(default_factory=dict)
    gauges: dict[str, float] = field(default_factory=dict)
    disk: str = ""  # drawn when its folder that lasts was made: with another one it is another voter
    by: str = ""  # who said it first, of a suspicion or a death
    extra: dict[str, Any] = field(default_factory=dict)  # fields of later versions, passed on as they came


@dataclass(slots=True, eq=False)
class Member:
    """A member as this node knows it."""

    claim: Claim
    since: float  # it has this health
    confirmed: set[str] = field(default_factory=set)  # who suspects it
    why: list[tuple[float, str]] = field(default_factory=list)  # the last things that made it so

    @property
    def name(self) -> str:
        """Return its name."""
        return self.claim.name

    @property
    def health(self) -> Health:
        """Return how it is."""
        return self.claim.health

    @property
    def here(self) -> bool:
        """Tell whether it counts as there: alive, or only suspected."""
        return self.claim.health in (Health.ALIVE, Health.SUSPECT)


KEYS = {
    "n": "name",
    "h": "health",
    "i": "incarnation",
    "s": "instance",
    "a": "addr",
    "z": "zone",
    "v": "speaks",
    "r": "revision",
    "d": "draining",
    "t": "tags",
    "g": "gauges",
    "k": "disk",
    "b": "by",
}
DEFAULTS = Claim("", Health.ALIVE, 0)


def write(claim: Claim) -> dict[str, Any]:
    """Return a claim's fields by their short names, without those that say nothing."""
    found = dict(claim.extra)
    for short, name in KEYS.items():
        value = getattr(claim, name)
        if value != getattr(DEFAULTS, name) or short in "nhi":
            found[short] = list(value) if isinstance(value, tuple) else value
    return found


def read(found: object) -> Claim:
    """Read a claim. Raises ``ValueError`` where a field has no sense; unknown ones are kept."""
    if not isinstance(found, dict):
        raise ValueError("a claim is a table")
    known = {KEYS[key]: value for key, value in found.items() if key in KEYS}
    claim = Claim(**{"name": "", "health": Health.ALIVE, "incarnation": 0, **known})
    _need(_text(claim.name) and claim.name != "", "name")
    _need(_number(claim.health) and 0 <= claim.health <= 3, "health")
    claim.health = Health(claim.health)
    _need(_number(claim.incarnation) and 0 <= claim.incarnation < TOP, "incarnation")
    _need(_number(claim.instance) and _number(claim.revision), "instance")
    _need(
        _text(claim.addr) and _text(claim.zone) and _text(claim.by) and _text(claim.disk),
        "addr, zone, by, disk",
    )
    speaks = claim.speaks
    _need(isinstance(speaks, (list, tuple)) and len(speaks) == 2 and all(map(_number, speaks)), "versions")
    claim.speaks = (int(speaks[0]), int(speaks[1]))
    _need(isinstance(claim.draining, bool), "draining")
    _need(
        isinstance(claim.tags, dict)
        and len(claim.tags) <= MOST_TABLE
        and all(_text(one) for item in claim.tags.items() for one in item),
        "tags",
    )
    _need(
        isinstance(claim.gauges, dict)
        and len(claim.gauges) <= MOST_TABLE
        and all(_text(name) and isinstance(value, (int, float)) for name, value in claim.gauges.items()),
        "gauges",
    )
    claim.extra = {key: value for key, value in found.items() if key not in KEYS}
    _need(len(claim.extra) <= MOST_TABLE and all(_text(key) for key in claim.extra), "extra")
    return claim


def _text(value: object) -> bool:
    return isinstance(value, str) and len(value) <= MOST_TEXT


def _number(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and -TOP < value < TOP * 4


def _need(good: bool, what: str) -> None:
    if not good:
        raise ValueError(what)


def holds(new: Claim, old: Claim) -> bool:
    """Tell whether a new saying takes the place of the old one."""
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    if new.health != old.health:
        return new.health in FOLLOWS[old.health]
    # Two processes under one name and incarnation: the higher instance holds at all nodes alike.
    return (new.revision, new.instance) > (old.revision, old.instance)
