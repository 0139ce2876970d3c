"""Scenarios with faults in a cluster of control processes, and checks of what has to hold in each.

The assertions depend on events and not on how long they take, since the machine may be busy.
"""

from __future__ import annotations

import signal
from pathlib import Path
from random import Random

import trio

from merlinbay.control.consensus.settings import VoterSettings
from merlinbay.control.entries import Change, ChangeApplied, KeyValue, StateSnapshot
from merlinbay.control.fanout.messages import Generation
from merlinbay.control.fanout.settings import WatchServerSettings
from merlinbay.control_service.durable_log import DurableLog
from merlinbay.control_service.follower_host import FollowerHost
from merlinbay.control_service.listening import listen_at
from merlinbay.control_service.local_peer import LocalPeer
from merlinbay.control_service.voter_host import VoterHost
from merlinbay.fleet.wire import Keys
from merlinbay.log import Log
from merlinbay.rig.proxy import PORT
from merlinbay.store.engine import StorageEngine, StoreWriteError
from tests.control_cluster import Cluster, Machine, cluster, reserve_net

TEAM = {"tasks_running": 1}


def without(machines: list[Machine], *left_out: Machine) -> list[Machine]:
    """Return the machines that are not in ``left_out``."""
    return [machine for machine in machines if machine not in left_out]


async def leader_killed(folder: Path) -> None:
    """Check that acknowledged changes survive a killed leader and a repeated one is not applied again.

    Of two concurrent changes of a key with the same expected revision, exactly one is applied.
    """
    async with cluster(folder) as test_cluster:
        leader = await test_cluster.leader()
        first = await test_cluster.change("teams/a", TEAM, "first")
        leader.kill()
        remaining = without(test_cluster.voters, leader)
        second = await test_cluster.change("teams/b", TEAM, "second", remaining)
        assert second > first
        assert await test_cluster.change("teams/a", TEAM, "first", remaining) == first
        answers = await two_changes_at_once(test_cluster, remaining, first)
        assert sorted(answers) == [200, 409]
        leader.start()
        state = await test_cluster.same_state(test_cluster.voters, second + 1)
        assert [entry["revision"] for entry in state["entries"]] == [second + 1, second]


async def two_changes_at_once(test_cluster: Cluster, machines: list[Machine], revision: int) -> list[int]:
    """Let two clients change a key with the same expected revision; return the final status of each."""
    answers: list[int] = []

    async def change(number: int) -> None:
        body = {
            "change_id": f"race-{number}",
            "key": "teams/a",
            "value": {"tasks_running": number},
            "expected_revision": revision,
        }

        async def decided() -> int:
            code, _ = await test_cluster.call(machines[number], "POST", "changes", body)
            return code if code in (200, 409) else 0

        answers.append(await test_cluster.until("a decision", decided))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(change, 0)
        nursery.start_soon(change, 1)
    return answers


async def leader_stopped_and_woken(folder: Path) -> None:
    """Check that a change sent to a suspended leader is neither lost nor applied twice.

    The resumed leader has to follow the new one.
    """
    async with cluster(folder) as test_cluster:
        await test_cluster.change("teams/a", TEAM, "before")
        old = await test_cluster.leader()
        before = await test_cluster.status(old)
        assert before is not None
        old.signal(signal.SIGSTOP)
        late = {"change_id": "late", "key": "teams/late", "value": TEAM}
        code, _ = await test_cluster.call(old, "POST", "changes", late, timeout=1.0)
        assert code == 599
        new = await test_cluster.leader(not_in=(old,))
        during = await test_cluster.change(
            "teams/a", {"tasks_running": 2}, "during", without(test_cluster.voters, old)
        )
        old.signal(signal.SIGCONT)

        async def follows() -> bool:
            old_status, new_status = await test_cluster.status(old), await test_cluster.status(new)
            if (
                old_status is None
                or new_status is None
                or old_status["voting"]["term"] <= before["voting"]["term"]
            ):
                return False
            return (
                bool(old_status["voting"]["leader"])
                and old_status["voting"]["leader"] == new_status["voting"]["leader"]
            )

        await test_cluster.until("the resumed leader follows in a later term", follows)
        revision = await test_cluster.change("teams/late", TEAM, "late")
        state = await test_cluster.same_state(test_cluster.voters, max(revision, during))
        assert state["revision"] == 3  # one revision for each change id
        code, answer = await test_cluster.call(old, "GET", "keys/teams/a")
        assert code == 200
        assert answer["entries"][0]["value"]["tasks_running"] == 2


