"""The streams of a follower: the watch that it holds, the attempt at another one, and when to try next.

While a watch is held, a second stream may be opened to a better upstream, or to any upstream if the data is
old. The first stream is closed only once the second is accepted and its data is no staler. A stream that
fails is counted against its upstream, and the next attempt is planned after a random wait.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

from merlinbay.control.fanout.counters import FollowerCounters
from merlinbay.control.fanout.effects import CloseUpstream, ConnectUpstream, SendUpstream, UpstreamEffect
from merlinbay.control.fanout.messages import FollowerMessage, Goodbye, GoodbyeReason, encode
from merlinbay.control.fanout.settings import FollowerSettings
from merlinbay.control.fanout.topology import Location, Upstream
from merlinbay.control.fanout.upstream_selection import UpstreamSelector
from merlinbay.control.fanout.watch_attempt import WatchAttempt


class UpstreamWatches:
    """Opens, moves and closes streams. Times are seconds."""

    __slots__ = (
        "_attempt_at",
        "_counters",
        "_effects",
        "_last_attempt",
        "_random",
        "_running",
        "_selector",
        "_settings",
        "current",
        "trying",
    )

    def __init__(
        self,
        selector: UpstreamSelector,
        settings: FollowerSettings,
        random: Random,
        counters: FollowerCounters,
        effects: list[UpstreamEffect],
    ) -> None:
        """Append the effects of all calls to ``effects``."""
        self._selector, self._settings, self._random = selector, settings, random
        self._counters, self._effects = counters, effects
        self.current: WatchAttempt | None = None  # the watch that is held
        self.trying: WatchAttempt | None = None  # the attempt that is not accepted yet
        self._last_attempt = 0
        self._attempt_at = math.inf
        self._running = False

    def start(self, now: float) -> None:
        """Plan the first attempt."""
        self._running = True
        self._attempt_at = now + self._random.uniform(0, self._settings.backoff_first)

    def stop(self) -> None:
        """Close all streams and plan no further attempts."""
        self._running = False
        for watch in (self.current, self.trying):
            if watch is not None:
                self._close(watch, GoodbyeReason.STOPPING)
        self.current = self.trying = None
        self._attempt_at = math.inf

    def set_upstreams(
        self, member: str, location: Location, upstreams: Iterable[Upstream], now: float
    ) -> None:
        """Replace the list of upstreams; if the current one is no longer the best, plan a move."""
        self._selector.set(member, location, upstreams)
        current = self.current
        if self._running and current is not None and self._selector.rank(current.upstream) > 0:
            self.attempt_by(now + self._random.uniform(0, self._settings.move_spread))

    def find(self, attempt: int) -> WatchAttempt | None:
        """Return the attempt with this number, None if its stream was closed."""
        for watch in (self.current, self.trying):
            if watch is not None and watch.attempt == attempt:
                return watch
        return None

    # Time.

    def tick(self, now: float) -> None:
        """Abandon streams whose deadline has passed, and make the attempt that is due."""
        for watch in (self.trying, self.current):
            if watch is not None and now >= watch.deadline:
                self.abandon(watch, GoodbyeReason.SILENT, now)
        if now >= self._attempt_at:
            self._attempt_at = math.inf
            self._try(now)

    def next_deadline(self) -> float:
        """Return when ``tick`` is due; infinity if never."""
        deadlines = [watch.deadline for watch in (self.current, self.trying) if watch is not None]
        return min([self._attempt_at, *deadlines])

    def attempt_by(self, moment: float) -> None:
        """Plan the next attempt for ``moment`` or earlier."""
        self._attempt_at = min(self._attempt_at, moment)

    # Attempts.

    def _try(self, now: float) -> None:
        if self.trying is not None or not self._running:
            return
        held_upstream = self.current.upstream if self.current is not None else None
        upstream_count = len(self._selector.ordered)
        below = upstream_count
        if self.current is not None and not self.current.stale:
            below = min(upstream_count, self._selector.rank(self.current.upstream))
        upstream = self._selector.choose(now, below, other_than=held_upstream)
        if upstream is None:
            self._plan(now)
            return
        self._last_attempt += 1
        self._counters.attempts += 1
        deadline = now + self._settings.connect_timeout
        self.trying = WatchAttempt(self._last_attempt, upstream, deadline, self._settings.snapshot_bytes)
        self._effects.append(ConnectUpstream(self._last_attempt, upstream))

    def _plan(self, now: float) -> None:
        """Plan the next attempt after one has failed."""
        if self.current is not None:
            self._plan_better(now)
            return
        wait = self._selector.backoff()
        self._attempt_at = max(now, self._selector.free_at(now)) + wait

    def _plan_better(self, now: float) -> None:
        """Plan a second stream if the list has a better upstream, or if the data is old."""
        watch = self.current
        if watch is not None and (watch.stale or self._selector.rank(watch.upstream) > 0):
            self._attempt_at = now + self._settings.prefer_again * self._random.uniform(1, 2)

    def accept(self, now: float) -> None:
        """Make the attempt the current watch and close the former one."""
        if self.current is not None:
            self._close(self.current, GoodbyeReason.MOVED)
            self._counters.moves += 1
        self.current, self.trying = self.trying, None
        self._attempt_at = math.inf
        self._selector.accepted()
        self._plan_better(now)

    def decline(self, watch: WatchAttempt, now: float) -> None:
        """Close an attempt whose upstream is no better than the current one."""
        self._close(watch, GoodbyeReason.STALE)
        self.trying = None
        self._plan_better(now)

    # Ending.

    def fail(self, watch: WatchAttempt, now: float) -> None:
        """Count the failure of a stream that was not closed on purpose, and plan the next attempt."""
        self._selector.failed(watch.upstream)
        if watch is self.trying:
            self.trying = None
            self._plan(now)
            return
        self._counters.lost += 1
        self.current = None
        self.attempt_by(now + self._random.uniform(0, self._settings.move_spread))

    def abandon(self, watch: WatchAttempt, reason: GoodbyeReason, now: float) -> None:
        """Close a stream that cannot be used."""
        self._close(watch, reason)
        self.fail(watch, now)

    def block(self, watch: WatchAttempt, until: float, hinted: Iterable[str]) -> None:
        """Make no attempt at this upstream before ``until``, and prefer the ``hinted`` ones."""
        self._selector.busy(watch.upstream, until, hinted)

    def closed_by_server(self, watch: WatchAttempt) -> None:
        """Close the stream of an attempt whose upstream has sent ``Goodbye`` or rejected the watch."""
        self._effects.append(CloseUpstream(watch.attempt))

    def retry(self, now: float, wait: float) -> None:
        """Drop the attempt and plan another after ``wait``, when its upstream accepts the watch."""
        self.trying = None
        self.attempt_by(now + wait + self._random.uniform(0, self._settings.backoff_first))

    def _close(self, watch: WatchAttempt, reason: GoodbyeReason) -> None:
        if watch.open:
            self.send(watch, Goodbye(reason))
        self._effects.append(CloseUpstream(watch.attempt))

    def send(self, watch: WatchAttempt, message: FollowerMessage) -> None:
        """Send a message upstream."""
        frame = encode(message)
        self._counters.messages_sent += 1
        self._counters.bytes_sent += len(frame)
        self._effects.append(SendUpstream(watch.attempt, frame))
