"""The view of the fleet without sockets: precedence of member states, refusals, fleets in virtual time."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

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
from merlinbay.fleet import messages, random_walk, scenarios, simulation, wire, wiring
from merlinbay.fleet.broadcast_queue import BroadcastQueue
from merlinbay.fleet.effects import MembershipEvent, MembershipEventKind, SendDatagram
from merlinbay.fleet.epoch_messages import (
    Accept,
    Accepted,
    Epoch,
    EpochAnswer,
    EpochRequest,
    Learn,
    Learned,
    OtherEpoch,
    Prepare,
    Promise,
    Rejected,
    decode_answer,
    decode_epoch,
    decode_request,
    encode_answer,
    encode_request,
)
from merlinbay.fleet.epochs import AcceptorState, EpochConsensus
from merlinbay.fleet.members import TRANSITIONS, Health, MemberState, decode_state, encode_state, supersedes
from merlinbay.fleet.settings import FleetSettings, timing
from merlinbay.fleet.simulated_node import KEYS, SimulatedNode
from merlinbay.fleet.simulation import FleetSimulation
from merlinbay.fleet.view import View, initial_state
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log
from tests import support

ALIVE, SUSPECT, DEAD, LEFT = Health
FLEET = FleetSettings(name="sim", listen="x", keys="x", exchange=5.0)


def state(health: Health = ALIVE, incarnation: int = 5, **more: object) -> MemberState:
    """Return a state of ``b``."""
    return MemberState("b", health, incarnation, addr="10.0.0.9:1", **more)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("new", "old", "wins"),
    [
        (state(ALIVE, 6), state(DEAD, 5), True),
        (state(ALIVE, 5), state(SUSPECT, 5), False),
        (state(SUSPECT, 5), state(ALIVE, 5), True),
        (state(DEAD, 5), state(SUSPECT, 5), True),
        (state(DEAD, 4), state(ALIVE, 5), False),
        (state(LEFT, 5), state(DEAD, 5), True),
        (state(DEAD, 5), state(LEFT, 5), False),
        (state(ALIVE, 5, revision=2), state(ALIVE, 5), True),
        (state(ALIVE, 5), state(ALIVE, 5, revision=2), False),
        (state(ALIVE, 5), state(ALIVE, 5), False),
    ],
)
def test_which_of_two_states_supersedes_the_other(new: MemberState, old: MemberState, wins: bool) -> None:
    """The higher incarnation; within one, what may follow by the table; then the later revision."""
    assert supersedes(new, old) is wins
    assert not (supersedes(new, old) and supersedes(old, new))


def test_no_state_follows_on_itself_in_a_circle() -> None:
    """Within an incarnation a member's health only moves on, so gossip comes to rest."""
    for health, after in TRANSITIONS.items():
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
    found = decode_state({"n": "b", "h": 0, "i": 7, "future": {"x": [1]}, "g": {"load": 0.5}})
    assert found.gauges == {"load": 0.5}
    assert encode_state(found)["future"] == {"x": [1]}


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
    view = View(FLEET, KEYS, initial_state("a", "10.0.0.1:1", "", 5, 1, {}), Random(1), 0.0)
    view.start()
    try:
        data = packet({**message, "k": kind, "c": claims})
    except (OverflowError, ValueError):  # an integer that MessagePack has no room for
        return
    view.handle_datagram(1.0, "10.0.0.2:1", data)
    try:
        view.handle_frame(1.0, "10.0.0.2:1", data)
    except wire.MessageRejectedError as error:
        assert kind != "state" and str(error)
    view.handle_answer(1.0, 1, data)
    view.tick(3.0)
    assert view.table.members["a"].is_active and view.local.state.incarnation < 2**63


