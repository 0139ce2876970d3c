"""TLS on a listener by ``ssl``: handshakes bounded in number and time, certificates read anew at will."""

from __future__ import annotations

import ssl
from collections import OrderedDict
from dataclasses import dataclass

import trio

from merlinbay.counters import Counters

RECORD_BYTES = 16_384  # the most that one TLS record carries


class CertificateError(Exception):
    """Certificates that cannot be used; the text is one line."""


@dataclass(frozen=True, slots=True)
class CertificateFiles:
    """Where the certificates are."""

    certificate: str
    key: str
    client_ca: str = ""

    def context(self) -> ssl.SSLContext:
        """Read them. Raises ``CertificateError``."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        try:
            context.load_cert_chain(self.certificate, self.key)
        except (OSError, ssl.SSLError) as error:
            raise CertificateError(f"{self.certificate}: {error}") from None
        if self.client_ca:
            try:
                context.load_verify_locations(self.client_ca)
            except (OSError, ssl.SSLError) as error:
                raise CertificateError(f"{self.client_ca}: {error}") from None
            context.verify_mode = ssl.CERT_REQUIRED
        return context


class TlsSocket:
    """What a connection needs of a socket, over TLS."""

    def __init__(self, raw: trio.socket.SocketType, stream: trio.SSLStream[trio.SocketStream]) -> None:
        self.raw, self.stream = raw, stream

    async def recv(self, most: int) -> bytes:
        """Read some; nothing at the end."""
        try:
            return bytes(await self.stream.receive_some(most))
        except trio.BrokenResourceError as error:
            raise OSError(str(error)) from None

    async def send(self, data: bytes | memoryview) -> int:
        """Write one record; return how much that was, so that the caller sees progress."""
        record = data[:RECORD_BYTES]
        try:
            await self.stream.send_all(record)
        except trio.BrokenResourceError as error:
            raise OSError(str(error)) from None
        return len(record)

    def shutdown(self, how: int) -> None:
        """Write no more."""
        self.raw.shutdown(how)

    def fileno(self) -> int:
        """Return the descriptor."""
        return self.raw.fileno()


class Handshakes:
    """Makes TLS of accepted connections."""

    def __init__(self, files: CertificateFiles, most: int, seconds: float, counters: Counters) -> None:
        self.files, self.most, self.seconds, self.counters = files, most, seconds, counters
        self.context = files.context()
        self.under_way: OrderedDict[int, trio.CancelScope] = OrderedDict()
        self.count = 0

    def reload(self) -> None:
        """Read the certificates again; open connections go on. Raises ``CertificateError``."""
        self.context = self.files.context()

    async def __call__(self, raw: trio.socket.SocketType) -> TlsSocket:
        """Do one handshake. Raises ``OSError``."""
        # Guards against half-open handshakes that keep usual clients out: one takes a client some round
        # trips, so where there are too many, the oldest is not a usual client's.
        if len(self.under_way) >= self.most:
            self.under_way.popitem(last=False)[1].cancel()
            self.counters.add("tls_handshakes_evicted")
        self.count += 1
        number = self.count
        stream = trio.SSLStream(trio.SocketStream(raw), self.context, server_side=True, https_compatible=True)
        with trio.move_on_after(self.seconds) as scope:
            self.under_way[number] = scope
            try:
                await stream.do_handshake()
                self.counters.add("tls_handshakes")
                return TlsSocket(raw, stream)
            except (trio.BrokenResourceError, trio.ClosedResourceError, ssl.SSLError) as error:
                self.counters.add("tls_handshakes_failed")
                raise OSError(f"TLS: {error.__cause__ or error}") from None
            finally:
                self.under_way.pop(number, None)
        self.counters.add("tls_handshakes_expired")
        raise OSError("TLS: the handshake took too long")
