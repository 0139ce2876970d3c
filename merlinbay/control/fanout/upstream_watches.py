"""The streams of a follower: the watch that it holds, the attempt at another one, and when to try next.

While a watch is held, a second stream may be opened to a better upstream, or to any if the data is old; the
first is closed only once the second is accepted and no staler.
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
        """Effects are appended to ``effects``."""
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
        for link in (self.current, self.trying):
            if link is not None:
                self._close(link, GoodbyeReason.STOPPING)
        self.current = self.trying = None
        self._attempt_at = math.inf

    def set_upstreams(
        self, member: str, location: Location, upstreams: Iterable[Upstream], now: float
    ) -> None:
        """Replace the list; a watch at an upstream that is no longer the best moves."""
        self._selector.set(member, location, upstreams)
        current = self.current
        if self._running and current is not None and self._selector.rank(current.upstream) > 0:
            self.attempt_by(now + self._random.uniform(0, self._settings.move_spread))

    def find(self, attempt: int) -> WatchAttempt | None:
        """Return the stream of an attempt, None if it was closed."""
        for link in (self.current, self.trying):
            if link is not None and link.attempt == attempt:
                return link
        return None

    # Time.

    def tick(self, now: float) -> None:
        """Abandon streams whose deadline has passed, and make the attempt that is due."""
        for link in (self.trying, self.current):
            if link is not None and now >= link.deadline:
                self.abandon(link, GoodbyeReason.SILENT, now)
        if now >= self._attempt_at:
            self._attempt_at = math.inf
            self._try(now)

    def next_deadline(self) -> float:
        """Return when ``tick`` is due; infinity if never."""
        deadlines = [link.deadline for link in (self.current, self.trying) if link is not None]
        return min([self._attempt_at, *deadlines])

    def attempt_by(self, moment: float) -> None:
        """Plan the next attempt for ``moment`` or earlier."""
        self._attempt_at = min(self._attempt_at, moment)

    # Attempts.

    def _try(self, now: float) -> None:
        if self.trying is not None or not self._running:
            return
        held = self.current.upstream if self.current is not None else None
        everyone = len(self._selector.ordered)
        below = everyone
        if self.current is not None and not self.current.stale:
            below = min(everyone, self._selector.rank(self.current.upstream))
        chosen = self._selector.choose(now, below, other_than=held)
        if chosen is None:
            self._plan(now)
            return
        self._last_attempt += 1
        self._counters.attempts += 1
        deadline = now + self._settings.connect_timeout
        self.trying = WatchAttempt(self._last_attempt, chosen, deadline, self._settings.snapshot_bytes)
        self._effects.append(ConnectUpstream(self._last_attempt, chosen))

    def _plan(self, now: float) -> None:
        """Plan the next attempt after one has failed."""
        if self.current is not None:
            self._plan_better(now)
            return
        wait = self._selector.backoff()
        self._attempt_at = max(now, self._selector.free_at(now)) + wait

    def _plan_better(self, now: float) -> None:
        """Plan a second stream if a better upstream is known, or the data is old."""
        link = self.current
        if link is not None and (link.stale or self._selector.rank(link.upstream) > 0):
            self._attempt_at = now + self._settings.prefer_again * self._random.uniform(1, 2)

    def accept(self, now: float) -> None:
        """Make the attempt the current watch, in place of the one before."""
        if self.current is not None:
            self._close(self.current, GoodbyeReason.MOVED)
            self._counters.moves += 1
        self.current, self.trying = self.trying, None
        self._attempt_at = math.inf
        self._selector.accepted()
        self._plan_better(now)

    def decline(self, link: WatchAttempt, now: float) -> None:
        """Close an attempt whose upstream is no better than the current one."""
        self._close(link, GoodbyeReason.STALE)
        self.trying = None
        self._plan_better(now)

    # Ends.

    def fail(self, link: WatchAttempt, now: float) -> None:
        """Plan what follows after a stream has ended that was not closed on purpose."""
        self._selector.failed(link.upstream)
        if link is self.trying:
            self.trying = None
            self._plan(now)
            return
        self._counters.lost += 1
        self.current = None
        self.attempt_by(now + self._random.uniform(0, self._settings.move_spread))

    def abandon(self, link: WatchAttempt, reason: GoodbyeReason, now: float) -> None:
        """Close a stream that cannot be used."""
        self._close(link, reason)
        self.fail(link, now)

    def block(self, link: WatchAttempt, until: float, hinted: Iterable[str]) -> None:
        """Do not try this upstream before ``until``; try the ``hinted`` ones first."""
        self._selector.busy(link.upstream, until, hinted)

    def closed_by_server(self, link: WatchAttempt) -> None:
        """Close the stream of an attempt whose upstream has said goodbye or rejected the watch."""
        self._effects.append(CloseUpstream(link.attempt))

    def retry(self, now: float, wait: float) -> None:
        """Drop the attempt and try again after ``wait``: its upstream accepts the watch then."""
        self.trying = None
        self.attempt_by(now + wait + self._random.uniform(0, self._settings.backoff_first))

    def _close(self, link: WatchAttempt, reason: GoodbyeReason) -> None:
        if link.open:
            self.send(link, Goodbye(reason))
        self._effects.append(CloseUpstream(link.attempt))

    def send(self, link: WatchAttempt, message: FollowerMessage) -> None:
        """Send a message upstream."""
        frame = encode(message)
        self._counters.messages_sent += 1
        self._counters.bytes_sent += len(frame)
        self._effects.append(SendUpstream(link.attempt, frame))
