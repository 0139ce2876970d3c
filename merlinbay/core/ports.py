"""What the core exchanges with fronts, real-server sides and discovery. Plain values; no wire."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import msgspec

from merlinbay.decision import api
from merlinbay.decision.api import CallFailure, Outcome
from merlinbay.decision.learned import Learned
from merlinbay.limits import Limits


class Verdict(Enum):
    """A final answer's kind."""

    SERVED = "served"
    REFUSED = "refused"  # trying again is harmless
    FAILED = "failed"  # nothing is promised about the effect


class Ending(msgspec.Struct, frozen=True):
    """What a real server told of a job's end beside its outcome."""

    exit_status: int | None = None
    signal: str = ""  # the name of the one that ended it
    cpu_us: int = 0
    note: str = ""
    output: bytes = b""  # of a job that failed


class Answer(msgspec.Struct, frozen=True):
    """A request's one final answer."""

    verdict: Verdict
    result: bytes = b""
    retry_after_us: int = 0
    ending: Ending | None = None  # of the attempt that ended last, where its server told one
    may_have_run: bool = False  # of one that is refused: trying again is harmless for a while only


class JobSpec(msgspec.Struct, frozen=True):
    """What a client asks for, in no wire's words."""

    name: str  # the request's id, the same on both sides
    job_class: str
    arrived_us: int  # when its last byte had come
    budget_us: int
    target: str = "/"  # passes on unchanged
    body: bytes = b""  # passes on unchanged
    body_type: str = ""  # its media type, where the front says
    repeat_key: str = ""  # by which real servers know a repeat
    key: str = ""
    tenant: str = ""
    slots: float = 1.0
    memory: float = 0.0
    hint_us: int = 0
    retried: bool = False
    only: tuple[str, ...] = ()  # the real servers that may run it; empty: any
    room_only: bool = False  # not into a server's queue
    reserved: bool = False  # the slots kept there are for it


@dataclass(frozen=True, slots=True)
class NodeFacts:
    """What a node is, to those parts that an operator's file turns on."""

    name: str
    listen: tuple[str, int]
    settings: api.Settings
    limits: Limits


class ServiceEntry(msgspec.Struct, frozen=True):
    """One line of discovery's list."""

    server: str
    addr: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "up"  # up | draining | removed
    weight: float = 1.0
    started_us: int = 0


class Edge:
    """The client's side of one request. A front overrides what its wire has words for; nothing here waits."""

    def answer(self, answer: Answer) -> None:
        """Take the request's one answer."""
        raise NotImplementedError

    def left(self) -> bool:
        """Tell whether the client has left, be it that nobody has said so yet."""
        return False

    def sent(self, server: str) -> None:
        """Take it that a real server has been chosen. May come more than once."""

    def started(self, server: str) -> None:
        """Take it that a real server runs the job. May come more than once."""

    def suspended(self) -> None:
        """Take it that its real server has suspended the job."""

    def unplaced(self) -> None:
        """Take it that no real server runs the job any more; the module decides anew."""

    def lost_sight(self) -> None:
        """Take it that its real server cannot be asked at present."""

    def found_queued(self) -> None:
        """Take it that its real server was asked, and has not started the job."""

    def recalled(self, done: bool) -> None:
        """Take it that the request was called back unstarted and is over (``done``), or that it goes on."""

    def controlled(self, action: str, error: str, message: str) -> None:
        """Take what came of ``suspend`` or ``resume``; ``error`` is empty where it was done."""


def always(attempt: ServerAttempt) -> bool:
    """Allow any attempt."""
    return True


@dataclass(slots=True, eq=False)
class ServerAttempt:
    """One attempt of a request on a real server."""

    spec: JobSpec
    request_number: int  # the request's id in the module
    number: int  # of this attempt, from 0
    server: str
    sent_us: int
    deadline_us: int
    ended: bool = False
    started: bool = False
    paused: bool = False  # suspended by its real server
    edge: Edge | None = None  # of its request
    allowed: Callable[[ServerAttempt], bool] = always  # whether its class allows it still, see ``may_begin``

    def may_begin(self) -> bool:
        """Tell, right before its first byte, whether it is still to be begun."""
        if self.ended or (self.edge is not None and self.edge.left()):
            return False
        return self.allowed(self)


