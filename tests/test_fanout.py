"""Fan-out without sockets: single followers, relays and servers by hand, and whole fleets in virtual time."""

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


def apply_change(store: SourceStore, key: str, value: bytes | None = b"v") -> None:
    """Append the next change to a log and apply it."""
    store.apply(KeyValue(key, value, store.revision + 1))


def source(changes: int, kept: int = 1000) -> SourceStore:
    """Return a store after some changes of a few keys."""
    store = SourceStore(kept)
    for number in range(changes):
        apply_change(store, f"key{number % 7}", str(number).encode())
    return store


def serve(store: SourceStore, now: float = 0.0, **settings: float) -> WatchServer:
    """Return a voter's server whose state is confirmed as the latest."""
    import msgspec

    server = WatchServer(store, GENERATION, msgspec.structs.replace(SERVER, **settings), Random(1), now)
    server.confirm(now)
    return server


class Watcher:
    """A hand-driven client of one stream at a server."""

    def __init__(self, server: WatchServer, connection: int = 1) -> None:
        self.server, self.connection = server, connection

    def watch(
        self, revision: int, now: float = 0.0, generation: Generation = GENERATION, name: str = ""
    ) -> None:
        """Open a stream and request a watch."""
        self.server.opened(self.connection, now)
        member = name or f"m{self.connection}"
        self.send(WatchRequest(member, WatcherRole.FOLLOWER, "z0", generation, revision), now)

    def send(self, message: messages.FollowerMessage, now: float = 0.0) -> None:
        """Send a message to the server."""
        self.server.received(self.connection, messages.encode(message), now)


def sent(server: WatchServer) -> list[ServerMessage]:
    """Return the messages that a server sends; their frames count as written at once."""
    return [message for _, message in sent_to(server)]


def sent_to(server: WatchServer, now: float = 0.0) -> list[tuple[int, ServerMessage]]:
    """Return the messages that a server sends, each with its connection."""
    received: list[tuple[int, ServerMessage]] = []
    while effects := server.take_effects():
        for effect in effects:
            if isinstance(effect, SendDownstream):
                received.append((effect.connection, messages.decode_from_server(effect.frame)))
                server.written(effect.connection, len(effect.frame), now)
    return received


def follower(
    saved: StateSnapshot | None = None, upstreams: tuple[Upstream, ...] = (FIRST, SECOND)
) -> Follower:
    """Return a started follower."""
    started = Follower("m", HERE, upstreams, FOLLOWER, Random(3), generation=GENERATION, saved=saved)
    started.start(0.0)
    return started


def begin_attempt(member: Follower, now: float = 1.0) -> ConnectUpstream:
    """Let a follower begin its next attempt and send its WatchRequest."""
    member.tick(now)
    connect = [effect for effect in member.take_effects() if isinstance(effect, ConnectUpstream)][-1]
    member.upstream_connected(connect.attempt, now)
    return connect


def deliver(
    member: Follower, connect: ConnectUpstream, *incoming: ServerMessage, now: float = 1.0
) -> list[object]:
    """Deliver messages to a follower; return the follower's effects."""
    for message in incoming:
        member.upstream_received(connect.attempt, messages.encode(message), now)
    return list(member.take_effects())


def watching(member: Follower, revision: int, now: float = 1.0) -> ConnectUpstream:
    """Let a follower hold a watch; return its attempt."""
    connect = begin_attempt(member, now)
    deliver(member, connect, WatchAccepted(GENERATION, revision, 0), now=now)
    return connect


def delta(after: int, revision: int, index: int = 0, count: int = 1) -> DeltaMessage:
    """Return a delta, or part of one, that sets one key at each of its revisions."""
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
        messages.encode(WatchRequest("m", WatcherRole.FOLLOWER, "z", GENERATION, 0)),  # a second WatchRequest
    ],
)
def test_a_malformed_or_misplaced_message_is_counted_and_closes_only_its_stream(frame: bytes) -> None:
    """A malformed message of one member must not end the watches of others."""
    server = serve(source(3))
    Watcher(server, 1).watch(3)
    Watcher(server, 2).watch(3)
    server.take_effects()
    server.received(1, frame, 0.0)
    effects = server.take_effects()
    assert CloseDownstream(1, GoodbyeReason.PROTOCOL) in effects
    assert (server.counters.malformed, server.watches) == (1, 1)


def test_a_decodable_frame_above_the_size_limit_is_malformed() -> None:
    """The limit holds for each frame on any transport, so that no message grows without bound."""
    large = SnapshotMessage(1, (WireEntry("k", b"x" * messages.MAX_FRAME_BYTES, 1),))
    with pytest.raises(MalformedMessageError):
        messages.decode_from_server(messages.encode(large))


def test_a_watch_of_another_protocol_version_ends_with_goodbye() -> None:
    """A server must not interpret messages of an unknown version; the goodbye gives the reason."""
    server = serve(source(3))
    server.opened(1, 0.0)
    Watcher(server).send(WatchRequest("m", WatcherRole.FOLLOWER, "z", GENERATION, 0, version=99))
    assert sent(server) == [Goodbye(GoodbyeReason.VERSION)]


