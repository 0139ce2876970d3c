"""Whose turn it is: start-time fair queueing over a tree, and ageing within each account.

The tree has sessions below the root and accounts below each session. A node carries the work that it was
served, divided by its share; the one that was served least comes next. One that comes back after a pause
starts where the others are, so that idling saves nothing up (Goyal, Vin, Cheng: Start-time Fair Queueing,
1996). Nothing here reads a clock.

Within an account, jobs are in order of the moment at which they became due, less a head start for each
step of priority. Both grow with time alike, so the order of two jobs never changes: a job of low priority
is passed by those that come within the head start, and by no other. That is what keeps it from starving.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Protocol

from sortedcontainers import SortedList


class QueuedJob(Protocol):
    """What waits in an account's lane. None of it changes while it waits."""

    rank: int  # the moment it became due, less its head start; microseconds
    order: int  # its own number: of two with the same rank, the lower one goes first

    @property
    def shape(self) -> Hashable:
        """Return what decides where it fits."""


May = Callable[[Hashable], bool]  # whether jobs of a shape may go now


class FairShareNode:
    """A place in the tree."""

    def __init__(self, parent: FairShareBranch | None, weight: float = 1.0) -> None:
        self.parent, self.weight = parent, weight
        self.tag = 0.0  # work served, divided by the weight
        self.turn = 0  # when it was served last, by its parent's count: of two alike, longer ago first
        self.number = 0  # its own among its parent's children
        self.waiting = 0  # jobs that wait here and below
        if parent is not None:
            parent.children += 1
            self.number = parent.children

    def first(self, may: May) -> tuple[AccountQueue, QueuedJob] | None:
        """Return what comes next of the shapes that may go; None if there is nothing."""
        raise NotImplementedError

    def count(self, change: int) -> None:
        """Count what waits, here and all the way up; nodes where something does have a place above."""
        parent, was = self.parent, self.waiting
        self.waiting += change
        if parent is None:
            return
        if not was and self.waiting:
            self.tag = max(self.tag, parent.served)
            parent.places.add((self.tag, self.turn, self.number, self))
        elif was and not self.waiting:
            parent.places.remove((self.tag, self.turn, self.number, self))
        parent.count(change)

    def charge(self, work: float) -> None:
        """Registry work, here and all the way up. Negative work gives back what was booked too high."""
        parent = self.parent
        if parent is None:
            return
        if self.waiting:
            parent.places.remove((self.tag, self.turn, self.number, self))
        if work > 0:
            parent.served = max(parent.served, self.tag)
            parent.turns += 1
            self.turn = parent.turns
        # Guards against one that gets back more than the others have had: it would pass those that wait.
        self.tag = max(self.tag + work / self.weight, min(self.tag, parent.served))
        if self.waiting:
            parent.places.add((self.tag, self.turn, self.number, self))
        parent.charge(work)


class FairShareBranch(FairShareNode):
    """A node whose children take turns."""

    def __init__(self, parent: FairShareBranch | None = None, weight: float = 1.0) -> None:
        super().__init__(parent, weight)
        self.children = 0  # made so far
        self.turns = 0  # of all children
        self.places: SortedList[tuple[float, int, int, FairShareNode]] = SortedList()  # where something waits
        self.served = 0.0  # the highest tag at which a child was served

    def first(self, may: May) -> tuple[AccountQueue, QueuedJob] | None:
        """Return what the child that was served least would give."""
        for *_, child in self.places:
            if (found := child.first(may)) is not None:
                return found
        return None


class AccountQueue(FairShareNode):
    """The jobs of one account, by shape."""

    def __init__(self, parent: FairShareBranch, weight: float = 1.0) -> None:
        super().__init__(parent, weight)
        self.queues: dict[Hashable, SortedList[tuple[int, int, QueuedJob]]] = {}

    def add(self, entry: QueuedJob) -> None:
        """Let a job wait."""
        self.queues.setdefault(entry.shape, SortedList()).add((entry.rank, entry.order, entry))
        self.count(1)

    def remove(self, entry: QueuedJob) -> None:
        """Let it wait no more: it goes on, is held or has ended."""
        queue = self.queues[entry.shape]
        queue.remove((entry.rank, entry.order, entry))
        if not queue:
            del self.queues[entry.shape]
        self.count(-1)

    def first(self, may: May) -> tuple[AccountQueue, QueuedJob] | None:
        """Return the job that has been due longest, of the shapes that may go."""
        heads = [queue[0] for shape, queue in self.queues.items() if may(shape)]
        return (self, min(heads)[2]) if heads else None
