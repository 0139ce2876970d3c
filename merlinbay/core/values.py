"""Immutable values that the core exchanges with fronts, server transports and discovery."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

from merlinbay.decision.events import UnresolvedAttempt
from merlinbay.decision.settings import Settings
from merlinbay.limits import ResourceLimits

TimerKey = tuple[int, int]
"""When a timer of the dispatcher is due, and a sequence number of its own."""


class AnswerStatus(Enum):
    """The kind of a final answer. The value is part of a counter's name."""

    SERVED = "served"
    REJECTED = "refused"  # a retry is harmless, see ``Answer.may_have_run``
    FAILED = "failed"  # the request may have taken effect


class ExitDetails(msgspec.Struct, frozen=True):
    """Details that a server reported about an attempt's end in addition to its outcome."""

    exit_status: int | None = None
    signal: str = ""  # name of the signal that terminated the job
    cpu_us: int = 0  # processor time used
    note: str = ""  # the server's explanation
    output: bytes = b""  # output of the job, for an attempt that failed


class Answer(msgspec.Struct, frozen=True):
    """A request's one final answer."""

    status: AnswerStatus
    result: bytes = b""  # response body, for a request that was served
    retry_after_us: int = 0  # Retry-After of a rejected request; 0: not given
    exit_details: ExitDetails | None = None  # reported for the attempt that ended last, if any
    # Whether a rejected request may have run, so that a retry is harmless within the idempotency window only.
    may_have_run: bool = False


class RequestSpec(msgspec.Struct, frozen=True):
    """A client's request, independent of the protocol by which it arrived."""

    name: str  # the request's id, as clients and servers know it
    job_class: str
    arrived_at_us: int  # when the last byte of the request was read
    time_budget_us: int  # time from the arrival to the deadline
    target: str = "/"  # request target, forwarded unchanged
    body: bytes = b""  # request body, forwarded unchanged
    body_type: str = ""  # media type of the body; empty: not given
    idempotency_key: str = ""  # key by which servers recognize a repeat; empty: none
    affinity_key: str = ""  # requests with the same key prefer the same server; empty: none
    tenant: str = ""
    slots: float = 1.0  # slots that it takes on a server
    memory: float = 0.0  # memory that it takes on a server
    duration_hint_us: int = 0  # expected duration of the work; 0: not given
    is_retry: bool = False  # whether the client has marked it as a retry
    allowed_servers: tuple[str, ...] = ()  # servers that may run it; empty: any server
    needs_free_slot: bool = False  # whether it must not wait in a server's queue
    uses_reserved_slots: bool = False  # whether it may use the reserved slots of its servers
    # Attempts of earlier requests for the same work that may have run, the first dispatched first.
    earlier_attempts: tuple[UnresolvedAttempt, ...] = ()


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """A node's name, address and settings, for the optional components that an operator's file enables."""

    name: str
    listen: tuple[str, int]  # host and port
    settings: Settings
    limits: ResourceLimits


class ServiceEntry(msgspec.Struct, frozen=True):
    """One entry of the endpoint list."""

    server: str  # the server's id
    address: str = msgspec.field(name="addr")
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "up"  # up | draining | removed
    weight: float = 1.0  # share of the load relative to others of its kind
    started_at_us: int = msgspec.field(default=0, name="started_us")  # the server's latest start; 0: long ago


class EndpointView(msgspec.Struct, frozen=True):
    """The decision module's view of one server."""

    name: str
    zone: str
    kind: str
    state: str
    slots: float  # the server's capacity
    held: float  # slots in flight or reserved by this balancer
    others: float  # slots in flight or reserved by other balancers, estimated
    pace: float  # the server's run times relative to those of its kind
    failures: int  # consecutive failures
    cold: bool  # whether the server is in slow start
    out_since_us: int = 0  # when the server was ejected; 0: it is not ejected
    out_until_us: int = 0  # when the ejection ends
    why: str = ""  # reason for the ejection
