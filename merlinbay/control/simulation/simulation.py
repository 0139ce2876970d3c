"""Runs one simulation: voters, clients and followers in virtual time, from a scenario to a history.

``play`` is called by the tests and by ``bench.control``. An exception of the code under test, or too many
steps, does not raise: it is recorded in the history as a failure, and the checks report it.
"""

from __future__ import annotations

import hashlib
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from merlinbay.control.effects import ProposalDone, ReadDone
from merlinbay.control.entries import Change
from merlinbay.control.simulation.checker import Violation, check
from merlinbay.control.simulation.client import OnAnswer, SimulatedClient
from merlinbay.control.simulation.fault_injection import FaultInjector
from merlinbay.control.simulation.follower import SimulatedFollower, StateUpdate
from merlinbay.control.simulation.history import History, Operation, OperationKind, ProposalAttempt, VoteSeen
from merlinbay.control.simulation.machine import SkewedClock
from merlinbay.control.simulation.network import FaultyNetwork
from merlinbay.control.simulation.observer import Observer
from merlinbay.control.simulation.ports import CoreUnderTest, VoterPort
from merlinbay.control.simulation.process import SimulatedProcess
from merlinbay.control.simulation.scenario import KEYS, ControlScenario
from merlinbay.control.simulation.scheduler import Scheduler, TooManyStepsError

FINAL = "final"  # the client that checks every key after the faults are over
FINAL_INTERVAL_S = 6.0  # time for a change and a read; some attempts fail since a spare knows no leader
NEXT_MOVE_AFTER_S = 0.02  # pause between the answer to a change of voters and the next change
MAX_STEPS_PER_S = 3000  # steps per second of virtual time; a correct run takes about 150


@dataclass(frozen=True)
class SimulationRun:
    """The result of a run. ``fingerprint`` is equal for two runs that took the same course."""

    scenario: ControlScenario
    history: History
    violations: list[Violation]
    trace: list[str]
    fingerprint: str
    steps: int


