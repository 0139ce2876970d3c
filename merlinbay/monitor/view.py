"""The attributes of jobs that filters ask for, and pages of jobs over all sessions. No I/O."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from datetime import UTC, datetime
from typing import Any

from merlinbay.batch.jobs import Job, JobSession
from merlinbay.monitor.filters import Test

SCAN = 5_000  # jobs looked at for one page: a filter that fits none holds nobody up


def _time(at_us: int) -> datetime | None:
    return datetime.fromtimestamp(at_us / 1e6, UTC) if at_us else None


def _wall(job: Job) -> float | None:
    return (job.finished_us - job.started_us) / 1e6 if job.started_us and job.finished_us else None


# Those of JobInfo (GFD.194, 5.5) that are known here; accountingId and sessionName are this binding's own.
ATTRIBUTES: dict[str, tuple[type, Callable[[Job], Any]]] = {
    "jobId": (str, lambda job: job.id),
    "jobName": (str, lambda job: job.name or None),
    "jobState": (str, lambda job: job.state.value),
    "jobSubState": (str, lambda job: job.substate or None),
    "exitStatus": (float, lambda job: job.exit_status),
    "terminatingSignal": (str, lambda job: job.signal or None),
    "annotation": (str, lambda job: job.annotation or None),
    "allocatedMachines": (list, lambda job: job.allocated_machines or None),
    "jobOwner": (str, lambda job: job.what.account or None),
    "accountingId": (str, lambda job: job.what.account or None),
    "sessionName": (str, lambda job: job.session.name),
    "slots": (float, lambda job: job.what.slots),
    "priority": (float, lambda job: job.what.priority),
    "queueName": (str, lambda job: job.job_class),
    "wallclockTime": (float, _wall),
    "cpuTime": (float, lambda job: job.cpu_us / 1e6 if job.cpu_us else None),
    "submissionTime": (datetime, lambda job: _time(job.submitted_us)),
    "dispatchTime": (datetime, lambda job: _time(job.started_us)),
    "finishTime": (datetime, lambda job: _time(job.finished_us)),
    "exception": (str, lambda job: job.exception or None),
}
KINDS = {name: kind for name, (kind, _) in ATTRIBUTES.items()}


def passes(test: Test | None, job: Job) -> bool:
    """Tell whether a job passes a filter; None is passed by all."""
    return test is None or test(lambda name: ATTRIBUTES[name][1](job))


def page(
    sessions: Iterable[JobSession], after: int, limit: int, wanted: Callable[[Job], bool], scan: int = SCAN
) -> tuple[list[Job], int]:
    """Return jobs in order of their submission, and the order from which the next page goes on; 0: none.

    At most ``scan`` jobs are looked at, so a page may be short and yet not the last.
    """
    found: list[Job] = []
    looked, last = 0, after
    lists = [[job for job in session.jobs.values() if job.order > after] for session in sessions]
    for job in heapq.merge(*(sorted(jobs, key=order_of) for jobs in lists if jobs), key=order_of):
        if len(found) == limit or looked == scan:
            return found, last
        looked, last = looked + 1, job.order
        if wanted(job):
            found.append(job)
    return found, 0


def order_of(job: Job) -> int:
    """Return a job's place in the order of submission."""
    return job.order
