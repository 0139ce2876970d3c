"""The queue of member states to gossip: each is sent a limited number of times, the least sent first.

``GossipSender`` takes from it as many states as fit into each datagram that it sends. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from merlinbay.fleet.members import MemberState, encode_state
from merlinbay.fleet.wire import pack

SMALLEST_STATE_BYTES = 48  # no encoded member state is shorter


@dataclass(slots=True)
class Broadcast:
    """A member state in the queue."""

    encoded: msgspec.Raw
    size: int
    transmissions: int = 0


class BroadcastQueue:
    """Holds at most one state for each member: a newer one replaces the older."""

    def __init__(self) -> None:
        self._broadcasts: dict[str, Broadcast] = {}

    def __len__(self) -> int:
        return len(self._broadcasts)

    def add(self, state: MemberState) -> None:
        """Queue a state for gossip, in place of an older one of the same member."""
        encoded = pack(encode_state(state))
        self._broadcasts[state.name] = Broadcast(msgspec.Raw(encoded), len(encoded))

    def clear(self) -> None:
        """Drop all queued states."""
        self._broadcasts.clear()

    def take(self, room_bytes: int, max_transmissions: int) -> list[msgspec.Raw]:
        """Return the states that fit into ``room_bytes``, the least sent first, then the shortest.

        A state that has now been sent ``max_transmissions`` times is dropped.
        """
        taken = []
        by_priority = sorted(self._broadcasts.items(), key=lambda item: (item[1].transmissions, item[1].size))
        for name, broadcast in by_priority:
            if broadcast.size > room_bytes:
                continue
            room_bytes -= broadcast.size
            broadcast.transmissions += 1
            taken.append(broadcast.encoded)
            if broadcast.transmissions >= max_transmissions:
                del self._broadcasts[name]
            if room_bytes < SMALLEST_STATE_BYTES:
                break
        return taken
