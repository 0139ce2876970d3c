"""The client's side of HTTP/1.1: one connection, one exchange at a time. Nothing is retried here."""

from __future__ import annotations

import errno
from dataclasses import dataclass

import h11
import trio

from merlinbay.http.sockets import is_readable, send_all
from merlinbay.limits import ResourceLimits

# Errors of a connect whose cause is the other side, or the way to it.
REMOTE_ERRORS = (
    errno.ECONNREFUSED,
    errno.ECONNRESET,
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.EHOSTDOWN,
    errno.ENETUNREACH,
)
# Errors of a connect whose cause is a lack on this machine.
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
    """No connection came up, or it broke before the request's last byte was written."""


class ConnectTimeoutError(RequestNotSentError):
    """No connection in time: the server has gone silently, or has as many as it accepts."""


class ConnectRefusedError(RequestNotSentError):
    """Nothing listens at the address, or there is no route to it."""


class LocalResourceError(RequestNotSentError):
    """A lack of descriptors, ports or memory on this machine, which says nothing of the server."""


class AttemptWithheldError(RequestNotSentError):
    """The pre-send check found that the request is not to be sent any more."""


class ConnectionBrokenError(Exception):
    """The connection broke, or spoke no HTTP, after the request's last byte was written."""


class UnreadableResponseError(ConnectionBrokenError):
    """The response is no HTTP, or too large; the other side has not closed the connection."""


def connect_error(error: OSError | ValueError) -> type[RequestNotSentError]:
    """Return the type of error for a connect that has failed."""
    number = error.errno if isinstance(error, OSError) else None
    if number in LOCAL_RESOURCE_ERRORS:
        return LocalResourceError
    return ConnectRefusedError if number in REMOTE_ERRORS else RequestNotSentError


Headers = list[tuple[str, str]]


@dataclass(slots=True)
class Reply:
    """A whole response to a request of ours. Header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class ClientConnection:
    """One connection to a server. Moments are by trio's clock."""

    def __init__(
        self, sock: trio.socket.SocketType, host: str, limits: ResourceLimits, body_bytes: int
    ) -> None:
        self.sock, self.host, self.limits, self.body_bytes = sock, host, limits, body_bytes
        self.h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=limits.head_bytes)
        self.idle_since = 0.0
        self.quarantined_until = 0.0  # a stray response may come until then

    @classmethod
    async def connect(
        cls, addr: str, limits: ResourceLimits, body_bytes: int = 0, timeout: float = 0.0
    ) -> ClientConnection:
        """Open a connection; raise ``RequestNotSentError`` if none comes up.

        ``timeout`` is in seconds, ``body_bytes`` the limit of a response's body; 0: those for servers.
        """
        timeout = timeout or limits.connect_timeout_s
        host, _, port = addr.rpartition(":")
        try:
            sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
        except OSError as error:  # Guards against a lack of descriptors that counts against the server.
            raise LocalResourceError(f"socket: {error}") from None
        try:
            sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
            with trio.fail_after(timeout):
                await sock.connect((host, int(port)))
        except trio.TooSlowError:
            sock.close()
            raise ConnectTimeoutError(f"dial {addr}: no answer in {timeout} s") from None
        except (OSError, ValueError) as error:
            sock.close()
            raise connect_error(error)(f"dial {addr}: {error}") from None
        except BaseException:
            sock.close()
            raise
        return cls(sock, addr, limits, body_bytes or limits.body_bytes)

    @property
    def can_be_reused(self) -> bool:
        """Whether the last exchange leaves it open."""
        # Guards against a second response that came with the first and would be taken for the next one.
        return self.h11.our_state is h11.IDLE and not self.h11.trailing_data[0]

    def is_available(self) -> bool:
        """Tell whether it can carry another request: nothing is to be read, not even its end."""
        return self.can_be_reused and not is_readable(self.sock)

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

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
        except h11.RemoteProtocolError as error:
            has_ended = self.h11.trailing_data[1]
            raise (ConnectionBrokenError if has_ended else UnreadableResponseError)(str(error)) from None

    def _encode(self, method: str, target: str, headers: Headers, body: bytes) -> bytes:
        """Return a request's bytes. Raises ``h11.LocalProtocolError``."""
        # Guards against header bytes beyond ASCII, which are forwarded as they came.
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
        head: h11.Response | None = None
        body = bytearray()
        while True:
            event = self.h11.next_event()
            if event is h11.NEED_DATA:
                self.h11.receive_data(await self.sock.recv(self.limits.receive_bytes))
            elif type(event) is h11.Response:
                head = event
            elif type(event) is h11.Data:
                body += event.data
                if len(body) > self.body_bytes:
                    raise UnreadableResponseError("the answer is too large")
            elif type(event) is h11.EndOfMessage and head is not None:
                if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
                    self.h11.start_next_cycle()
                return Reply(
                    head.status_code,
                    {name.decode(): value.decode("latin-1") for name, value in head.headers},
                    bytes(body),
                )
            elif type(event) is h11.ConnectionClosed:
                raise ConnectionBrokenError("the connection ended before the answer")
