"""What a second copy, a probe and the crossing of a zone border are worth, beside their price.

Arithmetic only, derived in ``docs/COPIES-AND-PROBES.md``; ``rules.py`` decides. Worth and work are counted in
mean jobs: 1.0 is what the mean job offered has.
"""

from __future__ import annotations

import math

from merlinbay.decision.eligibility import Eligibility
from merlinbay.decision.records import Attempt, Endpoint, Job, Kind

CANCELLED_WORK = 0.5  # share of its work that a cancelled waiting attempt is taken to cost
LEAST_US = 1000.0  # no slack, wait or run time counts as less
LEAST_SPARE = 0.01  # the least share of the slots that counts as spare
UNSEEN_RUN = 0.5  # the most of its aim that a class of which no run was seen is taken to run
PROBE_MOST_OFTEN = 0.25  # mean run times between two probes of an endpoint, at the least


def share_started(wait_us: float, within_us: float) -> float:
    """Return the chance that a wait of about ``wait_us`` ends within a time.

    The wait is taken to have a long tail (Lomax, shape 1): the longer it has lasted, the longer it will last.
    """
    return within_us / (within_us + wait_us) if within_us > 0 else 0.0


class Worth(Eligibility):
    """Expected gains and prices over what is believed."""

    def density(self, job: Job) -> float:
        """Return the job's worth for each slot and second, over the mean job's."""
        return job.worth / (job.run * max(job.slots, 0.01)) * self.mean_run / max(self.mean_worth, 1e-9)

    def load(self, kind: Kind) -> float:
        """Return O2A's r: the offered load over the service rate."""
        # Guards against gates that shut on who has more than his share: his peers offer less than he does.
        own = self.rate.value * self.mean_run
        all_of_us = own * self.settings.balancers
        load = min(all_of_us, own + self.peers() * self.mean_held) if self.heard else all_of_us
        return load * kind.pace / self.slots_total

    def turn(self, kind: Kind) -> float:
        """Return the mean time between two ends of jobs at an endpoint that is full."""
        return self.mean_run * kind.pace / kind.slots

    def wait_behind(self, endpoint: Endpoint, free: float, slots: float) -> float:
        """Return how long a job waits at an endpoint with so many slots free; below 0, so many wait."""
        return max(0.0, slots - free) * self.turn(endpoint.kind)

    def displaced(self, kind: Kind) -> float:
        """Return how much other work is kept waiting by each unit of work that is added; at most 1.

        With c slots and a load r, C(c, r) * r / (1 - r) jobs wait (C by Sakasegawa): how that grows.
        """
        load = self.load(kind)
        if load >= 1:
            return 1.0
        all_busy = math.pow(load, math.sqrt(2 * (kind.slots + 1)) - 1)
        return min(1.0, all_busy / (kind.slots * (1 - load) ** 2))

    def served_share(self, job: Job, wait_us: float, run_us: float | None = None) -> float:
        """Return the share of its worth that the job can be expected to earn if it starts after a wait.

        It takes ``run_us`` by what is seen of it, else what was expected when it came.
        """
        spec, run = job.cls.spec, run_us or job.run
        if not job.cls.seen:
            # Guards against jobs that seem late from the start: a run not seen yet counts as the aim.
            run = min(run, UNSEEN_RUN * spec.aim_us)
        in_time = share_started(wait_us, job.arrived + spec.aim_us + (spec.stretch - 1) * run - self.now)
        at_all = max(share_started(wait_us, job.deadline - run - self.now), in_time)
        return in_time + spec.late_worth * (at_all - in_time)

    def _share_running(self, job: Job, attempt: Attempt, run_us: float) -> float:
        """Return the share of its worth that an attempt which runs can be expected to earn."""
        spec, elapsed = job.cls.spec, self.now - attempt.started
        # What it has run beyond the mean it may run on; its endpoint's pace may tell that it is more.
        mean = job.cls.run * attempt.endpoint.kind.pace
        left = max(self._pace(attempt.endpoint) * run_us - elapsed, elapsed - mean)
        in_time = job.arrived + spec.aim_us + spec.stretch * run_us - self.now
        early = share_started(left, in_time)
        return early + spec.late_worth * (max(share_started(left, job.deadline - self.now), early) - early)

    def crossing_pays(
        self, job: Job, far: tuple[Endpoint, float], near: tuple[Endpoint, float] | None
    ) -> bool:
        """Tell whether an endpoint beyond the zone border is worth its price over the best one on this side.

        Each comes with its free slots; ``near`` is None where every gate on this side is shut.
        """
        gain = self.served_share(job, self.wait_behind(*far, job.slots))
        if near is not None:
            gain -= self.served_share(job, self.wait_behind(*near, job.slots))
        return gain * job.worth > self.settings.cross_zone_price * self.mean_worth

    def copy_pays(self, job: Job, attempt: Attempt, target: Endpoint) -> bool:
        """Tell whether a second copy is worth the work that it adds."""
        if not self.settings.asks_first:
            # Guards against fleets whose nodes hear little of each other, where weighed copies lost more than
            # copies cost: each answer reports what its endpoint holds, work that no cancel dropped included.
            return True
        run = job.run
        if attempt.started:  # it runs at a slow endpoint, and would start over elsewhere
            run = max(run, (self.now - attempt.started) / self._pace(attempt.endpoint))
            waiting = self._share_running(job, attempt, run)
        else:  # the longer it has waited, the longer it will
            waiting = self.served_share(job, self.now - attempt.at + self.turn(attempt.endpoint.kind))
        wait = self.wait_behind(target, self._free(target, 0.0), job.slots)
        gain = (1 - waiting) * self.trust * self.served_share(job, wait, run)
        gain *= job.worth / max(self.mean_worth, 1e-9)
        displaced = 1.0 if wait else self.displaced(target.kind)  # what waits there keeps others waiting
        # A cancel drops what waits or does not, and no setting says which: either is as likely.
        added = CANCELLED_WORK if self.settings.limits.cancelling and not attempt.started else 1.0
        price = run * job.slots / self.mean_run * added * (displaced + self.settings.waste_price)
        if target.zone != self.settings.zone:
            price += self.settings.cross_zone_price
        return gain > price

    def probe_price(self, kind: Kind) -> float:
        """Return what one probe costs: its price, and the endpoint's time as far as others want it."""
        return self.settings.probe_price + self.probe_us / self.mean_run * self.displaced(kind)

    def blind_loss(self, kind: Kind) -> float:
        """Return what a job loses for want of news: some that seem to find room wait a turn."""
        return self.misjudged * (1 - share_started(self.turn(kind), self.mean_run))

    def probe_every(self, kind: Kind, sends: float) -> float:
        """Return how often to probe an endpoint that gets so many of our jobs a microsecond; infinity: never.

        What a report tells is forgotten within a mean run time.
        """
        price, loss = self.probe_price(kind), self.blind_loss(kind) * sends
        if loss * self.mean_run <= price:
            return math.inf
        return max(math.sqrt(2 * self.mean_run * price / loss), PROBE_MOST_OFTEN * self.mean_run)

    def probing_first_pays(self, kind: Kind, probes: int, endpoints: int) -> bool:
        """Tell whether a job should wait for so many probes, rather than go by earlier ones."""
        price, loss = self.probe_price(kind), self.blind_loss(kind)
        first = probes * price + share_started(self.mean_run, self.probe_us)
        every = self.probe_every(kind, self.rate.value / max(endpoints, 1))
        # Earlier probes go out when a job comes, so their news is at least as old as the job before.
        age = max(every, 1 / self.rate.value) / (2 * self.mean_run)
        ahead = endpoints * price / (every * self.rate.value) + loss * min(age, 1.0)
        return first < min(ahead, loss)
