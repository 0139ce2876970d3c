"""The operator's file: what is on beside the platform's protocol, section by section."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from merlinbay.control_service.settings import Section as Control
from merlinbay.dnssd.settings import DnsSd
from merlinbay.drmaa.settings import Drmaa
from merlinbay.errors import ConfigurationError, address
from merlinbay.fleet.settings import FleetSettings
from merlinbay.notify.targets import Allowed


class LogSection(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """How events are written to standard error."""

    format: Literal["plain", "console", "json"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"
    lines: Annotated[int, msgspec.Meta(ge=1)] = 20  # of one event a second; what is beyond it is counted


class Operator(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The operator's file."""

    drmaa: Drmaa = msgspec.field(default_factory=Drmaa)
    dnssd: DnsSd | None = None
    fleet: FleetSettings = msgspec.field(default_factory=FleetSettings)
    control: Control | None = None
    log: LogSection = msgspec.field(default_factory=LogSection)


def read(path: str) -> Operator:
    """Read an operator's file. Raises ``ConfigurationError`` with one line that names file, key and cause."""
    try:
        operator = msgspec.convert(tomllib.loads(Path(path).read_text()), Operator)
        if operator.dnssd is not None:
            address(operator.dnssd.nameserver)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    except (ValueError, msgspec.ValidationError) as error:
        raise ConfigurationError(f"{path}: {error}") from None
    except ConfigurationError as error:
        raise ConfigurationError(f"{path}: dnssd.nameserver: {error}") from None
    if operator.drmaa.front and (wrong := operator.drmaa.access.wrong()):
        raise ConfigurationError(f"{path}: drmaa.{wrong}")
    if wrong := operator.fleet.wrong():
        raise ConfigurationError(f"{path}: fleet.{wrong}")
    if operator.control is not None and (wrong := operator.control.wrong()):
        raise ConfigurationError(f"{path}: control.{wrong}")
    for key in ("listen", "advertise", "control"):
        try:
            if text := getattr(operator.fleet, key):
                address(text)
        except ConfigurationError as error:
            raise ConfigurationError(f"{path}: fleet.{key}: {error}") from None
    try:
        if operator.drmaa.access.tls:
            address(operator.drmaa.access.tls)
        Allowed.read(operator.drmaa.events.to, ())
    except ConfigurationError as error:
        raise ConfigurationError(f"{path}: drmaa.access.tls: {error}") from None
    except ValueError as error:
        raise ConfigurationError(f"{path}: drmaa.events.to: {error}") from None
    names = [session.name for session in operator.drmaa.session]
    if "default" in names or len(set(names)) < len(names):
        raise ConfigurationError(f"{path}: drmaa.session: names must differ, and from 'default'")
    return operator


def schema() -> dict[str, object]:
    """Return the file's JSON schema."""
    return msgspec.json.schema(Operator)
