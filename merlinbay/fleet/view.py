"""The view that a node keeps of its fleet: SWIM with Lifeguard's local health, without I/O.

Bytes and time go in, effects come out by ``take``; ``next_at`` says when ``tick`` is due. Seconds of any
clock that does not go back. Sources: Das, Gupta, Motivala 2002 (SWIM); Dadgar, Phillips, Currey 2018
(Lifeguard).
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from merlinbay.fleet import wire
from merlinbay.fleet.effects import Event, Exchange, Send
from merlinbay.fleet.ledger import SICK_MOST, Ledger
from merlinbay.fleet.members import Claim, Health, Member, read, write
from merlinbay.fleet.settings import Fleet, times

AWAY = 0.25  # share of exchanges that go to somebody believed dead, or to a seed: partitions heal by these
HEADROOM = 90  # bytes of a datagram beside its news


@dataclass(slots=True)
class Probe:
    """A probe that has not been answered."""

    target: str
    seq: int
    asked: list[str] = field(default_factory=list)  # helpers
    nacks: int = 0
    done: bool = False


class View(Ledger):
    """The members as this node knows them, and what it does about it."""

    def __init__(self, section: Fleet, keys: wire.Keys, me: Claim, rng: Random, now: float) -> None:
        super().__init__(section, me, rng, now)
        self.keys = keys
        self.seeds: list[str] = list(section.seeds)
        self.out: list[Send | Exchange] = []
        self.seq = rng.getrandbits(31)
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, tuple[str, int]] = {}  # probes made for others: who asked, by what number
        self.twins: dict[int, Claim] = {}  # probes of another process under our name
        self.exchanges: dict[int, str] = {}
        self.joined = False

    # Around it.

    def start(self) -> None:
        """Begin; members come by seeds, or come to us."""
        self.news.add(self.me)
        self._at(self.section.probe * self.rng.random(), self._probe)
        self._at(self.section.gossip, self._gossip)
        self._at(0.0, self._join)
        self._at(self._exchange_wait(), self._exchange)
        self._at(self.section.keep_dead / 4, self._reap)

    def take(self) -> list[Send | Exchange]:
        """Return what is to be done, once."""
        out, self.out = self.out, []
        return out

    def told(self) -> list[Event]:
        """Return what has happened, once."""
        events, self.events = self.events, []
        return events

    def next_at(self) -> float:
        """Return when ``tick`` is due."""
        return self.timers[0][0] if self.timers else math.inf

    def tick(self, now: float) -> None:
        """Do what is due."""
        late = now - max(self.now, self.next_at())
        if late > self.section.probe:
            self._paused(late)
        self.now = max(self.now, now)
        while self.timers and self.timers[0][0] <= self.now:
            _, _, call, args = heapq.heappop(self.timers)
            call(*args)

    def set(self, gauges: dict[str, float] | None = None, draining: bool | None = None) -> None:
        """Tell the fleet something new of this node."""
        me = self.me
        self.me = replace(
            me,
            revision=me.revision + 1,
            gauges=me.gauges if gauges is None else gauges,
            draining=me.draining if draining is None else draining,
        )
        self._mine()

    def leave(self) -> None:
        """Tell the fleet that this node goes on purpose. It gossips for as long as it is run."""
        self.leaving = True
        self.me = replace(self.me, health=Health.LEFT)
        self._mine()
        self._spread()  # guards against an end before the next turn of gossip

    def join(self, addr: str) -> None:
        """Have the state exchanged with an address now, on an operator's word."""
        self._swap(addr, joining=True)

    def _paused(self, late: float) -> None:
        """Take it that this process stood still: what it has not heard meanwhile says nothing of others."""
        # Guards against one who was stopped, or is starved, and would accuse all others at once.
        self.sick = min(SICK_MOST, self.sick + 1)
        self.probes.clear()
        self.relays.clear()
        for name in self.suspicions:
            self.suspicions[name] += late
        self._event("paused", self.me.name, f"stood still for {late:.1f} s")
        self._at(0.0, self._swap_any)

    # Probing.

    def _probe(self) -> None:
        self._at(self.section.probe * (1 + self.sick), self._probe)
        if self.leaving or self.yielded:
            return
        target = self._next_target()
        if target is None:
            return
        self.seq += 1
        probe = self.probes[self.seq] = Probe(target.name, self.seq)
        self._ping(target.claim.addr, target.name, self.seq)
        part = self.section.answer * self.section.probe * (1 + self.sick)
        self._at(part, self._ask_helpers, probe)
        self._at(self.section.probe * (1 + self.sick) * 0.999, self._over, probe)

    def _next_target(self) -> Member | None:
        """Return the next of a shuffled round: between two probes of a member lie two rounds at the most."""
        for _ in range(2):
            while self.order:
                member = self.members.get(self.order.pop())
                if member is not None and member.here and member.name != self.me.name:
                    return member
            self.order = [member.name for member in self.here()]
            self.rng.shuffle(self.order)
        return None

    def _ping(self, addr: str, target: str, seq: int) -> None:
        self._datagram(addr, {"k": "ping", "q": seq, "t": target}, about=target)

    def _ask_helpers(self, probe: Probe) -> None:
        if probe.done or probe.seq not in self.probes:
            return
        target = self.members.get(probe.target)
        if target is None or not target.here:
            return
        others = [m for m in self.here() if m.name not in (probe.target, self.me.name)]
        for helper in self.rng.sample(others, min(self.section.helpers, len(others))):
            probe.asked.append(helper.name)
            self._datagram(
                helper.claim.addr, {"k": "ask", "q": probe.seq, "t": probe.target, "ta": target.claim.addr}
            )

    def _over(self, probe: Probe) -> None:
        if self.probes.pop(probe.seq, None) is None or probe.done:
            return
        self.count("probes_failed")
        if probe.asked and probe.nacks < len(probe.asked):
            self.sick = min(SICK_MOST, self.sick + 1)  # the helpers' silence speaks against us
        member = self.members.get(probe.target)
        if member is not None and member.here:
            helpers = ", ".join(probe.asked) or "nobody else to ask"
            self._why(
                member, f"probed by {self.me.name}, no answer; asked {helpers}; {probe.nacks} heard nothing"
            )
            claim = member.claim
            self.apply(replace(claim, health=Health.SUSPECT, by=self.me.name))

    def _acked(self, seq: int, instance: int) -> None:
        if (twin := self.twins.pop(seq, None)) is not None:
            if instance == twin.instance:
                self._conflict(twin)
            return
        if (relay := self.relays.pop(seq, None)) is not None:
            self._datagram(relay[0], {"k": "ack", "q": relay[1], "s": instance})
            return
        probe = self.probes.pop(seq, None)
        if probe is not None:
            probe.done = True
            self.sick = max(0, self.sick - 1)

    def _challenge(self, claim: Claim) -> None:
        """Ping the other address, to tell a second process from an old rumour."""
        if not self.twins:
            self.seq += 1
            self.twins[self.seq] = claim
            self._ping(claim.addr, claim.name, self.seq)
            self._at(self.section.probe * 4, self.twins.clear)

    # Gossip and exchanges.

    def _datagram(self, addr: str, message: dict[str, Any], about: str = "") -> None:
        room = wire.DATAGRAM - HEADROOM - len(self.section.name)
        if not self.yielded:
            member = self.members.get(about)
            if member is not None and member.health is Health.SUSPECT:
                # Lifeguard's buddy system: a suspect hears of it with the probe itself, first of all.
                self.news.add(member.claim)
            message["c"] = self.news.pick(room, times(self.section, len(self.members)).sends)
        self.out.append(Send(addr, wire.seal(self.keys, self.section.name, message)))

    def _gossip(self) -> None:
        self._at(self.section.gossip, self._gossip)
        self._spread()

    def _spread(self) -> None:
        """Tell some members the news, if there are any."""
        others = [m for m in self.here() if m.name != self.me.name]
        for member in self.rng.sample(others, min(self.section.spread, len(others))):
            if len(self.news):
                self._datagram(member.claim.addr, {"k": "news"})

    def _exchange_wait(self) -> float:
        return times(self.section, len(self.here())).exchange * self.rng.uniform(0.75, 1.25)

    def _exchange(self) -> None:
        self._at(self._exchange_wait(), self._exchange)
        self._swap_any()

    def _swap_any(self) -> None:
        """Exchange the whole state with somebody; now and then with one who is believed dead."""
        alive = [m.claim.addr for m in self.here() if m.name != self.me.name]
        away = [m.claim.addr for m in self.members.values() if m.health is Health.DEAD and m.claim.addr]
        away += [seed for seed in self.seeds if seed not in alive and seed != self.me.addr]
        if away and (not alive or self.rng.random() < AWAY):
            self._swap(self.rng.choice(away))
        elif alive:
            self._swap(self.rng.choice(alive))

    def _join(self) -> None:
        """Look for members until one has answered, at drawn moments: a whole fleet may start at once."""
        if self.joined:
            return
        others = [seed for seed in self.seeds if seed != self.me.addr]
        if others:
            self._swap(self.rng.choice(others), joining=True)
        self._at(self.section.probe * self.rng.uniform(0.5, 1.5), self._join)

    def _swap(self, addr: str, joining: bool = False) -> None:
        self.seq += 1
        self.exchanges[self.seq] = addr
        self.out.append(Exchange(addr, self._state(joining), self.seq))

    def _state(self, joining: bool) -> bytes:
        claims = [] if self.yielded else [write(member.claim) for member in self.members.values()]
        return wire.seal(
            self.keys,
            self.section.name,
            {
                "k": "state",
                "f": self.me.name,
                "s": self.me.instance,
                "a": self.me.addr,
                "j": joining,
                "v": [wire.OLDEST, wire.VERSION],
                "c": claims,
                **self._more_state(),
            },
        )

    def _more_state(self) -> dict[str, Any]:
        """Return what else goes with the state."""
        return {}

    # What comes.

    def datagram(self, now: float, source: str, data: bytes) -> None:
        """Take a datagram."""
        self.now = max(self.now, now)
        try:
            message = self._open(source, data)
        except wire.MessageRejectedError:
            return
        self._claims(message)
        kind, seq = message["k"], message.get("q")
        if not isinstance(seq, int):  # news have none
            return
        if kind == "ping" and message.get("t") == self.me.name and not self.yielded:
            self._datagram(source, {"k": "ack", "q": seq, "s": self.me.instance})
        elif kind == "ack" and isinstance(message.get("s"), int):
            self._acked(seq, message["s"])
        elif kind == "ask" and isinstance(message.get("ta"), str) and isinstance(message.get("t"), str):
            self.seq += 1
            self.relays[self.seq] = source, seq
            self._ping(message["ta"], message["t"], self.seq)
            self._at(self.section.probe * 0.5, self._nack, self.seq)
        elif kind == "nack" and (probe := self.probes.get(seq)) is not None:
            probe.nacks += 1

    def _nack(self, seq: int) -> None:
        if (relay := self.relays.pop(seq, None)) is not None:
            self._datagram(relay[0], {"k": "nack", "q": relay[1]})

    def frame(self, now: float, source: str, data: bytes) -> bytes:
        """Take a frame of a stream; return the answer. Raises ``Refused``."""
        self.now = max(self.now, now)
        message = self._open(source, data)
        if message["k"] != "state":
            raise wire.MessageRejectedError("no state")
        if why := self._unwelcome(message):
            self._event("refused", str(message.get("f"))[:64], why)
            return wire.seal(self.keys, self.section.name, {"k": "no", "why": why})
        self._claims(message, merged=True)
        return self._state(False)

    def _unwelcome(self, message: dict[str, Any]) -> str:
        """Return why a member may not come in; empty: it may."""
        speaks = message.get("v")
        if (
            not isinstance(speaks, list)
            or len(speaks) != 2
            or not all(isinstance(v, int) for v in speaks)
            or speaks[0] > wire.VERSION
            or speaks[1] < wire.OLDEST
        ):
            return f"speaks versions {speaks}, this fleet {wire.OLDEST} to {wire.VERSION}"
        known = self.members.get(str(message.get("f")))
        if (
            message.get("j")
            and known is not None
            and known.health is Health.ALIVE
            and known.claim.instance != message.get("s")
            and known.claim.addr != message.get("a")
        ):
            return f"the name {known.name} is used at {known.claim.addr}"
        return ""

    def exchanged(self, now: float, token: int, data: bytes | None) -> None:
        """Take what came back of an exchange; None: nothing did."""
        self.now = max(self.now, now)
        addr = self.exchanges.pop(token, "")
        if data is None:
            self.count("exchanges_failed")
            return
        try:
            message = self._open(addr, data)
        except wire.MessageRejectedError:
            return
        if message["k"] == "no":
            self._event("refused", self.me.name, f"by {addr}: {str(message.get('why'))[:200]}")
        elif message["k"] == "state":
            self.joined = True
            self._claims(message, merged=True)

    def _open(self, source: str, data: bytes) -> dict[str, Any]:
        try:
            return wire.open_sealed(self.keys, self.section.name, data)
        except wire.MessageRejectedError as error:
            if self.counts.get("packets_refused", 0) < 1 or str(error) != "garbage":
                self._event("packets_refused", source, str(error))
            else:
                self.count("packets_refused")
            raise

    def _claims(self, message: dict[str, Any], merged: bool = False) -> None:
        found = message.get("c")
        for one in found if isinstance(found, list) else []:
            try:
                claim = read(one)
            except (ValueError, TypeError):
                self.count("claims_bad")
                continue
            self.apply(claim, merged)


def fresh(name: str, addr: str, zone: str, incarnation: int, instance: int, tags: dict[str, str]) -> Claim:
    """Return what a node says of itself at its start."""
    speaks = (wire.OLDEST, wire.VERSION)
    return Claim(name, Health.ALIVE, incarnation, instance, addr, zone, speaks, tags=tags)
