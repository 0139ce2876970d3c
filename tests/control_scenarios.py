"""What is done to clusters of control processes, and what has to hold. Verdicts rest on events, not time."""

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
    """Return all machines but some."""
    return [one for one in machines if one not in left_out]


async def leader_killed(folder: Path) -> None:
    """Acknowledged changes outlive the leader; a repeat is recognised; of two changes of a key one wins."""
    async with cluster(folder) as found:
        leader = await found.leader()
        first = await found.change("teams/a", TEAM, "first")
        leader.kill()
        rest = without(found.voters, leader)
        second = await found.change("teams/b", TEAM, "second", rest)
        assert second > first
        assert await found.change("teams/a", TEAM, "first", rest) == first
        answers = await two_changes_at_once(found, rest, first)
        assert sorted(answers) == [200, 409]
        leader.start()
        state = await found.same_state(found.voters, second + 1)
        assert [one["revision"] for one in state["entries"]] == [second + 1, second]


async def two_changes_at_once(found: Cluster, machines: list[Machine], revision: int) -> list[int]:
    """Have two clients change one key from one revision; return the status that each got in the end."""
    answers: list[int] = []

    async def change(number: int) -> None:
        body = {
            "change_id": f"race-{number}",
            "key": "teams/a",
            "value": {"tasks_running": number},
            "expected_revision": revision,
        }

        async def decided() -> int:
            code, _ = await found.call(machines[number], "POST", "changes", body)
            return code if code in (200, 409) else 0

        answers.append(await found.until("a decision", decided))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(change, 0)
        nursery.start_soon(change, 1)
    return answers


async def leader_stopped_and_woken(folder: Path) -> None:
    """Nothing that a stopped leader was asked is lost or applied twice; woken, it follows."""
    async with cluster(folder) as found:
        await found.change("teams/a", TEAM, "before")
        old = await found.leader()
        before = await found.status(old)
        assert before is not None
        old.signal(signal.SIGSTOP)
        late = {"change_id": "late", "key": "teams/late", "value": TEAM}
        code, _ = await found.call(old, "POST", "changes", late, timeout=1.0)
        assert code == 599
        new = await found.leader(not_in=(old,))
        during = await found.change("teams/a", {"tasks_running": 2}, "during", without(found.voters, old))
        old.signal(signal.SIGCONT)

        async def follows() -> bool:
            own, other = await found.status(old), await found.status(new)
            if own is None or other is None or own["voting"]["term"] <= before["voting"]["term"]:
                return False
            return bool(own["voting"]["leader"]) and own["voting"]["leader"] == other["voting"]["leader"]

        await found.until("the woken leader is in a later term", follows)
        revision = await found.change("teams/late", TEAM, "late")
        state = await found.same_state(found.voters, max(revision, during))
        assert state["revision"] == 3  # one for each id
        code, answer = await found.call(old, "GET", "keys/teams/a")
        assert code == 200
        assert answer["entries"][0]["value"]["tasks_running"] == 2


async def leader_cut_one_way(folder: Path) -> None:
    """Replace a leader that hears the others and is not heard; it acknowledges nothing as the leader."""
    async with cluster(folder) as found:
        old = await found.leader()
        await found.change("teams/a", TEAM, "before")
        rest = without(found.voters, old)
        for other in rest:
            found.cut(old, other)
        await found.leader(rest)
        revision = await found.change("teams/b", TEAM, "during", rest)

        async def stepped_down() -> bool:
            own = await found.status(old)
            return own is not None and own["voting"]["state"] != "leader"

        await found.until("the cut-off leader steps down", stepped_down)
        found.heal()
        await found.same_state(found.voters, revision)


