"""Stand-ins for the platform, the servers and the clients of the cases, and the processes of the program.

They use the standard library alone, on loopback addresses. ``Record`` writes what was sent, answered
and run. ``run_case`` runs a case, ends all processes that it started, and returns the exit status: 1 if the
rule was broken, 0 if it held, 2 if the case could not run.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
CASE_LIMIT_S = 105.0  # a case is ended after this time and then counts as one that could not run
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class CannotRunError(Exception):
    """The case could not run; the text says why."""


class Record:
    """The file ``record.txt`` of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began_at = time.monotonic()

    def write(self, who: str, what: str, **values: object) -> None:
        """Write one line."""
        at = time.monotonic() - self.began_at
        rest = " ".join(f"{name}={value}" for name, value in values.items())
        self.file.write(f"{at:8.3f} {who:<12} {what} {rest}".rstrip() + "\n")
        self.file.flush()


@dataclass
class Message:
    """A request or a response, as it was read."""

    start: list[str]  # the three parts of the first line
    headers: dict[str, str]  # by name in lower case
    body: bytes

    @property
    def status(self) -> int:
        """The status, if this is a response."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a Content-Length. Return None if the connection ends before or within it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length") or 0))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Message([*lines[0].split(" ", 2), "", ""][:3], headers, body)


def response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request(method: str, target: str, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1", "Host: stand-in", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


Handler = Callable[[Message], Awaitable[bytes]]


class HttpServer:
    """An HTTP/1.1 server on a free port of the loopback address, which keeps connections open."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def addr(self) -> str:
        """The address on which it listens."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                writer.write(await self.handler(message))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(RuntimeError):  # the case has ended
                writer.close()

    def stop(self) -> None:
        """Stop listening, and end all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class NoResponse(Enum):
    """Why an exchange brought no response."""

    NOT_SENT = "not sent"  # no connection came up
    LOST = "no answer"  # the request was written; the connection ended, or the time was up


class HttpClient:
    """Keeps connections to one address; each carries one exchange at a time."""

    def __init__(self, addr: str) -> None:
        self.host, _, port = addr.rpartition(":")
        self.port = int(port)
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def _stream(self, timeout_s: float) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a kept connection that is still open, or a new one. Raises ``OSError``, ``TimeoutError``."""
        while self.idle:
            reader, writer = self.idle.pop()
            if not (reader.at_eof() or writer.is_closing()):
                return reader, writer
            writer.close()
        return await asyncio.wait_for(asyncio.open_connection(self.host, self.port), timeout_s)

    async def exchange(self, data: bytes, timeout_s: float) -> Message | NoResponse:
        """Send a request and return its response, or why there is none."""
        try:
            reader, writer = await self._stream(timeout_s)
        except (OSError, TimeoutError):
            return NoResponse.NOT_SENT
        try:
            writer.write(data)
            found = await asyncio.wait_for(read_message(reader), timeout_s)
        except (OSError, TimeoutError):
            found = None
        if found is None:
            writer.close()
            return NoResponse.LOST
        if found.headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self.idle.append((reader, writer))
        return found

    def close(self) -> None:
        """Close all connections."""
        for _, writer in self.idle:
            writer.close()
        self.idle.clear()


@dataclass
class Discovery:
    """The platform's discovery where nodes ask: the whole list, or a watch on changes."""

    record: Record
    rows: dict[str, dict[str, Any]] = field(default_factory=dict)
    version: int = 1
    spoil: Callable[[bytes], bytes] | None = None  # applied once, to the next answer
    spoilt: int = 0

    def __post_init__(self) -> None:
        self.changed = asyncio.Event()
        self.changes: list[tuple[int, str]] = []
        self.server = HttpServer(self.handle)

    def update(self, name: str, **row: object) -> None:
        """Change an entry, or add it, and notify the watches."""
        self.rows.setdefault(name, {"id": name}).update(row)
        self.version += 1
        self.changes.append((self.version, name))
        self.record.write("discovery", "list", version=self.version, entry=json.dumps(self.rows[name]))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, message: Message) -> bytes:
        """Answer a call for the list."""
        query = dict(part.partition("=")[::2] for part in message.start[1].partition("?")[2].split("&"))
        after = int(query["after"]) if "after" in query else None
        if after is not None and after >= self.version:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(query.get("wait_ms", "0")) / 1000)
        if after is None:
            names = list(self.rows)
        else:
            names = list(dict.fromkeys(name for at, name in self.changes if at > after))
        rows = [self.rows[name] for name in names]
        body = json.dumps({"version": self.version, "full": after is None, "servers": rows}).encode()
        if self.spoil is not None:
            body, self.spoil = self.spoil(body), None
            self.spoilt += 1
            self.record.write("discovery", "spoilt_answer", body=ascii(body))
        return response(200, body)


@dataclass(eq=False)
class Job:
    """A job at a server."""

    id: str
    task: asyncio.Task[None] | None = None


