"""The store, measured: ``python -m bench.store [FOLDER]``.

Records a second and the 50th and 99th percentile of an append, at 1, 16 and 256 writers: in memory, by the
store (SQLite, commits in groups), and by a plain file with one fsync a group. Each in turn, three rounds.
"""

from __future__ import annotations

import os
import sys
import tempfile
import time
from pathlib import Path
from statistics import median

import numpy as np
import trio

from merlinbay.log import Log
from merlinbay.store.engine import StorageEngine
from merlinbay.store.log import StoreLog

SECONDS = 1.5
BODY = b"x" * 300


class Memory(StorageEngine):
    """Keeps records and writes nothing."""

    def append(self, bodies: list[bytes]) -> int:
        """Count them."""
        self.last_number += len(bodies)
        return self.last_number


class Plain(StorageEngine):
    """Writes groups to a file of its own, one fsync each: the least that any store on a disk can do."""

    def __init__(self, path: Path) -> None:
        super().__init__(path)
        self.file = open(path.with_suffix(".plain"), "wb", buffering=0)  # noqa: SIM115

    def append(self, bodies: list[bytes]) -> int:
        """Write them."""
        self.file.write(b"".join(bodies))
        os.fsync(self.file.fileno())
        self.last_number += len(bodies)
        return self.last_number


async def play(make: type[StorageEngine], path: Path, writers: int) -> tuple[float, float, float]:
    """Return records a second, and the 50th and 99th percentile in milliseconds."""
    log, took = StoreLog(path, Log(1), make), list[float]()

    async def write() -> None:
        while True:
            began = time.perf_counter()
            await log.append(BODY)
            took.append(time.perf_counter() - began)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(log.run)
        for _ in range(writers):
            nursery.start_soon(write)
        await trio.sleep(SECONDS)
        nursery.cancel_scope.cancel()
    log.engine.close()
    return len(took) / SECONDS, float(np.percentile(took, 50)) * 1000, float(np.percentile(took, 99)) * 1000


def main() -> None:
    """Print the table, and how long a file of 100,000 records takes to be opened and read."""
    with tempfile.TemporaryDirectory(dir=sys.argv[1] if len(sys.argv) > 1 else None) as folder:
        rows: dict[tuple[str, int], list[tuple[float, float, float]]] = {}
        for turn in range(3):
            for writers in (1, 16, 256):
                for make in (Memory, StorageEngine, Plain):
                    path = Path(folder) / f"{make.__name__}-{writers}-{turn}"
                    rows.setdefault((make.__name__, writers), []).append(trio.run(play, make, path, writers))
        print("| | writers | records/s | 50 % ms | 99 % ms |\n| --- | --- | --- | --- | --- |")
        for (name, writers), found in rows.items():
            rate, half, most = (median(values) for values in zip(*found, strict=True))
            print(f"| {name} | {writers} | {rate:,.0f} | {half:.2f} | {most:.2f} |")
        engine = StorageEngine(Path(folder) / "large")
        for _ in range(100):
            engine.append([BODY] * 1000)
        engine.close()
        began = time.perf_counter()
        engine = StorageEngine(Path(folder) / "large")
        last = sum(1 for _ in engine.read())
        print(f"{last:,} records opened and read in {time.perf_counter() - began:.2f} s")
        engine.close()


if __name__ == "__main__":
    main()
