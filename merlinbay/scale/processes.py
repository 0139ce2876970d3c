"""The processes of a run as its leader sees them: hollow ones by their pipes, real ones by /proc."""

from __future__ import annotations

import subprocess
import sys
import time
from pathlib import Path
from typing import TypeVar

import trio

from merlinbay.process_memory import PAGE_BYTES
from merlinbay.scale import messages
from merlinbay.scale.layout import ProcessLayout
from merlinbay.scale.meters import ProcessReading

END_S = 5.0  # for a process to end by itself
QUIET_LOOKS, QUIET_LOOK_S = 3, 1.0
QUIET_CPU_S = 0.02  # in a look,
STARTED_CPU_S = 0.1  # and no less than this since the start: the interpreter's own start takes more
ANSWER_S = 120.0  # for an answer; a process that is at its limit is late

AnswerType = TypeVar(
    "AnswerType", messages.OrderDone, messages.Reading, messages.ProgressReading, messages.Observations
)


class ProcessFailedError(Exception):
    """The run cannot go on; one line."""


class HostProcess:
    """A hollow process."""

    def __init__(self, layout: ProcessLayout) -> None:
        self.layout = layout
        self.process: trio.Process | None = None
        self.found = bytearray()
        self.lock = trio.Lock()

    async def start(self, setup: messages.Setup) -> None:
        """Start it, without members. Raises ``ProcessFailedError``."""
        self.process = await trio.lowlevel.open_process(
            [sys.executable, "-B", "-m", "merlinbay.scale.host"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        await self.call(setup, messages.OrderDone)

    async def call(self, order: messages.Order, wanted: type[AnswerType]) -> AnswerType:
        """Have an order carried out. Raises ``ProcessFailedError``."""
        async with self.lock:
            try:
                with trio.fail_after(ANSWER_S):
                    assert self.process is not None and self.process.stdin is not None
                    await self.process.stdin.send_all(messages.frame(order))
                    data = await self._answer()
            except trio.TooSlowError:
                raise ProcessFailedError(f"a hollow process did not answer {type(order).__name__}") from None
            except (OSError, trio.BrokenResourceError):
                raise ProcessFailedError(f"a hollow process ended at {type(order).__name__}") from None
        answer = messages.decode_answer(data)
        assert isinstance(answer, wanted)
        return answer

    async def _answer(self) -> bytes:
        assert self.process is not None and self.process.stdout is not None
        while True:
            if len(self.found) >= messages.LENGTH.size:
                (length,) = messages.LENGTH.unpack_from(self.found)
                end = messages.LENGTH.size + length
                if len(self.found) >= end:
                    data = bytes(self.found[messages.LENGTH.size : end])
                    del self.found[:end]
                    return data
            part = await self.process.stdout.receive_some(1 << 20)
            if not part:
                raise ProcessFailedError("a hollow process ended; its last lines are above")
            self.found += part

    async def end(self) -> None:
        """End it, by a word or else by a signal."""
        process = self.process
        if process is None:
            return
        with trio.CancelScope(shield=True):
            with trio.move_on_after(END_S):
                try:
                    assert process.stdin is not None
                    await process.stdin.send_all(messages.frame(messages.StopHost()))
                    await process.stdin.aclose()
                except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError):
                    process.kill()
                await process.wait()
            if process.returncode is None:
                process.kill()
                await process.wait()


async def until_quiet(pids: list[int]) -> None:
    """Wait until processes have come up: for a while they take hardly any time.

    Raises ``ProcessFailedError``.
    """
    last = {pid: 0.0 for pid in pids}
    quiet = 0
    with trio.fail_after(ANSWER_S):
        while quiet < QUIET_LOOKS:
            await trio.sleep(QUIET_LOOK_S)
            now = {pid: real_reading(pid, 0).cpu_s for pid in pids}
            busy = any(now[pid] - last[pid] > QUIET_CPU_S or now[pid] < STARTED_CPU_S for pid in pids)
            quiet, last = 0 if busy else quiet + 1, now


def real_reading(pid: int, base_memory_bytes: int) -> ProcessReading:
    """Return what a real process has used. Raises ``ProcessFailedError``."""
    try:
        tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
        cpu_ns = sum(int(task.read_text().split()[0]) for task in tasks)
        resident = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
    except OSError:
        raise ProcessFailedError("a real process has ended by itself") from None
    if not resident:  # ended, and not yet waited for
        raise ProcessFailedError("a real process has ended by itself")
    return ProcessReading(time.monotonic(), cpu_ns / 1e9, resident, 1, base_memory_bytes)
