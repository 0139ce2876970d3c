"""The table of open requests and their attempts, and the counts of this balancer's slots in flight.

``Balancer`` and ``Dispatching`` call it at each event of a request. A request or attempt that is unknown, or
no longer open, is reported as None.
"""

from __future__ import annotations

from merlinbay.decision.context import Context
from merlinbay.decision.endpoint_state import Endpoint
from merlinbay.decision.events import UnresolvedAttempt
from merlinbay.decision.request_state import Attempt, TrackedRequest

IN_FLIGHT_HISTORY_US = 1_000_000  # how long past counts of an endpoint's slots in flight are kept


class TrackedRequests:
    """Owns the requests, their attempts and the counts of slots in flight."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.by_id: dict[int, TrackedRequest] = {}
        self.in_flight_slots = 0.0  # slots of all open attempts
        self.running_slots = 0.0  # slots of the open attempts that have started

    def find(self, request_id: int, number: int) -> tuple[TrackedRequest, Attempt] | None:
        """Return a request and its open attempt of this number, or None."""
        request = self.by_id.get(request_id)
        if request is None or not 0 <= number < len(request.attempts):
            return None
        attempt = request.attempts[number]
        return (request, attempt) if attempt.is_open else None

    def unresolved_attempt(self, request_id: int, number: int) -> UnresolvedAttempt | None:
        """Return what a later offer of a request must know of an attempt; None if the attempt is unknown."""
        request = self.by_id.get(request_id)
        if request is None or not 0 <= number < len(request.attempts):
            return None
        attempt = request.attempts[number]
        return UnresolvedAttempt(
            attempt.endpoint.name, attempt.zone, attempt.cell, attempt.dispatched_at_us, attempt.address
        )

    def add(self, request: TrackedRequest) -> None:
        """Add a request to the table."""
        self.by_id[request.id] = request

    def forget(self, request: TrackedRequest) -> None:
        """Remove a request that has no open attempts."""
        self.by_id.pop(request.id, None)

    def close(self, request: TrackedRequest) -> None:
        """Mark a request as one that has its final answer or needs none."""
        request.is_done = True

    def open_attempt(self, request: TrackedRequest, endpoint: Endpoint, found_free_slots: bool) -> None:
        """Add an attempt to the request, and count its slots at the endpoint."""
        self.by_id[request.id] = request
        request.attempts.append(Attempt(endpoint, self._context.now_us, found_free_slots=found_free_slots))
        request.open_attempts += 1
        self._count(endpoint, request.slots)

    def start_attempt(self, request: TrackedRequest, attempt: Attempt) -> None:
        """Record the start of an attempt, and count its slots as running."""
        attempt.started_at_us = self._context.now_us
        attempt.endpoint.in_flight.running_slots += request.slots
        self.running_slots += request.slots

    def pause_attempt(self, attempt: Attempt) -> None:
        """Record that an attempt is suspended."""
        attempt.paused_at_us = self._context.now_us

    def resume_attempt(self, attempt: Attempt) -> None:
        """Record that a suspended attempt resumes. The pause does not count as run time."""
        attempt.started_at_us += self._context.now_us - attempt.paused_at_us
        attempt.paused_at_us = 0

    def end_attempt(self, request: TrackedRequest, attempt: Attempt, ended_possibly_run: bool) -> None:
        """Record the end of an attempt, and free its slots."""
        attempt.is_open = False
        attempt.ended_possibly_run = ended_possibly_run
        request.open_attempts -= 1
        self._count(attempt.endpoint, -request.slots)
        if attempt.started_at_us:
            attempt.endpoint.in_flight.running_slots -= request.slots
            self.running_slots -= request.slots

    def _count(self, endpoint: Endpoint, slots: float) -> None:
        """Add slots to the counts of an endpoint; a negative number frees them."""
        now_us, counts = self._context.now_us, endpoint.in_flight
        counts.in_flight_slots += slots
        history = counts.in_flight_history
        history.append((now_us, counts.in_flight_slots))
        while history[0][0] < now_us - IN_FLIGHT_HISTORY_US and len(history) > 1:
            history.popleft()
        self.in_flight_slots += slots

    def in_flight_at(self, endpoint: Endpoint, at_us: int) -> float:
        """Return the slots in flight at an endpoint at a past time, or at the earliest time that is kept."""
        history = endpoint.in_flight.in_flight_history
        slots = history[0][1] if history else endpoint.in_flight.in_flight_slots
        for since_us, value in history:
            if since_us > at_us:
                break
            slots = value
        return slots
