"""The effects that followers, relays and watch servers return. A host carries them out in order."""

from __future__ import annotations

import msgspec

from merlinbay.control.entries import KeyValue
from merlinbay.control.fanout.messages import GoodbyeReason
from merlinbay.control.fanout.topology import Upstream


class SendDownstream(msgspec.Struct, frozen=True, gc=False):
    """Write a frame to a watch; the host calls ``written`` once it has left the process's own buffer."""

    connection: int
    frame: bytes


class CloseDownstream(msgspec.Struct, frozen=True, gc=False):
    """Close a watch after the frames before this, without waiting long for them. ``closed`` is not called."""

    connection: int
    reason: GoodbyeReason | None = None  # None if the watch was not accepted


class ConnectUpstream(msgspec.Struct, frozen=True):
    """Open a stream to an upstream; the host calls ``connected`` or ``closed`` with the attempt's number."""

    attempt: int
    upstream: Upstream


class SendUpstream(msgspec.Struct, frozen=True, gc=False):
    """Write a frame to the stream of an attempt."""

    attempt: int
    frame: bytes


class CloseUpstream(msgspec.Struct, frozen=True, gc=False):
    """Close the stream of an attempt, even if it is still connecting. ``closed`` is not called."""

    attempt: int


class StateAdvanced(msgspec.Struct, frozen=True):
    """The follower's state is now at ``revision``.

    ``changed`` holds the entries that a delta changed; the value None means that the key was deleted.
    ``replaced`` means that a snapshot replaced the state, so all keys may differ; read ``snapshot()`` then.
    """

    revision: int
    changed: tuple[KeyValue, ...]
    replaced: bool = False


DownstreamEffect = SendDownstream | CloseDownstream
UpstreamEffect = ConnectUpstream | SendUpstream | CloseUpstream | StateAdvanced
RelayEffect = DownstreamEffect | UpstreamEffect
