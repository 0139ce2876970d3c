"""Messages in the dispatcher's inbox, from any number of tasks."""

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

    name: str  # of the request
    responder: Responder


class RecallRequested(msgspec.Struct, frozen=True):
    """The client wants its request back, if it has not started."""

    name: str
    responder: Responder


class ControlRequested(msgspec.Struct, frozen=True):
    """The client wants its request suspended or resumed."""

    name: str
    responder: Responder
    action: str  # suspend | resume


class AttemptRecalled(msgspec.Struct, frozen=True):
    """A server was asked to return an attempt unstarted."""

    name: str
    server: str
    was_returned: bool


class AttemptControlled(msgspec.Struct, frozen=True):
    """A server was asked to suspend or resume an attempt."""

    name: str
    server: str
    action: str  # suspend | resume
    error: str = ""  # the standard's name of an error; empty: it succeeded
    message: str = ""  # explains the error


class AttemptSuspended(msgspec.Struct, frozen=True):
    """The server has suspended the attempt."""

    name: str
    server: str


class AttemptStatusUnknown(msgspec.Struct, frozen=True):
    """The server cannot be asked, or was asked and has not started the attempt."""

    name: str
    server: str
    is_queued: bool  # it was asked


class AttemptStarted(msgspec.Struct, tag="SchedulingStarted", frozen=True):
    """The server has started the attempt."""

    name: str
    server: str


class AttemptProgress(msgspec.Struct, tag="SchedulingProgress", frozen=True):
    """The server runs the attempt."""

    name: str
    server: str
    share: float  # of its work that is done, from 0 to 1


class AttemptFinished(msgspec.Struct, tag="SchedulingEnded", frozen=True):
    """The attempt has ended. A request has one at a time on a server, so the two names identify it."""

    name: str
    server: str
    outcome: Outcome
    result: bytes = b""
    report: dict[str, float] | None = None  # the server's load
    # The server finds the request itself invalid: no other would accept it.
    is_unfit: bool = msgspec.field(default=False, name="unfit")
    exit_details: ExitDetails | None = msgspec.field(default=None, name="ending")


class ServerChecked(msgspec.Struct, frozen=True):
    """A health check of a server has ended."""

    server: str
    outcome: Outcome
    took_for_us: int
    report: dict[str, float] | None = None  # the server's load


class EndpointListReceived(msgspec.Struct, frozen=True):
    """Discovery has sent entries of the endpoint list, or a call for it has failed."""

    scope: str  # changes | all | remembered (from an earlier process) | refused (the call has failed)
    entries: list[ServiceEntry] = []
    last_answer_at_us: int = -1  # of a watch that broke; -1: when it broke
    failure: CallFailure = CallFailure.BROKEN  # of a call or watch that failed
    is_from_former_discovery: bool = False  # the configuration names another one by now


class DiscoveryReloaded(msgspec.Struct, frozen=True):
    """A new configuration is in use."""

    notified_after_us: int  # from now until all that its discovery has counts as notified
    has_moved: bool = True  # it names another discovery, which is to be called


class BalancersChanged(msgspec.Struct, frozen=True):
    """The balancers that share the work have changed."""

    count: int  # this one included
    own_index: int = 0  # of this one in their common order


class EndpointViewsRequested(msgspec.Struct, frozen=True):
    """Somebody wants the decision module's view of the endpoints."""

    reply: Callable[[list[EndpointView]], None]


class MaintenanceRequested(msgspec.Struct, frozen=True):
    """An operator disables or enables a server."""

    server: str
    is_disabled: bool
    reply: Callable[[bool], None] | None  # takes whether the name is known; None: the other process replies


class SnapshotRequested(msgspec.Struct, frozen=True):
    """The process that is to replace this one wants the decision module's handover snapshot."""

    reply: Callable[[HandoverSnapshot], None]


class CallbackRelayed(msgspec.Struct, frozen=True):
    """A call-back that reached the node's other process; it is not relayed again."""

    message: AttemptStarted | AttemptProgress | AttemptFinished


Callback = AttemptStarted | AttemptProgress | AttemptFinished


class ReservedSlotsChanged(msgspec.Struct, frozen=True):
    """The slots of a server that are kept free for requests with a reservation have changed."""

    server: str
    slots: float
    total_slots: float  # of the server, by the operator's file


class ShutdownRequested(msgspec.Struct, frozen=True):
    """Reject new requests, and end once the last one is answered."""


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
