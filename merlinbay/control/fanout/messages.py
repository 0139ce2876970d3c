"""The watch protocol: each frame is one message, a msgpack array tagged with a number.

A follower sends ``WatchRequest`` first, then ``ProgressReport``. A server answers with ``WatchAccepted``,
``WatchRejected`` or ``Goodbye``, then sends deltas, snapshots and keep-alives. New fields are added at the
end with a default, so that a reader of the same version accepts messages of a newer program; an incompatible
change raises ``PROTOCOL_VERSION``. Bytes that cannot be decoded raise ``MalformedMessageError``.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from typing import Annotated, TypeVar

import msgspec

from merlinbay.control.entries import KeyValue

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 1024 * 1024  # a longer frame is malformed; the largest value of a key has to fit
MAX_NAMES = 64  # bound on each list of names in a message
NEVER_MS = 2**40  # staleness of data that was never known to be the latest, as a finite number

MemberName = Annotated[str, msgspec.Meta(max_length=255)]
WireKey = Annotated[str, msgspec.Meta(min_length=1, max_length=1024)]
Revision = Annotated[int, msgspec.Meta(ge=0)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=NEVER_MS)]
UpstreamNames = Annotated[tuple[MemberName, ...], msgspec.Meta(max_length=MAX_NAMES)]


class MalformedMessageError(Exception):
    """The bytes are not a message of this protocol, or not one that the sending side may send."""


class WatcherRole(enum.StrEnum):
    """The role of a watcher."""

    FOLLOWER = "follower"
    RELAY = "relay"


class RejectionReason(enum.StrEnum):
    """Why a server rejects a watch that may be retried."""

    RATE = "rate"  # too many new watches at once
    FULL = "full"  # the server holds its maximum of watches
    BEHIND = "behind"  # the watcher has a later revision or generation of this history than the server
    NO_DATA = "no_data"  # the server is a relay that has no state yet


class GoodbyeReason(enum.StrEnum):
    """Why a watch ends."""

    MOVED = "moved"  # the follower watches another upstream
    STOPPING = "stopping"  # the sender shuts down on purpose
    SLOW = "slow"  # the follower does not read its frames in time
    SILENT = "silent"  # nothing was received from the other side for too long
    VERSION = "version"  # the two sides have different protocol versions
    FOREIGN = "foreign"  # the two sides hold different logs of the same generation number
    STALE = "stale"  # the follower keeps its watch, as this upstream's data is no fresher
    PROTOCOL = "protocol"  # a message was malformed or out of place
    REPLACED = "replaced"  # the member opened another watch at this server


class Generation(msgspec.Struct, frozen=True, array_like=True):
    """A history of revisions. An operator's reset starts one with a higher ``number`` and a new ``log_id``.

    Numbers start at 1. A follower accepts the state of a higher number even if its revision is lower. Two
    logs with the same number are an operating error (each was created separately); neither side accepts the
    other's data.
    """

    number: Revision
    log_id: MemberName


NO_GENERATION = Generation(0, "")  # generation of a member that has no state yet


class WireEntry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A ``KeyValue`` on the wire, without the names of its fields."""

    key: WireKey
    value: bytes | None
    revision: Revision


