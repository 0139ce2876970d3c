"""The identity of a process in the control network: its name, role, keys, limits and traffic counters."""

from __future__ import annotations

from dataclasses import dataclass, field

from merlinbay.control_service.traffic import TrafficCounters
from merlinbay.fleet.wire import Keys


@dataclass(frozen=True, slots=True)
class TransportLimits:
    """Limits and timeouts of connections."""

    frame_bytes: int = 4 * 1024 * 1024  # a snapshot of the whole configuration has to fit into one frame
    queue_frames: int = 1024  # limit of messages queued on one connection
    queue_bytes: int = 16 * 1024 * 1024  # limit of bytes queued on one connection
    connections: int = 4096  # limit of open connections of one listener
    connect_timeout_s: float = 3.0
    handshake_timeout_s: float = 5.0
    keepalive_s: float = 5.0  # an empty frame is sent after this time without a message to send
    idle_timeout_s: float = 20.0  # closes after this time without a received frame; four keepalives
    write_timeout_s: float = 10.0  # time limit for writing one batch of frames
    first_backoff_s: float = 0.1  # wait between attempts to connect; doubled after each failure
    longest_backoff_s: float = 5.0  # upper limit of that wait


@dataclass(slots=True)
class LocalPeer:
    """The local process as its peers see it."""

    name: str
    role: str  # voter, relay or follower
    fleet: str  # peers of another fleet are rejected
    keys: Keys  # replaced when an operator has the keys reloaded
    bind: str = ""  # local address of outgoing connections; empty: the system chooses it
    limits: TransportLimits = field(default_factory=TransportLimits)
    traffic: TrafficCounters = field(default_factory=TrafficCounters)
