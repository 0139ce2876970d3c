"""One job as a child process: its own process group, its files, its limits, and how it ended."""

from __future__ import annotations

import os
import resource
import signal
import subprocess
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import IO

import trio

from merlinbay.drmaa.schema import JobTemplate

GRACE = 2.0  # seconds between SIGTERM and SIGKILL
OUTPUT_MOST = 32 * 1024  # bytes of standard output that are kept, where no outputPath takes them
ERROR_TAIL = 400  # bytes of standard error that go into the annotation
KIB = 1024
# GFD.194, 5.7: what each limit is for the kernel, and in which unit the template has it.
RLIMITS = {
    "CORE_FILE_SIZE": (resource.RLIMIT_CORE, KIB),
    "CPU_TIME": (resource.RLIMIT_CPU, 1),
    "DATA_SIZE": (resource.RLIMIT_DATA, KIB),
    "FILE_SIZE": (resource.RLIMIT_FSIZE, KIB),
    "OPEN_FILES": (resource.RLIMIT_NOFILE, 1),
    "STACK_SIZE": (resource.RLIMIT_STACK, KIB),
    "VIRTUAL_MEMORY": (resource.RLIMIT_AS, KIB),
}
PASSED_ON = ("PATH", "HOME", "LANG", "TZ", "TMPDIR")


def set_limits(limits: list[tuple[tuple[int, int], int]]) -> None:
    """Set limits, in the child before its command is there."""
    for (kind, unit), value in limits:
        resource.setrlimit(kind, (value * unit, value * unit))


class ProcessStartError(Exception):
    """The command could not be started; the text says why."""


class ChildProcess:
    """A child process of one job."""

    def __init__(self, template: JobTemplate, folder: Path) -> None:
        self.template, self.folder = template, folder
        self.process: trio.Process | None = None
        self.process_made = trio.Event()  # or it cannot be made
        self.early_signals: list[int] = []  # sent before there was a process
        self.output, self.error = bytearray(), bytearray()

    def _path(self, text: str) -> Path:
        """Return a path of the template: relative ones lie in the job's folder."""
        text = text.replace("$DRMAA2_HOME_DIR$", str(Path.home())).replace(
            "$DRMAA2_WORKING_DIR$", str(self.folder)
        )
        return self.folder / text

    async def run(self) -> int:
        """Run to the end; return the status as ``subprocess`` has it. Raises ``ProcessStartError``."""
        with ExitStack() as files:
            try:
                self.process = process = await self._start(files)
            except (OSError, ValueError, subprocess.SubprocessError) as error:
                raise ProcessStartError(str(error)) from None
            finally:
                self.process_made.set()
        for number in self.early_signals:
            self.signal(number)
        async with trio.open_nursery() as nursery:
            self._connect_pipes(process, nursery)
            await self._wait_or_kill(process)
            # Guards against children of the child that hold the pipes open: the job has ended with it.
            self.signal(signal.SIGKILL)
            with trio.move_on_after(GRACE):
                while nursery.child_tasks:
                    await trio.sleep(0.005)
            nursery.cancel_scope.cancel()
        assert process.returncode is not None
        return process.returncode

    async def _start(self, files: ExitStack) -> trio.Process:
        """Start the command in a session of its own, with its files, environment and limits."""
        template = self.template
        if template.workingDirectory:
            self.folder = self._path(template.workingDirectory)
        stdin = self._open(files, template.inputPath, "rb")
        stdout = self._open(files, template.outputPath, "ab")
        stderr = self._open(files, template.errorPath, "ab")
        limits = [
            (RLIMITS[name], value) for name, value in template.resourceLimits.items() if name in RLIMITS
        ]
        inherited = {name: os.environ[name] for name in PASSED_ON if name in os.environ}
        return await trio.lowlevel.open_process(
            [template.remoteCommand, *template.args],
            cwd=self.folder,
            start_new_session=True,
            env={**inherited, **template.jobEnvironment},
            stdin=stdin or (subprocess.PIPE if template.payload else subprocess.DEVNULL),
            stdout=stdout or subprocess.PIPE,
            stderr=subprocess.STDOUT if template.joinFiles else stderr or subprocess.PIPE,
            preexec_fn=(lambda: set_limits(limits)) if limits else None,
        )

    def _connect_pipes(self, process: trio.Process, nursery: trio.Nursery) -> None:
        """Feed the command's input and collect its output in tasks of their own."""
        if process.stdin is not None:
            nursery.start_soon(self._feed, process.stdin)
        for stream, kept in ((process.stdout, self.output), (process.stderr, self.error)):
            if stream is not None:
                nursery.start_soon(self._collect, stream, kept)

    async def _wait_or_kill(self, process: trio.Process) -> None:
        """Wait for the command, for as long as its wall-clock limit allows."""
        limit_s = self.template.resourceLimits.get("WALLCLOCK_TIME")
        with trio.move_on_after(limit_s if limit_s is not None else float("inf")):
            await process.wait()
        if process.returncode is None:
            self.signal(signal.SIGKILL)
            await process.wait()

    def signal(self, number: int) -> None:
        """Send a signal to all of the job's processes, or keep it for them until they are there."""
        # Guards against a job that was suspended or ended while its process was being made, and ran on.
        if self.process is None:
            self.early_signals.append(number)
            return
        with suppress(ProcessLookupError):
            os.killpg(self.process.pid, number)

    async def stop(self) -> None:
        """End it: politely at first."""
        self.signal(signal.SIGTERM)
        self.signal(signal.SIGCONT)
        await self.process_made.wait()
        if self.process is None:
            return
        with trio.move_on_after(GRACE):
            await self.process.wait()
        self.signal(signal.SIGKILL)

    def _open(self, files: ExitStack, path: str, mode: str) -> IO[bytes] | None:
        return files.enter_context(self._path(path).open(mode)) if path else None

    async def _feed(self, stream: trio.abc.SendStream) -> None:
        try:
            await stream.send_all(self.template.payload)
            await stream.aclose()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # it does not read its input

    async def _collect(self, stream: trio.abc.ReceiveStream, kept: bytearray) -> None:
        most = OUTPUT_MOST if kept is self.output else ERROR_TAIL
        while data := await stream.receive_some():
            kept += data
            if kept is self.output:
                del kept[most:]  # the rest is read, so that the job goes on, and dropped
            else:
                del kept[:-most]
