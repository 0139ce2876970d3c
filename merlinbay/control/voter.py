"""A voter of the replicated control log: Raft without I/O, behind one class. See docs/CONTROL-LOG.md."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import Enum
from random import Random

from merlinbay.control.consensus.settings import Placement, VoterSettings
from merlinbay.control.effects import Effect
from merlinbay.control.entries import Change
from merlinbay.control.keyspace import Keyspace

__all__ = ["Placement", "Role", "Voter", "VoterSettings"]


class Role(Enum):
    """What a voter is at the moment. Only a leader takes proposals and reads."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"  # asks whether an election could be won, without a new term
    CANDIDATE = "candidate"
    LEADER = "leader"
    STORAGE_FAILED = "storage_failed"  # for good: a new Voter is built from the records that are stored


class Voter:
    """One replica. The host calls a method, then carries out ``take_effects()`` in order.

    ``random`` has to be seeded differently at each start: a voter that starts without records draws from it
    the identity of its disk.
    """

    def __init__(
        self, name: str, settings: VoterSettings, records: Iterable[bytes], random: Random, now: float
    ) -> None:
        self.name = name
        self.settings = settings
        self.keyspace = Keyspace()
        self.role = Role.FOLLOWER
        self.term = 0
        self.leader = ""  # as far as known
        self.commit_index = 0
        self.lease_until = 0.0  # of a leader: a majority confirmed it for until then; no read rests on it

    @property
    def voters(self) -> tuple[str, ...]:
        """Return the names of the voters of the last configuration known."""
        raise NotImplementedError

    def receive(self, now: float, sender: str, message: bytes) -> None:
        """Take a message of another voter. What cannot be read is dropped and counted."""
        raise NotImplementedError

    def tick(self, now: float) -> None:
        """Do what is due."""
        raise NotImplementedError

    def next_deadline(self) -> float:
        """Return when ``tick`` is due; infinity where nothing is."""
        raise NotImplementedError

    def propose(self, now: float, change: Change, token: int) -> None:
        """Propose a change; answered by ``ProposalDone`` within ``request_timeout``."""
        raise NotImplementedError

    def read(self, now: float, key: str, token: int) -> None:
        """Read linearizably, confirmed by a majority; answered by ``ReadDone`` within ``request_timeout``."""
        raise NotImplementedError

    def change_voters(self, now: float, add: str | None, remove: str | None, token: int) -> None:
        """Add, remove or replace one voter; answered by ``ProposalDone``."""
        raise NotImplementedError

    def transfer_leadership(self, now: float) -> None:
        """Hand leadership to the voter that is most up to date."""
        raise NotImplementedError

    def storage_failed(self, now: float, dropped: Sequence[Effect] = ()) -> None:
        """Take part in nothing more: a ``Persist`` could not be stored.

        ``dropped`` are the effects from that one on, none of which may be carried out; answers among them
        are given again as uncertain or failed. To recover, build a new ``Voter`` from the stored records.
        """
        raise NotImplementedError

    def age(self, now: float) -> float:
        """Return for how long ``keyspace`` may be stale: since a leader was last heard."""
        raise NotImplementedError

    def take_effects(self) -> list[Effect]:
        """Return what has to be done, in order, and forget it."""
        raise NotImplementedError
