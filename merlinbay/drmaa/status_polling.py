"""When a scheduler is asked for a job's state, because it has told nothing for a while. No I/O.

Notifications may be lost, and a scheduler may restart and know no job any more. Without asking, such a job
would end at its deadline. So a job that nothing was heard of is asked after: first after ``first_us``, then
after twice as long each time, but always at a quarter of the time that is left to its deadline, so that a
job of a few seconds is found out well before it. So many questions a second go out at the most, longest
unheard first. Times are microseconds.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PollingLimits:
    """How eagerly schedulers are asked."""

    first_us: int = 1_000_000
    most_us: int = 30_000_000  # the longest time between two questions about one job
    least_us: int = 100_000
    at_once: int = 16  # questions that may be unanswered
    unseen_after: int = 2  # questions in a row without an answer: the job's state is undetermined,
    gone_after_us: int = 60_000_000  # and after so long without one, it may have run and is given up


@dataclass(slots=True, eq=False)
class PolledJob:
    """One job at a scheduler."""

    deadline_us: int
    last_answer_at_us: int
    wait_us: int
    due_us: int = 0
    misses: int = 0
    asking: bool = False
    hasty: bool = False  # it is to be asked though it was heard of
    unseen: bool = False


class StatusPolling:
    """Which job is asked after next."""

    def __init__(self, limits: PollingLimits) -> None:
        self.limits = limits
        self.jobs: dict[Hashable, PolledJob] = {}
        # A heap, from which nothing is taken before it is due: a question is at most ``most_us`` away, and
        # most jobs have ended by then. What is out of date is dropped when it comes up.
        self.due: list[tuple[int, int, Hashable, PolledJob]] = []
        self.count = self.out = 0

    def watch(self, key: Hashable, deadline_us: int, now_us: int) -> None:
        """Begin: a scheduler has taken the job."""
        asked = self.jobs[key] = PolledJob(deadline_us, now_us, self.limits.first_us)
        self._plan(key, asked, now_us)

    def forget(self, key: Hashable) -> None:
        """End: the job is over."""
        asked = self.jobs.pop(key, None)
        if asked is not None:
            self.out -= asked.asking

    def heard(self, key: Hashable, now_us: int) -> bool:
        """Take it that the scheduler told of the job; tell whether it had been out of sight."""
        asked = self.jobs.get(key)
        if asked is None:
            return False
        was, asked.unseen = asked.unseen, False
        asked.last_answer_at_us, asked.misses = now_us, 0  # ``take`` looks at it when the question comes up
        return was

    def hasten(self, key: Hashable, now_us: int) -> None:
        """IncomingCall soon: its scheduler has restarted, or left the list."""
        asked = self.jobs.get(key)
        if asked is not None and not asked.asking:
            asked.hasty = True
            self._put(key, asked, now_us)

    def next_us(self) -> int | None:
        """Return when the next question is due; None: no question, or too many are unanswered."""
        if not self.due or self.out >= self.limits.at_once:
            return None
        return self.due[0][0]

    def take(self, now_us: int) -> list[Hashable]:
        """Return the jobs to ask after now."""
        taken: list[Hashable] = []
        while self.due and self.due[0][0] <= now_us and self.out < self.limits.at_once:
            due_us, _, key, asked = heapq.heappop(self.due)
            if self.jobs.get(key) is not asked or asked.due_us != due_us or asked.asking:
                continue
            if asked.last_answer_at_us + asked.wait_us > now_us and not asked.hasty:
                self._plan(key, asked, asked.last_answer_at_us)
                continue
            asked.asking, asked.hasty = True, False
            self.out += 1
            taken.append(key)
        return taken

    def answered(self, key: Hashable, now_us: int) -> bool:
        """Take an answer that leaves the job where it is; tell whether it had been out of sight."""
        asked = self.jobs.get(key)
        if asked is None:
            return False
        self._settle(asked)
        asked.wait_us = min(asked.wait_us * 2, self.limits.most_us)
        was = self.heard(key, now_us)
        self._plan(key, asked, now_us)
        return was

    def missed(self, key: Hashable, now_us: int) -> str:
        """Take it that no answer came; return "", "unseen" (for the first time) or "gone"."""
        asked = self.jobs.get(key)
        if asked is None:
            return ""
        self._settle(asked)
        asked.misses += 1
        if now_us - asked.last_answer_at_us >= self.limits.gone_after_us:
            return "gone"
        self._plan(key, asked, now_us)
        if asked.misses >= self.limits.unseen_after and not asked.unseen:
            asked.unseen = True
            return "unseen"
        return ""

    def _settle(self, asked: PolledJob) -> None:
        self.out -= asked.asking
        asked.asking = False

    def _plan(self, key: Hashable, asked: PolledJob, now_us: int) -> None:
        left = max(asked.deadline_us - now_us, 0) // 4
        asked.wait_us = max(min(asked.wait_us, self.limits.most_us, left), self.limits.least_us)
        self._put(key, asked, now_us + asked.wait_us)

    def _put(self, key: Hashable, asked: PolledJob, due_us: int) -> None:
        self.count += 1
        asked.due_us = due_us
        heapq.heappush(self.due, (due_us, self.count, key, asked))
