"""The view of the fleet without sockets: which saying holds, what is refused, and fleets in virtual time."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from bench import view as bench
from merlinbay.core.messages import BalancersChanged, Message
from merlinbay.core.values import NodeIdentity
from merlinbay.counters import Counters
from merlinbay.decision import Balancer
from merlinbay.decision.events import BalancerCountChanged, EndpointsChanged
from merlinbay.fleet import simulate, stories, walk, wire, wiring
from merlinbay.fleet.effects import Event, Send
from merlinbay.fleet.epochs import Epoch, Epochs, Kept
from merlinbay.fleet.members import FOLLOWS, Claim, Health, holds, read, write
from merlinbay.fleet.news import News
from merlinbay.fleet.settings import Fleet, times
from merlinbay.fleet.simulate import KEYS, Node, Simulation
from merlinbay.fleet.view import View, fresh
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log
from tests import support

ALIVE, SUSPECT, DEAD, LEFT = Health
FLEET = Fleet(name="sim", listen="x", keys="x", exchange=5.0)


def claim(health: Health = ALIVE, incarnation: int = 5, **more: object) -> Claim:
    """Return a claim about ``b``."""
    return Claim("b", health, incarnation, addr="10.0.0.9:1", **more)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("new", "old", "wins"),
    [
        (claim(ALIVE, 6), claim(DEAD, 5), True),
        (claim(ALIVE, 5), claim(SUSPECT, 5), False),
        (claim(SUSPECT, 5), claim(ALIVE, 5), True),
        (claim(DEAD, 5), claim(SUSPECT, 5), True),
        (claim(DEAD, 4), claim(ALIVE, 5), False),
        (claim(LEFT, 5), claim(DEAD, 5), True),
        (claim(DEAD, 5), claim(LEFT, 5), False),
        (claim(ALIVE, 5, revision=2), claim(ALIVE, 5), True),
        (claim(ALIVE, 5), claim(ALIVE, 5, revision=2), False),
        (claim(ALIVE, 5), claim(ALIVE, 5), False),
    ],
)
def test_which_of_two_sayings_holds(new: Claim, old: Claim, wins: bool) -> None:
    """The higher incarnation; within one, what may follow by the table; then the later revision."""
    assert holds(new, old) is wins
    assert not (holds(new, old) and holds(old, new))


def test_no_saying_follows_on_itself_in_a_circle() -> None:
    """Within an incarnation a member's health only moves on, so gossip comes to rest."""
    for health, after in FOLLOWS.items():
        assert all(later > health for later in after)


def packet(message: dict[str, object], keys: wire.Keys = KEYS, fleet: str = "sim") -> bytes:
    """Return a sealed message."""
    return wire.seal(keys, fleet, message)


OTHER = wire.Keys((b"o" * 32,))


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"", "garbage"),
        (b"GET / HTTP/1.1\r\n\r\n" * 4, "garbage"),
        (packet({"k": "news"}, fleet="old"), "of fleet 'old'"),
        (packet({"k": "news"}, OTHER), "key"),
        (packet({"k": "news"})[:-1] + b"?", "key"),
        (packet({"q": 1}), "no message"),
        (packet({"k": "news"})[:2] + b"\0" + packet({"k": "news"})[3:], "version 0"),
    ],
)
def test_what_is_not_ours_is_refused_and_named(data: bytes, why: str) -> None:
    """Garbage, another fleet's, another key's, an altered one, one of a version that is too old."""
    with pytest.raises(wire.MessageRejectedError, match=why):
        wire.open_sealed(KEYS, "sim", data)


def test_two_keys_are_believed_while_one_takes_the_place_of_the_other() -> None:
    """Old nodes sign by the old key and believe both; new ones the other way round."""
    old, new = wire.Keys((b"o" * 32, b"n" * 32)), wire.Keys((b"n" * 32, b"o" * 32))
    for ours, theirs in ((old, new), (new, old)):
        assert wire.open_sealed(theirs, "f", wire.seal(ours, "f", {"k": "news"})) == {"k": "news"}
    with pytest.raises(wire.MessageRejectedError, match="key"):
        wire.open_sealed(wire.Keys((b"n" * 32,)), "f", wire.seal(old, "f", {"k": "news"}))


