"""Proxies between every pair of nodes, on loopback addresses: what each link does is set while they run.

Node i listens at its own address and is known to the others by the proxy's for it. A datagram that comes to
the proxy's address of j is told apart by where it comes from; it goes on from the proxy's address of i, so j
answers to that.
"""

from __future__ import annotations

import socket
import struct
from collections import deque
from collections.abc import Callable
from random import Random

import trio

from merlinbay.rig.script import LinkFaults

PORT = 7946
PAST = 500  # datagrams kept, to be sent once more
RESET = struct.pack("ii", 1, 0)  # linger for no time: the close is a reset


class Proxies:
    """All links of a run."""

    def __init__(self, real: list[str], shown: list[str], rng: Random, net: LinkFaults) -> None:
        self.real, self.shown, self.rng, self.net = real, shown, rng, net
        self.index = {addr: number for number, addr in enumerate(real)}
        self.cut: set[tuple[int, int]] = set()  # from, to
        self.udp: list[trio.socket.SocketType] = []
        self.streams: set[trio.SocketStream] = set()
        self.past: deque[tuple[int, int, bytes]] = deque(maxlen=PAST)  # datagrams carried lately
        self.carried = self.dropped = self.bytes = 0

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Carry for ever."""
        async with trio.open_nursery() as nursery:
            for number, addr in enumerate(self.shown):
                udp = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
                await udp.bind((addr, PORT))
                self.udp.append(udp)
                tcp = trio.socket.socket()
                tcp.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
                await tcp.bind((addr, PORT))
                tcp.listen(64)
                nursery.start_soon(self._datagrams, nursery, number, udp)
                nursery.start_soon(self._accept, nursery, number, tcp)
            task_status.started()

    async def _datagrams(self, nursery: trio.Nursery, to: int, udp: trio.socket.SocketType) -> None:
        net = self.rng
        while True:
            try:
                data, source = await udp.recvfrom(65536)
            except OSError:
                continue
            by = self.index.get(source[0])
            if by is None:
                continue
            self.carried, self.bytes = self.carried + 1, self.bytes + len(data)
            if (by, to) in self.cut or net.random() < self.net.loss:
                self.dropped += 1
                continue
            self.past.append((by, to, data))
            wait = self.net.delay_ms
            if net.random() < self.net.late:
                wait += net.random() * self.net.late_ms
            nursery.start_soon(self._pass, by, to, data, wait)
            if net.random() < self.net.twice:
                nursery.start_soon(self._pass, by, to, data, wait * 2 + 5)

    async def _pass(self, by: int, to: int, data: bytes, wait_ms: float) -> None:
        await trio.sleep(wait_ms / 1000)
        try:
            await self.udp[by].sendto(data, (self.real[to], PORT))
        except OSError:
            self.dropped += 1

    async def _accept(self, nursery: trio.Nursery, to: int, tcp: trio.socket.SocketType) -> None:
        while True:
            try:
                sock, source = await tcp.accept()
            except OSError:
                await trio.sleep(0.05)
                continue
            nursery.start_soon(self._stream, self.index.get(source[0]), to, sock)

    async def _stream(self, by: int | None, to: int, sock: trio.socket.SocketType) -> None:
        near = trio.SocketStream(sock)
        self.streams.add(near)
        try:
            if by is None or self.net.half_open or {(by, to), (to, by)} & self.cut:
                await trio.sleep(30)  # it was taken, and nothing more comes
                return
            with trio.socket.socket() as other:
                await other.connect((self.real[to], PORT))
                far = trio.SocketStream(other)
                async with trio.open_nursery() as both:
                    both.start_soon(self._copy, near, far, both.cancel_scope.cancel, by, to)
                    both.start_soon(self._copy, far, near, both.cancel_scope.cancel, to, by)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except BaseExceptionGroup as group:
            rest = group.split((OSError, trio.BrokenResourceError, trio.ClosedResourceError))[1]
            if rest is not None:
                raise rest from None
        finally:
            self.streams.discard(near)
            sock.close()

    async def _copy(
        self, one: trio.SocketStream, other: trio.SocketStream, done: Callable[[], None], by: int, to: int
    ) -> None:
        while data := await one.receive_some(65536):
            while (by, to) in self.cut:
                await trio.sleep(0.1)
            if self.net.delay_ms:
                await trio.sleep(self.net.delay_ms / 1000)
            if self.net.trickle:
                for at in range(len(data)):
                    await other.send_all(data[at : at + 1])
                    await trio.sleep(1 / self.net.trickle)
            else:
                await other.send_all(data)
        done()

    async def replay(self) -> None:
        """Send all that was carried lately once more, as somebody who listened would."""
        for by, to, data in list(self.past):
            await self._pass(by, to, data, 0.0)

    def reset(self) -> None:
        """Reset every stream under way."""
        for stream in list(self.streams):
            try:
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            except OSError:
                continue
            stream.socket.close()
