"""What a balancer is notified of while it runs. Times are microseconds on the caller's monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(slots=True)
class EndpointEntry:
    """One line of the endpoint list."""

    endpoint: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "up"  # up | draining | removed
    share: float = 1.0
    ready_at_us: int = 0  # the latest start; 0: long ago


class CallFailure(Enum):
    """How a call to discovery failed, or a watch ended."""

    BROKEN = "broken"  # the connection ended, or the answer cannot be read: it may have had changes
    SILENT = "silent"  # nothing came in time
    UNAVAILABLE = "unavailable"  # discovery's own word that it is down, or that the call has waited too long
    UNREACHABLE = "unreachable"  # no connection comes up


@dataclass(slots=True)
class EndpointsChanged:
    """The endpoint list: ``changes``, ``all``, ``remembered``, or ``refused`` (a call for it failed)."""

    scope: str
    entries: list[EndpointEntry]
    last_answer_at_us: int = -1  # of a watch that broke: when its last answer came; -1: when it broke
    failure: CallFailure = CallFailure.BROKEN  # of a call or watch that failed
    former: bool = False  # it comes from a discovery that the configuration names no more


@dataclass(slots=True)
class DiscoveryChanged:
    """A new configuration has come; all that its discovery has counts as notified after ``told_us``."""

    notified_after_us: int
    moved: bool = True  # it names another discovery, which is to be called


@dataclass(slots=True)
class BalancerCountChanged:
    """So many balancers share the work from now on, this one included: beside the configured count."""

    count: int
    me: int = 0  # which of them, in an order that all have


@dataclass(slots=True)
class MaintenanceChanged:
    """Operators take an endpoint out (``on``), above whatever is listed, or put it back, restarted."""

    endpoint: str
    on: bool


@dataclass(slots=True)
class RequestReceived:
    """A client's request; it gets one final answer within ``budget_us``."""

    id: int
    job_class: str
    budget_us: int
    slots: float = 1.0
    memory: float = 0.0
    key: str = ""
    tenant: str = ""
    returned: bool = False  # the client says that it is a repeat
    hint_us: int = 0  # expected run time; 0: none came with it
    only: tuple[str, ...] = ()  # the endpoints that may run it; empty: any
    room_only: bool = False  # it takes free slots, and no place behind others
    reserved: bool = False  # the reserved slots are for it
    keyless: bool = False  # it carries no key by which endpoints could know a repeat


@dataclass(slots=True)
class SlotsReserved:
    """So many slots of an endpoint are kept free from now on, but for requests that reserved them."""

    endpoint: str
    slots: float
    of: float = 0.0  # all that it has, as the operator says


@dataclass(slots=True)
class ClientDisconnected:
    """The client has disconnected; its request needs no answer any more."""

    id: int


@dataclass(slots=True)
class ExecutionStarted:
    """An endpoint has started the attempt."""

    id: int
    attempt: int


@dataclass(slots=True)
class ExecutionProgressed:
    """The attempt runs; ``done`` is the share done."""

    id: int
    attempt: int
    done: float = 0.0


@dataclass(slots=True)
class ExecutionPaused:
    """The endpoint has suspended the attempt, or goes on with it."""

    id: int
    attempt: int
    paused: bool


@dataclass(slots=True)
class StreamStarted:
    """The answer streams to the client, to whom the attempt now belongs."""

    id: int
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """The attempt's one outcome. ``final``: the request has its final answer."""

    id: int
    attempt: int
    outcome: int
    took_us: int
    final: bool = False
    report: list[object] | None = None
    endpoint: str = ""


@dataclass(slots=True)
class HealthCheckEnded:
    """The outcome of a probe."""

    endpoint: str
    outcome: int
    took_us: int
    report: list[object] | None = None


@dataclass(slots=True)
class TimerFired:
    """A timer is due."""

    token: str


Event = (
    EndpointsChanged
    | DiscoveryChanged
    | BalancerCountChanged
    | MaintenanceChanged
    | RequestReceived
    | ClientDisconnected
    | ExecutionStarted
    | ExecutionProgressed
    | ExecutionPaused
    | StreamStarted
    | AttemptEnded
    | HealthCheckEnded
    | TimerFired
    | SlotsReserved
)