def test_fields_of_later_versions_pass_through() -> None:
    """What is not known is kept and told on, as it came."""
    found = read({"n": "b", "h": 0, "i": 7, "future": {"x": [1]}, "g": {"load": 0.5}})
    assert found.gauges == {"load": 0.5}
    assert write(found)["future"] == {"x": [1]}


TREE = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**70), 2**70) | st.floats() | st.text(max_size=9),
    lambda kids: st.lists(kids, max_size=3) | st.dictionaries(st.text(max_size=3), kids, max_size=4),
    max_leaves=8,
)
FIELDS = st.sampled_from(["k", "q", "t", "ta", "s", "f", "j", "v", "a", "c", "n"])


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.dictionaries(FIELDS, TREE, max_size=7),
    st.sampled_from(["ping", "ack", "ask", "nack", "news", "state", "no"]),
    st.lists(st.dictionaries(st.sampled_from("nhisazvrdtgbx"), TREE, max_size=9), max_size=3),
)
def test_no_message_of_a_member_that_has_gone_mad_breaks_the_view(
    message: dict[str, object], kind: str, claims: list[dict[str, object]]
) -> None:
    """Under a good key, whatever the fields hold: nothing is raised, and this node stays in its own view."""
    view = View(FLEET, KEYS, fresh("a", "10.0.0.1:1", "", 5, 1, {}), Random(1), 0.0)
    view.start()
    try:
        data = packet({**message, "k": kind, "c": claims})
    except (OverflowError, ValueError):  # an integer that MessagePack has no room for
        return
    view.datagram(1.0, "10.0.0.2:1", data)
    try:
        view.frame(1.0, "10.0.0.2:1", data)
    except wire.MessageRejectedError as error:
        assert kind != "state" and str(error)
    view.exchanged(1.0, 1, data)
    view.tick(3.0)
    assert view.members["a"].here and view.me.incarnation < 2**63


def test_news_fit_into_a_packet_and_go_out_so_often() -> None:
    """The least told first; each is dropped after its number of tellings."""
    news = News()
    for number in range(100):
        news.add(Claim(f"member-{number}", ALIVE, 1, addr="10.0.0.1:7000", tags={"rack": "r" * 20}))
    told: dict[str, int] = {}
    while len(news):
        found = news.pick(600, 4)
        assert found and sum(len(bytes(raw)) for raw in found) <= 600
        for raw in found:
            name = read(wire._unpack(bytes(raw))).name
            told[name] = told.get(name, 0) + 1
            assert max(told.values()) - min(told.values()) <= 1 or len(told) < 100
    assert set(told.values()) == {4}


def alone() -> View:
    """Return a view of a node that has just started."""
    view = View(FLEET, KEYS, fresh("a", "10.0.0.1:1", "", 5, 1, {}), Random(1), 0.0)
    view.start()
    return view


def test_no_packet_is_longer_than_the_way_allows() -> None:
    """With two hundred members joining at once, and a probe's own fields beside the news."""
    view = alone()
    for number in range(200):
        view.apply(Claim(f"member-{number}", ALIVE, 1, addr=f"10.0.1.{number}:7000", tags={"rack": "r" * 30}))
    view.tick(1.0)
    sent = [effect for effect in view.take() if isinstance(effect, Send)]
    assert len(sent) > 3 and max(len(effect.data) for effect in sent) > wire.DATAGRAM / 2
    assert all(len(effect.data) <= wire.DATAGRAM for effect in sent)


def test_an_old_rumour_does_not_raise_the_dead() -> None:
    """Not within the time that they are kept; a later incarnation does; after that time nothing is kept."""
    view = alone()
    view.apply(claim(ALIVE, 5))
    view.apply(claim(DEAD, 5))
    for now in (1000.0, 3000.0):
        view.tick(now)
        view.apply(claim(ALIVE, 5))
        assert view.members["b"].health is DEAD
    view.apply(claim(ALIVE, 6))
    assert view.members["b"].health is ALIVE
    view.apply(claim(DEAD, 6))
    view.tick(view.now + 1.3 * FLEET.keep_dead)
    view.tick(view.now + 1.3 * FLEET.keep_dead)
    assert "b" not in view.members


