"""Incident: requests went to draining servers for a second and more after a node counted as notified.

Seen: several new configurations in a row moved discovery; soon after, three servers began to drain. One node
of six sent to them until it had the list, more than a second after the grace of 0.5 s was over.
How it came about: an answer of the new discovery never arrived whole. The next call came too late, and
meanwhile the node used the list it had.
Cause: the moment by which the list had to be there was only used to plan calls; no send ever looked at it.
An answer of the former discovery even lifted it.
Proof: whole processes over loopback, with a discovery that loses answers; each case fails without the repair.
"""

from __future__ import annotations

import json
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import pytest
import trio

from merlinbay.http.connection import Request, Response
from tests.net import LOAD_REPORT, FakeServer, NodeFixture, node_fixture, run_scenario

NOTIFIED_S = 4.0  # after a new configuration, what its discovery has counts as told
GRACE_S = 0.55  # with the rules' 50 ms for time limits
NOTED_S = 0.05  # between a send and its note here
NODES = 6
ME = 3  # the number of one whose call after a failure comes late
CALL_S = 0.4  # what a call takes discovery
RUN_S = 0.25  # what a job takes

Answer = Callable[["Directory", int], Awaitable[Response | None]]


@dataclass
class Directory:
    """A discovery at one address, whose answers are played call by call."""

    scene: NodeFixture
    answer: Answer
    calls: int = 0
    stand_in: FakeServer = field(init=False)

    def __post_init__(self) -> None:
        self.stand_in = FakeServer(self.scene, "discovery", self.play)
        self.stand_in.sock.listen(16)
        self.scene.nursery.start_soon(self.stand_in.listen)

    async def play(self, server: FakeServer, request: Request) -> Response | None:
        """Answer one call, the first few as the test wants."""
        self.calls += 1
        return await self.answer(self, self.calls)

    async def listing(self) -> Response:
        """Answer with the whole list of now, in turn."""
        await trio.sleep(CALL_S)
        body = json.dumps({"version": self.scene.version, "full": True, "servers": self.scene.endpoint_rows})
        return Response(200, body.encode())


async def without_news(directory: Directory, call: int) -> Response | None:
    """Answer the first call with the list as it is, and hold the next as long as the node waits."""
    if call > 1:
        await trio.sleep_forever()
    return await directory.listing()


async def silent(directory: Directory, call: int) -> Response | None:
    """Take every call, and never answer."""
    await trio.sleep_forever()
    return None


async def first_answer_lost(directory: Directory, call: int) -> Response | None:
    """Never answer the first call; the connection stays open."""
    if call == 1:
        await trio.sleep_forever()
    return await directory.listing()


async def first_call_fails_late(directory: Directory, call: int) -> Response | None:
    """Fail the first call after a wait in turn."""
    if call == 1:
        await trio.sleep(1.5)
        return Response(503)
    return await directory.listing()


async def takes_a_while(server: FakeServer, request: Request) -> Response | None:
    """Take a job that fills a slot for a while, so that all servers are needed."""
    job = request.headers.get("x-request-id", "")

    async def work() -> None:
        await server.send_event(job, "started")
        await trio.sleep(RUN_S)
        await server.send_event(job, "done", result="x", load=LOAD_REPORT)

    if request.method == "POST":
        server.fixture.nursery.start_soon(work)
    return Response(202)


def drains(server: FakeServer, request: Request) -> bool:
    """Tell whether a server that drains was sent a new job."""
    return request.method == "POST" and server.name != "s-stays"


async def hand_in(scene: NodeFixture, answers: list[int]) -> None:
    """Hand in a job every 50 ms."""
    number = 0
    while True:
        number += 1
        scene.nursery.start_soon(hand_in_one, scene, f"job-{number}", answers)
        await trio.sleep(0.05)


async def hand_in_one(scene: NodeFixture, job: str, answers: list[int]) -> None:
    """Hand in one job, and keep the status of its answer."""
    answers.append((await scene.admit(job, 3000)).status)


async def move(scene: NodeFixture, directory: Directory) -> float:
    """Send the node a new configuration that names another discovery; return when."""
    assert scene.process is not None
    scene.write_configuration(directory.stand_in.addr)
    moved_at = trio.current_time()
    scene.process.send_signal(signal.SIGHUP)
    return moved_at


@pytest.mark.parametrize(
    ("former", "new"),
    [([], silent), ([], first_answer_lost), ([without_news], first_call_fails_late)],
    ids=["silent", "first_answer_lost", "former_discovery_answers"],
)
def test_no_server_that_may_drain_gets_a_job_once_the_list_is_overdue(
    tmp_path: Path, former: list[Answer], new: Answer
) -> None:
    """Whatever becomes of the calls: from the deadline and the grace on, only a new list allows sends."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as at:
            servers = [at.add_server(name, takes_a_while) for name in ("s-1", "s-2", "s-3", "s-stays")]
            await at.start(program=True, balancers=NODES, me=ME)
            answers: list[int] = []
            at.nursery.start_soon(hand_in, at, answers)
            await trio.sleep(0.3)
            for answer in former:
                await move(at, Directory(at, answer))
                await trio.sleep(0.9)
            moved_at = await move(at, directory := Directory(at, new))
            await trio.sleep(0.5)
            for name in ("s-1", "s-2", "s-3"):
                at.update_server(name, state="DRAINING")
            await trio.sleep_until(moved_at + 9.0)
            assert directory.calls > 0
            allowed = moved_at + NOTIFIED_S + GRACE_S + NOTED_S
            late = [
                (server.name, round(seen - moved_at, 2))
                for server in servers
                for seen, request in server.received
                if drains(server, request) and seen > allowed
            ]
            assert not late, late[:5]
            if new is not silent:
                assert answers[-20:].count(200) >= 2, answers[-20:]

    run_scenario(scene)
