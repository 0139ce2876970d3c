"""Further names of servers: a server that several records name has one name in the endpoint list.

Servers, clients and operators may use any of them.
"""

from __future__ import annotations

from collections.abc import Mapping


class ServerAliases:
    """The names by which servers are known beside those in the endpoint list."""

    def __init__(self) -> None:
        self._servers: Mapping[str, str] = {}  # by further name

    def replace(self, servers: Mapping[str, str]) -> None:
        """Set the further names, each with its server's name in the endpoint list."""
        self._servers = servers

    def listed_name(self, name: str) -> str:
        """Return the name in the endpoint list of the server that has this name."""
        return self._servers.get(name, name)

    def all_names(self, name: str) -> list[str]:
        """Return all names of the server that has this name, the one in the endpoint list first."""
        listed_name = self.listed_name(name)
        return [listed_name, *(alias for alias, server in self._servers.items() if server == listed_name)]
