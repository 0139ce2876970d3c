"""An h11 connection that gets one whole head, or a limited part of a body, at a time.

Bytes wait here until the parser can use them. So a head is checked before it is parsed, the bytes behind a
message cost their own size only, and no read takes the processor for long. No I/O.
"""

from __future__ import annotations

import re

import h11

from merlinbay.limits import ResourceLimits

HEAD_END = re.compile(rb"\n\r?\n")
LINES_BESIDE_FIELDS = 2  # the first line of a head, and the empty one at its end
FIRST_PRINTABLE = 0x21  # a head begins with no control character or space
EVENTS_PER_TURN = 32  # after which other tasks get their turn
Role = type[h11.CLIENT] | type[h11.SERVER]


class HeadTooLargeError(Exception):
    """A head is larger, or has more fields, than the limits allow."""


class HttpParser:
    """Parses the messages that one connection receives, and encodes those that it sends."""

    def __init__(self, role: Role, limits: ResourceLimits) -> None:
        self._role, self._limits = role, limits
        self.h11 = self._new_state()
        self._waiting = bytearray()  # bytes that the parser did not get yet
        self._unparsed_bytes = 0  # bytes that the parser got and may not have used yet
        self._searched_bytes = 0  # how many of them hold no end of a head
        self._events_in_turn = 0  # events since other tasks had their turn
        self.head_bytes = 0  # size of the head of the current message
        self._has_fed_body = False  # whether the parser got a part of the current message's body
        self._is_chunked = False  # whether the head of the current message announces chunks

    def _new_state(self) -> h11.Connection:
        # The parser gets whole heads, which are checked here; its own limit is for a head at the end.
        return h11.Connection(self._role, max_incomplete_event_size=2 * self._limits.head_bytes)

    @property
    def unconsumed_bytes(self) -> int:
        """How many bytes were received after what has been parsed."""
        return self._unparsed_bytes + len(self._waiting)

    @property
    def has_head_behind(self) -> bool:
        """Whether another whole head was received after the current message."""
        return HEAD_END.search(self.h11.trailing_data[0] + self._waiting) is not None

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event. Raises ``h11.RemoteProtocolError``."""
        self._events_in_turn += 1
        event = self.h11.next_event()
        if event is h11.NEED_DATA or type(event) is h11.EndOfMessage:
            # Without a body, the parser got no more than a whole head, and has used it.
            self._unparsed_bytes = len(self.h11.trailing_data[0]) if self._has_fed_body else 0
        return event

    def has_used_turn(self) -> bool:
        """Return whether other tasks should get their turn, which the caller then gives them."""
        if self._events_in_turn < EVENTS_PER_TURN:
            return False
        self._events_in_turn = 0
        return True

    def receive(self, data: bytes) -> None:
        """Add received bytes, or the end of the stream if there are none."""
        if data:
            self._waiting += data
            return
        self.h11.receive_data(self._take(len(self._waiting)))
        self.h11.receive_data(b"")

    def feed(self) -> bool:
        """Give the parser what it can use next. Return whether there was something.

        Raises ``HeadTooLargeError``.
        """
        state = self.h11.their_state
        if state in (h11.IDLE, h11.SEND_RESPONSE):
            part = self._take_head()
        elif state is h11.SEND_BODY:
            limits, self._has_fed_body = self._limits, True
            part = self._take(limits.chunked_part_bytes if self._is_chunked else limits.receive_bytes)
        else:
            return False
        if not part:
            return False
        self._unparsed_bytes += len(part)
        self.h11.receive_data(part)
        return True

    def discard(self) -> None:
        """Drop the bytes that the parser did not get yet."""
        self._waiting.clear()
        self._searched_bytes = 0

    def start_next_cycle(self) -> None:
        """Prepare for the next message after both sides have ended one."""
        behind = bytes(self.h11.trailing_data[0])
        if not behind:
            self.h11.start_next_cycle()
            return
        # The parser has got bytes of the next message, which must be checked like all others.
        self.h11 = self._new_state()
        self._waiting[:0] = behind
        self._unparsed_bytes = 0
        self._searched_bytes = 0

    def _take_head(self) -> bytes:
        """Remove and return a whole head; nothing if its end is missing. Raises ``HeadTooLargeError``."""
        waiting = self._waiting
        if not waiting:
            return b""
        if waiting[0] < FIRST_PRINTABLE:
            return self._take(self._limits.head_bytes)  # The parser rejects it at once.
        match = HEAD_END.search(waiting, max(self._searched_bytes - len(b"\n\r"), 0))
        end = match.end() if match is not None else len(waiting)
        lines = waiting.count(b"\n", 0, min(end, self._limits.head_bytes))
        if end > self._limits.head_bytes or lines > self._limits.head_fields + LINES_BESIDE_FIELDS:
            raise HeadTooLargeError(f"{end} bytes, {lines} lines")
        self._searched_bytes = end
        if match is None:
            return b""
        head = self._take(end)
        self.head_bytes, self._has_fed_body = end, False
        self._is_chunked = b"transfer-encoding" in head.lower()
        return head

    def _take(self, max_bytes: int) -> bytes:
        part = bytes(self._waiting[:max_bytes])
        del self._waiting[:max_bytes]
        self._searched_bytes = 0
        return part