@pytest.mark.parametrize(
    ("members", "least"), [(2, 4.0), (10, 4.0), (100, 8.0), (1000, 12.0), (10_000, 16.0)]
)
def test_suspicion_grows_with_the_logarithm_of_the_fleet(members: int, least: float) -> None:
    """The least time, and six times that where nobody confirms."""
    assert times(Fleet(), members).suspect_least == pytest.approx(least)
    assert times(Fleet(), members).suspect_most == pytest.approx(6 * least)


@pytest.mark.parametrize("first", range(0, 60, 15))
def test_seeds_of_trouble_leave_all_views_alike(first: int) -> None:
    """Joins, crashes, restarts, partitions, loss, pauses; ``python -m bench.view seeds`` plays thousands."""
    assert bench.seeds((first, first + 15)) == []


def test_no_walk_makes_two_things_of_one_epoch() -> None:
    """Frames in any order, lost or doubled, restarts, lost disks, many proposers: agreement and progress."""
    reached = [max(walk.walk(seed).epochs, default=0) for seed in range(150)]
    assert sum(number >= 2 for number in reached) > 100


def test_a_vote_that_cannot_be_stored_is_not_given() -> None:
    """The disk is full: nothing is promised, and what was promised before still stands."""
    kept: list[Kept] = []

    def store(new: Kept) -> None:
        if kept:
            raise OSError(28, "No space left on device")
        kept.append(new)

    node = Epochs("b", 3, None, store, lambda: 0.5)
    asks = {"k": "epoch", "m": "prepare", "n": 1, "b": [1, "a"], "f": "a", "e": [0, []]}
    assert node.request(asks)["m"] == "promise"
    with pytest.raises(OSError, match="No space"):
        node.request({**asks, "b": [2, "a"]})
    assert node.kept == kept[0] and node.kept.promised == (1, "a")


def formed(*members: str) -> Epochs:
    """Return the epochs of the first member, at epoch 7 of these."""
    return Epochs(members[0], 5, Kept(Epoch(7, members)), lambda kept: None, lambda: 0.5)


@pytest.mark.parametrize(
    ("node", "there", "lost", "says"),
    [
        (Epochs("a/", 3, None, lambda kept: None, lambda: 0.5), ("a/",), ("b",), "there is no epoch yet"),
        (formed("a/", "b/", "c/"), ("a/", "b/"), ("c",), "a majority is there"),
        (formed("a/", "b/", "c/"), ("a/",), ("c",), "not there are b, c"),
        (formed("a/", "b/", "c/"), ("a/",), ("b", "c", "d"), "not there are b, c"),
    ],
)
def test_an_epoch_is_forced_only_with_every_loss_named(
    node: Epochs, there: tuple[str, ...], lost: tuple[str, ...], says: str
) -> None:
    """And only where no majority is there to agree on it."""
    with pytest.raises(ValueError, match=says):
        node.force(there, lost)


def test_a_forced_epoch_stands_above_what_others_agree_on_and_two_of_them_are_said() -> None:
    """Its number is the next thousand; members of the lost ones that come back learn it."""
    one, back = formed("a/", "b/", "c/"), formed("b/", "a/", "c/")
    epoch = one.force(("a/", "d/1"), ("b", "c"))
    assert epoch == Epoch(1000, ("a/", "d/1")) and {to for to, _ in one.out} == {"d/1"}
    back.learn([epoch.number, list(epoch.members)])
    assert back.epoch == epoch and back.clash is None
    back.learn([1000, ["b/"]])
    assert back.clash == Epoch(1000, ("b/",)) and back.epoch == epoch