# Revisions and generations.


def test_a_follower_ahead_of_its_server_keeps_its_state_and_is_accepted_later() -> None:
    """A server that lags must not turn its followers back. It rejects them until it has caught up."""
    store = source(3)
    server = serve(store)
    Watcher(server, 1).watch(4)
    (busy,) = sent(server)
    assert (
        isinstance(busy, WatchRejected)
        and busy.reason is RejectionReason.BEHIND
        and server.counters.from_the_future == 1
    )
    member = follower(saved=StateSnapshot(4, ()))
    connect = begin_attempt(member)
    effects = deliver(member, connect, busy)
    assert CloseUpstream(connect.attempt) in effects and member.revision == 4
    apply_change(store, "key0")
    server.advanced(1.0)
    Watcher(server, 2).watch(4)
    assert sent(server) == [WatchAccepted(GENERATION, 4, 0)]


def test_a_follower_from_before_compaction_gets_a_snapshot() -> None:
    """Changes that were compacted cannot be sent as a delta; deltas follow only after the snapshot."""
    store = source(40, kept=3)
    server = serve(store)
    Watcher(server).watch(2)
    accepted, snapshot, keepalive = sent(server)
    assert isinstance(snapshot, SnapshotMessage) and snapshot.revision == 40
    assert {(entry.key, entry.value) for entry in snapshot.entries} == {
        (k, v.value) for k, v in store.values.items()
    }
    assert (accepted, keepalive) == (WatchAccepted(GENERATION, 40, 0), KeepAlive(40, 0))
    apply_change(store, "key1")
    server.advanced(5.0)
    server.tick(5.0)
    (after,) = sent(server)
    assert isinstance(after, DeltaMessage) and (after.after_revision, after.revision) == (40, 41)


def test_a_server_of_an_older_generation_rejects_watches_of_a_newer_one() -> None:
    """A server that a reset has not reached must not restore the former history by its higher revision."""
    server = serve(source(9))
    Watcher(server).watch(3, generation=Generation(2, "restored"))
    (busy,) = sent(server)
    assert isinstance(busy, WatchRejected) and busy.reason is RejectionReason.BEHIND
    member = Follower(
        "m", HERE, [FIRST], FOLLOWER, Random(3), generation=Generation(2, "restored"), saved=STATE
    )
    member.start(0.0)
    connect = begin_attempt(member)
    deliver(member, connect, WatchAccepted(GENERATION, 9, 0), SnapshotMessage(9, ()))
    assert member.snapshot() == STATE and member.counters.refused == 1


def test_a_log_with_the_same_number_and_another_id_is_rejected_by_both_sides() -> None:
    """Two logs that were created separately can have the same number; their states must not mix."""
    server = serve(source(3))
    Watcher(server).watch(3, generation=Generation(1, "other"))
    assert sent(server) == [Goodbye(GoodbyeReason.FOREIGN)]
    member = follower(saved=STATE)
    connect = begin_attempt(member)
    effects = deliver(member, connect, WatchAccepted(Generation(1, "other"), 9, 0), SnapshotMessage(9, ()))
    assert CloseUpstream(connect.attempt) in effects
    assert member.snapshot() == STATE and member.counters.refused == 1


def test_only_an_operators_reset_replaces_the_state_by_an_older_revision() -> None:
    """An older snapshot of the same history changes nothing; a reset applies as a whole with its snapshot."""
    store = source(9)
    server = serve(store)
    Watcher(server).watch(9)
    sent(server)
    store.restore(source(2))
    server.reset(Generation(2, "restored"), 1.0)
    assert server.staleness(1.0) == math.inf  # until the host confirms the new history
    server.confirm(1.0)
    server.tick(1.0)
    replies = sent(server)
    assert [type(message) for message in replies] == [WatchAccepted, SnapshotMessage, KeepAlive]
    member = follower(saved=STATE)
    connect = watching(member, 3)
    deliver(member, connect, KeepAlive(3, 0), SnapshotMessage(1, ()))
    assert member.snapshot() == STATE  # an older snapshot of the same history
    deliver(member, connect, delta(3, 9, 0, 2), replies[0])  # a reset between the parts of a delta
    assert member.snapshot() == STATE
    deliver(member, connect, *replies[1:])
    assert member.snapshot() == store.snapshot() and member.generation.number == 2
    Watcher(server).send(ProgressReport(1, 9))  # sent before the reset, so it is not counted
    assert status.force_status(server.summary(1.0), 2).in_force == 0
    Watcher(server).send(ProgressReport(2, 2))
    assert status.force_status(server.summary(1.0), 2).in_force == 1


def test_a_reset_to_the_same_revision_sends_the_new_state() -> None:
    """Frames cached for the former history must not be sent again for an equal revision of the new one."""
    store = source(9, kept=3)
    server = serve(store)
    Watcher(server, 1).watch(0)
    sent(server)
    other = SourceStore(3)
    for _ in range(9):
        apply_change(other, "other")
    store.restore(other)
    server.reset(Generation(2, "restored"), 1.0)
    server.tick(1.0)
    (snapshot,) = [message for message in sent(server) if isinstance(message, SnapshotMessage)]
    assert [entry.key for entry in snapshot.entries] == ["other"]


