"""The four rules and the other requirements of the platform's protocol, tested on real sockets."""

from __future__ import annotations

import contextlib
import time
from pathlib import Path

import pytest
import trio

from merlinbay.decision import Balancer
from merlinbay.decision.actions import Action
from merlinbay.decision.events import Event, RequestReceived
from merlinbay.http.client import ClientConnection
from merlinbay.http.connection import Request, Response
from merlinbay.platform.messages import read_load, read_load_header
from tests.net import (
    CONF,
    LIMITS,
    LOAD_REPORT,
    FakeServer,
    admission_headers,
    completes_job,
    node_fixture,
    run_scenario,
)


async def silent(server: FakeServer, request: Request) -> Response | None:
    """Accept a job and report nothing about it."""
    return Response(202)


async def breaks(server: FakeServer, request: Request) -> Response | None:
    """Break the connection before the 202."""
    return None


async def starts_only(server: FakeServer, request: Request) -> Response | None:
    """Accept and start a job, and never end it."""
    if request.method == "POST":
        server.fixture.nursery.start_soon(server.send_event, request.headers["x-request-id"], "started")
    return Response(202)


async def full(server: FakeServer, request: Request) -> Response | None:
    """Reject a job as not processed."""
    return Response(503, b"", [(b"x-not-processed", b"1")])


def test_rule_1_repeated_and_early_callbacks_give_one_response(tmp_path: Path) -> None:
    """A ``done`` sent ten times, the first before the 202, gives one response; the next job gets its own."""

    async def ends_before_202(server: FakeServer, request: Request) -> Response | None:
        job = request.headers["x-request-id"]
        for _ in range(10):
            assert await server.send_event(job, "done", result=f"of {job}") == 200
        return Response(202)

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            node.add_server("s-1", ends_before_202)
            await node.start()
            client = await ClientConnection.connect(f"127.0.0.2:{node.port}", LIMITS)
            for job in ("a1", "a2"):
                reply = await client.exchange("POST", "/admit", admission_headers(job), b"x")
                assert (reply.status, reply.body) == (200, f"of {job}".encode())
            client.close()
            while node.counters.counts["call_backs"] < 20:
                await trio.sleep(0.01)
            await trio.sleep(0.01)
            assert node.counters.counts["answers_served"] == 2
            assert node.counters.counts["attempts_stale"] == 18

    run_scenario(scenario)


def test_rule_1_response_comes_before_the_client_deadline(tmp_path: Path) -> None:
    """A job that no server ends fails before the client's deadline, and is deleted on its server."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            servers = [node.add_server("s-1", starts_only), node.add_server("s-2", starts_only)]
            await node.start()
            began = trio.current_time()
            assert (await node.admit("a1", 600)).status == 500
            assert 0.5 < trio.current_time() - began < 0.65  # the rule allows 50 ms
            await trio.sleep(0.1)
            assert [target for server in servers for target in server.targets("DELETE")] == ["/jobs/a1"]

    run_scenario(scenario)


def test_rule_2_retries_stay_in_the_cell_and_are_not_rejected(tmp_path: Path) -> None:
    """A job may have run after a reset. Its retry stays in the cell, and its failure is not a 503."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            cells = {
                0: [node.add_server("s-1", breaks), node.add_server("s-2", breaks)],
                1: [node.add_server("s-3", breaks, cell=1)],
            }
            await node.start()
            reply = await node.admit("a1")
            used_cells = [
                cell for cell, servers in cells.items() if any(server.received for server in servers)
            ]
            assert (reply.status, len(used_cells)) == (500, 1)
            assert all(len(server.received) <= 1 for servers in cells.values() for server in servers)

    run_scenario(scenario)


