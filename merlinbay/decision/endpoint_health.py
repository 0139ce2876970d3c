"""What outcomes, load reports and probes tell of endpoints, and which are left out for a while.

Decisions only: no I/O, and no clock beside the time of the call. Times are microseconds.
"""

from __future__ import annotations

from merlinbay.decision.actions import Action, LogNotice
from merlinbay.decision.beliefs import OTHERS_WEIGHT, RUN_WEIGHT
from merlinbay.decision.events import AttemptEnded, HealthCheckEnded
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.records import Attempt, Endpoint, Job
from merlinbay.decision.worth import Worth

FEW = 20  # jobs that a mean rests on: with fewer, one job would shut gates, or make its endpoint look slow
TRUST_STEP = 0.05  # weight of one answer in the share of endpoints with room that do take a job
REPORT_AGE_US = 120_000  # a report to a probe shows an endpoint as it was so long ago
REPORT_TRUST = 0.5  # weight of a load report against the estimate it meets: reports are old and noisy
EJECTION_US = 1_000_000  # how long a failing endpoint is left out; doubles with each failure in a row,
EJECTION_DOUBLINGS = 3  # so often at the most: none is shut out for good
LET_PASS = {Outcome.ERROR: 1, Outcome.RESET: 2}  # failures in a row that tell nothing yet of an endpoint
ERRING = 0.1  # errors reported, over the jobs that a full endpoint ends, from which one error leaves it out


class EndpointHealth(Worth):
    """Learns from what came back from endpoints."""

    out: list[Action]

    def judge(self, endpoint: Endpoint, job: Job, attempt: Attempt, event: AttemptEnded) -> None:
        """Learn from one outcome."""
        outcome, cls = event.outcome, job.cls
        now = attempt.paused_at or self.now
        run = max(now - attempt.started if attempt.started else event.took_us, 1000.0)
        erring = self.erring(endpoint, event)
        if outcome in (Outcome.OK, Outcome.FULL):
            endpoint.unheard_since, endpoint.heard_at, endpoint.fails = (
                0,
                self.now,
                endpoint.fails if erring else 0,
            )
        if attempt.room and outcome in (Outcome.OK, Outcome.FULL):
            # Guards against reports that are frozen or lie: where room is answered with 'full', the mean
            # counts for more, and what they say for less.
            self.trust += ((outcome == Outcome.OK) - self.trust) * TRUST_STEP
        if outcome == Outcome.OK:
            cls.seen += 1
            cls.run += (run - cls.run) * max(RUN_WEIGHT, 1 / cls.seen)
            if job.hint:  # Guards against hints in another measure, as of a faster machine.
                ratio = min(max(run / job.hint, 0.1), 10.0)
                cls.over_hint += (ratio - cls.over_hint) * RUN_WEIGHT
            kind, ratio = endpoint.kind, min(max(run / cls.run, 0.1), 10.0)
            kind.pace += (ratio - kind.pace) * RUN_WEIGHT / 3 * (attempt.room or attempt.started > 0)
            if attempt.started and cls.seen >= FEW:
                self._learn_pace(endpoint, ratio / kind.pace)
            if not attempt.room and not attempt.started:  # the longer it took, the more of the count is queue
                kind.queued += (max(0.0, 1 - kind.pace / ratio) - kind.queued) * RUN_WEIGHT
        elif outcome == Outcome.FULL:
            if not endpoint.kind.told and not endpoint.kind.most:  # neither reports nor starts show the slots
                count = endpoint.held + self._others(endpoint)
                endpoint.kind.slots = max(endpoint.kind.slots, count * (1 - endpoint.kind.queued))
            endpoint.observe(self.now, max(self._others(endpoint), 2 * endpoint.kind.slots - endpoint.held))
        elif outcome not in (Outcome.CANCELLED, Outcome.MOOT) and (
            outcome != Outcome.TIMEOUT or endpoint.heard_at <= attempt.at
        ):
            # Guards against an endpoint that fails at once and so looks free: each failure in a row leaves
            # it out for longer. A single error, or a time-out on an endpoint that works, is let pass. So are
            # two resets: a network that breaks connections says nothing of the endpoints behind it.
            endpoint.fails, endpoint.fault, endpoint.fault_at = endpoint.fails + 1, int(outcome), self.now
            if erring or endpoint.fails > LET_PASS.get(Outcome(outcome), 0):
                endpoint.bench_until = self.now + (EJECTION_US << min(endpoint.fails - 1, EJECTION_DOUBLINGS))
                if endpoint.fails in (2, 3):
                    failures = f"outcome {int(outcome)}, {endpoint.fails} failures in a row"
                    self.out.append(LogNotice(f"left out {endpoint.name}: {failures}"))
        self.take_report(event)

    def erring(self, endpoint: Endpoint, event: AttemptEnded) -> bool:
        """Tell whether a report counts errors of some share of what the endpoint can do."""
        # Guards against each scheduler learning a bad endpoint by its own losses: a report counts
        # everybody's.
        errors = self.settings.read(event.report or []).get(self.settings.errors_field, 0.0)
        return errors * self.mean_run / 1e6 >= ERRING * endpoint.kind.slots

    def take_report(self, event: AttemptEnded | HealthCheckEnded, waited_for: bool = False) -> None:
        """Take free slots and memory from a load report; a repeated or absurd value is ignored."""
        endpoint = self.endpoints.get(event.endpoint)
        if (
            endpoint is None
            or event.report is None
            or (event.report == endpoint.last_report and not waited_for)
        ):
            return
        endpoint.last_report = event.report
        readings = self.settings.read(event.report)
        free, held = readings.get(self.settings.free_slots_field), readings.get(self.settings.held_field)
        endpoint.free_memory = readings.get(self.settings.free_memory_field, endpoint.free_memory)
        endpoint.memory_at = self.now
        if free is not None:
            self._told_slots(endpoint, free, held)
            queued = readings.get(self.settings.queued_field, 0.0) * self.mean_slots
            held = held if self.settings.held_field else endpoint.kind.slots - free + queued
        if held is None:
            return
        if free is None and self.settings.queued_field in readings and not self.cold(endpoint):
            self._counted_slots(endpoint.kind, held - readings[self.settings.queued_field])
        self.hear(endpoint, held)
        own = endpoint.held
        if self.settings.asks_first and not waited_for:
            own = endpoint.held_at(self.now - REPORT_AGE_US)
            endpoint.reports += 1
            weight = max(OTHERS_WEIGHT, 1 / endpoint.reports)
            endpoint.others_mean += (max(held - own, 0.0) - endpoint.others_mean) * weight
        before = self._others(endpoint)
        if self.settings.asks_first:
            believed, shown = self._free(endpoint) >= 1, endpoint.kind.slots - held >= 1
            self.misjudged += ((believed != shown) - self.misjudged) * TRUST_STEP
        trust = self.trust * (1.0 if waited_for else REPORT_TRUST)
        endpoint.observe(self.now, before + (held - own - before) * trust)

    def note_probe_answer(self, endpoint: Endpoint, answered: bool) -> None:
        """Leave out an endpoint that doesn't answer a probe, for a while or until it answers one."""
        # Guards against jobs lost at an endpoint that has fallen silent, until the first of them is overdue.
        if not answered:
            endpoint.bench_until = max(endpoint.bench_until, self.now + EJECTION_US)
        elif not endpoint.fails:
            endpoint.bench_until = 0
