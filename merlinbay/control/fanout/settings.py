"""Intervals, bounds and rates of the fan-out, with their reasons. Times are in seconds."""

from __future__ import annotations

import msgspec


class WatchServerSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of a voter or relay for its downstream watches."""

    coalesce: float = 0.1  # shortest time between two deltas to one watch; a lone change is sent at once
    # A watch without frames for this long gets a KeepAlive. More than the usual second between changes.
    keepalive: float = 1.2
    first_message: float = 5.0  # a new stream without its first message after this time is closed
    silence: float = 30.0  # a watch that sent nothing for this long is closed: three reports are missing
    write_timeout: float = 5.0  # a watch with frames waiting is closed if none was written for this long
    queue_messages: int = 8  # bound on unwritten frames of one watch; a full queue gets one delta later
    queue_bytes: int = 128 * 1024  # bound on unwritten bytes of one watch; one frame is always queued
    chunk_bytes: int = 32 * 1024  # a part of a delta or snapshot ends with the entry that exceeds this
    admit_rate: float = 50.0  # new watches per second; a relay's 208 watches return within about 4 s
    admit_burst: int = 25  # new watches that are admitted at once
    max_watches: int = 1000  # five times a relay's share at 2,500 followers; further watches are rejected
    retry_least: float = 0.25  # shortest retry time that a rejection gives
    retry_most: float = 30.0  # longest retry time that a rejection gives
    summary_laggards: int = 16  # bound on the followers named in a summary
    summary_counts: int = 8  # distinct revisions in a summary; older ones are counted under the oldest
    absent_for: float = 120.0  # time for which a summary names a follower that was lost


class FollowerSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of a follower for its one watch."""

    connect_timeout: float = 3.0  # time from the start of an attempt to the answer to its WatchRequest
    # A watch without messages for this long is abandoned: two KeepAlives are late or missing.
    keepalive_timeout: float = 3.0
    move_spread: float = 1.0  # after a loss the first attempt is made within this, evenly spread
    backoff_first: float = 0.5  # mean wait after the first failed attempt; doubled with each further one
    backoff_most: float = 15.0  # longest wait before an attempt, unless a server's retry time is longer
    busy_most: float = 30.0  # a longer retry time of a server is shortened to this
    progress: float = 1.0  # a new revision is reported within this, evenly spread
    report: float = 10.0  # longest time between two reports
    # With older data a follower tries another upstream; the first attempts are spread over the same time.
    stale_limit: float = 15.0
    # A watch at another than the best upstream tries a better one again after 1 to 2 times this.
    prefer_again: float = 60.0
    snapshot_bytes: int = 32 * 1024 * 1024  # larger snapshots are refused; half of a node's 64 MB


class RelaySettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of a relay: its two sides and the changes that it keeps between them."""

    server: WatchServerSettings = WatchServerSettings()
    follower: FollowerSettings = FollowerSettings()
    cached_changes: int = 10_000  # keys whose last change is kept; about two days of changes
    cached_bytes: int = 8 * 1024 * 1024  # bound on the bytes of their keys and values
    summary: float = 1.0  # shortest time between two changed summaries sent upstream
