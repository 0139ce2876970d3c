"""What a simulated voter runs on: a clock that is wrong, and a disk that may lose or refuse records."""

from __future__ import annotations

from dataclasses import dataclass


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

    def lose(self) -> None:
        """Replace the disk by an empty one."""
        self.records = []
        self.number += 1
        self.full = False
