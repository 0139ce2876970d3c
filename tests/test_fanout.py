"""Hard cases of the fan-out by name, without sockets: exact ones by hand, larger ones in virtual time."""

from __future__ import annotations

import contextlib
import itertools
import math
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from merlinbay.control.entries import KeyValue, StateSnapshot
from merlinbay.control.fanout import messages, simulate, status
from merlinbay.control.fanout.admission import AdmissionBucket
from merlinbay.control.fanout.changes import RecentChanges
from merlinbay.control.fanout.effects import (
    CloseDownstream,
    CloseUpstream,
    ConnectUpstream,
    SendDownstream,
    SendUpstream,
    StateAdvanced,
)
from merlinbay.control.fanout.follower import Follower
from merlinbay.control.fanout.messages import (
    DeltaMessage,
    Generation,
    Goodbye,
    GoodbyeReason,
    KeepAlive,
    Laggard,
    MalformedMessageError,
    ProgressReport,
    RejectionReason,
    RevisionCount,
    ServerMessage,
    SnapshotMessage,
    Summary,
    WatchAccepted,
    WatcherRole,
    WatchRejected,
    WatchRequest,
    WireEntry,
)
from merlinbay.control.fanout.relay import InvalidTierError, Relay
from merlinbay.control.fanout.settings import FollowerSettings, RelaySettings, WatchServerSettings
from merlinbay.control.fanout.simulated_fleet import FleetPlan, SimulatedFleet
from merlinbay.control.fanout.simulated_source import SourceStore
from merlinbay.control.fanout.topology import Location, Upstream, ordered_candidates
from merlinbay.control.fanout.watch_server import WatchServer

HERE = Location("r0", "z0")
GENERATION = Generation(1, "log")
FIRST, SECOND = Upstream("first", "", HERE), Upstream("second", "", Location("r0", "z1"))
SERVER = WatchServerSettings()
FOLLOWER = FollowerSettings()


def change(store: SourceStore, key: str, value: bytes | None = b"v") -> None:
    """Apply the next change of a log."""
    store.apply(KeyValue(key, value, store.revision + 1))


def source(changes: int, kept: int = 1000) -> SourceStore:
    """Return a store after some changes of a few keys."""
    store = SourceStore(kept)
    for number in range(changes):
        change(store, f"key{number % 7}", str(number).encode())
    return store


def serve(store: SourceStore, now: float = 0.0, **settings: float) -> WatchServer:
    """Return a voter's server whose state is the latest."""
    import msgspec

    server = WatchServer(store, GENERATION, msgspec.structs.replace(SERVER, **settings), Random(1), now)
    server.confirm(now)
    return server


class Watcher:
    """The far end of one stream at a server, by hand."""

    def __init__(self, server: WatchServer, connection: int = 1) -> None:
        self.server, self.connection = server, connection

    def watch(
        self, revision: int, now: float = 0.0, generation: Generation = GENERATION, name: str = ""
    ) -> None:
        """Open a watch."""
        self.server.opened(self.connection, now)
        member = name or f"m{self.connection}"
        self.say(WatchRequest(member, WatcherRole.FOLLOWER, "z0", generation, revision), now)

    def say(self, message: messages.FollowerMessage, now: float = 0.0) -> None:
        """Send a message."""
        self.server.received(self.connection, messages.encode(message), now)


def sent(server: WatchServer) -> list[ServerMessage]:
    """Return what a server sends, decoded; frames count as written at once."""
    return [message for _, message in sent_to(server)]


def sent_to(server: WatchServer, now: float = 0.0) -> list[tuple[int, ServerMessage]]:
    """Return connections with the messages to them."""
    found: list[tuple[int, ServerMessage]] = []
    while effects := server.take_effects():
        for effect in effects:
            if isinstance(effect, SendDownstream):
                found.append((effect.connection, messages.decode_from_server(effect.frame)))
                server.written(effect.connection, len(effect.frame), now)
    return found


def follower(
    saved: StateSnapshot | None = None, upstreams: tuple[Upstream, ...] = (FIRST, SECOND)
) -> Follower:
    """Return a follower that is started."""
    made = Follower("m", HERE, upstreams, FOLLOWER, Random(3), generation=GENERATION, saved=saved)
    made.start(0.0)
    return made


def attempt(one: Follower, now: float = 1.0) -> ConnectUpstream:
    """Let a follower begin its next attempt and say WatchRequest."""
    one.tick(now)
    connect = [effect for effect in one.take_effects() if isinstance(effect, ConnectUpstream)][-1]
    one.upstream_connected(connect.attempt, now)
    return connect


def give(one: Follower, link: ConnectUpstream, *said: ServerMessage, now: float = 1.0) -> list[object]:
    """Hand messages to a follower; return what it wants done."""
    for message in said:
        one.upstream_received(link.attempt, messages.encode(message), now)
    return list(one.take_effects())


def watching(one: Follower, revision: int, now: float = 1.0) -> ConnectUpstream:
    """Let a follower hold a watch."""
    link = attempt(one, now)
    give(one, link, WatchAccepted(GENERATION, revision, 0), now=now)
    return link


def delta(after: int, revision: int, index: int = 0, count: int = 1) -> DeltaMessage:
    """Return a delta, or a part of one, that sets a key at each of its revisions."""
    entries = tuple(
        WireEntry(f"k{number}", b"%d" % number, number) for number in range(after + 1, revision + 1)
    )
    return DeltaMessage(after, revision, 0, entries[index::count], index, count)


STATE = StateSnapshot(3, tuple(KeyValue(f"k{number}", b"%d" % number, number) for number in (1, 2, 3)))


# Messages.


