"""The four rules, and what else the platform's protocol asks, each on real sockets."""

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
    """Take a job and never tell of it again."""
    return Response(202)


async def breaks(server: FakeServer, request: Request) -> Response | None:
    """Break the connection before the 202."""
    return None


async def starts_only(server: FakeServer, request: Request) -> Response | None:
    """Take and start a job, and never end it."""
    if request.method == "POST":
        server.fixture.nursery.start_soon(server.send_event, request.headers["x-request-id"], "started")
    return Response(202)


async def full(server: FakeServer, request: Request) -> Response | None:
    """Turn a job away."""
    return Response(503, b"", [(b"x-not-processed", b"1")])


def test_rule_1_one_answer_though_call_backs_repeat_and_precede_the_202(tmp_path: Path) -> None:
    """A ``done`` told ten times, the first before the 202, is one answer; the next job gets its own."""

    async def tells_early(server: FakeServer, request: Request) -> Response | None:
        job = request.headers["x-request-id"]
        for _ in range(10):
            assert await server.send_event(job, "done", result=f"of {job}") == 200
        return Response(202)

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.add_server("s-1", tells_early)
            await s.start()
            client = await ClientConnection.connect(f"127.0.0.2:{s.port}", LIMITS)
            for job in ("a1", "a2"):
                reply = await client.exchange("POST", "/admit", admission_headers(job), b"x")
                assert (reply.status, reply.body) == (200, f"of {job}".encode())
            client.close()
            while s.counters.counts["call_backs"] < 20:
                await trio.sleep(0.01)
            await trio.sleep(0.01)
            assert s.counters.counts["answers_served"] == 2
            assert s.counters.counts["attempts_stale"] == 18

    run_scenario(scene)


def test_rule_1_an_answer_comes_before_the_client_gives_up(tmp_path: Path) -> None:
    """A job that no real server ends fails in time, and is deleted there."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            servers = [s.add_server("s-1", starts_only), s.add_server("s-2", starts_only)]
            await s.start()
            began = trio.current_time()
            assert (await s.admit("a1", 600)).status == 500
            assert 0.5 < trio.current_time() - began < 0.65  # 50 ms are the rule's slack
            await trio.sleep(0.1)
            assert [t for server in servers for t in server.targets("DELETE")] == ["/jobs/a1"]

    run_scenario(scene)


def test_rule_2_repeats_stay_in_the_cell_and_are_not_refused(tmp_path: Path) -> None:
    """After a reset it may have run: the second goes to the same cell, and the end is no refusal."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            cells = {
                0: [s.add_server("s-1", breaks), s.add_server("s-2", breaks)],
                1: [s.add_server("s-3", breaks, cell=1)],
            }
            await s.start()
            reply = await s.admit("a1")
            used = [cell for cell, servers in cells.items() if any(server.received for server in servers)]
            assert (reply.status, len(used)) == (500, 1)
            assert all(len(server.received) <= 1 for servers in cells.values() for server in servers)

    run_scenario(scene)


def test_rule_2_a_handed_back_job_goes_elsewhere_or_is_refused(tmp_path: Path) -> None:
    """What never ran may be refused, at once and with the time to come back."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            servers = [s.add_server("s-1", full), s.add_server("s-2", full, cell=1)]
            await s.start()
            began = trio.current_time()
            reply = await s.admit("a1")
            assert (reply.status, trio.current_time() - began < 0.5) == (503, True)
            assert 0 < float(reply.headers["retry-after"]) <= 2
            assert 1 <= sum(len(server.received) for server in servers) <= 2

    run_scenario(scene)


def test_a_job_that_servers_cannot_use_costs_others_nothing(tmp_path: Path) -> None:
    """It is sent once, fails at once, and leaves no server out: the next jobs find all of them."""

    async def picky(server: FakeServer, request: Request) -> Response | None:
        bad = request.headers.get("x-request-id", "").startswith("bad")
        return Response(400) if bad else await completes_job(server, request)

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            servers = [s.add_server(f"s-{number}", picky) for number in range(3)]
            # Without it a hedge goes out after 15 ms, a second send wherever the answer is that late.
            await s.start(limits={**CONF["limits"], "secondCopies": False})
            for number in range(12):
                before = sum(len(server.targets()) for server in servers)
                assert (await s.admit(f"bad{number}")).status == 500
                assert sum(len(server.targets()) for server in servers) == before + 1
            async with trio.open_nursery() as nursery:
                for number in range(6):
                    nursery.start_soon(s.admit, f"a{number}")
            assert s.counters.counts["answers_served"] == 6
            assert all(
                any(r.headers.get("x-request-id", "").startswith("a") for _, r in server.received)
                for server in servers
            )

    run_scenario(scene)


@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_rule_3_nothing_new_to_a_draining_or_gone_server(tmp_path: Path, state: str) -> None:
    """500 ms after the node was told, all jobs go to the other server."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            leaving, staying = s.add_server("s-1"), s.add_server("s-2")
            await s.start()
            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(s.admit, f"a{number}")
            assert leaving.received
            s.update_server("s-1", state=state)
            await trio.sleep(0.5)
            before = len(leaving.targets())
            for number in range(8):
                assert (await s.admit(f"b{number}")).status == 200
            assert (len(leaving.targets()), len(staying.targets()) >= 8) == (before, True)

    run_scenario(scene)


