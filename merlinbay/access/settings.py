"""The ``[drmaa.access]`` section of the operator's file."""

from __future__ import annotations

from typing import Annotated

import msgspec


class AccessSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Who may call the front, and how."""

    open: bool = False  # everybody may do everything: for a closed network
    keys: str = ""  # the ring of keys that check tokens: a file of merlinbay keys
    tls: str = ""  # address:port of a further listener that speaks TLS
    certificate: str = ""  # its certificate chain, PEM,
    certificate_key: str = ""  # and the key to it
    client_ca: str = ""  # where set, clients show a certificate that one of these has signed
    plain: bool = False  # with tls: calls are answered on the platform's listener too
    handshakes: Annotated[int, msgspec.Meta(ge=1)] = 64  # TLS handshakes under way
    handshake: Annotated[float, msgspec.Meta(gt=0)] = 2.0  # seconds for one

    def validation_error(self) -> str:
        """Return what makes the section unusable, naming the key; empty if nothing does."""
        if not self.open and not self.keys:
            return "access: name the token keys' file in keys, or say open = true"
        if self.open and self.keys:
            return "access.open: excludes keys"
        if bool(self.tls) != bool(self.certificate and self.certificate_key):
            return "access.tls: goes with certificate and certificate_key"
        if self.client_ca and not self.tls:
            return "access.client_ca: goes with tls"
        if self.plain and not self.tls:
            return "access.plain: goes with tls"
        return ""
