"""The operator's section for DNS-SD."""

from __future__ import annotations

import msgspec


class DnsSd(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Where service entries come from in place of the platform's discovery."""

    nameserver: str
    service: str
