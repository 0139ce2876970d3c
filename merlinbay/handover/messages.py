"""Messages between the two processes of a node: one packet each, in msgpack.

Tags and encoded names are those of earlier programs, which a new process may replace.
"""

from __future__ import annotations

import msgspec

from merlinbay.core.messages import AttemptFinished, AttemptProgress, AttemptStarted
from merlinbay.core.values import ServiceEntry
from merlinbay.decision.handover_snapshot import HandoverSnapshot
from merlinbay.handover.snapshot_codec import EncodedEndpoint, EncodedSnapshot, to_encoded

PROTOCOL_VERSION = 1  # a process of another version is not replaced but stopped
CHUNK_ITEMS = 200  # entries of the list, or endpoints of the snapshot, in one packet


class StateRequest(msgspec.Struct, tag="Hello", frozen=True):
    """The successor's first message."""

    protocol_version: int = msgspec.field(name="speaks")


class StateChunk(msgspec.Struct, tag="Part", frozen=True):
    """Some of the endpoint list, or of what was learned of the endpoints."""

    entries: list[ServiceEntry] = []
    endpoints: list[EncodedEndpoint] = msgspec.field(name="workers", default_factory=list)


class StateComplete(msgspec.Struct, tag="Whole", frozen=True):
    """The rest of the state, after all chunks."""

    list_version: int | None = msgspec.field(name="version")  # discovery's; None: it gave none
    learned: EncodedSnapshot  # without the endpoints, which came in chunks
    is_standby: bool = msgspec.field(name="away")  # clients are sent away
    clock_us: int = 0  # of the predecessor, for all times in the state; 0: sent by an older program


class SuccessorReady(msgspec.Struct, tag="Serves", frozen=True):
    """The successor accepts clients."""


class CallbackForward(msgspec.Struct, tag="Unclaimed", frozen=True):
    """A call-back for a request that the sender does not know."""

    message: AttemptStarted | AttemptProgress | AttemptFinished


class MaintenanceForward(msgspec.Struct, tag="Banned", frozen=True):
    """Operators disabled a server for maintenance, or enabled it again."""

    server: str
    is_disabled: bool = msgspec.field(name="on")


class StandbyForward(msgspec.Struct, tag="Away", frozen=True):
    """Operators send clients away, or take them back."""

    is_standby: bool = msgspec.field(name="away")


class ConnectionTransfer(msgspec.Struct, tag="EdgeGiven", frozen=True):
    """A client connection without a request under way; its descriptor comes with the packet."""

    is_proven: bool = msgspec.field(name="proven")  # as ``http.server.Listener.add_connection`` takes it
    calls_back: bool


HandoverMessage = (
    StateRequest
    | StateChunk
    | StateComplete
    | SuccessorReady
    | CallbackForward
    | MaintenanceForward
    | StandbyForward
    | ConnectionTransfer
)

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(HandoverMessage).decode


def state_messages(
    version: int | None,
    entries: list[ServiceEntry],
    snapshot: HandoverSnapshot,
    is_standby: bool,
    clock_us: int = 0,
) -> list[HandoverMessage]:
    """Return the messages that carry the whole state, in packets of a bounded size."""
    learned = to_encoded(snapshot)
    endpoints, learned.endpoints = learned.endpoints, []
    chunks: list[HandoverMessage] = [
        StateChunk(entries=entries[at : at + CHUNK_ITEMS]) for at in range(0, len(entries), CHUNK_ITEMS)
    ]
    chunks += [
        StateChunk(endpoints=endpoints[at : at + CHUNK_ITEMS]) for at in range(0, len(endpoints), CHUNK_ITEMS)
    ]
    return [*chunks, StateComplete(version, learned, is_standby, clock_us)]
