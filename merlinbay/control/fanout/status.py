"""At how many followers a revision is in force, from summaries that are merged upwards."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from itertools import groupby

import msgspec

from merlinbay.control.fanout.messages import Laggard, RevisionCount, Summary


class ForceStatus(msgspec.Struct, frozen=True):
    """How many followers have ``revision`` in force, as last reported. Never too many, perhaps too few."""

    revision: int
    followers: int  # that hold a watch somewhere below
    in_force: int  # of these at ``revision`` or later
    oldest: int  # the oldest revision that one of them has; ``revision`` where there is none
    laggards: tuple[Laggard, ...]  # some of those that lack it, oldest first
    absent: tuple[Laggard, ...]  # some that have lost their watch a short time ago; not counted above
    expected: int = 0  # members by another source, such as the view of the fleet; 0: not known

    @property
    def lacking(self) -> int:
        """Return how many lack the revision, those that hold no watch among them."""
        return max(self.followers, self.expected) - self.in_force

    @property
    def everywhere(self) -> bool:
        """Return whether every follower that is known or expected has it."""
        return self.lacking == 0


def summarize(
    followers: Iterable[Laggard],
    current: int,
    max_counts: int,
    max_laggards: int,
    absent: Iterable[Laggard] = (),
) -> Summary:
    """Return the summary of followers by their last reported revision; laggards are below ``current``."""
    known = list(followers)
    return _bounded(
        ((one.revision, 1) for one in known),
        (one for one in known if one.revision < current),
        absent,
        max_counts,
        max_laggards,
    )


def merge(summaries: Iterable[Summary], max_counts: int, max_laggards: int) -> Summary:
    """Return one summary of several that count different followers."""
    known = list(summaries)
    return _bounded(
        ((count.revision, count.followers) for one in known for count in one.counts),
        (laggard for one in known for laggard in one.laggards),
        (laggard for one in known for laggard in one.absent),
        max_counts,
        max_laggards,
    )


def force_status(summary: Summary, revision: int, expected: int = 0) -> ForceStatus:
    """Read from the summary of everything how far ``revision`` is in force."""
    return ForceStatus(
        revision=revision,
        followers=sum(count.followers for count in summary.counts),
        in_force=sum(count.followers for count in summary.counts if count.revision >= revision),
        oldest=min((count.revision for count in summary.counts), default=revision),
        laggards=tuple(one for one in summary.laggards if one.revision < revision),
        absent=summary.absent,
        expected=expected,
    )


def _bounded(
    counts: Iterable[tuple[int, int]],
    laggards: Iterable[Laggard],
    absent: Iterable[Laggard],
    max_counts: int,
    max_laggards: int,
) -> Summary:
    by_revision: Counter[int] = Counter()
    for revision, followers in counts:
        by_revision[revision] += followers
    newest_first = sorted(by_revision.items(), reverse=True)
    kept, rest = newest_first[: max_counts - 1], newest_first[max_counts - 1 :]
    if rest:  # under the oldest revision of all: a follower is never counted for one that it lacks
        kept.append((rest[-1][0], sum(followers for _, followers in rest)))
    return Summary(
        tuple(RevisionCount(revision, followers) for revision, followers in kept),
        _oldest(laggards, max_laggards),
        _oldest(absent, max_laggards),
    )


def _oldest(named: Iterable[Laggard], most: int) -> tuple[Laggard, ...]:
    """Return the oldest; of one member that was named twice, the newest."""
    by_member = sorted(named, key=lambda one: (one.member, -one.revision))
    once = [next(same) for _, same in groupby(by_member, key=lambda one: one.member)]
    return tuple(sorted(once, key=lambda one: (one.revision, one.member))[:most])
