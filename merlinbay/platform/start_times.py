"""When servers have started: told by the machines' wall clock, needed on the node's own clock.

The wall clock may be stepped, by seconds or an hour, before or after a server's start. So each start may have
been told by any of the offsets that were seen; the latest moment that is possible counts, since a server that
is taken for colder than it is only gets less for a while, and one taken for warmer falls over.
"""

from __future__ import annotations

import msgspec

from merlinbay.clock import Clock
from merlinbay.core.values import ServiceEntry

STEP_US = 100_000  # smaller differences are the clock's slewing, and what a look at both clocks takes
OFFSETS_KEPT = 8  # of the wall clock to ours, the newest


class StartTimes:
    """Translates the start times of a list's entries; the same start always to the same moment."""

    def __init__(self, clock: Clock, entries: list[ServiceEntry]) -> None:
        self.clock = clock
        self.offsets_us = [0]
        self.translated = {entry.server: (entry.started_at_us, entry.started_at_us) for entry in entries}

    def translate(self, entries: list[ServiceEntry]) -> list[ServiceEntry]:
        """Return the entries with their starts on the node's own clock."""
        offset_us = self.clock.wall_offset_us()
        if abs(offset_us - self.offsets_us[-1]) >= STEP_US:
            self.offsets_us = [*self.offsets_us, offset_us][-OFFSETS_KEPT:]
        return [self._translated(entry) if entry.started_at_us else entry for entry in entries]

    def _translated(self, entry: ServiceEntry) -> ServiceEntry:
        told_us, started_us = self.translated.get(entry.server, (0, 0))
        if told_us != entry.started_at_us:
            started_us = self._latest(entry.started_at_us)
            self.translated[entry.server] = entry.started_at_us, started_us
        return msgspec.structs.replace(entry, started_at_us=started_us)

    def _latest(self, told_us: int) -> int:
        """Return the latest moment up to now that the start may have been at."""
        now_us = self.clock.now_us()
        possible = [told_us - offset_us for offset_us in self.offsets_us]
        return max((at_us for at_us in possible if at_us <= now_us + STEP_US), default=now_us)
