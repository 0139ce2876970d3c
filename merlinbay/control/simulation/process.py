"""A simulated voter process: carries out the core's effects in order, and may crash between any two of them.

It follows the rules that a real host has to follow too. Effects are carried out in order, or all records
first. The next input is handled only when all effects of the previous one are carried out. A record that
cannot be made durable ends the voter, because the core's memory is then ahead of its disk. A host may pass
all waiting inputs to the core at once and then take their effects together (``batches``).
"""

from __future__ import annotations

import math
import traceback
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Protocol

from merlinbay.control.effects import (
    Persist,
    ProposalDone,
    ReadDone,
    SendMessage,
    VoterEffect,
)
from merlinbay.control.entries import Change
from merlinbay.control.simulation.armed_crashes import ArmedCrashes
from merlinbay.control.simulation.history import ProposalAttempt
from merlinbay.control.simulation.machine import SimulatedDisk, SkewedClock, draw_sync_time
from merlinbay.control.simulation.open_requests import OpenRequests, ReplyTo
from merlinbay.control.simulation.ports import CoreUnderTest, VoterPort, VoterStart
from merlinbay.control.simulation.scheduler import Scheduler

MIN_TICK_INTERVAL_S = 0.001  # least time between ticks, also if the deadline stays in the past
RESTART_AFTER_S = 1.0  # after a failed disk or an exception of the code under test

VoterInput = Callable[[VoterPort, float], None]