def test_broadcasts_fit_into_a_packet_and_are_sent_so_often() -> None:
    """The least sent first; each is dropped after its number of transmissions."""
    queue = BroadcastQueue()
    for number in range(100):
        queue.add(MemberState(f"member-{number}", ALIVE, 1, addr="10.0.0.1:7000", tags={"rack": "r" * 20}))
    told: dict[str, int] = {}
    while len(queue):
        found = queue.take(600, 4)
        assert found and sum(len(bytes(raw)) for raw in found) <= 600
        for raw in found:
            name = decode_state(wire._unpack(bytes(raw))).name
            told[name] = told.get(name, 0) + 1
            assert max(told.values()) - min(told.values()) <= 1 or len(told) < 100
    assert set(told.values()) == {4}


def alone() -> View:
    """Return a view of a node that has just started."""
    view = View(FLEET, KEYS, initial_state("a", "10.0.0.1:1", "", 5, 1, {}), Random(1), 0.0)
    view.start()
    return view


def test_no_packet_is_longer_than_the_way_allows() -> None:
    """With two hundred members joining at once, and a probe's own fields beside the news."""
    view = alone()
    for number in range(200):
        view.table.merge(
            MemberState(f"member-{number}", ALIVE, 1, addr=f"10.0.1.{number}:7000", tags={"rack": "r" * 30})
        )
    view.tick(1.0)
    sent = [effect for effect in view.take_effects() if isinstance(effect, SendDatagram)]
    assert len(sent) > 3 and max(len(effect.data) for effect in sent) > wire.MAX_DATAGRAM_BYTES / 2
    assert all(len(effect.data) <= wire.MAX_DATAGRAM_BYTES for effect in sent)


def test_an_outdated_state_does_not_raise_the_dead() -> None:
    """Not within the time that they are kept; a later incarnation does; after that time nothing is kept."""
    view = alone()
    view.table.merge(state(ALIVE, 5))
    view.table.merge(state(DEAD, 5))
    for now in (1000.0, 3000.0):
        view.tick(now)
        view.table.merge(state(ALIVE, 5))
        assert view.table.members["b"].health is DEAD
    view.table.merge(state(ALIVE, 6))
    assert view.table.members["b"].health is ALIVE
    view.table.merge(state(DEAD, 6))
    view.tick(view.timers.now_s + 1.3 * FLEET.keep_dead)
    view.tick(view.timers.now_s + 1.3 * FLEET.keep_dead)
    assert "b" not in view.table.members


@pytest.mark.parametrize(
    ("members", "least"), [(2, 4.0), (10, 4.0), (100, 8.0), (1000, 12.0), (10_000, 16.0)]
)
def test_suspicion_grows_with_the_logarithm_of_the_fleet(members: int, least: float) -> None:
    """The least time, and six times that where nobody confirms."""
    assert timing(FleetSettings(), members).suspicion_min_s == pytest.approx(least)
    assert timing(FleetSettings(), members).suspicion_max_s == pytest.approx(6 * least)


@pytest.mark.parametrize("first", range(0, 60, 15))
def test_seeds_of_faults_leave_all_views_alike(first: int) -> None:
    """Joins, crashes, restarts, partitions, loss, pauses; ``python -m bench.view seeds`` plays thousands."""
    assert bench.seeds((first, first + 15)) == []


def test_no_walk_makes_two_things_of_one_epoch() -> None:
    """Frames in any order, lost or doubled, restarts, lost disks, many proposers: agreement and progress."""
    reached = [max(random_walk.run_walk(seed).epochs, default=0) for seed in range(150)]
    assert sum(number >= 2 for number in reached) > 100


def test_a_vote_that_cannot_be_stored_is_not_given() -> None:
    """The disk is full: nothing is promised, and what was promised before still stands."""
    stored: list[AcceptorState] = []

    def store(new: AcceptorState) -> None:
        if stored:
            raise OSError(28, "No space left on device")
        stored.append(new)

    node = EpochConsensus("b", 3, None, store, lambda: 0.5)
    assert isinstance(node.handle_request(Prepare(1, (1, "a"), "a", Epoch())), Promise)
    with pytest.raises(OSError, match="No space"):
        node.handle_request(Prepare(1, (2, "a"), "a", Epoch()))
    assert node.state == stored[0] and node.state.promised == (1, "a")