def test_a_delta_after_a_reset_is_not_applied_to_the_state_before_it() -> None:
    """Its revisions may continue the state of the former generation by chance, so the stream is closed."""
    member = follower(saved=STATE)
    connect = watching(member, 3)
    effects = deliver(member, connect, WatchAccepted(Generation(2, "restored"), 5, 0), delta(3, 5))
    assert member.snapshot() == STATE and CloseUpstream(connect.attempt) in effects


def test_repeated_and_overlapping_deltas_are_applied_once() -> None:
    """Deltas that arrive again, or begin below the current revision, must not repeat or undo changes."""
    member = follower(saved=STATE)
    connect = watching(member, 3)
    effects = deliver(member, connect, delta(3, 5), delta(3, 5), delta(4, 5), delta(2, 6))
    advanced = [effect for effect in effects if isinstance(effect, StateAdvanced)]
    assert [(effect.revision, [entry.key for entry in effect.changed]) for effect in advanced] == [
        (5, ["k4", "k5"]),
        (6, ["k6"]),
    ]
    assert member.counters.repeated == 2 and member.upstream == FIRST


@pytest.mark.parametrize(
    "said",
    [
        [delta(4, 5)],  # revision 4 is missing
        [delta(3, 7, 0, 2), delta(3, 8, 1, 2)],  # parts of two deltas
        [delta(3, 7, 1, 2)],  # the first part is missing
        [delta(3, 7, 0, 2), delta(3, 4)],  # another message between the parts
        [DeltaMessage(3, 4, 0, (WireEntry("a", b"", 4), WireEntry("b", b"", 9)))],  # entry beyond it
        [SnapshotMessage(9, (WireEntry("a", b"", 9), WireEntry("b", None, 9)))],  # a deletion in a snapshot
    ],
)
def test_messages_out_of_order_or_inconsistent_change_nothing(said: list[ServerMessage]) -> None:
    """They must not leave a partly applied state; the stream is closed and another upstream is tried."""
    member = follower(saved=STATE)
    connect = watching(member, 3)
    effects = deliver(member, connect, *said)
    assert CloseUpstream(connect.attempt) in effects and member.upstream is None
    assert member.snapshot() == STATE
    assert begin_attempt(member, 5.0).upstream == SECOND


def test_data_before_acceptance_and_an_oversized_snapshot_are_rejected() -> None:
    """An upstream must not replace the state before the watch is accepted, or fill the memory."""
    member = follower(saved=STATE)
    early = begin_attempt(member)
    assert CloseUpstream(early.attempt) in deliver(member, early, SnapshotMessage(9, ()))
    settings = FollowerSettings(snapshot_bytes=1000)
    member = Follower("m", HERE, [FIRST], settings, Random(3), generation=GENERATION, saved=STATE)
    member.start(0.0)
    connect = watching(member, 3)
    parts = [SnapshotMessage(9, (WireEntry(f"k{n}", b"x" * 400, n + 1),), n, 4) for n in range(4)]
    assert CloseUpstream(connect.attempt) in deliver(member, connect, *parts) and member.snapshot() == STATE


def test_an_interrupted_snapshot_changes_nothing() -> None:
    """Parts of a snapshot whose stream ended must not mix with those of the next one."""
    store = SourceStore(3)
    for number in range(9):
        apply_change(store, f"k{number}", b"x" * 3000)
    server = serve(store, chunk_bytes=4000.0)
    Watcher(server).watch(0)
    parts = [message for message in sent(server) if isinstance(message, SnapshotMessage)]
    assert len(parts) > 3 and [part.index for part in parts] == list(range(len(parts)))
    member = follower(saved=STATE)
    connect = watching(member, 9)
    deliver(member, connect, *parts[:-1])
    assert member.snapshot() == STATE
    member.upstream_closed(connect.attempt, 2.0)
    again = watching(member, 9, now=4.0)
    assert member.snapshot() == STATE
    effects = deliver(member, again, *parts, now=4.0)
    assert StateAdvanced(9, (), replaced=True) in effects and member.snapshot() == store.snapshot()


def test_a_large_delta_comes_in_parts_and_is_applied_as_a_whole() -> None:
    """Parts that are applied one by one would show a state between two revisions."""
    member = follower(saved=STATE)
    connect = watching(member, 3)
    parts = [delta(3, 9, index, 3) for index in range(3)]
    assert not [
        effect for effect in deliver(member, connect, *parts[:2]) if isinstance(effect, StateAdvanced)
    ]
    assert member.revision == 3
    deliver(member, connect, parts[2])
    assert member.revision == 9 and member.get("k8") == KeyValue("k8", b"8", 8)


def test_a_follower_that_lacks_the_latest_revision_is_not_reported_as_fresh() -> None:
    """A keep-alive for a revision that the follower has not applied yet must not make its state fresh."""
    member = follower(saved=STATE)
    connect = watching(member, 5)
    deliver(member, connect, KeepAlive(5, 0))
    assert member.staleness(1.0) == math.inf
    deliver(member, connect, delta(3, 5))
    assert member.staleness(1.0) == 0.0


