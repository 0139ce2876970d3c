"""Composes the handover of a process, and chooses the socket path that all processes of a node share."""

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
    steering: ClientSteering,
    limits: ResourceLimits,
    counters: Counters,
    log: Log,
    clock: Clock,
) -> Takeover:
    """Return both sides of the handover.

    The path depends on the node's name and address, because nodes may share ``$TMPDIR``.
    """
    key = zlib.crc32(f"{name} {listen[0]}:{listen[1]}".encode())
    path = Path(tempfile.gettempdir()) / f"merlinbay-{key:08x}.sock"
    return Takeover(path, inbox, listener, steering, limits, counters, log, clock)
