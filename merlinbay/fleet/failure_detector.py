"""SWIM's failure detector: a direct probe, then indirect probes by other members. No I/O.

Once a period it probes the next member of a shuffled round. A member that answers neither the direct probe
nor one of the helpers becomes suspect in the member table.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from merlinbay.fleet.event_log import MembershipEventLog
from merlinbay.fleet.gossip import GossipSender
from merlinbay.fleet.local_member import LocalMember
from merlinbay.fleet.member_table import MemberTable
from merlinbay.fleet.members import Member
from merlinbay.fleet.messages import IndirectPing, Nack, Ping
from merlinbay.fleet.outbox import Outbox
from merlinbay.fleet.settings import FleetSettings
from merlinbay.fleet.timers import ViewTimers

PROBE_END_SHARE = 0.999  # share of the period after which a probe ends, just before the next one starts


@dataclass(slots=True)
class Probe:
    """A probe that awaits its answer."""

    target: str
    sequence: int
    helpers: list[str] = field(default_factory=list)  # names of the members asked to probe the target
    nacks: int = 0  # number of helpers that reported that the target did not answer


class FailureDetector:
    """Probes one member per period, in shuffled rounds."""

    def __init__(
        self,
        settings: FleetSettings,
        local: LocalMember,
        table: MemberTable,
        gossip: GossipSender,
        outbox: Outbox,
        timers: ViewTimers,
        events: MembershipEventLog,
        rng: Random,
    ) -> None:
        self._settings, self._local, self._table, self._gossip = settings, local, table, gossip
        self._outbox, self._timers, self._events, self._rng = outbox, timers, events, rng
        self._probes: dict[int, Probe] = {}  # probes under way by sequence number
        self._round: list[
            str
        ] = []  # names of the members still to be probed in this round, the next one last
        table.on_join.append(self._add_to_round)

    def start(self) -> None:
        """Start probing at a random time within the first period."""
        self._timers.schedule(self._settings.probe * self._rng.random(), self._probe_next)

    def abandon_probes(self) -> None:
        """Drop the probes under way without suspecting their targets."""
        self._probes.clear()

    def _add_to_round(self, name: str) -> None:
        self._round.insert(self._rng.randrange(len(self._round) + 1), name)

    def _probe_next(self) -> None:
        period_s = self._settings.probe * (1 + self._local.health_score)
        self._timers.schedule(period_s, self._probe_next)
        if self._local.is_leaving or self._local.is_silenced:
            return
        target = self._next_target()
        if target is None:
            return
        sequence = self._outbox.next_sequence()
        probe = self._probes[sequence] = Probe(target.name, sequence)
        self._gossip.send(target.state.addr, Ping(sequence, target.name), probed=target.name)
        answer_s = self._settings.answer * self._settings.probe * (1 + self._local.health_score)
        self._timers.schedule(answer_s, self._probe_indirectly, probe)
        self._timers.schedule(period_s * PROBE_END_SHARE, self._end, probe)

    def _next_target(self) -> Member | None:
        """Return the next member of the shuffled round; None if there is no other active member.

        Two probes of the same member are at most two rounds apart.
        """
        for _ in range(2):
            while self._round:
                member = self._table.members.get(self._round.pop())
                if member is not None and member.is_active and member.name != self._local.name:
                    return member
            self._round = [member.name for member in self._table.active()]
            self._rng.shuffle(self._round)
        return None

    def _probe_indirectly(self, probe: Probe) -> None:
        target = self._table.members.get(probe.target)
        if probe.sequence not in self._probes or target is None or not target.is_active:
            return
        candidates = [member for member in self._table.active_peers() if member.name != probe.target]
        for helper in self._rng.sample(candidates, min(self._settings.helpers, len(candidates))):
            probe.helpers.append(helper.name)
            self._gossip.send(
                helper.state.addr, IndirectPing(probe.sequence, probe.target, target.state.addr)
            )

    def _end(self, probe: Probe) -> None:
        """Suspect the target of a probe that was not answered."""
        if self._probes.pop(probe.sequence, None) is None:
            return
        self._events.count("probes_failed")
        if probe.helpers and probe.nacks < len(probe.helpers):
            self._local.degrade()  # A helper that sends no nack is a sign that this node is slow or cut off.
        member = self._table.members.get(probe.target)
        if member is not None and member.is_active:
            helpers = ", ".join(probe.helpers) or "none"
            text = f"no answer to {self._local.name}; helpers: {helpers}; {probe.nacks} of them got no answer"
            self._table.explain(member, text)
            self._table.suspect(member)

    def handle_ack(self, sequence: int) -> None:
        """Handle the answer of a probed member, which came directly or through a helper."""
        if self._probes.pop(sequence, None) is not None:
            self._local.improve()

    def handle_nack(self, nack: Nack) -> None:
        """Handle the report of a helper that got no answer from the target."""
        if (probe := self._probes.get(nack.sequence)) is not None:
            probe.nacks += 1