def test_the_first_epoch_wants_all_so_that_one_who_remembers_prevents_it() -> None:
    """Two of three lost their disks while the third is away: they form nothing without it."""
    fresh_one = Epochs("a/1", 3, None, lambda kept: None, lambda: 0.5)
    fresh_one.tick(0.0, {"a/1": True, "b/1": True}, 0.0)
    fresh_one.tick(9.0, {"a/1": True, "b/1": True}, 0.0)
    assert fresh_one.round is None and fresh_one.epoch.number == 0
    fresh_one.tick(10.0, {"a/1": True, "b/1": True, "c/": True}, 0.0)
    assert fresh_one.round is not None
    fresh_one.answered("c/", formed("c/", "a/", "b/").request(fresh_one.out[-1][1]))
    assert fresh_one.epoch == Epoch(7, ("c/", "a/", "b/"))


def test_who_leaves_says_so_at_once() -> None:
    """Its process may end before the next turn of gossip; a tenth and more of change in gauges is news."""
    view = alone()
    view.apply(claim())
    view.take()
    view.leave()
    told = [wire.open_sealed(KEYS, "sim", effect.data) for effect in view.take() if isinstance(effect, Send)]
    assert any(read(raw).health is LEFT for one in told for raw in one["c"])
    for old, new, news in [
        ({}, {"jobs": 0.0}, True),
        ({"jobs": 100.0}, {"jobs": 105.0}, False),
        ({"jobs": 100.0}, {"jobs": 120.0}, True),
        ({"jobs": 0.0}, {"jobs": 0.0}, False),
    ]:
        assert wiring.telling(old, new) is news


@pytest.mark.parametrize(("members", "least"), [(2, 8.0), (3, 20 / 3), (4, 16 / 3), (5, 4.0), (9, 4.0)])
def test_fewer_witnesses_leave_more_time(members: int, least: float) -> None:
    """All who can have confirmed: with three of them four probes' time, with none of them twice that."""
    view = alone()
    for number in range(members - 1):
        view.apply(Claim(f"m{number}", ALIVE, 1, addr=f"10.0.1.{number}:7000"))
    for number in range(1, max(members - 1, 2)):  # all but the suspect itself, and never more than are wanted
        view.apply(Claim("m0", SUSPECT, 1, by=f"m{number}" if number < members - 1 else "a"))
    view.apply(Claim("m0", SUSPECT, 1, by="a"))
    assert view.suspicions["m0"] == pytest.approx(least)


def test_a_stale_accusation_is_answered_once_more() -> None:
    """Each answer may have been lost; what is at our own incarnation or of a later life is not stale."""
    view = alone()
    view.apply(Claim("a", SUSPECT, 5, by="b"))
    assert view.me.incarnation == 6
    for _ in range(9):
        view.news.pick(1000, 1)
    assert not len(view.news)
    view.apply(Claim("a", SUSPECT, 5, by="c"))
    assert len(view.news) == 1 and view.me.incarnation == 6
    view.news.items.clear()
    view.apply(Claim("a", ALIVE, 5))
    assert not len(view.news)


def test_a_wrong_death_in_a_story_is_seen() -> None:
    """Of one to whom nothing was done, by one who could reach it; not of one that was killed, nor cut off."""
    sim = fleet(4)
    watch = sim.watch = stories.Watch(sim, clean=True)
    accuser, harmless = sim.nodes["n0"], Event(1.0, "died", "n1")
    sim.nodes["n2"].kill()
    watch(accuser, Event(1.0, "died", "n2"))
    watch.harm(["n3"], sim.now, sim.now)
    watch(accuser, Event(1.0, "died", "n3"))
    with pytest.raises(simulate.InvariantViolationError, match="n0 was told that n1 died"):
        watch(accuser, harmless)
    with pytest.raises(simulate.InvariantViolationError, match="n1 suspected"):
        watch(accuser, Event(1.0, "suspected", "n1"))


def test_a_seed_gives_one_history() -> None:
    """The same packets and events, twice."""
    one, two = (stories.story(7) for _ in range(2))
    assert (one.packets, one.bytes) == (two.packets, two.bytes) and one.packets > 1000
    assert [node.log for node in one.nodes.values()] == [node.log for node in two.nodes.values()]


