"""A traffic jump fills the backlog with batch jobs of which each asks for an amount of memory of its own."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from review.lib2 import TROUBLE, Case, Discovery, call_json, free_port, main, settings
from review.scheduler2 import RUN_S, SLOTS, Scheduler

SCHEDULERS = 4
CAPACITY = SCHEDULERS * SLOTS / RUN_S  # jobs a second
USUAL = CAPACITY * 0.6
JUMP = 2.4  # the pages: 1.4 to 2.5 times the usual
JUMP_S = 8.0  # the pages: 2.4 to 8.7 s
BEFORE_S = 3.0
END_S = 40.0  # far more than the backlog needs
OPERATOR = """
[drmaa]
front = true
access.open = true
servers = true
memory_unit_kib = 1_048_576

[drmaa.default]
backlog = true
"""


class Play:
    """The day: four schedulers, one node, and clients that submit jobs."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.node = f"127.0.0.1:{free_port('127.0.0.1')}"
        self.taken: dict[str, int] = {}  # by job id: the job's number
        self.refused = self.unanswered = 0

    async def submit(self, number: int) -> None:
        """Submit a job; each needs a different amount of memory."""
        template = {
            "remoteCommand": "transcribe",
            "jobCategory": "admit",
            "minPhysMemory": 200_000 + 512 * number,
        }
        try:
            status, found = await call_json(self.node, "POST", "/drmaa2/jobs", {"jobTemplate": template})
        except (OSError, TimeoutError, ValueError) as error:
            status, found = 0, {"error": repr(error)}
        self.case.note("client submits", number=number, status=status, answer=found)
        if status == 201:
            self.taken[found["jobId"]] = number
        elif status == 503:
            self.refused += 1
        else:
            self.unanswered += 1

    async def state_of(self, job: str) -> str:
        """Return what the node says of a job."""
        try:
            status, info = await call_json(self.node, "GET", f"/drmaa2/jobs/{job}")
        except (OSError, TimeoutError) as error:
            return repr(error)
        return str(info.get("jobState", status))

    async def wait_for_ends(self) -> dict[str, str]:
        """Ask for the jobs until all have ended, or the time is over; return the states of the others."""
        left: dict[str, str] = dict.fromkeys(self.taken, "")
        until = time.monotonic() + END_S
        while left and time.monotonic() < until and self.process.poll() is None:
            for job in list(left):
                left[job] = await self.state_of(job)
                if left[job] in ("DONE", "FAILED"):
                    self.case.note("client is told", job=job, number=self.taken[job], state=left.pop(job))
            await asyncio.sleep(1)
        return left

    async def run(self) -> None:
        """Play the day."""
        case, discovery = self.case, Discovery(self.case)
        await discovery.start()
        schedulers: list[Scheduler] = []
        for number in range(1, SCHEDULERS + 1):
            scheduler = Scheduler(case, f"s-{number}")
            await scheduler.start()
            schedulers.append(scheduler)
            discovery.list(scheduler.name, scheduler.addr)
        known: list[dict[str, Any]] = discovery.listing()["servers"]
        self.process = case.start_node(self.node, discovery.addr, settings(), known, OPERATOR)
        await case.until_ready(self.node)
        await asyncio.sleep(1)
        began, number = time.monotonic(), 0
        async with asyncio.TaskGroup() as group:
            while (at_s := time.monotonic() - began) < BEFORE_S + JUMP_S:
                group.create_task(self.submit(number))
                number += 1
                jumps = TROUBLE and at_s >= BEFORE_S
                await asyncio.sleep(1 / (USUAL * JUMP if jumps else USUAL))
        left = await self.wait_for_ends()
        case.note("result", submitted=number, taken=len(self.taken), refused=self.refused, left=len(left))
        if not any(scheduler.jobs for scheduler in schedulers):
            raise RuntimeError("no scheduler was sent anything")
        if self.process.poll() is not None:
            case.breaks(f"the node has ended by itself, with status {self.process.returncode}")
        if left:
            case.breaks(f"{len(left)} of {len(self.taken)} jobs that were taken have no final answer")
        if self.unanswered:
            case.breaks(f"{self.unanswered} submissions were answered by an error of the node, or not at all")


async def play(case: Case) -> None:
    """Play the case."""
    await Play(case).run()


main(__file__, play)
