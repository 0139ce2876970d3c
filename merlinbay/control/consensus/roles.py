"""What a voter can be, and what may follow on what."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """What a voter is at the moment. Only a leader takes proposals and reads."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"  # asks whether an election could be won, without a new term
    CANDIDATE = "candidate"
    LEADER = "leader"
    STORAGE_FAILED = "storage_failed"  # for good: a new Voter is built from the records that are stored


TRANSITIONS: dict[Role, frozenset[Role]] = {
    # A candidate by the leader's word (a transfer of leadership) needs no preliminary election.
    Role.FOLLOWER: frozenset({Role.FOLLOWER, Role.PRE_CANDIDATE, Role.CANDIDATE, Role.STORAGE_FAILED}),
    Role.PRE_CANDIDATE: frozenset({Role.FOLLOWER, Role.PRE_CANDIDATE, Role.CANDIDATE, Role.STORAGE_FAILED}),
    Role.CANDIDATE: frozenset({Role.FOLLOWER, Role.PRE_CANDIDATE, Role.LEADER, Role.STORAGE_FAILED}),
    Role.LEADER: frozenset({Role.FOLLOWER, Role.STORAGE_FAILED}),
    Role.STORAGE_FAILED: frozenset(),
}