def formed(*members: str) -> EpochConsensus:
    """Return the consensus of the first member, at epoch 7 of these."""
    return EpochConsensus(members[0], 5, AcceptorState(Epoch(7, members)), lambda state: None, lambda: 0.5)


@pytest.mark.parametrize(
    ("node", "there", "lost", "says"),
    [
        (
            EpochConsensus("a/", 3, None, lambda state: None, lambda: 0.5),
            ("a/",),
            ("b",),
            "there is no epoch yet",
        ),
        (formed("a/", "b/", "c/"), ("a/", "b/"), ("c",), "a majority is there"),
        (formed("a/", "b/", "c/"), ("a/",), ("c",), "not there are b, c"),
        (formed("a/", "b/", "c/"), ("a/",), ("b", "c", "d"), "not there are b, c"),
    ],
)
def test_an_epoch_is_forced_only_with_every_loss_named(
    node: EpochConsensus, there: tuple[str, ...], lost: tuple[str, ...], says: str
) -> None:
    """And only where no majority is there to agree on it."""
    with pytest.raises(ValueError, match=says):
        node.force(there, lost)


def test_a_forced_epoch_stands_above_what_others_agree_on_and_two_of_them_are_said() -> None:
    """Its number is the next thousand; members of the lost ones that come back learn it."""
    one, back = formed("a/", "b/", "c/"), formed("b/", "a/", "c/")
    epoch = one.force(("a/", "d/1"), ("b", "c"))
    assert epoch == Epoch(1000, ("a/", "d/1")) and {to for to, _ in one.outbox} == {"d/1"}
    back.learn(decode_epoch([epoch.number, list(epoch.members)]))
    assert back.epoch == epoch and back.conflicting is None
    back.learn(decode_epoch([1000, ["b/"]]))
    assert back.conflicting == Epoch(1000, ("b/",)) and back.epoch == epoch


def test_the_first_epoch_wants_all_so_that_one_who_remembers_prevents_it() -> None:
    """Two of three lost their disks while the third is away: they form nothing without it."""
    fresh_one = EpochConsensus("a/1", 3, None, lambda state: None, lambda: 0.5)
    fresh_one.tick(0.0, {"a/1": True, "b/1": True}, 0.0)
    fresh_one.tick(9.0, {"a/1": True, "b/1": True}, 0.0)
    assert fresh_one.proposal is None and fresh_one.epoch.number == 0
    fresh_one.tick(10.0, {"a/1": True, "b/1": True, "c/": True}, 0.0)
    assert fresh_one.proposal is not None
    fresh_one.handle_answer("c/", formed("c/", "a/", "b/").handle_request(fresh_one.outbox[-1][1]))
    assert fresh_one.epoch == Epoch(7, ("c/", "a/", "b/"))