@given(frame=st.binary(max_size=60))
@hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=300)
def test_malformed_input_is_a_typed_error_and_ends_the_watch(frame: bytes) -> None:
    """Nothing that comes makes either side fail."""
    for read in (messages.decode_from_follower, messages.decode_from_server):
        with contextlib.suppress(MalformedMessageError):
            read(frame)
    server, one = serve(source(3)), follower()
    watcher = Watcher(server)
    watcher.watch(0)
    server.received(1, frame, 0.0)
    link = watching(one, 0)
    one.upstream_received(link.attempt, frame, 1.0)
    assert one.revision == 0


@pytest.mark.parametrize(
    "frame",
    [
        b"",
        b"\xc1",
        b"\x93\x02\xff\x01",
        b"\x94\x02\x01\xd3" + b"\xff" * 8 + b"\xc0",
        b"x" * (messages.MAX_FRAME_BYTES + 1),
        messages.encode(WatchRequest("m", WatcherRole.FOLLOWER, "z", GENERATION, 0)),  # a second one
    ],
)
def test_a_malformed_or_misplaced_message_is_counted_and_the_stream_ended(frame: bytes) -> None:
    """The others' watches go on."""
    server = serve(source(3))
    Watcher(server, 1).watch(3)
    Watcher(server, 2).watch(3)
    server.take_effects()
    server.received(1, frame, 0.0)
    effects = server.take_effects()
    assert CloseDownstream(1, GoodbyeReason.PROTOCOL) in effects
    assert (server.counters.malformed, server.watches) == (1, 1)


def test_a_frame_over_the_bound_is_malformed_though_it_could_be_read() -> None:
    """Whatever carries it."""
    large = SnapshotMessage(1, (WireEntry("k", b"x" * messages.MAX_FRAME_BYTES, 1),))
    with pytest.raises(MalformedMessageError):
        messages.decode_from_server(messages.encode(large))


def test_another_version_is_refused() -> None:
    """With its reason."""
    server = serve(source(3))
    server.opened(1, 0.0)
    Watcher(server).say(WatchRequest("m", WatcherRole.FOLLOWER, "z", GENERATION, 0, version=99))
    assert sent(server) == [Goodbye(GoodbyeReason.VERSION)]


# Revisions and generations.


def test_a_follower_with_a_revision_from_the_future_keeps_it_and_is_taken_later() -> None:
    """Until the server has caught up the follower is sent away, and serves what it has."""
    store = source(3)
    server = serve(store)
    Watcher(server, 1).watch(4)
    (busy,) = sent(server)
    assert (
        isinstance(busy, WatchRejected)
        and busy.reason is RejectionReason.BEHIND
        and server.counters.from_the_future == 1
    )
    one = follower(saved=StateSnapshot(4, ()))
    link = attempt(one)
    effects = give(one, link, busy)
    assert CloseUpstream(link.attempt) in effects and one.revision == 4
    change(store, "key0")
    server.advanced(1.0)
    Watcher(server, 2).watch(4)
    assert sent(server) == [WatchAccepted(GENERATION, 4, 0)]


def test_a_follower_from_before_compaction_gets_a_snapshot() -> None:
    """And only deltas after it."""
    store = source(40, kept=3)
    server = serve(store)
    Watcher(server).watch(2)
    accepted, snapshot, keepalive = sent(server)
    assert isinstance(snapshot, SnapshotMessage) and snapshot.revision == 40
    assert {(one.key, one.value) for one in snapshot.entries} == {
        (k, v.value) for k, v in store.values.items()
    }
    assert (accepted, keepalive) == (WatchAccepted(GENERATION, 40, 0), KeepAlive(40, 0))
    change(store, "key1")
    server.advanced(5.0)
    server.tick(5.0)
    (after,) = sent(server)
    assert isinstance(after, DeltaMessage) and (after.after_revision, after.revision) == (40, 41)


def test_a_server_that_has_not_heard_of_a_reset_sends_its_followers_on() -> None:
    """It must not bring back the former history, though its revision is higher."""
    server = serve(source(9))
    Watcher(server).watch(3, generation=Generation(2, "restored"))
    (busy,) = sent(server)
    assert isinstance(busy, WatchRejected) and busy.reason is RejectionReason.BEHIND
    one = Follower("m", HERE, [FIRST], FOLLOWER, Random(3), generation=Generation(2, "restored"), saved=STATE)
    one.start(0.0)
    link = attempt(one)
    give(one, link, WatchAccepted(GENERATION, 9, 0), SnapshotMessage(9, ()))
    assert one.snapshot() == STATE and one.counters.refused == 1


def test_a_log_of_the_same_number_but_another_id_is_taken_by_neither_side() -> None:
    """Two logs that were founded apart."""
    server = serve(source(3))
    Watcher(server).watch(3, generation=Generation(1, "other"))
    assert sent(server) == [Goodbye(GoodbyeReason.FOREIGN)]
    one = follower(saved=STATE)
    link = attempt(one)
    effects = give(one, link, WatchAccepted(Generation(1, "other"), 9, 0), SnapshotMessage(9, ()))
    assert CloseUpstream(link.attempt) in effects
    assert one.snapshot() == STATE and one.counters.refused == 1


def test_an_operators_reset_replaces_the_state_by_an_older_revision_and_nothing_else_does() -> None:
    """Of a running watch, as a whole, once the snapshot is there."""
    store = source(9)
    server = serve(store)
    Watcher(server).watch(9)
    sent(server)
    store.restore(source(2))
    server.reset(Generation(2, "restored"), 1.0)
    assert server.staleness(1.0) == math.inf  # until its host confirms the new history
    server.confirm(1.0)
    server.tick(1.0)
    said = sent(server)
    assert [type(one) for one in said] == [WatchAccepted, SnapshotMessage, KeepAlive]
    one = follower(saved=STATE)
    link = watching(one, 3)
    give(one, link, KeepAlive(3, 0), SnapshotMessage(1, ()))
    assert one.snapshot() == STATE  # an older snapshot of the same history
    give(one, link, delta(3, 9, 0, 2), said[0])  # in the midst of another message
    assert one.snapshot() == STATE
    give(one, link, *said[1:])
    assert one.snapshot() == store.snapshot() and one.generation.number == 2
    Watcher(server).say(ProgressReport(1, 9))  # a report that was sent before the reset counts for nothing
    assert status.force_status(server.summary(1.0), 2).in_force == 0
    Watcher(server).say(ProgressReport(2, 2))
    assert status.force_status(server.summary(1.0), 2).in_force == 1


