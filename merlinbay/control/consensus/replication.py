"""The leader's side of replication: who has which entries, what is committed (Ongaro 2014, 3.5, 6.4)."""

from __future__ import annotations

from collections import deque

from merlinbay.control.consensus.core import Core
from merlinbay.control.consensus.log import LogEntry, Noop
from merlinbay.control.consensus.membership import Configuration, Member, quorum_value
from merlinbay.control.consensus.messages import (
    AppendRequest,
    AppendResponse,
    SnapshotRequest,
    SnapshotResponse,
)
from merlinbay.control.consensus.progress import Mode, Progress, SnapshotTransfer
from merlinbay.control.consensus.records import encode_snapshot
from merlinbay.control.entries import Change


class Replication:
    """One leadership: made when an election is won, dropped when the leader steps down."""

    def __init__(self, core: Core, founders: tuple[Member, ...] = ()) -> None:
        self.core = core
        self.progress: dict[str, Progress] = {}
        self.round = 0  # counts heartbeats: answers to it show who followed us after it was begun
        self.round_starts: deque[tuple[int, float]] = deque([(0, core.now)])
        self.next_heartbeat = core.now
        # The first entry of the term commits all earlier ones with it; that of the first term is the
        # configuration that its election found.
        self.append(Configuration(founders) if founders else Noop())

    def append(self, command: Noop | Configuration | Change) -> int:
        """Add an entry to the own log; return its index."""
        entry = LogEntry(self.core.log.last_index + 1, self.core.term, command)
        self.core.append([entry])
        if isinstance(command, Configuration) or not self.progress:
            self._follow_configuration(entry.index)
        return entry.index

    def _follow_configuration(self, next_index: int) -> None:
        configuration = self.core.log.configuration
        receivers = configuration.receivers() - {self.core.name}
        self.progress = {name: one for name, one in self.progress.items() if name in receivers}
        for name in sorted(receivers - self.progress.keys()):
            self.progress[name] = Progress(configuration.incarnation(name), next_index)

    # What a majority has: counted by the disks that the configuration names.

    def _reached(self, own: float, reached: dict[str, float]) -> float:
        """Return what a majority has reached, given for ourselves and for the others."""
        configuration = self.core.log.configuration
        values: list[float] = []
        for member in configuration.members:
            found = self.progress.get(member.name)
            if member == self.core.identity:
                values.append(own)
            elif found is not None and found.incarnation == member.incarnation:
                values.append(reached[member.name])
            else:
                values.append(0)
        return quorum_value(values, configuration.quorum)

    def committable(self) -> int:
        """Return up to where the log can be committed: only by an entry of the current term (figure 3.7)."""
        reached = {name: float(one.match_index) for name, one in self.progress.items()}
        index = int(self._reached(self.core.log.last_index, reached))
        return index if self.core.log.term_at(index) == self.core.term else self.core.commit_index

    def confirmed_round(self) -> int:
        """Return the last round that a majority answered: nobody else led when it was begun."""
        reached = {name: float(one.acked_round) for name, one in self.progress.items()}
        return int(self._reached(self.round, reached))

    def confirmed_at(self) -> float:
        """Return when the last confirmed round was begun."""
        confirmed = self.confirmed_round()
        while len(self.round_starts) > 1 and self.round_starts[1][0] <= confirmed:
            self.round_starts.popleft()
        return self.round_starts[0][1]

    # Sending.

    def begin_round(self) -> int:
        """Send a heartbeat, or entries, to all; return the round's number."""
        self.round += 1
        self.round_starts.append((self.round, self.core.now))
        self.next_heartbeat = self.core.now + self.core.settings.heartbeat_interval
        for name, progress in self.progress.items():
            if not self._send_entries(name, progress):
                self._send_heartbeat(name, progress)
        return self.round

    def send_pending(self) -> None:
        """Send the entries that receivers lack, as far as they may be sent ahead."""
        for name, progress in self.progress.items():
            self._send_entries(name, progress)

    def _send_entries(self, name: str, progress: Progress) -> bool:
        """Return whether something was sent."""
        log, settings = self.core.log, self.core.settings
        sent = False
        while progress.mode is not Mode.SNAPSHOT and progress.next_index <= log.last_index:
            if progress.probe_sent or len(progress.in_flight) >= settings.max_messages_in_flight:
                break
            previous_term = log.term_at(progress.next_index - 1)
            if previous_term is None:
                self._start_snapshot(name, progress)
                return True
            entries = log.batch(progress.next_index, settings.max_batch_bytes)
            self._send_append(name, progress.next_index - 1, previous_term, entries)
            sent = True
            if progress.mode is Mode.PROBE:
                progress.probe_sent = True
            else:
                progress.next_index = entries[-1].index + 1
                progress.in_flight.append(entries[-1].index)
        return sent

    def _send_append(self, name: str, previous: int, term: int, entries: tuple[LogEntry, ...]) -> None:
        core = self.core
        age = max(core.now - self.confirmed_at(), 0.0)
        request = AppendRequest(core.term, self.round, previous, term, core.commit_index, entries, age)
        core.send(name, request)

    def _send_heartbeat(self, name: str, progress: Progress) -> None:
        """Send no entries; its answer shows whether earlier ones were lost."""
        previous = progress.next_index - 1
        term = self.core.log.term_at(previous)
        if progress.mode is not Mode.SNAPSHOT and term is not None:
            self._send_append(name, previous, term, ())
            return
        self._send_append(name, 0, 0, ())  # the start of the log, on which all agree
        if progress.mode is Mode.SNAPSHOT:
            self._repeat_chunk(name, progress)
        else:
            self._start_snapshot(name, progress)  # what was sent ahead is lost, and compacted since

    def _start_snapshot(self, name: str, progress: Progress) -> None:
        snapshot = self.core.snapshot
        assert snapshot is not None  # entries are compacted into one only
        progress.enter(Mode.SNAPSHOT)
        progress.transfer = SnapshotTransfer(snapshot.index, encode_snapshot(snapshot))
        self._send_chunk(name, progress.transfer)

    def _send_chunk(self, name: str, transfer: SnapshotTransfer) -> None:
        end = transfer.offset + self.core.settings.max_batch_bytes
        transfer.sent_at, transfer.sent_round = self.core.now, self.round
        request = SnapshotRequest(
            self.core.term,
            self.round,
            transfer.index,
            transfer.offset,
            transfer.data[transfer.offset : end],
            done=end >= len(transfer.data),
        )
        self.core.send(name, request)

    def _repeat_chunk(self, name: str, progress: Progress) -> None:
        """Send a chunk again that was not answered for long; at the start, that of the newest snapshot."""
        transfer, snapshot = progress.transfer, self.core.snapshot
        if transfer is None or snapshot is None:
            return
        if self.core.now - transfer.sent_at < self.core.settings.election_timeout:
            return
        if not transfer.offset and transfer.index < snapshot.index:
            transfer = progress.transfer = SnapshotTransfer(snapshot.index, encode_snapshot(snapshot))
        self._send_chunk(name, transfer)

    # Answers.

    def _answered(self, sender: Member, answered_round: int) -> Progress | None:
        """Return the sender's progress; None where the answer is of a disk that it no longer has."""
        progress = self.progress.get(sender.name)
        if progress is None or answered_round > self.round:
            return None
        if sender.incarnation != progress.incarnation:
            # Only the later answer: guards against one of the lost disk that comes late.
            if answered_round <= progress.acked_round:
                return None
            progress = Progress(sender.incarnation, self.core.log.last_index + 1)
            self.progress[sender.name] = progress
        progress.acked_round = max(progress.acked_round, answered_round)
        return progress

    def on_append_response(self, sender: Member, response: AppendResponse) -> None:
        """Take a receiver's answer to entries or a heartbeat."""
        progress = self._answered(sender, response.round)
        if progress is None or response.index > self.core.log.last_index:
            return
        if not response.success:
            progress.disagreed(response.index)
        elif progress.mode is not Mode.SNAPSHOT:
            progress.agreed(response.index)

    def on_snapshot_response(self, sender: Member, response: SnapshotResponse) -> None:
        """Take a receiver's answer to a chunk."""
        progress = self._answered(sender, response.round)
        if progress is None or progress.transfer is None or progress.transfer.index != response.index:
            return
        transfer = progress.transfer
        if response.installed:
            progress.enter(Mode.PROBE)
            progress.agreed(response.index)
        elif response.received > transfer.offset:
            transfer.offset = response.received
            self._send_chunk(sender.name, transfer)
        elif response.received < transfer.offset and response.round == transfer.sent_round:
            transfer.offset = response.received  # it started again, with what it had stored before
            self._send_chunk(sender.name, transfer)