EPOCH = Epoch(4, ("a/1", "b/2"))
ON_THE_WIRE: list[tuple[dict[str, Any], dict[str, Any]]] = [
    (messages.encode_datagram(messages.Ping(7, "b"), []), {"k": "ping", "q": 7, "t": "b", "c": []}),
    (messages.encode_datagram(messages.Ack(7, 9), []), {"k": "ack", "q": 7, "s": 9, "c": []}),
    (
        messages.encode_datagram(messages.IndirectPing(7, "b", "x:1"), []),
        {"k": "ask", "q": 7, "t": "b", "ta": "x:1", "c": []},
    ),
    (messages.encode_datagram(messages.Nack(7), []), {"k": "nack", "q": 7, "c": []}),
    (messages.encode_datagram(messages.Gossip(), []), {"k": "news", "c": []}),
    (messages.encode_datagram(messages.Ack(7, 9), None), {"k": "ack", "q": 7, "s": 9}),
    (
        messages.encode_full_state(messages.FullState("a", 9, "x:1", True, [1, 1], [])),
        {"k": "state", "f": "a", "s": 9, "a": "x:1", "j": True, "v": [1, 1], "c": []},
    ),
    (messages.encode_join_refused(messages.JoinRefused("name")), {"k": "no", "why": "name"}),
]
EPOCH_REQUESTS: list[tuple[EpochRequest, dict[str, Any]]] = [
    (
        Prepare(5, (3, "a"), "a", EPOCH),
        {"m": "prepare", "k": "epoch", "n": 5, "b": [3, "a"], "f": "a", "e": [4, ["a/1", "b/2"]]},
    ),
    (
        Accept(5, (3, "a"), "a", EPOCH, ("a/1",)),
        {
            "m": "accept",
            "v": ["a/1"],
            "k": "epoch",
            "n": 5,
            "b": [3, "a"],
            "f": "a",
            "e": [4, ["a/1", "b/2"]],
        },
    ),
    (Learn("a", EPOCH), {"k": "epoch", "m": "learn", "f": "a", "e": [4, ["a/1", "b/2"]]}),
]
EPOCH_ANSWERS: list[tuple[EpochAnswer, dict[str, Any]]] = [
    (
        Promise(5, (3, "a"), "b", (2, "c"), ("a/1",)),
        {"k": "epoch", "n": 5, "b": [3, "a"], "f": "b", "m": "promise", "a": [2, "c"], "v": ["a/1"]},
    ),
    (Accepted(5, (3, "a"), "b"), {"k": "epoch", "n": 5, "b": [3, "a"], "f": "b", "m": "accepted"}),
    (
        Rejected(5, (3, "a"), "b", (4, "c")),
        {"k": "epoch", "n": 5, "b": [3, "a"], "f": "b", "m": "no", "h": [4, "c"]},
    ),
    (OtherEpoch(EPOCH), {"k": "epoch", "m": "behind", "e": [4, ["a/1", "b/2"]]}),
]


@pytest.mark.parametrize(("encoded", "earlier"), ON_THE_WIRE)
def test_messages_are_the_bytes_that_earlier_programs_send(
    encoded: dict[str, Any], earlier: dict[str, Any]
) -> None:
    """The same short keys, in the same order."""
    assert wire.pack(encoded) == wire.pack(earlier)


def test_messages_of_epochs_are_the_bytes_that_earlier_programs_send_and_are_read_again() -> None:
    """The same short keys, in the same order."""
    for request, earlier in EPOCH_REQUESTS:
        assert wire.pack(encode_request(request)) == wire.pack(earlier)
        assert decode_request(earlier) == request
    for answer, earlier in EPOCH_ANSWERS:
        assert wire.pack(encode_answer(answer)) == wire.pack(earlier)
        assert decode_answer(earlier) == answer
    assert encode_answer(Learned()) == {"k": "epoch", "m": "learnt"}
    assert decode_answer({"k": "epoch", "m": "learnt"}) is None


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.dictionaries(st.sampled_from("nbfevah"), TREE, max_size=7),
    st.sampled_from(["prepare", "accept", "learn", "promise", "accepted", "no", "behind", "learnt"]),
)
def test_no_vote_of_a_member_that_has_gone_mad_breaks_the_agreement(
    fields: dict[str, object], phase: str
) -> None:
    """Whatever the fields hold: nothing is raised, and an answer can be sent."""
    node = formed("a/", "b/", "c/")
    answer = node.handle_request(decode_request({**fields, "m": phase}))
    node.handle_answer("b/", decode_answer({**fields, "m": phase}))
    assert encode_answer(answer)["k"] == "epoch"


def test_who_leaves_says_so_at_once() -> None:
    """Its process may end before the next turn of gossip; gauges are announced if changed by a tenth."""
    view = alone()
    view.table.merge(state())
    view.take_effects()
    view.leave()
    told = [
        wire.open_sealed(KEYS, "sim", effect.data)
        for effect in view.take_effects()
        if isinstance(effect, SendDatagram)
    ]
    assert any(decode_state(raw).health is LEFT for one in told for raw in one["c"])
    for old, new, is_announced in [
        ({}, {"jobs": 0.0}, True),
        ({"jobs": 100.0}, {"jobs": 105.0}, False),
        ({"jobs": 100.0}, {"jobs": 120.0}, True),
        ({"jobs": 0.0}, {"jobs": 0.0}, False),
    ]:
        assert wiring.have_changed(old, new) is is_announced


