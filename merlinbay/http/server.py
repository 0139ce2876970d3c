"""The server's half of HTTP: connections of one request at a time, answered now or later."""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

import h11
import trio

from merlinbay.counters import Counters
from merlinbay.limits import Limits
from merlinbay.log import Log

REASONS = {200: b"OK", 201: b"Created", 204: b"No Content", 400: b"Bad Request", 401: b"Unauthorized",
           403: b"Forbidden", 404: b"Not Found",
           405: b"Method Not Allowed", 408: b"Request Timeout", 409: b"Conflict",
           413: b"Content Too Large", 500: b"Internal Server Error", 503: b"Service Unavailable",
           504: b"Gateway Timeout"}


@dataclass(slots=True)
class Request:
    """A whole request. Header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Response:
    """A whole response."""

    status: int
    body: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)


class Sock(Protocol):
    """What a connection needs of a socket."""

    def recv(self, most: int, /) -> Awaitable[bytes]:
        """Read some; nothing at the end."""

    def send(self, data: bytes, /) -> Awaitable[int]:
        """Write some; return how much."""

    def shutdown(self, how: int, /) -> None:
        """Write no more."""

    def fileno(self) -> int:
        """Return the descriptor."""


Prepare = Callable[[trio.socket.SocketType], Awaitable[Sock]]


class Handler(Protocol):
    """What stands behind a listener."""

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Answer a request, or return None and call ``connection.respond`` later."""

    def gone(self, connection: Connection) -> None:
        """Take it that the client hung up before its answer."""


Give = Callable[["Connection"], bool]  # tells whether it took the connection