def test_a_delta_encoded_long_ago_does_not_make_an_old_state_look_fresh() -> None:
    """A cached delta frame contains its staleness, so it is encoded again once that is out of date."""
    store = source(5)
    server = serve(store)
    Watcher(server, 1).watch(3, now=0.0)
    Watcher(server, 2).watch(3, now=1.0)
    Watcher(server, 3).watch(3, now=100.0)
    ages = [message.staleness_ms for message in sent(server) if isinstance(message, DeltaMessage)]
    assert ages == [0, 0, 100_000] and server.frames.deltas_encoded == 2


def test_a_cached_snapshot_is_used_until_its_deltas_are_compacted() -> None:
    """After that, a cached snapshot could not be continued, so the state is encoded again."""
    store = source(40, kept=3)
    server = serve(store)
    for connection in range(3):
        Watcher(server, connection).watch(0)
        apply_change(store, "key0")
    last = [type(message) for connection, message in sent_to(server) if connection == 2]
    assert last == [WatchAccepted, SnapshotMessage, DeltaMessage, DeltaMessage]
    assert server.frames.snapshots_encoded == 1
    for number in range(5):
        apply_change(store, f"key{number}")
    Watcher(server, 9).watch(0)
    assert server.frames.snapshots_encoded == 2 and sent(server)[-1] == KeepAlive(store.revision, 0)


# The server's bounds.


def test_a_burst_is_coalesced_and_encoded_once_for_all() -> None:
    """A lone change is sent at once; changes within the coalescing time after it share one message."""
    store = source(3)
    server = serve(store)
    for connection in range(20):
        Watcher(server, connection).watch(3, now=float(connection))
    sent(server)
    moments = []
    for step in range(100):
        now = 30.0 + step / 1000
        apply_change(store, f"key{step % 5}")
        server.advanced(now)
        if server.next_deadline() <= now:
            server.tick(now)
            moments.append(step)
    server.tick(30.1)
    replies = [message for message in sent(server) if isinstance(message, DeltaMessage)]
    assert moments == [0] and len(replies) == 40
    assert server.frames.deltas_encoded == 2 and len(replies[-1].entries) == 5


def test_a_slow_follower_is_cut_with_a_bounded_queue_and_without_effect_on_others() -> None:
    """A follower that reads nothing must not fill the server's memory; it is cut after the write timeout."""
    store = source(3)
    server = serve(store)
    Watcher(server, 1).watch(3)
    Watcher(server, 2).watch(3)
    sent_to(server)
    slow_frames, fast_revision, now = 0, 3, 0.0
    while server.watches == 2 and now < 60:
        now += 0.1
        apply_change(store, "key", b"x" * 1000)
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
    assert [laggard.member for laggard in server.summary(now).absent] == ["m1"]


def test_a_large_snapshot_waits_for_room_in_the_queue() -> None:
    """A snapshot larger than the queue is queued part by part, so the unwritten bytes stay bounded."""
    store = SourceStore(3)
    for number in range(60):
        apply_change(store, f"k{number}", b"x" * 10_000)
    server = serve(store)
    Watcher(server).watch(0)
    waiting = [effect for effect in server.take_effects() if isinstance(effect, SendDownstream)]
    max_queued = 0
    taken = []
    while waiting:
        max_queued = max(max_queued, sum(len(effect.frame) for effect in waiting))
        taken.append(waiting.pop(0))
        server.written(1, len(taken[-1].frame), 1.0)
        waiting += [effect for effect in server.take_effects() if isinstance(effect, SendDownstream)]
    assert (
        max_queued
        <= SERVER.queue_bytes + 2 * SERVER.chunk_bytes
        < 600_000
        < sum(len(part.frame) for part in taken)
    )
    assert server.frames.snapshots_encoded == 1


def test_new_watches_are_admitted_at_a_bounded_rate_and_others_get_a_retry_time() -> None:
    """Rejected watches must not all return at once, so their retry times are spaced at the same rate."""
    server = serve(source(3))
    for connection in range(100):
        Watcher(server, connection).watch(3)
    replies = sent(server)
    times = [message.retry_after_ms for message in replies if isinstance(message, WatchRejected)]
    assert server.counters.admitted == SERVER.admit_burst and len(times) == 100 - SERVER.admit_burst
    assert times == sorted(times) and 0 <= times[-1] - 75 / SERVER.admit_rate * 1000 <= 1
    admission = AdmissionBucket(50.0, 25, 0.0)
    for second in range(1, 10):
        assert sum(admission.take(second + step / 1000) for step in range(1000)) <= 75


def test_a_full_server_and_a_relay_without_data_reject_watches() -> None:
    """A rejection by a full server names other upstreams, so that its followers need not wait."""
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
    """A half-open stream of a restarted member must not count as a second watch."""
    server = serve(source(3))
    Watcher(server, 1).watch(3, name="m")
    Watcher(server, 2).watch(3, name="m")
    assert (1, Goodbye(GoodbyeReason.REPLACED)) in sent_to(server) and server.watches == 1


