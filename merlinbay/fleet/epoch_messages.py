"""Messages of the agreement on epochs, and their short keys on the wire.

A malformed epoch or ballot is decoded as None or as the lowest ballot, which no acceptor accepts.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

from merlinbay.fleet.messages import EPOCH, KIND, REQUEST_KIND_EPOCH

PHASE: Final = "m"
NUMBER: Final = "n"
BALLOT: Final = "b"
SENDER: Final = "f"
VALUE: Final = "v"
ACCEPTED_BALLOT: Final = "a"
PROMISED_BALLOT: Final = "h"
MAX_MEMBERS = 10_000

Ballot = tuple[int, str]  # number of the round, and voter id of the proposer
NO_BALLOT: Ballot = (0, "")


@dataclass(frozen=True, slots=True)
class Epoch:
    """A numbered configuration of the fleet, stored under these field names. Number 0: no epoch yet."""

    number: int = 0
    members: tuple[str, ...] = ()  # voter ids of the members


@dataclass(frozen=True, slots=True)
class Prepare:
    """Phase 1 of a proposal."""

    number: Any  # number of the proposed epoch; it is not validated, because it is only compared
    ballot: Ballot
    proposer: str
    current_epoch: Epoch | None  # the proposer's current epoch


@dataclass(frozen=True, slots=True)
class Accept:
    """Phase 2 of a proposal."""

    number: Any
    ballot: Ballot
    proposer: str
    current_epoch: Epoch | None
    value: tuple[str, ...]  # the proposed members


@dataclass(frozen=True, slots=True)
class Learn:
    """A chosen epoch, sent to its voters and its members."""

    proposer: str
    epoch: Epoch | None


@dataclass(frozen=True, slots=True)
class Promise:
    """The answer to a ``Prepare``: the voter will accept no lower ballot."""

    number: Any
    ballot: Ballot
    voter: str
    accepted: Ballot  # the highest ballot in which the voter has accepted a value
    value: tuple[str, ...]  # the value accepted with that ballot


@dataclass(frozen=True, slots=True)
class Accepted:
    """The answer to an ``Accept``: the voter has accepted the value."""

    number: Any
    ballot: Ballot
    voter: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The answer of an acceptor that has promised a higher ballot or has no vote."""

    number: Any
    ballot: Ballot
    voter: str
    promised: Ballot


@dataclass(frozen=True, slots=True)
class OtherEpoch:
    """The answer of an acceptor whose current epoch is not the proposer's."""

    current_epoch: Epoch | None


@dataclass(frozen=True, slots=True)
class Learned:
    """The answer to a ``Learn``."""


EpochRequest = Prepare | Accept | Learn
EpochAnswer = Promise | Accepted | Rejected | OtherEpoch | Learned


def encode_epoch(epoch: Epoch) -> list[Any]:
    """Return an epoch in its encoded form."""
    return [epoch.number, list(epoch.members)]


def decode_epoch(raw: object) -> Epoch | None:
    """Decode an epoch; None if it is malformed or has no members."""
    if not isinstance(raw, list) or len(raw) != 2 or not isinstance(raw[0], int):
        return None
    members = _decode_members(raw[1])
    return Epoch(raw[0], members) if members else None


def _decode_ballot(raw: object) -> Ballot:
    """Decode a ballot; a malformed one becomes the lowest."""
    match raw:
        case [int(number), str(proposer)]:
            return number, proposer
    return NO_BALLOT


def _decode_members(raw: object) -> tuple[str, ...]:
    """Decode the members of an epoch; a malformed list becomes an empty one."""
    if not isinstance(raw, (list, tuple)) or len(raw) > MAX_MEMBERS:
        return ()
    return tuple(raw) if all(isinstance(member, str) for member in raw) else ()


def encode_request(request: EpochRequest) -> dict[str, Any]:
    """Return the body of a request, with its keys in the order in which older versions send them."""
    if isinstance(request, Learn):
        epoch = encode_epoch(request.epoch or Epoch())
        return {KIND: REQUEST_KIND_EPOCH, PHASE: "learn", SENDER: request.proposer, EPOCH: epoch}
    body: dict[str, Any] = {PHASE: "prepare"}
    if isinstance(request, Accept):
        body = {PHASE: "accept", VALUE: list(request.value)}
    return body | {
        KIND: REQUEST_KIND_EPOCH,
        NUMBER: request.number,
        BALLOT: list(request.ballot),
        SENDER: request.proposer,
        EPOCH: encode_epoch(request.current_epoch or Epoch()),
    }


def decode_request(message: dict[str, Any]) -> EpochRequest:
    """Decode a request; an unknown phase is read as an ``Accept``, as older versions do."""
    sender, current_epoch = str(message.get(SENDER)), decode_epoch(message.get(EPOCH))
    number, ballot = message.get(NUMBER), _decode_ballot(message.get(BALLOT))
    match message.get(PHASE):
        case "learn":
            return Learn(sender, current_epoch)
        case "prepare":
            return Prepare(number, ballot, sender, current_epoch)
    return Accept(number, ballot, sender, current_epoch, _decode_members(message.get(VALUE)))


def encode_answer(answer: EpochAnswer) -> dict[str, Any]:
    """Return the body of an answer."""
    if isinstance(answer, Learned):
        return {KIND: REQUEST_KIND_EPOCH, PHASE: "learnt"}
    if isinstance(answer, OtherEpoch):
        epoch = encode_epoch(answer.current_epoch or Epoch())
        return {KIND: REQUEST_KIND_EPOCH, PHASE: "behind", EPOCH: epoch}
    body = {
        KIND: REQUEST_KIND_EPOCH,
        NUMBER: answer.number,
        BALLOT: list(answer.ballot),
        SENDER: answer.voter,
    }
    match answer:
        case Rejected():
            return body | {PHASE: "no", PROMISED_BALLOT: list(answer.promised)}
        case Promise():
            accepted = {ACCEPTED_BALLOT: list(answer.accepted), VALUE: list(answer.value)}
            return body | {PHASE: "promise"} | accepted
    return body | {PHASE: "accepted"}


def decode_answer(message: dict[str, Any]) -> EpochAnswer | None:
    """Decode an answer; None if its phase is unknown, or has no content for the proposer."""
    number, ballot = message.get(NUMBER), _decode_ballot(message.get(BALLOT))
    voter = str(message.get(SENDER))
    match message.get(PHASE):
        case "behind":
            return OtherEpoch(decode_epoch(message.get(EPOCH)))
        case "no":
            return Rejected(number, ballot, voter, _decode_ballot(message.get(PROMISED_BALLOT)))
        case "promise":
            accepted = _decode_ballot(message.get(ACCEPTED_BALLOT))
            return Promise(number, ballot, voter, accepted, _decode_members(message.get(VALUE)))
        case "accepted":
            return Accepted(number, ballot, voter)
    return None
