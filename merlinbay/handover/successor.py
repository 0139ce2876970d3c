"""The successor's side of a handover: asks the predecessor for its state, and follows it until it ends.

``inherit`` is called before the process serves, and ``follow`` afterwards. If there is no predecessor, or if
it does not answer in time, the process starts without its state.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

import trio

from merlinbay.core.values import ServiceEntry
from merlinbay.decision.handover_snapshot import HandoverSnapshot
from merlinbay.handover import control_socket, messages
from merlinbay.handover.control_socket import ControlSocket, Packet
from merlinbay.handover.relayed_messages import RelayedMessages
from merlinbay.handover.snapshot_codec import from_encoded
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log


@dataclass
class Inherited:
    """The state that the predecessor has sent."""

    list_version: int | None  # version of discovery's list, if it has one
    is_standby: bool  # whether the node is on standby and sends clients away
    snapshot: HandoverSnapshot  # learned state of the decisions
    clock_us: int  # the predecessor's clock when it sent the state; 0 if sent by an older version
    entries: list[ServiceEntry] = field(default_factory=list)  # the endpoint list
    names: list[str] = field(default_factory=list)  # names of requests that were sent to servers


class SuccessorSide:
    """The process in its role as the successor of another one."""

    def __init__(self, path: Path, relayed: RelayedMessages, limits: ResourceLimits, log: Log) -> None:
        self._path, self._relayed, self._limits, self._log = path, relayed, limits, log
        self.predecessor: ControlSocket | None = None

    async def inherit(self) -> Inherited | None:
        """Ask the predecessor for its state.

        Returns None if there is no predecessor, or if it does not answer in time or in this protocol version.
        """
        sock = await control_socket.connect(self._path)
        if sock is None:
            return None
        link = ControlSocket(sock, self._limits)
        with trio.move_on_after(self._limits.handover_timeout_s):
            await link.send(Packet(messages.StateRequest(messages.PROTOCOL_VERSION)))
            inherited = await self._receive_state(link)
            if inherited is not None:
                self.predecessor = link
                disabled_count = len(inherited.snapshot.disabled_since_us)
                self._log.event("inherited", entries=len(inherited.entries), banned=disabled_count)
                return inherited
        # A predecessor that hangs must not block the start, so without an answer this process starts alone.
        self._log.event("not_inherited", level="warning", path=self._path)
        sock.close()
        return None

    async def _receive_state(self, link: ControlSocket) -> Inherited | None:
        chunks, names = messages.StateChunk([], []), list[str]()
        while (packet := await link.receive()) is not None:
            message = packet.message
            if isinstance(message, messages.StateChunk):
                chunks.entries.extend(message.entries)
                chunks.endpoints.extend(message.endpoints)
            elif isinstance(message, messages.CallbackForward):
                names.append(message.message.name)
            elif isinstance(message, messages.StateComplete):
                message.learned.endpoints = chunks.endpoints
                return Inherited(
                    message.list_version,
                    message.is_standby,
                    from_encoded(message.learned),
                    message.clock_us,
                    chunks.entries,
                    names,
                )
        return None

    async def follow(self) -> None:
        """Report to the predecessor that this process accepts clients; handle its messages until it ends."""
        link = self.predecessor
        if link is None:
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.send_queued)
            link.post(messages.SuccessorReady())
            while (packet := await link.receive()) is not None:
                await self._relayed.handle(packet)
            self.predecessor = None
            nursery.cancel_scope.cancel()
        link.sock.close()
        self._log.event("predecessor_gone")
