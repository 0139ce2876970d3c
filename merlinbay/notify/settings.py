"""The ``[drmaa.events]`` section of the operator's file."""

from __future__ import annotations

from typing import Annotated

import msgspec

from merlinbay.notify.listeners import ListenerLimits

Count = Annotated[int, msgspec.Meta(ge=1)]
Number = Annotated[int, msgspec.Meta(ge=0)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]


class EventSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What is kept of events, and whom they may be sent to."""

    keep: Number = 0  # events kept for polls and listeners, over all sessions; 0: events are off
    keep_kib: Count = 32 * 1024  # and so many bytes of them
    to: list[str] = []  # networks that call-backs may go to: 10.1.0.0/16, 10.1.0.5/32:9000; none: none
    listeners: Count = 1000
    batch: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 100  # events in one call-back
    connections: Annotated[int, msgspec.Meta(ge=2)] = 24  # call-backs under way; a third to those that fail
    timeout: Seconds = 5.0  # a listener has answered within this time, or failed
    slow: Seconds = 0.5  # one that takes longer counts as slow
    again: Seconds = 0.5  # before the first repeat; doubles each time,
    again_most: Seconds = 300.0  # up to this
    give_up: Seconds = 3600.0  # a listener that has failed for so long is dropped
    overlap: Seconds = 86_400.0  # how long the key before the last one signs as well

    def bounds(self) -> ListenerLimits:
        """Return what the listeners are bound by."""
        trial = max(1, self.connections // 3)
        return ListenerLimits(
            self.listeners,
            self.batch,
            2000,
            self.connections - trial,
            trial,
            int(self.slow * 1e6),
            int(self.again * 1e6),
            int(self.again_most * 1e6),
            int(self.give_up * 1e6),
            int(self.overlap * 1e6),
        )
