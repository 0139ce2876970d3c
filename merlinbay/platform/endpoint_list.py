"""The endpoint list as discovery has sent it, version by version. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from merlinbay.core.values import ServiceEntry


@dataclass(frozen=True)
class ListChange:
    """What a new version of the list has changed."""

    old_version: int | None
    version: int
    leaving: list[str]  # servers that were up, and no longer are
    joining: list[str]  # servers that are up, and were not


class EndpointList:
    """The entries by server, and the version that they have."""

    def __init__(self, version: int | None, entries: list[ServiceEntry]) -> None:
        self.version = version  # None: the next poll asks for the whole list
        self.entries = {entry.server: entry for entry in entries}

    def is_up(self, server: str) -> bool:
        """Return whether a server is listed as up."""
        entry = self.entries.get(server)
        return entry is not None and entry.state == "up"

    def apply(self, version: int, full: bool, entries: list[ServiceEntry]) -> ListChange | None:
        """Apply the whole list or a change to it; return what it has changed, None for a known version."""
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
