"""Which workers may take a job now: the rules of its class and the workers' condition, and no choice.

Every send goes through ``eligible``: the first attempt, probe replies, second copies, retries, reserved and
bound jobs, swaps. A path that looks at workers of its own, without asking here, is a fault.
"""

from __future__ import annotations

from collections.abc import Iterable

from merlinbay.decision.beliefs import Beliefs
from merlinbay.decision.records import Attempt, Job, Worker

SILENT_US = 1_500_000  # a worker not heard for so long after a send is taken to hang
MEMORY_RUNS = 1.0  # mean run times for which a reported free memory counts: by then other jobs hold it


class Eligibility(Beliefs):
    """Rule checks over what is remembered and believed."""

    def may_send(self, job: Job) -> bool:
        """Tell whether a further attempt of the job keeps the rules of its class now, wherever it goes."""
        if self.now >= job.deadline or len(job.attempts) >= self.settings.limits.send_cap:
            return False
        if job.pending and not self.settings.limits.second_copies:
            return False
        unresolved = job.unresolved
        if unresolved is None or job.cls.spec.effect == "repeatable":
            return True
        return job.cls.spec.effect == "by_key" and self.now < unresolved.at + job.cls.spec.window_us

    def eligible(self, job: Job, workers: Iterable[Worker]) -> list[Worker]:
        """Return those of the workers, in their order, that may be sent the job now."""
        if not self.may_send(job):
            return []
        unresolved = job.unresolved if job.cls.spec.effect == "by_key" else None
        return [
            worker
            for worker in workers
            if self._ready(worker)
            and self._suits(worker, job)
            and (unresolved is None or self._drops_repeats(worker, job, unresolved))
        ]

    def repeat_group(self, job: Job) -> list[Worker] | None:
        """Return the usable workers that drop a repeat of the job, or None where any worker may take it."""
        spec, unresolved = job.cls.spec, job.unresolved
        if unresolved is None or spec.effect != "by_key" or spec.group == "all":
            return None
        first = unresolved.worker
        return self.groups.get(first.cell if spec.group == "cell" else first.zone, [])

    def _ready(self, worker: Worker) -> bool:
        """Tell whether the worker may be sent any job now."""
        if worker.state != "up" or worker.bench_until > self.now:
            return False
        if self.hangs(worker, SILENT_US):
            return False  # Guards against a hung worker, which takes jobs and answers none.
        return not self.cold(worker) or self.cold_turn(worker)

    def _suits(self, worker: Worker, job: Job) -> bool:
        """Tell whether the worker is one of those that can run the job, and has not been sent it before."""
        if job.only and worker.name not in job.only:
            return False
        kind = job.cls.spec.kind
        if kind >= 0 and self.kinds[self.settings.kinds[kind]] is not worker.kind:
            return False
        if any(attempt.worker is worker for attempt in job.attempts):
            return False
        return not self._lacks_memory(worker, job)

    def _lacks_memory(self, worker: Worker, job: Job) -> bool:
        """Tell whether the worker reported lately to have less free memory than the job needs."""
        # Guards against a worker shut out for good: it gets no job, so no report says that memory is free.
        return worker.free_memory < job.memory and self.now < worker.memory_at + MEMORY_RUNS * self.mean_run

    def _drops_repeats(self, worker: Worker, job: Job, unresolved: Attempt) -> bool:
        """Tell whether the worker drops a repeat of an attempt that may have run."""
        group, first = job.cls.spec.group, unresolved.worker
        if group == "zone":
            return worker.zone == first.zone
        return group == "all" or worker.cell == first.cell
