"""System calls that fail as Linux documents, and a wall clock that is stepped."""

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
    """Return an asynchronous call that fails with these errors before it works."""

    async def shim(*args: Any) -> Any:
        if numbers:
            number = numbers.pop(0)
            raise OSError(number, errno.errorcode[number])
        return await call(*args)

    return shim


def test_the_listener_outlives_every_way_in_which_accept_fails(tmp_path: Path) -> None:
    """Each of them once, then a request is served; those that last do not make it spin."""
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

    async def scene() -> None:
        async with node_fixture(tmp_path) as at:
            at.add_server("s")
            await at.start()
            left = list(numbers)
            with patch.object(TRIO_SOCKET, "accept", failing(TRIO_SOCKET.accept, left)):
                await at.call("GET", "/-/ready")  # ends the accept that waits
                assert (await at.admit("j")).status == 200
            assert not left and at.counters.counts["accepts_failed"] == len(numbers)

    run_scenario(scene)


def test_a_connection_that_has_ended_by_its_accept_ends_no_listener(tmp_path: Path) -> None:
    """Options cannot be set on it any more; the next client is served."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as at:
            at.add_server("s")
            await at.start()
            setsockopt = TRIO_SOCKET.setsockopt
            ended: list[Any] = []

            def shim(sock: Any, *args: Any) -> None:
                if not ended and sock.getsockname()[1] == at.port:
                    ended.append(sock)
                    raise OSError(errno.EINVAL, "ended")
                setsockopt(sock, *args)

            with patch.object(TRIO_SOCKET, "setsockopt", shim):
                with pytest.raises(ConnectionBrokenError):
                    await at.call("GET", "/-/ready")
                assert ended and (await at.admit("j")).status == 200

    run_scenario(scene)


def test_a_failed_accept_does_not_end_the_wait_for_a_successor() -> None:
    """The connection after it is the successor's."""
    successor: Any = Mock()

    async def accept() -> tuple[Any, str]:
        return successor, ""

    async def scene() -> None:
        inbox, listener, client_steering, clock = Mock(), Mock(), Mock(), Mock()
        takeover = Takeover(Path("x"), inbox, listener, client_steering, LIMITS, Counters(), Log(9), clock)
        listening = Mock(accept=failing(accept, [errno.ECONNABORTED, errno.EMFILE]))
        with trio.fail_after(5):
            assert await takeover.as_predecessor._accept(listening) is successor

    trio.run(scene)


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
def test_what_a_failed_connect_says(
    number: int, kind: type[RequestNotSentError], failure: CallFailure
) -> None:
    """Only what lies with the other side, or the way to it, proves that it cannot be reached."""

    async def scene() -> None:
        with (
            patch.object(TRIO_SOCKET, "connect", failing(TRIO_SOCKET.connect, [number])),
            pytest.raises(RequestNotSentError) as raised,
        ):
            await ClientConnection.connect("127.0.0.2:9", LIMITS)
        assert type(raised.value) is kind and classify_failure(raised.value) is failure

    trio.run(scene)


@pytest.mark.parametrize(
    ("status", "failure"),
    [(503, CallFailure.UNAVAILABLE), (404, CallFailure.BROKEN), (500, CallFailure.BROKEN)],
)
def test_only_discovery_s_own_word_says_that_it_is_down(status: int, failure: CallFailure) -> None:
    """Any other status may come from something else on the way."""
    assert classify_failure(UnexpectedStatusError(status)) is failure


