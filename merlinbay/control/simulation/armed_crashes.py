"""Crashes of a simulated process that happen at a later effect or vote."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class CrashAtVote:
    """A crash just after the next vote."""

    down_for: float  # seconds
    loses_disk: bool


class ArmedCrashes:
    """The crashes of one process that wait for their moment."""

    def __init__(self) -> None:
        """Start with none."""
        self.down_for = 0.0  # seconds that the process is down after a crash at an effect
        self.at_vote: CrashAtVote | None = None
        self._effects_left: int | None = None  # until a crash
        self._effects_left_as_leader: int | None = None  # until a crash, counted once the voter leads

    def arm(self, effects: int, down_for: float) -> None:
        """Crash before so many further effects are carried out."""
        self._effects_left, self.down_for = effects, down_for

    def arm_as_leader(self, effects: int, down_for: float) -> None:
        """Crash before so many further effects are carried out, counted once the voter leads."""
        self._effects_left_as_leader, self.down_for = effects, down_for

    def arm_at_vote(self, down_for: float, loses_disk: bool) -> None:
        """Crash just after the next vote."""
        self.at_vote = CrashAtVote(down_for, loses_disk)

    def disarm(self) -> None:
        """Cancel all crashes."""
        self._effects_left = self.at_vote = self._effects_left_as_leader = None

    @property
    def wait_for_leadership(self) -> bool:
        """Return whether a crash is counted once the voter leads."""
        return self._effects_left_as_leader is not None

    def start_leading(self) -> None:
        """Begin to count the effects of a leader."""
        self._effects_left, self._effects_left_as_leader = self._effects_left_as_leader, None

    def is_due(self) -> bool:
        """Count one effect; return whether the process crashes before it."""
        if self._effects_left is None:
            return False
        if self._effects_left > 0:
            self._effects_left -= 1
            return False
        return True
