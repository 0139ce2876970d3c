"""Handover between processes of the program that share one listening socket."""

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
class ProcessGroup:
    """The platform's listening socket, and the processes of the node that it starts on it."""

    fixture: NodeFixture
    environ: dict[str, str]
    sock: socket.socket
    processes: list[trio.Process] = field(default_factory=list)
    admin_ports: list[int] = field(default_factory=list)  # ports for operators' calls, one for each process

    async def start(self, wait: bool = True) -> tuple[trio.Process, int]:
        """Start a further process; return it and its port for operators' calls, once it answers there."""
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
        self.admin_ports.append(port)
        while wait:
            try:
                if (await self.fixture.admin_call("status", port)).startswith("SUCCESS"):
                    break
            except OSError:
                pass
            await trio.sleep(0.02)
        return process, port


Scenario = Callable[[ProcessGroup], Awaitable[None]]


def run_with_processes(
    folder: Path, scenario: Scenario, discovery: str = "subscribe", **servers: ServerBehaviour
) -> None:
    """Run a scenario with a listening socket and the given servers, and end its processes by their ids."""

    async def whole() -> None:
        async with node_fixture(folder) as s:
            for name, handler in servers.items():
                s.add_server(name, handler)
            with socket.create_server(("127.0.0.2", s.port)) as sock:
                group = ProcessGroup(s, s.configure(discovery=discovery), sock)
                try:
                    await scenario(group)
                finally:
                    for process in group.processes:
                        if process.poll() is None:
                            process.kill()

    run_scenario(whole)


async def send_request(connection: ClientConnection, name: str) -> int:
    """Send a request on a kept connection; return the status of its answer."""
    return (await connection.exchange("POST", "/admit", admission_headers(name, 3000), b"seat")).status


async def send_concurrently(s: NodeFixture, name: str) -> None:
    """Send requests concurrently, so that more than one server is used, until all are served."""

    async def send_until_served(number: int) -> None:
        tries = 0
        while (await s.admit(f"{name}-{number}-{tries}", 3000)).status != 200:
            tries += 1
            await trio.sleep(0.02)

    for start in range(0, 20, 4):
        async with trio.open_nursery() as nursery:
            for number in range(start, start + 4):
                nursery.start_soon(send_until_served, number)


async def hold_one_request(server: FakeServer, request: Request) -> Response | None:
    """Serve all requests except the one named ``held``, which starts and which the test completes."""
    name = request.headers.get("x-request-id", "")
    if request.method != "POST" or name != "held":
        return await completes_job(server, request)
    server.fixture.nursery.start_soon(server.send_event, name, "started")
    return Response(202)


