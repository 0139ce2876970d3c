"""The four rules (WIRE, 13), checked at every event. The first that is broken stops the run.

Written apart from the module: it knows what was sent, answered and told, and nothing of how that was decided.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass, field

from merlinbay.decision.outcomes import NEVER_RAN, Outcome
from merlinbay.emulator.discovery import TOLD_US
from merlinbay.emulator.loop import Loop
from merlinbay.emulator.servers import EmulatedAttempt, EmulatedServer
from merlinbay.emulator.spec import Scenario

PUSH_US = 100_000


class RuleViolationError(Exception):
    """A rule is broken; the text says which, when and by what."""


@dataclass(slots=True)
class CheckedAttempt:
    """One attempt as the checker saw it."""

    server: str
    cell: int
    zone: str
    at: int
    outcome: Outcome | None = None


@dataclass(slots=True)
class CheckedRequest:
    """One request at a node."""

    deadline_us: int
    tries: list[CheckedAttempt] = field(default_factory=list)
    answered: bool = False


@dataclass(slots=True)
class DiscoveryStanding:
    """How a node stands with discovery."""

    last_answer_at_us: int  # when it knew all that the list said
    started_us: int = 0
    watching: bool = False
    moved_us: float = math.inf  # from when on all counts as told since it was sent to another discovery


class RuleChecker:
    """Sees everything, and raises ``RuleViolationError``."""

    def __init__(self, script: Scenario, loop: Loop) -> None:
        self.script, self.loop = script, loop
        self.grace_us = int(script.limits.drain_grace * 1e6)
        self.slack_us = int(script.limits.answer_slack_ms * 1000)
        self.asked: dict[tuple[int, int], CheckedRequest] = {}
        self.gone: dict[tuple[int, str], int] = {}  # by node and server: since when it is known to be gone
        self.listings: dict[str, list[tuple[int, bool]]] = {}  # by server: when, and whether it is gone
        self.asking: dict[int, DiscoveryStanding] = {}
        self.notified_after_us = min(int(script.discovery.ask_in * 1e6) or TOLD_US, TOLD_US)
        self.down_us: list[list[float]] = []  # when discovery was down, from and until
        self.told_start: dict[tuple[int, str], int] = {}  # the start that a node was told of
        self.pushes: dict[str, deque[tuple[int, float, bool]]] = {}  # work that came to a cold server
        self.events = 0
        self.tipped: list[str] = []
        self.pushed: dict[str, tuple[int, int]] = {}  # by server: the tenth of a second, and what came in it
        self.push_counts: Counter[int] = Counter()

    def _fail(self, rule: int, text: str) -> None:
        raise RuleViolationError(f"rule {rule} at {self.loop.now / 1e6:.6f} s, event {self.events}: {text}")

    # What nodes are told and do.

    def arrived(self, node: int, job: int, deadline_us: int) -> None:
        """Take it that a node has a request."""
        self.events += 1
        self.asked[node, job] = CheckedRequest(deadline_us)

    def listed(self, node: int, server: str, state: str, start_us: int) -> None:
        """Take it that a node was told of a server's state."""
        self.events += 1
        if state == "up":
            self.gone.pop((node, server), None)
            self.told_start[node, server] = start_us
        else:
            self.gone.setdefault((node, server), self.loop.now)

    def sent(self, node: int, job: int, server: EmulatedServer) -> None:
        """Take it that a node sends an attempt."""
        self.events += 1
        now, asked = self.loop.now, self.asked.get((node, job))
        if asked is None or asked.answered:
            self._fail(1, f"node {node} sends job {job} to {server.name} after its answer")
            return
        since = self.gone.get((node, server.name), self._unasked(node, server.name))
        if since is not None and now - since > self.grace_us:
            past = (now - since) / 1000
            self._fail(3, f"node {node} sends to {server.name}, {past:.0f} ms after it was told")
        self._repeat(node, job, asked, server)
        asked.tries.append(CheckedAttempt(server.name, server.cell, server.zone, now))

    # How nodes stand with discovery: who has not asked counts as told all the same.

    def node_started(self, node: int, stale: bool) -> None:
        """Take it that a node starts, with the list as it is or, ``stale``, as it remembers it."""
        now, known = self.loop.now, self.asking.get(node)
        self.asking[node] = DiscoveryStanding(
            known.last_answer_at_us if stale and known is not None else now, now
        )

    def list_moved(self, node: int, notified_after_us: int) -> None:
        """Take it that a node is sent to another discovery, which counts as told after so long."""
        asking = self.asking.get(node)
        if asking is not None:
            asking.moved_us = self.loop.now + notified_after_us
            self.list_closed(node)

    def list_answered(self, node: int, failed: bool) -> None:
        """Take it that its call was answered, or failed: that gives no more time."""
        if not failed and node in self.asking:
            self.asking[node] = DiscoveryStanding(self.loop.now, watching=True)

    def list_closed(self, node: int) -> None:
        """Take it that its watch was closed."""
        asking = self.asking.get(node)
        if asking is not None and asking.watching:
            asking.watching, asking.last_answer_at_us = False, self.loop.now

    def list_silent(self, node: int) -> None:
        """Take it that its watch fell silent."""
        self.list_closed(node)

    def list_down(self, down: bool) -> None:
        """Take it that nobody can be answered from now on, or that all can again."""
        if down:
            self.down_us.append([self.loop.now, math.inf])
        else:
            self.down_us[-1][1] = self.loop.now

    def list_published(self, server: str, state: str) -> None:
        """Take it that the list says something new of a server."""
        self.listings.setdefault(server, []).append((self.loop.now, state != "up"))

    def _reached(self, at: int) -> float:
        """Return from when on a change of that time could be asked for."""
        return next((until for since, until in self.down_us if since <= at < until), at)

    def _unasked(self, node: int, server: str) -> int | None:
        """Return since when a node that does not watch counts as told that a server is gone."""
        asking, found = self.asking.get(node), None
        if asking is None or asking.watching or server not in self.listings:
            return None
        for at, gone in self.listings[server]:
            told = min(
                self._reached(max(at, asking.started_us)) + self.notified_after_us, max(at, asking.moved_us)
            )
            if asking.last_answer_at_us < at and told <= self.loop.now:
                found = None if not gone else int(told) if found is None else found
        return found

    def _repeat(self, node: int, job: int, asked: CheckedRequest, server: EmulatedServer) -> None:
        spec, now = self.script.job, self.loop.now
        open_ones = [found for found in asked.tries if found.outcome is None]
        if len(asked.tries) >= self.script.limits.send_cap:
            self._fail(2, f"node {node} sends job {job} more than {len(asked.tries)} times")
        if open_ones and not self.script.limits.second_copies:
            self._fail(2, f"node {node} has two attempts of job {job} out")
        first = next(
            (found for found in asked.tries if found.outcome is None or found.outcome not in NEVER_RAN), None
        )
        if first is None or spec.effect == "repeatable":
            return
        if spec.effect == "once":
            self._fail(2, f"node {node} sends job {job} again, which may have run")
        same = {"all": True, "zone": first.zone == server.zone, "cell": first.cell == server.cell}[spec.group]
        if not same or now - first.at > spec.window * 1e6:
            self._fail(2, f"node {node} sends job {job} to {server.name} beyond what its class allows")

    def ended(self, node: int, job: int, number: int, outcome: Outcome) -> None:
        """Take it that an attempt has ended, as its node learns."""
        self.events += 1
        asked = self.asked.get((node, job))
        if asked is not None and asked.tries[number].outcome is None:
            asked.tries[number].outcome = outcome

    def answered(self, node: int, job: int, verdict: str) -> None:
        """Take it that a node gives a final answer."""
        self.events += 1
        asked = self.asked.pop((node, job), None)
        if asked is None:
            self._fail(1, f"node {node} answers job {job} twice")
            return
        if self.loop.now > asked.deadline_us + self.slack_us:
            late = (self.loop.now - asked.deadline_us) / 1000
            self._fail(1, f"node {node} answers job {job} {late:.0f} ms late")
        if verdict == "refused" and self.script.job.effect != "repeatable":
            ran = [found for found in asked.tries if found.outcome is None or found.outcome not in NEVER_RAN]
            if ran and (self.script.job.effect == "once" or self.script.job.group != "all"):
                self._fail(2, f"node {node} refuses job {job}, which may have run at {ran[0].server}")
        asked.answered = True

    def withdrawn(self, node: int, job: int) -> None:
        """Take it that a client has left."""
        self.asked.pop((node, job), None)

    def overdue(self, node: int, job: int) -> None:
        """Look whether a request was answered in its time."""
        if (node, job) in self.asked:
            self._fail(1, f"node {node} has not answered job {job}")

    def node_died(self, node: int) -> None:
        """Take it that a node has died: it owes nothing."""
        self.list_closed(node)
        for key in [key for key in self.asked if key[0] == node]:
            del self.asked[key]
        for told in (self.gone, self.told_start):
            for link in [link for link in told if link[0] == node]:
                del told[link]

    # What servers see.

    def reached(self, server: EmulatedServer, node: int, work_us: float) -> None:
        """Take it that work has come to a server: a cold one may fall over."""
        self.events += 1
        self._push(server.name)
        if not server.cold:
            return
        now, span = self.loop.now, int(self.script.hall.tip_for * 1e6)
        pushes = self.pushes.setdefault(f"{server.name}@{server.ready_us}", deque())
        knew = self.told_start.get((node, server.name), -1) == server.ready_us
        pushes.append((now, work_us / server.base, knew))
        while pushes[0][0] <= now - span:
            pushes.popleft()
        done = sum(push[1] for push in pushes)
        # What it can do in the span, at the capacity that it has now (it only grows), from its start on.
        can = server.kind.slots * server.capacity() * span * self.script.hall.tip
        if done <= can:
            return
        by_told = sum(push[1] for push in pushes if push[2])
        self.tipped.append(server.name)
        server.crash()
        if by_told * 3 >= done * 2:
            up = server.ready_us / 1e6
            self._fail(
                4,
                f"{server.name}, up since {up:.3f} s, fell over: {done / 1e6:.2f} s of work in "
                f"{span / 1e6:g} s, where {can / 1e6:.2f} s is the most",
            )

    def _push(self, server: str) -> None:
        """Count what comes to one server within a tenth of a second, by all nodes."""
        span, count = self.pushed.get(server, (-1, 0))
        if span != self.loop.now // PUSH_US:
            if count:
                self.push_counts[count] += 1
            span, count = self.loop.now // PUSH_US, 0
        self.pushed[server] = span, count + 1

    def push(self, share: float) -> int:
        """Return the number of jobs that this share of such tenths of a second did not exceed."""
        left = share * sum(self.push_counts.values())
        for count in sorted(self.push_counts):
            left -= self.push_counts[count]
            if left <= 0:
                return count
        return 0

    def ran(self, work: EmulatedAttempt, server: EmulatedServer) -> None:
        """Take it that a job has started."""
        self.events += 1
