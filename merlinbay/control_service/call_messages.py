"""The JSON bodies of the operators' calls and of their answers."""

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
    """A change of voters: adds one, removes one, or replaces one by another."""

    add: str | None = None
    remove: str | None = None


class VoterListing(msgspec.Struct):
    """The voters in the leader's configuration."""

    leader: str
    term: int
    voters: tuple[str, ...]
    joining: tuple[str, ...]  # machines that receive the log and become voters once they have caught up


class AppliedAnswer(msgspec.Struct):
    """A change was applied."""

    revision: int  # the revision at which the change was applied


class KeyEntry(msgspec.Struct):
    """One key; ``value`` is null if it was deleted or does not exist."""

    key: str
    value: Any
    revision: int


class KeyListing(msgspec.Struct):
    """Keys and their values at one revision."""

    revision: int
    age_s: float | None  # how long the keys may have been out of date; 0: up to date; None: never confirmed
    entries: list[KeyEntry]
    whole: bool = True  # False if only the changed keys are listed


class ErrorAnswer(msgspec.Struct):
    """The reason why a call failed."""

    error: str  # text for people
    retry: bool = False  # the same call may succeed later
    reason: str = ""  # code for programs, such as "conflict" or "joining"
    current_revision: int = 0  # present revision of the key, if the reason is "conflict"


def json_answer(value: msgspec.Struct, status: int = 200) -> Response:
    """Return an answer with a JSON body."""
    return Response(status, msgspec.json.encode(value), [JSON])


def error_answer(status: int, error: str, **fields: Any) -> Response:
    """Return an answer that says why a call failed; ``fields`` are further fields of ``ErrorAnswer``."""
    return json_answer(ErrorAnswer(error, **fields), status)


def key_entry(stored: KeyValue) -> KeyEntry:
    """Return a key with its value decoded."""
    return KeyEntry(stored.key, None if stored.value is None else decode_value(stored.value), stored.revision)
