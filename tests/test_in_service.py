"""What operators do with a node in service: calls, maintenance, clients sent away."""

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

Scene = Callable[[NodeFixture], Awaitable[None]]


def in_service(folder: Path, scene: Scene, program: bool = False) -> None:
    """Play a scene with a node of two servers that operators can call."""

    async def whole() -> None:
        async with node_fixture(folder) as s:
            s.admin_port = free_port()
            s.add_server("s-1")
            s.add_server("s-2")
            await s.start(program)
            await scene(s)

    run_scenario(whole)


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


def test_each_call_has_one_line_also_beside_callers_who_say_nothing(tmp_path: Path) -> None:
    """Forty connections without a word neither keep others out nor delay them."""

    async def scene(s: NodeFixture) -> None:
        silent = [await trio.open_tcp_stream("127.0.0.2", s.admin_port) for _ in range(40)]
        for line, word in CALLS:
            with trio.fail_after(1):
                answer = await s.admin_call(line)
            assert answer.startswith(word) and answer.count("\n") == 1, (line, answer)
        with trio.fail_after(1):  # the first have made room, and are not waited for
            assert await silent[0].receive_some(1) == b""
        for stream in silent:
            await stream.aclose()

    in_service(tmp_path, scene)


def test_the_command_line_makes_calls(tmp_path: Path) -> None:
    """The answer's line, and an exit status that scripts can use."""

    async def scene(s: NodeFixture) -> None:
        for at, words, status, line in [
            (s.admin_port, ["maint-on", "s-1"], 0, "SUCCESS"),
            (s.admin_port, ["maint-off", "x"], 9, "FAILURE nobody"),
            (free_port(), ["status"], 8, "merlinbay: cannot reach the node"),
        ]:
            done = await trio.run_process(
                [sys.executable, "-m", "merlinbay", "operate", "--at", f"127.0.0.2:{at}", *words],
                cwd=ROOT,
                check=False,
                capture_stdout=True,
                capture_stderr=True,
            )
            assert (done.returncode, (done.stdout + done.stderr).decode()[: len(line)]) == (status, line)

    in_service(tmp_path, scene)


def test_nothing_goes_to_a_server_in_maintenance_whatever_is_listed(tmp_path: Path) -> None:
    """From the yes on, also when discovery lists it anew; after the call that ends it it is used again."""

    async def scene(s: NodeFixture) -> None:
        assert (await s.admin_call("maint-on s-1")).startswith("SUCCESS")
        before = len(s.server("s-1").targets())
        for number in range(20):
            s.update_server("s-1", started_ms=1_000 + number)
            assert (await s.admit(f"job-{number}")).status == 200
        assert len(s.server("s-1").targets()) == before
        assert (await s.admin_call("maint-on s-2")).startswith("SUCCESS")
        assert (await s.admit("nowhere")).status == 503
        assert (await s.admin_call("maint-off s-1")).startswith("SUCCESS")
        tries = 0
        while (await s.admit(f"again-{tries}")).status != 200:  # a cold server's first turn is not at once
            tries += 1
            await trio.sleep(0.05)
        assert tries < 20 and len(s.server("s-1").targets()) == before + 1

    in_service(tmp_path, scene)


@pytest.mark.parametrize("listed", [True, False])
def test_a_server_back_from_maintenance_is_cold(listed: bool) -> None:
    """It was restarted: whether discovery says so or not, it soon gets something, by a cold one's part."""
    now, slots, rng = 1_000_000, 4.0, Random(5)
    conf = settings(balancers=1)
    balancer = Balancer(conf, 7, now)
    balancer.handle(now, [EndpointsChanged("all", [entry(0), entry(2)])])
    balancer.handle(now, [MaintenanceChanged("w0", True), MaintenanceChanged("w0", True)])
    now += 3_000_000
    if listed:
        balancer.handle(now, [EndpointsChanged("changes", [entry(0, ready=now - 1_000_000)])])
    balancer.handle(now, [MaintenanceChanged("w0", False)])
    back, sent = now, []
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
    assert sent and sent[0] - back < 500_000
    most = conf.safety.tip_multiple * slots * (now - back) / 50_000  # the cold budget, all of it
    assert len(sent) < most * 0.5


def test_a_ban_stands_above_every_list_and_is_lifted_by_one_call() -> None:
    """Full lists, changes, a removal and a return in between; nobody else's ban is touched."""
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
            a.endpoint
            for a in balancer.handle(0, [RequestReceived(job, "safe", 5_000_000)])
            if isinstance(a, Dispatch)
        ]
        assert placed == ["w2"]
        balancer.handle(0, [AttemptEnded(job, 0, Outcome.OK, 50_000, False, None, "w2")])
    balancer.handle(0, [MaintenanceChanged("w0", False)])
    assert balancer.parts.endpoints.by_name["w0"].state == "up"


def test_clients_are_sent_away_without_a_request_lost_and_taken_back(tmp_path: Path) -> None:
    """The check says no at once; connections end with an answer, idle ones soon; those of servers stay."""

    async def scene(s: NodeFixture) -> None:
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
        assert (
            trio.current_time() - began > LIMITS.standby_arrivals_for_s - 0.1 and idle.is_available()
        )  # these end later
        assert (await s.admit("late")).status == 200  # whoever comes all the same is served
        await trio.sleep(began + 2.0 - trio.current_time())
        assert not idle.is_available() and server.is_available()
        assert (await s.admin_call("active")).startswith("SUCCESS")
        assert (await s.call("GET", "/-/ready")).status == 200
        kept = await ClientConnection.connect(address, LIMITS)
        assert (await kept.exchange("POST", "/admit", admission_headers("back"), b"seat")).status == 200
        await trio.sleep(0.5)
        assert kept.is_available()

    in_service(tmp_path, scene)


@pytest.mark.parametrize(
    ("name", "value"),
    [("LB_ACCEPT_FD", "x"), ("LB_ACCEPT_FD", "987"), ("LB_ACCEPT_FD", "0"), ("LB_ADMIN_ADDR", "here")],
)
def test_bad_words_in_the_environment_end_with_one_line(tmp_path: Path, name: str, value: str) -> None:
    """Status 2, nothing bound."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            environ = {**os.environ, **s.configure(), name: value}
            done = await trio.run_process(
                [sys.executable, "-B", "-m", "merlinbay"],
                cwd=ROOT,
                check=False,
                stdin=subprocess.DEVNULL,
                capture_stderr=True,
                env=environ,
            )
            assert done.returncode == 2
            assert len(done.stderr.splitlines()) == 1 and value in done.stderr.decode()

    run_scenario(scene)
