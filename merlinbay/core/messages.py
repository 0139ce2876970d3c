"""Messages in the dispatcher's inbox, from any number of tasks."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from merlinbay.core.attempts import Responder
from merlinbay.core.values import EndpointView, ExitDetails, RequestSpec, ServiceEntry
from merlinbay.decision.events import CallFailure
from merlinbay.decision.learned import Learned
from merlinbay.decision.outcomes import Outcome


class RequestArrived(msgspec.Struct, frozen=True):
    """A client hands in a job."""

    spec: RequestSpec
    responder: Responder


class RequestWithdrawn(msgspec.Struct, frozen=True):
    """The client has left."""

    name: str
    responder: Responder


class RecallRequested(msgspec.Struct, frozen=True):
    """The client's side wants the request back, if it has not started."""

    name: str
    responder: Responder


class ControlRequested(msgspec.Struct, frozen=True):
    """The client's side wants the job ``suspend``-ed or ``resume``-d."""

    name: str
    responder: Responder
    action: str


class AttemptRecalled(msgspec.Struct, frozen=True):
    """Whether a real server gave an attempt back unstarted."""

    name: str
    server: str
    was_returned: bool


class AttemptControlled(msgspec.Struct, frozen=True):
    """What came of ``suspend`` or ``resume``; ``error`` names one of the standard's, or is empty."""

    name: str
    server: str
    action: str
    error: str = ""
    message: str = ""


class AttemptSuspended(msgspec.Struct, frozen=True):
    """The real server has suspended the job."""

    name: str
    server: str


class AttemptStatusUnknown(msgspec.Struct, frozen=True):
    """The real server cannot be asked (``found`` false), or was asked and has not started the job."""

    name: str
    server: str
    is_queued: bool


class AttemptStarted(msgspec.Struct, tag="SchedulingStarted", frozen=True):
    """The real server has started the job."""

    name: str
    server: str


class AttemptProgress(msgspec.Struct, tag="SchedulingProgress", frozen=True):
    """The job runs."""

    name: str
    server: str
    share: float


class AttemptFinished(msgspec.Struct, tag="SchedulingEnded", frozen=True):
    """How an attempt ended. A request has one at a time on a real server, so the two names match it."""

    name: str
    server: str
    outcome: Outcome
    result: bytes = b""
    report: dict[str, float] | None = None
    is_unfit: bool = msgspec.field(
        default=False, name="unfit"
    )  # the real server finds the job itself at fault: no other would take it
    exit_details: ExitDetails | None = msgspec.field(default=None, name="ending")


class ServerChecked(msgspec.Struct, frozen=True):
    """What a probe found."""

    server: str
    outcome: Outcome
    took_for_us: int
    report: dict[str, float] | None = None


class EndpointListReceived(msgspec.Struct, frozen=True):
    """Discovery's news. Scopes: ``changes``, ``all``, ``remembered``, ``refused``."""

    scope: str
    entries: list[ServiceEntry] = []
    last_answer_at_us: int = -1  # of a watch that broke: when its last answer came
    failure: CallFailure = CallFailure.BROKEN  # of a call or watch that failed
    is_from_former_discovery: bool = False  # it comes from a discovery that the configuration names no more


class DiscoveryReloaded(msgspec.Struct, frozen=True):
    """A new configuration has come; all that its discovery has counts as notified after ``told_us``."""

    notified_after_us: int
    has_moved: bool = True  # it names another discovery, which is to be called


class BalancersChanged(msgspec.Struct, frozen=True):
    """So many balancers share the work by now, this one included, and which in their order it is."""

    count: int
    own_index: int = 0


class EndpointViewsRequested(msgspec.Struct, frozen=True):
    """Somebody wants to know what the module believes of the real servers."""

    reply: Callable[[list[EndpointView]], None]


class MaintenanceRequested(msgspec.Struct, frozen=True):
    """Operators take a real server out (``on``) or put it back; ``told`` hears whether the name is known."""

    server: str
    is_disabled: bool
    reply: Callable[[bool], None] | None  # None: the node's other process was asked, which has answered


class SnapshotRequested(msgspec.Struct, frozen=True):
    """The process that is to take this one's place asks what the module has learned."""

    reply: Callable[[Learned], None]


class CallbackRelayed(msgspec.Struct, frozen=True):
    """A call-back that reached the node's other process; it is passed on no further."""

    message: AttemptStarted | AttemptProgress | AttemptFinished


Callback = AttemptStarted | AttemptProgress | AttemptFinished


class ReservedSlotsChanged(msgspec.Struct, frozen=True):
    """So many slots of a real server are kept free, but for requests that they are reserved for."""

    server: str
    slots: float
    total_slots: float  # all that it has, as the operator says


class ShutdownRequested(msgspec.Struct, frozen=True):
    """Refuse what is new, and end once the last request is answered."""


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
