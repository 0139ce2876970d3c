"""Suspicion timers (Lifeguard): the time that a suspect has to refute, shorter with each confirmation.

``member_table`` starts a timer for each new suspect, confirms it for each further accuser, and cancels it
once the suspicion is refuted. ``on_expired`` is called with a member whose timer expires. No I/O.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from merlinbay.fleet.members import Health, Member
from merlinbay.fleet.settings import FleetSettings, timing
from merlinbay.fleet.timers import ViewTimers


class SuspicionTimers:
    """Holds one timer for each suspect."""

    def __init__(
        self, settings: FleetSettings, timers: ViewTimers, on_expired: Callable[[Member], None]
    ) -> None:
        self._settings, self._timers, self._on_expired = settings, timers, on_expired
        self.expires_at_s: dict[str, float] = {}  # expiry times by the suspect's name

    def start(self, member: Member, active_count: int) -> None:
        """Start the timer of a new suspect, in a fleet with this many active members."""
        member.health_since_s = self._timers.now_s
        self.confirm(member, active_count)

    def confirm(self, member: Member, active_count: int) -> None:
        """Set the timer of a suspect according to the number of its accusers."""
        expires_at_s = member.health_since_s + self._timeout_s(len(member.accusers), active_count)
        self.expires_at_s[member.name] = expires_at_s
        self._timers.schedule(max(expires_at_s - self._timers.now_s, 0.0), self._expire, member)

    def _timeout_s(self, accusers: int, active_count: int) -> float:
        limits = timing(self._settings, active_count)
        confirmers = min(self._settings.helpers, max(active_count - 2, 0))
        # In a fleet of two to four members, few can confirm a suspicion. The shortest time is then up to
        # twice as long, so that a live member is not declared dead by mistake.
        min_s = limits.suspicion_min_s * (2 - confirmers / self._settings.helpers)
        if not confirmers:
            return min_s
        share = math.log(accusers) / math.log(confirmers + 1) if accusers else 0.0
        return max(limits.suspicion_max_s - (limits.suspicion_max_s - min_s) * share, min_s)

    def cancel(self, name: str) -> None:
        """Remove the timer of a member that is no longer suspect."""
        self.expires_at_s.pop(name, None)

    def postpone(self, by_s: float) -> None:
        """Postpone all timers."""
        for name in self.expires_at_s:
            self.expires_at_s[name] += by_s

    def _expire(self, member: Member) -> None:
        due_at_s = self.expires_at_s.get(member.name, math.inf)
        if member.health is not Health.SUSPECT:
            return
        if due_at_s > self._timers.now_s:  # postponed, or cancelled (infinity)
            if due_at_s < math.inf:
                self._timers.schedule(due_at_s - self._timers.now_s, self._expire, member)
            return
        self._on_expired(member)
