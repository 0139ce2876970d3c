"""A relay: follows an upstream and serves watches downstream, with the recent changes kept between the two.

A host calls ``Relay`` for each event of a stream and for each due tick, and carries out its effects. While
its upstream is lost, a relay goes on serving the state that it has, and reports how stale it is.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

from merlinbay.control.entries import Delta, StateSnapshot
from merlinbay.control.fanout.changes import RecentChanges
from merlinbay.control.fanout.effects import RelayEffect, StateAdvanced
from merlinbay.control.fanout.follower import Follower
from merlinbay.control.fanout.messages import NO_GENERATION, Generation, WatcherRole
from merlinbay.control.fanout.settings import RelaySettings
from merlinbay.control.fanout.topology import Location, Upstream
from merlinbay.control.fanout.watch_server import WatchServer


class InvalidTierError(ValueError):
    """An upstream of a relay is not of a lower tier, so relays could follow each other in a ring."""


class RelayStore:
    """Serves the state of a relay's follower, and makes deltas from the recent changes that it keeps."""

    def __init__(self, follower: Follower, settings: RelaySettings) -> None:
        self._follower = follower
        self._changes = RecentChanges(settings.cached_changes, settings.cached_bytes, follower.revision)

    @property
    def revision(self) -> int:
        """Return the revision of the state."""
        return self._follower.revision

    def delta_after(self, revision: int) -> Delta | None:
        """Return the changes after ``revision``; None if they are not kept or it lies in the future."""
        return self._changes.after(revision)

    def snapshot(self) -> StateSnapshot:
        """Return the whole state."""
        return self._follower.snapshot()

    def advanced(self, effect: StateAdvanced) -> None:
        """Record a change that the follower has applied."""
        if effect.replaced:
            self._changes.restart(effect.revision)
        else:
            self._changes.add(effect.changed, effect.revision)


class Relay:
    """Follows an upstream and serves its state. Methods for upstream streams begin with ``upstream_``."""

    def __init__(
        self,
        member: str,
        location: Location,
        upstreams: Iterable[Upstream],
        settings: RelaySettings,
        rng: Random,
        now: float,
        *,
        tier: int = 1,
        others: Iterable[str] = (),
        generation: Generation = NO_GENERATION,
        saved: StateSnapshot | None = None,
    ) -> None:
        """Follow ``upstreams``, all of a lower tier, so that no relay follows itself through others."""
        self.settings, self.tier = settings, tier
        self.follower = Follower(
            member,
            location,
            self._check_tiers(upstreams),
            settings.follower,
            rng,
            role=WatcherRole.RELAY,
            generation=generation,
            saved=saved,
        )
        self.store = RelayStore(self.follower, settings)
        generation = self.follower.generation
        self.server = WatchServer(self.store, generation, settings.server, rng, now, others)
        self._effects: list[RelayEffect] = []
        self._reports_sent = 0  # the server's count of changed reports at the last summary
        self._summary_at = math.inf
        self._summary_sent_at = -math.inf

    def start(self, now: float) -> None:
        """Plan the first attempt to watch an upstream; watches are accepted once the state is there."""
        self.follower.start(now)
        self._exchange_effects(now)

    def drain(self, now: float) -> None:
        """Direct all watches to other upstreams and end the relay's own watch."""
        self.server.drain(now)
        self.follower.stop(now)
        self._exchange_effects(now)

    def set_upstreams(self, upstreams: Iterable[Upstream], now: float) -> None:
        """Replace the list of upstreams."""
        self.follower.set_upstreams(self._check_tiers(upstreams), now)
        self._exchange_effects(now)

    # Upstream.

    def upstream_connected(self, attempt: int, now: float) -> None:
        """Handle the opening of an attempt's stream."""
        self.follower.upstream_connected(attempt, now)
        self._exchange_effects(now)

    def upstream_received(self, attempt: int, frame: bytes, now: float) -> None:
        """Process a frame from upstream."""
        self.follower.upstream_received(attempt, frame, now)
        self._exchange_effects(now)

    def upstream_closed(self, attempt: int, now: float) -> None:
        """Record that the stream of an attempt has ended or could not be opened."""
        self.follower.upstream_closed(attempt, now)
        self._exchange_effects(now)

    # Downstream.

    def opened(self, connection: int, now: float) -> None:
        """Register a new downstream stream."""
        self.server.opened(connection, now)
        self._exchange_effects(now)

    def received(self, connection: int, frame: bytes, now: float) -> None:
        """Process a frame from downstream."""
        self.server.received(connection, frame, now)
        self._exchange_effects(now)

    def written(self, connection: int, size: int, now: float) -> None:
        """Record that a frame of ``size`` bytes was written."""
        self.server.written(connection, size, now)
        self._exchange_effects(now)

    def closed(self, connection: int, now: float) -> None:
        """Record that a downstream stream has ended."""
        self.server.closed(connection, now)
        self._exchange_effects(now)

    # Time.

    def tick(self, now: float) -> None:
        """Run the timeouts, attempts and reports that are due."""
        if now >= self._summary_at:
            self._summarize(now)
        self.follower.tick(now)
        self._exchange_effects(now)
        self.server.tick(now)
        self._exchange_effects(now)

    def next_deadline(self) -> float:
        """Return when ``tick`` is due; infinity if never."""
        return min(self.follower.next_deadline(), self.server.next_deadline(), self._summary_at)

    def take_effects(self) -> list[RelayEffect]:
        """Return the effects since the last call."""
        effects, self._effects = self._effects, []
        return effects

    def _exchange_effects(self, now: float) -> None:
        """Apply the follower's changes to the server, and collect the effects of both."""
        for effect in self.follower.take_effects():
            if isinstance(effect, StateAdvanced):
                self._advanced(effect, now)
            self._effects.append(effect)
        self._confirm(now)
        self._effects += self.server.take_effects()
        if self.server.reports != self._reports_sent:
            self._summary_at = min(self._summary_at, max(now, self._summary_sent_at + self.settings.summary))

    def _advanced(self, effect: StateAdvanced, now: float) -> None:
        self.store.advanced(effect)
        if self.server.generation != self.follower.generation:
            self.server.reset(self.follower.generation, now)
        self.server.advanced(now)

    def _confirm(self, now: float) -> None:
        """Give the server the state's staleness; an empty state of a known generation is served as well."""
        has_data = self.follower.staleness(now) < math.inf
        if has_data and self.server.generation == NO_GENERATION:
            self.server.reset(self.follower.generation, now)
        self.server.confirm(now, self.follower.staleness(now))

    def _summarize(self, now: float) -> None:
        self._summary_at = math.inf
        self._summary_sent_at = now
        self._reports_sent = self.server.reports
        self.follower.summary = self.server.summary(now)
        self.follower.report_now(now)

    def _check_tiers(self, upstreams: Iterable[Upstream]) -> list[Upstream]:
        listed = list(upstreams)
        for upstream in listed:
            if upstream.tier >= self.tier:
                raise InvalidTierError(
                    f"upstream {upstream.name} has tier {upstream.tier}, expected a tier below {self.tier}"
                )
        return listed
