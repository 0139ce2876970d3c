"""Whether clients are wanted here, and how they are sent away without losing what they ask for."""

from __future__ import annotations

from collections.abc import Callable

import trio

from merlinbay.http.server import Listener
from merlinbay.limits import ResourceLimits


class ClientSteering:
    """Sends clients away and takes them back. No connection of a real server is touched."""

    def __init__(self, listener: Listener, limits: ResourceLimits) -> None:
        self.listener, self.limits = listener, limits
        self.is_draining = False  # clients are to go elsewhere
        self.changed = trio.Event()
        self.on_operator_request: Callable[[bool], None] = lambda away: None  # hears what operators say

    def accepts_clients(self) -> bool:
        """Tell whether new clients are wanted."""
        return not self.is_draining

    def set_draining(self, away: bool, relayed: bool = False) -> None:
        """Send clients away, or take them back. Asked twice, it stays as it is."""
        if not relayed:
            self.on_operator_request(away)
        if away == self.is_draining:
            return
        self.is_draining = away
        if not away:
            self.listener.set_closes_after_response(False)
        self.changed.set()

    async def run(self) -> None:
        """Carry it out."""
        while True:
            await self.changed.wait()
            self.changed = trio.Event()
            if not self.is_draining:
                continue
            began = trio.current_time()
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._until_changed, scope)
                    # Guards against clients met by a closed door: new ones come until the front has looked.
                    await trio.sleep(self.limits.away_arrivals)
                    self.listener.set_closes_after_response(True)
                    # Guards against requests that cross the closing: most connections end with an answer.
                    await trio.sleep_until(began + self.limits.away_idle)
                    while True:
                        self.listener.close_idle(self.limits.away_quiet)
                        await trio.sleep(self.limits.away_look)

    async def _until_changed(self, scope: trio.CancelScope) -> None:
        await self.changed.wait()
        scope.cancel()