def test_rule_4_a_cold_server_gets_no_burst(tmp_path: Path) -> None:
    """Of a burst in the second after its start, a server gets far fewer jobs than a warm one."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            warm = s.add_server("s-1", silent)
            await s.start()
            cold = s.add_server("s-2", silent, started_ms=int(time.time() * 1000))
            s.update_server("s-2")
            await trio.sleep(0.3)
            async with trio.open_nursery() as nursery:
                for number in range(40):
                    nursery.start_soon(s.admit, f"a{number}", 400)
            # 3 times its capacity for 2 s is the budget: at 31 % of 4 slots, some 7 jobs of a second
            assert warm.received and len(cold.targets()) <= 7

    run_scenario(scene)


def test_a_client_that_hangs_up_withdraws_its_job(tmp_path: Path) -> None:
    """The job is deleted where it runs, and the node serves on."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            server = s.add_server("s-1", starts_only)
            await s.start()
            with trio.move_on_after(0.2):
                await s.admit("a1")
            await trio.sleep(0.2)
            assert server.targets("DELETE") == ["/jobs/a1"]
            assert s.counters.counts["requests_withdrawn"] == 1

    run_scenario(scene)


def test_a_server_that_refuses_connections_is_passed_over(tmp_path: Path) -> None:
    """A dial that fails never ran anywhere: the job goes to the next server."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.add_server("s-1")
            s.endpoint_rows.append({**s.endpoint_rows[0], "id": "s-0", "addr": "127.0.0.1:1"})
            await s.start()
            assert [(await s.admit(f"a{n}")).status for n in range(6)] == [200] * 6

    run_scenario(scene)


def test_a_server_without_connections_left_costs_no_job_and_few_dials(tmp_path: Path) -> None:
    """Jobs in turn are served elsewhere; once a dial failed there, it is left out for a while."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.add_server("s-1")
            s.endpoint_rows.append({**s.endpoint_rows[0], "id": "s-0", "addr": "127.0.0.1:1"})
            await s.start(balancers=40)
            await s.admit("a0")
            assert [(await s.admit(f"b{number}")).status for number in range(12)] == [200] * 12
            counts = s.counters.counts
            assert 0 < counts["dials_refused"] == counts["attempts_connect_failed"] <= 3

    run_scenario(scene)


@pytest.mark.parametrize("bad", [{"state": "NEW"}, {"addr": ""}])
def test_an_odd_list_and_a_count_of_none_leave_the_node_serving(bad: dict[str, str], tmp_path: Path) -> None:
    """The entry gets nothing, the others do, and the counter tells; 0 balancers are read as one."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.add_server("s-1")
            s.endpoint_rows.append({**s.endpoint_rows[0], "id": "s-0", **bad})
            await s.start(balancers=0)
            s.update_server("s-1", weight=2.0)
            with trio.fail_after(5):
                while not s.counters.counts["entries_odd"]:
                    await trio.sleep(0.02)
            for n in range(4):
                assert (await s.admit(f"a{n}")).body == f"s-1:a{n}".encode()

    run_scenario(scene)


def test_connections_to_servers_are_used_again(tmp_path: Path) -> None:
    """The 202 frees the connection, so jobs in turn need one: each comes once it has rested."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            server = s.add_server("s-1")
            await s.start()
            for number in range(10):
                assert (await s.admit(f"a{number}")).status == 200
                await trio.sleep(1.2 * LIMITS.pool_reuse_pause_s)
            assert len(server.connections) == 1

    run_scenario(scene)


