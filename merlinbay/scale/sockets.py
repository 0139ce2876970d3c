"""Sockets that count what a member sends and receives, and delay what it sends.

They stand below the program's own code: trio's ``set_custom_socket_factory`` has every socket of a hollow
process made here. A socket belongs to the member in whose task it is made, and is closed with it, as the
kernel closes a process's. Delays are one way, by the two members' zones; a datagram waits in a heap of the
process, a stream's data in order in a queue of its socket, and a connection is made after a round trip.
"""

from __future__ import annotations

import heapq
import socket as stdlib
from collections import deque
from contextvars import ContextVar
from typing import Any, Self

import trio

from merlinbay.scale.layout import delay_s, number_of
from merlinbay.scale.meters import Traffic
from merlinbay.scale.plan import Topology

MOST_IN_FLIGHT = 256 * 1024  # bytes of a stream that wait for their delay; a sender waits beyond it


class MemberSockets:
    """One member's side of the net: its address, its traffic and its open sockets."""

    def __init__(self, number: int, address: str, zone: int) -> None:
        self.number, self.address, self.zone = number, address, zone
        self.traffic = Traffic()
        self.sockets: set[MeteredSocket] = set()

    def close(self) -> None:
        """Close all sockets, as the end of a process does."""
        for sock in list(self.sockets):
            sock.close()


CURRENT: ContextVar[MemberSockets | None] = ContextVar("CURRENT", default=None)


class MeteredNetwork(trio.abc.SocketFactory):
    """Makes the sockets of a process, and holds back what they send."""

    def __init__(self, net: int, topology: Topology, watched: frozenset[str], nursery: trio.Nursery) -> None:
        self.topology, self.nursery = topology, nursery
        self.prefix = f"127.{net}."
        self.watched = {
            address: Traffic() for address in watched
        }  # what real members sent and got, as seen here
        self.delays: dict[tuple[int, str], float] = {}  # by the sender's zone and the receiver's address
        self.waiting: list[tuple[float, int, MeteredSocket, bytes, Any]] = []
        self.count = 0
        self.news = trio.Event()

    def socket(
        self,
        family: stdlib.AddressFamily | int = stdlib.AF_INET,
        type: stdlib.SocketKind | int = stdlib.SOCK_STREAM,
        proto: int = 0,
    ) -> trio.socket.SocketType:
        """Make a socket."""
        inner = trio.socket.from_stdlib_socket(stdlib.socket(family, type, proto))
        endpoint = CURRENT.get()
        return inner if endpoint is None else MeteredSocket(self, endpoint, inner)

    def delay(self, endpoint: MemberSockets, address: str) -> float:
        """Return how long a message takes from a member to an address."""
        key = (endpoint.zone, address)
        if key not in self.delays:
            near = not address.startswith(self.prefix)  # a caller of the operators' calls, next to the member
            self.delays[key] = 0.0 if near else delay_s(self.topology, endpoint.number, number_of(address))
        return self.delays[key]

    def hold(self, wait_s: float, sock: MeteredSocket, data: bytes, address: Any) -> None:
        """Send a datagram later."""
        self.count += 1
        due = trio.current_time() + wait_s
        heapq.heappush(self.waiting, (due, self.count, sock, data, address))
        if self.waiting[0][1] == self.count:
            self.news.set()

    async def run(self) -> None:
        """Send held datagrams for ever."""
        while True:
            self.news = trio.Event()
            with trio.move_on_at(self.waiting[0][0] if self.waiting else float("inf")):
                await self.news.wait()
            while self.waiting and self.waiting[0][0] <= trio.current_time():
                _, _, sock, data, address = heapq.heappop(self.waiting)
                await sock.send_held(data, address)


