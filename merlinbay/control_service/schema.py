"""The types of the configuration's values, by key prefix. Values are checked before a change is proposed."""

from __future__ import annotations

import re
from typing import Annotated, Any

import msgspec

KEY_BYTES = 256
# Every change is sent to every follower as one frame, so large data has to be stored elsewhere.
VALUE_BYTES = 64 * 1024
KEY_PART = re.compile(r"[A-Za-z0-9._-]{1,64}")
Count = Annotated[int, msgspec.Meta(ge=0)]
Amount = Annotated[float, msgspec.Meta(ge=0)]


class InvalidValueError(Exception):
    """A key or value is rejected. The text is one line with the key and the cause."""


class TeamSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """``teams/NAME``: the limits of one team."""

    tasks_running: Count
    accelerators: Count = 0
    task_starts_per_second: Amount = 0.0  # 0: the team has no limit of its own
    share: Annotated[float, msgspec.Meta(gt=0)] = 1.0  # weight against other teams under contention
    urgent: bool = False  # the team may submit work that starts before other work


class LimitSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """``limits/NAME``: one limit that applies to the whole installation."""

    value: Amount
    unit: str = ""


class FreeSetting(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """``configuration/PART/NAME``: a setting whose exact type is known to the code that reads it."""

    value: bool | int | float | str | list[str]


class ControlMachine(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """``machines/NAME``: the addresses of a control machine that is added after the first start."""

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
MAX_PARTS = {"configuration": 4}  # limit of parts of a key after its prefix; one for other prefixes


def check_key(key: str) -> type[msgspec.Struct]:
    """Return the type of a key's values. Raises ``InvalidValueError``."""
    prefix, *parts = key.split("/")
    if prefix not in SCHEMA:
        raise InvalidValueError(f"{key}: unknown prefix {prefix!r}; known: {', '.join(sorted(SCHEMA))}")
    if not 1 <= len(parts) <= MAX_PARTS.get(prefix, 1) or len(key) > KEY_BYTES:
        raise InvalidValueError(f"{key}: too few or too many parts")
    if not all(KEY_PART.fullmatch(part) for part in parts):
        raise InvalidValueError(
            f"{key}: a part is expected to be 1 to 64 letters, digits, dots, dashes or underscores"
        )
    return SCHEMA[prefix]


def encode_value(key: str, value: Any) -> bytes:
    """Check a value and return it as JSON, as the log stores it. Raises ``InvalidValueError``."""
    value_type = check_key(key)
    try:
        encoded = msgspec.json.encode(msgspec.convert(value, value_type))
    except (msgspec.ValidationError, ValueError) as error:
        raise InvalidValueError(f"{key}: {error}") from None
    if len(encoded) > VALUE_BYTES:
        raise InvalidValueError(
            f"{key}: the value has {len(encoded)} bytes; at most {VALUE_BYTES} are allowed"
        )
    return encoded


def decode_value(value: bytes) -> Any:
    """Return a stored value for display: decoded from JSON, or as text if it is not JSON."""
    try:
        return msgspec.json.decode(value)
    except msgspec.DecodeError:
        return value.decode(errors="replace")
