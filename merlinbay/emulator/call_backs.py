"""Call-backs of an emulated server: what becomes of a job, told to the node over kept connections."""

from __future__ import annotations

import trio

from merlinbay.emulator.node_process import LIMITS
from merlinbay.http.client import ClientConnection, ConnectionBrokenError, RequestNotSentError

MAX_TRIES = 10  # as the platform's protocol has it
RETRY_AFTER_S = 0.05
MAX_IDLE_CONNECTIONS = 24  # to one node


class CallBackSender:
    """One server's connections to the nodes that it calls."""

    def __init__(self) -> None:
        self.idle: dict[str, list[ClientConnection]] = {}

    async def send(self, addr: str, body: bytes) -> None:
        """Tell a node, until it has answered or the tries are used up."""
        for _ in range(MAX_TRIES):
            if await self._try(addr, body):
                return
            await trio.sleep(RETRY_AFTER_S)

    async def _try(self, addr: str, body: bytes) -> bool:
        connection = None
        try:
            connection = await self._connection(addr)
            reply = await connection.exchange("POST", "/v1/job-events", [], body)
        except (RequestNotSentError, ConnectionBrokenError):
            if connection is not None:
                connection.close()
            return False
        idle = self.idle[addr]
        if connection.can_be_reused and len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(connection)
        else:
            connection.close()
        return reply.status in (200, 204)

    async def _connection(self, addr: str) -> ClientConnection:
        """Return an idle connection that is still good, or a new one. Raises ``RequestNotSentError``."""
        idle = self.idle.setdefault(addr, [])
        while idle:
            kept = idle.pop()
            if kept.is_available():
                return kept
        return await ClientConnection.connect(addr, LIMITS)
