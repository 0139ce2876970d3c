"""Translation of servers' start times from the wall clock, which discovery uses, to the node's own clock.

The wall clock may be stepped before or after a server's start, so any observed offset between the two clocks
may have been the valid one at the start. The latest possible time is used: a server that is assumed to be
colder than it is only gets less load for a while, but one that is assumed to be warmer is overloaded.
"""

from __future__ import annotations

import msgspec

from merlinbay.clock import Clock
from merlinbay.core.values import ServiceEntry

STEP_US = 100_000  # smaller differences come from slewing and from reading the two clocks one after another
MAX_OFFSETS = 8  # number of latest offsets that are kept


class StartTimes:
    """Translates the start times of list entries; the same listed start always gives the same result."""

    def __init__(self, clock: Clock, entries: list[ServiceEntry]) -> None:
        self.clock = clock
        self.offsets_us = [0]  # offsets of the wall clock from the node's clock, latest last
        self.translated = {  # by server: the start time as listed, and on the node's clock
            entry.server: (entry.started_at_us, entry.started_at_us) for entry in entries
        }

    def translate(self, entries: list[ServiceEntry], full: bool) -> list[ServiceEntry]:
        """Return the entries of a whole list, or of changes, with start times on the node's clock."""
        offset_us = self.clock.wall_offset_us()
        if abs(offset_us - self.offsets_us[-1]) >= STEP_US:
            self.offsets_us = [*self.offsets_us, offset_us][-MAX_OFFSETS:]
        translated = [self._translated(entry) if entry.started_at_us else entry for entry in entries]
        self._forget_removed(entries, full)
        return translated

    def _forget_removed(self, entries: list[ServiceEntry], full: bool) -> None:
        """Forget servers that are not listed any more, of which there may be ever new ones."""
        if full:
            listed = {entry.server for entry in entries if entry.state != "removed"}
            self.translated = {name: times for name, times in self.translated.items() if name in listed}
            return
        for entry in entries:
            if entry.state == "removed":
                self.translated.pop(entry.server, None)

    def _translated(self, entry: ServiceEntry) -> ServiceEntry:
        listed_us, started_us = self.translated.get(entry.server, (0, 0))
        if listed_us != entry.started_at_us:
            started_us = self._latest(entry.started_at_us)
            self.translated[entry.server] = entry.started_at_us, started_us
        return msgspec.structs.replace(entry, started_at_us=started_us)

    def _latest(self, listed_us: int) -> int:
        """Return the latest time, not after now, at which the server may have started."""
        now_us = self.clock.now_us()
        possible_starts_us = [listed_us - offset_us for offset_us in self.offsets_us]
        return max((at_us for at_us in possible_starts_us if at_us <= now_us + STEP_US), default=now_us)
