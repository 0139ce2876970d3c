"""What a node is told at its start: the platform's environment and configuration file."""

from __future__ import annotations

import os
import stat
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from merlinbay.core.values import NodeIdentity
from merlinbay.decision.settings import Settings
from merlinbay.errors import ConfigurationError, address
from merlinbay.limits import ResourceLimits, limits_from
from merlinbay.platform import messages
from merlinbay.site_settings import settings_from

if TYPE_CHECKING:
    from merlinbay.operator_file import Operator


class Bounds(msgspec.Struct):
    """The ``limits`` of the file."""

    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


class File(msgspec.Struct):
    """The configuration file."""

    name: str
    listen: str
    discovery: str
    settings: dict[str, Any]
    seed: str = "0"
    limits: Bounds = msgspec.field(default_factory=Bounds)
    known: messages.Listing = msgspec.field(default_factory=lambda: messages.Listing(0, True, []))
    admin_addr: str = ""


@dataclass(frozen=True)
class Config:
    """All that a node needs to start."""

    name: str
    listen: tuple[str, int]
    discovery: str
    seed: int
    known: messages.Listing
    settings: Settings
    limits: ResourceLimits
    operator: Operator | None = None  # without one, everything beside the platform's protocol is off
    admin: tuple[str, int] | None = None  # where operators call

    def facts(self) -> NodeIdentity:
        """Return what the parts of an operator's file are told."""
        return NodeIdentity(self.name, self.listen, self.settings, self.limits)


def operator_file(path: str) -> Operator | None:
    """Read the operator's file, if there is one."""
    if not path:
        return None
    from merlinbay.operator_file import (
        read,  # Guards against a slow start: without a file, nothing of it is used.
    )

    return read(path)


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration. Raises ``ConfigurationError``."""
    path = environ.get("LB_CONFIG", "")
    if not path:
        raise ConfigurationError("LB_CONFIG is not set")
    try:
        file = msgspec.json.decode(Path(path).read_bytes(), type=File)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, RecursionError) as error:
        raise ConfigurationError(f"{path}: {error}") from None
    try:
        settings = settings_from(file.settings)
        seed = int(file.seed, 16)
        extra = file.settings.get("limits", {})
        limits = limits_from(
            file.limits.sockets,
            file.limits.memory_mb,
            settings,
            int(extra.get("dialTimeoutUs") or 0),
            int(extra.get("keepaliveUs") or 0),
            int(extra.get("mostHeld") or ResourceLimits.most_held),
        )
    except (ValueError, TypeError, OverflowError) as error:
        raise ConfigurationError(f"{path}: {error}") from None
    admin_text = environ.get("LB_ADMIN_ADDR") or file.admin_addr
    admin = address(admin_text) if admin_text else None
    limits = replace(limits, accept_fd=accept_fd(environ.get("LB_ACCEPT_FD", "")))
    listen = address(environ.get("LB_LISTEN", file.listen))
    discovery = environ.get("LB_DISCOVERY", file.discovery)
    address(discovery)
    operator = operator_file(environ.get("LB_OPERATOR", ""))
    if operator is not None and operator.drmaa.front:
        limits = replace(limits, body_bytes=max(limits.body_bytes, operator.drmaa.body_kib * 1024))
        if operator.drmaa.access.tls:  # two listeners share the descriptors
            limits = replace(
                limits,
                edge_connections=limits.edge_connections // 2,
                most_held=min(limits.most_held, limits.edge_connections * 3 // 8),
                waits=max(limits.waits // 2, 1),
            )
    return Config(
        environ.get("LB_NAME", file.name),
        listen,
        discovery,
        seed,
        file.known,
        settings,
        limits,
        operator,
        admin,
    )


def accept_fd(text: str) -> int:
    """Read which descriptor listens for clients, -1 for none. Raises ``ConfigurationError``."""
    if not text:
        return -1
    try:
        number = int(text)
        if not stat.S_ISSOCK(os.fstat(number).st_mode):
            raise OSError
    except (ValueError, OSError, OverflowError):
        raise ConfigurationError(f"LB_ACCEPT_FD: no socket: {text!r}") from None
    return number


def reload(old: Config, environ: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration again.

    Raises ``ConfigurationError``, also where what only a restart can change differs.

    The file's ``discovery`` counts, whatever the environment said at the start.
    """
    new = load({name: value for name, value in environ.items() if name != "LB_DISCOVERY"})
    was, now = old.operator, new.operator
    if (
        was is not None
        and now is not None
        and ((now.dnssd is None) != (was.dnssd is None) or now.drmaa != was.drmaa)
    ):
        raise ConfigurationError(
            "the operator's file: fronts and the kind of discovery change by a restart only"
        )
    return new
