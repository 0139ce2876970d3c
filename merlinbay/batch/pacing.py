"""How fast a backlog is offered to the core: no faster than the core takes it, by class and by shape.

The core counts every offer as load, also those it refuses, and shuts its gates by that load. So a backlog
that offered all it has would shut them for the callers beside it. It begins with one offer, doubles what may
be undecided at a time while offers are taken, and after a refusal offers nothing more of that shape until
the moment that the refusal named; then it begins with one again.

A shape is what decides where jobs fit: class, slots, memory, machines, reservation. Jobs of other shapes may
go on after an eighth of that time. Were the whole class held back, one job that fits nowhere for now would
keep it all waiting; were nothing but the shape, many shapes would together offer without bound. And while a
class is tried with one offer at a time, its shapes take turns, the one that was refused longest ago first:
else those that wait longest, and fit nowhere, would take every try.

A shape has a record for as long as jobs of it wait, and beyond that until its backoff has ended. Only other
records may be forgotten, so the number of records grows with the shapes that wait. Times are microseconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable
from dataclasses import dataclass, field

# The backoff after a refusal that names no time: the first one, and the longest, to which it doubles.
MIN_BACKOFF_US, MAX_BACKOFF_US = 100_000, 2_000_000
MAX_WINDOW = 32  # undecided offers of a class at a time
RUN_TIME_WEIGHT = 0.05  # weight of one run time in the smoothed one
CLASS_BACKOFF_SHARE = 8  # a refusal keeps the other shapes of its class back for one such part of its time
MIN_RUN_TIME_S = 0.001  # so that a job which takes no time still counts as work


@dataclass(slots=True)
class ShapePace:
    """The pace of one shape."""

    backoff_until_us: int = 0
    refused_as: int = 0  # number of its last refusal, in the count of all refusals; 0: never refused


@dataclass(slots=True)
class ClassPace:
    """The pace of one class."""

    window: int = 1  # number of offers that may be undecided
    undecided: int = 0  # number of offers that are undecided
    backoff_until_us: int = 0
    next_backoff_us: int = MIN_BACKOFF_US  # for the next refusal that names no time
    run_time_s: float = 1.0  # smoothed run time
    waiting: Counter[Hashable] = field(default_factory=Counter)  # jobs in the lanes, by shape; never 0

    def may_offer(self, now_us: int) -> bool:
        """Return whether a job of the class may be offered now, if its shape may."""
        return self.undecided < self.window and self.backoff_until_us <= now_us


class Pacing:
    """The pace of every class and shape, and the number of jobs that wait of each."""

    def __init__(self, records: int) -> None:
        self.records = records  # beyond so many, those that are not needed are forgotten
        self.shapes: dict[Hashable, ShapePace] = {}
        self.classes: dict[str, ClassPace] = {}
        self.refusals = 0
        self._forget_at = records  # number of records at which those that are not needed are looked for

    # The jobs that wait.

    def add_waiting(self, shape: Hashable, job_class: str, now_us: int) -> None:
        """Count a job that waits."""
        self._record(shape, now_us)
        self.classes.setdefault(job_class, ClassPace()).waiting[shape] += 1

    def remove_waiting(self, shape: Hashable, job_class: str) -> None:
        """Count a job that waits no more."""
        waiting = self.classes[job_class].waiting
        waiting[shape] -= 1
        if not waiting[shape]:
            del waiting[shape]

    def jobs_waiting(self, job_class: str) -> int:
        """Return how many jobs of a class wait."""
        class_pace = self.classes.get(job_class)
        return 0 if class_pace is None else class_pace.waiting.total()

    def _record(self, shape: Hashable, now_us: int) -> ShapePace:
        """Return the record of a shape, made now if there is none."""
        pace = self.shapes.get(shape)
        if pace is None:
            if len(self.shapes) >= self._forget_at:
                self._forget_unneeded(now_us)
            pace = self.shapes[shape] = ShapePace()
        return pace

    def _forget_unneeded(self, now_us: int) -> None:
        """Forget the shapes of which no job waits and whose backoff has ended."""
        needed = {shape for class_pace in self.classes.values() for shape in class_pace.waiting}
        self.shapes = {
            shape: pace
            for shape, pace in self.shapes.items()
            if shape in needed or pace.backoff_until_us > now_us
        }
        # Looks again after the number has doubled, so that a new shape costs the same however many wait.
        self._forget_at = max(self.records, 2 * len(self.shapes))

    # What may be offered.

    def offerable_shapes(self, now_us: int) -> set[Hashable]:
        """Return the shapes of which a job waits and may be offered now."""
        offerable: set[Hashable] = set()
        for class_pace in self.classes.values():
            if not class_pace.may_offer(now_us):
                continue
            ready = [shape for shape in class_pace.waiting if self.shapes[shape].backoff_until_us <= now_us]
            if class_pace.window > 1:
                offerable.update(ready)
            elif ready:
                offerable.add(min(ready, key=lambda shape: self.shapes[shape].refused_as))
        return offerable

    def next_look_us(self, now_us: int) -> int:
        """Return when a backoff ends for which jobs wait; 0: there is none.

        A class whose undecided offers leave no room is left out: the next decision has it looked at.
        """
        ends_us: list[int] = []
        for class_pace in self.classes.values():
            if not class_pace.waiting or class_pace.undecided >= class_pace.window:
                continue
            if class_pace.backoff_until_us > now_us:  # Until then its shapes need not be looked at.
                ends_us.append(class_pace.backoff_until_us)
                continue
            ends_us += [self.shapes[shape].backoff_until_us for shape in class_pace.waiting]
        return min((end_us for end_us in ends_us if end_us > now_us), default=0)

    # What becomes of offers.

    def record_offer(self, job_class: str) -> None:
        """Count an offer, which is undecided."""
        self.classes[job_class].undecided += 1

    def record_decision(self, job_class: str) -> None:
        """Count an offer that is not undecided any more."""
        self.classes[job_class].undecided -= 1

    def record_placement(self, job_class: str) -> None:
        """Record that an offer was placed."""
        self.record_decision(job_class)
        class_pace = self.classes[job_class]
        class_pace.window = min(class_pace.window * 2, MAX_WINDOW)
        class_pace.next_backoff_us = MIN_BACKOFF_US

    def record_refusal(self, shape: Hashable, job_class: str, retry_after_us: int, now_us: int) -> None:
        """Record that a job came back; ``retry_after_us`` is 0 where the refusal names no time."""
        pace, class_pace = self._record(shape, now_us), self.classes[job_class]
        backoff_us = retry_after_us or class_pace.next_backoff_us
        if not retry_after_us:
            class_pace.next_backoff_us = min(class_pace.next_backoff_us * 2, MAX_BACKOFF_US)
        self.refusals += 1
        class_pace.window, pace.refused_as = 1, self.refusals
        pace.backoff_until_us = max(pace.backoff_until_us, now_us + backoff_us)
        class_backoff_us = backoff_us // CLASS_BACKOFF_SHARE
        class_pace.backoff_until_us = max(class_pace.backoff_until_us, now_us + class_backoff_us)

    # Run times.

    def learn_run_time(self, job_class: str, seconds: float) -> None:
        """Learn from one run time."""
        class_pace = self.classes[job_class]
        class_pace.run_time_s += (seconds - class_pace.run_time_s) * RUN_TIME_WEIGHT

    def expected_run_time_s(self, job_class: str) -> float:
        """Return how long a job of the class is expected to run."""
        return max(self.classes[job_class].run_time_s, MIN_RUN_TIME_S)