class BridgeBox:
    """A server of the platform's protocol: slots, a queue, and call-backs to the node."""

    def __init__(
        self, name: str, record: Record, node: str, slots: int = 4, queue: int = 8, run_s: float = 0.2
    ) -> None:
        self.name, self.record, self.slots, self.queue, self.run_s = name, record, slots, queue, run_s
        self.calls = HttpClient(node)
        self.server = HttpServer(self.handle)
        self.jobs: dict[str, Job] = {}
        self.running = 0
        self.free = asyncio.Condition()
        self.taken = self.done = 0

    def report(self) -> dict[str, float]:
        """Return the load report."""
        held = len(self.jobs)
        return {
            "eps": 0.0,
            "inflight": held,
            "x0": max(self.slots - held, 0),
            "x1": max(self.slots - held, 0),
        }

    async def handle(self, message: Message) -> bytes:
        """Answer a call of the node."""
        method, target, _ = message.start
        if method == "DELETE":
            job = self.jobs.get(target.rpartition("/")[2])
            self.record.write(self.name, "delete", id=target.rpartition("/")[2])
            if job is not None and job.task is not None:
                job.task.cancel()
            return response(200)
        if method != "POST":
            return response(200)
        name = message.headers.get("x-request-id", "")
        load = ",".join(f"{key}={value}" for key, value in self.report().items())
        if len(self.jobs) >= self.slots + self.queue or name in self.jobs:
            self.record.write(self.name, "full", id=name)
            return response(503, b"", {"X-Not-Processed": "1", "X-Server-Load": load})
        self.taken += 1
        self.record.write(self.name, "taken", id=name, timeout_ms=message.headers.get("x-timeout-ms"))
        job = self.jobs[name] = Job(name)
        job.task = asyncio.create_task(self._run(job))
        return response(202)

    async def _run(self, job: Job) -> None:
        has_slot = False
        try:
            async with self.free:
                await self.free.wait_for(lambda: self.running < self.slots)
                self.running += 1
                has_slot = True
            self.record.write(self.name, "started", id=job.id)
            await self.call_back(job, "started")
            await asyncio.sleep(self.run_s)
            state, extra = self.ends(job)
        finally:
            del self.jobs[job.id]
            if has_slot:
                self.running -= 1
                async with self.free:
                    self.free.notify()
        self.done += state == "done"
        self.record.write(self.name, state, id=job.id)
        await self.call_back(job, state, load=self.report(), **extra)

    def ends(self, job: Job) -> tuple[str, dict[str, object]]:
        """Return the final state of a job and what goes with it."""
        return "done", {"result": f"result of {job.id} by {self.name}"}

    async def call_back(self, job: Job, state: str, **extra: object) -> None:
        """Report a state to the node, at most ten times."""
        body = json.dumps({"id": job.id, "from": self.name, "state": state, **extra}).encode()
        for _ in range(10):
            answer = await self.calls.exchange(request("POST", "/v1/job-events", body), 2.0)
            if isinstance(answer, Message) and answer.status in (200, 204):
                return
            await asyncio.sleep(0.05)


