"""The order of what is missing or over its budget, by margin and by how many rows rest on it. No I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from merlinbay.capacity.needs import NeedRow
from merlinbay.capacity.plan import NO_MODULE, CapacityPlan, Mechanism


class Standing(Enum):
    """How a mechanism stands."""

    MISSING = "missing"
    OVER = "over budget"
    WITHIN = "within budget"
    NOT_KNOWN = "not known"


@dataclass(frozen=True)
class Rank:
    """One mechanism in the ranking."""

    mechanism: Mechanism
    module: str
    standing: Standing
    least: NeedRow | None  # the row with the least margin of those that it carries itself
    own_rows: int
    resting_rows: int  # with the rows of the mechanisms that cannot do without it

    @property
    def margin(self) -> float:
        """Return the least margin: 0 where the mechanism is missing, infinite where none is known."""
        if self.standing is Standing.MISSING:
            return 0.0
        margin = self.least.margin if self.least is not None else None
        return math.inf if margin is None else margin


def rank(plan: CapacityPlan, rows: Sequence[NeedRow], before: bool = False) -> list[Rank]:
    """Return all mechanisms in use, the least margin first, then the most rows; ``before``: at 9484f4e."""
    found = [
        _stand(plan, rows, one, before)
        for one in plan.roles.mechanism
        if plan.replacement(one, before) is None and _rows_of(plan, rows, one.name)
    ]
    return sorted(found, key=lambda one: (one.margin, -one.resting_rows, one.mechanism.name))


def _stand(plan: CapacityPlan, rows: Sequence[NeedRow], mechanism: Mechanism, before: bool) -> Rank:
    module = mechanism.at(before)
    own = [row for row in rows if row.need.mechanism == mechanism.name]
    known = [(row.margin, row) for row in own if row.margin is not None]
    least = min(known, key=lambda pair: pair[0])[1] if known else None
    if module == NO_MODULE:
        standing = Standing.MISSING
    elif least is None or least.margin is None:
        standing = Standing.NOT_KNOWN
    else:
        standing = Standing.OVER if least.margin < 1 else Standing.WITHIN
    resting = sum(_rows_of(plan, rows, name) for name in _resting(plan, mechanism.name))
    return Rank(mechanism, module, standing, least, _rows_of(plan, rows, mechanism.name), resting)


def _rows_of(plan: CapacityPlan, rows: Sequence[NeedRow], name: str) -> int:
    """Return how many rows of the page, of needs and of failures, name a mechanism."""
    failures = sum(one.mechanism == name for failure in plan.failures for one in failure.consequence)
    return sum(row.need.mechanism == name for row in rows) + failures


def _resting(plan: CapacityPlan, name: str) -> set[str]:
    """Return a mechanism and all that cannot do without it, directly or not."""
    found, grown = {name}, True
    while grown:
        more = {one.name for one in plan.roles.mechanism if found & set(one.needs)} - found
        found |= more
        grown = bool(more)
    return found
