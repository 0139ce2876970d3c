"""Makes one entry of several DNS-SD records that name one server. No I/O.

A server is what listens at a host and port, whatever the names of the records that lead there. Two entries
for one server would count its slots twice, and let a request have two attempts there at a time.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from merlinbay.core.values import ServiceEntry


@dataclass(frozen=True, slots=True)
class ServerList:
    """The servers of a service."""

    entries: dict[str, ServiceEntry] = field(default_factory=dict)  # by server; no two have one address
    aliases: dict[str, str] = field(default_factory=dict)  # further names of servers, and the server of each


def merge_by_address(listed: Iterable[ServiceEntry], former: Mapping[str, ServiceEntry]) -> ServerList:
    """Return one entry for each address, from entries with different names.

    A server keeps the name that it has in the ``former`` list while one of its records has it; otherwise the
    first of its records names it. The record that names it gives the attributes, but a server drains if any
    of its records says so, and its latest start is the latest of them.
    """
    by_address: dict[str, list[ServiceEntry]] = {}
    for entry in listed:
        by_address.setdefault(entry.address, []).append(entry)
    servers = ServerList()
    for address, records in by_address.items():
        naming = next((entry for entry in records if _had_address(former, entry.server, address)), records[0])
        servers.entries[naming.server] = msgspec.structs.replace(
            naming,
            state="up" if all(entry.state == "up" for entry in records) else "draining",
            started_at_us=max(entry.started_at_us for entry in records),
        )
        servers.aliases.update(
            (entry.server, naming.server) for entry in records if entry.server != naming.server
        )
    return servers


def _had_address(former: Mapping[str, ServiceEntry], server: str, address: str) -> bool:
    entry = former.get(server)
    return entry is not None and entry.address == address
