"""The program as a process: it is started, used over sockets, and stopped."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest
import trio

from merlinbay.http.client import ClientConnection
from merlinbay.http.connection import Request, Response
from tests.net import (
    LIMITS,
    LOAD_REPORT,
    ROOT,
    FakeServer,
    ServerBehaviour,
    admission_headers,
    completes_job,
    node_fixture,
    run_scenario,
)
from tests.test_drmaa import schedules, submit

BAD = {
    "missing": None,
    "not_json": "{",
    "no_settings": "{}",
    "bad_settings": json.dumps(
        {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {"limits": {}}}
    ),
    "bad_address": json.dumps({"name": "n", "listen": "here", "discovery": "x", "settings": {}}),
}


@pytest.mark.parametrize("case", BAD)
def test_bad_configuration_ends_with_a_one_line_error(tmp_path: Path, case: str) -> None:
    """The exit status is not 0, and standard error has one line without a traceback."""
    path, text = tmp_path / "config.json", BAD[case]
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-B", "-m", "merlinbay"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={**os.environ, "LB_CONFIG": str(path)},
        check=False,
        timeout=30,
    )
    assert done.returncode != 0
    assert len(done.stderr.splitlines()) == 1 and done.stderr.startswith("merlinbay: "), done.stderr


def test_address_in_use_ends_with_a_one_line_error(tmp_path: Path) -> None:
    """The listener cannot be bound: the exit status is 2, and standard error has a single line."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            environ = node.configure()
            with socket.socket() as taken:
                taken.bind(("127.0.0.2", node.port))
                taken.listen()
                done = await trio.run_process(
                    [sys.executable, "-B", "-m", "merlinbay"],
                    cwd=ROOT,
                    check=False,
                    capture_stderr=True,
                    env={**os.environ, **environ},
                )
            assert done.returncode == 2
            assert done.stderr.decode().startswith("merlinbay: cannot listen at 127.0.0.2:")
            assert len(done.stderr.splitlines()) == 1

    run_scenario(scenario)


def runs_for(seconds: Callable[[str], float]) -> ServerBehaviour:
    """Return the behaviour of a server whose jobs run for a time given by their id; with 0, for ever."""

    async def behaviour(server: FakeServer, request: Request) -> Response | None:
        async def work(job: str) -> None:
            await server.send_event(job, "started")
            await trio.sleep(seconds(job))
            if seconds(job):
                await server.send_event(job, "done", result="x", load=LOAD_REPORT)

        if request.method == "POST":
            server.fixture.nursery.start_soon(work, request.headers["x-request-id"])
        return Response(202)

    return behaviour


def test_sigterm_serves_on_then_responds_to_all_and_exits_0(tmp_path: Path) -> None:
    """The node serves until shortly before SIGKILL, after 3.7 s. Requests still open then fail in time."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            node.add_server("s-1", runs_for(lambda job: 0 if job == "stuck" else 0.4))
            await node.start(program=True)
            assert node.process is not None
            answers: dict[str, tuple[int, bytes]] = {}

            async def submit_after(job: str, after: float) -> None:
                await trio.sleep(after)
                reply = await node.admit(job, 4000)
                answers[job] = reply.status, reply.body

            node.process.send_signal(signal.SIGTERM)
            with trio.fail_after(3.7):
                async with trio.open_nursery() as nursery:
                    for job, after in {"a1": 0, "a2": 1.5, "a3": 2.5, "stuck": 2.6, "new": 3.3}.items():
                        nursery.start_soon(submit_after, job, after)
                assert await node.process.wait() == 0
            assert answers == {
                "a1": (200, b"x"),
                "a2": (200, b"x"),
                "a3": (200, b"x"),
                "stuck": (500, b"failed\n"),
                "new": (503, b"refused\n"),
            }

    run_scenario(scenario)


def test_stopping_node_keeps_connections_free(tmp_path: Path) -> None:
    """Of six kept connections, three may be busy after SIGTERM. A job on a fourth is rejected at once."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            for name in ("s-1", "s-2"):
                node.add_server(name, runs_for(lambda job: 0.05 if job.startswith("first") else 0.8))
            await node.start(program=True)
            assert node.process is not None
            kept = [await ClientConnection.connect(f"127.0.0.2:{node.port}", LIMITS) for _ in range(6)]

            async def submit_on(number: int, job: str, statuses: list[int]) -> None:
                reply = await kept[number].exchange("POST", "/admit", admission_headers(job), b"x")
                statuses.append(reply.status)

            for number in range(6):
                await submit_on(number, f"first{number}", [])
            node.process.send_signal(signal.SIGTERM)
            await trio.sleep(0.5)
            statuses: list[int] = []
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(submit_on, number, f"then{number}", statuses)
                    await trio.sleep(0.05)
                assert statuses == [503]
            assert statuses == [503, 200, 200, 200]

    run_scenario(scenario)


