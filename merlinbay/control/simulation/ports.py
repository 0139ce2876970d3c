"""The interface between the simulation and the consensus core.

The simulation uses the core only through it, so that tests can run the simulation with a stand-in.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

from merlinbay.control.effects import VoterEffect
from merlinbay.control.entries import Change, Delta, StateSnapshot


class KeyspacePort(Protocol):
    """The applied state of a voter."""

    @property
    def revision(self) -> int:
        """Return the revision of the last change applied."""

    def delta_after(self, revision: int) -> Delta | None:
        """Return the changes after a revision, or None if they were compacted."""


class VoterPort(Protocol):
    """A voter of the control log. It only makes decisions; the host carries out their effects."""

    @property
    def keyspace(self) -> KeyspacePort:
        """Return the applied state."""

    def receive(self, now: float, sender: str, message: bytes) -> None:
        """Handle a message from another voter."""

    def tick(self, now: float) -> None:
        """Do all work whose deadline has passed."""

    def next_deadline(self) -> float:
        """Return the time by this voter's clock at which ``tick`` is due."""

    def propose(self, now: float, change: Change, token: int) -> None:
        """Propose a change; answered by ``ProposalDone``."""

    def read(self, now: float, key: str, token: int) -> None:
        """Read a key linearizably; answered by ``ReadDone``."""

    def change_voters(self, now: float, add: str | None, remove: str | None, token: int) -> None:
        """Add and remove one voter each; answered by ``ProposalDone``."""

    def transfer_leadership(self, now: float) -> None:
        """Hand the leadership to another voter."""

    def storage_failed(self, now: float, dropped: Sequence[VoterEffect] = ()) -> None:
        """Stop taking part, because a record could not be stored.

        ``dropped`` holds the effects from that record on, which are not carried out.
        """

    def take_effects(self) -> list[VoterEffect]:
        """Return the effects since the last call."""


@dataclass(frozen=True)
class ObservedEntry:
    """The parts of an entry that the checks compare."""

    index: int
    term: int
    content: bytes


@dataclass(frozen=True)
class LogExtent:
    """The last entry and the commit index of a voter's log."""

    last_index: int
    last_term: int
    commit_index: int


@dataclass(frozen=True)
class LogView:
    """A voter's log from ``first_index`` on; earlier entries are compacted."""

    term: int  # the voter's current term
    first_index: int
    state_digest: str  # digest of the applied state, ids of changes included
    previous_term: int | None  # term of the entry before the first one
    entries: tuple[ObservedEntry, ...]


@dataclass(frozen=True)
class ObservedVote:
    """A vote that a voter gives. ``voter`` also identifies the voter's disk."""

    voter: str
    term: int
    candidate: str


@dataclass(frozen=True)
class VoterStart:
    """The arguments with which a voter is started."""

    name: str
    first_voters: tuple[str, ...]  # the voters of the first configuration
    records: Sequence[bytes]
    random: Random
    now: float


@dataclass(frozen=True)
class CoreUnderTest:
    """The code under test: functions that start a voter and read its state."""

    start: Callable[[VoterStart], VoterPort]
    snapshot: Callable[[VoterPort], StateSnapshot]
    leading_term: Callable[[VoterPort], int | None]  # the term in which the voter considers itself leader
    voters: Callable[[VoterPort], frozenset[str]]  # the members of the voter's configuration
    admitted: Callable[[VoterPort], bool]  # whether its vote counts with its current disk
    extent: Callable[[VoterPort], LogExtent | None]  # None if the voter has no observable log
    log: Callable[[VoterPort, int], LogView]  # the log from an index on
    vote: Callable[[str, bytes], ObservedVote | None]  # the vote in a sender's message, if it contains one
