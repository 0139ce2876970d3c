"""The program itself: started, spoken to over sockets, and stopped."""

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
def test_a_bad_configuration_ends_with_one_plain_line(tmp_path: Path, case: str) -> None:
    """Non-zero, one line, no traceback."""
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


def test_an_address_in_use_ends_with_one_plain_line(tmp_path: Path) -> None:
    """The listener cannot be bound: non-zero, one line, no traceback."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            environ = s.configure()
            with socket.socket() as taken:
                taken.bind(("127.0.0.2", s.port))
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

    run_scenario(scene)


def runs(seconds: Callable[[str], float]) -> ServerBehaviour:
    """Return the play of a server whose jobs run so long, by their id; 0 is for ever."""

    async def play(server: FakeServer, request: Request) -> Response | None:
        async def work(job: str) -> None:
            await server.send_event(job, "started")
            await trio.sleep(seconds(job))
            if seconds(job):
                await server.send_event(job, "done", result="x", load=LOAD_REPORT)

        if request.method == "POST":
            server.fixture.nursery.start_soon(work, request.headers["x-request-id"])
        return Response(202)

    return play


def test_sigterm_serves_on_then_answers_all_and_exits_0(tmp_path: Path) -> None:
    """Kept connections serve until shortly before SIGKILL, 3.7 s on; what is left then fails in time."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.add_server("s-1", runs(lambda job: 0 if job == "stuck" else 0.4))
            await s.start(program=True)
            assert s.process is not None
            answers: dict[str, tuple[int, bytes]] = {}

            async def one(job: str, after: float) -> None:
                await trio.sleep(after)
                reply = await s.admit(job, 4000)
                answers[job] = reply.status, reply.body

            s.process.send_signal(signal.SIGTERM)
            with trio.fail_after(3.7):
                async with trio.open_nursery() as nursery:
                    for job, after in {"a1": 0, "a2": 1.5, "a3": 2.5, "stuck": 2.6, "new": 3.3}.items():
                        nursery.start_soon(one, job, after)
                assert await s.process.wait() == 0
            assert answers == {
                "a1": (200, b"x"),
                "a2": (200, b"x"),
                "a3": (200, b"x"),
                "stuck": (500, b"failed\n"),
                "new": (503, b"refused\n"),
            }

    run_scenario(scene)


def test_a_node_that_leaves_keeps_connections_free(tmp_path: Path) -> None:
    """Of six kept connections three may be busy after SIGTERM; on a fourth, a job is refused at once."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            for name in ("s-1", "s-2"):
                s.add_server(name, runs(lambda job: 0.05 if job.startswith("first") else 0.8))
            await s.start(program=True)
            assert s.process is not None
            kept = [await ClientConnection.connect(f"127.0.0.2:{s.port}", LIMITS) for _ in range(6)]

            async def one(number: int, job: str, statuses: list[int]) -> None:
                reply = await kept[number].exchange("POST", "/admit", admission_headers(job), b"x")
                statuses.append(reply.status)

            for number in range(6):
                await one(number, f"first{number}", [])
            s.process.send_signal(signal.SIGTERM)
            await trio.sleep(0.5)
            statuses: list[int] = []
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(one, number, f"then{number}", statuses)
                    await trio.sleep(0.05)
                assert statuses == [503]
            assert statuses == [503, 200, 200, 200]

    run_scenario(scene)


def test_a_node_that_leaves_others_sends_its_clients_there(tmp_path: Path) -> None:
    """Before jobs are refused, idle connections end and answers end theirs; what still comes is served."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.add_server("s-1")
            await s.start(program=True, balancers=2)
            assert s.process is not None
            kept = [await ClientConnection.connect(f"127.0.0.2:{s.port}", LIMITS) for _ in range(2)]
            for number, connection in enumerate(kept):
                reply = await connection.exchange("POST", "/admit", admission_headers(f"a{number}"), b"x")
                assert reply.status == 200
            s.process.send_signal(signal.SIGTERM)
            await trio.sleep(2.4)
            assert kept[0].is_available() and kept[1].is_available()
            await trio.sleep(0.4)
            assert not kept[0].is_available() and not kept[1].is_available()
            reply = await s.admit("b1")
            assert (reply.status, reply.headers["connection"]) == (200, "close")

    run_scenario(scene)


