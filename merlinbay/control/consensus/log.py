"""The log of one voter in memory: the entries after its base index, and the configurations among them.

``RaftState`` changes it together with the stored records. Entries that would leave a gap, and a truncation of
entries that a snapshot contains, raise ``ValueError``.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec

from merlinbay.control.consensus.membership import Configuration
from merlinbay.control.entries import Change

# Bounds the encoded size of an entry without key, value and id, and of one member of a configuration.
ENTRY_OVERHEAD_BYTES = 96

MAX_LOG_NUMBER = 2**62
LogNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_LOG_NUMBER)]  # an index, term, heartbeat round or offset


class Noop(msgspec.Struct, frozen=True, tag="noop"):
    """The first entry of a leader's term. Once it is committed, all earlier entries are committed too."""


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log: a command with its index and the term of the leader that appended it."""

    index: LogNumber
    term: LogNumber
    command: Noop | Configuration | Change


def change_bytes(change: Change) -> int:
    """Return the size of a change as the limits count it: its key, id and value."""
    value = len(change.value) if change.value is not None else 0
    return len(change.key.encode()) + len(change.change_id.encode()) + value


def entry_bytes(entry: LogEntry) -> int:
    """Return the size of an entry as the limits count it: a close upper bound of its encoded size."""
    if isinstance(entry.command, Change):
        return ENTRY_OVERHEAD_BYTES + change_bytes(entry.command)
    if isinstance(entry.command, Configuration):
        members = len(entry.command.members) + len(entry.command.joining)
        return ENTRY_OVERHEAD_BYTES * (1 + members)
    return ENTRY_OVERHEAD_BYTES


class ReplicatedLog:
    """The entries from ``base_index + 1`` on; a snapshot contains the effects of all earlier ones."""

    def __init__(
        self, base_index: int = 0, base_term: int = 0, configuration: Configuration | None = None
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[LogEntry] = []
        # Each configuration with the index of its entry; the first one is that of the base.
        self._configurations = [(base_index, configuration or Configuration())]

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, or the base index if there is none."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def configuration(self) -> Configuration:
        """Return the last configuration, committed or not."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """Return the index of the last configuration's entry."""
        return self._configurations[-1][0]

    def configuration_at(self, index: int) -> Configuration:
        """Return the configuration that was the last one at ``index``, which must not be compacted."""
        return next(configuration for at, configuration in reversed(self._configurations) if at <= index)

    def __len__(self) -> int:
        return len(self._entries)

    def term_at(self, index: int) -> int | None:
        """Return an entry's term; None if it is compacted or does not exist."""
        if index == self.base_index:
            return self.base_term
        entry = self.get(index)
        return entry.term if entry is not None else None

    def get(self, index: int) -> LogEntry | None:
        """Return an entry; None if it is compacted or does not exist."""
        position = index - self.base_index - 1
        return self._entries[position] if 0 <= position < len(self._entries) else None

    def first_index_of_term(self, index: int) -> int:
        """Return the index of the first of the adjacent entries with the same term as that at ``index``."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def entries_from(self, index: int) -> list[LogEntry]:
        """Return all entries from ``index`` on."""
        return self._entries[max(index - self.base_index - 1, 0) :]

    def batch(self, index: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from ``index`` on that fit into ``max_bytes``, at least one if there is one."""
        entries: list[LogEntry] = []
        size = 0
        for position in range(index - self.base_index - 1, len(self._entries)):
            entry = self._entries[position]
            size += entry_bytes(entry)
            if entries and size > max_bytes:
                break
            entries.append(entry)
        return tuple(entries)

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Append entries. Raises ``ValueError`` if the index of one is not the next index."""
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise ValueError(f"entry {entry.index} does not follow the last entry {self.last_index}")
            self._entries.append(entry)
            if isinstance(entry.command, Configuration):
                self._configurations.append((entry.index, entry.command))

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all after it.

        The last configuration before ``index`` is in force again. Raises ``ValueError`` if a snapshot
        contains the entry.
        """
        if index <= self.base_index:
            raise ValueError(f"entry {index} is part of a snapshot")
        del self._entries[index - self.base_index - 1 :]
        while self._configurations[-1][0] >= index:
            self._configurations.pop()

    def compact(self, index: int) -> None:
        """Delete the entries up to ``index``, whose effect a snapshot contains."""
        term = self.term_at(index)
        if term is None or index == self.base_index:
            return
        configuration = self.configuration_at(index)
        later = [(at, candidate) for at, candidate in self._configurations if at > index]
        del self._entries[: index - self.base_index]
        self.base_index, self.base_term = index, term
        self._configurations = [(index, configuration), *later]
