"""The model's event loop, run by the clock in place of virtual time."""

from __future__ import annotations

from typing import Any

import trio

from merlinbay.emulator.loop import Loop, Order


class LiveLoop(Loop):
    """The loop, run by the clock."""

    def __init__(self) -> None:
        super().__init__()
        self.began = 0.0
        self.wake = trio.Event()

    def at(self, due_us: int, order: Order, call: Any, *args: Any) -> None:
        """Have something called at a time."""
        if not self.heap or due_us < self.heap[0][0]:
            self.wake.set()
        super().at(due_us, order, call, *args)

    def catch_up(self) -> None:
        """Run what is due by now."""
        self.run(int((trio.current_time() - self.began) * 1e6))

    async def drive(self) -> None:
        """Run for ever."""
        while True:
            self.catch_up()
            self.wake = trio.Event()
            with trio.move_on_at(self.began + self.heap[0][0] / 1e6 if self.heap else float("inf")):
                await self.wake.wait()
