"""Counters since the start; the status shows them with the prefixes ``watch_`` and ``follow_``."""

from __future__ import annotations

import msgspec


class ServerCounters(msgspec.Struct):
    """Counters of a watch server."""

    admitted: int = 0  # watches accepted
    busy: int = 0  # watches rejected with a retry time
    cut_slow: int = 0  # streams ended because nothing was written for too long
    cut_silent: int = 0  # streams ended because nothing was received for too long
    malformed: int = 0  # malformed or misplaced messages
    from_the_future: int = 0  # watches rejected because their revision or generation is later
    foreign: int = 0  # watches of another log with the same generation number
    deltas_sent: int = 0
    snapshots_sent: int = 0
    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0


class FollowerCounters(msgspec.Struct):
    """Counters of a follower."""

    attempts: int = 0  # attempts to watch an upstream
    moves: int = 0  # moves from one upstream to a better one
    busy: int = 0  # rejections received
    lost: int = 0  # watches that ended unexpectedly
    malformed: int = 0  # malformed messages received
    refused: int = 0  # upstreams refused because of their generation
    repeated: int = 0  # deltas and snapshots that contained no change
    out_of_order: int = 0  # parts out of order, and deltas after a gap
    deltas: int = 0  # deltas applied
    snapshots: int = 0  # snapshots applied
    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0
