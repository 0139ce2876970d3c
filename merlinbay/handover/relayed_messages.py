"""Handles the messages that both sides of a handover send: connections, callbacks and operators' commands.

Each side calls it for the packets that follow the exchange of the state.
"""

from __future__ import annotations

import os
import socket

import trio

from merlinbay.core.messages import CallbackRelayed, MaintenanceRequested, Message
from merlinbay.counters import Counters
from merlinbay.handover import messages
from merlinbay.handover.control_socket import NO_DESCRIPTOR, Packet
from merlinbay.http.client_steering import ClientSteering
from merlinbay.http.server import Listener


class RelayedMessages:
    """Passes client connections to the listener, standby to the steering, and the rest to the core."""

    def __init__(
        self,
        inbox: trio.MemorySendChannel[Message],
        listener: Listener,
        steering: ClientSteering,
        counters: Counters,
    ) -> None:
        self._inbox, self._listener, self._steering, self._counters = inbox, listener, steering, counters

    async def handle(self, packet: Packet) -> None:
        """Handle a packet; messages that belong to the transfer of the state are ignored."""
        message, descriptor = packet
        if isinstance(message, messages.ConnectionTransfer) and descriptor != NO_DESCRIPTOR:
            self._adopt(message, descriptor)
            return
        if descriptor != NO_DESCRIPTOR:
            os.close(descriptor)
        match message:
            case messages.CallbackForward(callback):
                await self._inbox.send(CallbackRelayed(callback))
            case messages.MaintenanceForward(server, is_disabled):
                await self._inbox.send(MaintenanceRequested(server, is_disabled, None))
            case messages.StandbyForward(is_standby):
                self._steering.set_draining(is_standby, relayed=True)

    def _adopt(self, transfer: messages.ConnectionTransfer, descriptor: int) -> None:
        self._counters.add("edge_connections_taken_over")
        sock = trio.socket.from_stdlib_socket(socket.socket(fileno=descriptor))
        self._listener.add_connection(sock, transfer.is_proven, transfer.calls_back)
