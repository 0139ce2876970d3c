"""A name server resets one connection over which the node asks for the list of servers."""

from __future__ import annotations

import asyncio
import secrets

from review.dns2 import SERVICE, NameServer
from review.lib2 import TROUBLE, Case, PlatformExecutor, call, free_port, main, settings

NUMBER = 14  # as many as the deployment has
LENGTH_S = 12.0
GAP_S = 0.04


class Clients:
    """Clients that send jobs, and what they were answered."""

    def __init__(self, case: Case, node: str) -> None:
        self.case, self.node = case, node
        self.answers: list[int] = []  # 0: none

    async def send(self) -> None:
        """Send one job."""
        job = secrets.token_hex(8)
        headers = {
            "X-Request-ID": job,
            "X-Priority-Class": "admit",
            "X-Timeout-Ms": "5000",
            "Idempotency-Key": secrets.token_hex(16),
            "X-Attrs": "slots=1,memory=0.5",
        }
        try:
            status, _, body = await call(self.node, "POST", "/admit", headers, b"caller")
        except (OSError, TimeoutError) as error:
            status, body = 0, repr(error).encode()
        self.answers.append(status)
        self.case.note("client is answered", id=job, status=status, body=body[:60])


async def play(case: Case) -> None:
    """Play the case."""
    names = NameServer(case)
    await names.start()
    node = f"127.0.0.1:{free_port('127.0.0.1')}"
    for number in range(1, NUMBER + 1):
        executor = PlatformExecutor(case, f"bridge-box-{number:02}-of-hall-a-midlands-conferencing", node)
        await executor.start()
        host = f"bridge-{number:02}.hall-a.example."
        names.add(executor.name, host, executor.addr, "zone=hall-a", "kind=plain-4", "cell=1")
    operator = f'[dnssd]\nnameserver = "{names.addr}"\nservice = "{SERVICE}"\n'
    nowhere = f"127.0.0.1:{free_port('127.0.0.1')}"
    process = case.start_node(node, nowhere, settings(), [], operator)
    await case.until_ready(node)
    await asyncio.sleep(2)
    clients = Clients(case, node)
    async with asyncio.TaskGroup() as group:
        for number in range(int(LENGTH_S / GAP_S)):
            if TROUBLE and number == int(LENGTH_S / GAP_S / 3):
                names.resets = 1
            group.create_task(clients.send())
            await asyncio.sleep(GAP_S)
    if names.resets:
        raise RuntimeError("the node has made no call over TCP")
    if 200 not in clients.answers:
        raise RuntimeError("no request was served")
    if process.poll() is not None:
        case.breaks(f"the node has ended by itself, with status {process.returncode}")
    if unanswered := clients.answers.count(0):
        case.breaks(f"{unanswered} of {len(clients.answers)} requests got no answer")


main(__file__, play)
