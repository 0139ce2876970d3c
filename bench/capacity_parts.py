"""One measurement of ``bench.capacity`` in a process of its own: ``python -m bench.capacity_parts NAME N``.

Prints the numbers: bytes, or seconds of processor time and how often.
"""

from __future__ import annotations

import itertools
import json
import resource
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import trio

from merlinbay.batch.engine import BatchEngine
from merlinbay.batch.jobs import Backlog, JobSession, Submission
from merlinbay.batch.quota import SessionLimits
from merlinbay.batch.registry import BatchLimits, OfferJob
from merlinbay.clock import Clock
from merlinbay.counters import Counters
from merlinbay.decision import Balancer
from merlinbay.decision.actions import Dispatch
from merlinbay.decision.events import AttemptEnded, EndpointEntry, EndpointsChanged, RequestReceived
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.settings import RequestClass, Settings
from merlinbay.executor.server import Executor
from merlinbay.executor.slots import Slots
from merlinbay.http.connection import Request
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log

BALANCERS = 200  # dispatcher nodes that the decision module is told of
TEAMS = 660  # with sessions, where it is not they that are counted
TEMPLATE_BYTES = 300
JOBS_DECIDED = 4000
JOBS_A_TEAM = 8
TASKS_STARTED = 100
NOW_US = 1_000_000


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize()


def table(entries: int) -> list[float]:
    """Return the bytes that the decision module grows by, with a list and after some jobs."""
    admit = RequestClass("admit", 120_000, 5_000_000, effect="by_key", group="cell", window_us=7_500_000)
    settings = Settings([admit], balancers=BALANCERS, kinds=["k"], tells_start=True)
    before, now_us = resident_bytes(), 0
    module = Balancer(settings, 1, now_us)
    listed = [EndpointEntry(f"w{n}", "z", "k", n // 6, "up", 1.0, 0) for n in range(entries)]
    module.handle(now_us, [EndpointsChanged("all", listed)])
    for number in range(JOBS_DECIDED):
        now_us += 50_000
        actions = module.handle(now_us, [RequestReceived(number, "admit", 5_000_000)])
        for attempt, place in enumerate(one for one in actions if isinstance(one, Dispatch)):
            ended = AttemptEnded(number, attempt, Outcome.OK, 40_000, True, [2.0, 2.0], place.endpoint)
            module.handle(now_us + 40_000, [ended])
    return [resident_bytes() - before]


def sessions_of(teams: int) -> tuple[BatchEngine, list[JobSession]]:
    """Return an engine with a session, and so a quota and a place among the turns, for each team."""
    numbers = itertools.count(1)
    engine = BatchEngine(BatchLimits(sessions=teams), lambda: f"job-{next(numbers)}")
    allowance = SessionLimits(jobs=10**6, size=1 << 40)
    return engine, [engine.create(f"team-{n}", "", allowance, Backlog(), NOW_US) for n in range(teams)]


def waiting(jobs: int) -> list[float]:
    """Return the bytes that the batch engine grows by, with so many jobs that wait."""
    engine, sessions = sessions_of(TEAMS)
    before = resident_bytes()
    for number in range(jobs):
        template = str(number).encode().ljust(TEMPLATE_BYTES, b"x")
        submission = Submission(template, "c", size=TEMPLATE_BYTES, held=True)
        engine.submit(sessions[number % TEAMS], submission, NOW_US)
    return [resident_bytes() - before]


def turns(teams: int) -> list[float]:
    """Return the processor time of jobs from their submission to their end, and how many they were."""
    engine, sessions = sessions_of(teams)
    began, now_us, done = time.process_time(), NOW_US, 0
    for session in sessions * JOBS_A_TEAM:
        engine.submit(session, Submission(b"", "c"), now_us)
    while engine.jobs:
        now_us += 1000
        for effect in engine.take(now_us):
            if isinstance(effect, OfferJob):
                engine.placed(effect.job, "s", now_us)
                engine.started(effect.job, "s", now_us)
                engine.finished(effect.job, b"", now_us)
                done += 1
    return [time.process_time() - began, done]


async def start_tasks(running: int) -> list[float]:
    """Return an executor's own processor time for starts and ends, beside so many tasks, and their number."""
    connection: Any = SimpleNamespace(has_served_request=False)
    with tempfile.TemporaryDirectory() as folder:
        executor = Executor(
            "x", Slots(running + 1), Path(folder), ResourceLimits(), Counters(), Log(1), Clock()
        )

        async def submit(*command: str) -> None:
            template = {"jobName": "t", "remoteCommand": command[0], "args": command[1:]}
            call = {"jobTemplate": template, "sessionName": "s", "notify": ""}
            request = Request("POST", "/drmaa2/jobs", {}, json.dumps(call).encode())
            answer = await executor.request(connection, request)
            assert answer is not None and answer.status == 201

        async with trio.open_nursery() as nursery:
            nursery.start_soon(executor.run)
            await trio.sleep(0.1)
            for _ in range(running):
                await submit("sleep", "600")
            began = time.process_time()
            for _ in range(TASKS_STARTED):
                await submit("true")
                while len(executor.children) > running:
                    await trio.sleep(0.002)
            used = time.process_time() - began
            nursery.cancel_scope.cancel()
    return [used, TASKS_STARTED]


def executor(running: int) -> list[float]:
    """Return what ``start_tasks`` does."""
    return trio.run(start_tasks, running)


PARTS: dict[str, Callable[[int], list[float]]] = {
    "table": table,
    "waiting": waiting,
    "turns": turns,
    "executor": executor,
}

if __name__ == "__main__":
    print(*PARTS[sys.argv[1]](int(sys.argv[2])))
