"""How the DNS-SD directory is put together."""

from __future__ import annotations

import trio

from merlinbay.core import ports
from merlinbay.counters import Counters
from merlinbay.dnssd.directory import DnsSdDirectory
from merlinbay.dnssd.settings import DnsSd
from merlinbay.limits import Limits
from merlinbay.log import Log
from merlinbay.problems import address


def wire(
    section: DnsSd, inbox: trio.MemorySendChannel[ports.Message], limits: Limits, counters: Counters, log: Log
) -> DnsSdDirectory:
    """Make the directory. Raises ``BadConfig``."""
    return DnsSdDirectory(address(section.nameserver), section.service, inbox, limits, counters, log)
