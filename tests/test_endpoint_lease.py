"""The lease on the list: what lets it run out, what renews it, and that nothing is sent without it."""

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

SECOND = 1_000_000
GRACE_US = 500_000
SPARE_US = GRACE_US - SEND_DELAY_US - FIRST_BYTE_DELAY_US
SAFETY = SafetyMargins(must_ask_in_us=10 * SECOND, drain_grace_us=GRACE_US)


def watched(balancers: int = 1) -> Balancer:
    """Return a balancer with one endpoint that has watched the list since its start."""
    made = Balancer(settings(balancers=balancers, must_subscribe=True, safety=SAFETY), 1, 0)
    made.handle(0, [EndpointsChanged("all", [entry(0)])])
    return made


def ways(made: Balancer, now: int, job: int = 1) -> list[Action]:
    """Hand in a job; return what is done with it."""
    actions = made.handle(now, [RequestReceived(job, "safe", 10 * SECOND)])
    return [action for action in actions if isinstance(action, Dispatch | Reject)]


@pytest.mark.parametrize(
    ("event", "at", "runs_out"),
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
def test_no_job_is_placed_by_an_overdue_list(event: Event, at: int, runs_out: int) -> None:
    """Placed until shortly before the grace ends, then refused with the reason until an answer comes."""
    made = watched()
    made.handle(at * SECOND, [event])
    last = runs_out * SECOND + SPARE_US
    assert isinstance(ways(made, last - 1, 1)[0], Dispatch)
    assert made.may_begin(1, 0, last - 1) and not made.may_begin(1, 0, last)
    refused = ways(made, last, 2)[0]
    assert isinstance(refused, Reject) and refused.reason == "list_overdue"
    made.handle(last + 1, [EndpointsChanged("changes", [])])
    assert isinstance(ways(made, last + 2, 3)[0], Dispatch)


@pytest.mark.parametrize("scope", ["all", "changes", "refused"])
def test_a_former_discovery_says_nothing_of_what_the_new_one_has(scope: str) -> None:
    """Its answer, or its end, comes after the new configuration: lease and planned call stay."""
    made = watched(balancers=6)
    made.handle(30 * SECOND, [DiscoveryChanged(4 * SECOND)])
    planned = made.parts.polling.next_poll_at_us
    made.handle(30 * SECOND + 1, [EndpointsChanged(scope, [entry(0)] * (scope != "refused"), former=True)])
    assert (
        made.parts.lease.renewal_due_at_us == 34 * SECOND
        and made.parts.polling.next_poll_at_us == planned > 0
    )


@pytest.mark.parametrize("scope", ["all", "refused"])
def test_what_crosses_the_call_to_the_new_discovery_leaves_that_call_alone(scope: str) -> None:
    """It is out: no other call is planned, and its own answer tells what it took."""
    made = watched(balancers=6)
    made.handle(30 * SECOND, [DiscoveryChanged(4 * SECOND)])
    called_at = made.parts.polling.next_poll_at_us
    assert subscribes(made.handle(called_at, [TimerFired("subscribe")]))
    former = EndpointsChanged(scope, [entry(0)] * (scope != "refused"), failure=CallFailure.UNAVAILABLE)
    former.former = True
    assert (
        made.handle(called_at + 1, [former]) == []
        and made.parts.polling.is_polling
        and not made.parts.polling.discovery_ended_watch
    )
    made.handle(called_at + SECOND // 4, [EndpointsChanged("all", [entry(0)])])
    assert made.parts.polling.poll_cost_us == SECOND // 4 and not made.parts.polling.is_polling


def subscribes(actions: list[Action]) -> bool:
    """Tell whether the list is asked for."""
    return any(isinstance(action, WatchEndpoints) for action in actions)


def calls(fleet: int = 6, cost_us: float = 300_000.0) -> DiscoveryPolling:
    """Return the calls of a scheduler that starts, and knows what a call takes."""
    made = DiscoveryPolling(3, fleet, EndpointLease(10 * SECOND, GRACE_US), Random(1), 0, cost_us)
    made.start(0)
    return made


def fail_call(made: DiscoveryPolling, failure: CallFailure, after: int) -> int:
    """Have the planned call fail so long after it began; return when it began."""
    at = made.next_poll_at_us
    made.poll_if_due(at)
    made.poll_failed(at + after, failure=failure)
    return at


def test_a_call_that_waits_longer_than_all_calls_take_proves_an_outage() -> None:
    """Six calls take 1.8 s: one that had 3 s would have been answered, had anybody been there at its start.

    So an outage of any length, in which each call fails after 3 s, stops no node.
    """
    made = calls()
    for _ in range(20):
        at = fail_call(made, CallFailure.UNAVAILABLE, 3 * SECOND)
        assert made.deadline_us == at + 6 * SECOND and made.lease.is_usable(at + 3 * SECOND)
        assert made.next_poll_at_us + 3 * SECOND <= made.lease.usable_until_us()


def test_a_refusal_at_once_is_an_outage() -> None:
    """It cannot have waited too long."""
    made = calls(fleet=200)
    at = fail_call(made, CallFailure.UNAVAILABLE, SECOND // 20)
    assert made.deadline_us == at + SECOND // 20 + 6 * SECOND


@pytest.mark.parametrize("failure", [CallFailure.BROKEN, CallFailure.SILENT])
def test_other_failures_give_no_more_time(failure: CallFailure) -> None:
    """An answer with news may have been lost."""
    made = calls()
    fail_call(made, failure, 3 * SECOND)
    assert made.deadline_us == 6 * SECOND


def test_a_process_that_was_never_answered_takes_two_calls_in_vain_for_an_outage() -> None:
    """It may have started in one. One that was answered before knows better."""
    made = calls(fleet=200)
    fail_call(made, CallFailure.UNAVAILABLE, 2 * SECOND)
    assert made.deadline_us == 6 * SECOND
    at = fail_call(made, CallFailure.UNAVAILABLE, 2 * SECOND)
    assert made.deadline_us == at + 6 * SECOND
    made.poll_if_due(made.next_poll_at_us)
    made.poll_answered(20 * SECOND)
    made.poll_cost_us = 30_000.0
    made.poll_failed(30 * SECOND, 29 * SECOND, CallFailure.SILENT)
    for _ in range(3):
        fail_call(made, CallFailure.UNAVAILABLE, 2 * SECOND)
    assert made.deadline_us == 35 * SECOND


def test_a_crowd_is_no_outage_unless_discovery_has_ended_the_watch() -> None:
    """Two hundred calls take six seconds, so a failure after two tells nothing by itself."""
    made = calls(fleet=200, cost_us=30_000.0)
    fail_call(made, CallFailure.UNAVAILABLE, 2 * SECOND)
    assert made.deadline_us == 6 * SECOND
    made.poll_if_due(made.next_poll_at_us)
    made.poll_answered(8 * SECOND)
    made.poll_failed(20 * SECOND, 19 * SECOND, CallFailure.UNAVAILABLE)
    assert made.deadline_us == 26 * SECOND
    made.poll_cost_us = 30_000.0
    at = fail_call(made, CallFailure.UNAVAILABLE, 2 * SECOND)
    assert at > 20 * SECOND and made.deadline_us == at + 6 * SECOND


@pytest.mark.parametrize("failure", list(CallFailure))
def test_nothing_but_an_answer_lifts_the_moment_of_a_new_configuration(failure: CallFailure) -> None:
    """Neither an outage, nor a second configuration a moment later; and the answer has to come then."""
    made = calls()
    made.poll_if_due(made.next_poll_at_us)
    made.poll_answered(SECOND)
    made.discovery_changed(30 * SECOND, 4 * SECOND, poll_now=True)
    fail_call(made, failure, SECOND)
    made.discovery_changed(31 * SECOND, 4 * SECOND, poll_now=True)
    assert made.deadline_us == 34 * SECOND
    made.poll_if_due(32 * SECOND)
    made.poll_answered(33 * SECOND)
    assert made.deadline_us == 34 * SECOND  # the watch may fall silent before all counts as notified
    made.poll_answered(34 * SECOND)
    assert made.deadline_us == 35 * SECOND
    made.poll_answered(35 * SECOND)
    assert made.lease.is_usable(99 * SECOND)


def test_a_lost_answer_leaves_time_for_another_call() -> None:
    """Each is waited for a part of what is left, or as long as a turn takes, then twice as long."""
    made = calls(cost_us=100_000.0)
    made.poll_if_due(made.next_poll_at_us)
    made.poll_answered(SECOND)
    made.poll_cost_us = 100_000.0
    made.discovery_changed(30 * SECOND, 4 * SECOND, poll_now=True)
    began, patience = [], []
    while made.next_poll_at_us < 34 * SECOND:
        began.append(made.next_poll_at_us)
        (call,) = made.poll_if_due(made.next_poll_at_us)
        assert isinstance(call, WatchEndpoints)
        patience.append(call.patience_us)
        made.poll_failed(began[-1] + call.patience_us, failure=CallFailure.SILENT)
    assert len(began) >= 2 and began[1] < 33 * SECOND
    assert patience[0] <= 2.6 * SECOND and max(patience) <= MAX_ANSWER_TIMEOUT_US


def test_a_crowded_discovery_is_not_called_again_before_it_can_answer() -> None:
    """Two hundred calls of 30 ms: giving up early would only add to what it works on."""
    made = calls(fleet=200, cost_us=30_000.0)
    (call,) = made.poll_if_due(made.next_poll_at_us)
    assert isinstance(call, WatchEndpoints) and call.patience_us == MAX_ANSWER_TIMEOUT_US