async def leader_cut_one_way(folder: Path) -> None:
    """Check that a leader whose messages no longer arrive is replaced, although it hears the others.

    It steps down, so it acknowledges nothing as the leader.
    """
    async with cluster(folder) as test_cluster:
        old = await test_cluster.leader()
        await test_cluster.change("teams/a", TEAM, "before")
        remaining = without(test_cluster.voters, old)
        for machine in remaining:
            test_cluster.cut(old, machine)
        await test_cluster.leader(remaining)
        revision = await test_cluster.change("teams/b", TEAM, "during", remaining)

        async def stepped_down() -> bool:
            own = await test_cluster.status(old)
            return own is not None and own["voting"]["state"] != "leader"

        await test_cluster.until("the cut-off leader steps down", stepped_down)
        test_cluster.heal()
        await test_cluster.same_state(test_cluster.voters, revision)


async def side_without_majority(folder: Path) -> None:
    """Check that the side without a majority applies nothing and serves its old state with its age.

    After the cut is healed, both sides reach the same state.
    """
    async with cluster(folder) as test_cluster:
        isolated = await test_cluster.leader()
        before = await test_cluster.change("teams/a", TEAM, "before")
        await test_cluster.same_state(test_cluster.voters, before)
        follower = test_cluster.follow("follower", [isolated])

        async def followed() -> bool:
            return follower.core.revision == before

        await test_cluster.until("the follower has the first change", followed)
        remaining = without(test_cluster.voters, isolated)
        for machine in remaining:
            test_cluster.cut(old := isolated, machine)
            test_cluster.cut(machine, old)
        during = await test_cluster.change("teams/b", TEAM, "during", remaining)
        body = {"change_id": "lonely", "key": "teams/c", "value": TEAM}

        async def refused() -> bool:
            code, answer = await test_cluster.call(isolated, "POST", "changes", body, redirects=False)
            assert code != 200  # 307 if it followed another leader when it was cut off
            assert code == 307 or answer["retry"]
            own = await test_cluster.status(isolated)
            return own is not None and own["voting"]["leader"] == "" and own["age_s"] > 1 and code == 503

        await test_cluster.until("the cut-off side reports that it has no leader", refused)
        code, local = await test_cluster.call(isolated, "GET", "keys/teams/a?local=1")
        assert code == 200
        assert (local["revision"], local["entries"][0]["revision"]) == (before, before)
        assert local["age_s"] > 1
        assert follower.core.revision == before
        test_cluster.heal()
        state = await test_cluster.same_state(test_cluster.voters, during)
        decided = await test_cluster.change("teams/c", TEAM, "lonely")
        assert decided <= state["revision"] + 1

        async def caught_up() -> bool:
            return follower.core.revision >= decided

        await test_cluster.until("the follower catches up", caught_up)


async def disk_lost(folder: Path) -> None:
    """Check that a voter that lost its disk has no vote until it is readmitted.

    It could vote twice in a term otherwise, since it has lost the record of its vote. Once readmitted, its
    vote counts again.
    """
    async with cluster(folder) as test_cluster:
        leader = await test_cluster.leader()
        others = without(test_cluster.voters, leader)
        before = await test_cluster.change("teams/a", TEAM, "before")
        await test_cluster.same_state(test_cluster.voters, before)
        for voter in others:
            voter.kill()
        wiped, intact = others
        wiped.lose_disk()
        wiped.start()
        pre_candidate_polls = 0

        async def stands_alone() -> bool:
            nonlocal pre_candidate_polls
            own = await test_cluster.status(leader)
            assert own is not None
            heard_ago = [peer["heard_ago_s"] for peer in own["voting"]["peers"] if peer["name"] == wiped.name]
            assert (
                await test_cluster.status(wiped) is None
                or own["voting"]["state"] != "leader"
                or pre_candidate_polls < 1
            )
            if heard_ago[0] is not None and heard_ago[0] < 1 and own["voting"]["state"] == "pre_candidate":
                pre_candidate_polls += 1
            return pre_candidate_polls >= 5

        await test_cluster.until("elections that the wiped voter cannot decide", stands_alone)
        body = {"change_id": "no", "key": "teams/b", "value": TEAM}
        code, _ = await test_cluster.call(leader, "POST", "changes", body)
        assert code != 200
        intact.start()
        after = await test_cluster.change("teams/b", TEAM, "no")
        await test_cluster.same_state(test_cluster.voters, after)
        await readmitted(test_cluster, wiped)
        intact.kill()
        last = await test_cluster.change("teams/c", TEAM, "last", without(test_cluster.voters, intact))
        assert last == after + 1