def test_rule_2_unprocessed_request_is_retried_elsewhere_or_rejected(tmp_path: Path) -> None:
    """A job that never ran may be rejected, which must be at once and with a ``Retry-After``."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            servers = [node.add_server("s-1", full), node.add_server("s-2", full, cell=1)]
            await node.start()
            began = trio.current_time()
            reply = await node.admit("a1")
            assert (reply.status, trio.current_time() - began < 0.5) == (503, True)
            assert 0 < float(reply.headers["retry-after"]) <= 2
            assert 1 <= sum(len(server.received) for server in servers) <= 2

    run_scenario(scenario)


def test_request_that_servers_reject_ejects_no_server(tmp_path: Path) -> None:
    """A job that servers reject with 400 is sent once and fails at once. Later jobs reach all servers."""

    async def picky(server: FakeServer, request: Request) -> Response | None:
        bad = request.headers.get("x-request-id", "").startswith("bad")
        return Response(400) if bad else await completes_job(server, request)

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            servers = [node.add_server(f"s-{number}", picky) for number in range(3)]
            # Hedging is off: a hedge goes out after 15 ms, which would be a second send of a slow response.
            await node.start(limits={**CONF["limits"], "secondCopies": False})
            for number in range(12):
                before = sum(len(server.targets()) for server in servers)
                assert (await node.admit(f"bad{number}")).status == 500
                assert sum(len(server.targets()) for server in servers) == before + 1
            async with trio.open_nursery() as nursery:
                for number in range(6):
                    nursery.start_soon(node.admit, f"a{number}")
            assert node.counters.counts["answers_served"] == 6
            assert all(
                any(sent.headers.get("x-request-id", "").startswith("a") for _, sent in server.received)
                for server in servers
            )

    run_scenario(scenario)


@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_rule_3_no_dispatch_to_a_draining_or_removed_server(tmp_path: Path, state: str) -> None:
    """From 500 ms after the node was notified, all jobs go to the other server."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            leaving, staying = node.add_server("s-1"), node.add_server("s-2")
            await node.start()
            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(node.admit, f"a{number}")
            assert leaving.received
            node.update_server("s-1", state=state)
            await trio.sleep(0.5)
            before = len(leaving.targets())
            for number in range(8):
                assert (await node.admit(f"b{number}")).status == 200
            assert (len(leaving.targets()), len(staying.targets()) >= 8) == (before, True)

    run_scenario(scenario)


def test_rule_4_cold_server_gets_no_burst(tmp_path: Path) -> None:
    """In a burst in the second after its start, a server gets far fewer jobs than a warm server."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            warm = node.add_server("s-1", silent)
            await node.start()
            cold = node.add_server("s-2", silent, started_ms=int(time.time() * 1000))
            node.update_server("s-2")
            await trio.sleep(0.3)
            async with trio.open_nursery() as nursery:
                for number in range(40):
                    nursery.start_soon(node.admit, f"a{number}", 400)
            # The limit is 3 times its capacity for 2 s: with 31 % of 4 slots, about 7 jobs of one second.
            assert warm.received and len(cold.targets()) <= 7

    run_scenario(scenario)


def test_client_disconnect_cancels_its_request(tmp_path: Path) -> None:
    """The job is deleted on the server that runs it, and is counted as withdrawn."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            server = node.add_server("s-1", starts_only)
            await node.start()
            with trio.move_on_after(0.2):
                await node.admit("a1")
            await trio.sleep(0.2)
            assert server.targets("DELETE") == ["/jobs/a1"]
            assert node.counters.counts["requests_withdrawn"] == 1

    run_scenario(scenario)


def test_server_that_refuses_connections_is_skipped(tmp_path: Path) -> None:
    """A job whose connect failed never ran, so it goes to the next server."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            node.add_server("s-1")
            node.endpoint_rows.append({**node.endpoint_rows[0], "id": "s-0", "addr": "127.0.0.1:1"})
            await node.start()
            assert [(await node.admit(f"a{n}")).status for n in range(6)] == [200] * 6

    run_scenario(scenario)


def test_unreachable_server_fails_no_request_and_gets_few_connects(tmp_path: Path) -> None:
    """All jobs are served elsewhere. After a failed connect, the server is skipped for a while."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            node.add_server("s-1")
            node.endpoint_rows.append({**node.endpoint_rows[0], "id": "s-0", "addr": "127.0.0.1:1"})
            await node.start(balancers=40)
            await node.admit("a0")
            assert [(await node.admit(f"b{number}")).status for number in range(12)] == [200] * 12
            counts = node.counters.counts
            assert 0 < counts["dials_refused"] == counts["attempts_connect_failed"] <= 3

    run_scenario(scenario)


@pytest.mark.parametrize("bad", [{"state": "NEW"}, {"addr": ""}])
def test_malformed_entry_and_zero_balancers_leave_the_node_serving(
    bad: dict[str, str], tmp_path: Path
) -> None:
    """A malformed entry gets no jobs and is counted, and the others serve. 0 balancers are read as 1."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            node.add_server("s-1")
            node.endpoint_rows.append({**node.endpoint_rows[0], "id": "s-0", **bad})
            await node.start(balancers=0)
            node.update_server("s-1", weight=2.0)
            with trio.fail_after(5):
                while not node.counters.counts["entries_odd"]:
                    await trio.sleep(0.02)
            for n in range(4):
                assert (await node.admit(f"a{n}")).body == f"s-1:a{n}".encode()

    run_scenario(scenario)


def test_server_connections_are_reused(tmp_path: Path) -> None:
    """The 202 frees the connection, so jobs one after the other, each after the pause, need only one."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            server = node.add_server("s-1")
            await node.start()
            for number in range(10):
                assert (await node.admit(f"a{number}")).status == 200
                await trio.sleep(1.2 * LIMITS.pool_reuse_pause_s)
            assert len(server.connections) == 1

    run_scenario(scenario)


