"""Stand-ins of the submission front's cases: schedulers (the project's own executor) and clients."""

from __future__ import annotations

import asyncio
import base64
import json
from pathlib import Path
from typing import Any

from standins import (
    HOST,
    CannotRunError,
    Case,
    Discovery,
    HttpClient,
    Message,
    Node,
    Process,
    entry,
    free_port,
    request,
)

OPERATOR = """\
[drmaa]
front = true
access.open = true
servers = true

[drmaa.default]
backlog = true
"""


ANSWER_WITHIN_S = 70.0


class Scheduler:
    """One scheduler: the project's own executor in a process of its own."""

    def __init__(self, case: Case, name: str, slots: int) -> None:
        self.case, self.name, self.slots = case, name, slots
        self.addr = f"{HOST}:{free_port()}"
        self.process: Process | None = None
        self.starts = 0

    def start(self) -> None:
        """Start the process."""
        self.starts += 1
        port = self.addr.rpartition(":")[2]
        command = (
            f"exec .venv/bin/python -B review/scheduler.py {self.name} {port} {self.slots} {self.case.folder}"
        )
        environment = {"PYTHONPATH": "."}
        self.process = self.case.start(f"{self.name}-{self.starts}", command, environment)

    async def wait(self) -> None:
        """Wait until it answers."""
        client = HttpClient(self.addr)
        for _ in range(100):
            if isinstance(await client.exchange(request("GET", "/drmaa2/jobs/none"), 1.0), Message):
                client.close()
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} does not answer")


class DrmaaClient:
    """A client of the submission front."""

    def __init__(self, case: Case, name: str, node: Node) -> None:
        self.record, self.name, self.node = case.record, name, node

    async def call(self, method: str, path: str, value: Any, timeout_s: float) -> tuple[int, dict[str, Any]]:
        """Make one call; return status and answer."""
        body = b"" if value is None else json.dumps(value).encode()
        headers = {"Content-Type": "application/json"}
        answer = await HttpClient(self.node.addr).exchange(request(method, path, body, headers), timeout_s)
        if not isinstance(answer, Message):
            raise CannotRunError(f"{method} {path}: {answer.value}")
        return answer.status, json.loads(answer.body)

    async def submit(self, script: str, *machines: str) -> str:
        """Submit a job that runs a script at one of these schedulers; return its id."""
        template = {
            "remoteCommand": "/bin/sh",
            "args": ["-c", script],
            "jobCategory": "transcribe",
            "candidateMachines": list(machines),
        }
        status, found = await self.call("POST", "/drmaa2/jobs", {"jobTemplate": template}, 10.0)
        self.record.write(self.name, "submits", script=repr(script), status=status, answer=json.dumps(found))
        if status != 201:
            raise CannotRunError(f"the job was not taken: {status} {found}")
        return str(found["jobId"])

    async def act(self, job: str, verb: str) -> bool:
        """Hold or release a job; return whether that was done."""
        status, found = await self.call("POST", f"/drmaa2/jobs/{job}/{verb}", None, 10.0)
        self.record.write(self.name, verb, job=job, status=status, answer=json.dumps(found))
        return status == 200

    async def wait(self, job: str) -> dict[str, Any]:
        """Wait for the end of a job; return what is told of it, with its output as text."""
        path = f"/drmaa2/jobs/{job}/waitTerminated?timeout={ANSWER_WITHIN_S}"
        status, found = await self.call("GET", path, None, ANSWER_WITHIN_S + 10)
        found["output"] = base64.b64decode(found.get("output", "")).decode()
        self.record.write(self.name, "is_told", job=job, status=status, answer=json.dumps(found))
        return found


async def start(case: Case, discovery: Discovery, slots: dict[str, int]) -> dict[str, Scheduler]:
    """Start schedulers with these numbers of slots, and list them."""
    await discovery.server.start()
    schedulers = {name: Scheduler(case, name, number) for name, number in slots.items()}
    for name, scheduler in schedulers.items():
        scheduler.start()
        discovery.update(name, **entry(name, scheduler.addr))
    for scheduler in schedulers.values():
        await scheduler.wait()
    return schedulers


async def until(path: Path) -> None:
    """Wait until a file is there: a job has started."""
    for _ in range(200):
        if path.exists() and path.read_text().strip():
            return
        await asyncio.sleep(0.05)
    raise CannotRunError(f"no job has written {path.name}")
