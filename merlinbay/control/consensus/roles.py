"""What a voter can be, and what may follow on what."""

from __future__ import annotations

from enum import Enum


class VoterRole(Enum):
    """What a voter is at the moment. Only a leader takes proposals and reads."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"  # asks whether an election could be won, without a new term
    CANDIDATE = "candidate"
    LEADER = "leader"
    STORAGE_FAILED = "storage_failed"  # for good: a new Voter is built from the records that are stored


TRANSITIONS: dict[VoterRole, frozenset[VoterRole]] = {
    # A candidate by the leader's word (a transfer of leadership) needs no preliminary election.
    VoterRole.FOLLOWER: frozenset(
        {VoterRole.FOLLOWER, VoterRole.PRE_CANDIDATE, VoterRole.CANDIDATE, VoterRole.STORAGE_FAILED}
    ),
    VoterRole.PRE_CANDIDATE: frozenset(
        {VoterRole.FOLLOWER, VoterRole.PRE_CANDIDATE, VoterRole.CANDIDATE, VoterRole.STORAGE_FAILED}
    ),
    VoterRole.CANDIDATE: frozenset(
        {VoterRole.FOLLOWER, VoterRole.PRE_CANDIDATE, VoterRole.LEADER, VoterRole.STORAGE_FAILED}
    ),
    VoterRole.LEADER: frozenset({VoterRole.FOLLOWER, VoterRole.STORAGE_FAILED}),
    VoterRole.STORAGE_FAILED: frozenset(),
}
