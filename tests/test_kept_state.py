"""What a node keeps of requests that have ended, whatever names their clients make up."""

from __future__ import annotations

import gc
import sys
from collections import deque
from dataclasses import replace
from types import FunctionType, ModuleType
from unittest.mock import Mock

import pytest

from merlinbay.core.attempts import Responder, ServerAttempt
from merlinbay.core.dispatcher import Dispatcher
from merlinbay.core.messages import AttemptFinished, RequestArrived, RequestWithdrawn
from merlinbay.core.values import Answer, AnswerStatus, RequestSpec
from merlinbay.counters import Counters
from merlinbay.decision import Balancer
from merlinbay.decision.events import EndpointEntry, EndpointsChanged
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.placement import MAX_CACHED_KEYS
from merlinbay.limits import limits_from
from merlinbay.log import Log
from tests.net import LIMITS
from tests.support import settings

HOUR_US = 3_600_000_000
REQUESTS = MAX_CACHED_KEYS  # a round; the cache of subjects is cleared once in it
REQUESTS_PER_S = 50  # a node sees some tens of requests a second
LONG = "x" * 1000  # what clients add to the names that they make up
PAUSE_US = 20_000
REMEMBERED = 200  # names of finished requests; less than the requests of one round
MAX_KEPT_BYTES = 2 * 1024 * 1024  # far less than the names of one round
TOLERANCE = 0.02  # what learned state may grow by between two rounds


class Client(Responder):
    """A client of one request."""

    def __init__(self) -> None:
        self.answers: list[Answer] = []

    def answer(self, answer: Answer) -> None:
        """Keep the answer."""
        self.answers.append(answer)


class Play:
    """A dispatcher whose servers do what the play says."""

    def __init__(self, cancelling: bool = True, remembered: int = REMEMBERED) -> None:
        self.clock, self.servers = Mock(), Mock()
        self.attempts: deque[ServerAttempt] = deque()
        self.servers.start = self.attempts.append
        self.clock.now_us.return_value = 1_000_000
        conf = settings(balancers=1)
        conf.limits.cancelling = cancelling
        balancer = Balancer(conf, 1, 0)
        balancer.handle(0, [EndpointsChanged("all", [EndpointEntry(f"w{n}", "a", "k1") for n in range(4)])])
        limits = replace(LIMITS, finished_request_names=remembered)
        self.dispatcher = Dispatcher(balancer, self.clock, limits, Counters(), Log(0), self.servers, Mock())
        self.number = 0

    def hand_in(self, budget_us: int = HOUR_US, name: str = "") -> tuple[RequestSpec, Client]:
        """Hand in a request whose id, unless it is given, tenant and keys nobody has used before."""
        self.number += 1
        self.clock.now_us.return_value += PAUSE_US
        now_us, name = self.clock.now_us(), name or f"job-{self.number}"
        client = Client()
        spec = RequestSpec(
            name,
            "safe",
            now_us,
            budget_us,
            idempotency_key=f"key-{name}{LONG}",
            affinity_key=f"subject-{name}{LONG}",
            tenant=f"tenant-{name}{LONG}",
        )
        self.dispatcher.run_batch([RequestArrived(spec, client)])
        return spec, client

    def finish(self) -> None:
        """End all attempts that are out as done."""
        while self.attempts:
            attempt = self.attempts.popleft()
            self.dispatcher.run_batch(
                [AttemptFinished(attempt.spec.name, attempt.server, Outcome.OK, b"done")]
            )


def reachable_bytes(root: object) -> int:
    """Return the size of all objects that can be reached from one, code aside."""
    seen: set[int] = set()
    size = 0
    open_objects = [root]
    while open_objects:
        found = open_objects.pop()
        if id(found) in seen or isinstance(found, type | ModuleType | FunctionType | Mock):
            continue
        seen.add(id(found))
        size += sys.getsizeof(found)
        open_objects += gc.get_referents(found)
        if isinstance(found, dict):  # The collector does not look at keys that are strings.
            open_objects += found
    return size


# Guards against memory that grows with requests that have ended, or with names that clients make up.
def test_nothing_is_kept_for_each_request_that_has_ended() -> None:
    """After as many requests again, as much is kept as before, though each might wait an hour."""
    play, sizes = Play(), []
    for _ in range(2):
        for _ in range(REQUESTS):
            _, client = play.hand_in()
            play.finish()
            assert len(client.answers) == 1
        sizes.append(reachable_bytes(play.dispatcher))
    assert sizes[1] < sizes[0] * (1 + TOLERANCE) and sizes[1] < MAX_KEPT_BYTES, sizes


@pytest.mark.parametrize("cancelling", [True, False])
def test_an_attempt_whose_client_has_left_ends_with_its_deadline(cancelling: bool) -> None:
    """Its server never reports again, and the settings may not allow cancels."""
    play = Play(cancelling)
    spec, client = play.hand_in(budget_us=2_000_000)
    assert len(play.attempts) == 1
    play.dispatcher.run_batch([RequestWithdrawn(spec.name, client)])
    play.clock.now_us.return_value += 2_000_000
    play.dispatcher.run_batch([])
    assert len(play.dispatcher.requests) == 0
    assert play.dispatcher.balancer.in_flight_slots == 0


# Guards against an id that runs twice because it comes again after its client has left.
@pytest.mark.parametrize("memory_mb", [32, 64, 192])
def test_an_id_that_comes_again_is_not_sent_again(memory_mb: int) -> None:
    """Others send some tens of requests a second for as long as an idle client may stay connected."""
    limits = limits_from(1024, memory_mb, settings(), 0, 0, 300)
    play = Play(remembered=limits.finished_request_names)
    spec, client = play.hand_in(name="again")
    play.dispatcher.run_batch([RequestWithdrawn(spec.name, client)])
    play.finish()
    for _ in range(int(limits.client_idle_timeout_s * REQUESTS_PER_S)):
        play.hand_in()
        play.finish()
    _, client = play.hand_in(name="again")
    assert not play.attempts and [answer.status for answer in client.answers] == [AnswerStatus.FAILED]
