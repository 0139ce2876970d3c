"""What is wrong with what a node was told, and how addresses are written."""

from __future__ import annotations


class ConfigurationError(Exception):
    """The configuration cannot be used; the text is one plain line."""


def address(text: str) -> tuple[str, int]:
    """Read ``host:port``. Raises ``ConfigurationError``."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ConfigurationError(f"not an address: {text!r}")
    return host, int(port)
