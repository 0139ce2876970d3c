"""Start times of servers: discovery lists them by the machines' wall clock, the node needs its own clock.

The wall clock may be stepped before or after a server's start, so that any observed offset between the two
clocks may have been valid at the start. The latest possible moment counts: a server that is taken for colder
than it is only gets less load for a while, and one that is taken for warmer is overloaded.
"""

from __future__ import annotations

import msgspec

from merlinbay.clock import Clock
from merlinbay.core.values import ServiceEntry

STEP_US = 100_000  # smaller differences come from slewing, and from reading the two clocks in turn
MAX_OFFSETS = 8  # the newest ones are kept


class StartTimes:
    """Translates the start times of a list's entries; one listed start always becomes the same moment."""

    def __init__(self, clock: Clock, entries: list[ServiceEntry]) -> None:
        self.clock = clock
        self.offsets_us = [0]  # of the wall clock to the node's clock
        self.translated = {  # by server: the start as listed, and on the node's clock
            entry.server: (entry.started_at_us, entry.started_at_us) for entry in entries
        }

    def translate(self, entries: list[ServiceEntry]) -> list[ServiceEntry]:
        """Return the entries with their start times on the node's clock."""
        offset_us = self.clock.wall_offset_us()
        if abs(offset_us - self.offsets_us[-1]) >= STEP_US:
            self.offsets_us = [*self.offsets_us, offset_us][-MAX_OFFSETS:]
        return [self._translated(entry) if entry.started_at_us else entry for entry in entries]

    def _translated(self, entry: ServiceEntry) -> ServiceEntry:
        listed_us, started_us = self.translated.get(entry.server, (0, 0))
        if listed_us != entry.started_at_us:
            started_us = self._latest(entry.started_at_us)
            self.translated[entry.server] = entry.started_at_us, started_us
        return msgspec.structs.replace(entry, started_at_us=started_us)

    def _latest(self, listed_us: int) -> int:
        """Return the latest moment up to now at which the server may have started."""
        now_us = self.clock.now_us()
        possible = [listed_us - offset_us for offset_us in self.offsets_us]
        return max((at_us for at_us in possible if at_us <= now_us + STEP_US), default=now_us)
