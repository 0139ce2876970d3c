"""The sockets of the view: datagrams, and frames on streams. Decides nothing."""

from __future__ import annotations

import struct
from collections.abc import Callable

import trio

from merlinbay.counters import Counters
from merlinbay.errors import ConfigurationError, parse_address
from merlinbay.fleet import wire
from merlinbay.fleet.agreeing import VoteNotStoredError
from merlinbay.fleet.effects import Event, Exchange
from merlinbay.fleet.view import View
from merlinbay.log import Log

LENGTH = struct.Struct("!I")
STREAM_S = 3.0  # for one frame and its answer
STREAMS = 32  # at once, ours and theirs each
EVENTS_KEPT = 1000  # for the operators' calls


class FleetNet:
    """Carries the view's bytes, and tells what happens."""

    def __init__(
        self, view: View, listen: str, seeds: Callable[[], list[str]], counters: Counters, log: Log
    ) -> None:
        self.view, self.listen, self.read_seeds = view, parse_address(listen), seeds
        self.counters, self.log = counters, log
        self.changed: list[Callable[[], None]] = []  # called after anything that may have changed the view
        self.events: list[Event] = []
        self.first = 0  # the number of the first event kept
        self.nap = trio.CancelScope()
        self.streams = trio.Semaphore(STREAMS)
        self.udp = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        self.tcp = trio.socket.socket()
        self.nursery: trio.Nursery | None = None

    async def bind(self) -> None:
        """Take the address. Raises ``ConfigurationError``."""
        try:
            self.tcp.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
            await self.udp.bind(self.listen)
            await self.tcp.bind(self.listen)
            self.tcp.listen(64)
        except OSError as error:
            raise ConfigurationError(
                f"fleet.listen: cannot listen at {self.listen[0]}:{self.listen[1]}: {error.strerror}"
            ) from None

    async def run(self) -> None:
        """Speak for ever."""
        async with trio.open_nursery() as self.nursery:
            self.view.start()
            self.nursery.start_soon(self._datagrams)
            self.nursery.start_soon(self._accept)
            while True:
                with trio.CancelScope(deadline=self.view.next_at()) as self.nap:
                    await trio.sleep_forever()
                self.view.tick(trio.current_time())
                self.after(look=True)

    def after(self, look: bool = False) -> None:
        """Carry out what the view wants, and tell what has happened; ``look``: also where nothing has."""
        view, nursery = self.view, self.nursery
        assert nursery is not None
        for effect in view.take():
            if isinstance(effect, Exchange):
                nursery.start_soon(self._exchange, effect)
            else:
                nursery.start_soon(self._send, effect.addr, effect.data)
        told = view.told()
        for event in told:
            self.counters.add(f"fleet_{event.what}")
            self.log.event(f"fleet_{event.what}", member=event.name, text=repr(event.text))
            self.events.append(event)
        if len(self.events) > EVENTS_KEPT:
            self.first += len(self.events) - EVENTS_KEPT
            del self.events[:-EVENTS_KEPT]
        if look or told:  # guards against a look at all members for every packet
            for call in self.changed:
                call()
        self.nap.deadline = view.next_at()

    async def _send(self, addr: str, data: bytes) -> None:
        try:
            await self.udp.sendto(data, parse_address(addr))
        except (OSError, ConfigurationError):  # a member with an odd address, or a network that is not there
            self.counters.add("fleet_sends_failed")

    async def _datagrams(self) -> None:
        while True:
            try:
                data, source = await self.udp.recvfrom(65536)
            except OSError:  # what a send to nobody brings back
                continue
            if len(data) > wire.DATAGRAM + 256:
                self.counters.add("fleet_oversized")
                continue
            self.view.datagram(trio.current_time(), f"{source[0]}:{source[1]}", data)
            self.after()

    async def _exchange(self, effect: Exchange) -> None:
        answer = None
        if not self.view.joined:
            self.view.seeds = self.read_seeds()
        with trio.move_on_after(STREAM_S):
            async with self.streams:
                try:
                    with trio.socket.socket() as sock:
                        await sock.bind((self.listen[0], 0))
                        await sock.connect(parse_address(effect.addr))
                        stream = trio.SocketStream(sock)
                        await stream.send_all(LENGTH.pack(len(effect.data)) + effect.data)
                        answer = await self._read(stream)
                except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, ConfigurationError):
                    answer = None
        self.view.exchanged(trio.current_time(), effect.token, answer)
        self.after()

    async def _accept(self) -> None:
        assert self.nursery is not None
        limit = trio.Semaphore(STREAMS)
        while True:
            try:
                sock, source = await self.tcp.accept()
            except OSError:
                await trio.sleep(0.05)
                continue
            await limit.acquire()
            self.nursery.start_soon(self._serve, sock, f"{source[0]}:{source[1]}", limit)

    async def _serve(self, sock: trio.socket.SocketType, source: str, limit: trio.Semaphore) -> None:
        try:
            with trio.move_on_after(STREAM_S), sock:
                stream = trio.SocketStream(sock)
                if (data := await self._read(stream)) is not None:
                    answer = self.view.frame(trio.current_time(), source, data)
                    self.after()
                    await stream.send_all(LENGTH.pack(len(answer)) + answer)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            self.counters.add("fleet_streams_broken")
        except wire.MessageRejectedError:
            self.after()
        except VoteNotStoredError:
            self.log.event("fleet_vote_not_stored", level="warning")
        finally:
            limit.release()

    async def _read(self, stream: trio.SocketStream) -> bytes | None:
        """Read a frame; None: it is none, or too long."""
        found = bytearray()
        while len(found) < LENGTH.size:
            if not (part := await stream.receive_some(65536)):
                return None
            found += part
        (length,) = LENGTH.unpack_from(found)
        if length > wire.FRAME:
            return None
        while len(found) < LENGTH.size + length:
            if not (part := await stream.receive_some(65536)):
                return None
            found += part
        return bytes(found[LENGTH.size : LENGTH.size + length])
