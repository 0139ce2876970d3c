"""A leader's state for each receiver of its log: next index, match index, mode."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum


class ReplicationMode(Enum):
    """How entries are sent to the receiver."""

    PROBE = "probe"  # the match index is not known: one message at a time
    REPLICATE = "replicate"  # several batches may be unacknowledged
    SNAPSHOT = "snapshot"  # missing entries are compacted: a snapshot is sent


TRANSITIONS: dict[ReplicationMode, frozenset[ReplicationMode]] = {
    ReplicationMode.PROBE: frozenset(
        {ReplicationMode.PROBE, ReplicationMode.REPLICATE, ReplicationMode.SNAPSHOT}
    ),
    ReplicationMode.REPLICATE: frozenset(
        {ReplicationMode.REPLICATE, ReplicationMode.PROBE, ReplicationMode.SNAPSHOT}
    ),
    ReplicationMode.SNAPSHOT: frozenset({ReplicationMode.PROBE}),
}


@dataclass(slots=True)
class SnapshotInstallation:
    """The installation of a snapshot at a receiver, one chunk at a time."""

    index: int
    data: bytes
    offset: int = 0  # bytes that the receiver has
    sent_at: float = 0.0
    sent_round: int = 0


@dataclass(slots=True)
class FollowerProgress:
    """One receiver of the log."""

    incarnation: str  # of the disk that last answered; empty: none yet, and it is no voter
    next_index: int  # the next entry to send
    match_index: int = 0  # its log matches the leader's up to here
    acked_round: int = 0  # the last heartbeat round that it answered
    mode: ReplicationMode = ReplicationMode.PROBE
    probe_sent: bool = False  # in PROBE: one message is unacknowledged
    in_flight: deque[int] = field(default_factory=deque)  # last index of each unacknowledged batch
    transfer: SnapshotInstallation | None = None

    def enter(self, mode: ReplicationMode) -> None:
        """Change the mode."""
        if mode not in TRANSITIONS[self.mode]:
            raise AssertionError(f"{self.mode.value} becomes {mode.value}")
        self.mode = mode
        self.probe_sent = False
        self.in_flight.clear()
        self.transfer = None

    def agreed(self, index: int) -> None:
        """Record a successful response: the logs match up to ``index``."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()
        if self.mode is ReplicationMode.PROBE:
            self.next_index = self.match_index + 1
            self.enter(ReplicationMode.REPLICATE)

    def disagreed(self, hint: int) -> None:
        """Record a rejection: the logs may match at ``hint`` or before."""
        if self.mode is ReplicationMode.SNAPSHOT:
            return
        if self.mode is ReplicationMode.PROBE and hint + 1 >= self.next_index:
            return  # the response to an earlier probe
        self.next_index = max(self.match_index + 1, min(self.next_index, hint + 1))
        self.enter(ReplicationMode.PROBE)
