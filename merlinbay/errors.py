"""The error for an unusable configuration, and the parsing of addresses in a configuration."""

from __future__ import annotations


class ConfigurationError(Exception):
    """The configuration cannot be used. The text is a single line for the operator."""


def parse_address(text: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port. Raises ``ConfigurationError``."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ConfigurationError(f"expected an address of the form host:port, got {text!r}")
    return host, int(port)
