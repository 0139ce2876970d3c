"""What the core exchanges with fronts, real-server sides and discovery. Plain values; no wire."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from merlinbay.decision.api import Outcome


class Verdict(Enum):
    """A final answer's kind."""

    SERVED = "served"
    REFUSED = "refused"  # trying again is harmless
    FAILED = "failed"  # nothing is promised about the effect


@dataclass(frozen=True, slots=True)
class Answer:
    """A flow's one final answer."""

    verdict: Verdict
    result: bytes = b""
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class JobSpec:
    """What a client asks for, in no wire's words."""

    name: str  # the flow's id, the same on both sides
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


@dataclass(frozen=True, slots=True)
class ServiceEntry:
    """One line of discovery's list."""

    server: str
    addr: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "up"  # up | draining | removed
    weight: float = 1.0
    started_us: int = 0


class Edge(Protocol):
    """The client's side of one flow."""

    def sent(self) -> None:
        """Take it that a real server has been chosen. May come more than once."""

    def started(self) -> None:
        """Take it that a real server has started the job. May come more than once."""

    def answer(self, answer: Answer) -> None:
        """Take the flow's one answer. Does not wait."""


@dataclass(slots=True, eq=False)
class Scheduling:
    """One attempt of a flow on a real server."""

    spec: JobSpec
    flow: int
    number: int
    server: str
    sent_us: int
    deadline_us: int
    ended: bool = False


class ServerSide(Protocol):
    """The real servers. Nothing here waits; outcomes come back through the inbox."""

    def start(self, scheduling: Scheduling) -> None:
        """Send an attempt."""

    def give_up(self, scheduling: Scheduling) -> None:
        """Stop an attempt whose outcome is settled already."""

    def forget(self, scheduling: Scheduling) -> None:
        """Drop what is kept of an attempt: it has ended, by itself or given up."""

    def probe(self, server: str) -> None:
        """Test a real server."""

    def entries_changed(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Learn addresses; drop what belongs to servers that are gone or have restarted."""


class Directory(Protocol):
    """Discovery."""

    def subscribe(self) -> None:
        """Begin to watch the list, or do so again after a failure."""


# Messages to the owner, by any number of tasks.


@dataclass(frozen=True, slots=True)
class FlowArrived:
    """A client hands in a job."""

    spec: JobSpec
    edge: Edge


@dataclass(frozen=True, slots=True)
class FlowWithdrawn:
    """The client has left."""

    name: str
    edge: Edge


@dataclass(frozen=True, slots=True)
class SchedulingStarted:
    """The real server has started the job."""

    name: str
    server: str


@dataclass(frozen=True, slots=True)
class SchedulingProgress:
    """The job runs."""

    name: str
    server: str
    share: float


@dataclass(frozen=True, slots=True)
class SchedulingEnded:
    """How an attempt ended. A flow has one at a time on a real server, so the two names match it."""

    name: str
    server: str
    outcome: Outcome
    result: bytes = b""
    report: dict[str, float] | None = None
    unfit: bool = False  # the real server finds the job itself at fault: no other would take it


@dataclass(frozen=True, slots=True)
class ServerProbed:
    """What a probe found."""

    server: str
    outcome: Outcome
    took_us: int
    report: dict[str, float] | None = None


@dataclass(frozen=True, slots=True)
class EntriesChanged:
    """Discovery's news. Scopes: ``changes``, ``all``, ``remembered``, ``refused``."""

    scope: str
    entries: list[ServiceEntry] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Stopping:
    """Refuse what is new, and end once the last flow is answered."""


Message = (FlowArrived | FlowWithdrawn | SchedulingStarted | SchedulingProgress | SchedulingEnded
           | ServerProbed | EntriesChanged | Stopping)
