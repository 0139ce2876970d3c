"""The messages between voters, as msgpack. Decoding raises ``UnreadableMessageError`` only."""

from __future__ import annotations

from typing import Annotated

import msgspec

from merlinbay.control.consensus.log import LogEntry, LogNumber
from merlinbay.control.consensus.membership import VoterIdentity

MESSAGE_VERSION = 1

NonNegativeSeconds = Annotated[float, msgspec.Meta(ge=0)]


class VoteRequest(msgspec.Struct, frozen=True, tag="vote"):
    """A candidate asks for a vote in ``term``."""

    term: LogNumber
    last_index: LogNumber
    last_term: LogNumber
    pre: bool = False  # a preliminary vote (Ongaro 2014, 9.6): no term changes
    transfer: bool = False  # part of a leadership transfer
    founding: tuple[str, ...] = ()  # the first election of all: the initial voters' names


class VoteResponse(msgspec.Struct, frozen=True, tag="voted"):
    """The answer; ``candidate`` is the one voted for, with its incarnation."""

    term: LogNumber  # of the request where the vote is granted, of the voter where it is not
    candidate: VoterIdentity
    granted: bool
    pre: bool = False


class AppendRequest(msgspec.Struct, frozen=True, tag="append"):
    """A leader's entries after ``previous_index``; without entries, a heartbeat."""

    term: LogNumber
    round: LogNumber
    previous_index: LogNumber
    previous_term: LogNumber
    commit_index: LogNumber
    entries: tuple[LogEntry, ...] = ()
    age: NonNegativeSeconds = 0.0  # seconds since a majority last confirmed the leader


class AppendResponse(msgspec.Struct, frozen=True, tag="appended"):
    """The answer: the logs match up to ``index``, or, without success, may match at or before it."""

    term: LogNumber
    round: LogNumber  # of the request
    index: LogNumber
    success: bool


class SnapshotRequest(msgspec.Struct, frozen=True, tag="snapshot"):
    """One chunk of the leader's snapshot."""

    term: LogNumber
    round: LogNumber
    index: LogNumber  # the last entry that the snapshot contains
    offset: LogNumber
    data: bytes
    done: bool


class SnapshotResponse(msgspec.Struct, frozen=True, tag="snapshotted"):
    """How many bytes of the snapshot were received; ``installed`` once it is stored."""

    term: LogNumber
    round: LogNumber
    index: LogNumber
    received: LogNumber
    installed: bool


class TimeoutNow(msgspec.Struct, frozen=True, tag="timeout_now"):
    """The leader asks the receiver to hold an election at once."""

    term: LogNumber


VoterMessage = (
    VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | SnapshotRequest
    | SnapshotResponse
    | TimeoutNow
)


class VoterEnvelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with the version of the format and the incarnation of its sender."""

    version: int
    incarnation: str
    message: VoterMessage


class UnreadableMessageError(Exception):
    """Bytes that are no message of this version."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(VoterEnvelope)


def encode(incarnation: str, message: VoterMessage) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(VoterEnvelope(MESSAGE_VERSION, incarnation, message))


def decode(data: bytes) -> VoterEnvelope:
    """Read a message. Raises ``UnreadableMessageError``."""
    try:
        envelope = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UnreadableMessageError(str(error)) from None
    if envelope.version != MESSAGE_VERSION:
        raise UnreadableMessageError(f"version {envelope.version}")
    message = envelope.message
    if isinstance(message, AppendRequest):
        _check_order(message)
    return envelope


def _check_order(message: AppendRequest) -> None:
    """Guard the log against entries with gaps or decreasing terms."""
    index, term = message.previous_index, message.previous_term
    for entry in message.entries:
        if entry.index != index + 1 or not term <= entry.term <= message.term:
            raise UnreadableMessageError(
                f"entry {entry.index} of term {entry.term} after {index} of term {term}"
            )
        index, term = entry.index, entry.term
