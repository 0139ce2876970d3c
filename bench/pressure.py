"""Plays crowds of clients against a node: ``python -m bench.pressure CROWD CLIENTS SECONDS [PROGRAM]``.

CROWD is a function of ``tests/slow_clients.py``, or ``quiet``. Prints the peak memory, the peak number of
descriptors and the processor time of the node, and the answers of three usual clients beside the crowd.
"""

from __future__ import annotations

import os
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import trio

from merlinbay.http.client import ConnectionBrokenError, RequestNotSentError
from tests import slow_clients
from tests.net import ROOT, NodeFixture
from tests.slow_clients import QUICK, peak_memory_bytes, talk_for_ever
from tests.test_memory_limit import holds_job

MEMORY_MB = 64
SOCKETS = 1024
SERVERS = 4
USUAL_CLIENTS = 3
PAUSE_S = 0.1


class Measured:
    """What was seen of the node and of usual clients."""

    def __init__(self) -> None:
        self.descriptors = 0
        self.answers: Counter[str] = Counter()
        self.slowest_s = 0.0


async def usual_client(fixture: NodeFixture, name: str, measured: Measured) -> None:
    """Hand in one job after the other, each on a new connection."""
    number = 0
    while True:
        number += 1
        began = time.monotonic()
        try:
            answer = str((await fixture.admit(f"{QUICK}{name}-{number}")).status)
        except (ConnectionBrokenError, RequestNotSentError):
            answer = "none"
        measured.answers[answer] += 1
        measured.slowest_s = max(measured.slowest_s, time.monotonic() - began)
        await trio.sleep(PAUSE_S)


async def watch(process: int, measured: Measured) -> None:
    """Look at the node's descriptors, again and again."""
    while True:
        measured.descriptors = max(measured.descriptors, len(os.listdir(f"/proc/{process}/fd")))
        await trio.sleep(PAUSE_S)


def processor_s(process: int) -> float:
    """Return the processor time that a process has used."""
    values = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(values[11]) + int(values[12])) / os.sysconf("SC_CLK_TCK")


async def play(crowd: str, clients: int, seconds: float, program: Path, folder: Path) -> None:
    """Play one crowd, and print what was seen."""
    measured = Measured()
    async with trio.open_nursery() as nursery:
        fixture = NodeFixture(nursery, folder, sockets=SOCKETS, memory_mb=MEMORY_MB)
        for number in range(SERVERS):
            fixture.add_server(f"s-{number}", holds_job)
        await fixture.start(program=True, cwd=program)
        assert fixture.process is not None
        process = fixture.process.pid
        began_s = processor_s(process)
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as players:
                players.start_soon(watch, process, measured)
                for number in range(clients if crowd != "quiet" else 0):
                    talk = getattr(slow_clients, crowd)
                    players.start_soon(talk_for_ever, fixture.port, f"c{number}", talk)
                for number in range(USUAL_CLIENTS):
                    players.start_soon(usual_client, fixture, str(number), measured)
        print(
            f"{crowd} {clients}: peak {peak_memory_bytes(process) / 1024 / 1024:.1f} MiB of {MEMORY_MB}, "
            f"{measured.descriptors} descriptors of {SOCKETS}, "
            f"{processor_s(process) - began_s:.2f} s of processor in {seconds:g} s; "
            f"usual clients {dict(measured.answers)}, slowest {measured.slowest_s:.2f} s"
        )
        fixture.process.kill()
        nursery.cancel_scope.cancel()


def main(arguments: list[str]) -> int:
    """Play what the arguments say."""
    program = Path(arguments[3]) if len(arguments) > 3 else ROOT
    with tempfile.TemporaryDirectory() as folder:
        trio.run(play, arguments[0], int(arguments[1]), float(arguments[2]), program, Path(folder))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