class ProcessEnvironment(Protocol):
    """The parts of the simulation that a process uses."""

    scheduler: Scheduler

    def send(self, sender: str, receiver: str, message: bytes) -> bool:
        """Send a message to another voter; return whether it is a vote."""

    def observe(self, host: SimulatedProcess) -> None:
        """Record the state of a voter whose effects are all carried out."""

    def attempted(self, attempt: ProposalAttempt) -> None:
        """Record that a change was passed to a voter."""

    def failed(self, host: SimulatedProcess, problem: str) -> None:
        """Record an exception of the code under test."""

    def trace(self, text: str) -> None:
        """Add a line to the trace."""


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
        """Create the process; ``start`` starts it."""
        self.name, self.core, self.world = name, core, world
        self.clock, self.random = clock, random
        self.first_voters = first_voters
        self.batches = batches  # whether all waiting inputs are handled at once
        self.disk = SimulatedDisk()
        self.voter: VoterPort | None = None
        self.starts = 0
        self.paused = self.syncing = False
        self.working = False  # ``_work`` runs and is not entered again
        self.crashes = ArmedCrashes()
        self.effects: deque[VoterEffect] = deque()
        self.inputs: deque[VoterInput] = deque()
        self.requests = OpenRequests()
        self.tick_at = math.inf

    @property
    def is_idle(self) -> bool:
        """Return whether the process runs and has carried out all effects."""
        return self.voter is not None and not (self.paused or self.syncing or self.effects)

    def now(self) -> float:
        """Return the time on the process's clock."""
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
        """End the process; effects and inputs that were not carried out are lost."""
        if self.voter is None:
            return
        self.world.trace(f"{self.name} crashes with {len(self.effects)} effects left")
        if self.syncing:
            self._store_or_lose(self.effects[0])
        self.voter = None
        self.syncing = False
        self.paused = False
        self.crashes.disarm()
        self.tick_at = math.inf
        self.effects.clear()
        self.inputs.clear()
        self.requests.clear()
        if restart_after is not None:
            self.world.scheduler.after(restart_after, self.start)

    def pause(self) -> None:
        """Suspend the process as by SIGSTOP: its inputs wait while its clock continues."""
        self.paused = self.voter is not None

    def resume(self) -> None:
        """Resume a suspended process."""
        if self.paused:
            self.paused = False
            self._work()

    def give(self, call: VoterInput) -> None:
        """Pass an input to the process; it is lost if the process is down."""
        if self.voter is not None:
            self.inputs.append(call)
            self._work()

    def propose(self, change: Change, token: int, reply: ReplyTo) -> None:
        """Pass a client's change to the core."""

        def call(voter: VoterPort, now: float) -> None:
            attempt = ProposalAttempt(self.world.scheduler.time, self.name, change)
            self.world.attempted(attempt)
            self.requests.add(token, reply, attempt)
            voter.propose(now, change, token)

        self.give(call)

    def read(self, key: str, token: int, reply: ReplyTo) -> None:
        """Pass a client's read to the core."""
        self._request(token, reply, lambda voter, now: voter.read(now, key, token))

    def change_voters(self, add: str | None, remove: str | None, token: int, reply: ReplyTo) -> None:
        """Pass an operator's change of voters to the core."""
        self._request(token, reply, lambda voter, now: voter.change_voters(now, add, remove, token))

    def _request(self, token: int, reply: ReplyTo, call: VoterInput) -> None:
        def register_and_call(voter: VoterPort, now: float) -> None:
            self.requests.add(token, reply)
            call(voter, now)

        self.give(register_and_call)

    def _work(self) -> None:
        """Carry out the remaining effects, then handle inputs until none is left or an effect has to wait."""
        if self.working:
            return
        self.working = True
        try:
            self._carry_out()
            while self.inputs and self.is_idle:
                self._handle()
                self._carry_out()
        finally:
            self.working = False
        if self.is_idle:
            self._plan_tick()

    def _handle(self) -> None:
        """Handle the next input, or all waiting inputs if ``batches`` is set, and take the effects."""
        if not self.batches:
            self._call([self.inputs.popleft()])
            return
        calls = list(self.inputs)
        self.inputs.clear()
        self._call(calls)
        # Puts the records first, as a real host does that makes all of them durable with one sync.
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
            self.crash(RESTART_AFTER_S)
            return
        if self.crashes.wait_for_leadership and self.core.leading_term(self.voter) is not None:
            self.crashes.start_leading()

    def _carry_out(self) -> None:
        while self.effects and self.voter is not None and not (self.paused or self.syncing):
            if self._crash_if_due():
                return
            effect = self.effects[0]
            if isinstance(effect, Persist):
                self._sync(effect)
                return
            self.effects.popleft()
            self._carry_out_effect(effect)
        if self.is_idle:
            self.world.observe(self)

    def _crash_if_due(self) -> bool:
        if not self.crashes.is_due():
            return False
        self._store_or_lose(self.effects[0])
        self.crash(self.crashes.down_for)
        return True

    def _store_or_lose(self, effect: VoterEffect) -> None:
        """Decide at random whether the record being written at a crash is durable or lost."""
        if isinstance(effect, Persist) and not self.disk.full and self.random.random() < 0.5:
            self.disk.append(effect.record, effect.replaces_all)

    def _sync(self, effect: Persist) -> None:
        self.syncing = True
        voter = self.voter
        self.world.scheduler.after(draw_sync_time(self.random), lambda: self._synced(effect, voter))

    def _synced(self, effect: Persist, voter: VoterPort | None) -> None:
        if self.voter is not voter or not self.syncing:
            return  # The process crashed before the sync ended.
        if self.disk.full:
            self._storage_failed()
            return
        self.disk.append(effect.record, effect.replaces_all)
        self.syncing = False
        self.effects.popleft()
        self._work()

    def _storage_failed(self) -> None:
        """Tell the core that a record was not stored, answer its open requests, then end the process."""
        dropped = tuple(self.effects)
        self.effects.clear()
        self.syncing = False
        self._call([lambda voter, now: voter.storage_failed(now, dropped)])
        for effect in self.effects:
            if isinstance(effect, ProposalDone | ReadDone):
                self.requests.answer(effect)
        self.crash(RESTART_AFTER_S)

    def _carry_out_effect(self, effect: VoterEffect) -> None:
        match effect:
            case SendMessage():
                is_vote = self.world.send(self.name, effect.receiver, effect.message)
                if is_vote:
                    self._crash_after_vote()
            case ProposalDone() | ReadDone():
                self.requests.answer(effect)

    def _crash_after_vote(self) -> None:
        crash = self.crashes.at_vote
        if crash is not None:
            self.crash(crash.down_for)
            if crash.loses_disk:
                self.disk.lose()

    def _plan_tick(self) -> None:
        assert self.voter is not None
        deadline = self.voter.next_deadline()
        if deadline == math.inf:
            return
        moment = max(self.clock.moment(deadline), self.world.scheduler.time + MIN_TICK_INTERVAL_S)
        if moment < self.tick_at:
            self.tick_at = moment
            voter = self.voter
            self.world.scheduler.at(moment, lambda: self._tick(voter, moment))

    def _tick(self, running: VoterPort, moment: float) -> None:
        if self.voter is not running or self.tick_at != moment:
            return
        self.tick_at = math.inf
        if self.is_idle and running.next_deadline() > self.now():
            self._plan_tick()
        else:
            self.give(lambda voter, now: voter.tick(now))
