"""Plays a grid over all cores; results go into the store as they come, from this process alone."""

from __future__ import annotations

import os
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from multiprocessing import get_context

from merlinbay.emulator.simulation import SimulationResult, play
from merlinbay.experiment.grid import Cell, Grid, cells, script_of
from merlinbay.experiment.store import Store


def one(cell: Cell) -> SimulationResult:
    """Play a day of the grid."""
    return play(script_of(cell.script, cell.settings), cell.seed, cell.policy)


def run(grid: Grid, store: Store, workers: int = 0, told: Callable[[int, int], None] | None = None) -> int:
    """Play what is not there yet; return how many days that were. ``told``: days done, and days in all."""
    done = store.done()
    todo = [cell for cell in cells(grid) if cell.key not in done]
    count = workers or os.cpu_count() or 1
    finished = 0
    if count == 1:
        for cell in todo:
            store.add(cell, one(cell))
            finished += 1
            if told is not None:
                told(finished, len(todo))
        return finished
    # A fresh interpreter each: what a worker inherits must not decide anything.
    with ProcessPoolExecutor(count, mp_context=get_context("spawn")) as pool:
        waiting: dict[Future[SimulationResult], Cell] = {}
        rest = iter(todo)
        while True:
            for cell in rest:
                waiting[pool.submit(one, cell)] = cell
                if len(waiting) >= count * 2:
                    break
            if not waiting:
                return finished
            for future in wait(waiting, return_when=FIRST_COMPLETED).done:
                store.add(waiting.pop(future), future.result())
                finished += 1
                if told is not None:
                    told(finished, len(todo))
