"""Messages between two processes of a node: one packet each, encoded as MessagePack.

Tags and encoded names never change, because the other process may run an earlier version.
"""

from __future__ import annotations

import msgspec

from merlinbay.core.messages import AttemptFinished, AttemptProgress, AttemptStarted
from merlinbay.core.values import ServiceEntry
from merlinbay.decision.handover_snapshot import HandoverSnapshot
from merlinbay.handover.snapshot_codec import EncodedEndpoint, EncodedSnapshot, to_encoded

PROTOCOL_VERSION = 1  # processes of different versions do not hand over; the old one is stopped
CHUNK_ITEMS = 200  # entries of the endpoint list, or endpoints of the snapshot, per packet


class StateRequest(msgspec.Struct, tag="Hello", frozen=True):
    """The successor's first message, which asks the predecessor for its state."""

    protocol_version: int = msgspec.field(name="speaks")


class StateChunk(msgspec.Struct, tag="Part", frozen=True):
    """A part of the endpoint list, or of the learned state of the endpoints."""

    entries: list[ServiceEntry] = []
    endpoints: list[EncodedEndpoint] = msgspec.field(name="workers", default_factory=list)


class StateComplete(msgspec.Struct, tag="Whole", frozen=True):
    """The rest of the state, sent after all chunks."""

    list_version: int | None = msgspec.field(name="version")  # version of discovery's list, if it has one
    learned: EncodedSnapshot  # the learned state without the endpoints, which are sent in chunks
    is_standby: bool = msgspec.field(name="away")  # whether the node is on standby and sends clients away
    clock_us: int = 0  # the predecessor's clock, to which all times refer; 0 if sent by an older version


class SuccessorReady(msgspec.Struct, tag="Serves", frozen=True):
    """The successor accepts clients."""


class CallbackForward(msgspec.Struct, tag="Unclaimed", frozen=True):
    """A callback for a request that the sending process does not know."""

    message: AttemptStarted | AttemptProgress | AttemptFinished


class MaintenanceForward(msgspec.Struct, tag="Banned", frozen=True):
    """An operator's command that disables a server for maintenance or enables it again."""

    server: str
    is_disabled: bool = msgspec.field(name="on")


class StandbyForward(msgspec.Struct, tag="Away", frozen=True):
    """An operator's command that puts the node on standby or makes it active again."""

    is_standby: bool = msgspec.field(name="away")


class ConnectionTransfer(msgspec.Struct, tag="EdgeGiven", frozen=True):
    """A client connection without a request under way, whose descriptor the packet carries."""

    is_proven: bool = msgspec.field(name="proven")  # argument of ``http.server.Listener.add_connection``
    calls_back: bool  # argument of ``http.server.Listener.add_connection``


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


def sent_request(name: str, server: str = "") -> CallbackForward:
    """Return the message that a request was sent to a server; without its name if that is not known any more.

    An earlier version takes it for the call-back of an attempt that it does not have, and ignores it.
    """
    return CallbackForward(AttemptStarted(name, server))


def state_messages(
    version: int | None,
    entries: list[ServiceEntry],
    snapshot: HandoverSnapshot,
    is_standby: bool,
    clock_us: int = 0,
) -> list[HandoverMessage]:
    """Return the messages that carry the whole state in packets of limited size."""
    learned = to_encoded(snapshot)
    endpoints, learned.endpoints = learned.endpoints, []
    chunks: list[HandoverMessage] = [
        StateChunk(entries=entries[at : at + CHUNK_ITEMS]) for at in range(0, len(entries), CHUNK_ITEMS)
    ]
    chunks += [
        StateChunk(endpoints=endpoints[at : at + CHUNK_ITEMS]) for at in range(0, len(endpoints), CHUNK_ITEMS)
    ]
    return [*chunks, StateComplete(version, learned, is_standby, clock_us)]