def fleet(count: int, seed: int = 1) -> Simulation:
    """Return a fleet that has come up: all started in the same instant."""
    sim = Simulation(seed, count)
    for node in sim.nodes.values():
        sim.at(0.0, node.start)
    sim.run(20)
    assert sim.settled() == ""
    return sim


def names(sim: Simulation, node: str) -> set[str]:
    """Return whom a node sees."""
    view = sim.nodes[node].view
    assert view is not None
    return {member.name for member in view.here()}


def logged(sim: Simulation, what: str) -> list[tuple[str, str]]:
    """Return who was told of it by whom."""
    return [
        (node.name, event.name) for node in sim.nodes.values() for event in node.log if event.what == what
    ]


def cut(sim: Simulation, pairs: list[tuple[str, str]]) -> None:
    """Cut links, from and to."""
    sim.net.cut |= {(sim.nodes[a].addr, sim.nodes[b].addr) for a, b in pairs}


def test_half_of_forty_die_in_one_second() -> None:
    """The others see it within the longest suspicion, and lose nobody else."""
    sim = fleet(40)
    dead = {f"n{number}" for number in range(20, 40)}
    for name in dead:
        sim.nodes[name].kill()
    sim.run(sim.now + 45)
    assert sim.settled() == ""
    assert {name for _, name in logged(sim, "died")} == dead


@pytest.mark.parametrize("parts", [2, 3])
def test_a_partition_is_seen_on_all_sides_and_heals(parts: int) -> None:
    """Each side sees itself alone; ones that were replaced meanwhile are known to all after it."""
    sim = fleet(9)
    side = {name: number % parts for number, name in enumerate(sim.nodes)}
    cut(sim, [(a, b) for a in side for b in side if side[a] != side[b]])
    sim.run(sim.now + 40)
    assert all(names(sim, name) == {other for other in side if side[other] == side[name]} for name in side)
    for number in range(parts):  # one on each side is replaced
        sim.nodes[f"n{number}"].kill()
        node = sim.add(f"new{number}")
        node.start()
        assert node.view is not None
        node.view.seeds = [sim.nodes[f"n{number + parts}"].addr]
    sim.run(sim.now + 20)
    sim.net.cut.clear()
    sim.run(sim.now + 60)
    assert sim.settled() == ""


def test_two_that_cannot_reach_each_other_are_not_dead() -> None:
    """Both reach the third, which probes for them; nobody dies, in one direction or in both."""
    sim = fleet(5)
    cut(sim, [("n0", "n1"), ("n1", "n0"), ("n2", "n3")])
    sim.run(sim.now + 60)
    assert logged(sim, "died") == []


def test_one_that_was_stopped_accuses_nobody() -> None:
    """Stopped for 20 s it is believed dead; back, it refutes that, and has lost nobody itself."""
    sim = fleet(7)
    sim.nodes["n3"].stopped = True
    sim.run(sim.now + 20)
    sim.nodes["n3"].resume()
    sim.run(sim.now + 20)
    assert sim.settled() == ""
    assert [who for who, _ in logged(sim, "died") if who == "n3"] == []
    assert ("n3", "n3") in logged(sim, "paused")


def test_one_that_restarts_forty_times_in_a_minute_comes_to_rest() -> None:
    """Under the same name, each time with a higher incarnation: it is known, once, and alive."""
    sim = fleet(6)
    for _ in range(40):
        sim.nodes["n2"].kill()
        sim.run(sim.now + 0.5)
        sim.nodes["n2"].start()
        sim.run(sim.now + 1.0)
    sim.run(sim.now + 30)
    assert sim.settled() == ""
    sim.check()


def test_a_third_of_the_packets_lost_drops_no_member() -> None:
    """With duplicates and reordering, five minutes of nine nodes."""
    sim = fleet(9)
    sim.net.loss, sim.net.twice, sim.net.late = 0.3, 0.1, 0.2
    sim.run(sim.now + 300)
    assert logged(sim, "died") == []
    assert len(logged(sim, "suspected")) > 0


