"""Counters since the start; the status shows them with the prefixes ``watch_`` and ``follow_``."""

from __future__ import annotations

import msgspec


class ServerCounters(msgspec.Struct):
    """Counters of a watch server."""

    admitted: int = 0  # watches accepted
    busy: int = 0  # watches rejected for now
    cut_slow: int = 0  # watches ended since nothing was written for too long
    cut_silent: int = 0  # watches ended since nothing was received for too long
    malformed: int = 0  # messages
    from_the_future: int = 0  # watches with a later revision or generation
    foreign: int = 0  # watches of another log with the same generation number
    deltas_sent: int = 0
    snapshots_sent: int = 0
    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0


class FollowerCounters(msgspec.Struct):
    """Counters of a follower."""

    attempts: int = 0  # to watch an upstream
    moves: int = 0  # from one upstream to a better one
    busy: int = 0  # rejections received
    lost: int = 0  # watches that ended unexpectedly
    malformed: int = 0  # messages
    refused: int = 0  # upstreams of a generation that was not accepted
    repeated: int = 0  # deltas and snapshots with nothing new
    out_of_order: int = 0  # parts or deltas after a gap
    deltas: int = 0  # applied
    snapshots: int = 0  # applied
    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0
