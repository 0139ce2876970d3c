"""Every decision of the balancer. Its interface is in ``settings.py``, ``events.py`` and ``actions.py``.

Top to bottom: estimators, pick, a request's life, list. Records are in ``records.py`` and ``memory.py``,
beliefs about endpoints and peers in ``beliefs.py``, what outcomes and reports tell of them in
``worker_health.py``, calls for the list in ``calls.py``, until when it may be used in ``list_lease.py``.
Which endpoints may take a job is in ``eligibility.py``, which every send asks; what copies, probes and
crossings are worth is in ``worth.py``.
Departures from the design say "Guards against". Times are microseconds.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from merlinbay.decision.actions import (
    Action,
    Cancel,
    CheckHealth,
    Dispatch,
    Fail,
    LogNotice,
    Reject,
    SetTimer,
)
from merlinbay.decision.beliefs import CAUTION, RUN_WEIGHT
from merlinbay.decision.calls import Calls
from merlinbay.decision.eligibility import SILENT_US
from merlinbay.decision.endpoint_health import FEW, EndpointHealth
from merlinbay.decision.events import (
    AttemptEnded,
    BalancerCountChanged,
    ClientDisconnected,
    DiscoveryChanged,
    EndpointsChanged,
    Event,
    ExecutionPaused,
    ExecutionProgressed,
    ExecutionStarted,
    HealthCheckEnded,
    MaintenanceChanged,
    RequestReceived,
    SlotsReserved,
    StreamStarted,
    TimerFired,
)
from merlinbay.decision.outcomes import Outcome, never_ran
from merlinbay.decision.records import Attempt, Class, Endpoint, Job, Kind, Rate
from merlinbay.decision.settings import Settings
from merlinbay.decision.threshold import threshold
from merlinbay.decision.worth import LEAST_SPARE

SCAN = 8  # endpoints sampled for one request: bounds its cost at any fleet size
PROBES = 3  # endpoints probed first for one request of those nearby, and as many of those away
PROBE_WAIT_US = 150_000  # answers to these are waited for no longer: one may get lost
AFFINE = 2  # endpoints over all zones that a key prefers after its first in the own zone
RATE_TAU_US = 2_000_000  # memory of the offered load: longer than a stall, shorter than a burst
SLOW = 1.9  # an endpoint of this pace and more comes after all others, and its jobs get a second copy
LATE_RUN = 1.0  # share of a mean run time that a job may run there before the copy goes out,
LONG_RUN = 2.5  # and elsewhere before it tells of its endpoint's pace
CROSSED_STEP = 0.02  # weight of one job in the share that crosses zones
PROMPT = 0.05  # share of a mean run time within which a start means that there was room
DENSE_MOST = 4.0  # the most that worth for each slot and second, over the mean job's, counts
PATIENCE = 0.1  # share of a job's slack that it waits unstarted before a second copy goes out
PATIENCE_MIN_US = 15_000  # and the least: a few round trips
KEYS_KEPT = 4096  # keys whose preferred endpoints are remembered, to save hashing the zone anew


class Balancer(EndpointHealth):
    """The decisions of one scheduler."""

    def __init__(self, settings: Settings, seed: int, now_us: int) -> None:
        super().__init__(settings, Random(seed), now_us, Rate(now_us))
        self.limits, self.safety = settings.limits, settings.safety
        self.classes = {spec.name: Class(spec, max(spec.aim_us, 1000.0)) for spec in settings.classes}
        first = settings.classes[0]  # Guards against a repeat of a job whose class nobody knows.
        self.unknown_class = Class(replace(first, name="unknown", effect="once"), max(first.aim_us, 1000.0))
        self.kinds = {name: Kind() for name in settings.kinds}
        self.mean_run = min(cls.run for cls in self.classes.values())  # or starting ones flood cold endpoints
        self.out: list[Action] = [LogNotice(doubt) for doubt in settings.doubts]
        self.handlers: dict[type, Callable[[Any], None]] = {
            RequestReceived: self._arrived,
            AttemptEnded: self._ended,
            ExecutionStarted: self._noted,
            ExecutionProgressed: self._noted,
            StreamStarted: self._noted,
            ClientDisconnected: self._withdrawn,
            TimerFired: self._timer,
            EndpointsChanged: self._list,
            HealthCheckEnded: self._probed,
            ExecutionPaused: self._paused,
            SlotsReserved: self.keep,
            DiscoveryChanged: self._moved,
            BalancerCountChanged: self._recounted,
            MaintenanceChanged: self._maintained,
        }
        self.calls = Calls(settings.me, settings.balancers, self.list_lease, self.rng, now_us)
        if settings.must_subscribe:
            self.out += self.calls.start(now_us)

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Take events of one instant; return what to do, in order. A clock that goes back stands still."""
        self.now = max(self.now, now_us)
        for event in events:
            self.handlers[type(event)](event)
        out, self.out = self.out, []
        return out

    # Estimators.

    def _count_offered(self, job: Job) -> None:
        """Update the offered load, the smoothed outstanding and the mean job."""
        # Guards against swings: a mean older than the jobs it counts keeps gates shut, or open, too long.
        left = self.rate.add(self.now, RATE_TAU_US)
        decay = left ** (RATE_TAU_US / max(self.mean_run, min(RATE_TAU_US, FEW / self.rate.value)))
        # Guards against a fleet that refuses all for seconds: jobs that are stuck at lost endpoints, times
        # the
        # balancers, would count as held at those that are left.
        self.mean_held = self.mean_held * decay + max(self.own_held - self.own_stuck, 0.0) * (1 - decay)
        self.offered += 1
        self.weigh_reports()
        if self.now >= self.slots_at:  # slots are learned on the way, so now and then they are counted anew
            self.count_slots(SILENT_US)
            self.slots_at = self.now + RATE_TAU_US // 10
        weight = max(0.01, 1 / self.offered)
        self.mean_run += (job.run * max(job.slots, 0.01) - self.mean_run) * weight
        self.mean_worth += (job.worth - self.mean_worth) * weight
        self.mean_slots += (job.slots - self.mean_slots) * weight

    def _over_share(self, tenant: str) -> bool:
        """Tell whether a tenant sends more than its quota, judged by our part of its requests."""
        rate = self.tenant_rate(tenant, RATE_TAU_US) * self.settings.balancers * 1e6
        return any(t.name == tenant and rate > t.quota_per_s for t in self.settings.tenants)

    def _gate(self, kind: Kind, job: Job) -> float:
        """Return O2A's N, and one more with probability q; where jobs wait r has been 1 at the least."""
        load = self.load(kind)
        # Worth, for each slot and second, counts as far as others want the slots.
        scarce = 1 - min(1.0, load) * (1 - min(DENSE_MOST, self.density(job)))
        turn = self.turn(kind)
        if self.settings.queue_order == "backfill" and job.slots > 1:
            # Guards against a job of several slots that others of one slot overtake again and again.
            turn *= job.slots / max(1 - load, LEAST_SPARE)
        # R-p and c are mapped so that at r = 1 the last job admitted is just in time, by turns of a slot.
        k = (1 + job.cls.spec.aim_us / turn * scarce / max(1 - job.cls.spec.late_worth, 0.1)) / 2
        n, q = threshold(round(min(max(load, 1.0), 100.0), 2), round(min(k, 1000.0), 1))
        return n + (self.rng.random() < q)

    # Pick.

    def _batches(self, job: Job) -> list[list[Endpoint]]:
        """Return batches of endpoints to look at; cold ones first, while we have a share of their budget."""
        near, far = self.pools.get(job.cls.spec.kind) or ([], [])
        if (group := self.repeat_group(job)) is not None:
            return [group]
        if job.only:  # Guards against samples that miss the few endpoints that the job is bound to.
            return [[self.endpoints[name] for name in job.only if name in self.endpoints]]
        if job.key:
            # Guards against keys fetched everywhere: what an endpoint keeps for a key is worth more than
            # room, so a job with a key stays with its few endpoints unless none of them can be used.
            some = self.eligible(job, self._affine(job.key, near, far))
            if some:
                return [[w] for w in some]
        # Guards against one put back that nobody tries: idle ones have more room than a cold one.
        return [self.returned, self.starting(SCAN) + self.sample(near, SCAN), self.sample(far, SCAN)]

    def _pick(self, job: Job, room_only: bool = False, caution: float = CAUTION) -> Endpoint | None:
        """Choose an endpoint with room for the job's slots, else one under its gate; nearer ones first."""
        gates: dict[int, float] = {}
        best, best_free, best_slow = None, -math.inf, True
        near: tuple[Endpoint, float] | None = None
        for batch in self._replied(job) if job.probe_replies or job.probes_pending else self._batches(job):
            for endpoint in self.eligible(job, batch):
                free = endpoint.kept if job.reserved else self._free(endpoint, caution)
                if (slow := self._pace(endpoint) >= SLOW, -free) >= (best_slow, -best_free):
                    continue
                if free < job.slots:
                    if room_only or endpoint.kept or job.reserved:  # nobody waits for what is kept
                        continue
                    if id(endpoint.kind) not in gates:
                        gates[id(endpoint.kind)] = self._gate(endpoint.kind, job)
                    if -free >= gates[id(endpoint.kind)]:
                        continue
                best, best_free, best_slow = endpoint, free, slow
            if best is not None and (best_free >= job.slots or job.key):
                break
            if best is not None and best.zone == self.settings.zone:
                near = best, best_free
        if best is None or best.zone == self.settings.zone or not self.settings.cross_zone_price or job.only:
            return best
        return best if self.crossing_pays(job, (best, best_free), near) else near and near[0]

    def _replied(self, job: Job) -> list[list[Endpoint]]:
        """Return the endpoints that answered its probes; those away only once all have, if crossings cost."""
        away = [w for w in job.probe_replies if w.zone != self.settings.zone]
        if not self.settings.cross_zone_price or not away:
            return [job.probe_replies]
        near = [w for w in job.probe_replies if w.zone == self.settings.zone]
        return [near] if job.probes_pending else [near, away]

    def _affine(self, key: str, near: list[Endpoint], far: list[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that a key prefers, in order, by highest hash: the same at every scheduler."""
        if key not in self.affine:
            if len(self.affine) >= KEYS_KEPT:
                self.affine.clear()
            seed = zlib.crc32(key.encode())
            ranked = sorted(near + far, key=lambda w: zlib.crc32(w.name.encode(), seed), reverse=True)
            first = [w for w in ranked if w.zone == self.settings.zone][:1]
            self.affine[key] = first + [w for w in ranked if w not in first][:AFFINE]
        return self.affine[key]

    # A request's life.

    def _arrived(self, event: RequestReceived) -> None:
        cls = self.classes.get(event.job_class) or self.unknown_class
        run = max(event.hint_us * cls.over_hint, 1000.0) if event.hint_us else cls.run
        worth = cls.spec.worth * (self.settings.over_share_worth if self._over_share(event.tenant) else 1)
        worth *= run if self.settings.worth_by_work else 1
        job = Job(
            event.id,
            cls,
            max(event.slots, 0.0),
            max(event.memory, 0.0),
            event.key,
            run,
            worth,
            self.now + event.budget_us,
            max(PATIENCE_MIN_US, PATIENCE * cls.spec.aim_us),
            event.only,
            event.room_only,
            event.reserved,
            self.now,
            float(event.hint_us),
            event.keyless,
        )
        self._count_offered(job)
        self._try(job)

    def _try(self, job: Job) -> None:
        """Probe some endpoints first where only probes tell load and that pays, else decide at once."""
        job.probe_replies, job.probes_pending = [], 0
        if self.settings.asks_first and self.limits.probes:
            near, far = self.pools.get(job.cls.spec.kind) or ([], [])
            endpoints = near + far
            if endpoints and self.probing_first_pays(
                endpoints[0].kind, PROBES * (1 + bool(far)), len(endpoints)
            ):
                self._probe_first(job)
            else:
                self._probe_stale(near, 1 - self.crossed)
                self._probe_stale(far, self.crossed)
        if job.probes_pending:
            self._watch(job, -1, min(PROBE_WAIT_US, (job.deadline - self.now) / 2))
        else:
            self._settle(job)

    def _probe_first(self, job: Job) -> None:
        """Probe endpoints for the job, which waits for the first that has room."""
        for batch in self._batches(job):
            some = [w.name for w in self.eligible(job, batch)][:PROBES]
            self.out += [CheckHealth(name) for name in some]
            self.probes_sent(job, some)

    def _probe_stale(self, pool: list[Endpoint], share: float) -> None:
        """Probe endpoints of a pool if their last probe is too old.

        How old pays depends on the share of our jobs that the pool gets.
        """
        for endpoint in self.sample(pool, SCAN):
            every = self.probe_every(endpoint.kind, self.rate.value * share / len(pool))
            if self.now - endpoint.probed_at >= every and not self.hangs(endpoint, SILENT_US):
                endpoint.probed_at = self.now
                self.out.append(CheckHealth(endpoint.name))

    def _probed(self, event: HealthCheckEnded) -> None:
        """Take a probe's answer; a job that waits for it is placed at the first room or the last answer."""
        if event.outcome == Outcome.OK:
            self.probe_us += (event.took_us - self.probe_us) * RUN_WEIGHT
        job, endpoint = self.next_probing(event.endpoint), self.endpoints.get(event.endpoint)
        if endpoint is not None:
            self.note_probe_answer(endpoint, event.outcome == Outcome.OK)
        self.take_report(event, waited_for=job is not None)
        if job is not None:
            job.probes_pending -= 1
            job.probe_replies += [endpoint] if endpoint is not None and event.outcome == Outcome.OK else []
            self._settle(job)

    def _settle(self, job: Job) -> None:
        """Send the job if its class allows it and an endpoint is found, else give its final answer."""
        endpoint = self._pick(job, job.probes_pending > 0 or job.room_only)
        if endpoint is not None:
            self._place(job, endpoint)
        elif not job.probes_pending:
            self.jobs.pop(job.id, None)
            self._answer(job)

    def _answer(self, job: Job) -> None:
        """Refuse the job where trying again is harmless, else fail it."""
        job.done = True
        wait = 0
        if self.limits.retry_after and self.may_refuse(job):  # spread, or refused clients return in step
            wait = int(min(job.cls.spec.aim_us * self.rng.uniform(0.1, 0.5), self.limits.max_retry_after_us))
        reason = "no_room" if self.list_lease.usable(self.now) else "list_overdue"
        self.out.append(Reject(job.id, wait, reason) if self.may_refuse(job, wait) else Fail(job.id))

    def _place(self, job: Job, endpoint: Endpoint) -> None:
        self.out.append(Dispatch(job.id, endpoint.name))
        # Guards against a copy that goes by the replies to an earlier attempt's probes.
        job.probe_replies, job.probes_pending = [], 0
        self.hold(job, Attempt(endpoint, self.now, self._free(endpoint) >= job.slots))
        endpoint.unheard_since = endpoint.unheard_since or self.now
        self.crossed += ((endpoint.zone != self.settings.zone) - self.crossed) * CROSSED_STEP
        self.returned = [w for w in self.returned if w is not endpoint] if self.returned else []
        if self.cold(endpoint):
            endpoint.cold_next = self._cold_until(job.run * job.slots, endpoint)
        if self.settings.tells_start and self.limits.second_copies and job.effect != "once":
            self._watch(job, len(job.attempts) - 1, job.patience * len(job.attempts))

    def _watch(self, job: Job, attempt: int, wait: float) -> None:
        """Look at the attempt (-1: at the probes) again after a while; one timer serves all watches."""
        self.out += [SetTimer(us, "watch") for us in self.remind(job.id, attempt, int(wait))]

    def _timer(self, event: TimerFired) -> None:
        if event.token == "subscribe":
            self.out += self.calls.due(self.now)
        for waiting, number in self.due():
            if number < 0 and waiting.probes_pending:  # a probe's answer is lost or late
                waiting.probes_pending = 0
                self._settle(waiting)
            job, attempt = self.find(waiting.id, number)
            if (
                job is None
                or attempt is None
                or job.done
                or (job.pending > 1 and any(a.open and a.started for a in job.attempts))
            ):
                continue
            if attempt.started:
                if self.now >= attempt.look_at and not attempt.paused_at:  # else it was watched to start
                    self._runs_long(job, attempt, number)
                continue
            # Guards against a stalled endpoint or a stale view: the job has not started, so its endpoint was
            # full. A copy goes only where there is room, and whichever starts first keeps the job.
            endpoint = attempt.endpoint
            endpoint.observe(
                self.now, max(self._others(endpoint), endpoint.kind.slots + job.slots - endpoint.held)
            )
            if len(job.attempts) >= self.limits.send_cap:
                continue
            # Guards against copies that never go out: where schedulers are many, the others are unheard.
            room_only = self.density(job) < 1 or job.pending > 1
            target = self._pick(job, room_only, 0.0)
            pays = target is not None and self.copy_pays(job, attempt, target)
            if target is not None and pays and (job.pending == 1 or self._swap(job, number)):
                self._place(job, target)
            elif job.pending == 1:
                self._watch(job, number, max(job.patience, self.now - attempt.at))
        self.out += [SetTimer(us, "watch") for us in self.remind_next()]

    def _swap(self, job: Job, number: int) -> bool:
        """Give a copy that waits as well up for another; the first attempt keeps its place in a queue."""
        # Guards against two queues that a job has met by chance, while most endpoints of its cell have room.
        if not self.limits.cancelling or job.attempts[number].started:
            return False
        self.out.append(Cancel(job.id, number))
        return True

    def _look(self, job: Job, attempt: Attempt, number: int, runs: float) -> None:
        """See after so many mean run times whether the attempt still runs."""
        wait = int(max(job.cls.run * attempt.endpoint.kind.pace * runs, 1000.0))
        attempt.look_at = self.now + wait
        self._watch(job, number, wait)

    def _runs_long(self, job: Job, attempt: Attempt, number: int) -> None:
        """Learn from a job that runs on; where its endpoint is slow, send a copy to one that has room."""
        elapsed, mean = self.now - attempt.started, job.cls.run * attempt.endpoint.kind.pace
        if job.cls.seen >= FEW:  # before, no run time is known to be long
            self._learn_pace(attempt.endpoint, elapsed / mean, least=True)
        if self._pace(attempt.endpoint) < SLOW:
            self._look(job, attempt, number, LATE_RUN)
            return
        target = self._pick(job, room_only=True)
        if target is not None and self._pace(target) < SLOW and self.copy_pays(job, attempt, target):
            self._place(job, target)

    def _noted(self, event: ExecutionStarted | ExecutionProgressed | StreamStarted) -> None:
        job, attempt = self.find(event.id, event.attempt)
        if job is None or attempt is None:
            return
        endpoint = attempt.endpoint
        endpoint.unheard_since, endpoint.heard_at = 0, self.now  # it is there, but the job may fail yet
        if attempt.started:
            return
        attempt.started = self.now
        endpoint.running += job.slots
        late = self.now - attempt.at > PROMPT * self.mean_run
        if not endpoint.kind.told:
            self._learn_slots(endpoint, late)
        self.own_running += job.slots
        self._cancel(job, attempt)
        if self.limits.second_copies and job.pending == 1 and not job.done:
            self._look(job, attempt, event.attempt, LATE_RUN if self._pace(endpoint) >= SLOW else LONG_RUN)

    def _paused(self, event: ExecutionPaused) -> None:
        job, attempt = self.find(event.id, event.attempt)
        if job is None or attempt is None or not attempt.started or event.paused == (attempt.paused_at > 0):
            return
        # Guards against a suspended job that makes its endpoint look slow, or gets a copy.
        if event.paused:
            attempt.paused_at = self.now
            return
        attempt.started, attempt.paused_at = attempt.started + self.now - attempt.paused_at, 0
        if self.limits.second_copies and job.pending == 1 and not job.done:
            self._look(job, attempt, event.attempt, LONG_RUN)

    def _cancel(self, job: Job, keep: Attempt | None) -> None:
        """Cancel the job's other attempts; but one that runs goes on until the first has ended."""
        if self.limits.cancelling and job.pending > (keep is not None and keep.open):
            self.out += [
                Cancel(job.id, number)
                for number, other in enumerate(job.attempts)
                if other.open and other is not keep and not (keep and other.started)
            ]

    def _ended(self, event: AttemptEnded) -> None:
        job, attempt = self.find(event.id, event.attempt)
        if job is None or attempt is None:
            return
        self.release(job, attempt)
        self.judge(attempt.endpoint, job, attempt, event)
        attempt.ran = not never_ran(event.outcome, attempt.started > 0)
        if (event.final or event.outcome == Outcome.OK) and not job.done:
            job.done = True
            self._cancel(job, None)
        if job.pending == 0:
            del self.jobs[job.id]
            if not job.done:
                self._try(job)

    def _withdrawn(self, event: ClientDisconnected) -> None:
        job = self.jobs.get(event.id)
        if job is not None and not job.done:
            job.done = True
            self._cancel(job, None)
            if job.pending == 0:
                del self.jobs[job.id]

    # The list.

    def _moved(self, event: DiscoveryChanged) -> None:
        moved = event.moved and self.settings.must_subscribe  # a pushed list is watched again by itself
        self.out += self.calls.reloaded(self.now, event.told_us, moved)

    def _list(self, event: EndpointsChanged) -> None:
        if event.scope == "refused":
            if not self.settings.must_subscribe:
                self.list_lease.agent_failed(self.now, event.heard_us, event.failure)
            elif event.former:
                self.calls.former_ended(self.now, event.heard_us)
            else:
                self.out += self.calls.broken(self.now, event.heard_us, event.failure)
            return
        if event.former:
            # Guards against an answer that was under way when a new configuration came: what it does not
            # name counts as notified by the new discovery all the same.
            self.calls.former_answered(self.now)
        elif event.scope != "remembered" and (late := self.calls.answered(self.now)) > 0:
            self.out.append(LogNotice(f"the list came {late / 1e6:.1f} s after its deadline"))
        for endpoint in self.relist(event):  # those that have just started, empty
            self._starts(endpoint)

    def _recounted(self, event: BalancerCountChanged) -> None:
        self.recount(event)
        self.calls.me, self.calls.fleet = event.me, self.settings.balancers

    def _starts(self, endpoint: Endpoint) -> None:
        endpoint.observe(self.now, 0.0)
        endpoint.cold_next = self._cold_after(endpoint, self.now)

    def _maintained(self, event: MaintenanceChanged) -> None:
        endpoint = self.maintain(event)
        if endpoint is not None and self.cold(endpoint):
            self._starts(endpoint)