def test_pooled_connection_closed_by_the_server_is_not_reused(tmp_path: Path) -> None:
    """A request on a closed connection ends as a reset and may have run, so a new one must be opened."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            server = node.add_server("s-1")
            await node.start()
            assert (await node.admit("a1")).status == 200
            assert server.last_connection is not None
            server.last_connection.scope.cancel()
            await trio.sleep(0.05)
            assert (await node.admit("a2")).status == 200
            assert node.counters.counts["attempts_reset"] == 0
            assert node.counters.counts["server_connections"] == 2

    run_scenario(scenario)


def test_malformed_load_report_is_ignored(tmp_path: Path) -> None:
    """A ``done`` counts although its load report has values of the wrong types."""

    async def reports_nonsense(server: FakeServer, request: Request) -> Response | None:
        assert await server.send_event("a1", "done", result="x", load={"x0": None, "x1": "many"}) == 200
        return Response(202)

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            node.add_server("s-1", reports_nonsense)
            await node.start()
            assert (await node.admit("a1")).status == 200

    run_scenario(scenario)


def test_request_is_forwarded_unchanged(tmp_path: Path) -> None:
    """Target, body, id and key are as the client sent them; the timeout is the remaining time."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            server = node.add_server("s-1")
            await node.start()
            await node.admit("a1", 2000)
            sent = server.received[0][1]
            assert (sent.method, sent.target, sent.body) == ("POST", "/admit?x=1", b"seat")
            assert (sent.headers["x-request-id"], sent.headers["idempotency-key"]) == ("a1", "key-a1")
            assert 1500 < int(sent.headers["x-timeout-ms"]) <= 2000

    run_scenario(scenario)


def test_failed_discovery_poll_is_repeated(tmp_path: Path) -> None:
    """The node serves by the remembered list, and applies the change once discovery responds again."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            node.add_server("s-1")
            down = True

            async def flaky(server: FakeServer, request: Request) -> Response | None:
                return (
                    Response(503)
                    if down
                    else Response(
                        200,
                        (
                            b'{"version":9,"full":true,"servers":[{"id":"s-9","addr":"'
                            + new_server.addr.encode()
                            + b'","zone":"hall-a","kind":"k"}]}'
                        ),
                    )
                )

            node.discovery = flaky  # type: ignore[method-assign]
            await node.start()
            assert (await node.admit("a1")).status == 200
            new_server = FakeServer(node, "s-9", completes_job)
            node.nursery.start_soon(new_server.listen)
            down = False
            await trio.sleep(1.8)
            assert (await node.admit("a2")).body == b"s-9:a2"

    run_scenario(scenario)


HEAD = b"POST /admit HTTP/1.1\r\nHost: x\r\n"
JOB = HEAD + b"X-Request-ID: 1\r\nX-Timeout-Ms: 900\r\nIdempotency-Key: k\r\n"
HIDDEN = JOB.replace(b"ID: 1", b"ID: 2") + b"Content-Length: 0\r\n\r\n"
RAW = [
    (b"nonsense\r\n\r\n", 400),
    (HEAD + b"Content-Length: zz\r\n\r\n", 400),
    (HEAD + b"Content-Length: -5\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 70000 + b"\r\n\r\n", 431),
    (JOB + b"Content-Length: 60000000\r\n\r\n", 413),  # at once, although no byte of the body has arrived
    (JOB + b"Transfer-Encoding: chunked\r\n\r\n11000\r\n" + b"a" * 70000, 413),
    (JOB + b"Content-Length: 300\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + HIDDEN, 400),
    (JOB + b"X-Request-ID: 7\r\nContent-Length: 0\r\n\r\n", 400),
    (JOB.replace(b"Key: k", b"Key: caf\xe9") + b"Content-Length: 0\r\n\r\n", 400),
    (HEAD + b"Content-Length: 0\r\n\r\n", 400),
    (HEAD + b"X-Request-ID: 1\r\nX-Timeout-Ms: soon\r\nContent-Length: 0\r\n\r\n", 400),
    (b"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n{", 400),
    (b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", 404),
    (b"POST /nowhere HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 404),
    (b"HEAD /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", 200),
    (b"GET /admit HTTP/1.1\r\nHost: x\r\n\r\n", 405),
    (b"GET /-/nothing HTTP/1.1\r\nHost: x\r\n\r\n", 404),
    (b"GET /drmaa2/jobs/x HTTP/1.1\r\nHost: x\r\n\r\n", 404),
]


def test_bad_input_ends_only_its_own_connection(tmp_path: Path) -> None:
    """Each bad request gets its status and reaches no server, and the node still serves."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            server = node.add_server("s-1")
            await node.start()
            for data, status in RAW:
                stream = await trio.open_tcp_stream("127.0.0.2", node.port)
                try:
                    await stream.send_all(data)
                    answer = await stream.receive_some(100)
                except trio.BrokenResourceError:
                    answer = b""
                await stream.aclose()
                assert answer[9:12] == str(status).encode(), data[:60]
            assert (await node.admit("a1")).status == 200
            assert [request.headers["x-request-id"] for _, request in server.received] == ["a1"]

    run_scenario(scenario)


