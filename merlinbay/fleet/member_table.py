"""The member table: merges member states from gossip and push/pull by their precedence. No I/O.

It owns what this node knows of each member, queues each change for gossip, reports it as an event, and starts
and cancels suspicion timers. A state that does not supersede the current one may only confirm a suspicion.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from merlinbay.fleet.broadcast_queue import BroadcastQueue
from merlinbay.fleet.effects import MembershipEventKind
from merlinbay.fleet.event_log import MembershipEventLog
from merlinbay.fleet.local_member import LocalMember
from merlinbay.fleet.members import INACTIVE, Health, Member, MemberState, supersedes
from merlinbay.fleet.settings import FleetSettings
from merlinbay.fleet.suspicion import SuspicionTimers
from merlinbay.fleet.timers import ViewTimers

MAX_HISTORY = 8  # causes of a member's health that are kept for operators
MIN_KEPT_INACTIVE = 64
KEPT_INACTIVE_PER_ACTIVE = 2


class MemberTable:
    """The members that this node knows, itself included."""

    def __init__(
        self,
        settings: FleetSettings,
        local: LocalMember,
        timers: ViewTimers,
        events: MembershipEventLog,
        broadcasts: BroadcastQueue,
    ) -> None:
        self._settings, self._local = settings, local
        self._timers, self._events, self._broadcasts = timers, events, broadcasts
        self.members: dict[str, Member] = {local.name: local.member}
        self.suspicions = SuspicionTimers(settings, timers, self._declare_dead)
        self.on_join: list[Callable[[str], None]] = []  # callbacks that receive the name of a new member
        # Callbacks that receive the state that another process announces under this node's name.
        self.on_name_conflict: list[Callable[[MemberState], None]] = []

    def start(self) -> None:
        """Start the periodic removal of inactive members."""
        self._timers.schedule(self._settings.keep_dead / 4, self._reap)

    def active(self) -> list[Member]:
        """Return the members that are alive or suspect, this node included."""
        return [member for member in self.members.values() if member.is_active]

    def active_peers(self) -> list[Member]:
        """Return the active members except this node."""
        return [member for member in self.active() if member.name != self._local.name]

    def merge(self, state: MemberState, is_push_pull: bool = False) -> None:
        """Merge a received state, which changes the table only if it supersedes the current one.

        A claim about this node itself goes to ``LocalMember.refute``.
        """
        if state.name == self._local.name:
            if self._local.refute(state):
                for callback in self.on_name_conflict:
                    callback(state)
            return
        member = self.members.get(state.name)
        if member is None:
            self._add(state)
            return
        current = member.state
        is_new = supersedes(state, current)
        if is_push_pull and is_new and state.health is Health.DEAD and current.health is Health.ALIVE:
            # The other node's table may be outdated. The member only becomes suspect, so that it can refute.
            state = replace(state, health=Health.SUSPECT)
            is_new = supersedes(state, current)
        if not is_new:
            self._confirm(member, state)
            return
        if state.health in INACTIVE and current.health is Health.ALIVE and not state.addr:
            state = replace(state, addr=current.addr, zone=current.zone)
        member.state = state
        self._broadcasts.add(state)
        if state.health is current.health and state.health is not Health.SUSPECT:
            self._report_attributes(state, current)
        else:
            self._change_health(member, current)

    def _confirm(self, member: Member, state: MemberState) -> None:
        """Add a further accuser of a suspect, which shortens its suspicion timer."""
        current = member.state
        if (
            state.incarnation == current.incarnation
            and state.health is current.health is Health.SUSPECT
            and state.accuser not in member.accusers
            and len(member.accusers) <= self._settings.helpers
        ):
            member.accusers.add(state.accuser)
            self.explain(member, f"also suspected by {state.accuser}")
            self._broadcasts.add(state)
            self.suspicions.confirm(member, len(self.active()))

    def _add(self, state: MemberState) -> None:
        member = self.members[state.name] = Member(state, self._timers.now_s)
        if state.health in INACTIVE:
            return  # The member is kept, so that an older state does not make it active again.
        self._broadcasts.add(state)
        for callback in self.on_join:
            callback(state.name)
        self._events.record(MembershipEventKind.JOINED, state.name, state.addr)
        if state.health is Health.SUSPECT:
            member.accusers = {state.accuser}
            self.suspicions.start(member, len(self.active()))

    def _report_attributes(self, new: MemberState, old: MemberState) -> None:
        if (new.addr, new.is_draining, new.instance) == (old.addr, old.is_draining, old.instance):
            return
        change = "restarted" if new.instance != old.instance else "draining" if new.is_draining else new.addr
        self._events.record(MembershipEventKind.CHANGED, new.name, change)

    def _change_health(self, member: Member, old: MemberState) -> None:
        new = member.state
        member.health_since_s = self._timers.now_s
        if new.health is Health.SUSPECT:
            member.accusers = {new.accuser}
            self.explain(member, f"suspected by {new.accuser}")
            self._events.record(MembershipEventKind.SUSPECTED, new.name, f"by {new.accuser}")
            self.suspicions.start(member, len(self.active()))
            return
        self.suspicions.cancel(new.name)
        member.accusers = set()
        if new.health is Health.ALIVE:
            has_returned = old.health in INACTIVE
            cause = "returned" if has_returned else "refuted the suspicion"
            self.explain(member, f"{cause} at incarnation {new.incarnation}")
            kind = MembershipEventKind.RETURNED if has_returned else MembershipEventKind.CLEARED
            self._events.record(kind, new.name, f"incarnation {new.incarnation}")
            return
        if new.health is Health.DEAD and new.accuser != self._local.name:
            self.explain(member, f"declared dead by {new.accuser}")
        kind = MembershipEventKind.DIED if new.health is Health.DEAD else MembershipEventKind.LEFT
        self._events.record(kind, new.name, f"reported by {new.accuser or new.name}")

    def suspect(self, member: Member) -> None:
        """Mark a member that did not answer as suspect."""
        self.merge(replace(member.state, health=Health.SUSPECT, accuser=self._local.name))

    def _declare_dead(self, member: Member) -> None:
        self.explain(
            member,
            f"no refutation {self._timers.now_s - member.health_since_s:.1f} s after the first suspicion; "
            f"suspected by {', '.join(sorted(member.accusers))}",
        )
        self.merge(replace(member.state, health=Health.DEAD, accuser=self._local.name))

    def explain(self, member: Member, text: str) -> None:
        """Record a cause of a member's health, which operators see by the ``explain`` call."""
        member.history.append((self._timers.now_s, text))
        del member.history[:-MAX_HISTORY]

    def _reap(self) -> None:
        """Remove members that were inactive for longer than ``keep_dead``, and the oldest above a limit."""
        self._timers.schedule(self._settings.keep_dead / 4, self._reap)
        inactive = sorted(
            (member.health_since_s, member.name) for member in self.members.values() if not member.is_active
        )
        max_kept = MIN_KEPT_INACTIVE + KEPT_INACTIVE_PER_ACTIVE * (len(self.members) - len(inactive))
        for since_s, name in inactive:
            if self._timers.now_s - since_s > self._settings.keep_dead or len(inactive) > max_kept:
                del self.members[name]
                self.suspicions.cancel(name)
                max_kept += 1
