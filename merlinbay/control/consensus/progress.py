"""A leader's state for each receiver of its log: next index, match index and replication mode.

``LeaderReplication`` updates it with each message that it sends and each response that it receives.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum


class ReplicationMode(Enum):
    """How entries are sent to the receiver."""

    PROBE = "probe"  # the match index is not known, so one message is sent at a time
    REPLICATE = "replicate"  # several batches may be unacknowledged
    SNAPSHOT = "snapshot"  # the missing entries are compacted, so a snapshot is sent


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
    offset: int = 0  # number of bytes that the receiver has
    sent_at: float = 0.0
    sent_round: int = 0


@dataclass(slots=True)
class FollowerProgress:
    """What the leader knows of one receiver of the log."""

    # The incarnation of the disk that last answered, at first the one in the configuration. Empty for a
    # server that is not a voter and has not answered yet.
    incarnation: str
    next_index: int  # index of the next entry to send
    match_index: int = 0  # last index up to which its log is known to match the leader's
    acked_round: int = 0  # last heartbeat round that it answered
    mode: ReplicationMode = ReplicationMode.PROBE
    probe_sent: bool = False  # whether a message is unacknowledged in PROBE mode
    in_flight: deque[int] = field(default_factory=deque)  # last index of each unacknowledged batch
    transfer: SnapshotInstallation | None = None

    def enter(self, mode: ReplicationMode) -> None:
        """Change the mode and clear the state of the previous one."""
        if mode not in TRANSITIONS[self.mode]:
            raise AssertionError(f"replication mode cannot change from {self.mode.value} to {mode.value}")
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
            return  # this response is to an earlier probe
        self.next_index = max(self.match_index + 1, min(self.next_index, hint + 1))
        self.enter(ReplicationMode.PROBE)
