"""What the view wants done, and the events that it reports."""

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
    """A frame to send on a stream; its answer comes back with ``token``."""

    addr: str
    data: bytes
    token: int


Effect = SendDatagram | SendRequest


class MembershipEventKind(StrEnum):
    """Kinds of events, as the operators' calls and the counters name them."""

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
    """A change that operators, and what is built on the view, are informed of."""

    at_s: float
    kind: MembershipEventKind
    subject: str  # the member, or the source of a packet
    text: str = ""
