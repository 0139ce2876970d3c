"""The predecessor's side of a handover: waits for successors and sends them state and client connections.

``node`` starts it after the process has started serving. If it cannot listen, or if a successor ends early,
the process serves on as the only one of the node.
"""

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
from merlinbay.handover.control_socket import ControlSocket, Packet
from merlinbay.handover.relayed_messages import RelayedMessages
from merlinbay.http.client_steering import ClientSteering
from merlinbay.http.connection import Connection
from merlinbay.http.server import Listener
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log

MAX_NAMES = 1000  # names of requests that are handed over, so that the state arrives in time
EndpointList = Callable[[], tuple[int | None, list[ServiceEntry]]]  # returns version and entries of the list


class PredecessorSide:
    """The process in its role as the predecessor of other processes, one at a time."""

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
        # Returns the names of requests that were sent to servers, oldest first; set by the node.
        self.used_names: Callable[[], list[str]] = list
        self._is_successor_ready = False  # whether the successor accepts clients

    async def await_successors(
        self, endpoint_list: EndpointList, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen for a successor, and again for the next one after each that has ended.

        Reports as started only once it listens, so that a successor that starts at once can connect.
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
        """Return the connection of a successor.

        A failed accept is repeated after a pause, because otherwise no successor could ever connect.
        """
        while True:
            try:
                sock, _ = await listening.accept()
                return sock
            except OSError as error:
                self._log.event("successor_not_accepted", level="warning", error=error.strerror)
                await trio.sleep(self._limits.accept_retry_pause_s)

    async def _serve(self, link: ControlSocket, endpoint_list: EndpointList) -> None:
        """Send the state to a successor, and handle its messages until it ends."""
        packet = await link.receive()
        if packet is None or packet.message != messages.StateRequest(messages.PROTOCOL_VERSION):
            self._log.event("successor_refused", level="warning", said=ascii(packet)[:80])
            return
        names = self.used_names()[-MAX_NAMES:]
        try:
            for name in names:
                await link.send(Packet(messages.sent_request(name)))
        except OSError:  # The successor has ended.
            return

        def send_state(snapshot: HandoverSnapshot) -> None:
            # The dispatcher calls this function. Later maintenance commands are relayed after the state.
            for name in set(self.used_names()[-MAX_NAMES:]) - set(names):
                link.post(messages.sent_request(name))
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
        """Transfer all client connections to the successor; return whether it was ready throughout.

        Otherwise the caller shuts down as without a successor.
        """
        if not self._is_successor_ready:
            return False
        self._log.event("hands_over", connections=len(self._listener.connections))
        self._listener.hand_over(self._transfer)
        with trio.move_on_after(self._limits.stop_serving_for_s):
            while self._listener.connections and self._is_successor_ready:
                await trio.sleep(self._limits.handover_check_interval_s)
        return self._is_successor_ready

    def _transfer(self, connection: Connection) -> bool:
        """Transfer one connection to the successor; return whether it was queued for sending."""
        if self.successor is None:
            return False
        try:
            descriptor = os.dup(connection.stream.raw.fileno())
        except OSError:
            return False
        self._counters.add("edge_connections_given")
        transfer = messages.ConnectionTransfer(connection.has_served_request, connection.carries_callbacks)
        return self.successor.post(transfer, descriptor)