@pytest.mark.parametrize("said", [b"", b"POST /admit HTTP/1.1\r\nHost: x\r\nA: "])
def test_silent_and_slow_clients_are_closed_in_time(tmp_path: Path, said: bytes) -> None:
    """They are closed within 3 s of connecting, however often another byte of an endless head arrives."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            await node.start()
            stream = await trio.open_tcp_stream("127.0.0.2", node.port)
            with trio.fail_after(2.9):
                await stream.send_all(said)
                while True:
                    try:
                        with trio.move_on_after(0.1):
                            assert await stream.receive_some(100) == b""
                            break
                        await stream.send_all(said and b"a")
                    except trio.BrokenResourceError:
                        break

    run_scenario(scenario)


@pytest.mark.parametrize(
    "said",
    [
        b"",
        b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n",
        b"POST /admit HTTP/1.1\r\n",
        b"POST /admit HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n12",
    ],
)
def test_idle_clients_do_not_crowd_out_usual_ones(tmp_path: Path, said: bytes) -> None:
    """With more such connections than are allowed, a usual client's kept and new connections are served."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            node.sockets = 64  # 17 client connections
            node.add_server("s-1")
            await node.start()
            kept = await ClientConnection.connect(f"127.0.0.2:{node.port}", LIMITS)
            assert (await kept.exchange("POST", "/admit", admission_headers("a1"), b"x")).status == 200
            silent_ones = [await trio.open_tcp_stream("127.0.0.2", node.port) for _ in range(80)]
            for stream in silent_ones:
                with contextlib.suppress(trio.BrokenResourceError):
                    await stream.send_all(said)
            with trio.fail_after(1):
                for number in range(5):
                    assert (await node.admit(f"b{number}")).status == 200
            assert (await kept.exchange("POST", "/admit", admission_headers("a3"), b"x")).status == 200
            for stream in silent_ones:
                await stream.aclose()

    run_scenario(scenario)


def test_callbacks_arrive_while_requests_hold_all_their_connections(tmp_path: Path) -> None:
    """With few descriptors, jobs beyond the limit are rejected at once, and the others still end.

    If requests held every client connection, no call-back could arrive to end them.
    """

    async def slow(server: FakeServer, request: Request) -> Response | None:
        async def work() -> None:
            await server.send_event(request.headers["x-request-id"], "started")
            await trio.sleep(0.5)
            await server.send_event(request.headers["x-request-id"], "done", result="x", load={"x0": 90})

        if request.method == "POST":
            server.fixture.nursery.start_soon(work)
        return Response(202)

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            node.sockets = 64  # 17 client connections, 12 requests
            for number in range(20):
                node.add_server(f"s-{number}", slow)
            await node.start()
            statuses: list[int] = []

            async def submit(job: str) -> None:
                statuses.append((await node.admit(job)).status)

            async with trio.open_nursery() as nursery:
                for number in range(16):
                    nursery.start_soon(submit, f"a{number}")
            assert sorted(statuses) == [200] * 12 + [503] * 4

    run_scenario(scenario)


def test_decision_module_failure_leaves_no_request_unanswered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The exception is counted, the request fails at its deadline, and the node still serves."""
    handle = Balancer.handle

    def failing(self: Balancer, now_us: int, events: list[Event]) -> list[Action]:
        if any(isinstance(event, RequestReceived) and event.budget_us < 400_000 for event in events):
            raise RuntimeError("a fault injected by the test")
        return handle(self, now_us, events)

    async def scenario() -> None:
        monkeypatch.setattr(Balancer, "handle", failing)
        async with node_fixture(tmp_path) as node:
            node.add_server("s-1")
            await node.start()
            began = trio.current_time()
            assert (await node.admit("a1", 300)).status == 500
            assert trio.current_time() - began < 0.35
            assert (await node.admit("a2")).status == 200
            assert node.counters.counts["module_errors"] == 1

    run_scenario(scenario)


def test_load_report_formats_are_read(tmp_path: Path) -> None:
    """Load reports in a ``done`` and in the header of a 503 are read under the names of the settings."""
    assert read_load(dict(LOAD_REPORT)) == {"active": 0.0, "x0": 4.0, "x1": 4.0, "err_rps": 0.0}
    assert read_load_header("inflight=7,queue=2,util=0.61,bad,eps=x") == {
        "active": 7.0,
        "waiting": 2.0,
        "cpu": 0.61,
    }
    assert read_load_header("") is None
