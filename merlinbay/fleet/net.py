"""The sockets of the view: UDP datagrams, and frames on TCP streams.

It passes what it receives to the view, carries out the view's effects, and reports its events. A datagram
that cannot be sent is counted. A stream that fails counts as a request without an answer.
"""

from __future__ import annotations

import struct
from collections.abc import Callable

import trio

from merlinbay.counters import Counters
from merlinbay.errors import ConfigurationError, parse_address
from merlinbay.fleet.effects import MembershipEvent, SendRequest
from merlinbay.fleet.epoch_agreement import VoteNotStoredError
from merlinbay.fleet.view import View
from merlinbay.fleet.wire import MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, MessageRejectedError
from merlinbay.log import Log

FRAME_LENGTH = struct.Struct("!I")
EXCHANGE_TIMEOUT_S = 3.0  # limit for one frame and its answer
MAX_STREAMS = 32  # concurrent streams in each direction
MAX_EVENTS = 1000  # events kept for the operators' calls
LISTEN_BACKLOG = 64
ACCEPT_RETRY_S = 0.05
RECEIVE_BYTES = 65536
OVERSIZED_BYTES = MAX_DATAGRAM_BYTES + 256  # later versions may send somewhat longer datagrams


class FleetNet:
    """Runs a view on real sockets and keeps its last events."""

    def __init__(
        self, view: View, listen: str, seeds: Callable[[], list[str]], counters: Counters, log: Log
    ) -> None:
        self.view, self._listen_at, self._read_seeds = view, parse_address(listen), seeds
        self._counters, self._log = counters, log
        self.on_change: list[Callable[[], None]] = []  # callbacks for changes of the members
        self.events: list[MembershipEvent] = []
        self.first_event_number = 0  # number of the first event in ``events``
        self._sleep = trio.CancelScope()  # its deadline is the view's next tick
        self._streams = trio.Semaphore(MAX_STREAMS)
        self._udp = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        self._tcp = trio.socket.socket()
        self._nursery: trio.Nursery | None = None

    async def bind(self) -> None:
        """Bind both sockets. Raises ``ConfigurationError`` if the address cannot be used."""
        host, port = self._listen_at
        try:
            self._tcp.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
            await self._udp.bind((host, port))
            await self._tcp.bind((host, port))
            self._tcp.listen(LISTEN_BACKLOG)
        except OSError as error:
            raise ConfigurationError(
                f"fleet.listen: cannot listen at {host}:{port}: {error.strerror}"
            ) from None

    async def run(self) -> None:
        """Run the view until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self.view.start()
            self._nursery.start_soon(self._receive_datagrams)
            self._nursery.start_soon(self._accept_streams)
            while True:
                with trio.CancelScope(deadline=self.view.next_at_s()) as self._sleep:
                    await trio.sleep_forever()
                self.view.tick(trio.current_time())
                self.flush(notify=True)

    def flush(self, notify: bool = False) -> None:
        """Carry out the view's effects and report its events.

        The callbacks of ``on_change`` are called if there are events, or if ``notify`` is set.
        """
        view, nursery = self.view, self._nursery
        assert nursery is not None
        for effect in view.take_effects():
            if isinstance(effect, SendRequest):
                nursery.start_soon(self._request, effect)
            else:
                nursery.start_soon(self._send_datagram, effect.addr, effect.data)
        events = view.take_events()
        for event in events:
            self._counters.add(f"fleet_{event.kind}")
            self._log.event(f"fleet_{event.kind}", member=event.subject, text=repr(event.text))
            self.events.append(event)
        for name, count in view.events.take_occurrences().items():
            self._counters.add(f"fleet_{name}", count)
        if len(self.events) > MAX_EVENTS:
            self.first_event_number += len(self.events) - MAX_EVENTS
            del self.events[:-MAX_EVENTS]
        if notify or events:  # The callbacks read all members, which would be too much work for each packet.
            for callback in self.on_change:
                callback()
        self._sleep.deadline = view.next_at_s()

    async def _send_datagram(self, addr: str, data: bytes) -> None:
        try:
            await self._udp.sendto(data, parse_address(addr))
        except (
            OSError,
            ConfigurationError,
        ):  # The network is down, or a member announced a malformed address.
            self._counters.add("fleet_sends_failed")

    async def _receive_datagrams(self) -> None:
        while True:
            try:
                data, source = await self._udp.recvfrom(RECEIVE_BYTES)
            except OSError:  # The kernel reports an ICMP error about an earlier datagram.
                continue
            if len(data) > OVERSIZED_BYTES:
                self._counters.add("fleet_oversized")
                continue
            self.view.handle_datagram(trio.current_time(), f"{source[0]}:{source[1]}", data)
            self.flush()

    async def _request(self, effect: SendRequest) -> None:
        """Send a frame, and pass its answer, or None, to the view."""
        answer = None
        if not self.view.push_pull.has_joined:
            self.view.push_pull.seeds = self._read_seeds()
        with trio.move_on_after(EXCHANGE_TIMEOUT_S):
            async with self._streams:
                try:
                    with trio.socket.socket() as sock:
                        await sock.bind((self._listen_at[0], 0))
                        await sock.connect(parse_address(effect.addr))
                        stream = trio.SocketStream(sock)
                        await stream.send_all(FRAME_LENGTH.pack(len(effect.data)) + effect.data)
                        answer = await read_frame(stream)
                except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, ConfigurationError):
                    answer = None
        self.view.handle_answer(trio.current_time(), effect.token, answer)
        self.flush()

    async def _accept_streams(self) -> None:
        assert self._nursery is not None
        limit = trio.Semaphore(MAX_STREAMS)
        while True:
            try:
                sock, source = await self._tcp.accept()
            except OSError:
                await trio.sleep(ACCEPT_RETRY_S)
                continue
            await limit.acquire()
            self._nursery.start_soon(self._serve_stream, sock, f"{source[0]}:{source[1]}", limit)

    async def _serve_stream(self, sock: trio.socket.SocketType, source: str, limit: trio.Semaphore) -> None:
        try:
            with trio.move_on_after(EXCHANGE_TIMEOUT_S), sock:
                stream = trio.SocketStream(sock)
                if (data := await read_frame(stream)) is not None:
                    answer = self.view.handle_frame(trio.current_time(), source, data)
                    self.flush()
                    await stream.send_all(FRAME_LENGTH.pack(len(answer)) + answer)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            self._counters.add("fleet_streams_broken")
        except MessageRejectedError:
            self.flush()
        except VoteNotStoredError:
            self._log.event("fleet_vote_not_stored", level="warning")
        finally:
            limit.release()


async def read_frame(stream: trio.SocketStream) -> bytes | None:
    """Return the next frame of a stream; None if the stream ends within it, or if it is too long."""
    received = bytearray()
    while len(received) < FRAME_LENGTH.size:
        if not (part := await stream.receive_some(RECEIVE_BYTES)):
            return None
        received += part
    (length,) = FRAME_LENGTH.unpack_from(received)
    if length > MAX_FRAME_BYTES:
        return None
    while len(received) < FRAME_LENGTH.size + length:
        if not (part := await stream.receive_some(RECEIVE_BYTES)):
            return None
        received += part
    return bytes(received[FRAME_LENGTH.size : FRAME_LENGTH.size + length])
