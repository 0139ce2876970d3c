"""Attempts of a job's earlier offers that may have run: in the batch engine, and in the decision module."""

from __future__ import annotations

from typing import Any
from unittest.mock import Mock

import msgspec
import pytest

from merlinbay.batch.errors import DrmaaError
from merlinbay.batch.jobs import Job, JobStage
from merlinbay.batch.states import JobState
from merlinbay.core.attempts import Responder
from merlinbay.core.dispatcher import Dispatcher
from merlinbay.core.messages import RequestArrived
from merlinbay.core.values import Answer, AnswerStatus, RequestSpec
from merlinbay.counters import Counters
from merlinbay.decision import Balancer
from merlinbay.decision.actions import Dispatch, Fail, Reject
from merlinbay.decision.events import EndpointEntry, EndpointsChanged, RequestReceived, UnresolvedAttempt
from merlinbay.decision.settings import DispatchLimits, RequestClass, Settings
from merlinbay.drmaa.job_client import JobClient
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log
from tests.test_batch import T0, engine, offers, opened, replies, what
from tests.test_world import FakeClock, Servers

SECOND = 1_000_000
WINDOW_US = 3 * SECOND
PASSED = "the time in which it may be sent again has passed"


def lost(job: Job, until_us: int) -> UnresolvedAttempt:
    """Return an attempt of a job that was sent before the end of its window."""
    return UnresolvedAttempt("s-1", "", 0, until_us - 2 * SECOND)


def placed_repeat(until_us: int = T0 + 2 * SECOND) -> tuple[Any, Job]:
    """Return an engine, and its job: it may have run, and its repeat waits at a server."""
    e = engine()
    job = e.submit(opened(e), what(), T0)
    assert offers(e.take(T0)) == [job]
    e.placed(job, "s-1", T0)
    e.possibly_ran(job, lost(job, until_us), until_us, T0)
    e.placed(job, "s-2", T0)
    e.take(T0)
    return e, job


def test_a_hold_after_the_window_leaves_the_repeat_where_it_is() -> None:
    """Guards against a hold that ends a job: taken back from its server, it could never be sent again."""
    e, job = placed_repeat()
    with pytest.raises(DrmaaError, match=PASSED):
        e.hold(job, T0 + 2 * SECOND, "call")
    assert e.take(T0 + 2 * SECOND) == [] and (job.state, job.stage) == (JobState.QUEUED, JobStage.PLACED)


def test_a_hold_that_is_settled_after_the_window_is_told_that_the_job_has_failed() -> None:
    """Guards against a job that is told as held and fails at once."""
    e, job = placed_repeat()
    e.hold(job, T0, "call")
    e.take(T0)
    e.recalled(job, True, T0 + 2 * SECOND)
    assert replies(e.take(T0 + 2 * SECOND)) == {"call": "InvalidStateException"}
    assert (job.state, job.exception) == (JobState.FAILED, "InternalException")


def test_the_earliest_end_of_all_windows_binds_the_job() -> None:
    """Guards against a later attempt that lengthens the time for a repeat."""
    e, job = placed_repeat()
    e.possibly_ran(job, lost(job, T0 + SECOND), T0 + SECOND, T0)
    e.possibly_ran(job, lost(job, T0 + 9 * SECOND), T0 + 9 * SECOND, T0)
    assert job.repeat_until_us == T0 + SECOND
    sent = [attempt.dispatched_at_us for attempt in job.unresolved]
    assert sent == sorted(sent) and len(sent) == 3


# The decision module alone.


