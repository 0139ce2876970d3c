"""The client side of HTTP/1.1: a connection that carries one exchange at a time.

The connection pool, discovery and other clients use it. Failures raise the errors defined here, which
separate requests that were not sent from those that the server may have processed. Nothing is retried here.
"""

from __future__ import annotations

import errno
from dataclasses import dataclass

import h11
import trio

from merlinbay.http.memory_budget import SMALL_MESSAGE_BYTES, MemoryBudget
from merlinbay.http.parser import HeadTooLargeError, HttpParser
from merlinbay.http.sockets import is_readable, send_all
from merlinbay.limits import ResourceLimits

# Connect errors caused by the other side or by the network on the way to it.
REMOTE_ERRORS = (
    errno.ECONNREFUSED,
    errno.ECONNRESET,
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.EHOSTDOWN,
    errno.ENETUNREACH,
)
# Connect errors caused by a shortage of resources on this machine.
LOCAL_RESOURCE_ERRORS = (
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.EAGAIN,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)


class RequestNotSentError(Exception):
    """No connection was established, or it broke before the last byte of the request was written."""


class ConnectTimeoutError(RequestNotSentError):
    """The connect timed out: the server has gone without notice, or its accept queue is full."""


class ConnectRefusedError(RequestNotSentError):
    """Nothing listens at the address, or there is no route to it."""


class LocalResourceError(RequestNotSentError):
    """A shortage of descriptors, ports or memory on this machine; it says nothing about the server."""


class AttemptWithheldError(RequestNotSentError):
    """The pre-send check found that the request must not be sent any more."""


class ConnectionBrokenError(Exception):
    """The connection broke, or the response was not HTTP, after the whole request was written."""


class UnreadableResponseError(ConnectionBrokenError):
    """The response is not HTTP or is too large. The other side has not closed the connection."""


def connect_error(error: OSError | ValueError) -> type[RequestNotSentError]:
    """Return the error type for a failed connect."""
    number = error.errno if isinstance(error, OSError) else None
    if number in LOCAL_RESOURCE_ERRORS:
        return LocalResourceError
    return ConnectRefusedError if number in REMOTE_ERRORS else RequestNotSentError


Headers = list[tuple[str, str]]


