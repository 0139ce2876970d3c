"""The view of the fleet without sockets: precedence of member states, epochs, and fleets in virtual time."""

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


def state(health: Health = ALIVE, incarnation: int = 5, **attributes: object) -> MemberState:
    """Return a state of the member ``b``."""
    return MemberState("b", health, incarnation, addr="10.0.0.9:1", **attributes)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("new", "old", "is_superseding"),
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
def test_supersedes_by_incarnation_then_health_then_revision(
    new: MemberState, old: MemberState, is_superseding: bool
) -> None:
    """The higher incarnation supersedes; within one, the health that may follow; then the later revision.

    Two states never supersede each other, or nodes would gossip both of them for ever.
    """
    assert supersedes(new, old) is is_superseding
    assert not (supersedes(new, old) and supersedes(old, new))


def test_health_only_increases_within_an_incarnation() -> None:
    """With a cycle of health values within an incarnation, gossip would never end."""
    for health, successors in TRANSITIONS.items():
        assert all(successor > health for successor in successors)


def packet(message: dict[str, object], keys: wire.Keys = KEYS, fleet: str = "sim") -> bytes:
    """Return a sealed message."""
    return wire.seal(keys, fleet, message)


OTHER_KEYS = wire.Keys((b"o" * 32,))


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "not a message"),
        (b"GET / HTTP/1.1\r\n\r\n" * 4, "not a message"),
        (packet({"k": "news"}, fleet="old"), "the message is of fleet 'old'"),
        (packet({"k": "news"}, OTHER_KEYS), "no key of this fleet"),
        (packet({"k": "news"})[:-1] + b"?", "no key of this fleet"),
        (packet({"q": 1}), "not a map with a message kind"),
        (packet({"k": "news"})[:2] + b"\0" + packet({"k": "news"})[3:], "version 0 is not supported"),
    ],
)
def test_foreign_packets_are_rejected_with_a_reason(data: bytes, reason: str) -> None:
    """Random bytes, altered packets, and packets of another fleet, key or old version are rejected."""
    with pytest.raises(wire.MessageRejectedError, match=reason):
        wire.open_sealed(KEYS, "sim", data)


def test_both_keys_are_accepted_during_a_key_rotation() -> None:
    """During the rotation nodes sign with either key, and each verifies the messages of both kinds."""
    old, new = wire.Keys((b"o" * 32, b"n" * 32)), wire.Keys((b"n" * 32, b"o" * 32))
    for sender, receiver in ((old, new), (new, old)):
        assert wire.open_sealed(receiver, "f", wire.seal(sender, "f", {"k": "news"})) == {"k": "news"}
    with pytest.raises(wire.MessageRejectedError, match="no key of this fleet"):
        wire.open_sealed(wire.Keys((b"n" * 32,)), "f", wire.seal(old, "f", {"k": "news"}))


def test_unknown_fields_of_later_versions_are_passed_on() -> None:
    """A node of this version must not remove fields of later versions from the states that it gossips."""
    decoded = decode_state({"n": "b", "h": 0, "i": 7, "future": {"x": [1]}, "g": {"load": 0.5}})
    assert decoded.gauges == {"load": 0.5}
    assert encode_state(decoded)["future"] == {"x": [1]}


TREE = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**70), 2**70) | st.floats() | st.text(max_size=9),
    lambda kids: st.lists(kids, max_size=3) | st.dictionaries(st.text(max_size=3), kids, max_size=4),
    max_leaves=8,
)
FIELDS = st.sampled_from(["k", "q", "t", "ta", "s", "f", "j", "v", "a", "c", "n"])


# A faulty member may send any fields under a valid signature. The view must not raise on them, and this node
# must stay in its own view. Hypothesis derives the examples from the function's source, so the name and the
# text of this test stay as they are.
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


