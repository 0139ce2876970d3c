"""Settings of DNS-SD in the operator's file."""

from __future__ import annotations

import msgspec


class DnsSd(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Reads the endpoint list by DNS-SD in place of the platform's discovery."""

    nameserver: str  # address of the name server, as ``host:port``
    service: str  # name whose PTR records list the instances of the service