@pytest.mark.parametrize(("members", "least"), [(2, 8.0), (3, 20 / 3), (4, 16 / 3), (5, 4.0), (9, 4.0)])
def test_fewer_witnesses_leave_more_time(members: int, least: float) -> None:
    """All who can have confirmed: with three of them four probes' time, with none of them twice that."""
    view = alone()
    for number in range(members - 1):
        view.table.merge(MemberState(f"m{number}", ALIVE, 1, addr=f"10.0.1.{number}:7000"))
    for number in range(1, max(members - 1, 2)):  # all but the suspect itself, and never more than are wanted
        view.table.merge(MemberState("m0", SUSPECT, 1, accuser=f"m{number}" if number < members - 1 else "a"))
    view.table.merge(MemberState("m0", SUSPECT, 1, accuser="a"))
    assert view.table.suspicions.expires_at_s["m0"] == pytest.approx(least)


def test_a_stale_accusation_is_answered_once_more() -> None:
    """Each answer may have been lost; what is at our own incarnation or of a later life is not stale."""
    view = alone()
    view.table.merge(MemberState("a", SUSPECT, 5, accuser="b"))
    assert view.local.state.incarnation == 6
    for _ in range(9):
        view.broadcasts.take(1000, 1)
    assert not len(view.broadcasts)
    view.table.merge(MemberState("a", SUSPECT, 5, accuser="c"))
    assert len(view.broadcasts) == 1 and view.local.state.incarnation == 6
    view.broadcasts.clear()
    view.table.merge(MemberState("a", ALIVE, 5))
    assert not len(view.broadcasts)


def test_a_wrong_death_in_a_scenario_is_seen() -> None:
    """Of one to whom nothing was done, by one who could reach it; not of one that was killed, nor cut off."""
    sim = fleet(4)
    observer = sim.observe = scenarios.DeathObserver(sim, is_lossless=True)
    accuser, harmless = sim.nodes["n0"], MembershipEvent(1.0, MembershipEventKind.DIED, "n1")
    sim.nodes["n2"].kill()
    observer(accuser, MembershipEvent(1.0, MembershipEventKind.DIED, "n2"))
    observer.add_fault_windows(["n3"], sim.now_s, sim.now_s)
    observer(accuser, MembershipEvent(1.0, MembershipEventKind.DIED, "n3"))
    with pytest.raises(simulation.InvariantViolationError, match="n0 reports that n1 died"):
        observer(accuser, harmless)
    with pytest.raises(simulation.InvariantViolationError, match="n1 suspected"):
        observer(accuser, MembershipEvent(1.0, MembershipEventKind.SUSPECTED, "n1"))


def test_a_seed_gives_one_history() -> None:
    """The same packets and events, twice."""
    one, two = (scenarios.run_scenario(7) for _ in range(2))
    assert (one.datagrams_sent, one.bytes_sent) == (
        two.datagrams_sent,
        two.bytes_sent,
    ) and one.datagrams_sent > 1000
    assert [node.log for node in one.nodes.values()] == [node.log for node in two.nodes.values()]


def fleet(count: int, seed: int = 1) -> FleetSimulation:
    """Return a fleet that has come up: all started in the same instant."""
    sim = FleetSimulation(seed, count)
    for node in sim.nodes.values():
        sim.schedule(0.0, node.start)
    sim.run(20)
    assert sim.view_mismatch() == ""
    return sim


def names(sim: FleetSimulation, node: str) -> set[str]:
    """Return whom a node sees."""
    view = sim.nodes[node].view
    assert view is not None
    return {member.name for member in view.table.active()}


def logged(sim: FleetSimulation, what: str) -> list[tuple[str, str]]:
    """Return who was told of it by whom."""
    return [
        (node.name, event.subject) for node in sim.nodes.values() for event in node.log if event.kind == what
    ]


def cut(sim: FleetSimulation, pairs: list[tuple[str, str]]) -> None:
    """Cut links, from and to."""
    sim.net.cut_links |= {(sim.nodes[a].addr, sim.nodes[b].addr) for a, b in pairs}


