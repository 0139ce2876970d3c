"""The ``[drmaa.reservations]`` section of the operator's file."""

from __future__ import annotations

from typing import Annotated

import msgspec

from merlinbay.reserve.calendar import ReservationLimits

Count = Annotated[int, msgspec.Meta(ge=1)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
OTHERS = "*"


class ReservationSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What may be reserved ahead."""

    slots: dict[str, Count] = {}  # of a real server, by its kind; "*": of any other kind; none: off
    share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.5  # of them that may be reserved at one time
    most: Count = 10_000  # reservations that have not ended
    ahead: Seconds = 7 * 86_400.0  # how far off a window may begin,
    length: Seconds = 86_400.0  # and how long it may be
    lead: Annotated[float, msgspec.Meta(ge=0)] = 60.0  # slots are kept free from so long before the window on
    unused: Annotated[float, msgspec.Meta(ge=0)] = 300.0  # one that no job uses for so long ends; 0: it lasts

    def bounds(self) -> ReservationLimits:
        """Return what the book is bound by."""
        return ReservationLimits(
            self.most,
            self.share,
            int(self.ahead * 1e6),
            int(self.length * 1e6),
            int(self.unused * 1e6),
            int(self.lead * 1e6),
        )

    def slots_of(self, kind: str) -> int:
        """Return the slots of a real server of a kind; 0: none may be reserved there."""
        return self.slots.get(kind, self.slots.get(OTHERS, 0))
