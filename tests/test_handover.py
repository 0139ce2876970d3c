"""A process replaced by the next one: several processes of the program on one listening socket."""

from __future__ import annotations

import os
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import pytest
import trio

from merlinbay.core.messages import AttemptFinished
from merlinbay.decision import Balancer
from merlinbay.decision.actions import Dispatch
from merlinbay.decision.events import AttemptEnded, EndpointsChanged, MaintenanceChanged, RequestReceived
from merlinbay.decision.outcomes import Outcome
from merlinbay.handover import messages
from merlinbay.handover.control_socket import ControlSocket
from merlinbay.handover.snapshot_codec import from_encoded
from merlinbay.http.client import ClientConnection
from merlinbay.http.connection import Request, Response
from tests.net import (
    LIMITS,
    LOAD_REPORT,
    ROOT,
    FakeServer,
    NodeFixture,
    ServerBehaviour,
    admission_headers,
    completes_job,
    free_port,
    node_fixture,
    run_scenario,
)
from tests.support import entry, settings


@dataclass
class House:
    """The platform's part: the socket it keeps, and the processes it starts on it."""

    fixture: NodeFixture
    environ: dict[str, str]
    sock: socket.socket
    processes: list[trio.Process] = field(default_factory=list)
    desks: list[int] = field(default_factory=list)  # where operators call each

    async def start(self, wait: bool = True) -> tuple[trio.Process, int]:
        """Start a further process; return it, and where operators call it, once it has said yes."""
        port = free_port()
        environ = {
            **os.environ,
            **self.environ,
            "LB_ACCEPT_FD": str(self.sock.fileno()),
            "LB_ADMIN_ADDR": f"127.0.0.2:{port}",
            "TMPDIR": str(self.fixture.folder),
        }
        process = await trio.lowlevel.open_process(
            [sys.executable, "-B", "-m", "merlinbay"], cwd=ROOT, env=environ, pass_fds=[self.sock.fileno()]
        )
        self.processes.append(process)
        self.desks.append(port)
        while wait:
            try:
                if (await self.fixture.admin_call("status", port)).startswith("SUCCESS"):
                    break
            except OSError:
                pass
            await trio.sleep(0.02)
        return process, port


Scene = Callable[[House], Awaitable[None]]


def by_house(folder: Path, scene: Scene, discovery: str = "subscribe", **servers: ServerBehaviour) -> None:
    """Play a scene with a kept socket and these servers; processes are ended by their ids."""

    async def whole() -> None:
        async with node_fixture(folder) as s:
            for name, one in servers.items():
                s.add_server(name, one)
            with socket.create_server(("127.0.0.2", s.port)) as sock:
                found = House(s, s.configure(discovery=discovery), sock)
                try:
                    await scene(found)
                finally:
                    for process in found.processes:
                        if process.poll() is None:
                            process.kill()

    run_scenario(whole)


async def job(connection: ClientConnection, name: str) -> int:
    """Hand in a job on a kept connection; return the status of its answer."""
    return (await connection.exchange("POST", "/admit", admission_headers(name, 3000), b"seat")).status


async def at_once(s: NodeFixture, name: str) -> None:
    """Hand in jobs side by side, so that more than one server is used, until all are served."""

    async def one(number: int) -> None:
        tries = 0
        while (await s.admit(f"{name}-{number}-{tries}", 3000)).status != 200:
            tries += 1
            await trio.sleep(0.02)

    for start in range(0, 20, 4):
        async with trio.open_nursery() as nursery:
            for number in range(start, start + 4):
                nursery.start_soon(one, number)


async def holds(server: FakeServer, request: Request) -> Response | None:
    """Serve all jobs but the one that is held: that one starts, and a test says when it is done."""
    name = request.headers.get("x-request-id", "")
    if request.method != "POST" or name != "held":
        return await completes_job(server, request)
    server.fixture.nursery.start_soon(server.send_event, name, "started")
    return Response(202)


