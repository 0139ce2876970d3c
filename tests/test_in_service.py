"""Operators' actions on a node in service: admin calls, maintenance, and standby."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import pytest
import trio

from merlinbay.decision import Balancer
from merlinbay.decision.actions import Dispatch
from merlinbay.decision.events import AttemptEnded, EndpointsChanged, MaintenanceChanged, RequestReceived
from merlinbay.decision.outcomes import Outcome
from merlinbay.http.client import ClientConnection
from tests.net import LIMITS, ROOT, NodeFixture, admission_headers, free_port, node_fixture, run_scenario
from tests.support import entry, settings

Scenario = Callable[[NodeFixture], Awaitable[None]]


def run_in_service(folder: Path, scenario: Scenario, program: bool = False) -> None:
    """Run a scenario with a node that has two servers and accepts admin calls."""

    async def main() -> None:
        async with node_fixture(folder) as s:
            s.admin_port = free_port()
            s.add_server("s-1")
            s.add_server("s-2")
            await s.start(program)
            await scenario(s)

    run_scenario(main)


CALLS = [
    ("status", "SUCCESS"),
    ("status \r", "SUCCESS"),
    ("maint-on s-1", "SUCCESS"),
    ("maint-on s-1", "SUCCESS"),
    ("maint-off s-1", "SUCCESS"),
    ("maint-off s-2", "SUCCESS"),
    ("standby", "SUCCESS"),
    ("active", "SUCCESS"),
    ("maint-on nobody", "FAILURE"),
    ("maint-off nobody", "FAILURE"),
    ("maint-on", "FAILURE"),
    ("maint-on s-1 s-2", "FAILURE"),
    ("status s-1", "FAILURE"),
    ("", "FAILURE"),
    ("Status", "FAILURE"),
    ("x" * 5000, "FAILURE"),
    ("\x00\xff", "FAILURE"),
]


def test_each_admin_call_gets_one_line_despite_silent_connections(tmp_path: Path) -> None:
    """Forty admin connections that send nothing neither block nor delay other callers."""

    async def scenario(s: NodeFixture) -> None:
        silent = [await trio.open_tcp_stream("127.0.0.2", s.admin_port) for _ in range(40)]
        for line, word in CALLS:
            with trio.fail_after(1):
                answer = await s.admin_call(line)
            assert answer.startswith(word) and answer.count("\n") == 1, (line, answer)
        with trio.fail_after(1):  # the oldest connections were closed at once to make room for others
            assert await silent[0].receive_some(1) == b""
        for stream in silent:
            await stream.aclose()

    run_in_service(tmp_path, scenario)


def test_command_line_makes_admin_calls(tmp_path: Path) -> None:
    """The command prints the line of the answer and exits with a status that scripts can use."""

    async def scenario(s: NodeFixture) -> None:
        for at, arguments, status, line in [
            (s.admin_port, ["maint-on", "s-1"], 0, "SUCCESS"),
            (s.admin_port, ["maint-off", "x"], 9, "FAILURE nobody"),
            (free_port(), ["status"], 8, "merlinbay: cannot reach the node"),
        ]:
            completed = await trio.run_process(
                [sys.executable, "-m", "merlinbay", "operate", "--at", f"127.0.0.2:{at}", *arguments],
                cwd=ROOT,
                check=False,
                capture_stdout=True,
                capture_stderr=True,
            )
            assert (completed.returncode, (completed.stdout + completed.stderr).decode()[: len(line)]) == (
                status,
                line,
            )

    run_in_service(tmp_path, scenario)


def test_server_in_maintenance_gets_no_request_whatever_discovery_lists(tmp_path: Path) -> None:
    """From the answer to ``maint-on`` the server gets nothing, even if discovery lists it as restarted.

    After ``maint-off`` it is used again.
    """

    async def scenario(s: NodeFixture) -> None:
        assert (await s.admin_call("maint-on s-1")).startswith("SUCCESS")
        before = len(s.server("s-1").targets())
        for number in range(20):
            s.update_server("s-1", started_ms=1_000 + number)
            assert (await s.admit(f"job-{number}")).status == 200
        assert len(s.server("s-1").targets()) == before
        assert (await s.admin_call("maint-on s-2")).startswith("SUCCESS")
        assert (await s.admit("nowhere")).status == 503
        assert (await s.admin_call("maint-off s-1")).startswith("SUCCESS")
        attempts = 0
        # A warming server does not get its first request at once.
        while (await s.admit(f"again-{attempts}")).status != 200:
            attempts += 1
            await trio.sleep(0.05)
        assert attempts < 20 and len(s.server("s-1").targets()) == before + 1

    run_in_service(tmp_path, scenario)


@pytest.mark.parametrize("listed", [True, False])
def test_server_warms_up_after_maintenance(listed: bool) -> None:
    """The server may have been restarted, whether discovery reports it or not.

    It soon gets requests, but only within the budget of a warming server.
    """
    now, slots, rng = 1_000_000, 4.0, Random(5)
    conf = settings(balancers=1)
    balancer = Balancer(conf, 7, now)
    balancer.handle(now, [EndpointsChanged("all", [entry(0), entry(2)])])
    balancer.handle(now, [MaintenanceChanged("w0", True), MaintenanceChanged("w0", True)])
    now += 3_000_000
    if listed:
        balancer.handle(now, [EndpointsChanged("changes", [entry(0, ready=now - 1_000_000)])])
    balancer.handle(now, [MaintenanceChanged("w0", False)])
    ended_at, sent = now, []
    for number in range(300):
        now += int(rng.expovariate(1 / 3_000))
        for action in balancer.handle(now, [RequestReceived(number, "safe", 5_000_000)]):
            if isinstance(action, Dispatch) and action.endpoint == "w0":
                sent.append(now)
            if isinstance(action, Dispatch):
                balancer.handle(
                    now,
                    [AttemptEnded(number, 0, Outcome.OK, 50_000, False, [0.0, slots], action.endpoint)],
                )
    assert sent and sent[0] - ended_at < 500_000
    # The whole budget of a warming server.
    warming_budget = conf.safety.tip_multiple * slots * (now - ended_at) / 50_000
    assert len(sent) < warming_budget * 0.5


def test_maintenance_outlasts_endpoint_lists_and_ends_with_one_call() -> None:
    """Full lists, changes, a removal and a new listing do not end the maintenance of a server.

    The other server stays up throughout.
    """
    balancer = Balancer(settings(balancers=1), 7, 0)
    balancer.handle(0, [EndpointsChanged("all", [entry(0), entry(2)])])
    balancer.handle(0, [MaintenanceChanged("w0", True)])
    job = 0
    for scope, rows in [
        ("all", [entry(0), entry(2)]),
        ("changes", [entry(0, ready=5)]),
        ("all", [entry(2)]),
        ("all", [entry(0, "draining"), entry(2)]),
        ("changes", [entry(0)]),
    ]:
        balancer.handle(0, [EndpointsChanged(scope, rows)])
        assert balancer.knows("w0") and balancer.parts.endpoints.by_name["w2"].state == "up"
        job += 1
        placed = [
            action.endpoint
            for action in balancer.handle(0, [RequestReceived(job, "safe", 5_000_000)])
            if isinstance(action, Dispatch)
        ]
        assert placed == ["w2"]
        balancer.handle(0, [AttemptEnded(job, 0, Outcome.OK, 50_000, False, None, "w2")])
    balancer.handle(0, [MaintenanceChanged("w0", False)])
    assert balancer.parts.endpoints.by_name["w0"].state == "up"


def test_standby_closes_client_connections_without_losing_a_request(tmp_path: Path) -> None:
    """In standby the readiness check fails at once, and client connections are closed after an answer.

    Idle client connections are closed soon afterwards, and those of servers stay open. New clients are still
    served, and ``active`` ends the standby.
    """

    async def scenario(s: NodeFixture) -> None:
        address = f"127.0.0.2:{s.port}"
        busy, idle, server = [await ClientConnection.connect(address, LIMITS) for _ in range(3)]
        event = b'{"id": "x", "from": "s-1", "state": "running"}'
        for connection in (busy, idle):
            name = f"first-{id(connection)}"
            assert (
                await connection.exchange("POST", "/admit", admission_headers(name), b"seat")
            ).status == 200
        await server.exchange("POST", "/v1/job-events", [], event)
        began = trio.current_time()
        assert (await s.admin_call("standby")).startswith("SUCCESS")
        assert (await s.call("GET", "/-/ready")).status == 503
        assert (await s.admit("still")).status == 200
        assert (await s.admin_call("status")).startswith("SUCCESS")
        jobs = 0
        while busy.is_available():
            jobs += 1
            assert (
                await busy.exchange("POST", "/admit", admission_headers(f"busy-{jobs}"), b"seat")
            ).status == 200
        # Idle connections are closed later.
        assert trio.current_time() - began > LIMITS.standby_arrivals_for_s - 0.1 and idle.is_available()
        assert (await s.admit("late")).status == 200  # new connections are still served
        await trio.sleep(began + 2.0 - trio.current_time())
        assert not idle.is_available() and server.is_available()
        assert (await s.admin_call("active")).startswith("SUCCESS")
        assert (await s.call("GET", "/-/ready")).status == 200
        kept = await ClientConnection.connect(address, LIMITS)
        assert (await kept.exchange("POST", "/admit", admission_headers("back"), b"seat")).status == 200
        await trio.sleep(0.5)
        assert kept.is_available()

    run_in_service(tmp_path, scenario)


@pytest.mark.parametrize(
    ("name", "value"),
    [("LB_ACCEPT_FD", "x"), ("LB_ACCEPT_FD", "987"), ("LB_ACCEPT_FD", "0"), ("LB_ADMIN_ADDR", "here")],
)
def test_invalid_environment_value_ends_the_program_with_one_line(
    tmp_path: Path, name: str, value: str
) -> None:
    """The program exits with status 2 and names the invalid value in one line."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as s:
            environ = {**os.environ, **s.configure(), name: value}
            completed = await trio.run_process(
                [sys.executable, "-B", "-m", "merlinbay"],
                cwd=ROOT,
                check=False,
                stdin=subprocess.DEVNULL,
                capture_stderr=True,
                env=environ,
            )
            assert completed.returncode == 2
            assert len(completed.stderr.splitlines()) == 1 and value in completed.stderr.decode()

    run_scenario(scenario)
