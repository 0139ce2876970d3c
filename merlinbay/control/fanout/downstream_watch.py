"""The state of one downstream stream at its server, with the size of its send queue."""

from __future__ import annotations

from merlinbay.control.fanout.frames import EncodedUpdate
from merlinbay.control.fanout.messages import Laggard, Summary, WatcherRole, WatchRequest


class DownstreamWatch:
    """One downstream stream. It holds no watch until its ``WatchRequest`` is accepted."""

    __slots__ = (
        "connection",
        "heard_at",
        "last_sent",
        "member",
        "next_part",
        "queued_revision",
        "reported_revision",
        "role",
        "summary",
        "transfer",
        "unwritten_bytes",
        "unwritten_messages",
        "wants_snapshot",
        "watching",
        "written_at",
    )

    def __init__(self, connection: int, now: float) -> None:
        self.connection = connection
        self.member = ""
        self.role = WatcherRole.FOLLOWER
        self.watching = False
        self.heard_at = now  # time at which the last message arrived
        self.last_sent = now  # time at which the last frame was queued
        self.written_at = now  # time of the last written frame, or of the first one in an empty queue
        self.unwritten_messages = 0
        self.unwritten_bytes = 0
        self.queued_revision = 0  # revision that the member has once the queue is written
        self.wants_snapshot = False
        self.transfer: EncodedUpdate | None = None  # update whose frames are being queued
        self.next_part = 0  # index of the first frame of ``transfer`` that is not queued yet
        self.reported_revision = 0  # revision that the member has reported as applied
        self.summary: Summary | None = None  # last summary of a relay

    def begin(self, watch: WatchRequest, wants_snapshot: bool) -> None:
        """Start the accepted watch at the member's revision, or with a snapshot."""
        self.watching = True
        self.member, self.role = watch.member, watch.role
        self.wants_snapshot = wants_snapshot
        self.queued_revision = 0 if wants_snapshot else watch.revision
        self.reported_revision = self.queued_revision

    def restart(self) -> None:
        """Start again with a snapshot, as the generation has changed."""
        self.wants_snapshot = True
        self.transfer = None
        self.queued_revision = self.reported_revision = 0
        self.summary = None

    def record_received(self, now: float) -> None:
        """Record that a message arrived."""
        self.heard_at = now

    def record_report(self, revision: int, summary: Summary | None) -> None:
        """Record the revision that the member has applied, and a relay's summary."""
        self.reported_revision = revision
        if self.role is WatcherRole.RELAY:
            self.summary = summary

    def start_transfer(self, transfer: EncodedUpdate) -> None:
        """Begin to queue the frames of an update."""
        self.transfer, self.next_part = transfer, 0

    def finish_part(self) -> bool:
        """Count a queued frame of the update; return whether it was the last."""
        assert self.transfer is not None
        self.next_part += 1
        return self.next_part == len(self.transfer.frames)

    def finish_transfer(self) -> None:
        """Record that all frames of the update are queued."""
        assert self.transfer is not None
        self.queued_revision = self.transfer.revision
        self.transfer = None
        self.wants_snapshot = False

    def has_room(self, messages: int, size: int) -> bool:
        """Return whether the queue has room for one more frame; an empty queue accepts any size."""
        return self.unwritten_messages < messages and self.unwritten_bytes < size

    def queued(self, size: int, now: float) -> None:
        """Count a frame that was queued."""
        if not self.unwritten_messages:
            self.written_at = now
        self.unwritten_messages += 1
        self.unwritten_bytes += size
        self.last_sent = now

    def written(self, size: int, now: float) -> None:
        """Count a frame that was written."""
        self.unwritten_messages = max(0, self.unwritten_messages - 1)
        self.unwritten_bytes = max(0, self.unwritten_bytes - size)
        self.written_at = now

    def stuck_since(self) -> float | None:
        """Return the time since which no frame was written although some wait; None if none waits."""
        return self.written_at if self.unwritten_messages else None

    def last_known(self) -> Laggard:
        """Return the member with its reported revision."""
        return Laggard(self.member, self.reported_revision)
