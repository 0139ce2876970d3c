"""The state of requests, their attempts and their classes. Times are in microseconds, sizes in slots.

The records hold state only; the part named in each docstring or comment writes them.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from merlinbay.decision.endpoint_state import Endpoint
from merlinbay.decision.events import UnresolvedAttempt
from merlinbay.decision.settings import Idempotency, RequestClass


@dataclass(slots=True, eq=False)
class RequestClassState:
    """The settings of a class and its learned run time. Written by ``RunTimes``."""

    spec: RequestClass
    run_time_us: float  # smoothed run time
    completed: int = 0  # number of requests from which the run time was learned
    hint_ratio: float = 1.0  # smoothed ratio of run times to the hints that came with the requests


@dataclass(slots=True, eq=False)
class Attempt:
    """One dispatch of a request. Written by ``TrackedRequests`` unless a field says otherwise."""

    endpoint: Endpoint
    dispatched_at_us: int
    zone: str = field(init=False)  # zone of the endpoint at the dispatch; a later list may name another one
    cell: int = field(init=False)  # cell of the endpoint at the dispatch; a later list may name another one
    address: str = field(init=False)  # address of the endpoint at the dispatch; a later list may differ
    found_free_slots: bool = False  # whether the endpoint seemed to have free slots at the dispatch
    started_at_us: int = 0  # time of the start, moved on by pauses; 0: not started
    recheck_at_us: int = 0  # time of the next check of a running attempt; written by ``AttemptTimers``
    paused_at_us: int = 0  # time since which it is suspended; 0: not suspended
    is_open: bool = True
    ended_possibly_run: bool = False  # whether it has ended in a way that does not exclude that it has run

    def __post_init__(self) -> None:
        self.zone, self.cell = self.endpoint.zone, self.endpoint.cell
        self.address = self.endpoint.address

    @property
    def may_have_run(self) -> bool:
        """Whether the attempt is open, or has ended in a way that does not exclude that it has run."""
        return self.is_open or self.ended_possibly_run


@dataclass(slots=True, eq=False, kw_only=True)
class TrackedRequest:
    """A request from its arrival to the end of its last attempt. Written by ``TrackedRequests``."""

    id: int
    class_state: RequestClassState
    run_time_us: float  # expected run time
    priority_weight: float
    deadline_at_us: int
    arrived_at_us: int = 0
    slots: float = 1.0
    memory: float = 0.0
    key: str = ""  # affinity key; empty: none
    allowed_endpoints: tuple[str, ...] = ()  # names of the endpoints that may run it; empty: any
    needs_free_slots: bool = False  # whether it may take free slots only, and no place in a queue
    uses_reservation: bool = False  # whether it runs on reserved slots
    hint_us: float = 0.0  # run time that the client expects; 0: no hint came
    lacks_idempotency_key: bool = False  # whether it has no key by which endpoints recognise a repeat
    hedging_delay_us: float = 0.0  # how long an attempt may wait unstarted before a hedge
    earlier_attempts: tuple[UnresolvedAttempt, ...] = ()  # of its earlier offers, those that may have run
    attempts: list[Attempt] = field(default_factory=list)
    open_attempts: int = 0
    is_done: bool = False  # whether it has its final answer or its client has disconnected
    # Endpoints that answered the request's health checks, and checks not answered yet; both are written by
    # ``HealthChecks``.
    health_check_replies: list[Endpoint] = field(default_factory=list)
    pending_health_checks: int = 0

    @property
    def idempotency(self) -> Idempotency:
        """The effect of a repeat: ``NONE`` also if the class is ``BY_KEY`` and the request has no key."""
        declared = self.class_state.spec.idempotency
        return Idempotency.NONE if declared is Idempotency.BY_KEY and self.lacks_idempotency_key else declared

    def first_unresolved(self, attempts: Iterable[Attempt]) -> Attempt | UnresolvedAttempt | None:
        """Return the first of the earlier offers' attempts and of these that may have run."""
        if self.earlier_attempts:
            return self.earlier_attempts[0]
        for attempt in attempts:
            if attempt.may_have_run:
                return attempt
        return None

    @property
    def first_that_may_have_run(self) -> Attempt | UnresolvedAttempt | None:
        """The first attempt that may have run."""
        return self.first_unresolved(self.attempts)

    def was_sent_to(self, endpoint: Endpoint) -> bool:
        """Return whether an attempt went to this endpoint, or one of an earlier offer that may have run."""
        # Compares names, not records: an endpoint that was forgotten and listed again has a new record. Also
        # compares addresses: the list may give the server another name while an attempt is there.
        name, address = endpoint.name, endpoint.address
        for attempt in self.attempts:
            if attempt.endpoint.name == name or (address and attempt.address == address):
                return True
        for earlier in self.earlier_attempts:
            if earlier.endpoint == name or (address and earlier.address == address):
                return True
        return False
