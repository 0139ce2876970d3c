"""A node's configuration, read from environment variables and the configuration file.

It is read at the start and again on SIGHUP. An unusable configuration raises ``ConfigurationError``.
"""

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
from merlinbay.errors import ConfigurationError, parse_address
from merlinbay.limits import ResourceLimits, limits_from
from merlinbay.platform import messages
from merlinbay.site_settings import settings_from

if TYPE_CHECKING:
    from merlinbay.drmaa.settings import DrmaaSettings
    from merlinbay.operator_file import Operator

LARGEST_AT_ONCE = 4  # requests of the submission front's largest size


class FileLimits(msgspec.Struct):
    """The ``limits`` of the configuration file: the resources that the platform grants the process."""

    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


class ConfigurationFile(msgspec.Struct):
    """The contents of the configuration file."""

    name: str
    listen: str
    discovery: str
    settings: dict[str, Any]
    seed: str = "0"
    limits: FileLimits = msgspec.field(default_factory=FileLimits)
    known: messages.Listing = msgspec.field(default_factory=lambda: messages.Listing(0, True, []))
    admin_addr: str = ""


@dataclass(frozen=True)
class Config:
    """Everything that a node needs to start."""

    name: str
    listen: tuple[str, int]
    discovery: str  # address of discovery, as ``host:port``
    seed: int
    initial_list: messages.Listing  # endpoint list that is used until discovery has answered
    settings: Settings
    limits: ResourceLimits
    operator: Operator | None = None  # None if every optional component is off
    admin: tuple[str, int] | None = None  # address of the admin listener; None if there is none

    def identity(self) -> NodeIdentity:
        """Return the data about the node that optional components need."""
        return NodeIdentity(self.name, self.listen, self.settings, self.limits)


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration. Raises ``ConfigurationError``."""
    path = environ.get("LB_CONFIG", "")
    if not path:
        raise ConfigurationError("LB_CONFIG is not set")
    file = _read_file(path)
    try:
        settings = settings_from(file.settings)
        seed = int(file.seed, 16)
        limits = _limits_for(file, settings)
    except (ValueError, TypeError, OverflowError) as error:
        raise ConfigurationError(f"{path}: {error}") from None
    admin_text = environ.get("LB_ADMIN_ADDR") or file.admin_addr
    admin = parse_address(admin_text) if admin_text else None
    limits = replace(limits, accept_fd=read_accept_fd(environ.get("LB_ACCEPT_FD", "")))
    listen = parse_address(environ.get("LB_LISTEN", file.listen))
    discovery = environ.get("LB_DISCOVERY", file.discovery)
    parse_address(discovery)  # raises an error if it is not an address
    operator = read_operator_file(environ.get("LB_OPERATOR", ""))
    if operator is not None and operator.drmaa.front:
        limits = _share_with_front(limits, operator.drmaa)
    name = environ.get("LB_NAME", file.name)
    return Config(name, listen, discovery, seed, file.known, settings, limits, operator, admin)


def _read_file(path: str) -> ConfigurationFile:
    """Read the configuration file. Raises ``ConfigurationError``."""
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=ConfigurationFile)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, RecursionError) as error:
        raise ConfigurationError(f"{path}: {error}") from None


def _limits_for(file: ConfigurationFile, settings: Settings) -> ResourceLimits:
    """Return the resource limits that result from the file."""
    extra = file.settings.get("limits", {})
    return limits_from(
        file.limits.sockets,
        file.limits.memory_mb,
        settings,
        int(extra.get("dialTimeoutUs") or 0),
        int(extra.get("keepaliveUs") or 0),
        int(extra.get("mostHeld") or ResourceLimits.max_open_requests),
    )


def _share_with_front(limits: ResourceLimits, drmaa: DrmaaSettings) -> ResourceLimits:
    """Return the limits of a node that also runs the DRMAA front."""
    body_bytes = max(limits.body_bytes, drmaa.body_kib * 1024)
    # A few of the largest requests must have room at a time.
    message_bytes = max(limits.message_bytes, LARGEST_AT_ONCE * body_bytes)
    limits = replace(limits, body_bytes=body_bytes, message_bytes=message_bytes)
    if not drmaa.access.tls:
        return limits
    return replace(  # The two listeners share the descriptors.
        limits,
        client_connections=limits.client_connections // 2,
        max_open_requests=min(limits.max_open_requests, limits.client_connections * 3 // 8),
        drmaa_waits=max(limits.drmaa_waits // 2, 1),
    )


def read_operator_file(path: str) -> Operator | None:
    """Read the operator's file. Return None if no path is set. Raises ``ConfigurationError``."""
    if not path:
        return None
    from merlinbay.operator_file import read  # Imported only when needed: it slows down the start.

    return read(path)


def read_accept_fd(text: str) -> int:
    """Return the descriptor of the inherited listening socket, or -1. Raises ``ConfigurationError``."""
    if not text:
        return -1
    try:
        number = int(text)
        if not stat.S_ISSOCK(os.fstat(number).st_mode):
            raise OSError
    except (ValueError, OSError, OverflowError):
        raise ConfigurationError(f"LB_ACCEPT_FD: expected the descriptor of a socket, got {text!r}") from None
    return number


def reload(old: Config, environ: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration again. The ``discovery`` of the file applies; ``LB_DISCOVERY`` is ignored.

    Raises ``ConfigurationError``, also for a change that needs a restart.
    """
    new = load({name: value for name, value in environ.items() if name != "LB_DISCOVERY"})
    if old.operator is not None and new.operator is not None:
        has_other_discovery = (new.operator.dnssd is None) != (old.operator.dnssd is None)
        if has_other_discovery or new.operator.drmaa != old.operator.drmaa:
            raise ConfigurationError(
                "the operator's file: changing a front or the kind of discovery needs a restart"
            )
    return new
