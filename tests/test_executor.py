"""The executor: its slots without I/O, and its children as real processes."""

from __future__ import annotations

import json
import signal
import time
from pathlib import Path
from typing import Any

import pytest
import trio
import trio.testing

from merlinbay.batch.errors import DrmaaError
from merlinbay.batch.states import JobState, JobTransition
from merlinbay.clock import Clock
from merlinbay.counters import Counters
from merlinbay.drmaa.schema import JobTemplate
from merlinbay.executor.child import ChildProcess, ProcessStartError
from merlinbay.executor.server import Executor
from merlinbay.executor.slots import ExecutorJob, Slots
from merlinbay.http.connection import Request
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log
from tests.net import run_scenario
from tests.test_fuzz import FakeConnection


def alive(pid: int) -> bool:
    """Tell whether a process runs; one that has only not been reaped does not."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def add(slots: Slots, wide: int = 1) -> ExecutorJob:
    """Hand a job in."""
    return slots.add(JobTemplate("x", minSlots=wide), "s", "")


def test_slots_are_given_in_order_and_come_back() -> None:
    """A wide job waits for room, and those behind it with it; the queue is bounded; a recall leaves it."""
    slots = Slots(4, queue_most=3)
    first = add(slots, 2)
    assert slots.startable() == [first] and slots.free == 2
    wide, small = add(slots, 3), add(slots)
    assert slots.startable() == [] and slots.free == 2
    slots.move(first, JobTransition.SUSPEND)
    slots.end(first, JobTransition.FAIL)
    assert slots.startable() == [wide, small] and slots.free == 0
    queued = [add(slots) for _ in range(3)]
    with pytest.raises(DrmaaError) as caught:
        add(slots)
    assert caught.value.name == "TryLaterException" and caught.value.retry_after_us > 0
    with pytest.raises(DrmaaError) as caught:
        add(slots, 5)
    assert caught.value.name == "OutOfResourceException"
    slots.recall(queued[1])
    with pytest.raises(DrmaaError, match="RUNNING"):
        slots.recall(wide)
    assert list(slots.queue) == [queued[0], queued[2]]
    slots.end(wide, JobTransition.FINISH)
    slots.end(small, JobTransition.FINISH)
    assert wide.state is JobState.DONE and slots.startable() == [queued[0], queued[2]] and slots.free == 2


def run_child(tmp_path: Path, **template: object) -> tuple[int, ChildProcess]:
    """Run a shell command to its end."""
    found: list[tuple[int, ChildProcess]] = []

    async def body() -> None:
        child = ChildProcess(JobTemplate("sh", **template), tmp_path)  # type: ignore[arg-type]
        with trio.fail_after(10):
            found.append((await child.run(), child))

    run_scenario(body)
    return found[0]


def test_a_child_has_its_input_output_environment_and_folder(tmp_path: Path) -> None:
    """By payload and capture, and by files in a working directory of its own."""
    status, child = run_child(
        tmp_path, args=["-c", 'cat; echo "$A" >&2'], payload=b"in", jobEnvironment={"A": "b"}
    )
    assert (status, bytes(child.output), bytes(child.error)) == (0, b"in", b"b\n")
    (tmp_path / "sub").mkdir()
    (tmp_path / "sub" / "in").write_text("text")
    status, child = run_child(
        tmp_path,
        args=["-c", "cat; pwd; echo no >&2; exit 3"],
        inputPath="in",
        outputPath="$DRMAA2_WORKING_DIR$/out",
        joinFiles=True,
        workingDirectory="sub",
    )
    assert (status, bytes(child.output)) == (3, b"")
    assert (tmp_path / "sub" / "out").read_text() == f"text{tmp_path / 'sub'}\nno\n"


@pytest.mark.parametrize(
    ("command", "limits", "expected"),
    [
        ("kill -SEGV $$", {}, -11),
        ("sleep 9", {"WALLCLOCK_TIME": 0}, -9),
        ("ulimit -n", {"OPEN_FILES": 33}, 0),
        ("while :; do :; done", {"CPU_TIME": 1}, -9),
    ],
)
def test_a_child_ends_by_signals_and_limits(
    tmp_path: Path, command: str, limits: dict[str, int], expected: int
) -> None:
    """The status is the signal's; a limit is the child's own."""
    status, child = run_child(tmp_path, args=["-c", command], resourceLimits=limits)
    assert status == expected
    if "OPEN_FILES" in limits:
        assert bytes(child.output) == b"33\n"


def test_a_child_that_leaves_others_behind_ends_with_them(tmp_path: Path) -> None:
    """A background process that holds the pipe open neither holds the job nor outlives it."""
    _, child = run_child(tmp_path, args=["-c", "sleep 60 & echo $!"])
    pid = int(child.output)
    assert not alive(pid)


def test_what_cannot_be_started_says_why(tmp_path: Path) -> None:
    """A command, a folder or a file that is not there."""
    for template in (
        JobTemplate("/nowhere"),
        JobTemplate("true", workingDirectory="/nowhere"),
        JobTemplate("true", inputPath="none"),
    ):

        async def body(child: ChildProcess) -> None:
            with pytest.raises(ProcessStartError, match="No such file"):
                await child.run()

        run_scenario(body, ChildProcess(template, tmp_path))


def state_of(child: ChildProcess) -> str:
    """Return the letter by which the system tells what a process does: S it waits, T it is stopped."""
    assert child.process is not None
    return Path(f"/proc/{child.process.pid}/stat").read_text().rpartition(")")[2].split()[0]


def test_a_job_suspended_while_its_process_is_being_made_stands_still(tmp_path: Path) -> None:
    """The signal reaches it once it is there, and so does the one to go on."""

    async def body() -> None:
        child = ChildProcess(JobTemplate("sleep", args=["0.5"]), tmp_path)
        statuses: list[int] = []

        async def run() -> None:
            statuses.append(await child.run())

        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run)
                child.signal(signal.SIGSTOP)
                assert child.process is None
                await child.process_made.wait()
                while state_of(child) != "T":
                    await trio.sleep(0.01)
                await trio.sleep(0.7)
                assert statuses == []
                child.signal(signal.SIGCONT)
        assert statuses == [0]

    run_scenario(body)


def test_a_job_terminated_while_its_process_is_being_made_ends(tmp_path: Path) -> None:
    """By the signal, and not at the end of what it was to do."""

    async def body() -> None:
        child = ChildProcess(JobTemplate("sleep", args=["600"]), tmp_path)
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(child.stop)
                await trio.testing.wait_all_tasks_blocked()
                assert child.process is None
                assert await child.run() == -signal.SIGTERM

    run_scenario(body)


def test_a_job_that_cannot_be_started_can_be_terminated(tmp_path: Path) -> None:
    """There is nothing to wait for."""

    async def body() -> None:
        child = ChildProcess(JobTemplate("/nowhere"), tmp_path)
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(child.stop)
                with pytest.raises(ProcessStartError):
                    await child.run()

    run_scenario(body)


def test_an_executor_that_is_cancelled_leaves_no_process(tmp_path: Path) -> None:
    """Also where nobody has terminated the job before: running, or stopped by a suspend."""

    async def body() -> None:
        counters, limits = Counters(), ResourceLimits()
        executor = Executor("e", Slots(2), tmp_path, limits, counters, Log(5), Clock())
        connection: Any = FakeConnection()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(executor.run)
            await trio.testing.wait_all_tasks_blocked()
            for number in (1, 2):
                args = ["-c", f"echo $$ > {number}; sleep 60"]
                call = {"jobTemplate": {"remoteCommand": "sh", "args": args}}
                request = Request("POST", "/drmaa2/jobs", {}, json.dumps(call).encode())
                response = await executor.request(connection, request)
                assert response is not None and response.status == 201
            while not all((tmp_path / name).exists() and (tmp_path / name).read_text() for name in "12"):
                await trio.sleep(0.01)
            await executor.request(connection, Request("POST", "/drmaa2/jobs/2/suspend", {}, b""))
            assert executor.slots.job("2").state is JobState.SUSPENDED
            nursery.cancel_scope.cancel()

    run_scenario(body)
    end = time.monotonic() + 60
    pids = [int((tmp_path / name).read_text()) for name in "12"]
    while (left := [pid for pid in pids if alive(pid)]) and time.monotonic() < end:
        time.sleep(0.02)  # what was killed is gone once the system has seen to it
    assert left == []
