"""Two DNS-SD records name one host: the scheduler there is sent a job that it already has."""

from __future__ import annotations

import asyncio
import random
import secrets

from review.dns2 import SERVICE, NameServer
from review.lib2 import TROUBLE, Case, call, free_port, main, settings
from review.scheduler2 import Scheduler

HOSTS = 5
LENGTH_S = 20.0
GAP_S = 0.018  # in the mean: 0.7 of what the schedulers can do
SEED = 1


async def one(case: Case, node: str) -> None:
    """Send one job by the platform's protocol."""
    job = secrets.token_hex(8)
    headers = {
        "X-Request-ID": job,
        "X-Priority-Class": "admit",
        "X-Timeout-Ms": "5000",
        "Idempotency-Key": secrets.token_hex(16),
        "X-Attrs": "slots=1,memory=0.5",
    }
    try:
        status, _, _ = await call(node, "POST", "/admit", headers, b"caller")
    except OSError:
        status = 0
    case.note("client is answered", id=job, status=status)


async def play(case: Case) -> None:
    """Play the case."""
    names = NameServer(case)
    await names.start()
    node = f"127.0.0.1:{free_port('127.0.0.1')}"
    schedulers = [Scheduler(case, f"bridge-{number}") for number in range(1, HOSTS + 1)]
    for scheduler in schedulers:
        await scheduler.start()
        host = f"{scheduler.name}.hall-a.example."
        names.add(scheduler.name, host, scheduler.addr, "zone=hall-a", "kind=plain-4", "cell=1")
    if TROUBLE:
        first = schedulers[0]
        names.add(
            "seats", f"{first.name}.hall-a.example.", first.addr, "zone=hall-a", "kind=plain-4", "cell=1"
        )
    operator = f'[drmaa]\nservers = true\n[dnssd]\nnameserver = "{names.addr}"\nservice = "{SERVICE}"\n'
    nowhere = f"127.0.0.1:{free_port('127.0.0.1')}"
    case.start_node(node, nowhere, settings(), [], operator)
    await case.until_ready(node)
    await asyncio.sleep(1)
    draw = random.Random(SEED)
    async with asyncio.TaskGroup() as group:
        for _ in range(int(LENGTH_S / GAP_S)):
            group.create_task(one(case, node))
            await asyncio.sleep(draw.expovariate(1 / GAP_S))
    if not any(scheduler.jobs for scheduler in schedulers):
        raise RuntimeError("no scheduler was sent anything")
    duplicates = sum(scheduler.duplicates for scheduler in schedulers)
    if duplicates:
        case.breaks(f"schedulers were sent {duplicates} jobs that they had, neither ended nor given up")


main(__file__, play)
