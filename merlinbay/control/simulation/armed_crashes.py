"""Crashes of a simulated process that are planned for a later effect or vote.

The process asks before each effect whether a crash is due, and carries the crash out itself.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class CrashAtVote:
    """A crash just after the next vote."""

    down_for: float  # seconds
    loses_disk: bool


class ArmedCrashes:
    """The planned crashes of one process."""

    def __init__(self) -> None:
        """Start without planned crashes."""
        self.down_for = 0.0  # seconds from a crash at an effect to the restart
        self.at_vote: CrashAtVote | None = None
        self._effects_left: int | None = None  # effects to carry out before a crash
        self._effects_left_as_leader: int | None = None  # the same, counted from the start of leadership

    def arm(self, effects: int, down_for: float) -> None:
        """Plan a crash after the given number of further effects."""
        self._effects_left, self.down_for = effects, down_for

    def arm_as_leader(self, effects: int, down_for: float) -> None:
        """Plan a crash after the given number of effects, counted once the voter leads."""
        self._effects_left_as_leader, self.down_for = effects, down_for

    def arm_at_vote(self, down_for: float, loses_disk: bool) -> None:
        """Plan a crash just after the next vote."""
        self.at_vote = CrashAtVote(down_for, loses_disk)

    def disarm(self) -> None:
        """Cancel all crashes."""
        self._effects_left = self.at_vote = self._effects_left_as_leader = None

    @property
    def wait_for_leadership(self) -> bool:
        """Return whether a crash is planned whose effects are counted once the voter leads."""
        return self._effects_left_as_leader is not None

    def start_leading(self) -> None:
        """Begin to count the effects before the crash that was planned for a leader."""
        self._effects_left, self._effects_left_as_leader = self._effects_left_as_leader, None

    def is_due(self) -> bool:
        """Count one effect, and return whether the process is to crash before carrying it out."""
        if self._effects_left is None:
            return False
        if self._effects_left > 0:
            self._effects_left -= 1
            return False
        return True
