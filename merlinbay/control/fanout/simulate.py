"""Simulated figures of the fan-out: ``python -m merlinbay.control.fanout.simulate --followers 1000``.

Followers, relays and servers run their real code; streams, delays and the log are simulated in virtual time
(``simulated_network``, ``simulated_fleet``). The figures do not include processor time.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable, Iterable

import msgspec

from merlinbay.control.fanout.counters import FollowerCounters, ServerCounters
from merlinbay.control.fanout.simulated_fleet import FRAME_HEADER_BYTES, FleetPlan, SimulatedFleet

SETTLE_S = 30.0  # wait after the last start and after the last change
POLL_INTERVAL_S = 0.25  # time between checks whether a condition holds
CUT_REGION = "r2"  # region with one voter of five
DEAD_RELAY = "relay5"  # the only relay of its zone
LOST_ZONE = "z5"
RESTARTS_SHARE = 700 / 2500  # share of the members that restart within ``RESTARTS_WITHIN_S``
RESTARTS_WITHIN_S = 600.0


class ChangeLoad(msgspec.Struct, frozen=True):
    """The load of a run. Times are in seconds."""

    rate: float = 1.0  # changes per second
    duration: float = 300.0  # time during which changes are made
    burst: int = 100  # changes made at once after three quarters of the duration
    start_within: float = 60.0  # time within which all followers start
    cut: float = 3600.0  # time for which a region is cut off


class PropagationTimes(msgspec.Struct, frozen=True):
    """Seconds from the request of a change until it is in force, over all changes and followers."""

    samples: int
    p50: float
    p99: float
    p999: float
    most: float


class TrafficTotals(msgspec.Struct, frozen=True):
    """Bytes and messages of one process, with the length prefix of each message, without TCP headers."""

    sent_bytes: float
    received_bytes: float
    sent_messages: float
    received_messages: float


class RoleTraffic(msgspec.Struct, frozen=True):
    """A role's bytes and messages per second: mean and maximum over its processes, each column by itself."""

    mean: TrafficTotals
    most: TrafficTotals


class SimulatedRun(msgspec.Struct, frozen=True):
    """The results of one run."""

    scenario: str
    followers: int
    seed: int
    times: PropagationTimes | None
    # Times at followers whose relay, zone, region or process was taken away.
    times_disturbed: PropagationTimes | None
    started_after: float  # from the last start until every follower held a state
    watched_after: float  # from the fault, or its end, until every running follower held a watch
    known_after: float  # from the last change until the voters' summaries showed it in force everywhere
    most_watches: int  # maximum of the watches held by one relay at a time
    most_admissions: int  # maximum of the new watches at one relay in one second, after the start
    most_admissions_start: int  # the same during the start
    traffic: dict[str, RoleTraffic]  # by role, while changes are made
    differing: int  # followers whose final state differed from the log's
    broken: tuple[str, ...]  # violations: followers whose revision did not increase


def play(scenario: str, plan: FleetPlan, load: ChangeLoad, seed: int) -> SimulatedRun:
    """Start a fleet, make changes, inject the scenario's fault after half of the duration, and measure."""
    fleet = SimulatedFleet(plan, seed)
    network = fleet.network
    for number in range(plan.followers):
        moment = 1.0 + fleet.rng.uniform(0, load.start_within)
        network.at(moment, lambda number=number: fleet.start_follower(number))  # type: ignore[misc]
    network.run(1.0 + load.start_within)
    started_after = _wait(fleet, lambda: all(follower.revision for follower in fleet.followers.values()))
    network.run(network.now + SETTLE_S)
    admissions_start = fleet.measured.most_admissions(0.0)

    began_at, before = network.now, _totals(fleet)
    _schedule_changes(fleet, load)
    network.run(began_at + load.duration / 2)
    watched_after = SCENARIOS[scenario](fleet, load)
    network.run(max(network.now, began_at + load.duration))
    traffic = _traffic(before, _totals(fleet), network.now - began_at)

    fleet.change()
    last_revision = len(fleet.log)
    known_after = _wait(fleet, lambda: fleet.force_status(last_revision).in_force == fleet.alive())
    network.run(network.now + SETTLE_S)
    return SimulatedRun(
        scenario=scenario,
        followers=plan.followers,
        seed=seed,
        times=_times(fleet.measured.times_to_force),
        times_disturbed=_times(fleet.measured.times_disturbed),
        started_after=started_after,
        watched_after=watched_after,
        known_after=known_after,
        most_watches=fleet.measured.most_watches,
        most_admissions=fleet.measured.most_admissions(began_at),
        most_admissions_start=admissions_start,
        traffic=traffic,
        differing=len(fleet.differing()),
        broken=tuple(fleet.measured.broken),
    )


