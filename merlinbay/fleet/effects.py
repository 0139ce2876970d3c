"""The effects that the view asks its caller to carry out, and the events that it reports."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """A datagram to send."""

    addr: str
    data: bytes


@dataclass(frozen=True, slots=True)
class SendRequest:
    """A frame to send on a stream. Its answer is passed to ``View.handle_answer`` with ``token``."""

    addr: str
    data: bytes
    token: int


Effect = SendDatagram | SendRequest


class MembershipEventKind(StrEnum):
    """The kinds of events. The values are their names in the operators' calls, the log and the counters."""

    JOINED = "joined"
    CHANGED = "changed"
    SUSPECTED = "suspected"
    CLEARED = "cleared"
    DIED = "died"
    LEFT = "left"
    RETURNED = "returned"
    CONFLICT = "conflict"
    REFUSED = "refused"
    PAUSED = "paused"
    PACKETS_REFUSED = "packets_refused"
    EPOCH = "epoch"
    EPOCH_FORCED = "epoch_forced"
    EPOCH_CLASH = "epoch_clash"


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """A change of the fleet that is reported to operators and to the users of the view."""

    at_s: float
    kind: MembershipEventKind
    subject: str  # name of the member, or source address of a packet
    text: str = ""