def test_clients_jobs_and_call_backs_outlive_the_process(tmp_path: Path) -> None:
    """Kept connections go over unnoticed, also one whose job runs on; its call-backs reach either process."""

    async def scene(h: House) -> None:
        s = h.fixture
        old, _ = await h.start()
        kept, busy = [await ClientConnection.connect(f"127.0.0.2:{s.port}", LIMITS) for _ in range(2)]
        assert await job(kept, "first") == 200
        ends: list[int] = []

        async def held() -> None:
            ends.append(await job(busy, "held"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(held)
            while not (
                holders := [
                    server
                    for server in s.servers
                    if any(request.headers.get("x-request-id") == "held" for _, request in server.received)
                ]
            ):
                await trio.sleep(0.01)
            await h.start()
            old.send_signal(signal.SIGTERM)
            for number in range(30):  # while one process leaves: no request lost, none refused
                assert await job(kept, f"kept-{number}") == 200
                assert (await s.admit(f"new-{number}", 3000)).status == 200
            assert old.poll() is None and not ends  # it still waits for its job
            for _ in range(3):  # each on a connection of its own, all to the new process
                await holders[0].send_event("held", "running", share=0.5)
            await holders[0].send_event("held", "done", result="x", load=LOAD_REPORT)
        assert ends == [200]
        with trio.fail_after(2):
            assert await old.wait() == 0
        assert await job(busy, "after") == 200 and await job(kept, "end") == 200

    by_house(tmp_path, scene, a=holds, b=holds)


@pytest.mark.parametrize("discovery", ["subscribe", "automatic"])
def test_bans_the_list_and_standby_pass_to_the_next_process(tmp_path: Path, discovery: str) -> None:
    """Made before it starts or while both run; the configuration file's list is older than the node."""

    async def scene(h: House) -> None:
        s = h.fixture
        old, _ = await h.start()
        assert (await s.admin_call("maint-on a", h.desks[0])).startswith("SUCCESS")
        s.update_server("c", state="DELETED")
        await trio.sleep(0.3)
        _, admin_port = await h.start()
        assert (await s.admin_call("maint-on b", h.desks[0])).startswith("SUCCESS")
        await trio.sleep(0.1)
        before = [len(s.server(name).targets()) for name in "abc"]
        await at_once(s, "both")  # by both processes
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0
        await at_once(s, "new")
        assert [len(s.server(name).targets()) for name in "abc"] == before
        assert (await s.admin_call("standby", admin_port)).startswith("SUCCESS")
        await h.start()
        assert (await s.call("GET", "/-/ready")).status == 503
        assert (await s.admin_call("active", h.desks[-1])).startswith("SUCCESS")
        assert (await s.admin_call("maint-off a", h.desks[-1])).startswith("SUCCESS")
        await trio.sleep(0.1)
        assert [(await s.call("GET", "/-/ready")).status for _ in range(6)] == [200] * 6  # either one

    by_house(tmp_path, scene, discovery, a=completes_job, b=completes_job, c=completes_job, d=completes_job)


def test_a_node_whose_successor_died_leaves_as_one_without(tmp_path: Path) -> None:
    """At SIGTERM its clients' connections are served on: there is nobody to take them."""

    async def scene(h: House) -> None:
        old, _ = await h.start()
        kept = await ClientConnection.connect(f"127.0.0.2:{h.fixture.port}", LIMITS)
        assert await job(kept, "first") == 200
        dead, _ = await h.start()
        dead.kill()
        await dead.wait()
        await trio.sleep(0.1)
        old.send_signal(signal.SIGTERM)
        for number in range(20):
            await trio.sleep(0.05)
            assert await job(kept, f"kept-{number}") in (200, 503)  # some spared, as without a successor

    by_house(tmp_path, scene, a=completes_job, b=completes_job)


def test_a_successor_that_dies_leaves_the_node_as_it_was(tmp_path: Path) -> None:
    """It serves on, and the next successor is met as the first one was."""

    async def scene(h: House) -> None:
        s = h.fixture
        old, _ = await h.start()
        kept = await ClientConnection.connect(f"127.0.0.2:{s.port}", LIMITS)
        assert await job(kept, "first") == 200
        dead, _ = await h.start()
        dead.kill()
        await dead.wait()
        await trio.sleep(0.1)
        assert await job(kept, "second") == 200 and (await s.admit("third")).status == 200
        assert (await s.admin_call("maint-on a", h.desks[0])).startswith("SUCCESS")
        _, _admin_port = await h.start()
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0
        assert await job(kept, "fourth") == 200
        assert s.server("b").received[-1][1].headers["x-request-id"] == "fourth"

    by_house(tmp_path, scene, a=completes_job, b=completes_job)


@pytest.mark.parametrize("what", ["stopped", "garbage", "nobody"])
def test_a_process_starts_alone_where_nothing_can_be_taken_over(tmp_path: Path, what: str) -> None:
    """An old process that hangs, a file in the socket's place, one that was left behind by a dead process."""

    async def scene(h: House) -> None:
        s = h.fixture
        old, _ = await h.start()
        assert (await s.admin_call("maint-on a", h.desks[0])).startswith("SUCCESS")
        if what == "stopped":
            old.send_signal(signal.SIGSTOP)
        else:
            old.kill()
            await old.wait()
        meeting = next(tmp_path.glob("merlinbay-*.sock"))
        if what == "garbage":
            meeting.unlink()
            meeting.write_text("nothing")
        with trio.fail_after(5):
            await h.start()
        if what == "stopped":
            old.kill()
            await old.wait()
        for number in range(5):
            assert (await s.admit(f"job-{number}")).status == 200

    by_house(tmp_path, scene, a=completes_job, b=completes_job)


def test_a_message_too_long_for_a_packet_ends_nothing_else() -> None:
    """It alone is not sent: what is posted after it, and a descriptor with it, come through."""

    async def scene() -> None:
        pair = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        ours, theirs = (ControlSocket(trio.socket.from_stdlib_socket(one), LIMITS) for one in pair)
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ours.send_queued)
                ours.post(messages.CallbackForward(AttemptFinished("a", "s", Outcome.OK, b"x" * 4_000_000)))
                ours.post(messages.ConnectionTransfer(True, False), os.dup(0))
                packet = await theirs.receive()
                assert packet is not None and packet.message == messages.ConnectionTransfer(True, False)
                assert packet.descriptor >= 0
                os.close(packet.descriptor)
                nursery.cancel_scope.cancel()
        for one in (ours, theirs):
            one.sock.close()

    trio.run(scene)


def test_what_was_learned_is_taken_over_as_it_was() -> None:
    """Through the wire's messages: health, pace, slots, cold turns, bans; not of a server started since."""
    conf = settings(balancers=1)
    one, two = Balancer(conf, 1, 1_000_000), Balancer(conf, 2, 1_000_000)
    rows = [entry(0), entry(2), entry(4, ready=900_000)]
    one.handle(1_000_000, [EndpointsChanged("all", rows)])
    for number in range(60):
        for action in one.handle(1_000_000 + number * 50_000, [RequestReceived(number, "safe", 5_000_000)]):
            if isinstance(action, Dispatch):
                outcome = Outcome.CONNECT_FAILED if action.endpoint == "w2" else Outcome.OK
                one.handle(
                    one.parts.context.now_us,
                    [AttemptEnded(number, 0, outcome, 30_000, False, [1.0, 7.0], action.endpoint)],
                )
    one.handle(one.parts.context.now_us, [MaintenanceChanged("w4", True)])
    assert (
        one.parts.endpoints.by_name["w2"].failures.ejected_until_us > one.parts.context.now_us
        and one.parts.endpoints.kinds["k1"].capacity.slots > 4
    )
    parts = [
        messages.decode(messages.encode(message))
        for message in messages.state_messages(5, [], one.take_snapshot(), False)
    ]
    whole = parts[-1]
    assert isinstance(whole, messages.StateComplete)
    whole.learned.endpoints = [
        one for part in parts[:-1] if isinstance(part, messages.StateChunk) for one in part.endpoints
    ]
    two.handle(
        one.parts.context.now_us, [EndpointsChanged("remembered", [entry(0, ready=3_000_000), *rows[1:]])]
    )
    two.restore_snapshot(from_encoded(whole.learned))
    assert two.take_snapshot().load == one.take_snapshot().load
    for name in ("w2", "w4"):
        mine, theirs = two.parts.endpoints.by_name[name], one.parts.endpoints.by_name[name]
        assert (
            mine.failures.ejected_until_us,
            mine.slow_start.next_admission_at_us,
            mine.run_time.pace,
            mine.state,
        ) == (
            theirs.failures.ejected_until_us,
            theirs.slow_start.next_admission_at_us,
            theirs.run_time.pace,
            theirs.state,
        )
    assert (
        two.parts.endpoints.by_name["w0"].ready_at_us == 3_000_000
        and two.parts.endpoints.by_name["w0"].run_time.pace == 1.0
    )
    assert (
        two.parts.endpoints.by_name["w4"].state == "draining"
        and two.parts.endpoints.kinds["k1"].capacity.slots == one.parts.endpoints.kinds["k1"].capacity.slots
    )
    assert {w.name for w in two.parts.endpoints.usable} == {"w0", "w2"}
