"""A small scheduler of the binding for the cases of the second review: slots, a queue, notifications."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections import deque
from typing import Any

from review.lib2 import Answer, Case, call_json, free_port, serve_http

SLOTS = 4
RUN_S = 0.25
ids = itertools.count(1)


class Job:
    """One attempt at a scheduler."""

    def __init__(self, call: dict[str, Any]) -> None:
        template = call["jobTemplate"]
        self.name, self.session, self.notify = template["jobName"], call["sessionName"], call["notify"]
        self.key = template["jobEnvironment"]["DRMAA2_REPEAT_KEY"]
        self.id, self.state, self.is_over = str(next(ids)), "QUEUED", False


class Scheduler:
    """A scheduler of the binding: slots, a queue in order, notifications."""

    def __init__(self, case: Case, name: str) -> None:
        self.case, self.name = case, name
        self.addr = f"127.0.0.2:{free_port('127.0.0.2')}"
        self.jobs: dict[str, Job] = {}
        self.queue: deque[Job] = deque()
        self.free = SLOTS
        self.tasks: set[asyncio.Task[None]] = set()
        self.duplicates = 0

    async def start(self) -> None:
        """Begin to serve."""
        host, _, port = self.addr.rpartition(":")
        await serve_http(host, int(port), self.handle)

    async def handle(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        """Answer one call."""
        match [method, *target.strip("/").split("/")[1:]]:
            case ["POST", "jobs"]:
                return self.take(Job(json.loads(body)))
            case ["GET", "jobs", job_id] if job_id in self.jobs:
                return 200, {}, self.info(self.jobs[job_id])
            case ["POST", "jobs", job_id, "terminate"] if job_id in self.jobs:
                job = self.jobs[job_id]
                self.case.note(f"{self.name} is told to terminate", key=job.key, job=job.id, over=job.is_over)
                if job in self.queue:
                    self.queue.remove(job)
                job.is_over = True
                return 200, {}, self.info(job)
        return 404, {}, json.dumps({"exception": "InvalidArgumentException", "message": "unknown"}).encode()

    def take(self, job: Job) -> Answer:
        """Take a job, and see whether it is here already."""
        self.case.note(f"{self.name} gets", key=job.key, record=job.session, job=job.id)
        for other in self.jobs.values():
            if other.key == job.key and not other.is_over:
                self.duplicates += 1
                self.case.note(
                    "duplicate", key=job.key, first=other.session, second=job.session, state=other.state
                )
        self.jobs[job.id] = job
        self.queue.append(job)
        task = asyncio.create_task(self.run_what_fits())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return 201, {}, json.dumps({"jobId": job.id, "jobState": "QUEUED"}).encode()

    async def run_what_fits(self) -> None:
        """Run queued jobs while there are slots."""
        while self.queue and self.free:
            job = self.queue.popleft()
            self.free -= 1
            job.state = "RUNNING"
            await self.tell(job)
            await asyncio.sleep(RUN_S)
            self.free += 1
            if not job.is_over:
                job.is_over, job.state = True, "DONE"
                await self.tell(job)

    def info(self, job: Job) -> bytes:
        """Return a job's JobInfo."""
        return json.dumps({"jobId": job.id, "jobState": job.state, "exitStatus": 0}).encode()

    async def tell(self, job: Job) -> None:
        """Notify of a job's state."""
        note = {
            "event": "NEW_STATE",
            "sessionName": job.session,
            "jobId": job.id,
            "jobName": job.name,
            "jobState": job.state,
            "jobInfo": json.loads(self.info(job)) if job.state == "DONE" else None,
        }
        addr, _, path = job.notify.removeprefix("http://").partition("/")
        for _ in range(10):  # again until it is answered, ten times at most
            try:
                await call_json(addr, "POST", f"/{path}", {k: v for k, v in note.items() if v is not None})
            except (OSError, TimeoutError):
                await asyncio.sleep(0.1)
            else:
                return
