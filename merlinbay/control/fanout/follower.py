"""The watching side: one watch at one upstream at a time, and the state received through it.

A host calls ``Follower`` for each event of a stream and for each due tick, and carries out its effects. A
malformed or misplaced message closes the stream and leaves the state unchanged; another attempt follows.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

from merlinbay.control.entries import KeyValue, StateSnapshot
from merlinbay.control.fanout.assembly import PartOutOfOrderError
from merlinbay.control.fanout.counters import FollowerCounters
from merlinbay.control.fanout.effects import UpstreamEffect
from merlinbay.control.fanout.messages import (
    NO_GENERATION,
    DeltaMessage,
    Generation,
    Goodbye,
    GoodbyeReason,
    KeepAlive,
    MalformedMessageError,
    ProgressReport,
    ServerMessage,
    SnapshotMessage,
    Summary,
    WatchAccepted,
    WatcherRole,
    WatchRejected,
    WatchRequest,
    decode_from_server,
    seconds,
)
from merlinbay.control.fanout.replica import Replica
from merlinbay.control.fanout.settings import FollowerSettings
from merlinbay.control.fanout.state import InvalidEntriesError, RevisionGapError
from merlinbay.control.fanout.topology import Location, Upstream
from merlinbay.control.fanout.upstream_selection import UpstreamSelector
from merlinbay.control.fanout.upstream_watches import UpstreamWatches
from merlinbay.control.fanout.watch_attempt import WatchAttempt


class Follower:
    """Holds the state of all keys at a revision that never decreases within a generation."""

    __slots__ = (
        "_effects",
        "_random",
        "_replica",
        "_report_at",
        "_watches",
        "counters",
        "location",
        "member",
        "role",
        "settings",
        "summary",
    )

    def __init__(
        self,
        member: str,
        location: Location,
        upstreams: Iterable[Upstream],
        settings: FollowerSettings,
        random: Random,
        *,
        role: WatcherRole = WatcherRole.FOLLOWER,
        generation: Generation = NO_GENERATION,
        saved: StateSnapshot | None = None,
    ) -> None:
        """Begin with the state ``saved`` of ``generation``, or with the empty state."""
        self.member, self.location, self.role, self.settings = member, location, role, settings
        self.counters = FollowerCounters()
        self.summary: Summary | None = None  # set by a relay; sent with the next report
        self._random = random
        self._replica = Replica(generation, saved)
        self._effects: list[UpstreamEffect] = []
        selector = UpstreamSelector(settings, random)
        selector.set(member, location, upstreams)
        self._watches = UpstreamWatches(selector, settings, random, self.counters, self._effects)
        self._report_at = math.inf

    def start(self, now: float) -> None:
        """Plan the first attempt to watch an upstream."""
        self._watches.start(now)

    def stop(self, now: float) -> None:
        """Close all streams; the state stays readable."""
        self._watches.stop()
        self._report_at = math.inf

    def set_upstreams(self, upstreams: Iterable[Upstream], now: float) -> None:
        """Replace the list of upstreams; if the current one is no longer the best, plan a move."""
        self._watches.set_upstreams(self.member, self.location, upstreams, now)

    # Streams.

    def upstream_connected(self, attempt: int, now: float) -> None:
        """Send the watch request on the stream of an attempt, which is now open."""
        watch = self._watches.trying
        if watch is not None and watch.attempt == attempt:
            watch.open = True
            zone = self.location.zone
            request = WatchRequest(self.member, self.role, zone, self.generation, self.revision)
            self._watches.send(watch, request)

    def upstream_received(self, attempt: int, frame: bytes, now: float) -> None:
        """Process a frame from upstream; a malformed one ends the attempt."""
        watch = self._watches.find(attempt)
        if watch is None:
            return
        self.counters.messages_received += 1
        self.counters.bytes_received += len(frame)
        try:
            self._process(watch, decode_from_server(frame), len(frame), now)
        except (MalformedMessageError, InvalidEntriesError):
            self.counters.malformed += 1
            self._abandon(watch, GoodbyeReason.PROTOCOL, now)
        except (PartOutOfOrderError, RevisionGapError):
            self.counters.out_of_order += 1
            self._abandon(watch, GoodbyeReason.PROTOCOL, now)

    def upstream_closed(self, attempt: int, now: float) -> None:
        """Record that the stream of an attempt has ended or could not be opened."""
        watch = self._watches.find(attempt)
        if watch is not None:
            self._watches.fail(watch, now)
            self._stop_reports_without_watch()

    # Time.

    def tick(self, now: float) -> None:
        """Run the timeouts, attempts and reports that are due."""
        self._watches.tick(now)
        self._stop_reports_without_watch()
        if now >= self._report_at:
            self._report(now)

    def next_deadline(self) -> float:
        """Return when ``tick`` is due; infinity if never."""
        return min(self._report_at, self._watches.next_deadline())

    def take_effects(self) -> list[UpstreamEffect]:
        """Return the effects since the last call."""
        effects = self._effects.copy()
        self._effects.clear()
        return effects

    # State.

    def get(self, key: str) -> KeyValue | None:
        """Return a key's value and revision, None if it does not exist."""
        return self._replica.state.get(key)

    def snapshot(self) -> StateSnapshot:
        """Return the whole state."""
        return self._replica.state.snapshot()

    def staleness(self, now: float) -> float:
        """Return how long ago the state was known to be the latest, infinity if it never was."""
        return self._replica.staleness(now)

    @property
    def generation(self) -> Generation:
        """Return the generation of the state."""
        return self._replica.generation

    @property
    def revision(self) -> int:
        """Return the revision of the state; 0 is the empty state."""
        return self._replica.state.revision

    @property
    def upstream(self) -> Upstream | None:
        """Return the upstream of the current watch."""
        return self._watches.current.upstream if self._watches.current is not None else None

    # Messages.

    def _process(self, watch: WatchAttempt, message: ServerMessage, size: int, now: float) -> None:
        if isinstance(message, WatchAccepted):
            self._process_accepted(watch, message, now)
        elif isinstance(message, (WatchRejected, Goodbye)):
            self._process_rejection(watch, message, now)
        elif watch is not self._watches.current:
            raise MalformedMessageError("received data before the watch was accepted")
        else:
            watch.deadline = now + self.settings.keepalive_timeout
            if isinstance(message, KeepAlive):
                self._confirm(watch, message.revision, message.staleness_ms, now)
            else:
                self._apply(watch, message, size, now)

    def _process_accepted(self, watch: WatchAttempt, message: WatchAccepted, now: float) -> None:
        if not self._replica.acceptable(message.generation):
            self.counters.refused += 1
            self._watches.block(watch, now + self.settings.busy_most, ())
            self._abandon(watch, GoodbyeReason.FOREIGN, now)
            return
        if watch is self._watches.trying:
            if not self._is_better(message, now):
                self._watches.decline(watch, now)
                return
            self._watches.accept(now)
            self._report_by(now + self._random.uniform(0, self.settings.progress))
        watch.generation = message.generation
        watch.deadline = now + self.settings.keepalive_timeout
        watch.assembly.clear()
        self._replica.join(message.generation)
        self._confirm(watch, message.revision, message.staleness_ms, now)

    def _is_better(self, message: WatchAccepted, now: float) -> bool:
        """Return whether to move the watch to the upstream that has accepted."""
        if self._watches.current is None or message.generation.number > self.generation.number:
            return True
        offered_staleness = seconds(message.staleness_ms)
        limit = self.settings.stale_limit
        return offered_staleness < limit or (
            offered_staleness + self.settings.keepalive_timeout < self.staleness(now)
        )

    def _process_rejection(self, watch: WatchAttempt, message: WatchRejected | Goodbye, now: float) -> None:
        """End a stream whose upstream has rejected the watch or sent ``Goodbye``."""
        self._watches.closed_by_server(watch)
        settings = self.settings
        if isinstance(message, Goodbye):
            self._watches.block(watch, now + settings.backoff_most, message.upstreams)
            self._fail(watch, now)
            return
        self.counters.busy += 1
        wait = min(seconds(message.retry_after_ms), settings.busy_most)
        self._watches.block(watch, now + wait, message.upstreams)
        if watch is self._watches.current or wait > settings.move_spread:
            self._fail(watch, now)
        else:  # the upstream accepts the watch soon; waiting disturbs less than moving twice
            self._watches.retry(now, wait)

    def _apply(
        self, watch: WatchAttempt, message: DeltaMessage | SnapshotMessage, size: int, now: float
    ) -> None:
        whole = watch.assembly.add(message, size)
        if whole is None:
            return
        advanced = self._replica.take(watch.generation, whole, now)
        if advanced is None:
            self.counters.repeated += 1
            return
        if advanced.replaced:
            self.counters.snapshots += 1
        else:
            self.counters.deltas += 1
        self._effects.append(advanced)
        self._report_by(now + self._random.uniform(0, self.settings.progress))

    def _confirm(self, watch: WatchAttempt, revision: int, staleness_ms: int, now: float) -> None:
        self._replica.confirm(watch.generation, revision, staleness_ms, now)
        stale = seconds(staleness_ms) >= self.settings.stale_limit
        if stale and not watch.stale:  # attempts after this one are planned when it fails
            self._watches.attempt_by(now + self._random.uniform(0, self.settings.stale_limit))
        watch.stale = stale

    def _abandon(self, watch: WatchAttempt, reason: GoodbyeReason, now: float) -> None:
        self._watches.abandon(watch, reason, now)
        self._stop_reports_without_watch()

    def _fail(self, watch: WatchAttempt, now: float) -> None:
        self._watches.fail(watch, now)
        self._stop_reports_without_watch()

    # Reports.

    def report_now(self, now: float) -> None:
        """Send a report at the next tick; a relay calls this when its summary has changed."""
        if self._watches.current is not None:
            self._report_by(now)

    def _report_by(self, moment: float) -> None:
        self._report_at = min(self._report_at, moment)

    def _stop_reports_without_watch(self) -> None:
        if self._watches.current is None:
            self._report_at = math.inf

    def _report(self, now: float) -> None:
        current = self._watches.current
        if current is None:
            self._report_at = math.inf
            return
        self._report_at = now + self.settings.report * self._random.uniform(0.5, 1)
        report = ProgressReport(self.generation.number, self.revision, self.summary)
        self._watches.send(current, report)
