"""What outcomes, load reports and probes tell of workers, and which are left out for a while.

Decisions only: no I/O, and no clock beside the time of the call. Times are microseconds.
"""

from __future__ import annotations

from merlinbay.decision import api
from merlinbay.decision.beliefs import OTHERS_WEIGHT, RUN_WEIGHT
from merlinbay.decision.records import Attempt, Job, Worker
from merlinbay.decision.worth import Worth

FEW = 20  # jobs that a mean rests on: with fewer, one job would shut gates, or make its worker look slow
TRUST_STEP = 0.05  # weight of one answer in the share of workers with room that do take a job
REPORT_AGE_US = 120_000  # a report to a probe shows a worker as it was so long ago
REPORT_TRUST = 0.5  # weight of a load report against the estimate it meets: reports are old and noisy
EJECTION_US = 1_000_000  # how long a failing worker is left out; doubles with each failure in a row,
EJECTION_DOUBLINGS = 3  # so often at the most: none is shut out for good
LET_PASS = {api.Outcome.ERROR: 1, api.Outcome.RESET: 2}  # failures in a row that tell nothing yet of a worker
ERRING = 0.1  # errors reported, over the jobs that a full worker ends, from which one error leaves it out


class WorkerHealth(Worth):
    """Learns from what came back from workers."""

    out: list[api.Action]

    def judge(self, worker: Worker, job: Job, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Learn from one outcome."""
        outcome, cls = event.outcome, job.cls
        now = attempt.paused_at or self.now
        run = max(now - attempt.started if attempt.started else event.took_us, 1000.0)
        erring = self.erring(worker, event)
        if outcome in (api.Outcome.OK, api.Outcome.FULL):
            worker.unheard_since, worker.heard_at, worker.fails = 0, self.now, worker.fails if erring else 0
        if attempt.room and outcome in (api.Outcome.OK, api.Outcome.FULL):
            # Guards against reports that are frozen or lie: where room is answered with 'full', the mean
            # counts for more, and what they say for less.
            self.trust += ((outcome == api.Outcome.OK) - self.trust) * TRUST_STEP
        if outcome == api.Outcome.OK:
            cls.seen += 1
            cls.run += (run - cls.run) * max(RUN_WEIGHT, 1 / cls.seen)
            if job.hint:  # Guards against hints in another measure, as of a faster machine.
                ratio = min(max(run / job.hint, 0.1), 10.0)
                cls.over_hint += (ratio - cls.over_hint) * RUN_WEIGHT
            kind, ratio = worker.kind, min(max(run / cls.run, 0.1), 10.0)
            kind.pace += (ratio - kind.pace) * RUN_WEIGHT / 3 * (attempt.room or attempt.started > 0)
            if attempt.started and cls.seen >= FEW:
                self._learn_pace(worker, ratio / kind.pace)
            if not attempt.room and not attempt.started:  # the longer it took, the more of the count is queue
                kind.queued += (max(0.0, 1 - kind.pace / ratio) - kind.queued) * RUN_WEIGHT
        elif outcome == api.Outcome.FULL:
            if not worker.kind.told and not worker.kind.most:  # neither reports nor starts show the slots
                count = worker.held + self._others(worker)
                worker.kind.slots = max(worker.kind.slots, count * (1 - worker.kind.queued))
            worker.observe(self.now, max(self._others(worker), 2 * worker.kind.slots - worker.held))
        elif outcome not in (api.Outcome.CANCELLED, api.Outcome.MOOT) and (
            outcome != api.Outcome.TIMEOUT or worker.heard_at <= attempt.at
        ):
            # Guards against a worker that fails at once and so looks free: each failure in a row leaves
            # it out for longer. A single error, or a time-out on a worker that works, is let pass. So are
            # two resets: a network that breaks connections says nothing of the workers behind it.
            worker.fails, worker.fault, worker.fault_at = worker.fails + 1, int(outcome), self.now
            if erring or worker.fails > LET_PASS.get(api.Outcome(outcome), 0):
                worker.bench_until = self.now + (EJECTION_US << min(worker.fails - 1, EJECTION_DOUBLINGS))
                if worker.fails in (2, 3):
                    failures = f"outcome {int(outcome)}, {worker.fails} failures in a row"
                    self.out.append(api.Note(f"left out {worker.name}: {failures}"))
        self.take_report(event)

    def erring(self, worker: Worker, event: api.AttemptEnded) -> bool:
        """Tell whether a report counts errors of some share of what the worker can do."""
        # Guards against each scheduler learning a bad worker by its own losses: a report counts everybody's.
        errors = self.settings.read(event.report or []).get(self.settings.errors_field, 0.0)
        return errors * self.mean_run / 1e6 >= ERRING * worker.kind.slots

    def take_report(self, event: api.AttemptEnded | api.ProbeEnded, waited_for: bool = False) -> None:
        """Take free slots and memory from a load report; a repeated or absurd value is ignored."""
        worker = self.workers.get(event.worker)
        if worker is None or event.report is None or (event.report == worker.last_report and not waited_for):
            return
        worker.last_report = event.report
        readings = self.settings.read(event.report)
        free, held = readings.get(self.settings.free_slots_field), readings.get(self.settings.held_field)
        worker.free_memory = readings.get(self.settings.free_memory_field, worker.free_memory)
        worker.memory_at = self.now
        if free is not None:
            self._told_slots(worker, free, held)
            queued = readings.get(self.settings.queued_field, 0.0) * self.mean_slots
            held = held if self.settings.held_field else worker.kind.slots - free + queued
        if held is None:
            return
        if free is None and self.settings.queued_field in readings and not self.cold(worker):
            self._counted_slots(worker.kind, held - readings[self.settings.queued_field])
        self.hear(worker, held)
        own = worker.held
        if self.settings.asks_first and not waited_for:
            own = worker.held_at(self.now - REPORT_AGE_US)
            worker.reports += 1
            weight = max(OTHERS_WEIGHT, 1 / worker.reports)
            worker.others_mean += (max(held - own, 0.0) - worker.others_mean) * weight
        before = self._others(worker)
        if self.settings.asks_first:
            believed, shown = self._free(worker) >= 1, worker.kind.slots - held >= 1
            self.misjudged += ((believed != shown) - self.misjudged) * TRUST_STEP
        trust = self.trust * (1.0 if waited_for else REPORT_TRUST)
        worker.observe(self.now, before + (held - own - before) * trust)

    def note_probe_answer(self, worker: Worker, answered: bool) -> None:
        """Leave out a worker that doesn't answer a probe, for a while or until it answers one."""
        # Guards against jobs lost at a worker that has fallen silent, until the first of them is overdue.
        if not answered:
            worker.bench_until = max(worker.bench_until, self.now + EJECTION_US)
        elif not worker.fails:
            worker.bench_until = 0
