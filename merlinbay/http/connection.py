"""One accepted connection: one request at a time, answered now or later, and one way to end it."""

from __future__ import annotations

import re
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Protocol

import h11
import trio

from merlinbay.http.messages import Request, Response, encode_response, header_table
from merlinbay.http.sockets import StreamSocket, is_readable, send_all
from merlinbay.limits import ResourceLimits

__all__ = ["Connection", "GiveAway", "Handler", "Prepare", "Request", "Response"]

HEAD_END = re.compile(rb"\n\r?\n")  # without one, what was read is no whole request

Prepare = Callable[[trio.socket.SocketType], Awaitable[StreamSocket]]


class Handler(Protocol):
    """What stands behind a listener."""

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Answer a request, or return None and call ``connection.respond`` later."""

    def client_disconnected(self, connection: Connection) -> None:
        """Take it that the client hung up before its answer."""


GiveAway = Callable[["Connection"], bool]  # tells whether it took the connection


class Connection:
    """One accepted connection: a task that reads, and one that writes answers that come later."""

    def __init__(
        self,
        sock: trio.socket.SocketType,
        limits: ResourceLimits,
        handler: Handler,
        nursery: trio.Nursery,
        prepare: Prepare | None = None,
        plain: socket.socket | None = None,
    ) -> None:
        self.raw, self.limits, self.handler, self.nursery = sock, limits, handler, nursery
        self.plain_socket = plain  # the same socket beneath trio's, to be read without a pause after the read
        self.has_read_without_wait = False  # the last read did not wait, so others have not run since
        self.sock: StreamSocket = sock
        self.prepare = prepare
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.head_bytes)
        self.has_news = trio.Event()  # there is something to write
        self.response: Response | None = None
        self.context: object = None  # the handler's own
        self.has_writer = False  # most connections carry one call-back and need none
        self.head: h11.Request | None = None  # of the request that is being read,
        self.body = bytearray()  # and what has come of its body
        self.has_request_in_progress = False  # a request is with the handler
        self.has_ended = False
        self.is_closing = False  # it is to be shut, and what comes after the shutdown is not begun
        self.received = 0  # bytes in all,
        self.arrivals: deque[tuple[int, float]] = deque()  # and how many there were when: the last reads
        self.is_writing = False
        self.is_reading_ahead = False  # the reader reads on behind a request that is not answered yet
        self.is_head_request = False  # the request is a HEAD: its answer has no body
        self.closes_after_response = False  # no further request is wanted on this connection
        self.give_away: GiveAway | None = None  # takes the connection away as soon as no request is under way
        self.read_scope = trio.CancelScope()
        self.carries_callbacks = False  # set by a front: a real server uses it, which is never sent away
        self.scope = trio.CancelScope()
        self.idle_since = trio.current_time()
        self.has_served_request = False  # set by a front: a job was served on it, so it is worth keeping
        self.has_answered = False
        self.expires_at = self.idle_since + limits.read_request  # watched by the listener's sweep

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is under way."""
        return (
            not self.has_request_in_progress
            and self.h11.their_state is h11.IDLE
            and not self.h11.trailing_data[0]
        )

    def hand_over(self, give: GiveAway) -> None:
        """Have the connection given away once no request is under way on it."""
        if self.prepare is None:  # what TLS knows of it cannot be given
            self.give_away = give
            if self.is_idle:
                self.read_scope.cancel()

    def close_gracefully(self) -> None:
        """Have it ended in good order by its own task. Does not wait."""
        self.is_closing = True
        self.read_scope.cancel()

    def close_if_idle(self) -> bool:
        """End it unless a request is under way or has come; tell whether it ends."""
        if not self.is_idle or is_readable(self.sock):
            return False
        self.close_gracefully()
        return True

    @property
    def is_receiving_request(self) -> bool:
        """Tell whether a part of a request has come and not yet the rest."""
        begun = self.h11.their_state in (h11.IDLE, h11.SEND_BODY) and not self.is_idle
        return begun and not self.has_request_in_progress and not self.is_closing

    def close_if_unused(self) -> bool:
        """Close it here and now unless a request is under way or has come; tell whether it did."""
        # Guards against a request that comes between the look and the close: no task runs in between.
        if is_readable(self.sock) or not (self.is_idle or self.is_receiving_request):
            return False
        self.raw.close()
        self.scope.cancel()
        return True

    def expire(self) -> None:
        """End it for having stood idle, dribbled or been stuck for too long."""
        if self.is_writing or (self.prepare is not None and self.sock is self.raw):
            self.scope.cancel()  # its client takes nothing, and nobody reads: there is no good order left
        else:
            self.close_gracefully()

    def respond(self, response: Response) -> None:
        """Have an answer written. Does not wait."""
        self.response = response
        self.has_news.set()

    async def serve(self) -> None:
        """Serve the connection to its end. Its errors end it alone."""
        with self.scope, self.raw:
            try:
                if self.prepare is not None:
                    self.sock = await self.prepare(self.raw)
                await self._read()
            except (OSError, h11.ProtocolError, trio.ClosedResourceError):
                pass
        self.has_ended = True
        self.has_news.set()
        if self.has_request_in_progress:
            self.has_request_in_progress = False
            self.handler.client_disconnected(self)

    async def _read(self) -> None:
        """Read requests until the connection ends."""
        goes_on = True
        while goes_on:
            if not self._has_answered_last():
                goes_on = await self._take_next()
            elif not self.is_closing:
                # Guards against a close over the last answer, which is being written: what comes behind it
                # is no request any more.
                goes_on = await self._attend()
            else:
                await self._part()
                return

    async def _take_next(self) -> bool:
        """Take the next part of what was read, or read more; tell whether the connection goes on."""
        try:
            event = self.h11.next_event()
        except h11.RemoteProtocolError as error:
            if self.has_request_in_progress:
                # Guards against a request that fails for bytes behind it: it said that it was the last.
                return await self._attend()
            await self._last_words(error.error_status_hint if error.error_status_hint >= 400 else 400)
            return False
        if event is h11.NEED_DATA:
            return await self._read_more()
        if event is h11.PAUSED:
            return await self._attend()
        if type(event) is h11.Request:
            return await self._take_head(event)
        if type(event) is h11.Data:
            return await self._take_data(event)
        if type(event) is h11.EndOfMessage:
            await self._handle_whole()
        return type(event) is not h11.ConnectionClosed

    async def _read_more(self) -> bool:
        """Read on; tell whether the connection goes on."""
        if self.is_closing and not self._reads_on():
            # Guards against a request that is read and gets no answer: it closes at once, and what comes from
            # now on is reset unread, by which its client knows that it was not taken.
            return False
        if self.is_idle and self.give_away is not None and self.give_away(self):
            return False
        self.arrivals.clear()  # none of what was read before is the last byte of what is to come
        # Guards against bytes read and thrown away: cancelled by itself, this has read none.
        with trio.CancelScope() as self.read_scope:
            data = await self._receive()
        if self.read_scope.cancelled_caught:
            return True
        if self.is_idle and self.has_answered:
            # Guards against a request that dribbles in: all of it has so long. The first one's time runs from
            # the accept. The look is after the read, which may have begun before the last answer.
            self.expires_at = trio.current_time() + self.limits.read_request
        self.h11.receive_data(data)
        return True

    async def _take_head(self, head: h11.Request) -> bool:
        """Begin a request; tell whether the rest of it is wanted."""
        self.head, self.body = head, bytearray()
        if status := self._unwanted(head):
            await self._last_words(status)
            return False
        if self.h11.they_are_waiting_for_100_continue:
            await self._write_out(
                self.h11.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
            )
        return True

    async def _take_data(self, part: h11.Data) -> bool:
        """Take a part of a request's body; tell whether the rest of it is wanted."""
        self.body += part.data
        if len(self.body) > self.limits.body_bytes:
            await self._last_words(413)
            return False
        return True

    async def _receive(self) -> bytes:
        """Read some; nothing at the end."""
        if self.plain_socket is None or self.sock is not self.raw:
            data = await self.sock.recv(self.limits.receive_bytes)
        else:
            data = await self._receive_plain(self.plain_socket)
        self.received += len(data)
        self.arrivals.append((self.received, trio.current_time()))
        return data

    async def _receive_plain(self, plain: socket.socket) -> bytes:
        # Guards against a connection closed as idle over a whole request: where trio's read succeeds at once,
        # it lets other tasks run before the bytes come back. Here they run before the next read instead.
        if self.has_read_without_wait:
            self.has_read_without_wait = False  # cancelled in this pause, it reads without another one
            await trio.lowlevel.checkpoint()
        self.has_read_without_wait = True
        while True:
            try:
                return plain.recv(self.limits.receive_bytes)
            except BlockingIOError:
                self.has_read_without_wait = False
                await trio.lowlevel.wait_readable(plain)

    def _when_received(self) -> float:
        """Return when the last byte of the request that has just ended was read."""
        end = self.received - len(self.h11.trailing_data[0])
        while self.arrivals[0][0] < end:
            self.arrivals.popleft()
        return self.arrivals[0][1]

    def _has_answered_last(self) -> bool:
        """Tell whether the last answer that this connection carries is written, or being written."""
        return self.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE, h11.DONE)

    def _reads_on(self) -> bool:
        """Tell whether a connection that is to end has more to read first: the end comes after it."""
        if not is_readable(self.sock):
            return False
        if self.is_idle:
            # Guards against a request that crosses the end: it is answered, and the end comes after.
            self.is_closing, self.closes_after_response = False, True
            self.expires_at = trio.current_time() + self.limits.read_request
        # Guards also against a request whose rest has come in time and was not read yet. Nothing is waited
        # for, and a request has a bound, so a client that dribbles or floods is cut off all the same.
        return True

    async def _attend(self) -> bool:
        """Read on while an answer is awaited; tell whether the client is still there."""
        # Guards against a client whose going is not seen: bytes behind its request would hide it.
        ahead = len(self.h11.trailing_data[0])
        self.is_reading_ahead = True
        await trio.lowlevel.checkpoint()
        while self.has_request_in_progress and not self.is_closing:
            if ahead > self.limits.ahead_bytes:
                # Guards against what has no end: no usual client sends a second request before its answer.
                self.handler.client_disconnected(self)
                await self._last_words(400)
                return False
            with trio.CancelScope() as self.read_scope:
                data = await self._receive()
            if self.read_scope.cancelled_caught:
                continue
            if not data:
                return False
            ahead += len(data)
            self.h11.receive_data(data)
        self.is_reading_ahead = False
        return True

    def _unwanted(self, head: h11.Request) -> int:
        """Return the status that a request's head earns already, 0 if its body may come."""
        headers = dict(head.headers)
        length = headers.get(b"content-length")
        if length is not None and b"transfer-encoding" in headers:
            return 400  # Guards against a request hidden in the body: the two say different ends.
        if length is not None and int(length) > self.limits.body_bytes:
            return 413  # Guards against megabytes read for nothing.
        return 0

    async def _handle_whole(self) -> None:
        """Hand the request that has ended on."""
        assert self.head is not None  # h11 tells of a head before an end
        await self._handle(
            Request(
                self.head.method.decode(),
                self.head.target.decode("latin-1"),
                header_table(self.head),
                bytes(self.body),
                self._when_received(),
            )
        )

    async def _handle(self, request: Request) -> None:
        """Hand a request on; write its answer if it has come at once, else leave it to the writer."""
        self.expires_at = float("inf")
        self.has_request_in_progress, self.is_head_request = True, request.method == "HEAD"
        if self.is_closing:  # it was whole in time; the end comes after its answer
            self.is_closing, self.closes_after_response = False, True
        try:
            response = await self.handler.request(self, request)
        except Exception:
            # Guards against a request that is read and gets no answer: the fault is noted by the listener.
            await self._last_words(500)
            raise
        if response is not None:
            await self._answer(response)
        elif not self.has_writer:
            self.has_writer = True
            self.nursery.start_soon(self._write)

    async def _last_words(self, status: int) -> None:
        """Answer what can't be served, then let the connection end."""
        self.has_request_in_progress, self.is_closing = (
            False,
            True,
        )  # nobody evicts it before these words are written
        if self.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.expires_at = trio.current_time() + self.limits.write_answer
            await self._send(Response(status), close=True)
            await self._part()

    async def _part(self) -> None:
        """Say that the last answer was the last, and let the client close."""
        # Guards against a reset that overtakes the last answer, as a close over unread bytes would send one:
        # what still comes is read and not begun, for a moment, and not much of it, since a client that sends
        # at full speed would take the CPU from the others.
        self.is_closing, self.expires_at = True, float("inf")
        self.sock.shutdown(trio.socket.SHUT_WR)
        left = self.limits.linger_bytes
        with trio.move_on_after(self.limits.linger):
            while left > 0 and (data := await self.sock.recv(self.limits.receive_bytes)):
                left -= len(data)

    async def _write(self) -> None:
        """Write the answers that come later, until the connection ends."""
        while True:
            await self.has_news.wait()
            self.has_news = trio.Event()
            response, self.response = self.response, None
            if self.has_ended:
                return
            if response is not None and self.has_request_in_progress:
                try:
                    await self._answer(response)
                except (OSError, h11.ProtocolError, trio.ClosedResourceError):
                    self.scope.cancel()
                    return

    async def _answer(self, response: Response) -> None:
        """Write an answer, and make ready for the next request or end the connection."""
        self.expires_at = trio.current_time() + self.limits.write_answer
        # Guards against clients that ask for what there is not, and stay: each would hold a descriptor.
        close = (self.closes_after_response and not self.carries_callbacks) or 400 <= response.status < 500
        # Guards against a request that is read behind this one and gets no answer: the end comes after it.
        await self._send(response, close and not HEAD_END.search(self.h11.trailing_data[0]))
        self.has_request_in_progress, self.has_answered = False, True
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
            self.idle_since = trio.current_time()
            # Guards against clients that ask for little and stay: each would hold a descriptor.
            self.expires_at = self.idle_since + (
                self.limits.edge_idle if self.has_served_request else self.limits.read_request
            )
            if self.is_reading_ahead or self.give_away is not None:
                self.read_scope.cancel()
        else:
            self.close_gracefully()

    async def _send(self, response: Response, close: bool) -> None:
        await self._write_out(encode_response(self.h11, response, close, self.is_head_request))

    async def _write_out(self, data: bytes) -> None:
        self.is_writing = True
        await send_all(self.sock, data, self._count_write_progress)
        self.is_writing = False

    def _count_write_progress(self) -> None:
        """Restart the write timeout, which bounds how long a client may take no bytes at all."""
        self.expires_at = trio.current_time() + self.limits.write_answer