def test_a_silent_stream_is_cut_before_and_after_its_watch() -> None:
    """Dead streams must not be held for ever; a follower that reports keeps its watch."""
    server = serve(source(3))
    server.opened(1, 0.0)
    Watcher(server, 2).watch(3)
    Watcher(server, 3).watch(3)
    now = 0.0
    while now < SERVER.silence + 2:
        now += 0.25
        if now % 10 == 0:
            Watcher(server, 3).send(ProgressReport(1, 3), now)
        server.tick(now)
        sent_to(server, now)
        assert server.watches == (2 if now <= SERVER.silence + 0.3 else 1)
    assert server.counters.cut_silent == 2


def test_a_draining_server_ends_all_watches_and_accepts_none() -> None:
    """Followers must not wait for a server that ends, so its goodbye names the upstreams to try first."""
    server = WatchServer(source(3), GENERATION, SERVER, Random(1), 0.0, ["third"])
    Watcher(server, 1).watch(3)
    sent(server)
    server.drain(1.0)
    Watcher(server, 2).watch(3)
    replies = sent(server)
    assert replies == [Goodbye(GoodbyeReason.STOPPING, ("third",))] * 2 and server.watches == 0
    third = Upstream("third", "", Location("r9", "z9"))
    member = follower(upstreams=(FIRST, SECOND, third))
    deliver(member, watching(member, 0), replies[0])
    assert begin_attempt(member, 4.0).upstream == third


def test_streams_without_a_watch_and_absent_members_are_bounded() -> None:
    """Clients that connect without sending anything, and many lost members, must not fill the memory."""
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


def test_a_relay_without_a_state_rejects_watches() -> None:
    """A relay that accepted watches before its first snapshot would serve an empty state as the real one."""
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
    assert [type(reply) for reply in sent(relay.server)] == [WatchAccepted, SnapshotMessage, KeepAlive]


# The follower's watch.


def test_upstreams_are_ordered_by_nearness_and_spread_by_name() -> None:
    """An equal second choice for all followers of a relay would overload one other relay when it is lost."""
    plan = FleetPlan()
    relays = [Upstream(f"relay{n}", "", plan.location(n)) for n in range(16)]
    second: dict[str, int] = {}
    for number in range(600):
        order = ordered_candidates(f"m{number}", plan.location(5), relays)
        assert order[0].name == "relay5" and {upstream.location.region for upstream in order[:5]} == {"r2"}
        second[order[1].name] = second.get(order[1].name, 0) + 1
    assert len(second) == 4 and max(second.values()) < 1.4 * 150


def test_a_follower_retries_a_relay_after_a_short_wait_and_leaves_it_for_a_long_one() -> None:
    """Moving away and back disturbs more than a short wait; a long retry time is limited to ``busy_most``."""
    member = follower()
    connect = begin_attempt(member)
    deliver(member, connect, WatchRejected(RejectionReason.RATE, 400))
    assert 1.4 <= member.next_deadline() <= 1.4 + FOLLOWER.backoff_first
    again = begin_attempt(member, 2.0)
    assert again.upstream == FIRST
    deliver(member, again, WatchRejected(RejectionReason.FULL, 20_000), now=2.0)
    assert begin_attempt(member, 4.0).upstream == SECOND
    alone = follower(upstreams=(FIRST,))
    deliver(alone, begin_attempt(alone), WatchRejected(RejectionReason.FULL, messages.NEVER_MS))
    wait = alone.next_deadline() - 1.0
    # The backoff after one round of failures is added to the retry time.
    assert FOLLOWER.busy_most <= wait <= FOLLOWER.busy_most + 4 * FOLLOWER.backoff_first


def test_backoff_grows_up_to_its_bound() -> None:
    """The wait grows once all upstreams have failed equally often, so that lost upstreams are not flooded."""
    member = follower()
    waits = []
    now = 1.0
    for _ in range(60):
        member.upstream_closed(begin_attempt(member, now).attempt, now)
        waits.append(member.next_deadline() - now)
        now = member.next_deadline()
    assert max(waits[:2]) <= 2 * 2 * FOLLOWER.backoff_first
    assert 0.5 * FOLLOWER.backoff_most < max(waits[-20:]) <= FOLLOWER.backoff_most


def test_a_watch_without_messages_and_an_unanswered_attempt_time_out() -> None:
    """An upstream that is lost without closing its streams must not hold its followers."""
    member = follower()
    connect = watching(member, 0)
    deliver(member, connect, KeepAlive(0, 0), now=2.0)
    member.tick(2.0 + FOLLOWER.keepalive_timeout - 0.01)
    assert member.upstream == FIRST
    member.tick(2.0 + FOLLOWER.keepalive_timeout)
    assert member.upstream is None and member.counters.lost == 1
    now = member.next_deadline()
    assert now <= 2.0 + FOLLOWER.keepalive_timeout + FOLLOWER.move_spread
    assert begin_attempt(member, now).upstream == SECOND
    member.tick(now + FOLLOWER.connect_timeout)
    assert begin_attempt(member, now + 20).upstream == FIRST


