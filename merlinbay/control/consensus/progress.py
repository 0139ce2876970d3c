"""What a leader knows of one receiver of its log."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum


class ReplicationMode(Enum):
    """How the receiver gets entries."""

    PROBE = "probe"  # where the logs agree is not known: one message at a time
    REPLICATE = "replicate"  # batches are sent ahead of the answers
    SNAPSHOT = "snapshot"  # the entries that it lacks are compacted


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
    """A snapshot on its way, one chunk at a time."""

    index: int
    data: bytes
    offset: int = 0  # received
    sent_at: float = 0.0
    sent_round: int = 0


@dataclass(slots=True)
class FollowerProgress:
    """One receiver, with the disk that last answered."""

    incarnation: str  # empty: it has not answered yet, and is no voter
    next_index: int  # the next entry to send
    match_index: int = 0  # its log agrees with ours up to here
    acked_round: int = 0  # the last round that it answered
    mode: ReplicationMode = ReplicationMode.PROBE
    probe_sent: bool = False
    in_flight: deque[int] = field(default_factory=deque)  # last entry of each batch that is not answered
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
        """Take an answer: the logs agree up to ``index``."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()
        if self.mode is ReplicationMode.PROBE:
            self.next_index = self.match_index + 1
            self.enter(ReplicationMode.REPLICATE)

    def disagreed(self, hint: int) -> None:
        """Take an answer: the logs may agree at ``hint`` or before."""
        if self.mode is ReplicationMode.SNAPSHOT:
            return
        if self.mode is ReplicationMode.PROBE and hint + 1 >= self.next_index:
            return  # to an earlier probe
        self.next_index = max(self.match_index + 1, min(self.next_index, hint + 1))
        self.enter(ReplicationMode.PROBE)
