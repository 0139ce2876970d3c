"""The Unix socket between two processes of a node: packets, some of which carry a file descriptor.

Messages are queued without waiting. If the connection ends, messages that were not sent are dropped, and
their descriptors are closed.
"""

from __future__ import annotations

import array
import errno
import os
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

import msgspec
import trio

from merlinbay.handover import messages
from merlinbay.limits import ResourceLimits

UCRED = struct.Struct("3i")  # struct ucred of unix(7): process, user and group
NO_DESCRIPTOR = -1


class Packet(NamedTuple):
    """A message, and the file descriptor that it carries, if any."""

    message: messages.HandoverMessage
    descriptor: int = NO_DESCRIPTOR


class ControlSocket:
    """One connection between two processes."""

    def __init__(self, sock: trio.socket.SocketType, limits: ResourceLimits) -> None:
        self.sock, self._limits = sock, limits
        self._queue, self._queued = trio.open_memory_channel[Packet](limits.inbox_messages)

    def post(self, message: messages.HandoverMessage, descriptor: int = NO_DESCRIPTOR) -> bool:
        """Queue a message without waiting; return whether it was queued.

        The descriptor is closed in this process once it is sent or cannot be sent.
        """
        try:
            self._queue.send_nowait(Packet(message, descriptor))
        except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
            if descriptor != NO_DESCRIPTOR:
                os.close(descriptor)
            return False
        return True

    async def send_queued(self) -> None:
        """Send queued messages until the connection ends."""
        with self._queued:
            try:
                async for packet in self._queued:
                    try:
                        await self.send(packet)
                    except OSError as error:
                        # Only a message that is too long for a packet is dropped; the others are still sent.
                        if error.errno != errno.EMSGSIZE:
                            break
            finally:
                self._close_unsent()

    async def send(self, packet: Packet) -> None:
        """Send one packet, and close its descriptor. Raises ``OSError``."""
        data = messages.encode(packet.message)
        if packet.descriptor == NO_DESCRIPTOR:
            await self.sock.send(data)
            return
        rights = array.array("i", [packet.descriptor]).tobytes()
        try:
            await self.sock.sendmsg([data], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, rights)])
        finally:
            os.close(packet.descriptor)

    def _close_unsent(self) -> None:
        """Close the descriptors of messages that were not sent."""
        while True:
            try:
                descriptor = self._queued.receive_nowait().descriptor
            except (trio.WouldBlock, trio.EndOfChannel, trio.ClosedResourceError):
                return
            if descriptor != NO_DESCRIPTOR:
                os.close(descriptor)

    async def receive(self) -> Packet | None:
        """Return the next packet; None if the connection has ended or the packet is malformed."""
        try:
            data, extra, flags, _ = await self.sock.recvmsg(
                self._limits.handover_packet_bytes, socket.CMSG_SPACE(4), socket.MSG_CMSG_CLOEXEC
            )
        except OSError:
            return None
        descriptor = NO_DESCRIPTOR
        for level, kind, value in extra:
            if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
                descriptor = array.array("i", value[:4])[0]
        if not data or flags & socket.MSG_TRUNC:
            return None
        try:
            return Packet(messages.decode(data), descriptor)
        except msgspec.MsgspecError:
            return None


@contextmanager
def short_path(path: Path) -> Iterator[str]:
    """Yield an alias of the path that is short enough for a socket address (108 bytes, unix(7))."""
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


async def connect(path: Path) -> trio.socket.SocketType | None:
    """Connect to the process that listens at a path; return None if there is none."""
    sock = trio.socket.socket(trio.socket.AF_UNIX, trio.socket.SOCK_SEQPACKET)
    try:
        with short_path(path) as name:
            await sock.connect(name)
    except OSError:
        sock.close()
        return None
    except BaseException:
        sock.close()
        raise
    return sock


async def listen(path: Path) -> trio.socket.SocketType:
    """Listen at a path, in place of any process that listens there. Raises ``OSError``."""
    sock = trio.socket.socket(trio.socket.AF_UNIX, trio.socket.SOCK_SEQPACKET)
    try:
        temporary = path.with_name(f"{path.name}.{os.getpid()}")
        temporary.unlink(missing_ok=True)
        with short_path(temporary) as name:
            await sock.bind(name)
        temporary.chmod(0o600)
        sock.listen(1)
        # The rename is atomic, so a process that connects reaches the earlier listener or this one.
        temporary.replace(path)
    except BaseException:
        sock.close()
        raise
    return sock


def is_same_user(sock: trio.socket.SocketType) -> bool:
    """Return whether the process at the other end runs under the same user."""
    _, user, _ = UCRED.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, UCRED.size))
    return bool(user == os.getuid())