def balancer(effect: str = "by_key", group: str = "cell", seed: int = 1) -> Balancer:
    """Return a balancer with eight endpoints w0 to w7: two zones in turn, four cells of two."""
    spec = RequestClass("c", 300_000, 4 * SECOND, effect=effect, group=group, window_us=WINDOW_US)
    limits = DispatchLimits(cancelling=True, send_cap=4, retry_after=True)
    made = Balancer(Settings(classes=[spec], kinds=["k"], tells_start=True, limits=limits), seed, SECOND)
    rows = [EndpointEntry(f"w{n}", f"z{n % 2}", "k", n // 2) for n in range(8)]
    made.handle(SECOND, [EndpointsChanged("all", rows)])
    return made


LOST_AT_W2 = UnresolvedAttempt("w2", "z0", 1, SECOND)


NEVER_RAN, RAN, LATE = "TryLaterException", "InternalException", "TimeoutException"


@pytest.mark.parametrize(
    ("end", "ran", "expected"),
    [
        ("waits too long", False, NEVER_RAN),
        ("waits too long", True, RAN),
        ("node stops", False, NEVER_RAN),
        ("node stops", True, RAN),
        ("session destroyed", False, NEVER_RAN),
        ("session destroyed", True, RAN),
        ("deadline passes", False, LATE),
        ("deadline passes", True, LATE),
    ],
)
def test_a_job_that_may_have_run_is_not_told_as_one_that_never_ran(
    end: str, ran: bool, expected: str
) -> None:
    """Guards against a lost job that ends with TryLaterException: clients take it for one that never ran."""
    e = engine()
    session = opened(e, wait_most_us=8 * SECOND)
    deadline_us = T0 + 4 * SECOND if end == "deadline passes" else 0
    job = e.submit(session, what(deadline_us=deadline_us), T0)
    e.take(T0)
    e.placed(job, "s-1", T0)
    if ran:
        e.possibly_ran(job, None, 0, T0)
    if end == "session destroyed":
        e.destroy(session, T0)
    e.refused(job, SECOND, T0)
    if end == "node stops":
        e.stop(T0)
    e.tick(T0 + 10 * SECOND)
    assert (job.state, job.exception) == (JobState.FAILED, expected)
    assert ("it may have run" in job.annotation) == ran


@pytest.mark.parametrize(
    ("group", "expected"), [("all", {0, 1, 3, 4, 5, 6, 7}), ("zone", {0, 4, 6}), ("cell", {3})]
)
def test_a_later_offer_stays_in_the_group_of_the_first(group: str, expected: set[int]) -> None:
    """Guards against a new request for the same work that goes where its key is not known."""
    seen: set[int] = set()
    for seed in range(60):
        event = RequestReceived(1, "c", 4 * SECOND, earlier_attempts=(LOST_AT_W2,))
        actions = balancer(group=group, seed=seed).handle(2 * SECOND, [event])
        seen |= {int(action.endpoint[1:]) for action in actions if isinstance(action, Dispatch)}
    assert seen == expected


@pytest.mark.parametrize(
    ("effect", "group", "at_us", "expected"),
    [
        ("by_key", "cell", SECOND + WINDOW_US - 1, Dispatch),
        ("by_key", "cell", SECOND + WINDOW_US, Fail),
        ("by_key", "all", SECOND + WINDOW_US, Fail),
        ("once", "all", SECOND + 1, Fail),
        ("repeatable", "all", SECOND + 2 * WINDOW_US, Dispatch),
    ],
)
def test_a_later_offer_is_sent_only_within_the_window_of_the_first(
    effect: str, group: str, at_us: int, expected: type
) -> None:
    """Guards against a window that is known to one offer only. What may not be repeated is not rejected."""
    made = balancer(effect, group)
    event = RequestReceived(1, "c", 4 * SECOND, earlier_attempts=(LOST_AT_W2,))
    actions = made.handle(at_us, [event])
    assert [type(action) for action in actions if isinstance(action, (Dispatch, Fail, Reject))] == [expected]


def test_the_pre_send_check_knows_earlier_offers() -> None:
    """Guards against a dial that outlasts the window of an earlier offer."""
    made = balancer()
    made.handle(2 * SECOND, [RequestReceived(1, "c", 4 * SECOND, earlier_attempts=(LOST_AT_W2,))])
    assert made.may_begin(1, 0, SECOND + WINDOW_US - 1)
    assert not made.may_begin(1, 0, SECOND + WINDOW_US)


def test_an_attempt_is_told_as_it_was_at_the_dispatch() -> None:
    """Guards against a window that counts from the loss, and a group that a later list has changed."""
    made = balancer()
    made.handle(2 * SECOND, [RequestReceived(1, "c", 4 * SECOND, only=("w2",))])
    made.handle(3 * SECOND, [EndpointsChanged("changes", [EndpointEntry("w2", "z9", "k", 9)])])
    assert made.unresolved_attempt(1, 0) == UnresolvedAttempt("w2", "z0", 1, 2 * SECOND)
    assert made.unresolved_attempt(1, 1) is None and made.unresolved_attempt(2, 0) is None


@pytest.mark.parametrize(
    ("effect", "attempt", "expected"),
    [
        ("repeatable", LOST_AT_W2, 0),
        ("by_key", LOST_AT_W2, SECOND + WINDOW_US),
        ("by_key", None, 5 * SECOND),
        ("once", LOST_AT_W2, 5 * SECOND),
    ],
)
def test_the_class_says_until_when_a_lost_job_may_be_sent_again(
    effect: str, attempt: UnresolvedAttempt | None, expected: int
) -> None:
    """Guards against a repeat that its class forbids: a key that is forgotten, or no key; 0 is no limit."""
    front, job = Mock(), Mock(ended=False, job_class="c")
    front.rules.classes = {"c": RequestClass("c", 1, 4 * SECOND, effect=effect, window_us=WINDOW_US)}
    front.clock.now_us.return_value = 5 * SECOND
    JobClient(front, job, RequestSpec("j", "c", 0, 4 * SECOND)).on_possibly_run(attempt)
    front.engine.possibly_ran.assert_called_once_with(job, attempt, expected, 5 * SECOND)


class RecordingResponder(Responder):
    """Keeps the answer."""

    answered: Answer | None = None

    def answer(self, answer: Answer) -> None:
        """Keep it."""
        self.answered = answer


def test_a_rejection_of_a_later_offer_says_that_the_request_may_have_run() -> None:
    """Guards against a front that takes a rejected later offer for a request that never ran."""
    clock, responder = FakeClock(), RecordingResponder()
    core_clock: Any = clock
    discovery: Any = None
    clock.now = 2 * SECOND
    dispatcher = Dispatcher(
        balancer(group="all"), core_clock, ResourceLimits(), Counters(), Log(1), Servers(clock), discovery
    )
    spec = RequestSpec("j~2", "c", clock.now, 4 * SECOND, idempotency_key="j", allowed_servers=("w2",))
    spec = msgspec.structs.replace(spec, earlier_attempts=(LOST_AT_W2,))
    dispatcher.run_batch([RequestArrived(spec, responder)])
    assert responder.answered is not None
    assert (responder.answered.status, responder.answered.may_have_run) == (AnswerStatus.REJECTED, True)
