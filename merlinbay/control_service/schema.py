"""Types of the configuration's values by key prefix. A value is checked before its change is proposed."""

from __future__ import annotations

import re
from typing import Annotated, Any

import msgspec

KEY_BYTES = 256
VALUE_BYTES = 64 * 1024  # a change is one frame of every follower; larger things belong elsewhere
KEY_PART = re.compile(r"[A-Za-z0-9._-]{1,64}")
Count = Annotated[int, msgspec.Meta(ge=0)]
Amount = Annotated[float, msgspec.Meta(ge=0)]


class InvalidValueError(Exception):
    """A key or value that is not taken; one line with key and cause."""


class TeamSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """``teams/NAME``: what a team may use."""

    tasks_running: Count
    accelerators: Count = 0
    task_starts_per_second: Amount = 0.0  # 0: no limit of its own
    share: Annotated[float, msgspec.Meta(gt=0)] = 1.0  # of what is contended, against other teams
    urgent: bool = False  # may submit work that starts before other work


class LimitSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """``limits/NAME``: one limit of the whole installation."""

    value: Amount
    unit: str = ""


class FreeSetting(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """``configuration/PART/NAME``: a setting whose reader knows its type."""

    value: bool | int | float | str | list[str]


class ControlMachine(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """``machines/NAME``: where a control machine is reached, for those that are added later."""

    address: str
    operator: str = ""
    region: str = ""
    zone: str = ""
    tier: Count = 0


SCHEMA: dict[str, type[msgspec.Struct]] = {
    "teams": TeamSettings,
    "limits": LimitSettings,
    "configuration": FreeSetting,
    "machines": ControlMachine,
}
DEEPEST = {"configuration": 4}  # parts of a key below its prefix; one for the others


def check_key(key: str) -> type[msgspec.Struct]:
    """Return the type of a key's values. Raises ``InvalidValueError``."""
    prefix, *parts = key.split("/")
    if prefix not in SCHEMA:
        raise InvalidValueError(f"{key}: unknown prefix {prefix!r}; known: {', '.join(sorted(SCHEMA))}")
    if not 1 <= len(parts) <= DEEPEST.get(prefix, 1) or len(key) > KEY_BYTES:
        raise InvalidValueError(f"{key}: too few or too many parts")
    if not all(KEY_PART.fullmatch(part) for part in parts):
        raise InvalidValueError(f"{key}: a part is 1 to 64 letters, digits, dots, dashes or underscores")
    return SCHEMA[prefix]


def encode_value(key: str, value: Any) -> bytes:
    """Return a checked value as the log keeps it: JSON. Raises ``InvalidValueError``."""
    kind = check_key(key)
    try:
        encoded = msgspec.json.encode(msgspec.convert(value, kind))
    except (msgspec.ValidationError, ValueError) as error:
        raise InvalidValueError(f"{key}: {error}") from None
    if len(encoded) > VALUE_BYTES:
        raise InvalidValueError(f"{key}: {len(encoded)} bytes; {VALUE_BYTES} at most")
    return encoded


def decode_value(value: bytes) -> Any:
    """Return a kept value for people: its JSON, or its text where it is none."""
    try:
        return msgspec.json.decode(value)
    except msgspec.DecodeError:
        return value.decode(errors="replace")