def test_a_reset_to_the_same_revision_sends_the_new_state() -> None:
    """No frame of the former history is used again."""
    store = source(9, kept=3)
    server = serve(store)
    Watcher(server, 1).watch(0)
    sent(server)
    other = SourceStore(3)
    for _ in range(9):
        change(other, "other")
    store.restore(other)
    server.reset(Generation(2, "restored"), 1.0)
    server.tick(1.0)
    (snapshot,) = [one for one in sent(server) if isinstance(one, SnapshotMessage)]
    assert [entry.key for entry in snapshot.entries] == ["other"]


def test_a_delta_after_a_reset_is_not_applied_to_the_state_before_it() -> None:
    """Even where its revisions would fit."""
    one = follower(saved=STATE)
    link = watching(one, 3)
    effects = give(one, link, WatchAccepted(Generation(2, "restored"), 5, 0), delta(3, 5))
    assert one.snapshot() == STATE and CloseUpstream(link.attempt) in effects


def test_a_delta_twice_or_overlapping_is_applied_once() -> None:
    """By revision, key by key."""
    one = follower(saved=STATE)
    link = watching(one, 3)
    effects = give(one, link, delta(3, 5), delta(3, 5), delta(4, 5), delta(2, 6))
    advanced = [effect for effect in effects if isinstance(effect, StateAdvanced)]
    assert [(effect.revision, [entry.key for entry in effect.changed]) for effect in advanced] == [
        (5, ["k4", "k5"]),
        (6, ["k6"]),
    ]
    assert one.counters.repeated == 2 and one.upstream == FIRST


@pytest.mark.parametrize(
    "said",
    [
        [delta(4, 5)],  # 4 is missing
        [delta(3, 7, 0, 2), delta(3, 8, 1, 2)],  # parts of two
        [delta(3, 7, 1, 2)],  # the first is missing
        [delta(3, 7, 0, 2), delta(3, 4)],  # something between
        [DeltaMessage(3, 4, 0, (WireEntry("a", b"", 4), WireEntry("b", b"", 9)))],  # an entry from after it
        [SnapshotMessage(9, (WireEntry("a", b"", 9), WireEntry("b", None, 9)))],  # a deletion
    ],
)
def test_what_is_out_of_order_or_contradicts_itself_changes_nothing(said: list[ServerMessage]) -> None:
    """The stream is given up, and another is tried."""
    one = follower(saved=STATE)
    link = watching(one, 3)
    effects = give(one, link, *said)
    assert CloseUpstream(link.attempt) in effects and one.upstream is None
    assert one.snapshot() == STATE
    assert attempt(one, 5.0).upstream == SECOND


def test_data_before_the_watch_was_accepted_and_too_much_of_them_are_not_taken() -> None:
    """A snapshot is bounded in bytes."""
    one = follower(saved=STATE)
    early = attempt(one)
    assert CloseUpstream(early.attempt) in give(one, early, SnapshotMessage(9, ()))
    settings = FollowerSettings(snapshot_bytes=1000)
    one = Follower("m", HERE, [FIRST], settings, Random(3), generation=GENERATION, saved=STATE)
    one.start(0.0)
    link = watching(one, 3)
    parts = [SnapshotMessage(9, (WireEntry(f"k{n}", b"x" * 400, n + 1),), n, 4) for n in range(4)]
    assert CloseUpstream(link.attempt) in give(one, link, *parts) and one.snapshot() == STATE


def test_a_snapshot_that_is_interrupted_half_way_changes_nothing() -> None:
    """The next one is taken as a whole; parts of the two do not mix."""
    store = SourceStore(3)
    for number in range(9):
        change(store, f"k{number}", b"x" * 3000)
    server = serve(store, chunk_bytes=4000.0)
    Watcher(server).watch(0)
    parts = [one for one in sent(server) if isinstance(one, SnapshotMessage)]
    assert len(parts) > 3 and [one.index for one in parts] == list(range(len(parts)))
    one = follower(saved=STATE)
    link = watching(one, 9)
    give(one, link, *parts[:-1])
    assert one.snapshot() == STATE
    one.upstream_closed(link.attempt, 2.0)
    again = watching(one, 9, now=4.0)
    assert one.snapshot() == STATE
    effects = give(one, again, *parts, now=4.0)
    assert StateAdvanced(9, (), replaced=True) in effects and one.snapshot() == store.snapshot()


def test_a_large_delta_comes_in_parts_and_is_applied_as_a_whole() -> None:
    """No state between two revisions is ever seen."""
    one = follower(saved=STATE)
    link = watching(one, 3)
    parts = [delta(3, 9, index, 3) for index in range(3)]
    assert not [effect for effect in give(one, link, *parts[:2]) if isinstance(effect, StateAdvanced)]
    assert one.revision == 3
    give(one, link, parts[2])
    assert one.revision == 9 and one.get("k8") == KeyValue("k8", b"8", 8)


def test_a_follower_that_lacks_the_latest_revision_is_not_taken_to_be_fresh() -> None:
    """Only what is in force counts, not what was promised."""
    one = follower(saved=STATE)
    link = watching(one, 5)
    give(one, link, KeepAlive(5, 0))
    assert one.staleness(1.0) == math.inf
    give(one, link, delta(3, 5))
    assert one.staleness(1.0) == 0.0


def test_a_delta_encoded_long_ago_does_not_make_an_old_state_look_fresh() -> None:
    """The same frame is used only for as long as its age is about right."""
    store = source(5)
    server = serve(store)
    Watcher(server, 1).watch(3, now=0.0)
    Watcher(server, 2).watch(3, now=1.0)
    Watcher(server, 3).watch(3, now=100.0)
    ages = [one.staleness_ms for one in sent(server) if isinstance(one, DeltaMessage)]
    assert ages == [0, 0, 100_000] and server.frames.deltas_encoded == 2


