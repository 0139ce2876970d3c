"""Whether the store accepts records: a table of states and events. No I/O, no clock.

After a failed write the store accepts nothing: nobody knows how much of that write is on the disk, and a
failed fsync is reported only once. The file is reopened, and its last record compared, before the next write.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FIRST_RETRY_US = 250_000  # before the first attempt to reopen; doubled after each that fails
LONGEST_RETRY_US = 10_000_000


class StoreState(Enum):
    """State of the store. Operators and callers see the values."""

    OPEN = "open"  # records are accepted
    FAILED = "failed"  # a write failed; the file will be reopened
    REOPENING = "looking"  # the file is being reopened and read
    CORRUPT = "corrupt"  # the file differs from what was written: operators have to act
    CLOSED = "closed"


class StoreEvent(Enum):
    """What changes the state."""

    WRITE_FAILED = "write_failed"  # no space, a read-only disk, a failed fsync
    REOPEN_STARTED = "reopen_started"
    REOPENED = "reopened"  # the file ends with the last acknowledged record and can be written
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
    """The state, its cause, and when to retry."""

    state: StoreState = StoreState.OPEN
    cause: str = ""  # of the last failure; empty while the store is open
    retry_after_us: int = FIRST_RETRY_US

    def apply(self, event: StoreEvent, cause: str = "") -> None:
        """Apply an event; one without a transition from the current state changes nothing."""
        after = TRANSITIONS.get((self.state, event))
        if after is None:
            return
        self.state = after
        if event is StoreEvent.REOPENED:
            self.cause, self.retry_after_us = "", FIRST_RETRY_US
        elif event is StoreEvent.REOPEN_FAILED:
            self.retry_after_us = min(self.retry_after_us * 2, LONGEST_RETRY_US)
        if cause:
            self.cause = cause
