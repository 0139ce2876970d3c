"""A fleet of voters, relays and followers in virtual time, with its measurements.

Consensus is not simulated. A change is in force at the leader after one round trip to another region, and
reaches each other voter one message delay later, also by a heartbeat. Followers may be restarted.
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
HEARTBEAT_S = 0.25  # time between two heartbeats of the leader to the other voters
COMMIT_DELAY_S = 2 * OTHER_REGION_DELAY_S  # round trip to a majority
FRAME_HEADER_BYTES = 4  # length prefix of each message


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
    kept_changes: int = 10_000  # changes that a voter keeps; older ones are compacted
    server: WatchServerSettings = WatchServerSettings()
    follower: FollowerSettings = FollowerSettings()

    def location(self, number: int) -> Location:
        """Return the location of the machine with this number among its kind."""
        zone = number % self.zones
        return Location(f"r{zone % self.regions}", f"z{zone}")


@dataclass(slots=True)
class SimulatedVoter:
    """A voter: its store, its watch server and its machine."""

    store: SourceStore
    server: WatchServer
    host: SimulatedMachine


class SimulatedFleet:
    """Runs voters, relays and followers over one log."""

    def __init__(self, plan: FleetPlan, seed: int) -> None:
        self.plan = plan
        self.network: FanoutNetwork[SimulatedMachine] = FanoutNetwork(seed)
        self.rng = Random(seed + 1)
        self.log: list[KeyValue] = []
        self.proposed_at: list[float] = []  # by revision: time at which the change was proposed
        self.disturbed: set[str] = set()  # names of followers whose relay, zone, region or process is lost
        self.measured = FleetMeasurements()
        self.voters = [self._voter(number) for number in range(plan.voters)]
        self.relays: dict[str, Relay] = {}
        self.followers: dict[str, Follower] = {}
        self._seen: dict[str, int] = {}  # by follower: the last revision of its process
        for _ in range(plan.keys):
            self._append(len(self.log))
        for voter in self.voters:
            self._catch_up(voter, len(self.log), 0.0)
        self._upstreams = self._relay_upstreams()
        for upstream in self._upstreams:
            self.start_relay(upstream.name)
        self.network.at(0.0, self._heartbeat)
        self.network.at(0.5, self._sample_relays)

    # Processes.

    def start_relay(self, name: str) -> None:
        """Start a relay without a state, also again after its end."""
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
        """Start a follower without a state, also again after its end."""
        name = f"member{number}"
        follower = Follower(name, self.plan.location(number), self._upstreams, self.plan.follower, self.rng)
        self.followers[name] = follower
        self._seen[name] = 0
        host = follower_machine(self.network, follower, self._on_advance)
        follower.start(self.network.now)
        host.done()

    def restart_follower(self, number: int) -> None:
        """End a follower's process and start it again without a state."""
        self.network.hosts[f"member{number}"].die(closes_streams=True)
        self.start_follower(number)

    def stop(self, name: str, closes_streams: bool = True) -> None:
        """End a process; ``closes_streams`` if its machine still runs."""
        self.network.hosts[name].die(closes_streams)

    # Log.

    def change(self, keys: int = 1) -> None:
        """Propose changes of ``keys`` keys now; they are in force at the leader after the commit delay."""
        first = len(self.log)
        self.network.at(self.network.now + COMMIT_DELAY_S, lambda: self._replicate(first + keys))
        for _ in range(keys):
            self._append(self.rng.randrange(self.plan.keys))

    def _append(self, key: int) -> None:
        value = self.rng.randbytes(self.plan.value_bytes)
        deleted = len(self.log) >= self.plan.keys and self.rng.random() < 0.05
        self.log.append(KeyValue(f"team/{key}/limit", None if deleted else value, len(self.log) + 1))
        self.proposed_at.append(self.network.now)

    def _replicate(self, revision: int) -> None:
        """Apply the log at the leader now, and at the other voters after their message delay."""
        now = self.network.now
        leader = self.voters[0]
        self._catch_up(leader, revision, now)
        for voter in self.voters[1:]:
            delay = self.network.delay(leader.host.location, voter.host.location)
            self.network.at(now + delay, lambda to=voter: self._catch_up(to, revision, now))  # type: ignore[misc]

    def _heartbeat(self) -> None:
        self._replicate(self.voters[0].store.revision)
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

    # Measurements.

    def _on_advance(self, host: SimulatedMachine, effect: StateAdvanced) -> None:
        name, now = host.name, self.network.now
        if self.network.hosts[name] is not host:
            return
        last_revision = self._seen[name]
        if effect.revision <= last_revision:
            self.measured.broken.append(f"{name} went from {last_revision} to {effect.revision}")
        if last_revision:  # the first state after a start does not measure the propagation of a change
            times = [now - proposed for proposed in self.proposed_at[last_revision : effect.revision]]
            if name in self.disturbed:
                self.measured.times_disturbed += times
            else:
                self.measured.times_to_force += times
        self._seen[name] = effect.revision

    def _sample_relays(self) -> None:
        second = int(self.network.now)
        for name, relay in self.relays.items():
            self.measured.most_watches = max(self.measured.most_watches, relay.server.watches)
            self.measured.admissions[name, second] = relay.server.counters.admitted
        self.network.at(self.network.now + 0.5, self._sample_relays)

    def differing(self) -> list[str]:
        """Return the running followers whose state differs from the log's."""
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
        """Return the force status of ``revision`` from the summaries of all voters."""
        now = self.network.now
        summaries = [voter.server.summary(now) for voter in self.voters]
        return force_status(merge(summaries, 8, 16), revision, expected=len(self.followers))

    def disturb(self, chosen: Callable[[Follower], bool]) -> None:
        """Measure the times of the chosen followers separately from now on."""
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
        """Return how many followers hold a watch at a relay; one whose stream silently ended counts too."""
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
