"""Where call-backs may go: only to networks that the operator has named, and never to the node itself."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import urlsplit

Network = ipaddress.IPv4Network


class TargetError(Exception):
    """A URL that no call-back goes to."""


@dataclass(frozen=True, slots=True)
class CallbackTarget:
    """Where a listener listens."""

    addr: str  # host:port
    path: str


@dataclass(frozen=True, slots=True)
class AllowedTargets:
    """The networks that call-backs may go to, each with one port or (0) any; and our own addresses."""

    networks: tuple[tuple[Network, int], ...] = ()
    own: frozenset[tuple[str, int]] = frozenset()

    @classmethod
    def read(cls, texts: Iterable[str], own: Iterable[tuple[str, int]]) -> AllowedTargets:
        """Read ``127.0.0.0/8`` or ``10.1.0.5/32:9000``. Raises ``ValueError``."""
        networks = []
        for text in texts:
            network, colon, port = text.partition(":")
            if colon and not (port.isdigit() and 0 < int(port) < 65536):
                raise ValueError(f"no port: {text!r}")
            networks.append((Network(network), int(port or 0)))
        return cls(tuple(networks), frozenset(own))

    def target(self, url: str) -> CallbackTarget:
        """Read a listener's URL. Raises ``TargetError``."""
        if len(url) > 2000 or any(ord(char) <= 32 or ord(char) > 126 for char in url):
            raise TargetError("a URL has at most 2000 printable characters")
        try:
            parts = urlsplit(url)
            host, port = parts.hostname or "", parts.port or 80
            address = ipaddress.IPv4Address(host)
        except ValueError:
            raise TargetError("its host is not an IPv4 address") from None
        if parts.scheme != "http" or parts.username is not None or parts.fragment:
            raise TargetError("it is http://ADDRESS:PORT/PATH")
        # Guards against a node that sends itself call-backs without end.
        for own, own_port in self.own:
            if port == own_port and (host == own or own == "0.0.0.0" or address.is_unspecified):
                raise TargetError("it is this node's own address")
        if not any(address in network and wanted in (0, port) for network, wanted in self.networks):
            raise TargetError("the operator allows no call-backs there")
        path = parts.path or "/"
        return CallbackTarget(f"{host}:{port}", f"{path}?{parts.query}" if parts.query else path)
