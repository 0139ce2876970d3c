"""Checks the lease on the endpoint list: what lets it expire, what renews it, and that sends need it.

The second half checks when polls are planned and which failures prove an outage.
"""

from __future__ import annotations

from random import Random

import pytest

from merlinbay.decision import Balancer
from merlinbay.decision.actions import Action, Dispatch, Reject, WatchEndpoints
from merlinbay.decision.discovery_polling import MAX_ANSWER_TIMEOUT_US, DiscoveryPolling
from merlinbay.decision.endpoint_lease import FIRST_BYTE_DELAY_US, SEND_DELAY_US, EndpointLease
from merlinbay.decision.events import (
    CallFailure,
    DiscoveryChanged,
    EndpointsChanged,
    Event,
    RequestReceived,
    TimerFired,
)
from merlinbay.decision.settings import SafetyMargins
from tests.support import entry, settings

SECOND = 1_000_000  # in microseconds
GRACE_US = 500_000
SPARE_US = GRACE_US - SEND_DELAY_US - FIRST_BYTE_DELAY_US  # how long after its expiry a list may be used
SAFETY = SafetyMargins(must_ask_in_us=10 * SECOND, drain_grace_us=GRACE_US)


def watching_balancer(balancers: int = 1) -> Balancer:
    """Return a balancer with one endpoint that has watched the list since its start."""
    balancer = Balancer(settings(balancers=balancers, must_subscribe=True, safety=SAFETY), 1, 0)
    balancer.handle(0, [EndpointsChanged("all", [entry(0)])])
    return balancer


def offer(balancer: Balancer, now: int, request_id: int = 1) -> list[Action]:
    """Offer a request to a balancer; return its dispatch or rejection."""
    actions = balancer.handle(now, [RequestReceived(request_id, "safe", 10 * SECOND)])
    return [action for action in actions if isinstance(action, Dispatch | Reject)]


@pytest.mark.parametrize(
    ("event", "at", "expires_at"),
    [
        (DiscoveryChanged(4 * SECOND), 30, 34),
        (DiscoveryChanged(4 * SECOND, moved=False), 30, 34),
        (EndpointsChanged("refused", [], 28 * SECOND, CallFailure.SILENT), 30, 34),
        (EndpointsChanged("refused", [], 29 * SECOND, CallFailure.BROKEN), 30, 35),
        (EndpointsChanged("refused", [], 29 * SECOND, CallFailure.UNAVAILABLE), 30, 36),
        (EndpointsChanged("refused", [], 29 * SECOND, CallFailure.UNREACHABLE), 30, 36),
    ],
    ids=lambda value: type(value).__name__,
)
def test_no_request_is_dispatched_by_an_overdue_list(event: Event, at: int, expires_at: int) -> None:
    """Requests must not go to endpoints of an overdue list, which may be draining.

    They are dispatched until shortly before the grace ends, and then rejected until an answer comes.
    """
    balancer = watching_balancer()
    balancer.handle(at * SECOND, [event])
    usable_until = expires_at * SECOND + SPARE_US
    assert isinstance(offer(balancer, usable_until - 1, 1)[0], Dispatch)
    assert balancer.may_begin(1, 0, usable_until - 1) and not balancer.may_begin(1, 0, usable_until)
    rejection = offer(balancer, usable_until, 2)[0]
    assert isinstance(rejection, Reject) and rejection.reason == "list_overdue"
    balancer.handle(usable_until + 1, [EndpointsChanged("changes", [])])
    assert isinstance(offer(balancer, usable_until + 2, 3)[0], Dispatch)


@pytest.mark.parametrize("scope", ["all", "changes", "refused"])
def test_a_former_discovery_does_not_renew_the_lease(scope: str) -> None:
    """An answer of a former discovery must not count as one of the new discovery.

    It comes, or its watch ends, after the new configuration. The lease and the planned poll stay as they are.
    """
    balancer = watching_balancer(balancers=6)
    balancer.handle(30 * SECOND, [DiscoveryChanged(4 * SECOND)])
    planned = balancer.parts.polling.next_poll_at_us
    balancer.handle(
        30 * SECOND + 1, [EndpointsChanged(scope, [entry(0)] * (scope != "refused"), former=True)]
    )
    assert (
        balancer.parts.lease.renewal_due_at_us == 34 * SECOND
        and balancer.parts.polling.next_poll_at_us == planned > 0
    )


