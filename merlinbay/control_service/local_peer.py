"""How a process takes part in the control network: its name, role, keys, limits and traffic counters."""

from __future__ import annotations

from dataclasses import dataclass, field

from merlinbay.control_service.traffic import TrafficCounters
from merlinbay.fleet.wire import Keys


@dataclass(frozen=True, slots=True)
class TransportLimits:
    """Bounds of connections."""

    frame_bytes: int = 4 * 1024 * 1024  # the whole configuration has to fit: snapshots are one frame
    queue_frames: int = 1024  # waiting to be sent on one connection
    queue_bytes: int = 16 * 1024 * 1024
    connections: int = 4096  # accepted by one listener
    connect_timeout_s: float = 3.0
    handshake_timeout_s: float = 5.0
    keepalive_s: float = 5.0  # an empty frame is sent after so long without another one
    idle_timeout_s: float = 20.0  # without any frame received: four keepalives
    write_timeout_s: float = 10.0  # for one batch of frames
    first_backoff_s: float = 0.1  # between attempts to connect; doubled after each failure
    longest_backoff_s: float = 5.0


@dataclass(slots=True)
class LocalPeer:
    """A process as its peers see it."""

    name: str
    role: str  # voter, relay or follower
    fleet: str  # peers of another fleet are rejected
    keys: Keys  # replaced when the operator reloads them
    bind: str = ""  # local address of outgoing connections; empty: the system's choice
    limits: TransportLimits = field(default_factory=TransportLimits)
    traffic: TrafficCounters = field(default_factory=TrafficCounters)
