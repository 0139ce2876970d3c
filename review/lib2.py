"""Stand-ins and helpers for the cases of the second review. They use the standard library alone.

Everything runs on loopback addresses with free ports. ``Case`` starts and ends processes and keeps the
record.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
Answer = tuple[int, dict[str, str], bytes]


def free_port(host: str) -> int:
    """Return a free port below the range from which outgoing connections take theirs."""
    while True:
        port = random.SystemRandom().randrange(12_000, 32_000)
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((host, port))
                udp.bind((host, port))
            except OSError:
                continue
        return port


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings like those of a small deployment of the kind of derby-call-hall."""
    found: dict[str, Any] = {
        "az": "hall-a",
        "balancers": 1,
        "me": 0,
        "zones": ["hall-a"],
        "kinds": ["plain-4"],
        "discovery": "subscribe",
        "family": "jobs",
        "classes": [
            {
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
        ],
        "extra": {
            "classKind": [-1],
            "classPriority": [0],
            "classStretch": [2.0],
            "progressUs": 0,
            "queueOrder": "fifo",
            "reportX0": "free slots",
            "reportX1": "free memory",
            "tellsStart": True,
        },
        "limits": {
            "cancelling": True,
            "probes": True,
            "peers": False,
            "retryAfter": True,
            "secondCopies": True,
            "sendCap": 5,
            "streamsPerConn": 1,
            "dialTimeoutUs": 120_000,
            "keepaliveUs": 10_000_000,
            "maxRetryAfterUs": 2_000_000,
            "mostHeld": 40_000,
        },
        "prices": {"handshake": 0.02, "lateFail": 0.034, "probe": 0.002, "waste": 0.038},
        "report": {"fields": ["err_rps", "active", "x0", "x1"], "how": "inline"},
        "safety": {
            "answerSlackUs": 8000,
            "coldFrom": 0.31,
            "coldUs": 9_000_000,
            "drainGraceUs": 500_000,
            "mustAskInUs": 10_000_000,
            "overloadForUs": 2_000_000,
            "tipMultiple": 3.0,
        },
        "tenants": [],
        "weightSource": "nominal",
        "worthBy": "request",
    }
    for key, value in changes.items():
        if isinstance(value, dict):
            found[key] = {**found.get(key, {}), **value}
        else:
            found[key] = value
    return found


# HTTP.


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read one HTTP message: its first line, its headers and its body; None at the end of the stream."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = b"" if first.startswith(("GET", "DELETE", "POST", "HEAD")) else await reader.read()
    return first, headers, body


def encode(first: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of one HTTP message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


async def call(
    addr: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout: float = 10.0,
) -> Answer:
    """Send one request on a connection of its own and return the answer. Raises ``OSError``."""
    host, _, port = addr.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {"Host": addr, **(headers or {}), "Connection": "close"}
            writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
            found = await read_message(reader)
    except asyncio.IncompleteReadError:
        found = None
    finally:
        if writer is not None:
            writer.close()
    if found is None:
        raise ConnectionResetError("the connection ended before the answer")
    return int(found[0].split()[1]), found[1], found[2]


async def call_json(addr: str, method: str, path: str, value: object = None, timeout: float = 10.0) -> Any:
    """Send JSON, and return the status and what the answer holds."""
    body = b"" if value is None else json.dumps(value).encode()
    status, _, found = await call(addr, method, path, {"Content-Type": "application/json"}, body, timeout)
    return status, json.loads(found) if found else {}


Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[tuple[int, dict[str, str], bytes] | None]]


async def serve_http(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve HTTP/1.1; a handler that returns None breaks the connection."""

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (found := await read_message(reader)) is not None:
                method, target, _ = found[0].split(" ")
                answer = await handler(method, target, found[1], found[2])
                if answer is None:
                    writer.transport.abort()
                    return
                status, headers, body = answer
                writer.write(encode(f"HTTP/1.1 {status} X", headers, body))
                await writer.drain()
                if found[1].get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve_connection, host, port)


class Discovery:
    """The platform's discovery: the whole list, and watches on changes."""

    def __init__(self, case: Case, host: str = "127.0.0.1") -> None:
        self.case, self.host, self.port = case, host, free_port(host)
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed = asyncio.Event()

    @property
    def addr(self) -> str:
        """Return its address."""
        return f"{self.host}:{self.port}"

    def list(self, name: str, addr: str, state: str = "SERVING", started_ms: int = 0, cell: int = 1) -> None:
        """List a server, or change its entry."""
        self.entries[name] = {
            "id": name,
            "addr": addr,
            "zone": "hall-a",
            "kind": "plain-4",
            "cell": cell,
            "state": state,
            "weight": 1.0,
            "started_ms": started_ms,
        }
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()
        self.case.note("discovery lists", server=name, state=state, started_ms=started_ms)

    def listing(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    async def start(self) -> None:
        """Begin to serve."""
        await serve_http(self.host, self.port, self.handle)

    async def handle(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        """Answer one call."""
        query = dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&"))
        if query.get("after") == str(self.version):
            changed = self.changed
            try:
                async with asyncio.timeout(int(query.get("wait_ms", "0")) / 1000):
                    await changed.wait()
            except TimeoutError:
                empty = {"version": self.version, "full": False, "servers": []}
                return 200, {}, json.dumps(empty).encode()
        return 200, {}, json.dumps(self.listing()).encode()


class PlatformExecutor:
    """An executor of the platform. ``behave`` is called with each job that it has taken."""

    def __init__(self, case: Case, name: str, node: str, host: str = "127.0.0.2") -> None:
        self.case, self.name, self.node = case, name, node
        self.host, self.port = host, free_port(host)
        self.behave: Callable[[PlatformExecutor, str, dict[str, str]], Coroutine[Any, Any, None]] = (
            run_at_once
        )
        self.tasks: set[asyncio.Task[None]] = set()
        self.running = 0  # jobs that run now

    @property
    def addr(self) -> str:
        """Return its address."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Begin to serve."""
        await serve_http(self.host, self.port, self.handle)

    async def handle(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        """Answer one call."""
        job = headers.get("x-request-id", "")
        if target in ("/-/healthy", "/-/load"):
            return 200, {}, b""
        self.case.note(f"executor {self.name} gets {method}", id=job or target)
        if method == "POST":
            task = asyncio.create_task(self.behave(self, job, headers))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            return 202, {}, b""
        return 200, {}, b""

    async def tell(self, job: str, state: str, **more: object) -> None:
        """Make a call-back, again until it is answered, ten times at most."""
        event = {"id": job, "from": self.name, "state": state, **more}
        for _ in range(10):
            try:
                status, _, _ = await call(self.node, "POST", "/v1/job-events", {}, json.dumps(event).encode())
            except (OSError, TimeoutError):
                status = 0
            if status in (200, 204):
                break
            await asyncio.sleep(0.1)
        self.case.note(f"executor {self.name} tells {state}", id=job, answered=status)


async def run_at_once(executor: PlatformExecutor, job: str, headers: dict[str, str]) -> None:
    """Run a job for a quarter of a second, as the deployment's jobs do."""
    await executor.tell(job, "started")
    executor.running += 1
    await asyncio.sleep(0.25)
    executor.running -= 1
    load = {"eps": 0, "inflight": executor.running, "x0": max(4 - executor.running, 0), "x1": 4}
    await executor.tell(job, "done", result=f"{executor.name} ran {job}", load=load)


class Case:
    """One case: its record, its temporary folder and its processes."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.record = (folder / "record.txt").open("w")
        self.tmp = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.began = time.monotonic()
        self.broken: list[str] = []
        self.note("begins", trouble=int(TROUBLE))

    def note(self, what: str, **values: object) -> None:
        """Write a line of the record."""
        text = " ".join(f"{name}={value}" for name, value in values.items())
        self.record.write(f"{time.monotonic() - self.began:8.3f} {what} {text}\n")
        self.record.flush()

    def breaks(self, text: str) -> None:
        """Note that the rule was broken."""
        self.broken.append(text)
        self.note(f"BROKEN: {text}")

    def start(
        self,
        command: list[str],
        env: dict[str, str] | None = None,
        name: str = "",
        pass_fds: tuple[int, ...] = (),
    ) -> subprocess.Popen[bytes]:
        """Start a process from the root of the repository; its output goes into the temporary folder."""
        with (self.tmp / f"{name or 'process'}-{len(self.processes)}.log").open("wb") as log:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**os.environ, "TMPDIR": str(self.tmp), "PYTHONDONTWRITEBYTECODE": "1", **(env or {})},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=pass_fds,
            )
        self.processes.append(process)
        self.note("starts", name=name, pid=process.pid)
        return process

    def start_node(
        self,
        listen: str,
        discovery: str,
        conf: dict[str, Any],
        known: list[dict[str, Any]],
        operator: str = "",
        name: str = "n1",
        pass_fds: tuple[int, ...] = (),
        **env: str,
    ) -> subprocess.Popen[bytes]:
        """Start a node with the command ``run`` of the deploy file."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        number = len(self.processes)
        path = self.tmp / f"config-{number}.json"
        found = {
            "name": name,
            "listen": listen,
            "discovery": discovery,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"version": 0, "full": True, "servers": known},
            "settings": conf,
        }
        path.write_text(json.dumps(found))
        told = {
            "LB_CONFIG": str(path),
            "LB_NAME": name,
            "LB_LISTEN": listen,
            "LB_DISCOVERY": discovery,
            **env,
        }
        if operator:
            (self.tmp / f"operator-{number}.toml").write_text(operator)
            told["LB_OPERATOR"] = str(self.tmp / f"operator-{number}.toml")
        return self.start(["/bin/sh", "-c", run], told, name, pass_fds)

    async def until_ready(self, listen: str) -> None:
        """Wait until a node is ready. Raises ``TimeoutError``."""
        async with asyncio.timeout(30):
            while True:
                try:
                    if (await call(listen, "GET", "/-/ready"))[0] == 200:
                        break
                except OSError:
                    pass
                await asyncio.sleep(0.05)
        self.note("is ready", at=listen)

    def end(self) -> None:
        """End all processes that the case started."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print(self.tmp)
        else:
            shutil.rmtree(self.tmp, ignore_errors=True)


def main(folder: str, play: Callable[[Case], Awaitable[None]]) -> None:
    """Play a case; exit with 3 if the rule was broken, 0 if it held, 2 if the case could not run.

    ``run.sh`` makes 1 of 3, and 2 of every other status: Python ends with 1 where it fails by itself.
    """
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))  # the processes are ended all the same
    case = Case(Path(folder).resolve().parent)

    async def limited() -> None:
        async with asyncio.timeout(110):
            await play(case)

    status = 2
    try:
        asyncio.run(limited())
        status = 3 if case.broken else 0
    finally:
        case.end()
        case.note("ends", status=status, error=repr(sys.exc_info()[1]))
        print("\n".join(case.broken) or ("held" if status == 0 else repr(sys.exc_info()[1])))
        sys.exit(status)