def test_a_pooled_connection_that_the_server_closed_is_not_written_to(tmp_path: Path) -> None:
    """A request on it would end as a reset, which may have run: a new connection is opened instead."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            server = s.add_server("s-1")
            await s.start()
            assert (await s.admit("a1")).status == 200
            assert server.last_connection is not None
            server.last_connection.scope.cancel()
            await trio.sleep(0.05)
            assert (await s.admit("a2")).status == 200
            assert s.counters.counts["attempts_reset"] == 0
            assert s.counters.counts["server_connections"] == 2

    run_scenario(scene)


def test_odd_reports_do_no_harm(tmp_path: Path) -> None:
    """A ``done`` counts though its report makes no sense."""

    async def odd(server: FakeServer, request: Request) -> Response | None:
        assert await server.send_event("a1", "done", result="x", load={"x0": None, "x1": "many"}) == 200
        return Response(202)

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.add_server("s-1", odd)
            await s.start()
            assert (await s.admit("a1")).status == 200

    run_scenario(scene)


def test_the_request_passes_on_unchanged(tmp_path: Path) -> None:
    """Target, body, id and key are as the client sent them; the time-out is what is left."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            server = s.add_server("s-1")
            await s.start()
            await s.admit("a1", 2000)
            sent = server.received[0][1]
            assert (sent.method, sent.target, sent.body) == ("POST", "/admit?x=1", b"seat")
            assert (sent.headers["x-request-id"], sent.headers["idempotency-key"]) == ("a1", "key-a1")
            assert 1500 < int(sent.headers["x-timeout-ms"]) <= 2000

    run_scenario(scene)


def test_discovery_that_fails_is_asked_again(tmp_path: Path) -> None:
    """The remembered list serves meanwhile; the change is heard once discovery is back."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.add_server("s-1")
            down = True

            async def flaky(server: FakeServer, request: Request) -> Response | None:
                return (
                    Response(503)
                    if down
                    else Response(
                        200,
                        (
                            b'{"version":9,"full":true,"servers":[{"id":"s-9","addr":"'
                            + other.addr.encode()
                            + b'","zone":"hall-a","kind":"k"}]}'
                        ),
                    )
                )

            s.discovery = flaky  # type: ignore[method-assign]
            await s.start()
            assert (await s.admit("a1")).status == 200
            other = FakeServer(s, "s-9", completes_job)
            s.nursery.start_soon(other.listen)
            down = False
            await trio.sleep(1.8)
            assert (await s.admit("a2")).body == b"s-9:a2"

    run_scenario(scene)


HEAD = b"POST /admit HTTP/1.1\r\nHost: x\r\n"
JOB = HEAD + b"X-Request-ID: 1\r\nX-Timeout-Ms: 900\r\nIdempotency-Key: k\r\n"
HIDDEN = JOB.replace(b"ID: 1", b"ID: 2") + b"Content-Length: 0\r\n\r\n"
RAW = [
    (b"nonsense\r\n\r\n", 400),
    (HEAD + b"Content-Length: zz\r\n\r\n", 400),
    (HEAD + b"Content-Length: -5\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 70000 + b"\r\n\r\n", 431),
    (JOB + b"Content-Length: 60000000\r\n\r\n", 413),  # at once, though no byte of the body has come
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


def test_bad_input_ends_its_own_connection_alone(tmp_path: Path) -> None:
    """Each gets its status, no real server hears of it, and the node serves on."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            server = s.add_server("s-1")
            await s.start()
            for data, status in RAW:
                stream = await trio.open_tcp_stream("127.0.0.2", s.port)
                try:
                    await stream.send_all(data)
                    answer = await stream.receive_some(100)
                except trio.BrokenResourceError:
                    answer = b""
                await stream.aclose()
                assert answer[9:12] == str(status).encode(), data[:60]
            assert (await s.admit("a1")).status == 200
            assert [request.headers["x-request-id"] for _, request in server.received] == ["a1"]

    run_scenario(scene)