def test_broadcasts_fit_into_a_packet_and_are_sent_a_limited_number_of_times() -> None:
    """The least sent states go first, and each is dropped after ``max_transmissions``."""
    queue = BroadcastQueue()
    for number in range(100):
        queue.add(MemberState(f"member-{number}", ALIVE, 1, addr="10.0.0.1:7000", tags={"rack": "r" * 20}))
    transmissions: dict[str, int] = {}
    while len(queue):
        taken = queue.take(600, 4)
        assert taken and sum(len(bytes(raw)) for raw in taken) <= 600
        for raw in taken:
            name = decode_state(wire._unpack(bytes(raw))).name
            transmissions[name] = transmissions.get(name, 0) + 1
            assert max(transmissions.values()) - min(transmissions.values()) <= 1 or len(transmissions) < 100
    assert set(transmissions.values()) == {4}


def single_view() -> View:
    """Return a view of a node that has just started."""
    view = View(FLEET, KEYS, initial_state("a", "10.0.0.1:1", "", 5, 1, {}), Random(1), 0.0)
    view.start()
    return view


def test_no_datagram_exceeds_the_size_limit() -> None:
    """Two hundred members join at once, so datagrams are filled with states, also those of probes."""
    view = single_view()
    for number in range(200):
        view.table.merge(
            MemberState(f"member-{number}", ALIVE, 1, addr=f"10.0.1.{number}:7000", tags={"rack": "r" * 30})
        )
    view.tick(1.0)
    sent = [effect for effect in view.take_effects() if isinstance(effect, SendDatagram)]
    assert len(sent) > 3 and max(len(effect.data) for effect in sent) > wire.MAX_DATAGRAM_BYTES / 2
    assert all(len(effect.data) <= wire.MAX_DATAGRAM_BYTES for effect in sent)


def test_outdated_state_does_not_revive_a_dead_member() -> None:
    """An older state may arrive long after a death. Only a higher incarnation revives the member.

    After ``keep_dead`` the member is removed from the table.
    """
    view = single_view()
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
    ("members", "min_s"), [(2, 4.0), (10, 4.0), (100, 8.0), (1000, 12.0), (10_000, 16.0)]
)
def test_suspicion_time_grows_with_the_logarithm_of_the_fleet(members: int, min_s: float) -> None:
    """The shortest time grows, and the time without confirmation is six times as long."""
    assert timing(FleetSettings(), members).suspicion_min_s == pytest.approx(min_s)
    assert timing(FleetSettings(), members).suspicion_max_s == pytest.approx(6 * min_s)


@pytest.mark.parametrize("first", range(0, 60, 15))
def test_fault_scenarios_keep_the_invariants(first: int) -> None:
    """Joins, crashes, restarts, partitions, loss and pauses, drawn by seed.

    ``python -m bench.view seeds`` runs thousands of seeds.
    """
    assert bench.seeds((first, first + 15)) == []


def test_random_walks_agree_on_each_epoch() -> None:
    """Frames are reordered, lost or duplicated, nodes restart or lose disks, and many propose concurrently.

    No two nodes may have different members for one epoch, and most walks must reach a second epoch.
    """
    reached = [max(random_walk.run_walk(seed).epochs, default=0) for seed in range(150)]
    assert sum(number >= 2 for number in reached) > 100


def test_vote_that_cannot_be_stored_is_not_given() -> None:
    """With a full disk nothing is promised, and the earlier promise remains valid."""
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
    """Return the consensus of the first of the members, at epoch 7 of all of them."""
    return EpochConsensus(members[0], 5, AcceptorState(Epoch(7, members)), lambda state: None, lambda: 0.5)


@pytest.mark.parametrize(
    ("node", "present", "lost", "error"),
    [
        (
            EpochConsensus("a/", 3, None, lambda state: None, lambda: 0.5),
            ("a/",),
            ("b",),
            "there is no epoch yet",
        ),
        (formed("a/", "b/", "c/"), ("a/", "b/"), ("c",), "a majority is there"),
        (formed("a/", "b/", "c/"), ("a/",), ("c",), "the lost nodes are b, c"),
        (formed("a/", "b/", "c/"), ("a/",), ("b", "c", "d"), "the lost nodes are b, c"),
    ],
)
def test_epoch_is_forced_only_if_all_lost_nodes_are_named(
    node: EpochConsensus, present: tuple[str, ...], lost: tuple[str, ...], error: str
) -> None:
    """It also cannot be forced before the first epoch, or where a majority is present to agree on it."""
    with pytest.raises(ValueError, match=error):
        node.force(present, lost)


