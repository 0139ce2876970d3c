"""Typed messages of the membership protocol, and their short keys on the wire.

A malformed message is decoded as None. Member states that a message carries are decoded by ``members``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import msgspec

KIND: Final = "k"
SEQUENCE: Final = "q"
TARGET: Final = "t"
TARGET_ADDR: Final = "ta"
SENDER: Final = "f"
INSTANCE: Final = "s"
ADDR: Final = "a"
IS_JOINING: Final = "j"
VERSIONS: Final = "v"
MEMBERS: Final = "c"
EPOCH: Final = "e"
REASON: Final = "why"

REQUEST_KIND_EPOCH: Final = "epoch"  # the kind of all messages in ``epoch_messages``


@dataclass(frozen=True, slots=True)
class Ping:
    """A direct probe. The receiver answers with an ``Ack`` if it has the target's name."""

    sequence: int
    target: str


@dataclass(frozen=True, slots=True)
class Ack:
    """The answer to a ping."""

    sequence: int
    instance: int  # instance of the process that answered


@dataclass(frozen=True, slots=True)
class IndirectPing:
    """A request to ping a target on behalf of the sender."""

    sequence: int
    target: str
    target_addr: str


@dataclass(frozen=True, slots=True)
class Nack:
    """A helper's answer to an indirect ping whose target did not answer the helper in time."""

    sequence: int


@dataclass(frozen=True, slots=True)
class Gossip:
    """A datagram that carries only member states."""


Datagram = Ping | Ack | IndirectPing | Nack | Gossip


@dataclass(frozen=True, slots=True)
class FullState:
    """The request and the answer of a push/pull exchange. The fields are not validated."""

    sender: str
    instance: object
    addr: object
    is_joining: bool
    versions: object  # oldest and newest protocol version that the sender supports
    members: list[Any]  # encoded member states


@dataclass(frozen=True, slots=True)
class JoinRefused:
    """The answer to the push/pull of a node that may not be a member."""

    reason: str


def encode_datagram(datagram: Datagram, broadcasts: list[msgspec.Raw] | None) -> dict[str, Any]:
    """Return the body of a datagram. With ``broadcasts`` None it has no field for member states."""
    match datagram:
        case Ping(sequence, target):
            message: dict[str, Any] = {KIND: "ping", SEQUENCE: sequence, TARGET: target}
        case Ack(sequence, instance):
            message = {KIND: "ack", SEQUENCE: sequence, INSTANCE: instance}
        case IndirectPing(sequence, target, target_addr):
            message = {KIND: "ask", SEQUENCE: sequence, TARGET: target, TARGET_ADDR: target_addr}
        case Nack(sequence):
            message = {KIND: "nack", SEQUENCE: sequence}
        case Gossip():
            message = {KIND: "news"}
    if broadcasts is not None:
        message[MEMBERS] = broadcasts
    return message


def decode_datagram(message: dict[str, Any]) -> Datagram | None:
    """Return a datagram without its member states; None if it is malformed or of an unknown kind."""
    sequence = message.get(SEQUENCE)
    if not isinstance(sequence, int):
        return Gossip() if message[KIND] == "news" else None
    match message[KIND], message.get(TARGET), message.get(TARGET_ADDR), message.get(INSTANCE):
        case "ping", str(target), _, _:
            return Ping(sequence, target)
        case "ack", _, _, int(instance):
            return Ack(sequence, instance)
        case "ask", str(target), str(target_addr), _:
            return IndirectPing(sequence, target, target_addr)
        case "nack", _, _, _:
            return Nack(sequence)
    return None


def members_of(message: dict[str, Any]) -> list[Any]:
    """Return the encoded member states that a message carries."""
    members = message.get(MEMBERS)
    return members if isinstance(members, list) else []


def encode_full_state(state: FullState) -> dict[str, Any]:
    """Return the body of a push/pull."""
    return {
        KIND: "state",
        SENDER: state.sender,
        INSTANCE: state.instance,
        ADDR: state.addr,
        IS_JOINING: state.is_joining,
        VERSIONS: state.versions,
        MEMBERS: state.members,
    }


def encode_join_refused(refused: JoinRefused) -> dict[str, Any]:
    """Return the body of a refusal."""
    return {KIND: "no", REASON: refused.reason}


def decode_stream_message(message: dict[str, Any]) -> FullState | JoinRefused | None:
    """Return the message of a push/pull; None if it is of another kind."""
    if message[KIND] == "no":
        return JoinRefused(str(message.get(REASON)))
    if message[KIND] != "state":
        return None
    return FullState(
        str(message.get(SENDER)),
        message.get(INSTANCE),
        message.get(ADDR),
        bool(message.get(IS_JOINING)),
        message.get(VERSIONS),
        members_of(message),
    )
