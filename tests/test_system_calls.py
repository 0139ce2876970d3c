"""System calls that fail with the errors that Linux documents, and steps of the wall clock."""

from __future__ import annotations

import errno
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest.mock import Mock, patch

import pytest
import trio

from merlinbay.clock import Clock
from merlinbay.core.values import ServiceEntry
from merlinbay.counters import Counters
from merlinbay.decision import Balancer
from merlinbay.decision.actions import Dispatch
from merlinbay.decision.events import CallFailure, EndpointsChanged, RequestReceived
from merlinbay.decision.settings import SafetyMargins
from merlinbay.handover.takeover import Takeover
from merlinbay.http.client import (
    ClientConnection,
    ConnectionBrokenError,
    ConnectRefusedError,
    LocalResourceError,
    RequestNotSentError,
)
from merlinbay.http.sockets import TRIO_SOCKET
from merlinbay.log import Log
from merlinbay.platform.discovery import UnexpectedStatusError, classify_failure
from merlinbay.platform.start_times import StartTimes
from tests.net import LIMITS, node_fixture, run_scenario
from tests.support import entry, settings

SECOND = 1_000_000


def failing(call: Callable[..., Any], numbers: list[int]) -> Callable[..., Any]:
    """Return an asynchronous call that fails with these errors, one after the other, before it works."""

    async def shim(*args: Any) -> Any:
        if numbers:
            number = numbers.pop(0)
            raise OSError(number, errno.errorcode[number])
        return await call(*args)

    return shim


def test_listener_survives_every_accept_error(tmp_path: Path) -> None:
    """The listener goes on after each of these errors, and does not spin while an error persists."""
    numbers = [
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPERM,
        errno.ENETUNREACH,
    ]

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            node.add_server("s")
            await node.start()
            remaining = list(numbers)
            with patch.object(TRIO_SOCKET, "accept", failing(TRIO_SOCKET.accept, remaining)):
                await node.call("GET", "/-/ready")  # ends the accept that is waiting
                assert (await node.admit("j")).status == 200
            assert not remaining and node.counters.counts["accepts_failed"] == len(numbers)

    run_scenario(scenario)


def test_connection_that_ended_before_its_accept_does_not_end_the_listener(tmp_path: Path) -> None:
    """No option can be set on a connection that has ended. The next client must still be served."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            node.add_server("s")
            await node.start()
            setsockopt = TRIO_SOCKET.setsockopt
            ended: list[Any] = []

            def shim(sock: Any, *args: Any) -> None:
                if not ended and sock.getsockname()[1] == node.port:
                    ended.append(sock)
                    raise OSError(errno.EINVAL, "ended")
                setsockopt(sock, *args)

            with patch.object(TRIO_SOCKET, "setsockopt", shim):
                with pytest.raises(ConnectionBrokenError):
                    await node.call("GET", "/-/ready")
                assert ended and (await node.admit("j")).status == 200

    run_scenario(scenario)


def test_failed_accept_does_not_end_the_wait_for_a_successor() -> None:
    """Errors of ``accept`` are passed over, and the next connection is the successor's."""
    successor: Any = Mock()

    async def accept() -> tuple[Any, str]:
        return successor, ""

    async def scenario() -> None:
        inbox, listener, client_steering, clock = Mock(), Mock(), Mock(), Mock()
        takeover = Takeover(Path("x"), inbox, listener, client_steering, LIMITS, Counters(), Log(9), clock)
        listening = Mock(accept=failing(accept, [errno.ECONNABORTED, errno.EMFILE]))
        with trio.fail_after(5):
            assert await takeover.as_predecessor._accept(listening) is successor

    trio.run(scenario)


@pytest.mark.parametrize(
    ("number", "kind", "failure"),
    [
        (errno.EADDRNOTAVAIL, LocalResourceError, CallFailure.BROKEN),
        (errno.ENOBUFS, LocalResourceError, CallFailure.BROKEN),
        (errno.ENFILE, LocalResourceError, CallFailure.BROKEN),
        (errno.ECONNREFUSED, ConnectRefusedError, CallFailure.UNREACHABLE),
        (errno.ENETUNREACH, ConnectRefusedError, CallFailure.UNREACHABLE),
        (errno.EHOSTUNREACH, ConnectRefusedError, CallFailure.UNREACHABLE),
        (errno.ETIMEDOUT, ConnectRefusedError, CallFailure.UNREACHABLE),
        (errno.EACCES, RequestNotSentError, CallFailure.BROKEN),
    ],
)
def test_connect_error_is_classified_by_errno(
    number: int, kind: type[RequestNotSentError], failure: CallFailure
) -> None:
    """Only errors of the other side, or of the network on the way, prove that it cannot be reached."""

    async def scenario() -> None:
        with (
            patch.object(TRIO_SOCKET, "connect", failing(TRIO_SOCKET.connect, [number])),
            pytest.raises(RequestNotSentError) as raised,
        ):
            await ClientConnection.connect("127.0.0.2:9", LIMITS)
        assert type(raised.value) is kind and classify_failure(raised.value) is failure

    trio.run(scenario)