def test_forced_epoch_is_above_agreed_ones_and_conflicts_are_noted() -> None:
    """Its number is the next multiple of a thousand, and a lost member that returns learns it.

    A second forced epoch with the same number is kept as a conflict.
    """
    forcing, returned = formed("a/", "b/", "c/"), formed("b/", "a/", "c/")
    epoch = forcing.force(("a/", "d/1"), ("b", "c"))
    assert epoch == Epoch(1000, ("a/", "d/1")) and {voter for voter, _ in forcing.outbox} == {"d/1"}
    returned.learn(decode_epoch([epoch.number, list(epoch.members)]))
    assert returned.epoch == epoch and returned.conflicting is None
    returned.learn(decode_epoch([1000, ["b/"]]))
    assert returned.conflicting == Epoch(1000, ("b/",)) and returned.epoch == epoch


def test_first_epoch_needs_all_expected_nodes() -> None:
    """Two of three nodes have lost their disks while the third is absent.

    The two must not form a first epoch without it, because the third remembers a later one.
    """
    fresh = EpochConsensus("a/1", 3, None, lambda state: None, lambda: 0.5)
    fresh.tick(0.0, {"a/1": True, "b/1": True}, 0.0)
    fresh.tick(9.0, {"a/1": True, "b/1": True}, 0.0)
    assert fresh.proposal is None and fresh.epoch.number == 0
    fresh.tick(10.0, {"a/1": True, "b/1": True, "c/": True}, 0.0)
    assert fresh.proposal is not None
    fresh.handle_answer("c/", formed("c/", "a/", "b/").handle_request(fresh.outbox[-1][1]))
    assert fresh.epoch == Epoch(7, ("c/", "a/", "b/"))


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
def test_messages_have_the_encoding_of_earlier_versions(
    encoded: dict[str, Any], earlier: dict[str, Any]
) -> None:
    """Nodes of earlier versions must understand the messages: the same short keys in the same order."""
    assert wire.pack(encoded) == wire.pack(earlier)


def test_epoch_messages_have_the_encoding_of_earlier_versions_and_are_decoded() -> None:
    """Nodes of earlier versions must understand the messages: the same short keys in the same order."""
    for request, earlier in EPOCH_REQUESTS:
        assert wire.pack(encode_request(request)) == wire.pack(earlier)
        assert decode_request(earlier) == request
    for answer, earlier in EPOCH_ANSWERS:
        assert wire.pack(encode_answer(answer)) == wire.pack(earlier)
        assert decode_answer(earlier) == answer
    assert encode_answer(Learned()) == {"k": "epoch", "m": "learnt"}
    assert decode_answer({"k": "epoch", "m": "learnt"}) is None


# Votes of a faulty member may hold any fields. The agreement must not raise on them, and each request gets an
# answer that can be sent. Hypothesis derives the examples from the function's source, so the name and the
# text of this test stay as they are.
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


def test_leaving_node_announces_it_at_once() -> None:
    """The process may end before the next periodic gossip. Gauges are announced if changed by a tenth."""
    view = single_view()
    view.table.merge(state())
    view.take_effects()
    view.leave()
    messages_sent = [
        wire.open_sealed(KEYS, "sim", effect.data)
        for effect in view.take_effects()
        if isinstance(effect, SendDatagram)
    ]
    assert any(decode_state(raw).health is LEFT for message in messages_sent for raw in message["c"])
    for old, new, is_announced in [
        ({}, {"jobs": 0.0}, True),
        ({"jobs": 100.0}, {"jobs": 105.0}, False),
        ({"jobs": 100.0}, {"jobs": 120.0}, True),
        ({"jobs": 0.0}, {"jobs": 0.0}, False),
    ]:
        assert wiring.have_changed(old, new) is is_announced


