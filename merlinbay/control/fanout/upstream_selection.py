"""Chooses the upstream that a follower tries next, by nearness, recent failures and its servers' requests."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from merlinbay.control.fanout.settings import FollowerSettings
from merlinbay.control.fanout.topology import Location, Upstream, ordered_candidates


class UpstreamSelector:
    """The upstreams in order of preference, with their recent failures."""

    __slots__ = ("_blocked", "_failures", "_hinted", "_rng", "_settings", "ordered")

    def __init__(self, settings: FollowerSettings, rng: Random) -> None:
        self._settings, self._rng = settings, rng
        self.ordered: tuple[Upstream, ...] = ()
        self._failures: dict[str, int] = {}  # since the last watch that was accepted
        self._blocked: dict[str, float] = {}  # by name: the time before which its server wants no attempt
        self._hinted: frozenset[str] = frozenset()  # names that a server gave as alternatives

    def set(self, member: str, location: Location, upstreams: Iterable[Upstream]) -> None:
        """Replace the list of upstreams, and forget failures and blocks of those that are gone."""
        self.ordered = ordered_candidates(member, location, upstreams)
        names = {upstream.name for upstream in self.ordered}
        self._failures = {name: count for name, count in self._failures.items() if name in names}
        self._blocked = {name: until for name, until in self._blocked.items() if name in names}

    def rank(self, upstream: Upstream) -> int:
        """Return the place in the order, 0 for the best; an unlisted upstream ranks after all others."""
        return self.ordered.index(upstream) if upstream in self.ordered else len(self.ordered)

    def failed(self, upstream: Upstream) -> None:
        """Count a failure; upstreams that failed less often are tried first."""
        self._failures[upstream.name] = self._failures.get(upstream.name, 0) + 1

    def busy(self, upstream: Upstream, until: float, hinted: Iterable[str]) -> None:
        """Block the upstream until ``until``, and prefer the ``hinted`` ones that it named."""
        self._blocked[upstream.name] = until
        self._hinted = frozenset(hinted)

    def accepted(self) -> None:
        """Forget failures and hints, as a watch has been accepted."""
        self._failures.clear()
        self._hinted = frozenset()

    def backoff(self) -> float:
        """Return a random wait before the next attempt; its bound doubles once all have failed once more."""
        settings = self._settings
        rounds = min(self._failures.get(upstream.name, 0) for upstream in self.ordered) if self.ordered else 0
        longest = min(settings.backoff_most, 2 * settings.backoff_first * 2.0 ** min(rounds, 16))
        return longest * self._rng.uniform(0.25, 1.0)

    def choose(self, now: float, below: int, other_than: Upstream | None = None) -> Upstream | None:
        """Return the upstream to try among the first ``below``, None if there is none or all are blocked."""
        candidates = [
            upstream
            for upstream in self.ordered[:below]
            if upstream != other_than and self._blocked.get(upstream.name, now) <= now
        ]
        if not candidates:
            return None
        return min(candidates, key=self._preference)

    def free_at(self, now: float) -> float:
        """Return when the first blocked upstream may be tried."""
        return min((self._blocked.get(upstream.name, now) for upstream in self.ordered), default=now)

    def _preference(self, upstream: Upstream) -> tuple[int, bool]:
        return self._failures.get(upstream.name, 0), upstream.name not in self._hinted