class MeteredSocket(trio.socket.SocketType):
    """A trio socket with counts and delays; everything else is the real socket's."""

    def __init__(
        self, network: MeteredNetwork, endpoint: MemberSockets, inner: trio.socket.SocketType
    ) -> None:
        super().__init__()
        self.network, self.endpoint, self.inner = network, endpoint, inner
        self.peer = ""
        self.bound = False
        self.wait_s = 0.0  # of a stream
        self.queue: deque[tuple[float, bytes]] = deque()
        self.queued = 0
        self.pumping = self.closing = False
        self.room = trio.Event()
        self.failed: OSError | None = None
        endpoint.sockets.add(self)

    # As the real one.

    @property
    def family(self) -> stdlib.AddressFamily:
        """Return the family."""
        return self.inner.family

    @property
    def type(self) -> stdlib.SocketKind:
        """Return the kind."""
        return self.inner.type

    @property
    def proto(self) -> int:
        """Return the protocol."""
        return self.inner.proto

    @property
    def did_shutdown_SHUT_WR(self) -> bool:  # noqa: N802
        """Tell whether nothing more is sent."""
        return self.inner.did_shutdown_SHUT_WR

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def fileno(self) -> int:
        """Return the descriptor."""
        return self.inner.fileno()

    def getpeername(self) -> Any:
        """Return the other side."""
        return self.inner.getpeername()

    def getsockname(self) -> Any:
        """Return our address."""
        return self.inner.getsockname()

    def getsockopt(self, *args: Any) -> Any:
        """Return an option."""
        return self.inner.getsockopt(*args)

    def setsockopt(self, *args: Any, **more: Any) -> None:
        """Set an option."""
        self.inner.setsockopt(*args, **more)

    def listen(self, *args: Any) -> None:
        """Listen."""
        self.inner.listen(*args)

    def shutdown(self, flag: int) -> None:
        """End a direction."""
        self.inner.shutdown(flag)

    def is_readable(self) -> bool:
        """Tell whether something has come."""
        return self.inner.is_readable()

    async def wait_writable(self) -> None:
        """Wait until there is room."""
        await self.inner.wait_writable()

    async def bind(self, address: Any) -> None:
        """Take an address."""
        self.bound = True
        await self.inner.bind(address)

    def close(self) -> None:
        """Close, once what waits for its delay is out."""
        self.endpoint.sockets.discard(self)
        self.closing = True
        self.room.set()
        if not self.pumping:
            self.inner.close()

    # Streams.

    async def accept(self) -> tuple[trio.socket.SocketType, Any]:
        """Take a connection; it is the listening member's."""
        inner, address = await self.inner.accept()
        taken = MeteredSocket(self.network, self.endpoint, inner)
        taken._to(address[0])
        return taken, address

    async def connect(self, address: Any) -> None:
        """Connect from the member's own address, after a round trip."""
        if not self.bound:
            await self.bind((self.endpoint.address, 0))
        self._to(address[0])
        if self.wait_s:
            await trio.sleep(2 * self.wait_s)
        await self.inner.connect(address)

    def _to(self, address: str) -> None:
        self.peer = address
        self.wait_s = self.network.delay(self.endpoint, address)

    async def recv(self, buflen: int, flags: int = 0, /) -> bytes:
        """Receive."""
        data = await self.inner.recv(buflen, flags)
        if data:
            self.endpoint.traffic.received(len(data))
            if (watched := self.network.watched.get(self.peer)) is not None:
                watched.sent(len(data))
        return data

    async def send(self, data: Any, flags: int = 0, /) -> int:
        """Send, or hold back."""
        if self.wait_s:
            size = await self._enqueue(bytes(data))
        else:
            size = await self.inner.send(data, flags)
        self.endpoint.traffic.sent(size)
        if (watched := self.network.watched.get(self.peer)) is not None:
            watched.received(size)
        return size

    async def _enqueue(self, data: bytes) -> int:
        while self.queued > MOST_IN_FLIGHT and not self.closing:
            self.room = trio.Event()
            await self.room.wait()
        if self.failed is not None:
            raise self.failed
        if self.closing:
            raise trio.ClosedResourceError("closed")
        self.queue.append((trio.current_time() + self.wait_s, data))
        self.queued += len(data)
        if not self.pumping:
            self.pumping = True
            self.network.nursery.start_soon(self._pump)
        await trio.lowlevel.checkpoint()
        return len(data)

    async def _pump(self) -> None:
        """Write out what is due, in order, until nothing is left."""
        try:
            while self.queue:
                await trio.sleep_until(self.queue[0][0])
                rest = memoryview(self.queue[0][1])
                while rest:
                    rest = rest[await self.inner.send(rest) :]
                self.queued -= len(self.queue.popleft()[1])
                self.room.set()
        except OSError as error:
            self.failed = error
            self.room.set()
        except trio.ClosedResourceError:
            pass
        finally:
            self.pumping = False
            if self.closing:
                self.inner.close()

    # Datagrams.

    async def recvfrom(self, bufsize: int, flags: int = 0, /) -> tuple[bytes, Any]:
        """Receive a datagram."""
        data, source = await self.inner.recvfrom(bufsize, flags)
        self.endpoint.traffic.received(len(data))
        if (watched := self.network.watched.get(source[0])) is not None:
            watched.sent(len(data))
        return data, source

    async def sendto(self, *args: Any) -> int:
        """Send a datagram, or hold it back."""
        data, address = args[0], args[-1]
        self.endpoint.traffic.sent(len(data))
        if (watched := self.network.watched.get(address[0])) is not None:
            watched.received(len(data))
        if wait_s := self.network.delay(self.endpoint, address[0]):
            self.network.hold(wait_s, self, bytes(data), address)
            await trio.lowlevel.checkpoint()
            return len(data)
        return await self.inner.sendto(data, address)

    async def send_held(self, data: bytes, address: Any) -> None:
        """Send a datagram whose time has come; one that fails is lost."""
        if self.closing:
            return
        try:
            await self.inner.sendto(data, address)
        except (OSError, trio.ClosedResourceError):
            return