@dataclass(slots=True)
class Reply:
    """A complete response from a server. Header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class ClientConnection:
    """One connection to a server. Times are on trio's clock."""

    def __init__(
        self,
        sock: trio.socket.SocketType,
        host: str,
        limits: ResourceLimits,
        body_bytes: int,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.sock, self.host, self.limits, self.body_bytes = sock, host, limits, body_bytes
        self.budget = budget  # counts what the responses take; None: this connection is not counted
        self._body = bytearray()  # the part of a response's body that has arrived
        self._is_released = False  # whether memory was short, and the response was given up
        self._read_scope = trio.CancelScope()
        self.parser = HttpParser(h11.CLIENT, limits)
        self.idle_since = 0.0
        self.quarantined_until = 0.0  # a stray response may arrive until this time

    @classmethod
    async def connect(
        cls,
        addr: str,
        limits: ResourceLimits,
        body_bytes: int = 0,
        timeout: float = 0.0,
        budget: MemoryBudget | None = None,
    ) -> ClientConnection:
        """Open a connection. Raises ``RequestNotSentError`` if it cannot be established.

        ``timeout`` is in seconds; ``body_bytes`` limits the body of a response. A value of 0 stands for
        the limit that applies to servers.
        """
        timeout = timeout or limits.connect_timeout_s
        host, _, port = addr.rpartition(":")
        try:
            sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
        except OSError as error:  # A shortage of descriptors here must not count against the server.
            raise LocalResourceError(f"socket: {error}") from None
        try:
            sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
            with trio.fail_after(timeout):
                await sock.connect((host, int(port)))
        except trio.TooSlowError:
            sock.close()
            raise ConnectTimeoutError(f"connect to {addr}: no answer within {timeout} s") from None
        except (OSError, ValueError) as error:
            sock.close()
            raise connect_error(error)(f"connect to {addr}: {error}") from None
        except BaseException:
            sock.close()
            raise
        return cls(sock, addr, limits, body_bytes or limits.body_bytes, budget)

    @property
    def h11(self) -> h11.Connection:
        """The state of the current exchange."""
        return self.parser.h11

    @property
    def can_be_reused(self) -> bool:
        """Whether the last exchange has left the connection open and without unread bytes."""
        # Bytes after the response may be a second response, which would be read as the response to the next
        # request.
        return self.h11.our_state is h11.IDLE and not self.parser.unconsumed_bytes

    def is_available(self) -> bool:
        """Return whether another request can be sent: nothing is readable, not even the end of the stream."""
        return self.can_be_reused and not is_readable(self.sock)

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()
        if self.budget is not None:
            self.budget.set_held(self, 0)

    def releasable_bytes(self) -> int:
        """Return how many bytes the response takes so far."""
        return len(self._body) + self.parser.unconsumed_bytes

    def release_memory(self) -> None:
        """Give up the response that is being received, because memory is short."""
        self._is_released = True
        self._body.clear()
        self.parser.discard()
        self._account()
        self._read_scope.cancel()

    def _account(self) -> None:
        if self.budget is not None:
            self.budget.set_held(self, self.releasable_bytes())

    async def exchange(self, method: str, target: str, headers: Headers, body: bytes = b"") -> Reply:
        """Send a request and return its response.

        Raises ``RequestNotSentError`` or ``ConnectionBrokenError``.
        """
        try:
            await send_all(self.sock, self._encode(method, target, headers, body))
        except (OSError, h11.LocalProtocolError) as error:
            raise RequestNotSentError(str(error)) from None
        try:
            return await self._read_reply()
        except OSError as error:
            raise ConnectionBrokenError(str(error)) from None
        except HeadTooLargeError as error:
            raise UnreadableResponseError(f"head of the response: {error}") from None
        except h11.RemoteProtocolError as error:
            has_ended = self.h11.trailing_data[1]
            raise (ConnectionBrokenError if has_ended else UnreadableResponseError)(str(error)) from None

    def _encode(self, method: str, target: str, headers: Headers, body: bytes) -> bytes:
        """Return the bytes of a request. Raises ``h11.LocalProtocolError``."""
        # Header values are encoded as Latin-1, since bytes beyond ASCII are forwarded as they were received.
        encoded = [
            (name.encode(), value.encode("latin-1", "replace"))
            for name, value in [("host", self.host), *headers]
        ]
        if body or method == "POST":
            encoded.append((b"content-length", str(len(body)).encode()))
        head = h11.Request(method=method, target=target.encode("latin-1", "replace"), headers=encoded)
        data = self.h11.send(head) or b""
        if body:
            data += self.h11.send(h11.Data(data=body)) or b""
        return data + (self.h11.send(h11.EndOfMessage()) or b"")

    async def _read_reply(self) -> Reply:
        reply: Reply | None = None
        self._body = bytearray()
        while True:
            if self.parser.has_used_turn():
                await trio.lowlevel.checkpoint()
            event = self.parser.next_event()
            if event is h11.NEED_DATA:
                if not self.parser.feed():
                    await self._receive()
            elif type(event) is h11.Response:
                # The parser's own form of the head takes several times the memory of these texts.
                headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
                reply = Reply(event.status_code, headers, b"")
            elif type(event) is h11.Data:
                self._body += event.data
                if len(self._body) > self.body_bytes:
                    raise UnreadableResponseError("the response body exceeds the size limit")
            elif type(event) is h11.EndOfMessage and reply is not None:
                if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
                    self.parser.start_next_cycle()
                reply.body, self._body = bytes(self._body), bytearray()
                self._account()
                return reply
            elif type(event) is h11.ConnectionClosed:
                raise ConnectionBrokenError("the connection was closed before the response was complete")

    async def _receive(self) -> None:
        """Read more of a response. Raises ``UnreadableResponseError`` if memory is short."""
        with trio.CancelScope() as self._read_scope:
            if self.budget is not None and self.releasable_bytes() > SMALL_MESSAGE_BYTES:
                await self.budget.wait_for_room()
            self.parser.receive(await self.sock.recv(self.limits.receive_bytes))
            self._account()
        if self._is_released:
            raise UnreadableResponseError("memory is short, and the response is not complete")
