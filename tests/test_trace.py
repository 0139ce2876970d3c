"""What the log and the counters tell of a request, an attempt and the end of a connection."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
import trio

from merlinbay.http.client import ClientConnection
from tests.net import LIMITS, node_fixture, run_scenario

DEBUG_LOG = '[log]\nformat = "json"\nlevel = "debug"\nlines = 1000\n'


def test_the_debug_log_follows_a_request_by_its_id(tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    """A request, its attempt, its answer and the end of its connection can be told from the log alone."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as fixture:
            fixture.operator = DEBUG_LOG
            fixture.add_server("s-0")
            await fixture.start()
            await fixture.admit("job-1")
            await fixture.admit("job-1")  # its id was used before
            await trio.sleep(0.05)
            assert fixture.counters.counts["edge_closed_client_left"] >= 1

    run_scenario(scenario)
    lines = [json.loads(line) for line in capfd.readouterr().err.splitlines() if line.startswith("{")]
    events = [line["event"] for line in lines if line.get("id") == "job-1"]
    assert events == [
        "request_taken",
        "attempt_sent",
        "attempt_ended",
        "request_answered",
        "request_not_taken",
    ]
    assert any(line["event"] == "connection_closed" for line in lines)


@pytest.mark.parametrize(
    ("sent", "reason"),
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "responded"),
        (b"nonsense\r\n\r\n", "rejected"),
        (b"POST /admit HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n", "expired"),
    ],
)
def test_the_end_of_a_connection_is_counted_by_its_cause(tmp_path: Path, sent: bytes, reason: str) -> None:
    """An answered, a rejected and a slow client each have a counter of their own."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as fixture:
            fixture.add_server("s-0")
            await fixture.start()
            connection = await ClientConnection.connect(f"127.0.0.2:{fixture.port}", LIMITS)
            await connection.sock.send(sent)
            while await connection.sock.recv(1000):
                pass
            connection.close()
            await trio.sleep(0.1)
            assert fixture.counters.counts[f"edge_closed_{reason}"] == 1

    run_scenario(scenario)