def test_connections_requests_and_call_backs_survive_a_handover(tmp_path: Path) -> None:
    """Client connections move to the new process without an error, also one with a running request.

    Its call-backs may reach either process. No request is lost or rejected while the old process leaves.
    """

    async def scenario(group: ProcessGroup) -> None:
        s = group.fixture
        old, _ = await group.start()
        kept, busy = [await ClientConnection.connect(f"127.0.0.2:{s.port}", LIMITS) for _ in range(2)]
        assert await send_request(kept, "first") == 200
        ends: list[int] = []

        async def send_held_request() -> None:
            ends.append(await send_request(busy, "held"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_held_request)
            while not (
                holders := [
                    server
                    for server in s.servers
                    if any(request.headers.get("x-request-id") == "held" for _, request in server.received)
                ]
            ):
                await trio.sleep(0.01)
            await group.start()
            old.send_signal(signal.SIGTERM)
            for number in range(30):  # While the old process leaves, no request is lost or rejected.
                assert await send_request(kept, f"kept-{number}") == 200
                assert (await s.admit(f"new-{number}", 3000)).status == 200
            assert old.poll() is None and not ends  # The old process still waits for its request.
            for _ in range(3):  # Each call-back has a connection of its own, to the new process.
                await holders[0].send_event("held", "running", share=0.5)
            await holders[0].send_event("held", "done", result="x", load=LOAD_REPORT)
        assert ends == [200]
        with trio.fail_after(2):
            assert await old.wait() == 0
        assert await send_request(busy, "after") == 200 and await send_request(kept, "end") == 200

    run_with_processes(tmp_path, scenario, a=hold_one_request, b=hold_one_request)


@pytest.mark.parametrize("discovery", ["subscribe", "automatic"])
def test_bans_endpoint_list_and_standby_pass_to_the_successor(tmp_path: Path, discovery: str) -> None:
    """Bans are set before the successor starts or while both processes run.

    The endpoint list has changed since the configuration file was written, so the successor must not use
    the list in that file.
    """

    async def scenario(group: ProcessGroup) -> None:
        s = group.fixture
        old, _ = await group.start()
        assert (await s.admin_call("maint-on a", group.admin_ports[0])).startswith("SUCCESS")
        s.update_server("c", state="DELETED")
        await trio.sleep(0.3)
        _, admin_port = await group.start()
        assert (await s.admin_call("maint-on b", group.admin_ports[0])).startswith("SUCCESS")
        await trio.sleep(0.1)
        before = [len(s.server(name).targets()) for name in "abc"]
        await send_concurrently(s, "both")  # both processes serve these requests
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0
        await send_concurrently(s, "new")
        assert [len(s.server(name).targets()) for name in "abc"] == before
        assert (await s.admin_call("standby", admin_port)).startswith("SUCCESS")
        await group.start()
        assert (await s.call("GET", "/-/ready")).status == 503
        assert (await s.admin_call("active", group.admin_ports[-1])).startswith("SUCCESS")
        assert (await s.admin_call("maint-off a", group.admin_ports[-1])).startswith("SUCCESS")
        await trio.sleep(0.1)
        # Both processes answer these calls.
        assert [(await s.call("GET", "/-/ready")).status for _ in range(6)] == [200] * 6

    run_with_processes(
        tmp_path, scenario, discovery, a=completes_job, b=completes_job, c=completes_job, d=completes_job
    )


def test_node_whose_successor_has_died_stops_like_one_without_successor(tmp_path: Path) -> None:
    """At SIGTERM it must go on serving its client connections, because no process can take them over."""

    async def scenario(group: ProcessGroup) -> None:
        old, _ = await group.start()
        kept = await ClientConnection.connect(f"127.0.0.2:{group.fixture.port}", LIMITS)
        assert await send_request(kept, "first") == 200
        dead, _ = await group.start()
        dead.kill()
        await dead.wait()
        await trio.sleep(0.1)
        old.send_signal(signal.SIGTERM)
        for number in range(20):
            await trio.sleep(0.05)
            # Some requests are rejected, as without a successor.
            assert await send_request(kept, f"kept-{number}") in (200, 503)

    run_with_processes(tmp_path, scenario, a=completes_job, b=completes_job)


def test_death_of_a_successor_does_not_affect_the_node(tmp_path: Path) -> None:
    """The old process serves on, and the next successor takes over from it."""

    async def scenario(group: ProcessGroup) -> None:
        s = group.fixture
        old, _ = await group.start()
        kept = await ClientConnection.connect(f"127.0.0.2:{s.port}", LIMITS)
        assert await send_request(kept, "first") == 200
        dead, _ = await group.start()
        dead.kill()
        await dead.wait()
        await trio.sleep(0.1)
        assert await send_request(kept, "second") == 200 and (await s.admit("third")).status == 200
        assert (await s.admin_call("maint-on a", group.admin_ports[0])).startswith("SUCCESS")
        _, _admin_port = await group.start()
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0
        assert await send_request(kept, "fourth") == 200
        assert s.server("b").received[-1][1].headers["x-request-id"] == "fourth"

    run_with_processes(tmp_path, scenario, a=completes_job, b=completes_job)


@pytest.mark.parametrize("obstacle", ["stopped", "garbage", "nobody"])
def test_process_starts_alone_without_a_usable_predecessor(tmp_path: Path, obstacle: str) -> None:
    """The old process hangs, a file is in place of its socket, or it died and left its socket behind."""

    async def scenario(group: ProcessGroup) -> None:
        s = group.fixture
        old, _ = await group.start()
        assert (await s.admin_call("maint-on a", group.admin_ports[0])).startswith("SUCCESS")
        if obstacle == "stopped":
            old.send_signal(signal.SIGSTOP)
        else:
            old.kill()
            await old.wait()
        socket_path = next(tmp_path.glob("merlinbay-*.sock"))
        if obstacle == "garbage":
            socket_path.unlink()
            socket_path.write_text("nothing")
        with trio.fail_after(5):
            await group.start()
        if obstacle == "stopped":
            old.kill()
            await old.wait()
        for number in range(5):
            assert (await s.admit(f"job-{number}")).status == 200

    run_with_processes(tmp_path, scenario, a=completes_job, b=completes_job)


def test_message_that_is_too_long_does_not_block_later_ones() -> None:
    """Only the message that does not fit into a packet is lost; the next one arrives with its descriptor."""

    async def scenario() -> None:
        pair = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sender, receiver = (ControlSocket(trio.socket.from_stdlib_socket(sock), LIMITS) for sock in pair)
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(sender.send_queued)
                sender.post(messages.CallbackForward(AttemptFinished("a", "s", Outcome.OK, b"x" * 4_000_000)))
                sender.post(messages.ConnectionTransfer(True, False), os.dup(0))
                packet = await receiver.receive()
                assert packet is not None and packet.message == messages.ConnectionTransfer(True, False)
                assert packet.descriptor >= 0
                os.close(packet.descriptor)
                nursery.cancel_scope.cancel()
        for control_socket in (sender, receiver):
            control_socket.sock.close()

    trio.run(scenario)


def test_learned_state_is_restored_from_the_encoded_snapshot() -> None:
    """Health, pace, slots, slow start and bans are the same after encoding and decoding.

    The state of a server that has been restarted since is not restored.
    """
    conf = settings(balancers=1)
    predecessor, successor = Balancer(conf, 1, 1_000_000), Balancer(conf, 2, 1_000_000)
    rows = [entry(0), entry(2), entry(4, ready=900_000)]
    predecessor.handle(1_000_000, [EndpointsChanged("all", rows)])
    for number in range(60):
        for action in predecessor.handle(
            1_000_000 + number * 50_000, [RequestReceived(number, "safe", 5_000_000)]
        ):
            if isinstance(action, Dispatch):
                outcome = Outcome.CONNECT_FAILED if action.endpoint == "w2" else Outcome.OK
                predecessor.handle(
                    predecessor.parts.context.now_us,
                    [AttemptEnded(number, 0, outcome, 30_000, False, [1.0, 7.0], action.endpoint)],
                )
    predecessor.handle(predecessor.parts.context.now_us, [MaintenanceChanged("w4", True)])
    assert (
        predecessor.parts.endpoints.by_name["w2"].failures.ejected_until_us > predecessor.parts.context.now_us
        and predecessor.parts.endpoints.kinds["k1"].capacity.slots > 4
    )
    parts = [
        messages.decode(messages.encode(message))
        for message in messages.state_messages(5, [], predecessor.take_snapshot(), False)
    ]
    final = parts[-1]
    assert isinstance(final, messages.StateComplete)
    final.learned.endpoints = [
        endpoint
        for part in parts[:-1]
        if isinstance(part, messages.StateChunk)
        for endpoint in part.endpoints
    ]
    successor.handle(
        predecessor.parts.context.now_us,
        [EndpointsChanged("remembered", [entry(0, ready=3_000_000), *rows[1:]])],
    )
    successor.restore_snapshot(from_encoded(final.learned))
    assert successor.take_snapshot().load == predecessor.take_snapshot().load
    for name in ("w2", "w4"):
        restored, original = (
            successor.parts.endpoints.by_name[name],
            predecessor.parts.endpoints.by_name[name],
        )
        assert (
            restored.failures.ejected_until_us,
            restored.slow_start.next_admission_at_us,
            restored.run_time.pace,
            restored.state,
        ) == (
            original.failures.ejected_until_us,
            original.slow_start.next_admission_at_us,
            original.run_time.pace,
            original.state,
        )
    assert (
        successor.parts.endpoints.by_name["w0"].ready_at_us == 3_000_000
        and successor.parts.endpoints.by_name["w0"].run_time.pace == 1.0
    )
    assert (
        successor.parts.endpoints.by_name["w4"].state == "draining"
        and successor.parts.endpoints.kinds["k1"].capacity.slots
        == predecessor.parts.endpoints.kinds["k1"].capacity.slots
    )
    assert {w.name for w in successor.parts.endpoints.usable} == {"w0", "w2"}


# Guards against an id that runs twice because it comes again at the other process of an upgrade.
def test_an_id_that_comes_again_at_the_other_process_is_not_sent_again(tmp_path: Path) -> None:
    """One id was used before the new process started, and one after it, on a connection of the old one."""

    async def scenario(group: ProcessGroup) -> None:
        s = group.fixture
        old, _ = await group.start()
        connection = await ClientConnection.connect(f"127.0.0.2:{s.port}", LIMITS)
        assert await send_request(connection, "before") == 200
        new, _ = await group.start()
        assert await send_request(connection, "beside") == 200
        old.send_signal(signal.SIGTERM)
        await old.wait()
        assert [await send_request(connection, name) for name in ("before", "beside")] == [500, 500]
        assert new.poll() is None and await send_request(connection, "after") == 200
        sent = [request.headers["x-request-id"] for _, request in s.servers[0].received if request.body]
        assert sorted(sent) == ["after", "before", "beside"]
        connection.close()

    run_with_processes(tmp_path, scenario, text=completes_job)
