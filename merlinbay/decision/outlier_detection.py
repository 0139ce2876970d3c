"""Detects endpoints that fail, hang or do not answer health checks, and ejects them for a time.

``OutcomeLearning`` passes on the outcome of each attempt, ``Balancer`` that of each health check.
``Eligibility`` leaves out endpoints that are ejected or hung; an ejection ends by itself.
"""

from __future__ import annotations

from merlinbay.decision.actions import LogNotice
from merlinbay.decision.context import Context
from merlinbay.decision.endpoint_state import Endpoint
from merlinbay.decision.events import AttemptEnded
from merlinbay.decision.handover_snapshot import EndpointSnapshot
from merlinbay.decision.offered_load import OfferedLoad
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.request_state import Attempt

HUNG_AFTER_US = 1_500_000  # time without an answer after a dispatch from which an endpoint counts as hung
EJECTION_US = 1_000_000  # duration of an ejection; it doubles with each failure in a row
EJECTION_DOUBLINGS = 3  # maximum number of doublings, so that no endpoint is ejected for good
TOLERATED_FAILURES = {Outcome.ERROR: 1, Outcome.RESET: 2}  # failures in a row that do not eject yet
FAULTY_ERROR_SHARE = 0.1  # reported errors, as a share of a full endpoint's throughput, from which one ejects
LOGGED_FAILURES = (2, 3)  # failures in a row at which an ejection is logged


class OutlierDetection:
    """Owns the failure record of each endpoint."""

    def __init__(self, context: Context, offered: OfferedLoad) -> None:
        self._context, self._offered = context, offered

    def is_ejected(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is ejected now."""
        return endpoint.failures.ejected_until_us > self._context.now_us

    def is_hung(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint holds our requests and has answered nothing for too long."""
        since_us = endpoint.failures.unanswered_since_us
        return (
            since_us > 0
            and endpoint.in_flight.in_flight_slots > 0
            and self._context.now_us - since_us > HUNG_AFTER_US
        )

    def note_dispatch(self, endpoint: Endpoint) -> None:
        """Record that an answer from an endpoint is expected from now on."""
        if not endpoint.failures.unanswered_since_us:
            endpoint.failures.unanswered_since_us = self._context.now_us

    def note_answer(self, endpoint: Endpoint) -> None:
        """Record an answer. Its request may still fail, so the failures in a row are kept."""
        record = endpoint.failures
        record.unanswered_since_us, record.answered_at_us = 0, self._context.now_us

    def reports_errors(self, endpoint: Endpoint, event: AttemptEnded) -> bool:
        """Return whether the load report shows more errors than a share of what the endpoint can serve."""
        # A report counts the errors of all balancers' requests. So a balancer detects a faulty endpoint
        # without having to lose several requests of its own.
        settings = self._context.settings
        errors_per_s = settings.read(event.report or []).get(settings.errors_field, 0.0)
        served_share = errors_per_s * self._offered.mean_work_us / 1e6
        return served_share >= FAULTY_ERROR_SHARE * endpoint.kind.capacity.slots

    def record_outcome(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Record the outcome of an attempt as an answer or a failure of its endpoint."""
        endpoint, outcome = attempt.endpoint, event.outcome
        reports_errors = self.reports_errors(endpoint, event)
        if outcome in (Outcome.OK, Outcome.FULL):
            self.note_answer(endpoint)
            if not reports_errors:
                endpoint.failures.consecutive_failures = 0
        elif outcome not in (Outcome.CANCELLED, Outcome.MOOT):
            # A timeout says nothing about an endpoint that has answered since the dispatch.
            answered_since = endpoint.failures.answered_at_us > attempt.dispatched_at_us
            if outcome != Outcome.TIMEOUT or not answered_since:
                self._count_failure(endpoint, Outcome(outcome), reports_errors)

    def _count_failure(self, endpoint: Endpoint, outcome: Outcome, reports_errors: bool) -> None:
        """Count a failure; eject the endpoint if more failures in a row than tolerated have occurred."""
        # An endpoint that fails requests at once looks free and would attract more of them. A single error is
        # tolerated, and so are two resets, since a network that breaks connections says nothing about the
        # endpoints behind it.
        record, now_us = endpoint.failures, self._context.now_us
        record.consecutive_failures += 1
        record.last_failure, record.last_failure_at_us = int(outcome), now_us
        failures = record.consecutive_failures
        if not reports_errors and failures <= TOLERATED_FAILURES.get(outcome, 0):
            return
        record.ejected_until_us = now_us + (EJECTION_US << min(failures - 1, EJECTION_DOUBLINGS))
        if failures in LOGGED_FAILURES:
            why = f"outcome {int(outcome)}, {failures} failures in a row"
            self._context.emit(LogNotice(f"ejected {endpoint.name}: {why}"))

    def note_health_check(self, endpoint: Endpoint, answered: bool) -> None:
        """Eject an endpoint that does not answer a health check, for a time or until it answers one."""
        # Otherwise requests would be lost at a silent endpoint until the first of them is overdue.
        record = endpoint.failures
        if not answered:
            record.ejected_until_us = max(record.ejected_until_us, self._context.now_us + EJECTION_US)
        elif not record.consecutive_failures:
            record.ejected_until_us = 0

    def forget(self, endpoint: Endpoint) -> None:
        """Forget the failures of a server process that has ended."""
        record = endpoint.failures
        record.consecutive_failures = record.ejected_until_us = record.unanswered_since_us = 0

    def restore_endpoint(self, endpoint: Endpoint, learned: EndpointSnapshot) -> None:
        """Restore an endpoint's failure record from a snapshot."""
        record = endpoint.failures
        record.consecutive_failures = learned.consecutive_failures
        record.ejected_until_us = learned.ejected_until_us
        record.last_failure, record.last_failure_at_us = learned.last_failure, learned.last_failure_at_us
        record.answered_at_us = learned.answered_at_us