@pytest.mark.parametrize(("members", "min_s"), [(2, 8.0), (3, 20 / 3), (4, 16 / 3), (5, 4.0), (9, 4.0)])
def test_suspicion_takes_longer_with_fewer_possible_confirmations(members: int, min_s: float) -> None:
    """All members that can confirm the suspicion have done so.

    With three confirmations a suspect has four probe periods to refute, and with none it has twice that time.
    """
    view = single_view()
    for number in range(members - 1):
        view.table.merge(MemberState(f"m{number}", ALIVE, 1, addr=f"10.0.1.{number}:7000"))
    for number in range(1, max(members - 1, 2)):  # all but the suspect; further ones do not count
        view.table.merge(MemberState("m0", SUSPECT, 1, accuser=f"m{number}" if number < members - 1 else "a"))
    view.table.merge(MemberState("m0", SUSPECT, 1, accuser="a"))
    assert view.table.suspicions.expires_at_s["m0"] == pytest.approx(min_s)


def test_outdated_suspicion_of_this_node_repeats_the_refutation() -> None:
    """All transmissions of the refutation may have been lost, so it is sent again at the same incarnation.

    An outdated state that does not suspect this node is ignored.
    """
    view = single_view()
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


def test_observer_of_scenarios_detects_a_wrong_death() -> None:
    """It raises for a node without a fault, but not for one that was killed or has a fault window."""
    sim = running_fleet(4)
    observer = sim.observe = scenarios.DeathObserver(sim, is_lossless=True)
    accuser, wrong_death = sim.nodes["n0"], MembershipEvent(1.0, MembershipEventKind.DIED, "n1")
    sim.nodes["n2"].kill()
    observer(accuser, MembershipEvent(1.0, MembershipEventKind.DIED, "n2"))
    observer.add_fault_windows(["n3"], sim.now_s, sim.now_s)
    observer(accuser, MembershipEvent(1.0, MembershipEventKind.DIED, "n3"))
    with pytest.raises(simulation.InvariantViolationError, match="n0 reports that n1 died"):
        observer(accuser, wrong_death)
    with pytest.raises(simulation.InvariantViolationError, match="n1 suspected"):
        observer(accuser, MembershipEvent(1.0, MembershipEventKind.SUSPECTED, "n1"))


def test_seed_determines_the_history() -> None:
    """Two runs of a seed send the same packets and report the same events, so a failure can be reproduced."""
    first, second = (scenarios.run_scenario(7) for _ in range(2))
    assert (first.datagrams_sent, first.bytes_sent) == (
        second.datagrams_sent,
        second.bytes_sent,
    ) and first.datagrams_sent > 1000
    assert [node.log for node in first.nodes.values()] == [node.log for node in second.nodes.values()]


def running_fleet(count: int, seed: int = 1) -> FleetSimulation:
    """Return a fleet whose nodes all started at the same time and have joined."""
    sim = FleetSimulation(seed, count)
    for node in sim.nodes.values():
        sim.schedule(0.0, node.start)
    sim.run(20)
    assert sim.view_mismatch() == ""
    return sim


def names(sim: FleetSimulation, node: str) -> set[str]:
    """Return the names of the members that are active in a node's view."""
    view = sim.nodes[node].view
    assert view is not None
    return {member.name for member in view.table.active()}


def logged(sim: FleetSimulation, kind: str) -> list[tuple[str, str]]:
    """Return the reporting node and the subject of all events of a kind."""
    return [
        (node.name, event.subject) for node in sim.nodes.values() for event in node.log if event.kind == kind
    ]


def cut(sim: FleetSimulation, pairs: list[tuple[str, str]]) -> None:
    """Cut links, each given by the names of its source and destination."""
    sim.net.cut_links |= {(sim.nodes[a].addr, sim.nodes[b].addr) for a, b in pairs}


def test_crash_of_half_of_forty_nodes() -> None:
    """The others detect all the deaths within the longest suspicion, and declare no other node dead."""
    sim = running_fleet(40)
    dead = {f"n{number}" for number in range(20, 40)}
    for name in dead:
        sim.nodes[name].kill()
    sim.run(sim.now_s + 45)
    assert sim.view_mismatch() == ""
    assert {name for _, name in logged(sim, "died")} == dead