def next_attempt_beside(
    member: Follower, connect: ConnectUpstream, keepalive: KeepAlive, now: float
) -> tuple[ConnectUpstream, float]:
    """Return the next attempt beside a watch that receives the same keep-alive each second, and its time."""
    while True:
        now += 1.0
        deliver(member, connect, keepalive, now=now)
        member.tick(now)
        for effect in member.take_effects():
            if isinstance(effect, ConnectUpstream):
                member.upstream_connected(effect.attempt, now)
                return effect, now


def test_a_follower_with_stale_data_moves_to_a_fresher_upstream() -> None:
    """A cut-off upstream still sends keep-alives. The stale watch is held until another is accepted."""
    member = follower()
    assert member.staleness(0.0) == math.inf
    connect = watching(member, 0)
    assert member.staleness(1.5) == 0.5
    deliver(member, connect, KeepAlive(0, 20_000), now=30.0)
    assert member.staleness(30.0) == 20.0 and member.upstream == FIRST
    other = next_attempt_beside(member, connect, KeepAlive(0, 30_000), 30.0)
    now = other[1]
    assert now - 30.0 <= FOLLOWER.stale_limit + 1 and other[0].upstream == SECOND
    deliver(member, other[0], WatchAccepted(GENERATION, 0, 30_000), now=now)  # no fresher
    assert member.upstream == FIRST
    again, later = next_attempt_beside(member, connect, KeepAlive(0, 30_000), now)
    assert FOLLOWER.prefer_again <= later - now <= 2 * FOLLOWER.prefer_again + 1
    now = later
    effects = deliver(member, again, WatchAccepted(GENERATION, 0, 100), now=now)
    assert member.upstream == SECOND and CloseUpstream(connect.attempt) in effects
    assert any(isinstance(effect, SendUpstream) and effect.attempt == connect.attempt for effect in effects)
    assert member.staleness(now) == pytest.approx(0.1)


def test_a_watch_at_a_distant_upstream_moves_back_without_a_gap() -> None:
    """Once the near relay accepts it again, the follower moves without losing its watch in between."""
    member = follower()
    member.upstream_closed(begin_attempt(member).attempt, 1.0)
    far = watching(member, 0, now=5.0)
    assert member.upstream == SECOND
    now = 5.0
    while member.upstream == SECOND and now < 5.0 + 3 * FOLLOWER.prefer_again:
        now += 1.0
        deliver(member, far, KeepAlive(0, 0), now=now)
        member.tick(now)
        for effect in member.take_effects():
            if isinstance(effect, ConnectUpstream):
                member.upstream_connected(effect.attempt, now)
                deliver(member, effect, WatchAccepted(GENERATION, 0, 0), now=now)
    assert member.upstream == FIRST and member.counters.lost == 0
    assert FOLLOWER.prefer_again <= now - 5.0 <= 2 * FOLLOWER.prefer_again + 1


def test_followers_of_a_lost_relay_spread_their_moves_and_report_often_enough() -> None:
    """Simultaneous moves would overload other relays; after late reports a live follower would be cut."""
    rng = Random(8)
    waits = []
    for number in range(200):
        member = Follower(f"m{number}", HERE, [FIRST, SECOND], FOLLOWER, rng)
        member.start(0.0)
        member.upstream_closed(watching(member, 0, now=2.0).attempt, 3.0)
        waits.append(member.next_deadline() - 3.0)
    tenths = [
        sum(tenth <= 10 * wait / FOLLOWER.move_spread < tenth + 1 for wait in waits) for tenth in range(10)
    ]
    assert min(tenths) > 8 and max(tenths) < 35
    member = follower()
    connect = watching(member, 0)
    reported = [1.0]
    for step in range(10, 600):
        now = step / 10
        deliver(member, connect, KeepAlive(0, 0), now=now)
        member.tick(now)
        reported += [now for effect in member.take_effects() if isinstance(effect, SendUpstream)]
    gaps = [later - earlier for earlier, later in itertools.pairwise(reported)]
    assert max(gaps) <= FOLLOWER.report + 0.2 < SERVER.silence / 2 and len(gaps) < 14


def test_an_upstream_is_not_tried_before_its_retry_time() -> None:
    """The retry time holds even if the other upstreams have failed as often."""
    member = follower()
    deliver(member, begin_attempt(member), WatchRejected(RejectionReason.FULL, 20_000))
    member.upstream_closed(begin_attempt(member, 4.0).attempt, 4.0)
    assert begin_attempt(member, 9.0).upstream == SECOND


def deliver_to_relay(
    relay: Relay, connect: ConnectUpstream, *incoming: ServerMessage, now: float = 1.0
) -> None:
    """Deliver messages from upstream to a relay."""
    for message in incoming:
        relay.upstream_received(connect.attempt, messages.encode(message), now)


def relay_watching(now: float = 1.0) -> tuple[Relay, ConnectUpstream]:
    """Return a relay that holds a state of one key at revision 3, and its attempt."""
    relay = Relay("r", HERE, [Upstream("voter", "", HERE, tier=0)], RelaySettings(), Random(1), 0.0)
    relay.start(0.0)
    relay.tick(now)
    (connect,) = [effect for effect in relay.take_effects() if isinstance(effect, ConnectUpstream)]
    relay.upstream_connected(connect.attempt, now)
    deliver_to_relay(
        relay,
        connect,
        WatchAccepted(GENERATION, 3, 0),
        SnapshotMessage(3, (WireEntry("a", b"", 3),)),
        KeepAlive(3, 0),
    )
    return relay, connect


