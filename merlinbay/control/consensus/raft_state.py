"""The state that all parts of a voter share. It changes only in the methods of ``RaftState``.

Each method that changes durable state also adds the effect that stores it. Reading stored records that do not
belong to the voter raises ``CorruptRecordsError``.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from merlinbay.control.consensus import records
from merlinbay.control.consensus.log import LogEntry
from merlinbay.control.consensus.membership import VoterIdentity
from merlinbay.control.consensus.messages import VoterMessage, encode
from merlinbay.control.consensus.roles import TRANSITIONS, VoterRole
from merlinbay.control.consensus.settings import VoterSettings
from merlinbay.control.effects import Persist, SendMessage, VoterEffect
from merlinbay.control.entries import Change, ChangeResult
from merlinbay.control.keyspace import Keyspace

MIN_CANDIDACY_SHARE = 0.3  # share of an election timeout; longer than a round trip between regions


@dataclass(slots=True)
class VoterCounters:
    """Counts of events since the start; ``status`` shows them with the prefix ``log_``."""

    unreadable_messages: int = 0  # not decodable, or of another version
    impossible_messages: int = 0  # decodable, but never sent by a correct voter
    elections_started: int = 0  # candidacies with a new term
    leaderships_lost: int = 0  # step-downs of this voter as leader
    checkpoints: int = 0  # stored snapshots, both own and installed ones
    snapshots_installed: int = 0  # received from a leader


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """A change that was applied to the keyspace."""

    index: int
    result: ChangeResult


def new_incarnation(random: Random, now: float) -> str:
    """Return the identity of a disk that is used for the first time."""
    # The time makes identities differ where the generator is seeded alike at each start.
    drawn = f"{random.getrandbits(64)} {now.hex()}".encode()
    return hashlib.blake2b(drawn, digest_size=8).hexdigest()


class RaftState:
    """Term, vote, log, applied state and role of one voter, and the effects that are not taken yet."""

    def __init__(
        self, name: str, settings: VoterSettings, stored: Iterable[bytes], random: Random, now: float
    ) -> None:
        state = records.load(name, stored)
        self.settings = settings
        self.random = random
        self.now = now
        self.effects: list[VoterEffect] = []
        self.counters = VoterCounters()
        self.term = state.term
        self.voted_for = state.voted_for
        self.log = state.log
        self.snapshot = state.snapshot
        self.keyspace = state.keyspace
        self.role = VoterRole.FOLLOWER
        self.leader = ""
        self.heard_leader_at = -math.inf  # time at which the last message of a leader was received
        self.current_at = -math.inf  # time up to which the applied state includes all commits
        self.election_deadline = math.inf
        self.commit_index = state.snapshot.index if state.snapshot is not None else 0
        if state.identity is None:
            self.identity = VoterIdentity(name, new_incarnation(random, now))
            self._persist(records.IdentityRecord(self.identity))
        else:
            self.identity = state.identity
        self.restart_election_timer()
        self.commit_to(state.commit_index)

    @property
    def name(self) -> str:
        """Return this voter's name."""
        return self.identity.name

    @property
    def is_member(self) -> bool:
        """Return whether this voter, with its present disk, is in the last configuration of its log."""
        return self.identity in self.log.configuration.members

    @property
    def own_term_committed(self) -> bool:
        """Return whether an entry of the current term is committed, and so all entries of earlier terms."""
        return self.log.term_at(self.commit_index) == self.term

    def advance_clock(self, now: float) -> None:
        """Set the time of the current call. The time never goes back."""
        self.now = max(self.now, now)

    def take_effects(self) -> list[VoterEffect]:
        """Return the effects since the last call."""
        effects, self.effects = self.effects, []
        return effects

    def set_leader(self, leader: str) -> None:
        """Set the leader of the current term; an empty name means that it is not known."""
        self.leader = leader

    def record_leader_contact(self) -> None:
        """Record that a message of the current leader has arrived, and restart the election timeout."""
        self.heard_leader_at = self.now
        self.restart_election_timer()

    def record_confirmation(self, confirmed_at: float) -> None:
        """Record when a majority last confirmed the leader whose commits are applied here."""
        self.current_at = confirmed_at

    def count_impossible_message(self) -> None:
        """Count a message that no correct voter sends."""
        self.counters.impossible_messages += 1

    def become(self, role: VoterRole) -> None:
        """Change the role. Raises ``AssertionError`` for a transition that ``TRANSITIONS`` does not list."""
        if role not in TRANSITIONS[self.role]:
            raise AssertionError(f"role cannot change from {self.role.value} to {role.value}")
        self.role = role

    def restart_election_timer(self) -> None:
        """Restart the election timeout, which is randomized so that votes seldom split."""
        self.election_deadline = self.now + self.settings.election_timeout_s * (1 + self.random.random())

    def restart_candidacy_timer(self) -> None:
        """Restart the timeout of a candidacy, which is shorter, since there is no leader to disturb."""
        share = MIN_CANDIDACY_SHARE + (1 - MIN_CANDIDACY_SHARE) * self.random.random()
        self.election_deadline = self.now + self.settings.election_timeout_s * share

    def step_down(self, term: int, leader: str = "") -> None:
        """Become a follower in ``term``, or in the current term if that is later."""
        if self.role is VoterRole.LEADER:
            self.counters.leaderships_lost += 1
            self.restart_election_timer()
        if term > self.term:
            self.set_term(term, None)
        self.become(VoterRole.FOLLOWER)
        self.leader = leader

    def send(self, receiver: str, message: VoterMessage) -> None:
        """Add the effect that sends a message. The host does so once all earlier records are stored."""
        self.effects.append(SendMessage(receiver, encode(self.identity.incarnation, message)))

    def _persist(self, record: records.VoterRecord, replaces_all: bool = False) -> None:
        self.effects.append(Persist(records.encode_record(record), replaces_all))

    def set_term(self, term: int, voted_for: VoterIdentity | None) -> None:
        """Set the current term and the vote in it, and store both if either has changed."""
        if (term, voted_for) != (self.term, self.voted_for):
            self.term, self.voted_for = term, voted_for
            self._persist(records.TermRecord(term, voted_for))

    def append(self, entries: list[LogEntry]) -> None:
        """Append and store entries, which replace existing ones from the first entry's index on."""
        if entries[0].index <= self.log.last_index:
            self.log.truncate_from(entries[0].index)
        self.log.append(entries)
        self._persist(records.EntriesRecord(self.commit_index, entries))

    def commit_to(self, index: int) -> list[AppliedChange]:
        """Commit the entries up to ``index`` and apply them; return the changes among them."""
        applied: list[AppliedChange] = []
        while self.commit_index < index:
            self.commit_index += 1
            entry = self.log.get(self.commit_index)
            if entry is not None and isinstance(entry.command, Change):
                applied.append(AppliedChange(entry.index, self.keyspace.apply(entry.command)))
        self._bound_history()
        return applied

    def _bound_history(self) -> None:
        keep = self.settings.history_revisions
        if self.keyspace.revision - self.keyspace.compacted_revision >= 2 * keep:
            self.keyspace.compact(keep)
        entries_kept = self.commit_index - self.log.base_index
        if entries_kept >= self.settings.compact_after_entries + self.settings.keep_entries:
            self._take_snapshot()

    def _take_snapshot(self) -> None:
        term = self.log.term_at(self.commit_index)
        assert term is not None
        configuration = self.log.configuration_at(self.commit_index)
        self.snapshot = records.SnapshotData(self.commit_index, term, configuration, self.keyspace.snapshot())
        self.log.compact(self.commit_index - self.settings.keep_entries)
        self._persist_checkpoint(self.snapshot)

    def install(self, snapshot: records.SnapshotData, keyspace: Keyspace) -> None:
        """Install the leader's snapshot, which replaces the state and the entries that it includes.

        Later entries stay only if the log agrees with the snapshot on the last entry that it includes.
        """
        if self.log.term_at(snapshot.index) == snapshot.term:
            self.log.compact(snapshot.index)
        else:
            self.log = type(self.log)(snapshot.index, snapshot.term, snapshot.configuration)
        self.snapshot, self.keyspace = snapshot, keyspace
        self.commit_index = snapshot.index
        self.counters.snapshots_installed += 1
        self._persist_checkpoint(snapshot)

    def _persist_checkpoint(self, snapshot: records.SnapshotData) -> None:
        self.counters.checkpoints += 1
        base = self.log.base_index
        checkpoint = records.CheckpointRecord(
            self.identity,
            self.term,
            self.voted_for,
            self.commit_index,
            snapshot,
            base,
            self.log.base_term,
            self.log.configuration_at(base),
            self.log.entries_from(base + 1),
        )
        self._persist(checkpoint, replaces_all=True)
