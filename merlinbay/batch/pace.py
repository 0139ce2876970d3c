"""How fast a backlog is offered to the core: no faster than the core takes it, by class and by shape.

The core counts every offer as load, also those it refuses, and shuts its gates by that load. So a backlog
that offered all it has would shut them for the callers beside it. It begins with one offer, doubles what may
be undecided at a time while offers are taken, and after a refusal offers nothing more of that shape until
the moment that the refusal named; then it begins with one again.

A shape is what decides where jobs fit: class, slots, memory, machines. Jobs of other shapes may go on after
an eighth of that time. Were the whole class held back, one job that fits nowhere for now would keep it all
waiting; were nothing but the shape, many shapes would together offer without bounds. A shape that is refused
again and again while others of its class are taken is offered ever less often. Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

UNTOLD_US, UNTOLD_MOST_US = 100_000, 2_000_000  # where a refusal names no time: the first wait, doubling
MOST = 32  # undecided offers of a shape at a time
LEARN = 0.05  # weight of one run time
OTHERS = 8  # a refusal keeps other shapes back for one such part of its time
DOUBLINGS = 3  # of the time for which a shape stays back
SHAPES = 256  # beyond so many, those that rest are forgotten


@dataclass(slots=True)
class ShapePace:
    """One shape."""

    job_class: str
    window: int = 1  # offers that may be undecided,
    undecided: int = 0  # and those that are
    shut_until_us: int = 0
    untold_us: int = UNTOLD_US
    refusals: int = 0  # in a row, while others of the class were taken
    taken_then: int = 0  # the class's count of taken ones at the last of them


@dataclass(slots=True)
class ClassPace:
    """One class."""

    shut_until_us: int = 0
    taken: int = 0  # offers that were placed so far
    work: float = 1.0  # smoothed run time, seconds


class Pace:
    """The pace of every shape."""

    def __init__(self) -> None:
        self.shapes: dict[Hashable, ShapePace] = {}
        self.classes: dict[str, ClassPace] = {}

    def know(self, shape: Hashable, job_class: str, now_us: int) -> None:
        """Take it that there are jobs of a shape."""
        if shape in self.shapes:
            return
        if len(self.shapes) >= SHAPES:
            for old, pace in list(self.shapes.items()):
                if not pace.undecided and pace.shut_until_us <= now_us:
                    del self.shapes[old]
        self.shapes[shape] = ShapePace(job_class)
        self.classes.setdefault(job_class, ClassPace())

    def may(self, shape: Hashable, now_us: int) -> bool:
        """Tell whether a job of the shape may be offered now."""
        pace = self.shapes[shape]
        return pace.undecided < pace.window and self.opens_us(shape) <= now_us

    def opens_us(self, shape: Hashable) -> int:
        """Return until when the shape is shut."""
        pace = self.shapes[shape]
        return max(pace.shut_until_us, self.classes[pace.job_class].shut_until_us)

    def offered(self, shape: Hashable) -> None:
        """Count an offer."""
        self.shapes[shape].undecided += 1

    def settled(self, shape: Hashable) -> None:
        """Take it that an offer is not undecided any more."""
        self.shapes[shape].undecided -= 1

    def took(self, shape: Hashable) -> None:
        """Take it that an offer was placed."""
        pace = self.shapes[shape]
        self.settled(shape)
        self.classes[pace.job_class].taken += 1
        pace.window, pace.untold_us, pace.refusals = min(pace.window * 2, MOST), UNTOLD_US, 0

    def refused(self, shape: Hashable, job_class: str, retry_after_us: int, now_us: int) -> None:
        """Take it that a job came back."""
        self.know(shape, job_class, now_us)
        pace, whole = self.shapes[shape], self.classes[job_class]
        wait = retry_after_us or pace.untold_us
        if not retry_after_us:
            pace.untold_us = min(pace.untold_us * 2, UNTOLD_MOST_US)
        pace.refusals = min(pace.refusals + 1, DOUBLINGS) if whole.taken > pace.taken_then > 0 else 0
        pace.window, pace.taken_then = 1, max(whole.taken, 1)
        pace.shut_until_us = max(pace.shut_until_us, now_us + (wait << pace.refusals))
        whole.shut_until_us = max(whole.shut_until_us, now_us + wait // OTHERS)

    def learn(self, job_class: str, seconds: float) -> None:
        """Learn from one run time."""
        whole = self.classes[job_class]
        whole.work += (seconds - whole.work) * LEARN

    def work(self, job_class: str) -> float:
        """Return what one slot of a job of the class is expected to take, in seconds."""
        return max(self.classes[job_class].work, 0.001)
