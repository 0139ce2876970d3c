"""What servers and followers did, for metrics."""

from __future__ import annotations

import msgspec


class ServerCounters(msgspec.Struct):
    """What a server did, for metrics."""

    admitted: int = 0
    busy: int = 0
    cut_slow: int = 0
    cut_silent: int = 0
    malformed: int = 0
    from_the_future: int = 0
    foreign: int = 0
    deltas_sent: int = 0
    snapshots_sent: int = 0
    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0


class FollowerCounters(msgspec.Struct):
    """What a follower did, for metrics."""

    attempts: int = 0
    moves: int = 0
    busy: int = 0
    lost: int = 0
    malformed: int = 0
    refused: int = 0  # generations that were not taken
    repeated: int = 0  # deltas and snapshots that brought nothing new
    out_of_order: int = 0
    deltas: int = 0
    snapshots: int = 0
    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0
