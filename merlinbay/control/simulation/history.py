"""The history of a run: the operations of clients, and the observed states of voters and followers.

A history is plain data, filled while the simulation runs. The checks in ``checker`` read it afterwards and
do not depend on the simulation, so that tests can check handwritten histories.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from merlinbay.control.entries import Change, ChangeApplied, ChangeRejected, ChangeResult, KeyValue


class OperationKind(Enum):
    """The kind of a client's operation."""

    CHANGE = "change"
    READ = "read"


@dataclass
class Operation:
    """One operation of one client, over all its retries.

    A change is complete once it was applied, or rejected finally (conflict, invalid). An operation that its
    client gave up stays open: it may have taken effect at any time after ``invoked``, or never.
    """

    client: str
    kind: OperationKind
    key: str
    invoked: float
    change: Change | None = None
    returned: float = math.inf
    result: ChangeApplied | ChangeRejected | None = None  # outcome of a change
    value: KeyValue | None = None  # outcome of a read

    @property
    def is_complete(self) -> bool:
        """Return whether the client knows the outcome."""
        return self.returned < math.inf


@dataclass
class ProposalAttempt:
    """One change passed to one voter; ``result`` stays None if the voter stopped before its answer."""

    time: float
    voter: str
    change: Change
    result: ChangeResult | None = None
    answers: int = 0


@dataclass(frozen=True)
class LeaderSeen:
    """A voter that considers itself the leader of a term, and the last index of its log at that moment."""

    time: float
    voter: str
    term: int
    last_index: int


@dataclass(frozen=True)
class VoteSeen:
    """A vote that a voter has sent. ``voter`` also identifies the voter's disk."""

    time: float
    voter: str
    term: int
    candidate: str


@dataclass(frozen=True)
class EntrySeen:
    """An entry in a voter's log. ``content`` identifies the payload.

    ``voter_term`` is the voter's term: its committed entries were committed in that term or an earlier one.
    """

    time: float
    voter: str
    index: int
    term: int
    content: bytes
    previous_term: int | None  # term of the entry before; None if that was compacted
    committed: bool
    voter_term: int = 0


@dataclass(frozen=True)
class LogSeen:
    """The extent of a voter's log, and a digest of its applied state.

    ``disk`` and ``start`` count the disks that the voter has had, and its starts.
    """

    time: float
    voter: str
    disk: int
    last_index: int
    commit_index: int
    state_digest: str = ""
    start: int = 1


@dataclass(frozen=True)
class StateSeen:
    """All keys of a voter or a follower, reduced to a digest, at a revision."""

    time: float
    place: str
    revision: int
    digest: bytes


@dataclass(frozen=True)
class AppliedSeen:
    """The last state of a key, as a voter or a follower has applied it."""

    time: float
    place: str
    entry: KeyValue


@dataclass(frozen=True)
class FinalState:
    """The state of a voter at the end of the run."""

    voter: str
    revision: int
    digest: bytes
    entries: tuple[KeyValue, ...]
    admitted: bool = True  # whether its vote counts with its current disk


@dataclass
class History:
    """All records of one run, each list in the order of virtual time."""

    operations: list[Operation] = field(default_factory=list)
    attempts: list[ProposalAttempt] = field(default_factory=list)
    leaders: list[LeaderSeen] = field(default_factory=list)
    votes: list[VoteSeen] = field(default_factory=list)
    entries: list[EntrySeen] = field(default_factory=list)
    logs: list[LogSeen] = field(default_factory=list)
    states: list[StateSeen] = field(default_factory=list)
    applied: list[AppliedSeen] = field(default_factory=list)
    followers: list[StateSeen] = field(default_factory=list)
    finals: list[FinalState] = field(default_factory=list)
    expected_finals: int = 0  # voters that have to agree at the end; 0: the end is not checked
    failures: list[str] = field(default_factory=list)  # of the code under test; or too many steps
