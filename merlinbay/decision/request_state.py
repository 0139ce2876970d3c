"""The state of requests, their attempts and their classes. Times are microseconds, counts are slots."""

from __future__ import annotations

from dataclasses import dataclass, field

from merlinbay.decision.endpoint_state import Endpoint
from merlinbay.decision.settings import Idempotency, RequestClass


@dataclass(slots=True, eq=False)
class RequestClassState:
    """A class's settings and its run time; written by ``RunTimes``."""

    spec: RequestClass
    run_time_us: float  # smoothed
    completed: int = 0  # requests that the run time rests on
    hint_ratio: float = 1.0  # run times over the hints that came with the requests


@dataclass(slots=True, eq=False)
class Attempt:
    """One dispatch of a request; written by ``TrackedRequests`` but where a field says otherwise."""

    endpoint: Endpoint
    dispatched_at_us: int
    zone: str = field(init=False)  # of the endpoint at the dispatch: a later list may name another zone,
    cell: int = field(init=False)  # and another cell
    found_free_slots: bool = False  # the endpoint seemed to have free slots
    started_at_us: int = 0  # 0: not started
    recheck_at_us: int = 0  # when to check that it still runs; written by ``AttemptTimers``
    paused_at_us: int = 0  # it is suspended since then; 0: it is not
    is_open: bool = True
    ended_possibly_run: bool = False  # it has ended, and may have run

    def __post_init__(self) -> None:
        self.zone, self.cell = self.endpoint.zone, self.endpoint.cell

    @property
    def may_have_run(self) -> bool:
        """Whether it is open, or has ended in a way that does not exclude that it has run."""
        return self.is_open or self.ended_possibly_run


@dataclass(slots=True, eq=False, kw_only=True)
class TrackedRequest:
    """A request, from its arrival until its last attempt has ended; written by ``TrackedRequests``."""

    id: int
    class_state: RequestClassState
    run_time_us: float  # expected
    priority_weight: float
    deadline_at_us: int
    arrived_at_us: int = 0
    slots: float = 1.0
    memory: float = 0.0
    key: str = ""  # affinity key; empty: none
    allowed_endpoints: tuple[str, ...] = ()  # the endpoints that may run it; empty: any
    needs_free_slots: bool = False  # it takes free slots, and no place in a queue
    uses_reservation: bool = False  # the reserved slots are for it
    hint_us: float = 0.0  # the run time that came with it; 0: none
    lacks_idempotency_key: bool = False  # endpoints could not recognise a repeat
    hedging_delay_us: float = 0.0  # how long an attempt may wait unstarted before a hedge
    attempts: list[Attempt] = field(default_factory=list)
    open_attempts: int = 0
    is_done: bool = False  # it has its final answer, or its client has left
    health_check_replies: list[Endpoint] = field(default_factory=list)  # written by ``HealthChecks``
    pending_health_checks: int = 0  # written by ``HealthChecks``

    @property
    def idempotency(self) -> Idempotency:
        """What a repeat does. Without its key a request idempotent by key must not be repeated."""
        declared = self.class_state.spec.idempotency
        return Idempotency.NONE if declared is Idempotency.BY_KEY and self.lacks_idempotency_key else declared

    @property
    def first_that_may_have_run(self) -> Attempt | None:
        """The first attempt that may have run."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)