async def readmitted(test_cluster: Cluster, wiped: Machine) -> None:
    """Wait until all voters have a wiped voter in their configuration and no voter is joining."""

    async def done() -> bool:
        views = [await test_cluster.status(voter) for voter in test_cluster.voters]
        voting = [view["voting"] for view in views if view is not None]
        return len(voting) == len(test_cluster.voters) and all(
            wiped.name in voter_view["voters"] and not voter_view["joining"] for voter_view in voting
        )

    await test_cluster.until("the wiped voter votes again", done)


async def relay_killed(folder: Path) -> None:
    """Check that the followers of a killed relay move to the other one and get later changes."""
    async with cluster(folder, relays=2) as test_cluster:
        await test_cluster.leader()
        followers = [test_cluster.follow(f"f{number}", test_cluster.relays) for number in range(12)]

        async def in_force(revision: int) -> bool:
            return all(follower.core.revision >= revision for follower in followers)

        first = await test_cluster.change("teams/a", TEAM, "first")
        await test_cluster.until("the first change", lambda: in_force(first))
        upstreams = [
            follower.core.upstream.name for follower in followers if follower.core.upstream is not None
        ]
        lost = max(test_cluster.relays, key=lambda relay: upstreams.count(relay.name))
        lost.kill()
        second = await test_cluster.change("teams/a", {"tasks_running": 2}, "second")
        await test_cluster.until("the second change", lambda: in_force(second))

        async def counted() -> bool:
            views = [await test_cluster.status(voter) for voter in test_cluster.voters]
            counts = [count for view in views if view is not None for count in view["below"][0]]
            return sum(int(number) for revision, number in counts if revision >= second) == len(followers)

        await test_cluster.until("all followers are counted", counted)
        names = {follower.core.upstream.name for follower in followers if follower.core.upstream is not None}
        assert names <= {survivor.name for survivor in test_cluster.relays} - {lost.name}


async def followers_from_before_and_after(folder: Path) -> None:
    """Check that a follower with a compacted revision gets a snapshot.

    One with a revision later than the voters' keeps its state: it must not go back to an earlier revision,
    also when the voters restart.
    """
    async with cluster(folder, compact_after=8) as test_cluster:
        await test_cluster.leader()
        for number in range(70):
            value = None if number == 60 else TEAM
            last = await test_cluster.change(f"teams/t{number % 10}", value, f"change-{number}")
        fresh = test_cluster.follow("fresh", test_cluster.voters)

        async def fresh_has_it() -> bool:
            return fresh.core.revision >= last

        await test_cluster.until("a new follower", fresh_has_it)
        generation = fresh.core.generation
        stale_keys = (KeyValue("teams/t0", b"{}", 1), KeyValue("teams/old", b"{}", 2))
        stale = test_cluster.follow("stale", test_cluster.voters, generation, StateSnapshot(2, stale_keys))
        future_keys = (KeyValue("teams/t1", b"{}", 9999),)
        future = test_cluster.follow(
            "future", test_cluster.voters, generation, StateSnapshot(10_000, future_keys)
        )

        async def settled() -> bool:
            return stale.core.revision >= last and future.core.counters.busy >= 2

        await test_cluster.until("the answers to both followers", settled)
        assert keys_of(stale) == keys_of(fresh)
        assert stale.core.counters.snapshots == 1
        assert stale.core.get("teams/t0") is None
        assert future.core.revision == 10_000
        for voter in test_cluster.voters:
            voter.kill()
        for voter in test_cluster.voters:
            voter.start()
        again = await test_cluster.change("teams/t0", TEAM, "again")
        assert again == last + 1
        await test_cluster.same_state(test_cluster.voters, again)
        await log_founded_anew(test_cluster, [fresh, stale, future])


