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

from collections import Counter
from collections.abc import Hashable
from dataclasses import dataclass, field

UNTOLD_US, UNTOLD_MOST_US = 100_000, 2_000_000  # where a refusal names no time: the first wait, doubling
MOST = 32  # undecided offers of a class at a time
LEARN = 0.05  # weight of one run time
OTHERS = 8  # a refusal keeps other shapes back for one such part of its time


@dataclass(slots=True)
class ShapePace:
    """One shape."""

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
    waiting: Counter[Hashable] = field(default_factory=Counter)  # jobs in the lanes, by shape; never 0


class Pacing:
    """The pace of every class and shape."""

    def __init__(self, records: int) -> None:
        self.records = records  # beyond so many, those that are not needed are forgotten
        self.shapes: dict[Hashable, ShapePace] = {}
        self.classes: dict[str, ClassPace] = {}
        self.refusals = 0
        self._forget_at = records  # number of records at which those that are not needed are looked for

    def queued(self, shape: Hashable, job_class: str, now_us: int) -> None:
        """Count a job that waits."""
        self._record(shape, now_us)
        self.classes.setdefault(job_class, ClassPace()).waiting[shape] += 1

    def unqueued(self, shape: Hashable, job_class: str) -> None:
        """Count a job that waits no more."""
        waiting = self.classes[job_class].waiting
        waiting[shape] -= 1
        if not waiting[shape]:
            del waiting[shape]

    def jobs_waiting(self, job_class: str) -> int:
        """Return how many jobs of a class wait."""
        whole = self.classes.get(job_class)
        return 0 if whole is None else whole.waiting.total()

    def _record(self, shape: Hashable, now_us: int) -> ShapePace:
        """Return the record of a shape, made now if there is none."""
        pace = self.shapes.get(shape)
        if pace is None:
            if len(self.shapes) >= self._forget_at:
                self._forget_unneeded(now_us)
            pace = self.shapes[shape] = ShapePace()
        return pace

    def _forget_unneeded(self, now_us: int) -> None:
        """Forget the shapes of which no job waits and that are not shut."""
        needed = {shape for whole in self.classes.values() for shape in whole.waiting}
        self.shapes = {
            shape: pace
            for shape, pace in self.shapes.items()
            if shape in needed or pace.shut_until_us > now_us
        }
        # Looks again after the number has doubled, so that a new shape costs the same however many wait.
        self._forget_at = max(self.records, 2 * len(self.shapes))

    def open(self, now_us: int) -> set[Hashable]:
        """Return the shapes of which a job waits and may be offered now."""
        found: set[Hashable] = set()
        for whole in self.classes.values():
            if whole.undecided >= whole.window or whole.shut_until_us > now_us:
                continue
            ready = [shape for shape in whole.waiting if self.shapes[shape].shut_until_us <= now_us]
            if whole.window > 1:
                found.update(ready)
            elif ready:
                found.add(min(ready, key=lambda shape: self.shapes[shape].refused))
        return found

    def opens_us(self, now_us: int) -> int:
        """Return when to look again for what is shut now; 0: nothing that waits is shut.

        A class whose undecided offers leave no room is left out: the next decision has it looked at.
        """
        soonest_us = 0
        for whole in self.classes.values():
            if not whole.waiting or whole.undecided >= whole.window:
                continue
            shut = [whole.shut_until_us]  # While the class is shut, its shapes need not be looked at.
            if whole.shut_until_us <= now_us:
                shut = [self.shapes[shape].shut_until_us for shape in whole.waiting]
            at_us = min((until for until in shut if until > now_us), default=0)
            soonest_us = min(soonest_us or at_us, at_us or soonest_us)
        return soonest_us

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
        pace, whole = self._record(shape, now_us), self.classes[job_class]
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