class Process:
    """A process of the program, in a session of its own, with a private folder for temporary files."""

    def __init__(self, name: str, command: str, environment: dict[str, str], folder: Path) -> None:
        self.name, self.log = name, folder / f"{name}.log"
        private = folder / f"{name}.tmp"
        private.mkdir(exist_ok=True)
        kept = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env={**kept, **environment, "TMPDIR": str(private)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    @property
    def exit_status(self) -> int | None:
        """The exit status; None while the process runs."""
        return self.process.poll()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.exit_status is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """End the process and all that it started."""
        with contextlib.suppress(ProcessLookupError):
            os.killpg(self.process.pid, signal.SIGKILL)
        self.process.wait()

    def last_lines(self, number: int) -> list[str]:
        """Return the last lines that it wrote."""
        return self.log.read_text(errors="replace").splitlines()[-number:]


def end_group(pid: str) -> None:
    """Kill the process group that a process leads."""
    if pid.strip().isdigit():
        with contextlib.suppress(ProcessLookupError):
            os.killpg(int(pid), signal.SIGKILL)


def free_port() -> int:
    """Return a port that is free at present."""
    import socket

    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def run_command() -> str:
    """Return the command ``run`` of the deploy file."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


class Node:
    """One node, started with the command ``run`` of the deploy file."""

    def __init__(self, case: Case, discovery: str, settings: dict[str, Any], operator: str = "") -> None:
        self.case, self.discovery, self.settings, self.operator = case, discovery, settings, operator
        self.addr = f"{HOST}:{free_port()}"
        self.file = case.folder / "config.json"
        self.process: Process | None = None

    def write_configuration(self) -> None:
        """Write the configuration file."""
        value = {
            "name": "n0",
            "listen": self.addr,
            "discovery": self.discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": self.settings,
        }
        self.file.write_text(json.dumps(value))

    async def start(self) -> None:
        """Start the node, and wait until it is ready."""
        self.write_configuration()
        environment = {"LB_CONFIG": str(self.file), "LB_NAME": "n0"}
        if self.operator:
            path = self.case.folder / "operator.toml"
            path.write_text(self.operator)
            environment["LB_OPERATOR"] = str(path)
        self.process = self.case.start("node", run_command(), environment)
        client = HttpClient(self.addr)
        for _ in range(300):
            if self.process.exit_status is not None:
                raise CannotRunError(f"the node ended: {self.process.last_lines(3)}")
            answer = await client.exchange(request("GET", "/-/ready"), 1.0)
            if isinstance(answer, Message) and answer.status == 200:
                client.close()
                return
            await asyncio.sleep(0.1)
        raise CannotRunError("the node was not ready within 30 s")


class Case:
    """A case that runs: its record, its temporary folder, and the processes that it started."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[Process] = []

    def start(self, name: str, command: str, environment: dict[str, str]) -> Process:
        """Start a process."""
        process = Process(name, command, environment, self.folder)
        self.processes.append(process)
        self.record.write("case", "started", process=name, command=repr(command))
        return process

    def end(self) -> None:
        """End all processes, jobs of schedulers included, and remove the temporary folder."""
        for process in self.processes:
            process.end()
        self.processes.clear()
        for path in self.folder.glob("*.pid"):  # jobs of schedulers, each in a process group of its own
            end_group(path.read_text())
        shutil.rmtree(self.folder, ignore_errors=True)


async def _play(play: Callable[[Case], Awaitable[list[str]]], case: Case) -> list[str]:
    """Run a case; then end its processes, so that the stand-ins hear no more of them."""
    try:
        return await asyncio.wait_for(play(case), CASE_LIMIT_S)
    finally:
        case.end()
        await asyncio.sleep(0.1)


def run_case(play: Callable[[Case], Awaitable[list[str]]], folder: Path) -> int:
    """Run a case, whose ``play`` returns the breaks that were seen. Return the exit status."""
    case = Case(folder)
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(COULD_NOT_RUN))
    try:
        case.record.write("case", "begins", trouble=int(TROUBLE))
        breaks = asyncio.run(_play(play, case))
    except (Exception, SystemExit) as error:  # noqa: BLE001 - whatever ends a case has to be reported
        case.record.write("case", "could_not_run", error=repr(error))
        traceback.print_exc()
        return COULD_NOT_RUN
    finally:
        case.end()
    for text in breaks:
        case.record.write("case", "broken", text=text)
        print(f"broken: {text}")
    case.record.write("case", "ends", broken=int(bool(breaks)))
    print("the rule was broken" if breaks else "the rule held")
    return BROKEN if breaks else HELD


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings as a small deployment of one hall has them; discovery is asked."""
    found: dict[str, Any] = {
        "balancers": 1,
        "me": 0,
        "az": "hall-a",
        "zones": ["hall-a"],
        "kinds": ["quick-4", "plain-4"],
        "discovery": "subscribe",
        "classes": [admit()],
        "limits": {
            "cancelling": True,
            "secondCopies": True,
            "sendCap": 5,
            "retryAfter": True,
            "maxRetryAfterUs": 2_000_000,
            "probes": True,
            "dialTimeoutUs": 120_000,
            "keepaliveUs": 10_000_000,
        },
        "report": {"how": "inline", "fields": ["err_rps", "active", "x0", "x1"]},
        "extra": {
            "tellsStart": True,
            "progressUs": 0,
            "queueOrder": "fifo",
            "classKind": [-1],
            "classStretch": [2.0],
            "reportX0": "free slots",
            "reportX1": "free memory",
        },
        "safety": {
            "answerSlackUs": 8000,
            "coldFrom": 0.31,
            "coldUs": 9_000_000,
            "drainGraceUs": 500_000,
            "mustAskInUs": 10_000_000,
            "overloadForUs": 2_000_000,
            "tipMultiple": 3.0,
        },
    }
    return {**found, **changes}


def admit(**changes: Any) -> dict[str, Any]:
    """Return the settings of the class ``admit``."""
    found: dict[str, Any] = {
        "name": "admit",
        "aimUs": 120_000,
        "deadlineUs": 5_000_000,
        "worth": 1.0,
        "lateWorth": 0.0,
        "effect": "by_key",
        "group": "cell",
        "windowUs": 7_500_000,
        "stream": False,
    }
    return {**found, **changes}


def entry(name: str, addr: str, **changes: Any) -> dict[str, Any]:
    """Return an entry of discovery's list, without its id."""
    found = {
        "addr": addr,
        "zone": "hall-a",
        "kind": "plain-4",
        "cell": 1,
        "state": "SERVING",
        "weight": 1.0,
        "started_ms": 0,
    }
    return {**found, **changes}
