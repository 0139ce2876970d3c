"""The clock and disk of a simulated voter: the clock is wrong, the disk may be full or lost."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

SLOW_SYNC_SHARE = 0.02  # of the syncs take up to SLOWEST_SYNC_S
SYNC_S, SLOWEST_SYNC_S = 0.002, 0.1


@dataclass(frozen=True)
class SkewedClock:
    """A clock that is off by a constant and runs a little too fast or too slow."""

    offset: float
    drift: float

    def local(self, time: float) -> float:
        """Return what the clock shows at a moment of the simulation."""
        return self.offset + time * (1.0 + self.drift)

    def moment(self, local: float) -> float:
        """Return the moment at which the clock shows a time."""
        return (local - self.offset) / (1.0 + self.drift)


class SimulatedDisk:
    """Durable records. A snapshot replaces the records before it at once."""

    def __init__(self) -> None:
        """Start empty, as the first disk of the machine."""
        self.records: list[bytes] = []
        self.number = 1
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
    return (SLOWEST_SYNC_S if slow else SYNC_S) * random.random()
