"""The clock and the disk of a simulated voter.

The clock is off and drifts. The disk may be full, or be replaced by an empty one. The process checks whether
the disk is full before it stores a record.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

SLOW_SYNC_SHARE = 0.02  # share of syncs that take up to MAX_SLOW_SYNC_S
MAX_SYNC_S, MAX_SLOW_SYNC_S = 0.002, 0.1


@dataclass(frozen=True)
class SkewedClock:
    """A clock that is off by a constant and runs a little too fast or too slow."""

    offset: float  # seconds
    drift: float  # seconds gained per second

    def local(self, time: float) -> float:
        """Return the time that the clock shows at a moment of virtual time."""
        return self.offset + time * (1.0 + self.drift)

    def moment(self, local: float) -> float:
        """Return the moment of virtual time at which the clock shows a time."""
        return (local - self.offset) / (1.0 + self.drift)


class SimulatedDisk:
    """The durable records of a voter. A snapshot replaces all records before it in one step."""

    def __init__(self) -> None:
        """Start empty, as the first disk of the machine."""
        self.records: list[bytes] = []
        self.number = 1  # counts the disks that the machine has had
        self.full = False

    def append(self, record: bytes, replaces_all: bool) -> None:
        """Make a record durable."""
        if replaces_all:
            self.records.clear()
        self.records.append(record)

    def fill(self) -> None:
        """Accept no further records."""
        self.full = True

    def free(self) -> None:
        """Accept records again."""
        self.full = False

    def lose(self) -> None:
        """Replace the disk by an empty one."""
        self.records = []
        self.number += 1
        self.full = False


def draw_sync_time(random: Random) -> float:
    """Draw how many seconds a sync of the disk takes."""
    slow = random.random() < SLOW_SYNC_SHARE
    return (MAX_SLOW_SYNC_S if slow else MAX_SYNC_S) * random.random()