def test_half_of_forty_die_in_one_second() -> None:
    """The others see it within the longest suspicion, and lose nobody else."""
    sim = fleet(40)
    dead = {f"n{number}" for number in range(20, 40)}
    for name in dead:
        sim.nodes[name].kill()
    sim.run(sim.now_s + 45)
    assert sim.view_mismatch() == ""
    assert {name for _, name in logged(sim, "died")} == dead


@pytest.mark.parametrize("parts", [2, 3])
def test_a_partition_is_seen_on_all_sides_and_heals(parts: int) -> None:
    """Each side sees itself alone; ones that were replaced meanwhile are known to all after it."""
    sim = fleet(9)
    side = {name: number % parts for number, name in enumerate(sim.nodes)}
    cut(sim, [(a, b) for a in side for b in side if side[a] != side[b]])
    sim.run(sim.now_s + 40)
    assert all(names(sim, name) == {other for other in side if side[other] == side[name]} for name in side)
    for number in range(parts):  # one on each side is replaced
        sim.nodes[f"n{number}"].kill()
        node = sim.add(f"new{number}")
        node.start()
        assert node.view is not None
        node.view.push_pull.seeds = [sim.nodes[f"n{number + parts}"].addr]
    sim.run(sim.now_s + 20)
    sim.net.cut_links.clear()
    sim.run(sim.now_s + 60)
    assert sim.view_mismatch() == ""


def test_two_that_cannot_reach_each_other_are_not_dead() -> None:
    """Both reach the third, which probes for them; nobody dies, in one direction or in both."""
    sim = fleet(5)
    cut(sim, [("n0", "n1"), ("n1", "n0"), ("n2", "n3")])
    sim.run(sim.now_s + 60)
    assert logged(sim, "died") == []


def test_one_that_was_stopped_accuses_nobody() -> None:
    """Stopped for 20 s it is believed dead; back, it refutes that, and has lost nobody itself."""
    sim = fleet(7)
    sim.nodes["n3"].is_stopped = True
    sim.run(sim.now_s + 20)
    sim.nodes["n3"].resume()
    sim.run(sim.now_s + 20)
    assert sim.view_mismatch() == ""
    assert [who for who, _ in logged(sim, "died") if who == "n3"] == []
    assert ("n3", "n3") in logged(sim, "paused")


def test_one_that_restarts_forty_times_in_a_minute_comes_to_rest() -> None:
    """Under the same name, each time with a higher incarnation: it is known, once, and alive."""
    sim = fleet(6)
    for _ in range(40):
        sim.nodes["n2"].kill()
        sim.run(sim.now_s + 0.5)
        sim.nodes["n2"].start()
        sim.run(sim.now_s + 1.0)
    sim.run(sim.now_s + 30)
    assert sim.view_mismatch() == ""
    sim.check()


def test_a_third_of_the_packets_lost_drops_no_member() -> None:
    """With duplicates and reordering, five minutes of nine nodes."""
    sim = fleet(9)
    sim.net.loss_share, sim.net.duplicate_share, sim.net.reorder_share = 0.3, 0.1, 0.2
    sim.run(sim.now_s + 300)
    assert logged(sim, "died") == []
    assert len(logged(sim, "suspected")) > 0


def test_a_clock_that_stepped_back_does_not_keep_a_node_out() -> None:
    """Its incarnation is lower than what the fleet remembers of its last life; it goes above that."""
    sim = fleet(4)
    sim.nodes["n1"].kill()
    sim.run(sim.now_s + 40)
    sim.nodes["n1"].start_count = -20
    sim.nodes["n1"].start()
    sim.run(sim.now_s + 30)
    assert sim.view_mismatch() == ""


def test_one_name_used_twice_is_found_out_and_said() -> None:
    """The newcomer is refused, with the name's address; one of the two falls silent and says so."""
    sim = fleet(4)
    twin = SimulatedNode(sim, "n1", "10.9.9.9:7000")
    sim.nodes_by_addr[twin.addr] = twin
    twin.start_count = 50
    twin.start()
    sim.run(sim.now_s + 30)
    assert any(event.kind == "refused" and "is used at" in event.text for event in twin.log)
    said = [event for node in (twin, sim.nodes["n1"]) for event in node.log if event.kind == "conflict"]
    assert said
    views = [node.view for node in (twin, sim.nodes["n1"]) if node.view is not None]
    assert sum(view.local.is_silenced for view in views) == 1


