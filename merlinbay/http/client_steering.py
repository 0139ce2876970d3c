"""Directs clients to other nodes while this node is in standby, without losing requests.

Operators' commands and the handover set the state; draining goes on until one of them ends it.
"""

from __future__ import annotations

from collections.abc import Callable

import trio

from merlinbay.http.server import Listener
from merlinbay.limits import ResourceLimits


class ClientSteering:
    """Drains client connections while the node is in standby. Connections used by servers stay open."""

    def __init__(self, listener: Listener, limits: ResourceLimits) -> None:
        self.listener, self.limits = listener, limits
        self.is_draining = False  # whether clients should use other nodes
        self.changed = trio.Event()  # set when ``is_draining`` changes
        # Relays an operator's command to the node's other process; set by the handover.
        self.on_operator_request: Callable[[bool], None] = lambda is_draining: None

    def accepts_clients(self) -> bool:
        """Return whether new clients are accepted."""
        return not self.is_draining

    def set_draining(self, is_draining: bool, relayed: bool = False) -> None:
        """Begin or end draining.

        ``relayed`` means that the node's other process has passed the request on, so it is not sent back.
        """
        if not relayed:
            self.on_operator_request(is_draining)
        if is_draining == self.is_draining:
            return
        self.is_draining = is_draining
        if not is_draining:
            self.listener.set_closes_after_response(False)
        self.changed.set()

    async def run(self) -> None:
        """Drain connections while ``is_draining`` is set. Runs until cancelled."""
        while True:
            await self.changed.wait()
            self.changed = trio.Event()
            if not self.is_draining:
                continue
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._drain)
                await self.changed.wait()
                nursery.cancel_scope.cancel()

    async def _drain(self) -> None:
        began = trio.current_time()
        # Keeps connections open at first: new clients arrive until the front layer has polled the node's
        # state, and should not meet a closed connection.
        await trio.sleep(self.limits.standby_arrivals_for_s)
        self.listener.set_closes_after_response(True)
        # Waits until most connections have closed after a response. A connection closed earlier as idle could
        # meet a request that is on its way.
        await trio.sleep_until(began + self.limits.standby_close_after_s)
        while True:
            self.listener.close_idle(self.limits.standby_idle_after_s)
            await trio.sleep(self.limits.standby_check_interval_s)