class ServerSide(Protocol):
    """The real servers. Nothing here waits; outcomes come back through the inbox."""

    def start(self, attempt: ServerAttempt) -> None:
        """Send an attempt."""

    def give_up(self, attempt: ServerAttempt) -> None:
        """Stop an attempt whose outcome is settled already."""

    def forget(self, attempt: ServerAttempt) -> None:
        """Drop what is kept of an attempt: it has ended, by itself or given up."""

    def recall(self, attempt: ServerAttempt) -> None:
        """Take an attempt back if it has not started; ``AttemptRecalled`` tells."""

    def control(self, attempt: ServerAttempt, action: str) -> None:
        """Have the real server ``suspend`` or ``resume`` a job; ``AttemptControlled`` tells."""

    def probe(self, server: str) -> None:
        """Test a real server."""

    def entries_changed(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Learn addresses; drop what belongs to servers that are gone or have restarted."""


class Directory(Protocol):
    """Discovery."""

    def subscribe(self, patience_us: int = 0) -> None:
        """Begin to watch the list, or do so again after a failure or a move.

        The first answer is waited for so long; 0: as long as is usual.
        """


# Messages to the owner, by any number of tasks. Tags that are given are those of the hand-over between two
# processes of a node, which may be of different versions: they stay as they are.


class RequestArrived(msgspec.Struct, frozen=True):
    """A client hands in a job."""

    spec: JobSpec
    edge: Edge


class RequestWithdrawn(msgspec.Struct, frozen=True):
    """The client has left."""

    name: str
    edge: Edge


class RequestRecalled(msgspec.Struct, frozen=True):
    """The client's side wants the request back, if it has not started."""

    name: str
    edge: Edge


class RequestControlled(msgspec.Struct, frozen=True):
    """The client's side wants the job ``suspend``-ed or ``resume``-d."""

    name: str
    edge: Edge
    action: str


class AttemptRecalled(msgspec.Struct, frozen=True):
    """Whether a real server gave an attempt back unstarted."""

    name: str
    server: str
    done: bool


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


class AttemptUnseen(msgspec.Struct, frozen=True):
    """The real server cannot be asked (``found`` false), or was asked and has not started the job."""

    name: str
    server: str
    found: bool


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
    unfit: bool = False  # the real server finds the job itself at fault: no other would take it
    ending: Ending | None = None


class ServerProbed(msgspec.Struct, frozen=True):
    """What a probe found."""

    server: str
    outcome: Outcome
    took_us: int
    report: dict[str, float] | None = None


class EntriesChanged(msgspec.Struct, frozen=True):
    """Discovery's news. Scopes: ``changes``, ``all``, ``remembered``, ``refused``."""

    scope: str
    entries: list[ServiceEntry] = []
    heard_us: int = -1  # of a watch that broke: when its last answer came
    failure: CallFailure = CallFailure.BROKEN  # of a call or watch that failed
    former: bool = False  # it comes from a discovery that the configuration names no more


class DirectoryMoved(msgspec.Struct, frozen=True):
    """A new configuration has come; all that its discovery has counts as notified after ``told_us``."""

    told_us: int
    moved: bool = True  # it names another discovery, which is to be called


class BalancersCounted(msgspec.Struct, frozen=True):
    """So many balancers share the work by now, this one included, and which in their order it is."""

    count: int
    me: int = 0


class MachineView(msgspec.Struct, frozen=True):
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


class FleetAsked(msgspec.Struct, frozen=True):
    """Somebody wants to know what the module believes of the real servers."""

    told: Callable[[list[MachineView]], None]


class MaintenanceAsked(msgspec.Struct, frozen=True):
    """Operators take a real server out (``on``) or put it back; ``told`` hears whether the name is known."""

    server: str
    on: bool
    told: Callable[[bool], None] | None  # None: the node's other process was asked, which has answered


class LearnedAsked(msgspec.Struct, frozen=True):
    """The process that is to take this one's place asks what the module has learned."""

    told: Callable[[Learned], None]


class Relayed(msgspec.Struct, frozen=True):
    """A call-back that reached the node's other process; it is passed on no further."""

    message: AttemptStarted | AttemptProgress | AttemptFinished


CallBack = AttemptStarted | AttemptProgress | AttemptFinished


class OtherProcess(Protocol):
    """The process that this one replaces, or that replaces it. Nothing here waits."""

    def unclaimed(self, message: CallBack) -> bool:
        """Pass a call-back on that is for no request here; tell whether there is anybody to pass it to."""

    def maintained(self, server: str, on: bool) -> None:
        """Pass on what operators did with a real server."""


class SlotsKept(msgspec.Struct, frozen=True):
    """So many slots of a real server are kept free, but for requests that they are reserved for."""

    server: str
    slots: float
    of: float  # all that it has, as the operator says


class EntriesWatcher(Protocol):
    """Somebody beside the real servers who wants to know of them."""

    def entries_changed(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Take discovery's news. Called by the owner's task; nothing here waits."""


class Stopping(msgspec.Struct, frozen=True):
    """Refuse what is new, and end once the last request is answered."""


Message = (
    RequestArrived
    | RequestWithdrawn
    | RequestRecalled
    | RequestControlled
    | AttemptRecalled
    | AttemptControlled
    | AttemptSuspended
    | AttemptUnseen
    | AttemptStarted
    | AttemptProgress
    | AttemptFinished
    | ServerProbed
    | EntriesChanged
    | DirectoryMoved
    | BalancersCounted
    | FleetAsked
    | MaintenanceAsked
    | LearnedAsked
    | Relayed
    | SlotsKept
    | Stopping
)
