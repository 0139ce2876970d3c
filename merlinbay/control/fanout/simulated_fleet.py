"""A fleet of voters, relays and followers in virtual time, with what is measured of it.

The consensus is not played: a change is in force at the leader after one round to the next region and back,
and reaches each other voter one way later, also by a heartbeat. Followers' members may be restarted.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from merlinbay.control.entries import KeyValue
from merlinbay.control.fanout.effects import StateAdvanced
from merlinbay.control.fanout.fleet_measurements import FleetMeasurements
from merlinbay.control.fanout.follower import Follower
from merlinbay.control.fanout.messages import Generation
from merlinbay.control.fanout.relay import Relay
from merlinbay.control.fanout.settings import FollowerSettings, RelaySettings, WatchServerSettings
from merlinbay.control.fanout.simulated_machine import (
    SimulatedMachine,
    follower_machine,
    relay_machine,
    server_machine,
)
from merlinbay.control.fanout.simulated_network import OTHER_REGION_DELAY_S, FanoutNetwork
from merlinbay.control.fanout.simulated_source import SourceStore
from merlinbay.control.fanout.status import ForceStatus, force_status, merge
from merlinbay.control.fanout.topology import Location, Upstream
from merlinbay.control.fanout.watch_server import WatchServer

GENERATION = Generation(1, "simulated")
HEARTBEAT_S = 0.25  # from the leader to the other voters
COMMIT_DELAY_S = 2 * OTHER_REGION_DELAY_S  # to a majority and back
FRAME_HEADER_BYTES = 4  # bytes of the length before each message


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """The size and settings of a simulated fleet."""

    followers: int = 250
    regions: int = 3
    zones: int = 12
    voters: int = 5
    relays: int = 16
    keys: int = 200
    value_bytes: int = 64
    kept_changes: int = 10_000  # at a voter; changes before these are compacted
    server: WatchServerSettings = WatchServerSettings()
    follower: FollowerSettings = FollowerSettings()

    def location(self, number: int) -> Location:
        """Return the place of the so many-th machine of a kind."""
        zone = number % self.zones
        return Location(f"r{zone % self.regions}", f"z{zone}")


@dataclass(slots=True)
class SimulatedVoter:
    """A voter's store and what serves it."""

    store: SourceStore
    server: WatchServer
    host: SimulatedMachine