def test_a_kept_snapshot_is_used_until_its_deltas_are_compacted() -> None:
    """Then the state is encoded anew."""
    store = source(40, kept=3)
    server = serve(store)
    for connection in range(3):
        Watcher(server, connection).watch(0)
        change(store, "key0")
    last = [type(message) for connection, message in sent_to(server) if connection == 2]
    assert last == [WatchAccepted, SnapshotMessage, DeltaMessage, DeltaMessage]
    assert server.frames.snapshots_encoded == 1
    for number in range(5):
        change(store, f"key{number}")
    Watcher(server, 9).watch(0)
    assert server.frames.snapshots_encoded == 2 and sent(server)[-1] == KeepAlive(store.revision, 0)


# The server's bounds.


def test_a_burst_is_coalesced_and_encoded_once_for_all() -> None:
    """A lone change goes out at once; those after it within the coalescing time go out together."""
    store = source(3)
    server = serve(store)
    for connection in range(20):
        Watcher(server, connection).watch(3, now=float(connection))
    sent(server)
    moments = []
    for step in range(100):
        now = 30.0 + step / 1000
        change(store, f"key{step % 5}")
        server.advanced(now)
        if server.next_deadline() <= now:
            server.tick(now)
            moments.append(step)
    server.tick(30.1)
    said = [one for one in sent(server) if isinstance(one, DeltaMessage)]
    assert moments == [0] and len(said) == 40
    assert server.frames.deltas_encoded == 2 and len(said[-1].entries) == 5


def test_a_slow_follower_is_cut_its_queue_stays_bounded_and_the_others_notice_nothing() -> None:
    """It is cut once it has taken nothing for the write timeout."""
    store = source(3)
    server = serve(store)
    Watcher(server, 1).watch(3)
    Watcher(server, 2).watch(3)
    sent_to(server)
    slow_frames, fast_revision, now = 0, 3, 0.0
    while server.watches == 2 and now < 60:
        now += 0.1
        change(store, "key", b"x" * 1000)
        server.advanced(now)
        server.tick(now)
        for effect in server.take_effects():
            if isinstance(effect, SendDownstream) and effect.connection == 1:
                slow_frames += 1
            elif isinstance(effect, SendDownstream):
                fast_revision = store.revision
                server.written(2, len(effect.frame), now)
    assert server.counters.cut_slow == 1 and slow_frames <= SERVER.queue_messages
    assert SERVER.write_timeout <= now <= SERVER.write_timeout + SERVER.keepalive
    assert fast_revision == store.revision
    assert [one.member for one in server.summary(now).absent] == ["m1"]


def test_a_large_snapshot_waits_for_room_in_the_queue() -> None:
    """Part by part as it is taken."""
    store = SourceStore(3)
    for number in range(60):
        change(store, f"k{number}", b"x" * 10_000)
    server = serve(store)
    Watcher(server).watch(0)
    waiting = [effect for effect in server.take_effects() if isinstance(effect, SendDownstream)]
    most = 0
    taken = []
    while waiting:
        most = max(most, sum(len(effect.frame) for effect in waiting))
        taken.append(waiting.pop(0))
        server.written(1, len(taken[-1].frame), 1.0)
        waiting += [effect for effect in server.take_effects() if isinstance(effect, SendDownstream)]
    assert (
        most <= SERVER.queue_bytes + 2 * SERVER.chunk_bytes < 600_000 < sum(len(one.frame) for one in taken)
    )
    assert server.frames.snapshots_encoded == 1


def test_new_watches_are_taken_at_a_bounded_rate_and_the_others_told_when() -> None:
    """Times given to those refused follow each other at the same rate."""
    server = serve(source(3))
    for connection in range(100):
        Watcher(server, connection).watch(3)
    said = sent(server)
    times = [one.retry_after_ms for one in said if isinstance(one, WatchRejected)]
    assert server.counters.admitted == SERVER.admit_burst and len(times) == 100 - SERVER.admit_burst
    assert times == sorted(times) and 0 <= times[-1] - 75 / SERVER.admit_rate * 1000 <= 1
    admission = AdmissionBucket(50.0, 25, 0.0)
    for second in range(1, 10):
        assert sum(admission.take(second + step / 1000) for step in range(1000)) <= 75


def test_a_full_server_and_one_without_data_send_others_away() -> None:
    """The names of others go with it."""
    server = WatchServer(
        source(3), GENERATION, WatchServerSettings(max_watches=1), Random(1), 0.0, ["b", "c"]
    )
    Watcher(server, 1).watch(3)
    Watcher(server, 2).watch(3)
    full = sent(server)[-1]
    assert full == WatchRejected(RejectionReason.FULL, round(SERVER.retry_most * 1000), ("b", "c"))
    relay = Relay("r", HERE, [], RelaySettings(), Random(1), 0.0)
    Watcher(relay.server).watch(0)
    (busy,) = sent(relay.server)
    assert isinstance(busy, WatchRejected) and busy.reason is RejectionReason.NO_DATA


def test_a_second_process_under_one_name_ends_the_first_watch() -> None:
    """So that a half-open stream counts for nothing."""
    server = serve(source(3))
    Watcher(server, 1).watch(3, name="m")
    Watcher(server, 2).watch(3, name="m")
    assert (1, Goodbye(GoodbyeReason.REPLACED)) in sent_to(server) and server.watches == 1


def test_a_silent_stream_is_cut_before_and_after_its_watch() -> None:
    """A follower that reports is not."""
    server = serve(source(3))
    server.opened(1, 0.0)
    Watcher(server, 2).watch(3)
    Watcher(server, 3).watch(3)
    now = 0.0
    while now < SERVER.silence + 2:
        now += 0.25
        if now % 10 == 0:
            Watcher(server, 3).say(ProgressReport(1, 3), now)
        server.tick(now)
        sent_to(server, now)
        assert server.watches == (2 if now <= SERVER.silence + 0.3 else 1)
    assert server.counters.cut_silent == 2


