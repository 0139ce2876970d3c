"""Counts the followers at which a revision is in force, from summaries that relays merge and send up."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from itertools import groupby

import msgspec

from merlinbay.control.fanout.messages import Laggard, RevisionCount, Summary


class ForceStatus(msgspec.Struct, frozen=True):
    """How many followers last reported ``revision`` as in force; may be too low, but is never too high."""

    revision: int
    followers: int  # followers that hold a watch at this server or at a relay below it
    in_force: int  # followers of these that are at ``revision`` or later
    oldest: int  # the oldest revision of any of these followers; ``revision`` if there is none
    laggards: tuple[Laggard, ...]  # some of the followers that lack ``revision``, oldest first
    absent: tuple[Laggard, ...]  # some members whose watch was lost recently; not counted in ``followers``
    expected: int = 0  # number of members by another source, such as the view of the fleet; 0 if not known

    @property
    def lacking(self) -> int:
        """Return how many followers lack the revision, including expected ones that hold no watch."""
        return max(self.followers, self.expected) - self.in_force

    @property
    def everywhere(self) -> bool:
        """Return whether every known or expected follower has the revision."""
        return self.lacking == 0


def summarize(
    followers: Iterable[Laggard],
    current: int,
    max_counts: int,
    max_laggards: int,
    absent: Iterable[Laggard] = (),
) -> Summary:
    """Return the summary of followers by their last reported revision; laggards are below ``current``."""
    reports = list(followers)
    return _bounded(
        ((report.revision, 1) for report in reports),
        (report for report in reports if report.revision < current),
        absent,
        max_counts,
        max_laggards,
    )


def merge(summaries: Iterable[Summary], max_counts: int, max_laggards: int) -> Summary:
    """Return the sum of several summaries that count different followers."""
    parts = list(summaries)
    return _bounded(
        ((count.revision, count.followers) for summary in parts for count in summary.counts),
        (laggard for summary in parts for laggard in summary.laggards),
        (laggard for summary in parts for laggard in summary.absent),
        max_counts,
        max_laggards,
    )


def force_status(summary: Summary, revision: int, expected: int = 0) -> ForceStatus:
    """Return from a summary how many followers have ``revision`` in force."""
    return ForceStatus(
        revision=revision,
        followers=sum(count.followers for count in summary.counts),
        in_force=sum(count.followers for count in summary.counts if count.revision >= revision),
        oldest=min((count.revision for count in summary.counts), default=revision),
        laggards=tuple(laggard for laggard in summary.laggards if laggard.revision < revision),
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
    if rest:  # counted under the oldest revision, so that no follower is counted for one that it lacks
        kept.append((rest[-1][0], sum(followers for _, followers in rest)))
    return Summary(
        tuple(RevisionCount(revision, followers) for revision, followers in kept),
        _oldest(laggards, max_laggards),
        _oldest(absent, max_laggards),
    )


def _oldest(laggards: Iterable[Laggard], max_laggards: int) -> tuple[Laggard, ...]:
    """Return the laggards with the oldest revisions; of a member listed twice, its newest revision counts."""
    by_member = sorted(laggards, key=lambda laggard: (laggard.member, -laggard.revision))
    newest_reports = [next(group) for _, group in groupby(by_member, key=lambda laggard: laggard.member)]
    return tuple(
        sorted(newest_reports, key=lambda laggard: (laggard.revision, laggard.member))[:max_laggards]
    )
