"""What is measured of a simulated fleet. Times are seconds."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class FleetMeasurements:
    """What followers went through."""

    times_to_force: list[float] = field(default_factory=list)  # of every change at every follower
    times_disturbed: list[float] = field(default_factory=list)  # the same, at those that lost something
    broken: list[str] = field(default_factory=list)  # what must not be
    most_watches: int = 0  # at one relay at a time
    admissions: Counter[tuple[str, int]] = field(default_factory=Counter)  # by relay and second

    def most_admissions(self, since: float) -> int:
        """Return the most watches that one relay took within a second of the clock."""
        taken = self.admissions
        return max(
            (
                count - taken[name, second - 1]
                for (name, second), count in list(taken.items())
                if second > since
            ),
            default=0,
        )
