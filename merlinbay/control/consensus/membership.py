"""Configurations as entries of the log, changed by one voter at a time (Ongaro 2014, chapter 4).

A voter is identified by its name and the incarnation of its disk, a text drawn when the disk is first used.
To Raft, a voter that lost its disk is therefore another server, which has no vote until the log admits it.
Votes and acknowledgements count only if their incarnation is the one that the configuration names.
"""

from __future__ import annotations

import msgspec

MAX_JOINING = 8  # servers that may catch up at the same time


class VoterIdentity(msgspec.Struct, frozen=True, array_like=True):
    """The name of a voter and the incarnation of its disk."""

    name: str
    incarnation: str


class JoiningVoter(msgspec.Struct, frozen=True, array_like=True):
    """A server without a vote that receives the log and becomes a voter once it has caught up."""

    name: str
    replaces: str = ""  # the voter to remove just before this one is added; itself if its disk was lost


class Configuration(msgspec.Struct, frozen=True, tag="configuration"):
    """The voters and the joining servers. A configuration is in force as soon as it is in the log."""

    members: tuple[VoterIdentity, ...] = ()
    joining: tuple[JoiningVoter, ...] = ()

    @property
    def names(self) -> tuple[str, ...]:
        """Return the voters' names."""
        return tuple(member.name for member in self.members)

    @property
    def quorum(self) -> int:
        """Return how many voters make a majority."""
        return len(self.members) // 2 + 1

    def incarnation(self, name: str) -> str:
        """Return a voter's incarnation, or an empty text if ``name`` is not a voter."""
        return next((member.incarnation for member in self.members if member.name == name), "")

    def admits(self, name: str, incarnation: str) -> bool:
        """Return whether this server, with this disk, is a voter."""
        return VoterIdentity(name, incarnation) in self.members

    def receivers(self) -> set[str]:
        """Return the servers that receive the log."""
        return {*self.names, *(server.name for server in self.joining)}

    def with_joining(self, joining: JoiningVoter) -> Configuration:
        """Return the configuration with this joining server, which replaces one of the same name."""
        others = tuple(server for server in self.joining if server.name != joining.name)
        return Configuration(self.members, (*others, joining))

    def without(self, name: str) -> Configuration:
        """Return the configuration without this voter or joining server."""
        return Configuration(
            tuple(member for member in self.members if member.name != name),
            tuple(server for server in self.joining if server.name != name),
        )

    def without_member(self, name: str) -> Configuration:
        """Return the configuration without this voter. A joining server of the same name stays in it."""
        return Configuration(self.without(name).members, self.joining)

    def with_member(self, member: VoterIdentity) -> Configuration:
        """Return the configuration in which a joining server has become a voter."""
        members = tuple(sorted((*self.members, member), key=lambda voter: voter.name))
        return Configuration(members, tuple(server for server in self.joining if server.name != member.name))


def quorum_value(values: list[float], quorum: int) -> float:
    """Return the greatest value that ``quorum`` voters have reached; ``values`` has one for each voter."""
    return sorted(values, reverse=True)[quorum - 1]
