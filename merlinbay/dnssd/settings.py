"""The operator's section for DNS-SD."""

from __future__ import annotations

import msgspec


class DnsSd(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The source of the endpoint list in place of the platform's discovery."""

    nameserver: str  # ``host:port``
    service: str  # the name that PTR records are queried for