@pytest.mark.parametrize("scope", ["all", "refused"])
def test_a_former_discovery_does_not_end_the_poll_of_the_new_one(scope: str) -> None:
    """An answer of a former discovery must not count as the answer to an open poll of the new discovery.

    No other poll is planned, and the cost of a poll is learned from the new discovery's answer.
    """
    balancer = watching_balancer(balancers=6)
    balancer.handle(30 * SECOND, [DiscoveryChanged(4 * SECOND)])
    polled_at = balancer.parts.polling.next_poll_at_us
    assert polls(balancer.handle(polled_at, [TimerFired("subscribe")]))
    former = EndpointsChanged(scope, [entry(0)] * (scope != "refused"), failure=CallFailure.UNAVAILABLE)
    former.former = True
    assert (
        balancer.handle(polled_at + 1, [former]) == []
        and balancer.parts.polling.is_polling
        and not balancer.parts.polling.discovery_ended_watch
    )
    balancer.handle(polled_at + SECOND // 4, [EndpointsChanged("all", [entry(0)])])
    assert balancer.parts.polling.poll_cost_us == SECOND // 4 and not balancer.parts.polling.is_polling


def polls(actions: list[Action]) -> bool:
    """Return whether the actions poll for the endpoint list."""
    return any(isinstance(action, WatchEndpoints) for action in actions)


def started_polling(fleet: int = 6, cost_us: float = 300_000.0) -> DiscoveryPolling:
    """Return the polling of a balancer that has just started and knows the cost of a poll."""
    polling = DiscoveryPolling(3, fleet, EndpointLease(10 * SECOND, GRACE_US), Random(1), 0, cost_us)
    polling.start(0)
    return polling


def fail_poll(polling: DiscoveryPolling, failure: CallFailure, after: int) -> int:
    """Let the planned poll fail some time after it began; return when it began."""
    at = polling.next_poll_at_us
    polling.poll_if_due(at)
    polling.poll_failed(at + after, failure=failure)
    return at


def test_a_poll_that_waits_longer_than_all_polls_take_proves_an_outage() -> None:
    """An outage must not stop a node, however long it lasts; here each poll fails after 3 s.

    Six polls take 1.8 s, so a poll that waited 3 s would have been answered if discovery had been up.
    """
    polling = started_polling()
    for _ in range(20):
        at = fail_poll(polling, CallFailure.UNAVAILABLE, 3 * SECOND)
        assert polling.deadline_us == at + 6 * SECOND and polling.lease.is_usable(at + 3 * SECOND)
        assert polling.next_poll_at_us + 3 * SECOND <= polling.lease.usable_until_us()


def test_an_immediate_refusal_proves_an_outage() -> None:
    """A poll that is refused at once cannot have waited too long among others, so discovery is down."""
    polling = started_polling(fleet=200)
    at = fail_poll(polling, CallFailure.UNAVAILABLE, SECOND // 20)
    assert polling.deadline_us == at + SECOND // 20 + 6 * SECOND


@pytest.mark.parametrize("failure", [CallFailure.BROKEN, CallFailure.SILENT])
def test_other_failures_do_not_extend_the_lease(failure: CallFailure) -> None:
    """A poll that broke or timed out must not extend the lease: an answer with changes may have been lost."""
    polling = started_polling()
    fail_poll(polling, failure, 3 * SECOND)
    assert polling.deadline_us == 6 * SECOND


def test_two_unanswered_polls_prove_an_outage_to_a_process_that_was_never_answered() -> None:
    """A process that starts during an outage must not stop for as long as it lasts.

    A process that was answered before knows the cost of a poll, and needs better proof.
    """
    polling = started_polling(fleet=200)
    fail_poll(polling, CallFailure.UNAVAILABLE, 2 * SECOND)
    assert polling.deadline_us == 6 * SECOND
    at = fail_poll(polling, CallFailure.UNAVAILABLE, 2 * SECOND)
    assert polling.deadline_us == at + 6 * SECOND
    polling.poll_if_due(polling.next_poll_at_us)
    polling.poll_answered(20 * SECOND)
    polling.poll_cost_us = 30_000.0
    polling.poll_failed(30 * SECOND, 29 * SECOND, CallFailure.SILENT)
    for _ in range(3):
        fail_poll(polling, CallFailure.UNAVAILABLE, 2 * SECOND)
    assert polling.deadline_us == 35 * SECOND


def test_queueing_polls_prove_no_outage_unless_discovery_ended_the_watch() -> None:
    """A long queue at discovery must not be taken for an outage.

    Two hundred polls take six seconds, so a failure after two proves nothing by itself.
    """
    polling = started_polling(fleet=200, cost_us=30_000.0)
    fail_poll(polling, CallFailure.UNAVAILABLE, 2 * SECOND)
    assert polling.deadline_us == 6 * SECOND
    polling.poll_if_due(polling.next_poll_at_us)
    polling.poll_answered(8 * SECOND)
    polling.poll_failed(20 * SECOND, 19 * SECOND, CallFailure.UNAVAILABLE)
    assert polling.deadline_us == 26 * SECOND
    polling.poll_cost_us = 30_000.0
    at = fail_poll(polling, CallFailure.UNAVAILABLE, 2 * SECOND)
    assert at > 20 * SECOND and polling.deadline_us == at + 6 * SECOND


@pytest.mark.parametrize("failure", list(CallFailure))
def test_only_an_answer_lifts_the_deadline_of_a_new_configuration(failure: CallFailure) -> None:
    """Neither an outage, nor a second configuration, nor an answer before the deadline may lift it."""
    polling = started_polling()
    polling.poll_if_due(polling.next_poll_at_us)
    polling.poll_answered(SECOND)
    polling.discovery_changed(30 * SECOND, 4 * SECOND, poll_now=True)
    fail_poll(polling, failure, SECOND)
    polling.discovery_changed(31 * SECOND, 4 * SECOND, poll_now=True)
    assert polling.deadline_us == 34 * SECOND
    polling.poll_if_due(32 * SECOND)
    polling.poll_answered(33 * SECOND)
    assert polling.deadline_us == 34 * SECOND  # The watch may fall silent before all counts as notified.
    polling.poll_answered(34 * SECOND)
    assert polling.deadline_us == 35 * SECOND
    polling.poll_answered(35 * SECOND)
    assert polling.lease.is_usable(99 * SECOND)


def test_a_lost_answer_leaves_time_for_another_poll() -> None:
    """A lost answer must not cost all the time left on the lease.

    The timeout is a share of the time left, or the time of a turn behind all balancers, and doubles.
    """
    polling = started_polling(cost_us=100_000.0)
    polling.poll_if_due(polling.next_poll_at_us)
    polling.poll_answered(SECOND)
    polling.poll_cost_us = 100_000.0
    polling.discovery_changed(30 * SECOND, 4 * SECOND, poll_now=True)
    began, timeouts = [], []
    while polling.next_poll_at_us < 34 * SECOND:
        began.append(polling.next_poll_at_us)
        (poll,) = polling.poll_if_due(polling.next_poll_at_us)
        assert isinstance(poll, WatchEndpoints)
        timeouts.append(poll.patience_us)
        polling.poll_failed(began[-1] + poll.patience_us, failure=CallFailure.SILENT)
    assert len(began) >= 2 and began[1] < 33 * SECOND
    assert timeouts[0] <= 2.6 * SECOND and max(timeouts) <= MAX_ANSWER_TIMEOUT_US


def test_a_poll_waits_long_enough_for_a_crowded_discovery() -> None:
    """A poll must not time out before discovery can answer, which would only add to its work.

    Two hundred polls take 30 ms each.
    """
    polling = started_polling(fleet=200, cost_us=30_000.0)
    (poll,) = polling.poll_if_due(polling.next_poll_at_us)
    assert isinstance(poll, WatchEndpoints) and poll.patience_us == MAX_ANSWER_TIMEOUT_US
