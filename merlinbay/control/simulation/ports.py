"""The interface of the simulation to the consensus core, so that tests can use a stand-in."""

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
        """Return what changed after a revision, or None if they were compacted."""


class VoterPort(Protocol):
    """A voter of the control log: decisions only, effects are carried out by the host."""

    @property
    def keyspace(self) -> KeyspacePort:
        """Return the applied state."""

    def receive(self, now: float, sender: str, message: bytes) -> None:
        """Take a message of another voter."""

    def tick(self, now: float) -> None:
        """Do what is due."""

    def next_deadline(self) -> float:
        """Return when ``tick`` is due, by this voter's clock."""

    def propose(self, now: float, change: Change, token: int) -> None:
        """Propose a change; answered by ``ProposalDone``."""

    def read(self, now: float, key: str, token: int) -> None:
        """Read a key linearizably; answered by ``ReadDone``."""

    def change_voters(self, now: float, add: str | None, remove: str | None, token: int) -> None:
        """Add and remove one voter each; answered by ``ProposalDone``."""

    def transfer_leadership(self, now: float) -> None:
        """Hand the leadership to another voter."""

    def storage_failed(self, now: float, dropped: Sequence[VoterEffect] = ()) -> None:
        """Stop taking part: a record could not be stored; the effects from it on are dropped."""

    def take_effects(self) -> list[VoterEffect]:
        """Return the effects since the last call."""


@dataclass(frozen=True)
class ObservedEntry:
    """An entry as the checks compare it."""

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

    term: int  # of the voter
    first_index: int
    state_digest: str  # of the applied state, ids of changes included
    previous_term: int | None  # of the entry before the first one
    entries: tuple[ObservedEntry, ...]


@dataclass(frozen=True)
class ObservedVote:
    """A vote that a voter gives; ``voter`` names its disk too."""

    voter: str
    term: int
    candidate: str


@dataclass(frozen=True)
class VoterStart:
    """The arguments of a voter's start."""

    name: str
    first_voters: tuple[str, ...]  # the voters of the first configuration
    records: Sequence[bytes]
    random: Random
    now: float


@dataclass(frozen=True)
class CoreUnderTest:
    """The code under test: how to start a voter, and how to look into it."""

    start: Callable[[VoterStart], VoterPort]
    snapshot: Callable[[VoterPort], StateSnapshot]
    leading_term: Callable[[VoterPort], int | None]  # the term that the voter leads by its own account
    voters: Callable[[VoterPort], frozenset[str]]  # of the voter's configuration
    admitted: Callable[[VoterPort], bool]  # whether its vote counts, with the disk that it has
    extent: Callable[[VoterPort], LogExtent | None]  # None: it has no observable log
    log: Callable[[VoterPort, int], LogView]  # from an index on
    vote: Callable[[str, bytes], ObservedVote | None]  # the vote in a message of a sender, if it is one
