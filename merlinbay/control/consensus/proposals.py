"""The checks before a proposal is accepted, and the result of one whose record was not stored."""

from __future__ import annotations

from merlinbay.control.consensus.leadership import Leadership
from merlinbay.control.consensus.log import MAX_LOG_NUMBER, change_bytes
from merlinbay.control.consensus.raft_state import RaftState
from merlinbay.control.consensus.settings import VoterSettings
from merlinbay.control.entries import Change, ChangeRejected, ChangeResult, ChangeUncertain


def invalid_change(settings: VoterSettings, change: Change) -> ChangeRejected | None:
    """Return why a change is invalid, or None if it is valid."""
    if not change.change_id or not change.key:
        return ChangeRejected("invalid", "a change needs an id and a key")
    if not 0 <= (change.expected_revision or 0) <= MAX_LOG_NUMBER:
        return ChangeRejected("invalid", "the expected revision is out of range")
    try:
        size = change_bytes(change)
    except UnicodeEncodeError:
        return ChangeRejected("invalid", "id and key have to be valid Unicode text")
    if size > settings.max_change_bytes:
        return ChangeRejected("invalid", f"the change has more than {settings.max_change_bytes} bytes")
    return None


def overload(raft: RaftState, leadership: Leadership) -> ChangeRejected | None:
    """Return why the leader accepts no more proposals at present, or None if it accepts them."""
    settings = raft.settings
    if leadership.transfer is not None:
        return ChangeRejected("overloaded", "leadership is being transferred")
    if len(leadership.requests.proposals) >= settings.max_proposals:
        return ChangeRejected("overloaded", f"{settings.max_proposals} proposals are in flight")
    if len(raft.log) >= settings.max_log_entries:
        return ChangeRejected("overloaded", f"{settings.max_log_entries} log entries are not compacted yet")
    return None


def unstored_result(result: ChangeResult) -> ChangeResult:
    """Return what to answer instead of ``result`` if a record that it rests on was not stored.

    A commit and a conflict become uncertain; other rejections rest on no record and stay.
    """
    if isinstance(result, ChangeRejected) and result.reason != "conflict":
        return result
    return ChangeUncertain()
