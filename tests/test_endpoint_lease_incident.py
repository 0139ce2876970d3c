"""Incident: a node sent requests to draining servers for more than a second after it counted as notified.

Several new configurations in a row moved discovery, and soon after three servers began to drain. An answer of
the new discovery never arrived whole, and the next poll came too late. Meanwhile one node of six used its old
list, until more than a second after the grace of 0.5 s. The deadline of the list was used only to plan polls
and no send checked it. An answer of the former discovery even lifted it.

The tests run whole processes over loopback, with a discovery that loses answers. Each case fails without the
repair.
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

NOTIFIED_S = 4.0  # time after a new configuration until all that its discovery has counts as notified
GRACE_S = 0.55  # drain grace, with the 50 ms that the rules add to time limits
RECORD_DELAY_S = 0.05  # longest time between a send and its record in the test
NODES = 6
ME = 3  # number of a node whose poll after a failure comes late
POLL_S = 0.4  # time that discovery takes for a poll
RUN_S = 0.25  # run time of a request

Answer = Callable[["FakeDiscovery", int], Awaitable[Response | None]]


@dataclass
class FakeDiscovery:
    """A simulated discovery at one address; the test sets the answer to each poll."""

    fixture: NodeFixture
    answer: Answer
    polls: int = 0
    fake_server: FakeServer = field(init=False)

    def __post_init__(self) -> None:
        self.fake_server = FakeServer(self.fixture, "discovery", self.answer_poll)
        self.fake_server.sock.listen(16)
        self.fixture.nursery.start_soon(self.fake_server.listen)

    async def answer_poll(self, server: FakeServer, request: Request) -> Response | None:
        """Answer one poll as the test sets it."""
        self.polls += 1
        return await self.answer(self, self.polls)

    async def listing(self) -> Response:
        """Return the present complete list, after the time that a poll takes."""
        await trio.sleep(POLL_S)
        body = json.dumps(
            {"version": self.fixture.version, "full": True, "servers": self.fixture.endpoint_rows}
        )
        return Response(200, body.encode())


async def without_changes(discovery: FakeDiscovery, poll: int) -> Response | None:
    """Answer the first poll with the list as it is, and never answer the next ones."""
    if poll > 1:
        await trio.sleep_forever()
    return await discovery.listing()


async def silent(discovery: FakeDiscovery, poll: int) -> Response | None:
    """Accept every poll, and never answer."""
    await trio.sleep_forever()
    return None


async def first_answer_lost(discovery: FakeDiscovery, poll: int) -> Response | None:
    """Never answer the first poll; its connection stays open."""
    if poll == 1:
        await trio.sleep_forever()
    return await discovery.listing()


async def first_poll_fails_late(discovery: FakeDiscovery, poll: int) -> Response | None:
    """Answer the first poll with 503, after it has queued for 1.5 s."""
    if poll == 1:
        await trio.sleep(1.5)
        return Response(503)
    return await discovery.listing()


async def run_request(server: FakeServer, request: Request) -> Response | None:
    """Accept a request that fills a slot for a while, so that all servers are needed."""
    request_id = request.headers.get("x-request-id", "")

    async def work() -> None:
        await server.send_event(request_id, "started")
        await trio.sleep(RUN_S)
        await server.send_event(request_id, "done", result="x", load=LOAD_REPORT)

    if request.method == "POST":
        server.fixture.nursery.start_soon(work)
    return Response(202)


def is_sent_to_draining(server: FakeServer, request: Request) -> bool:
    """Return whether a call is a new request to one of the servers that drain."""
    return request.method == "POST" and server.name != "s-stays"


async def send_requests(fixture: NodeFixture, answers: list[int]) -> None:
    """Send a request every 50 ms."""
    number = 0
    while True:
        number += 1
        fixture.nursery.start_soon(send_request, fixture, f"job-{number}", answers)
        await trio.sleep(0.05)


async def send_request(fixture: NodeFixture, name: str, answers: list[int]) -> None:
    """Send one request, and record the status of its answer."""
    answers.append((await fixture.admit(name, 3000)).status)


async def move_discovery(fixture: NodeFixture, discovery: FakeDiscovery) -> float:
    """Give the node a new configuration that names another discovery; return when."""
    assert fixture.process is not None
    fixture.write_configuration(discovery.fake_server.addr)
    moved_at = trio.current_time()
    fixture.process.send_signal(signal.SIGHUP)
    return moved_at


@pytest.mark.parametrize(
    ("former", "new"),
    [([], silent), ([], first_answer_lost), ([without_changes], first_poll_fails_late)],
    ids=["silent", "first_answer_lost", "former_discovery_answers"],
)
def test_no_draining_server_gets_a_request_once_the_list_is_overdue(
    tmp_path: Path, former: list[Answer], new: Answer
) -> None:
    """After the deadline of the list and the grace, no request may be sent by the old list.

    The polls of the new discovery get no answer, lose the first one, or fail late.
    """

    async def scenario() -> None:
        async with node_fixture(tmp_path) as fixture:
            servers = [fixture.add_server(name, run_request) for name in ("s-1", "s-2", "s-3", "s-stays")]
            await fixture.start(program=True, balancers=NODES, me=ME)
            answers: list[int] = []
            fixture.nursery.start_soon(send_requests, fixture, answers)
            await trio.sleep(0.3)
            for answer in former:
                await move_discovery(fixture, FakeDiscovery(fixture, answer))
                await trio.sleep(0.9)
            moved_at = await move_discovery(fixture, discovery := FakeDiscovery(fixture, new))
            await trio.sleep(0.5)
            for name in ("s-1", "s-2", "s-3"):
                fixture.update_server(name, state="DRAINING")
            await trio.sleep_until(moved_at + 9.0)
            assert discovery.polls > 0
            allowed_until = moved_at + NOTIFIED_S + GRACE_S + RECORD_DELAY_S
            late = [
                (server.name, round(seen_at - moved_at, 2))
                for server in servers
                for seen_at, request in server.received
                if is_sent_to_draining(server, request) and seen_at > allowed_until
            ]
            assert not late, late[:5]
            if new is not silent:
                assert answers[-20:].count(200) >= 2, answers[-20:]

    run_scenario(scenario)
