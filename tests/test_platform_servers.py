"""One attempt at one executor: what is told at its first byte, and what its answers prove."""

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
Answers = Callable[[str], Awaitable[Reply]]  # plays the server: takes the method, returns the answer


class ScriptedPool(ConnectionPool):
    """A pool with no sockets: a dial of so many seconds, and answers by a script."""

    def __init__(self, answers: Answers, dial: float) -> None:
        super().__init__(LIMITS, Counters())
        self.answers, self.dial = answers, dial
        self.sent: list[tuple[str, dict[str, str]]] = []

    async def exchange(self, name: str, request: OutgoingRequest) -> Reply:
        """Dial, look, send, and answer by the script."""
        await trio.sleep(self.dial)
        told = request.pre_send_check() if request.pre_send_check is not None else []
        self.sent.append((request.method, dict([*request.headers, *told])))
        return await self.answers(request.method)

    @property
    def methods(self) -> list[str]:
        """The methods of what was sent."""
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
        """Make the attempt."""
        now = self.clock.now_us()
        spec = RequestSpec("j", "admit", now, 3 * SECOND_US)
        self.attempt = ServerAttempt(spec, 1, 0, "s", now, now + 3 * SECOND_US)

    async def outcome(self) -> Outcome:
        """Return how the attempt has ended."""
        ended = await self.inbox.receive()
        assert isinstance(ended, AttemptFinished)
        return ended.outcome

    def nothing_told(self) -> bool:
        """Tell whether the attempt is still open."""
        return self.inbox.statistics().current_buffer_used == 0


@asynccontextmanager
async def servers_over(answers: Answers, dial: float = 0.0) -> AsyncIterator[Scene]:
    """Open the platform's servers, and close them at the end."""
    with trio.fail_after(60):  # of virtual time
        async with trio.open_nursery() as nursery:
            send, inbox = trio.open_memory_channel[Message](9)
            pool, clock = ScriptedPool(answers, dial), Clock()
            clock.unix_start_s = 1_800_000_000.0  # whole: a drawn one loses a microsecond in one of nine runs
            servers = PlatformServers(nursery, pool, send, clock, LIMITS, Counters(), Log(9), False)
            yield Scene(servers, pool, inbox, clock)
            nursery.cancel_scope.cancel()


def play(scene: Callable[[], Awaitable[None]]) -> None:
    """Run a scene in virtual time."""
    trio.run(scene, clock=trio.testing.MockClock(autojump_threshold=0))


async def takes(method: str) -> Reply:
    """Take whatever comes."""
    return Reply(202, {}, b"")


def test_the_time_told_to_a_server_is_what_is_left_at_the_first_byte() -> None:
    """The dial has eaten from it."""

    async def scene() -> None:
        async with servers_over(takes, dial=1.4) as at:
            at.servers.start(at.attempt)
            await trio.sleep(1.5)
            (method, headers), *_ = at.pool.sent
            assert method == "POST" and int(headers["x-timeout-ms"]) == 1600

    play(scene)


def test_an_attempt_that_the_module_allows_no_more_is_not_begun() -> None:
    """Its dial has lasted for longer than the class allows; that says nothing against its server."""

    async def scene() -> None:
        async with servers_over(takes, dial=0.4) as at:
            limit = at.clock.now_us() + 300_000
            at.attempt = replace(at.attempt, is_permitted=lambda attempt: at.clock.now_us() < limit)
            at.servers.start(at.attempt)
            assert await at.outcome() is Outcome.MOOT
            assert not at.pool.sent

    play(scene)


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
def test_an_attempt_given_up_as_its_answer_is_taken_in_is_deleted(
    status: int, headers: dict[str, str], expected: list[str]
) -> None:
    """The answer has come, and its exchange can be cancelled no more; where the job may run it is deleted."""

    async def scene() -> None:
        async def answers(method: str) -> Reply:
            if method == "POST":  # given up by a task that runs before this one goes on
                at.servers.cancel(at.attempt)
            return Reply(status, headers, b"")

        async with servers_over(answers) as at:
            at.servers.start(at.attempt)
            await trio.testing.wait_all_tasks_blocked()
            assert at.pool.methods == expected and at.nothing_told()

    play(scene)


UNKNOWN = {"200": Reply(200, {}, b""), "bare 503": Reply(503, {}, b""), "302": Reply(302, {}, b"")}


@pytest.mark.parametrize("name", [*UNKNOWN, "unreadable"])
@pytest.mark.parametrize("confirms", [True, False])
def test_an_answer_that_the_protocol_does_not_name(name: str, confirms: bool) -> None:
    """It ends its attempt once that is given up; without the server's word it stays open like a taken one."""

    async def scene() -> None:
        async def answers(method: str) -> Reply:
            if method == "DELETE":
                if not confirms:
                    raise ConnectionBrokenError("lost")
                return Reply(404, {}, b"")
            if name not in UNKNOWN:
                raise UnreadableResponseError("no HTTP")
            return UNKNOWN[name]

        async with servers_over(answers) as at:
            at.servers.start(at.attempt)
            await trio.testing.wait_all_tasks_blocked()
            assert at.pool.methods == ["POST", "DELETE"]
            assert at.nothing_told() == (not confirms)
            if confirms:
                assert await at.outcome() is Outcome.ERROR
            assert at.servers.counters.counts["answers_unknown"] == 1

    play(scene)


def test_a_connection_that_breaks_before_the_answer_is_a_reset() -> None:
    """Its server has ended the attempt by that: nothing is deleted."""

    async def scene() -> None:
        async def answers(method: str) -> Reply:
            raise ConnectionBrokenError("reset")

        async with servers_over(answers) as at:
            at.servers.start(at.attempt)
            assert await at.outcome() is Outcome.RESET
            assert at.pool.methods == ["POST"]

    play(scene)
