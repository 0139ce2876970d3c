"""How fast a backlog is offered to the core: no faster than the core takes it, by class and by shape.

The core counts every offer as load, also those it refuses, and shuts its gates by that load. So a backlog
that offered all it has would shut them for the callers beside it. It begins with one offer, doubles what may
be undecided at a time while offers are taken, and after a refusal offers nothing more of that shape until
the moment that the refusal named; then it begins with one again.

A shape is what decides where jobs fit: class, slots, memory, machines. Jobs of other shapes may go on after
an eighth of that time. Were the whole class held back, one job that fits nowhere for now would keep it all
waiting; were nothing but the shape, many shapes would together offer without bound. And while a class is
tried with one offer at a time, its shapes take turns, the one that was refused longest ago first: else those
that wait longest, and fit nowhere, would take every try. Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass

UNTOLD_US, UNTOLD_MOST_US = 100_000, 2_000_000  # where a refusal names no time: the first wait, doubling
MOST = 32  # undecided offers of a class at a time
LEARN = 0.05  # weight of one run time
OTHERS = 8  # a refusal keeps other shapes back for one such part of its time
SHAPES = 256  # beyond so many, those that rest are forgotten


@dataclass(slots=True)
class ShapePace:
    """One shape."""

    job_class: str
    shut_until_us: int = 0
    refused: int = 0  # when it was refused last, in the count of all refusals; 0: never


@dataclass(slots=True)
class ClassPace:
    """One class."""

    window: int = 1  # offers that may be undecided,
    undecided: int = 0  # and those that are
    shut_until_us: int = 0
    untold_us: int = UNTOLD_US
    work: float = 1.0  # smoothed run time, seconds


class Pacing:
    """The pace of every class and shape."""

    def __init__(self) -> None:
        self.shapes: dict[Hashable, ShapePace] = {}
        self.classes: dict[str, ClassPace] = {}
        self.refusals = 0

    def know(self, shape: Hashable, job_class: str, now_us: int) -> None:
        """Take it that there are jobs of a shape."""
        if shape in self.shapes:
            return
        if len(self.shapes) >= SHAPES:
            for old, pace in list(self.shapes.items()):
                if pace.shut_until_us <= now_us:
                    del self.shapes[old]
        self.shapes[shape] = ShapePace(job_class)
        self.classes.setdefault(job_class, ClassPace())

    def open(self, waiting: Iterable[Hashable], now_us: int) -> set[Hashable]:
        """Return the shapes, of those that wait, of which a job may be offered now."""
        found: set[Hashable] = set()
        tried: dict[str, Hashable] = {}  # by class that is tried: the shape whose turn it is
        for shape in waiting:
            pace = self.shapes[shape]
            whole = self.classes[pace.job_class]
            if whole.undecided >= whole.window or max(pace.shut_until_us, whole.shut_until_us) > now_us:
                continue
            if whole.window > 1:
                found.add(shape)
            elif (other := tried.get(pace.job_class)) is None or pace.refused < self.shapes[other].refused:
                tried[pace.job_class] = shape
        return found.union(tried.values())

    def opens_us(self, shape: Hashable) -> int:
        """Return until when the shape is shut."""
        pace = self.shapes[shape]
        return max(pace.shut_until_us, self.classes[pace.job_class].shut_until_us)

    def offered(self, job_class: str) -> None:
        """Count an offer."""
        self.classes[job_class].undecided += 1

    def settled(self, job_class: str) -> None:
        """Take it that an offer is not undecided any more."""
        self.classes[job_class].undecided -= 1

    def took(self, job_class: str) -> None:
        """Take it that an offer was placed."""
        self.settled(job_class)
        whole = self.classes[job_class]
        whole.window, whole.untold_us = min(whole.window * 2, MOST), UNTOLD_US

    def refused(self, shape: Hashable, job_class: str, retry_after_us: int, now_us: int) -> None:
        """Take it that a job came back."""
        self.know(shape, job_class, now_us)
        pace, whole = self.shapes[shape], self.classes[job_class]
        wait = retry_after_us or whole.untold_us
        if not retry_after_us:
            whole.untold_us = min(whole.untold_us * 2, UNTOLD_MOST_US)
        self.refusals += 1
        whole.window, pace.refused = 1, self.refusals
        pace.shut_until_us = max(pace.shut_until_us, now_us + wait)
        whole.shut_until_us = max(whole.shut_until_us, now_us + wait // OTHERS)

    def learn(self, job_class: str, seconds: float) -> None:
        """Learn from one run time."""
        whole = self.classes[job_class]
        whole.work += (seconds - whole.work) * LEARN

    def work(self, job_class: str) -> float:
        """Return what one slot of a job of the class is expected to take, in seconds."""
        return max(self.classes[job_class].work, 0.001)
