"""Clients and the front layer: an open loop of arrivals, deadlines, retries, and an account of it all."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import numpy as np
from hdrh.histogram import HdrHistogram

from merlinbay.emulator.host import EmulatedNode, EmulatedRequest
from merlinbay.emulator.loop import Loop, Order
from merlinbay.emulator.spec import Scenario, ScenarioError, drawn

BATCH = 2048


def stream(seed: int, name: str) -> np.random.Generator:
    """Return a random stream of its own: the same for a seed and a name in any process."""
    digest = hashlib.sha256(f"{seed}/{name}".encode()).digest()
    return np.random.Generator(np.random.PCG64(int.from_bytes(digest[:16], "big")))


class Batches:
    """Draws numbers by the thousand, and hands them out one by one."""

    def __init__(self, draw: Callable[[int], np.ndarray]) -> None:
        self.draw = draw
        self.left: list[float] = []

    def next(self) -> float:
        """Return the next number."""
        if not self.left:
            self.left = self.draw(BATCH).tolist()[::-1]
        return self.left.pop()


@dataclass
class ClientOutcomes:
    """What came of the requests, by first tries."""

    first_us: list[int] = field(default_factory=list)  # when each was first made,
    took_us: list[int] = field(default_factory=list)  # and how long until it was served; -1: it was not
    in_time: list[bool] = field(default_factory=list)
    refused: int = 0  # tries
    failed: int = 0
    lost: int = 0  # tries at nodes that died
    retries: int = 0

    def took(self) -> HdrHistogram:
        """Return how long requests that were served took, in us, from when they were first wanted."""
        found = HdrHistogram(1, 3_600_000_000, 3)
        for took in self.took_us:
            if took >= 0:
                found.record_value(max(took, 1))
        return found

    def share(self) -> float:
        """Return the share that was answered in time."""
        return sum(self.in_time) / len(self.in_time) if self.in_time else 1.0

    def worst(self, seconds: float, window_s: int = 10) -> float:
        """Return the least share over any whole seconds of that length."""
        buckets = int(seconds) + 1
        asked, good = np.zeros(buckets), np.zeros(buckets)
        for at, ok in zip(self.first_us, self.in_time, strict=True):
            asked[at // 1_000_000] += 1
            good[at // 1_000_000] += ok
        if buckets <= window_s:
            return self.share()
        ones = np.ones(window_s)
        asked, good = np.convolve(asked, ones, "valid"), np.convolve(good, ones, "valid")
        return float(np.min(good / np.maximum(asked, 1)))


def trace_of(path: Path) -> list[tuple[float, float]]:
    """Read a recorded trace: seconds, and the work in ms (0: drawn). Raises ``ScenarioError``."""
    found = []
    try:
        for number, line in enumerate(path.read_text().splitlines(), 1):
            parts = line.replace(",", " ").split()
            if not parts or parts[0].startswith("#"):
                continue
            try:
                at, work = float(parts[0]), float(parts[1]) if len(parts) > 1 else 0.0
            except ValueError:
                at = -1.0
            if not 0 <= at < 1e6 or not 0 <= work < 1e9:
                raise ScenarioError(f"{path}: line {number}: a second, and the ms of work")
            found.append((at, work))
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    return found


class ClientPopulation:
    """Makes requests, and asks again where that is allowed."""

    def __init__(
        self,
        script: Scenario,
        loop: Loop,
        nodes: list[EmulatedNode],
        rate_per_s: float,
        mean_us: float,
        seed: int,
    ) -> None:
        self.script, self.loop, self.nodes, self.account = script, loop, nodes, ClientOutcomes()
        self.rate, self.mean_us = rate_per_s, mean_us
        self.rng = Random(f"{seed}/callers")
        spec, job = script.callers, script.job
        self.retries = drawn(self.rng, spec.retries)
        self.aim_us, self.deadline_us = job.aim * 1e6, int(job.deadline * 1e6)
        self.up = list(nodes)  # as the front layer believes
        parts = Random(f"{seed}/parts")
        uneven = nodes if spec.uneven else []
        self.parts = {id(node): parts.lognormvariate(0.0, spec.uneven) for node in uneven}
        self.factors: dict[object, float] = {}  # on the traffic, by trouble
        self.peak = 1.0  # the most that these will be, together
        gaps, sizes, picks = stream(seed, "gaps"), stream(seed, "sizes"), stream(seed, "picks")
        ways = stream(seed, "ways")  # its own: how often one asks again must not move the arrivals
        bad = stream(seed, "bad")
        self.gaps_bad = Batches(lambda count: bad.exponential(size=count))
        self.ways = Batches(lambda count: ways.random(size=count))
        self.gaps = Batches(lambda count: gaps.exponential(size=count))
        sigma = job.spread
        if job.exponential:
            self.sizes = Batches(lambda count: sizes.exponential(size=count))
        else:  # its mean is 1 whatever the spread
            self.sizes = Batches(lambda count: sizes.lognormal(-sigma * sigma / 2, sigma, size=count))
        self.picks = Batches(lambda count: picks.random(size=count))
        self.keys = stream(seed, "keys")
        self.number = 0
        self.phase = self.rng.random()

    def start(self) -> None:
        """Begin."""
        if not self.script.load.trace:
            self._next()
            return
        for at_s, work_ms in trace_of(Path(self.script.load.trace)):
            self.loop.at(int(at_s * 1e6), Order.CLIENT, self._make, work_ms * 1000)

    def _level(self) -> float:
        """Return the traffic of this moment, over the day's mean."""
        load, now = self.script.load, self.loop.now / 1e6
        found = 1.0
        if load.swing:
            length = self.script.seconds if load.shape == "daily" else 8.0
            wave = (now / length + self.phase) % 1.0
            high = 1.0 if wave < 0.5 else -1.0
            found += load.swing * (high if load.shape == "bursty" else float(np.sin(2 * np.pi * wave)))
        for factor in self.factors.values():
            found *= factor
        return float(found)

    def _next(self) -> None:
        most = self.rate * (1 + self.script.load.swing) * self.peak
        wait = max(round(self.gaps.next() / most * 1e6), 1)
        self.loop.at(self.loop.now + wait, Order.CLIENT, self._maybe, most)

    def _maybe(self, most: float) -> None:
        """Make a request, if the traffic of this moment has one here (thinning of a Poisson process)."""
        if self.picks.next() * most <= self.rate * self._level():
            self._make()
        self._next()

    def _make(self, work_us: float = 0.0) -> None:
        self.number += 1
        job, now = self.script.job, self.loop.now
        slots = 2 if job.wide and self.picks.next() < job.wide else job.slots
        key, zipf = "", self.script.load.zipf
        if job.effect == "by_key":
            key = f"k{int(self.keys.zipf(1 + zipf))}" if zipf else f"r{self.number}"
        request = EmulatedRequest(
            self.number,
            max(work_us or self.sizes.next() * self.mean_us, 100.0),
            slots,
            drawn(self.rng, job.memory),
            key,
            now,
            now + self.deadline_us,
        )
        request.done = self._done
        account = self.account
        account.first_us.append(now)
        account.took_us.append(-1)
        account.in_time.append(False)
        self._ask(request)

    def _ask(self, request: EmulatedRequest) -> None:
        if not self.up:
            self._done(request, "lost", 0)
            return
        node = self._front(self.ways.next())
        if node.alive:
            node.take(request)
        else:
            self.loop.at(self.loop.now + 1000, Order.NETWORK, self._done, request, "lost", 0)

    def _front(self, draw: float) -> EmulatedNode:
        """Return the node that the front layer leads to."""
        if not self.parts:
            return self.up[int(draw * len(self.up))]
        left = draw * sum(self.parts[id(node)] for node in self.up)
        for node in self.up:
            left -= self.parts[id(node)]
            if left <= 0:
                return node
        return self.up[-1]

    def _done(self, request: EmulatedRequest, verdict: str, retry_us: int) -> None:
        account, now = self.account, self.loop.now
        if verdict == "served":
            took, index = now - request.first_us, request.number - 1
            account.took_us[index] = took
            account.in_time[index] = took <= self.aim_us + self.script.job.stretch * request.work_us
            return
        if verdict == "refused":
            account.refused += 1
        elif verdict == "lost":
            account.lost += 1
        else:
            account.failed += 1
        # A client asks again only where it was told that this is harmless, or its node was not there.
        if verdict == "failed" or request.tries >= 1 or self.rng.random() >= self.retries:
            return
        wait = int(drawn(self.rng, self.script.callers.backoff_ms) * 1000)
        if retry_us and self.rng.random() < self.script.callers.honour:
            wait = min(retry_us, int(self.script.limits.max_retry_after * 1e6))
        again = EmulatedRequest(
            request.number,
            request.work_us,
            request.slots,
            request.memory,
            request.key,
            request.first_us,
            now + wait + self.deadline_us,
            request.tries + 1,
            self._done,
        )
        account.retries += 1
        self.loop.at(now + wait, Order.CLIENT, self._ask, again)

    # The front layer.

    def node_died(self, node: EmulatedNode) -> None:
        """Notice after a while that a node is gone."""
        wait = int(drawn(self.rng, self.script.callers.notice) * 1e6)
        self.loop.at(self.loop.now + wait, Order.CLIENT, self._notice, node, node.life)

    def _notice(self, node: EmulatedNode, life: int) -> None:
        if node.life == life and node in self.up:
            self.up.remove(node)

    def node_started(self, node: EmulatedNode) -> None:
        """Take a node in, once it is ready."""
        if node not in self.up:
            self.up.append(node)
