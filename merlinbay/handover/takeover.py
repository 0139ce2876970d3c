"""One of the two processes that are a node while the second takes the first one's place.

A process listens for its successor, and at its start asks its predecessor for what it has. Each may be gone
at any moment: then the other one is the node alone, as without a hand-over.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import trio

from merlinbay.clock import Clock
from merlinbay.core.messages import (
    Callback,
    CallbackRelayed,
    MaintenanceRequested,
    Message,
    SnapshotRequested,
)
from merlinbay.core.values import ServiceEntry
from merlinbay.counters import Counters
from merlinbay.decision.learned import Learned
from merlinbay.handover import control_socket, messages
from merlinbay.handover.control_socket import ControlSocket
from merlinbay.http.client_steering import ClientSteering
from merlinbay.http.connection import Connection
from merlinbay.http.server import Listener
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log

Listing = Callable[[], tuple[int | None, list[ServiceEntry]]]


@dataclass
class Inherited:
    """What the predecessor has told."""

    version: int | None
    away: bool
    learned: Learned
    clock_us: int  # the predecessor's clock as it told; 0: it has not told
    entries: list[ServiceEntry] = field(default_factory=list)


class Takeover:
    """A process's side of both links."""

    def __init__(
        self,
        path: Path,
        inbox: trio.MemorySendChannel[Message],
        listener: Listener,
        client_steering: ClientSteering,
        limits: ResourceLimits,
        counters: Counters,
        log: Log,
        clock: Clock,
    ) -> None:
        self.clock = clock
        self.path, self.inbox, self.listener, self.client_steering = path, inbox, listener, client_steering
        self.limits, self.counters, self.log = limits, counters, log
        self.predecessor: ControlSocket | None = None
        self.successor: ControlSocket | None = None
        self.succeeded = False  # the successor takes clients
        client_steering.on_operator_request = self._away

    # Core's port.

    def relay_callback(self, message: Callback) -> bool:
        """Pass a call-back on that is for no request here; tell whether there is anybody to pass it to."""
        return self._post(messages.Unclaimed(message))

    def relay_maintenance(self, server: str, on: bool) -> None:
        """Pass a ban on."""
        self._post(messages.Banned(server, on))

    def _away(self, away: bool) -> None:
        self._post(messages.Away(away))

    def _post(self, word: messages.Word) -> bool:
        return any([end.post(word) for end in (self.predecessor, self.successor) if end is not None])

    # The new process.

    async def inherit(self) -> Inherited | None:
        """Ask the predecessor for what it has; None where there is none, or none that speaks as we do."""
        sock = await control_socket.dial(self.path)
        if sock is None:
            return None
        end, parts = ControlSocket(sock, self.limits), messages.Part([], [])
        with trio.move_on_after(self.limits.inherit):
            await sock.send(messages.encode(messages.Hello(messages.SPEAKS)))
            while (heard := await end.read()) is not None:
                word, _ = heard
                if isinstance(word, messages.Part):
                    parts.entries.extend(word.entries)
                    parts.workers.extend(word.workers)
                elif isinstance(word, messages.Whole):
                    self.predecessor = end
                    word.learned.workers = parts.workers
                    self.log.event("inherited", entries=len(parts.entries), banned=len(word.learned.banned))
                    return Inherited(word.version, word.away, word.learned, word.clock_us, parts.entries)
        # Guards against a start that hangs on an old process: without its word the new one starts alone.
        self.log.event("not_inherited", level="warning", path=self.path)
        sock.close()
        return None

    async def follow(self) -> None:
        """Tell the predecessor that clients are taken, and hear it to its end."""
        end = self.predecessor
        if end is None:
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(end.write)
            end.post(messages.Serves())
            await self._hear(end)
            self.predecessor = None
            nursery.cancel_scope.cancel()
        end.sock.close()
        self.log.event("predecessor_gone")

    # The old one.

    async def await_successors(
        self, listing: Listing, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen for the process that is to take this one's place, again where one came and went.

        Started once it listens. Guards against a successor that comes at once and finds nobody.
        """
        met = False
        while True:
            try:
                with await control_socket.listen(self.path) as listening:
                    if not met:
                        met = True
                        task_status.started()
                    sock = await self._accept(listening)
            except OSError as error:
                self.log.event("no_hand_over", level="warning", error=error.strerror)
                if not met:
                    task_status.started()
                return
            with sock:
                if control_socket.same_user(sock):
                    await self._succeed(ControlSocket(sock, self.limits), listing)

    async def _accept(self, listening: trio.socket.SocketType) -> trio.socket.SocketType:
        """Return the successor's connection.

        Guards against one failed accept after which no successor is ever heard.
        """
        while True:
            try:
                sock, _ = await listening.accept()
                return sock
            except OSError as error:
                self.log.event("successor_not_accepted", level="warning", error=error.strerror)
                await trio.sleep(self.limits.accept_pause)

    async def _succeed(self, end: ControlSocket, listing: Listing) -> None:
        heard = await end.read()
        if heard is None or heard[0] != messages.Hello(messages.SPEAKS):
            self.log.event("successor_refused", level="warning", said=ascii(heard)[:80])
            return

        def told(learned: Learned) -> None:
            # Called in the owner's turn: bans after it are passed on behind what is told here.
            for word in messages.told(
                *listing(), learned, self.client_steering.is_draining, self.clock.now_us()
            ):
                end.post(word)
            self.successor = end

        async with trio.open_nursery() as nursery:
            nursery.start_soon(end.write)
            await self.inbox.send(SnapshotRequested(told))
            await self._hear(end)
            self.successor, self.succeeded = None, False
            nursery.cancel_scope.cancel()
        self.log.event("successor_gone")

    async def leave(self) -> bool:
        """Give everything to the successor; tell whether there is one, and all went there in time."""
        if not self.succeeded:
            return False
        self.log.event("hands_over", connections=len(self.listener.connections))
        self.listener.hand_over(self._give)
        with trio.move_on_after(self.limits.stop_serving):
            while self.listener.connections and self.succeeded:
                await trio.sleep(self.limits.hand_look)
        return self.succeeded

    def _give(self, connection: Connection) -> bool:
        """Give one connection away; tell whether it went."""
        if self.successor is None:
            return False
        try:
            descriptor = os.dup(connection.stream.raw.fileno())
        except OSError:
            return False
        self.counters.add("edge_connections_given")
        return self.successor.post(
            messages.EdgeGiven(connection.has_served_request, connection.carries_callbacks), descriptor
        )

    # Both.

    async def _hear(self, end: ControlSocket) -> None:
        """Take what the other process says, until it is gone."""
        while (heard := await end.read()) is not None:
            word, descriptor = heard
            if isinstance(word, messages.EdgeGiven) and descriptor >= 0:
                self.counters.add("edge_connections_taken_over")
                self.listener.adopt(
                    trio.socket.from_stdlib_socket(socket.socket(fileno=descriptor)),
                    word.proven,
                    word.calls_back,
                )
                continue
            if descriptor >= 0:
                os.close(descriptor)
            if isinstance(word, messages.Unclaimed):
                await self.inbox.send(CallbackRelayed(word.message))
            elif isinstance(word, messages.Banned):
                await self.inbox.send(MaintenanceRequested(word.server, word.on, None))
            elif isinstance(word, messages.Away):
                self.client_steering.set_draining(word.away, relayed=True)
            elif isinstance(word, messages.Serves):
                self.succeeded = True
