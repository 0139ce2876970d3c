"""The messages that other tasks put into the dispatcher's inbox.

A message that asks for a reply has a ``reply`` callable, which must not wait. ``AttemptStarted``,
``AttemptProgress`` and ``AttemptFinished`` are also encoded: during a handover, a callback that reaches the
process without the request is forwarded to the other process.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from merlinbay.core.attempts import Responder
from merlinbay.core.values import EndpointView, ExitDetails, RequestSpec, ServiceEntry
from merlinbay.decision.events import CallFailure
from merlinbay.decision.handover_snapshot import HandoverSnapshot
from merlinbay.decision.outcomes import Outcome


class RequestArrived(msgspec.Struct, frozen=True):
    """A client has sent a request."""

    spec: RequestSpec
    responder: Responder


class RequestWithdrawn(msgspec.Struct, frozen=True):
    """The client has disconnected."""

    name: str  # name of the request
    responder: Responder


class RecallRequested(msgspec.Struct, frozen=True):
    """The client asks to recall its request if it has not started."""

    name: str
    responder: Responder


class ControlRequested(msgspec.Struct, frozen=True):
    """The client asks to suspend or resume its request."""

    name: str
    responder: Responder
    action: str  # suspend | resume


class AttemptRecalled(msgspec.Struct, frozen=True):
    """The reply of a server that was asked to return an attempt if it has not started."""

    name: str
    server: str
    was_returned: bool


class AttemptControlled(msgspec.Struct, frozen=True):
    """The reply of a server that was asked to suspend or resume an attempt."""

    name: str
    server: str
    action: str  # suspend | resume
    error: str = ""  # the DRMAA standard's name of the error; empty on success
    message: str = ""  # explanation of the error


class AttemptSuspended(msgspec.Struct, frozen=True):
    """The server has suspended the attempt."""

    name: str
    server: str


class AttemptStatusUnknown(msgspec.Struct, frozen=True):
    """The server could not be asked for an attempt's status, or has replied that it has not started it."""

    name: str
    server: str
    is_queued: bool  # whether the server replied, so that the attempt is known to be queued


class AttemptStarted(msgspec.Struct, tag="SchedulingStarted", frozen=True):
    """The server has started the attempt."""

    name: str
    server: str


class AttemptProgress(msgspec.Struct, tag="SchedulingProgress", frozen=True):
    """The server reports how far it is with the attempt."""

    name: str
    server: str
    share: float  # share of the work that is done, from 0 to 1


class AttemptFinished(msgspec.Struct, tag="SchedulingEnded", frozen=True):
    """The attempt has ended.

    A request has at most one attempt at a time on a server, so the two names identify the attempt.
    """

    name: str
    server: str
    outcome: Outcome
    result: bytes = b""
    report: dict[str, float] | None = None  # the server's load report
    # Whether the server has found the request itself invalid, so that no other server would accept it.
    is_unfit: bool = msgspec.field(default=False, name="unfit")
    exit_details: ExitDetails | None = msgspec.field(default=None, name="ending")


class ServerChecked(msgspec.Struct, frozen=True):
    """A health check of a server has ended."""

    server: str
    outcome: Outcome
    took_for_us: int
    report: dict[str, float] | None = None  # the server's load report


class EndpointListReceived(msgspec.Struct, frozen=True):
    """Discovery has sent entries of the endpoint list, or a call for it has failed."""

    scope: str  # changes | all | remembered (the list of an earlier process) | refused (a call has failed)
    entries: list[ServiceEntry] = []
    last_answer_at_us: int = -1  # time of the last answer on a watch that failed; -1: the time of the failure
    failure: CallFailure = CallFailure.BROKEN  # how the call or watch has failed; with ``refused`` only
    is_from_former_discovery: bool = False  # whether the configuration now names another discovery
    # Whether entries with one address are one server, whatever their names. On the platform the id tells.
    identifies_by_address: bool = False
    aliases: dict[str, str] = {}  # further names of servers, with scope ``all``; each with its server's name


class DiscoveryReloaded(msgspec.Struct, frozen=True):
    """A new configuration is in use."""

    notified_after_us: int  # time until all that its discovery lists at present counts as notified
    has_moved: bool = True  # whether it names another discovery, which must be called


class BalancersChanged(msgspec.Struct, frozen=True):
    """The number of balancers that share the work, or their order, has changed."""

    count: int  # number of balancers, including this one
    own_index: int = 0  # index of this balancer in the order that all balancers agree on


class EndpointViewsRequested(msgspec.Struct, frozen=True):
    """A query for the decision module's view of the endpoints."""

    reply: Callable[[list[EndpointView]], None]


class MaintenanceRequested(msgspec.Struct, frozen=True):
    """An operator disables or enables a server."""

    server: str
    is_disabled: bool
    # Called with whether the server is known; None if the other process relayed this, as it replies itself.
    reply: Callable[[bool], None] | None


class SnapshotRequested(msgspec.Struct, frozen=True):
    """The process that will replace this one asks for the decision module's handover snapshot."""

    reply: Callable[[HandoverSnapshot], None]


class CallbackRelayed(msgspec.Struct, frozen=True):
    """A callback that reached the node's other process first; it is not relayed again."""

    message: AttemptStarted | AttemptProgress | AttemptFinished


Callback = AttemptStarted | AttemptProgress | AttemptFinished


class ReservedSlotsChanged(msgspec.Struct, frozen=True):
    """The number of a server's slots that are kept free for requests with a reservation has changed."""

    server: str
    slots: float
    total_slots: float  # all slots of the server, according to the operator's file


class ShutdownRequested(msgspec.Struct, frozen=True):
    """The dispatcher must reject new requests, and end once the last open one is answered."""


Message = (
    RequestArrived
    | RequestWithdrawn
    | RecallRequested
    | ControlRequested
    | AttemptRecalled
    | AttemptControlled
    | AttemptSuspended
    | AttemptStatusUnknown
    | AttemptStarted
    | AttemptProgress
    | AttemptFinished
    | ServerChecked
    | EndpointListReceived
    | DiscoveryReloaded
    | BalancersChanged
    | EndpointViewsRequested
    | MaintenanceRequested
    | SnapshotRequested
    | CallbackRelayed
    | ReservedSlotsChanged
    | ShutdownRequested
)
