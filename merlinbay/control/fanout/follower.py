"""The watching side: one watch at one upstream at a time, and the state that came by it.

While a watch is held, a second stream may be opened to a better upstream, or to any where the data is old;
the first is given up only once the second is accepted and no worse.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

from merlinbay.control.entries import KeyValue, StateSnapshot
from merlinbay.control.fanout.assembly import PartOutOfOrderError
from merlinbay.control.fanout.counters import FollowerCounters
from merlinbay.control.fanout.effects import (
    CloseUpstream,
    ConnectUpstream,
    SendUpstream,
    UpstreamEffect,
)
from merlinbay.control.fanout.messages import (
    NO_GENERATION,
    DeltaMessage,
    FollowerMessage,
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
    encode,
    seconds,
)
from merlinbay.control.fanout.replica import Replica
from merlinbay.control.fanout.settings import FollowerSettings
from merlinbay.control.fanout.state import InvalidEntriesError, RevisionGapError
from merlinbay.control.fanout.topology import Location, Upstream
from merlinbay.control.fanout.upstream_selection import UpstreamSelector
from merlinbay.control.fanout.watch_attempt import WatchAttempt


class Follower:
    """Holds the state of all keys as of a revision that never goes back within a generation."""

    __slots__ = (
        "_attempt_at",
        "_candidates",
        "_effects",
        "_last_attempt",
        "_report_at",
        "_rng",
        "_running",
        "_replica",
        "_trying",
        "_watching",
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
        rng: Random,
        *,
        role: WatcherRole = WatcherRole.FOLLOWER,
        generation: Generation = NO_GENERATION,
        saved: StateSnapshot | None = None,
    ) -> None:
        """Begin with the state ``saved`` of ``generation``, or with none."""
        self.member, self.location, self.role, self.settings = member, location, role, settings
        self.counters = FollowerCounters()
        self.summary: Summary | None = None  # a relay sets it; it goes with the reports
        self._rng = rng
        self._replica = Replica(generation, saved)
        self._candidates = UpstreamSelector(settings, rng)
        self._candidates.set(member, location, upstreams)
        self._effects: list[UpstreamEffect] = []
        self._watching: WatchAttempt | None = None
        self._trying: WatchAttempt | None = None
        self._last_attempt = 0
        self._attempt_at = math.inf
        self._report_at = math.inf
        self._running = False

    # Its life.

    def start(self, now: float) -> None:
        """Look for an upstream."""
        self._running = True
        self._attempt_at = now + self._rng.uniform(0, self.settings.backoff_first)

    def stop(self, now: float) -> None:
        """End the watch on purpose; the state is still served."""
        self._running = False
        for link in (self._watching, self._trying):
            if link is not None:
                self._leave(link, GoodbyeReason.STOPPING)
        self._watching = self._trying = None
        self._attempt_at = self._report_at = math.inf

    def set_upstreams(self, upstreams: Iterable[Upstream], now: float) -> None:
        """Take a new list of upstreams; a watch at one that is no longer listed moves."""
        self._candidates.set(self.member, self.location, upstreams)
        watching = self._watching
        if self._running and watching is not None and self._candidates.rank(watching.upstream) > 0:
            self._attempt_by(now + self._rng.uniform(0, self.settings.move_spread))

    # Streams.

    def upstream_connected(self, attempt: int, now: float) -> None:
        """Hear that the stream of an attempt is open."""
        link = self._trying
        if link is not None and link.attempt == attempt:
            link.open = True
            zone = self.location.zone
            self._send(link, WatchRequest(self.member, self.role, zone, self.generation, self.revision))

    def upstream_received(self, attempt: int, frame: bytes, now: float) -> None:
        """Take a frame; one that is malformed ends the attempt."""
        link = self._link(attempt)
        if link is None:
            return
        self.counters.messages_received += 1
        self.counters.bytes_received += len(frame)
        try:
            self._take(link, decode_from_server(frame), len(frame), now)
        except (MalformedMessageError, InvalidEntriesError):
            self.counters.malformed += 1
            self._give_up(link, GoodbyeReason.PROTOCOL, now)
        except (PartOutOfOrderError, RevisionGapError):
            self.counters.out_of_order += 1
            self._give_up(link, GoodbyeReason.PROTOCOL, now)

    def upstream_closed(self, attempt: int, now: float) -> None:
        """Hear that the stream of an attempt has ended or could not be opened."""
        link = self._link(attempt)
        if link is not None:
            self._failed(link, now)

    # Time.

    def tick(self, now: float) -> None:
        """Do what is due."""
        for link in (self._trying, self._watching):
            if link is not None and now >= link.deadline:
                self._give_up(link, GoodbyeReason.SILENT, now)
        if now >= self._attempt_at:
            self._attempt_at = math.inf
            self._try(now)
        if now >= self._report_at:
            self._report(now)

    def next_deadline(self) -> float:
        """Return when ``tick`` is due; infinity if never."""
        deadline = min(self._attempt_at, self._report_at)
        if self._watching is not None:
            deadline = min(deadline, self._watching.deadline)
        if self._trying is not None:
            deadline = min(deadline, self._trying.deadline)
        return deadline

    def take_effects(self) -> list[UpstreamEffect]:
        """Return what is to be done, once."""
        effects, self._effects = self._effects, []
        return effects

    # The state.

    def get(self, key: str) -> KeyValue | None:
        """Return a key's value and revision, None if it does not exist."""
        return self._replica.state.get(key)

    def snapshot(self) -> StateSnapshot:
        """Return the whole state, as it is kept on disk or served on."""
        return self._replica.state.snapshot()

    def staleness(self, now: float) -> float:
        """Return how long ago the state was known to be the latest, infinity if it never was."""
        return self._replica.staleness(now)

    @property
    def generation(self) -> Generation:
        """Return the history that the revision belongs to."""
        return self._replica.generation

    @property
    def revision(self) -> int:
        """Return the revision of the state; 0 is the empty state."""
        return self._replica.state.revision

    @property
    def upstream(self) -> Upstream | None:
        """Return who serves the watch now."""
        return self._watching.upstream if self._watching else None

    # Attempts.

    def _try(self, now: float) -> None:
        if self._trying is not None or not self._running:
            return
        held = self.upstream
        everyone = len(self._candidates.ordered)
        below = everyone
        if self._watching is not None and not self._watching.stale:
            below = min(everyone, self._candidates.rank(self._watching.upstream))
        chosen = self._candidates.choose(now, below, other_than=held)
        if chosen is None:
            self._plan(now)
            return
        self._last_attempt += 1
        self.counters.attempts += 1
        deadline = now + self.settings.connect_timeout
        self._trying = WatchAttempt(self._last_attempt, chosen, deadline, self.settings.snapshot_bytes)
        self._effects.append(ConnectUpstream(self._last_attempt, chosen))

    def _plan(self, now: float) -> None:
        """Set when to try next after an attempt has come to nothing."""
        if self._watching is not None:
            self._prefer_again(now)
            return
        wait = self._candidates.backoff()
        self._attempt_at = max(now, self._candidates.free_at(now)) + wait

    def _prefer_again(self, now: float) -> None:
        """Plan a second stream where a better upstream is known, or the data is old."""
        link = self._watching
        if link is not None and (link.stale or self._candidates.rank(link.upstream) > 0):
            self._attempt_at = now + self.settings.prefer_again * self._rng.uniform(1, 2)

    def _attempt_by(self, moment: float) -> None:
        self._attempt_at = min(self._attempt_at, moment)

    def _failed(self, link: WatchAttempt, now: float) -> None:
        """Go on after a stream has ended that was not given up on purpose."""
        self._candidates.failed(link.upstream)
        if link is self._trying:
            self._trying = None
            self._plan(now)
            return
        self.counters.lost += 1
        self._watching = None
        self._report_at = math.inf
        self._attempt_by(now + self._rng.uniform(0, self.settings.move_spread))

    def _give_up(self, link: WatchAttempt, reason: GoodbyeReason, now: float) -> None:
        self._leave(link, reason)
        self._failed(link, now)

    def _leave(self, link: WatchAttempt, reason: GoodbyeReason) -> None:
        if link.open:
            self._send(link, Goodbye(reason))
        self._effects.append(CloseUpstream(link.attempt))

    def _link(self, attempt: int) -> WatchAttempt | None:
        for link in (self._watching, self._trying):
            if link is not None and link.attempt == attempt:
                return link
        return None

    # Messages.

    def _take(self, link: WatchAttempt, message: ServerMessage, size: int, now: float) -> None:
        if isinstance(message, WatchAccepted):
            self._accepted(link, message, now)
        elif isinstance(message, (WatchRejected, Goodbye)):
            self._sent_away(link, message, now)
        elif link is not self._watching:
            raise MalformedMessageError("data before the watch was accepted")
        else:
            link.deadline = now + self.settings.keepalive_timeout
            if isinstance(message, KeepAlive):
                self._confirmed(link, message.revision, message.staleness_ms, now)
            else:
                self._data(link, message, size, now)

    def _accepted(self, link: WatchAttempt, message: WatchAccepted, now: float) -> None:
        if not self._replica.acceptable(message.generation):
            self.counters.refused += 1
            self._candidates.busy(link.upstream, now + self.settings.busy_most, ())
            self._give_up(link, GoodbyeReason.FOREIGN, now)
            return
        if link is self._trying:
            if not self._worth_moving(message, now):
                self._leave(link, GoodbyeReason.STALE)
                self._trying = None
                self._prefer_again(now)
                return
            self._move(link, now)
        link.generation = message.generation
        link.deadline = now + self.settings.keepalive_timeout
        link.assembly.clear()
        self._replica.join(message.generation)
        self._confirmed(link, message.revision, message.staleness_ms, now)

    def _worth_moving(self, message: WatchAccepted, now: float) -> bool:
        if self._watching is None or message.generation.number > self.generation.number:
            return True
        theirs = seconds(message.staleness_ms)
        limit = self.settings.stale_limit
        return theirs < limit or theirs + self.settings.keepalive_timeout < self.staleness(now)

    def _move(self, link: WatchAttempt, now: float) -> None:
        if self._watching is not None:
            self._leave(self._watching, GoodbyeReason.MOVED)
            self.counters.moves += 1
        self._watching, self._trying = link, None
        self._attempt_at = math.inf
        self._candidates.accepted()
        self._prefer_again(now)
        self._report_by(now + self._rng.uniform(0, self.settings.progress))

    def _sent_away(self, link: WatchAttempt, message: WatchRejected | Goodbye, now: float) -> None:
        self._effects.append(CloseUpstream(link.attempt))
        settings = self.settings
        if isinstance(message, Goodbye):
            self._candidates.busy(link.upstream, now + settings.backoff_most, message.upstreams)
            self._failed(link, now)
            return
        self.counters.busy += 1
        wait = min(seconds(message.retry_after_ms), settings.busy_most)
        self._candidates.busy(link.upstream, now + wait, message.upstreams)
        if link is self._watching or wait > settings.move_spread:
            self._failed(link, now)
            return
        self._trying = None  # it takes the watch in a moment: waiting is better than moving twice
        self._attempt_by(now + wait + self._rng.uniform(0, settings.backoff_first))

    def _data(
        self, link: WatchAttempt, message: DeltaMessage | SnapshotMessage, size: int, now: float
    ) -> None:
        whole = link.assembly.add(message, size)
        if whole is None:
            return
        advanced = self._replica.take(link.generation, whole, now)
        if advanced is None:
            self.counters.repeated += 1
            return
        if advanced.replaced:
            self.counters.snapshots += 1
        else:
            self.counters.deltas += 1
        self._effects.append(advanced)
        self._report_by(now + self._rng.uniform(0, self.settings.progress))

    def _confirmed(self, link: WatchAttempt, revision: int, staleness_ms: int, now: float) -> None:
        self._replica.confirm(link.generation, revision, staleness_ms, now)
        stale = seconds(staleness_ms) >= self.settings.stale_limit
        if stale and not link.stale:  # later attempts are planned as this one comes to nothing
            self._attempt_by(now + self._rng.uniform(0, self.settings.stale_limit))
        link.stale = stale

    # Reports.

    def report_now(self, now: float) -> None:
        """Report at the next tick, as a relay does whose summary has changed."""
        if self._watching is not None:
            self._report_by(now)

    def _report_by(self, moment: float) -> None:
        self._report_at = min(self._report_at, moment)

    def _report(self, now: float) -> None:
        if self._watching is None:
            self._report_at = math.inf
            return
        self._report_at = now + self.settings.report * self._rng.uniform(0.5, 1)
        self._send(self._watching, ProgressReport(self.generation.number, self.revision, self.summary))

    def _send(self, link: WatchAttempt, message: FollowerMessage) -> None:
        frame = encode(message)
        self.counters.messages_sent += 1
        self.counters.bytes_sent += len(frame)
        self._effects.append(SendUpstream(link.attempt, frame))
