"""The endpoint list as discovery has sent it, with its version. No I/O.

``Discovery`` owns it and applies each answer to it. A handover passes its entries on to the next process.
"""

from __future__ import annotations

from dataclasses import dataclass

from merlinbay.core.values import ServiceEntry


@dataclass(frozen=True)
class ListChange:
    """The changes that a new version of the list has made."""

    old_version: int | None
    version: int
    leaving: list[str]  # servers that were up, and no longer are up
    joining: list[str]  # servers that are up, and were not up before


class EndpointList:
    """The entries of the list by server, and the list's version."""

    def __init__(self, version: int | None, entries: list[ServiceEntry]) -> None:
        self.version = version  # None: the next poll asks for the whole list
        self.entries = {entry.server: entry for entry in entries}

    def is_up(self, server: str) -> bool:
        """Return whether a server is listed as up."""
        entry = self.entries.get(server)
        return entry is not None and entry.state == "up"

    def apply(self, version: int, full: bool, entries: list[ServiceEntry]) -> ListChange | None:
        """Apply a whole list or changes, and return what has changed.

        Entries are applied even if the version is still the same; the result is None then.
        """
        up_before = [name for name in self.entries if self.is_up(name)]
        old_version, self.version = self.version, version
        if full:
            self.entries = {}
        self.entries.update((entry.server, entry) for entry in entries)
        for name in [name for name, entry in self.entries.items() if entry.state == "removed"]:
            del self.entries[name]
        if version == old_version:
            return None
        were_up = set(up_before)
        return ListChange(
            old_version,
            version,
            leaving=[name for name in up_before if not self.is_up(name)],
            joining=[name for name in self.entries if self.is_up(name) and name not in were_up],
        )