@pytest.mark.parametrize("said", [b"", b"POST /admit HTTP/1.1\r\nHost: x\r\nA: "])
def test_silent_and_dribbling_clients_are_closed_in_time(tmp_path: Path, said: bytes) -> None:
    """Within 3 s of connecting, however often a further byte of an endless head comes."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            await s.start()
            stream = await trio.open_tcp_stream("127.0.0.2", s.port)
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

    run_scenario(scene)


@pytest.mark.parametrize(
    "said",
    [
        b"",
        b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n",
        b"POST /admit HTTP/1.1\r\n",
        b"POST /admit HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n12",
    ],
)
def test_clients_that_stay_crowd_out_no_usual_one(tmp_path: Path, said: bytes) -> None:
    """With more such connections than may stand, a usual client's kept connection and new ones serve."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.sockets = 64  # 17 edge connections
            s.add_server("s-1")
            await s.start()
            kept = await ClientConnection.connect(f"127.0.0.2:{s.port}", LIMITS)
            assert (await kept.exchange("POST", "/admit", admission_headers("a1"), b"x")).status == 200
            silent_ones = [await trio.open_tcp_stream("127.0.0.2", s.port) for _ in range(80)]
            for stream in silent_ones:
                with contextlib.suppress(trio.BrokenResourceError):
                    await stream.send_all(said)
            with trio.fail_after(1):
                for number in range(5):
                    assert (await s.admit(f"b{number}")).status == 200
            assert (await kept.exchange("POST", "/admit", admission_headers("a3"), b"x")).status == 200
            for stream in silent_ones:
                await stream.aclose()

    run_scenario(scene)


def test_call_backs_come_in_though_requests_hold_what_they_may(tmp_path: Path) -> None:
    """With few descriptors, jobs beyond the limit are refused at once and the others still end."""

    async def slow(server: FakeServer, request: Request) -> Response | None:
        async def work() -> None:
            await server.send_event(request.headers["x-request-id"], "started")
            await trio.sleep(0.5)
            await server.send_event(request.headers["x-request-id"], "done", result="x", load={"x0": 90})

        if request.method == "POST":
            server.fixture.nursery.start_soon(work)
        return Response(202)

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.sockets = 64  # 17 edge connections, 12 requests
            for number in range(20):
                s.add_server(f"s-{number}", slow)
            await s.start()
            statuses: list[int] = []

            async def one(job: str) -> None:
                statuses.append((await s.admit(job)).status)

            async with trio.open_nursery() as nursery:
                for number in range(16):
                    nursery.start_soon(one, f"a{number}")
            assert sorted(statuses) == [200] * 12 + [503] * 4

    run_scenario(scene)


def test_a_failing_module_leaves_no_request_unanswered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its exception is counted, the request fails at its deadline, and the node serves on."""
    handle = Balancer.handle

    def failing(self: Balancer, now_us: int, events: list[Event]) -> list[Action]:
        if any(isinstance(event, RequestReceived) and event.budget_us < 400_000 for event in events):
            raise RuntimeError("a fault put in by the test")
        return handle(self, now_us, events)

    async def scene() -> None:
        monkeypatch.setattr(Balancer, "handle", failing)
        async with node_fixture(tmp_path) as s:
            s.add_server("s-1")
            await s.start()
            began = trio.current_time()
            assert (await s.admit("a1", 300)).status == 500
            assert trio.current_time() - began < 0.35
            assert (await s.admit("a2")).status == 200
            assert s.counters.counts["module_errors"] == 1

    run_scenario(scene)


def test_a_load_report_reaches_the_module(tmp_path: Path) -> None:
    """Free slots in a ``done`` and in a 503's header are read under the settings' names."""
    assert read_load(dict(LOAD_REPORT)) == {"active": 0.0, "x0": 4.0, "x1": 4.0, "err_rps": 0.0}
    assert read_load_header("inflight=7,queue=2,util=0.61,bad,eps=x") == {
        "active": 7.0,
        "waiting": 2.0,
        "cpu": 0.61,
    }
    assert read_load_header("") is None