def test_sighup_moves_the_watch_and_keeps_all_else(tmp_path: Path) -> None:
    """Twice, under a request: the list comes from the new address at once; a broken file changes nothing."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.add_server("s-1", runs(lambda job: 1.2))
            await s.start(program=True)
            assert s.process is not None
            answers: list[bytes] = []

            async def one() -> None:
                answers.append((await s.admit("a1")).body)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(one)
                await trio.sleep(0.1)
                for name in ("s-2", "s-3"):  # each move finds another list, at a lower version
                    server = FakeServer(s, name, completes_job)
                    s.nursery.start_soon(server.listen)
                    body = json.dumps(
                        {
                            "version": 0,
                            "full": True,
                            "servers": [{**s.endpoint_rows[0], "id": name, "addr": server.addr}],
                        }
                    ).encode()

                    async def listing(asked: FakeServer, request: Request, body: bytes = body) -> Response:
                        await trio.sleep(3 if "wait_ms" in request.target else 0)
                        return Response(200, body)

                    moved = FakeServer(s, "discovery", listing)
                    s.nursery.start_soon(moved.listen)
                    s.write_configuration(moved.addr)
                    await trio.sleep(0.1)
                    s.process.send_signal(signal.SIGHUP)
                    await trio.sleep(0.4)
                    assert (await s.admit(f"b-{name}")).body == f"{name}:b-{name}".encode()
                    (tmp_path / "config.json").write_text("{")
                    s.process.send_signal(signal.SIGHUP)
                    await trio.sleep(0.1)
                    assert (await s.admit(f"c-{name}")).body == f"{name}:c-{name}".encode()
            assert answers == [b"x"]
            s.process.send_signal(signal.SIGTERM)
            s.process.send_signal(signal.SIGHUP)
            with trio.fail_after(4):
                assert await s.process.wait() == 0

    run_scenario(scene)


def test_the_program_outlives_a_lack_of_descriptors(tmp_path: Path) -> None:
    """With fewer descriptors than connections, it goes on accepting once some are closed."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.add_server("s-1", completes_job)
            await s.start(program=True)
            assert s.process is not None
            subprocess.run(["prlimit", f"--pid={s.process.pid}", "--nofile=24:24"], check=True)
            streams = []
            for _ in range(40):
                streams.append(await trio.open_tcp_stream("127.0.0.2", s.port))
            await trio.sleep(0.3)
            for stream in streams:
                await stream.aclose()
            await trio.sleep(0.3)
            assert (await s.admit("a1")).status == 200

    run_scenario(scene)


def test_the_program_takes_drmaa_submissions(tmp_path: Path) -> None:
    """With an operator's file, a job goes from runJob to DONE at a stand-in scheduler."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.operator = "[drmaa]\nfront = true\naccess.open = true\nservers = true\n"
            s.add_server("s-1", schedules)
            await s.start(program=True)
            status, job = await submit(s)
            assert (status, job["jobState"]) == (201, "QUEUED")
            info = (await s.call_json("GET", f"/drmaa2/jobs/{job['jobId']}/wait"))[1]
            assert (info["jobState"], info["exitStatus"]) == ("DONE", 0)

    run_scenario(scene)


def test_counters_are_printed_on_request_and_at_exit(tmp_path: Path) -> None:
    """SIGUSR1 and the exit each print one line that counts what was taken, sent and answered."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.add_server("s-1")
            environ = s.configure()
            s.process = await trio.lowlevel.open_process(
                [sys.executable, "-B", "-m", "merlinbay"],
                cwd=ROOT,
                env={**os.environ, **environ},
                stderr=subprocess.PIPE,
            )
            assert s.process.stderr is not None
            text = b""
            while b"serves at" not in text:
                text += await s.process.stderr.receive_some()
            assert (await s.admit("a1")).status == 200
            s.process.send_signal(signal.SIGUSR1)
            while b"counters" not in text:
                text += await s.process.stderr.receive_some()
            s.process.send_signal(signal.SIGTERM)
            while more := await s.process.stderr.receive_some():
                text += more
            lines = [line for line in text.decode().splitlines() if "counters" in line]
            assert len(lines) == 2
            for line in lines:
                assert " requests_taken=1 " in line and " attempts_sent=1 " in line
                assert " answers_served=1 " in line

    run_scenario(scene)
