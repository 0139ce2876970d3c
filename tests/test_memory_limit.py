"""A node stays within its memory limit, whatever clients and servers send, and still answers usual clients.

Each case plays the program as ``run`` starts it, with a limit of 64 MB and 1,024 descriptors.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

import pytest
import trio

from merlinbay.http.client import ConnectionBrokenError, Reply, RequestNotSentError
from merlinbay.http.connection import Request, Response
from tests import slow_clients
from tests.net import FakeServer, NodeFixture, completes_job, node_fixture, run_scenario
from tests.slow_clients import QUICK, Talk, peak_memory_bytes, talk_for_ever

MEMORY_MB = 64
SOCKETS = 1024
CLIENTS = 500
PLAYED_S = 4.0
USUAL_CLIENTS = 3
USUAL_PAUSE_S = 0.2


async def holds_job(server: FakeServer, request: Request) -> Response | None:
    """Accept a job, and never report its end unless it is a quick one."""
    if request.headers.get("x-request-id", "").startswith(QUICK):
        return await completes_job(server, request)
    return Response(202)


async def usual_client(fixture: NodeFixture, name: str, replies: list[Reply | None]) -> None:
    """Hand in one job after the other, each on a new connection."""
    for number in range(1000):
        try:
            replies.append(await fixture.admit(f"{QUICK}{name}-{number}"))
        except (ConnectionBrokenError, RequestNotSentError):
            replies.append(None)
        await trio.sleep(USUAL_PAUSE_S)


def play(folder: Path, talk: Talk, clients: int = CLIENTS) -> tuple[int, list[Reply | None]]:
    """Play a crowd of clients beside usual ones. Return the peak memory, and the usual clients' replies."""
    peak, replies = 0, list[Reply | None]()

    async def scenario() -> None:
        nonlocal peak
        async with node_fixture(folder) as fixture:
            fixture.memory_mb, fixture.sockets = MEMORY_MB, SOCKETS
            for number in range(4):
                fixture.add_server(f"s-{number}", holds_job)
            await fixture.start(program=True)
            assert fixture.process is not None
            with trio.move_on_after(PLAYED_S):
                async with trio.open_nursery() as nursery:
                    for number in range(clients):
                        nursery.start_soon(talk_for_ever, fixture.port, f"c{number}", talk)
                    for number in range(USUAL_CLIENTS):
                        nursery.start_soon(usual_client, fixture, str(number), replies)
            assert fixture.process.poll() is None, "the node has ended"
            peak = peak_memory_bytes(fixture.process.pid)

    run_scenario(scenario)
    return peak, replies


def check(peak: int, replies: list[Reply | None], are_servers_free: bool = True) -> None:
    """Check the limit, and that usual clients got whole answers, most of them results if servers are free."""
    assert peak < MEMORY_MB * 1024 * 1024, f"{peak / 1024 / 1024:.1f} MiB"
    assert replies and None not in replies
    if not are_servers_free:  # The crowd's own jobs take the servers' slots, so that others may be refused.
        return
    served = sum(reply is not None and reply.status == 200 for reply in replies)
    assert served * 2 > len(replies), f"{served} of {len(replies)} served"


# Guards against memory that grows with the number of fields of heads, which stay until the next request.
@pytest.mark.parametrize("talk", [slow_clients.many_fields, slow_clients.many_fields_answered])
def test_heads_of_many_fields_stay_within_the_memory_limit(tmp_path: Path, talk: Talk) -> None:
    """Hundreds of clients send heads of some thousand short fields."""
    check(*play(tmp_path, talk))


# Guards against memory that is bounded for each connection, and not for all of them together.
@pytest.mark.parametrize(
    "talk",
    [
        slow_clients.half_body,
        slow_clients.slow_body,
        slow_clients.bytes_behind,
        slow_clients.large_callbacks,
    ],
)
def test_unfinished_and_large_messages_stay_within_the_memory_limit(tmp_path: Path, talk: Talk) -> None:
    """Hundreds of clients stop half way, write slowly, send behind a request, or send large call-backs."""
    check(*play(tmp_path, talk), are_servers_free=talk is not slow_clients.bytes_behind)