@pytest.mark.parametrize(
    ("status", "failure"),
    [(503, CallFailure.UNAVAILABLE), (404, CallFailure.BROKEN), (500, CallFailure.BROKEN)],
)
def test_only_status_503_means_that_discovery_is_unavailable(status: int, failure: CallFailure) -> None:
    """Any other status may come from something else on the way."""
    assert classify_failure(UnexpectedStatusError(status)) is failure


def test_local_resource_shortage_does_not_eject_a_server(tmp_path: Path) -> None:
    """While there is no local port, jobs are rejected. The only server serves the next job."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as node:
            node.add_server("s")
            await node.start()
            connect = TRIO_SOCKET.connect

            async def no_port(sock: Any, address: tuple[str, int]) -> None:
                if address[1] == node.servers[0].sock.getsockname()[1]:
                    raise OSError(errno.EADDRNOTAVAIL, "no port")
                await connect(sock, address)

            with patch.object(TRIO_SOCKET, "connect", no_port):
                assert (await node.admit("j-1")).status == 503
            assert (await node.admit("j-2")).status == 200
            assert node.counters.counts["dials_short"] > 0

    run_scenario(scenario)


@pytest.mark.parametrize("step_s", [3600.0, 5.0, -5.0, -3600.0])
@pytest.mark.parametrize("stepped_first", [True, False])
def test_wall_clock_step_makes_no_server_look_warmer(step_s: float, stepped_first: bool) -> None:
    """A server that started three seconds ago, before or after the step, never counts as older."""

    async def scenario() -> None:
        clock = Clock()
        times = StartTimes(clock, [])
        started_us, wall_us = clock.now_us() - 3 * SECOND, int(step_s * SECOND) * stepped_first
        listed = ServiceEntry("s", "a:1", started_at_us=started_us + wall_us)
        with patch("merlinbay.clock.time.time", lambda: clock.now_us() / 1e6 + step_s):
            (first,) = times.translate([listed], False)
            await trio.sleep(0.02)
            (second,) = times.translate([listed], False)
        age_us = clock.now_us() - first.started_at_us
        assert -SECOND // 10 <= age_us <= 3 * SECOND + SECOND // 10
        assert second == first  # The same start must stay the same time, or it would count as another start.
        (long_started,) = times.translate([ServiceEntry("t", "a:1", started_at_us=0)], False)
        assert long_started.started_at_us == 0

    trio.run(scenario)


def test_wall_clock_step_does_not_restart_the_slow_start() -> None:
    """A listed server started an hour ago. A step back by an hour must not make that a recent start."""

    async def scenario() -> None:
        clock = Clock()
        times = StartTimes(clock, [])
        warm = ServiceEntry("s", "a:1", started_at_us=clock.now_us() - 3602 * SECOND)
        assert times.translate([warm], False) == [warm]
        with patch("merlinbay.clock.time.time", lambda: clock.now_us() / 1e6 - 3600):
            assert times.translate([warm], False) == [warm]

    trio.run(scenario)


def test_process_continues_the_clock_of_its_predecessor() -> None:
    """A step of the wall clock by an hour between the two starts does not change running timeouts."""

    async def scenario() -> None:
        before = Clock()
        with patch("merlinbay.clock.time.time", lambda: before.unix_start_s + 3600):
            after = Clock()
        assert after.now_us() - before.now_us() > 3500 * SECOND
        after.continue_from(before.now_us())
        assert abs(after.now_us() - before.now_us()) < SECOND // 10

    trio.run(scenario)


@pytest.mark.parametrize(
    ("failure", "placed"),
    [(CallFailure.BROKEN, False), (CallFailure.SILENT, True), (CallFailure.UNREACHABLE, True)],
)
def test_pushed_list_is_overdue_only_while_its_agent_sends_unreadable_responses(
    failure: CallFailure, placed: bool
) -> None:
    """A silent agent has not heard of changes, but one that responds unreadably may have."""
    balancer = Balancer(
        settings(must_subscribe=False, safety=SafetyMargins(drain_grace_us=SECOND // 2)), 1, 0
    )
    balancer.handle(0, [EndpointsChanged("all", [entry(0)])])
    for now in range(10 * SECOND, 18 * SECOND, SECOND // 2):
        balancer.handle(
            now, [EndpointsChanged("refused", [], 9 * SECOND if now == 10 * SECOND else -1, failure)]
        )
    actions = balancer.handle(18 * SECOND, [RequestReceived(1, "safe", 10 * SECOND)])
    assert any(isinstance(action, Dispatch) for action in actions) == placed
    balancer.handle(18 * SECOND, [EndpointsChanged("changes", [])])
    actions = balancer.handle(18 * SECOND, [RequestReceived(2, "safe", 10 * SECOND)])
    assert any(isinstance(action, Dispatch) for action in actions)
