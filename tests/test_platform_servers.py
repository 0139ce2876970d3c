"""One attempt at one executor: the checks and headers before its first byte, and what each reply proves.

The platform's servers run over a connection pool without sockets, in virtual time.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import pytest
import trio
import trio.testing

from merlinbay.clock import Clock
from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.messages import AttemptFinished, Message
from merlinbay.core.values import RequestSpec
from merlinbay.counters import Counters
from merlinbay.decision.outcomes import Outcome
from merlinbay.http.client import ConnectionBrokenError, Reply, UnreadableResponseError
from merlinbay.http.pool import ConnectionPool, OutgoingRequest
from merlinbay.log import Log
from merlinbay.platform.servers import PlatformServers
from tests.net import LIMITS

SECOND_US = 1_000_000
ReplyScript = Callable[[str], Awaitable[Reply]]  # plays the server: takes the method, returns the reply


class ScriptedPool(ConnectionPool):
    """A pool without sockets: connecting takes ``connect_s`` seconds, and a script gives the replies."""

    def __init__(self, reply: ReplyScript, connect_s: float) -> None:
        super().__init__(LIMITS, Counters())
        self.reply, self.connect_s = reply, connect_s
        self.sent: list[tuple[str, dict[str, str]]] = []

    async def exchange(self, name: str, request: OutgoingRequest) -> Reply:
        """Connect, run the pre-send check, send, and return the script's reply."""
        await trio.sleep(self.connect_s)
        added_headers = request.pre_send_check() if request.pre_send_check is not None else []
        self.sent.append((request.method, dict([*request.headers, *added_headers])))
        return await self.reply(request.method)

    @property
    def methods(self) -> list[str]:
        """The methods of the requests that were sent."""
        return [method for method, _ in self.sent]


@dataclass
class Scene:
    """The platform's servers over a scripted pool, and one attempt."""

    servers: PlatformServers
    pool: ScriptedPool
    inbox: trio.MemoryReceiveChannel[Message]
    clock: Clock
    attempt: ServerAttempt = field(init=False)

    def __post_init__(self) -> None:
        """Create the attempt."""
        now = self.clock.now_us()
        spec = RequestSpec("j", "admit", now, 3 * SECOND_US)
        self.attempt = ServerAttempt(spec, 1, 0, "s", now, now + 3 * SECOND_US)

    async def outcome(self) -> Outcome:
        """Wait until the attempt ends, and return its outcome."""
        ended = await self.inbox.receive()
        assert isinstance(ended, AttemptFinished)
        return ended.outcome

    def is_open(self) -> bool:
        """Return whether the end of the attempt has not been reported."""
        return self.inbox.statistics().current_buffer_used == 0


@asynccontextmanager
async def servers_over(reply: ReplyScript, connect_s: float = 0.0) -> AsyncIterator[Scene]:
    """Run the platform's servers over a scripted pool, and stop them at the end."""
    with trio.fail_after(60):  # of virtual time
        async with trio.open_nursery() as nursery:
            send, inbox = trio.open_memory_channel[Message](9)
            pool, clock = ScriptedPool(reply, connect_s), Clock()
            # An integer: with a random start time, one of nine runs loses a microsecond to rounding.
            clock.unix_start_s = 1_800_000_000.0
            servers = PlatformServers(nursery, pool, send, clock, LIMITS, Counters(), Log(9), False)
            yield Scene(servers, pool, inbox, clock)
            nursery.cancel_scope.cancel()


def run_scenario(scene: Callable[[], Awaitable[None]]) -> None:
    """Run a scene in virtual time."""
    trio.run(scene, clock=trio.testing.MockClock(autojump_threshold=0))


async def accept_all(method: str) -> Reply:
    """Accept every request."""
    return Reply(202, {}, b"")


def test_timeout_header_excludes_the_time_taken_to_connect() -> None:
    """The header must count the time taken to connect.

    A timeout computed before connecting would let the server run the job past its deadline.
    """

    async def scene() -> None:
        async with servers_over(accept_all, connect_s=1.4) as at:
            at.servers.start(at.attempt)
            await trio.sleep(1.5)
            (method, headers), *_ = at.pool.sent
            assert method == "POST" and int(headers["x-timeout-ms"]) == 1600

    run_scenario(scene)


def test_attempt_no_longer_permitted_after_connecting_is_not_sent() -> None:
    """Connecting has taken longer than the class allows; this must not count against the server."""

    async def scene() -> None:
        async with servers_over(accept_all, connect_s=0.4) as at:
            limit = at.clock.now_us() + 300_000
            at.attempt = replace(at.attempt, is_permitted=lambda attempt: at.clock.now_us() < limit)
            at.servers.start(at.attempt)
            assert await at.outcome() is Outcome.MOOT
            assert not at.pool.sent

    run_scenario(scene)


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (202, {}, ["POST", "DELETE"]),
        (200, {}, ["POST", "DELETE"]),
        (503, {}, ["POST", "DELETE"]),
        (500, {}, ["POST"]),
        (503, {"x-not-processed": "1"}, ["POST"]),
    ],
)
def test_attempt_cancelled_while_its_reply_is_processed_is_deleted(
    status: int, headers: dict[str, str], expected: list[str]
) -> None:
    """A cancel can come when the reply has arrived and the exchange cannot be cancelled any more.

    If the job may run at the server, it must then be deleted there.
    """

    async def scene() -> None:
        async def reply(method: str) -> Reply:
            if method == "POST":  # as if another task cancelled the attempt before this one resumes
                at.servers.cancel(at.attempt)
            return Reply(status, headers, b"")

        async with servers_over(reply) as at:
            at.servers.start(at.attempt)
            await trio.testing.wait_all_tasks_blocked()
            assert at.pool.methods == expected and at.is_open()

    run_scenario(scene)


UNKNOWN = {"200": Reply(200, {}, b""), "bare 503": Reply(503, {}, b""), "302": Reply(302, {}, b"")}


@pytest.mark.parametrize("name", [*UNKNOWN, "unreadable"])
@pytest.mark.parametrize("confirms", [True, False])
def test_reply_that_the_protocol_does_not_define(name: str, confirms: bool) -> None:
    """Such a reply ends the attempt only if the server then confirms the DELETE of the job.

    Without a confirmation the job may still run, so the attempt stays open like an accepted one.
    """

    async def scene() -> None:
        async def reply(method: str) -> Reply:
            if method == "DELETE":
                if not confirms:
                    raise ConnectionBrokenError("lost")
                return Reply(404, {}, b"")
            if name not in UNKNOWN:
                raise UnreadableResponseError("no HTTP")
            return UNKNOWN[name]

        async with servers_over(reply) as at:
            at.servers.start(at.attempt)
            await trio.testing.wait_all_tasks_blocked()
            assert at.pool.methods == ["POST", "DELETE"]
            assert at.is_open() == (not confirms)
            if confirms:
                assert await at.outcome() is Outcome.ERROR
            assert at.servers.counters.counts["answers_unknown"] == 1

    run_scenario(scene)


def test_connection_that_breaks_before_the_reply_is_a_reset() -> None:
    """The server ends the attempt when its connection breaks, so no DELETE is sent."""

    async def scene() -> None:
        async def reply(method: str) -> Reply:
            raise ConnectionBrokenError("reset")

        async with servers_over(reply) as at:
            at.servers.start(at.attempt)
            assert await at.outcome() is Outcome.RESET
            assert at.pool.methods == ["POST"]

    run_scenario(scene)
