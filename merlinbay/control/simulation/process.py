"""One simulated voter process: carries the core's effects out in order, and stops anywhere between them.

The rules of a host, which a real one has to keep too: effects are carried out in order, or all records first;
the next input is handled only when all effects of the last are carried out; a record that cannot be made
durable ends the voter, since what the core holds in memory is then ahead of its disk. A host may hand the
inputs that wait to the core at once and take the effects of all of them (``batches``).
"""

from __future__ import annotations

import math
import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from merlinbay.control.effects import (
    Persist,
    ProposalDone,
    ReadDone,
    RevisionAdvanced,
    SendMessage,
    VoterEffect,
)
from merlinbay.control.entries import Change
from merlinbay.control.simulation.history import ProposalAttempt
from merlinbay.control.simulation.machine import SimulatedDisk, SkewedClock
from merlinbay.control.simulation.ports import CoreUnderTest, VoterPort, VoterStart
from merlinbay.control.simulation.scheduler import Scheduler

LEAST_TICK = 0.001  # seconds between ticks, where a deadline stays in the past
RESTART_AFTER = 1.0  # seconds until a process whose disk failed is started again
SLOW_SYNC = 0.02  # share of the syncs that take up to SLOWEST_SYNC
SYNC, SLOWEST_SYNC = 0.002, 0.1  # seconds

VoterInput = Callable[[VoterPort, float], None]
ReplyTo = Callable[[ProposalDone | ReadDone], None]


class ProcessEnvironment(Protocol):
    """What a process needs of its surroundings."""

    scheduler: Scheduler

    def send(self, sender: str, receiver: str, message: bytes) -> bool:
        """Send a message to another voter; return whether it is a vote."""

    def observe(self, host: SimulatedProcess) -> None:
        """Look at a voter whose effects are all carried out."""

    def attempted(self, attempt: ProposalAttempt) -> None:
        """Record that a change was handed to a voter."""

    def failed(self, host: SimulatedProcess, problem: str) -> None:
        """Record an exception of the code under test."""

    def trace(self, text: str) -> None:
        """Note what happens."""


@dataclass
class PendingRequest:
    """A proposal or read that the core has not answered yet."""

    reply: ReplyTo
    attempt: ProposalAttempt | None


@dataclass(frozen=True)
class AfterVote:
    """An armed crash: how long the process is down then, and whether its disk is empty after."""

    down_for: float
    loses_disk: bool


