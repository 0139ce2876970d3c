"""Makes the DNS-SD directory from its section of the operator's file, when a node starts."""

from __future__ import annotations

import trio

from merlinbay.core.messages import Message
from merlinbay.counters import Counters
from merlinbay.dnssd.directory import DnsSdDirectory
from merlinbay.dnssd.settings import DnsSd
from merlinbay.errors import parse_address
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log


def wire(
    section: DnsSd,
    inbox: trio.MemorySendChannel[Message],
    limits: ResourceLimits,
    counters: Counters,
    log: Log,
) -> DnsSdDirectory:
    """Make the directory. Raises ``ConfigurationError`` if the name server's address is invalid."""
    return DnsSdDirectory(parse_address(section.nameserver), section.service, inbox, limits, counters, log)