def test_a_member_of_another_version_is_refused_by_name() -> None:
    """One that speaks versions that nobody here does gets the reason; one that overlaps comes in."""
    view = View(FLEET, KEYS, initial_state("a", "10.0.0.1:1", "", 5, 1, {}), Random(1), 0.0)
    for speaks, kind in (([1, 3], "state"), ([2, 3], "no")):
        asks = packet({"k": "state", "f": "b", "s": 2, "a": "y", "j": True, "v": speaks, "c": []})
        answer = view.handle_frame(1.0, "x", asks)
        assert wire.open_sealed(KEYS, "sim", answer)["k"] == kind
    assert [event.text for event in view.take_events() if event.kind == "refused"] == [
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
    section = FleetSettings(
        name="f", listen="127.0.0.1:1", keys=str(tmp_path / "keys"), data=str(tmp_path / "data")
    )
    facts = NodeIdentity("a", ("127.0.0.1", 2), support.settings(), ResourceLimits())

    async def scene() -> list[tuple[int, int]]:
        send, receive = trio.open_memory_channel[Message](9)
        parts = wiring.wire(section, facts, send, Counters(), Log(1))
        assert (
            parts is not None
            and parts.view.local.state.incarnation == 1 << 16
            and parts.view.local.state.disk_id
        )
        states = [
            state(),
            state(is_draining=True, revision=1),
            MemberState("c", ALIVE, 1),
            MemberState("c", DEAD, 1),
        ]
        for one in [None, *states, None]:
            if one is not None:
                parts.view.table.merge(one)
            for call in parts.net.on_change:
                call()
        parts.view.table.merge(MemberState("0-before-a", ALIVE, 1))
        parts.net.on_change[0]()
        counts = []
        while receive.statistics().current_buffer_used:
            message = receive.receive_nowait()
            assert isinstance(message, BalancersChanged)
            counts.append((message.count, message.own_index))
        again = wiring.FleetParts(section, facts, send, Counters(), Log(1))
        assert (
            again.view.local.state.incarnation == 2 << 16
            and again.view.local.state.disk_id == parts.view.local.state.disk_id
        )
        return counts

    assert trio.run(scene) == [(1, 0), (2, 0), (1, 0), (2, 0), (1, 0), (2, 1)]


def test_occurrences_that_are_no_events_are_counted(tmp_path: Path) -> None:
    """A refutation, a malformed state, and every packet of garbage, of which the first is an event."""
    (tmp_path / "keys").write_text("a2V5a2V5a2V5a2V5a2V5a2V5a2V5\n")
    section = FleetSettings(name="f", listen="127.0.0.1:1", keys=str(tmp_path / "keys"))
    facts, counters = NodeIdentity("a", ("127.0.0.1", 2), support.settings(), ResourceLimits()), Counters()

    async def scene() -> None:
        send, _ = trio.open_memory_channel[Message](9)
        parts = wiring.FleetParts(section, facts, send, counters, Log(1))
        own = parts.view.local.state
        async with trio.open_nursery() as parts.net._nursery:
            keys = wire.Keys.load(section.keys)
            accusation = encode_state(replace(own, health=SUSPECT, accuser="b"))
            gossip: dict[str, object] = {"k": "news", "c": [accusation, {"n": 7}]}
            parts.view.handle_datagram(1.0, "127.0.0.1:3", packet(gossip, keys, "f"))
            for _ in range(3):
                parts.view.handle_datagram(1.0, "127.0.0.1:3", b"garbage")
            for _ in range(2):  # counted once
                parts.net.flush()

    trio.run(scene)
    assert counters.counts["fleet_refuted"] == counters.counts["fleet_claims_bad"] == 1
    assert counters.counts["fleet_packets_refused"] == 3
