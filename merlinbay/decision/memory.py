"""All that a balancer remembers, with its look-ups and indexes; no decisions.

Times are microseconds, counts are slots.
"""

from __future__ import annotations

import dataclasses
import heapq
import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from merlinbay.decision.events import (
    BalancerCountChanged,
    EndpointsChanged,
    MaintenanceChanged,
    SlotsReserved,
)
from merlinbay.decision.list_lease import ListLease
from merlinbay.decision.records import Attempt, Class, Endpoint, Job, Kind, Rate
from merlinbay.decision.settings import Settings


@dataclass(eq=False)
class Memory:
    """All that a balancer remembers."""

    settings: Settings
    rng: Random
    now: int
    rate: Rate  # of offered jobs, refused included
    began: int = field(init=False)  # when this process started
    list_lease: ListLease = field(init=False)
    classes: dict[str, Class] = field(default_factory=dict)
    kinds: dict[str, Kind] = field(default_factory=dict)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    kept: dict[str, float] = field(default_factory=dict)  # slots kept free, by endpoint
    banned: dict[str, int] = field(default_factory=dict)  # endpoints that operators took out, and since when
    returned: list[Endpoint] = field(default_factory=list)  # put back, and not sent anything since
    usable: list[Endpoint] = field(default_factory=list)  # those that are up, shuffled
    colds: list[Endpoint] = field(default_factory=list)  # and of these, the ones started lately
    pools: dict[int, tuple[list[Endpoint], list[Endpoint]]] = field(
        default_factory=dict
    )  # by kind: near, far
    groups: dict[str | int, list[Endpoint]] = field(default_factory=dict)  # by zone and by cell
    affine: dict[str, list[Endpoint]] = field(default_factory=dict)  # by key: its few endpoints, in order
    tenants: dict[str, Rate] = field(default_factory=dict)  # offered rate of each
    jobs: dict[int, Job] = field(default_factory=dict)
    probing: dict[str, list[Job]] = field(default_factory=dict)  # by endpoint: the jobs whose probes are out
    watches: list[tuple[int, int, int]] = field(default_factory=list)  # heap: due, job, attempt
    timer_at: int = 0
    misjudged: float = 0.5  # how often a report to a probe has shown room where none was believed, or none,
    probe_us: float = 0.0  # and what a probe takes
    crossed: float = 0.0  # share of our jobs that went over the zone border
    trust: float = 1.0  # how often an endpoint that seemed to have room took the job
    offered: int = 0
    own_held: float = 0.0  # our outstanding slots, now
    own_running: float = 0.0  # and of these, the started ones
    own_stuck: float = 0.0  # held at endpoints that are gone or answer nothing, when last counted
    slots: float = 1.0  # learned slots of an endpoint, where no report tells them,
    late: float = 0.0  # from the smoothed share of starts that were late
    starts: int = 0
    mean_held: float = 0.0  # and smoothed
    slots_total: float = 1.0
    slots_at: int = 0  # when to count them again
    heard: deque[tuple[int, float, Kind]] = field(default_factory=deque)  # when, what others held, where,
    shown: float = 0.0  # and the median share of an endpoint's slots
    mean_run: float = 1000.0  # slots x run time of the mean job offered
    mean_worth: float = 1.0
    mean_slots: float = 1.0

    def __post_init__(self) -> None:
        """Note when this began."""
        self.began = self.now
        self.list_lease = ListLease(self.settings.safety.must_ask_in_us, self.settings.safety.drain_grace_us)

    def find(self, job_id: int, number: int) -> tuple[Job | None, Attempt | None]:
        """Return a job and its open attempt, or neither."""
        job = self.jobs.get(job_id)
        if job is None or not 0 <= number < len(job.attempts) or not job.attempts[number].open:
            return None, None
        return job, job.attempts[number]

    def remind(self, job_id: int, number: int, wait: int) -> list[int]:
        """Remember to look at an attempt after a while; return the timer to set, if one is needed."""
        heapq.heappush(self.watches, (self.now + wait, job_id, number))
        if self.now < self.timer_at <= self.now + wait:
            return []
        self.timer_at = self.now + wait
        return [wait]

    def due(self) -> Iterator[tuple[Job, int]]:
        """Take the jobs and attempts that are due to be looked at."""
        while self.watches and self.watches[0][0] <= self.now:
            _, job_id, number = heapq.heappop(self.watches)
            if job_id in self.jobs:
                yield self.jobs[job_id], number

    def remind_next(self) -> list[int]:
        """Return the timer to set for what is due next, if one is needed."""
        if not self.watches or self.timer_at > self.now:
            return []
        self.timer_at = self.watches[0][0]
        return [self.timer_at - self.now]

    def probes_sent(self, job: Job, endpoints: list[str]) -> None:
        """Remember that probes are out for a job."""
        self.jobs[job.id] = job
        for name in endpoints:
            self.probing.setdefault(name, []).append(job)
        job.probes_pending += len(endpoints)

    def tenant_rate(self, tenant: str, tau_us: int) -> float:
        """Count a request of a tenant; return its rate."""
        if not tenant:
            return 0.0
        rate = self.tenants.setdefault(tenant, Rate(self.now))
        rate.add(self.now, tau_us)
        return rate.value

    def next_probing(self, endpoint: str) -> Job | None:
        """Return the first job that still waits for a probe of this endpoint."""
        queue = self.probing.pop(endpoint, [])
        waiting = [job for job in queue if job.probes_pending and not job.done]
        if len(waiting) > 1:
            self.probing[endpoint] = waiting[1:]
        return waiting[0] if waiting else None

    def hold(self, job: Job, attempt: Attempt) -> None:
        """Count an attempt that is sent."""
        self.jobs[job.id] = job
        job.attempts.append(attempt)
        job.pending += 1
        attempt.endpoint.count(self.now, job.slots)
        attempt.endpoint.kept -= job.slots * job.reserved
        self.own_held += job.slots

    def release(self, job: Job, attempt: Attempt) -> None:
        """Count an attempt that has ended."""
        attempt.open = False
        job.pending -= 1
        attempt.endpoint.count(self.now, -job.slots)
        attempt.endpoint.kept += job.slots * job.reserved
        self.own_held -= job.slots
        if attempt.started:
            attempt.endpoint.running -= job.slots
            self.own_running -= job.slots

    def relist(self, event: EndpointsChanged) -> list[Endpoint]:
        """Take a list of endpoints; return those that have started since they were last listed."""
        if event.scope != "changes":  # an endpoint that a complete list does not name is gone
            for endpoint in self.endpoints.values():
                endpoint.state = endpoint.listed = "removed"
        started = []
        for entry in event.entries:
            kind = self.kinds.setdefault(entry.kind, Kind())
            endpoint = self.endpoints.setdefault(entry.endpoint, Endpoint(entry.endpoint, kind))
            endpoint.kind, endpoint.zone, endpoint.cell, endpoint.listed = (
                kind,
                entry.zone,
                entry.cell,
                entry.state,
            )
            endpoint.state = self.standing(endpoint)
            endpoint.kept = self.kept.get(entry.endpoint, 0.0)
            if entry.ready_at_us > endpoint.ready_at:
                endpoint.restart(entry.ready_at_us)
                started.append(endpoint)
        self.endpoints = {w.name: w for w in self.endpoints.values() if w.state != "removed" or w.held > 0}
        self.reindex()
        return started

    def knows(self, name: str) -> bool:
        """Tell whether an endpoint is listed, or was taken out by operators."""
        endpoint = self.endpoints.get(name)
        return name in self.banned or (endpoint is not None and endpoint.listed != "removed")

    def standing(self, endpoint: Endpoint) -> str:
        """Return an endpoint's state: as listed, but draining while operators have it out."""
        return "draining" if endpoint.name in self.banned and endpoint.listed == "up" else endpoint.listed

    def maintain(self, event: MaintenanceChanged) -> Endpoint | None:
        """Take an endpoint out or put it back; return one that is back in use.

        Guards against a server that is cold for having been restarted meanwhile, of which nothing was listed
        yet: it counts as started when it is put back.
        """
        endpoint = self.endpoints.get(event.endpoint)
        if event.on:
            self.banned.setdefault(event.endpoint, self.now)
        since = 0 if event.on else self.banned.pop(event.endpoint, None)
        if endpoint is None or since is None:
            return None
        endpoint.state = self.standing(endpoint)
        if not event.on and endpoint.ready_at < since:
            endpoint.restart(self.now)
        self.reindex()
        self.returned = [w for w in self.returned if w is not endpoint] + [endpoint] * (not event.on)
        return None if event.on else endpoint

    def sample(self, pool: list[Endpoint], most: int) -> list[Endpoint]:
        """Return a few endpoints at a random place of the shuffled pool."""
        at = self.rng.randrange(len(pool)) if len(pool) > most else 0
        return pool[at : at + most] + pool[: max(0, at + most - len(pool))] if at else pool[:most]

    def hangs(self, endpoint: Endpoint, silent_us: int) -> bool:
        """Tell whether an endpoint has taken jobs and answered none for so long."""
        return (
            endpoint.unheard_since > 0 and endpoint.held > 0 and self.now - endpoint.unheard_since > silent_us
        )

    def count_slots(self, silent_us: int) -> None:
        """Count the slots of the endpoints in use, and our jobs at those that are gone or hang."""
        # Guards against cold endpoints that get nothing: they would count as holding what the warm ones do.
        self.slots_total = max(1.0, sum(w.kind.slots * self.capacity(w) for w in self.usable))
        self.own_stuck = sum(
            w.held
            for w in self.endpoints.values()
            if w.held and (w.state != "up" or self.hangs(w, silent_us))
        )

    def cold(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint has started too lately to have its full capacity."""
        return endpoint.ready_at > 0 and self.now - endpoint.ready_at < self.settings.safety.cold_us

    def shown_slots(self, kind: Kind) -> float:
        """Return the slots that a kind was seen to have, one at the least: no guess, nor another kind's."""
        return kind.slots if kind.told else max(kind.most, 1.0)

    def capacity(self, endpoint: Endpoint) -> float:
        """Return the share of its capacity that an endpoint has by now, at the least: it grows evenly."""
        safety, age = self.settings.safety, max(0, self.now - endpoint.ready_at)
        if not self.cold(endpoint):
            return 1.0
        return safety.cold_from + (1 - safety.cold_from) * age / safety.cold_us

    def warmed(self, endpoint: Endpoint, since: int, amount: float) -> int:
        """Return when the endpoint's share of its capacity, reaches an amount.

        The share is summed over time since then.
        """
        safety, grows = self.settings.safety, self._grows()
        amount += self.grown(endpoint, since)
        past = math.sqrt(safety.cold_from**2 + 2 * grows * amount) - safety.cold_from
        return endpoint.ready_at + int(past / grows)

    def grown(self, endpoint: Endpoint, until: int) -> float:
        """Return the endpoint's share of its capacity, summed over time from its start."""
        age = max(0, until - endpoint.ready_at)
        return self.settings.safety.cold_from * age + self._grows() * age * age / 2

    def _grows(self) -> float:
        return (1 - self.settings.safety.cold_from) / max(self.settings.safety.cold_us, 1) + 1e-12

    def recount(self, event: BalancerCountChanged) -> None:
        """Take it that so many balancers share the work by now."""
        self.settings = dataclasses.replace(self.settings, balancers=max(event.count, 1), me=event.me)

    def keep(self, event: SlotsReserved) -> None:
        """Keep so many slots of an endpoint free from now on, also of one that is not listed at present."""
        self.kept[event.endpoint] = event.slots
        if not event.slots:
            del self.kept[event.endpoint]
        endpoint = self.endpoints.get(event.endpoint)
        if endpoint is not None:
            endpoint.kept = event.slots
            if not endpoint.kind.told:  # Guards against slots not yet learned: what is kept looks like all.
                endpoint.kind.most = max(endpoint.kind.most, event.of)
                endpoint.kind.slots = max(endpoint.kind.slots, event.of)

    def kind_names(self) -> dict[Kind, str]:
        """Return the kinds' names."""
        return {kind: name for name, kind in self.kinds.items()}

    def reindex(self) -> None:
        """Index the endpoints that are up, shuffled so that a slice of a pool is a random sample."""
        self.usable = [w for w in self.endpoints.values() if w.state == "up"]
        self.rng.shuffle(self.usable)
        self.slots_at = self.now
        self.colds = [w for w in self.usable if self.cold(w)]
        self.affine.clear()
        self.groups = {}
        for endpoint in self.usable:
            self.groups.setdefault(endpoint.cell, []).append(endpoint)
            self.groups.setdefault(endpoint.zone, []).append(endpoint)
        away = self.settings.cross_zone_price > 0
        for index, name in enumerate(["", *self.settings.kinds]):
            fit = [w for w in self.usable if not index or w.kind is self.kinds[name]]
            self.pools[index - 1] = (
                [w for w in fit if not away or w.zone == self.settings.zone],
                [w for w in fit if away and w.zone != self.settings.zone],
            )
