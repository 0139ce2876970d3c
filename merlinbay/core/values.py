"""Plain values that the core exchanges with fronts, server transports and discovery."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

from merlinbay.decision.settings import Settings
from merlinbay.limits import ResourceLimits


class AnswerStatus(Enum):
    """The kind of a final answer; the value is part of a counter's name."""

    SERVED = "served"
    REJECTED = "refused"  # a retry is harmless
    FAILED = "failed"  # the request may have had its effect


class ExitDetails(msgspec.Struct, frozen=True):
    """What a server reported of an attempt's end beside its outcome."""

    exit_status: int | None = None
    signal: str = ""  # name of the signal that ended it
    cpu_us: int = 0  # processor time used
    note: str = ""  # the server's explanation
    output: bytes = b""  # of an attempt that failed


class Answer(msgspec.Struct, frozen=True):
    """A request's one final answer."""

    status: AnswerStatus
    result: bytes = b""  # of a request that was served
    retry_after_us: int = 0  # of a rejected one; 0: not given
    exit_details: ExitDetails | None = None  # of the attempt that ended last, if its server reported any
    may_have_run: bool = False  # of a rejected one: a retry is harmless within the idempotency window only


class RequestSpec(msgspec.Struct, frozen=True):
    """A client's request, independent of the protocol that it came by."""

    name: str  # the request's id, the same towards clients and servers
    job_class: str
    arrived_at_us: int  # when its last byte was read
    time_budget_us: int  # from its arrival to its deadline
    target: str = "/"  # forwarded unchanged
    body: bytes = b""  # forwarded unchanged
    body_type: str = ""  # its media type; empty: not given
    idempotency_key: str = ""  # by which servers recognize a repeat; empty: none
    affinity_key: str = ""  # requests with the same key prefer the same server; empty: none
    tenant: str = ""
    slots: float = 1.0  # of a server that it takes
    memory: float = 0.0  # of a server that it takes
    duration_hint_us: int = 0  # expected work; 0: not given
    is_retry: bool = False  # its client says so
    allowed_servers: tuple[str, ...] = ()  # empty: any
    needs_free_slot: bool = False  # it may not wait in a server's queue
    uses_reserved_slots: bool = False  # the slots reserved on its servers are for it


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """A node's name, address and settings, for the parts that an operator's file turns on."""

    name: str
    listen: tuple[str, int]  # host and port
    settings: Settings
    limits: ResourceLimits


class ServiceEntry(msgspec.Struct, frozen=True):
    """One entry of the endpoint list."""

    server: str  # its id
    address: str = msgspec.field(name="addr")
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "up"  # up | draining | removed
    weight: float = 1.0  # its share beside others of its kind
    started_at_us: int = msgspec.field(default=0, name="started_us")  # its latest start; 0: long ago


class EndpointView(msgspec.Struct, frozen=True):
    """The decision module's view of one server."""

    name: str
    zone: str
    kind: str
    state: str
    slots: float  # its capacity
    held: float  # slots in flight or reserved by this balancer
    others: float  # the same of other balancers, estimated
    pace: float  # its run times relative to those of its kind
    failures: int  # in a row
    cold: bool  # it is in slow start
    out_since_us: int = 0  # when it was ejected; 0: it is not
    out_until_us: int = 0  # when its ejection ends
    why: str = ""  # cause of the ejection
