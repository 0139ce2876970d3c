"""Checks linearizability of a register with compare-and-set, by Wing and Gong's algorithm with Lowe's cache.

The keys of the log are independent registers, and linearizability is local: a history is linearizable if
the operations of each key are. The search walks through the orders that respect real time. It keeps the
configurations (set of linearized operations, state of the register) that it has visited, and never visits one
twice. Open operations may be linearized anywhere after their call, or nowhere. The search is bounded; a
history that exceeds the bound is reported as undecided, never as linearizable.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from merlinbay.control.entries import ChangeApplied, ChangeRejected
from merlinbay.control.simulation.history import Operation, OperationKind

MAX_CONFIGURATIONS = 200_000  # about 100 MB of memory
UNKNOWN = -1  # revision of a change whose client did not receive it


class Verdict(Enum):
    """The result of the search; undecided if it exceeded its bound."""

    LINEARIZABLE = "linearizable"
    VIOLATED = "violated"
    UNDECIDED = "undecided"


@dataclass(frozen=True, slots=True)
class KeyRegister:
    """The state of one key: its value (None where it does not exist) and the revision of its last change."""

    value: bytes | None = None
    revision: int = 0


def _agrees(current: int, claimed: int) -> bool:
    return current == claimed or UNKNOWN in (current, claimed)


def _after_read(register: KeyRegister, operation: Operation) -> KeyRegister | None:
    seen = operation.value
    if seen is None or seen.value is None:
        return register if register.value is None else None
    if seen.value != register.value or not _agrees(register.revision, seen.revision):
        return None
    return KeyRegister(seen.value, seen.revision)


def _matches_expectation(register: KeyRegister, expected: int) -> bool:
    if expected == 0:
        return register.value is None
    return register.value is not None and _agrees(register.revision, expected)


def _after_conflict(register: KeyRegister, expected: int) -> KeyRegister | None:
    certain = expected == 0 or register.revision != UNKNOWN
    return None if certain and _matches_expectation(register, expected) else register


def _after_change(register: KeyRegister, operation: Operation) -> KeyRegister | None:
    change, result = operation.change, operation.result
    assert change is not None
    if isinstance(result, ChangeRejected):
        if result.reason != "conflict" or change.expected_revision is None:
            return register
        return _after_conflict(register, change.expected_revision)
    if change.expected_revision is not None and not _matches_expectation(register, change.expected_revision):
        return None
    if not isinstance(result, ChangeApplied):
        return KeyRegister(change.value, UNKNOWN)
    return KeyRegister(change.value, result.revision) if result.revision > register.revision else None


def step(register: KeyRegister, operation: Operation) -> KeyRegister | None:
    """Return the register after the operation, or None if the outcome contradicts the register."""
    if operation.kind is OperationKind.READ:
        return _after_read(register, operation)
    return _after_change(register, operation)


def check_key(operations: list[Operation], max_configurations: int = MAX_CONFIGURATIONS) -> Verdict:
    """Search for an order of one key's operations that is consistent with all their outcomes."""
    ordered = sorted(
        (
            operation
            for operation in operations
            if operation.is_complete or operation.kind is OperationKind.CHANGE
        ),
        key=lambda operation: operation.invoked,
    )
    required = sum(1 << number for number, operation in enumerate(ordered) if operation.is_complete)
    stack = [(0, KeyRegister())]
    visited: set[tuple[int, KeyRegister]] = set(stack)
    while stack:
        done, register = stack.pop()
        if done & required == required:
            return Verdict.LINEARIZABLE
        for number in _candidates(ordered, done):
            following = step(register, ordered[number])
            if following is None:
                continue
            configuration = (done | 1 << number, following)
            if configuration not in visited:
                visited.add(configuration)
                stack.append(configuration)
        if len(visited) > max_configurations:
            return Verdict.UNDECIDED
    return Verdict.VIOLATED


def _candidates(ordered: list[Operation], done: int) -> list[int]:
    """Return the operations that may come next: those invoked before any remaining operation returned.

    They are sorted by return time, latest first. The search takes the last one from its stack first, so it
    tries complete operations before open ones, in the order of their return.
    """
    deadline = math.inf
    remaining: list[int] = []
    for number, operation in enumerate(ordered):
        if operation.invoked > deadline:
            break
        if not done >> number & 1:
            remaining.append(number)
            deadline = min(deadline, operation.returned)
    eligible = [number for number in remaining if ordered[number].invoked <= deadline]
    return sorted(eligible, key=lambda number: -ordered[number].returned)