class SimulatedFleet:
    """Voters, relays, followers and the log."""

    def __init__(self, plan: FleetPlan, seed: int) -> None:
        self.plan = plan
        self.network: FanoutNetwork[SimulatedMachine] = FanoutNetwork(seed)
        self.rng = Random(seed + 1)
        self.log: list[KeyValue] = []
        self.proposed_at: list[float] = []  # by revision: when the change was proposed
        self.disturbed: set[str] = set()  # followers whose relay, zone, region or process was taken away
        self.measured = FleetMeasurements()
        self.voters = [self._voter(number) for number in range(plan.voters)]
        self.relays: dict[str, Relay] = {}
        self.followers: dict[str, Follower] = {}
        self._seen: dict[str, int] = {}  # the last revision of a follower's process
        for _ in range(plan.keys):
            self._append(len(self.log))
        for voter in self.voters:
            self._catch_up(voter, len(self.log), 0.0)
        self._relays_listed = self._relay_upstreams()
        for upstream in self._relays_listed:
            self.start_relay(upstream.name)
        self.network.at(0.0, self._heartbeat)
        self.network.at(0.5, self._watch_over)

    # Processes.

    def start_relay(self, name: str) -> None:
        """Start a relay, or start it again with nothing."""
        number = int(name.removeprefix("relay"))
        upstreams = [Upstream(voter.host.name, "", voter.host.location, tier=0) for voter in self.voters]
        settings = RelaySettings(server=self.plan.server, follower=self.plan.follower)
        rng = Random(self.rng.getrandbits(64))
        relay = Relay(name, self.plan.location(number), upstreams, settings, rng, self.network.now)
        host = relay_machine(self.network, relay)
        self.relays[name] = relay
        relay.start(self.network.now)
        host.done()

    def start_follower(self, number: int) -> None:
        """Start a follower, or start it again with nothing."""
        name = f"member{number}"
        follower = Follower(
            name, self.plan.location(number), self._relays_listed, self.plan.follower, self.rng
        )
        self.followers[name] = follower
        self._seen[name] = 0
        host = follower_machine(self.network, follower, self._on_advance)
        follower.start(self.network.now)
        host.done()

    def restart_follower(self, number: int) -> None:
        """End a follower's process and start it anew."""
        self.network.hosts[f"member{number}"].die(closes_streams=True)
        self.start_follower(number)

    def stop(self, name: str, closes_streams: bool = True) -> None:
        """End a process: ``closes_streams`` if its machine still runs."""
        self.network.hosts[name].die(closes_streams)

    # The log.

    def change(self, keys: int = 1) -> None:
        """Ask for changes of so many keys now; they are in force at the leader a little later."""
        first = len(self.log)
        self.network.at(self.network.now + COMMIT_DELAY_S, lambda: self._spread(first + keys))
        for _ in range(keys):
            self._append(self.rng.randrange(self.plan.keys))

    def _append(self, key: int) -> None:
        value = self.rng.randbytes(self.plan.value_bytes)
        deleted = len(self.log) >= self.plan.keys and self.rng.random() < 0.05
        self.log.append(KeyValue(f"team/{key}/limit", None if deleted else value, len(self.log) + 1))
        self.proposed_at.append(self.network.now)

    def _spread(self, revision: int) -> None:
        """Let the leader apply the log and tell the other voters."""
        now = self.network.now
        leader = self.voters[0]
        self._catch_up(leader, revision, now)
        for voter in self.voters[1:]:
            delay = self.network.delay(leader.host.location, voter.host.location)
            self.network.at(now + delay, lambda to=voter: self._catch_up(to, revision, now))  # type: ignore[misc]

    def _heartbeat(self) -> None:
        self._spread(self.voters[0].store.revision)
        self.network.at(self.network.now + HEARTBEAT_S, self._heartbeat)

    def _catch_up(self, voter: SimulatedVoter, revision: int, sent_at: float) -> None:
        if not self.network.reachable(self.voters[0].host, voter.host):
            return
        now = self.network.now
        for entry in self.log[voter.store.revision : revision]:
            voter.store.apply(entry)
            voter.server.advanced(now)
        voter.server.confirm(now, now - sent_at)
        voter.host.done()

    # What is measured.

    def _on_advance(self, host: SimulatedMachine, effect: StateAdvanced) -> None:
        name, now = host.name, self.network.now
        if self.network.hosts[name] is not host:
            return
        seen = self._seen[name]
        if effect.revision <= seen:
            self.measured.broken.append(f"{name} went from {seen} to {effect.revision}")
        if seen:  # its first state is no measure of a change's time
            times = [now - proposed for proposed in self.proposed_at[seen : effect.revision]]
            if name in self.disturbed:
                self.measured.times_disturbed += times
            else:
                self.measured.times_to_force += times
        self._seen[name] = effect.revision

    def _watch_over(self) -> None:
        second = int(self.network.now)
        for name, relay in self.relays.items():
            self.measured.most_watches = max(self.measured.most_watches, relay.server.watches)
            self.measured.admissions[name, second] = relay.server.counters.admitted
        self.network.at(self.network.now + 0.5, self._watch_over)

    def differing(self) -> list[str]:
        """Return the followers that run and hold another state than the log's."""
        state: dict[str, KeyValue] = {}
        for entry in self.log:
            if entry.value is None:
                state.pop(entry.key, None)
            else:
                state[entry.key] = entry
        return [
            name
            for name, follower in self.followers.items()
            if self.network.hosts[name].alive
            and {entry.key: entry for entry in follower.snapshot().entries} != state
        ]

    def force_status(self, revision: int) -> ForceStatus:
        """Return the status from the summaries of all voters."""
        now = self.network.now
        summaries = [voter.server.summary(now) for voter in self.voters]
        return force_status(merge(summaries, 8, 16), revision, expected=len(self.followers))

    def disturb(self, chosen: Callable[[Follower], bool]) -> None:
        """Count these followers' times apart from now on."""
        self.disturbed |= {name for name, follower in self.followers.items() if chosen(follower)}

    def alive(self) -> int:
        """Return how many followers run."""
        return sum(self.network.hosts[name].alive for name in self.followers)

    def behind(self, revision: int) -> int:
        """Return how many running followers lack ``revision``."""
        return sum(
            follower.revision < revision
            for name, follower in self.followers.items()
            if self.network.hosts[name].alive
        )

    def watching(self, relay: str) -> int:
        """Return how many followers hold, or believe that they hold, a watch at a relay."""
        upstreams = (follower.upstream for follower in self.followers.values())
        return sum(upstream is not None and upstream.name == relay for upstream in upstreams)

    def without_watch(self) -> int:
        """Return how many running followers hold no watch."""
        return sum(
            follower.upstream is None
            for name, follower in self.followers.items()
            if self.network.hosts[name].alive
        )

    def _relay_upstreams(self) -> list[Upstream]:
        plan = self.plan
        return [Upstream(f"relay{n}", "", plan.location(n)) for n in range(plan.relays)]

    def _voter(self, number: int) -> SimulatedVoter:
        name, location = f"voter{number}", self.plan.location(number)
        store = SourceStore(self.plan.kept_changes)
        rng = Random(self.rng.getrandbits(64))
        server = WatchServer(store, GENERATION, self.plan.server, rng, 0.0)
        return SimulatedVoter(store, server, server_machine(self.network, name, location, server))