# Faults. Each function returns the time until all running followers held a watch again.


def quiet(fleet: SimulatedFleet, load: ChangeLoad) -> float:
    """Inject no fault."""
    return _wait(fleet, lambda: fleet.without_watch() == 0)


def relay_killed(fleet: SimulatedFleet, load: ChangeLoad) -> float:
    """Kill a relay's process; its system closes the streams."""
    fleet.disturb(lambda follower: follower.upstream is not None and follower.upstream.name == DEAD_RELAY)
    fleet.stop(DEAD_RELAY, closes_streams=True)
    return _wait(fleet, lambda: fleet.without_watch() == 0 and not fleet.watching(DEAD_RELAY))


def relay_lost(fleet: SimulatedFleet, load: ChangeLoad) -> float:
    """Lose a relay's machine; no stream is closed."""
    fleet.disturb(lambda follower: follower.upstream is not None and follower.upstream.name == DEAD_RELAY)
    fleet.stop(DEAD_RELAY, closes_streams=False)
    return _wait(fleet, lambda: fleet.without_watch() == 0 and not fleet.watching(DEAD_RELAY))


def zone_lost(fleet: SimulatedFleet, load: ChangeLoad) -> float:
    """Lose a zone with its relay and its followers; all of them start again at once after a minute."""
    lost = [name for name, host in fleet.network.hosts.items() if host.location.zone == LOST_ZONE]
    fleet.disturb(lambda follower: follower.location.zone == LOST_ZONE)
    for name in lost:
        fleet.stop(name, closes_streams=False)
    fleet.network.run(fleet.network.now + 60)
    fleet.start_relay(DEAD_RELAY)
    for name in lost:
        if name in fleet.followers:
            fleet.start_follower(int(name.removeprefix("member")))
    return _wait(fleet, lambda: fleet.without_watch() == 0)


def region_cut(fleet: SimulatedFleet, load: ChangeLoad) -> float:
    """Cut a region off for the load's ``cut`` time, then reconnect it."""
    fleet.disturb(lambda follower: follower.location.region == CUT_REGION)
    fleet.network.cut_regions.add(CUT_REGION)
    fleet.network.run(fleet.network.now + load.cut)
    fleet.change()
    fleet.network.cut_regions.clear()
    return _wait(fleet, lambda: fleet.without_watch() == 0 and not fleet.behind(len(fleet.log)))


def restarts(fleet: SimulatedFleet, load: ChangeLoad) -> float:
    """Restart more than a quarter of the members within ten minutes."""
    count = round(RESTARTS_SHARE * fleet.plan.followers)
    chosen = fleet.rng.sample(range(fleet.plan.followers), count)
    names = {f"member{number}" for number in chosen}
    fleet.disturb(lambda follower: follower.member in names)
    for number in chosen:
        moment = fleet.network.now + fleet.rng.uniform(0, RESTARTS_WITHIN_S)
        fleet.network.at(moment, lambda number=number: fleet.restart_follower(number))  # type: ignore[misc]
    fleet.network.run(fleet.network.now + RESTARTS_WITHIN_S)
    return _wait(fleet, lambda: fleet.without_watch() == 0)


