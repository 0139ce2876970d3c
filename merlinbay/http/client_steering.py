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
        self.away = False  # clients are to go elsewhere
        self.changed = trio.Event()
        self.told: Callable[[bool], None] = lambda away: None  # hears what operators say

    def wanted(self) -> bool:
        """Tell whether new clients are wanted."""
        return not self.away

    def turn(self, away: bool, relayed: bool = False) -> None:
        """Send clients away, or take them back. Asked twice, it stays as it is."""
        if not relayed:
            self.told(away)
        if away == self.away:
            return
        self.away = away
        if not away:
            self.listener.retire(False)
        self.changed.set()

    async def run(self) -> None:
        """Carry it out."""
        while True:
            await self.changed.wait()
            self.changed = trio.Event()
            if not self.away:
                continue
            began = trio.current_time()
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._until_changed, scope)
                    # Guards against clients met by a closed door: new ones come until the front has looked.
                    await trio.sleep(self.limits.standby_arrivals_for_s)
                    self.listener.retire(True)
                    # Guards against requests that cross the closing: most connections end with an answer.
                    await trio.sleep_until(began + self.limits.standby_close_after_s)
                    while True:
                        self.listener.close_idle(self.limits.standby_quiet_for_s)
                        await trio.sleep(self.limits.standby_check_interval_s)

    async def _until_changed(self, scope: trio.CancelScope) -> None:
        await self.changed.wait()
        scope.cancel()
