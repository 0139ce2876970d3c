"""Intervals, bounds and rates of the fan-out, with their reasons. Times are seconds."""

from __future__ import annotations

import msgspec


class WatchServerSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How a voter or relay serves its downstream watches."""

    coalesce: float = 0.1  # least time between two deltas to one watch; a lone change goes out at once
    keepalive: float = 1.2  # a watch without frames for so long gets a KeepAlive; over the usual second
    first_message: float = 5.0  # a new stream whose first message does not come within this is cut
    silence: float = 30.0  # a watch that sent nothing for so long is cut: three reports are missing
    write_timeout: float = 5.0  # a watch that has taken no frame for so long, with some waiting, is cut
    queue_messages: int = 8  # unwritten frames of one watch; a full queue gets one coalesced delta later
    queue_bytes: int = 128 * 1024  # unwritten bytes of one watch, but one frame at the least
    chunk_bytes: int = 32 * 1024  # a part of a delta or snapshot ends with the entry that passes this
    admit_rate: float = 50.0  # new watches a second: a relay's 208 are back in some 4 s
    admit_burst: int = 25  # new watches at once
    max_watches: int = 1000  # more are sent elsewhere: five times a relay's share at 2,500 followers
    retry_least: float = 0.25  # Busy asks for no shorter wait
    retry_most: float = 30.0  # Busy asks for no longer wait
    summary_laggards: int = 16  # followers named in a summary
    summary_counts: int = 8  # distinct revisions counted in a summary, older ones under the oldest
    absent_for: float = 120.0  # a follower that was lost is named for so long


class FollowerSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How a follower keeps its one watch."""

    connect_timeout: float = 3.0  # from the wish to connect to the answer to Watch
    keepalive_timeout: float = 3.0  # nothing from upstream for so long: two KeepAlives are late or missing
    move_spread: float = 1.0  # after a loss the first attempt waits up to so long, evenly spread
    backoff_first: float = 0.5  # mean wait after the first failed attempt; doubled with each
    backoff_most: float = 15.0  # no attempt is put off for longer, but by a server's Busy
    busy_most: float = 30.0  # a server's retry time is believed up to this
    progress: float = 1.0  # a new revision is reported within this, evenly spread
    report: float = 10.0  # a report is sent at least so often
    stale_limit: float = 15.0  # data older than this: another upstream is tried, all within as long again
    prefer_again: float = 60.0  # a watch away from the best upstream tries that again after 1 to 2 times this
    snapshot_bytes: int = 32 * 1024 * 1024  # a larger snapshot is refused: half of a node's 64 MB


class RelaySettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A relay's both sides and what it keeps between them."""

    server: WatchServerSettings = WatchServerSettings()
    follower: FollowerSettings = FollowerSettings()
    cached_changes: int = 10_000  # keys whose last change is kept: some two days of changes
    cached_bytes: int = 8 * 1024 * 1024  # bytes of their keys and values
    summary: float = 1.0  # a changed summary goes up at most so often
