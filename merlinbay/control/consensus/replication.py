"""The leader's side of replication: match indexes and commit index (Ongaro 2014, 3.5, 6.4).

It sends entries, heartbeats and snapshots, and counts what a majority has stored and confirmed. The response
to a heartbeat shows whether earlier entries were lost, which are then sent again. A chunk of a snapshot is
sent again if no response arrives within an election timeout.
"""

from __future__ import annotations

from collections import deque

from merlinbay.control.consensus.log import LogEntry, Noop
from merlinbay.control.consensus.membership import Configuration, VoterIdentity, quorum_value
from merlinbay.control.consensus.messages import (
    AppendRequest,
    AppendResponse,
    SnapshotRequest,
    SnapshotResponse,
)
from merlinbay.control.consensus.progress import FollowerProgress, ReplicationMode, SnapshotInstallation
from merlinbay.control.consensus.raft_state import RaftState
from merlinbay.control.consensus.records import encode_snapshot
from merlinbay.control.entries import Change


class LeaderReplication:
    """Replication by one leader, from the won election to the step-down."""

    def __init__(self, raft: RaftState, founders: tuple[VoterIdentity, ...] = ()) -> None:
        self.raft = raft
        self.progress: dict[str, FollowerProgress] = {}
        # Number of the last heartbeat round. A response to a round shows that its sender still followed this
        # leader after the round had started.
        self.round = 0
        self.round_starts: deque[tuple[int, float]] = deque([(0, raft.now)])
        self.next_heartbeat = raft.now
        # Once the first entry of the term is committed, all earlier ones are too. After the first election,
        # it is the configuration of the voters that took part in that election.
        self.append(Configuration(founders) if founders else Noop())

    def append(self, command: Noop | Configuration | Change) -> int:
        """Append an entry to the leader's log; return its index."""
        entry = LogEntry(self.raft.log.last_index + 1, self.raft.term, command)
        self.raft.append([entry])
        if isinstance(command, Configuration) or not self.progress:
            self._follow_configuration(entry.index)
        return entry.index

    def _follow_configuration(self, next_index: int) -> None:
        configuration = self.raft.log.configuration
        receivers = configuration.receivers() - {self.raft.name}
        self.progress = {name: progress for name, progress in self.progress.items() if name in receivers}
        for name in sorted(receivers - self.progress.keys()):
            self.progress[name] = FollowerProgress(configuration.incarnation(name), next_index)

    # Majorities. Only the incarnations that the configuration names count.

    def _reached(self, own: float, reached: dict[str, float]) -> float:
        """Return the value that a majority has reached; ``own`` is the leader's value."""
        configuration = self.raft.log.configuration
        values: list[float] = []
        for member in configuration.members:
            progress = self.progress.get(member.name)
            if member == self.raft.identity:
                values.append(own)
            elif progress is not None and progress.incarnation == member.incarnation:
                values.append(reached[member.name])
            else:
                values.append(0)
        return quorum_value(values, configuration.quorum)

    def committable(self) -> int:
        """Return the new commit index, which moves only to entries of the current term (figure 3.7)."""
        reached = {name: float(progress.match_index) for name, progress in self.progress.items()}
        index = int(self._reached(self.raft.log.last_index, reached))
        return index if self.raft.log.term_at(index) == self.raft.term else self.raft.commit_index

    def confirmed_round(self) -> int:
        """Return the last round that a majority answered. No other leader existed when it started."""
        reached = {name: float(progress.acked_round) for name, progress in self.progress.items()}
        return int(self._reached(self.round, reached))

    def confirmed_at(self) -> float:
        """Return when the last round that a majority answered started."""
        confirmed = self.confirmed_round()
        while len(self.round_starts) > 1 and self.round_starts[1][0] <= confirmed:
            self.round_starts.popleft()
        return self.round_starts[0][1]

    # Sending.

    def begin_round(self) -> int:
        """Send entries or a heartbeat to all receivers; return the round's number."""
        self.round += 1
        self.round_starts.append((self.round, self.raft.now))
        self.next_heartbeat = self.raft.now + self.raft.settings.heartbeat_interval_s
        for name, progress in self.progress.items():
            if not self._send_entries(name, progress):
                self._send_heartbeat(name, progress)
        return self.round

    def send_pending(self) -> None:
        """Send missing entries, up to the maximum number of unacknowledged batches."""
        for name, progress in self.progress.items():
            self._send_entries(name, progress)

    def _send_entries(self, name: str, progress: FollowerProgress) -> bool:
        """Send missing entries, or a snapshot if they are compacted; return whether anything was sent."""
        log, settings = self.raft.log, self.raft.settings
        sent = False
        while progress.mode is not ReplicationMode.SNAPSHOT and progress.next_index <= log.last_index:
            if progress.probe_sent or len(progress.in_flight) >= settings.max_messages_in_flight:
                break
            previous_term = log.term_at(progress.next_index - 1)
            if previous_term is None:
                self._start_snapshot(name, progress)
                return True
            entries = log.batch(progress.next_index, settings.max_batch_bytes)
            self._send_append(name, progress.next_index - 1, previous_term, entries)
            sent = True
            if progress.mode is ReplicationMode.PROBE:
                progress.probe_sent = True
            else:
                progress.next_index = entries[-1].index + 1
                progress.in_flight.append(entries[-1].index)
        return sent

    def _send_append(self, name: str, previous: int, term: int, entries: tuple[LogEntry, ...]) -> None:
        raft = self.raft
        age = max(raft.now - self.confirmed_at(), 0.0)
        request = AppendRequest(raft.term, self.round, previous, term, raft.commit_index, entries, age)
        raft.send(name, request)

    def _send_heartbeat(self, name: str, progress: FollowerProgress) -> None:
        """Send a heartbeat; its response shows whether earlier entries were lost."""
        previous = progress.next_index - 1
        term = self.raft.log.term_at(previous)
        if progress.mode is not ReplicationMode.SNAPSHOT and term is not None:
            self._send_append(name, previous, term, ())
            return
        self._send_append(name, 0, 0, ())  # all logs match at index 0
        if progress.mode is ReplicationMode.SNAPSHOT:
            self._repeat_chunk(name, progress)
        else:
            self._start_snapshot(name, progress)  # unacknowledged entries were lost and are now compacted

    def _start_snapshot(self, name: str, progress: FollowerProgress) -> None:
        snapshot = self.raft.snapshot
        assert snapshot is not None  # entries are compacted only once a snapshot contains them
        progress.enter(ReplicationMode.SNAPSHOT)
        progress.transfer = SnapshotInstallation(snapshot.index, encode_snapshot(snapshot))
        self._send_chunk(name, progress.transfer)

    def _send_chunk(self, name: str, transfer: SnapshotInstallation) -> None:
        end = transfer.offset + self.raft.settings.max_batch_bytes
        transfer.sent_at, transfer.sent_round = self.raft.now, self.round
        request = SnapshotRequest(
            self.raft.term,
            self.round,
            transfer.index,
            transfer.offset,
            transfer.data[transfer.offset : end],
            done=end >= len(transfer.data),
        )
        self.raft.send(name, request)

    def _repeat_chunk(self, name: str, progress: FollowerProgress) -> None:
        """Resend a chunk that was not answered in time. A first chunk is taken from the newest snapshot."""
        transfer, snapshot = progress.transfer, self.raft.snapshot
        if transfer is None or snapshot is None:
            return
        if self.raft.now - transfer.sent_at < self.raft.settings.election_timeout_s:
            return
        if not transfer.offset and transfer.index < snapshot.index:
            transfer = progress.transfer = SnapshotInstallation(snapshot.index, encode_snapshot(snapshot))
        self._send_chunk(name, transfer)

    # Responses.

    def _answered(self, sender: VoterIdentity, answered_round: int) -> FollowerProgress | None:
        """Record the response's round and return the sender's progress.

        Return None if the response is ignored: it is of a server that receives no log, of a round that has
        not begun, or of a disk that the server no longer has.
        """
        progress = self.progress.get(sender.name)
        if progress is None or answered_round > self.round:
            return None
        if sender.incarnation != progress.incarnation:
            # Another disk has answered. Only a response to a later round counts, since a response of the
            # lost disk may still arrive late.
            if answered_round <= progress.acked_round:
                return None
            progress = FollowerProgress(sender.incarnation, self.raft.log.last_index + 1)
            self.progress[sender.name] = progress
        progress.acked_round = max(progress.acked_round, answered_round)
        return progress

    def on_append_response(self, sender: VoterIdentity, response: AppendResponse) -> None:
        """Process the response to entries or a heartbeat."""
        progress = self._answered(sender, response.round)
        if progress is None or response.index > self.raft.log.last_index:
            return
        if not response.success:
            progress.disagreed(response.index)
        elif progress.mode is not ReplicationMode.SNAPSHOT:
            progress.agreed(response.index)

    def on_snapshot_response(self, sender: VoterIdentity, response: SnapshotResponse) -> None:
        """Process the response to a chunk of a snapshot."""
        progress = self._answered(sender, response.round)
        if progress is None or progress.transfer is None or progress.transfer.index != response.index:
            return
        transfer = progress.transfer
        if response.installed:
            progress.enter(ReplicationMode.PROBE)
            progress.agreed(response.index)
        elif response.received > transfer.offset:
            transfer.offset = response.received
            self._send_chunk(sender.name, transfer)
        elif response.received < transfer.offset and response.round == transfer.sent_round:
            transfer.offset = response.received  # the receiver restarted and has fewer bytes
            self._send_chunk(sender.name, transfer)
