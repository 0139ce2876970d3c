"""The durable records of a voter, and the state that results from reading them in order.

``load`` is called at the start of a voter. Records that cannot be read, or that belong to another voter,
raise ``CorruptRecordsError``.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from merlinbay.control.consensus.log import LogEntry, ReplicatedLog
from merlinbay.control.consensus.membership import Configuration, VoterIdentity
from merlinbay.control.keyspace import Keyspace, SnapshotError

RECORD_VERSION = 1


class CorruptRecordsError(Exception):
    """The records are not those of this voter. Its disk counts as lost, and an empty one is needed."""


class IdentityRecord(msgspec.Struct, frozen=True, tag="identity"):
    """The first record on a disk: the voter with the incarnation of the disk."""

    identity: VoterIdentity
    version: int = RECORD_VERSION


class TermRecord(msgspec.Struct, frozen=True, tag="term"):
    """The current term and the vote in it, stored before any message that contains either is sent."""

    term: int
    voted_for: VoterIdentity | None


class EntriesRecord(msgspec.Struct, frozen=True, tag="entries"):
    """Entries of the log. They replace the stored entries from the first one's index on."""

    commit_index: int  # as of this record; entries up to it are applied at a start
    entries: list[LogEntry]


class SnapshotData(msgspec.Struct, frozen=True, tag="snapshot"):
    """The state after the entry at ``index``. A leader sends it to a voter that lacks compacted entries."""

    index: int
    term: int
    configuration: Configuration
    keyspace: bytes
    version: int = RECORD_VERSION


class CheckpointRecord(msgspec.Struct, frozen=True, tag="checkpoint"):
    """The whole state of a voter, which replaces all earlier records."""

    identity: VoterIdentity
    term: int
    voted_for: VoterIdentity | None
    commit_index: int
    snapshot: SnapshotData
    # The index before ``entries``. Some of these precede the snapshot, for voters slightly behind.
    base_index: int
    base_term: int
    base_configuration: Configuration
    entries: list[LogEntry]
    version: int = RECORD_VERSION


VoterRecord = IdentityRecord | TermRecord | EntriesRecord | CheckpointRecord

_encoder = msgspec.msgpack.Encoder()
_record_decoder: msgspec.msgpack.Decoder[VoterRecord] = msgspec.msgpack.Decoder(VoterRecord)
_snapshot_decoder = msgspec.msgpack.Decoder(SnapshotData)


def encode_record(record: VoterRecord) -> bytes:
    """Return the bytes of a record."""
    return _encoder.encode(record)


def encode_snapshot(snapshot: SnapshotData) -> bytes:
    """Return the bytes of a snapshot, which are sent in chunks."""
    return _encoder.encode(snapshot)


def decode_snapshot(data: bytes) -> tuple[SnapshotData, Keyspace]:
    """Return the decoded snapshot and its keyspace. Raises ``SnapshotError``."""
    try:
        snapshot = _snapshot_decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise SnapshotError(str(error)) from None
    if snapshot.version != RECORD_VERSION:
        raise SnapshotError(f"snapshot has version {snapshot.version}, expected {RECORD_VERSION}")
    return snapshot, Keyspace.restore(snapshot.keyspace)


@dataclass(slots=True)
class DurableState:
    """The state of a voter as its stored records give it."""

    identity: VoterIdentity | None = None  # None if the disk is empty
    term: int = 0
    voted_for: VoterIdentity | None = None
    commit_index: int = 0
    log: ReplicatedLog = field(default_factory=ReplicatedLog)
    snapshot: SnapshotData | None = None
    keyspace: Keyspace = field(default_factory=Keyspace)  # the state at the snapshot

    def apply(self, record: VoterRecord) -> None:
        """Apply the next record."""
        match record:
            case IdentityRecord():
                if self.identity is not None:
                    raise CorruptRecordsError("found a second identity record")
                self.identity = record.identity
            case TermRecord():
                self.term, self.voted_for = record.term, record.voted_for
            case EntriesRecord():
                if record.entries:
                    self.log.truncate_from(record.entries[0].index)
                self.log.append(record.entries)
                self.commit_index = max(self.commit_index, record.commit_index)
            case CheckpointRecord():
                self._apply_checkpoint(record)

    def _apply_checkpoint(self, record: CheckpointRecord) -> None:
        snapshot = record.snapshot
        self.identity = record.identity
        self.term, self.voted_for = record.term, record.voted_for
        self.commit_index = record.commit_index
        self.snapshot = snapshot
        self.keyspace = Keyspace.restore(snapshot.keyspace)
        self.log = ReplicatedLog(record.base_index, record.base_term, record.base_configuration)
        self.log.append(record.entries)


def load(name: str, records: Iterable[bytes]) -> DurableState:
    """Return the state that the stored records give. Raises ``CorruptRecordsError``."""
    state = DurableState()
    try:
        for data in records:
            record = _record_decoder.decode(data)
            if getattr(record, "version", RECORD_VERSION) != RECORD_VERSION:
                raise CorruptRecordsError("a record has another version of the format")
            state.apply(record)
            if state.identity is None:
                raise CorruptRecordsError("the first record contains no identity")
    except (
        msgspec.MsgspecError,
        ValueError,
    ) as error:  # ValueError: a gap in the log or an invalid snapshot
        raise CorruptRecordsError(str(error)) from None
    if state.identity is not None and state.identity.name != name:
        raise CorruptRecordsError(f"the records belong to voter {state.identity.name}, not to {name}")
    state.commit_index = min(state.commit_index, state.log.last_index)
    return state
