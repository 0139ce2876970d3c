"""The sending side of a watch server: queues the frames that bring each watch to the current revision."""

from __future__ import annotations

from collections.abc import Callable

from merlinbay.control.fanout.counters import ServerCounters
from merlinbay.control.fanout.downstream_watch import DownstreamWatch
from merlinbay.control.fanout.effects import DownstreamEffect, SendDownstream
from merlinbay.control.fanout.frames import EncodedUpdate, FrameCache
from merlinbay.control.fanout.messages import (
    Generation,
    Goodbye,
    GoodbyeReason,
    KeepAlive,
    RejectionReason,
    WatchAccepted,
    WatchRejected,
    encode,
    milliseconds,
)
from merlinbay.control.fanout.settings import WatchServerSettings
from merlinbay.control.fanout.store import RevisionStore


class WatchSender:
    """Queues frames for watches and counts the frames."""

    def __init__(
        self,
        store: RevisionStore,
        frames: FrameCache,
        settings: WatchServerSettings,
        counters: ServerCounters,
        effects: list[DownstreamEffect],
        staleness: Callable[[float], float],
    ) -> None:
        """Append to ``effects``; ``staleness`` returns the staleness of the store at a given time."""
        self.counters = counters
        self._store, self._frames, self._settings = store, frames, settings
        self._effects, self._staleness = effects, staleness

    def pump(self, downstream: DownstreamWatch, now: float) -> None:
        """Queue frames until the watch has the current revision or its queue is full."""
        settings = self._settings
        while downstream.has_room(settings.queue_messages, settings.queue_bytes):
            transfer = downstream.transfer or self._next_transfer(downstream, now)
            if transfer is None:
                return
            self.send(downstream, transfer.frames[downstream.next_part], now)
            if downstream.finish_part():
                self._finish_transfer(downstream, transfer, now)

    def _next_transfer(self, downstream: DownstreamWatch, now: float) -> EncodedUpdate | None:
        transfer = None
        if not downstream.wants_snapshot:
            if downstream.queued_revision >= self._store.revision:
                return None
            staleness_ms = milliseconds(self._staleness(now))
            transfer = self._frames.delta(downstream.queued_revision, staleness_ms, now)
        transfer = transfer or self._frames.snapshot()
        downstream.start_transfer(transfer)
        return transfer

    def _finish_transfer(self, downstream: DownstreamWatch, transfer: EncodedUpdate, now: float) -> None:
        downstream.finish_transfer()
        if not transfer.snapshot:
            self.counters.deltas_sent += 1
            return
        self.counters.snapshots_sent += 1
        if transfer.revision == self._store.revision:
            self.send(downstream, self.keepalive(now), now)

    def send_accepted(self, downstream: DownstreamWatch, generation: Generation, now: float) -> None:
        """Queue the acceptance of a watch."""
        staleness_ms = milliseconds(self._staleness(now))
        self.send(downstream, encode(WatchAccepted(generation, self._store.revision, staleness_ms)), now)

    def send_rejected(
        self,
        downstream: DownstreamWatch,
        reason: RejectionReason,
        retry_after: float,
        others: tuple[str, ...],
        now: float,
    ) -> None:
        """Queue the rejection of a watch; ``retry_after`` is in seconds."""
        self.send(downstream, encode(WatchRejected(reason, milliseconds(retry_after), others)), now)

    def send_goodbye(
        self, downstream: DownstreamWatch, reason: GoodbyeReason, others: tuple[str, ...], now: float
    ) -> None:
        """Queue the last message of a stream."""
        self.send(downstream, encode(Goodbye(reason, others)), now)

    def keepalive(self, now: float) -> bytes:
        """Return a keep-alive frame."""
        return encode(KeepAlive(self._store.revision, milliseconds(self._staleness(now))))

    def send(self, downstream: DownstreamWatch, frame: bytes, now: float) -> None:
        """Queue one frame."""
        downstream.queued(len(frame), now)
        self.counters.messages_sent += 1
        self.counters.bytes_sent += len(frame)
        self._effects.append(SendDownstream(downstream.connection, frame))
