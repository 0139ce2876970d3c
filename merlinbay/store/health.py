"""Whether new records are taken: a table of states, by what writing came to. No I/O, no clock.

What could not be written was not promised. After a failure nothing more is taken: of a write that failed,
nobody knows how much is on the disk (fsync tells it once, and then no more). The file is opened anew, its
end is compared, and only then it is written again.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FIRST_US = 250_000  # until the first look after a failure; twice as long after each that finds it no better,
MOST_US = 10_000_000  # up to this


class State(Enum):
    """How the log is."""

    OPEN = "open"  # records are taken
    FAILED = "failed"  # none are; a look is due
    LOOKING = "looking"  # the file is being read
    CORRUPT = "corrupt"  # it is not as it was written: operators have to act
    CLOSED = "closed"


class Event(Enum):
    """What happens to it."""

    UNWRITTEN = "unwritten"  # no space, a read-only disk, a failed fsync
    LOOK = "look"
    WELL = "well"  # it was opened, and ends where it should
    ILL = "ill"  # it could not be opened
    ALTERED = "altered"
    CLOSE = "close"


MOVES = {
    (State.OPEN, Event.UNWRITTEN): State.FAILED,
    (State.FAILED, Event.LOOK): State.LOOKING,
    (State.LOOKING, Event.WELL): State.OPEN,
    (State.LOOKING, Event.ILL): State.FAILED,
    (State.LOOKING, Event.ALTERED): State.CORRUPT,
    **{(state, Event.CLOSE): State.CLOSED for state in State},
}


@dataclass(slots=True)
class Health:
    """The state, why, and when to look again."""

    state: State = State.OPEN
    why: str = ""
    wait_us: int = FIRST_US

    def tell(self, event: Event, why: str = "") -> None:
        """Take an event; one that the table does not have for the state changes nothing."""
        after = MOVES.get((self.state, event))
        if after is None:
            return
        self.state = after
        if event is Event.WELL:
            self.why, self.wait_us = "", FIRST_US
        elif event is Event.ILL:
            self.wait_us = min(self.wait_us * 2, MOST_US)
        if why:
            self.why = why