def test_a_server_that_stops_sends_all_elsewhere_and_takes_none() -> None:
    """With the names of others, which its followers then try first."""
    server = WatchServer(source(3), GENERATION, SERVER, Random(1), 0.0, ["third"])
    Watcher(server, 1).watch(3)
    sent(server)
    server.drain(1.0)
    Watcher(server, 2).watch(3)
    said = sent(server)
    assert said == [Goodbye(GoodbyeReason.STOPPING, ("third",))] * 2 and server.watches == 0
    third = Upstream("third", "", Location("r9", "z9"))
    one = follower(upstreams=(FIRST, SECOND, third))
    give(one, watching(one, 0), said[0])
    assert attempt(one, 4.0).upstream == third


def test_streams_without_a_watch_and_names_of_the_lost_are_bounded() -> None:
    """Whoever connects and says nothing."""
    server = serve(source(3), max_watches=600, admit_rate=1e6, admit_burst=2000)
    for connection in range(2000):
        server.opened(connection, 0.0)
    closed = [effect for effect in server.take_effects() if isinstance(effect, CloseDownstream)]
    assert len(closed) == 2000 - 2 * 600
    for connection in range(1100):
        server.closed(connection, 0.0)
        Watcher(server, connection).watch(3)
        server.closed(connection, 0.0)
    assert len(server._absent) == 1024


def test_a_relay_serves_nothing_before_it_has_the_state() -> None:
    """Not even that it is empty."""
    relay = Relay("r", HERE, [Upstream("voter", "", HERE, tier=0)], RelaySettings(), Random(1), 0.0)
    relay.start(0.0)
    relay.tick(1.0)
    (connect,) = [effect for effect in relay.take_effects() if isinstance(effect, ConnectUpstream)]
    relay.upstream_connected(connect.attempt, 1.0)
    relay.upstream_received(connect.attempt, messages.encode(WatchAccepted(GENERATION, 3, 0)), 1.0)
    Watcher(relay.server, 1).watch(0, now=1.0)
    (busy,) = sent(relay.server)
    assert isinstance(busy, WatchRejected) and busy.reason is RejectionReason.NO_DATA
    for message in (SnapshotMessage(3, (WireEntry("a", b"", 3),)), KeepAlive(3, 0)):
        relay.upstream_received(connect.attempt, messages.encode(message), 1.0)
    Watcher(relay.server, 2).watch(0, now=2.0)
    assert [type(one) for one in sent(relay.server)] == [WatchAccepted, SnapshotMessage, KeepAlive]


# The follower's one watch.


def test_upstreams_are_ordered_by_nearness_and_spread_by_name() -> None:
    """The same at every start; those of one relay spread evenly when it is gone."""
    plan = FleetPlan()
    relays = [Upstream(f"relay{n}", "", plan.location(n)) for n in range(16)]
    second: dict[str, int] = {}
    for number in range(600):
        order = ordered_candidates(f"m{number}", plan.location(5), relays)
        assert order[0].name == "relay5" and {one.location.region for one in order[:5]} == {"r2"}
        second[order[1].name] = second.get(order[1].name, 0) + 1
    assert len(second) == 4 and max(second.values()) < 1.4 * 150


def test_a_follower_waits_for_a_relay_that_is_busy_for_a_moment_and_leaves_one_that_is_for_long() -> None:
    """Moving twice costs more than waiting."""
    one = follower()
    link = attempt(one)
    give(one, link, WatchRejected(RejectionReason.RATE, 400))
    assert 1.4 <= one.next_deadline() <= 1.4 + FOLLOWER.backoff_first
    again = attempt(one, 2.0)
    assert again.upstream == FIRST
    give(one, again, WatchRejected(RejectionReason.FULL, 20_000), now=2.0)
    assert attempt(one, 4.0).upstream == SECOND
    alone = follower(upstreams=(FIRST,))
    give(alone, attempt(alone), WatchRejected(RejectionReason.FULL, messages.NEVER_MS))
    wait = alone.next_deadline() - 1.0
    assert FOLLOWER.busy_most <= wait <= FOLLOWER.busy_most + 4 * FOLLOWER.backoff_first  # one round is over


def test_back_off_grows_to_its_bound_and_not_beyond() -> None:
    """Once all upstreams have failed as often."""
    one = follower()
    waits = []
    now = 1.0
    for _ in range(60):
        one.upstream_closed(attempt(one, now).attempt, now)
        waits.append(one.next_deadline() - now)
        now = one.next_deadline()
    assert max(waits[:2]) <= 2 * 2 * FOLLOWER.backoff_first
    assert 0.5 * FOLLOWER.backoff_most < max(waits[-20:]) <= FOLLOWER.backoff_most


def test_a_watch_without_messages_is_given_up_and_a_stopped_attempt_too() -> None:
    """After the keep-alive and the connect timeout."""
    one = follower()
    link = watching(one, 0)
    give(one, link, KeepAlive(0, 0), now=2.0)
    one.tick(2.0 + FOLLOWER.keepalive_timeout - 0.01)
    assert one.upstream == FIRST
    one.tick(2.0 + FOLLOWER.keepalive_timeout)
    assert one.upstream is None and one.counters.lost == 1
    now = one.next_deadline()
    assert now <= 2.0 + FOLLOWER.keepalive_timeout + FOLLOWER.move_spread
    assert attempt(one, now).upstream == SECOND
    one.tick(now + FOLLOWER.connect_timeout)
    assert attempt(one, now + 20).upstream == FIRST


