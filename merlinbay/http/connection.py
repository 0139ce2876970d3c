"""One accepted connection: one request at a time, answered now or later, and one way to end it."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

import h11
import trio

from merlinbay.http.late_responses import LateResponses
from merlinbay.http.lifetime import ConnectionLifetime
from merlinbay.http.messages import Request, Response
from merlinbay.http.request_buffer import RequestBuffer
from merlinbay.http.server_stream import PrepareSocket, ServerStream
from merlinbay.http.sockets import StreamSocket, is_readable
from merlinbay.limits import ResourceLimits

__all__ = ["Connection", "GiveAway", "Handler", "PrepareSocket", "Request", "Response"]

GiveAway = Callable[["Connection"], bool]
"""Gives a connection to another process; tells whether that took it."""


class Handler(Protocol):
    """Answers the requests of a listener's connections."""

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Answer a request, or return None and call ``connection.respond`` later."""

    def client_disconnected(self, connection: Connection) -> None:
        """Note that the client has disconnected before its response."""


class Connection:
    """One accepted connection: a task that reads, and one that writes responses that come later."""

    def __init__(
        self,
        sock: trio.socket.SocketType,
        limits: ResourceLimits,
        handler: Handler,
        nursery: trio.Nursery,
        prepare_socket: PrepareSocket | None = None,
        plain_socket: socket.socket | None = None,
    ) -> None:
        self.limits, self.handler, self.nursery, self.prepare_socket = (
            limits,
            handler,
            nursery,
            prepare_socket,
        )
        self.lifetime = ConnectionLifetime(limits)
        self.stream = ServerStream(sock, plain_socket, limits, self.lifetime)
        self.incoming = RequestBuffer(limits)  # the request that is being read
        # Set by fronts.
        self.context: object = None  # what the handler keeps for the request in progress
        self.carries_callbacks = False  # a server uses it, which is never sent to another node
        self.has_served_request = False  # it is worth keeping while it is idle
        # Set by the listener.
        self.closes_after_response = False
        self.give_away: GiveAway | None = None  # called as soon as no request is in progress
        # State.
        self.has_request_in_progress = False  # with the handler, or its response is being written
        self.has_answered = False  # at least one request
        self.is_reading_ahead = False  # behind a request that is not answered yet
        self.is_closing = False  # no request is begun any more
        self.has_ended = False
        self.scope = trio.CancelScope()  # of the task that reads
        self.read_scope = trio.CancelScope()  # of its current read
        self.late_responses = LateResponses()
        self.has_late_writer = False  # the task that writes late responses runs; most connections need none

    @property
    def sock(self) -> StreamSocket:
        """What the connection is read and written by."""
        return self.stream.sock

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress, and no byte of one was read."""
        return not self.has_request_in_progress and self.stream.is_between_requests

    @property
    def is_receiving_request(self) -> bool:
        """Whether a part of a request was read and not yet the rest."""
        return self.stream.is_within_request and not self.has_request_in_progress and not self.is_closing

    # Its end.

    def hand_over(self, give_away: GiveAway) -> None:
        """Have the connection given away once no request is in progress on it."""
        if self.prepare_socket is None:  # the state of TLS cannot be given
            self.give_away = give_away
            if self.is_idle:
                self.read_scope.cancel()

    def close_gracefully(self) -> None:
        """Have it ended in good order by its own task. Does not wait."""
        self.is_closing = True
        self.read_scope.cancel()

    def close_if_idle(self) -> bool:
        """End it unless a request is in progress or has come; tell whether it ends."""
        if not self.is_idle or is_readable(self.sock):
            return False
        self.close_gracefully()
        return True

    def close_if_unused(self) -> bool:
        """Close it at once unless a request is in progress or has come; tell whether it is closed."""
        # Guards against a request that comes between the check and the close: no task runs in between.
        if is_readable(self.sock) or not (self.is_idle or self.is_receiving_request):
            return False
        self.stream.raw.close()
        self.scope.cancel()
        return True

    def expire(self) -> None:
        """End it because its client was idle, or too slow, for too long."""
        is_preparing = self.prepare_socket is not None and self.sock is self.stream.raw
        if self.stream.is_writing or is_preparing:
            self.scope.cancel()  # its client takes nothing, and nobody reads: there is no good order left
        else:
            self.close_gracefully()

    # Requests.

    async def serve(self) -> None:
        """Serve the connection to its end. Its errors end it alone."""
        with self.scope, self.stream.raw:
            try:
                if self.prepare_socket is not None:
                    await self.stream.prepare(self.prepare_socket)
                await self._read_requests()
            except (OSError, h11.ProtocolError, trio.ClosedResourceError):
                pass
        self.has_ended = True
        self.late_responses.end()
        if self.has_request_in_progress:
            self.has_request_in_progress = False
            self.handler.client_disconnected(self)

    async def _read_requests(self) -> None:
        """Read requests until the connection ends."""
        goes_on = True
        while goes_on:
            if not self.stream.has_sent_last_response:
                goes_on = await self._handle_next_event()
            elif not self.is_closing:
                # Guards against a close over the last response, which is being written: what comes behind it
                # is no request any more.
                goes_on = await self._read_ahead()
            else:
                await self._linger()
                return

    async def _handle_next_event(self) -> bool:
        """Handle the next part of what was read, or read more; tell whether the connection goes on."""
        try:
            event = self.stream.h11.next_event()
        except h11.RemoteProtocolError as error:
            if self.has_request_in_progress:
                # Guards against a request that fails for the bytes behind it: it carried ``Connection:
                # close``.
                return await self._read_ahead()
            await self._reject(error.error_status_hint if error.error_status_hint >= 400 else 400)
            return False
        if event is h11.NEED_DATA:
            return await self._read_more()
        if event is h11.PAUSED:
            return await self._read_ahead()
        if type(event) is h11.Request:
            return await self._begin_request(event)
        if type(event) is h11.Data:
            return await self._accept_or_reject(self.incoming.add(event.data))
        if type(event) is h11.EndOfMessage:
            await self._handle_request(self.incoming.request(self.stream.when_request_read()))
        return type(event) is not h11.ConnectionClosed

    async def _begin_request(self, head: h11.Request) -> bool:
        """Begin a request; tell whether the rest of it is wanted."""
        if not await self._accept_or_reject(self.incoming.begin(head)):
            return False
        if self.stream.h11.they_are_waiting_for_100_continue:
            await self.stream.write_continue()
        return True

    async def _accept_or_reject(self, status: int) -> bool:
        """Reject the request with a status, if any; tell whether it is accepted."""
        if status:
            await self._reject(status)
        return not status

    async def _handle_request(self, request: Request) -> None:
        """Give a request to the handler; write its response, or leave it to the task for late ones."""
        self.lifetime.await_response()
        self.has_request_in_progress = True
        self.stream.is_head_request = request.method == "HEAD"
        if self.is_closing:  # the request was whole in time; the end comes after its response
            self.is_closing, self.closes_after_response = False, True
        try:
            response = await self.handler.request(self, request)
        except Exception:
            # Guards against a request that is read and gets no answer: the listener logs the fault.
            await self._reject(500)
            raise
        if response is not None:
            await self._send_response(response)
        elif not self.has_late_writer:
            self.has_late_writer = True
            self.nursery.start_soon(self._write_late_responses)

    # Reads.

    async def _read_more(self) -> bool:
        """Read more of a request; tell whether the connection goes on."""
        if self.is_closing and not self._has_more_to_read():
            # Guards against a request that is read and gets no answer: closed at once, later bytes are reset
            # unread, so the client knows that they were not processed.
            return False
        if self.is_idle and self.give_away is not None and self.give_away(self):
            return False
        self.stream.forget_reads()
        # Guards against bytes read and thrown away: cancelled by itself, this has read none.
        with trio.CancelScope() as self.read_scope:
            data = await self.stream.receive()
        if self.read_scope.cancelled_caught:
            return True
        if self.is_idle and self.has_answered:
            # Guards against a request that comes byte by byte: all of it has so long. The time of the first
            # one runs from the accept. This is after the read, which may have begun before the last response.
            self.lifetime.begin_request()
        self.stream.h11.receive_data(data)
        return True

    def _has_more_to_read(self) -> bool:
        """Tell whether a connection that is closing has more to read first: the end comes after it."""
        if not is_readable(self.sock):
            return False
        if self.is_idle:
            # Guards against a request that crosses the end: it is answered, and the end comes after.
            self.is_closing, self.closes_after_response = False, True
            self.lifetime.begin_request()
        # Guards also against a request whose rest has come in time and was not read yet. Nothing is waited
        # for, and a request has a bound, so a slow client, or one that floods, is cut off all the same.
        return True

    async def _read_ahead(self) -> bool:
        """Read on while a response is awaited; tell whether the client is still connected."""
        # Guards against a disconnect that is not seen: bytes behind the request would hide it.
        ahead_bytes = len(self.stream.unconsumed)
        self.is_reading_ahead = True
        await trio.lowlevel.checkpoint()
        while self.has_request_in_progress and not self.is_closing:
            if ahead_bytes > self.limits.read_ahead_bytes:
                # Guards against what has no end: no usual client sends a second request before its answer.
                self.handler.client_disconnected(self)
                await self._reject(400)
                return False
            with trio.CancelScope() as self.read_scope:
                data = await self.stream.receive()
            if self.read_scope.cancelled_caught:
                continue
            if not data:
                return False
            ahead_bytes += len(data)
            self.stream.h11.receive_data(data)
        self.is_reading_ahead = False
        return True

    # Responses.

    def respond(self, response: Response) -> None:
        """Have a late response written. Does not wait."""
        self.late_responses.put(response)

    async def _write_late_responses(self) -> None:
        """Write responses that come later, until the connection ends."""
        while True:
            response = await self.late_responses.next()
            if self.has_ended:
                return
            if response is not None and self.has_request_in_progress:
                try:
                    await self._send_response(response)
                except (OSError, h11.ProtocolError, trio.ClosedResourceError):
                    self.scope.cancel()
                    return

    async def _send_response(self, response: Response) -> None:
        """Write a response, and make ready for the next request or end the connection."""
        self.lifetime.begin_write()
        # Guards against clients that stay after a 4xx: each would hold a descriptor.
        close = (self.closes_after_response and not self.carries_callbacks) or 400 <= response.status < 500
        # Guards against a request that is read behind this one and gets no answer: the end comes after it.
        close = close and not self.stream.has_head_behind
        await self.stream.write_response(response, close)
        self.has_request_in_progress, self.has_answered = False, True
        if self.stream.start_next_cycle():
            self.lifetime.begin_idle(self.has_served_request)
            if self.is_reading_ahead or self.give_away is not None:
                self.read_scope.cancel()
        else:
            self.close_gracefully()

    async def _reject(self, status: int) -> None:
        """Answer a request that cannot be served, and let the connection end."""
        # Guards against a close before this response is written: nobody else closes it from here on.
        self.has_request_in_progress, self.is_closing = False, True
        if self.stream.may_respond:
            self.lifetime.begin_write()
            await self.stream.write_response(Response(status), close=True)
            await self._linger()

    async def _linger(self) -> None:
        """Let the client close after the last response."""
        self.is_closing = True
        self.lifetime.await_response()
        await self.stream.linger()
