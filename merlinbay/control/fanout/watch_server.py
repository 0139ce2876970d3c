"""The serving side of watches, for voters and relays alike."""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

from merlinbay.control.fanout import status
from merlinbay.control.fanout.admission import AdmissionBucket
from merlinbay.control.fanout.counters import ServerCounters
from merlinbay.control.fanout.downstream_watch import DownstreamWatch
from merlinbay.control.fanout.effects import CloseDownstream, DownstreamEffect, SendDownstream
from merlinbay.control.fanout.frames import EncodedUpdate, FrameCache
from merlinbay.control.fanout.messages import (
    MAX_NAMES,
    NO_GENERATION,
    PROTOCOL_VERSION,
    Generation,
    Goodbye,
    GoodbyeReason,
    KeepAlive,
    Laggard,
    MalformedMessageError,
    ProgressReport,
    RejectionReason,
    ServerMessage,
    Summary,
    WatchAccepted,
    WatcherRole,
    WatchRejected,
    WatchRequest,
    decode_from_follower,
    encode,
    milliseconds,
)
from merlinbay.control.fanout.settings import WatchServerSettings
from merlinbay.control.fanout.store import RevisionStore

SWEEPS = 4  # a keep-alive's interval is looked at so many times
UNWATCHED_SHARE = 2  # streams without a watch are refused above so many times ``max_watches``
MOST_ABSENT = 1024  # lost members that are remembered