class ControlSimulation:
    """One run: creates its parts, connects them, and records the history."""

    def __init__(self, scenario: ControlScenario, core: CoreUnderTest) -> None:
        """Create all parts; ``run`` starts them."""
        self.scenario = scenario
        self.core = core
        self.scheduler = Scheduler(int(MAX_STEPS_PER_S * (scenario.duration + scenario.quiet)))
        self.history = History()
        self.lines: list[str] = []
        self.tokens = itertools.count(1)
        self.observer = Observer(core, self.history)
        regions = {**scenario.regions, FINAL: scenario.regions[scenario.voters[0]]}
        self.network = FaultyNetwork(scenario.network, regions, self._random("network"))
        self.hosts = {name: self._host(name) for name in scenario.machines}
        think = scenario.think_time
        self.clients = [self._client(name, think) for name in scenario.clients]
        self.final = self._client(FINAL, FINAL_INTERVAL_S)
        self.followers = [
            SimulatedFollower(name, self, self._random(name), scenario.voters) for name in scenario.followers
        ]
        self.faults = FaultInjector(
            scenario,
            self.scheduler,
            self.network,
            self.hosts,
            self.leader,
            self.move_voters,
            self.trace,
        )

    def _random(self, purpose: str) -> Random:
        return Random(f"control {self.scenario.seed} {purpose}")

    def _host(self, name: str) -> SimulatedProcess:
        clock = SkewedClock(*self.scenario.clocks[name])
        random, scenario = self._random(name), self.scenario
        return SimulatedProcess(name, self.core, self, clock, random, scenario.voters, scenario.batches)

    def _client(self, name: str, think_time: float) -> SimulatedClient:
        return SimulatedClient(name, self, self._random(name), self.scenario.machines, think_time)

    def run(self) -> History:
        """Play the scenario; return its history."""
        try:
            self._run()
        except TooManyStepsError as error:
            self.trace(str(error))
            self.history.failures.append(str(error))
        return self.history

    def _run(self) -> None:
        """Play the scenario, end the faults, and let the voters settle."""
        scenario = self.scenario
        for host in self.hosts.values():
            host.start()
        for client in self.clients:
            client.start()
        for follower in self.followers:
            follower.poll()
        self.scheduler.run_until(scenario.duration)
        self.trace("the faults end")
        self.faults.end()
        for client in self.clients:
            client.stop()
        self.scheduler.run_until(scenario.duration + scenario.quiet / 2)
        self._check_keys_finally()
        self.scheduler.run_until(scenario.duration + scenario.quiet)
        leader = self.leader()
        names = self.core.voters(leader.voter) if leader is not None and leader.voter else scenario.voters
        self.observer.finish([self.hosts[name] for name in sorted(names)])

    def _check_keys_finally(self) -> None:
        """Write and read every key with the final client, which repeats them also after its stop."""
        self.final.stop()
        for number, key in enumerate(KEYS):
            self._finally(
                number * FINAL_INTERVAL_S, key, Change(f"{FINAL}/{key}", key, f"{FINAL}/{key}".encode())
            )
            self._finally((number + 0.5) * FINAL_INTERVAL_S, key, None)

    def _finally(self, after: float, key: str, change: Change | None) -> None:
        kind = OperationKind.READ if change is None else OperationKind.CHANGE

        def begin() -> None:
            self.final.begin(Operation(FINAL, kind, key, self.scheduler.time, change))

        self.scheduler.after(after, begin)

    def leader(self) -> SimulatedProcess | None:
        """Return the running voter that leads the highest term."""
        leading = [
            (term, host)
            for host in self.hosts.values()
            if host.voter is not None and (term := self.core.leading_term(host.voter)) is not None
        ]
        return max(leading, key=lambda pair: pair[0])[1] if leading else None

    def move_voters(self, choices: tuple[float, ...]) -> None:
        """Ask the leader to add or remove one voter for each choice, one after the other.

        Stops when there is no leader or no voter to add or remove.
        """
        leader = self.leader()
        if leader is None or leader.voter is None or not choices:
            return
        add, remove = self._choose_voter(self.core.voters(leader.voter), choices[0])
        if add is None and remove is None:
            return
        self.trace(f"{leader.name} is asked to add {add} and remove {remove}")

        def answered(done: ProposalDone | ReadDone) -> None:
            self.trace(f"change of voters: {done}")
            self.scheduler.after(NEXT_MOVE_AFTER_S, partial(self.move_voters, choices[1:]))

        leader.change_voters(add, remove, next(self.tokens), answered)

    def _choose_voter(self, voters: frozenset[str], choice: float) -> tuple[str | None, str | None]:
        """Return a voter to add and a voter to remove, of which one or both are None.

        The number of voters never falls below that of the first configuration.
        """
        non_voters = sorted(set(self.scenario.machines) - voters)
        surplus = len(voters) - len(self.scenario.voters)
        if non_voters and (surplus <= 0 or choice < 0.5):
            return non_voters[int(choice * len(non_voters))], None
        if surplus > 0:
            return None, sorted(voters)[int(choice * len(voters))]
        return None, None

    def send(self, sender: str, receiver: str, message: bytes) -> bool:
        """Send a message from voter to voter; return whether it is a vote."""
        host = self.hosts[receiver]
        vote = self.core.vote(sender, message)
        if vote is not None:
            seen = VoteSeen(self.scheduler.time, vote.voter, vote.term, vote.candidate)
            self.history.votes.append(seen)
        for delay in self.network.arrivals(sender, receiver):
            self.scheduler.after(
                delay, lambda: host.give(lambda voter, now: voter.receive(now, sender, message))
            )
        return vote is not None

    def request_change(self, client: str, voter: str, change: Change, on_answer: OnAnswer) -> None:
        """Send a client's change to a voter; each copy that arrives is an attempt."""
        host = self.hosts[voter]
        for delay in self.network.arrivals(client, voter):
            reply = partial(self._reply, voter, client, on_answer)
            self.scheduler.after(delay, partial(host.propose, change, next(self.tokens), reply))

    def request_read(self, client: str, voter: str, key: str, on_answer: OnAnswer) -> None:
        """Send a client's read to a voter."""
        host = self.hosts[voter]
        for delay in self.network.arrivals(client, voter):
            reply = partial(self._reply, voter, client, on_answer)
            self.scheduler.after(delay, partial(host.read, key, next(self.tokens), reply))

    def _reply(self, voter: str, client: str, on_answer: OnAnswer, answer: ProposalDone | ReadDone) -> None:
        for delay in self.network.arrivals(voter, client):
            self.scheduler.after(delay, partial(on_answer, answer))

    def request_update(
        self, follower: str, voter: str, revision: int, on_answer: Callable[[StateUpdate], None]
    ) -> None:
        """Ask a voter for the changes after a revision; it does not answer if there are none."""

        def call(running: VoterPort, now: float) -> None:
            if running.keyspace.revision <= revision:
                return
            update = running.keyspace.delta_after(revision) or self.core.snapshot(running)
            for delay in self.network.arrivals(voter, follower):
                self.scheduler.after(delay, lambda: on_answer(update))

        for delay in self.network.arrivals(follower, voter):
            self.scheduler.after(delay, lambda: self.hosts[voter].give(call))

    def observe(self, host: SimulatedProcess) -> None:
        """Record what has changed at a voter."""
        line = self.observer.observe(host, self.scheduler.time)
        if line:
            self.trace(line)

    def attempted(self, attempt: ProposalAttempt) -> None:
        """Record that a change was passed to a voter."""
        self.history.attempts.append(attempt)

    def failed(self, host: SimulatedProcess, problem: str) -> None:
        """Record an exception of the code under test."""
        self.trace(f"{host.name} fails: {problem}")
        self.history.failures.append(f"{host.name} at {self.scheduler.time:.3f}: {problem}")

    def trace(self, text: str) -> None:
        """Add a line to the trace."""
        self.lines.append(f"{self.scheduler.time:9.3f} {text}")


def play(scenario: ControlScenario, core: CoreUnderTest) -> SimulationRun:
    """Play a scenario and check its history."""
    world = ControlSimulation(scenario, core)
    history = world.run()
    violations = check(history)
    text = "\n".join([*world.lines, repr(history.states), repr(history.entries), repr(history.operations)])
    fingerprint = hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
    return SimulationRun(scenario, history, violations, world.lines, fingerprint, world.scheduler.steps)