async def side_without_majority(folder: Path) -> None:
    """Nothing changes there; it serves what it has, says how old, and later both sides have one state."""
    async with cluster(folder) as found:
        lonely = await found.leader()
        before = await found.change("teams/a", TEAM, "before")
        await found.same_state(found.voters, before)
        follower = found.follow("follower", [lonely])

        async def followed() -> bool:
            return follower.core.revision == before

        await found.until("the follower has it", followed)
        rest = without(found.voters, lonely)
        for other in rest:
            found.cut(old := lonely, other)
            found.cut(other, old)
        during = await found.change("teams/b", TEAM, "during", rest)
        body = {"change_id": "lonely", "key": "teams/c", "value": TEAM}

        async def refused() -> bool:
            code, answer = await found.call(lonely, "POST", "changes", body, redirects=False)
            assert code != 200  # 307: it followed another leader when it was cut off
            assert code == 307 or answer["retry"]
            own = await found.status(lonely)
            return own is not None and own["voting"]["leader"] == "" and own["age_s"] > 1 and code == 503

        await found.until("the cut-off side knows that it is", refused)
        code, local = await found.call(lonely, "GET", "keys/teams/a?local=1")
        assert code == 200
        assert (local["revision"], local["entries"][0]["revision"]) == (before, before)
        assert local["age_s"] > 1
        assert follower.core.revision == before
        found.heal()
        state = await found.same_state(found.voters, during)
        decided = await found.change("teams/c", TEAM, "lonely")
        assert decided <= state["revision"] + 1

        async def caught_up() -> bool:
            return follower.core.revision >= decided

        await found.until("the follower catches up", caught_up)


async def disk_lost(folder: Path) -> None:
    """No vote is given twice by a voter that lost its disk; it is readmitted and counts again."""
    async with cluster(folder) as found:
        leader = await found.leader()
        others = without(found.voters, leader)
        before = await found.change("teams/a", TEAM, "before")
        await found.same_state(found.voters, before)
        for one in others:
            one.kill()
        wiped, intact = others
        wiped.lose_disk()
        wiped.start()
        looks = 0

        async def stands_alone() -> bool:
            nonlocal looks
            own = await found.status(leader)
            assert own is not None
            heard = [peer["heard_ago_s"] for peer in own["voting"]["peers"] if peer["name"] == wiped.name]
            assert await found.status(wiped) is None or own["voting"]["state"] != "leader" or looks < 1
            if heard[0] is not None and heard[0] < 1 and own["voting"]["state"] == "pre_candidate":
                looks += 1
            return looks >= 5

        await found.until("elections that the wiped voter cannot decide", stands_alone)
        body = {"change_id": "no", "key": "teams/b", "value": TEAM}
        code, _ = await found.call(leader, "POST", "changes", body)
        assert code != 200
        intact.start()
        after = await found.change("teams/b", TEAM, "no")
        await found.same_state(found.voters, after)
        await readmitted(found, wiped)
        intact.kill()
        last = await found.change("teams/c", TEAM, "last", without(found.voters, intact))
        assert last == after + 1


async def readmitted(found: Cluster, wiped: Machine) -> None:
    """Wait until a voter is in the configuration, with nobody joining any more."""

    async def done() -> bool:
        views = [await found.status(one) for one in found.voters]
        voting = [view["voting"] for view in views if view is not None]
        return len(voting) == len(found.voters) and all(
            wiped.name in one["voters"] and not one["joining"] for one in voting
        )

    await found.until("the wiped voter votes again", done)


async def relay_killed(folder: Path) -> None:
    """Its followers move to the other relay, and a change is in force at all of them."""
    async with cluster(folder, relays=2) as found:
        await found.leader()
        followers = [found.follow(f"f{number}", found.relays) for number in range(12)]

        async def in_force(revision: int) -> bool:
            return all(one.core.revision >= revision for one in followers)

        first = await found.change("teams/a", TEAM, "first")
        await found.until("the first change", lambda: in_force(first))
        upstreams = [one.core.upstream.name for one in followers if one.core.upstream is not None]
        lost = max(found.relays, key=lambda relay: upstreams.count(relay.name))
        lost.kill()
        second = await found.change("teams/a", {"tasks_running": 2}, "second")
        await found.until("the second change", lambda: in_force(second))

        async def counted() -> bool:
            views = [await found.status(one) for one in found.voters]
            counts = [count for view in views if view is not None for count in view["below"][0]]
            return sum(int(number) for revision, number in counts if revision >= second) == len(followers)

        await found.until("all followers are counted", counted)
        names = {one.core.upstream.name for one in followers if one.core.upstream is not None}
        assert names <= {one.name for one in found.relays} - {lost.name}


