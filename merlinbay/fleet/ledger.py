"""What the node holds of its members: claims that come are weighed here, and suspicions run out. No I/O.

``View`` adds the talking. Times are seconds of a clock that does not go back.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from merlinbay.fleet.effects import Event
from merlinbay.fleet.members import GONE, Claim, Health, Member, holds
from merlinbay.fleet.news import News
from merlinbay.fleet.settings import Fleet, times

SICK_MOST = 8  # local health: how much slower a node probes that has reason to doubt itself
WHY_KEPT = 8  # lines of explanation for a member
GONE_KEPT = 2  # times as many gone members are kept as there are, and 64


class Ledger:
    """Members, what is said of them, and the timers of all that."""

    def __init__(self, section: Fleet, me: Claim, rng: Random, now: float) -> None:
        self.section, self.rng, self.now = section, rng, now
        self.me = me
        self.members: dict[str, Member] = {me.name: Member(me, now)}
        self.news = News()
        self.events: list[Event] = []
        self.counts: dict[str, int] = {}
        self.timers: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.number = 0
        self.order: list[str] = []  # whom to probe, the next one last
        self.suspicions: dict[str, float] = {}  # when a suspicion becomes a death
        self.sick = 0
        self.leaving = self.yielded = False

    def here(self) -> list[Member]:
        """Return the members that count as there, this node included."""
        return [member for member in self.members.values() if member.here]

    def _mine(self) -> None:
        member = self.members[self.me.name]
        member.claim = self.me
        self.news.add(self.me)

    def _at(self, wait: float, call: Callable[..., None], *args: Any) -> None:
        self.number += 1
        heapq.heappush(self.timers, (self.now + wait, self.number, call, args))

    def _event(self, what: str, name: str, text: str = "") -> None:
        self.count(what)
        self.events.append(Event(self.now, what, name, text))

    def count(self, what: str) -> None:
        """Count something."""
        self.counts[what] = self.counts.get(what, 0) + 1

    # Suspicion.

    def _suspect(self, member: Member, first: bool) -> None:
        """Set, or shorten, the time that a suspect has to refute; it shrinks with each who confirms."""
        count = len(self.here())
        limits, wanted = times(self.section, count), min(self.section.helpers, max(count - 2, 0))
        if first:
            member.since = self.now
        # Guards against a death on few words: who has fewer witnesses gives up to twice the time. (In
        # fleets of two and three, with a third of the packets lost, four probes' time was too short.)
        least = limits.suspect_least * (2 - wanted / self.section.helpers)
        span = least
        if wanted:
            share = math.log(len(member.confirmed)) / math.log(wanted + 1) if member.confirmed else 0.0
            span = max(limits.suspect_most - (limits.suspect_most - least) * share, least)
        self.suspicions[member.name] = member.since + span
        self._at(max(member.since + span - self.now, 0.0), self._convict, member.name)

    def _convict(self, name: str) -> None:
        member, due = self.members.get(name), self.suspicions.get(name, math.inf)
        if member is None or member.health is not Health.SUSPECT:
            return
        if due > self.now:  # put off meanwhile
            if due < math.inf:
                self._at(due - self.now, self._convict, name)
            return
        self._why(
            member,
            f"nothing heard for {self.now - member.since:.1f} s after the first suspicion, "
            f"by {', '.join(sorted(member.confirmed))}",
        )
        self.apply(replace(member.claim, health=Health.DEAD, by=self.me.name))

    # What is said of members.

    def apply(self, claim: Claim, merged: bool = False) -> None:
        """Take a claim: it changes the view only if it holds against what is known."""
        if claim.name == self.me.name:
            self._about_me(claim)
            return
        member = self.members.get(claim.name)
        if member is None:
            self._first(claim)
            return
        old = member.claim
        if merged and claim.health is Health.DEAD and old.health is Health.ALIVE and holds(claim, old):
            claim = replace(claim, health=Health.SUSPECT)  # it may refute what the other side believed
        if not holds(claim, old):
            if (
                claim.incarnation == old.incarnation
                and claim.health is old.health is Health.SUSPECT
                and claim.by not in member.confirmed
                and len(member.confirmed) <= self.section.helpers
            ):
                member.confirmed.add(claim.by)
                self._why(member, f"suspected by {claim.by} as well")
                self.news.add(claim)
                self._suspect(member, first=False)
            return
        if claim.health in GONE and old.health is Health.ALIVE and not claim.addr:
            claim = replace(claim, addr=old.addr, zone=old.zone)
        member.claim = claim
        self.news.add(claim)
        self._changed(member, old)

    def _first(self, claim: Claim) -> None:
        member = self.members[claim.name] = Member(claim, self.now)
        if claim.health in GONE:
            return  # known to be gone, so that an old rumour cannot raise it
        self.news.add(claim)
        self.order.insert(self.rng.randrange(len(self.order) + 1), claim.name)
        self._event("joined", claim.name, claim.addr)
        if claim.health is Health.SUSPECT:
            member.confirmed = {claim.by}
            self._suspect(member, first=True)

    def _changed(self, member: Member, old: Claim) -> None:
        new = member.claim
        if new.health is old.health and new.health is not Health.SUSPECT:
            if (new.addr, new.draining, new.instance) != (old.addr, old.draining, old.instance):
                self._event(
                    "changed",
                    new.name,
                    "restarted" if new.instance != old.instance else "draining" if new.draining else new.addr,
                )
            return
        member.since = self.now
        if new.health is Health.SUSPECT:
            member.confirmed = {new.by}
            self._why(member, f"suspected by {new.by}")
            self._event("suspected", new.name, f"by {new.by}")
            self._suspect(member, first=True)
            return
        self.suspicions.pop(new.name, None)
        member.confirmed = set()
        if new.health is Health.ALIVE:
            back = old.health in GONE
            self._why(member, f"{'came back' if back else 'refuted'} at incarnation {new.incarnation}")
            self._event("returned" if back else "cleared", new.name, f"incarnation {new.incarnation}")
        else:
            if new.health is Health.DEAD and new.by != self.me.name:
                self._why(member, f"said to be dead by {new.by}")
            what = "died" if new.health is Health.DEAD else "left"
            self._event(what, new.name, f"said by {new.by or new.name}")

    def _why(self, member: Member, text: str) -> None:
        member.why.append((self.now, text))
        del member.why[:-WHY_KEPT]

    def _about_me(self, claim: Claim) -> None:
        me = self.me
        other = claim.instance not in (0, me.instance)
        if self.yielded or (claim.incarnation, claim.health) < (me.incarnation, Health.SUSPECT):
            if not (other and claim.incarnation == me.incarnation):
                if claim.health in (Health.SUSPECT, Health.DEAD) and claim.incarnation < me.incarnation:
                    self._again()
                return
        if claim.health is Health.ALIVE and not other and claim.incarnation <= me.incarnation:
            return
        if self.leaving and claim.incarnation <= me.incarnation:
            return
        if claim.health is not Health.ALIVE and not other:
            self.sick = min(SICK_MOST, self.sick + 1)
            self.count("refuted")
        self.me = replace(me, incarnation=claim.incarnation + 1)
        self._mine()
        if other and claim.health is Health.ALIVE and claim.addr != me.addr:
            self._challenge(claim)

    def _again(self) -> None:
        """Tell once more what refutes an accusation that somebody still believes."""
        # Guards against a refutation that was told a few times and lost each time: of 10,000 stories, 16 had
        # a death that was none, all with a third of the packets lost.
        if not self.yielded and not self.leaving:
            self.count("refuted_again")
            self.news.add(self.me)

    def _conflict(self, twin: Claim) -> None:
        """Two live processes have our name. The lower instance falls silent; both say so."""
        self.yielded = self.yielded or self.me.instance < twin.instance
        self._event(
            "conflict",
            self.me.name,
            f"the name is also used at {twin.addr}" + ("; this one falls silent" if self.yielded else ""),
        )

    def _reap(self) -> None:
        self._at(self.section.keep_dead / 4, self._reap)
        gone = sorted((m.since, m.name) for m in self.members.values() if not m.here)
        most = 64 + GONE_KEPT * (len(self.members) - len(gone))
        for since, name in gone:
            if self.now - since > self.section.keep_dead or len(gone) > most:
                del self.members[name]
                self.suspicions.pop(name, None)
                most += 1

    def _challenge(self, claim: Claim) -> None:
        """Find out whether another process lives under our name."""
        raise NotImplementedError
