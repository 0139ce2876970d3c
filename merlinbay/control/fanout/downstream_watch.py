"""One downstream watch at its server, with its bounded send queue."""

from __future__ import annotations

from merlinbay.control.fanout.frames import EncodedUpdate
from merlinbay.control.fanout.messages import Laggard, Summary, WatcherRole, WatchRequest


class DownstreamWatch:
    """A connection: first without a watch, then with one."""

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
        self.heard_at = now  # when the last message came
        self.last_sent = now  # when the last frame was queued
        self.written_at = now  # when a frame was last written, or the queue was empty
        self.unwritten_messages = 0
        self.unwritten_bytes = 0
        self.queued_revision = 0  # the member has this revision once the queue is written
        self.wants_snapshot = False
        self.transfer: EncodedUpdate | None = (
            None  # the update under way; its frames before ``next_part`` are queued
        )
        self.next_part = 0
        self.reported_revision = 0  # that the member has applied
        self.summary: Summary | None = None  # of a relay

    def begin(self, watch: WatchRequest, wants_snapshot: bool) -> None:
        """Start the watch."""
        self.watching = True
        self.member, self.role = watch.member, watch.role
        self.wants_snapshot = wants_snapshot
        self.queued_revision = 0 if wants_snapshot else watch.revision
        self.reported_revision = self.queued_revision

    def restart(self) -> None:
        """Start again with a snapshot: the generation has changed."""
        self.wants_snapshot = True
        self.transfer = None
        self.queued_revision = self.reported_revision = 0
        self.summary = None

    def record_received(self, now: float) -> None:
        """Record that a message came."""
        self.heard_at = now

    def record_report(self, revision: int, summary: Summary | None) -> None:
        """Record the revision that the member has applied; a relay's summary goes with it."""
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
        """Take it that all frames of the update are queued."""
        assert self.transfer is not None
        self.queued_revision = self.transfer.revision
        self.transfer = None
        self.wants_snapshot = False

    def has_room(self, messages: int, size: int) -> bool:
        """Return whether the queue has room for one more frame; an empty queue takes any size."""
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
        """Return since when no frame was written though some wait; None if none waits."""
        return self.written_at if self.unwritten_messages else None

    def last_known(self) -> Laggard:
        """Return the member with its reported revision."""
        return Laggard(self.member, self.reported_revision)
