"""The frame format on a stream: a length of four bytes, then the content."""

from __future__ import annotations

import struct

import trio

FRAME_LENGTH = struct.Struct("!I")
RECEIVE_BYTES = 64 * 1024


class FrameTooLongError(Exception):
    """The peer announced a frame that is longer than the limit."""


def pack_frame(content: bytes) -> bytes:
    """Return the content with its length prefix."""
    return FRAME_LENGTH.pack(len(content)) + content


async def receive_frame(stream: trio.SocketStream, buffer: bytearray, max_bytes: int) -> bytes | None:
    """Return the content of the next frame; None at the end of the stream.

    ``buffer`` keeps bytes received beyond the frame for the next call. Raises ``FrameTooLongError``.
    """
    if not await _fill(stream, buffer, FRAME_LENGTH.size):
        return None
    (length,) = FRAME_LENGTH.unpack_from(buffer)
    if length > max_bytes:
        raise FrameTooLongError
    end = FRAME_LENGTH.size + length
    if not await _fill(stream, buffer, end):
        return None
    content = bytes(buffer[FRAME_LENGTH.size : end])
    del buffer[:end]
    return content


async def _fill(stream: trio.SocketStream, buffer: bytearray, size: int) -> bool:
    """Receive until the buffer has ``size`` bytes; return False if the stream ends before that."""
    while len(buffer) < size:
        part = await stream.receive_some(RECEIVE_BYTES)
        if not part:
            return False
        buffer += part
    return True