def tried_beside(
    one: Follower, link: ConnectUpstream, said: KeepAlive, now: float
) -> tuple[ConnectUpstream, float]:
    """Return the next attempt beside a watch that hears the same each second, and when."""
    while True:
        now += 1.0
        give(one, link, said, now=now)
        one.tick(now)
        for effect in one.take_effects():
            if isinstance(effect, ConnectUpstream):
                one.upstream_connected(effect.attempt, now)
                return effect, now


def test_data_get_old_when_cut_off_and_a_fresh_upstream_is_taken_beside_a_stale_one() -> None:
    """The stale watch is held until the other is accepted."""
    one = follower()
    assert one.staleness(0.0) == math.inf
    link = watching(one, 0)
    assert one.staleness(1.5) == 0.5
    give(one, link, KeepAlive(0, 20_000), now=30.0)
    assert one.staleness(30.0) == 20.0 and one.upstream == FIRST
    other = tried_beside(one, link, KeepAlive(0, 30_000), 30.0)
    now = other[1]
    assert now - 30.0 <= FOLLOWER.stale_limit + 1 and other[0].upstream == SECOND
    give(one, other[0], WatchAccepted(GENERATION, 0, 30_000), now=now)  # no better
    assert one.upstream == FIRST
    again, later = tried_beside(one, link, KeepAlive(0, 30_000), now)
    assert FOLLOWER.prefer_again <= later - now <= 2 * FOLLOWER.prefer_again + 1
    now = later
    effects = give(one, again, WatchAccepted(GENERATION, 0, 100), now=now)
    assert one.upstream == SECOND and CloseUpstream(link.attempt) in effects
    assert any(isinstance(effect, SendUpstream) and effect.attempt == link.attempt for effect in effects)
    assert one.staleness(now) == pytest.approx(0.1)


def test_a_watch_far_away_goes_home_without_a_gap() -> None:
    """Once the near relay takes it again."""
    one = follower()
    one.upstream_closed(attempt(one).attempt, 1.0)
    far = watching(one, 0, now=5.0)
    assert one.upstream == SECOND
    now = 5.0
    while one.upstream == SECOND and now < 5.0 + 3 * FOLLOWER.prefer_again:
        now += 1.0
        give(one, far, KeepAlive(0, 0), now=now)
        one.tick(now)
        for effect in one.take_effects():
            if isinstance(effect, ConnectUpstream):
                one.upstream_connected(effect.attempt, now)
                give(one, effect, WatchAccepted(GENERATION, 0, 0), now=now)
    assert one.upstream == FIRST and one.counters.lost == 0
    assert FOLLOWER.prefer_again <= now - 5.0 <= 2 * FOLLOWER.prefer_again + 1


def test_followers_of_a_lost_relay_spread_their_moves_and_reports_are_never_missing() -> None:
    """Evenly over the time for moving; a report goes at least so often as a server wants it."""
    rng = Random(8)
    waits = []
    for number in range(200):
        one = Follower(f"m{number}", HERE, [FIRST, SECOND], FOLLOWER, rng)
        one.start(0.0)
        one.upstream_closed(watching(one, 0, now=2.0).attempt, 3.0)
        waits.append(one.next_deadline() - 3.0)
    tenths = [
        sum(tenth <= 10 * wait / FOLLOWER.move_spread < tenth + 1 for wait in waits) for tenth in range(10)
    ]
    assert min(tenths) > 8 and max(tenths) < 35
    one = follower()
    link = watching(one, 0)
    reported = [1.0]
    for step in range(10, 600):
        now = step / 10
        give(one, link, KeepAlive(0, 0), now=now)
        one.tick(now)
        reported += [now for effect in one.take_effects() if isinstance(effect, SendUpstream)]
    gaps = [later - earlier for earlier, later in itertools.pairwise(reported)]
    assert max(gaps) <= FOLLOWER.report + 0.2 < SERVER.silence / 2 and len(gaps) < 14


def test_an_upstream_that_asked_for_time_is_not_tried_before() -> None:
    """Even where another has failed as often."""
    one = follower()
    give(one, attempt(one), WatchRejected(RejectionReason.FULL, 20_000))
    one.upstream_closed(attempt(one, 4.0).attempt, 4.0)
    assert attempt(one, 9.0).upstream == SECOND


def relayed(relay: Relay, link: ConnectUpstream, *said: ServerMessage, now: float = 1.0) -> None:
    """Give messages to a relay from upstream."""
    for message in said:
        relay.upstream_received(link.attempt, messages.encode(message), now)


def relay_watching(now: float = 1.0) -> tuple[Relay, ConnectUpstream]:
    """Return a relay that holds a state of one key at revision 3."""
    relay = Relay("r", HERE, [Upstream("voter", "", HERE, tier=0)], RelaySettings(), Random(1), 0.0)
    relay.start(0.0)
    relay.tick(now)
    (connect,) = [effect for effect in relay.take_effects() if isinstance(effect, ConnectUpstream)]
    relay.upstream_connected(connect.attempt, now)
    relayed(
        relay,
        connect,
        WatchAccepted(GENERATION, 3, 0),
        SnapshotMessage(3, (WireEntry("a", b"", 3),)),
        KeepAlive(3, 0),
    )
    return relay, connect


def test_a_relay_continues_by_deltas_only_what_it_has_seen_whole() -> None:
    """After a snapshot from upstream its followers get one too; and after a reset."""
    relay, link = relay_watching()
    relayed(relay, link, delta(3, 4))
    Watcher(relay.server, 1).watch(3)
    assert [type(one) for one in sent(relay.server)] == [WatchAccepted, DeltaMessage]
    relayed(relay, link, SnapshotMessage(9, ()), now=2.0)
    relay.server.tick(2.0)
    Watcher(relay.server, 2).watch(4)
    said = [type(message) for _, message in sent_to(relay.server)]
    assert said == [SnapshotMessage, KeepAlive, WatchAccepted, SnapshotMessage, KeepAlive]
    relay.take_effects()
    relayed(relay, link, WatchAccepted(Generation(2, "restored"), 1, 0), SnapshotMessage(1, ()), now=3.0)
    relay.tick(3.0)
    frames = [effect.frame for effect in relay.take_effects() if isinstance(effect, SendDownstream)]
    replaced = [messages.decode_from_server(frame) for frame in frames]
    assert replaced[:2] == [WatchAccepted(Generation(2, "restored"), 1, messages.NEVER_MS)] * 2
    assert [type(one) for one in replaced[2:]] == [SnapshotMessage, KeepAlive] * 2


