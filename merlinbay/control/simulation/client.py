"""A simulated client of the control log.

It makes changes and linearizable reads, one at a time, and repeats each until its outcome is known or the
attempts are used up. Its operations and their outcomes go into the history.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from merlinbay.control.effects import ProposalDone, ReadDone
from merlinbay.control.entries import Change, ChangeApplied, ChangeRejected, KeyValue
from merlinbay.control.simulation.history import History, Operation, OperationKind
from merlinbay.control.simulation.scenario import KEYS
from merlinbay.control.simulation.scheduler import Scheduler

ANSWER_TIMEOUT_S = 1.5  # then the request is repeated at another voter
RETRY_AFTER_S = 0.1  # mean pause after a rejection that is not final
MAX_ATTEMPTS = 10
REPEAT_SHARE = 0.15  # share of operations that repeat an acknowledged change
FINAL_REASONS = ("conflict", "invalid")

Answer = ProposalDone | ReadDone
OnAnswer = Callable[[Answer], None]


class ClientEnvironment(Protocol):
    """The parts of the simulation that a client uses."""

    scheduler: Scheduler
    history: History

    def request_change(self, client: str, voter: str, change: Change, on_answer: OnAnswer) -> None:
        """Send a change to a voter."""

    def request_read(self, client: str, voter: str, key: str, on_answer: OnAnswer) -> None:
        """Send a read to a voter."""

    def trace(self, text: str) -> None:
        """Add a line to the trace."""


@dataclass(frozen=True)
class Acknowledged:
    """An acknowledged change, with the revision that every repeat has to return."""

    change: Change
    revision: int


class SimulatedClient:
    """Performs one operation after the other until it is stopped."""

    def __init__(
        self, name: str, world: ClientEnvironment, random: Random, voters: tuple[str, ...], think_time: float
    ) -> None:
        """Create the client; ``start`` begins its operations."""
        self.name = name
        self.world = world
        self.random = random
        self.voters = voters
        self.think_time = think_time
        self.voter = random.choice(voters)
        self.number = 0  # changes drawn so far
        self.attempts = 0
        self.request = 0  # number of the current request; answers to earlier ones are ignored
        self.stopped = False
        self.operation: Operation | None = None
        self.repeating: Acknowledged | None = None
        self.acknowledged: list[Acknowledged] = []
        self.known_revisions: dict[str, int] = dict.fromkeys(KEYS, 0)  # by key, as last seen

    def start(self) -> None:
        """Plan the first operation."""
        self._think()

    def stop(self) -> None:
        """Begin no further operation on its own."""
        self.stopped = True

    def begin(self, operation: Operation) -> None:
        """Begin an operation and record it in the history."""
        self.world.history.operations.append(operation)
        self.operation = operation
        self.attempts = 0
        self._try()

    def _think(self) -> None:
        self.world.scheduler.after(self.random.expovariate(1.0 / self.think_time), self._next)

    def _next(self) -> None:
        if self.stopped:
            return
        self.repeating = None
        key = self.random.choice(KEYS)
        now = self.world.scheduler.time
        if self.acknowledged and self.random.random() < REPEAT_SHARE:
            self._repeat()
        elif self.random.random() < 0.4:
            self.begin(Operation(self.name, OperationKind.READ, key, now))
        else:
            self.begin(Operation(self.name, OperationKind.CHANGE, key, now, self._draw_change(key)))

    def _draw_change(self, key: str) -> Change:
        self.number += 1
        change_id = f"{self.name}/{self.number}"
        value = None if self.random.random() < 0.1 else change_id.encode()
        expected: int | None = None
        if self.random.random() < 0.5:
            expected = 0 if self.random.random() < 0.1 else self.known_revisions[key]
        return Change(change_id, key, value, expected)

    def _repeat(self) -> None:
        """Repeat an acknowledged change, as a client does whose answer was lost."""
        self.repeating = self.random.choice(self.acknowledged)
        self.operation = None
        self.attempts = 0
        self._try()

    def _try(self) -> None:
        if self.attempts >= MAX_ATTEMPTS or (self.stopped and self.name != "final"):
            self._finish()
            return
        self.attempts += 1
        self.request += 1
        request = self.request
        change = self.repeating.change if self.repeating else None
        if self.operation is not None:
            change = self.operation.change
        if change is not None:
            self.world.request_change(
                self.name, self.voter, change, lambda reply: self._on_answer(request, reply)
            )
        elif self.operation is not None:
            key = self.operation.key
            self.world.request_read(self.name, self.voter, key, lambda reply: self._on_answer(request, reply))
        self.world.scheduler.after(ANSWER_TIMEOUT_S, lambda: self._on_timeout(request))

    def _on_timeout(self, request: int) -> None:
        if request == self.request:
            self._choose_voter("")
            self._try()

    def _choose_voter(self, hint: str) -> None:
        others = [name for name in self.voters if name != self.voter]
        follows_hint = hint in self.voters and self.random.random() < 0.9
        self.voter = hint if follows_hint else self.random.choice(others)

    def _on_answer(self, request: int, answer: Answer) -> None:
        if request != self.request:
            return
        self.request += 1
        if isinstance(answer, ReadDone):
            self._on_read(answer)
        elif isinstance(answer.result, ChangeApplied) or (
            isinstance(answer.result, ChangeRejected) and answer.result.reason in FINAL_REASONS
        ):
            self._complete(answer.result)
        else:
            leader = answer.result.leader if isinstance(answer.result, ChangeRejected) else ""
            self._retry(leader)

    def _on_read(self, answer: ReadDone) -> None:
        if answer.failed:
            self._retry(answer.leader)
            return
        if self.operation is not None:
            self.known_revisions[self.operation.key] = _revision(answer.value)
            self.operation.value = answer.value
            self.operation.returned = self.world.scheduler.time
        self._finish()

    def _complete(self, result: ChangeApplied | ChangeRejected) -> None:
        operation = self.operation
        if operation is not None and operation.change is not None:
            operation.result = result
            operation.returned = self.world.scheduler.time
            if isinstance(result, ChangeApplied):
                self.acknowledged.append(Acknowledged(operation.change, result.revision))
                self.known_revisions[operation.key] = (
                    result.revision if operation.change.value is not None else 0
                )
            else:
                self.known_revisions[operation.key] = result.current_revision
        self._finish()

    def _retry(self, leader: str) -> None:
        self._choose_voter(leader)
        self.world.scheduler.after(RETRY_AFTER_S * (0.5 + self.random.random()), self._try)

    def _finish(self) -> None:
        self.request += 1
        if self.operation is not None:
            self.world.trace(describe(self.operation))
        self.operation = None
        if not self.stopped:
            self._think()


def _revision(value: KeyValue | None) -> int:
    return value.revision if value is not None and value.value is not None else 0


def describe(operation: Operation) -> str:
    """Return one line that describes an operation and its outcome."""
    change = operation.change
    start = f"{operation.client} from {operation.invoked:.3f} {operation.key}"
    if change is None:
        seen = operation.value
        outcome = (
            "open" if not operation.is_complete else f"{seen.value!r}@{seen.revision}" if seen else "none"
        )
        return f"{start} read: {outcome}"
    expectation = "" if change.expected_revision is None else f" expecting {change.expected_revision}"
    match operation.result:
        case ChangeApplied(revision=revision):
            outcome = f"applied as {revision}"
        case ChangeRejected(reason=reason, current_revision=current):
            outcome = f"{reason}, current {current}"
        case _:
            outcome = "open"
    return f"{start} {'delete' if change.value is None else 'put'} {change.change_id}{expectation}: {outcome}"
