"""Decides whether the store accepts records, by a table of states and events. No I/O, no clock.

After a failed write the store rejects all records: it is unknown how much of that write is on the disk, and
the operating system reports a failed fsync only once. Before the next write, the file is reopened and its
last acknowledged record is compared. ``StoreLog`` reports the events and acts on the state.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FIRST_RETRY_US = 250_000  # delay before the first attempt to reopen; doubled after each failed attempt
LONGEST_RETRY_US = 10_000_000  # upper bound of the doubled delay


class StoreState(Enum):
    """State of the store. The values appear in texts that operators and callers see."""

    OPEN = "open"  # records are accepted
    FAILED = "failed"  # a write failed; the file will be reopened
    REOPENING = "looking"  # the file is being reopened and read
    CORRUPT = "corrupt"  # the file differs from what was written; an operator has to act
    CLOSED = "closed"


class StoreEvent(Enum):
    """Event that may change the state of the store."""

    WRITE_FAILED = "write_failed"  # no space, a read-only disk, a failed fsync
    REOPEN_STARTED = "reopen_started"
    REOPENED = "reopened"  # the file holds the last acknowledged record and can be written
    REOPEN_FAILED = "reopen_failed"
    CORRUPTION_FOUND = "corruption_found"
    CLOSED = "closed"


TRANSITIONS = {
    (StoreState.OPEN, StoreEvent.WRITE_FAILED): StoreState.FAILED,
    (StoreState.FAILED, StoreEvent.REOPEN_STARTED): StoreState.REOPENING,
    (StoreState.REOPENING, StoreEvent.REOPENED): StoreState.OPEN,
    (StoreState.REOPENING, StoreEvent.REOPEN_FAILED): StoreState.FAILED,
    (StoreState.REOPENING, StoreEvent.CORRUPTION_FOUND): StoreState.CORRUPT,
    **{(state, StoreEvent.CLOSED): StoreState.CLOSED for state in StoreState},
}


@dataclass(slots=True)
class StoreHealth:
    """State of the store, the cause of the last failure, and the delay until the next retry."""

    state: StoreState = StoreState.OPEN
    cause: str = ""  # cause of the last failure; empty while the store is open
    retry_after_us: int = FIRST_RETRY_US

    def apply(self, event: StoreEvent, cause: str = "") -> None:
        """Apply an event; an event without a transition from the current state changes nothing."""
        new_state = TRANSITIONS.get((self.state, event))
        if new_state is None:
            return
        self.state = new_state
        if event is StoreEvent.REOPENED:
            self.cause, self.retry_after_us = "", FIRST_RETRY_US
        elif event is StoreEvent.REOPEN_FAILED:
            self.retry_after_us = min(self.retry_after_us * 2, LONGEST_RETRY_US)
        if cause:
            self.cause = cause