class Connection:
    """One accepted connection: a task that reads, and one that writes answers that come later."""

    def __init__(self, sock: trio.socket.SocketType, limits: Limits, handler: Handler,
                 nursery: trio.Nursery, prepare: Prepare | None = None) -> None:
        self.raw, self.limits, self.handler, self.nursery = sock, limits, handler, nursery
        self.sock: Sock = sock
        self.prepare = prepare
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.head_bytes)
        self.wake = trio.Event()  # there is something to write
        self.next = trio.Event()  # the answer is written
        self.response: Response | None = None
        self.context: object = None  # the handler's own
        self.has_writer = False  # most connections carry one call-back and need none
        self.waiting = False  # a request is with the handler
        self.ended = False
        self.head_only = False  # the request is a HEAD: its answer has no body
        self.close_after = False  # no further request is wanted on this connection
        self.give: Give | None = None  # takes the connection away as soon as no request is under way
        self.reading = trio.CancelScope()
        self.calls_back = False  # set by a front: a real server uses it, which is never sent away
        self.scope = trio.CancelScope()
        self.idle_since = trio.current_time()
        self.proven = False  # set by a front: a job was served on it, so it is worth keeping
        self.expires = self.idle_since + limits.read_request  # watched by the listener's sweep

    @property
    def idle(self) -> bool:
        """Tell whether no request is under way."""
        return not self.waiting and self.h11.their_state is h11.IDLE and not self.h11.trailing_data[0]

    def hand_over(self, give: Give) -> None:
        """Have the connection given away once no request is under way on it."""
        if self.prepare is None:  # what TLS knows of it cannot be given
            self.give = give
            if self.idle:
                self.reading.cancel()

    def respond(self, response: Response) -> None:
        """Have an answer written. Does not wait."""
        self.response = response
        self.wake.set()

    async def serve(self) -> None:
        """Serve the connection to its end. Its errors end it alone."""
        with self.scope, self.raw:
            try:
                if self.prepare is not None:
                    self.sock = await self.prepare(self.raw)
                await self._read()
            except (OSError, h11.ProtocolError, trio.ClosedResourceError):
                pass
        self.ended = True
        self.wake.set()
        if self.waiting:
            self.waiting = False
            self.handler.gone(self)

    async def _read(self) -> None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            try:
                event = self.h11.next_event()
            except h11.RemoteProtocolError as error:
                await self._last_words(error.error_status_hint if error.error_status_hint >= 400 else 400)
                return
            if event is h11.NEED_DATA:
                was_idle = self.idle
                if was_idle and self.give is not None and self.give(self):
                    return
                # Guards against bytes read and thrown away: cancelled by itself, this has read none.
                with trio.CancelScope() as self.reading:
                    data = await self.sock.recv(self.limits.receive_bytes)
                if self.reading.cancelled_caught:
                    continue
                self.h11.receive_data(data)
                if was_idle:  # Guards against a request that dribbles in: all of it has so long.
                    self.expires = min(self.expires, trio.current_time() + self.limits.read_request)
            elif type(event) is h11.Request:
                head, body = event, bytearray()
                if status := self._unwanted(event):
                    await self._last_words(status)
                    return
                if self.h11.they_are_waiting_for_100_continue:
                    await send_all(self.sock, self.h11.send(
                        h11.InformationalResponse(status_code=100, headers=[])) or b"")
            elif type(event) is h11.Data:
                body += event.data
                if len(body) > self.limits.body_bytes:
                    await self._last_words(413)
                    return
            elif type(event) is h11.EndOfMessage and head is not None:
                await self._handle(Request(head.method.decode(), head.target.decode("latin-1"),
                                           header_table(head), bytes(body)))
            elif event is h11.PAUSED:
                if self.h11.our_state is h11.MUST_CLOSE:
                    return
                await self.next.wait()
                self.next = trio.Event()
            elif type(event) is h11.ConnectionClosed:
                return

    def _unwanted(self, head: h11.Request) -> int:
        """Return the status that a request's head earns already, 0 if its body may come."""
        headers = dict(head.headers)
        length = headers.get(b"content-length")
        if length is not None and b"transfer-encoding" in headers:
            return 400  # Guards against a request hidden in the body: the two say different ends.
        if length is not None and int(length) > self.limits.body_bytes:
            return 413  # Guards against megabytes read for nothing.
        return 0

    async def _handle(self, request: Request) -> None:
        """Hand a request on; write its answer if it has come at once, else leave it to the writer."""
        self.expires = float("inf")
        self.waiting, self.head_only = True, request.method == "HEAD"
        response = await self.handler.request(self, request)
        if response is not None:
            await self._answer(response)
        elif not self.has_writer:
            self.has_writer = True
            self.nursery.start_soon(self._write)

    async def _last_words(self, status: int) -> None:
        """Answer what can't be served, then let the connection end."""
        self.waiting = False
        if self.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.expires = trio.current_time() + self.limits.write_answer
            await self._send(Response(status), close=True)
            # Guards against a reset that overtakes the answer: what still comes is read, for a moment,
            # and not much of it: a client that sends at full speed would take the CPU from the others.
            self.sock.shutdown(trio.socket.SHUT_WR)
            left = self.limits.linger_bytes
            with trio.move_on_after(self.limits.linger):
                while left > 0 and (data := await self.sock.recv(self.limits.receive_bytes)):
                    left -= len(data)

    async def _write(self) -> None:
        """Write the answers that come later, until the connection ends."""
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            response, self.response = self.response, None
            if self.ended:
                return
            if response is not None:
                try:
                    await self._answer(response)
                except (OSError, h11.ProtocolError, trio.ClosedResourceError):
                    self.scope.cancel()
                    return

    async def _answer(self, response: Response) -> None:
        """Write an answer, and make ready for the next request or end the connection."""
        self.expires = trio.current_time() + self.limits.write_answer
        # Guards against clients that ask for what there is not, and stay: each would hold a descriptor.
        await self._send(response, (self.close_after and not self.calls_back) or 400 <= response.status < 500)
        self.waiting = False
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
            self.idle_since = trio.current_time()
            # Guards against clients that ask for little and stay: each would hold a descriptor.
            self.expires = self.idle_since + (self.limits.edge_idle if self.proven
                                              else self.limits.read_request)
            self.next.set()
            if self.give is not None:  # the reader may be waiting for the client to hang up
                self.reading.cancel()
        else:
            self.scope.cancel()

    async def _send(self, response: Response, close: bool) -> None:
        headers = [*response.headers, (b"content-length", str(len(response.body)).encode())]
        if close:
            headers.append((b"connection", b"close"))
        send = self.h11.send
        data = send(h11.Response(status_code=response.status, headers=headers,
                                 reason=REASONS.get(response.status, b""))) or b""
        if response.body and not self.head_only:
            data += send(h11.Data(data=response.body)) or b""
        data += send(h11.EndOfMessage()) or b""
        await send_all(self.sock, data)


def header_table(head: h11.Request) -> dict[str, str]:
    """Return the headers by name; those that come more than once are joined, so none hides another."""
    table: dict[str, str] = {}
    for name, value in head.headers:
        key, text = name.decode(), value.decode("latin-1")
        table[key] = f"{table[key]}, {text}" if key in table else text
    return table


async def send_all(sock: Sock, data: bytes) -> None:
    """Write all of it."""
    sent = await sock.send(data)
    while sent < len(data):
        sent += await sock.send(data[sent:])


def readable(sock: Sock) -> bool:
    """Tell whether there is something to read, be it the end."""
    # Guards against closing on a request that is written but not yet read: it would be lost.
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


async def bound(host: str, port: int, backlog: int) -> trio.socket.SocketType:
    """Return a socket that listens at an address."""
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
    sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
    sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)  # accepted ones inherit it
    await sock.bind((host, port))
    sock.listen(backlog)
    return sock


