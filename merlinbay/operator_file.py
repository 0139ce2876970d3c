"""The operator's file: the optional components, a section each."""

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

# Names of section types in the printed schema, by the names of the types.
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
    lines: Annotated[int, msgspec.Meta(ge=1)] = 20  # of one event a second; those beyond are counted


class Operator(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The operator's file."""

    drmaa: DrmaaSettings = msgspec.field(default_factory=DrmaaSettings)
    dnssd: DnsSd | None = None
    fleet: FleetSettings = msgspec.field(default_factory=FleetSettings)
    control: Control | None = None
    log: LogSection = msgspec.field(default_factory=LogSection)


def read(path: str) -> Operator:
    """Read an operator's file. Raises ``ConfigurationError`` with one line that names file, key and cause."""
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
    """Check what types alone cannot. Raises ``ConfigurationError`` with key and cause."""
    drmaa, fleet, control = operator.drmaa, operator.fleet, operator.control
    if operator.dnssd is not None:
        _check_address("dnssd.nameserver", operator.dnssd.nameserver)
    if drmaa.front and (wrong := drmaa.access.validation_error()):
        raise ConfigurationError(f"drmaa.{wrong}")
    if wrong := fleet.validation_error():
        raise ConfigurationError(f"fleet.{wrong}")
    if control is not None and (wrong := control.validation_error()):
        raise ConfigurationError(f"control.{wrong}")
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
        raise ConfigurationError("drmaa.session: names must differ, and from 'default'")


def _check_address(key: str, text: str) -> None:
    try:
        parse_address(text)
    except ConfigurationError as error:
        raise ConfigurationError(f"{key}: {error}") from None


def schema() -> dict[str, object]:
    """Return the file's JSON schema, with the names of sections that it has always had."""
    text = msgspec.json.encode(msgspec.json.schema(Operator)).decode()
    for name, earlier in SCHEMA_NAMES.items():
        text = text.replace(f'"{name}"', f'"{earlier}"').replace(f'/{name}"', f'/{earlier}"')
    found: dict[str, object] = msgspec.json.decode(text)
    return found
