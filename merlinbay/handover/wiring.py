"""Where the two processes of a node meet."""

from __future__ import annotations

import tempfile
import zlib
from pathlib import Path

import trio

from merlinbay.clock import Clock
from merlinbay.core.messages import Message
from merlinbay.counters import Counters
from merlinbay.handover.takeover import Takeover
from merlinbay.http.client_steering import ClientSteering
from merlinbay.http.server import Listener
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log


def wire(
    name: str,
    listen: tuple[str, int],
    inbox: trio.MemorySendChannel[Message],
    listener: Listener,
    client_steering: ClientSteering,
    limits: ResourceLimits,
    counters: Counters,
    log: Log,
    clock: Clock,
) -> Takeover:
    """Return this process's side. Nodes that share a ``$TMPDIR`` are told apart by name and address."""
    key = zlib.crc32(f"{name} {listen[0]}:{listen[1]}".encode())
    path = Path(tempfile.gettempdir()) / f"merlinbay-{key:08x}.sock"
    return Takeover(path, inbox, listener, client_steering, limits, counters, log, clock)
