"""Collects the parts of a large delta or snapshot, up to a bound in bytes."""

from __future__ import annotations

import msgspec

from merlinbay.control.fanout.messages import DeltaMessage, SnapshotMessage, WireEntry

MessagePart = DeltaMessage | SnapshotMessage


class PartOutOfOrderError(Exception):
    """A part does not follow the one before it, or makes the whole message too large."""


class WholeMessage(msgspec.Struct, frozen=True):
    """The last part, with the entries of all parts."""

    last: MessagePart
    entries: tuple[WireEntry, ...]


class MessageAssembly:
    """Collects the parts of one message at a time."""

    __slots__ = ("_entries", "_first", "_max_bytes", "_next", "_size")

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.clear()

    def clear(self) -> None:
        """Discard the parts collected so far."""
        self._first: MessagePart | None = None
        self._entries: list[WireEntry] = []
        self._next = 0
        self._size = 0

    def add(self, part: MessagePart, size: int) -> WholeMessage | None:
        """Add a part whose frame had ``size`` bytes; return the whole message once its last part is there."""
        if self._first is None and part.count == 1 and part.index == 0:
            return WholeMessage(part, part.entries)
        if part.index != self._next or part.index >= part.count or not self._continues(part):
            raise PartOutOfOrderError(f"got part {part.index} of {part.count}, expected part {self._next}")
        self._size += size
        if self._size > self._max_bytes:
            raise PartOutOfOrderError(f"message exceeds {self._max_bytes} bytes")
        self._first = self._first or part
        self._next += 1
        self._entries.extend(part.entries)
        if self._next < part.count:
            return None
        whole = WholeMessage(part, tuple(self._entries))
        self.clear()
        return whole

    def _continues(self, part: MessagePart) -> bool:
        first = self._first
        if first is None:
            return True
        if isinstance(first, DeltaMessage):
            same = isinstance(part, DeltaMessage) and part.after_revision == first.after_revision
        else:
            same = isinstance(part, SnapshotMessage)
        return same and part.revision == first.revision and part.count == first.count
