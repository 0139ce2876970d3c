"""The operator's file, which configures the optional components in a section each.

It is read at the start of a node and on a reload. An error names the file, the key and the cause.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from merlinbay.control_service.settings import ControlSection as Control
from merlinbay.dnssd.settings import DnsSd
from merlinbay.drmaa.settings import DrmaaSettings
from merlinbay.errors import ConfigurationError, parse_address
from merlinbay.fleet.settings import FleetSettings
from merlinbay.notify.targets import AllowedTargets

# The name of each section type in the printed schema.
SCHEMA_NAMES = {
    "AccessSettings": "Access",
    "ControlSection": "Section",
    "DrmaaSettings": "Drmaa",
    "EventSettings": "Events",
    "FleetSettings": "Fleet",
    "ReservationSettings": "Reservations",
    "SessionsSettings": "Sessions",
}


class LogSection(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """How events are written to standard error."""

    format: Literal["plain", "console", "json"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"
    lines: Annotated[int, msgspec.Meta(ge=1)] = 20  # maximum per event and second; further ones are counted


class Operator(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The contents of the operator's file."""

    drmaa: DrmaaSettings = msgspec.field(default_factory=DrmaaSettings)
    dnssd: DnsSd | None = None
    fleet: FleetSettings = msgspec.field(default_factory=FleetSettings)
    control: Control | None = None
    log: LogSection = msgspec.field(default_factory=LogSection)


def read(path: str) -> Operator:
    """Read an operator's file. Raises ``ConfigurationError`` with a line that names file, key and cause."""
    try:
        operator = msgspec.convert(tomllib.loads(Path(path).read_text()), Operator)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    except (ValueError, msgspec.ValidationError) as error:
        raise ConfigurationError(f"{path}: {error}") from None
    try:
        _check(operator)
    except ConfigurationError as error:
        raise ConfigurationError(f"{path}: {error}") from None
    return operator


def _check(operator: Operator) -> None:
    """Check the rules that types cannot express. Raises ``ConfigurationError`` with key and cause."""
    drmaa, fleet, control = operator.drmaa, operator.fleet, operator.control
    if operator.dnssd is not None and (problem := operator.dnssd.validation_error()):
        raise ConfigurationError(f"dnssd.{problem}")
    if drmaa.front and (problem := drmaa.access.validation_error()):
        raise ConfigurationError(f"drmaa.{problem}")
    if problem := fleet.validation_error():
        raise ConfigurationError(f"fleet.{problem}")
    if control is not None and (problem := control.validation_error()):
        raise ConfigurationError(f"control.{problem}")
    for key in ("listen", "advertise", "control"):
        if text := getattr(fleet, key):
            _check_address(f"fleet.{key}", text)
    if drmaa.access.tls:
        _check_address("drmaa.access.tls", drmaa.access.tls)
    try:
        AllowedTargets.read(drmaa.events.to, ())
    except ValueError as error:
        raise ConfigurationError(f"drmaa.events.to: {error}") from None
    names = [session.name for session in drmaa.session]
    if "default" in names or len(set(names)) < len(names):
        raise ConfigurationError("drmaa.session: names must be unique and must not be 'default'")


def _check_address(key: str, text: str) -> None:
    try:
        parse_address(text)
    except ConfigurationError as error:
        raise ConfigurationError(f"{key}: {error}") from None


def schema() -> dict[str, object]:
    """Return the JSON schema of the file, in which sections keep the names they have had from the start."""
    text = msgspec.json.encode(msgspec.json.schema(Operator)).decode()
    for name, schema_name in SCHEMA_NAMES.items():
        text = text.replace(f'"{name}"', f'"{schema_name}"').replace(f'/{name}"', f'/{schema_name}"')
    decoded: dict[str, object] = msgspec.json.decode(text)
    return decoded
