"""What one accepted connection holds for its messages, and gives up when memory is short.

The connection tells of each change; the budget decides over all connections.
"""

from __future__ import annotations

from collections.abc import Callable

from merlinbay.http.memory_budget import SMALL_MESSAGE_BYTES, MemoryBudget
from merlinbay.http.request_buffer import RequestBuffer
from merlinbay.http.server_stream import ServerStream


def nothing() -> None:
    """Do nothing: the connection has ended, and no read is in progress."""


class HeldMemory:
    """The memory of one connection: bytes not parsed yet, an incomplete request, and one in progress."""

    def __init__(
        self,
        budget: MemoryBudget,
        stream: ServerStream,
        incoming: RequestBuffer,
        on_release: Callable[[], None],  # ends the current read, so that the connection sees the release
    ) -> None:
        self._budget, self._stream, self._incoming, self._on_release = budget, stream, incoming, on_release
        self._request_bytes = 0  # what the request in progress takes
        self._held_bytes = 0  # what the budget was told last
        self.is_released = False  # whether memory was short, and the incomplete message was given up

    @property
    def must_wait(self) -> bool:
        """Whether the connection has to wait for room before it reads more of a large message."""
        return self._budget.is_full and self.releasable_bytes() > SMALL_MESSAGE_BYTES

    def max_read_bytes(self, usual_bytes: int) -> int:
        """Return the maximum size of the next read."""
        return SMALL_MESSAGE_BYTES if self._budget.is_full else usual_bytes

    async def wait_for_room(self) -> None:
        """Wait until there is room for more of a large message."""
        await self._budget.wait_for_room()

    def begin_request(self, body_bytes: int) -> None:
        """Account for a complete request; the handler makes a form of its own of it, or sends it on."""
        self._request_bytes = 2 * body_bytes
        self.account()

    def end_request(self) -> None:
        """Account for the end of the request in progress."""
        self._request_bytes = 0
        self.account()

    def account(self) -> None:
        """Tell the budget what the connection holds."""
        received_bytes = self._incoming.held_bytes + self._stream.parser.unconsumed_bytes
        held_bytes = received_bytes + self._request_bytes
        if held_bytes <= SMALL_MESSAGE_BYTES:
            held_bytes = 0  # Usual messages are not counted, which would cost more than they hold.
        if held_bytes != self._held_bytes:
            self._held_bytes = held_bytes
            self._budget.set_held(self, held_bytes)

    def end(self) -> None:
        """Drop all that is held at the end of the connection."""
        # The callback refers to the connection. Such a cycle would stay until the collector comes to it, and
        # what was received with it.
        self._on_release = nothing
        self._request_bytes = 0
        self.discard()

    def discard(self) -> None:
        """Drop an incomplete request, and the bytes that were not parsed."""
        self._incoming.clear()
        self._stream.parser.discard()
        self.account()

    # The interface of the budget.

    def releasable_bytes(self) -> int:
        """Return how many bytes an incomplete request, or the bytes behind a complete one, take."""
        if self.is_released or self._stream.has_sent_last_response:
            return 0
        return self._incoming.held_bytes + self._stream.parser.unconsumed_bytes

    def release_memory(self) -> None:
        """Give up an incomplete request, or the bytes behind one in progress."""
        self.is_released = True
        self.discard()
        self._on_release()