SCENARIOS: dict[str, Callable[[SimulatedFleet, ChangeLoad], float]] = {
    "quiet": quiet,
    "relay-killed": relay_killed,
    "relay-lost": relay_lost,
    "zone-lost": zone_lost,
    "region-cut": region_cut,
    "restarts": restarts,
}


def _schedule_changes(fleet: SimulatedFleet, load: ChangeLoad) -> None:
    network = fleet.network
    for count in range(int(load.rate * load.duration)):
        network.at(network.now + count / load.rate, fleet.change)
    if load.burst:
        network.at(network.now + 0.75 * load.duration, lambda: fleet.change(load.burst))


def _wait(fleet: SimulatedFleet, reached: Callable[[], bool], max_wait: float = 300.0) -> float:
    """Advance time until a condition holds, or for ``max_wait`` at most; return the time that passed."""
    began_at = fleet.network.now
    while not reached() and fleet.network.now < began_at + max_wait:
        fleet.network.run(fleet.network.now + POLL_INTERVAL_S)
    return fleet.network.now - began_at


def _times(times: Iterable[float]) -> PropagationTimes | None:
    ordered = sorted(times)
    if not ordered:
        return None

    def at(share: float) -> float:
        return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 4)

    return PropagationTimes(len(ordered), at(0.5), at(0.99), at(0.999), round(ordered[-1], 4))


# Traffic.


def _totals(fleet: SimulatedFleet) -> dict[str, list[TrafficTotals]]:
    """Return the counters of every process by role; restarted processes count from zero."""
    return {
        "follower": [_sum_counters(follower.counters) for follower in fleet.followers.values()],
        "relay": [
            _sum_counters(relay.follower.counters, relay.server.counters) for relay in fleet.relays.values()
        ],
        "voter": [_sum_counters(voter.server.counters) for voter in fleet.voters],
    }


def _sum_counters(*counters: FollowerCounters | ServerCounters) -> TrafficTotals:
    sent = sum(group.messages_sent for group in counters)
    received = sum(group.messages_received for group in counters)
    return TrafficTotals(
        sum(group.bytes_sent for group in counters) + FRAME_HEADER_BYTES * sent,
        sum(group.bytes_received for group in counters) + FRAME_HEADER_BYTES * received,
        sent,
        received,
    )


def _traffic(
    before: dict[str, list[TrafficTotals]], after: dict[str, list[TrafficTotals]], elapsed: float
) -> dict[str, RoleTraffic]:
    return {role: _rates(before[role], after[role], elapsed) for role in after}


def _rates(before: list[TrafficTotals], after: list[TrafficTotals], elapsed: float) -> RoleTraffic:
    columns = []
    for name in TrafficTotals.__struct_fields__:
        pairs = zip(before, after, strict=True)
        columns.append([max(0.0, getattr(new, name) - getattr(old, name)) / elapsed for old, new in pairs])
    return RoleTraffic(
        mean=TrafficTotals(*[round(sum(column) / len(column), 1) for column in columns]),
        most=TrafficTotals(*[round(max(column), 1) for column in columns]),
    )


# Command line.


def main() -> None:
    """Run the scenarios given on the command line; print a line of JSON for each."""
    parser = argparse.ArgumentParser(description="Simulated figures of the fan-out (virtual time).")
    parser.add_argument("--followers", type=int, default=250)
    parser.add_argument("--scenario", choices=SCENARIOS, action="append", help="may be given several times")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=float, default=300.0, help="seconds of changes")
    parser.add_argument("--rate", type=float, default=1.0, help="changes a second")
    parser.add_argument("--burst", type=int, default=100, help="changes at once")
    parser.add_argument("--cut", type=float, default=3600.0, help="seconds that a region is cut off")
    parser.add_argument("--start-within", type=float, default=60.0, help="seconds in which all start")
    options = parser.parse_args()
    load = ChangeLoad(options.rate, options.duration, options.burst, options.start_within, options.cut)
    for scenario in options.scenario or ["quiet"]:
        run = play(scenario, FleetPlan(followers=options.followers), load, options.seed)
        print(msgspec.json.encode(run).decode())


if __name__ == "__main__":
    main()
