"""The Unix socket between the two processes of a node: packets, some with a file descriptor."""

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

UCRED = struct.Struct("3i")  # struct ucred: process, user, group (unix(7))
NO_DESCRIPTOR = -1


class Packet(NamedTuple):
    """A message, and the descriptor that comes with it."""

    message: messages.HandoverMessage
    descriptor: int = NO_DESCRIPTOR


class ControlSocket:
    """One connection between the processes."""

    def __init__(self, sock: trio.socket.SocketType, limits: ResourceLimits) -> None:
        self.sock, self._limits = sock, limits
        self._queue, self._queued = trio.open_memory_channel[Packet](limits.inbox_messages)

    def post(self, message: messages.HandoverMessage, descriptor: int = NO_DESCRIPTOR) -> bool:
        """Queue a message, without waiting; tell whether it was queued.

        The descriptor is closed in this process once it is sent, or cannot be.
        """
        try:
            self._queue.send_nowait(Packet(message, descriptor))
        except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
            if descriptor != NO_DESCRIPTOR:
                os.close(descriptor)
            return False
        return True

    async def send_queued(self) -> None:
        """Send what is queued, until the connection ends."""
        with self._queued:
            try:
                async for packet in self._queued:
                    try:
                        await self.send(packet)
                    except OSError as error:
                        # Guards against one message that is too long for a packet, and would end all others.
                        if error.errno != errno.EMSGSIZE:
                            break
            finally:
                self._close_unsent()

    async def send(self, packet: Packet) -> None:
        """Send one packet. Raises ``OSError``."""
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
        """Close the descriptors that were never sent."""
        while True:
            try:
                descriptor = self._queued.receive_nowait().descriptor
            except (trio.WouldBlock, trio.EndOfChannel, trio.ClosedResourceError):
                return
            if descriptor != NO_DESCRIPTOR:
                os.close(descriptor)

    async def receive(self) -> Packet | None:
        """Return the next packet; None: the connection ended, or a packet was malformed."""
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
    """Yield a name of the path that is short enough for a socket address (108 bytes, unix(7))."""
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


async def connect(path: Path) -> trio.socket.SocketType | None:
    """Connect to the process that listens at a path; None: there is none."""
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
    """Listen at a path, in place of any other process. Raises ``OSError``."""
    sock = trio.socket.socket(trio.socket.AF_UNIX, trio.socket.SOCK_SEQPACKET)
    try:
        temporary = path.with_name(f"{path.name}.{os.getpid()}")
        temporary.unlink(missing_ok=True)
        with short_path(temporary) as name:
            await sock.bind(name)
        temporary.chmod(0o600)
        sock.listen(1)
        temporary.replace(path)  # atomic: who connects meets the listener before or this one
    except BaseException:
        sock.close()
        raise
    return sock


def is_same_user(sock: trio.socket.SocketType) -> bool:
    """Tell whether the other end is a process of the same user."""
    _, user, _ = UCRED.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, UCRED.size))
    return bool(user == os.getuid())
