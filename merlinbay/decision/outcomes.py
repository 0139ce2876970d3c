"""The outcomes of attempts, and which of them prove that a request never ran.

A request may be repeated without a second effect only after such an outcome, or if its class permits it.
"""

from __future__ import annotations

from enum import IntEnum


class Outcome(IntEnum):
    """How an attempt ended, and whether its request may have run."""

    OK = 1
    ERROR = 2  # The request may have run.
    FULL = 3  # The request never ran.
    TIMEOUT = 4  # The request may have run, or may still run.
    CONNECT_FAILED = 5  # The request never ran.
    RESET = 6  # The request may have run.
    CANCELLED = 7  # The request may have run.
    MOOT = 8  # The attempt was never sent.


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})


def never_ran(outcome: int, started: bool) -> bool:
    """Return whether an outcome proves that its attempt never ran, given whether a start was reported."""
    # An endpoint may report a start or progress and reject the request all the same.
    return outcome in NEVER_RAN and not started
