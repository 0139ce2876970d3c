"""The serving side of watches, for voters and relays alike.

A host calls ``WatchServer`` for each event of a stream, for each change of the store and for each due tick,
and carries out its effects. A stream that is silent, too slow or sends a malformed message is closed; the
other watches are not affected.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

from merlinbay.control.fanout import status
from merlinbay.control.fanout.absent_members import AbsentMembers
from merlinbay.control.fanout.admission import AdmissionBucket
from merlinbay.control.fanout.counters import ServerCounters
from merlinbay.control.fanout.downstream_watch import DownstreamWatch
from merlinbay.control.fanout.effects import CloseDownstream, DownstreamEffect
from merlinbay.control.fanout.frames import FrameCache
from merlinbay.control.fanout.messages import (
    MAX_NAMES,
    NO_GENERATION,
    PROTOCOL_VERSION,
    Generation,
    Goodbye,
    GoodbyeReason,
    MalformedMessageError,
    ProgressReport,
    RejectionReason,
    Summary,
    WatcherRole,
    WatchRequest,
    decode_from_follower,
)
from merlinbay.control.fanout.settings import WatchServerSettings
from merlinbay.control.fanout.store import RevisionStore
from merlinbay.control.fanout.watch_sender import WatchSender

SWEEPS_PER_KEEPALIVE = 4  # checks for due keep-alives and timeouts in one keep-alive interval
MAX_STREAMS_PER_WATCH = 2  # above ``max_watches`` times this, new streams are closed


class WatchServer:
    """Holds the downstream watches by connection and sends them the changes."""

    def __init__(
        self,
        store: RevisionStore,
        generation: Generation,
        settings: WatchServerSettings,
        rng: Random,
        now: float,
        others: Iterable[str] = (),
    ) -> None:
        """Serve ``store``; rejections name ``others``, the upstreams to try instead."""
        self.store, self.generation, self.settings = store, generation, settings
        self.others = tuple(others)[:MAX_NAMES]
        self.counters = ServerCounters()
        self.reports = 0  # number of changes of the summary since the start
        self.frames = FrameCache(store, settings.chunk_bytes, settings.keepalive)
        self._rng = rng
        self._effects: list[DownstreamEffect] = []
        self._sender = WatchSender(store, self.frames, settings, self.counters, self._effects, self.staleness)
        self._downstreams: dict[int, DownstreamWatch] = {}
        self._by_member: dict[str, DownstreamWatch] = {}
        self._absent = AbsentMembers(settings.absent_for)
        self._admission = AdmissionBucket(settings.admit_rate, settings.admit_burst, now)
        self._current_at = -math.inf  # time at which the store's state was known to be the latest
        self._flushed_at = -math.inf
        self._flush_at = math.inf
        self._sweep_at = math.inf
        self._draining = False

    # Streams.

    def opened(self, connection: int, now: float) -> None:
        """Register a new stream; its first message has to arrive within ``first_message`` seconds."""
        if len(self._downstreams) >= MAX_STREAMS_PER_WATCH * self.settings.max_watches:
            self._effects.append(CloseDownstream(connection))
            return
        self._downstreams[connection] = DownstreamWatch(connection, now)
        if self._sweep_at == math.inf:
            self._sweep_at = now + self.settings.keepalive / SWEEPS_PER_KEEPALIVE

    def received(self, connection: int, frame: bytes, now: float) -> None:
        """Process a frame; a malformed one ends the watch."""
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
        downstream.record_received(now)
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
        """Record that a frame of ``size`` bytes was written, and queue further frames if there is room."""
        downstream = self._downstreams.get(connection)
        if downstream is None:
            return
        downstream.written(size, now)
        if downstream.watching and (downstream.transfer or self._flush_at == math.inf):
            self._sender.pump(downstream, now)

    def closed(self, connection: int, now: float) -> None:
        """Record that a stream has ended without a goodbye."""
        downstream = self._downstreams.get(connection)
        if downstream is not None:
            self._lose(downstream, now)

    # Served state.

    def advanced(self, now: float) -> None:
        """Schedule the sending of the store's new revision to all watches."""
        self._flush_at = min(self._flush_at, max(now, self._flushed_at + self.settings.coalesce))

    def confirm(self, now: float, staleness: float = 0.0) -> None:
        """Record that the store's state was the latest ``staleness`` seconds ago."""
        self._current_at = max(self._current_at, now - staleness)

    def reset(self, generation: Generation, now: float) -> None:
        """Serve another generation; every watch starts again with a snapshot."""
        self.generation = generation
        self._current_at = -math.inf
        self.frames.clear()
        self.reports += 1
        for downstream in list(self._by_member.values()):
            downstream.restart()
            self._sender.send_accepted(downstream, self.generation, now)
        self.advanced(now)

    def drain(self, now: float) -> None:
        """Direct all watches to other upstreams and accept no new ones, as the process is going to end."""
        self._draining = True
        for downstream in list(self._downstreams.values()):
            self._end(downstream, GoodbyeReason.STOPPING, now)

    # Time.

    def tick(self, now: float) -> None:
        """Send the pending changes and keep-alives that are due, and cut slow or silent streams."""
        if now >= self._flush_at:
            self._flush_at = math.inf
            self._flushed_at = now
            for downstream in list(self._by_member.values()):
                self._sender.pump(downstream, now)
        if now >= self._sweep_at:
            self._sweep(now)

    def next_deadline(self) -> float:
        """Return when ``tick`` is due; infinity if never."""
        return min(self._flush_at, self._sweep_at)

    def take_effects(self) -> list[DownstreamEffect]:
        """Return the effects since the last call."""
        effects = self._effects.copy()
        self._effects.clear()
        return effects

    # The followers below.

    def summary(self, now: float) -> Summary:
        """Return the revisions that the followers below have applied, for ``status.force_status``."""
        self._absent.expire(now)
        most, names = self.settings.summary_counts, self.settings.summary_laggards
        direct = status.summarize(
            (watch.last_known() for watch in self._by_member.values() if watch.role is WatcherRole.FOLLOWER),
            self.store.revision,
            most,
            names,
            self._absent,
        )
        below = [watch.summary for watch in self._by_member.values() if watch.summary is not None]
        return status.merge([direct, *below], most, names) if below else direct

    @property
    def watches(self) -> int:
        """Return how many watches are held."""
        return len(self._by_member)

    def staleness(self, now: float) -> float:
        """Return how long ago the served state was known to be the latest."""
        return now - self._current_at

    # Accepting a watch.

    def _watch(self, downstream: DownstreamWatch, watch: WatchRequest, now: float) -> None:
        same_generation = watch.generation == self.generation
        if watch.version != PROTOCOL_VERSION:
            self._end(downstream, GoodbyeReason.VERSION, now)
        elif self._draining:
            self._end(downstream, GoodbyeReason.STOPPING, now)
        elif self.generation == NO_GENERATION:
            self._reject(downstream, RejectionReason.NO_DATA, now)
        elif not same_generation and watch.generation.number == self.generation.number:
            self.counters.foreign += 1
            self._end(downstream, GoodbyeReason.FOREIGN, now)
        elif watch.generation.number > self.generation.number or (
            same_generation and watch.revision > self.store.revision
        ):
            self.counters.from_the_future += 1
            self._reject(downstream, RejectionReason.BEHIND, now)
        elif len(self._by_member) >= self.settings.max_watches and watch.member not in self._by_member:
            self._reject(downstream, RejectionReason.FULL, now)
        elif not self._admission.take(now):
            self._reject(downstream, RejectionReason.RATE, now)
        else:
            self._admit(downstream, watch, now)

    def _admit(self, downstream: DownstreamWatch, watch: WatchRequest, now: float) -> None:
        former_watch = self._by_member.get(watch.member)
        if former_watch is not None:
            self._end(former_watch, GoodbyeReason.REPLACED, now)
        self.counters.admitted += 1
        self.reports += 1
        self._absent.discard(watch.member)
        empty = watch.generation == NO_GENERATION and watch.revision == 0
        downstream.begin(watch, wants_snapshot=watch.generation != self.generation and not empty)
        self._by_member[watch.member] = downstream
        self._sender.send_accepted(downstream, self.generation, now)
        self._sender.pump(downstream, now)

    def _reject(self, downstream: DownstreamWatch, reason: RejectionReason, now: float) -> None:
        self.counters.busy += 1
        least, most = self.settings.retry_least, self.settings.retry_most
        if reason is RejectionReason.RATE:
            wait = self._admission.retry_after(now, least, most)
        elif reason is RejectionReason.FULL:
            wait = most
        else:  # this server may have caught up by then
            wait = least * (1 + self._rng.random())
        self._sender.send_rejected(downstream, reason, wait, self.others, now)
        self._effects.append(CloseDownstream(downstream.connection))
        self._drop(downstream)

    def _progress(self, downstream: DownstreamWatch, progress: ProgressReport) -> None:
        if progress.generation != self.generation.number:
            return  # the watcher sent this before the reset reached it
        revision = min(progress.revision, self.store.revision)
        if (revision, progress.summary) == (downstream.reported_revision, downstream.summary):
            return
        downstream.record_report(revision, progress.summary)
        self.reports += 1

    # Ending.

    def _sweep(self, now: float) -> None:
        interval = self.settings.keepalive / SWEEPS_PER_KEEPALIVE
        self._sweep_at = now + interval if self._downstreams else math.inf
        due = now - self.settings.keepalive
        keepalive = self._sender.keepalive(now)
        for downstream in list(self._downstreams.values()):
            stuck_since = downstream.stuck_since()
            silence_limit = self.settings.silence if downstream.watching else self.settings.first_message
            if stuck_since is not None and now - stuck_since > self.settings.write_timeout:
                self.counters.cut_slow += 1
                self._abort(downstream, GoodbyeReason.SLOW, now)
            elif now - downstream.heard_at > silence_limit:
                self.counters.cut_silent += 1
                self._abort(downstream, GoodbyeReason.SILENT, now)
            elif downstream.watching and downstream.last_sent <= due and not downstream.unwritten_messages:
                self._sender.send(downstream, keepalive, now)

    def _end(self, downstream: DownstreamWatch, reason: GoodbyeReason, now: float) -> None:
        """End a stream with a goodbye."""
        others = self.others if reason is GoodbyeReason.STOPPING else ()
        self._sender.send_goodbye(downstream, reason, others, now)
        self._effects.append(CloseDownstream(downstream.connection, reason))
        self._drop(downstream)

    def _abort(self, downstream: DownstreamWatch, reason: GoodbyeReason, now: float) -> None:
        """End a stream that is too slow or silent, without a goodbye."""
        self._effects.append(CloseDownstream(downstream.connection, reason))
        self._lose(downstream, now)

    def _lose(self, downstream: DownstreamWatch, now: float) -> None:
        """Remove a stream that ended without a goodbye; its member counts as absent for some time."""
        self._drop(downstream)
        if not downstream.watching:
            return
        self._absent.add(downstream.last_known(), now)

    def _drop(self, downstream: DownstreamWatch) -> None:
        del self._downstreams[downstream.connection]
        if downstream.watching and self._by_member.get(downstream.member) is downstream:
            del self._by_member[downstream.member]
            self.reports += 1
