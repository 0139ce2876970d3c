"""The events that the adapter passes to ``Balancer.handle``.

Times are in microseconds on the caller's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import ClassVar


@dataclass(slots=True)
class EndpointEntry:
    """One line of the endpoint list."""

    endpoint: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "up"  # up | draining | removed
    share: float = 1.0
    ready_at_us: int = 0  # time of the latest start; 0: long ago
    address: str = ""  # entries with one address are one server, whatever their names; empty: the name tells


class CallFailure(Enum):
    """How a call to discovery failed, or how a watch ended."""

    BROKEN = "broken"  # The connection ended or the answer cannot be read; the answer may have had changes.
    SILENT = "silent"  # Nothing came in time.
    UNAVAILABLE = "unavailable"  # Discovery answered that it is down or that the call has waited too long.
    UNREACHABLE = "unreachable"  # No connection could be made.


@dataclass(slots=True)
class EndpointsChanged:
    """An endpoint list or changes to it, or the failure of a call for it."""

    scope: str  # changes | all | remembered (from before the start) | refused (the call failed)
    entries: list[EndpointEntry]
    last_answer_at_us: int = -1  # time of the last answer on a watch that broke; -1: when it broke
    failure: CallFailure = CallFailure.BROKEN  # how the call or watch failed, where the scope is ``refused``
    former: bool = False  # whether it comes from a discovery that the configuration no longer names


@dataclass(slots=True)
class DiscoveryChanged:
    """A new configuration. After ``notified_after_us``, all that its discovery has counts as notified."""

    notified_after_us: int
    moved: bool = True  # whether it names another discovery, which must be polled


@dataclass(slots=True)
class BalancerCountChanged:
    """The number of balancers that share the work has changed. It replaces the configured number."""

    count: int  # number of balancers, this one included
    me: int = 0  # number of this balancer, in an order that all balancers share


@dataclass(slots=True)
class MaintenanceChanged:
    """Operators disable an endpoint (``on``), whatever is listed, or enable it after a restart."""

    endpoint: str
    on: bool


@dataclass(frozen=True, slots=True)
class UnresolvedAttempt:
    """An attempt of an earlier offer of a request that has ended, and does not exclude that it has run."""

    endpoint: str
    zone: str  # zone of the endpoint at the dispatch
    cell: int  # cell of the endpoint at the dispatch
    dispatched_at_us: int
    address: str = ""  # address of the endpoint at the dispatch; empty: the name tells the server
    may_have_run: ClassVar[bool] = True


@dataclass(slots=True)
class RequestReceived:
    """A request of a client. It gets one final answer within ``budget_us``."""

    id: int
    job_class: str
    budget_us: int
    slots: float = 1.0
    memory: float = 0.0
    key: str = ""
    tenant: str = ""
    returned: bool = False  # whether the client marks it as a repeat
    hint_us: int = 0  # run time that the client expects; 0: no hint came
    only: tuple[str, ...] = ()  # names of the endpoints that may run it; empty: any
    room_only: bool = False  # whether it may take free slots only, and no place in a queue
    reserved: bool = False  # whether it runs on reserved slots
    keyless: bool = False  # whether it has no key by which endpoints recognise a repeat
    earlier_attempts: tuple[UnresolvedAttempt, ...] = ()  # of its earlier offers, the first dispatched first


@dataclass(slots=True)
class SlotsReserved:
    """Some slots of an endpoint are kept free from now on for the requests that reserved them."""

    endpoint: str
    slots: float  # number of reserved slots; 0: none any more
    of: float = 0.0  # total slots of the endpoint according to the operator


@dataclass(slots=True)
class ClientDisconnected:
    """The client has disconnected, so its request needs no answer."""

    id: int


@dataclass(slots=True)
class ExecutionStarted:
    """The endpoint has started the attempt."""

    id: int
    attempt: int


@dataclass(slots=True)
class ExecutionProgressed:
    """The attempt runs. ``done`` is the share of the work that is done."""

    id: int
    attempt: int
    done: float = 0.0


@dataclass(slots=True)
class ExecutionPaused:
    """The endpoint has suspended (``paused``) or resumed the attempt."""

    id: int
    attempt: int
    paused: bool


@dataclass(slots=True)
class StreamStarted:
    """The answer has begun to stream to the client, so the attempt is bound to this client."""

    id: int
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """The attempt has ended; it ends once. With ``final``, the request has its final answer."""

    id: int
    attempt: int
    outcome: int
    took_us: int
    final: bool = False
    report: list[object] | None = None
    endpoint: str = ""


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check has ended."""

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