class WatchServer:
    """Holds the downstream watches by connection and sends them what changed."""

    def __init__(
        self,
        store: RevisionStore,
        generation: Generation,
        settings: WatchServerSettings,
        rng: Random,
        now: float,
        others: Iterable[str] = (),
    ) -> None:
        """Serve ``store``; ``others`` are the upstreams to which a watch is sent that cannot be taken."""
        self.store, self.generation, self.settings = store, generation, settings
        self.others = tuple(others)[:MAX_NAMES]
        self.counters = ServerCounters()
        self.reports = 0  # counts what changed in the summary
        self.frames = FrameCache(store, settings.chunk_bytes, settings.keepalive)
        self._rng = rng
        self._effects: list[DownstreamEffect] = []
        self._downstreams: dict[int, DownstreamWatch] = {}
        self._by_member: dict[str, DownstreamWatch] = {}
        self._absent: dict[str, tuple[float, Laggard]] = {}  # oldest first: until when it is named
        self._admission = AdmissionBucket(settings.admit_rate, settings.admit_burst, now)
        self._current_at = -math.inf  # the store's state was known to be the latest then
        self._flushed_at = -math.inf
        self._flush_at = math.inf
        self._sweep_at = math.inf
        self._draining = False

    # Streams.

    def opened(self, connection: int, now: float) -> None:
        """Take a new stream; its first message has to come soon."""
        if len(self._downstreams) >= UNWATCHED_SHARE * self.settings.max_watches:
            self._effects.append(CloseDownstream(connection))
            return
        self._downstreams[connection] = DownstreamWatch(connection, now)
        if self._sweep_at == math.inf:
            self._sweep_at = now + self.settings.keepalive / SWEEPS

    def received(self, connection: int, frame: bytes, now: float) -> None:
        """Take a frame; one that is malformed ends the watch."""
        downstream = self._downstreams.get(connection)
        if downstream is None:
            return
        self.counters.messages_received += 1
        self.counters.bytes_received += len(frame)
        try:
            message = decode_from_follower(frame)
        except MalformedMessageError:
            self.counters.malformed += 1
            self._end(downstream, GoodbyeReason.PROTOCOL, now)
            return
        downstream.heard_at = now
        if isinstance(message, Goodbye):
            self._drop(downstream)
            self._effects.append(CloseDownstream(connection, message.reason))
        elif isinstance(message, WatchRequest) and not downstream.watching:
            self._watch(downstream, message, now)
        elif isinstance(message, ProgressReport) and downstream.watching:
            self._progress(downstream, message)
        else:
            self.counters.malformed += 1
            self._end(downstream, GoodbyeReason.PROTOCOL, now)

    def written(self, connection: int, size: int, now: float) -> None:
        """Hear that a frame of ``size`` bytes was taken by the network."""
        downstream = self._downstreams.get(connection)
        if downstream is None:
            return
        downstream.written(size, now)
        if downstream.watching and (downstream.transfer or self._flush_at == math.inf):
            self._pump(downstream, now)

    def closed(self, connection: int, now: float) -> None:
        """Hear that a stream has ended."""
        downstream = self._downstreams.get(connection)
        if downstream is not None:
            self._lose(downstream, now)

    # The state that is served.

    def advanced(self, now: float) -> None:
        """Hear that the store has a new revision."""
        self._flush_at = min(self._flush_at, max(now, self._flushed_at + self.settings.coalesce))

    def confirm(self, now: float, staleness: float = 0.0) -> None:
        """Hear that the store's state was the latest ``staleness`` seconds ago, as a voter knows by lease."""
        self._current_at = max(self._current_at, now - staleness)

    def reset(self, generation: Generation, now: float) -> None:
        """Serve another generation: every watch begins anew with a snapshot."""
        self.generation = generation
        self._current_at = -math.inf
        self.frames.clear()
        self.reports += 1
        for downstream in list(self._by_member.values()):
            downstream.begin_again()
            self._accept(downstream, now)
        self.advanced(now)

    def drain(self, now: float) -> None:
        """Send all watches elsewhere and take no new ones: the process is going to end."""
        self._draining = True
        for downstream in list(self._downstreams.values()):
            self._end(downstream, GoodbyeReason.STOPPING, now)

    # Time.

    def tick(self, now: float) -> None:
        """Do what is due."""
        if now >= self._flush_at:
            self._flush_at = math.inf
            self._flushed_at = now
            for downstream in list(self._by_member.values()):
                self._pump(downstream, now)
        if now >= self._sweep_at:
            self._sweep(now)

    def next_deadline(self) -> float:
        """Return when ``tick`` is due; infinity if never."""
        return min(self._flush_at, self._sweep_at)

    def take_effects(self) -> list[DownstreamEffect]:
        """Return what is to be done, once."""
        effects, self._effects = self._effects, []
        return effects

    # What is known of those below.

    def summary(self, now: float) -> Summary:
        """Return what the followers below have in force; ``status.force_status`` reads it."""
        self._forget_absent(now)
        most, names = self.settings.summary_counts, self.settings.summary_laggards
        direct = status.summarize(
            (one.last_known() for one in self._by_member.values() if one.role is WatcherRole.FOLLOWER),
            self.store.revision,
            most,
            names,
            (laggard for _, laggard in self._absent.values()),
        )
        below = [one.summary for one in self._by_member.values() if one.summary is not None]
        return status.merge([direct, *below], most, names) if below else direct

    @property
    def watches(self) -> int:
        """Return how many watches are held."""
        return len(self._by_member)

    def staleness(self, now: float) -> float:
        """Return how long ago the served state was known to be the latest."""
        return now - self._current_at

    # Taking a watch.

    def _watch(self, downstream: DownstreamWatch, watch: WatchRequest, now: float) -> None:
        same = watch.generation == self.generation
        if watch.version != PROTOCOL_VERSION:
            self._end(downstream, GoodbyeReason.VERSION, now)
        elif self._draining:
            self._end(downstream, GoodbyeReason.STOPPING, now)
        elif self.generation == NO_GENERATION:
            self._refuse(downstream, RejectionReason.NO_DATA, now)
        elif not same and watch.generation.number == self.generation.number:
            self.counters.foreign += 1
            self._end(downstream, GoodbyeReason.FOREIGN, now)
        elif watch.generation.number > self.generation.number or (
            same and watch.revision > self.store.revision
        ):
            self.counters.from_the_future += 1
            self._refuse(downstream, RejectionReason.BEHIND, now)
        elif len(self._by_member) >= self.settings.max_watches and watch.member not in self._by_member:
            self._refuse(downstream, RejectionReason.FULL, now)
        elif not self._admission.take(now):
            self._refuse(downstream, RejectionReason.RATE, now)
        else:
            self._admit(downstream, watch, now)

    def _admit(self, downstream: DownstreamWatch, watch: WatchRequest, now: float) -> None:
        former = self._by_member.get(watch.member)
        if former is not None:
            self._end(former, GoodbyeReason.REPLACED, now)
        self.counters.admitted += 1
        self.reports += 1
        self._absent.pop(watch.member, None)
        empty = watch.generation == NO_GENERATION and watch.revision == 0
        downstream.begin(watch, wants_snapshot=watch.generation != self.generation and not empty)
        self._by_member[watch.member] = downstream
        self._accept(downstream, now)
        self._pump(downstream, now)

    def _accept(self, downstream: DownstreamWatch, now: float) -> None:
        message = WatchAccepted(self.generation, self.store.revision, milliseconds(self.staleness(now)))
        self._send(downstream, encode(message), now)

    def _refuse(self, downstream: DownstreamWatch, reason: RejectionReason, now: float) -> None:
        self.counters.busy += 1
        least, most = self.settings.retry_least, self.settings.retry_most
        if reason is RejectionReason.RATE:
            wait = self._admission.retry_after(now, least, most)
        elif reason is RejectionReason.FULL:
            wait = most
        else:  # passes as soon as this side has caught up
            wait = least * (1 + self._rng.random())
        self._send(downstream, encode(WatchRejected(reason, milliseconds(wait), self.others)), now)
        self._effects.append(CloseDownstream(downstream.connection))
        self._drop(downstream)

    def _progress(self, downstream: DownstreamWatch, progress: ProgressReport) -> None:
        if progress.generation != self.generation.number:
            return  # sent before it heard of the reset
        revision = min(progress.revision, self.store.revision)
        if (revision, progress.summary) == (downstream.reported_revision, downstream.summary):
            return
        downstream.reported_revision = revision
        if downstream.role is WatcherRole.RELAY:
            downstream.summary = progress.summary
        self.reports += 1

    # Sending.

    def _pump(self, downstream: DownstreamWatch, now: float) -> None:
        """Queue frames until the watch has everything or its queue is full."""
        settings = self.settings
        while downstream.room(settings.queue_messages, settings.queue_bytes):
            transfer = downstream.transfer or self._next_transfer(downstream, now)
            if transfer is None:
                return
            self._send(downstream, transfer.frames[downstream.next_part], now)
            downstream.next_part += 1
            if downstream.next_part == len(transfer.frames):
                self._transferred(downstream, transfer, now)

    def _next_transfer(self, downstream: DownstreamWatch, now: float) -> EncodedUpdate | None:
        transfer = None
        if not downstream.wants_snapshot:
            if downstream.queued_revision >= self.store.revision:
                return None
            age = milliseconds(self.staleness(now))
            transfer = self.frames.delta(downstream.queued_revision, age, now)
        downstream.transfer = transfer or self.frames.snapshot()
        downstream.next_part = 0
        return downstream.transfer

    def _transferred(self, downstream: DownstreamWatch, transfer: EncodedUpdate, now: float) -> None:
        downstream.transfer = None
        downstream.wants_snapshot = False
        downstream.queued_revision = transfer.revision
        if not transfer.snapshot:
            self.counters.deltas_sent += 1
            return
        self.counters.snapshots_sent += 1
        if transfer.revision == self.store.revision:
            self._send(downstream, self._keepalive(now), now)

    def _keepalive(self, now: float) -> bytes:
        return encode(KeepAlive(self.store.revision, milliseconds(self.staleness(now))))

    def _send(self, downstream: DownstreamWatch, frame: bytes, now: float) -> None:
        downstream.queued(len(frame), now)
        self.counters.messages_sent += 1
        self.counters.bytes_sent += len(frame)
        self._effects.append(SendDownstream(downstream.connection, frame))

    def _say(self, downstream: DownstreamWatch, message: ServerMessage, now: float) -> None:
        self._send(downstream, encode(message), now)

    # Ending.

    def _sweep(self, now: float) -> None:
        interval = self.settings.keepalive / SWEEPS
        self._sweep_at = now + interval if self._downstreams else math.inf
        due = now - self.settings.keepalive
        keepalive = self._keepalive(now)
        for downstream in list(self._downstreams.values()):
            stuck_since = downstream.stuck_since()
            patience = self.settings.silence if downstream.watching else self.settings.first_message
            if stuck_since is not None and now - stuck_since > self.settings.write_timeout:
                self.counters.cut_slow += 1
                self._cut(downstream, GoodbyeReason.SLOW, now)
            elif now - downstream.heard_at > patience:
                self.counters.cut_silent += 1
                self._cut(downstream, GoodbyeReason.SILENT, now)
            elif downstream.watching and downstream.last_sent <= due and not downstream.unwritten_messages:
                self._send(downstream, keepalive, now)

    def _end(self, downstream: DownstreamWatch, reason: GoodbyeReason, now: float) -> None:
        """End a stream with a last message."""
        others = self.others if reason is GoodbyeReason.STOPPING else ()
        self._say(downstream, Goodbye(reason, others), now)
        self._effects.append(CloseDownstream(downstream.connection, reason))
        self._drop(downstream)

    def _cut(self, downstream: DownstreamWatch, reason: GoodbyeReason, now: float) -> None:
        """End a stream that takes or sends nothing any more."""
        self._effects.append(CloseDownstream(downstream.connection, reason))
        self._lose(downstream, now)

    def _lose(self, downstream: DownstreamWatch, now: float) -> None:
        """Forget a stream that ended unasked, and name its member for some time."""
        self._drop(downstream)
        if not downstream.watching:
            return
        self._absent.pop(downstream.member, None)
        self._absent[downstream.member] = now + self.settings.absent_for, downstream.last_known()
        if len(self._absent) > MOST_ABSENT:
            del self._absent[next(iter(self._absent))]

    def _drop(self, downstream: DownstreamWatch) -> None:
        del self._downstreams[downstream.connection]
        if downstream.watching and self._by_member.get(downstream.member) is downstream:
            del self._by_member[downstream.member]
            self.reports += 1

    def _forget_absent(self, now: float) -> None:
        while self._absent:
            member, (until, _) = next(iter(self._absent.items()))
            if until > now:
                return
            del self._absent[member]
