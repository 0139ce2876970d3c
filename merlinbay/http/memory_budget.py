"""The bytes that all connections of a node hold for messages, under one limit.

Each connection is bounded by itself, but many together may hold more than the process may. While the budget
is full, connections do not read on in large messages: the bytes wait in the kernel, and in the end at the
sender. Messages that stay incomplete meanwhile are given up, the largest first.
"""

from __future__ import annotations

from typing import Protocol

import trio

SMALL_MESSAGE_BYTES = 4096  # usual requests and call-backs are smaller; they never wait, and are not given up
FULL_AT = 0.75  # share of the limit from which the budget is full; the rest is for reads under way
ROOM_AT = 0.5  # share of the limit down to which messages are given up
WAIT_FOR_ROOM_S = 0.1  # after this time, messages that are still incomplete are too slow


class BudgetMember(Protocol):
    """A connection that holds bytes."""

    def releasable_bytes(self) -> int:
        """Return how many bytes ``release_memory`` would free."""

    def release_memory(self) -> None:
        """Give up the message that is being received, because memory is short. Does not wait."""


class MemoryBudget:
    """Owns the count of held bytes, by connection and in all."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes, self.held_bytes = limit_bytes, 0
        self.is_full = False  # whether connections wait before they read on in a large message
        self.released_count = 0  # messages that were given up
        self._held_by: dict[BudgetMember, int] = {}
        self._is_releasing = False
        self._next_release_at = 0.0  # one of all that wait gives up slow messages, on trio's clock
        self._has_room = trio.Event()  # set, and replaced, when the budget is not full any more

    def set_held(self, member: BudgetMember, held_bytes: int) -> None:
        """Set what a connection holds; 0 removes it. Gives up messages if the limit is passed."""
        was_full = self.is_full
        self.held_bytes += held_bytes - self._held_by.pop(member, 0)
        self.is_full = self.held_bytes >= self.limit_bytes * FULL_AT
        if held_bytes:
            self._held_by[member] = held_bytes
        if self.held_bytes > self.limit_bytes:
            self._release()
        if was_full and not self.is_full:
            self._has_room.set()
            self._has_room = trio.Event()

    async def wait_for_room(self) -> None:
        """Wait until the budget is not full. Gives up incomplete messages if that takes too long."""
        while self.is_full:
            with trio.move_on_after(WAIT_FOR_ROOM_S) as scope:
                await self._has_room.wait()
            now = trio.current_time()
            if scope.cancelled_caught and self.is_full and now >= self._next_release_at:
                self._next_release_at = now + WAIT_FOR_ROOM_S
                self._release()

    def _release(self) -> None:
        """Have connections give up incomplete messages until there is room, or no large one is left."""
        if self._is_releasing:
            return
        self._is_releasing = True
        candidates = [(member.releasable_bytes(), member) for member in self._held_by]
        candidates.sort(key=lambda candidate: candidate[0], reverse=True)
        for releasable_bytes, member in candidates:
            if self.held_bytes <= self.limit_bytes * ROOM_AT or releasable_bytes <= SMALL_MESSAGE_BYTES:
                break
            self.released_count += 1
            member.release_memory()
        self._is_releasing = False
