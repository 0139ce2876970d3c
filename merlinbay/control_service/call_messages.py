"""Bodies of the operators' calls and of their answers, as JSON."""

from __future__ import annotations

from typing import Any

import msgspec

from merlinbay.control.entries import KeyValue
from merlinbay.control_service.schema import decode_value
from merlinbay.http.connection import Response

JSON = (b"content-type", b"application/json")


class ChangeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A change that an operator proposes; ``value`` null deletes the key."""

    change_id: str
    key: str
    value: Any = None
    expected_revision: int | None = None


class VotersRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A change of voters: one is added, removed or replaced."""

    add: str | None = None
    remove: str | None = None


class VoterListing(msgspec.Struct):
    """The voters, as the leader has them."""

    leader: str
    term: int
    voters: tuple[str, ...]
    joining: tuple[str, ...]  # receive the log and become voters once they have caught up


class AppliedAnswer(msgspec.Struct):
    """A change was applied."""

    revision: int  # at which it was applied


class KeyEntry(msgspec.Struct):
    """One key; ``value`` is null if it was deleted or does not exist."""

    key: str
    value: Any
    revision: int


class KeyListing(msgspec.Struct):
    """Keys at one revision."""

    revision: int
    age_s: float | None  # for how long they may be out of date; 0: they are the latest; None: never known
    entries: list[KeyEntry]
    whole: bool = True  # all keys; False: only those that changed


class ErrorAnswer(msgspec.Struct):
    """Why a call failed."""

    error: str  # for people
    retry: bool = False  # the same call may succeed later
    reason: str = ""  # for programs, such as "conflict" or "joining"
    current_revision: int = 0  # the key's revision, for "conflict"


def json_answer(value: msgspec.Struct, status: int = 200) -> Response:
    """Return an answer with a JSON body."""
    return Response(status, msgspec.json.encode(value), [JSON])


def error_answer(status: int, error: str, **more: Any) -> Response:
    """Return an answer that says why a call failed; ``more`` are fields of ``ErrorAnswer``."""
    return json_answer(ErrorAnswer(error, **more), status)


def key_entry(found: KeyValue) -> KeyEntry:
    """Return a key with its value decoded."""
    return KeyEntry(found.key, None if found.value is None else decode_value(found.value), found.revision)
