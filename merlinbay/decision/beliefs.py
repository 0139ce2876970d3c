"""What a balancer believes of endpoints and of the other balancers: estimates, and no decision.

Times are microseconds, counts are slots. ``rules.py`` decides on these.
"""

from __future__ import annotations

import math
import statistics
import zlib
from typing import Any

from merlinbay.decision.calls import GOLDEN
from merlinbay.decision.events import BalancerCountChanged
from merlinbay.decision.memory import Memory
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.records import Endpoint, Kind

PACE_WEIGHT = 0.15  # weight of one job in its endpoint's pace: a few jobs tell a slowed machine
PACE_TAU_US = 20_000_000  # and how long that lasts without news, for one that is passed over gets no jobs
SLOT_STEP = 0.01  # weight of one start in the learned slots of a kind: the count of running ones is noise
LATE_LEAST = 0.1  # the least share of late starts that is told from none
COLD_SAFE = 0.5  # share of the cold budget that is used: the jobs' true sizes are not known
RUN_WEIGHT = 0.03  # weight of one run time, start delay or count of slots: against long tails
SPARE = 0.75  # reported free slots that are at least one: reports are a little off
CAUTION = 0.65  # share of the spread (square root, less for a few) of an unseen count that counts as held
HEARD_MOST = 64  # reports that the median of what the others hold rests on, at the most
HEARD_US = 2_000_000  # and how old the oldest of them may be: a queue is gone within a second
OTHERS_WEIGHT = 0.1  # weight of one report in what the others hold at an endpoint in the mean
LARGE_CALLS = 3.0  # a job of more than so many calls' work takes its own share of a starting endpoint's turns
KNOWN_JOBS = 20  # offered jobs from which the mean job is known,
KNOWN_RUNS = 3  # and ended ones from which the run times are
FEW_REPORTS = 5  # reports that an endpoint's slots rest on, at the least
HEARD_HALF = 4  # so many count as much as the count of balancers that was told


def _words(outcome: int) -> str:
    """Return an outcome's name as people write it."""
    return Outcome(outcome).name.lower().replace("_", " ")


