"""The follower's side of replication: entries and snapshots of a leader (Ongaro 2014, 3.5 and 5).

``Voter`` calls this module for each message of the leader of the current term. Entries that do not match the
log are answered with a hint where it may match; a snapshot that cannot be installed is dropped and counted.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from merlinbay.control.consensus.log import LogEntry
from merlinbay.control.consensus.messages import (
    AppendRequest,
    AppendResponse,
    SnapshotRequest,
    SnapshotResponse,
)
from merlinbay.control.consensus.raft_state import RaftState
from merlinbay.control.consensus.records import decode_snapshot
from merlinbay.control.keyspace import SnapshotError

MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024  # equals the whole memory budget of a voter


@dataclass(slots=True)
class SnapshotAssembly:
    """A snapshot that is being received in chunks."""

    leader: str
    term: int
    index: int
    data: bytearray = field(default_factory=bytearray)


class FollowerReplication:
    """Processes entries and snapshots of the leader of the current term."""

    def __init__(self, raft: RaftState) -> None:
        self.raft = raft
        self.assembly: SnapshotAssembly | None = None

    def on_append(self, leader: str, request: AppendRequest) -> None:
        """Append the entries after the one on which both logs match, and answer."""
        raft = self.raft
        previous, entries = request.previous_index, request.entries
        if previous < raft.commit_index:
            # Committed entries are the same at the leader and here, so those in an old or repeated message
            # are skipped.
            end = previous + len(entries)
            entries = entries[raft.commit_index - previous :]
            previous = raft.commit_index
            matched = max(end, raft.commit_index)
        elif raft.log.term_at(previous) != request.previous_term:
            self._answer(leader, request, self._hint(previous), success=False)
            return
        else:
            matched = previous + len(entries)
        self._add(entries)
        raft.commit_to(min(request.commit_index, matched))
        self._answer(leader, request, matched, success=True)

    def _hint(self, previous: int) -> int:
        """Return the index at or before which the logs may match.

        It lies before all adjacent entries of the conflicting term, so that few retries are needed.
        """
        log = self.raft.log
        if previous > log.last_index:
            return log.last_index
        return max(log.first_index_of_term(previous) - 1, self.raft.commit_index)

    def _add(self, entries: tuple[LogEntry, ...]) -> None:
        """Append the entries from the first conflicting one on.

        Where all entries match, the log stays as it is, including its entries after those of the message.
        """
        for position, entry in enumerate(entries):
            if self.raft.log.term_at(entry.index) != entry.term:
                self.raft.append(list(entries[position:]))
                return

    def _answer(self, leader: str, request: AppendRequest, index: int, success: bool) -> None:
        self.raft.send(leader, AppendResponse(self.raft.term, request.round, index, success))

    def on_snapshot(self, leader: str, request: SnapshotRequest) -> None:
        """Add a chunk of a snapshot; install the snapshot when its last chunk has arrived."""
        raft = self.raft
        if request.index <= raft.commit_index:
            self.assembly = None
            self._answer_snapshot(leader, request, 0, installed=True)
            return
        assembly = self._assembly(leader, request)
        if request.offset == len(assembly.data):
            assembly.data += request.data
            if len(assembly.data) > MAX_SNAPSHOT_BYTES:
                self._reject()
                return
            if request.done:
                self._install(leader, request, bytes(assembly.data))
                return
        self._answer_snapshot(leader, request, len(assembly.data), installed=False)

    def _assembly(self, leader: str, request: SnapshotRequest) -> SnapshotAssembly:
        held = self.assembly
        if held is None or (held.leader, held.term, held.index) != (leader, request.term, request.index):
            held = self.assembly = SnapshotAssembly(leader, request.term, request.index)
        return held

    def _install(self, leader: str, request: SnapshotRequest, data: bytes) -> None:
        try:
            snapshot, keyspace = decode_snapshot(data)
        except SnapshotError:
            self._reject()
            return
        if snapshot.index != request.index:
            self._reject()
            return
        self.assembly = None
        self.raft.install(snapshot, keyspace)
        self._answer_snapshot(leader, request, len(data), installed=True)

    def _reject(self) -> None:
        self.assembly = None
        self.raft.count_impossible_message()

    def _answer_snapshot(self, leader: str, request: SnapshotRequest, received: int, installed: bool) -> None:
        self.raft.send(
            leader, SnapshotResponse(self.raft.term, request.round, request.index, received, installed)
        )
