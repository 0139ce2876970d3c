"""Nothing is sent on for a client that has closed its connection, however much it left unread."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest
import trio

from tests.net import NodeFixture, node_fixture, run_scenario
from tests.slow_clients import request_head

SEND_BUFFER_BYTES = 4 * 1024 * 1024  # keeps the end of the stream behind bytes that the node has not read
BEHIND = {
    "bytes": b"x" * 400_000,
    "requests": request_head("behind-1", 0) + request_head("behind-2", 0) + b"x" * 400_000,
    "few": b"x" * 1000,
    "nothing": b"",
}


async def write_and_leave(fixture: NodeFixture, data: bytes) -> None:
    """Connect, write and close in one step, before any task of the node runs."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sock.connect(("127.0.0.2", fixture.port))
        sock.setblocking(False)
        assert sock.send(data) == len(data)


# Guards against requests that are sent on after their client has closed its connection with much unread.
@pytest.mark.parametrize("behind", BEHIND.values(), ids=BEHIND.keys())
def test_nothing_is_sent_on_for_a_client_that_has_left(tmp_path: Path, behind: bytes) -> None:
    """The end of the stream is behind bytes that nobody has read yet."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as fixture:
            server = fixture.add_server("s-0")
            await fixture.start()
            for number in range(
                3
            ):  # leaves connections to the server open, on which a request is sent at once
                assert (await fixture.admit(f"stayed-{number}")).status == 200
            await trio.sleep(0.1)
            await write_and_leave(fixture, request_head("left", 0) + behind)
            await trio.sleep(0.5)
            sent = {request.headers.get("x-request-id", "") for _, request in server.received}
            assert {name for name in sent if not name.startswith("stayed")} <= {""}
            assert (await fixture.admit("later")).status == 200

    run_scenario(scenario)
