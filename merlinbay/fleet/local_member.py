"""The node's own member state, its refutations, and its local health score (Lifeguard). No I/O.

It owns what this node announces about itself. The member table passes it each claim about this node, which it
refutes by a higher incarnation where the claim is wrong.
"""

from __future__ import annotations

from dataclasses import replace

from merlinbay.fleet.broadcast_queue import BroadcastQueue
from merlinbay.fleet.event_log import MembershipEventLog
from merlinbay.fleet.members import Health, Member, MemberState

MAX_HEALTH_SCORE = 8


class LocalMember:
    """The member state of this node, and its local health score."""

    def __init__(
        self, state: MemberState, now_s: float, broadcasts: BroadcastQueue, events: MembershipEventLog
    ) -> None:
        self.state = state
        self.member = Member(state, now_s)  # this node's row of the member table
        self._broadcasts, self._events = broadcasts, events
        self.health_score = 0  # 0 is healthy; each point lengthens probes and their time-outs by one period
        self.is_leaving = False
        self.is_silenced = False  # Another live process has the same name, so this one announces nothing.

    @property
    def name(self) -> str:
        """Return this node's name."""
        return self.state.name

    def announce(self) -> None:
        """Queue this node's state for gossip."""
        self.member.state = self.state
        self._broadcasts.add(self.state)

    def update(self, gauges: dict[str, float] | None, is_draining: bool | None) -> None:
        """Change the announced gauges and draining flag; None leaves a value unchanged."""
        own = self.state
        self.state = replace(
            own,
            revision=own.revision + 1,
            gauges=own.gauges if gauges is None else gauges,
            is_draining=own.is_draining if is_draining is None else is_draining,
        )
        self.announce()

    def leave(self) -> None:
        """Announce that this node leaves."""
        self.is_leaving = True
        self.state = replace(self.state, health=Health.LEFT)
        self.announce()

    def degrade(self) -> None:
        """Raise the health score, because this node seems to be slow or badly connected."""
        self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)

    def improve(self) -> None:
        """Lower the health score."""
        self.health_score = max(0, self.health_score - 1)

    def refute(self, claimed: MemberState) -> bool:
        """Refute a claim about this node by a higher incarnation, unless it is outdated or true.

        Returns whether the claim suggests that a live process at another address has the same name.
        """
        own = self.state
        is_other_process = claimed.instance not in (0, own.instance)
        is_outdated = (claimed.incarnation, claimed.health) < (own.incarnation, Health.SUSPECT)
        is_rival = is_other_process and claimed.incarnation == own.incarnation
        if (self.is_silenced or is_outdated) and not is_rival:
            if claimed.health in (Health.SUSPECT, Health.DEAD) and claimed.incarnation < own.incarnation:
                self._repeat_refutation()
            return False
        if claimed.health is Health.ALIVE and not is_other_process and claimed.incarnation <= own.incarnation:
            return False
        if self.is_leaving and claimed.incarnation <= own.incarnation:
            return False
        if claimed.health is not Health.ALIVE and not is_other_process:
            self.degrade()
            self._events.count("refuted")
        self.state = replace(own, incarnation=claimed.incarnation + 1)
        self.announce()
        return is_other_process and claimed.health is Health.ALIVE and claimed.addr != own.addr

    def _repeat_refutation(self) -> None:
        # Every transmission of the refutation may have been lost. Without a repetition, this node would be
        # declared dead.
        if not self.is_silenced and not self.is_leaving:
            self._events.count("refuted_again")
            self._broadcasts.add(self.state)
