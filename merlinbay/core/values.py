"""Plain values that the core exchanges with fronts, server transports and discovery."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

from merlinbay.decision.settings import Settings
from merlinbay.limits import ResourceLimits


class AnswerStatus(Enum):
    """A final answer's kind."""

    SERVED = "served"
    REJECTED = "refused"  # trying again is harmless
    FAILED = "failed"  # nothing is promised about the effect


class ExitDetails(msgspec.Struct, frozen=True):
    """What a real server told of a job's end beside its outcome."""

    exit_status: int | None = None
    signal: str = ""  # the name of the one that ended it
    cpu_us: int = 0
    note: str = ""
    output: bytes = b""  # of a job that failed


class Answer(msgspec.Struct, frozen=True):
    """A request's one final answer."""

    status: AnswerStatus
    result: bytes = b""
    retry_after_us: int = 0
    exit_details: ExitDetails | None = None  # of the attempt that ended last, where its server told one
    may_have_run: bool = False  # of one that is refused: trying again is harmless for a while only


class RequestSpec(msgspec.Struct, frozen=True):
    """What a client asks for, in no wire's words."""

    name: str  # the request's id, the same on both sides
    job_class: str
    arrived_at_us: int  # when its last byte had come
    time_budget_us: int
    target: str = "/"  # passes on unchanged
    body: bytes = b""  # passes on unchanged
    body_type: str = ""  # its media type, where the front says
    repeat_key: str = ""  # by which real servers know a repeat
    affinity_key: str = ""
    tenant: str = ""
    slots: float = 1.0
    memory: float = 0.0
    duration_hint_us: int = 0
    is_retry: bool = False
    allowed_servers: tuple[str, ...] = ()  # the real servers that may run it; empty: any
    needs_free_slot: bool = False  # not into a server's queue
    uses_reserved_slots: bool = False  # the slots kept there are for it


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """What a node is, to those parts that an operator's file turns on."""

    name: str
    listen: tuple[str, int]
    settings: Settings
    limits: ResourceLimits


class ServiceEntry(msgspec.Struct, frozen=True):
    """One line of discovery's list."""

    server: str
    address: str = msgspec.field(name="addr")
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "up"  # up | draining | removed
    weight: float = 1.0
    started_at_us: int = msgspec.field(default=0, name="started_us")


class EndpointView(msgspec.Struct, frozen=True):
    """What the module believes of one real server."""

    name: str
    zone: str
    kind: str
    state: str
    slots: float
    held: float  # by us,
    others: float  # and as is believed by the others
    pace: float
    failures: int  # in a row
    cold: bool
    out_since_us: int = 0  # left out; 0: it is not
    out_until_us: int = 0
    why: str = ""