def test_a_relay_sends_snapshots_after_a_snapshot_or_reset_from_upstream() -> None:
    """A relay does not know the changes that a snapshot skips, so it cannot make deltas over them."""
    relay, connect = relay_watching()
    deliver_to_relay(relay, connect, delta(3, 4))
    Watcher(relay.server, 1).watch(3)
    assert [type(reply) for reply in sent(relay.server)] == [WatchAccepted, DeltaMessage]
    deliver_to_relay(relay, connect, SnapshotMessage(9, ()), now=2.0)
    relay.server.tick(2.0)
    Watcher(relay.server, 2).watch(4)
    replies = [type(message) for _, message in sent_to(relay.server)]
    assert replies == [SnapshotMessage, KeepAlive, WatchAccepted, SnapshotMessage, KeepAlive]
    relay.take_effects()
    deliver_to_relay(
        relay, connect, WatchAccepted(Generation(2, "restored"), 1, 0), SnapshotMessage(1, ()), now=3.0
    )
    relay.tick(3.0)
    frames = [effect.frame for effect in relay.take_effects() if isinstance(effect, SendDownstream)]
    replaced = [messages.decode_from_server(frame) for frame in frames]
    assert replaced[:2] == [WatchAccepted(Generation(2, "restored"), 1, messages.NEVER_MS)] * 2
    assert [type(reply) for reply in replaced[2:]] == [SnapshotMessage, KeepAlive] * 2