class Beliefs(Memory):
    """Estimates over what is remembered."""

    # Peers.

    def hear(self, endpoint: Endpoint, held: float) -> None:
        """Note what a report shows of the others' slots, over the endpoint's present ones."""
        # A count made up from free slots ends where an endpoint is full; of unknown slots there is no share.
        if not self.settings.held_field or not endpoint.kind.told:
            return
        others, part = max(0.0, held - endpoint.held), max(self.capacity(endpoint), 0.1)
        self.heard.append((self.now, others / part, endpoint.kind))

    def weigh_reports(self) -> None:
        """Take the median of what was heard lately, by slots as they are known now."""
        # Guards against a first verdict that stands for ever: who refuses all hears nothing more.
        while self.heard and (len(self.heard) > HEARD_MOST or self.heard[0][0] < self.now - HEARD_US):
            self.heard.popleft()
        if self.heard:
            self.shown = statistics.median(others / kind.slots for _, others, kind in self.heard)

    def peers(self) -> float:
        """Return how many of our size the other balancers are: those told, or fewer where reports show less.

        Guards against traffic that is dealt unevenly, and against most of them dying at once: own counts
        times the count that was told are too much by as much as we have more than our share. The median of
        reports is used since a few endpoints with long queues say nothing of the room that the others have.
        Reports lower the count and never raise it: they are seconds old, and who refuses all by them hears no
        newer ones, while the servers stand idle.
        """
        told = self.settings.balancers - 1
        if not told or not self.heard or self.mean_held <= 0:
            return told
        count = len(self.heard)
        shown = min(self.shown * self.slots_total / self.mean_held, told)
        return told + (shown - told) * count / (count + HEARD_HALF)

    def _fade(self, endpoint: Endpoint) -> float:
        """Return what part of the last observation of an endpoint still holds."""
        return 0.0 if endpoint.others_at < 0 else math.exp((endpoint.others_at - self.now) / self.mean_run)

    def _others(self, endpoint: Endpoint) -> float:
        """Return the slots that the other schedulers hold there."""
        # Guards against coarse counts: scaled by the balancers, our one job there would shut a gate. So
        # the mean of our counts is scaled, an unheard endpoint holds it too, and news fade back to it.
        mean = (
            self.peers() * self.mean_held * endpoint.kind.slots * self.capacity(endpoint) / self.slots_total
        )
        # Guards against zones that are not used alike: others may hold much here, and nothing there.
        mean += (endpoint.others_mean - mean) * endpoint.reports / (endpoint.reports + HEARD_HALF)
        return mean + (endpoint.others - mean) * self._fade(endpoint)

    def _free(self, endpoint: Endpoint, caution: float = CAUTION) -> float:
        """Return the estimated free slots; below 0, the waiting count. A cold endpoint has a part of them."""
        slots = endpoint.kind.slots * self.capacity(endpoint)
        # Guards against the mean's blind spot: endpoints' true counts lie spread about it, and a queue on
        # some is not made good by room on others. So a share of the unseen part's spread is added.
        others = self._others(endpoint)
        spread = others * math.sqrt((1 - self._fade(endpoint)) / (1 + others))
        return slots - endpoint.held - endpoint.kept - others - caution * spread

    def _pace(self, endpoint: Endpoint) -> float:
        """Return the endpoint's run time over its kind's, as its jobs told it lately."""
        return 1 + (endpoint.pace - 1) * math.exp((endpoint.paced_at - self.now) / PACE_TAU_US)

    def _learn_pace(self, endpoint: Endpoint, ratio: float, least: bool = False) -> None:
        """Learn an endpoint's pace from a run time over its kind's mean, or from its least."""
        # Guards against machines that slow down: they look no fuller than others for a while, yet what
        # is sent there is late. A job that runs on is known to be long before it ends.
        pace = self._pace(endpoint)
        if ratio > pace or not least:
            endpoint.pace, endpoint.paced_at = pace + (min(ratio, 10.0) - pace) * PACE_WEIGHT, self.now

    def _told_slots(self, endpoint: Endpoint, free: float, held: float | None) -> None:
        """Learn a kind's slots from a report."""
        kind = endpoint.kind
        if held is not None and free >= max(held, 1.0):  # half empty: none waits; the two make up all
            kind.counts += 1  # Guards against few slots believed, where none is ever seen empty.
            kind.slots += (free + held - kind.slots) * max(RUN_WEIGHT, 1 / kind.counts)
        elif held is not None and not kind.counts:  # with room for one, some wait only where jobs are larger
            if free >= SPARE:
                kind.slots = min(kind.slots, free + held) if kind.told else free + held
        elif not kind.counts:
            self._shown_slots(endpoint, free)
        # Guards against a full endpoint's report: that nothing is free says nothing of how much there is. Nor
        # does what is free at a cold one, where the count held is not told beside it.
        kind.told = kind.told or (free >= SPARE if held is not None else not self.cold(endpoint))
        if not kind.told:
            return
        # Guards against a kind never tried: held to have one slot, it would get no job, and so no report.
        for other in self.kinds.values():
            other.slots = other.slots if other.told else max(other.most, kind.slots)

    def _counted_slots(self, kind: Kind, running: float) -> None:
        """Learn a kind's slots where reports tell what is held and what of it waits, not what is free."""
        # Guards against one slot believed where nobody is ever refused: no 'full' tells that it is more.
        kind.most = max(kind.most, float(math.floor(running + 1 - SPARE)))
        kind.slots = max(kind.slots, kind.most)

    def _shown_slots(self, endpoint: Endpoint, free: float) -> None:
        """Learn a kind's slots where reports tell the free ones only."""
        # Guards against noise: the most that was ever reported free is too much. The free ones and our
        # running ones make up all where nobody else sends; so the mean of the least shared endpoint counts.
        kind = endpoint.kind
        if self.cold(endpoint):
            return
        endpoint.slot_reports += 1
        weight = max(RUN_WEIGHT, 1 / endpoint.slot_reports)
        endpoint.slots_shown += (free + endpoint.running - endpoint.slots_shown) * weight
        kind.most = max(kind.most, endpoint.running)
        shown = [w.slots_shown for w in self.usable if w.kind is kind and w.slot_reports >= FEW_REPORTS]
        before = max(free, kind.slots if kind.told else 0.0)
        kind.slots = max(float(round(max(shown, default=before))), kind.most, 1.0)

    def _learn_slots(self, endpoint: Endpoint, late: bool) -> None:
        """Learn a kind's slots where no report tells them: from what we see running, and starting late."""
        # Guards against a small share: where schedulers are many, ours alone never fill an endpoint. So the
        # running ones are scaled like n, and starts that were late tell what part of the slots they fill
        # (a queue's waiting probability, by Sakasegawa). The count itself can't tell: a queue is in it.
        self.starts += 1
        weight = max(SLOT_STEP, 1 / self.starts)
        self.late += (late - self.late) * weight
        busy = max(self.late, LATE_LEAST) ** (1 / (math.sqrt(2 * (self.slots + 1)) - 1))
        shown = self.own_running * self.settings.balancers / max(len(self.usable), 1) / busy
        self.slots = max(1.0, self.slots + (shown - self.slots) * weight)
        # Kinds differ: one whose starts are late more often than the others' has fewer slots.
        kind = endpoint.kind
        kind.most = max(kind.most, endpoint.running)
        kind.part = min(max(kind.part * (1 + SLOT_STEP * (self.late - late)), 0.1), 10.0)
        for kind in self.kinds.values():
            if not kind.told:
                kind.slots = max(kind.most, self.slots * kind.part)

    def _cold_share(self, endpoint: Endpoint) -> float:
        """Return our share of the slots' worth of work that an endpoint may be sent while it warms."""
        slots = self.shown_slots(endpoint.kind)
        return self.settings.safety.tip_multiple * slots * COLD_SAFE / self.settings.balancers

    def _knows_jobs(self) -> bool:
        """Tell whether enough jobs were seen to know the work of the mean one."""
        runs = sum(cls.seen for cls in self.classes.values())
        return self.offered >= KNOWN_JOBS and runs >= KNOWN_RUNS

    def _call_work(self) -> float:
        """Return the work of a call of mean work; while few jobs are known, the most that it may be."""
        if self._knows_jobs():
            # Guards against a mean that still rests on the run times that were guessed at first.
            seen = [cls.run for cls in self.classes.values() if cls.seen >= KNOWN_RUNS]
            return max(self.mean_run, min(seen, default=0.0))
        # Guards against a mean of one or two small jobs, and against guesses: what runs on takes longer.
        runs = [cls.run for cls in self.classes.values() if cls.seen]
        runs = runs or [cls.run for cls in self.classes.values()]
        oldest = next((sent for job in self.jobs.values() for sent in job.attempts if sent.open), None)
        return max(self.mean_run, *runs, self.now - oldest.at if oldest else 0.0)

    def _cold_until(self, work: float, endpoint: Endpoint) -> int:
        """Return when our share of what the endpoint takes while it warms has grown by ``work``."""
        # Guards against many small jobs: the budget is one of calls as well as of work. Each is charged so
        # much of a call of mean work that no more than the whole budget's count of calls can be sent. While
        # little is known of jobs, it may be that one of mean work is all there is.
        work = max(work, self._call_work() * (COLD_SAFE if self._knows_jobs() else 1.0))
        return self.warmed(endpoint, max(self.now, endpoint.cold_next), work / self._cold_share(endpoint))

    def recount(self, event: BalancerCountChanged) -> None:
        """Take the new count; turns that were given out by a smaller one are given out anew."""
        fewer = self.settings.balancers
        super().recount(event)
        if self.settings.balancers > fewer:
            for endpoint in self.colds:
                endpoint.cold_next = max(endpoint.cold_next, self._cold_after(endpoint, self.now))

    def _cold_after(self, endpoint: Endpoint, since: int) -> int:
        """Return our first turn from then on to send to an endpoint that warms, or one that has lapsed."""
        # Guards against a turn by guesses, far too early or late: it is worked out when a job asks for it.
        if not self._knows_jobs():
            return self.now - self.settings.safety.overload_for_us - 1
        return self._next_turn(endpoint, since)

    def _next_turn(self, endpoint: Endpoint, since: int) -> int:
        """Return our first turn from then on to send to an endpoint that warms."""
        # Guards against a joint push: turns by number part schedulers evenly, another way at each endpoint;
        # and against a process that starts anew and sends in the turn that its former self has used.
        turn = self._call_work() / self._cold_share(endpoint)
        phase = (self.settings.me * GOLDEN + zlib.crc32(endpoint.name.encode()) / 2**32) % 1
        turns = max(0, math.ceil(self.grown(endpoint, since) / turn - phase))
        return self.warmed(endpoint, endpoint.ready_at, turn * (phase + turns))

    def _turn_takes(self, endpoint: Endpoint, work: float) -> bool:
        """Tell whether our present turn is one that a job of so much work may use."""
        # Guards against turns that all go to large jobs: a job of eight calls' work may use each eighth turn,
        # and other ones at other schedulers. It is paid for afterwards all the same.
        call = self._call_work()
        if work <= LARGE_CALLS * call:
            return True
        turns = int(self.grown(endpoint, endpoint.cold_next) * self._cold_share(endpoint) / call)
        place = (
            self.settings.me * math.sqrt(2) + turns * GOLDEN + zlib.crc32(endpoint.name.encode(), 1) / 2**32
        )
        return place % 1 * work < call

    def cold_turn(self, endpoint: Endpoint, work: float = 0.0) -> bool:
        """Tell whether it is our turn to send to a cold endpoint, a job of so much work if it is known."""
        if endpoint.cold_next > self.now:
            return False
        # Guards against a burst of shares that were not used for a while, by all schedulers at once: what is
        # not used within the span that the rules count lapses. So in any span there are the shares that grow
        # in it and those of the span before, each COLD_SAFE of the budget; chance has what is allowed beyond.
        if endpoint.cold_next + self.settings.safety.overload_for_us < self.now:
            turn = self._next_turn(endpoint, max(self.now - self.settings.safety.overload_for_us, self.began))
            if turn > self.now and not self._knows_jobs():  # it is worked out anew, by what is known then
                return False
            endpoint.cold_next = turn
        return endpoint.cold_next <= self.now and self._turn_takes(endpoint, work)

    def starting(self, most: int) -> list[Endpoint]:
        """Return a few cold endpoints that we may send to."""
        return [w for w in self.colds if self.cold(w) and self.cold_turn(w)][:most]

    def beliefs(self, now_us: int) -> list[dict[str, Any]]:
        """Return what is believed of each endpoint, for people: slots, seconds and words."""
        found = []
        for endpoint in self.endpoints.values():
            out = endpoint.bench_until > now_us
            found.append(
                {
                    "name": endpoint.name,
                    "zone": endpoint.zone,
                    "kind": self.kind_names().get(endpoint.kind, ""),
                    "state": endpoint.state,
                    "slots": endpoint.kind.slots,
                    "held": endpoint.held,
                    "others": self._others(endpoint),
                    "pace": endpoint.pace,
                    "failures": endpoint.fails,
                    "cold": self.cold(endpoint),
                    "out_since_us": endpoint.fault_at if out else 0,
                    "out_until_us": endpoint.bench_until if out else 0,
                    "why": f"{_words(endpoint.fault)}, {endpoint.fails} in a row" if out else "",
                }
            )
        return found
