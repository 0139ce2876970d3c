"""Virtual time for whole nodes on loopback sockets: the clock jumps once nothing is left to do just now.

Deadlines are rounded up to a common grid, so that many independent cases in one run share most jumps.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import TypeVar
from unittest.mock import patch

import trio
import trio.testing

GRID_S = 1 / 512  # the clock stands at multiples of this only; floats hold these, and their sums, exactly
IDLE_S = 0.001  # real idleness before a jump: what was sent over loopback has arrived long before

Result = TypeVar("Result")


def run_in_virtual_time(main: Callable[[], Awaitable[Result]]) -> Result:
    """Run a trio program whose sleeping costs no real time."""
    clock = trio.testing.MockClock()

    async def supervised() -> Result:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_advance, clock)
            result = await main()
            nursery.cancel_scope.cancel()
        return result

    with patch("trio._core._run._r", FirstComeFirstServed()):
        return trio.run(supervised, clock=clock)


class FirstComeFirstServed:
    """Takes the place of trio's random numbers, by which it reverses the order of the tasks that can run.

    Guards against a case that cannot be played again.
    """

    def random(self) -> float:
        """Leave the order as it is."""
        return 1.0

    def shuffle(self, tasks: list[object]) -> None:
        """Leave the order as it is, where a test before has had trio schedule by an order of its own."""


async def _advance(clock: trio.testing.MockClock) -> None:
    """Jump to the next deadline whenever every task waits for it."""
    while True:
        await trio.testing.wait_all_tasks_blocked(IDLE_S)
        until_due = trio.lowlevel.current_statistics().seconds_to_next_deadline
        if not math.isfinite(until_due):
            continue
        now = clock.current_time()
        clock.jump(max(math.ceil((now + until_due) / GRID_S) * GRID_S - now, GRID_S))
