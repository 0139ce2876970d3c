"""Measurements of a simulated fleet. Times are in seconds."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class FleetMeasurements:
    """Propagation times of changes, load of the relays, and violations."""

    times_to_force: list[float] = field(default_factory=list)  # of each change at each undisturbed follower
    times_disturbed: list[float] = field(default_factory=list)  # of each change at each disturbed follower
    broken: list[str] = field(default_factory=list)  # violations: followers whose revision did not increase
    most_watches: int = 0  # maximum of the watches held by one relay at a time
    # Watches admitted so far, by relay and second.
    admissions: Counter[tuple[str, int]] = field(default_factory=Counter)

    def most_admissions(self, since: float) -> int:
        """Return the maximum of the watches that one relay admitted within a second of the clock."""
        admitted = self.admissions
        return max(
            (
                count - admitted[name, second - 1]
                for (name, second), count in list(admitted.items())
                if second > since
            ),
            default=0,
        )
