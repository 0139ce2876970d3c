"""How many slots of one server are booked, moment by moment. No I/O. Times are any integers."""

from __future__ import annotations

from sortedcontainers import SortedDict


class Timeline:
    """A step function over time: from each key on, so many slots are booked."""

    def __init__(self) -> None:
        self.steps: SortedDict[int, int] = SortedDict()

    def at(self, moment: int) -> int:
        """Return what is booked at a moment."""
        place = self.steps.bisect_right(moment) - 1
        return int(self.steps.peekitem(place)[1]) if place >= 0 else 0

    def most(self, start: int, end: int) -> int:
        """Return the most that is booked at any moment of ``start <= moment < end``."""
        found = self.at(start)
        for moment in self.steps.irange(start, end, inclusive=(False, False)):
            found = max(found, self.steps[moment])
        return found

    def add(self, start: int, end: int, slots: int) -> None:
        """Book slots in a window, or (negative) give them back."""
        if start >= end or not slots:
            return
        for moment in (start, end):
            if moment not in self.steps:
                self.steps[moment] = self.at(moment)
        for moment in self.steps.irange(start, end, inclusive=(True, False)):
            self.steps[moment] += slots
        # Guards against steps that say nothing: a book of a year would keep every moment of it.
        for moment in (end, start):
            place = self.steps.index(moment)
            before = self.steps.peekitem(place - 1)[1] if place else 0
            if before == self.steps[moment]:
                del self.steps[moment]

    def ends(self, start: int, end: int) -> list[int]:
        """Return the moments of the window at which less is booked than before."""
        found, before = [], self.at(start)
        for moment in self.steps.irange(start, end, inclusive=(False, False)):
            if self.steps[moment] < before:
                found.append(moment)
            before = self.steps[moment]
        return found

    def forget(self, before: int) -> None:
        """Drop what is past."""
        booked = self.at(before)
        past = list(self.steps.irange(None, before, inclusive=(True, True)))
        for moment in past:
            del self.steps[moment]
        if booked:
            self.steps[before] = booked
