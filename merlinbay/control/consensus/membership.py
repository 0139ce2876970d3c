"""Configurations as entries of the log, changed by one voter at a time (Ongaro 2014, chapter 4).

A voter is identified by its name and the incarnation of its disk, a text drawn when the disk was first used.
To Raft, a voter that lost its disk is therefore another server, which has no vote until the log admits it;
votes and acknowledgements count only where the incarnation is the one of the configuration.
"""

from __future__ import annotations

import msgspec

MAX_JOINING = 8  # voters that catch up at the same time


class VoterIdentity(msgspec.Struct, frozen=True, array_like=True):
    """A voter with its disk."""

    name: str
    incarnation: str


class JoiningVoter(msgspec.Struct, frozen=True, array_like=True):
    """A server without a vote that receives the log, and becomes a voter once it has caught up."""

    name: str
    replaces: str = ""  # the voter to remove just before; its own name if its disk was lost


class Configuration(msgspec.Struct, frozen=True, tag="configuration"):
    """The voters and the joining servers; in force from the moment it is in the log."""

    members: tuple[VoterIdentity, ...] = ()
    joining: tuple[JoiningVoter, ...] = ()

    @property
    def names(self) -> tuple[str, ...]:
        """Return the voters' names."""
        return tuple(member.name for member in self.members)

    @property
    def quorum(self) -> int:
        """Return how many voters are a majority."""
        return len(self.members) // 2 + 1

    def incarnation(self, name: str) -> str:
        """Return a voter's incarnation, empty if it is no voter."""
        return next((member.incarnation for member in self.members if member.name == name), "")

    def admits(self, name: str, incarnation: str) -> bool:
        """Return whether this server, with this disk, is a voter."""
        return VoterIdentity(name, incarnation) in self.members

    def receivers(self) -> set[str]:
        """Return the servers that receive the log."""
        return {*self.names, *(one.name for one in self.joining)}

    def with_joining(self, joining: JoiningVoter) -> Configuration:
        """Return the configuration with one more joining server."""
        others = tuple(one for one in self.joining if one.name != joining.name)
        return Configuration(self.members, (*others, joining))

    def without(self, name: str) -> Configuration:
        """Return the configuration without this voter or joining server."""
        return Configuration(
            tuple(member for member in self.members if member.name != name),
            tuple(one for one in self.joining if one.name != name),
        )

    def without_member(self, name: str) -> Configuration:
        """Return the configuration without this voter, whose successor may still be joining."""
        return Configuration(self.without(name).members, self.joining)

    def with_member(self, member: VoterIdentity) -> Configuration:
        """Return the configuration with a joining server as voter."""
        members = tuple(sorted((*self.members, member), key=lambda one: one.name))
        return Configuration(members, tuple(one for one in self.joining if one.name != member.name))


def quorum_value(values: list[float], quorum: int) -> float:
    """Return the greatest value that ``quorum`` of the voters have reached; one value a voter."""
    return sorted(values, reverse=True)[quorum - 1]
