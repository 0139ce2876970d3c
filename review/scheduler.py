"""Runs the project's own executor as a process of its own: ``scheduler.py NAME PORT SLOTS FOLDER``."""

from __future__ import annotations

import sys
from pathlib import Path

import trio

from merlinbay.clock import Clock
from merlinbay.counters import Counters
from merlinbay.executor.server import Executor
from merlinbay.executor.slots import Slots
from merlinbay.http.server import Listener
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log


async def serve(name: str, port: int, slots: int, folder: Path) -> None:
    """Serve until the process is ended."""
    limits, counters, log = ResourceLimits(), Counters(), Log(20)
    executor = Executor(name, Slots(slots), folder, limits, counters, log, Clock())
    listener = Listener(executor, limits, counters, log)
    sock = await listener.bind("127.0.0.1", port)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(executor.run)
        nursery.start_soon(listener.serve, sock)


if __name__ == "__main__":
    trio.run(serve, sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), Path(sys.argv[4]))
