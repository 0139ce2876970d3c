"""The member table: merges member states by their precedence. No I/O."""

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

MAX_HISTORY = 8  # explanations of a member's health
MIN_KEPT_INACTIVE = 64
KEPT_INACTIVE_PER_ACTIVE = 2


class MemberTable:
    """All members that this node knows, itself included."""

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
        self.on_join: list[Callable[[str], None]] = []  # called with a new member's name
        self.on_name_conflict: list[Callable[[MemberState], None]] = []  # called with the other's state

    def start(self) -> None:
        """Start to forget inactive members."""
        self._timers.schedule(self._settings.keep_dead / 4, self._reap)

    def active(self) -> list[Member]:
        """Return the members that are alive or only suspected, this node included."""
        return [member for member in self.members.values() if member.is_active]

    def active_peers(self) -> list[Member]:
        """Return the active members without this node."""
        return [member for member in self.active() if member.name != self._local.name]

    def merge(self, state: MemberState, is_push_pull: bool = False) -> None:
        """Take a member state; it changes the table only if it supersedes the one that is known."""
        if state.name == self._local.name:
            if self._local.refute(state):
                for report in self.on_name_conflict:
                    report(state)
            return
        member = self.members.get(state.name)
        if member is None:
            self._add(state)
            return
        known = member.state
        is_new = supersedes(state, known)
        if is_push_pull and is_new and state.health is Health.DEAD and known.health is Health.ALIVE:
            # Guards against a death by an outdated table: the member may refute a suspicion first.
            state = replace(state, health=Health.SUSPECT)
            is_new = supersedes(state, known)
        if not is_new:
            self._confirm(member, state)
            return
        if state.health in INACTIVE and known.health is Health.ALIVE and not state.addr:
            state = replace(state, addr=known.addr, zone=known.zone)
        member.state = state
        self._broadcasts.add(state)
        if state.health is known.health and state.health is not Health.SUSPECT:
            self._report_attributes(state, known)
        else:
            self._change_health(member, known)

    def _confirm(self, member: Member, state: MemberState) -> None:
        """Note a further accuser of a suspect."""
        known = member.state
        if (
            state.incarnation == known.incarnation
            and state.health is known.health is Health.SUSPECT
            and state.accuser not in member.accusers
            and len(member.accusers) <= self._settings.helpers
        ):
            member.accusers.add(state.accuser)
            self.explain(member, f"suspected by {state.accuser} as well")
            self._broadcasts.add(state)
            self.suspicions.confirm(member, len(self.active()))

    def _add(self, state: MemberState) -> None:
        member = self.members[state.name] = Member(state, self._timers.now_s)
        if state.health in INACTIVE:
            return  # kept, so that an older state does not bring it back
        self._broadcasts.add(state)
        for report in self.on_join:
            report(state.name)
        self._events.record(MembershipEventKind.JOINED, state.name, state.addr)
        if state.health is Health.SUSPECT:
            member.accusers = {state.accuser}
            self.suspicions.start(member, len(self.active()))

    def _report_attributes(self, new: MemberState, old: MemberState) -> None:
        if (new.addr, new.is_draining, new.instance) == (old.addr, old.is_draining, old.instance):
            return
        what = "restarted" if new.instance != old.instance else "draining" if new.is_draining else new.addr
        self._events.record(MembershipEventKind.CHANGED, new.name, what)

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
            what = "came back" if has_returned else "refuted"
            self.explain(member, f"{what} at incarnation {new.incarnation}")
            kind = MembershipEventKind.RETURNED if has_returned else MembershipEventKind.CLEARED
            self._events.record(kind, new.name, f"incarnation {new.incarnation}")
            return
        if new.health is Health.DEAD and new.accuser != self._local.name:
            self.explain(member, f"said to be dead by {new.accuser}")
        kind = MembershipEventKind.DIED if new.health is Health.DEAD else MembershipEventKind.LEFT
        self._events.record(kind, new.name, f"said by {new.accuser or new.name}")

    def suspect(self, member: Member) -> None:
        """Accuse a member that did not answer."""
        self.merge(replace(member.state, health=Health.SUSPECT, accuser=self._local.name))

    def _declare_dead(self, member: Member) -> None:
        self.explain(
            member,
            f"no refutation {self._timers.now_s - member.health_since_s:.1f} s after the first suspicion; "
            f"suspected by {', '.join(sorted(member.accusers))}",
        )
        self.merge(replace(member.state, health=Health.DEAD, accuser=self._local.name))

    def explain(self, member: Member, text: str) -> None:
        """Note a cause of a member's health, for operators."""
        member.history.append((self._timers.now_s, text))
        del member.history[:-MAX_HISTORY]

    def _reap(self) -> None:
        """Forget members that have been inactive for long, or are too many."""
        self._timers.schedule(self._settings.keep_dead / 4, self._reap)
        inactive = sorted((m.health_since_s, m.name) for m in self.members.values() if not m.is_active)
        max_kept = MIN_KEPT_INACTIVE + KEPT_INACTIVE_PER_ACTIVE * (len(self.members) - len(inactive))
        for since_s, name in inactive:
            if self._timers.now_s - since_s > self._settings.keep_dead or len(inactive) > max_kept:
                del self.members[name]
                self.suspicions.cancel(name)
                max_kept += 1