# Guards against requests that were answered, and are kept until their deadlines.
def test_answered_requests_are_not_kept_until_their_deadlines(tmp_path: Path) -> None:
    """Few clients send large requests one after the other, each with an hour for its answer."""
    check(*play(tmp_path, slow_clients.large_requests, clients=8))


def endless_list(version: int) -> list[dict[str, object]]:
    """Return as many entries as fit into the largest answer."""
    return [{"id": f"made-up-{number}"} for number in range(150_000)]


def ever_new_names(version: int) -> list[dict[str, object]]:
    """Return servers that were never listed, and are gone already."""
    return [
        {"id": f"made-up-{version}-{number}", "addr": "127.0.0.9:1", "started_ms": 1, "state": "DELETED"}
        for number in range(2000)
    ]


# Guards against an answer of discovery, or a series of them, that takes more memory than there is.
@pytest.mark.parametrize("rows", [endless_list, ever_new_names])
def test_made_up_lists_stay_within_the_memory_limit(
    tmp_path: Path, rows: Callable[[int], list[dict[str, object]]]
) -> None:
    """The servers that are listed all the time are used throughout."""
    peak, replies = 0, list[Reply | None]()

    async def scenario() -> None:
        nonlocal peak
        async with node_fixture(tmp_path) as fixture:
            fixture.memory_mb, answers = MEMORY_MB, 0

            async def discovery(server: FakeServer, request: Request) -> Response:
                nonlocal answers
                answers += 1
                listed = fixture.endpoint_rows if "after" not in request.target else rows(answers)
                await trio.sleep(0.02)
                return Response(
                    200, json.dumps({"version": answers, "full": False, "servers": listed}).encode()
                )

            fixture.discovery = discovery  # type: ignore[method-assign]
            fixture.add_server("s-0")
            await fixture.start(program=True)
            assert fixture.process is not None
            with trio.move_on_after(PLAYED_S):
                await usual_client(fixture, "0", replies)
            assert fixture.process.poll() is None, "the node has ended"
            peak = peak_memory_bytes(fixture.process.pid)

    run_scenario(scenario)
    check(peak, replies)


FIELDS_RESPONSE = b"HTTP/1.1 202 Accepted\r\n" + slow_clients.FIELD * 3900
HALF_BODY = b"Content-Length: 65536\r\n\r\n" + b"x" * 60_000
CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 60_000
SERVERS = 100
JOBS = 300


# Guards against memory that servers fill in the ways of slow clients.
@pytest.mark.parametrize(
    "response",
    [FIELDS_RESPONSE + HALF_BODY, b"HTTP/1.1 202 Accepted\r\n" + HALF_BODY, FIELDS_RESPONSE[:23] + CHUNKS],
    ids=["many fields", "half a body", "small chunks"],
)
def test_responses_of_servers_stay_within_the_memory_limit(tmp_path: Path, response: bytes) -> None:
    """Each of a hundred servers begins a response and stays; no client is served, and all are answered."""
    peak, statuses = 0, list[int]()

    async def serve(stream: trio.SocketStream) -> None:
        try:
            await stream.receive_some(10_000)
            await stream.send_all(response)
            await trio.sleep_forever()
        except trio.BrokenResourceError:
            pass

    async def scenario() -> None:
        nonlocal peak
        async with node_fixture(tmp_path) as fixture:
            fixture.memory_mb, fixture.sockets = MEMORY_MB, SOCKETS
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.3")
            fixture.nursery.start_soon(trio.serve_listeners, serve, listeners)
            address = f"127.0.0.3:{listeners[0].socket.getsockname()[1]}"
            fixture.endpoint_rows = [
                {"id": f"s-{number}", "addr": address, "zone": "hall-a", "kind": "k"}
                for number in range(SERVERS)
            ]
            await fixture.start(program=True)

            async def hand_in(number: int) -> None:
                statuses.append((await fixture.admit(f"job-{number}")).status)

            async with trio.open_nursery() as nursery:
                for number in range(JOBS):
                    nursery.start_soon(hand_in, number)
            assert fixture.process is not None and fixture.process.poll() is None
            peak = peak_memory_bytes(fixture.process.pid)

    run_scenario(scenario)
    assert peak < MEMORY_MB * 1024 * 1024, f"{peak / 1024 / 1024:.1f} MiB"
    assert len(statuses) == JOBS
