"""One downstream watch as its server sees it, with the bounded queue towards it."""

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
        self.heard_at = now  # the last message came then
        self.last_sent = now  # the last frame was queued then
        self.written_at = now  # a frame was taken, or the queue was empty, then
        self.unwritten_messages = 0
        self.unwritten_bytes = 0
        self.queued_revision = 0  # the watch has this once its queue is written
        self.wants_snapshot = False
        self.transfer: EncodedUpdate | None = None  # under way: its frames before ``next_part`` are queued
        self.next_part = 0
        self.reported_revision = 0
        self.summary: Summary | None = None  # of a relay

    def begin(self, watch: WatchRequest, wants_snapshot: bool) -> None:
        """Hold the watch."""
        self.watching = True
        self.member, self.role = watch.member, watch.role
        self.wants_snapshot = wants_snapshot
        self.queued_revision = 0 if wants_snapshot else watch.revision
        self.reported_revision = self.queued_revision

    def begin_again(self) -> None:
        """Start over with a snapshot: the history below the watch was replaced."""
        self.wants_snapshot = True
        self.transfer = None
        self.queued_revision = self.reported_revision = 0
        self.summary = None

    def room(self, messages: int, size: int) -> bool:
        """Return whether the queue takes one more frame; an empty queue takes a frame of any size."""
        return self.unwritten_messages < messages and self.unwritten_bytes < size

    def queued(self, size: int, now: float) -> None:
        """Count a frame that was queued."""
        if not self.unwritten_messages:
            self.written_at = now
        self.unwritten_messages += 1
        self.unwritten_bytes += size
        self.last_sent = now

    def written(self, size: int, now: float) -> None:
        """Count a frame that was taken."""
        self.unwritten_messages = max(0, self.unwritten_messages - 1)
        self.unwritten_bytes = max(0, self.unwritten_bytes - size)
        self.written_at = now

    def stuck_since(self) -> float | None:
        """Return since when no frame was taken though some wait."""
        return self.written_at if self.unwritten_messages else None

    def last_known(self) -> Laggard:
        """Return the member with the revision that it reported."""
        return Laggard(self.member, self.reported_revision)
