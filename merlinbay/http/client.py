"""The client's half of HTTP: one connection, one exchange at a time. Nothing is ever sent again here."""

from __future__ import annotations

import errno
from dataclasses import dataclass

import h11
import trio

from merlinbay.http.sockets import is_readable, send_all
from merlinbay.limits import ResourceLimits

# What the other side, or the way to it, is the cause of,
REFUSALS = (
    errno.ECONNREFUSED,
    errno.ECONNRESET,
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.EHOSTDOWN,
    errno.ENETUNREACH,
)
# and what this machine lacks.
SHORTAGES = (
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.EAGAIN,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)


class RequestNotSentError(Exception):
    """The connection never came up, or broke before the request's last byte was written."""


class ConnectTimeoutError(RequestNotSentError):
    """No connection in time: the server is gone silently, or holds as many as it accepts."""


class ConnectRefusedError(RequestNotSentError):
    """Nothing listens there, or there is no way to it."""


class LocalResourceError(RequestNotSentError):
    """A descriptor, a port or memory is missing on this machine: that says nothing of the server."""


class AttemptWithheldError(RequestNotSentError):
    """The last look before the first byte found that the request is not to be sent any more."""


class ConnectionBrokenError(Exception):
    """The connection broke, or spoke no HTTP, after the request's last byte was written."""


class UnreadableResponseError(ConnectionBrokenError):
    """The answer is no HTTP, or larger than is taken: the other side has not broken the connection."""


def dial_error(error: OSError | ValueError) -> type[RequestNotSentError]:
    """Return what a connection that failed to come up stands for."""
    number = error.errno if isinstance(error, OSError) else None
    if number in SHORTAGES:
        return LocalResourceError
    return ConnectRefusedError if number in REFUSALS else RequestNotSentError


Headers = list[tuple[str, str]]


@dataclass(slots=True)
class Reply:
    """A whole response. Header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class ClientConnection:
    """One connection to a server."""

    def __init__(
        self, sock: trio.socket.SocketType, host: str, limits: ResourceLimits, body_bytes: int
    ) -> None:
        self.sock, self.host, self.limits, self.body_bytes = sock, host, limits, body_bytes
        self.h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=limits.head_bytes)
        self.idle_since = 0.0
        self.quarantined_until = 0.0  # before this it is not used again

    @classmethod
    async def connect(
        cls, addr: str, limits: ResourceLimits, body_bytes: int = 0, timeout: float = 0.0
    ) -> ClientConnection:
        """Open a connection, or raise ``RequestNotSentError``.

        The usual time-out is that for real servers.
        """
        timeout = timeout or limits.dial
        host, _, port = addr.rpartition(":")
        try:
            sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
        except OSError as error:  # Guards against running out of descriptors: nothing was sent.
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
            raise dial_error(error)(f"dial {addr}: {error}") from None
        except BaseException:
            sock.close()
            raise
        return cls(sock, addr, limits, body_bytes or limits.body_bytes)

    @property
    def can_be_reused(self) -> bool:
        """Tell whether the last exchange leaves it open."""
        # Guards against a second answer that came with the first: it would pass for that of the next request.
        return self.h11.our_state is h11.IDLE and not self.h11.trailing_data[0]

    def is_available(self) -> bool:
        """Tell whether it can carry another request: nothing is to be read, not even its end."""
        return self.can_be_reused and not is_readable(self.sock)

    def close(self) -> None:
        """Close it."""
        self.sock.close()

    async def exchange(self, method: str, target: str, headers: Headers, body: bytes = b"") -> Reply:
        """Send a request and return its answer.

        Raises ``RequestNotSentError`` or ``ConnectionBrokenError``.
        """
        # Guards against header bytes beyond ASCII, which pass on as they came.
        everything = [
            (name.encode(), value.encode("latin-1", "replace"))
            for name, value in [("host", self.host), *headers]
        ]
        if body or method == "POST":
            everything.append((b"content-length", str(len(body)).encode()))
        try:
            data = (
                self.h11.send(
                    h11.Request(method=method, target=target.encode("latin-1", "replace"), headers=everything)
                )
                or b""
            )
            if body:
                data += self.h11.send(h11.Data(data=body)) or b""
            data += self.h11.send(h11.EndOfMessage()) or b""
            await send_all(self.sock, data)
        except (OSError, h11.LocalProtocolError) as error:
            raise RequestNotSentError(str(error)) from None
        try:
            return await self._reply()
        except OSError as error:
            raise ConnectionBrokenError(str(error)) from None
        except h11.RemoteProtocolError as error:
            ended = self.h11.trailing_data[1]
            raise (ConnectionBrokenError if ended else UnreadableResponseError)(str(error)) from None

    async def _reply(self) -> Reply:
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
