"""The balancer: routes each event to the parts. Interface: ``settings``, ``events``, ``actions``.

``parts.py`` wires the parts. Each part owns its state and calls others by a few public methods.
``docs/DECISIONS.md`` shows which part calls which, and names the file and function that decides each rule.
The balancer does no I/O and reads no clock: times are in microseconds and come from the caller, and random
numbers come from a seed. An event about an unknown request or attempt is ignored.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from merlinbay.decision.actions import Action, LogNotice
from merlinbay.decision.attempt_timers import HEALTH_CHECKS
from merlinbay.decision.context import Context
from merlinbay.decision.discovery_polling import TIMER_TOKEN as POLL_TOKEN
from merlinbay.decision.endpoint_state import Endpoint
from merlinbay.decision.endpoint_views import endpoint_view
from merlinbay.decision.events import (
    AttemptEnded,
    BalancerCountChanged,
    ClientDisconnected,
    DiscoveryChanged,
    EndpointsChanged,
    Event,
    ExecutionPaused,
    ExecutionProgressed,
    ExecutionStarted,
    HealthCheckEnded,
    MaintenanceChanged,
    RequestReceived,
    SlotsReserved,
    StreamStarted,
    TimerFired,
    UnresolvedAttempt,
)
from merlinbay.decision.handover_snapshot import HandoverSnapshot
from merlinbay.decision.outcomes import Outcome, never_ran
from merlinbay.decision.parts import Parts
from merlinbay.decision.request_intake import tracked_request
from merlinbay.decision.request_state import TrackedRequest
from merlinbay.decision.settings import Settings

# A start later than this share of the mean run time shows that the endpoint had no free slot.
LATE_START_SHARE = 0.05


class Balancer:
    """Makes the decisions of one balancer; called by its adapter with events."""

    def __init__(self, settings: Settings, seed: int, now_us: int) -> None:
        self.parts = Parts(Context(settings, Random(seed), now_us))
        for text in settings.doubts:
            self.parts.context.emit(LogNotice(text))
        self._handlers: dict[type, Callable[[Any], None]] = {
            RequestReceived: self._on_request_received,
            ClientDisconnected: self._on_client_disconnected,
            ExecutionStarted: self._on_execution_observed,
            ExecutionProgressed: self._on_execution_observed,
            StreamStarted: self._on_execution_observed,
            ExecutionPaused: self._on_execution_paused,
            AttemptEnded: self._on_attempt_ended,
            HealthCheckEnded: self._on_health_check_ended,
            TimerFired: self._on_timer_fired,
            EndpointsChanged: self._on_endpoints_changed,
            DiscoveryChanged: self._on_discovery_changed,
            BalancerCountChanged: self._on_balancer_count_changed,
            MaintenanceChanged: self._on_maintenance_changed,
            SlotsReserved: self._on_slots_reserved,
        }
        if settings.must_subscribe:
            self.parts.context.emit_all(self.parts.polling.start(now_us))

    # Interface.

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Handle events of one instant; return actions in order. A clock that goes back counts as stopped."""
        self.parts.context.advance(now_us)
        for event in events:
            self._handlers[type(event)](event)
        return self.parts.context.take_actions()

    def may_begin(self, request_id: int, number: int, now_us: int) -> bool:
        """Return whether an attempt still keeps the rules. Called right before its first byte is sent."""
        return self.parts.eligibility.may_begin(request_id, number, now_us)

    def unresolved_attempt(self, request_id: int, number: int) -> UnresolvedAttempt | None:
        """Return what a later offer of a request must know of an attempt; None if the attempt is unknown."""
        return self.parts.requests.unresolved_attempt(request_id, number)

    def knows(self, name: str) -> bool:
        """Return whether an endpoint is listed or disabled by operators."""
        return self.parts.endpoints.knows(name)

    @property
    def settings(self) -> Settings:
        """The settings, with the present number of balancers."""
        return self.parts.context.settings

    @property
    def in_flight_slots(self) -> float:
        """Slots of the open attempts of this balancer."""
        return self.parts.requests.in_flight_slots

    def endpoint_views(self, now_us: int) -> list[dict[str, Any]]:
        """Return the present state and estimates of each endpoint, for operators."""
        return [
            endpoint_view(endpoint, self.parts.load, self.parts.warm_up, now_us)
            for endpoint in self.parts.endpoints.by_name.values()
        ]

    def take_snapshot(self) -> HandoverSnapshot:
        """Return a snapshot of what has been learned, for the process that replaces this one."""
        return self.parts.snapshots.take()

    def restore_snapshot(self, snapshot: HandoverSnapshot) -> None:
        """Restore the snapshot of a former process."""
        self.parts.snapshots.restore(snapshot)

    # Events about requests.

    def _on_request_received(self, event: RequestReceived) -> None:
        request = tracked_request(event, self.parts)
        decay = self.parts.offered.count_arrival()
        self.parts.load.smooth_in_flight(decay)
        self.parts.load.update_median_peer_share()
        self.parts.load.recount_if_due()
        self.parts.offered.learn_mean_request(request)
        self._decide(request)

    def _decide(self, request: TrackedRequest) -> None:
        """Decide on a first attempt or a retry, after the answers to any worthwhile health checks."""
        if not self.parts.health_checks.begin(request):
            self.parts.dispatching.decide(request)

    def _on_execution_observed(self, event: ExecutionStarted | ExecutionProgressed | StreamStarted) -> None:
        tracked = self.parts.requests.find(event.id, event.attempt)
        if tracked is None:
            return
        request, attempt = tracked
        self.parts.outliers.note_answer(attempt.endpoint)
        if attempt.started_at_us:
            return
        running_before = self.parts.requests.running_slots
        waited_us = self.parts.context.now_us - attempt.dispatched_at_us
        was_late = waited_us > LATE_START_SHARE * self.parts.offered.mean_work_us
        self.parts.requests.start_attempt(request, attempt)
        self.parts.capacity.learn_from_start(attempt.endpoint, was_late, running_before)
        self.parts.dispatching.cancel_waiting(request, attempt)
        self.parts.hedging.schedule_run_check(request, attempt, event.attempt)

    def _on_execution_paused(self, event: ExecutionPaused) -> None:
        # Leaves pauses out of the run time, so that a suspended request neither makes its endpoint look slow
        # nor gets a hedge.
        tracked = self.parts.requests.find(event.id, event.attempt)
        if tracked is None:
            return
        request, attempt = tracked
        if not attempt.started_at_us or event.paused == (attempt.paused_at_us > 0):
            return
        if event.paused:
            self.parts.requests.pause_attempt(attempt)
        else:
            self.parts.requests.resume_attempt(attempt)
            self.parts.hedging.schedule_check_after_resume(request, attempt, event.attempt)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        tracked = self.parts.requests.find(event.id, event.attempt)
        if tracked is None:
            return
        request, attempt = tracked
        has_started = attempt.started_at_us > 0
        self.parts.requests.end_attempt(request, attempt, not never_ran(event.outcome, has_started))
        if request.uses_reservation:
            self.parts.endpoints.return_reserved(attempt.endpoint, request.slots)
        self.parts.outcome_learning.learn(request, attempt, event)
        if (event.final or event.outcome == Outcome.OK) and not request.is_done:
            self.parts.requests.close(request)
            self.parts.dispatching.cancel_all(request)
        if request.open_attempts == 0:
            self.parts.requests.forget(request)
            if not request.is_done:
                self._decide(request)

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        request = self.parts.requests.by_id.get(event.id)
        if request is None or request.is_done:
            return
        self.parts.requests.close(request)
        self.parts.dispatching.cancel_all(request)
        if request.open_attempts == 0:
            self.parts.requests.forget(request)

    def _on_health_check_ended(self, event: HealthCheckEnded) -> None:
        is_ok, endpoint = event.outcome == Outcome.OK, self.parts.endpoints.by_name.get(event.endpoint)
        if is_ok:
            self.parts.health_check_costs.learn_duration(event.took_us)
        request = self.parts.health_checks.take_waiting(event.endpoint)
        if endpoint is not None:
            self.parts.outliers.note_health_check(endpoint, is_ok)
        self.parts.reports.apply_report(event, is_awaited=request is not None)
        if request is not None:
            self.parts.health_checks.add_answer(request, endpoint if is_ok else None)
            self.parts.dispatching.decide(request)

    def _on_timer_fired(self, event: TimerFired) -> None:
        if event.token == POLL_TOKEN:
            self.parts.context.emit_all(self.parts.polling.poll_if_due(self.parts.context.now_us))
        for request, number in self.parts.timers.take_due():
            if number != HEALTH_CHECKS:
                self.parts.hedging.check_attempt(request, number)
            elif self.parts.health_checks.stop_waiting(request):  # An answer is lost or late.
                self.parts.dispatching.decide(request)
        self.parts.timers.set_next()

    # Events about endpoints and balancers.

    def _on_discovery_changed(self, event: DiscoveryChanged) -> None:
        # The adapter renews the watch of a pushed list by itself; only a polled list needs a poll.
        poll_now = event.moved and self.parts.context.settings.must_subscribe
        self.parts.context.emit_all(
            self.parts.polling.discovery_changed(self.parts.context.now_us, event.notified_after_us, poll_now)
        )

    def _on_endpoints_changed(self, event: EndpointsChanged) -> None:
        if event.scope == "refused":
            self._take_failed_poll(event)
            return
        now_us = self.parts.context.now_us
        if event.former:
            # This answer was under way when a new configuration came, so it does not renew the lease: changes
            # that it does not contain count as notified by the new discovery all the same.
            self.parts.polling.former_poll_answered(now_us)
        elif event.scope != "remembered":
            late_us = self.parts.polling.poll_answered(now_us)
            if late_us > 0:
                self.parts.context.emit(LogNotice(f"the list came {late_us / 1e6:.1f} s after its deadline"))
        for endpoint in self.parts.endpoints.apply_list(event):
            self._begin_warm_up(endpoint)

    def _take_failed_poll(self, event: EndpointsChanged) -> None:
        now_us = self.parts.context.now_us
        if not self.parts.context.settings.must_subscribe:
            self.parts.lease.push_agent_failed(now_us, event.last_answer_at_us, event.failure)
        elif event.former:
            self.parts.polling.former_watch_ended(now_us, event.last_answer_at_us)
        else:
            self.parts.context.emit_all(
                self.parts.polling.poll_failed(now_us, event.last_answer_at_us, event.failure)
            )

    def _on_balancer_count_changed(self, event: BalancerCountChanged) -> None:
        previous_count = self.parts.context.settings.balancers
        self.parts.context.set_balancer_count(event.count, event.me)
        if self.parts.context.settings.balancers > previous_count:
            self.parts.slow_start.postpone_admissions()
        self.parts.polling.set_balancer_count(event.me, self.parts.context.settings.balancers)

    def _on_maintenance_changed(self, event: MaintenanceChanged) -> None:
        if event.on:
            self.parts.endpoints.disable(event.endpoint)
            return
        endpoint = self.parts.endpoints.enable(event.endpoint)
        if endpoint is not None and self.parts.warm_up.is_warming(endpoint):
            self._begin_warm_up(endpoint)

    def _on_slots_reserved(self, event: SlotsReserved) -> None:
        endpoint = self.parts.endpoints.reserve(event.endpoint, event.slots)
        if endpoint is not None:
            self.parts.capacity.learn_from_operator(endpoint.kind, event.of)

    def _begin_warm_up(self, endpoint: Endpoint) -> None:
        """Treat an endpoint as just started, without any requests of peers."""
        self.parts.load.observe_peers(endpoint, 0.0)
        self.parts.slow_start.schedule_first_admission(endpoint)