@pytest.mark.parametrize("parts", [2, 3])
def test_partition_is_detected_on_all_sides_and_heals(parts: int) -> None:
    """Each side sees only itself. Nodes that are replaced meanwhile are known to all after the partition."""
    sim = running_fleet(9)
    side = {name: number % parts for number, name in enumerate(sim.nodes)}
    cut(sim, [(a, b) for a in side for b in side if side[a] != side[b]])
    sim.run(sim.now_s + 40)
    assert all(names(sim, name) == {other for other in side if side[other] == side[name]} for name in side)
    for number in range(parts):  # replace one node on each side
        sim.nodes[f"n{number}"].kill()
        node = sim.add(f"new{number}")
        node.start()
        assert node.view is not None
        node.view.push_pull.seeds = [sim.nodes[f"n{number + parts}"].addr]
    sim.run(sim.now_s + 20)
    sim.net.cut_links.clear()
    sim.run(sim.now_s + 60)
    assert sim.view_mismatch() == ""


def test_cut_link_between_two_nodes_causes_no_death() -> None:
    """Both nodes reach a third one, which probes for them, whether one direction is cut or both."""
    sim = running_fleet(5)
    cut(sim, [("n0", "n1"), ("n1", "n0"), ("n2", "n3")])
    sim.run(sim.now_s + 60)
    assert logged(sim, "died") == []


def test_stopped_process_declares_no_other_node_dead() -> None:
    """A process that is stopped for 20 s is declared dead. It then refutes that and declares nobody dead."""
    sim = running_fleet(7)
    sim.nodes["n3"].is_stopped = True
    sim.run(sim.now_s + 20)
    sim.nodes["n3"].resume()
    sim.run(sim.now_s + 20)
    assert sim.view_mismatch() == ""
    assert [reporter for reporter, _ in logged(sim, "died") if reporter == "n3"] == []
    assert ("n3", "n3") in logged(sim, "paused")


def test_node_that_restarts_forty_times_in_a_minute_is_alive_afterwards() -> None:
    """It has the same name and a higher incarnation each time, so the others know it once and as alive."""
    sim = running_fleet(6)
    for _ in range(40):
        sim.nodes["n2"].kill()
        sim.run(sim.now_s + 0.5)
        sim.nodes["n2"].start()
        sim.run(sim.now_s + 1.0)
    sim.run(sim.now_s + 30)
    assert sim.view_mismatch() == ""
    sim.check()


def test_loss_of_a_third_of_the_packets_causes_no_death() -> None:
    """Nine nodes run for five minutes with loss, duplicates and reordering."""
    sim = running_fleet(9)
    sim.net.loss_share, sim.net.duplicate_share, sim.net.reorder_share = 0.3, 0.1, 0.2
    sim.run(sim.now_s + 300)
    assert logged(sim, "died") == []
    assert len(logged(sim, "suspected")) > 0


def test_node_whose_clock_stepped_back_rejoins() -> None:
    """The fleet remembers a higher incarnation of its previous process, so it must go above that."""
    sim = running_fleet(4)
    sim.nodes["n1"].kill()
    sim.run(sim.now_s + 40)
    sim.nodes["n1"].start_count = -20
    sim.nodes["n1"].start()
    sim.run(sim.now_s + 30)
    assert sim.view_mismatch() == ""


def test_name_conflict_is_detected_and_reported() -> None:
    """The new node's join is refused with the address in use. One of the two is silenced and reports that."""
    sim = running_fleet(4)
    twin = SimulatedNode(sim, "n1", "10.9.9.9:7000")
    sim.nodes_by_addr[twin.addr] = twin
    twin.start_count = 50
    twin.start()
    sim.run(sim.now_s + 30)
    assert any(event.kind == "refused" and "is used at" in event.text for event in twin.log)
    conflicts = [event for node in (twin, sim.nodes["n1"]) for event in node.log if event.kind == "conflict"]
    assert conflicts
    views = [node.view for node in (twin, sim.nodes["n1"]) if node.view is not None]
    assert sum(view.local.is_silenced for view in views) == 1