def test_a_relay_sends_its_summary_upstream_at_a_bounded_rate() -> None:
    """The reports of many followers must not cause as many messages upstream."""
    relay, connect = relay_watching()
    for connection in range(20):
        Watcher(relay.server, connection).watch(3, now=1.0)
    relay.take_effects()
    sent_up = 0
    for step in range(45):  # shorter than the write timeout
        now = 1.0 + step / 10
        report = messages.encode(ProgressReport(1, 3 * (step // 20 % 2)))
        relay.received(step % 20, report, now)
        deliver_to_relay(relay, connect, KeepAlive(3, 0), now=now)
        relay.tick(now)
        sent_up += sum(isinstance(effect, SendUpstream) for effect in relay.take_effects())
    assert 4 <= sent_up <= 6


def test_relays_cannot_follow_each_other_in_a_ring() -> None:
    """An upstream's tier has to be lower, so that no relay follows itself through others."""
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


def test_status_names_laggards_and_absent_members_for_a_limited_time() -> None:
    """A lost relay's followers are not counted; a reported revision that does not exist counts nowhere."""
    store = source(9)
    server = serve(store)
    Watcher(server, 1).watch(9)
    server.opened(2, 0.0)
    Watcher(server, 2).send(WatchRequest("relay", WatcherRole.RELAY, "z1", GENERATION, 9))
    below = Summary((RevisionCount(9, 40), RevisionCount(7, 1)), (Laggard("late", 7),))
    Watcher(server, 2).send(ProgressReport(1, 9, below))
    force = status.force_status(server.summary(0.0), 9, expected=43)
    assert (force.followers, force.in_force, force.oldest, force.lacking) == (42, 41, 7, 2)
    assert force.laggards == (Laggard("late", 7),) and not force.everywhere
    server.closed(2, 1.0)
    lost = status.force_status(server.summary(1.0), 9)
    assert (lost.followers, lost.absent) == (1, (Laggard("relay", 9),))
    assert server.summary(1.0 + SERVER.absent_for).absent == ()
    Watcher(server, 1).send(ProgressReport(1, 99))  # a revision that does not exist
    assert status.force_status(server.summary(2.0), 50).in_force == 0
    twice = [Summary((), (Laggard("moved", 7),)), Summary((), (Laggard("moved", 8), Laggard("late", 6)))]
    assert status.merge(twice, 4, 4).laggards == (Laggard("late", 6), Laggard("moved", 8))


def test_recent_changes_are_bounded_and_make_deltas_from_their_floor_on() -> None:
    """A delta that lacks changes would corrupt a state; deletions and oversized changes count as well."""
    changes = RecentChanges(max_changes=4, max_bytes=1000)
    for number in range(1, 10):
        changes.add([KeyValue(f"k{number % 5}", None if number == 8 else b"v", number)], number)
    assert len(changes) == 4 and changes.floor == 5 and changes.after(4) is None and changes.after(10) is None
    after = changes.after(7)
    assert after is not None and [(entry.key, entry.value) for entry in after.entries] == [
        ("k3", None),
        ("k4", b"v"),
    ]
    changes.restart(9)
    assert len(changes) == 0 and changes.after(8) is None
    changes.add([KeyValue("large", b"x" * 2000, 10)], 10)
    assert len(changes) == 0 and changes.after(9) is None and changes.after(10) is not None


# Fleets in virtual time.

LOAD = simulate.ChangeLoad(rate=1.0, duration=60.0, burst=100, start_within=60.0, cut=3600.0)
MOVE_AFTER_CLOSE = FOLLOWER.move_spread + 0.5  # connecting and acceptance take some milliseconds
MOVE_AFTER_SILENCE = FOLLOWER.keepalive_timeout + MOVE_AFTER_CLOSE
FORCE_LIMIT_S = 3.0  # from a change until it is in force everywhere


def run_scenario(
    scenario: str, followers: int, seed: int, load: simulate.ChangeLoad = LOAD
) -> simulate.SimulatedRun:
    """Simulate a scenario; check that all states are equal in the end and that no revision went back."""
    run = simulate.play(scenario, FleetPlan(followers=followers), load, seed)
    assert run.broken == () and run.differing == 0
    assert run.times is not None and run.times.most < FORCE_LIMIT_S and run.known_after <= 2 * FORCE_LIMIT_S
    return run


def test_a_burst_and_a_change_a_second_are_in_force_everywhere_in_time() -> None:
    """Changes must not arrive late or cost more messages than changes; the summaries show them in force."""
    run = run_scenario("quiet", 200, seed=1)
    assert run.times is not None and run.times.samples == 200 * 161
    follower_traffic = run.traffic["follower"].most
    assert follower_traffic.received_messages < 1.2 and follower_traffic.sent_messages < 1.2


@pytest.mark.parametrize(
    ("scenario", "within"), [("relay-killed", MOVE_AFTER_CLOSE), ("relay-lost", MOVE_AFTER_SILENCE)]
)
def test_followers_of_a_dead_relay_move_in_time_and_spread_over_the_others(
    scenario: str, within: float
) -> None:
    """The region's other relays are in other zones; each gets its share of the moves, at a bounded rate."""
    run = run_scenario(scenario, 480, seed=2)
    assert 0 < run.watched_after <= within
    assert run.times_disturbed is not None and run.times_disturbed.most <= within + 0.5
    share = 480 / 12
    assert run.most_admissions <= min(share / 2, SERVER.admit_burst + SERVER.admit_rate)
    assert run.most_watches <= share * 1.6


def test_a_lost_zone_with_its_relay_recovers_when_it_restarts_at_once() -> None:
    """Followers outside the zone are not disturbed; those of the zone start without a state."""
    run = run_scenario("zone-lost", 240, seed=3)
    assert (
        run.watched_after <= FORCE_LIMIT_S
        and run.times is not None
        and run.times.samples == 220 * 161 + 20 * 30
    )


def test_a_simultaneous_start_of_all_followers_overloads_no_relay() -> None:
    """Admissions per second stay within the bound, and rejected followers return at their retry times."""
    few = FleetPlan(followers=400, relays=3, zones=3)
    run = simulate.play("quiet", few, msgspec.structs.replace(LOAD, start_within=0.1, duration=4.0), 4)
    assert run.broken == () and run.differing == 0
    assert run.most_admissions_start <= SERVER.admit_burst + SERVER.admit_rate
    assert run.started_after <= 400 / 3 / SERVER.admit_rate + FORCE_LIMIT_S
    assert run.most_watches <= 1.5 * 400 / 3


def test_a_region_cut_off_for_an_hour_keeps_its_state_and_catches_up() -> None:
    """Its followers know how old their data is, and have all changes within seconds after the cut ends."""
    run = run_scenario("region-cut", 24, seed=5)
    assert run.watched_after <= FOLLOWER.backoff_most
    assert run.times_disturbed is not None and 3600 < run.times_disturbed.most < 3600 + 60
    assert run.most_admissions <= 5
    crowded = run_scenario("region-cut", 240, seed=5, load=msgspec.structs.replace(LOAD, cut=60.0))
    assert crowded.most_admissions <= 240 / 3 / 5  # not all at once when their data becomes stale


def test_a_follower_in_a_cut_off_region_reports_its_staleness() -> None:
    """Its relay and its region's voter receive nothing either, so their keep-alives must not look fresh."""
    fleet = SimulatedFleet(FleetPlan(followers=24), seed=6)
    for number in range(24):
        fleet.start_follower(number)
    fleet.network.run(20.0)
    fleet.network.cut_regions.add("r2")
    fleet.network.run(320.0)
    old = {member.location.region: round(member.staleness(320.0)) for member in fleet.followers.values()}
    assert 299 <= old["r2"] <= 302 and old["r0"] <= 2 and old["r1"] <= 2
    assert all(member.upstream is not None and member.revision for member in fleet.followers.values())


def test_restarts_of_members_cost_little_relay_traffic() -> None:
    """A quarter of the members restarts within ten minutes, in the proportion of 700 of 2,500."""
    load = msgspec.structs.replace(LOAD, duration=600.0, rate=0.1, burst=10)
    calm, run = (run_scenario(scenario, 100, seed=7, load=load) for scenario in ("quiet", "restarts"))
    states = 28 / 16 * 200 * 100 / 600  # bytes per second of a relay for as many states of 200 keys
    extra = run.traffic["relay"].mean.sent_bytes - calm.traffic["relay"].mean.sent_bytes
    assert extra < 1.2 * states and run.most_admissions <= 3


# Random orders of faults.

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