async def log_founded_anew(test_cluster: Cluster, followers: list[FollowerHost]) -> None:
    """Found a log of a higher generation on empty disks; its state must replace that of the followers."""
    for voter in test_cluster.voters:
        voter.kill()
        voter.lose_disk()
        voter.text = voter.text.replace("[voter]", "[voter]\ngeneration = 2")
    for voter in test_cluster.voters:
        voter.start()
    revision = await test_cluster.change("limits/new", {"value": 1}, "new")
    assert revision == 1

    async def replaced() -> bool:
        return all(list(keys_of(follower)) == ["limits/new"] for follower in followers)

    await test_cluster.until("the new log at all followers", replaced)
    assert {follower.core.revision for follower in followers} == {revision}


def keys_of(follower: FollowerHost) -> dict[str, tuple[bytes | None, int]]:
    """Return all keys of a follower, each with its value and revision."""
    return {entry.key: (entry.value, entry.revision) for entry in follower.core.snapshot().entries}


class RefusingEngine(StorageEngine):
    """A storage engine that reports a full disk while its folder contains a file ``full``."""

    def append(self, bodies: list[bytes]) -> int:
        """Write the bodies, or fail if the disk is full."""
        self._check_room()
        return super().append(bodies)

    def probe(self) -> None:
        """Fail while the disk is full."""
        self._check_room()
        super().probe()

    def _check_room(self) -> None:
        if (self.path.parent / "full").exists():
            raise StoreWriteError("database or disk is full")


async def disk_full(folder: Path) -> None:
    """Check that a leader whose disk is full acknowledges nothing and is replaced.

    When the disk has room again, the voter catches up.
    """
    net, reservation = reserve_net(0)
    keys = Keys((b"k" * 32,))
    names = ["v0", "v1", "v2"]
    addresses = {name: f"127.{net}.3.{number}:{PORT}" for number, name in enumerate(names, 1)}
    hosts: dict[str, VoterHost] = {}
    async with trio.open_nursery() as nursery:
        for name in names:
            (folder / name).mkdir(parents=True)
            host = hosts[name] = VoterHost(
                LocalPeer(name, "voter", "test", keys, bind=addresses[name].split(":")[0]),
                VoterSettings(initial_voters=tuple(names)),
                DurableLog(folder / name / "log", Log(10), RefusingEngine),
                addresses.__getitem__,
                Generation(1, "test"),
                WatchServerSettings(),
                lambda: Random(trio.current_time()),
                Log(10),
            )
            await nursery.start(host.run, await listen_at(addresses[name]))

        async def leading(among: list[str]) -> VoterHost:
            with trio.fail_after(60):
                while True:
                    for name in among:
                        if hosts[name].voter.leader == name:
                            return hosts[name]
                    await trio.sleep(0.02)

        async def change(identity: str, among: list[str]) -> int:
            with trio.fail_after(60):
                while True:
                    host = await leading(among)
                    result = await host.propose(Change(identity, f"teams/{identity}", b"{}"))
                    if isinstance(result, ChangeApplied):
                        return result.revision
                    await trio.sleep(0.02)

        first = await change("first", names)
        full = await leading(names)
        (folder / full.local_peer.name / "full").touch()
        with trio.fail_after(60):
            result = await full.propose(Change("second", "teams/second", b"{}"))
        assert not isinstance(result, ChangeApplied)
        remaining = [name for name in names if name != full.local_peer.name]
        second = await change("second", remaining)
        assert second == first + 1
        with trio.fail_after(60):
            # If the voter no longer led when the change was proposed, the failure is counted only later.
            while full.storage_failures == 0:
                await trio.sleep(0.02)
        assert full.storage_failures == 1
        assert full.durable.failure
        assert full.watches.store.revision == first
        (folder / full.local_peer.name / "full").unlink()
        with trio.fail_after(60):
            while full.watches.store.revision < second:
                assert full.watches.store.revision == first  # The served state does not go back.
                await trio.sleep(0.02)
        assert full.voter.keyspace.digest() == (await leading(remaining)).voter.keyspace.digest()
        nursery.cancel_scope.cancel()
    reservation.close()


SCENARIOS = [
    leader_killed,
    leader_stopped_and_woken,
    leader_cut_one_way,
    side_without_majority,
    disk_lost,
    relay_killed,
    followers_from_before_and_after,
    disk_full,
]