def test_member_without_a_common_protocol_version_is_refused() -> None:
    """A node without a common version is refused with the reason; one with an overlapping range may join."""
    view = View(FLEET, KEYS, initial_state("a", "10.0.0.1:1", "", 5, 1, {}), Random(1), 0.0)
    for versions, kind in (([1, 3], "state"), ([2, 3], "no")):
        request = packet({"k": "state", "f": "b", "s": 2, "a": "y", "j": True, "v": versions, "c": []})
        answer = view.handle_frame(1.0, "x", request)
        assert wire.open_sealed(KEYS, "sim", answer)["k"] == kind
    assert [event.text for event in view.take_events() if event.kind == "refused"] == [
        "speaks versions [2, 3], this fleet 1 to 1"
    ]


def test_balancer_scales_its_load_by_the_number_of_balancers_in_the_view() -> None:
    """The configuration has 40 balancers and the view then reports 10, so there are nine peers."""
    balancer = Balancer(support.settings(balancers=40), 1, 0)
    balancer.handle(0, [EndpointsChanged("all", [support.entry(0)])])
    balancer.parts.load.smoothed_in_flight = 1.0
    assert balancer.parts.load.peer_count() == 39
    balancer.handle(1, [BalancerCountChanged(10, 3)])
    assert balancer.parts.load.peer_count() == 9
    assert (balancer.parts.polling.number, balancer.parts.polling.balancers, balancer.settings.me) == (
        3,
        10,
        3,
    )


def test_core_receives_each_change_of_the_number_of_balancers(tmp_path: Path) -> None:
    """Members join, drain and die. Each change is sent once, with this node's index by name.

    After a restart, the incarnation has increased and the disk id is the same.
    """
    (tmp_path / "keys").write_text("a2V5a2V5a2V5a2V5a2V5a2V5a2V5\n")
    section = FleetSettings(
        name="f", listen="127.0.0.1:1", keys=str(tmp_path / "keys"), data=str(tmp_path / "data")
    )
    identity = NodeIdentity("a", ("127.0.0.1", 2), support.settings(), ResourceLimits())

    async def run() -> list[tuple[int, int]]:
        send, receive = trio.open_memory_channel[Message](9)
        parts = wiring.wire(section, identity, send, Counters(), Log(1))
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
        for received in [None, *states, None]:
            if received is not None:
                parts.view.table.merge(received)
            for callback in parts.net.on_change:
                callback()
        parts.view.table.merge(MemberState("0-before-a", ALIVE, 1))
        parts.net.on_change[0]()
        counts = []
        while receive.statistics().current_buffer_used:
            message = receive.receive_nowait()
            assert isinstance(message, BalancersChanged)
            counts.append((message.count, message.own_index))
        restarted = wiring.FleetParts(section, identity, send, Counters(), Log(1))
        assert (
            restarted.view.local.state.incarnation == 2 << 16
            and restarted.view.local.state.disk_id == parts.view.local.state.disk_id
        )
        return counts

    assert trio.run(run) == [(1, 0), (2, 0), (1, 0), (2, 0), (1, 0), (2, 1)]


def test_occurrences_without_events_are_counted(tmp_path: Path) -> None:
    """Each refutation, malformed state and malformed packet is counted once, also if ``flush`` runs again.

    Of the malformed packets only the first becomes an event.
    """
    (tmp_path / "keys").write_text("a2V5a2V5a2V5a2V5a2V5a2V5a2V5\n")
    section = FleetSettings(name="f", listen="127.0.0.1:1", keys=str(tmp_path / "keys"))
    identity, counters = NodeIdentity("a", ("127.0.0.1", 2), support.settings(), ResourceLimits()), Counters()

    async def run() -> None:
        send, _ = trio.open_memory_channel[Message](9)
        parts = wiring.FleetParts(section, identity, send, counters, Log(1))
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

    trio.run(run)
    assert counters.counts["fleet_refuted"] == counters.counts["fleet_claims_bad"] == 1
    assert counters.counts["fleet_packets_refused"] == 3
