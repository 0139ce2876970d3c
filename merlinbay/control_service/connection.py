"""One authenticated connection: length-prefixed frames, a bounded send queue, idle and write timeouts.

A connection is created after a handshake and is open while ``run`` is running. It closes on an I/O error, a
timeout or a rejected frame; the side that opened it connects again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum

import trio

from merlinbay.control_service.framing import FRAME_LENGTH, FrameTooLongError, pack_frame, receive_frame
from merlinbay.control_service.local_peer import TransportLimits
from merlinbay.control_service.sealing import TAG_BYTES, FrameSeal
from merlinbay.control_service.traffic import TrafficCounters
from merlinbay.fleet.wire import MessageRejectedError

WRITE_BATCH_BYTES = 256 * 1024  # limit of messages joined into one write
FINISH_TIMEOUT_S = 1.0  # time to write the frames still queued when a connection is finished


class QueueOverflow(Enum):
    """The policy for a full send queue."""

    DROP_OLDEST = "drop_oldest"  # for messages that the protocol repeats
    CLOSE = "close"  # for streams that need every message: the peer reconnects and resumes


class FramedConnection:
    """Frames to and from one peer. ``send`` never waits; ``run`` does the I/O until the connection ends."""

    __slots__ = (
        "_buffer",
        "_finishing",
        "_incoming",
        "_limits",
        "_outgoing",
        "_overflow",
        "_queue",
        "_queue_bytes",
        "_scope",
        "_stream",
        "_traffic",
        "_wake",
        "on_message",
        "on_written",
        "peer",
        "peer_role",
    )

    def __init__(
        self,
        stream: trio.SocketStream,
        peer: str,
        peer_role: str,
        outgoing: FrameSeal,
        incoming: FrameSeal,
        limits: TransportLimits,
        traffic: TrafficCounters,
        overflow: QueueOverflow,
    ) -> None:
        self.peer, self.peer_role = peer, peer_role
        self.on_message: Callable[[bytes], None] = _ignore
        self.on_written: Callable[[int], None] = _ignore  # called with the size of each message written
        self._stream, self._outgoing, self._incoming = stream, outgoing, incoming
        self._limits, self._traffic, self._overflow = limits, traffic, overflow
        self._queue: deque[bytes] = deque()
        self._queue_bytes = 0
        self._wake = trio.Event()
        self._scope = trio.CancelScope()
        self._finishing = False
        self._buffer = bytearray()

    def send(self, message: bytes) -> None:
        """Queue one message. A message over the frame limit closes the connection; so may a full queue."""
        if len(message) + TAG_BYTES > self._limits.frame_bytes:
            self._traffic.messages_dropped += 1
            self.close()
            return
        self._queue.append(message)
        self._queue_bytes += len(message)
        while len(self._queue) > self._limits.queue_frames or self._queue_bytes > self._limits.queue_bytes:
            if self._overflow is QueueOverflow.CLOSE:
                self.close()
                break
            self._queue_bytes -= len(self._queue.popleft())
            self._traffic.messages_dropped += 1
        self._wake.set()

    def unread(self, data: bytes | bytearray) -> None:
        """Put back bytes received with the handshake that belong to the first frames."""
        self._buffer += data

    def finish(self) -> None:
        """End the connection once the queue is written, at the latest after ``FINISH_TIMEOUT_S``."""
        self._finishing = True
        self._scope.deadline = min(self._scope.deadline, trio.current_time() + FINISH_TIMEOUT_S)
        self._wake.set()

    def close(self) -> None:
        """End the connection; ``run`` returns soon after."""
        self._scope.cancel()

    async def run(self) -> None:
        """Send and receive until either side closes, nothing arrives for too long, or a frame is rejected."""
        with self._scope:
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    await self._read()
                    nursery.cancel_scope.cancel()
            except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
                pass
            except* (MessageRejectedError, FrameTooLongError):
                self._traffic.connections_refused += 1
        await trio.aclose_forcefully(self._stream)

    async def _write(self) -> None:
        while True:
            with trio.move_on_after(self._limits.keepalive_s):
                await self._wake.wait()
            self._wake = trio.Event()
            while True:
                batch, sizes = self._take_batch()
                with trio.fail_after(self._limits.write_timeout_s):
                    await self._stream.send_all(batch)
                self._traffic.bytes_sent += len(batch)
                self._traffic.messages_sent += len(sizes)
                for size in sizes:
                    self.on_written(size)
                if not self._queue:
                    break
            if self._finishing:
                self._scope.cancel()

    def _take_batch(self) -> tuple[bytes, list[int]]:
        """Return frames to write, or a keepalive if none is queued, and the sizes of their messages."""
        frames: list[bytes] = []
        sizes: list[int] = []
        while self._queue and sum(sizes) < WRITE_BATCH_BYTES:
            message = self._queue.popleft()
            self._queue_bytes -= len(message)
            frames.append(self._frame(message))
            sizes.append(len(message))
        return b"".join(frames) or self._frame(b""), sizes

    def _frame(self, message: bytes) -> bytes:
        return pack_frame(self._outgoing.seal(message))

    async def _read(self) -> None:
        with trio.CancelScope() as idle:
            while True:
                idle.deadline = trio.current_time() + self._limits.idle_timeout_s
                content = await receive_frame(self._stream, self._buffer, self._limits.frame_bytes)
                if content is None:
                    return
                self._traffic.bytes_received += FRAME_LENGTH.size + len(content)
                message = self._incoming.open(content)
                if message:
                    self._traffic.messages_received += 1
                    self.on_message(message)


def _ignore(_: object) -> None:
    """Do nothing; the default for callbacks that are not set."""
