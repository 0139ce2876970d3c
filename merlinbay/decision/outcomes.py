"""How attempts end, and which endings prove that a request never ran."""

from __future__ import annotations

from enum import IntEnum


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 1
    ERROR = 2  # may have run
    FULL = 3  # never ran
    TIMEOUT = 4  # may have run, or may still run
    CONNECT_FAILED = 5  # never ran
    RESET = 6  # may have run
    CANCELLED = 7  # may have run
    MOOT = 8  # never sent


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})


def never_ran(outcome: int, started: bool) -> bool:
    """Tell whether an outcome proves that its attempt never ran, given whether a start was reported."""
    # Guards against an endpoint that reports a start, or progress, and hands the job back all the same.
    return outcome in NEVER_RAN and not started