class Listener:
    """Accepts connections, so many at the most."""

    def __init__(self, handler: Handler, limits: Limits, counters: Counters, log: Log) -> None:
        self.handler, self.limits, self.counters, self.log = handler, limits, counters, log
        self.connections: set[Connection] = set()
        self.prepare: Prepare | None = None  # what makes TLS of what is accepted
        self.leaving = False  # no new connection is to be expected, but the kept ones serve on
        self.closing = False
        self.give: Give | None = None  # takes connections over; no new ones are accepted then
        self.accepting = trio.CancelScope()
        self.nursery: trio.Nursery | None = None  # of the connections, while it serves

    async def bind(self, host: str, port: int) -> trio.socket.SocketType:
        """Return a socket that listens, be it the one that the platform keeps."""
        if self.limits.accept_fd >= 0:
            kept = socket.socket(fileno=self.limits.accept_fd)
            kept.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if not kept.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                kept.listen(self.limits.backlog)
            return trio.socket.from_stdlib_socket(kept)
        return await bound(host, port, self.limits.backlog)

    async def serve(self, sock: trio.socket.SocketType,
                    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Accept until connections are handed over, and serve them until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sweep)
            self.nursery = nursery
            task_status.started()
            while self.give is None:
                if len(self.connections) >= self.limits.edge_connections and not self._make_room():
                    # Guards against losing a request: one that is accepted and closed may have been written.
                    self.counters.add("accepts_put_off")
                    await trio.sleep(self.limits.accept_pause)
                    continue
                accepted = None
                try:
                    with trio.CancelScope() as self.accepting:
                        accepted, _ = await sock.accept()
                except OSError as error:
                    # Guards against running out of descriptors: the listener must outlive it.
                    self.counters.add("accepts_failed")
                    if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                        self._make_room()
                        await trio.sleep(self.limits.accept_pause)
                    continue
                if accepted is not None:
                    self.counters.add("edge_connections")
                    self.adopt(accepted)
            sock.close()

    def adopt(self, sock: trio.socket.SocketType, proven: bool = False, calls_back: bool = False) -> None:
        """Serve a connection that was accepted, here or by the process before."""
        if self.nursery is None:
            sock.close()
            return
        connection = Connection(sock, self.limits, self.handler, self.nursery, self.prepare)
        connection.close_after, connection.give = self.closing, self.give
        connection.proven, connection.calls_back = proven, calls_back
        if proven:
            connection.expires = connection.idle_since + self.limits.edge_idle
        self.connections.add(connection)
        self.nursery.start_soon(self._serve, connection)

    def hand_over(self, give: Give) -> None:
        """Accept no more, and have each connection given away once no request is under way on it."""
        self.give = give
        self.accepting.cancel()
        for connection in list(self.connections):
            connection.hand_over(give)

    async def _serve(self, connection: Connection) -> None:
        try:
            await connection.serve()
        except Exception as error:  # Guards against a fault in one connection ending the others.
            self.counters.add("edge_connections_faulty")
            self.log.event("connection_failed", level="error", error=repr(error))
        finally:
            self.connections.discard(connection)

    async def _sweep(self) -> None:
        """End connections that have stood idle, dribbled or been stuck for too long."""
        while True:
            await trio.sleep(self.limits.sweep)
            now = trio.current_time()
            for connection in list(self.connections):
                if connection.expires < now:
                    self.counters.add("edge_connections_expired")
                    connection.scope.cancel()

    def _make_room(self) -> bool:
        """Close connections that have stood idle the longest; tell whether there were any."""
        idle = [connection for connection in self.connections if connection.idle]
        fresh = [connection for connection in idle if not connection.proven]
        # Guards against silent clients that crowd out usual ones: those never served go first, several at
        # a time since the look at all of them costs, and where they hold a third of all, a kept connection
        # stays and what comes next waits for one of them.
        before = trio.current_time() - self.limits.evict_after
        ripe = [connection for connection in fresh if connection.idle_since < before]
        most = self.limits.evict_at_once
        if not ripe and len(fresh) <= self.limits.edge_connections // 3:
            ripe, most = [connection for connection in idle if connection.idle_since < before], 1
        closed = 0
        for connection in sorted(ripe, key=lambda connection: connection.idle_since):
            if closed < most and not readable(connection.sock):
                connection.scope.cancel()
                self.connections.discard(connection)
                closed += 1
        return closed > 0

    def scarce(self) -> bool:
        """Tell whether clients are about to run out of connections that they kept and cannot replace."""
        if not self.leaving:
            return False
        free = sum(connection.proven and connection.idle for connection in self.connections)
        return free < self.limits.spare_connections

    def retire(self, closing: bool) -> None:
        """Have connections close after their next answer, those to come included, or no longer."""
        self.closing = closing
        for connection in self.connections:
            connection.close_after = closing

    def close_idle(self, quiet: float = 0.0) -> None:
        """Close connections idle for so many seconds, the others after their answer. Goes on accepting.

        With ``quiet``, those of real servers stay.
        """
        self.retire(True)
        before = trio.current_time() - quiet
        for connection in self.connections:
            if (connection.idle and connection.idle_since <= before and not (quiet and connection.calls_back)
                    and not readable(connection.sock)):
                connection.scope.cancel()
