"""The effects of the fan-out. A host carries them out in order."""

from __future__ import annotations

import msgspec

from merlinbay.control.entries import KeyValue
from merlinbay.control.fanout.messages import GoodbyeReason
from merlinbay.control.fanout.topology import Upstream


class SendDownstream(msgspec.Struct, frozen=True, gc=False):
    """Write a frame to a watch; call ``written`` once it has left the process's own buffer."""

    connection: int
    frame: bytes


class CloseDownstream(msgspec.Struct, frozen=True, gc=False):
    """End a watch after the frames before this, without waiting for them long. No ``closed`` is wanted."""

    connection: int
    reason: GoodbyeReason | None = None  # None: it was not accepted


class ConnectUpstream(msgspec.Struct, frozen=True):
    """Open a stream to an upstream; call ``connected`` or ``closed`` with the attempt's number."""

    attempt: int
    upstream: Upstream


class SendUpstream(msgspec.Struct, frozen=True, gc=False):
    """Write a frame to the stream of an attempt."""

    attempt: int
    frame: bytes


class CloseUpstream(msgspec.Struct, frozen=True, gc=False):
    """End the stream of an attempt, also one that is still connecting. No ``closed`` is wanted."""

    attempt: int


class StateAdvanced(msgspec.Struct, frozen=True):
    """The follower's state is at ``revision`` now; ``replaced``: by a snapshot, and all keys may differ.

    ``changed`` are the keys that a delta changed (value None: deleted); after a snapshot read ``entries()``.
    """

    revision: int
    changed: tuple[KeyValue, ...]
    replaced: bool = False


DownstreamEffect = SendDownstream | CloseDownstream
UpstreamEffect = ConnectUpstream | SendUpstream | CloseUpstream | StateAdvanced
RelayEffect = DownstreamEffect | UpstreamEffect
