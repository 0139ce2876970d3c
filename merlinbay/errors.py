"""The error of an unusable configuration, and the addresses that a configuration names."""

from __future__ import annotations


class ConfigurationError(Exception):
    """The configuration cannot be used; the text is one plain line."""


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of ``host:port``. Raises ``ConfigurationError``."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ConfigurationError(f"not an address: {text!r}")
    return host, int(port)
