"""Which endpoints may take a job now: the rules of its class and the endpoints' condition, and no choice.

Every send goes through ``eligible``: the first attempt, probe replies, second copies, retries, reserved and
bound jobs, swaps. A path that looks at endpoints of its own, without asking here, is a fault. None begins by
a
list that is overdue. ``may_begin`` asks again right before the first byte, since a dial lies between, and
``may_refuse`` before a refusal, after which the client sends the job again.
"""

from __future__ import annotations

from collections.abc import Iterable

from merlinbay.decision.beliefs import Beliefs
from merlinbay.decision.records import Attempt, Endpoint, Job

SILENT_US = 1_500_000  # an endpoint not heard for so long after a send is taken to hang
MEMORY_RUNS = 1.0  # mean run times for which a reported free memory counts: by then other jobs hold it


class Eligibility(Beliefs):
    """Rule checks over what is remembered and believed."""

    def may_send(self, job: Job) -> bool:
        """Tell whether a further attempt of the job keeps the rules of its class now, wherever it goes."""
        # Guards against a send to an endpoint that drains, of which the node counts as notified: by an
        # overdue
        # list any of them may. Planning calls by the deadline does not make them arrive.
        if not self.list_lease.usable(self.now):
            return False
        if self.now >= job.deadline or len(job.attempts) >= self.settings.limits.send_cap:
            return False
        return self._may_repeat(job, job.attempts, self.now)

    def may_begin(self, job_id: int, number: int, now: int) -> bool:
        """Tell whether an attempt that was decided on, and is open, still keeps the rules of its class.

        Only other attempts count, whichever was decided on first: a later one may have gone out before it.
        """
        job = self.jobs.get(job_id)
        if not self.list_lease.usable(now):
            return False
        if job is None or not 0 <= number < len(job.attempts):
            return False
        attempt = job.attempts[number]
        others = [other for other in job.attempts if other is not attempt]
        if not attempt.open or not self._may_repeat(job, others, now):
            return False
        unresolved = [other for other in others if other.may_have_run]
        return job.effect == "repeatable" or all(
            self._same_group(job, other, attempt.zone, attempt.cell) for other in unresolved
        )

    def may_refuse(self, job: Job, wait_us: int = 0) -> bool:
        """Tell whether the job may be refused, and so be sent again by its client after a wait."""
        unresolved = job.unresolved
        if unresolved is None or job.effect == "repeatable":
            return True
        if job.effect != "by_key" or job.cls.spec.group != "all":
            return False
        return self.now + wait_us < unresolved.at + job.cls.spec.window_us

    def eligible(self, job: Job, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return those of the endpoints, in their order, that may be sent the job now."""
        if not self.may_send(job):
            return []
        unresolved = job.unresolved if job.effect == "by_key" else None
        return [
            endpoint
            for endpoint in endpoints
            if self._ready(endpoint, job)
            and self._suits(endpoint, job)
            and (unresolved is None or self._same_group(job, unresolved, endpoint.zone, endpoint.cell))
        ]

    def repeat_group(self, job: Job) -> list[Endpoint] | None:
        """Return the usable endpoints that drop a repeat of the job, or None where any may take it."""
        spec, unresolved = job.cls.spec, job.unresolved
        if unresolved is None or job.effect != "by_key" or spec.group == "all":
            return None
        return self.groups.get(unresolved.cell if spec.group == "cell" else unresolved.zone, [])

    def _may_repeat(self, job: Job, others: list[Attempt], now: int) -> bool:
        """Tell whether an attempt beside the others keeps the rules of its class, wherever it goes."""
        if not self.settings.limits.second_copies and any(other.open for other in others):
            return False
        unresolved = next((other for other in others if other.may_have_run), None)
        if unresolved is None or job.effect == "repeatable":
            return True
        return job.effect == "by_key" and now < unresolved.at + job.cls.spec.window_us

    def _ready(self, endpoint: Endpoint, job: Job) -> bool:
        """Tell whether the endpoint's condition lets it be sent the job now."""
        if endpoint.state != "up" or endpoint.bench_until > self.now:
            return False
        if self.hangs(endpoint, SILENT_US):
            return False  # Guards against a hung endpoint, which takes jobs and answers none.
        return not self.cold(endpoint) or self.cold_turn(endpoint, job.run * job.slots)

    def _suits(self, endpoint: Endpoint, job: Job) -> bool:
        """Tell whether the endpoint is one of those that can run the job, and has not been sent it before."""
        if job.only and endpoint.name not in job.only:
            return False
        kind = job.cls.spec.kind
        if kind >= 0 and self.kinds[self.settings.kinds[kind]] is not endpoint.kind:
            return False
        # Guards against an endpoint that was forgotten and listed anew: the names match, the records do not.
        if any(attempt.endpoint.name == endpoint.name for attempt in job.attempts):
            return False
        return not self._lacks_memory(endpoint, job)

    def _lacks_memory(self, endpoint: Endpoint, job: Job) -> bool:
        """Tell whether the endpoint reported lately to have less free memory than the job needs."""
        # Guards against an endpoint shut out for good: it gets no job, so no report says that memory is free.
        return (
            endpoint.free_memory < job.memory and self.now < endpoint.memory_at + MEMORY_RUNS * self.mean_run
        )

    def _same_group(self, job: Job, unresolved: Attempt, zone: str, cell: int) -> bool:
        """Tell whether endpoints of a zone and cell drop a repeat of an attempt that may have run."""
        group = job.cls.spec.group
        if group == "zone":
            return unresolved.zone == zone
        return group == "all" or unresolved.cell == cell
