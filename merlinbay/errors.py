"""The error for an unusable configuration, and the parsing of addresses in a configuration."""

from __future__ import annotations

MAX_PORT = 65_535


class ConfigurationError(Exception):
    """The configuration cannot be used. The text is a single line for the operator."""


def parse_address(text: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port. Raises ``ConfigurationError``."""
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not is_number or int(port) > MAX_PORT or not _is_host(host):
        raise ConfigurationError(f"expected an address of the form host:port, got {text!r}")
    return host, int(port)


def _is_host(text: str) -> bool:
    """Return whether a socket takes the text for a host. For others it raises no ``OSError``."""
    try:
        text.encode("idna")
    except UnicodeError:  # A label is empty or too long, or has characters that no name has.
        return False
    return bool(text) and "\0" not in text
