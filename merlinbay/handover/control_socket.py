"""The Unix socket between the two processes of a node: whole packets, some with a descriptor."""

from __future__ import annotations

import array
import errno
import os
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec
import trio

from merlinbay.handover import messages
from merlinbay.limits import ResourceLimits

PEER = struct.Struct("3i")  # struct ucred: process, user, group (unix(7))


class ControlSocket:
    """One connection between them."""

    def __init__(self, sock: trio.socket.SocketType, limits: ResourceLimits) -> None:
        self.sock, self.limits = sock, limits
        self.out, self.waiting = trio.open_memory_channel[tuple[messages.Word, int]](limits.inbox_messages)

    def post(self, word: messages.Word, descriptor: int = -1) -> bool:
        """Have a word written; a descriptor is closed here once it is sent. Does not wait."""
        try:
            self.out.send_nowait((word, descriptor))
        except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
            if descriptor >= 0:
                os.close(descriptor)
            return False
        return True

    async def write(self) -> None:
        """Write what is posted, until the other process is gone."""
        with self.waiting:
            try:
                async for word, descriptor in self.waiting:
                    try:
                        await self._send(word, descriptor)
                    except OSError as error:
                        if error.errno != errno.EMSGSIZE:  # one word too long for a packet ends nothing else
                            break
            finally:
                self._drop()

    async def _send(self, word: messages.Word, descriptor: int) -> None:
        if descriptor < 0:
            await self.sock.send(messages.encode(word))
            return
        try:
            await self.sock.sendmsg(
                [messages.encode(word)],
                [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [descriptor]).tobytes())],
            )
        finally:
            os.close(descriptor)

    def _drop(self) -> None:
        """Close the descriptors that were never sent."""
        while True:
            try:
                descriptor = self.waiting.receive_nowait()[1]
            except (trio.WouldBlock, trio.EndOfChannel, trio.ClosedResourceError):
                return
            if descriptor >= 0:
                os.close(descriptor)

    async def read(self) -> tuple[messages.Word, int] | None:
        """Return the next word and its descriptor or -1; None: the other is gone, or talks nonsense."""
        try:
            data, extra, flags, _ = await self.sock.recvmsg(
                self.limits.handover_packet_bytes, socket.CMSG_SPACE(4), socket.MSG_CMSG_CLOEXEC
            )
        except OSError:
            return None
        descriptor = -1
        for level, kind, value in extra:
            if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
                descriptor = array.array("i", value[:4])[0]
        if not data or flags & socket.MSG_TRUNC:
            return None
        try:
            return messages.decode(data), descriptor
        except msgspec.MsgspecError:
            return None


@contextmanager
def reachable(path: Path) -> Iterator[str]:
    """Yield a name of the path that is short enough for a socket address (108 bytes, unix(7))."""
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


async def dial(path: Path) -> trio.socket.SocketType | None:
    """Connect to the process that listens there; None where there is none."""
    sock = trio.socket.socket(trio.socket.AF_UNIX, trio.socket.SOCK_SEQPACKET)
    try:
        with reachable(path) as name:
            await sock.connect(name)
    except OSError:
        sock.close()
        return None
    except BaseException:
        sock.close()
        raise
    return sock


async def listen(path: Path) -> trio.socket.SocketType:
    """Listen there, in place of whoever did. Raises ``OSError``."""
    sock = trio.socket.socket(trio.socket.AF_UNIX, trio.socket.SOCK_SEQPACKET)
    try:
        fresh = path.with_name(f"{path.name}.{os.getpid()}")
        fresh.unlink(missing_ok=True)
        with reachable(fresh) as name:
            await sock.bind(name)
        fresh.chmod(0o600)
        sock.listen(1)
        fresh.replace(path)  # at once: who dials meets the one before or this one
    except BaseException:
        sock.close()
        raise
    return sock


def same_user(sock: trio.socket.SocketType) -> bool:
    """Tell whether the other end is a process of the same user."""
    _, user, _ = PEER.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER.size))
    return bool(user == os.getuid())