def test_a_server_is_not_left_out_for_what_this_machine_lacks(tmp_path: Path) -> None:
    """No local port for a while: jobs are refused, and the next one is served by the only server."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as at:
            at.add_server("s")
            await at.start()
            connect = TRIO_SOCKET.connect

            async def no_port(sock: Any, address: tuple[str, int]) -> None:
                if address[1] == at.servers[0].sock.getsockname()[1]:
                    raise OSError(errno.EADDRNOTAVAIL, "no port")
                await connect(sock, address)

            with patch.object(TRIO_SOCKET, "connect", no_port):
                assert (await at.admit("j-1")).status == 503
            assert (await at.admit("j-2")).status == 200
            assert at.counters.counts["dials_short"] > 0

    run_scenario(scene)


@pytest.mark.parametrize("step_s", [3600.0, 5.0, -5.0, -3600.0])
@pytest.mark.parametrize("stepped_first", [True, False])
def test_a_stepped_wall_clock_makes_no_server_warmer_than_it_is(step_s: float, stepped_first: bool) -> None:
    """A server that started three seconds ago, before or after the step, is never taken for older."""

    async def scene() -> None:
        made = Clock()
        times = StartTimes(made, [])
        started_us, wall_us = made.now_us() - 3 * SECOND, int(step_s * SECOND) * stepped_first
        told = ServiceEntry("s", "a:1", started_at_us=started_us + wall_us)
        with patch("merlinbay.clock.time.time", lambda: made.now_us() / 1e6 + step_s):
            (first,) = times.translate([told])
            await trio.sleep(0.02)
            (second,) = times.translate([told])
        age_us = made.now_us() - first.started_at_us
        assert -SECOND // 10 <= age_us <= 3 * SECOND + SECOND // 10
        assert second == first  # the same start is the same moment, or it would count as another start
        (usual,) = times.translate([ServiceEntry("t", "a:1", started_at_us=0)])
        assert usual.started_at_us == 0

    trio.run(scene)


def test_a_step_makes_no_warm_server_start_anew() -> None:
    """It was listed before, an hour ago by its start: a step of an hour back would make that just now."""

    async def scene() -> None:
        made = Clock()
        times = StartTimes(made, [])
        warm = ServiceEntry("s", "a:1", started_at_us=made.now_us() - 3602 * SECOND)
        assert times.translate([warm]) == [warm]
        with patch("merlinbay.clock.time.time", lambda: made.now_us() / 1e6 - 3600):
            assert times.translate([warm]) == [warm]

    trio.run(scene)


def test_a_process_carries_on_the_clock_of_the_one_before() -> None:
    """The wall clock was stepped by an hour between their starts: spans that go on are not off by it."""

    async def scene() -> None:
        before = Clock()
        with patch("merlinbay.clock.time.time", lambda: before.unix_start_s + 3600):
            after = Clock()
        assert after.now_us() - before.now_us() > 3500 * SECOND
        after.continue_from(before.now_us())
        assert abs(after.now_us() - before.now_us()) < SECOND // 10

    trio.run(scene)


@pytest.mark.parametrize(
    ("failure", "placed"),
    [(CallFailure.BROKEN, False), (CallFailure.SILENT, True), (CallFailure.UNREACHABLE, True)],
)
def test_a_pushed_list_is_overdue_only_while_its_agent_answers_what_cannot_be_read(
    failure: CallFailure, placed: bool
) -> None:
    """An agent that is silent has learned nothing; one that answers may have news."""
    made = Balancer(settings(must_subscribe=False, safety=SafetyMargins(drain_grace_us=SECOND // 2)), 1, 0)
    made.handle(0, [EndpointsChanged("all", [entry(0)])])
    for now in range(10 * SECOND, 18 * SECOND, SECOND // 2):
        made.handle(now, [EndpointsChanged("refused", [], 9 * SECOND if now == 10 * SECOND else -1, failure)])
    actions = made.handle(18 * SECOND, [RequestReceived(1, "safe", 10 * SECOND)])
    assert any(isinstance(action, Dispatch) for action in actions) == placed
    made.handle(18 * SECOND, [EndpointsChanged("changes", [])])
    actions = made.handle(18 * SECOND, [RequestReceived(2, "safe", 10 * SECOND)])
    assert any(isinstance(action, Dispatch) for action in actions)
