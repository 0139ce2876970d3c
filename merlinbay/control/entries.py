"""The values of the replicated key-value configuration that voters, relays and followers exchange.

Every accepted change gets the next revision, so that a revision names one state of all keys. Revisions start
at 1; revision 0 is the empty state.
"""

from __future__ import annotations

from typing import Literal

import msgspec


class Change(msgspec.Struct, frozen=True, tag=True):
    """One proposed write of one key. A repeat with the same ``change_id`` has no further effect."""

    change_id: str
    key: str
    value: bytes | None  # None deletes the key
    expected_revision: int | None = None  # compare-and-set: the key's last revision; 0 if it must not exist


class KeyValue(msgspec.Struct, frozen=True, tag=True):
    """A key after the change that made ``revision``; ``value`` is None if that change deleted the key."""

    key: str
    value: bytes | None
    revision: int


class Delta(msgspec.Struct, frozen=True, tag=True):
    """The changes after ``after_revision`` up to ``revision``, as the last state of each changed key."""

    after_revision: int
    revision: int
    entries: tuple[KeyValue, ...]


class StateSnapshot(msgspec.Struct, frozen=True, tag=True):
    """All keys that exist at ``revision``; sent if the deltas that a reader lacks were compacted."""

    revision: int
    entries: tuple[KeyValue, ...]


class ChangeApplied(msgspec.Struct, frozen=True, tag=True):
    """The change was committed. A repeat of it gets the revision of the first time."""

    revision: int


class ChangeRejected(msgspec.Struct, frozen=True, tag=True):
    """The change was not applied, and never will be under this ``change_id`` and leader."""

    reason: Literal["conflict", "invalid", "not_leader", "no_quorum", "overloaded"]
    detail: str = ""
    leader: str = ""  # the leader to ask instead, for "not_leader"; empty if not known
    current_revision: int = 0  # the key's revision, for "conflict"


class ChangeUncertain(msgspec.Struct, frozen=True, tag=True):
    """The change may or may not commit, for example if leadership was lost. Repeat it with its id."""


ChangeResult = ChangeApplied | ChangeRejected | ChangeUncertain