def test_a_relays_summary_goes_up_at_a_bounded_rate() -> None:
    """However many of its followers report."""
    relay, link = relay_watching()
    for connection in range(20):
        Watcher(relay.server, connection).watch(3, now=1.0)
    relay.take_effects()
    sent_up = 0
    for step in range(45):  # in less than the write timeout
        now = 1.0 + step / 10
        report = messages.encode(ProgressReport(1, 3 * (step // 20 % 2)))
        relay.received(step % 20, report, now)
        relayed(relay, link, KeepAlive(3, 0), now=now)
        relay.tick(now)
        sent_up += sum(isinstance(effect, SendUpstream) for effect in relay.take_effects())
    assert 4 <= sent_up <= 6


def test_relays_cannot_follow_each_other_in_a_ring() -> None:
    """An upstream's tier is below."""
    with pytest.raises(InvalidTierError):
        Relay("r", HERE, [FIRST], RelaySettings(), Random(1), 0.0, tier=1)
    Relay("r", HERE, [FIRST], RelaySettings(), Random(1), 0.0, tier=2)


# Status.


SUMMARIES = st.lists(
    st.lists(st.integers(0, 30), max_size=20).map(
        lambda revisions: [Laggard(f"{n}-{r}", r) for n, r in enumerate(revisions)]
    ),
    max_size=6,
)


@given(groups=SUMMARIES, revision=st.integers(0, 31))
@hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=200)
def test_merged_summaries_are_bounded_and_never_say_too_much(
    groups: list[list[Laggard]], revision: int
) -> None:
    """The number of followers and the oldest revision are exact."""
    below = [status.summarize(group, 30, 4, 3) for group in groups]
    merged = status.merge(below, 4, 3)
    found = status.force_status(merged, revision)
    everyone = [one.revision for group in groups for one in group]
    assert len(merged.counts) <= 4 and len(merged.laggards) <= 3
    assert found.followers == len(everyone) and found.oldest == min(everyone, default=revision)
    assert found.in_force <= sum(one >= revision for one in everyone)
    assert (found.in_force == len(everyone)) == (min(everyone, default=revision) >= revision)


def test_status_names_who_lacks_a_revision_and_who_is_gone_and_forgets_them() -> None:
    """By a relay's summary; one that is lost takes its followers out of the figure."""
    store = source(9)
    server = serve(store)
    Watcher(server, 1).watch(9)
    server.opened(2, 0.0)
    Watcher(server, 2).say(WatchRequest("relay", WatcherRole.RELAY, "z1", GENERATION, 9))
    below = Summary((RevisionCount(9, 40), RevisionCount(7, 1)), (Laggard("late", 7),))
    Watcher(server, 2).say(ProgressReport(1, 9, below))
    found = status.force_status(server.summary(0.0), 9, expected=43)
    assert (found.followers, found.in_force, found.oldest, found.lacking) == (42, 41, 7, 2)
    assert found.laggards == (Laggard("late", 7),) and not found.everywhere
    server.closed(2, 1.0)
    lost = status.force_status(server.summary(1.0), 9)
    assert (lost.followers, lost.absent) == (1, (Laggard("relay", 9),))
    assert server.summary(1.0 + SERVER.absent_for).absent == ()
    Watcher(server, 1).say(ProgressReport(1, 99))  # nobody has in force what is not there
    assert status.force_status(server.summary(2.0), 50).in_force == 0
    twice = [Summary((), (Laggard("moved", 7),)), Summary((), (Laggard("moved", 8), Laggard("late", 6)))]
    assert status.merge(twice, 4, 4).laggards == (Laggard("late", 6), Laggard("moved", 8))


def test_recent_changes_are_bounded_and_continue_any_revision_that_they_say() -> None:
    """Deletions are kept as changes."""
    changes = RecentChanges(max_changes=4, max_bytes=1000)
    for number in range(1, 10):
        changes.add([KeyValue(f"k{number % 5}", None if number == 8 else b"v", number)], number)
    assert len(changes) == 4 and changes.floor == 5 and changes.after(4) is None and changes.after(10) is None
    after = changes.after(7)
    assert after is not None and [(one.key, one.value) for one in after.entries] == [
        ("k3", None),
        ("k4", b"v"),
    ]
    changes.restart(9)
    assert len(changes) == 0 and changes.after(8) is None
    changes.add([KeyValue("large", b"x" * 2000, 10)], 10)
    assert len(changes) == 0 and changes.after(9) is None and changes.after(10) is not None


# Whole fleets in virtual time.

LOAD = simulate.ChangeLoad(rate=1.0, duration=60.0, burst=100, start_within=60.0, cut=3600.0)
MOVE_AFTER_CLOSE = FOLLOWER.move_spread + 0.5  # connecting and being accepted take some milliseconds
MOVE_AFTER_SILENCE = FOLLOWER.keepalive_timeout + MOVE_AFTER_CLOSE
AIM = 3.0  # seconds from a change to its being in force everywhere


def played(
    scenario: str, followers: int, seed: int, load: simulate.ChangeLoad = LOAD
) -> simulate.SimulatedRun:
    """Play a scenario; the states must be equal in the end, and no revision has gone back."""
    run = simulate.play(scenario, FleetPlan(followers=followers), load, seed)
    assert run.broken == () and run.differing == 0
    assert run.times is not None and run.times.most < AIM and run.known_after <= 2 * AIM
    return run


def test_a_burst_and_a_change_a_second_are_in_force_everywhere_in_time() -> None:
    """And the summaries say so; a follower gets a message a change at the most."""
    run = played("quiet", 200, seed=1)
    assert run.times is not None and run.times.samples == 200 * 161
    follower_traffic = run.traffic["follower"].most
    assert follower_traffic.received_messages < 1.2 and follower_traffic.sent_messages < 1.2


@pytest.mark.parametrize(
    ("scenario", "within"), [("relay-killed", MOVE_AFTER_CLOSE), ("relay-lost", MOVE_AFTER_SILENCE)]
)
def test_followers_of_a_dead_relay_move_in_time_without_a_rush_on_one(scenario: str, within: float) -> None:
    """All relays but one of a region are in other zones; each takes its share, at a bounded rate."""
    run = played(scenario, 480, seed=2)
    assert 0 < run.watched_after <= within
    assert run.times_disturbed is not None and run.times_disturbed.most <= within + 0.5
    share = 480 / 12
    assert run.most_admissions <= min(share / 2, SERVER.admit_burst + SERVER.admit_rate)
    assert run.most_watches <= share * 1.6


def test_a_relay_and_its_zone_are_lost_at_once_and_come_back_at_once() -> None:
    """The others notice nothing; those of the zone start with nothing."""
    run = played("zone-lost", 240, seed=3)
    assert run.watched_after <= AIM and run.times is not None and run.times.samples == 220 * 161 + 20 * 30


def test_all_followers_start_at_once_and_none_of_the_relays_is_overrun() -> None:
    """Admissions a second stay at the bound; those sent away come when they were told."""
    few = FleetPlan(followers=400, relays=3, zones=3)
    run = simulate.play("quiet", few, msgspec.structs.replace(LOAD, start_within=0.1, duration=4.0), 4)
    assert run.broken == () and run.differing == 0
    assert run.most_admissions_start <= SERVER.admit_burst + SERVER.admit_rate
    assert run.started_after <= 400 / 3 / SERVER.admit_rate + AIM
    assert run.most_watches <= 1.5 * 400 / 3


def test_a_region_cut_off_for_an_hour_serves_what_it_has_and_comes_to_the_same_state() -> None:
    """Its followers know how old their data are, and have all within seconds after."""
    run = played("region-cut", 24, seed=5)
    assert run.watched_after <= FOLLOWER.backoff_most
    assert run.times_disturbed is not None and 3600 < run.times_disturbed.most < 3600 + 60
    assert run.most_admissions <= 5
    crowded = played("region-cut", 240, seed=5, load=msgspec.structs.replace(LOAD, cut=60.0))
    assert crowded.most_admissions <= 240 / 3 / 5  # not all at once when their data get old


def test_a_cut_off_follower_says_how_old_its_data_are() -> None:
    """By way of its relay and its region's voter, which hear nothing either."""
    fleet = SimulatedFleet(FleetPlan(followers=24), seed=6)
    for number in range(24):
        fleet.start_follower(number)
    fleet.network.run(20.0)
    fleet.network.cut_regions.add("r2")
    fleet.network.run(320.0)
    old = {one.location.region: round(one.staleness(320.0)) for one in fleet.followers.values()}
    assert 299 <= old["r2"] <= 302 and old["r0"] <= 2 and old["r1"] <= 2
    assert all(one.upstream is not None and one.revision for one in fleet.followers.values())


def test_restarts_of_members_cost_little() -> None:
    """A quarter of them within ten minutes, as 700 of 2,500."""
    load = msgspec.structs.replace(LOAD, duration=600.0, rate=0.1, burst=10)
    calm, run = (played(scenario, 100, seed=7, load=load) for scenario in ("quiet", "restarts"))
    states = 28 / 16 * 200 * 100 / 600  # a relay's bytes a second for as many states of 200 keys
    extra = run.traffic["relay"].mean.sent_bytes - calm.traffic["relay"].mean.sent_bytes
    assert extra < 1.2 * states and run.most_admissions <= 3


# Whatever the order.

STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["change", "change", "burst", "kill", "lose", "revive", "cut", "heal", "slow", "wait"]
        ),
        st.integers(0, 5),
    ),
    max_size=25,
)