class SimulatedProcess:
    """One process, its clock and its disk, over all its starts."""

    def __init__(
        self,
        name: str,
        core: CoreUnderTest,
        world: ProcessEnvironment,
        clock: SkewedClock,
        random: Random,
        first_voters: tuple[str, ...],
        batches: bool,
    ) -> None:
        """Set the process up; ``start`` starts it."""
        self.name = name
        self.core = core
        self.world = world
        self.clock = clock
        self.random = random
        self.first_voters = first_voters
        self.batches = batches
        self.disk = SimulatedDisk()
        self.voter: VoterPort | None = None
        self.starts = 0
        self.paused = False
        self.syncing = False
        self.working = False
        self.crash_in: int | None = None  # effects until an armed crash
        self.crash_for = 0.0
        self.crash_after_vote: AfterVote | None = None
        self.leader_crash_in: int | None = None  # effects until a crash, once it leads
        self.effects: deque[VoterEffect] = deque()
        self.inputs: deque[VoterInput] = deque()
        self.pending: dict[int, PendingRequest] = {}
        self.answered: dict[int, ProposalAttempt] = {}
        self.tick_at = math.inf

    @property
    def idle(self) -> bool:
        """Whether the process runs and has carried all effects out."""
        return self.voter is not None and not (self.paused or self.syncing or self.effects)

    def now(self) -> float:
        """Return what the process's clock shows."""
        return self.clock.local(self.world.scheduler.time)

    def start(self) -> None:
        """Start the process from its durable records."""
        if self.voter is not None:
            return
        self.starts += 1
        self.world.trace(f"{self.name} starts with {len(self.disk.records)} records")
        random = Random(self.random.random())
        boot = VoterStart(self.name, self.first_voters, tuple(self.disk.records), random, self.now())
        try:
            self.voter = self.core.start(boot)
            self.effects.extend(self.voter.take_effects())
        except Exception:
            self.world.failed(self, traceback.format_exc(limit=-3))
            return
        self._work()

    def crash(self, restart_after: float | None) -> None:
        """End the process; what was not carried out is lost."""
        if self.voter is None:
            return
        self.world.trace(f"{self.name} crashes with {len(self.effects)} effects left")
        if self.syncing:
            self._maybe_durable(self.effects[0])
        self.voter = None
        self.syncing = False
        self.paused = False
        self.disarm()
        self.tick_at = math.inf
        self.effects.clear()
        self.inputs.clear()
        self.pending.clear()
        if restart_after is not None:
            self.world.scheduler.after(restart_after, self.start)

    def crash_within(self, effects: int, down_for: float) -> None:
        """Crash before so many further effects are carried out."""
        self.crash_in = effects
        self.crash_for = down_for

    def crash_as_leader(self, effects: int, down_for: float) -> None:
        """Crash before so many effects are carried out from the moment on at which the voter leads."""
        self.leader_crash_in = effects
        self.crash_for = down_for

    def disarm(self) -> None:
        """Take armed crashes back."""
        self.crash_in = self.crash_after_vote = self.leader_crash_in = None

    def pause(self) -> None:
        """Stop the process as by SIGSTOP: its inputs wait, its clock runs on."""
        self.paused = self.voter is not None

    def resume(self) -> None:
        """Let a stopped process run on."""
        if self.paused:
            self.paused = False
            self._work()

    def give(self, call: VoterInput) -> None:
        """Hand an input to the process, or lose it where the process is down."""
        if self.voter is not None:
            self.inputs.append(call)
            self._work()

    def propose(self, change: Change, token: int, reply: ReplyTo) -> None:
        """Hand a client's change to the core."""

        def call(voter: VoterPort, now: float) -> None:
            attempt = ProposalAttempt(self.world.scheduler.time, self.name, change)
            self.world.attempted(attempt)
            self.pending[token] = PendingRequest(reply, attempt)
            voter.propose(now, change, token)

        self.give(call)

    def read(self, key: str, token: int, reply: ReplyTo) -> None:
        """Hand a client's read to the core."""

        def call(voter: VoterPort, now: float) -> None:
            self.pending[token] = PendingRequest(reply, None)
            voter.read(now, key, token)

        self.give(call)

    def change_voters(self, add: str | None, remove: str | None, token: int, reply: ReplyTo) -> None:
        """Hand an operator's change of voters to the core."""

        def call(voter: VoterPort, now: float) -> None:
            self.pending[token] = PendingRequest(reply, None)
            voter.change_voters(now, add, remove, token)

        self.give(call)

    def _work(self) -> None:
        """Carry out the effects left, then handle inputs, as far as the process comes now."""
        if self.working:
            return
        self.working = True
        try:
            self._carry_out()
            while self.inputs and self.idle:
                self._handle()
                self._carry_out()
        finally:
            self.working = False
        if self.idle:
            self._plan_tick()

    def _handle(self) -> None:
        """Handle the next input, or all that wait, and take the effects."""
        if not self.batches:
            self._call([self.inputs.popleft()])
            return
        calls = list(self.inputs)
        self.inputs.clear()
        self._call(calls)
        # Records first, so that one sync does for all of them.
        self.effects = deque(sorted(self.effects, key=lambda effect: not isinstance(effect, Persist)))

    def _call(self, calls: list[VoterInput]) -> None:
        assert self.voter is not None
        now = self.now()
        try:
            for call in calls:
                call(self.voter, now)
            self.effects.extend(self.voter.take_effects())
        except Exception:
            self.world.failed(self, traceback.format_exc(limit=-3))
            self.crash(RESTART_AFTER)
            return
        if self.leader_crash_in is not None and self.core.leading_term(self.voter) is not None:
            self.crash_in, self.leader_crash_in = self.leader_crash_in, None

    def _carry_out(self) -> None:
        while self.effects and self.voter is not None and not (self.paused or self.syncing):
            if self._crashes_here():
                return
            effect = self.effects[0]
            if isinstance(effect, Persist):
                self._sync(effect)
                return
            self.effects.popleft()
            self._carry_one(effect)
        if self.idle:
            self.world.observe(self)

    def _crashes_here(self) -> bool:
        if self.crash_in is None:
            return False
        if self.crash_in > 0:
            self.crash_in -= 1
            return False
        self._maybe_durable(self.effects[0])
        self.crash(self.crash_for)
        return True

    def _maybe_durable(self, effect: VoterEffect) -> None:
        """Let the record that was being written at a crash be durable or lost."""
        if isinstance(effect, Persist) and not self.disk.full and self.random.random() < 0.5:
            self.disk.append(effect.record, effect.replaces_all)

    def _sync(self, effect: Persist) -> None:
        self.syncing = True
        slow = self.random.random() < SLOW_SYNC
        span = (SLOWEST_SYNC if slow else SYNC) * self.random.random()
        voter = self.voter
        self.world.scheduler.after(span, lambda: self._synced(effect, voter))

    def _synced(self, effect: Persist, voter: VoterPort | None) -> None:
        if self.voter is not voter or not self.syncing:
            return  # crashed meanwhile
        if self.disk.full:
            self._storage_failed()
            return
        self.disk.append(effect.record, effect.replaces_all)
        self.syncing = False
        self.effects.popleft()
        self._work()

    def _storage_failed(self) -> None:
        """Answer what is still open, then end the process."""
        dropped = tuple(self.effects)
        self.effects.clear()
        self.syncing = False
        self._call([lambda voter, now: voter.storage_failed(now, dropped)])
        for effect in self.effects:
            if isinstance(effect, ProposalDone | ReadDone):
                self._answer(effect)
        self.crash(RESTART_AFTER)

    def _carry_one(self, effect: VoterEffect) -> None:
        match effect:
            case SendMessage():
                voted = self.world.send(self.name, effect.receiver, effect.message)
                if voted:
                    self._has_voted()
            case ProposalDone() | ReadDone():
                self._answer(effect)
            case RevisionAdvanced() | Persist():
                pass  # followers are served once all effects are carried out

    def _has_voted(self) -> None:
        after = self.crash_after_vote
        if after is not None:
            self.crash(after.down_for)
            if after.loses_disk:
                self.disk.lose()

    def _answer(self, effect: ProposalDone | ReadDone) -> None:
        pending = self.pending.pop(effect.token, None)
        if pending is None:
            if effect.token in self.answered:
                self.answered[effect.token].answers += 1
            return
        if pending.attempt is not None and isinstance(effect, ProposalDone):
            pending.attempt.result = effect.result
            pending.attempt.answers += 1
            self.answered[effect.token] = pending.attempt
        pending.reply(effect)

    def _plan_tick(self) -> None:
        assert self.voter is not None
        deadline = self.voter.next_deadline()
        if deadline == math.inf:
            return
        moment = max(self.clock.moment(deadline), self.world.scheduler.time + LEAST_TICK)
        if moment < self.tick_at:
            self.tick_at = moment
            voter = self.voter
            self.world.scheduler.at(moment, lambda: self._tick(voter, moment))

    def _tick(self, running: VoterPort, moment: float) -> None:
        if self.voter is not running or self.tick_at != moment:
            return
        self.tick_at = math.inf
        if self.idle and running.next_deadline() > self.now():
            self._plan_tick()
        else:
            self.give(lambda voter, now: voter.tick(now))
