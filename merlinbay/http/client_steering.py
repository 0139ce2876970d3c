"""Whether this node accepts clients, and how it sends them to other nodes without losing requests."""

from __future__ import annotations

from collections.abc import Callable

import trio

from merlinbay.http.server import Listener
from merlinbay.limits import ResourceLimits


class ClientSteering:
    """Drains client connections while the node is in standby. Connections of servers are not touched."""

    def __init__(self, listener: Listener, limits: ResourceLimits) -> None:
        self.listener, self.limits = listener, limits
        self.is_draining = False  # clients are to use other nodes
        self.changed = trio.Event()  # set whenever ``is_draining`` has changed
        self.on_operator_request: Callable[[bool], None] = lambda is_draining: None

    def accepts_clients(self) -> bool:
        """Tell whether new clients are accepted."""
        return not self.is_draining

    def set_draining(self, is_draining: bool, relayed: bool = False) -> None:
        """Begin or end draining. ``relayed``: the node's other process has asked, and needs no relay back."""
        if not relayed:
            self.on_operator_request(is_draining)
        if is_draining == self.is_draining:
            return
        self.is_draining = is_draining
        if not is_draining:
            self.listener.set_closes_after_response(False)
        self.changed.set()

    async def run(self) -> None:
        """Drain whenever that is asked for, until it is no longer."""
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
        # Guards against clients that meet a closed connection: new ones come until the front has polled.
        await trio.sleep(self.limits.standby_arrivals_for_s)
        self.listener.set_closes_after_response(True)
        # Guards against requests that cross the close: most connections end with a response.
        await trio.sleep_until(began + self.limits.standby_close_after_s)
        while True:
            self.listener.close_idle(self.limits.standby_idle_after_s)
            await trio.sleep(self.limits.standby_check_interval_s)
