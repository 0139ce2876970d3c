"""The predecessor's side of a hand-over: it awaits successors, sends its state and client connections."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import trio

from merlinbay.clock import Clock
from merlinbay.core.messages import Message, SnapshotRequested
from merlinbay.core.values import ServiceEntry
from merlinbay.counters import Counters
from merlinbay.decision.handover_snapshot import HandoverSnapshot
from merlinbay.handover import control_socket, messages
from merlinbay.handover.control_socket import ControlSocket
from merlinbay.handover.relayed_messages import RelayedMessages
from merlinbay.http.client_steering import ClientSteering
from merlinbay.http.connection import Connection
from merlinbay.http.server import Listener
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log

EndpointList = Callable[[], tuple[int | None, list[ServiceEntry]]]  # version and entries


class PredecessorSide:
    """The process as the predecessor of others, of one at a time."""

    def __init__(
        self,
        path: Path,
        inbox: trio.MemorySendChannel[Message],
        listener: Listener,
        steering: ClientSteering,
        relayed: RelayedMessages,
        limits: ResourceLimits,
        counters: Counters,
        log: Log,
        clock: Clock,
    ) -> None:
        self._path, self._inbox, self._listener, self._steering = path, inbox, listener, steering
        self._relayed, self._limits, self._counters = relayed, limits, counters
        self._log, self._clock = log, clock
        self.successor: ControlSocket | None = None
        self._is_successor_ready = False  # it accepts clients

    async def await_successors(
        self, endpoint_list: EndpointList, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen for a successor, and again after one that came and ended.

        Started once it listens. Guards against a successor that comes at once and finds nobody.
        """
        has_listened = False
        while True:
            try:
                with await control_socket.listen(self._path) as listening:
                    if not has_listened:
                        has_listened = True
                        task_status.started()
                    sock = await self._accept(listening)
            except OSError as error:
                self._log.event("no_hand_over", level="warning", error=error.strerror)
                if not has_listened:
                    task_status.started()
                return
            with sock:
                if control_socket.is_same_user(sock):
                    await self._serve(ControlSocket(sock, self._limits), endpoint_list)

    async def _accept(self, listening: trio.socket.SocketType) -> trio.socket.SocketType:
        """Return the successor's connection.

        Guards against one failed accept after which no successor is ever heard.
        """
        while True:
            try:
                sock, _ = await listening.accept()
                return sock
            except OSError as error:
                self._log.event("successor_not_accepted", level="warning", error=error.strerror)
                await trio.sleep(self._limits.accept_retry_pause_s)

    async def _serve(self, link: ControlSocket, endpoint_list: EndpointList) -> None:
        """Send the state to a successor, and handle its messages to its end."""
        packet = await link.receive()
        if packet is None or packet.message != messages.StateRequest(messages.PROTOCOL_VERSION):
            self._log.event("successor_refused", level="warning", said=ascii(packet)[:80])
            return

        def send_state(snapshot: HandoverSnapshot) -> None:
            # Called by the core: bans from now on are relayed after the state.
            version, entries = endpoint_list()
            now_us = self._clock.now_us()
            for message in messages.state_messages(
                version, entries, snapshot, self._steering.is_draining, now_us
            ):
                link.post(message)
            self.successor = link

        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.send_queued)
            await self._inbox.send(SnapshotRequested(send_state))
            while (packet := await link.receive()) is not None:
                self._is_successor_ready |= isinstance(packet.message, messages.SuccessorReady)
                await self._relayed.handle(packet)
            self.successor, self._is_successor_ready = None, False
            nursery.cancel_scope.cancel()
        self._log.event("successor_gone")

    async def hand_over(self) -> bool:
        """Give all client connections to the successor; tell whether there is one, until all were given."""
        if not self._is_successor_ready:
            return False
        self._log.event("hands_over", connections=len(self._listener.connections))
        self._listener.hand_over(self._give)
        with trio.move_on_after(self._limits.stop_serving_for_s):
            while self._listener.connections and self._is_successor_ready:
                await trio.sleep(self._limits.handover_check_interval_s)
        return self._is_successor_ready

    def _give(self, connection: Connection) -> bool:
        """Give one connection to the successor; tell whether it was sent."""
        if self.successor is None:
            return False
        try:
            descriptor = os.dup(connection.stream.raw.fileno())
        except OSError:
            return False
        self._counters.add("edge_connections_given")
        transfer = messages.ConnectionTransfer(connection.has_served_request, connection.carries_callbacks)
        return self.successor.post(transfer, descriptor)