class RevisionCount(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """How many followers have applied this revision, or a later one below the next higher count's."""

    revision: Revision
    followers: Annotated[int, msgspec.Meta(ge=0)]


class Laggard(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A follower's name with the last revision that it reported."""

    member: MemberName
    revision: Revision


class Summary(msgspec.Struct, frozen=True, array_like=True):
    """The revisions that the followers below a relay have applied, bounded in size."""

    counts: Annotated[tuple[RevisionCount, ...], msgspec.Meta(max_length=MAX_NAMES)] = ()  # newest first
    laggards: Annotated[tuple[Laggard, ...], msgspec.Meta(max_length=MAX_NAMES)] = ()  # oldest first
    absent: Annotated[tuple[Laggard, ...], msgspec.Meta(max_length=MAX_NAMES)] = ()  # members lost recently


class WatchRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The first message of a stream: the watcher, and the generation and revision of its state."""

    member: MemberName
    role: WatcherRole
    zone: MemberName
    generation: Generation
    revision: Revision
    version: int = PROTOCOL_VERSION


class ProgressReport(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The revision that the sender has applied; a relay adds a summary of the followers below it."""

    generation: Revision  # the number of the generation that the revision belongs to
    revision: Revision
    summary: Summary | None = None


class WatchAccepted(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The watch is accepted. If the generation is later than the watcher's, a snapshot follows."""

    generation: Generation
    revision: Revision
    staleness_ms: Milliseconds


class DeltaMessage(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The last state of each key that changed after ``after_revision`` up to ``revision``.

    A large delta is sent in ``count`` parts, in order, with no other message between them. It is applied as a
    whole.
    """

    after_revision: Revision
    revision: Revision
    staleness_ms: Milliseconds
    entries: tuple[WireEntry, ...]
    index: Revision = 0
    count: Annotated[int, msgspec.Meta(ge=1)] = 1


class SnapshotMessage(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Part ``index`` of ``count`` of the state at ``revision``, sent in order, with no message between them.

    A snapshot is encoded once for many watches, so it contains no staleness; a ``KeepAlive`` follows it.
    """

    revision: Revision
    entries: tuple[WireEntry, ...]
    index: Revision = 0
    count: Annotated[int, msgspec.Meta(ge=1)] = 1


class KeepAlive(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Nothing has changed after ``revision``; the state was known to be the latest ``staleness_ms`` ago."""

    revision: Revision
    staleness_ms: Milliseconds


class WatchRejected(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The watch is rejected; retry after ``retry_after_ms``, or try one of ``upstreams``, best first."""

    reason: RejectionReason
    retry_after_ms: Milliseconds
    upstreams: UpstreamNames = ()


class Goodbye(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The last message of a side; a server may name other upstreams to try, best first."""

    reason: GoodbyeReason
    upstreams: UpstreamNames = ()


FollowerMessage = WatchRequest | ProgressReport | Goodbye
ServerMessage = WatchAccepted | DeltaMessage | SnapshotMessage | KeepAlive | WatchRejected | Goodbye

_Message = TypeVar("_Message")
_encoder = msgspec.msgpack.Encoder()
_from_follower: msgspec.msgpack.Decoder[FollowerMessage] = msgspec.msgpack.Decoder(FollowerMessage)
_from_server: msgspec.msgpack.Decoder[ServerMessage] = msgspec.msgpack.Decoder(ServerMessage)


def encode(message: FollowerMessage | ServerMessage) -> bytes:
    """Return the frame's content; the transport puts the length before it."""
    return _encoder.encode(message)


def decode_from_follower(frame: bytes) -> FollowerMessage:
    """Decode a message of a follower or relay; raise ``MalformedMessageError`` if it is invalid."""
    return _decode(_from_follower, frame)


def decode_from_server(frame: bytes) -> ServerMessage:
    """Decode a message of a server; raise ``MalformedMessageError`` if it is invalid."""
    return _decode(_from_server, frame)


def _decode(decoder: msgspec.msgpack.Decoder[_Message], frame: bytes) -> _Message:
    if len(frame) > MAX_FRAME_BYTES:
        raise MalformedMessageError(f"frame of {len(frame)} bytes exceeds {MAX_FRAME_BYTES}")
    try:
        return decoder.decode(frame)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessageError(str(error)) from error


def milliseconds(seconds: float) -> int:
    """Return a time in milliseconds as sent, rounded up so that no data seems fresher than it is."""
    return max(0, math.ceil(min(seconds * 1000, NEVER_MS)))


def seconds(sent: int) -> float:
    """Return a received time in seconds; infinity for ``NEVER_MS``."""
    return math.inf if sent >= NEVER_MS else sent / 1000


def wire_entries(entries: Iterable[KeyValue]) -> tuple[WireEntry, ...]:
    """Return entries in the form in which they are sent."""
    return tuple([WireEntry(entry.key, entry.value, entry.revision) for entry in entries])