async def followers_from_before_and_after(folder: Path) -> None:
    """One from before compaction gets a snapshot; one with a later revision is never taken back."""
    async with cluster(folder, compact_after=8) as found:
        await found.leader()
        for number in range(70):
            value = None if number == 60 else TEAM
            last = await found.change(f"teams/t{number % 10}", value, f"change-{number}")
        fresh = found.follow("fresh", found.voters)

        async def fresh_has_it() -> bool:
            return fresh.core.revision >= last

        await found.until("a new follower", fresh_has_it)
        generation = fresh.core.generation
        stale_keys = (KeyValue("teams/t0", b"{}", 1), KeyValue("teams/old", b"{}", 2))
        stale = found.follow("stale", found.voters, generation, StateSnapshot(2, stale_keys))
        future_keys = (KeyValue("teams/t1", b"{}", 9999),)
        future = found.follow("future", found.voters, generation, StateSnapshot(10_000, future_keys))

        async def settled() -> bool:
            return stale.core.revision >= last and future.core.counters.busy >= 2

        await found.until("both were answered", settled)
        assert keys_of(stale) == keys_of(fresh)
        assert stale.core.counters.snapshots == 1
        assert stale.core.get("teams/t0") is None
        assert future.core.revision == 10_000
        for voter in found.voters:
            voter.kill()
        for voter in found.voters:
            voter.start()
        again = await found.change("teams/t0", TEAM, "again")
        assert again == last + 1
        await found.same_state(found.voters, again)
        await log_founded_anew(found, [fresh, stale, future])


async def log_founded_anew(found: Cluster, followers: list[FollowerHost]) -> None:
    """Found a log of a higher generation on empty disks: followers take its state in place of theirs."""
    for voter in found.voters:
        voter.kill()
        voter.lose_disk()
        voter.text = voter.text.replace("[voter]", "[voter]\ngeneration = 2")
    for voter in found.voters:
        voter.start()
    revision = await found.change("limits/new", {"value": 1}, "new")
    assert revision == 1

    async def replaced() -> bool:
        return all(list(keys_of(one)) == ["limits/new"] for one in followers)

    await found.until("the new log at all followers", replaced)
    assert {one.core.revision for one in followers} == {revision}


def keys_of(follower: FollowerHost) -> dict[str, tuple[bytes | None, int]]:
    """Return all keys that a follower has, with value and revision."""
    return {one.key: (one.value, one.revision) for one in follower.core.snapshot().entries}


class RefusingEngine(StorageEngine):
    """A store's file whose disk is full whenever its folder has a file ``full``."""

    def append(self, bodies: list[bytes]) -> int:
        """Write, unless the disk is full."""
        self._need_room()
        return super().append(bodies)

    def probe(self) -> None:
        """Fail as long as there is no room."""
        self._need_room()
        super().probe()

    def _need_room(self) -> None:
        if (self.path.parent / "full").exists():
            raise StoreWriteError("database or disk is full")


async def disk_full(folder: Path) -> None:
    """Replace a leader whose disk is full, which acknowledges nothing; with room again, it catches up."""
    net, held = reserve_net(0)
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
        rest = [name for name in names if name != full.local_peer.name]
        second = await change("second", rest)
        assert second == first + 1
        with trio.fail_after(60):
            while full.storage_failures == 0:  # else it led no more when it was asked
                await trio.sleep(0.02)
        assert full.storage_failures == 1
        assert full.durable.failure
        assert full.watches.store.revision == first
        (folder / full.local_peer.name / "full").unlink()
        with trio.fail_after(60):
            while full.watches.store.revision < second:
                assert full.watches.store.revision == first  # what was served is not taken back
                await trio.sleep(0.02)
        assert full.voter.keyspace.digest() == (await leading(rest)).voter.keyspace.digest()
        nursery.cancel_scope.cancel()
    held.close()


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