def test_a_clock_that_stepped_back_does_not_keep_a_node_out() -> None:
    """Its incarnation is lower than what the fleet remembers of its last life; it goes above that."""
    sim = fleet(4)
    sim.nodes["n1"].kill()
    sim.run(sim.now + 40)
    sim.nodes["n1"].boots = -20
    sim.nodes["n1"].start()
    sim.run(sim.now + 30)
    assert sim.settled() == ""


def test_one_name_used_twice_is_found_out_and_said() -> None:
    """The newcomer is refused, with the name's address; one of the two falls silent and says so."""
    sim = fleet(4)
    twin = Node(sim, "n1", "10.9.9.9:7000")
    sim.by_addr[twin.addr] = twin
    twin.boots = 50
    twin.start()
    sim.run(sim.now + 30)
    assert any(event.what == "refused" and "is used at" in event.text for event in twin.log)
    said = [event for node in (twin, sim.nodes["n1"]) for event in node.log if event.what == "conflict"]
    assert said
    views = [node.view for node in (twin, sim.nodes["n1"]) if node.view is not None]
    assert sum(view.yielded for view in views) == 1


def test_a_member_of_another_version_is_refused_by_name() -> None:
    """One that speaks versions that nobody here does gets the reason; one that overlaps comes in."""
    view = View(FLEET, KEYS, fresh("a", "10.0.0.1:1", "", 5, 1, {}), Random(1), 0.0)
    for speaks, kind in (([1, 3], "state"), ([2, 3], "no")):
        asks = packet({"k": "state", "f": "b", "s": 2, "a": "y", "j": True, "v": speaks, "c": []})
        answer = view.frame(1.0, "x", asks)
        assert wire.open_sealed(KEYS, "sim", answer)["k"] == kind
    assert [event.text for event in view.told() if event.what == "refused"] == [
        "speaks versions [2, 3], this fleet 1 to 1"
    ]


def test_the_module_scales_by_the_count_that_the_view_tells() -> None:
    """Told 40 at the start, and 10 by the view: what it holds counts for ten."""
    made = Balancer(support.settings(balancers=40), 1, 0)
    made.handle(0, [EndpointsChanged("all", [support.entry(0)])])
    made.parts.load.smoothed_in_flight = 1.0
    assert made.parts.load.peer_count() == 39
    made.handle(1, [BalancerCountChanged(10, 3)])
    assert made.parts.load.peer_count() == 9
    assert (made.parts.polling.number, made.parts.polling.balancers, made.settings.me) == (3, 10, 3)


def test_the_core_is_told_how_many_share_the_work(tmp_path: Path) -> None:
    """Itself, two that came, one less when it drains, one less when it is dead; each change once."""
    (tmp_path / "keys").write_text("a2V5a2V5a2V5a2V5a2V5a2V5a2V5\n")
    section = Fleet(name="f", listen="127.0.0.1:1", keys=str(tmp_path / "keys"), data=str(tmp_path / "data"))
    facts = NodeIdentity("a", ("127.0.0.1", 2), support.settings(), ResourceLimits())

    async def scene() -> list[tuple[int, int]]:
        send, receive = trio.open_memory_channel[Message](9)
        parts = wiring.wire(section, facts, send, Counters(), Log(1))
        assert parts is not None and parts.view.me.incarnation == 1 << 16 and parts.view.me.disk
        news = [claim(), claim(draining=True, revision=1), Claim("c", ALIVE, 1), Claim("c", DEAD, 1)]
        for one in [None, *news, None]:
            if one is not None:
                parts.view.apply(one)
            for call in parts.net.changed:
                call()
        parts.view.apply(Claim("0-before-a", ALIVE, 1))
        parts.net.changed[0]()
        counts = []
        while receive.statistics().current_buffer_used:
            message = receive.receive_nowait()
            assert isinstance(message, BalancersChanged)
            counts.append((message.count, message.me))
        again = wiring.FleetParts(section, facts, send, Counters(), Log(1))
        assert again.view.me.incarnation == 2 << 16 and again.view.me.disk == parts.view.me.disk
        return counts

    assert trio.run(scene) == [(1, 0), (2, 0), (1, 0), (2, 0), (1, 0), (2, 1)]