@given(steps=STEPS, seed=st.integers(0, 99))
@hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=40)
def test_whatever_the_order_a_connected_follower_holds_the_sources_state_in_the_end(
    steps: list[tuple[str, int]], seed: int
) -> None:
    """Deltas, snapshots, deaths, cuts, moves: no revision goes back, and all come to the log's state."""
    plan = FleetPlan(followers=9, relays=6, zones=6, keys=6, kept_changes=4)
    fleet = SimulatedFleet(plan, seed)
    for number in range(plan.followers):
        fleet.start_follower(number)
    for what, which in steps:
        relay = f"relay{which}"
        alive = fleet.network.hosts[relay].alive
        if what in ("change", "burst"):
            fleet.change(1 + 3 * which if what == "burst" else 1)
        elif what in ("kill", "lose") and alive:
            fleet.stop(relay, closes_streams=what == "kill")
        elif what == "revive" and not alive:
            fleet.start_relay(relay)
        elif what == "cut":
            fleet.network.cut_regions.add(f"r{which % 3}")
        elif what == "heal":
            fleet.network.cut_regions.clear()
        elif what == "slow":
            fleet.network.slow.symmetric_difference_update({f"member{which}"})
        fleet.network.run(fleet.network.now + (0.3, 0.05, 1.0, 4.0, 9.0, 40.0)[which])
    fleet.network.cut_regions.clear()
    fleet.network.slow.clear()
    for number in range(plan.relays):
        if not fleet.network.hosts[f"relay{number}"].alive:
            fleet.start_relay(f"relay{number}")
    fleet.change()
    fleet.network.run(fleet.network.now + 60.0)
    assert fleet.measured.broken == [] and fleet.differing() == []
    assert fleet.without_watch() == 0 and fleet.force_status(len(fleet.log)).in_force == plan.followers
