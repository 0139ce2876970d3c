"""Members whose watch was lost recently. A watch server names them in its summary."""

from __future__ import annotations

from collections.abc import Iterator

from merlinbay.control.fanout.messages import Laggard

MAX_MEMBERS = 1024  # above this the member that was lost first is forgotten


class AbsentMembers:
    """Keeps lost members with the revision that they reported last, each for a limited time."""

    def __init__(self, keep_for: float) -> None:
        """Keep each member for ``keep_for`` seconds."""
        self._keep_for = keep_for
        self._members: dict[str, tuple[float, Laggard]] = {}  # expiry and report, oldest first

    def add(self, lost: Laggard, now: float) -> None:
        """Add a member whose watch ended without a goodbye."""
        self._members.pop(lost.member, None)
        self._members[lost.member] = now + self._keep_for, lost
        if len(self._members) > MAX_MEMBERS:
            del self._members[next(iter(self._members))]

    def discard(self, member: str) -> None:
        """Remove a member that watches again."""
        self._members.pop(member, None)

    def expire(self, now: float) -> None:
        """Remove the members that were lost too long ago."""
        while self._members:
            member, (expires_at, _) = next(iter(self._members.items()))
            if expires_at > now:
                return
            del self._members[member]

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Laggard]:
        return (laggard for _, laggard in self._members.values())