def test_stopping_node_sends_clients_to_other_nodes(tmp_path: Path) -> None:
    """Before jobs are rejected, connections close when idle or after a response. New jobs still run."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            node.add_server("s-1")
            await node.start(program=True, balancers=2)
            assert node.process is not None
            kept = [await ClientConnection.connect(f"127.0.0.2:{node.port}", LIMITS) for _ in range(2)]
            for number, connection in enumerate(kept):
                reply = await connection.exchange("POST", "/admit", admission_headers(f"a{number}"), b"x")
                assert reply.status == 200
            node.process.send_signal(signal.SIGTERM)
            await trio.sleep(2.4)
            assert kept[0].is_available() and kept[1].is_available()
            await trio.sleep(0.4)
            assert not kept[0].is_available() and not kept[1].is_available()
            reply = await node.admit("b1")
            assert (reply.status, reply.headers["connection"]) == (200, "close")

    run_scenario(scenario)


def test_sighup_moves_the_watch_and_changes_nothing_else(tmp_path: Path) -> None:
    """Two reloads during a request: the new list applies at once, and a broken file changes nothing."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            node.add_server("s-1", runs_for(lambda job: 1.2))
            await node.start(program=True)
            assert node.process is not None
            answers: list[bytes] = []

            async def submit_long_job() -> None:
                answers.append((await node.admit("a1")).body)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit_long_job)
                await trio.sleep(0.1)
                for name in ("s-2", "s-3"):  # each move leads to another list, with a lower version
                    server = FakeServer(node, name, completes_job)
                    node.nursery.start_soon(server.listen)
                    body = json.dumps(
                        {
                            "version": 0,
                            "full": True,
                            "servers": [{**node.endpoint_rows[0], "id": name, "addr": server.addr}],
                        }
                    ).encode()

                    async def listing(
                        discovery: FakeServer, request: Request, body: bytes = body
                    ) -> Response:
                        await trio.sleep(3 if "wait_ms" in request.target else 0)
                        return Response(200, body)

                    moved = FakeServer(node, "discovery", listing)
                    node.nursery.start_soon(moved.listen)
                    node.write_configuration(moved.addr)
                    await trio.sleep(0.1)
                    node.process.send_signal(signal.SIGHUP)
                    await trio.sleep(0.4)
                    assert (await node.admit(f"b-{name}")).body == f"{name}:b-{name}".encode()
                    (tmp_path / "config.json").write_text("{")
                    node.process.send_signal(signal.SIGHUP)
                    await trio.sleep(0.1)
                    assert (await node.admit(f"c-{name}")).body == f"{name}:c-{name}".encode()
            assert answers == [b"x"]
            node.process.send_signal(signal.SIGTERM)
            node.process.send_signal(signal.SIGHUP)
            with trio.fail_after(4):
                assert await node.process.wait() == 0

    run_scenario(scenario)


def test_program_survives_a_lack_of_descriptors(tmp_path: Path) -> None:
    """With fewer descriptors than connections, the program accepts again once some are closed."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            node.add_server("s-1", completes_job)
            await node.start(program=True)
            assert node.process is not None
            subprocess.run(["prlimit", f"--pid={node.process.pid}", "--nofile=24:24"], check=True)
            streams = []
            for _ in range(40):
                streams.append(await trio.open_tcp_stream("127.0.0.2", node.port))
            await trio.sleep(0.3)
            for stream in streams:
                await stream.aclose()
            await trio.sleep(0.3)
            assert (await node.admit("a1")).status == 200

    run_scenario(scenario)


def test_program_accepts_drmaa_submissions(tmp_path: Path) -> None:
    """With an operator's file, a job goes from runJob to DONE at a fake scheduler."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            node.operator = "[drmaa]\nfront = true\naccess.open = true\nservers = true\n"
            node.add_server("s-1", schedules)
            await node.start(program=True)
            status, job = await submit(node)
            assert (status, job["jobState"]) == (201, "QUEUED")
            info = (await node.call_json("GET", f"/drmaa2/jobs/{job['jobId']}/wait"))[1]
            assert (info["jobState"], info["exitStatus"]) == ("DONE", 0)

    run_scenario(scenario)


def test_counters_are_printed_on_request_and_at_exit(tmp_path: Path) -> None:
    """SIGUSR1 and the exit each print one line with the counts of requests, attempts and responses."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            node.add_server("s-1")
            environ = node.configure()
            node.process = await trio.lowlevel.open_process(
                [sys.executable, "-B", "-m", "merlinbay"],
                cwd=ROOT,
                env={**os.environ, **environ},
                stderr=subprocess.PIPE,
            )
            assert node.process.stderr is not None
            text = b""
            while b"serves at" not in text:
                text += await node.process.stderr.receive_some()
            assert (await node.admit("a1")).status == 200
            node.process.send_signal(signal.SIGUSR1)
            while b"counters" not in text:
                text += await node.process.stderr.receive_some()
            node.process.send_signal(signal.SIGTERM)
            while chunk := await node.process.stderr.receive_some():
                text += chunk
            lines = [line for line in text.decode().splitlines() if "counters" in line]
            assert len(lines) == 2
            for line in lines:
                assert " requests_taken=1 " in line and " attempts_sent=1 " in line
                assert " answers_served=1 " in line

    run_scenario(scenario)
