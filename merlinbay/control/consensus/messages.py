"""The messages between voters and their msgpack encoding.

Bytes that cannot be decoded raise ``UnreadableMessageError`` and no other exception.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from merlinbay.control.consensus.log import LogEntry, LogNumber
from merlinbay.control.consensus.membership import VoterIdentity

MESSAGE_VERSION = 1

NonNegativeSeconds = Annotated[float, msgspec.Meta(ge=0)]


class VoteRequest(msgspec.Struct, frozen=True, tag="vote"):
    """A candidate's request for a vote in ``term``."""

    term: LogNumber
    last_index: LogNumber
    last_term: LogNumber
    pre: bool = False  # whether the vote is preliminary and so changes no term (Ongaro 2014, 9.6)
    transfer: bool = False  # whether the election is part of a leadership transfer
    founding: tuple[str, ...] = ()  # names of the initial voters in the first election, else empty


class VoteResponse(msgspec.Struct, frozen=True, tag="voted"):
    """The response to a vote request; ``candidate`` names the sender of the request and its incarnation."""

    term: LogNumber  # the term of the request if the vote is granted, else that of the voter
    candidate: VoterIdentity
    granted: bool
    pre: bool = False


class AppendRequest(msgspec.Struct, frozen=True, tag="append"):
    """The leader's entries after ``previous_index``. A request without entries is a heartbeat."""

    term: LogNumber
    round: LogNumber
    previous_index: LogNumber
    previous_term: LogNumber
    commit_index: LogNumber
    entries: tuple[LogEntry, ...] = ()
    age: NonNegativeSeconds = 0.0  # seconds since a majority last confirmed the leader


class AppendResponse(msgspec.Struct, frozen=True, tag="appended"):
    """The response: the logs match up to ``index`` or, without ``success``, may match at or before it."""

    term: LogNumber
    round: LogNumber  # the round of the request
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
    """The response to a chunk: the number of bytes received so far, and whether the snapshot is installed."""

    term: LogNumber
    round: LogNumber
    index: LogNumber
    received: LogNumber
    installed: bool


class TimeoutNow(msgspec.Struct, frozen=True, tag="timeout_now"):
    """The leader's request that the receiver start an election at once."""

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
    """A message with the version of its format and the incarnation of its sender."""

    version: int
    incarnation: str
    message: VoterMessage


class UnreadableMessageError(Exception):
    """The bytes are not a valid message of this version."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(VoterEnvelope)


def encode(incarnation: str, message: VoterMessage) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(VoterEnvelope(MESSAGE_VERSION, incarnation, message))


def decode(data: bytes) -> VoterEnvelope:
    """Return the decoded message. Raises ``UnreadableMessageError``."""
    try:
        envelope = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UnreadableMessageError(str(error)) from None
    if envelope.version != MESSAGE_VERSION:
        raise UnreadableMessageError(f"unsupported message version {envelope.version}")
    message = envelope.message
    if isinstance(message, AppendRequest):
        _check_order(message)
    return envelope


def _check_order(message: AppendRequest) -> None:
    """Raise ``UnreadableMessageError`` for entries with gaps or decreasing terms, which no log may hold."""
    index, term = message.previous_index, message.previous_term
    for entry in message.entries:
        if entry.index != index + 1 or not term <= entry.term <= message.term:
            raise UnreadableMessageError(
                f"entry {entry.index} of term {entry.term} cannot follow entry {index} of term {term}"
            )
        index, term = entry.index, entry.term
