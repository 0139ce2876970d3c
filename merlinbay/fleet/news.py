"""News that go out with whatever is sent: each some times, the least told first, within a packet's size."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from merlinbay.fleet.members import Claim, write
from merlinbay.fleet.wire import pack


@dataclass(slots=True)
class Item:
    """One piece of news."""

    packed: msgspec.Raw
    size: int
    sent: int = 0


class News:
    """At most one piece about each member: a newer one takes the place of the older."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}

    def __len__(self) -> int:
        return len(self.items)

    def add(self, claim: Claim) -> None:
        """Have a claim told."""
        packed = pack(write(claim))
        self.items[claim.name] = Item(msgspec.Raw(packed), len(packed))

    def pick(self, room: int, most: int) -> list[msgspec.Raw]:
        """Take what fits into so many bytes; what has gone out ``most`` times is dropped."""
        found = []
        for name, item in sorted(self.items.items(), key=lambda entry: (entry[1].sent, entry[1].size)):
            if item.size > room:
                continue
            room -= item.size
            item.sent += 1
            found.append(item.packed)
            if item.sent >= most:
                del self.items[name]
            if room < 48:  # no claim is that short
                break
        return found
