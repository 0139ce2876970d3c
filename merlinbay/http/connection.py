"""One accepted connection, which carries one request at a time.

It owns the socket and the tasks that read and write. The listener creates it and decides when it closes; the
handler answers its requests, at once or later. An error ends this connection only. If a request was in
progress, the handler's ``client_disconnected`` is called.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

import h11
import trio

from merlinbay.http.close_reasons import CloseReason
from merlinbay.http.held_memory import HeldMemory
from merlinbay.http.late_responses import LateResponses
from merlinbay.http.lifetime import ConnectionLifetime
from merlinbay.http.memory_budget import MemoryBudget
from merlinbay.http.messages import Request, Response
from merlinbay.http.parser import HeadTooLargeError
from merlinbay.http.request_buffer import RequestBuffer
from merlinbay.http.server_stream import PrepareSocket, ServerStream
from merlinbay.http.sockets import StreamSocket, has_hung_up, is_readable
from merlinbay.limits import ResourceLimits

__all__ = ["Connection", "Handler", "PrepareSocket", "Request", "Response", "SendToSuccessor"]

SendToSuccessor = Callable[["Connection"], bool]
"""Sends a connection to the process that replaces this one; returns whether it was sent."""


class Handler(Protocol):
    """Answers the requests of a listener's connections."""

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Return the response, or return None and call ``connection.respond`` later."""

    def client_disconnected(self, connection: Connection) -> None:
        """Handle a client that disconnected before its response was written."""


class Connection:
    """An accepted connection with a task that reads and, if needed, a task that writes late responses."""

    def __init__(
        self,
        sock: trio.socket.SocketType,
        limits: ResourceLimits,
        handler: Handler,
        nursery: trio.Nursery,
        budget: MemoryBudget,
        prepare_socket: PrepareSocket | None = None,
        plain_socket: socket.socket | None = None,
    ) -> None:
        self.limits, self.handler = limits, handler
        self.nursery, self.prepare_socket = nursery, prepare_socket
        self.lifetime = ConnectionLifetime(limits)
        self.stream = ServerStream(sock, plain_socket, limits, self.lifetime)
        self.incoming = RequestBuffer(limits)  # parts of the request that is being read
        self.memory = HeldMemory(budget, self.stream, self.incoming, lambda: self.read_scope.cancel())
        # These attributes are set by fronts.
        self.context: object = None  # state that the handler keeps for the request in progress
        self.carries_callbacks = False  # whether a server uses it; servers are never sent to another node
        self.has_served_request = False  # whether it has served a request; it is kept longer then
        # These attributes are set by the listener.
        self.closes_after_response = False
        # Called as soon as no request is in progress.
        self.send_to_successor: SendToSuccessor | None = None
        # Whether a request with a target is repeated until it is answered, so that a rejection would lose it.
        self.is_repeated: Callable[[str], bool] = lambda target: False
        # The state of the connection.
        self.has_request_in_progress = False  # from the call of the handler until its response is written
        self.has_answered = False  # whether at least one response was written
        self.awaits_bytes = False  # whether it waits for bytes, and has parsed all that were read
        self.is_reading_ahead = False  # whether it reads while a response is awaited
        self.is_closing = False  # whether it ends instead of reading another request
        self.has_ended = False
        self.close_reason: CloseReason | None = None  # the first cause of its end; None while it is open
        self.scope = trio.CancelScope()  # the scope of the task that reads
        self.read_scope = trio.CancelScope()  # the scope of the current read
        self.late_responses = LateResponses()
        # Whether the task that writes late responses runs; most connections do not need it.
        self.has_late_writer = False

    @property
    def sock(self) -> StreamSocket:
        """The socket or TLS stream that is read and written."""
        return self.stream.sock

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress and no byte of the next request was read."""
        return not self.has_request_in_progress and self.stream.is_between_requests

    @property
    def is_receiving_request(self) -> bool:
        """Whether a part of a request was read and the rest is missing."""
        return self.stream.is_within_request and not self.has_request_in_progress and not self.is_closing

    # Closing the connection.

    def hand_over(self, send_to_successor: SendToSuccessor) -> None:
        """Send the connection to the successor once no request is in progress on it."""
        if self.prepare_socket is None:  # The state of a TLS stream cannot be handed over.
            self.send_to_successor = send_to_successor
            if self.is_idle:
                self.read_scope.cancel()

    def _note_close(self, reason: CloseReason) -> None:
        """Keep the first cause of the connection's end."""
        self.close_reason = self.close_reason or reason

    def close_gracefully(self, reason: CloseReason) -> None:
        """Ask the connection's own task to end it cleanly. Does not wait."""
        self._note_close(reason)
        self.is_closing = True
        self.read_scope.cancel()

    def close_if_idle(self) -> bool:
        """Close it gracefully unless a request is in progress or readable. Return whether it closes."""
        if not self.is_idle or is_readable(self.sock):
            return False
        self.close_gracefully(CloseReason.DRAINED)
        return True

    def close_if_unused(self) -> bool:
        """Close it at once unless a request is in progress or readable. Return whether it is closed."""
        # Checks and closes without a checkpoint, so that no task reads a request in between. Bytes that were
        # read, and wait for their turn, may be a whole request.
        is_unused = self.awaits_bytes and (self.is_idle or self.is_receiving_request)
        if not is_unused or is_readable(self.sock):
            return False
        self._note_close(CloseReason.EVICTED)
        self.stream.raw.close()
        self.scope.cancel()
        return True

    def expire(self) -> None:
        """End the connection because its client was idle or too slow for too long."""
        self._note_close(CloseReason.EXPIRED)
        is_preparing = self.prepare_socket is not None and self.sock is self.stream.raw
        if self.stream.is_writing or is_preparing:
            # The task writes to a client that reads nothing, or still prepares the stream. It is not in a
            # read that a graceful close could end.
            self.scope.cancel()
        else:
            self.close_gracefully(CloseReason.EXPIRED)

    def has_client_left(self) -> bool:
        """Return whether the client has closed the connection, or has sent too much behind its request."""
        if has_hung_up(self.sock):
            return True
        # Unread bytes would hide the end of the stream.
        unread_before = self.stream.parser.unconsumed_bytes
        is_at_end = self.stream.read_to_end(self.limits.read_ahead_bytes)
        if self.stream.parser.unconsumed_bytes != unread_before:
            self.memory.account()
            self.read_scope.cancel()  # The task that reads has to look at these bytes.
        return is_at_end

    # Requests.

    async def serve(self) -> None:
        """Serve the connection until it ends. Its errors end no other connection."""
        with self.scope, self.stream.raw:
            try:
                if self.prepare_socket is not None:
                    await self.stream.prepare(self.prepare_socket)
                await self._read_requests()
            except (OSError, h11.ProtocolError, trio.ClosedResourceError):
                pass
            except trio.Cancelled:
                self._note_close(CloseReason.NODE_ENDED)
                raise
            except Exception:
                self._note_close(CloseReason.FAILED)
                raise
            finally:
                self._note_close(CloseReason.CLIENT_LEFT)
        self.has_ended = True
        self.memory.end()
        self.late_responses.end()
        if self.has_request_in_progress:
            self.has_request_in_progress = False
            self.handler.client_disconnected(self)

    async def _read_requests(self) -> None:
        """Read requests until the connection ends."""
        goes_on = True
        while goes_on:
            if self.stream.parser.has_used_turn():
                await trio.lowlevel.checkpoint()
            if self.memory.is_released and not self.has_request_in_progress:
                self._note_close(CloseReason.MEMORY_SHORT)
                if not self.is_repeated(self.incoming.target):
                    await self._reject(503)
                return
            if not self.stream.has_sent_last_response:
                goes_on = await self._handle_next_event()
            elif not self.is_closing:
                # Reads on while the last response is being written, so that the connection is not closed
                # before the response is out. Bytes after the last request are not a request any more.
                goes_on = await self._read_ahead()
            else:
                await self._linger()
                return

    async def _handle_next_event(self) -> bool:
        """Handle the next h11 event, or read more bytes. Return whether the connection goes on."""
        try:
            event = self.stream.parser.next_event()
        except h11.RemoteProtocolError as error:
            if self.has_request_in_progress:
                # The request in progress carried ``Connection: close`` and bytes follow it. It is answered as
                # usual; the bytes behind it do not make it fail.
                return await self._read_ahead()
            await self._reject(error.error_status_hint if error.error_status_hint >= 400 else 400)
            return False
        if event is h11.NEED_DATA:
            return await self._read_more()
        if event is h11.PAUSED:
            return await self._read_ahead()
        if type(event) is h11.Request:
            status = self.incoming.begin(event, self.stream.parser.head_bytes)
            # The parser's form of a head is large, and a client that is rejected may stay for a while.
            del event
            return await self._begin_request(status)
        if type(event) is h11.Data:
            return await self._accept_or_reject(self.incoming.add(event.data))
        if type(event) is h11.EndOfMessage:
            await self._handle_request(self.incoming.take(self.stream.when_request_read()))
        return type(event) is not h11.ConnectionClosed

    async def _begin_request(self, status: int) -> bool:
        """Begin a request, unless its head is rejected with a status. Return whether its body may follow."""
        if not await self._accept_or_reject(status):
            return False
        if self.stream.h11.they_are_waiting_for_100_continue:
            await self.stream.write_continue()
        return True

    async def _accept_or_reject(self, status: int) -> bool:
        """Reject the request if the status is not 0. Return whether it is accepted."""
        if status:
            await self._reject(status)
        return not status

    async def _handle_request(self, request: Request) -> None:
        """Pass a request to the handler, and write its response unless it comes late."""
        self.lifetime.await_response()
        self.has_request_in_progress = True
        self.memory.begin_request(len(request.body))
        self.stream.is_head_request = request.method == "HEAD"
        if self.is_closing:  # The request was complete in time: the connection ends after its response.
            self.is_closing, self.closes_after_response, self.close_reason = False, True, None
        try:
            response = await self.handler.request(self, request)
        except Exception:
            # A request that was read always gets a response, also after a fault, which the listener logs.
            await self._reject(500)
            raise
        if response is not None:
            await self._send_response(response)
        elif not self.has_late_writer:
            self.has_late_writer = True
            self.nursery.start_soon(self._write_late_responses)

    # Reading.

    async def _read_more(self) -> bool:
        """Read more of a request. Return whether the connection goes on."""
        parser = self.stream.parser
        if self.has_request_in_progress and parser.unconsumed_bytes:
            return await self._read_ahead()
        try:
            if parser.feed():
                return True
        except HeadTooLargeError:
            await self._reject(431)
            return False
        if self.is_closing and not self._has_more_to_read():
            # Closes without another read. Later bytes are reset unread, so the client knows that they were
            # not processed; a request that was read would need a response.
            return False
        if self.is_idle and self.send_to_successor is not None and self.send_to_successor(self):
            self._note_close(CloseReason.HANDED_OVER)
            return False
        self.stream.forget_reads()
        # The scope holds nothing but the read, so that a cancelled read has consumed no bytes.
        with trio.CancelScope() as self.read_scope:
            if self.memory.must_wait:
                await self.memory.wait_for_room()
            self.awaits_bytes = True
            data = await self.stream.receive(self.memory.max_read_bytes(self.limits.receive_bytes))
        self.awaits_bytes = False
        if self.read_scope.cancelled_caught:
            return True
        if self.is_idle and self.has_answered:
            # Starts the time limit for the whole request, so that a client cannot extend it by sending byte
            # by byte. The limit of the first request runs from the accept. This comes after the read, which
            # may have begun before the last response.
            self.lifetime.begin_request()
        parser.receive(data)
        self.memory.account()
        return True

    def _has_more_to_read(self) -> bool:
        """Return whether a connection that is closing has bytes to read before it ends."""
        if not is_readable(self.sock):
            return False
        if self.is_idle:
            # A request has arrived while the connection was closing. It is answered before the end.
            self.is_closing, self.closes_after_response, self.close_reason = False, True, None
            self.lifetime.begin_request()
        # The rest of a request that arrived in time, but was not read yet, is read too. The connection waits
        # for nothing, and a request is limited in size, so slow or flooding clients are still cut off.
        return True

    async def _read_ahead(self) -> bool:
        """Read on while a response is awaited. Return whether the client is still connected."""
        # Reads the bytes after the request too, because unread bytes would hide a disconnect.
        parser = self.stream.parser
        self.is_reading_ahead = True
        await trio.lowlevel.checkpoint()
        while self.has_request_in_progress and not self.is_closing:
            if self.memory.is_released or parser.unconsumed_bytes > self.limits.read_ahead_bytes:
                # Ends an endless stream: usual clients send no second request before the first response. The
                # same holds for what is behind a request when memory is short.
                self._note_close(CloseReason.READ_AHEAD)
                self.handler.client_disconnected(self)
                await self._reject(400)
                return False
            with trio.CancelScope() as self.read_scope:
                data = await self.stream.receive(self.memory.max_read_bytes(self.limits.receive_bytes))
            if self.read_scope.cancelled_caught:
                continue
            if not data:
                return False
            parser.receive(data)
            del data  # It would be held while the next bytes are awaited.
            self.memory.account()
        self.is_reading_ahead = False
        return True

    # Responding.

    def respond(self, response: Response) -> None:
        """Pass a late response to the task that writes it. Does not wait."""
        self.late_responses.put(response)

    async def _write_late_responses(self) -> None:
        """Write late responses until the connection ends."""
        while True:
            response = await self.late_responses.next()
            if self.has_ended:
                return
            if response is not None and self.has_request_in_progress:
                try:
                    await self._send_response(response)
                except (OSError, h11.ProtocolError, trio.ClosedResourceError):
                    self._note_close(CloseReason.CLIENT_LEFT)
                    self.scope.cancel()
                    return

    async def _send_response(self, response: Response) -> None:
        """Write a response, then prepare for the next request or end the connection."""
        self.lifetime.begin_write()
        # Closes after a 4xx, because each client that stays connected after one would hold a descriptor.
        close = (self.closes_after_response and not self.carries_callbacks) or 400 <= response.status < 500
        # A request that was already read behind this one must be answered, so the connection ends after it.
        close = close and not self.stream.parser.has_head_behind
        await self.stream.write_response(response, close)
        self.has_request_in_progress, self.has_answered = False, True
        self.memory.end_request()
        if self.stream.start_next_cycle():
            self.lifetime.begin_idle(self.has_served_request)
            if self.is_reading_ahead or self.send_to_successor is not None:
                self.read_scope.cancel()
        else:
            self.close_gracefully(CloseReason.RESPONDED)

    async def _reject(self, status: int) -> None:
        """Answer a request that cannot be served, then end the connection."""
        self._note_close(CloseReason.REJECTED)
        self.memory.discard()
        # Sets the state first, so that no other task closes the connection before the response is written.
        self.has_request_in_progress, self.is_closing = False, True
        if self.stream.may_respond:
            self.lifetime.begin_write()
            await self.stream.write_response(Response(status), close=True)
            await self._linger()

    async def _linger(self) -> None:
        """Wait a short time for the client to close after the last response."""
        self.is_closing = True
        self.lifetime.await_response()
        await self.stream.linger()
