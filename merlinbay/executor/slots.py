"""What an executor has: jobs in order of their coming, a number of slots, and the states. No I/O.

A job that does not fit waits, and those behind it with it, so that a wide one gets its turn. So many wait
at the most: beyond that, runJob raises TryLaterException and nothing is kept.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from merlinbay.batch.errors import DrmaaError, invalid_argument, invalid_state, try_later
from merlinbay.batch.states import InvalidStateError, JobState, JobTransition, after
from merlinbay.drmaa.schema import JobInfo, JobTemplate

RETRY_US = 200_000


@dataclass(slots=True, eq=False)
class ExecutorJob:
    """A job of this executor."""

    id: str
    template: JobTemplate
    session: str
    notify: str
    info: JobInfo
    state: JobState = JobState.QUEUED
    ending: bool = False  # terminate has been called

    @property
    def slots(self) -> int:
        """Return how many slots it takes."""
        return self.template.minSlots or 1


@dataclass(slots=True)
class Slots:
    """The jobs and the slots of one executor."""

    slots: int
    queue_most: int = 8
    kept_most: int = 1000
    free: int = 0
    jobs: dict[str, ExecutorJob] = field(default_factory=dict)
    queue: deque[ExecutorJob] = field(default_factory=deque)
    kept: deque[ExecutorJob] = field(default_factory=deque)
    count: int = 0

    def __post_init__(self) -> None:
        self.free = self.slots

    def add(self, template: JobTemplate, session: str, notify: str) -> ExecutorJob:
        """Take a job into the queue. Raises ``DrmaaError`` where there is no room, or never will be."""
        if (template.minSlots or 1) > self.slots:
            raise DrmaaError("OutOfResourceException", f"{self.slots} slots in all")
        if len(self.queue) >= self.queue_most:
            raise try_later(f"{self.queue_most} jobs wait", RETRY_US)
        self.count += 1
        job = ExecutorJob(str(self.count), template, session, notify, JobInfo(str(self.count), "QUEUED"))
        self.jobs[job.id] = job
        self.queue.append(job)
        return job

    def job(self, job_id: str) -> ExecutorJob:
        """Return a job. Raises ``DrmaaError``."""
        job = self.jobs.get(job_id)
        if job is None:
            raise invalid_argument(f"no job {job_id!r}", missing=True)
        return job

    def startable(self) -> list[ExecutorJob]:
        """Take what can start now out of the queue, and give it its slots."""
        started = []
        while self.queue and self.queue[0].slots <= self.free:
            job = self.queue.popleft()
            self.free -= job.slots
            job.state = after(job.state, JobTransition.START)
            started.append(job)
        return started

    def recall(self, job: ExecutorJob) -> None:
        """Give a job back that has not started. Raises ``DrmaaError``."""
        if job.state is not JobState.QUEUED:
            raise invalid_state(f"the job is {job.state.value}")
        self.queue.remove(job)
        self.end(job, JobTransition.FAIL)

    def move(self, job: ExecutorJob, event: JobTransition) -> None:
        """Suspend or resume. Raises ``DrmaaError``."""
        try:
            job.state = after(job.state, event)
        except InvalidStateError as error:
            raise invalid_state(str(error)) from None

    def end(self, job: ExecutorJob, event: JobTransition) -> None:
        """Reach a job's final state, and free its slots if it had some."""
        if job.state in (JobState.RUNNING, JobState.SUSPENDED):
            self.free += job.slots
        job.state = after(job.state, event)
        self.kept.append(job)
        if len(self.kept) > self.kept_most:
            del self.jobs[self.kept.popleft().id]
